//! Closes connections without destroying the response that was sent on them: carries out
//! [`crate::lingering_close`].

use super::{ConnectionEnd, ServedConnection};
use crate::lingering_close::{Decision, Event, LingeringClose, LingeringSet, Ticket};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The size of one read of bytes that are discarded.
const DISCARD_CHUNK_BYTES: usize = 4 << 10;

/// Why nothing more is read from a lingering connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LingerEnd {
    ClosedByClient,
    Broken,
    BoundReached,
}

/// The connections of a process that linger.
#[derive(Default)]
pub(super) struct LingeringConnections(Mutex<State>);

#[derive(Default)]
struct State {
    set: LingeringSet,
    evictions: HashMap<Ticket, Arc<Notify>>,
}

impl LingeringConnections {
    /// The number of connections that linger.
    pub fn len(&self) -> usize {
        self.state().set.len()
    }

    /// Closes a connection on which nothing more is served, and returns how it ended.
    pub async fn close(&self, served: ServedConnection) -> ConnectionEnd {
        let ServedConnection { mut stream, unprocessed_bytes, is_broken } = served;
        if is_broken {
            return ConnectionEnd::Reset;
        }
        let mut linger = LingeringClose::new(Duration::ZERO);
        match read_and_discard(&stream) {
            Ok(0) => return ConnectionEnd::ClosedByClient,
            Ok(count) => drop(linger.step(Duration::ZERO, Event::Discarded(count))),
            Err(ErrorKind::WouldBlock) => {}
            Err(_) => return ConnectionEnd::Reset,
        }
        // An error means that the connection is gone, which the next read reports.
        let _ = stream.shutdown().await;
        let place = self.add();
        let end = tokio::select! {
            end = discard(&stream, &mut linger) => end,
            () = place.evicted.notified() => LingerEnd::BoundReached,
        };
        let has_discarded = linger.discarded_bytes() > 0 || unprocessed_bytes > 0;
        match end {
            LingerEnd::ClosedByClient if has_discarded => ConnectionEnd::ClosedAfterDiscarding,
            LingerEnd::ClosedByClient => ConnectionEnd::Closed,
            LingerEnd::Broken => ConnectionEnd::Reset,
            LingerEnd::BoundReached => ConnectionEnd::LingerBoundReached,
        }
    }

    fn add(&self) -> LingeringPlace<'_> {
        let mut state = self.state();
        let added = state.set.add();
        if let Some(evicted) = added.evicted.and_then(|ticket| state.evictions.remove(&ticket)) {
            evicted.notify_one();
        }
        let evicted = Arc::new(Notify::new());
        state.evictions.insert(added.ticket, evicted.clone());
        LingeringPlace { connections: self, ticket: added.ticket, evicted }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no panic under this lock")
    }
}

/// A connection's place among those that linger, until it is dropped.
struct LingeringPlace<'c> {
    connections: &'c LingeringConnections,
    ticket: Ticket,
    /// Notified if the connection has to make place for another one.
    evicted: Arc<Notify>,
}

impl Drop for LingeringPlace<'_> {
    fn drop(&mut self) {
        let mut state = self.connections.state();
        state.set.remove(self.ticket);
        state.evictions.remove(&self.ticket);
    }
}

/// Reads and discards what arrives until the client closes or a bound is reached. The times are since the
/// start of this function.
async fn discard(stream: &TcpStream, linger: &mut LingeringClose) -> LingerEnd {
    let start = Instant::now();
    loop {
        let event = match read_and_discard(stream) {
            Ok(0) => return LingerEnd::ClosedByClient,
            Ok(count) => Event::Discarded(count),
            Err(ErrorKind::WouldBlock) => {
                let waiting = stream.readable();
                match tokio::time::timeout_at(start + linger.read_until(), waiting).await {
                    Ok(Ok(())) => continue,
                    Ok(Err(_)) => return LingerEnd::Broken,
                    Err(_) => Event::TimerFired,
                }
            }
            Err(_) => return LingerEnd::Broken,
        };
        if linger.step(start.elapsed(), event) == Decision::Close {
            return LingerEnd::BoundReached;
        }
        tokio::task::yield_now().await;
    }
}

/// Reads once; the buffer lives only as long as the call.
fn read_and_discard(stream: &TcpStream) -> Result<usize, ErrorKind> {
    let mut buffer = [0; DISCARD_CHUNK_BYTES];
    stream.try_read(&mut buffer).map_err(|error| error.kind())
}
