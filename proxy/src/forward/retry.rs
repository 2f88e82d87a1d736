//! Attempts at one server after the other, until there is a response to relay or the request is
//! rejected (design 8.2).

use super::admission::{AdmissionPermit, wait_until_ready};
use super::attempt::Attempt;
use super::guards::InFlightGuard;
use super::rejection::{AbandonedAttempt, RejectionDetails};
use super::response::{UpstreamResponse, relay};
use super::routing::{RequestTiming, Route};
use super::upstream_request::UpstreamRequest;
use super::{Counter, Proxy};
use crate::endpoints::{Endpoint, Selection, SelectionContext};
use crate::lifecycle::{AfterFailure, AttemptError, Rejection, RequestLifecycle, RequestState};
use crate::retry_budget::RetryReason;
use hyper::Response;
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::node::Body;
use vanepath_config::model::{Class, Idempotency};

/// The bounds of one wait for the turn of a server that is warming up.
const MIN_TURN_WAIT: Duration = Duration::from_millis(1);
const MAX_TURN_WAIT: Duration = Duration::from_millis(50);

/// The server that was selected for an attempt.
struct SelectedEndpoint {
    /// Its index in the routing table.
    index: usize,
    /// The index of the service that it was selected for.
    service: usize,
}

/// One request after its admission.
pub(super) struct AttemptLoop<'p> {
    proxy: &'p Arc<Proxy>,
    route: Route,
    /// The class at the time of the request's match.
    class: Class,
    timing: RequestTiming,
    /// The service that was drawn for the request.
    service_name: String,
    permit: AdmissionPermit,
    /// The slots of the servers that were tried.
    tried: Vec<usize>,
}

