//! The simulated platform: its list in pages, and its limit on the rate of calls.

use super::{PAGE_SIZE, Scenario, server};
use std::collections::VecDeque;
use std::time::Duration;
use vanepath_config::endpoint_list::Server;

const RATE_WINDOW: Duration = Duration::from_secs(1);

pub(super) struct Platform {
    pub(super) list: Vec<Server>,
    pub(super) zones: usize,
    calls_per_second: usize,
    /// The times of the calls of the last second that were answered.
    calls: VecDeque<Duration>,
}

impl Platform {
    pub(super) fn new(scenario: &Scenario) -> Platform {
        let servers = scenario.pages * PAGE_SIZE;
        Platform {
            list: (0..servers).map(|number| server(number, scenario.zones)).collect(),
            zones: scenario.zones,
            calls_per_second: scenario.calls_per_second,
            calls: VecDeque::new(),
        }
    }

    /// Whether a call is answered, and not rejected by the rate limit.
    pub(super) fn accepts_call(&mut self, now: Duration) -> bool {
        while self.calls.front().is_some_and(|at| now >= *at + RATE_WINDOW) {
            self.calls.pop_front();
        }
        let is_accepted = self.calls.len() < self.calls_per_second;
        if is_accepted {
            self.calls.push_back(now);
        }
        is_accepted
    }
}
