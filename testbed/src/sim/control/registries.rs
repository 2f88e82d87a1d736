//! Registries: endpoint lists, operators' calls to the stores, steering and the traffic-shift plan.

use crate::sim::crash_points::CrashPoint;
use crate::sim::mutations::Mutation;
use crate::sim::network::{Body, CallId, Network, Purpose, Timer};
use crate::sim::state::{FAULTS_BEGIN, OperatorCall, RoleState, Sim};
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::{gossip, wire};
use vanepath_config::endpoint_list::EndpointList;
use vanepath_config::model;
use vanepath_registry::discovery::sequencer::{Effect as ListEffect, ListSequencer, READ_TIMEOUT};
use vanepath_registry::discovery::{PollOutcome, poller};
use vanepath_registry::store_client::{self, NextAction, StoreRequest};
use vanepath_registry::{leader, steering};
use vanepath_store::protocol::{Change, Outcome, Request, Response};

impl Sim {
    pub(in crate::sim) fn tick_registry(&mut self, index: usize) {
        let host = self.nodes[index].host;
        let now = self.net.local_time(host);
        let view = self.nodes[index].view.clone();
        let name = self.nodes[index].info.name.clone();
        let leaving = self.nodes[index].leaving;
        let ready = view.committed.revision > 0 && view.is_fresh && !leaving;
        let RoleState::Registry(registry) = &mut self.nodes[index].role_state else { return };
        registry.ready = ready;
        let is_read_due = match self.has_unversioned_lists {
            true => {
                let draw = self.net.random.draw();
                let sequencer =
                    registry.list_sequencer.get_or_insert_with(|| ListSequencer::new(&name, draw));
                sequencer.on_tick(now, &view) == Some(ListEffect::Read)
            }
            false => registry.polled_at.is_none_or(|at| now >= at + poller::POLL_INTERVAL),
        };
        if is_read_due {
            registry.polled_at = Some(now);
            let target = self.platform_host;
            self.net.send(
                host,
                target,
                READ_TIMEOUT,
                Body::ReadEndpointList,
                Purpose::EndpointList,
            );
        }
        self.nodes[index].is_ready = ready;
        let RoleState::Registry(registry) = &mut self.nodes[index].role_state else { return };
        let may_lead = registry.leadership.may_lead(now, view.is_fresh);
        let revision = view.committed.revision;
        let status = wire::NodeStatus {
            ready,
            draining: leaving,
            revision,
            synced: may_lead,
            hears_majority: leader::hears_majority(&view),
            ..wire::NodeStatus::default()
        };
        self.step_gossip(index, gossip::Event::StatusChanged(status));
        let RoleState::Registry(registry) = &mut self.nodes[index].role_state else { return };
        if !may_lead || view.leader(wire::Role::Registry).is_none_or(|info| info.name != name) {
            return;
        }
        let may_shift = now >= registry.next_plan_at;
        if may_shift {
            registry.next_plan_at = now + Duration::from_secs(4);
        }
        let peers = &self.nodes[index].gossip.peers;
        let plan = leader::next_plan(&view, &name, peers, may_shift);
        if let Some(plan) = plan {
            let text = format!("{name}: plan {}.{}", plan.epoch, plan.counter);
            let away: Vec<&String> = plan.unreachable.iter().collect();
            self.trace_event(|| format!("{text}, away {away:?}, cold {:?}", plan.warming_up));
            self.step_gossip(index, gossip::Event::PlanReceived(Arc::new(plan)));
        }
    }

    pub(in crate::sim) fn endpoint_list_received(
        &mut self,
        index: usize,
        list: Option<Arc<EndpointList>>,
    ) {
        if self.has_unversioned_lists {
            return self.unversioned_list_received(index, list);
        }
        let last = self.nodes[index].view.endpoints.clone();
        let Some(list) = list else { return };
        let outcome = poller::evaluate(&last, &list);
        if outcome == PollOutcome::Good && list.revision > last.revision {
            self.step_gossip(index, gossip::Event::EndpointListReceived(list));
        }
    }

