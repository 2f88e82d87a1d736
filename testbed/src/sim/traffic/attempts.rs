//! The attempts that a proxy makes for a request: selection, connection, hedging and outcomes.

use super::method;
use crate::sim::crash_points::CrashPoint;
use crate::sim::mutations::Mutation;
use crate::sim::network::{Body, Network, Purpose, Timer};
use crate::sim::state::{AttemptInProgress, Proxy, RequestInProgress, RoleState, Sim, World};
use std::sync::Arc;
use std::time::Duration;
use vanepath_config::model::Idempotency;
use vanepath_proxy::connector;
use vanepath_proxy::endpoints::{self, HedgeDecision, IdleConnection, Selection, SelectionContext};
use vanepath_proxy::health::{Failure, ServerHealth, ServerPhase};
use vanepath_proxy::lifecycle::{AfterFailure, AttemptError, Rejection, RequestState};
use vanepath_proxy::retry_budget::RetryReason;

impl Sim {
    /// Selects a server for the next attempt and connects to it.
    pub(super) fn select_server(&mut self, index: usize, progress_id: usize) {
        let host = self.nodes[index].host;
        let now = self.net.local_time(host);
        let region = self.nodes[index].info.region.clone();
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        if now >= progress.deadline {
            return self.answer_client(index, progress_id, Err(Rejection::DeadlineExceeded));
        }
        progress.lifecycle.state = RequestState::Selecting;
        if let Err(rejection) = adopt_latest_table(proxy, progress_id, &self.world, &region) {
            return self.answer_client(index, progress_id, Err(rejection));
        }
        if let Err(rejection) = self.authenticate_request(index, progress_id) {
            return self.answer_client(index, progress_id, Err(rejection));
        }
        let Some(selection) = self.select_endpoint(index, progress_id) else { return };
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        match selection {
            Selection::Server { endpoint, .. } => self.start_attempt(index, progress_id, endpoint),
            Selection::Wait(until) if until < progress.deadline => {
                let pause = until.saturating_sub(now).max(Duration::from_millis(1));
                let pause = pause.min(Duration::from_millis(50));
                self.net.set_timer(host, pause, Timer::SelectServer(progress_id));
            }
            Selection::Congested => {
                self.answer_client(index, progress_id, Err(Rejection::Congested))
            }
            _ => self.answer_client(index, progress_id, Err(Rejection::NoServer)),
        }
    }

    /// Selects an endpoint from the routing table of the request.
    fn select_endpoint(&mut self, index: usize, progress_id: usize) -> Option<Selection> {
        let now = self.net.local_time(self.nodes[index].host);
        let node = &self.nodes[index];
        let RoleState::Proxy(proxy) = &node.role_state else { return None };
        let progress = proxy.in_progress.get(&progress_id)?;
        let drained_zones = &node.view.committed.drained_zones;
        let context = SelectionContext {
            zone: &node.info.zone,
            region: &node.info.region,
            ..selection_context(progress, drained_zones)
        };
        let draw = self.net.random.draw();
        Some(proxy.endpoints.select(now, &progress.table, &context, draw))
    }

    /// Starts an attempt at the selected endpoint, on an idle connection or a new one.
    fn start_attempt(&mut self, index: usize, progress_id: usize, endpoint: usize) {
        let host = self.nodes[index].host;
        let now = self.net.local_time(host);
        let zone = self.nodes[index].info.zone.clone();
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        let slot = progress.table.endpoints[endpoint].slot;
        let address = progress.table.endpoints[endpoint].server.address;
        progress.tried_slots.push(slot);
        progress.lifecycle.attempts += 1;
        progress.lifecycle.state = RequestState::Connecting;
        progress.hedge_timer += 1;
        let number = progress.lifecycle.attempts;
        progress.attempts.push(AttemptInProgress {
            number,
            table: progress.table.clone(),
            endpoint_index: endpoint,
            slot,
            connection: None,
            upstream_call: None,
            is_overdue: false,
        });
        self.world.attempts += 1;
        if number > 1 {
            self.world.retries.push(self.net.now);
        }
        if progress.table.endpoints[endpoint].server.zone != zone {
            self.world.cross_zone_attempts += 1;
        }
        let (connections, net_now) = (&self.world.connections, self.net.now);
        let is_open = |idle: &IdleConnection<u64>| {
            connections
                .get(&idle.connection)
                .is_some_and(|entry| entry.closed_at.is_none_or(|closed_at| closed_at > net_now))
        };
        let idle = proxy.endpoints.take_idle(now, slot, is_open);
        if self.reaches_crash_point(index, CrashPoint::BeforeConnect) {
            return;
        }
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        let is_recent = |idle: &IdleConnection<u64>| {
            progress.lifecycle.idempotency == Idempotency::Idempotent
                || now.saturating_sub(idle.verified_at) <= Duration::from_secs(1)
        };
        match idle {
            Some(idle) if is_recent(&idle) => {
                if let Some(attempt) = progress.attempts.last_mut() {
                    attempt.connection = Some((idle.connection, idle.verified_at));
                }
                self.send_upstream(index, progress_id, number);
            }
            _ => {
                let timeout = connector::TIMEOUT.min(progress.deadline - now);
                let purpose = Purpose::Connect { progress_id, attempt: number };
                self.net.send(host, Network::host_at(address), timeout, Body::HealthCheck, purpose);
            }
        }
    }

