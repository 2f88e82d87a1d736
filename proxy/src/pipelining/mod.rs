//! HTTP pipelining: a client sends requests before it has the response to an earlier one (design 8.9,
//! RFC 9112, section 9.3.2). The HTTP library reads the requests of a connection one after the other.
//! The bytes behind the current request are therefore scanned while it is in flight, and idempotent
//! requests among them are started at once. The library still reads every request itself, in order,
//! and is given the response of a request that was started here.

mod scanner;
mod stream;

pub use scanner::{RequestHead, RequestScanner};
pub use stream::PipelinedStream;

use bytes::BytesMut;
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use vanepath_cluster::node::{Body, RequestInProgress, RequestTracker};

/// The maximum number of bytes that are read ahead of the HTTP library.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// The maximum number of requests of a connection that are started before their turn.
const MAX_STARTED_REQUESTS: u64 = 16;
/// The size of one read from the connection, in bytes.
const READ_CHUNK_BYTES: usize = 4096;

/// The response to a request that was started before its turn.
pub type Response = hyper::Response<Body>;

/// Starts a request that need not wait for its turn; returns `None` for any other.
pub type StartRequest = dyn Fn(&RequestHead) -> Option<JoinHandle<Response>> + Send + Sync;

/// A request that was started before its turn; dropping it cancels the request.
struct StartedRequest {
    method: String,
    target: String,
    task: Option<JoinHandle<Response>>,
}

impl Drop for StartedRequest {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

struct ConnectionState {
    stream: TcpStream,
    /// The bytes that were read ahead and that the library has not read yet.
    unread: BytesMut,
    /// Whether the client has closed its side, or reading has failed with `error`.
    is_closed: bool,
    error: Option<io::Error>,
    scanner: RequestScanner,
    /// How many requests the library has passed to the service.
    received: u64,
    /// Whether the last request that the library passed on is still in flight.
    is_busy: bool,
    requests: RequestTracker,
    /// The number of the last request that is answered, once the connection is about to be closed.
    last: Option<u64>,
    /// The requests that were started before their turn, by their number on the connection.
    started: BTreeMap<u64, StartedRequest>,
}

/// A client's connection, which is read ahead of the HTTP library.
#[derive(Clone)]
pub struct Pipeline(Arc<Mutex<ConnectionState>>);

impl Pipeline {
    /// Takes over a connection from which nothing has been read yet. Its requests are reported to the tracker.
    pub fn new(stream: TcpStream, requests: RequestTracker) -> Pipeline {
        Pipeline(Arc::new(Mutex::new(ConnectionState {
            stream,
            unread: BytesMut::new(),
            is_closed: false,
            error: None,
            scanner: RequestScanner::default(),
            received: 0,
            is_busy: false,
            requests,
            last: None,
            started: BTreeMap::new(),
        })))
    }

    /// Returns the connection. No other clone may be in use any more.
    pub fn into_stream(self) -> TcpStream {
        let state = Arc::into_inner(self.0).expect("the connection has been served");
        state.into_inner().expect("no panic under this lock").stream
    }

    /// The number of bytes that were read ahead and that the library has not read.
    pub fn unread_bytes(&self) -> usize {
        self.state().unread.len()
    }

    fn state(&self) -> MutexGuard<'_, ConnectionState> {
        self.0.lock().expect("no panic under this lock")
    }

    /// While a request is in flight, reads the bytes that are available and calls `start` for the
    /// requests among them. To be polled by the task that polls the connection of the library.
    pub fn poll(
        &self,
        context: &mut Context<'_>,
        start: &dyn Fn(&RequestHead) -> Option<JoinHandle<Response>>,
    ) {
        let mut state = self.state();
        while state.is_busy && !state.is_closed && state.unread.len() < MAX_READ_AHEAD_BYTES {
            let mut chunk = [0; READ_CHUNK_BYTES];
            let mut buffer = ReadBuf::new(&mut chunk);
            match Pin::new(&mut state.stream).poll_read(context, &mut buffer) {
                Poll::Pending => break,
                Poll::Ready(Ok(())) if buffer.filled().is_empty() => state.is_closed = true,
                Poll::Ready(Ok(())) => {
                    let heads = state.scanner.scan(buffer.filled());
                    state.unread.extend_from_slice(buffer.filled());
                    state.start_requests(&heads, start);
                }
                Poll::Ready(Err(error)) => {
                    state.is_closed = true;
                    state.error = Some(error);
                }
            }
        }
    }

    /// Records that the library passes its next request to the service. Returns the task of the
    /// request if it was started already, unless its method or target differ from those found then.
    pub fn receive(&self, request: RequestInProgress) -> Option<JoinHandle<Response>> {
        let mut state = self.state();
        state.received += 1;
        state.is_busy = true;
        let number = state.received;
        state.requests.begin(request.clone());
        let mut started = state.started.remove(&number)?;
        let target = request.target.path_and_query().map_or("", |target| target.as_str());
        let is_same_request = started.method == request.method.as_str() && started.target == target;
        if is_same_request { started.task.take() } else { None }
    }

    /// Whether the library has passed on the last request that is answered on this connection, which is to
    /// be closed. The requests that have been read whole by the first call are answered, and none behind
    /// them (incidents 0019 and 0024).
    pub fn has_received_last(&self) -> bool {
        let mut state = self.state();
        let newest = state.scanner.whole_requests().max(state.received);
        let last = *state.last.get_or_insert(newest);
        state.received >= last
    }

    /// Records that the response to the request in flight was written or abandoned.
    fn finish(&self) {
        let mut state = self.state();
        state.is_busy = false;
        state.requests.end();
    }
}

/// Marks the request in flight as finished when it is dropped.
pub struct FinishGuard {
    /// The connection of the request.
    pub pipeline: Pipeline,
}

impl Drop for FinishGuard {
    fn drop(&mut self) {
        self.pipeline.finish();
    }
}

impl ConnectionState {
    fn start_requests(
        &mut self,
        heads: &[RequestHead],
        start: &dyn Fn(&RequestHead) -> Option<JoinHandle<Response>>,
    ) {
        for head in heads {
            // If no request is in flight, the library is about to read the next one itself.
            let is_next = !self.is_busy && head.number == self.received + 1;
            let is_in_range =
                head.number > self.received && head.number <= self.received + MAX_STARTED_REQUESTS;
            if is_next || !is_in_range {
                continue;
            }
            if let Some(task) = start(head) {
                let (method, target) = (head.method.clone(), head.target.clone());
                let request = StartedRequest { method, target, task: Some(task) };
                self.started.insert(head.number, request);
            }
        }
    }
}
