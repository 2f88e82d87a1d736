//! The retry budget, which limits retries to a small share of the traffic of each service (design
//! 8.5). Does no I/O and reads no clock.

use std::collections::HashMap;
use std::time::Duration;
use vanepath_config::settings::RetryBudgetSettings;

/// The share of the configured budget that is used. The rest is a margin because each proxy counts
/// retries on its own and does not learn at once of the retries of the others.
const SAFETY_MARGIN: f64 = 0.75;

/// The share of the budget that requests at slow servers may use, so that enough is left for requests
/// whose server has failed.
const SLOW_SHARE: f64 = 0.5;

/// The reason for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryReason {
    /// The server is slow but has responded to other requests in the meantime: it may still respond to
    /// this one.
    Slow,
    /// The attempt failed, or its server has responded to no request since.
    Lost,
}

/// The budgets of all services, by name, since a service keeps its name when the configuration changes.
pub struct RetryBudgets {
    settings: RetryBudgetSettings,
    services: HashMap<String, RetryBudget>,
}

impl RetryBudgets {
    /// Budgets without any traffic so far.
    pub fn new(settings: RetryBudgetSettings) -> RetryBudgets {
        RetryBudgets { settings, services: HashMap::default() }
    }

    fn for_service(&mut self, service: &str) -> &mut RetryBudget {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_string(), RetryBudget::new(self.settings));
        }
        self.services.get_mut(service).expect("inserted above")
    }

    /// Counts a request for this service.
    pub fn record_request(&mut self, now: Duration, service: &str) {
        self.for_service(service).record_request(now);
    }

    /// Whether one more retry is within the budget. If so, it is counted. `live_proxies` is the number
    /// of proxies that share the budget.
    pub fn try_take(
        &mut self,
        now: Duration,
        service: &str,
        live_proxies: usize,
        reason: RetryReason,
    ) -> bool {
        self.for_service(service).try_take(now, live_proxies, reason)
    }

    /// Whether one more retry would be within the budget. Counts nothing.
    pub fn would_allow(
        &mut self,
        now: Duration,
        service: &str,
        live_proxies: usize,
        reason: RetryReason,
    ) -> bool {
        self.for_service(service).would_allow(now, live_proxies, reason)
    }
}

/// Requests and retries within one second of the node's clock.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCounts {
    second: u64,
    requests: u64,
    retries: u64,
}

/// The budget of one service. Retries are counted by second over one second more than the window, so
/// that no window exceeds the limit, whenever it begins within a second.
pub struct RetryBudget {
    /// Retries allowed per request that this proxy received within the window.
    ratio: f64,
    /// Additional retries allowed within the window, divided among the live proxies.
    extra: f64,
    window_s: u64,
    /// Ring buffer, indexed by second.
    seconds: Vec<SecondCounts>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new(RetryBudgetSettings::default())
    }
}

impl RetryBudget {
    /// A budget without any traffic so far. The window is rounded up to whole seconds.
    pub fn new(settings: RetryBudgetSettings) -> RetryBudget {
        let window_s = (settings.window.as_millis() as u64).div_ceil(1000).max(1);
        RetryBudget {
            ratio: settings.ratio * SAFETY_MARGIN,
            extra: settings.extra * SAFETY_MARGIN,
            window_s,
            seconds: vec![SecondCounts::default(); window_s as usize + 1],
        }
    }

    /// The counts of the current second. Those of an earlier second in the same slot are reset.
    fn current(&mut self, now: Duration) -> &mut SecondCounts {
        let second = now.as_secs();
        let count = self.seconds.len();
        let current = &mut self.seconds[second as usize % count];
        if current.second != second {
            *current = SecondCounts { second, requests: 0, retries: 0 };
        }
        current
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Duration) {
        self.current(now).requests += 1;
    }

    /// Whether one more retry is within the budget. If so, it is counted. `live_proxies` is the number
    /// of proxies that share the budget.
    pub fn try_take(&mut self, now: Duration, live_proxies: usize, reason: RetryReason) -> bool {
        let is_allowed = self.would_allow(now, live_proxies, reason);
        self.current(now).retries += u64::from(is_allowed);
        is_allowed
    }

    /// Whether one more retry would be within the budget. Counts nothing.
    pub fn would_allow(&mut self, now: Duration, live_proxies: usize, reason: RetryReason) -> bool {
        self.current(now);
        let second = now.as_secs();
        let recent_seconds =
            self.seconds.iter().filter(|counts| counts.second + self.window_s >= second);
        let retries: u64 = recent_seconds.clone().map(|counts| counts.retries).sum();
        // Requests of the oldest second may lie outside the window, so they must not add to the budget.
        let requests: u64 = recent_seconds
            .filter(|counts| counts.second + self.window_s > second)
            .map(|counts| counts.requests)
            .sum();
        let extra = (self.extra / live_proxies.max(1) as f64).max(1.0);
        let budget = self.ratio * requests as f64 + extra;
        let limit = match reason {
            RetryReason::Lost => budget,
            RetryReason::Slow => SLOW_SHARE * budget,
        };
        (retries as f64) + 1.0 <= limit
    }
}

#[cfg(test)]
mod tests;
