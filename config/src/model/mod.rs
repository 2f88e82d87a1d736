//! The operator's configuration: classes, services, zones and rules, which refer to each other by index
//! (design 3.1).

mod parse;
mod rule;

pub use parse::parse;
pub use rule::{DEFAULT_MAX_ATTEMPTS, Preference, Rule, WeightedService, under_prefix};

use crate::rule_index::{HostAndPrefix, RuleIndex};
use crate::selector::{Labelled, Selector};
use std::collections::BTreeMap;
use std::time::Duration;

/// The largest document in bytes: three times 1,100 routes, 270 services and 22,000 tenants of a hundred
/// bytes each (docs/CAPACITY.md).
pub const MAX_BYTES: usize = 8 << 20;

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Idempotency {
    /// May be retried on another server: lookups and downloads.
    #[strum(serialize = "repeatable")]
    Idempotent,
    /// Must run at most once: filings.
    #[strum(serialize = "once")]
    NonIdempotent,
}

/// A lending class, whose unused concurrency slots another class may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Borrow {
    /// Index of the lending class.
    pub class: usize,
    /// Slots that may be borrowed at one time.
    pub max_slots: u64,
}

/// A class of requests: its priority and its limits on one proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Unique among the classes.
    pub name: String,
    /// 0 is the most urgent.
    pub priority: u64,
    /// Whether its requests may be retried once they may have run.
    pub idempotency: Idempotency,
    /// Requests in flight at one time on one proxy.
    pub max_in_flight: u64,
    /// Classes whose unused slots it may take.
    pub borrows: Vec<Borrow>,
    /// Requests that may wait on one proxy.
    pub max_queued: u64,
    /// The largest body of a request.
    pub max_body_bytes: u64,
    /// How long a request may take from its arrival on, unless its rule says otherwise.
    pub deadline: Duration,
    /// Its responses are large: they are better served near by, a little later, than far away.
    pub bulk: bool,
}

/// A group of servers that answer alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique among the services.
    pub name: String,
    /// The servers of the endpoint list that belong to it.
    pub selector: Selector,
    /// The path of the servers' health check.
    pub health_check_path: String,
    /// The response header in which a server names itself; empty: servers of this service don't.
    pub identity_header: String,
    /// Requests a second, fleet-wide, that one warming-up server gets at first.
    pub slow_start_rate: f64,
    /// How long the slow start of a warming-up server takes.
    pub slow_start_period: Duration,
    /// Requests in flight from one proxy to one server.
    pub max_in_flight_per_server: u64,
    /// Connections that one server accepts from all proxies together; 0: no bound.
    pub max_connections: u64,
    /// Servers are judged by the traffic that they get; only a suspect one is probed.
    pub probes_suspects_only: bool,
}

/// A failure domain of a region.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Unique among the zones.
    pub name: String,
    /// The region in which it lies.
    pub region: String,
    /// Further labels, which selectors can name.
    pub labels: BTreeMap<String, String>,
}

impl Labelled for Zone {
    fn label(&self, key: &str) -> Option<&str> {
        match key {
            "zone" => Some(&self.name),
            "region" => Some(&self.region),
            key => self.labels.get(key).map(String::as_str),
        }
    }
}

/// A whole configuration, as [`parse`] has checked it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Given by the document's author: one that is not above the committed one changes nothing
    /// (design 6.9).
    pub version: Option<u64>,
    /// Rules refer to them by index.
    pub classes: Vec<Class>,
    /// Rules refer to them by index.
    pub services: Vec<Service>,
    /// Empty: the document does not name the zones.
    pub zones: Vec<Zone>,
    /// In the document's order: the first that matches a request counts.
    pub rules: Vec<Rule>,
    /// Made of the rules once all are read.
    rule_index: RuleIndex,
}

impl Config {
    /// Indexes the rules; to be called once all of them are there, since requests find them by the
    /// index only.
    pub fn build_rule_index(&mut self) {
        let keys = self.rules.iter().map(|rule| HostAndPrefix {
            host: rule.host.as_deref(),
            path_prefix: &rule.path_prefix,
        });
        self.rule_index = RuleIndex::new(keys);
    }

    /// Index of the first rule in the document's order that matches.
    pub fn rule_for(&self, method: &str, host: &str, path: &str) -> Option<usize> {
        let matches = |index: usize| self.rules[index].matches(method, host, path);
        self.rule_index.first(Some(host), path, matches)
    }

    /// The first earlier rule that matches every request that this one would.
    fn shadowing_rule(&self, index: usize) -> Option<&Rule> {
        let rule = &self.rules[index];
        let covers = |earlier: usize| earlier < index && self.rules[earlier].covers(rule);
        let earlier = self.rule_index.first(rule.host.as_deref(), &rule.path_prefix, covers)?;
        Some(&self.rules[earlier])
    }
}

#[cfg(test)]
mod tests;
