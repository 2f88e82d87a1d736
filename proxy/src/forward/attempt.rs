//! One attempt: connect, send, wait for the response, and prove that it belongs to the request.

use super::connection::VerifiedConnection;
use super::guards::InFlightGuard;
use super::response::{UpstreamBody, UpstreamResponse, buffer_response};
use super::routing::Route;
use super::upstream_request::UpstreamRequest;
use super::{Counter, Proxy};
use crate::connector::{is_framed, keep_alive_timeout};
use crate::endpoints::{Endpoint, ServedRequest};
use crate::health::Failure;
use crate::lifecycle::AttemptError;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::response;
use hyper::{Method, Request, StatusCode};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use vanepath_cluster::node::Body;
use vanepath_config::model::{Idempotency, Service};

/// The load that is assumed of a server that rejects a request without stating its load: full, in
/// thousandths of its capacity.
const FULL_LOAD_MILLI: u32 = 1000;

const BYTES_PER_KILOBYTE: f64 = 1000.0;

/// One attempt of a request at one server. It owns what it needs, so that it can be in progress beside
/// another attempt of the same request.
pub(super) struct Attempt {
    pub proxy: Arc<Proxy>,
    /// The route by the table that the server was selected from.
    pub route: Route,
    pub selected: SelectedEndpoint,
    /// The end of the request's time on the clock of the node.
    pub deadline: Duration,
    /// Counts the request as in flight at the server while the attempt lasts.
    pub in_flight: InFlightGuard,
}

/// The server that was selected for an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct SelectedEndpoint {
    /// Its index in the routing table.
    pub index: usize,
    /// The index of the service that it was selected for.
    pub service: usize,
}

/// A request on its way to a server, and what its response is checked against.
pub(super) struct OutgoingRequest {
    message: Request<Body>,
    method: Method,
    /// The request's id, where the wire format has ids.
    id: Option<HeaderValue>,
    /// Length of the body in bytes, as far as it is stated.
    content_length: f64,
}

/// When a request was sent, and how late the server was expected to be then.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendRecord {
    pub sent_at: Duration,
    slowdown: f64,
}

impl Attempt {
    pub fn endpoint(&self) -> &Endpoint {
        &self.route.table.endpoints[self.selected.index]
    }

    pub(super) fn service(&self) -> &Service {
        &self.route.table.config.services[self.selected.service]
    }

    /// Takes a connection to the server, within the request's time.
    pub async fn connect(
        &self,
        idempotency: Idempotency,
    ) -> Result<VerifiedConnection, AttemptError> {
        let deadline = self.proxy.timer_instant(self.deadline);
        let connected = tokio::time::timeout_at(deadline, self.connection(idempotency)).await;
        connected.unwrap_or(Err(AttemptError::NotConnected))
    }

    /// The request as it is sent to this server, if the server may still get it.
    pub fn prepare(&self, request: &mut UpstreamRequest) -> Result<OutgoingRequest, AttemptError> {
        self.check_not_withdrawn()?;
        let names = self.proxy.node.settings.wire_format.headers();
        let id = names.request_id.and_then(|name| request.headers.get(name).cloned());
        let content_length = content_length(&request.headers).unwrap_or(0.0);
        let mut message = request.next()?;
        self.add_attempt_headers(message.headers_mut());
        Ok(OutgoingRequest { message, method: request.method.clone(), id, content_length })
    }

    /// Records that the request is sent now.
    pub fn record_send(&self) -> SendRecord {
        let (sent_at, slot) = (self.proxy.now(), self.endpoint().slot);
        self.proxy.endpoints.record_sent(sent_at, slot);
        SendRecord { sent_at, slowdown: self.proxy.endpoints.slowdown(sent_at, slot) }
    }

