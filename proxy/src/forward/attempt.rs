//! One attempt: connect, send, wait for the response, and prove that it belongs to the request.

use super::response::{UpstreamBody, UpstreamResponse, buffer_response};
use super::routing::Route;
use super::upstream_request::UpstreamRequest;
use super::{Counter, Proxy};
use crate::connector::{Sender, is_framed, keep_alive_timeout};
use crate::endpoints::{CurrentAttempt, Endpoint, SelectionContext, ServedRequest};
use crate::health::Failure;
use crate::lifecycle::{AttemptError, RequestLifecycle, RequestState};
use crate::retry_budget::RetryReason;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::response;
use hyper::{Method, Request, Response, StatusCode};
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;
use vanepath_cluster::node::Body;
use vanepath_config::model::Service;

/// The load that is assumed of a server that rejects a request without stating its load: full, in
/// thousandths of its capacity.
const FULL_LOAD_MILLI: u32 = 1000;

/// One attempt of a request at one server.
pub(super) struct Attempt<'a> {
    pub proxy: &'a Arc<Proxy>,
    pub route: &'a Route,
    pub endpoint: &'a Endpoint,
    pub service: &'a Service,
    /// The service that was drawn for the request.
    pub service_name: &'a str,
    /// The end of the request's time on the clock of the node.
    pub deadline: Duration,
    /// The slots of the servers that were tried, this one included.
    pub tried: &'a [usize],
}

/// When a request was sent, and how late the server was expected to be then.
struct SendRecord {
    sent_at: Duration,
    slowdown: f64,
}

