//! Requests in progress within a proxy: admission, selection, attempts and the answer.

use super::method;
use crate::sim::crash_points::CrashPoint;
use crate::sim::mutations::Mutation;
use crate::sim::network::{Body, CallId, Network, Purpose, Timer};
use crate::sim::state::{Proxy, ProxyArrival, RequestInProgress, RoleState, Sim, World};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::gossip;
use vanepath_config::ExecutionStatus;
use vanepath_config::model::Idempotency;
use vanepath_proxy::admission::{Admission, Woken};
use vanepath_proxy::connector;
use vanepath_proxy::endpoints::{
    self, CurrentAttempt, IdleConnection, Selection, SelectionContext,
};
use vanepath_proxy::health::{Failure, ServerPhase};
use vanepath_proxy::lifecycle::{
    AfterFailure, AttemptError, Rejection, RequestLifecycle, RequestState,
};

impl Sim {
    /// A request reaches a proxy.
    pub(in crate::sim) fn accept_request(&mut self, index: usize, request: usize, call: CallId) {
        let host = self.nodes[index].host;
        let now = self.net.local_time(host);
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        if proxy.closed {
            return self.net.reply(call, Body::Reset);
        }
        self.world.requests[request].forwarded_by.push(host);
        self.world.proxy_arrivals.push(ProxyArrival { at: self.net.now, request });
        proxy.next_progress_id += 1;
        let progress_id = proxy.next_progress_id;
        let table = proxy.endpoints.table.load_full();
        proxy.in_progress.insert(
            progress_id,
            RequestInProgress {
                call,
                request,
                lifecycle: RequestLifecycle::new(),
                table,
                rule: 0,
                tried: Vec::new(),
                received_at: now,
                deadline: now + gossip::READINESS_TIMEOUT,
                permit: None,
                queue_ticket: None,
                in_flight_on: None,
                endpoint_index: 0,
                connection: None,
                upstream_call: None,
            },
        );
        self.admit_request(index, progress_id);
    }

    /// Matches a request with its rule and asks for admission, once the proxy is ready.
    pub(super) fn admit_request(&mut self, index: usize, progress_id: usize) {
        let host = self.nodes[index].host;
        let now = self.net.local_time(host);
        if !self.is_proxy_ready(index) {
            let RoleState::Proxy(proxy) = &self.nodes[index].role_state else { return };
            let Some(progress) = proxy.in_progress.get(&progress_id) else { return };
            if self.nodes[index].view.is_stalled {
                return self.answer_client(index, progress_id, Err(Rejection::BelowReadIndex));
            }
            if now.saturating_sub(progress.received_at) >= gossip::READINESS_TIMEOUT {
                return self.answer_client(index, progress_id, Err(Rejection::NotReady));
            }
            return self.net.set_timer(
                host,
                Duration::from_millis(10),
                Timer::AdmitRequest(progress_id),
            );
        }
        let region = self.nodes[index].info.region.clone();
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        progress.table = proxy.endpoints.table.load_full();
        self.check_service(index);
        self.check_proxy_arrival(index);
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        let request = &self.world.requests[progress.request];
        let (verb, path) = (method(request.kind), self.world.paths[request.kind as usize]);
        let config = progress.table.config.clone();
        let rule = config.rule_for(verb, "h", path);
        let Some(rule) = rule else {
            return self.answer_client(index, progress_id, Err(Rejection::Unmatched));
        };
        progress.rule = rule;
        let rule_config = &config.rules[rule];
        let class = &config.classes[rule_config.class];
        progress.lifecycle.state = RequestState::Matched;
        progress.lifecycle.idempotency = class.idempotency;
        progress.lifecycle.is_replayable = true;
        progress.deadline = progress.received_at + class.deadline;
        if !rule_config.allows_region(&region) {
            return self.answer_client(index, progress_id, Err(Rejection::Misplaced));
        }
        let is_affected =
            class.idempotency == Idempotency::NonIdempotent && progress.request.is_multiple_of(50);
        if self.mutation == Some(Mutation::RefusesFilings) && is_affected {
            return self.answer_client(index, progress_id, Err(Rejection::NoServer));
        }
        proxy.request_rates.record_request(rule_config.service);
        proxy.retry_budget.record_request(now);
        self.world.admitted_at.push(self.net.now);
        progress.lifecycle.state = RequestState::Queued;
        let late = progress.deadline.saturating_sub(now);
        let class_index = proxy.admission.index(&class.name);
        let Some(class_index) = class_index else {
            return self.answer_client(index, progress_id, Err(Rejection::NotReady));
        };
        let admission = proxy.admission.enter(class_index, progress.deadline);
        match admission {
            Admission::Admitted(slot) => progress.permit = Some(slot),
            Admission::QueueFull => {
                return self.answer_client(index, progress_id, Err(Rejection::QueueFull));
            }
            Admission::Queued(ticket) => {
                progress.queue_ticket = Some(ticket);
                proxy.queued.insert(ticket, progress_id);
            }
        }
        let is_in = progress.permit.is_some();
        self.net.set_timer(host, late, Timer::QueueTimeout(progress_id));
        if is_in {
            self.select_server(index, progress_id);
        }
    }

