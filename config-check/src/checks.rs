//! Checks a valid configuration against a snapshot of the fleet.

use crate::changes::changes;
use crate::finding::{Finding, Severity};
use crate::snapshot::{FleetSnapshot, ServerSnapshot};
use crate::tenants::{tenant_changes, tenant_findings};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use vanepath_config::model::{Config, Rule, parse};
use vanepath_config::selector::ClientLocation;

/// All findings about a valid configuration, the most severe first.
pub fn check(config: &Config, fleet: &FleetSnapshot) -> Vec<Finding> {
    let checker = Checker { config, fleet };
    let mut findings = regressed_daemons(fleet);
    findings.extend(checker.services());
    findings.extend(checker.rules());
    findings.extend(tenant_findings(config));
    findings.extend(changes_to_active_config(config, fleet));
    findings.sort_by_key(|finding| Reverse(finding.severity));
    findings
}

/// A finding for each daemon whose revision is older than one that it had before.
fn regressed_daemons(fleet: &FleetSnapshot) -> Vec<Finding> {
    let finding = |name: &String| {
        let message = "goes by an older word than it did before: see its status, 'floor'";
        Finding::new(Severity::Warning, format!("daemon {name}"), message.to_string())
    };
    fleet.regressed_daemons.iter().map(finding).collect()
}

/// What would change if this configuration replaced the active one.
fn changes_to_active_config(config: &Config, fleet: &FleetSnapshot) -> Vec<Finding> {
    let Some(Ok(active)) = fleet.active_config.as_deref().map(parse) else {
        return Vec::new();
    };
    let lines = changes(&active, config).into_iter().chain(tenant_changes(&active, config));
    lines.map(|line| Finding::new(Severity::Note, "$", line)).collect()
}

/// A failure domain, all of whose machines may fail at once.
#[derive(Clone, Copy)]
enum FailureDomain<'f> {
    Zone(&'f str),
    Region(&'f str),
}

impl FailureDomain<'_> {
    fn contains(self, zone: &str, region: &str) -> bool {
        match self {
            FailureDomain::Zone(name) => name == zone,
            FailureDomain::Region(name) => name == region,
        }
    }
}

impl std::fmt::Display for FailureDomain<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FailureDomain::Zone(name) => write!(formatter, "zone {name}"),
            FailureDomain::Region(name) => write!(formatter, "region {name}"),
        }
    }
}

/// What the fleet has to serve a rule.
#[derive(Clone, Copy)]
struct Capacity {
    /// Number of live servers that the rule may use.
    servers: usize,
    /// Number of live proxies that may forward its requests.
    proxies: usize,
}

struct Checker<'c> {
    config: &'c Config,
    fleet: &'c FleetSnapshot,
}

impl<'c> Checker<'c> {
    /// A finding for each service: how many of its servers are live.
    fn services(&self) -> Vec<Finding> {
        (0..self.config.services.len()).map(|index| self.service(index)).collect()
    }

    fn service(&self, index: usize) -> Finding {
        let path = format!("$.services[{index}]");
        let name = &self.config.services[index].name;
        let selected = || self.fleet.servers.iter().filter(|server| self.serves(index, server));
        let listed = selected().count();
        let live = selected().filter(|server| server.is_live).count();
        match (listed, live) {
            (0, _) => {
                let message = format!("service '{name}' selects no server of the platform");
                Finding::new(Severity::Error, path, message)
            }
            (listed, 0) => {
                let message = format!("service '{name}': none of its {listed} servers is live");
                Finding::new(Severity::Error, path, message)
            }
            (listed, live) => {
                let message = format!("service '{name}': {live} of {listed} servers are live");
                Finding::new(Severity::Note, path, message)
            }
        }
    }

    /// Findings about rules that lack servers or proxies, now or after the loss of a zone or region.
    fn rules(&self) -> Vec<Finding> {
        let domains = self.failure_domains();
        let rules = self.config.rules.iter().enumerate();
        rules.flat_map(|(index, rule)| self.rule(index, rule, &domains)).collect()
    }

