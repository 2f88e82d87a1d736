//! The retry budget: retries stay a small share of the traffic of each service (design 8.5). Pure.

use std::collections::HashMap;
use std::time::Duration;
use vanepath_config::settings::RetryBudgetSettings;

/// The share of the configured budget that is used. Proxies count on their own, and the retries of
/// the others are not known at once.
const SAFETY_MARGIN: f64 = 0.75;

/// The share of the budget for requests whose server is only slow, so that enough is left for
/// those whose server is gone.
const SLOW_SHARE: f64 = 0.5;

/// What a retry is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryReason {
    /// The server is slow but answers other requests meanwhile: it may still answer this one.
    Slow,
    /// The last attempt failed.
    Lost,
}

/// A budget for each service, by name: names outlive a change of the config.
pub struct RetryBudgets {
    settings: RetryBudgetSettings,
    services: HashMap<String, RetryBudget>,
}

impl RetryBudgets {
    /// Budgets without any traffic yet.
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

    /// Whether one more retry may be made; if so it is counted. `live_proxies` is the number of
    /// proxies that share the budget.
    pub fn try_take(
        &mut self,
        now: Duration,
        service: &str,
        live_proxies: usize,
        reason: RetryReason,
    ) -> bool {
        self.for_service(service).try_take(now, live_proxies, reason)
    }

    /// Whether one more retry would be within the budget; counts nothing.
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

/// What happened within one second of the node's clock.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCounts {
    second: u64,
    requests: u64,
    retries: u64,
}

/// The budget of one service. Counts by second, over one second more than the window, so that no
/// window, wherever it begins, holds more retries than allowed.
pub struct RetryBudget {
    /// Retries allowed per request that this proxy received within the window.
    ratio: f64,
    /// Retries allowed on top within the window, divided among the live proxies.
    extra: f64,
    window_s: u64,
    /// A ring indexed by second.
    seconds: Vec<SecondCounts>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new(RetryBudgetSettings::default())
    }
}

impl RetryBudget {
    /// A budget without any traffic yet. The window is rounded up to whole seconds.
    pub fn new(settings: RetryBudgetSettings) -> RetryBudget {
        let window_s = (settings.window.as_millis() as u64).div_ceil(1000).max(1);
        RetryBudget {
            ratio: settings.ratio * SAFETY_MARGIN,
            extra: settings.extra * SAFETY_MARGIN,
            window_s,
            seconds: vec![SecondCounts::default(); window_s as usize + 1],
        }
    }

    /// The counts of the present second; those of an earlier one in their place are reset.
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

    /// Whether one more retry may be made; if so it is counted. `live_proxies` is the number of
    /// proxies that share the budget.
    pub fn try_take(&mut self, now: Duration, live_proxies: usize, reason: RetryReason) -> bool {
        let is_allowed = self.would_allow(now, live_proxies, reason);
        self.current(now).retries += u64::from(is_allowed);
        is_allowed
    }

    /// Whether one more retry would be within the budget; counts nothing.
    pub fn would_allow(&mut self, now: Duration, live_proxies: usize, reason: RetryReason) -> bool {
        self.current(now);
        let second = now.as_secs();
        let recent = self.seconds.iter().filter(|counts| counts.second + self.window_s >= second);
        let retries: u64 = recent.clone().map(|counts| counts.retries).sum();
        // Requests of the oldest second may lie outside the window, and must not add to it.
        let requests: u64 = recent
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