    /// Goes on with requests that the admission queue let through.
    pub(super) fn resume_admitted(&mut self, index: usize, woken: Vec<Woken>) {
        for Woken { ticket, slot } in woken {
            let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
            let Some(progress_id) = proxy.queued.remove(&ticket) else { continue };
            if let Some(progress) = proxy.in_progress.get_mut(&progress_id) {
                progress.queue_ticket = None;
                progress.permit = Some(slot);
                self.select_server(index, progress_id);
            }
        }
    }

    /// Selects a server for the next attempt and connects to it.
    pub(super) fn select_server(&mut self, index: usize, progress_id: usize) {
        let host = self.nodes[index].host;
        let now = self.net.local_time(host);
        let (zone, region) = {
            let info = &self.nodes[index].info;
            (info.zone.clone(), info.region.clone())
        };
        let view = self.nodes[index].view.clone();
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        if now >= progress.deadline {
            return self.answer_client(index, progress_id, Err(Rejection::Late));
        }
        progress.lifecycle.state = RequestState::Selecting;
        if let Err(rejection) = adopt_latest_table(proxy, progress_id, &self.world, &region) {
            return self.answer_client(index, progress_id, Err(rejection));
        }
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        let context = SelectionContext {
            rule: progress.rule,
            service: progress.table.config.rules[progress.rule].service,
            drained_zones: &view.committed.drained_zones,
            zone: &zone,
            region: &region,
            tried: &progress.tried,
            only_alternative_for: None,
            is_past_target: false,
        };
        let selection =
            proxy.endpoints.select(now, &progress.table, &context, self.net.random.draw());
        let (endpoint, _service) = match selection {
            Selection::Server { endpoint, service } => (endpoint, service),
            Selection::Wait(until) if until < progress.deadline => {
                let pause = until.saturating_sub(now).max(Duration::from_millis(1));
                let pause = pause.min(Duration::from_millis(50));
                return self.net.set_timer(host, pause, Timer::SelectServer(progress_id));
            }
            Selection::Crowded => {
                return self.answer_client(index, progress_id, Err(Rejection::Crowded));
            }
            _ => return self.answer_client(index, progress_id, Err(Rejection::NoServer)),
        };
        self.start_attempt(index, progress_id, endpoint);
    }