    fn rule(&self, index: usize, rule: &Rule, domains: &[FailureDomain<'_>]) -> Vec<Finding> {
        let path = format!("$.rules[{index}]");
        let capacity = self.capacity(rule, None);
        if capacity.servers == 0 {
            let message = format!("rule '{}' matches no live server", rule.name);
            return vec![Finding::new(Severity::Error, path, message)];
        }
        if capacity.proxies == 0 {
            let message = format!("rule '{}': no live proxy may carry it", rule.name);
            return vec![Finding::new(Severity::Error, path, message)];
        }
        let domains = domains.iter();
        domains.filter_map(|domain| self.loss(rule, &path, capacity, *domain)).collect()
    }

    /// A finding if the loss of a failure domain would leave a rule without servers or proxies, or with
    /// fewer than half of its servers.
    fn loss(
        &self,
        rule: &Rule,
        path: &str,
        capacity: Capacity,
        domain: FailureDomain<'_>,
    ) -> Option<Finding> {
        let left = self.capacity(rule, Some(domain));
        let class = &self.config.classes[rule.class].name;
        if left.servers == 0 || left.proxies == 0 {
            // A rule that is restricted to one region cannot survive the loss of that region.
            let is_intended = rule.regions.len() == 1 && matches!(domain, FailureDomain::Region(_));
            let severity = if is_intended { Severity::Note } else { Severity::Warning };
            let message = format!(
                "without {domain} rule '{}' (class '{class}') has {} servers and {} proxies left",
                rule.name, left.servers, left.proxies
            );
            return Some(Finding::new(severity, path, message));
        }
        (left.servers * 2 < capacity.servers).then(|| {
            let message = format!(
                "without {domain} rule '{}' (class '{class}') has {} of {} servers left",
                rule.name, left.servers, capacity.servers
            );
            Finding::new(Severity::Note, path, message)
        })
    }

    /// The live servers and proxies for a rule, without those of a lost failure domain.
    fn capacity(&self, rule: &Rule, lost: Option<FailureDomain<'_>>) -> Capacity {
        let is_lost =
            |zone: &str, region: &str| lost.is_some_and(|domain| domain.contains(zone, region));
        let is_served_by = |server: &ServerSnapshot| {
            let mut services = std::iter::once(&rule.service).chain(&rule.spillover);
            services.any(|service| self.serves(*service, server))
        };
        let servers = self.fleet.servers.iter().filter(|server| {
            server.is_live
                && is_served_by(server)
                && rule.allows_region(&server.server.region)
                && !is_lost(&server.server.zone, &server.server.region)
        });
        let proxies = self.fleet.proxies.iter().filter(|proxy| {
            rule.allows_region(&proxy.region)
                && !self.fleet.drained_zones.contains(&proxy.zone)
                && !is_lost(&proxy.zone, &proxy.region)
        });
        Capacity { servers: servers.count(), proxies: proxies.count() }
    }

    /// Whether a server may get new requests of a service.
    fn serves(&self, service: usize, server: &ServerSnapshot) -> bool {
        let selector = &self.config.services[service].selector;
        selector.matches(&server.server, ClientLocation::default())
            && !server.server.draining
            && !self.fleet.drained_zones.contains(&server.server.zone)
    }

    /// All zones that have servers or proxies, followed by their regions.
    fn failure_domains(&self) -> Vec<FailureDomain<'c>> {
        let server_zones = self
            .fleet
            .servers
            .iter()
            .map(|server| (server.server.zone.as_str(), server.server.region.as_str()));
        let proxy_zones =
            self.fleet.proxies.iter().map(|proxy| (proxy.zone.as_str(), proxy.region.as_str()));
        let zones: BTreeSet<(&str, &str)> = server_zones.chain(proxy_zones).collect();
        let regions: BTreeSet<&str> = zones.iter().map(|(_, region)| *region).collect();
        let zones = zones.iter().map(|(zone, _)| FailureDomain::Zone(zone));
        zones.chain(regions.into_iter().map(FailureDomain::Region)).collect()
    }
}
