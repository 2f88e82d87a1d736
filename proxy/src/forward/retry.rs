//! Makes attempts at servers until there is a response to relay or the request is rejected
//! (design 8.2). An attempt whose server may be processing the request is not cancelled before then,
//! even while another server is tried ([`super::hedging`]).

use super::admission::{AdmissionPermit, before_shutdown, wait_until_ready};
use super::attempt::{Attempt, SelectedEndpoint};
use super::connection::VerifiedConnection;
use super::guards::InFlightGuard;
use super::pending::{AttemptEvent, PendingAttempts, SentAttempt};
use super::rejection::RejectionDetails;
use super::response::{UpstreamResponse, relay};
use super::routing::{RequestTiming, Route};
use super::upstream_request::UpstreamRequest;
use super::{Counter, Proxy};
use crate::endpoints::{Selection, SelectionContext};
use crate::lifecycle::{AfterFailure, AttemptError, Rejection, RequestLifecycle, RequestState};
use crate::retry_budget::RetryReason;
use hyper::Response;
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::node::Body;
use vanepath_config::model::{Class, Idempotency};

/// The bounds of one wait until a server that is warming up may take another request.
const MIN_SELECTION_WAIT: Duration = Duration::from_millis(1);
const MAX_SELECTION_WAIT: Duration = Duration::from_millis(50);

/// A server that was selected for an attempt and on which the request counts as in flight.
pub(super) struct ReservedEndpoint {
    selected: SelectedEndpoint,
    in_flight: InFlightGuard,
}

/// The outcome of a selection that found at least one server.
pub(super) enum Reservation {
    /// A server is reserved and can take the request now.
    Ready(ReservedEndpoint),
    /// Only servers that are warming up are left; the first of them may take a request at this time.
    RetryAt(Duration),
}

/// The response of a server, and the guard that counts the request as in flight there.
struct ServedAttempt {
    response: UpstreamResponse,
    in_flight: InFlightGuard,
}

