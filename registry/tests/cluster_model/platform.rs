//! The simulated platform: its list in pages, and its limit on the rate of calls.

use super::{PAGE_SIZE, Scenario, server};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use vanepath_config::ValidationError;
use vanepath_config::endpoint_list::Server;
use vanepath_config::model::Config;
use vanepath_config::wire_format::{EndpointListPage, HeaderNames, NATIVE_FORMAT, WireFormat};

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

/// The format of a platform that serves its list by zone.
pub(super) struct ZonedFormat;

pub(super) static ZONED_FORMAT: ZonedFormat = ZonedFormat;

impl WireFormat for ZonedFormat {
    fn headers(&self) -> &HeaderNames {
        NATIVE_FORMAT.headers()
    }

    fn parse_config(&self, bytes: &[u8]) -> Result<Config, Vec<ValidationError>> {
        NATIVE_FORMAT.parse_config(bytes)
    }

    fn zone_path(&self, path: &str, zone: &str) -> Option<String> {
        Some(format!("{path}?zone={zone}"))
    }

    fn parse_page(
        &self,
        bytes: &[u8],
        path: &str,
        zones: &BTreeMap<String, String>,
    ) -> Result<EndpointListPage, Vec<ValidationError>> {
        NATIVE_FORMAT.parse_page(bytes, path, zones)
    }

    fn parse_load(&self, text: &str) -> Option<u32> {
        NATIVE_FORMAT.parse_load(text)
    }

    fn retry_after(&self, delay: Duration) -> String {
        NATIVE_FORMAT.retry_after(delay)
    }
}
