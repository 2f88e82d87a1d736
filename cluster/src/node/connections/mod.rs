//! Connections of clients, from their acceptance to their end: what request is in progress on each, how each
//! ends, and the counters and log lines that tell (design 9.3).

mod request_tracker;

pub use request_tracker::{RequestInProgress, RequestTracker};

use std::error::Error;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::net::TcpStream;

crate::counters! {
    /// How connections of clients have ended.
    pub enum Counter {
        /// The client closed the connection.
        #[strum(serialize = "clientConnectionsClosedByClient")]
        ClosedByClient,
        /// Closed after the last response, with nothing unread.
        #[strum(serialize = "clientConnectionsClosed")]
        Closed,
        /// Closed while bytes from the client were unread, which resets the connection.
        #[strum(serialize = "clientConnectionsClosedUnread")]
        ClosedUnread,
        /// The client reset the connection, or it broke.
        #[strum(serialize = "clientConnectionsReset")]
        Reset,
        /// Connections that ended in any way while a request was in progress.
        #[strum(serialize = "clientConnectionsEndedMidRequest")]
        EndedMidRequest,
    }
}

/// The counters of a process's connections.
pub type Counters = crate::counters::Counters<Counter>;

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ConnectionEnd {
    /// The client closed it.
    ClosedByClient,
    /// It was closed after the last response, with nothing unread.
    Closed,
    /// It was closed while bytes from the client were unread.
    ClosedUnread,
    /// The client reset it, or it broke.
    Reset,
    /// The process ended while it was open.
    ProcessEnd,
}

impl ConnectionEnd {
    fn counter(self) -> Option<Counter> {
        match self {
            ConnectionEnd::ClosedByClient => Some(Counter::ClosedByClient),
            ConnectionEnd::Closed => Some(Counter::Closed),
            ConnectionEnd::ClosedUnread => Some(Counter::ClosedUnread),
            ConnectionEnd::Reset => Some(Counter::Reset),
            // Nobody can read the counters any more.
            ConnectionEnd::ProcessEnd => None,
        }
    }
}

/// A connection on which nothing more is served, to be closed.
pub struct ServedConnection {
    /// The connection itself. Its sending side may be closed already.
    pub stream: TcpStream,
    /// The number of bytes that were read from the client and not processed.
    pub unprocessed_bytes: usize,
    /// The error with which reading or writing failed, if one did.
    pub error: Option<ErrorKind>,
}

impl ServedConnection {
    /// A connection that the HTTP library has served, with the result of doing so.
    pub fn new(
        stream: TcpStream,
        unprocessed_bytes: usize,
        result: Result<(), hyper::Error>,
    ) -> ServedConnection {
        let error = result.err().and_then(|error| io_error_kind(&error));
        ServedConnection { stream, unprocessed_bytes, error }
    }
}

fn io_error_kind(error: &hyper::Error) -> Option<ErrorKind> {
    let source = error.source()?.downcast_ref::<io::Error>()?;
    Some(source.kind())
}

/// All connections of a process's clients.
pub struct ClientConnections {
    /// How connections have ended.
    pub counters: Counters,
    open: AtomicUsize,
    /// Whether a shutdown signal was received.
    is_signalled: Arc<AtomicBool>,
}

impl ClientConnections {
    /// No connections yet. `is_signalled` turns true with a shutdown signal.
    pub fn new(is_signalled: Arc<AtomicBool>) -> ClientConnections {
        ClientConnections { counters: Counters::default(), open: AtomicUsize::new(0), is_signalled }
    }

    /// The number of connections that are open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// The number of open connections and the counters, for the status page.
    pub fn as_json(&self) -> jzon::JsonValue {
        let mut json = jzon::object! { "open": self.open() };
        self.counters.write_json(&mut json);
        json
    }

    /// Counts a connection that was accepted.
    pub(super) fn begin(
        self: &Arc<Self>,
        peer: SocketAddr,
        requests: RequestTracker,
    ) -> OpenConnection {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenConnection { connections: self.clone(), peer, requests, end: ConnectionEnd::ProcessEnd }
    }
}

/// A connection that counts as open until this is dropped.
pub(super) struct OpenConnection {
    connections: Arc<ClientConnections>,
    peer: SocketAddr,
    requests: RequestTracker,
    end: ConnectionEnd,
}

impl OpenConnection {
    /// Closes the connection and records how it ended.
    pub fn close(mut self, served: &ServedConnection) {
        self.end = observe_end(served);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.open.fetch_sub(1, Ordering::Relaxed);
        let (end, peer, request) = (self.end, self.peer, self.requests.current());
        let counters = &self.connections.counters;
        if let Some(counter) = end.counter() {
            counters.increment(counter);
        }
        if request.is_some() {
            counters.increment(Counter::EndedMidRequest);
        }
        // During a shutdown every end is logged, since no answer must get lost then.
        let level = match self.connections.is_signalled.load(Ordering::Relaxed) {
            true => log::Level::Info,
            false => log::Level::Debug,
        };
        match request {
            Some(request) => {
                log::log!(level, "connection of client {peer} ended ({end}) during {request}");
            }
            None => log::log!(level, "connection of client {peer} ended ({end})"),
        }
    }
}

/// Finds out how a connection ends that is closed now.
fn observe_end(served: &ServedConnection) -> ConnectionEnd {
    if served.error.is_some() {
        return ConnectionEnd::Reset;
    }
    let is_read = served.unprocessed_bytes == 0;
    match served.stream.try_read(&mut [0]) {
        Ok(0) if is_read => ConnectionEnd::ClosedByClient,
        Err(error) if error.kind() == ErrorKind::WouldBlock && is_read => ConnectionEnd::Closed,
        Err(error) if error.kind() != ErrorKind::WouldBlock => ConnectionEnd::Reset,
        _ => ConnectionEnd::ClosedUnread,
    }
}