    /// Handles a new connection of an attempt, which was opened and checked or failed.
    pub(super) fn connected(
        &mut self,
        index: usize,
        progress_id: usize,
        number: u32,
        body: Option<Body>,
        is_reset: bool,
    ) {
        let now = self.net.local_time(self.nodes[index].host);
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        let Some(attempt) = progress.attempts.iter_mut().find(|attempt| attempt.number == number)
        else {
            return;
        };
        let endpoint = &attempt.table.endpoints[attempt.endpoint_index];
        match body {
            Some(Body::HealthCheckResult { server, connection, is_warming_up, .. })
                if server == endpoint.server.id =>
            {
                if is_warming_up {
                    proxy.endpoints.update_health(endpoint.slot, |health| {
                        if health.phase == ServerPhase::Healthy {
                            health.restart_slow_start(now, Duration::ZERO);
                        }
                    });
                }
                progress.lifecycle.state = RequestState::Verified;
                attempt.connection = Some((connection, now));
                self.send_upstream(index, progress_id, number);
            }
            other => {
                let failure = match other.is_some() || is_reset {
                    true => Failure::Refused,
                    false => Failure::Unreachable,
                };
                proxy.endpoints.record_failure(now, endpoint.slot, failure);
                self.fail_attempt(index, progress_id, number, AttemptError::NotConnected);
            }
        }
    }

    /// Sends the request to the server of an attempt.
    fn send_upstream(&mut self, index: usize, progress_id: usize, number: u32) {
        let host = self.nodes[index].host;
        let now = self.net.local_time(host);
        let committed = self.nodes[index].view.committed.clone();
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        let Some(attempt) = progress.attempts.iter().find(|attempt| attempt.number == number)
        else {
            return;
        };
        let Some((connection, _)) = attempt.connection else { return };
        if !self.may_send_by_lease(index, progress_id) {
            return self.fail_attempt(index, progress_id, number, AttemptError::Withdrawn);
        }
        let sender = self.tenant_of(index, progress_id);
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        let Some(attempt) = progress.attempts.iter().find(|attempt| attempt.number == number)
        else {
            return;
        };
        let endpoint = &attempt.table.endpoints[attempt.endpoint_index];
        if proxy.endpoints.is_withdrawn(&attempt.table, endpoint, &committed.drained_zones) {
            return self.fail_attempt(index, progress_id, number, AttemptError::Withdrawn);
        }
        let time_left = progress.deadline.saturating_sub(now);
        progress.lifecycle.record_sent();
        proxy.endpoints.record_sent(now, endpoint.slot);
        let body = Body::UpstreamRequest {
            request: progress.request,
            connection,
            sent_at: self.net.now,
            sender,
        };
        let target = Network::host_at(endpoint.server.address);
        if self.reaches_crash_point(index, CrashPoint::BeforeSend) {
            return;
        }
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        self.world.requests[progress.request].sent_to.push(target);
        let purpose = Purpose::UpstreamRequest { progress_id, attempt: number };
        let call = self.net.send(host, target, time_left, body, purpose);
        if let Some(attempt) = progress.attempts.iter_mut().find(|attempt| attempt.number == number)
        {
            attempt.upstream_call = Some((call, now));
        }
        self.schedule_hedge(index, progress_id, false);
        self.reaches_crash_point(index, CrashPoint::AfterSend);
    }

    /// Sets the timer after which another server is considered, unless a connection to one is
    /// already being opened.
    fn schedule_hedge(&mut self, index: usize, progress_id: usize, is_immediate: bool) {
        let host = self.nodes[index].host;
        let now = self.net.local_time(host);
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        progress.hedge_timer += 1;
        if progress.attempts.iter().any(|attempt| attempt.upstream_call.is_none()) {
            return;
        }
        let time_left = progress.deadline.saturating_sub(now);
        if let Some(delay) = progress.lifecycle.hedge_after(time_left) {
            let delay = if is_immediate { Duration::ZERO } else { delay };
            let timer = Timer::HedgeRequest { progress_id, timer: progress.hedge_timer };
            self.net.set_timer(host, delay, timer);
        }
    }

