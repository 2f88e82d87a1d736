//! Connections to servers. If the wire format has no header that names the target server, the first
//! exchange on each connection is a health check in which the server states its identity; from then on
//! the connection counts as one to that server (design 8.6).

use crate::early_response::EarlyResponseStream;
use crate::endpoints::{Endpoint, MAX_IDLE_TIME};
use crate::health::Failure;
use crate::upload::UploadProgress;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::{TrySendError, http1};
use hyper::http::response;
use hyper::{HeaderMap, Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::time::timeout;
use vanepath_cluster::node;
use vanepath_config::model::Service;
use vanepath_config::wire_format::SelectedFormat;

/// Sends requests over one connection.
pub struct Sender {
    requests: http1::SendRequest<node::Body>,
    upload: UploadProgress,
}

impl Sender {
    /// Whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.requests.is_ready()
    }

    /// Waits until a request can be sent.
    ///
    /// # Errors
    /// The connection is closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.requests.ready().await
    }

    /// Sends a request, and waits for the head of the response.
    ///
    /// # Errors
    /// The cause, with the message if the HTTP library has not begun to write it.
    pub fn send(
        &mut self,
        message: Request<node::Body>,
    ) -> impl Future<Output = Result<Response<Incoming>, TrySendError<Request<node::Body>>>> + use<>
    {
        let message = message.map(|body| self.upload.track(body));
        self.requests.try_send_request(message)
    }
}

/// The time-out for opening a connection, and for a health check on it: many times the round trip to
/// the farthest region.
pub const TIMEOUT: Duration = Duration::from_millis(600);
/// The time-out for opening a connection within the region.
const SAME_REGION_TIMEOUT: Duration = Duration::from_millis(250);
/// The maximum size of the body of a response to a health check, in bytes.
const MAX_HEALTH_CHECK_BYTES: usize = 64 << 10;
/// The size of the receive buffer on a narrow link, in bytes: how much a server may send ahead of the
/// reader (design 8.10).
const NARROW_LINK_RECEIVE_BUFFER: u32 = 16 << 10;
/// The maximum size of the HTTP library's buffer, in bytes.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// What a server states in its response to a health check.
#[derive(Clone, Copy, Debug, Default)]
pub struct HandshakeResponse {
    /// Whether the server is still warming up.
    pub is_warming_up: bool,
    /// The load in thousandths of the server's capacity, if it states one.
    pub load_milli: Option<u32>,
}

/// Opens a connection and verifies the identity of the server. `on_surplus_bytes` is called if bytes
/// arrive on the connection that belong to no request.
///
/// # Errors
/// The failure to record for the server.
pub async fn connect(
    format: SelectedFormat,
    endpoint: &Endpoint,
    service: &Service,
    on_surplus_bytes: impl FnOnce() + Send + 'static,
) -> Result<(Sender, HandshakeResponse), Failure> {
    let mut sender = open(endpoint, true, false, on_surplus_bytes).await?;
    let response = verify_identity(format, &mut sender, endpoint, service).await?;
    Ok((sender, response))
}

/// Opens a connection without sending anything on it. `on_surplus_bytes` is called if bytes arrive on
/// it that belong to no request.
///
/// # Errors
/// [`Failure::Refused`] if connecting fails, [`Failure::Unreachable`] after the time-out,
/// [`Failure::ConnectionLost`] if the connection closes at once, and [`Failure::NoResponse`] if this process has no
/// file descriptor left.
pub async fn open(
    endpoint: &Endpoint,
    is_far: bool,
    is_narrow: bool,
    on_surplus_bytes: impl FnOnce() + Send + 'static,
) -> Result<Sender, Failure> {
    let connect_timeout = if is_far { TIMEOUT } else { SAME_REGION_TIMEOUT };
    let socket = match endpoint.server.address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    // This process has no file descriptor left, which is no failure of the server and may be temporary.
    let socket = socket.map_err(|_| Failure::NoResponse)?;
    if is_narrow {
        let _ = socket.set_recv_buffer_size(NARROW_LINK_RECEIVE_BUFFER);
    }
    let stream = match timeout(connect_timeout, socket.connect(endpoint.server.address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return Err(Failure::Refused),
        Err(_) => return Err(Failure::Unreachable),
    };
    let _ = stream.set_nodelay(true);
    let mut builder = http1::Builder::new();
    builder.preserve_header_case(true).max_buf_size(MAX_BUFFER_BYTES);
    let upload = UploadProgress::default();
    let stream = EarlyResponseStream::new(stream, upload.clone());
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (requests, connection) = handshake.map_err(|_| Failure::ConnectionLost)?;
    tokio::spawn(async move {
        // Completes when either side closes, or at the first byte that belongs to no request.
        if connection.await.is_err_and(|error| is_surplus(&error)) {
            on_surplus_bytes();
        }
    });
    Ok(Sender { requests, upload })
}

/// How long the server keeps an idle connection by its `Keep-Alive` header (RFC 2068, section 19.7.1);
/// [`MAX_IDLE_TIME`] if it does not state this.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Duration {
    let header_value = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = header_value.and_then(|text| {
        let mut pairs = text.split(',').filter_map(|pair| pair.trim().split_once('='));
        pairs.find(|(key, _)| key.eq_ignore_ascii_case("timeout"))?.1.trim().parse().ok()
    });
    seconds.map_or(MAX_IDLE_TIME, Duration::from_secs)
}

