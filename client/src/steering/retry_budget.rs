//! A client's retry budget: a token bucket that limits the retries of requests that a proxy could not serve.

use std::time::Duration;

/// Tokens added per request. Together with the proxies' own retries (design 8.5), retries are at most a
/// fifth of the requests; more would add load to a fleet that is overloaded already.
const TOKENS_PER_REQUEST: f64 = 0.05;
/// Tokens added per second independent of requests: one retry in ten seconds.
const TOKENS_PER_SECOND: f64 = 0.1;
/// Size of the bucket, which starts full.
const MAX_TOKENS: f64 = 2.0;

/// A token bucket in which each retry costs one token.
pub(super) struct RetryBudget {
    tokens: f64,
    /// When the tokens of [`TOKENS_PER_SECOND`] were last added.
    refilled_at: Duration,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { tokens: MAX_TOKENS, refilled_at: Duration::ZERO }
    }
}

impl RetryBudget {
    /// Adds the share of one new request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes the token of one retry; returns whether there was one.
    pub fn take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at);
        let tokens = self.tokens + TOKENS_PER_SECOND * elapsed.as_secs_f64();
        let is_allowed = tokens >= 1.0;
        self.tokens = tokens.min(MAX_TOKENS) - if is_allowed { 1.0 } else { 0.0 };
        self.refilled_at = now;
        is_allowed
    }
}
