//! Plain HTTP requests, as operators' scripts send them.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time-out of a request, including the connection attempt.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A complete response.
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Header fields.
    pub headers: hyper::HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Response {
    /// The body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> jzon::JsonValue {
        let text = String::from_utf8_lossy(&self.body);
        jzon::parse(&text).unwrap_or(jzon::JsonValue::Null)
    }
}

/// Sends a request over a new connection. `None` if there is no complete response within the time-out.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Response> {
    let call = async {
        let mut connection = connect(TcpStream::connect(address).await.ok()?).await?;
        let mut request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, address.to_string());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = Full::new(Bytes::copy_from_slice(body));
        let response = connection.send_request(request.body(body).ok()?).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Response { status: head.status.as_u16(), headers: head.headers, body })
    };
    tokio::time::timeout(REQUEST_TIMEOUT, call).await.ok().flatten()
}

/// Sends the same request `count` times over one connection, one per interval, and returns how many got
/// status 200. Stops at the first connection error.
pub async fn repeat_request(
    address: SocketAddr,
    method: &'static str,
    path: &'static str,
    request_id: String,
    count: usize,
    interval: Duration,
) -> usize {
    let Ok(stream) = TcpStream::connect(address).await else { return 0 };
    let _ = stream.set_nodelay(true);
    let Some(mut connection) = connect(stream).await else { return 0 };
    let mut served = 0;
    let mut interval = tokio::time::interval(interval);
    for index in 0..count {
        interval.tick().await;
        let request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, "shop.example")
            .header("x-request", format!("{request_id}-{index}"))
            .body(Full::new(Bytes::new()));
        let Ok(request) = request else { return served };
        if connection.ready().await.is_err() {
            return served;
        }
        let Ok(response) = connection.send_request(request).await else { return served };
        let is_ok = response.status() == hyper::StatusCode::OK;
        if response.into_body().collect().await.is_ok() && is_ok {
            served += 1;
        }
    }
    served
}

async fn connect(stream: TcpStream) -> Option<SendRequest<Full<Bytes>>> {
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // Connection errors are also returned by the requests on the connection.
        let _ = connection.await;
    });
    Some(sender)
}
