//! One attempt at a server: connects, sends the request, waits for the response, and checks that the
//! response belongs to the request.

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
use vanepath_cluster::node::{Body, ListStage};
use vanepath_config::model::{Idempotency, Service};

/// The load that is assumed of a server that rejects a request without stating its load: its full
/// capacity, in thousandths.
const FULL_LOAD_MILLI: u32 = 1000;

const BYTES_PER_KILOBYTE: f64 = 1000.0;

/// One attempt of a request at one server. It owns its data, so that several attempts of a request can
/// be in progress at the same time.
pub(super) struct Attempt {
    pub proxy: Arc<Proxy>,
    /// The route, with the routing table from which the server was selected.
    pub route: Route,
    pub selected: SelectedEndpoint,
    /// The deadline of the request, on the clock of the node.
    pub deadline: Duration,
    /// Counts the request as in flight at the server while the attempt lasts.
    pub in_flight: InFlightGuard,
}

/// The server that was selected for an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct SelectedEndpoint {
    /// The index of the server in the routing table.
    pub index: usize,
    /// The index of the service for which it was selected.
    pub service: usize,
}

/// A request that is ready to be sent to a server, and what its response is checked against.
pub(super) struct OutgoingRequest {
    message: Request<Body>,
    method: Method,
    /// The id of the request, if the wire format has request ids.
    id: Option<HeaderValue>,
    /// Length of the body in bytes; 0 if it is not stated.
    content_length: f64,
}

