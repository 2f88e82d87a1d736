//! Rules: which requests they match, and which service, zones and regions serve these.

use crate::selector::Selector;
use std::time::Duration;

/// Servers that one request may be sent to, unless its rule says otherwise.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 4;

/// A part of a tier of preferred zones.
#[derive(Clone, Debug, PartialEq)]
pub struct Preference {
    /// The zones it stands for, as seen from the client's own.
    pub zones: Selector,
    /// Percent of the tier's traffic.
    pub share: f64,
}

/// A service that gets a part of a rule's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedService {
    /// Index of the service.
    pub service: usize,
    /// Its part, in proportion to the sum of the rule's weights.
    pub weight: f64,
}

/// A route: the requests that it matches, and how these are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Unique among the rules.
    pub name: String,
    /// Empty: any method.
    pub methods: Vec<String>,
    /// Compared without regard to case; `None`: any host.
    pub host: Option<String>,
    /// Whole segments only, see [`under_prefix`].
    pub path_prefix: String,
    /// Index of the class of its requests.
    pub class: usize,
    /// Index of the service that answers them.
    pub service: usize,
    /// Indices of other services that take what the own one has no capacity for.
    pub spillover: Vec<usize>,
    /// Tiers, the most preferred first; the shares of a tier add up to 100.
    pub prefer: Vec<Vec<Preference>>,
    /// The only regions in which its requests may be forwarded or served; empty: all.
    pub regions: Vec<String>,
    /// The proxy that a client itself reached may forward its request wherever that proxy stands:
    /// `regions` binds servers only.
    pub forwarded_anywhere: bool,
    /// The path must begin with the prefix character by character: `/stock/` does not match `/stock`.
    pub literal_prefix: bool,
    /// Services by weight, `service` among them; empty: `service` alone.
    pub weighted_services: Vec<WeightedService>,
    /// Servers that one request may be sent to.
    pub max_attempts: u32,
    /// Instead of the class's.
    pub deadline: Option<Duration>,
    /// Responses that come later are worth less: a request is rejected at once, for the client to come
    /// back, rather than put into a queue in which it would be late (design 8.7).
    pub latency_target: Option<Duration>,
}

impl Rule {
    /// Whether a proxy in this region may accept such a request from a client.
    pub fn may_forward_from(&self, region: &str) -> bool {
        self.forwarded_anywhere || self.allows_region(region)
    }

    /// Index of the service for one request, drawn by weight with 64 random bits.
    pub fn pick_service(&self, random: u64) -> usize {
        let sum: f64 = self.weighted_services.iter().map(|one| one.weight).sum();
        // The upper 53 bits make a number from 0 up to but not including 1.
        let mut remaining = (random >> 11) as f64 / (1_u64 << 53) as f64 * sum;
        for candidate in self.weighted_services.iter().filter(|one| one.weight > 0.0) {
            remaining -= candidate.weight;
            if remaining < 0.0 {
                return candidate.service;
            }
        }
        // Rounding can leave a draw at the very end.
        let last = self.weighted_services.iter().rfind(|one| one.weight > 0.0);
        last.map_or(self.service, |one| one.service)
    }

    /// Whether servers of this region may serve its requests.
    pub fn allows_region(&self, region: &str) -> bool {
        self.regions.is_empty() || self.regions.iter().any(|allowed| allowed == region)
    }

    /// Whether it matches a request; `path` may carry a query.
    pub fn matches(&self, method: &str, host: &str, path: &str) -> bool {
        (self.methods.is_empty() || self.methods.iter().any(|one| one == method))
            && self.host.as_deref().is_none_or(|own| own.eq_ignore_ascii_case(host))
            && under_prefix(path, &self.path_prefix)
            && (!self.literal_prefix || path.starts_with(&self.path_prefix))
    }

    /// Whether every request that `other` matches matches this rule too.
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

/// Whether a path lies under a prefix by whole segments: `/stock` covers `/stock/7`, never `/stocks`.
pub fn under_prefix(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => prefix.ends_with('/') || rest.is_empty() || rest.starts_with(['/', '?']),
        None => prefix.strip_suffix('/').is_some_and(|bare| !bare.is_empty() && path == bare),
    }
}
