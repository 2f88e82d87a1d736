//! The gate for large answers (design 8.10): where a machine's link is narrow, what is written of them
//! is held to a part of it, so that small answers never wait behind a whole one. Pure.

use std::time::Duration;

/// Of the link's rate.
const PART: f64 = 0.8;
/// So much may be on its way at one time; small answers wait no longer than that takes.
const AHEAD: Duration = Duration::from_millis(10);
/// A large answer is written in pieces of so many bytes at the most.
pub const PIECE: usize = 8 << 10;

/// Shared by all large answers of one proxy.
#[derive(Debug)]
pub struct BandwidthLimiter {
    bytes_per_s: f64,
    /// When all that was let through will be written.
    free_at: Duration,
}

impl BandwidthLimiter {
    /// `link_mbps`: millions of bits a second, as the settings have it.
    pub fn new(link_mbps: f64) -> BandwidthLimiter {
        BandwidthLimiter { bytes_per_s: link_mbps * 1e6 / 8.0 * PART, free_at: Duration::ZERO }
    }

    /// Lets a piece of so many bytes through, or says when to come back.
    pub fn pass(&mut self, now: Duration, bytes: usize) -> Result<(), Duration> {
        if self.free_at > now + AHEAD {
            return Err(self.free_at - AHEAD);
        }
        let takes = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        self.free_at = self.free_at.max(now) + takes;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
