//! When a connection may be closed on which the last response has been sent (RFC 9112, section 9.6). Pure.
//!
//! If a socket is closed while bytes from the other side are unread or still arrive, the kernel resets the
//! connection, and what the other side has not received or read of the response is lost. So only the sending
//! side is closed at first; what arrives from then on is read and discarded until the other side has closed
//! too, within bounds of time, bytes and number of such connections.

use std::collections::BTreeSet;
use std::time::Duration;

/// The longest time for which a connection lingers.
pub const MAX_LINGER_TIME: Duration = Duration::from_secs(10);
/// A connection on which nothing arrives for this long is closed: nothing is unread then, so that the kernel
/// goes on to deliver what it has of the response.
pub const MAX_SILENCE: Duration = Duration::from_secs(2);
/// The maximum number of bytes that are discarded on one connection.
pub const MAX_DISCARDED_BYTES: u64 = 16 << 20;
/// The maximum number of connections that linger at one time. Beyond it the one that has lingered longest is
/// closed.
pub const MAX_LINGERING_CONNECTIONS: usize = 512;

/// What happens on a lingering connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// This many bytes were read and discarded.
    Discarded(usize),
    /// The time until which to wait has come.
    TimerFired,
}

/// What to do next with a lingering connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Read on, at most until this time.
    ReadUntil(Duration),
    /// Close it, although the other side has not.
    Close,
}

/// A connection that lingers.
#[derive(Clone, Debug)]
pub struct LingeringClose {
    started_at: Duration,
    last_bytes_at: Duration,
    discarded_bytes: u64,
}

impl LingeringClose {
    /// A connection whose sending side is closed at `now`.
    pub fn new(now: Duration) -> LingeringClose {
        LingeringClose { started_at: now, last_bytes_at: now, discarded_bytes: 0 }
    }

    /// The number of bytes that were discarded.
    pub fn discarded_bytes(&self) -> u64 {
        self.discarded_bytes
    }

    /// Until when to wait for the next bytes.
    pub fn read_until(&self) -> Duration {
        (self.last_bytes_at + MAX_SILENCE).min(self.started_at + MAX_LINGER_TIME)
    }

    /// Handles an event.
    pub fn step(&mut self, now: Duration, event: Event) -> Decision {
        if let Event::Discarded(count) = event {
            self.last_bytes_at = now;
            self.discarded_bytes += count as u64;
        }
        let read_until = self.read_until();
        if now >= read_until || self.discarded_bytes > MAX_DISCARDED_BYTES {
            return Decision::Close;
        }
        Decision::ReadUntil(read_until)
    }
}

/// Identifies a lingering connection; later ones have higher tickets.
pub type Ticket = u64;

/// The connections that linger at one time.
#[derive(Debug, Default)]
pub struct LingeringSet {
    next_ticket: Ticket,
    tickets: BTreeSet<Ticket>,
}

/// A connection that was added to a [`LingeringSet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Added {
    /// The ticket of the connection.
    pub ticket: Ticket,
    /// The connection that has to be closed for it, if there were too many.
    pub evicted: Option<Ticket>,
}

impl LingeringSet {
    /// Adds a connection, in place of the one that has lingered longest if there are too many.
    pub fn add(&mut self) -> Added {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tickets.insert(ticket);
        let is_too_many = self.tickets.len() > MAX_LINGERING_CONNECTIONS;
        let evicted = if is_too_many { self.tickets.pop_first() } else { None };
        Added { ticket, evicted }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, ticket: Ticket) {
        self.tickets.remove(&ticket);
    }

    /// The number of connections that linger.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether no connection lingers.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }
}

#[cfg(test)]
mod tests;
