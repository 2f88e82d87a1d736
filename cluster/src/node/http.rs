//! Serving HTTP/1.1 (RFC 9112): listeners, connections, graceful shutdown, bodies and JSON responses.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The pause after a failed accept, for want of file handles.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often a listener that stops looks whether its connections have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The body of a response.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;
/// Why a body ended early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Opens a listener; `key` is the settings key of the address.
///
/// # Errors
/// That the address cannot be listened at, with the key and the address.
pub async fn bind(key: &str, address: SocketAddr) -> Result<TcpListener, miette::Report> {
    TcpListener::bind(address)
        .await
        .map_err(|error| miette::miette!("$.{key}: cannot listen at {address}: {error}"))
}

/// Accepts connections until `stop` turns true, and then waits until the open ones have ended; the
/// program's own grace period bounds that.
pub async fn accept<F>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    serve: impl Fn(TcpStream, watch::Receiver<bool>) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    // Each open connection holds a clone.
    let open = Arc::new(());
    let connection_stop = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = async { stop.wait_for(|stop| *stop).await.is_ok() } => break,
        };
        let Ok((stream, _)) = accepted else {
            // Out of file handles: some connections have to end first.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let served = serve(stream, connection_stop.clone());
        let open = open.clone();
        tokio::spawn(async move {
            let _open = open;
            served.await;
        });
    }
    drop(listener);
    while Arc::strong_count(&open) > 1 {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

/// Serves HTTP until `stop` turns true. Then no new connections are accepted, and the open ones end after
/// the request in flight.
pub async fn serve_http<H, F>(
    listener: TcpListener,
    stop: watch::Receiver<bool>,
    settings: HttpSettings,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    accept(listener, stop, |stream, mut stop| {
        let handler = handler.clone();
        async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let io = TokioIo::new(stream);
            let connection = settings.builder().serve_connection(io, service);
            tokio::pin!(connection);
            let has_ended = tokio::select! {
                _ = &mut connection => true,
                _ = async { stop.wait_for(|stop| *stop).await.is_ok() } => false,
            };
            if !has_ended {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        }
    })
    .await;
}

/// How connections are served.
#[derive(Clone, Copy)]
pub struct HttpSettings {
    /// A request's head has to arrive within this time.
    pub header_timeout: Duration,
    /// Header names are passed on in the case in which they came.
    pub preserve_header_case: bool,
    /// The size of a connection's read buffer at the most, and so of a request's head.
    pub max_buffer_bytes: usize,
}

impl HttpSettings {
    /// A builder of hyper's connections with these settings.
    pub fn builder(&self) -> hyper::server::conn::http1::Builder {
        let mut builder = hyper::server::conn::http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(self.header_timeout)
            .preserve_header_case(self.preserve_header_case)
            .max_buf_size(self.max_buffer_bytes)
            .half_close(false);
        builder
    }
}

impl Default for HttpSettings {
    fn default() -> HttpSettings {
        HttpSettings {
            header_timeout: Duration::from_secs(30),
            preserve_header_case: false,
            max_buffer_bytes: 64 << 10,
        }
    }
}

/// A body of bytes that are all there.
pub fn body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A response with a JSON document, which is not to be cached.
pub fn json_response(status: StatusCode, value: &jzon::JsonValue) -> Response<Body> {
    let mut text = value.dump();
    text.push('\n');
    let mut response = Response::new(body(text));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}
