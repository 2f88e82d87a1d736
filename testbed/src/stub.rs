//! Stand-in servers and the stand-in platform. A server counts what it ran, and misbehaves on
//! order in the ways of the brief.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    Normal,
    /// Takes requests and liveness checks and never replies.
    Silent,
    /// Is well by its liveness checks and never replies to anything else.
    Stalled,
    /// Runs the request and cuts the connection before the reply.
    DisconnectAfterExecution,
    /// Adds another whole reply after the right one.
    ExtraResponse,
    /// The same, a little later: when the connection may carry the next request already.
    DelayedExtraResponse,
    /// Breaks off in the middle of the reply's body.
    TruncatedResponse,
    /// Replies what is no HTTP.
    InvalidResponse,
    /// Its liveness check says that it is not well.
    Unhealthy,
    /// Replies 503 to everything but liveness checks.
    Overloaded,
}

pub struct ServerState {
    pub id: Mutex<String>,
    pub behavior: Mutex<Behavior>,
    /// How often each request ran, by its own number.
    pub runs: Mutex<HashMap<String, u32>>,
    /// When requests came, liveness checks aside.
    pub arrivals: Mutex<Vec<std::time::Instant>>,
    /// The same with what they were.
    pub arrived: Mutex<Vec<Arrival>>,
    pub in_flight: AtomicU64,
    pub health_checks: AtomicU64,
    pub utilization_milli: AtomicU64,
    pub is_warming_up: AtomicBool,
}

/// A request as it came to a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: std::time::Instant,
    pub request_id: String,
    pub path: String,
}

/// A server that listens until it is stopped.
pub struct StubServer {
    pub address: SocketAddr,
    pub state: Arc<ServerState>,
    task: tokio::task::JoinHandle<()>,
    cut: tokio::sync::watch::Sender<bool>,
}

impl StubServer {
    pub async fn start(id: &str, address: SocketAddr) -> std::io::Result<StubServer> {
        let state = Arc::new(ServerState {
            id: Mutex::new(id.to_string()),
            behavior: Mutex::new(Behavior::Normal),
            runs: Mutex::default(),
            arrivals: Mutex::default(),
            arrived: Mutex::default(),
            in_flight: AtomicU64::new(0),
            health_checks: AtomicU64::new(0),
            utilization_milli: AtomicU64::new(100),
            is_warming_up: AtomicBool::new(false),
        });
        StubServer::start_with(state, address).await
    }

    /// Starts with the counts of an earlier life.
    pub async fn start_with(
        state: Arc<ServerState>,
        address: SocketAddr,
    ) -> std::io::Result<StubServer> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(1024)?;
        let (cut, watch) = tokio::sync::watch::channel(false);
        let serving = state.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(serve(stream, serving.clone(), watch.clone()));
            }
        });
        Ok(StubServer { address, state, task, cut })
    }

    /// Ends at once, as a killed process does: nothing listens, all connections are cut.
    pub fn stop(&self) {
        self.task.abort();
        self.cut.send_replace(true);
    }

    pub fn set_behavior(&self, manner: Behavior) {
        *self.state.behavior.lock().expect("no panic under this lock") = manner;
    }
}