    /// Starts an attempt at the selected endpoint: on an idle connection or on a new one.
    fn start_attempt(&mut self, index: usize, progress_id: usize, endpoint: usize) {
        let host = self.nodes[index].host;
        let now = self.net.local_time(host);
        let zone = self.nodes[index].info.zone.clone();
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        let slot = progress.table.endpoints[endpoint].slot;
        let address = progress.table.endpoints[endpoint].server.address;
        progress.endpoint_index = endpoint;
        progress.tried.push(slot);
        progress.in_flight_on = Some(slot);
        progress.lifecycle.attempts += 1;
        progress.lifecycle.state = RequestState::Connecting;
        self.world.attempts += 1;
        if progress.lifecycle.attempts > 1 {
            self.world.retries.push(self.net.now);
        }
        if progress.table.endpoints[endpoint].server.zone != zone {
            self.world.cross_zone_attempts += 1;
        }
        let (connections, net_now) = (&self.world.connections, self.net.now);
        let is_open = |idle: &IdleConnection<u64>| {
            connections
                .get(&idle.connection)
                .is_some_and(|one| one.closed_at.is_none_or(|closed_at| closed_at > net_now))
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
                progress.connection = Some((idle.connection, idle.verified_at));
                self.send_upstream(index, progress_id);
            }
            _ => {
                let timeout = connector::TIMEOUT.min(progress.deadline - now);
                let purpose = Purpose::Connect { progress_id };
                self.net.send(host, Network::host_at(address), timeout, Body::HealthCheck, purpose);
            }
        }
    }

    /// A new connection was opened and checked, or failed.
    pub(super) fn connected(
        &mut self,
        index: usize,
        progress_id: usize,
        body: Option<Body>,
        is_reset: bool,
    ) {
        let now = self.net.local_time(self.nodes[index].host);
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        let endpoint = &progress.table.endpoints[progress.endpoint_index];
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
                progress.connection = Some((connection, now));
                self.send_upstream(index, progress_id);
            }
            other => {
                let failure =
                    if other.is_some() || is_reset { Failure::Refused } else { Failure::Silent };
                proxy.endpoints.record_failure(now, endpoint.slot, failure);
                self.fail_attempt(index, progress_id, AttemptError::NotConnected);
            }
        }
    }

    /// Sends a request to the selected server.
    fn send_upstream(&mut self, index: usize, progress_id: usize) {
        let host = self.nodes[index].host;
        let now = self.net.local_time(host);
        let committed = self.nodes[index].view.committed.clone();
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        let endpoint = &progress.table.endpoints[progress.endpoint_index];
        let Some((connection, _)) = progress.connection else { return };
        if proxy.endpoints.is_withdrawn(&progress.table, endpoint, &committed.drained_zones) {
            return self.fail_attempt(index, progress_id, AttemptError::Withdrawn);
        }
        let left = progress.deadline.saturating_sub(now);
        progress.lifecycle.state = RequestState::Sent;
        progress.lifecycle.sends += 1;
        progress.lifecycle.sent_at = now;
        proxy.endpoints.record_sent(now, endpoint.slot);
        let body =
            Body::UpstreamRequest { request: progress.request, connection, sent_at: self.net.now };
        let target = Network::host_at(endpoint.server.address);
        if self.reaches_crash_point(index, CrashPoint::BeforeSend) {
            return;
        }
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        self.world.requests[progress.request].sent_to.push(target);
        progress.upstream_call =
            Some(self.net.send(host, target, left, body, Purpose::UpstreamRequest { progress_id }));
        if let Some(pause) = progress.lifecycle.switch_after(left) {
            let attempt = progress.lifecycle.attempts;
            self.net.set_timer(host, pause, Timer::SwitchServer(progress_id, attempt));
        }
        self.reaches_crash_point(index, CrashPoint::AfterSend);
    }

    /// A third of the time left passed without a reply: considers another server.
    pub(super) fn switch_if_slow(&mut self, index: usize, progress_id: usize, attempt: u32) {
        let host = self.nodes[index].host;
        let now = self.net.local_time(host);
        let info = self.nodes[index].info.clone();
        let view = self.nodes[index].view.clone();
        let live = endpoints::live_proxies(&view);
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        if progress.lifecycle.attempts != attempt || progress.lifecycle.state != RequestState::Sent
        {
            return;
        }
        let slot = progress.table.endpoints[progress.endpoint_index].slot;
        let context = SelectionContext {
            rule: progress.rule,
            service: progress.table.config.rules[progress.rule].service,
            drained_zones: &view.committed.drained_zones,
            zone: &info.zone,
            region: &info.region,
            tried: &progress.tried,
            only_alternative_for: None,
            is_past_target: false,
        };
        let current = CurrentAttempt { slot, sent_at: progress.lifecycle.sent_at };
        let budget = &mut proxy.retry_budget;
        let is_allowed = |reason| budget.would_allow(now, live, reason);
        if proxy.endpoints.should_switch(now, &progress.table, &context, current, is_allowed) {
            proxy.endpoints.record_outcome(now, slot, Err(AttemptError::Silent));
            if let Some(call) = progress.upstream_call.take() {
                self.net.cancel(call);
            }
            self.fail_attempt(index, progress_id, AttemptError::Silent);
        } else if let Some(pause) =
            progress.lifecycle.switch_after(progress.deadline.saturating_sub(now))
        {
            self.net.set_timer(host, pause, Timer::SwitchServer(progress_id, attempt));
        }
    }

    /// The deadline of a request that waits for admission.
    pub(super) fn queue_timed_out(&mut self, index: usize, progress_id: usize) {
        let RoleState::Proxy(proxy) = &self.nodes[index].role_state else { return };
        // What is with a server ends by its own timeout.
        if proxy
            .in_progress
            .get(&progress_id)
            .is_some_and(|progress| progress.queue_ticket.is_some())
        {
            self.answer_client(index, progress_id, Err(Rejection::Late));
        }
    }

    /// A server answered a request, or did not.
    pub(super) fn upstream_replied(
        &mut self,
        index: usize,
        progress_id: usize,
        body: Option<Body>,
        is_reset: bool,
    ) {
        let now = self.net.local_time(self.nodes[index].host);
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        let slot = progress.table.endpoints[progress.endpoint_index].slot;
        progress.upstream_call = None;
        let outcome = match body {
            Some(Body::UpstreamResponse { demand_milli, is_truncated: false }) => {
                proxy.endpoints.observe_load(now, slot, demand_milli);
                Ok(())
            }
            Some(_) => Err(AttemptError::Truncated),
            None if is_reset => Err(AttemptError::LostAfterSend),
            None => Err(AttemptError::Silent),
        };
        proxy.endpoints.record_outcome(now, slot, outcome);
        if let Err(error) = outcome {
            return self.fail_attempt(index, progress_id, error);
        }
        if let Some((connection, greeted_at)) = progress.connection.take() {
            let idle = IdleConnection {
                connection,
                verified_at: greeted_at,
                idle_since: now,
                keep_alive: endpoints::MAX_IDLE_TIME,
                is_used: true,
            };
            proxy.endpoints.put_idle(slot, idle);
        }
        progress.lifecycle.state = RequestState::Done;
        self.answer_client(index, progress_id, Ok(()));
    }

    /// An attempt failed: retries or ends the request.
    fn fail_attempt(&mut self, index: usize, progress_id: usize, error: AttemptError) {
        let now = self.net.local_time(self.nodes[index].host);
        let live = endpoints::live_proxies(&self.nodes[index].view);
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        if let Some(slot) = progress.in_flight_on.take() {
            proxy.endpoints.release(slot);
        }
        progress.connection = None;
        let is_late = now >= progress.deadline;
        let slot = progress.table.endpoints[progress.endpoint_index].slot;
        let reason = proxy.endpoints.retry_reason_after(error, slot, progress.lifecycle.sent_at);
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
        let next = progress
            .lifecycle
            .attempt_failed(error, is_late, || is_unbound || budget.try_take(now, live, reason));
        let request = progress.request;
        match next {
            AfterFailure::Retry => self.select_server(index, progress_id),
            AfterFailure::Reject(rejection) => {
                self.world.requests[request].reasons += &format!("{error}; ");
                self.answer_client(index, progress_id, Err(rejection));
            }
        }
    }

    /// Answers the client and releases what the request holds.
    fn answer_client(&mut self, index: usize, progress_id: usize, result: Result<(), Rejection>) {
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.remove(&progress_id) else { return };
        if let Some(slot) = progress.in_flight_on {
            proxy.endpoints.release(slot);
        }
        if let Some(ticket) = progress.queue_ticket {
            proxy.admission.leave(ticket);
            proxy.queued.remove(&ticket);
        }
        let woken = progress.permit.map(|slot| proxy.admission.release(slot)).unwrap_or_default();
        let is_affected = progress.lifecycle.idempotency == Idempotency::NonIdempotent
            && progress.request.is_multiple_of(50);
        let execution = match self.mutation {
            Some(Mutation::ClaimsNotRun) if result.is_err() => ExecutionStatus::NotRun,
            Some(Mutation::ReportsFilingsUnknown) if is_affected => ExecutionStatus::MayHaveRun,
            _ => progress.lifecycle.execution_status(),
        };
        let is_misplaced = result == Err(Rejection::Misplaced);
        let view = &self.nodes[index].view;
        let eligible: Vec<SocketAddr> = if is_misplaced {
            let rule = &progress.table.config.rules[progress.rule];
            endpoints::eligible_proxies(view, rule).map(|info| info.address).collect()
        } else {
            Vec::new()
        };
        let status = match result {
            Ok(()) => 200,
            Err(rejection) => {
                let reasons = &mut self.world.requests[progress.request].reasons;
                *reasons += &format!("{rejection} at {}; ", self.nodes[index].info.name);
                rejection.status(execution).as_u16()
            }
        };
        if self.reaches_crash_point(index, CrashPoint::BeforeResponse) {
            return;
        }
        self.net.reply(progress.call, Body::Forwarded { execution, status, eligible });
        if self.reaches_crash_point(index, CrashPoint::AfterResponse) {
            return;
        }
        self.resume_admitted(index, woken);
    }
}

/// A request goes on with the latest table; its rule may be another one there.
fn adopt_latest_table(
    proxy: &mut Proxy,
    progress_id: usize,
    world: &World,
    region: &str,
) -> Result<(), Rejection> {
    let latest = proxy.endpoints.table.load_full();
    let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return Ok(()) };
    let has_new_config = !Arc::ptr_eq(&latest.config, &progress.table.config);
    if has_new_config {
        let kind = world.requests[progress.request].kind;
        let path = world.paths[kind as usize];
        let rule = latest.config.rule_for(method(kind), "h", path).ok_or(Rejection::Unmatched)?;
        progress.rule = rule;
    }
    progress.table = latest;
    match has_new_config && !progress.table.config.rules[progress.rule].allows_region(region) {
        true => Err(Rejection::Misplaced),
        false => Ok(()),
    }
}
