//! The plain form of a steering answer: a list of proxy addresses, for clients that balance load between
//! them on their own (design 7.3).

use super::error::SteeringError;
use super::pathways::{Pathway, pathways};
use super::query;
use super::response::TTL;
use std::net::SocketAddr;
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::{NodeStatus, Role};
use vanepath_config::model::Rule;
use vanepath_config::stable_hash;

/// The TTL of an answer with proxies that are being restarted.
const RESTARTING_TTL: Duration = Duration::from_millis(500);
/// The minimum number of addresses in an answer, if that many proxies are live: a client that finds one
/// proxy dead can use another.
const MIN_ADDRESSES: usize = 2;
/// The maximum number of addresses in an answer.
pub const MAX_ADDRESSES: usize = 64;

/// Which proxies an answer contains. The sources are tried in this order, and only the first one that has
/// any proxies is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressSource {
    /// Proxies of the client's own region that accept requests; if no rule is bound to regions, they are
    /// supplemented with proxies of other regions.
    OwnRegion,
    /// Proxies of another region that the rules allow.
    OtherAllowedRegion,
    /// Proxies of the client's own region, or of another one that the rules allow, that are being restarted:
    /// they still serve requests, or will soon.
    Restarting,
    /// Proxies of any other region.
    OtherRegion,
}

/// The answer to a request for addresses.
#[derive(Clone, Debug, PartialEq)]
pub struct Addresses {
    /// Addresses of proxies, at most [`MAX_ADDRESSES`].
    pub addresses: Vec<SocketAddr>,
    /// Which proxies the addresses belong to.
    pub source: AddressSource,
}

impl Addresses {
    /// The TTL of the answer.
    pub fn ttl(&self) -> Duration {
        if self.source == AddressSource::Restarting { RESTARTING_TTL } else { TTL }
    }

    /// The body of the response: `addresses`, and the TTL in seconds as `ttlS`.
    pub fn json(&self) -> jzon::JsonValue {
        let addresses: Vec<jzon::JsonValue> =
            self.addresses.iter().map(|address| address.to_string().into()).collect();
        jzon::object! { "addresses": addresses, "ttlS": self.ttl().as_secs_f64() }
    }
}

/// Addresses of proxies for one client, enough of them that it can tolerate the loss of one proxy.
/// `own_location` is the registry's zone and region, the default for clients that do not state theirs. If
/// the query has a host under `name` that any rule states, only the rules that apply to this host count.
///
/// # Errors
/// Returns an error if this registry knows too little to answer; another one may know more.
pub fn addresses(
    view: &ClusterView,
    is_ready: bool,
    own_location: (&str, &str),
    query: &str,
    random: u64,
) -> Result<Addresses, SteeringError> {
    let pathways = pathways(view);
    let none_live = pathways.iter().all(|pathway| pathway.is_unreachable);
    let search = AddressSearch {
        view,
        pathways: &pathways,
        bound_rules: bound_rules(view, query::value(query, "name").unwrap_or_default()),
        zone: query::value(query, "zone").unwrap_or(own_location.0),
        region: query::value(query, "region").unwrap_or(own_location.1),
    };
    if !is_ready || (none_live && search.restarting().is_empty()) {
        return Err(SteeringError::NotReady);
    }
    if view.is_isolated {
        return Err(SteeringError::Partitioned);
    }
    let mut answer = search.run();
    if answer.addresses.len() > MAX_ADDRESSES {
        // A random rotation gives each client a different part of the addresses.
        let offset = random as usize % answer.addresses.len();
        answer.addresses.rotate_left(offset);
        answer.addresses.truncate(MAX_ADDRESSES);
    }
    Ok(answer)
}

/// The rules that are bound to regions and apply to requests for this host, or those for all hosts if no rule
/// states this one.
fn bound_rules<'v>(view: &'v ClusterView, host: &str) -> Vec<&'v Rule> {
    let matches_host = |rule: &&Rule| {
        rule.host.as_deref().is_some_and(|rule_host| rule_host.eq_ignore_ascii_case(host))
    };
    let rules = &view.config.rules;
    let is_known_host = rules.iter().any(|rule| matches_host(&rule));
    let applies = |rule: &&Rule| !is_known_host || rule.host.is_none() || matches_host(rule);
    rules.iter().filter(applies).filter(|rule| !rule.regions.is_empty()).collect()
}

