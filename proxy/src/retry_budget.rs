//! The retry budget: further goes stay a small part of the traffic (design 8.5).

use std::time::Duration;

/// Of what the settings allow, so much is used: proxies count by themselves, and what the others
/// took is not known at once.
const MARGIN: f64 = 0.75;

/// Of the budget, so much is there for requests whose server is only slow: what it took from them
/// would be missed where a server is gone.
const SLOW_PART: f64 = 0.5;

/// What a further go is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryReason {
    /// The server takes long and answers others meanwhile: it may still answer this one.
    Slow,
    /// Nothing comes of the last go.
    Lost,
}

/// A budget for each service, by name: names outlive a change of the setup.
pub struct RetryBudgets {
    retries: vanepath_config::settings::RetryBudgetSettings,
    services: std::collections::HashMap<String, RetryBudget>,
}

impl RetryBudgets {
    pub fn new(retries: vanepath_config::settings::RetryBudgetSettings) -> RetryBudgets {
        RetryBudgets { retries, services: Default::default() }
    }

    fn of(&mut self, service: &str) -> &mut RetryBudget {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_string(), RetryBudget::new(self.retries));
        }
        self.services.get_mut(service).expect("just put in")
    }

    /// A request for this service came.
    pub fn took(&mut self, now: Duration, service: &str) {
        self.of(service).took(now);
    }

    /// Whether one more further go may be made; if so it is counted.
    pub fn try_take(
        &mut self,
        now: Duration,
        service: &str,
        live: usize,
        need: RetryReason,
    ) -> bool {
        self.of(service).try_take(now, live, need)
    }

    /// Whether one more would be within the budget.
    pub fn would_allow(
        &mut self,
        now: Duration,
        service: &str,
        live: usize,
        need: RetryReason,
    ) -> bool {
        self.of(service).would_allow(now, live, need)
    }
}

/// Counts by second. They are of one second more than the window, so that no window, wherever it
/// begins, holds more further goes than allowed.
pub struct RetryBudget {
    /// Of the requests that this proxy took within the window.
    part: f64,
    /// Fleet-wide, on top, within the window; divided among the live proxies.
    floor: f64,
    window_s: u64,
    slots: Vec<(u64, u64, u64)>,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new(Default::default())
    }
}

impl RetryBudget {
    pub fn new(retries: vanepath_config::settings::RetryBudgetSettings) -> RetryBudget {
        let window_s = (retries.window.as_millis() as u64).div_ceil(1000).max(1);
        RetryBudget {
            part: retries.ratio * MARGIN,
            floor: retries.extra * MARGIN,
            window_s,
            slots: vec![(0, 0, 0); window_s as usize + 1],
        }
    }

    fn slot(&mut self, now: Duration) -> &mut (u64, u64, u64) {
        let second = now.as_secs();
        let count = self.slots.len();
        let slot = &mut self.slots[second as usize % count];
        if slot.0 != second {
            *slot = (second, 0, 0);
        }
        slot
    }

    pub fn took(&mut self, now: Duration) {
        self.slot(now).1 += 1;
    }

    /// Whether one more further go may be made; if so it is counted.
    pub fn try_take(&mut self, now: Duration, live_proxies: usize, need: RetryReason) -> bool {
        let may = self.would_allow(now, live_proxies, need);
        self.slot(now).2 += u64::from(may);
        may
    }

    /// Whether one more would be within the budget.
    pub fn would_allow(&mut self, now: Duration, live_proxies: usize, need: RetryReason) -> bool {
        self.slot(now);
        let second = now.as_secs();
        let within = self.slots.iter().filter(|slot| slot.0 + self.window_s >= second);
        let goes: u64 = within.clone().map(|slot| slot.2).sum();
        // The oldest of the eleven seconds may lie outside the ten that are judged.
        let taken: u64 =
            within.filter(|slot| slot.0 + self.window_s > second).map(|slot| slot.1).sum();
        let floor = (self.floor / live_proxies.max(1) as f64).max(1.0);
        let all = self.part * taken as f64 + floor;
        let most = match need {
            RetryReason::Lost => all,
            RetryReason::Slow => SLOW_PART * all,
        };
        (goes as f64) + 1.0 <= most
    }
}

#[cfg(test)]
mod tests;