/// One admitted request, and its attempts until there is a response to relay.
pub(super) struct AttemptLoop<'p> {
    pub proxy: &'p Arc<Proxy>,
    pub route: Route,
    /// The class of the rule that the request matched on arrival. It remains when the config changes.
    class: Class,
    pub timing: RequestTiming,
    /// The service that was picked for the request.
    pub service_name: String,
    permit: AdmissionPermit,
    /// The slots of the servers that were tried.
    pub tried: Vec<usize>,
    pub pending: PendingAttempts,
    /// When to try another server in addition to those that have the request.
    pub hedge_at: Option<Duration>,
    /// An error response, which is relayed if no other server serves the request.
    error_response: Option<ServedAttempt>,
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
        AttemptLoop {
            proxy,
            route,
            class,
            timing,
            service_name,
            permit,
            tried: Vec::new(),
            pending: PendingAttempts::default(),
            hedge_at: None,
            error_response: None,
        }
    }

    /// Makes attempts until there is a response to relay.
    ///
    /// # Errors
    /// The rejection of the request, if no server responded to it at all.
    pub async fn run(
        mut self,
        lifecycle: &mut RequestLifecycle,
        details: &mut RejectionDetails,
        request: &mut UpstreamRequest,
    ) -> Result<Response<Body>, Rejection> {
        let outcome = self.first_response(lifecycle, details, request).await;
        let served = match (outcome, self.error_response) {
            (Ok(served), _) | (Err(_), Some(served)) => served,
            (Err(rejection), None) => return Err(rejection),
        };
        lifecycle.state = RequestState::Responding;
        let counters = &self.proxy.counters;
        counters.increment(Counter::Completed);
        counters.add(Counter::AttemptsSuperseded, self.pending.sent().len() as u64);
        let is_throttled = self.class.bulk && self.proxy.downstream_limiter.is_some();
        let guards = (served.in_flight, self.permit);
        Ok(relay(self.proxy, served.response, guards, is_throttled))
    }

    /// Returns the first response of any attempt after which no other server is to be tried.
    async fn first_response(
        &mut self,
        lifecycle: &mut RequestLifecycle,
        details: &mut RejectionDetails,
        request: &mut UpstreamRequest,
    ) -> Result<ServedAttempt, Rejection> {
        self.start_attempt(lifecycle, details).await?;
        loop {
            let until = self.hedge_at.map(|at| self.proxy.timer_instant(at));
            match self.pending.next(until).await {
                None => self.hedge(lifecycle, details)?,
                Some(AttemptEvent::Connected { attempt, outcome }) => {
                    self.on_connected(attempt, outcome, request, lifecycle, details).await?;
                }
                Some(AttemptEvent::Ended { attempt, sent, outcome }) => {
                    let served = self.on_ended(attempt, sent, outcome, lifecycle, details).await?;
                    if let Some(served) = served {
                        return Ok(served);
                    }
                }
            }
        }
    }

    /// Sends the request over the connection of an attempt, or handles the failure to connect.
    async fn on_connected(
        &mut self,
        attempt: Attempt,
        outcome: Result<VerifiedConnection, AttemptError>,
        request: &mut UpstreamRequest,
        lifecycle: &mut RequestLifecycle,
        details: &mut RejectionDetails,
    ) -> Result<(), Rejection> {
        let prepared = outcome.and_then(|connection| Ok((connection, attempt.prepare(request)?)));
        match prepared {
            Ok((connection, outgoing)) => {
                lifecycle.record_sent();
                let record = attempt.record_send();
                self.pending.send(attempt, connection, outgoing, record);
                self.hedge_at = self.next_hedge_at(lifecycle);
                Ok(())
            }
            Err(error) => {
                self.record_outcome(&attempt, None, Err(error));
                self.on_failure(attempt, None, error, lifecycle, details).await
            }
        }
    }

    /// Handles the end of an attempt that was sent. Returns its response if that ends the request.
    async fn on_ended(
        &mut self,
        attempt: Attempt,
        sent: SentAttempt,
        outcome: Result<UpstreamResponse, AttemptError>,
        lifecycle: &mut RequestLifecycle,
        details: &mut RejectionDetails,
    ) -> Result<Option<ServedAttempt>, Rejection> {
        lifecycle.record_ended();
        let result = outcome.as_ref().map(|_| ()).map_err(|error| *error);
        self.record_outcome(&attempt, Some(&sent), result);
        let response = match outcome {
            Ok(response) => response,
            Err(error) => {
                let sent_at = Some(sent.pending.sent_at);
                self.on_failure(attempt, sent_at, error, lifecycle, details).await?;
                return Ok(None);
            }
        };
        let served = ServedAttempt { response, in_flight: attempt.in_flight };
        if !self.should_try_another_server(&served, lifecycle) {
            return Ok(Some(served));
        }
        self.keep_error_response(served, lifecycle);
        self.try_another_server(lifecycle, details).await?;
        Ok(None)
    }

    /// Selects a server, waiting for one if necessary, and begins an attempt at it.
    async fn start_attempt(
        &mut self,
        lifecycle: &mut RequestLifecycle,
        details: &mut RejectionDetails,
    ) -> Result<(), Rejection> {
        lifecycle.state = RequestState::Selecting;
        let proxy = self.proxy;
        if lifecycle.attempts > 0 {
            before_shutdown(proxy, self.wait_until_ready_again()).await?;
        }
        let reserved = before_shutdown(proxy, self.reserve_endpoint(details)).await?;
        self.begin_attempt(reserved, lifecycle);
        Ok(())
    }

    /// Begins an attempt at a server that was selected from the current routing table.
    pub fn begin_attempt(&mut self, reserved: ReservedEndpoint, lifecycle: &mut RequestLifecycle) {
        let ReservedEndpoint { selected, in_flight } = reserved;
        self.tried.push(in_flight.slot);
        self.hedge_at = None;
        lifecycle.attempts += 1;
        lifecycle.state = RequestState::Connecting;
        let attempt = Attempt {
            proxy: self.proxy.clone(),
            route: self.route.clone(),
            selected,
            deadline: self.timing.deadline,
            in_flight,
        };
        self.count_attempt(&attempt, lifecycle);
        self.pending.connect(attempt, lifecycle.idempotency);
    }

    /// Waits again for the readiness of this proxy: the process may have been paused since the first
    /// attempt.
    async fn wait_until_ready_again(&mut self) -> Result<(), Rejection> {
        let ready = wait_until_ready(self.proxy, self.proxy.now());
        let deadline = self.proxy.timer_instant(self.timing.deadline);
        tokio::time::timeout_at(deadline, ready).await.map_err(|_| Rejection::DeadlineExceeded)?
    }

    /// Selects a server from the latest routing table. If only servers that are warming up are left,
    /// waits until one of them may take a request.
    async fn reserve_endpoint(
        &mut self,
        details: &mut RejectionDetails,
    ) -> Result<ReservedEndpoint, Rejection> {
        loop {
            // From here on the request is handled by the config that is active now.
            self.route.refresh(self.proxy, details)?;
            if self.route.awaits_newer_table(self.proxy) && self.proxy.now() < self.timing.deadline
            {
                tokio::time::sleep(MIN_SELECTION_WAIT).await;
                continue;
            }
            match self.try_reserve()? {
                Reservation::Ready(reserved) => return Ok(reserved),
                Reservation::RetryAt(retry_at) => {
                    let delay = retry_at.saturating_sub(self.proxy.now()).max(MIN_SELECTION_WAIT);
                    tokio::time::sleep(delay.min(MAX_SELECTION_WAIT)).await;
                }
            }
        }
    }

    /// Selects a server from the current routing table without waiting.
    pub fn try_reserve(&self) -> Result<Reservation, Rejection> {
        let proxy = self.proxy;
        let service = self.route.service_index(&self.service_name);
        let now = proxy.now();
        let deadline = self.timing.deadline;
        if now >= deadline {
            return Err(Rejection::DeadlineExceeded);
        }
        // The latest view also has the zones that were drained after the request arrived.
        let view = proxy.node.current_view.load();
        let drained_zones = &view.committed.drained_zones;
        let context = SelectionContext {
            is_past_target: self.timing.is_past_latency_target,
            ..self.route.selection_context(proxy, service, drained_zones, &self.tried)
        };
        match proxy.endpoints.select(now, &self.route.table, &context, proxy.random()) {
            Selection::Server { endpoint: index, service } => {
                let slot = self.route.table.endpoints[index].slot;
                let selected = SelectedEndpoint { index, service };
                let in_flight = InFlightGuard { proxy: proxy.clone(), slot };
                Ok(Reservation::Ready(ReservedEndpoint { selected, in_flight }))
            }
            Selection::Wait(until) if until < deadline => Ok(Reservation::RetryAt(until)),
            Selection::Congested => Err(Rejection::Congested),
            // All servers were tried, there are none, or none may take the request in time.
            Selection::Wait(_) | Selection::None => Err(Rejection::NoServer),
        }
    }

    fn count_attempt(&self, attempt: &Attempt, lifecycle: &RequestLifecycle) {
        let (counters, settings) = (&self.proxy.counters, &self.proxy.node.settings);
        let server = &attempt.endpoint().server;
        counters.increment(Counter::Attempts);
        if lifecycle.attempts > 1 {
            counters.increment(Counter::Retries);
        }
        if server.zone != settings.zone {
            counters.increment(Counter::AttemptsOtherZone);
        }
        if server.region != settings.region {
            counters.increment(Counter::AttemptsOtherRegion);
        }
    }

    /// Records the outcome of an attempt in the health of its server; `sent` is `None` if the request
    /// was not sent.
    fn record_outcome(
        &self,
        attempt: &Attempt,
        sent: Option<&SentAttempt>,
        result: Result<(), AttemptError>,
    ) {
        let endpoint = attempt.endpoint();
        let (slot, id) = (endpoint.slot, &endpoint.server.id);
        let is_overdue = sent.is_some_and(|sent| sent.is_overdue);
        match result {
            Ok(()) if is_overdue => self.proxy.record_late_response(slot, id),
            Err(AttemptError::TimedOut) if is_overdue => {}
            _ => self.proxy.record_outcome(slot, id, result),
        }
    }

    /// Whether to try for a better response than this one: for an idempotent request that got a server
    /// error, if another attempt is in progress or a retry is possible. Takes a retry from the budget
    /// in the latter case.
    fn should_try_another_server(
        &self,
        served: &ServedAttempt,
        lifecycle: &RequestLifecycle,
    ) -> bool {
        let may_try_again = lifecycle.idempotency == Idempotency::Idempotent
            && lifecycle.is_replayable
            && served.response.head.status.is_server_error();
        if !may_try_again || !self.pending.is_empty() {
            return may_try_again;
        }
        lifecycle.may_retry()
            && self.has_alternative()
            && self.proxy.try_take_retry(&self.service_name, RetryReason::Lost)
    }

    /// Keeps an error response in case no other server serves the request.
    fn keep_error_response(&mut self, mut served: ServedAttempt, lifecycle: &mut RequestLifecycle) {
        lifecycle.may_have_run = true;
        served.response.body.release_connection(self.proxy);
        self.error_response = Some(served);
    }

    /// Continues after a failure. If other attempts are in progress, the next hedge is due at once;
    /// otherwise a new attempt is started.
    async fn try_another_server(
        &mut self,
        lifecycle: &mut RequestLifecycle,
        details: &mut RejectionDetails,
    ) -> Result<(), Rejection> {
        if self.pending.is_empty() {
            return self.start_attempt(lifecycle, details).await;
        }
        self.hedge_at = self.next_hedge_at(lifecycle).map(|_| self.proxy.now());
        Ok(())
    }

    /// Handles a failed attempt: continues with another one, or returns the rejection of the request.
    async fn on_failure(
        &mut self,
        attempt: Attempt,
        sent_at: Option<Duration>,
        error: AttemptError,
        lifecycle: &mut RequestLifecycle,
        details: &mut RejectionDetails,
    ) -> Result<(), Rejection> {
        let is_late = self.proxy.now() >= self.timing.deadline;
        let slot = attempt.endpoint().slot;
        drop(attempt);
        let reason =
            self.proxy.endpoints.retry_reason_after(error, slot, sent_at.unwrap_or_default());
        let has_other_attempts = !self.pending.is_empty();
        let try_take_retry = || self.proxy.try_take_retry(&self.service_name, reason);
        match lifecycle.attempt_failed(error, is_late, has_other_attempts, try_take_retry) {
            AfterFailure::Retry | AfterFailure::Await => {
                self.try_another_server(lifecycle, details).await
            }
            AfterFailure::Reject(rejection) => {
                details.detail = format!("{error} after {} goes", lifecycle.attempts);
                Err(rejection)
            }
        }
    }
}
