//! Outlier detection, as in other load balancers: a server whose requests fail although its probes
//! succeed is degraded, and gets requests only if no other server accepts them (design 8.6).

use std::time::Duration;

/// What a failed request adds to the failure score. A successful one subtracts 1, so the score grows
/// if more than a quarter of the requests fail.
const FAILURE_WEIGHT: u32 = 3;
/// Failure score from which a server is degraded. It stays degraded until the score is 0.
const DEGRADED_SCORE: u32 = 7;
/// Upper bound of the failure score, which limits the successes needed for recovery.
const MAX_FAILURE_SCORE: u32 = 12;
/// How long a degraded server is ejected after a failure. After that it is tried with single requests.
const EJECTION_TIME: Duration = Duration::from_secs(3);
/// How long after the end of its ejection a server without requests stops counting as degraded.
const DEGRADED_EXPIRY: Duration = Duration::from_secs(30);

/// The failure score of one server.
#[derive(Clone, Debug)]
pub(super) struct OutlierDetection {
    failure_score: u32,
    is_degraded: bool,
    ejected_until: Duration,
}

impl OutlierDetection {
    pub(super) fn new(now: Duration) -> OutlierDetection {
        OutlierDetection { failure_score: 0, is_degraded: false, ejected_until: now }
    }

    /// Resets the failure score and the degraded state.
    pub(super) fn reset(&mut self) {
        self.failure_score = 0;
        self.is_degraded = false;
    }

    pub(super) fn record(&mut self, now: Duration, is_success: bool) {
        if is_success {
            self.failure_score = self.failure_score.saturating_sub(1);
            self.is_degraded &= self.failure_score > 0;
        } else {
            self.failure_score = (self.failure_score + FAILURE_WEIGHT).min(MAX_FAILURE_SCORE);
            self.is_degraded |= self.failure_score >= DEGRADED_SCORE;
            self.ejected_until = now + EJECTION_TIME;
        }
    }

    /// Whether the server is degraded. With `allows_trial`, only while it is ejected.
    pub(super) fn is_degraded(&self, now: Duration, allows_trial: bool) -> bool {
        self.is_degraded && !(allows_trial && now >= self.ejected_until)
    }

    pub(super) fn tick(&mut self, now: Duration) {
        if self.is_degraded && now >= self.ejected_until + DEGRADED_EXPIRY {
            self.reset();
        }
    }
}
