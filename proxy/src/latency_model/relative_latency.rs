//! The latency of a server relative to the usual one in its service.

use std::time::Duration;

/// Minimum weight of a response in the average.
const MIN_RESPONSE_WEIGHT: f64 = 0.12;
/// Weight of the initial estimate, as a number of responses.
const INITIAL_RESPONSES: f64 = 2.0;
/// How long after its last response the relative latency of a server has decayed to the usual one.
const EXPIRY_TIME: Duration = Duration::from_secs(6);
/// After a pause of this length, earlier responses have no more weight than an initial estimate.
const RESUMPTION_TIME: Duration = Duration::from_secs(2);
/// A server counts as slow if a response is overdue for more than this multiple of the usual time.
const OVERDUE_THRESHOLD: f64 = 2.5;
/// Bound of the absolute value of the logarithm of a single response's factor.
const MAX_LOG_FACTOR: f64 = 2.1;

/// Response time of a server relative to the usual time in its service. An average of logarithms, so
/// that one slow response does not outweigh many fast ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelativeLatency {
    mean_log: f64,
    responses: f64,
    updated_at: Duration,
}

impl RelativeLatency {
    /// Records a response that took `factor` times the usual time.
    pub fn record(&mut self, now: Duration, factor: f64) {
        self.mean_log = self.decayed_log(now);
        let pause_ratio =
            now.saturating_sub(self.updated_at).as_secs_f64() / RESUMPTION_TIME.as_secs_f64();
        self.responses = self.responses * (1.0 - pause_ratio).max(0.0) + 1.0;
        self.updated_at = now;
        let weight = (1.0 / (self.responses + INITIAL_RESPONSES)).max(MIN_RESPONSE_WEIGHT);
        let log = factor.max(0.01).ln().clamp(-MAX_LOG_FACTOR, MAX_LOG_FACTOR);
        self.mean_log += weight * (log - self.mean_log);
    }

    fn decayed_log(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.mean_log * (1.0 - age.as_secs_f64() / EXPIRY_TIME.as_secs_f64()).max(0.0)
    }

    /// The server's response time as a multiple of the usual time.
    pub fn factor(&self, now: Duration) -> f64 {
        self.decayed_log(now).exp()
    }

    /// The same for a server whose responses are overdue for `overdue` times the usual time.
    pub fn factor_when_overdue(&self, now: Duration, overdue: f64) -> f64 {
        let factor = self.factor(now);
        if overdue > OVERDUE_THRESHOLD { factor.max(overdue) } else { factor }
    }
}
