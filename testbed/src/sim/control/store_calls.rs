//! A registry's calls to the stores on behalf of operators.

use crate::sim::crash_points::CrashPoint;
use crate::sim::mutations::Mutation;
use crate::sim::network::{Body, CallId, HostId, Network, Purpose, Timer};
use crate::sim::state::{OperatorCall, RoleState, Sim};
use std::time::Duration;
use vanepath_config::model;
use vanepath_registry::store_client::{self, NextAction, StoreRequest};
use vanepath_store::protocol::{Change, Outcome, Request, Response};

impl Sim {
    /// Handles an operator's call that reaches a registry.
    pub(in crate::sim) fn start_store_call(
        &mut self,
        index: usize,
        operation: usize,
        call: CallId,
    ) {
        if let Some(outcome) = self.outcome_without_stores(index, operation) {
            return self.net.reply(call, Body::OperatorResponse(outcome));
        }
        let now = self.net.local_time(self.nodes[index].host);
        let latest_revision = self.nodes[index].view.committed.revision;
        let RoleState::Registry(registry) = &mut self.nodes[index].role_state else { return };
        let known_revision = match self.mutation {
            Some(Mutation::TakesLateOrdersForNew) => latest_revision,
            _ => registry.request_fence.known_revision(now),
        };
        let request = self.store_request(operation, known_revision);
        let RoleState::Registry(registry) = &mut self.nodes[index].role_state else { return };
        registry.next_store_call += 1;
        let store_call = registry.next_store_call;
        registry.store_calls.insert(store_call, (StoreRequest::new(request, now), call));
        self.step_store_call(index, store_call);
    }

    /// Drops a registry's call to the stores when the operator that waits for it leaves, as the program does when
    /// the operator's connection is closed. The request that is on its way to a store stays there.
    pub(in crate::sim) fn drop_store_call(&mut self, registry: HostId, operator_call: CallId) {
        let Some(index) = self.node_by_host.get(&registry).copied() else { return };
        if let RoleState::Registry(registry) = &mut self.nodes[index].role_state {
            registry.store_calls.retain(|_, (_, call)| *call != operator_call);
        }
    }

    /// Returns the outcome of a call that does not reach the stores, either because its
    /// configuration is invalid or because a mutation decides it.
    fn outcome_without_stores(&mut self, index: usize, operation: usize) -> Option<Outcome> {
        let operator_call = &mut self.operations[operation].call;
        if let OperatorCall::Change {
            change: Change::ReplaceConfig { bytes, version, .. }, ..
        } = operator_call
        {
            match model::parse(bytes) {
                Ok(config) => *version = config.version,
                Err(errors) if self.mutation != Some(Mutation::AcceptsInvalidConfigs) => {
                    let paths: Vec<&str> = errors.iter().map(|error| error.path.as_str()).collect();
                    return Some(Outcome::NotApplied { reason: paths.join(", ") });
                }
                Err(_) => {}
            }
        }
        if self.skips_drain_order(operation) {
            let committed = &self.nodes[index].view.committed;
            let (revision, config_revision) = (committed.revision, committed.config_revision);
            return Some(Outcome::Accepted { revision, config_revision, is_repeat: true });
        }
        if self.has_mutation(Mutation::RefusesOperators) && operation.is_multiple_of(9) {
            return Some(Outcome::NotApplied {
                reason: "rejected by a mutation of the simulator".to_string(),
            });
        }
        None
    }

    /// Whether a mutation acknowledges this drain order without passing it on.
    fn skips_drain_order(&mut self, operation: usize) -> bool {
        let OperatorCall::Change { change, .. } = &self.operations[operation].call else {
            return false;
        };
        match change {
            Change::DrainZone { .. } => {
                let is_evacuation = self.operations[operation].call.evacuation().is_some();
                is_evacuation && self.has_mutation(Mutation::LosesDrains)
            }
            Change::RestoreZone { zone } => {
                let balance = self.count_drain_calls(zone);
                balance > 0 && self.has_mutation(Mutation::CountsDrains)
            }
            Change::ReplaceConfig { .. } => false,
        }
    }

    /// The number of calls so far that drained this zone, less the number of those that restored it.
    fn count_drain_calls(&self, zone: &str) -> i64 {
        let weight = |call: &OperatorCall| match call {
            OperatorCall::Change { change: Change::DrainZone { zone: other }, .. }
                if other == zone =>
            {
                1
            }
            OperatorCall::Change { change: Change::RestoreZone { zone: other }, .. }
                if other == zone =>
            {
                -1
            }
            _ => 0,
        };
        self.operations.iter().map(|operation| weight(&operation.call)).sum()
    }

    fn store_request(&self, operation: usize, known_revision: u64) -> Request {
        let operator_call = &self.operations[operation].call;
        match operator_call {
            OperatorCall::Change { key, change } => {
                let is_keyless = operator_call.evacuation().is_some();
                let keyless_for = is_keyless.then_some(Duration::ZERO);
                let is_stated = !self.has_mutation(Mutation::CarriesOutOvertakenOrders);
                let known_revision = is_stated.then_some(known_revision);
                let (key, change) = (key.clone(), change.clone());
                Request::Change { key, change, keyless_for, known_revision }
            }
            OperatorCall::Read => Request::Read,
            OperatorCall::History { revision } => Request::History { revision: *revision },
        }
    }

    /// Takes the next step of a call to the stores.
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
                let timeout = store_client::ATTEMPT_TIMEOUT;
                self.net.send(
                    host,
                    target,
                    timeout,
                    body,
                    Purpose::StoreCall { store_call: number },
                );
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

    /// Handles a store's response to an attempt of a call; `None` if there was none.
    pub(in crate::sim) fn store_call_replied(
        &mut self,
        index: usize,
        number: usize,
        response: Option<Response>,
    ) {
        let now = self.net.local_time(self.nodes[index].host);
        let resends_overtaken = self.has_mutation(Mutation::ResendsOvertakenOrders);
        let RoleState::Registry(registry) = &mut self.nodes[index].role_state else { return };
        let Some((store_call, call)) = registry.store_calls.get_mut(&number) else { return };
        if let Some(Response::Outcome(
            Outcome::Overtaken { revision } | Outcome::Accepted { revision, .. },
        )) = &response
        {
            registry.request_fence.observe(now, *revision);
        }
        if let Some(Response::Outcome(Outcome::Overtaken { revision })) = &response
            && resends_overtaken
        {
            let mut request = store_call.request_at(now);
            if let Request::Change { known_revision, .. } = &mut request {
                *known_revision = Some(*revision);
            }
            *store_call = StoreRequest::new(request, now);
            return self.step_store_call(index, number);
        }
        match store_call.on_response(response) {
            Some(outcome) => {
                let call = *call;
                registry.store_calls.remove(&number);
                if self.reaches_crash_point(index, CrashPoint::BeforeAcknowledgement) {
                    return;
                }
                self.net.reply(call, Body::OperatorResponse(outcome));
            }
            None => self.step_store_call(index, number),
        }
    }

    /// Returns a store's response, altered if a mutation does so.
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
