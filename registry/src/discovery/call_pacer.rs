//! Keeps this registry's calls to the platform within its share of the platform's rate limit (design 4). A pure
//! sliding window: it says when the next call may be made.

use std::collections::VecDeque;
use std::time::Duration;

/// The window over which the platform counts calls.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// The part of the platform's rate that one registry uses. The other half is left for a registry that takes
/// over while this one still reads.
const RATE_SHARE: f64 = 0.5;

/// The times of the latest calls.
#[derive(Debug)]
pub struct CallPacer {
    /// The number of calls that may be made within a window; `None`: no limit.
    max_calls: Option<usize>,
    /// The times of the latest `max_calls` calls, the oldest first.
    calls: VecDeque<Duration>,
}

impl CallPacer {
    /// A pacer for a platform that accepts this number of calls per second from all registries together.
    pub fn new(calls_per_second: Option<f64>) -> CallPacer {
        let max_calls = calls_per_second.map(|rate| ((rate * RATE_SHARE) as usize).max(1));
        CallPacer { max_calls, calls: VecDeque::new() }
    }

    /// Reserves the next call; returns when it may be made, `now` or later.
    pub fn reserve(&mut self, now: Duration) -> Duration {
        let Some(max_calls) = self.max_calls else { return now };
        let is_full = self.calls.len() >= max_calls;
        let oldest = if is_full { self.calls.pop_front() } else { None };
        let call_at = oldest.map_or(now, |oldest| now.max(oldest + RATE_WINDOW));
        self.calls.push_back(call_at);
        call_at
    }
}

#[cfg(test)]
mod tests;
