//! Rules: which requests they match, and which services, zones and regions serve these requests.

use crate::selector::Selector;
use std::time::Duration;

/// Maximum number of servers to which one request may be sent, unless its rule sets another limit.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 4;

/// A share of a tier of preferred zones.
#[derive(Clone, Debug, PartialEq)]
pub struct Preference {
    /// Selects the zones, relative to the client's location.
    pub zones: Selector,
    /// Percentage of the tier's traffic.
    pub share: f64,
}

/// A service that gets a share of a rule's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedService {
    /// Index of the service.
    pub service: usize,
    /// Its share relative to the sum of the rule's weights.
    pub weight: f64,
}

/// A routing rule: the requests that it matches, and how these are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Unique among the rules.
    pub name: String,
    /// Empty: any method.
    pub methods: Vec<String>,
    /// Compared case-insensitively; `None`: any host.
    pub host: Option<String>,
    /// Matches whole path segments only, see [`under_prefix`].
    pub path_prefix: String,
    /// Index of the class of its requests.
    pub class: usize,
    /// Index of the service that serves them.
    pub service: usize,
    /// Indices of other services that serve the requests for which its own service has no capacity.
    pub spillover: Vec<usize>,
    /// Tiers of zones, the most preferred first; the shares of a tier add up to 100.
    pub prefer: Vec<Vec<Preference>>,
    /// The only regions in which its requests may be forwarded or served; empty: all.
    pub regions: Vec<String>,
    /// Whether the proxy that received a request from the client may forward it from any region: `regions`
    /// then restricts servers only.
    pub forwarded_anywhere: bool,
    /// Whether the path must start with the exact text of the prefix: `/stock/` then does not match `/stock`.
    pub literal_prefix: bool,
    /// Services with their weights, including `service`; empty: all requests go to `service`.
    pub weighted_services: Vec<WeightedService>,
    /// Maximum number of servers to which one request may be sent.
    pub max_attempts: u32,
    /// Overrides the deadline of the class.
    pub deadline: Option<Duration>,
    /// Latency beyond which a response is worth less. A request that would exceed it in a queue is rejected
    /// at once instead, so that the client can retry (design 8.7).
    pub latency_target: Option<Duration>,
    /// Whether its requests need no API key.
    pub is_public: bool,
}

impl Rule {
    /// Whether a proxy in this region may accept a request of this rule from a client.
    pub fn may_forward_from(&self, region: &str) -> bool {
        self.forwarded_anywhere || self.allows_region(region)
    }

    /// Index of the service for one request, chosen by weight from 64 random bits.
    pub fn pick_service(&self, random: u64) -> usize {
        let sum: f64 = self.weighted_services.iter().map(|entry| entry.weight).sum();
        // The upper 53 bits give a number from 0 (inclusive) to 1 (exclusive).
        let mut remaining = (random >> 11) as f64 / (1_u64 << 53) as f64 * sum;
        for candidate in self.weighted_services.iter().filter(|entry| entry.weight > 0.0) {
            remaining -= candidate.weight;
            if remaining < 0.0 {
                return candidate.service;
            }
        }
        // Because of rounding, `remaining` may not fall below 0 even after the last candidate.
        let last = self.weighted_services.iter().rfind(|entry| entry.weight > 0.0);
        last.map_or(self.service, |entry| entry.service)
    }

    /// Whether servers of this region may serve its requests.
    pub fn allows_region(&self, region: &str) -> bool {
        self.regions.is_empty() || self.regions.iter().any(|allowed| allowed == region)
    }

    /// Whether the rule matches a request; `path` may include a query.
    pub fn matches(&self, method: &str, host: &str, path: &str) -> bool {
        (self.methods.is_empty() || self.methods.iter().any(|allowed| allowed == method))
            && self.host.as_deref().is_none_or(|expected| expected.eq_ignore_ascii_case(host))
            && under_prefix(path, &self.path_prefix)
            && (!self.literal_prefix || path.starts_with(&self.path_prefix))
    }

    /// Whether this rule matches every request that `other` matches.
    pub(super) fn covers(&self, other: &Rule) -> bool {
        let methods = self.methods.is_empty()
            || (!other.methods.is_empty()
                && other.methods.iter().all(|method| self.methods.contains(method)));
        let hosts = self.host.is_none() || self.host == other.host;
        methods
            && hosts
            && under_prefix(&other.path_prefix, &self.path_prefix)
            && (!self.literal_prefix || other.path_prefix.starts_with(&self.path_prefix))
    }
}

/// Whether a path is under a prefix, compared by whole segments: `/stock/7` is under `/stock`, `/stocks` is
/// not.
pub fn under_prefix(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => prefix.ends_with('/') || rest.is_empty() || rest.starts_with(['/', '?']),
        None => prefix.strip_suffix('/').is_some_and(|bare| !bare.is_empty() && path == bare),
    }
}
