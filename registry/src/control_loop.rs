//! The registry's periodic task: publishes this node's status and, while this registry is the leader,
//! the traffic-shift plan (design 5.6, 7.4).

use crate::leader::{self, LeadershipReadiness};
use crate::state::{Counter, Registry};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use vanepath_cluster::gossip::Event;
use vanepath_cluster::node::{ClusterView, HandleEvent, ListPeers};
use vanepath_cluster::wire::{NodeStatus, Role};

const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two steps of the plan. After it the load reports show the effect of a step: it
/// covers the TTL of a steering response, the gossip delay and one second of load measurement.
const PLAN_STEP_INTERVAL: Duration = Duration::from_millis(4000);

/// The pause between two evaluations of the proxies' observations, as a multiple of the duration of the
/// last evaluation. An evaluation takes longer in a larger cluster; the pause bounds its share of a core.
const EVALUATION_PAUSE_FACTOR: u32 = 25;

/// Starts the control loop in a task of its own.
pub fn spawn(registry: Arc<Registry>) {
    let control_loop = ControlLoop {
        registry,
        next_step_at: Duration::ZERO,
        next_evaluation_at: Duration::ZERO,
        readiness: LeadershipReadiness::default(),
    };
    let control_loop = xtra::spawn_tokio(control_loop, xtra::Mailbox::unbounded());
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if control_loop.send(Tick).await.is_err() {
                return;
            }
        }
    });
}

#[derive(xtra::Actor)]
struct ControlLoop {
    registry: Arc<Registry>,
    /// Earliest time of the next change of the plan's shares.
    next_step_at: Duration,
    /// Earliest time of the next evaluation of the observations.
    next_evaluation_at: Duration,
    readiness: LeadershipReadiness,
}

struct Tick;

impl xtra::Handler<Tick> for ControlLoop {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut xtra::Context<Self>) {
        let view = self.registry.node.current_view.load_full();
        self.registry.observe_revision(view.committed.revision);
        let may_lead = self.publish_status(&view).await;
        if may_lead && self.is_leader(&view) {
            self.publish_plan(&view).await;
        }
    }
}

impl ControlLoop {
    /// Publishes this node's status; returns whether this node may act as the leader.
    async fn publish_status(&mut self, view: &ClusterView) -> bool {
        let node = &self.registry.node;
        // Ready once a configuration is known and the view has had time to include the proxies.
        let ready = view.committed.revision > 0 && view.is_fresh && !node.is_shutting_down();
        if self.registry.is_ready.swap(ready, Ordering::Relaxed) != ready {
            log::info!("{}", if ready { "ready" } else { "not ready" });
        }
        let may_lead = self.readiness.may_lead(node.clock.now(), view.is_fresh);
        let status = NodeStatus {
            ready,
            draining: node.is_shutting_down(),
            revision: view.committed.revision,
            synced: may_lead,
            hears_majority: leader::hears_majority(view),
            ..NodeStatus::default()
        };
        node.publish_status(status).await;
        may_lead
    }

    fn is_leader(&self, view: &ClusterView) -> bool {
        view.leader(Role::Registry).is_some_and(|info| info.name == self.registry.node.info.name)
    }

    /// Evaluates the proxies' observations if an evaluation is due, and publishes the plan if it changed.
    async fn publish_plan(&mut self, view: &ClusterView) {
        let node = &self.registry.node;
        let started_at = node.clock.now();
        if started_at < self.next_evaluation_at {
            return;
        }
        let Ok(peers) = node.gossip.send(ListPeers).await else {
            return;
        };
        let now = node.clock.now();
        let may_shift = now >= self.next_step_at;
        if may_shift {
            self.next_step_at = now + PLAN_STEP_INTERVAL;
        }
        let plan = leader::next_plan(view, &node.info.name, &peers, may_shift);
        let ended_at = node.clock.now();
        let pause = ((ended_at - started_at) * EVALUATION_PAUSE_FACTOR).min(PLAN_STEP_INTERVAL);
        self.next_evaluation_at = ended_at + pause;
        let Some(plan) = plan else { return };
        if plan.epoch != view.plan.epoch {
            log::info!(
                "became the leader; publishing the traffic-shift plan under epoch {}",
                plan.epoch
            );
        }
        self.registry.counters.increment(Counter::PlansMade);
        let _ = node.gossip.send(HandleEvent(Event::PlanReceived(Arc::new(plan)))).await;
    }
}
