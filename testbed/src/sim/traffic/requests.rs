//! Requests in progress within a proxy: their admission and their answers.

use super::method;
use crate::sim::crash_points::CrashPoint;
use crate::sim::mutations::Mutation;
use crate::sim::network::{Body, CallId, Timer};
use crate::sim::state::{ProxyArrival, RequestInProgress, RoleState, Sim};
use std::net::SocketAddr;
use std::time::Duration;
use vanepath_cluster::gossip;
use vanepath_config::ExecutionStatus;
use vanepath_config::model::Idempotency;
use vanepath_proxy::admission::{Admission, AdmittedRequest};
use vanepath_proxy::endpoints;
use vanepath_proxy::lifecycle::{Rejection, RequestLifecycle, RequestState};

impl Sim {
    /// Handles a client's request that reaches a proxy.
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
                tenant: None,
                tried_slots: Vec::new(),
                received_at: now,
                deadline: now + gossip::READINESS_TIMEOUT,
                admission_slot: None,
                queue_ticket: None,
                attempts: Vec::new(),
                hedge_timer: 0,
                was_aborted: false,
            },
        );
        self.admit_request(index, progress_id);
    }

    /// Matches a request with a rule and asks for its admission, once the proxy is ready.
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
        let (http_method, path) = (method(request.kind), self.world.paths[request.kind as usize]);
        let config = progress.table.config.clone();
        let rule = config.rule_for(http_method, "h", path);
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
            return self.answer_client(index, progress_id, Err(Rejection::WrongRegion));
        }
        let is_affected =
            class.idempotency == Idempotency::NonIdempotent && progress.request.is_multiple_of(50);
        if self.mutation == Some(Mutation::RefusesFilings) && is_affected {
            return self.answer_client(index, progress_id, Err(Rejection::NoServer));
        }
        if let Err(rejection) = self.authenticate_request(index, progress_id) {
            return self.answer_client(index, progress_id, Err(rejection));
        }
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.get_mut(&progress_id) else { return };
        proxy.request_rates.record_request(rule_config.service);
        proxy.retry_budget.record_request(now);
        self.world.admitted_at.push(self.net.now);
        progress.lifecycle.state = RequestState::Queued;
        let time_left = progress.deadline.saturating_sub(now);
        let class_index = proxy.admission.index(&class.name);
        let Some(class_index) = class_index else {
            return self.answer_client(index, progress_id, Err(Rejection::NotReady));
        };
        let admission = proxy.admission.request_slot(class_index, None, progress.deadline);
        match admission {
            Admission::Admitted(slot) => progress.admission_slot = Some(slot),
            Admission::QueueFull => {
                return self.answer_client(index, progress_id, Err(Rejection::QueueFull));
            }
            Admission::Queued(ticket) => {
                progress.queue_ticket = Some(ticket);
                proxy.queued.insert(ticket, progress_id);
            }
        }
        let is_admitted = progress.admission_slot.is_some();
        self.net.set_timer(host, time_left, Timer::QueueTimeout(progress_id));
        if is_admitted {
            self.select_server(index, progress_id);
        }
    }

    /// Continues requests that were admitted from the queue.
    pub(super) fn resume_admitted(&mut self, index: usize, admitted: Vec<AdmittedRequest>) {
        for AdmittedRequest { ticket, slot } in admitted {
            let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
            let Some(progress_id) = proxy.queued.remove(&ticket) else { continue };
            if let Some(progress) = proxy.in_progress.get_mut(&progress_id) {
                progress.queue_ticket = None;
                progress.admission_slot = Some(slot);
                self.select_server(index, progress_id);
            }
        }
    }

    /// Rejects a request that still waits for admission at its deadline.
    pub(super) fn queue_timed_out(&mut self, index: usize, progress_id: usize) {
        let RoleState::Proxy(proxy) = &self.nodes[index].role_state else { return };
        // An attempt at a server ends by its own timeout.
        if proxy
            .in_progress
            .get(&progress_id)
            .is_some_and(|progress| progress.queue_ticket.is_some())
        {
            self.answer_client(index, progress_id, Err(Rejection::DeadlineExceeded));
        }
    }

    /// Answers the client and releases what the request holds.
    pub(super) fn answer_client(
        &mut self,
        index: usize,
        progress_id: usize,
        result: Result<(), Rejection>,
    ) {
        let RoleState::Proxy(proxy) = &mut self.nodes[index].role_state else { return };
        let Some(progress) = proxy.in_progress.remove(&progress_id) else { return };
        for attempt in &progress.attempts {
            proxy.endpoints.release(attempt.slot);
            if let Some((call, _)) = attempt.upstream_call {
                self.net.cancel(call);
            }
        }
        if let Some(ticket) = progress.queue_ticket {
            proxy.admission.remove_queued(ticket);
            proxy.queued.remove(&ticket);
        }
        let admitted =
            progress.admission_slot.map(|slot| proxy.admission.release(slot)).unwrap_or_default();
        self.check_not_given_up(index, &progress, result.is_ok());
        let is_affected = progress.lifecycle.idempotency == Idempotency::NonIdempotent
            && progress.request.is_multiple_of(50);
        let execution = match self.mutation {
            Some(Mutation::ClaimsNotRun) if result.is_err() => ExecutionStatus::NotRun,
            Some(Mutation::ReportsFilingsUnknown) if is_affected => ExecutionStatus::MayHaveRun,
            _ => progress.lifecycle.execution_status(),
        };
        let is_misplaced = result == Err(Rejection::WrongRegion);
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
        self.resume_admitted(index, admitted);
    }

    /// Reports a violation if a draining proxy ends a request while its server may be processing
    /// it, no server has responded and the deadline has not passed: a planned stop must not do so
    /// (incident 0019).
    fn check_not_given_up(&mut self, index: usize, progress: &RequestInProgress, is_served: bool) {
        let node = &self.nodes[index];
        let is_late = self.net.local_time(node.host) >= progress.deadline;
        let is_given_up = !is_served && !progress.pending().is_empty();
        if node.is_draining && !is_late && (is_given_up || progress.was_aborted) {
            let (request, name) = (progress.request, node.info.name.clone());
            self.violations.push(format!(
                "request {request} given up at its server by {name}, which is draining"
            ));
        }
    }
}