    /// Considers another server for a request: a third of the time left has passed without a reply,
    /// or one of several attempts has failed.
    pub(super) fn hedge_request(&mut self, index: usize, progress_id: usize, timer: u32) {
        let now = self.net.local_time(self.nodes[index].host);
        let node = &mut self.nodes[index];
        let live = endpoints::live_proxies(&node.view);
        let RoleState::Proxy(proxy) = &mut node.role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        if progress.hedge_timer != timer {
            return;
        }
        let drained_zones = &node.view.committed.drained_zones;
        let context = SelectionContext {
            zone: &node.info.zone,
            region: &node.info.region,
            ..selection_context(progress, drained_zones)
        };
        let pending = progress.pending();
        let (table, budget) = (&progress.table, &mut proxy.retry_budget);
        let decision = proxy.endpoints.decide_hedge(
            now,
            table,
            &context,
            &pending,
            node.is_draining,
            |reason| budget.would_allow(now, live, reason),
        );
        match decision {
            HedgeDecision::Hedge(reason) if self.begin_hedge(index, progress_id, reason) => return,
            HedgeDecision::GiveUp => {
                self.mark_overdue(index, progress_id);
                return self.answer_client(index, progress_id, Err(Rejection::DeadlineExceeded));
            }
            HedgeDecision::Hedge(_) | HedgeDecision::Wait => {}
        }
        let RoleState::Proxy(proxy) = &self.nodes[index].role_state else { return };
        if let Some(latest) = pending.last() {
            proxy.endpoints.update_health(latest.slot, ServerHealth::request_probe);
        }
        self.schedule_hedge(index, progress_id, false);
    }