/// The search for the proxies that one client gets.
struct AddressSearch<'a> {
    view: &'a ClusterView,
    pathways: &'a [Pathway],
    bound_rules: Vec<&'a Rule>,
    zone: &'a str,
    region: &'a str,
}

impl AddressSearch<'_> {
    /// The client uses the answer for all rules of the host. If any of them is bound to regions, the proxies
    /// of the client's own region are therefore not supplemented with those of other regions (incident
    /// 0016). If the own region has none, proxies of the other regions that the rules allow, and then
    /// proxies that are being restarted, take precedence over all others (incident 0020).
    fn run(&self) -> Addresses {
        let own_region = self.collect_addresses(&[], usize::MAX, |region| region == self.region);
        if self.bound_rules.is_empty() {
            let addresses =
                self.collect_addresses(&own_region, MIN_ADDRESSES, |region| region != self.region);
            let source = if own_region.is_empty() {
                AddressSource::OtherRegion
            } else {
                AddressSource::OwnRegion
            };
            return Addresses { addresses, source };
        }
        if !own_region.is_empty() {
            return Addresses { addresses: own_region, source: AddressSource::OwnRegion };
        }
        let allowed =
            self.collect_addresses(&[], MIN_ADDRESSES, |region| self.is_allowed_region(region));
        if !allowed.is_empty() {
            return Addresses { addresses: allowed, source: AddressSource::OtherAllowedRegion };
        }
        let restarting = self.restarting();
        if !restarting.is_empty() {
            return Addresses { addresses: restarting, source: AddressSource::Restarting };
        }
        let other = self.collect_addresses(&[], 1, |region| region != self.region);
        Addresses { addresses: other, source: AddressSource::OtherRegion }
    }

    /// Whether all region-bound rules of the host may be served from this region.
    fn is_allowed_region(&self, region: &str) -> bool {
        self.bound_rules.iter().all(|rule| rule.allows_region(region))
    }

    /// Returns `initial`, followed by the addresses of live pathways in the regions that `includes_region`
    /// accepts, until there are `min_count` addresses. A `min_count` of `usize::MAX` includes all of them, in
    /// the order of `pathways`; otherwise they are in the order of a rendezvous hash of their zone and the
    /// client's zone.
    fn collect_addresses(
        &self,
        initial: &[SocketAddr],
        min_count: usize,
        includes_region: impl Fn(&str) -> bool,
    ) -> Vec<SocketAddr> {
        let live = self.pathways.iter().filter(|pathway| !pathway.is_unreachable);
        let mut included: Vec<&Pathway> =
            live.filter(|pathway| includes_region(&pathway.region)).collect();
        if min_count < usize::MAX {
            let hash = |pathway: &&Pathway| stable_hash(&["far", self.zone, &pathway.zone]);
            included.sort_by_key(hash);
        }
        let mut addresses = initial.to_vec();
        for pathway in included {
            if addresses.len() >= min_count {
                break;
            }
            addresses.extend(&pathway.addresses);
        }
        addresses
    }

    /// Live proxies that are being restarted, in the client's region and the other regions that the rules
    /// allow: those that drain and still serve requests, or if there are none, those that are not ready yet.
    fn restarting(&self) -> Vec<SocketAddr> {
        if self.bound_rules.is_empty() {
            return Vec::new();
        }
        let draining = self.restarting_where(|status| status.draining && status.ready);
        if !draining.is_empty() {
            return draining;
        }
        self.restarting_where(|status| !status.draining && !status.ready)
    }

    fn restarting_where(&self, matches_status: impl Fn(&NodeStatus) -> bool) -> Vec<SocketAddr> {
        let proxies = self.view.live.iter().filter(|(info, status)| {
            info.role == Role::Proxy
                && matches_status(status)
                && (info.region == self.region || self.is_allowed_region(&info.region))
                && !self.view.committed.drained_zones.contains(&info.zone)
        });
        let mut addresses: Vec<SocketAddr> = proxies.map(|(info, _)| info.address).collect();
        addresses.sort();
        addresses
    }
}
