//! Connections to servers: the first exchange of each is a liveness check in which the server
//! names itself, and the connection is that server's for life (design 8.6).

use crate::endpoints::{Endpoint, IdleConnection};
use crate::health::Failure;
use http_body_util::BodyExt;
use std::time::Duration;
use vanepath_cluster::node;
use vanepath_config::wire_format::SelectedFormat;

pub type Sender = hyper::client::conn::http1::SendRequest<node::Body>;
pub type Resting = IdleConnection<Sender>;

/// For a connection and for a greeting: many times what the farthest region takes.
pub const TIMEOUT: Duration = Duration::from_millis(600);
/// For a connection within the region.
const LIMIT_NEAR: Duration = Duration::from_millis(250);
const GREETING_MOST: usize = 64 << 10;

/// What a liveness check found.
#[derive(Clone, Copy, Debug, Default)]
pub struct HandshakeResponse {
    pub says_cold: bool,
    pub demand_milli: Option<u32>,
}

/// A new connection, greeted. `untidy` is called if it ever brings bytes that nobody asked for.
pub async fn connect(
    dialect: SelectedFormat,
    entry: &Endpoint,
    service: &vanepath_config::model::Service,
    untidy: impl FnOnce() + Send + 'static,
) -> Result<(Sender, HandshakeResponse), Failure> {
    let mut sender = open(entry, true, false, untidy).await?;
    let greeted = greet(dialect, &mut sender, entry, service).await?;
    Ok((sender, greeted))
}

/// What a server may send ahead of the reader, where the link is narrow (design 8.10).
const WINDOW_NARROW: u32 = 16 << 10;

/// A new connection that nothing was said on yet.
pub async fn open(
    entry: &Endpoint,
    is_far: bool,
    is_narrow: bool,
    untidy: impl FnOnce() + Send + 'static,
) -> Result<Sender, Failure> {
    let limit = if is_far { TIMEOUT } else { LIMIT_NEAR };
    let socket = match entry.server.address {
        std::net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4(),
        std::net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6(),
    };
    // No descriptor is left: that says nothing of the server, and may pass.
    let socket = socket.map_err(|_| Failure::Silent)?;
    if is_narrow {
        let _ = socket.set_recv_buffer_size(WINDOW_NARROW);
    }
    let connected = tokio::time::timeout(limit, socket.connect(entry.server.address));
    let stream = match connected.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return Err(Failure::Refused),
        Err(_) => return Err(Failure::Silent),
    };
    let _ = stream.set_nodelay(true);
    let mut builder = hyper::client::conn::http1::Builder::new();
    builder.preserve_header_case(true).max_buf_size(64 << 10);
    let handshake = builder.handshake(hyper_util::rt::TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| Failure::Broken)?;
    tokio::spawn(async move {
        // Ends when either side closes, or on the first byte that nobody asked for.
        if connection.await.is_err_and(|error| is_surplus(&error)) {
            untidy();
        }
    });
    Ok(sender)
}

/// For how long the server keeps a resting connection, as it says (RFC 9112 and its `Keep-Alive`).
pub fn kept_for(headers: &hyper::HeaderMap) -> Duration {
    let told = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let told = told.and_then(|text| {
        let mut pairs = text.split(',').filter_map(|pair| pair.trim().split_once('='));
        pairs.find(|(key, _)| key.eq_ignore_ascii_case("timeout"))?.1.trim().parse().ok()
    });
    told.map_or(crate::endpoints::MAX_IDLE_TIME, Duration::from_secs)
}

/// The library has a name for every other end of a connection; this one comes without a cause.
fn is_surplus(error: &hyper::Error) -> bool {
    let is_named = error.is_closed()
        || error.is_canceled()
        || error.is_incomplete_message()
        || error.is_parse()
        || error.is_user()
        || error.is_body_write_aborted()
        || error.is_shutdown()
        || error.is_timeout();
    !is_named && std::error::Error::source(error).is_none()
}

/// The liveness check on a connection that is open.
pub async fn greet(
    dialect: SelectedFormat,
    sender: &mut Sender,
    entry: &Endpoint,
    service: &vanepath_config::model::Service,
) -> Result<HandshakeResponse, Failure> {
    match tokio::time::timeout(TIMEOUT, greet_unbounded(dialect, sender, entry, service)).await {
        Ok(outcome) => outcome,
        Err(_) => Err(Failure::Silent),
    }
}

async fn greet_unbounded(
    dialect: SelectedFormat,
    sender: &mut Sender,
    entry: &Endpoint,
    service: &vanepath_config::model::Service,
) -> Result<HandshakeResponse, Failure> {
    sender.ready().await.map_err(|_| Failure::Broken)?;
    let request = hyper::Request::builder()
        .method("GET")
        .uri(service.health_check_path.as_str())
        .header(hyper::header::HOST, entry.server.address.to_string())
        .header("vanepath-liveness", entry.server.id.as_str())
        .body(node::body(bytes::Bytes::new()))
        .map_err(|_| Failure::Unwell)?;
    let receipt = sender.send_request(request).await.map_err(|_| Failure::Broken)?;
    let (head, body) = receipt.into_parts();
    if !is_framed(&head) {
        return Err(Failure::Unwell);
    }
    let body = http_body_util::Limited::new(body, GREETING_MOST);
    body.collect().await.map_err(|_| Failure::Unwell)?;
    if !head.status.is_success() {
        return Err(Failure::Unwell);
    }
    if !service.identity_header.is_empty() {
        let named = head.headers.get(service.identity_header.as_str());
        if named.is_none_or(|named| named.as_bytes() != entry.server.id.as_bytes()) {
            // Somebody else has the address now.
            return Err(Failure::Refused);
        }
    }
    sender.ready().await.map_err(|_| Failure::Broken)?;
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let cold_left = dialect.headers().warm_up_left.and_then(text);
    let is_cold = cold_left.is_some_and(|left| left.trim().parse::<f64>().is_ok_and(|ms| ms > 0.0));
    Ok(HandshakeResponse {
        says_cold: is_cold || text("server-state") == Some("cold"),
        demand_milli: text(dialect.headers().load).and_then(|load| dialect.load(load)),
    })
}

/// Whether the end of the receipt's body can be told from a broken connection: by its length,
/// by chunks, or because there is none.
pub fn is_framed(head: &hyper::http::response::Parts) -> bool {
    let is_bodiless = head.status == hyper::StatusCode::NO_CONTENT
        || head.status == hyper::StatusCode::NOT_MODIFIED;
    let chunked = head
        .headers
        .get_all(hyper::header::TRANSFER_ENCODING)
        .iter()
        .next_back()
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.to_ascii_lowercase().trim_end().ends_with("chunked"));
    is_bodiless || chunked || head.headers.contains_key(hyper::header::CONTENT_LENGTH)
}
