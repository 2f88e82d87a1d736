//! Stub servers, which count the requests that they execute and can simulate faults.

use super::body::{self, Body, pattern};
use super::faulty_stream::{FaultyStream, WriteFault};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use vanepath_config::wire_format::{NATIVE_FORMAT, WireFormat};

/// How a server responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Responds correctly.
    Normal,
    /// Accepts requests and health checks but never responds.
    Silent,
    /// Responds to health checks only.
    Stalled,
    /// Executes the request and closes the connection without a response.
    DisconnectAfterExecution,
    /// Sends a second complete response right after the correct one.
    ExtraResponse,
    /// Sends the second response after a delay, when the connection may already be in use for the next
    /// request.
    DelayedExtraResponse,
    /// Closes the connection in the middle of the response body.
    TruncatedResponse,
    /// Responds with bytes that are not HTTP.
    InvalidResponse,
    /// Fails its health checks.
    Unhealthy,
    /// Responds with status 503 to all requests except health checks.
    Overloaded,
    /// Responds correctly, after [`SLOW_DELAY`].
    Slow,
}

/// How long a slow server takes to execute a request: longer than proxies wait before they try another
/// server, and shorter than clients wait.
pub const SLOW_DELAY: Duration = Duration::from_millis(2500);

/// Counters and behavior of a server. The state survives restarts of the server.
pub struct ServerState {
    /// Identifier that it sends in responses.
    pub id: Mutex<String>,
    /// Current behavior.
    pub behavior: Mutex<Behavior>,
    /// How often each request was executed, by request identifier.
    pub execution_counts: Mutex<HashMap<String, u32>>,
    /// Requests received, except health checks.
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Number of requests being processed.
    pub in_flight: AtomicU64,
    /// Number of health checks received.
    pub health_checks: AtomicU64,
    /// Utilization that it reports, in thousandths.
    pub utilization_milli: AtomicU64,
    /// Whether it reports that it is warming up.
    pub is_warming_up: AtomicBool,
    /// Requests whose connection was closed while the server was executing them.
    pub aborted_requests: Mutex<Vec<String>>,
    /// Set when the server is stopped; connections that close because of that are not recorded as aborted.
    is_stopped: AtomicBool,
}

impl ServerState {
    fn count_execution(&self, request_id: &str) {
        let mut execution_counts = self.execution_counts.lock().expect("no panic under this lock");
        *execution_counts.entry(request_id.to_string()).or_default() += 1;
    }
}

/// A request as it was received by a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it was received.
    pub at: Instant,
    /// Its identifier, from the header `x-request`.
    pub request_id: String,
    /// Its path, without the query.
    pub path: String,
    /// The tenant that the proxy named; empty if none.
    pub tenant: String,
    /// Whether an API key was passed on.
    pub has_key: bool,
}

/// A stub server, which accepts connections until it is stopped or dropped.
pub struct StubServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its counters and behavior.
    pub state: Arc<ServerState>,
    accept_task: tokio::task::JoinHandle<()>,
    stop: watch::Sender<bool>,
}

impl StubServer {
    /// Starts a server with normal behavior.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(id: &str, address: SocketAddr) -> std::io::Result<StubServer> {
        let state = Arc::new(ServerState {
            id: Mutex::new(id.to_string()),
            behavior: Mutex::new(Behavior::Normal),
            execution_counts: Mutex::default(),
            arrivals: Mutex::default(),
            in_flight: AtomicU64::new(0),
            health_checks: AtomicU64::new(0),
            utilization_milli: AtomicU64::new(100),
            is_warming_up: AtomicBool::new(false),
            aborted_requests: Mutex::default(),
            is_stopped: AtomicBool::new(false),
        });
        StubServer::start_with_state(state, address).await
    }

    /// Starts a server with the state of a stopped one.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start_with_state(
        state: Arc<ServerState>,
        address: SocketAddr,
    ) -> std::io::Result<StubServer> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(1024)?;
        state.is_stopped.store(false, Ordering::Relaxed);
        let (stop, stopped) = watch::channel(false);
        let accept_task = tokio::spawn(accept(listener, state.clone(), stopped));
        Ok(StubServer { address, state, accept_task, stop })
    }

    /// Stops at once, like a killed process: closes the listening socket and all connections.
    pub fn stop(&self) {
        self.state.is_stopped.store(true, Ordering::Relaxed);
        self.accept_task.abort();
        self.stop.send_replace(true);
    }

    /// Sets the behavior for subsequent requests.
    pub fn set_behavior(&self, behavior: Behavior) {
        *self.state.behavior.lock().expect("no panic under this lock") = behavior;
    }
}

