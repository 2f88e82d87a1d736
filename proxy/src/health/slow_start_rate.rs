//! The share of one proxy in the rate of a server that is warming up (design 8.6).

use std::time::Duration;

/// How much closer two requests may arrive than they were sent.
const JITTER: Duration = Duration::from_millis(60);

/// This proxy's share in the modest rate of a server that is warming up. The rate is divided among a
/// few proxies by whole requests a second, so that no second, wherever it begins, holds more than
/// the rate; the other proxies send the server nothing meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRate {
    /// Time between two requests of this proxy; `None` if it has no share.
    pub interval: Option<Duration>,
    /// Time from the start of the warm-up to this proxy's first request.
    pub initial_delay: Duration,
    /// How long the server warms up, and how long its rate then rises.
    pub period: Duration,
}

impl SlowStartRate {
    /// Requests a second where no service says its rate.
    pub const DEFAULT_PER_SECOND: f64 = 1.0;
    /// The period where no service says it.
    pub const DEFAULT_PERIOD: Duration = Duration::from_secs(10);

    /// The share of the proxy at `rank` among `proxies` for a server that takes so many requests
    /// `per_second`.
    pub fn new(per_second: f64, period: Duration, rank: usize, proxies: usize) -> SlowStartRate {
        let whole = per_second.floor() as usize;
        if whole == 0 {
            // Less than one request a second: a single proxy has the whole rate.
            let interval = (per_second > 0.0).then(|| Duration::from_secs_f64(1.0 / per_second));
            let interval = interval.filter(|_| rank == 0);
            let initial_delay = interval.unwrap_or_default();
            return SlowStartRate { interval, initial_delay, period };
        }
        // The number of shares that loses the least of the rate to whole numbers, and the most of
        // those that lose equally little.
        let shares = 1..=proxies.clamp(1, whole);
        let shares = shares.max_by_key(|shares| (whole / shares * shares, *shares)).unwrap_or(1);
        let interval = (Duration::from_secs(1) + JITTER) / (whole / shares) as u32;
        let initial_delay = interval.mul_f64((rank + 1) as f64 / shares as f64);
        SlowStartRate { interval: (rank < shares).then_some(interval), initial_delay, period }
    }
}

impl Default for SlowStartRate {
    fn default() -> SlowStartRate {
        SlowStartRate::new(Self::DEFAULT_PER_SECOND, Self::DEFAULT_PERIOD, 0, 1)
    }
}
