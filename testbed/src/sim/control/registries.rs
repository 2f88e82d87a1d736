//! Registries: readiness, the traffic-shift plan and steering.

use crate::sim::mutations::Mutation;
use crate::sim::network::{Body, CallId};
use crate::sim::state::{FAULTS_BEGIN, RoleState, Sim};
use jzon::JsonValue;
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::{gossip, wire};
use vanepath_registry::{leader, steering};

/// How often the leader may shift traffic.
const SHIFT_INTERVAL: Duration = Duration::from_secs(4);

impl Sim {
    /// A registry's regular tick.
    pub(in crate::sim) fn tick_registry(&mut self, index: usize) {
        let host = self.nodes[index].host;
        let now = self.net.local_time(host);
        let view = self.nodes[index].view.clone();
        let name = self.nodes[index].info.name.clone();
        let is_draining = self.nodes[index].is_draining;
        let ready = view.committed.revision > 0 && view.is_fresh && !is_draining;
        let RoleState::Registry(registry) = &mut self.nodes[index].role_state else { return };
        registry.ready = ready;
        registry.request_fence.observe(now, view.committed.revision);
        self.poll_endpoint_list(index, now, &view);
        self.nodes[index].is_ready = ready;
        let RoleState::Registry(registry) = &mut self.nodes[index].role_state else { return };
        let may_lead = registry.leadership.may_lead(now, view.is_fresh);
        let revision = view.committed.revision;
        let status = wire::NodeStatus {
            ready,
            draining: is_draining,
            revision,
            synced: may_lead,
            hears_majority: leader::hears_majority(&view),
            ..wire::NodeStatus::default()
        };
        self.step_gossip(index, gossip::Event::StatusChanged(status));
        if !may_lead || view.leader(wire::Role::Registry).is_none_or(|info| info.name != name) {
            return;
        }
        self.plan_traffic_shift(index, now, &view);
    }

    /// Makes the next traffic-shift plan, on the registry that is the leader.
    fn plan_traffic_shift(&mut self, index: usize, now: Duration, view: &ClusterView) {
        let name = self.nodes[index].info.name.clone();
        let RoleState::Registry(registry) = &mut self.nodes[index].role_state else { return };
        let may_shift = now >= registry.next_plan_at;
        if may_shift {
            registry.next_plan_at = now + SHIFT_INTERVAL;
        }
        let peers = &self.nodes[index].gossip.peers;
        if let Some(plan) = leader::next_plan(view, &name, peers, may_shift) {
            let text = format!("{name}: plan {}.{}", plan.epoch, plan.counter);
            let unreachable: Vec<&String> = plan.unreachable.iter().collect();
            self.trace_event(|| {
                format!("{text}, unreachable {unreachable:?}, warming up {:?}", plan.warming_up)
            });
            self.step_gossip(index, gossip::Event::PlanReceived(Arc::new(plan)));
        }
    }

    /// Answers a client's poll of the steering service.
    pub(in crate::sim) fn steer(&mut self, index: usize, query: &str, call: CallId) {
        let random = self.net.random.draw();
        let node = &self.nodes[index];
        let RoleState::Registry(registry) = &node.role_state else { return };
        let location = (node.info.zone.as_str(), node.info.region.as_str());
        let query = query.split_once('?').map_or("", |(_, query)| query);
        let answer = steering::steer(&node.view, registry.ready, location, query, random);
        if self.has_mutation(Mutation::SteeringStaysDown) && self.net.now > FAULTS_BEGIN {
            return self.net.reply(call, Body::SteeringResponse(String::new()));
        }
        let has_long_ttl = self.has_mutation(Mutation::LongSteeringTtl);
        let apply_ttl = |mut response: JsonValue| {
            if has_long_ttl {
                response["TTL"] = 9.into();
            }
            response.dump()
        };
        let text = answer.response.map(apply_ttl).unwrap_or_default();
        self.net.reply(call, Body::SteeringResponse(text));
    }
}