    /// A registry got the list of a platform that does not number its lists, or none.
    pub(in crate::sim) fn unversioned_list_received(
        &mut self,
        index: usize,
        list: Option<Arc<EndpointList>>,
    ) {
        let now = self.net.local_time(self.nodes[index].host);
        let view = self.nodes[index].view.clone();
        let RoleState::Registry(registry) = &mut self.nodes[index].role_state else { return };
        let Some(sequencer) = &mut registry.list_sequencer else { return };
        let source_revision = list.as_ref().map(|list| list.revision);
        let servers = list.map(|list| list.servers.clone());
        let reply = sequencer.on_read_completed(now, &view, servers);
        if let (Some(ListEffect::Publish { list, began_at }), Some(source_revision)) =
            (reply, source_revision)
        {
            let known = self.source_list_revisions.entry(list.revision).or_default();
            *known = source_revision.max(*known);
            self.step_gossip(index, gossip::Event::EndpointListRead { list, began_at });
        }
    }

    /// The platform's own revision of the list that has this revision within the fleet.
    pub fn source_list_revision(&self, revision: u64) -> u64 {
        match self.has_unversioned_lists {
            true => self.source_list_revisions.get(&revision).copied().unwrap_or_default(),
            false => revision,
        }
    }

    /// What the platform answers: its list, or what a platform in trouble serves in its place. Half of its
    /// answers are good even then.
    pub(in crate::sim) fn endpoint_list_reply(&mut self) -> Option<Body> {
        if !self.endpoint_lists_faulty {
            return Some(Body::EndpointList(self.platform.clone()));
        }
        let revision = self.platform.revision;
        let mut list = (*self.platform).clone();
        match self.net.random.below(12) {
            0 => Some(Body::EndpointListText("{\"revision\": ".to_string())),
            1 => Some(Body::EndpointListText(format!(
                r#"{{"revision": {}, "servers": [{{"id": "x", "address": "nowhere", "zone": "z"}}]}}"#,
                revision + 5
            ))),
            2 => Some(Body::EndpointListText(format!(
                r#"{{"revision": {}, "servers": []}}"#,
                revision + 5
            ))),
            3 => Some(Body::EndpointListText("<html>503</html>".to_string())),
            4 => {
                // The list as it was before: no server drains.
                list.revision = revision.saturating_sub(1);
                list.servers.iter_mut().for_each(|server| server.draining = false);
                Some(Body::EndpointList(Arc::new(list)))
            }
            5 => None,
            _ => Some(Body::EndpointList(self.platform.clone())),
        }
    }

    pub(in crate::sim) fn endpoint_list_text_received(&mut self, index: usize, text: &str) {
        let last = self.nodes[index].view.endpoints.clone();
        let (_, list) = poller::parse_response(&last, text.as_bytes());
        if let Some(list) = list {
            self.step_gossip(index, gossip::Event::EndpointListReceived(Arc::new(list)));
        }
    }

    pub(in crate::sim) fn start_store_call(
        &mut self,
        index: usize,
        operation: usize,
        call: CallId,
    ) {
        if let OperatorCall::Change {
            change: Change::ReplaceConfig { bytes, version, .. }, ..
        } = &mut self.operations[operation].call
        {
            match model::parse(bytes) {
                Ok(config) => *version = config.version,
                Err(errors) if self.mutation != Some(Mutation::AcceptsInvalidConfigs) => {
                    let reason: Vec<&str> =
                        errors.iter().map(|error| error.path.as_str()).collect();
                    let reason = reason.join(", ");
                    return self
                        .net
                        .reply(call, Body::OperatorResponse(Outcome::NotApplied { reason }));
                }
                Err(_) => {}
            }
        }
        let mut request = match &self.operations[operation].call {
            OperatorCall::Change { key, change } => {
                let keyless_for =
                    self.operations[operation].call.evacuation().map(|_| Duration::ZERO);
                Request::Change { key: key.clone(), change: change.clone(), keyless_for }
            }
            OperatorCall::Read => Request::Read,
            OperatorCall::History { revision } => Request::History { revision: *revision },
        };
        if let Request::Change { keyless_for, change, .. } = &mut request {
            if self.has_mutation(Mutation::CountsRetransmissions) {
                *keyless_for = None;
            }
            let committed = &self.nodes[index].view.committed;
            if let Change::DrainZone { zone } = change
                && self.has_mutation(Mutation::MergesDrains)
                && committed.drained_zones.contains(zone)
            {
                let (revision, config_revision) = (committed.revision, committed.config_revision);
                let reply = Outcome::Accepted { revision, config_revision, is_repeat: true };
                return self.net.reply(call, Body::OperatorResponse(reply));
            }
        }
        if self.has_mutation(Mutation::RefusesOperators) && operation.is_multiple_of(9) {
            let reason = "broken on purpose".to_string();
            return self.net.reply(call, Body::OperatorResponse(Outcome::NotApplied { reason }));
        }
        let now = self.net.local_time(self.nodes[index].host);
        let RoleState::Registry(registry) = &mut self.nodes[index].role_state else { return };
        registry.next_store_call += 1;
        let store_call = registry.next_store_call;
        registry.store_calls.insert(store_call, (StoreRequest::new(request, now), call));
        self.step_store_call(index, store_call);
    }