    /// Sends the request and waits for its response until the deadline.
    pub async fn exchange(
        &self,
        mut connection: VerifiedConnection,
        request: OutgoingRequest,
        record: SendRecord,
    ) -> Result<UpstreamResponse, AttemptError> {
        let deadline = self.proxy.timer_instant(self.deadline);
        let OutgoingRequest { message, method, id, content_length } = request;
        let sending = connection.sender.try_send_request(message);
        let sent = tokio::time::timeout_at(deadline, sending).await;
        let sent = sent.map_err(|_| AttemptError::Silent)?;
        let response = sent.map_err(|mut error| match error.take_message() {
            // The library gives the message back if it had not begun to write it.
            Some(_) => AttemptError::NotSent,
            None => AttemptError::LostAfterSend,
        })?;

        let (head, incoming) = response.into_parts();
        self.observe_load(&head.headers);
        self.check_belongs(&head, id.as_ref())?;
        self.check_framing(&head, &method)?;
        if !head.status.is_server_error() {
            self.observe_latency(&head.headers, content_length, record);
        }
        let endpoint = self.endpoint();
        let body = UpstreamBody {
            buffered: VecDeque::new(),
            rest: Some(incoming),
            verified_at: connection.verified_at,
            connection: Some(connection.sender),
            keep_alive: keep_alive_timeout(&head.headers),
            slot: endpoint.slot,
            is_other_zone: endpoint.server.zone != self.proxy.node.settings.zone,
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
        let view = self.proxy.node.current_view.load();
        if !self.proxy.node.has_recent_tick() || !view.is_fresh {
            return true;
        }
        let drained_zones = &view.committed.drained_zones;
        self.proxy.endpoints.is_withdrawn(&self.route.table, self.endpoint(), drained_zones)
    }

    /// Names the server that the request is for, and what is left of the time.
    fn add_attempt_headers(&self, headers: &mut HeaderMap) {
        let names = self.proxy.node.settings.wire_format.headers();
        if let Some(target) = names.target
            && let Ok(id) = HeaderValue::from_str(&self.endpoint().server.id)
        {
            headers.insert(target, id);
        }
        if names.forwards_deadline {
            let left_ms = self.deadline.saturating_sub(self.proxy.now()).as_millis() as u64;
            headers.insert(names.deadline, HeaderValue::from(left_ms));
        }
    }

    /// Records the load that the server states.
    fn observe_load(&self, headers: &HeaderMap) {
        let format = self.proxy.node.settings.wire_format;
        let Some(value) = headers.get(format.headers().load) else {
            return;
        };
        match value.to_str().ok().and_then(|text| format.parse_load(text)) {
            Some(load_milli) => {
                let now = self.proxy.now();
                self.proxy.endpoints.observe_load(now, self.endpoint().slot, load_milli);
            }
            None => self.proxy.counters.increment(Counter::LoadReportsInvalid),
        }
    }

    /// Whether this is the response to this request, and whether the server ran it (design 8.2).
    fn check_belongs(
        &self,
        head: &response::Parts,
        sent_id: Option<&HeaderValue>,
    ) -> Result<(), AttemptError> {
        let names = self.proxy.node.settings.wire_format.headers();
        let returned_id = names.request_id.and_then(|name| head.headers.get(name));
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
                self.proxy.endpoints.observe_load(now, self.endpoint().slot, FULL_LOAD_MILLI);
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
    fn observe_latency(&self, headers: &HeaderMap, request_length: f64, record: SendRecord) {
        let class = self.route.class();
        let now = self.proxy.now();
        let kilobytes = |length| (length + request_length) / BYTES_PER_KILOBYTE;
        let served = ServedRequest {
            slot: self.endpoint().slot,
            class: &class.name,
            service: &self.service().name,
            is_bulk: class.bulk,
            response_time: now.saturating_sub(record.sent_at),
            slowdown: record.slowdown,
            kilobytes: content_length(headers).map(kilobytes),
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
        let buffering = buffer_response(&self.proxy, &mut response.body, is_bulk);
        match tokio::time::timeout_at(deadline, buffering).await {
            Ok(Err(error)) => {
                self.proxy.counters.increment(Counter::ResponsesTruncated);
                Err(error)
            }
            Ok(Ok(())) | Err(_) => Ok(()),
        }
    }

    pub(super) fn record_failure(&self, failure: Failure) {
        let endpoint = self.endpoint();
        self.proxy.record_failure(endpoint.slot, &endpoint.server.id, failure);
    }
}

fn content_length(headers: &HeaderMap) -> Option<f64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