impl Drop for StubServer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// What a connection does to the bytes that hyper writes on it.
#[derive(Default)]
struct Bend {
    /// Write so many more bytes, then break.
    left: Option<usize>,
    /// Goes out right after the next write.
    surplus: Vec<u8>,
    /// Goes out in place of the next write.
    instead: Vec<u8>,
    /// Goes out so long after the next write.
    late: Option<(std::time::Duration, &'static [u8])>,
}

/// Longer than a connection rests.
const LATE: std::time::Duration = std::time::Duration::from_millis(45);

struct Bent {
    stream: tokio::net::TcpStream,
    bend: Arc<Mutex<Bend>>,
    pending: Vec<u8>,
    /// The same socket, for what goes out by itself.
    twin: Arc<tokio::net::TcpStream>,
}

impl tokio::io::AsyncRead for Bent {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        std::pin::Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl tokio::io::AsyncWrite for Bent {
    fn poll_write(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
        buffer: &[u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        std::task::ready!(self.as_mut().poll_flush(context))?;
        let bend = self.bend.clone();
        let mut bend = bend.lock().expect("no panic under this lock");
        if !bend.instead.is_empty() {
            self.pending = std::mem::take(&mut bend.instead);
            return std::task::Poll::Ready(Ok(buffer.len()));
        }
        if let Some((after, bytes)) = bend.late.take() {
            let twin = self.twin.clone();
            tokio::spawn(async move {
                tokio::time::sleep(after).await;
                let _ = twin.try_write(bytes);
            });
        }
        if !bend.surplus.is_empty() {
            self.pending = [buffer, &std::mem::take(&mut bend.surplus)].concat();
            return std::task::Poll::Ready(Ok(buffer.len()));
        }
        match bend.left {
            None => std::pin::Pin::new(&mut self.stream).poll_write(context, buffer),
            Some(0) => std::task::Poll::Ready(Err(std::io::ErrorKind::ConnectionReset.into())),
            Some(left) => {
                let part = &buffer[..buffer.len().min(left)];
                let written = std::pin::Pin::new(&mut self.stream).poll_write(context, part);
                let written = std::task::ready!(written)?;
                bend.left = Some(left - written);
                std::task::Poll::Ready(Ok(written))
            }
        }
    }

    fn poll_flush(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        while !self.pending.is_empty() {
            let own = &mut *self;
            let written = std::pin::Pin::new(&mut own.stream).poll_write(context, &own.pending);
            let written = std::task::ready!(written)?;
            self.pending.drain(..written);
        }
        std::pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        std::pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

fn twins(
    stream: tokio::net::TcpStream,
) -> std::io::Result<(tokio::net::TcpStream, tokio::net::TcpStream)> {
    let stream = stream.into_std()?;
    let twin = tokio::net::TcpStream::from_std(stream.try_clone()?)?;
    Ok((tokio::net::TcpStream::from_std(stream)?, twin))
}

async fn serve(
    stream: tokio::net::TcpStream,
    state: Arc<ServerState>,
    mut cut: tokio::sync::watch::Receiver<bool>,
) {
    let bend = Arc::new(Mutex::new(Bend::default()));
    let Ok((stream, twin)) = twins(stream) else { return };
    let twin = Arc::new(twin);
    let io = Bent { stream, bend: bend.clone(), pending: Vec::new(), twin };
    let service = hyper::service::service_fn(move |request| {
        let (state, bend) = (state.clone(), bend.clone());
        async move { Ok::<_, std::convert::Infallible>(answer(&state, &bend, request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(hyper_util::rt::TokioTimer::new())
        .serve_connection(hyper_util::rt::TokioIo::new(io), service);
    tokio::select! {
        _ = connection => {}
        _ = async { cut.wait_for(|cut| *cut).await.is_ok() } => {}
    }
}

type Body = http_body_util::combinators::BoxBody<bytes::Bytes, std::convert::Infallible>;

fn whole(text: impl Into<bytes::Bytes>) -> Body {
    use http_body_util::BodyExt;
    http_body_util::Full::new(text.into()).boxed()
}

/// Bytes that belong to one request and no other.
pub fn pattern(number: &str, size: usize) -> Vec<u8> {
    let unit = format!("<{number}>").into_bytes();
    unit.iter().copied().cycle().take(size).collect()
}

struct InHand(Arc<ServerState>);

impl Drop for InHand {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn answer(
    state: &Arc<ServerState>,
    bend: &Arc<Mutex<Bend>>,
    request: hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<Body> {
    let id = state.id.lock().expect("no panic under this lock").clone();
    let manner = *state.behavior.lock().expect("no panic under this lock");
    let demand = state.utilization_milli.load(Ordering::Relaxed) as f64 / 1000.0;
    let receipt = |status: u16, body: Body| {
        let mut receipt = hyper::Response::builder()
            .status(status)
            .header("server-id", &id)
            .header("endpoint-load-metrics", format!("TEXT application_utilization={demand}"));
        if state.is_warming_up.load(Ordering::Relaxed) {
            receipt = receipt.header("server-state", "cold");
        }
        receipt.body(body).expect("good header values")
    };
    if request.uri().path() == "/live" {
        state.health_checks.fetch_add(1, Ordering::Relaxed);
        return match manner {
            Behavior::Silent => std::future::pending().await,
            Behavior::Unhealthy => receipt(500, whole("unwell")),
            _ => receipt(200, whole("well")),
        };
    }
    state.arrivals.lock().expect("no panic under this lock").push(std::time::Instant::now());
    state.in_flight.fetch_add(1, Ordering::Relaxed);
    let in_hand = InHand(state.clone());
    let number = request
        .headers()
        .get("x-request")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("none")
        .to_string();
    state.arrived.lock().expect("no panic under this lock").push(Arrival {
        at: std::time::Instant::now(),
        request_id: number.clone(),
        path: request.uri().path().to_string(),
    });
    let query: BTreeMap<String, String> = request
        .uri()
        .query()
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_string(), value.to_string()))
        .collect();
    let is_filing = request.method() == hyper::Method::POST;
    let (head, body) = request.into_parts();
    let collected = http_body_util::BodyExt::collect(body).await;
    let Ok(collected) = collected else {
        return receipt(400, whole("broken body"));
    };
    let body = collected.to_bytes();
    if manner == Behavior::Overloaded {
        return receipt(503, whole("busy"));
    }
    if matches!(manner, Behavior::Silent | Behavior::Stalled) {
        return std::future::pending().await;
    }
    *state.runs.lock().expect("no panic under this lock").entry(number.clone()).or_default() += 1;
    if let Some(wait_ms) = query.get("waitMs").and_then(|text| text.parse().ok()) {
        tokio::time::sleep(std::time::Duration::from_millis(wait_ms)).await;
    }
    let size: usize = query.get("size").and_then(|text| text.parse().ok()).unwrap_or(0);
    {
        let mut bend = bend.lock().expect("no panic under this lock");
        match manner {
            Behavior::DisconnectAfterExecution => bend.left = Some(0),
            Behavior::TruncatedResponse => bend.left = Some(200 + size / 2),
            Behavior::InvalidResponse => bend.instead = b"\x00\x01 no such thing\r\n\r\n".to_vec(),
            Behavior::ExtraResponse => {
                bend.surplus =
                    b"HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n{\"x\":\"old\"}".to_vec();
            }
            Behavior::DelayedExtraResponse => {
                bend.late =
                    Some((LATE, b"HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\n{\"x\":\"old\"}"));
            }
            _ => {}
        }
    }
    if size > 0 {
        let bytes = pattern(&number, size);
        if let Some(trickle_ms) = query.get("trickleMs").and_then(|text| text.parse().ok()) {
            let pulse = tokio::time::interval(std::time::Duration::from_millis(trickle_ms));
            let (most, rest) = (size.div_ceil(20), bytes::Bytes::from(bytes));
            let trickle = Trickle { pulse, rest, most, _in_hand: in_hand };
            return receipt(200, http_body_util::BodyExt::boxed(trickle));
        }
        if query.contains_key("chunked") {
            let chunks: Vec<_> = bytes
                .chunks(16 << 10)
                .map(|chunk| {
                    let chunk = bytes::Bytes::copy_from_slice(chunk);
                    Ok::<_, std::convert::Infallible>(hyper::body::Frame::data(chunk))
                })
                .collect();
            return receipt(200, chunked_body(chunks));
        }
        return receipt(200, whole(bytes));
    }
    let value = jzon::object! {
        "server": id.as_str(),
        "request": number,
        "method": head.method.as_str(),
        "target": head.uri.to_string(),
        "filed": is_filing,
        "bodyBytes": body.len(),
        "host": head.headers.get("host").and_then(|one| one.to_str().ok()).unwrap_or(""),
    };
    receipt(200, whole(value.dump()))
}

/// A body of a known length that comes in twenty pieces, one a beat.
struct Trickle {
    pulse: tokio::time::Interval,
    rest: bytes::Bytes,
    most: usize,
    _in_hand: InHand,
}

impl hyper::body::Body for Trickle {
    type Data = bytes::Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<hyper::body::Frame<bytes::Bytes>, Self::Error>>> {
        if self.rest.is_empty() {
            return std::task::Poll::Ready(None);
        }
        std::task::ready!(self.pulse.poll_tick(context));
        let count = self.most.min(self.rest.len());
        let piece = self.rest.split_to(count);
        std::task::Poll::Ready(Some(Ok(hyper::body::Frame::data(piece))))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        hyper::body::SizeHint::with_exact(self.rest.len() as u64)
    }
}

/// A body without a length, sent piece by piece.
fn chunked_body(
    pieces: Vec<Result<hyper::body::Frame<bytes::Bytes>, std::convert::Infallible>>,
) -> Body {
    struct Pieces(
        std::vec::IntoIter<Result<hyper::body::Frame<bytes::Bytes>, std::convert::Infallible>>,
    );
    impl hyper::body::Body for Pieces {
        type Data = bytes::Bytes;
        type Error = std::convert::Infallible;

        fn poll_frame(
            mut self: std::pin::Pin<&mut Self>,
            _: &mut std::task::Context<'_>,
        ) -> std::task::Poll<Option<Result<hyper::body::Frame<bytes::Bytes>, Self::Error>>>
        {
            std::task::Poll::Ready(self.0.next())
        }
    }
    http_body_util::BodyExt::boxed(Pieces(pieces.into_iter()))
}

/// One line of the stand-in platform's list.
#[derive(Clone, Debug)]
pub struct ListedServer {
    pub id: String,
    pub address: SocketAddr,
    pub region: String,
    pub zone: String,
    pub labels: Vec<(String, String)>,
    pub draining: bool,
}

#[derive(Default)]
struct List {
    revision: u64,
    servers: Vec<ListedServer>,
    /// Served in place of the list where set.
    instead: Option<String>,
}

/// Serves the platform list, with a revision that rises with each change.
pub struct StubPlatform {
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
    task: tokio::task::JoinHandle<()>,
}

impl StubPlatform {
    pub async fn start(address: SocketAddr) -> std::io::Result<StubPlatform> {
        let listener = tokio::net::TcpListener::bind(address).await?;
        let list: Arc<Mutex<List>> = Arc::default();
        let shown = list.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let shown = shown.clone();
                let service = hyper::service::service_fn(move |request| {
                    let receipt = show(&shown.lock().expect("no panic under this lock"), &request);
                    async move { Ok::<_, std::convert::Infallible>(receipt) }
                });
                tokio::spawn(
                    hyper::server::conn::http1::Builder::new()
                        .serve_connection(hyper_util::rt::TokioIo::new(stream), service),
                );
            }
        });
        Ok(StubPlatform { address, list, task })
    }

    /// Changes the list; the revision rises.
    pub fn update_list(&self, change: impl FnOnce(&mut Vec<ListedServer>)) {
        let mut list = self.list.lock().expect("no panic under this lock");
        change(&mut list.servers);
        list.revision += 1;
    }

    /// Serves this text in place of the list, or the list again.
    pub fn override_response(&self, text: Option<String>) {
        self.list.lock().expect("no panic under this lock").instead = text;
    }
}

impl Drop for StubPlatform {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn show(
    list: &List,
    request: &hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<http_body_util::Full<bytes::Bytes>> {
    let builder = hyper::Response::builder();
    if let Some(instead) = &list.instead {
        return builder.body(instead.clone().into()).expect("a good receipt");
    }
    let tag = format!("\"{}\"", list.revision);
    let known = request.headers().get(hyper::header::IF_NONE_MATCH);
    if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        return builder.status(304).body(Default::default()).expect("a good receipt");
    }
    let servers: Vec<jzon::JsonValue> = list
        .servers
        .iter()
        .map(|server| {
            let labels = server.labels.iter().map(|(key, value)| (key, value));
            jzon::object! {
                "id": server.id.as_str(),
                "address": server.address.to_string(),
                "region": server.region.as_str(),
                "zone": server.zone.as_str(),
                "labels": vanepath_config::endpoint_list::labels_as_json(labels),
                "state": if server.draining { "leaving" } else { "ready" },
            }
        })
        .collect();
    let text = jzon::object! { "revision": list.revision, "servers": servers }.dump();
    let body = http_body_util::Full::new(bytes::Bytes::from(text));
    builder.header("etag", tag).body(body).expect("a good receipt")
}
