//! The registry as a daemon (design 7.5).

use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::{gossip, node, wire};

vanepath_cluster::counters! {
    /// What a registry counts.
    pub enum Counter {
        SteerPolls,
        SteerPollsFirst,
        SteerEchoesBad,
        SteerRefusedBehind,
        SteerRefusedCutOff,
        SteerRefusedNotReady,
        SetupsAccepted,
        SetupsRefusedInvalid,
        SetupsConflicting,
        ZoneChanges,
        WritesNothingDone,
        WritesUnknown,
        StoreTries,
        Reads,
        PlatformReads,
        PlatformReadsBad,
        PlatformReadsOvertaken,
        PlatformChanges,
        PlansMade,
    }
}

pub type Counters = vanepath_cluster::counters::Counters<Counter>;

pub struct Registry {
    pub daemon: Arc<node::Node>,
    pub tally: Arc<Counters>,
    pub platform: Arc<std::sync::Mutex<crate::list_poller::PollOutcome>>,
    pub is_ready: std::sync::atomic::AtomicBool,
}

/// A step of the plan takes so long to show: a receipt's TTL, the news, and a second of demand.
const STEP_SHOWS_AFTER: Duration = Duration::from_millis(4000);

/// The larger the fleet the longer a look at all that proxies tell takes; between two looks it rests so many
/// times as long, which bounds the duty's part of a core.
const REST_TIMES: u32 = 25;

/// Runs a registry until it is told to stop.
pub async fn run(settings: vanepath_config::settings::Settings) -> Result<(), miette::Report> {
    let listener = node::bind("listen", settings.listen).await?;
    let grace = settings.shutdown_grace;
    let daemon = node::Node::start(settings, None).await?;
    let tally: Arc<Counters> = Arc::default();
    let platform = Arc::new(std::sync::Mutex::new(crate::list_poller::PollOutcome::NotYetRead));
    let registry = Arc::new(Registry {
        daemon: daemon.clone(),
        tally: tally.clone(),
        platform: platform.clone(),
        is_ready: std::sync::atomic::AtomicBool::new(false),
    });
    tokio::spawn(crate::list_poller::run(daemon.clone(), tally.clone(), platform));
    let keeper = Keeper {
        registry: registry.clone(),
        step_at: Duration::ZERO,
        look_at: Duration::ZERO,
        tenure: Default::default(),
    };
    let keeper = xtra::spawn_tokio(keeper, xtra::Mailbox::unbounded());
    tokio::spawn(async move {
        let mut pulse = tokio::time::interval(Duration::from_millis(100));
        pulse.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            pulse.tick().await;
            if keeper.send(Pulse).await.is_err() {
                return;
            }
        }
    });
    let handler = move |request: hyper::Request<hyper::body::Incoming>| {
        crate::api::answer(registry.clone(), request)
    };
    let http = node::HttpSettings::default();
    if let Some(address) = daemon.settings.steering_listen {
        let listener = node::bind("directoryListen", address).await?;
        let stop = daemon.stop.clone();
        tokio::spawn(node::serve_http(listener, stop, http, handler.clone()));
    }
    let mut stop = daemon.stop.clone();
    let cut = async {
        let _ = stop.wait_for(|stop| *stop).await;
        tokio::time::sleep(grace).await;
    };
    tokio::select! {
        _ = node::serve_http(listener, daemon.stop.clone(), http, handler) => {}
        _ = cut => {}
    }
    // A moment for the siblings to hear that it leaves.
    tokio::time::sleep(Duration::from_millis(200)).await;
    log::info!("stopped");
    Ok(())
}

#[derive(xtra::Actor)]
struct Keeper {
    registry: Arc<Registry>,
    step_at: Duration,
    /// What it sees is looked at again then.
    look_at: Duration,
    tenure: crate::leader::LeadershipReadiness,
}

struct Pulse;

impl xtra::Handler<Pulse> for Keeper {
    type Return = ();

    async fn handle(&mut self, _: Pulse, _: &mut xtra::Context<Self>) {
        let daemon = &self.registry.daemon;
        let view = daemon.table.load_full();
        // With the word, and with time enough to have heard of the proxies.
        let ready = view.committed.revision > 0 && view.is_fresh && !daemon.is_shutting_down();
        let relaxed = std::sync::atomic::Ordering::Relaxed;
        if self.registry.is_ready.swap(ready, relaxed) != ready {
            log::info!("{}", if ready { "ready" } else { "not ready" });
        }
        let may_hold = self.tenure.may_lead(daemon.clock.now(), view.is_fresh);
        let report = wire::NodeStatus {
            ready,
            draining: daemon.is_shutting_down(),
            revision: view.committed.revision,
            synced: may_hold,
            hears_majority: crate::leader::hears_majority(&view),
            ..wire::NodeStatus::default()
        };
        daemon.publish_status(report).await;
        if !may_hold
            || view.leader(wire::Role::Registry).is_none_or(|card| card.name != daemon.info.name)
        {
            return;
        }
        let began = daemon.clock.now();
        if began < self.look_at {
            return;
        }
        let Ok(sources) = daemon.gossip.send(node::ListPeers).await else {
            return;
        };
        let now = daemon.clock.now();
        let may_move = now >= self.step_at;
        if may_move {
            self.step_at = now + STEP_SHOWS_AFTER;
        }
        let plan = crate::leader::next_plan(&view, &daemon.info.name, &sources, may_move);
        let ended = daemon.clock.now();
        self.look_at = ended + ((ended - began) * REST_TIMES).min(STEP_SHOWS_AFTER);
        if let Some(plan) = plan {
            if plan.epoch != view.plan.epoch {
                log::info!("has the duty of shares from epoch {} on", plan.epoch);
            }
            self.registry.tally.increment(Counter::PlansMade);
            let _ = daemon
                .gossip
                .send(node::HandleEvent(gossip::Event::PlanReceived(Arc::new(plan))))
                .await;
        }
    }
}