/// When a request was sent, and the slowdown of the server by its load at that time.
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

    /// Obtains a connection to the server before the deadline of the request.
    pub async fn connect(
        &self,
        idempotency: Idempotency,
    ) -> Result<VerifiedConnection, AttemptError> {
        let deadline = self.proxy.timer_instant(self.deadline);
        let connected =
            tokio::time::timeout_at(deadline, self.obtain_connection(idempotency)).await;
        connected.unwrap_or(Err(AttemptError::NotConnected))
    }

    /// Builds the request for this server.
    ///
    /// # Errors
    /// [`AttemptError::Withdrawn`] if the server may no longer be used, and [`AttemptError::NotSent`] if
    /// the body cannot be sent again.
    pub fn prepare(&self, request: &mut UpstreamRequest) -> Result<OutgoingRequest, AttemptError> {
        self.check_not_withdrawn()?;
        let header_names = self.proxy.node.settings.wire_format.headers();
        let id = header_names.request_id.and_then(|name| request.headers.get(name).cloned());
        let content_length = content_length(&request.headers).unwrap_or(0.0);
        let mut message = request.next()?;
        self.add_attempt_headers(message.headers_mut());
        Ok(OutgoingRequest { message, method: request.method.clone(), id, content_length })
    }

    /// Records that the request is sent now.
    pub fn record_send(&self) -> SendRecord {
        let (sent_at, slot) = (self.proxy.now(), self.endpoint().slot);
        self.proxy.endpoints.record_sent(sent_at, slot);
        let node = &self.proxy.node;
        if let Some(age) = node.current_view.load().endpoint_list_age(sent_at) {
            node.list_ages.record(ListStage::Used, age);
        }
        SendRecord { sent_at, slowdown: self.proxy.endpoints.slowdown(sent_at, slot) }
    }

    /// Sends the request and waits for its response, at most until the deadline.
    pub async fn exchange(
        &self,
        mut connection: VerifiedConnection,
        request: OutgoingRequest,
        record: SendRecord,
    ) -> Result<UpstreamResponse, AttemptError> {
        let deadline = self.proxy.timer_instant(self.deadline);
        let OutgoingRequest { message, method, id, content_length } = request;
        let sending = connection.sender.send(message);
        let sent = tokio::time::timeout_at(deadline, sending).await;
        let sent = sent.map_err(|_| AttemptError::TimedOut)?;
        let response = sent.map_err(|mut error| match error.take_message() {
            // The HTTP library returns the message if it has not begun to write it.
            Some(_) => AttemptError::NotSent,
            None => AttemptError::LostAfterSend,
        })?;

        let (head, incoming) = response.into_parts();
        self.observe_load(&head.headers);
        self.check_belongs_to_request(&head, id.as_ref())?;
        self.check_framing(&head, &method)?;
        if announces_close(&head.headers) {
            self.proxy.endpoints.record_closing(self.proxy.now(), self.endpoint().slot);
        }
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

    /// Checks by the latest view of the cluster that the server may still be used: connecting may have
    /// taken long, and the process may have been paused in the meantime (incident 0017).
    fn check_not_withdrawn(&self) -> Result<(), AttemptError> {
        if self.is_withdrawn() {
            self.proxy.counters.increment(Counter::AttemptsWithdrawn);
            return Err(AttemptError::Withdrawn);
        }
        Ok(())
    }

    fn is_withdrawn(&self) -> bool {
        let view = self.proxy.node.current_view.load();
        if !self.proxy.node.has_recent_tick() || !view.is_fresh || !self.route.may_send(&self.proxy)
        {
            return true;
        }
        let drained_zones = &view.committed.drained_zones;
        self.proxy.endpoints.is_withdrawn(&self.route.table, self.endpoint(), drained_zones)
    }

    /// Adds the headers that may differ between attempts: the target server, the tenant, and the time left
    /// until the deadline.
    fn add_attempt_headers(&self, headers: &mut HeaderMap) {
        let header_names = self.proxy.node.settings.wire_format.headers();
        if let Some(target) = header_names.target
            && let Ok(id) = HeaderValue::from_str(&self.endpoint().server.id)
        {
            headers.insert(target, id);
        }
        if let Some(tenant) = self.route.tenant()
            && let Ok(name) = HeaderValue::from_bytes(tenant.name.as_bytes())
        {
            headers.insert(header_names.tenant, name);
        }
        if header_names.forwards_deadline {
            let left_ms = self.deadline.saturating_sub(self.proxy.now()).as_millis() as u64;
            headers.insert(header_names.deadline, HeaderValue::from(left_ms));
        }
    }

    /// Records the load that the server states in its response.
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

    /// Checks that this is the response to this request and that the server has not rejected the request
    /// (design 8.2).
    fn check_belongs_to_request(
        &self,
        head: &response::Parts,
        sent_id: Option<&HeaderValue>,
    ) -> Result<(), AttemptError> {
        let header_names = self.proxy.node.settings.wire_format.headers();
        let returned_id = header_names.request_id.and_then(|name| head.headers.get(name));
        if sent_id.is_some() && returned_id.is_some() && sent_id != returned_id {
            return Err(AttemptError::MismatchedResponse);
        }
        let is_misdirected =
            header_names.target.is_some() && head.status == StatusCode::MISDIRECTED_REQUEST;
        if is_misdirected
            || header_names.not_run.is_some_and(|name| head.headers.contains_key(name))
        {
            if is_misdirected {
                self.record_failure(Failure::Refused);
            } else if !head.headers.contains_key(header_names.load) {
                let now = self.proxy.now();
                self.proxy.endpoints.observe_load(now, self.endpoint().slot, FULL_LOAD_MILLI);
            }
            return Err(AttemptError::RejectedByServer);
        }
        // A response without the id may belong to another request, and a success without the seal is
        // not relayed.
        let has_seal =
            header_names.response_seal.is_none_or(|seal| head.headers.contains_key(seal));
        let lacks_id = sent_id.is_some() && returned_id.is_none();
        if lacks_id || (head.status.is_success() && !has_seal) {
            return Err(AttemptError::MismatchedResponse);
        }
        Ok(())
    }

    /// Checks that the end of the response can be distinguished from a broken connection.
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

    /// Records the response time of the server (design 8.7).
    fn observe_latency(&self, headers: &HeaderMap, request_length: f64, record: SendRecord) {
        let class = self.route.class();
        let now = self.proxy.now();
        let total_kilobytes = |length| (length + request_length) / BYTES_PER_KILOBYTE;
        let served = ServedRequest {
            slot: self.endpoint().slot,
            class: &class.name,
            service: &self.service().name,
            is_bulk: class.bulk,
            response_time: now.saturating_sub(record.sent_at),
            slowdown: record.slowdown,
            kilobytes: content_length(headers).map(total_kilobytes),
        };
        self.proxy.endpoints.record_response(now, served);
    }

    /// Buffers the response while it is small. One that is not complete by the deadline is relayed as it
    /// arrives: an idempotent request has its whole time for this as well.
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

/// Whether the server closes the connection after this response (RFC 9112, section 9.6).
fn announces_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut options =
        values.filter_map(|value| value.to_str().ok()).flat_map(|text| text.split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}

fn content_length(headers: &HeaderMap) -> Option<f64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
