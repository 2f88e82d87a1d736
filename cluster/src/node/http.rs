//! The HTTP/1.1 server (RFC 9112): listeners, connections, graceful shutdown, bodies and JSON responses.

use super::connections::{
    ClientConnections, ConnectionStop, RequestInProgress, RequestTracker, ServedConnection,
};
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The interval at which a stopping listener checks whether its connections have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The body of a response.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;
/// The error with which a body ends early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Binds a listener; `key` is the settings key of the address.
///
/// # Errors
/// If the address cannot be bound. The message names the key and the address.
pub async fn bind(key: &str, address: SocketAddr) -> Result<TcpListener, miette::Report> {
    TcpListener::bind(address)
        .await
        .map_err(|error| miette::miette!("$.{key}: cannot listen at {address}: {error}"))
}

/// Accepts connections until `stop` becomes true, and then waits until the open ones have ended. The wait is
/// only limited by the program's own grace period. `serve` serves a connection, reports the requests on it to
/// the tracker, and returns the connection to be closed.
pub async fn accept<F>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    connections: Arc<ClientConnections>,
    serve: impl Fn(TcpStream, RequestTracker, watch::Receiver<bool>) -> F,
) where
    F: Future<Output = ServedConnection> + Send + 'static,
{
    // Each open connection holds a clone, so the reference count is the number of connections plus one.
    let open_connections = Arc::new(());
    let connection_stop = stop.clone();
    let start = |stream: TcpStream, peer: SocketAddr| {
        let _ = stream.set_nodelay(true);
        let requests = RequestTracker::default();
        let open_connection = connections.begin(peer, requests.clone());
        let serving = serve(stream, requests, connection_stop.clone());
        let open_connections = open_connections.clone();
        tokio::spawn(async move {
            let _open_connections = open_connections;
            let served = serving.await;
            open_connection.close(served).await;
        });
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = async { stop.wait_for(|stop| *stop).await.is_ok() } => break,
        };
        match accepted {
            Ok((stream, peer)) => start(stream, peer),
            // File descriptors are exhausted: some connections must end first.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    // Closing the listener would reset the connections that the kernel has accepted already.
    for (stream, peer) in take_backlog(listener) {
        start(stream, peer);
    }
    while Arc::strong_count(&open_connections) > 1 {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

/// Closes a listener and returns the connections that the kernel has accepted on it.
fn take_backlog(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let mut connections = Vec::new();
    let Ok(listener) = listener.into_std() else { return connections };
    while let Ok((stream, peer)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        connections.extend(stream.ok().map(|stream| (stream, peer)));
    }
    connections
}

/// Serves HTTP until `stop` becomes true. Then no new connections are accepted, and the open ones end after
/// the request in flight.
pub async fn serve_http<H, F>(
    listener: TcpListener,
    stop: watch::Receiver<bool>,
    connections: Arc<ClientConnections>,
    settings: HttpSettings,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + Unpin + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    accept(listener, stop, connections, |stream, requests, stop| {
        serve_connection(stream, requests, stop, settings, handler.clone())
    })
    .await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    requests: RequestTracker,
    stop: watch::Receiver<bool>,
    settings: HttpSettings,
    handler: H,
) -> ServedConnection
where
    H: Fn(Request<Incoming>) -> F + Unpin,
    F: Future<Output = Response<Body>>,
{
    let mut stop = ConnectionStop::new(stop, requests.clone());
    let service = service_fn(move |request| {
        requests.begin(RequestInProgress::of(&request, None));
        let guard = RequestGuard(requests.clone());
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await.map(|body| GuardedBody { body, guard })) }
    });
    let mut connection = settings.builder().serve_connection(TokioIo::new(stream), service);
    let mut is_closing = false;
    let result = poll_fn(|context| {
        let mut polled = Pin::new(&mut connection).poll(context);
        if polled.is_pending() && !is_closing && stop.poll(context).is_ready() {
            is_closing = true;
            Pin::new(&mut connection).graceful_shutdown();
            polled = Pin::new(&mut connection).poll(context);
        }
        polled
    })
    .await;
    let parts = connection.into_parts();
    ServedConnection::new(parts.io.into_inner(), parts.read_buf.len(), result)
}

/// Ends a request in its connection's tracker when it is dropped.
struct RequestGuard(RequestTracker);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.end();
    }
}

/// The body of a response, with a guard that is dropped with it, whether the body was written or not.
pub struct GuardedBody<G> {
    /// The body itself.
    pub body: Body,
    /// The guard.
    pub guard: G,
}

impl<G: Unpin> hyper::body::Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}

/// Settings for HTTP connections.
#[derive(Clone, Copy)]
pub struct HttpSettings {
    /// The time within which the head of a request must arrive.
    pub header_timeout: Duration,
    /// Whether header names keep the case in which they were received.
    pub preserve_header_case: bool,
    /// The maximum size of a connection's read buffer, and so of a request's head.
    pub max_buffer_bytes: usize,
}

impl HttpSettings {
    /// A hyper connection builder with these settings.
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

/// A body of bytes that are all in memory.
pub fn body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A response with a JSON document, marked as not cacheable.
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