impl Attempt<'_> {
    /// Makes the attempt, within the request's time.
    pub async fn run(
        &self,
        lifecycle: &mut RequestLifecycle,
        request: &mut UpstreamRequest,
    ) -> Result<UpstreamResponse, AttemptError> {
        let deadline = self.proxy.timer_instant(self.deadline);
        lifecycle.state = RequestState::Connecting;
        let connecting = self.connection(lifecycle.idempotency);
        let connected = tokio::time::timeout_at(deadline, connecting).await;
        let mut connection = connected.unwrap_or(Err(AttemptError::NotConnected))?;
        lifecycle.state = RequestState::Verified;
        self.check_not_withdrawn()?;

        let mut message = request.next()?;
        self.add_attempt_headers(message.headers_mut());
        let record = self.record_send(lifecycle);
        let sent_at = record.sent_at;
        let response =
            self.send(&mut connection.sender, message, lifecycle, deadline, sent_at).await?;

        let (head, incoming) = response.into_parts();
        self.observe_load(&head.headers);
        self.check_belongs(&head, &request.headers)?;
        self.check_framing(&head, &request.method)?;
        if !head.status.is_server_error() {
            self.observe_latency(&head.headers, &request.headers, &record);
        }
        let body = UpstreamBody {
            buffered: VecDeque::new(),
            rest: Some(incoming),
            verified_at: connection.verified_at,
            connection: Some(connection.sender),
            keep_alive: keep_alive_timeout(&head.headers),
            slot: self.endpoint.slot,
            is_other_zone: self.endpoint.server.zone != self.proxy.node.settings.zone,
        };
        let mut response = UpstreamResponse { head, body };
        self.buffer(&mut response, deadline).await?;
        Ok(response)
    }

    /// Whether the server may still get the request, by what is known now: making the connection
    /// may have taken long, and the process may have been paused meanwhile (incident 0017).
    fn check_not_withdrawn(&self) -> Result<(), AttemptError> {
        if self.is_withdrawn() {
            self.proxy.counters.increment(Counter::AttemptsWithdrawn);
            return Err(AttemptError::Withdrawn);
        }
        Ok(())
    }

    fn is_withdrawn(&self) -> bool {
        let view = self.proxy.node.table.load();
        if !self.proxy.node.is_awake() || !view.is_fresh {
            return true;
        }
        let drained_zones = &view.committed.drained_zones;
        self.proxy.endpoints.is_withdrawn(&self.route.table, self.endpoint, drained_zones)
    }

    /// Names the server that the request is for, and what is left of the time.
    fn add_attempt_headers(&self, headers: &mut HeaderMap) {
        let names = self.proxy.node.settings.wire_format.headers();
        if let Some(target) = names.target
            && let Ok(id) = HeaderValue::from_str(&self.endpoint.server.id)
        {
            headers.insert(target, id);
        }
        if names.forwards_deadline {
            let left_ms = self.deadline.saturating_sub(self.proxy.now()).as_millis() as u64;
            headers.insert(names.deadline, HeaderValue::from(left_ms));
        }
    }

    fn record_send(&self, lifecycle: &mut RequestLifecycle) -> SendRecord {
        lifecycle.state = RequestState::Sent;
        lifecycle.sends += 1;
        let sent_at = self.proxy.now();
        lifecycle.sent_at = sent_at;
        self.proxy.endpoints.record_sent(sent_at, self.endpoint.slot);
        let slowdown = self.proxy.endpoints.slowdown(sent_at, self.endpoint.slot);
        SendRecord { sent_at, slowdown }
    }

    /// Sends the request and waits for the head of the response. An idempotent request switches away
    /// from a slow server as soon as there is another one, in time to be served there.
    async fn send(
        &self,
        sender: &mut Sender,
        message: Request<Body>,
        lifecycle: &RequestLifecycle,
        deadline: Instant,
        sent_at: Duration,
    ) -> Result<Response<Incoming>, AttemptError> {
        let sending = sender.try_send_request(message);
        tokio::pin!(sending);
        let sent = loop {
            let left = self.deadline.saturating_sub(self.proxy.now());
            let delay = lifecycle.switch_after(left);
            let until = delay.map_or(deadline, |delay| Instant::now() + delay);
            match tokio::time::timeout_at(until, &mut sending).await {
                Ok(sent) => break sent,
                Err(_) if delay.is_none() || self.should_switch(sent_at) => {
                    return Err(AttemptError::Silent);
                }
                Err(_) => {}
            }
        };
        sent.map_err(|mut error| match error.take_message() {
            // The library gives the message back if it had not begun to write it.
            Some(_) => AttemptError::NotSent,
            None => AttemptError::LostAfterSend,
        })
    }

    /// Whether the request leaves this server, which has had it since `sent_at`.
    fn should_switch(&self, sent_at: Duration) -> bool {
        let endpoints = &self.proxy.endpoints;
        let current = CurrentAttempt { slot: self.endpoint.slot, sent_at };
        self.with_selection(|now, context, would_allow| {
            endpoints.should_switch(now, &self.route.table, context, current, would_allow)
        })
    }

    /// Whether a retry would find another server and be within the budget.
    pub fn has_alternative(&self) -> bool {
        let endpoints = &self.proxy.endpoints;
        self.with_selection(|now, context, would_allow| {
            endpoints.has_alternative(now, &self.route.table, context, RetryReason::Lost)
                && would_allow(RetryReason::Lost)
        })
    }

    /// Calls `query` with what is needed to look for another server, and with whether the retry
    /// budget would allow that.
    fn with_selection<R>(
        &self,
        query: impl FnOnce(Duration, &SelectionContext<'_>, &dyn Fn(RetryReason) -> bool) -> R,
    ) -> R {
        let proxy = self.proxy;
        let now = proxy.now();
        let view = proxy.node.table.load();
        let service = self.route.service_index(self.service_name);
        let drained_zones = &view.committed.drained_zones;
        let context = self.route.selection_context(proxy, service, drained_zones, self.tried);
        let live_proxies = proxy.live_proxies.load(Ordering::Relaxed);
        let would_allow = |reason| {
            let mut budgets = proxy.retry_budgets.lock().expect("no panic under this lock");
            budgets.would_allow(now, self.service_name, live_proxies, reason)
        };
        query(now, &context, &would_allow)
    }

    /// Records the load that the server states.
    fn observe_load(&self, headers: &HeaderMap) {
        let format = self.proxy.node.settings.wire_format;
        let Some(value) = headers.get(format.headers().load) else {
            return;
        };
        match value.to_str().ok().and_then(|text| format.load(text)) {
            Some(load_milli) => {
                let now = self.proxy.now();
                self.proxy.endpoints.observe_load(now, self.endpoint.slot, load_milli);
            }
            None => self.proxy.counters.increment(Counter::LoadReportsInvalid),
        }
    }

    /// Whether this is the response to this request, and whether the server ran it (design 8.2).
    fn check_belongs(
        &self,
        head: &response::Parts,
        sent_headers: &HeaderMap,
    ) -> Result<(), AttemptError> {
        let names = self.proxy.node.settings.wire_format.headers();
        let id = |headers: &HeaderMap| names.request_id.and_then(|name| headers.get(name).cloned());
        let (sent_id, returned_id) = (id(sent_headers), id(&head.headers));
        if sent_id.is_some() && returned_id.is_some() && sent_id != returned_id {
            return Err(AttemptError::MismatchedResponse);
        }
        let is_misdirected =
            names.target.is_some() && head.status == StatusCode::MISDIRECTED_REQUEST;
        if is_misdirected || names.not_run.is_some_and(|name| head.headers.contains_key(name)) {
            if is_misdirected {
                self.record_failure(Failure::Refused);
            } else if !head.headers.contains_key(names.load) {
                let now = self.proxy.now();
                self.proxy.endpoints.observe_load(now, self.endpoint.slot, FULL_LOAD_MILLI);
            }
            return Err(AttemptError::RejectedByServer);
        }
        // Without the id it may be the response to another request, and without its seal it is no
        // success.
        let has_seal = names.response_seal.is_none_or(|seal| head.headers.contains_key(seal));
        let lacks_id = sent_id.is_some() && returned_id.is_none();
        if lacks_id || (head.status.is_success() && !has_seal) {
            return Err(AttemptError::MismatchedResponse);
        }
        Ok(())
    }

    /// Whether the end of the response can be distinguished from a broken connection.
    fn check_framing(&self, head: &response::Parts, method: &Method) -> Result<(), AttemptError> {
        let is_bodiless = *method == Method::HEAD;
        let may_close = self.proxy.node.settings.wire_format.headers().close_ends_response;
        if !is_bodiless && !may_close && !is_framed(head) {
            self.proxy.counters.increment(Counter::ResponsesTruncated);
            return Err(AttemptError::Truncated);
        }
        if head.status == StatusCode::SWITCHING_PROTOCOLS {
            return Err(AttemptError::Truncated);
        }
        Ok(())
    }

    /// Records how long the server took (design 8.7).
    fn observe_latency(&self, headers: &HeaderMap, sent_headers: &HeaderMap, record: &SendRecord) {
        let length = |headers: &HeaderMap| -> Option<f64> {
            headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
        };
        let request_length = length(sent_headers).unwrap_or(0.0);
        let class = self.route.class();
        let now = self.proxy.now();
        let served = ServedRequest {
            slot: self.endpoint.slot,
            class: &class.name,
            service: &self.service.name,
            is_bulk: class.bulk,
            response_time: now.saturating_sub(record.sent_at),
            slowdown: record.slowdown,
            kilobytes: length(headers).map(|length| (length + request_length) / 1000.0),
        };
        self.proxy.endpoints.record_response(now, served);
    }

    /// Buffers the response while it is small. One that is slow, but under way, is relayed as it
    /// comes: an idempotent request is given the rest of its time too.
    async fn buffer(
        &self,
        response: &mut UpstreamResponse,
        deadline: Instant,
    ) -> Result<(), AttemptError> {
        let is_bulk = self.route.class().bulk;
        let buffering = buffer_response(self.proxy, &mut response.body, is_bulk);
        match tokio::time::timeout_at(deadline, buffering).await {
            Ok(Err(error)) => {
                self.proxy.counters.increment(Counter::ResponsesTruncated);
                Err(error)
            }
            Ok(Ok(())) | Err(_) => Ok(()),
        }
    }

    pub(super) fn record_failure(&self, failure: Failure) {
        self.proxy.record_failure(self.endpoint.slot, &self.endpoint.server.id, failure);
    }
}