impl Drop for StubServer {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn accept(listener: TcpListener, state: Arc<ServerState>, stopped: watch::Receiver<bool>) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve(stream, state.clone(), stopped.clone()));
    }
}

async fn serve(stream: TcpStream, state: Arc<ServerState>, mut stopped: watch::Receiver<bool>) {
    let fault = Arc::new(Mutex::new(WriteFault::default()));
    let Ok(stream) = FaultyStream::new(stream, fault.clone()) else { return };
    let service = service_fn(move |request| {
        let (state, fault) = (state.clone(), fault.clone());
        async move { Ok::<_, Infallible>(respond(&state, &fault, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        _ = async { stopped.wait_for(|is_stopped| *is_stopped).await.is_ok() } => {}
    }
}

/// Counts a request as in flight until the guard is dropped.
struct InFlightGuard(Arc<ServerState>);

impl InFlightGuard {
    fn new(state: &Arc<ServerState>) -> InFlightGuard {
        state.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(state.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Records a request as aborted if the guard is dropped before the execution is complete.
struct ExecutionGuard<'s> {
    state: &'s ServerState,
    request_id: &'s str,
    is_done: bool,
}

impl Drop for ExecutionGuard<'_> {
    fn drop(&mut self) {
        if !self.is_done && !self.state.is_stopped.load(Ordering::Relaxed) {
            let mut aborted_requests =
                self.state.aborted_requests.lock().expect("no panic under this lock");
            aborted_requests.push(self.request_id.to_string());
        }
    }
}

/// Builds responses with the headers that a server sends in every response.
struct ResponseBuilder<'s> {
    state: &'s ServerState,
    /// Identifier and utilization at the time when the request was received.
    id: String,
    utilization: f64,
}

impl ResponseBuilder<'_> {
    fn new(state: &ServerState) -> ResponseBuilder<'_> {
        ResponseBuilder {
            state,
            id: state.id.lock().expect("no panic under this lock").clone(),
            utilization: state.utilization_milli.load(Ordering::Relaxed) as f64 / 1000.0,
        }
    }

    fn build(&self, status: u16, body: Body) -> Response<Body> {
        let load_report = format!("TEXT application_utilization={}", self.utilization);
        let mut response = Response::builder()
            .status(status)
            .header("server-id", &self.id)
            .header("endpoint-load-metrics", load_report);
        if self.state.is_warming_up.load(Ordering::Relaxed) {
            response = response.header("server-state", "cold");
        }
        response.body(body).expect("the header values are valid")
    }
}

async fn respond(
    state: &Arc<ServerState>,
    fault: &Mutex<WriteFault>,
    request: Request<Incoming>,
) -> Response<Body> {
    let behavior = *state.behavior.lock().expect("no panic under this lock");
    let response = ResponseBuilder::new(state);
    if request.uri().path() == "/live" {
        return health_check(state, behavior, &response).await;
    }
    let in_flight = InFlightGuard::new(state);
    let request_id = request_id(&request);
    state.arrivals.lock().expect("no panic under this lock").push(Arrival {
        at: Instant::now(),
        request_id: request_id.clone(),
        path: request.uri().path().to_string(),
        tenant: header_text(&request, NATIVE_FORMAT.headers().tenant),
        has_key: request.headers().contains_key(NATIVE_FORMAT.headers().api_key),
    });
    let options = RequestOptions::from_uri(request.uri());
    let (head, incoming) = request.into_parts();
    let Ok(collected) = incoming.collect().await else {
        return response.build(400, body::full("broken body"));
    };
    let request_body = collected.to_bytes();
    match behavior {
        Behavior::Overloaded => return response.build(503, body::full("busy")),
        Behavior::Silent | Behavior::Stalled => return std::future::pending().await,
        _ => {}
    }
    execute(state, behavior, &request_id, &options).await;
    inject_fault(fault, behavior, options.size);
    if options.size > 0 {
        return response.build(200, download(&request_id, &options, in_flight));
    }
    let echo = jzon::object! {
        "server": response.id.as_str(),
        "request": request_id,
        "method": head.method.as_str(),
        "target": head.uri.to_string(),
        "filed": head.method == Method::POST,
        "bodyBytes": request_body.len(),
        "host": head.headers.get("host").and_then(|value| value.to_str().ok()).unwrap_or(""),
    };
    response.build(200, body::full(echo.dump()))
}

async fn health_check(
    state: &ServerState,
    behavior: Behavior,
    response: &ResponseBuilder<'_>,
) -> Response<Body> {
    state.health_checks.fetch_add(1, Ordering::Relaxed);
    match behavior {
        Behavior::Silent => std::future::pending().await,
        Behavior::Unhealthy => response.build(500, body::full("unwell")),
        _ => response.build(200, body::full("well")),
    }
}

fn request_id(request: &Request<Incoming>) -> String {
    let request_id = header_text(request, "x-request");
    if request_id.is_empty() { "none".to_string() } else { request_id }
}

/// The value of a header; empty if there is none.
fn header_text(request: &Request<Incoming>, name: &str) -> String {
    let header = request.headers().get(name);
    header.and_then(|value| value.to_str().ok()).unwrap_or_default().to_string()
}

/// Options for the response, from the query of the request.
struct RequestOptions {
    /// Delay before the response.
    delay: Option<Duration>,
    /// Size of the response body in bytes; 0 for a JSON echo of the request.
    size: usize,
    /// Interval between the pieces of a throttled body.
    throttle_interval: Option<Duration>,
    /// Whether the body is sent in chunks, without a declared length.
    is_chunked: bool,
}

impl RequestOptions {
    fn from_uri(uri: &Uri) -> RequestOptions {
        let query: BTreeMap<&str, &str> = uri
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let millis = |key: &str| query.get(key)?.parse().ok().map(Duration::from_millis);
        RequestOptions {
            delay: millis("waitMs"),
            size: query.get("size").and_then(|text| text.parse().ok()).unwrap_or(0),
            throttle_interval: millis("trickleMs"),
            is_chunked: query.contains_key("chunked"),
        }
    }
}

async fn execute(
    state: &ServerState,
    behavior: Behavior,
    request_id: &str,
    options: &RequestOptions,
) {
    state.count_execution(request_id);
    let mut execution = ExecutionGuard { state, request_id, is_done: false };
    if behavior == Behavior::Slow {
        tokio::time::sleep(SLOW_DELAY).await;
    }
    if let Some(delay) = options.delay {
        tokio::time::sleep(delay).await;
    }
    execution.is_done = true;
}

/// Delay of the second response: longer than the time for which a proxy does not reuse a connection after a
/// response.
const EXTRA_RESPONSE_DELAY: Duration = Duration::from_millis(45);
const EXTRA_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n{\"x\":\"old\"}";

/// Injects the fault that the behavior requires into the next response on this connection.
fn inject_fault(fault: &Mutex<WriteFault>, behavior: Behavior, size: usize) {
    let mut fault = fault.lock().expect("no panic under this lock");
    match behavior {
        Behavior::DisconnectAfterExecution => fault.bytes_until_reset = Some(0),
        Behavior::TruncatedResponse => fault.bytes_until_reset = Some(200 + size / 2),
        Behavior::InvalidResponse => {
            fault.replacement = b"\x00\x01 no such thing\r\n\r\n".to_vec();
        }
        Behavior::ExtraResponse => fault.extra = EXTRA_RESPONSE.to_vec(),
        Behavior::DelayedExtraResponse => {
            fault.delayed_extra = Some((EXTRA_RESPONSE_DELAY, EXTRA_RESPONSE));
        }
        Behavior::Normal
        | Behavior::Slow
        | Behavior::Silent
        | Behavior::Stalled
        | Behavior::Unhealthy
        | Behavior::Overloaded => {}
    }
}

/// The body of a download. A throttled download counts as in flight until its body is sent.
fn download(request_id: &str, options: &RequestOptions, in_flight: InFlightGuard) -> Body {
    let bytes = pattern(request_id, options.size);
    match options.throttle_interval {
        Some(interval) => body::throttled(bytes, interval, in_flight),
        None if options.is_chunked => body::chunked(&bytes),
        None => body::full(Bytes::from(bytes)),
    }
}