    pub(in crate::sim) fn step_store_call(&mut self, index: usize, number: usize) {
        let host = self.nodes[index].host;
        let now = self.net.local_time(host);
        let stores = store_client::stores(&self.nodes[index].view);
        let RoleState::Registry(registry) = &mut self.nodes[index].role_state else { return };
        let Some((store_call, call)) = registry.store_calls.get_mut(&number) else { return };
        match store_call.next(now, stores) {
            NextAction::Send(info) => {
                let target = Network::host_at(info.cluster_address);
                let mut request = store_call.request_at(now);
                if self.reaches_crash_point(index, CrashPoint::BeforeStoreRequest) {
                    return;
                }
                if self.has_mutation(Mutation::ForgetsVersions)
                    && let Request::Change { change: Change::ReplaceConfig { version, .. }, .. } =
                        &mut request
                {
                    *version = None;
                }
                if self.has_mutation(Mutation::ForgetsKeys)
                    && let Request::Change { key, .. } = &mut request
                {
                    *key = format!("{key}-{}", self.net.random.draw());
                }
                let body = Body::StoreRequest(request);
                let limit = store_client::ATTEMPT_TIMEOUT;
                self.net.send(host, target, limit, body, Purpose::StoreCall { store_call: number });
                self.reaches_crash_point(index, CrashPoint::AfterStoreRequest);
            }
            NextAction::Pause(pause) => self.net.set_timer(host, pause, Timer::StoreCall(number)),
            NextAction::End(outcome) => {
                let call = *call;
                registry.store_calls.remove(&number);
                self.net.reply(call, Body::OperatorResponse(outcome));
            }
        }
    }

    pub(in crate::sim) fn store_call_replied(
        &mut self,
        index: usize,
        number: usize,
        response: Option<Response>,
    ) {
        let host = self.nodes[index].host;
        let now = self.net.local_time(host);
        let RoleState::Registry(registry) = &mut self.nodes[index].role_state else { return };
        let Some((store_call, call)) = registry.store_calls.get_mut(&number) else { return };
        match store_call.on_response(response) {
            Some(outcome) => {
                let call = *call;
                let answered = store_call.acknowledgement(now, &outcome);
                registry.store_calls.remove(&number);
                if self.reaches_crash_point(index, CrashPoint::BeforeAcknowledgement) {
                    return;
                }
                self.net.reply(call, Body::OperatorResponse(outcome));
                let Some(answered) = answered else { return };
                for info in store_client::stores(&self.nodes[index].view) {
                    let target = Network::host_at(info.cluster_address);
                    let limit = store_client::ATTEMPT_TIMEOUT;
                    let body = Body::StoreRequest(answered.clone());
                    self.net.send(host, target, limit, body, Purpose::None);
                }
            }
            None => self.step_store_call(index, number),
        }
    }

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
        let extend = |mut response: jzon::JsonValue| {
            if has_long_ttl {
                response["TTL"] = 9.into();
            }
            response.dump()
        };
        let text = answer.response.map(extend).unwrap_or_default();
        self.net.reply(call, Body::SteeringResponse(text));
    }

    /// A store's response, as the mutations alter it.
    pub(in crate::sim) fn corrupt_response(&self, response: Response) -> Response {
        match response {
            Response::Outcome(Outcome::Value { mut value })
                if self.has_mutation(Mutation::AltersReads) =>
            {
                if let Some(byte) = value.document.last_mut() {
                    *byte = b' ';
                }
                Response::Outcome(Outcome::Value { value })
            }
            Response::Outcome(Outcome::Accepted { revision, config_revision, is_repeat })
                if self.has_mutation(Mutation::WrongRevisions) =>
            {
                let revision = revision.saturating_sub(revision % 3);
                Response::Outcome(Outcome::Accepted { revision, config_revision, is_repeat })
            }
            response => response,
        }
    }
}