/// Whether the connection ended because of bytes that belong to no request. The HTTP library has a
/// predicate for every other kind of error; this kind matches none of them and has no cause.
fn is_surplus(error: &hyper::Error) -> bool {
    let is_known_kind = error.is_closed()
        || error.is_canceled()
        || error.is_incomplete_message()
        || error.is_parse()
        || error.is_user()
        || error.is_body_write_aborted()
        || error.is_shutdown()
        || error.is_timeout();
    !is_known_kind && error.source().is_none()
}

/// Checks over an open connection that the server is healthy and is the expected one.
///
/// # Errors
/// [`Failure::ConnectionLost`] if the connection closes, [`Failure::NoResponse`] after the time-out,
/// [`Failure::Unhealthy`] if the server responds that it is unhealthy or its response is invalid, and
/// [`Failure::Refused`] if another server has the address.
pub async fn verify_identity(
    format: SelectedFormat,
    sender: &mut Sender,
    endpoint: &Endpoint,
    service: &Service,
) -> Result<HandshakeResponse, Failure> {
    let exchange = exchange_health_check(format, sender, endpoint, service);
    match timeout(TIMEOUT, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => Err(Failure::NoResponse),
    }
}

async fn exchange_health_check(
    format: SelectedFormat,
    sender: &mut Sender,
    endpoint: &Endpoint,
    service: &Service,
) -> Result<HandshakeResponse, Failure> {
    sender.ready().await.map_err(|_| Failure::ConnectionLost)?;
    let request = Request::builder()
        .method("GET")
        .uri(service.health_check_path.as_str())
        .header(header::HOST, endpoint.server.address.to_string())
        .header("vanepath-liveness", endpoint.server.id.as_str())
        .body(node::body(Bytes::new()))
        .map_err(|_| Failure::Unhealthy)?;
    let response = sender.send(request).await.map_err(|_| Failure::ConnectionLost)?;
    let (head, body) = response.into_parts();
    if !is_framed(&head) {
        return Err(Failure::Unhealthy);
    }
    let body = Limited::new(body, MAX_HEALTH_CHECK_BYTES);
    body.collect().await.map_err(|_| Failure::Unhealthy)?;
    if !head.status.is_success() {
        return Err(Failure::Unhealthy);
    }
    if !names_endpoint(&head.headers, endpoint, service) {
        return Err(Failure::Refused);
    }
    sender.ready().await.map_err(|_| Failure::ConnectionLost)?;
    Ok(read_server_state(format, &head.headers))
}

/// Whether the server states that it is the expected one; otherwise another server has the address now.
fn names_endpoint(headers: &HeaderMap, endpoint: &Endpoint, service: &Service) -> bool {
    if service.identity_header.is_empty() {
        return true;
    }
    let identity = headers.get(service.identity_header.as_str());
    identity.is_some_and(|identity| identity.as_bytes() == endpoint.server.id.as_bytes())
}

fn read_server_state(format: SelectedFormat, headers: &HeaderMap) -> HandshakeResponse {
    let header_text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let warm_up_left = format.headers().warm_up_left.and_then(header_text);
    let has_warm_up_left =
        warm_up_left.is_some_and(|left| left.trim().parse::<f64>().is_ok_and(|ms| ms > 0.0));
    HandshakeResponse {
        is_warming_up: has_warm_up_left || header_text("server-state") == Some("cold"),
        load_milli: header_text(format.headers().load).and_then(|load| format.parse_load(load)),
    }
}

/// Whether the end of the response's body can be distinguished from a broken connection: by its
/// length, by the chunked coding, or because there is no body (RFC 9112, section 6.3).
pub fn is_framed(head: &response::Parts) -> bool {
    let is_bodiless =
        head.status == StatusCode::NO_CONTENT || head.status == StatusCode::NOT_MODIFIED;
    let is_chunked = head
        .headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back()
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.to_ascii_lowercase().trim_end().ends_with("chunked"));
    is_bodiless || is_chunked || head.headers.contains_key(header::CONTENT_LENGTH)
}