impl<'p> AttemptLoop<'p> {
    pub fn new(
        proxy: &'p Arc<Proxy>,
        route: Route,
        class: Class,
        timing: RequestTiming,
        service_name: String,
        permit: AdmissionPermit,
    ) -> AttemptLoop<'p> {
        AttemptLoop { proxy, route, class, timing, service_name, permit, tried: Vec::new() }
    }

    /// Makes attempts until one ends the request.
    pub async fn run(
        mut self,
        lifecycle: &mut RequestLifecycle,
        details: &mut RejectionDetails,
        request: &mut UpstreamRequest,
    ) -> Result<Response<Body>, Rejection> {
        loop {
            lifecycle.state = RequestState::Selecting;
            if lifecycle.attempts > 0 {
                self.wait_until_ready_again().await?;
            }
            let selected = self.select(details).await?;
            let endpoint = &self.route.table.endpoints[selected.index];
            self.tried.push(endpoint.slot);
            lifecycle.attempts += 1;
            let in_flight = InFlightGuard { proxy: self.proxy.clone(), slot: endpoint.slot };
            self.count_attempt(endpoint, lifecycle);
            let attempt = self.attempt(endpoint, selected.service);
            let outcome = attempt.run(lifecycle, request).await;
            let result = outcome.as_ref().map(|_| ()).map_err(|error| *error);
            self.proxy.record_outcome(endpoint.slot, &endpoint.server.id, result);
            match outcome {
                // The server failed or is busy and did not serve the request; another one may.
                Ok(response) if self.should_retry_elsewhere(&attempt, &response, lifecycle) => {
                    lifecycle.may_have_run = true;
                }
                Ok(response) => {
                    lifecycle.state = RequestState::Responding;
                    self.proxy.counters.increment(Counter::Completed);
                    let is_throttled = self.class.bulk && self.proxy.downstream_limiter.is_some();
                    let guards = (in_flight, self.permit);
                    return Ok(relay(self.proxy, response, guards, is_throttled));
                }
                Err(error) => {
                    drop(in_flight);
                    if error == AttemptError::Silent && self.proxy.now() < self.timing.deadline {
                        self.record_abandoned(endpoint, lifecycle, details);
                    }
                    self.after_failure(error, endpoint.slot, lifecycle, details)?;
                }
            }
        }
    }

    /// The process may have been paused since the first attempt.
    async fn wait_until_ready_again(&self) -> Result<(), Rejection> {
        let ready = wait_until_ready(self.proxy, self.proxy.now());
        let deadline = self.proxy.timer_instant(self.timing.deadline);
        tokio::time::timeout_at(deadline, ready).await.map_err(|_| Rejection::Late)?
    }

    /// Selects a server by the newest table, waiting for the turn of one that is warming up where
    /// no other is left.
    async fn select(
        &mut self,
        details: &mut RejectionDetails,
    ) -> Result<SelectedEndpoint, Rejection> {
        loop {
            // From here on the request goes by the config that is active now.
            self.route.refresh(self.proxy, details)?;
            if let Some(selected) = self.try_select().await? {
                return Ok(selected);
            }
        }
    }

    /// Selects a server, or waits a little and returns `None`.
    async fn try_select(&self) -> Result<Option<SelectedEndpoint>, Rejection> {
        let proxy = self.proxy;
        let service = self.route.service_index(&self.service_name);
        let now = proxy.now();
        let deadline = self.timing.deadline;
        if now >= deadline {
            return Err(Rejection::Late);
        }
        let selection = {
            // Zones that were drained since the request came count too.
            let view = proxy.node.table.load();
            let drained_zones = &view.committed.drained_zones;
            let context = SelectionContext {
                is_past_target: self.timing.is_past_latency_target,
                ..self.route.selection_context(proxy, service, drained_zones, &self.tried)
            };
            proxy.endpoints.select(now, &self.route.table, &context, proxy.random())
        };
        match selection {
            Selection::Server { endpoint: index, service } => {
                Ok(Some(SelectedEndpoint { index, service }))
            }
            Selection::Wait(until) if until < deadline => {
                let delay = until.saturating_sub(now).max(MIN_TURN_WAIT);
                tokio::time::sleep(delay.min(MAX_TURN_WAIT)).await;
                Ok(None)
            }
            Selection::Crowded => Err(Rejection::Crowded),
            // All that are left were tried, or there is none, or none has its turn in time.
            Selection::Wait(_) | Selection::None => Err(Rejection::NoServer),
        }
    }

    fn count_attempt(&self, endpoint: &Endpoint, lifecycle: &RequestLifecycle) {
        let (counters, settings) = (&self.proxy.counters, &self.proxy.node.settings);
        counters.increment(Counter::Attempts);
        if lifecycle.attempts > 1 {
            counters.increment(Counter::Retries);
        }
        if endpoint.server.zone != settings.zone {
            counters.increment(Counter::AttemptsOtherZone);
        }
        if endpoint.server.region != settings.region {
            counters.increment(Counter::AttemptsOtherRegion);
        }
    }

    fn attempt<'a>(&'a self, endpoint: &'a Endpoint, service: usize) -> Attempt<'a> {
        Attempt {
            proxy: self.proxy,
            route: &self.route,
            endpoint,
            service: &self.route.table.config.services[service],
            service_name: &self.service_name,
            deadline: self.timing.deadline,
            tried: &self.tried,
        }
    }

    /// Whether an idempotent request that a server failed is given to another one; takes a retry
    /// from the budget if so.
    fn should_retry_elsewhere(
        &self,
        attempt: &Attempt<'_>,
        response: &UpstreamResponse,
        lifecycle: &RequestLifecycle,
    ) -> bool {
        let may_repeat = lifecycle.idempotency == Idempotency::Idempotent
            && lifecycle.is_replayable
            && response.head.status.is_server_error()
            && lifecycle.may_retry();
        may_repeat
            && attempt.has_alternative()
            && self.proxy.try_take_retry(&self.service_name, RetryReason::Lost)
    }

    fn record_abandoned(
        &self,
        endpoint: &Endpoint,
        lifecycle: &RequestLifecycle,
        details: &mut RejectionDetails,
    ) {
        self.proxy.counters.increment(Counter::AttemptsAbandoned);
        let waited = self.proxy.now().saturating_sub(lifecycle.sent_at);
        details.abandoned = Some(AbandonedAttempt { server: endpoint.server.id.clone(), waited });
    }

    /// Returns if another attempt may follow.
    fn after_failure(
        &self,
        error: AttemptError,
        slot: usize,
        lifecycle: &mut RequestLifecycle,
        details: &mut RejectionDetails,
    ) -> Result<(), Rejection> {
        let is_late = self.proxy.now() >= self.timing.deadline;
        let reason = self.proxy.endpoints.retry_reason_after(error, slot, lifecycle.sent_at);
        let try_take_retry = || self.proxy.try_take_retry(&self.service_name, reason);
        match lifecycle.attempt_failed(error, is_late, try_take_retry) {
            AfterFailure::Retry => Ok(()),
            AfterFailure::Reject(rejection) => {
                details.detail = format!("{error} after {} goes", lifecycle.attempts);
                Err(rejection)
            }
        }
    }
}
