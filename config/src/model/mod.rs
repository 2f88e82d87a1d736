//! The operator's configuration: classes, services, zones, rules and tenants, which refer to each other by index
//! (design 3.1).

mod parse;
mod rule;
mod tenant;

pub use parse::parse;
pub use rule::{DEFAULT_MAX_ATTEMPTS, Preference, Rule, WeightedService, under_prefix};
pub use tenant::{KeyDigest, Tenant, Tenants};

use crate::rule_index::{HostAndPrefix, RuleIndex};
use crate::selector::{Labelled, Selector};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum size of a document in bytes: three times 1,100 routes, 270 services and 22,000 tenants of 100
/// bytes each (docs/CAPACITY.md).
pub const MAX_BYTES: usize = 8 << 20;

/// Whether a request may be retried after it may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Idempotency {
    /// May be retried on another server: lookups and downloads.
    #[strum(serialize = "repeatable")]
    Idempotent,
    /// Must be executed at most once: filings.
    #[strum(serialize = "once")]
    NonIdempotent,
}

/// A class from which another class may borrow unused concurrency slots.
#[derive(Clone, Debug, PartialEq)]
pub struct Borrow {
    /// Index of the lending class.
    pub class: usize,
    /// Maximum number of slots borrowed at the same time.
    pub max_slots: u64,
}

/// A class of requests: its priority and its limits on one proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Unique among the classes.
    pub name: String,
    /// 0 is the highest priority.
    pub priority: u64,
    /// Whether its requests may be retried after they may have been executed.
    pub idempotency: Idempotency,
    /// Maximum number of requests in flight on one proxy.
    pub max_in_flight: u64,
    /// The classes from which it may borrow unused slots.
    pub borrows: Vec<Borrow>,
    /// Maximum number of queued requests on one proxy.
    pub max_queued: u64,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Time from a request's arrival to its deadline, unless its rule sets another one.
    pub deadline: Duration,
    /// Whether its responses are large: a nearby server is then preferred to a distant one, even if the
    /// response comes somewhat later.
    pub bulk: bool,
}

/// A group of interchangeable servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique among the services.
    pub name: String,
    /// Selects the servers of the endpoint list that belong to it.
    pub selector: Selector,
    /// The path of the servers' health check.
    pub health_check_path: String,
    /// The response header in which a server gives its id; empty: servers of this service send none.
    pub identity_header: String,
    /// Initial rate, in requests per second from the whole fleet, for one server that is warming up.
    pub slow_start_rate: f64,
    /// Duration of the slow start of a server that is warming up.
    pub slow_start_period: Duration,
    /// Maximum number of requests in flight from one proxy to one server.
    pub max_in_flight_per_server: u64,
    /// Number of connections that one server accepts from all proxies together; 0: no limit.
    pub max_connections: u64,
    /// Whether only suspect servers are probed; the health of the others is inferred from their traffic.
    pub probes_suspects_only: bool,
}

/// A failure domain of a region.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Unique among the zones.
    pub name: String,
    /// The region in which it lies.
    pub region: String,
    /// Additional labels that selectors can refer to.
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

/// A complete configuration, validated by [`parse`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Set by the document's author. A document whose version is not above the committed one changes nothing
    /// (design 6.9).
    pub version: Option<u64>,
    /// Rules refer to these by index.
    pub classes: Vec<Class>,
    /// Rules refer to these by index.
    pub services: Vec<Service>,
    /// Empty if the document does not list the zones.
    pub zones: Vec<Zone>,
    /// In the document's order: the first rule that matches a request applies.
    pub rules: Vec<Rule>,
    /// Who may send requests; `None`: anybody, without an API key.
    pub tenants: Option<Tenants>,
    /// Built by [`Config::build_rule_index`].
    rule_index: RuleIndex,
}

impl Config {
    /// Builds the index of the rules. Must be called once all rules have been added, since rules are only
    /// found through the index.
    pub fn build_rule_index(&mut self) {
        let keys = self.rules.iter().map(|rule| HostAndPrefix {
            host: rule.host.as_deref(),
            path_prefix: &rule.path_prefix,
        });
        self.rule_index = RuleIndex::new(keys);
    }

    /// Index of the first rule, in the document's order, that matches a request.
    pub fn rule_for(&self, method: &str, host: &str, path: &str) -> Option<usize> {
        let matches = |index: usize| self.rules[index].matches(method, host, path);
        self.rule_index.first(Some(host), path, matches)
    }

    /// The first earlier rule that matches every request that this rule matches.
    fn shadowing_rule(&self, index: usize) -> Option<&Rule> {
        let rule = &self.rules[index];
        let covers = |earlier: usize| earlier < index && self.rules[earlier].covers(rule);
        let earlier = self.rule_index.first(rule.host.as_deref(), &rule.path_prefix, covers)?;
        Some(&self.rules[earlier])
    }
}

#[cfg(test)]
mod tests;
