//! The rate limiter for large responses (design 8.10). On a machine with a narrow link, large responses
//! use only a share of it, so that small ones never wait behind a whole large one. Pure.

use std::fmt;
use std::time::Duration;

/// The share of the link's rate that large responses may use.
const LINK_SHARE: f64 = 0.8;
/// The maximum backlog of large responses, as the time that it takes to send: small responses wait no
/// longer than this.
const MAX_BACKLOG: Duration = Duration::from_millis(10);
/// The maximum size, in bytes, of the chunks in which a large response is written.
pub const MAX_CHUNK_BYTES: usize = 8 << 10;

/// The limiter has no capacity for the chunk yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Throttled {
    /// When to try again, on the clock of the node.
    pub retry_at: Duration,
}

impl fmt::Display for Throttled {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "throttled until {:?}", self.retry_at)
    }
}

impl std::error::Error for Throttled {}

/// A rate limiter that all large responses of a proxy share.
#[derive(Debug)]
pub struct BandwidthLimiter {
    bytes_per_s: f64,
    /// When all bytes that were let through will have been sent.
    drained_at: Duration,
}

impl BandwidthLimiter {
    /// Creates a limiter for a link of `link_megabits` million bits per second.
    pub fn new(link_megabits: f64) -> BandwidthLimiter {
        let bytes_per_s = link_megabits * 1e6 / 8.0 * LINK_SHARE;
        BandwidthLimiter { bytes_per_s, drained_at: Duration::ZERO }
    }

    /// Lets a chunk of this many bytes through and adds it to the backlog.
    ///
    /// # Errors
    /// [`Throttled`] while the backlog is over its bound; the chunk is not added then.
    pub fn try_pass(&mut self, now: Duration, bytes: usize) -> Result<(), Throttled> {
        if self.drained_at > now + MAX_BACKLOG {
            return Err(Throttled { retry_at: self.drained_at - MAX_BACKLOG });
        }
        let duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        self.drained_at = self.drained_at.max(now) + duration;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