    /// Begins an attempt at another server of the latest routing table, if the retry budget allows
    /// it. Returns whether it did.
    fn begin_hedge(&mut self, index: usize, progress_id: usize, reason: RetryReason) -> bool {
        let now = self.net.local_time(self.nodes[index].host);
        let region = self.nodes[index].info.region.clone();
        let live = endpoints::live_proxies(&self.nodes[index].view);
        if !self.is_proxy_ready(index) {
            return false;
        }
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return false };
        if adopt_latest_table(proxy, progress_id, &self.world, &region).is_err()
            || self.authenticate_request(index, progress_id).is_err()
        {
            return false;
        }
        let Some(Selection::Server { endpoint, .. }) = self.select_endpoint(index, progress_id)
        else {
            return false;
        };
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return false };
        let Some(progress) = proxy.in_progress.get(&progress_id) else { return false };
        if !proxy.retry_budget.try_take(now, live, reason) {
            proxy.endpoints.release(progress.table.endpoints[endpoint].slot);
            return false;
        }
        self.mark_overdue(index, progress_id);
        if self.mutation == Some(Mutation::CutsOffSlowServers) {
            self.abort_attempts(index, progress_id);
        }
        self.start_attempt(index, progress_id, endpoint);
        true
    }

    /// Records that the server that got the request last is overdue with its response.
    fn mark_overdue(&mut self, index: usize, progress_id: usize) {
        let now = self.net.local_time(self.nodes[index].host);
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        let mut sent =
            progress.attempts.iter_mut().filter(|attempt| attempt.upstream_call.is_some());
        if let Some(latest) = sent.next_back().filter(|latest| !latest.is_overdue) {
            latest.is_overdue = true;
            proxy.endpoints.record_outcome(now, latest.slot, Err(AttemptError::TimedOut));
        }
    }

    /// Implements [`Mutation::CutsOffSlowServers`]: aborts the attempts at all servers that have
    /// the request.
    fn abort_attempts(&mut self, index: usize, progress_id: usize) {
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        for attempt in std::mem::take(&mut progress.attempts) {
            proxy.endpoints.release(attempt.slot);
            if let Some((call, _)) = attempt.upstream_call {
                self.net.cancel(call);
                progress.lifecycle.record_ended();
                progress.lifecycle.may_have_run = true;
                progress.was_aborted = true;
            }
        }
    }

    /// Handles a server's response to an attempt; `None` if there was none.
    pub(super) fn upstream_replied(
        &mut self,
        index: usize,
        progress_id: usize,
        number: u32,
        body: Option<Body>,
        is_reset: bool,
    ) {
        let now = self.net.local_time(self.nodes[index].host);
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        let Some(attempt) = progress.attempts.iter_mut().find(|attempt| attempt.number == number)
        else {
            return;
        };
        let slot = attempt.slot;
        let outcome = match body {
            Some(Body::UpstreamResponse { load_milli, is_truncated: false }) => {
                proxy.endpoints.observe_load(now, slot, load_milli);
                Ok(())
            }
            Some(_) => Err(AttemptError::Truncated),
            None if is_reset => Err(AttemptError::LostAfterSend),
            None => Err(AttemptError::TimedOut),
        };
        match outcome {
            Ok(()) if attempt.is_overdue => {
                proxy.endpoints.record_late_response(now, slot);
            }
            Err(AttemptError::TimedOut) if attempt.is_overdue => {}
            _ => {
                proxy.endpoints.record_outcome(now, slot, outcome);
            }
        }
        if let Err(error) = outcome {
            return self.fail_attempt(index, progress_id, number, error);
        }
        if let Some((connection, verified_at)) = attempt.connection.take() {
            let idle = IdleConnection {
                connection,
                verified_at,
                idle_since: now,
                keep_alive: endpoints::MAX_IDLE_TIME,
                is_used: true,
            };
            proxy.endpoints.put_idle(slot, idle);
        }
        progress.lifecycle.record_ended();
        progress.lifecycle.state = RequestState::Done;
        self.answer_client(index, progress_id, Ok(()));
    }

    /// Handles a failed attempt: waits for another attempt in progress, retries or ends the
    /// request.
    fn fail_attempt(&mut self, index: usize, progress_id: usize, number: u32, error: AttemptError) {
        let now = self.net.local_time(self.nodes[index].host);
        let live = endpoints::live_proxies(&self.nodes[index].view);
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        let Some(attempt) = progress.take_attempt(number) else { return };
        proxy.endpoints.release(attempt.slot);
        let mut sent_at = Duration::ZERO;
        if let Some((_, at)) = attempt.upstream_call {
            progress.lifecycle.record_ended();
            sent_at = at;
        }
        let is_late = now >= progress.deadline;
        let reason = proxy.endpoints.retry_reason_after(error, attempt.slot, sent_at);
        let budget = &mut proxy.retry_budget;
        match self.mutation {
            Some(Mutation::RetriesFilings) => {
                progress.lifecycle.idempotency = Idempotency::Idempotent
            }
            Some(Mutation::NeverRetriesLookups) => {
                progress.lifecycle.sends = progress.lifecycle.max_sends
            }
            _ => {}
        }
        let is_unbound = self.mutation == Some(Mutation::UnboundRetries);
        let has_others = !progress.attempts.is_empty();
        let try_take_retry = || is_unbound || budget.try_take(now, live, reason);
        let next = progress.lifecycle.attempt_failed(error, is_late, has_others, try_take_retry);
        let request = progress.request;
        match next {
            AfterFailure::Retry => self.select_server(index, progress_id),
            AfterFailure::Await => self.schedule_hedge(index, progress_id, true),
            AfterFailure::Reject(rejection) => {
                self.world.requests[request].reasons += &format!("{error}; ");
                self.answer_client(index, progress_id, Err(rejection));
            }
        }
    }
}

/// The context in which a server is selected for a request, with the proxy's zone and region left
/// empty.
fn selection_context<'a>(
    progress: &'a RequestInProgress,
    drained_zones: &'a std::collections::BTreeSet<String>,
) -> SelectionContext<'a> {
    SelectionContext {
        tenant: None,
        rule: progress.rule,
        service: progress.table.config.rules[progress.rule].service,
        drained_zones,
        zone: "",
        region: "",
        tried: &progress.tried_slots,
        only_alternative_for: None,
        is_past_target: false,
    }
}

/// Continues a request with the latest routing table, in which a different rule may match it.
fn adopt_latest_table(
    proxy: &mut Proxy,
    progress_id: usize,
    world: &World,
    region: &str,
) -> Result<(), Rejection> {
    let latest = proxy.endpoints.table.load_full();
    let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return Ok(()) };
    let has_new_config = !Arc::ptr_eq(&latest.config, &progress.table.config);
    let mut rule = progress.rule;
    if has_new_config {
        let kind = world.requests[progress.request].kind;
        let path = world.paths[kind as usize];
        rule = latest.config.rule_for(method(kind), "h", path).ok_or(Rejection::Unmatched)?;
    }
    let is_misplaced = has_new_config && !latest.config.rules[rule].allows_region(region);
    // While a server has the request, the rule by which the server was selected still applies.
    if !is_misplaced || progress.attempts.is_empty() {
        progress.rule = rule;
        progress.table = latest;
    }
    if is_misplaced { Err(Rejection::WrongRegion) } else { Ok(()) }
}
