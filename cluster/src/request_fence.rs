//! The fence of requests that may be late (design 6.10): which committed revision this process knew at the
//! earliest time at which a request that it reads now may have been sent. Whatever was committed after that
//! revision may be newer than the request.
//!
//! Whether the sender still waits cannot be told: it may have moved on and left its connection open, and the end
//! of a connection may be held up. So a request counts as sent before the last pause of the process, as long as it
//! may have waited in a socket since then, and otherwise as sent [`UNNOTICED_DELAY`] ago. Does no I/O and reads no
//! clock.

use std::collections::VecDeque;
use std::time::Duration;

/// The time for which a request may have been on its way, or in a socket, without a sign of it.
pub const UNNOTICED_DELAY: Duration = Duration::from_millis(500);
/// The process was paused if it was not seen running for longer than this. Shorter than [`UNNOTICED_DELAY`], which
/// covers what this leaves out.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(400);
/// The time after a pause within which all requests that waited in sockets have been read.
const SETTLING_TIME: Duration = Duration::from_millis(1000);

/// A revision, and when this process learned that it is committed.
#[derive(Clone, Copy, Debug)]
struct Learned {
    at: Duration,
    revision: u64,
}

/// A time in which this process did not run.
#[derive(Clone, Copy, Debug)]
struct Pause {
    /// When the process was last seen running before.
    began_at: Duration,
    /// Until when requests are read that may have waited since then.
    settled_at: Duration,
}

/// What one process knew when. All times are on its own monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct RequestFence {
    /// The revisions that may be asked for, oldest first.
    learned: VecDeque<Learned>,
    last_seen_at: Duration,
    pause: Option<Pause>,
}

impl RequestFence {
    /// Records that the process runs at `now` and knows this committed revision. To be called at intervals well below
    /// [`PAUSE_THRESHOLD`], and whenever a higher revision becomes known.
    pub fn observe(&mut self, now: Duration, revision: u64) {
        self.see_running(now);
        if self.learned.back().is_none_or(|last| last.revision < revision) {
            self.learned.push_back(Learned { at: now, revision });
        }
        self.forget(now);
    }

    /// The highest committed revision that this process knew when a request that it reads at `now` may have been
    /// sent; 0: none.
    pub fn known_revision(&mut self, now: Duration) -> u64 {
        self.see_running(now);
        let sent_since = self.sent_since(now);
        let known = self.learned.iter().rev().find(|learned| learned.at <= sent_since);
        known.map_or(0, |learned| learned.revision)
    }

    /// Detects a pause that has just ended.
    fn see_running(&mut self, now: Duration) {
        if now.saturating_sub(self.last_seen_at) > PAUSE_THRESHOLD {
            let unsettled = self.pause.filter(|earlier| self.last_seen_at < earlier.settled_at);
            let began_at = unsettled.map_or(self.last_seen_at, |earlier| earlier.began_at);
            self.pause = Some(Pause { began_at, settled_at: now + SETTLING_TIME });
        }
        self.last_seen_at = self.last_seen_at.max(now);
    }

    /// The earliest time at which a request that is read at `now` may have been sent.
    pub fn sent_since(&self, now: Duration) -> Duration {
        let unsettled = self.pause.filter(|pause| now < pause.settled_at);
        let arrived_since = unsettled.map_or(now, |pause| pause.began_at);
        arrived_since.saturating_sub(UNNOTICED_DELAY)
    }

    /// Drops what no request can be old enough for any more.
    fn forget(&mut self, now: Duration) {
        let sent_since = self.sent_since(now);
        while self.learned.get(1).is_some_and(|second| second.at <= sent_since) {
            self.learned.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
