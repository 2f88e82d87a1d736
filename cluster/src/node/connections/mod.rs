//! Connections of clients, from their acceptance to their end: what request is in progress on each, how each
//! ends, and the counters and log lines that tell (design 9.3).

mod closing;
mod request_tracker;
mod stop;

pub use request_tracker::{RequestInProgress, RequestTracker};
pub use stop::ConnectionStop;

use closing::LingeringConnections;
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
        /// Closed after the last response; the client sent nothing more and closed it then.
        #[strum(serialize = "clientConnectionsClosed")]
        Closed,
        /// The same, but bytes of the client were discarded until it closed.
        #[strum(serialize = "clientConnectionsClosedAfterDiscarding")]
        ClosedAfterDiscarding,
        /// Closed after the last response, although the client did not close within the bounds of a
        /// lingering close.
        #[strum(serialize = "clientConnectionsLingerBoundReached")]
        LingerBoundReached,
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
    /// It was closed after the last response; the client sent nothing more and closed it then.
    Closed,
    /// The same, but bytes of the client were discarded until it closed.
    ClosedAfterDiscarding,
    /// It was closed after the last response, although the client did not close within the bounds of a
    /// lingering close.
    LingerBoundReached,
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
            ConnectionEnd::ClosedAfterDiscarding => Some(Counter::ClosedAfterDiscarding),
            ConnectionEnd::LingerBoundReached => Some(Counter::LingerBoundReached),
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
    /// Whether the client reset the connection, or it broke.
    pub is_broken: bool,
}

impl ServedConnection {
    /// A connection that the HTTP library has served, with the result of doing so.
    pub fn new(
        stream: TcpStream,
        unprocessed_bytes: usize,
        result: Result<(), hyper::Error>,
    ) -> ServedConnection {
        let is_broken = result.is_err_and(|error| is_connection_error(&error));
        ServedConnection { stream, unprocessed_bytes, is_broken }
    }
}

/// Whether the connection itself failed, and not the protocol on it.
fn is_connection_error(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    source.is_some_and(|source| {
        matches!(
            source.kind(),
            ErrorKind::ConnectionReset
                | ErrorKind::ConnectionAborted
                | ErrorKind::BrokenPipe
                | ErrorKind::NotConnected
                | ErrorKind::TimedOut
        )
    })
}

/// All connections of a process's clients.
pub struct ClientConnections {
    /// How connections have ended.
    pub counters: Counters,
    open: AtomicUsize,
    lingering: LingeringConnections,
    /// Whether a shutdown signal was received.
    is_signalled: Arc<AtomicBool>,
}

impl ClientConnections {
    /// No connections yet. `is_signalled` turns true with a shutdown signal.
    pub fn new(is_signalled: Arc<AtomicBool>) -> ClientConnections {
        ClientConnections {
            counters: Counters::default(),
            open: AtomicUsize::new(0),
            lingering: LingeringConnections::default(),
            is_signalled,
        }
    }

    /// The number of connections that are open, including those that linger.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// The number of open connections on which requests are still served.
    pub fn serving(&self) -> usize {
        self.open().saturating_sub(self.lingering.len())
    }

    /// The numbers of open and of lingering connections and the counters, for the status page.
    pub fn as_json(&self) -> jzon::JsonValue {
        let mut json = jzon::object! { "open": self.open(), "lingering": self.lingering.len() };
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
    /// Closes the connection without destroying what was sent on it, and records how it ended.
    pub async fn close(mut self, served: ServedConnection) {
        self.end = self.connections.lingering.close(served).await;
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
