//! The share of one proxy of the request rate of a server that is warming up (design 8.6).

use std::time::Duration;

/// By how much the interval between two requests may be shorter on arrival than when they were sent.
const JITTER: Duration = Duration::from_millis(60);

/// This proxy's share of the limited request rate of a server that is warming up. The rate is divided
/// among a few proxies in whole requests per second, so that the server gets no more requests than the
/// rate in any interval of one second. The other proxies send it no requests while it warms up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRate {
    /// Interval between two requests of this proxy; `None` if it has no share.
    pub interval: Option<Duration>,
    /// Time from the start of the warm-up to this proxy's first request.
    pub initial_delay: Duration,
    /// Duration of the warm-up, and of the rise of the rate that follows.
    pub period: Duration,
}

impl SlowStartRate {
    /// Requests per second if no service configures a rate.
    pub const DEFAULT_PER_SECOND: f64 = 1.0;
    /// The period if no service configures one.
    pub const DEFAULT_PERIOD: Duration = Duration::from_secs(10);

    /// The share of the proxy at `rank` among `proxies` proxies, for a server that accepts `per_second`
    /// requests per second.
    pub fn new(per_second: f64, period: Duration, rank: usize, proxies: usize) -> SlowStartRate {
        let whole_per_second = per_second.floor() as usize;
        if whole_per_second == 0 {
            // Less than one request per second: a single proxy has the whole rate.
            let interval = (per_second > 0.0).then(|| Duration::from_secs_f64(1.0 / per_second));
            let interval = interval.filter(|_| rank == 0);
            let initial_delay = interval.unwrap_or_default();
            return SlowStartRate { interval, initial_delay, period };
        }
        // The number of shares that loses the least of the rate to rounding, and the largest of those
        // that lose equally little.
        let shares = 1..=proxies.clamp(1, whole_per_second);
        let shares =
            shares.max_by_key(|shares| (whole_per_second / shares * shares, *shares)).unwrap_or(1);
        let interval = (Duration::from_secs(1) + JITTER) / (whole_per_second / shares) as u32;
        let initial_delay = interval.mul_f64((rank + 1) as f64 / shares as f64);
        SlowStartRate { interval: (rank < shares).then_some(interval), initial_delay, period }
    }
}

impl Default for SlowStartRate {
    fn default() -> SlowStartRate {
        SlowStartRate::new(Self::DEFAULT_PER_SECOND, Self::DEFAULT_PERIOD, 0, 1)
    }
}
