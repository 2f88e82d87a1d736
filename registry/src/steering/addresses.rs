//! The plain form of a steering answer: addresses of proxies, for clients that balance between them by
//! themselves (design 7.3).

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

/// For how long an answer holds that names proxies which are being restarted.
const RESTARTING_TTL: Duration = Duration::from_millis(500);
/// An answer has this many addresses, where so many proxies are live at all: a client that finds one of
/// them dead has another.
const MIN_ADDRESSES: usize = 2;
/// An answer has no more addresses than this.
pub const MAX_ADDRESSES: usize = 64;

/// Which proxies an answer names; a better source leaves the others out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressSource {
    /// Those of the client's own region that take requests, filled up from other regions where no rule is
    /// bound to regions.
    OwnRegion,
    /// Those of another region to which the rules are bound.
    OtherAllowedRegion,
    /// Those of the client's own region, or of one to which the rules are bound, that are being
    /// restarted: they still serve, or soon will.
    Restarting,
    /// Those of a region to which the rules are not bound.
    OtherRegion,
}

/// The answer to a request for addresses.
#[derive(Clone, Debug, PartialEq)]
pub struct Addresses {
    /// Addresses of proxies, [`MAX_ADDRESSES`] at the most.
    pub addresses: Vec<SocketAddr>,
    /// Which proxies these are.
    pub source: AddressSource,
}

impl Addresses {
    /// For how long the answer holds.
    pub fn ttl(&self) -> Duration {
        if self.source == AddressSource::Restarting { RESTARTING_TTL } else { TTL }
    }

    /// The body of the response: `addresses`, and `ttlS` in seconds.
    pub fn json(&self) -> jzon::JsonValue {
        let addresses: Vec<jzon::JsonValue> =
            self.addresses.iter().map(|address| address.to_string().into()).collect();
        jzon::object! { "addresses": addresses, "ttlS": self.ttl().as_secs_f64() }
    }
}

/// The addresses of the first pathways' proxies, as many as let a client bear the loss of one. `own` is the
/// registry's zone and region, for clients that do not name theirs; where the query has a host under `name`
/// that rules name, only these rules count.
///
/// # Errors
/// Where this registry knows too little; another one may know more.
pub fn addresses(
    view: &ClusterView,
    is_ready: bool,
    own: (&str, &str),
    query: &str,
    random: u64,
) -> Result<Addresses, SteeringError> {
    let pathways = pathways(view);
    let is_nothing_live = pathways.iter().all(|pathway| pathway.is_unreachable);
    let search = AddressSearch {
        view,
        pathways: &pathways,
        bound_rules: bound_rules(view, query::value(query, "name").unwrap_or_default()),
        zone: query::value(query, "zone").unwrap_or(own.0),
        region: query::value(query, "region").unwrap_or(own.1),
    };
    if !is_ready || (is_nothing_live && search.restarting().is_empty()) {
        return Err(SteeringError::NotReady);
    }
    if view.is_isolated {
        return Err(SteeringError::Partitioned);
    }
    let mut answer = search.run();
    if answer.addresses.len() > MAX_ADDRESSES {
        // Each client gets another part of them.
        let offset = random as usize % answer.addresses.len();
        answer.addresses.rotate_left(offset);
        answer.addresses.truncate(MAX_ADDRESSES);
    }
    Ok(answer)
}

/// The rules with regions for requests of this host; of all hosts where no rule names this one.
fn bound_rules<'v>(view: &'v ClusterView, host: &str) -> Vec<&'v Rule> {
    let names_host =
        |rule: &&Rule| rule.host.as_deref().is_some_and(|own| own.eq_ignore_ascii_case(host));
    let rules = &view.config.rules;
    let is_known = rules.iter().any(|rule| names_host(&rule));
    let counts = |rule: &&Rule| !is_known || rule.host.is_none() || names_host(rule);
    rules.iter().filter(counts).filter(|rule| !rule.regions.is_empty()).collect()
}

/// The search for the proxies of one client.
struct AddressSearch<'a> {
    view: &'a ClusterView,
    pathways: &'a [Pathway],
    bound_rules: Vec<&'a Rule>,
    zone: &'a str,
    region: &'a str,
}

impl AddressSearch<'_> {
    /// The answer counts for all rules of the host alike: where one is bound to regions, no other region's
    /// proxies fill up what the own one has (incident 0016), and where this has none, those of the
    /// rules' other regions and those that are being restarted come first (incident 0020).
    fn run(&self) -> Addresses {
        let own = self.take(&[], usize::MAX, |region| region == self.region);
        if self.bound_rules.is_empty() {
            let addresses = self.take(&own, MIN_ADDRESSES, |region| region != self.region);
            let source =
                if own.is_empty() { AddressSource::OtherRegion } else { AddressSource::OwnRegion };
            return Addresses { addresses, source };
        }
        if !own.is_empty() {
            return Addresses { addresses: own, source: AddressSource::OwnRegion };
        }
        let homes = self.take(&[], MIN_ADDRESSES, |region| self.is_home(region));
        if !homes.is_empty() {
            return Addresses { addresses: homes, source: AddressSource::OtherAllowedRegion };
        }
        let restarting = self.restarting();
        if !restarting.is_empty() {
            return Addresses { addresses: restarting, source: AddressSource::Restarting };
        }
        let elsewhere = self.take(&[], 1, |region| region != self.region);
        Addresses { addresses: elsewhere, source: AddressSource::OtherRegion }
    }

    /// Whether all rules of the host may be served from this region.
    fn is_home(&self, region: &str) -> bool {
        self.bound_rules.iter().all(|rule| rule.allows_region(region))
    }

    /// `first`, and then the live pathways of the regions that `admits`, in the order of the zone's own
    /// rendezvous draw, until there are `wanted` addresses.
    fn take(
        &self,
        first: &[SocketAddr],
        wanted: usize,
        admits: impl Fn(&str) -> bool,
    ) -> Vec<SocketAddr> {
        let live = self.pathways.iter().filter(|pathway| !pathway.is_unreachable);
        let mut admitted: Vec<&Pathway> = live.filter(|pathway| admits(&pathway.region)).collect();
        if wanted < usize::MAX {
            let draw = |pathway: &&Pathway| stable_hash(&["far", self.zone, &pathway.zone]);
            admitted.sort_by_key(draw);
        }
        let mut addresses = first.to_vec();
        for pathway in admitted {
            if addresses.len() >= wanted {
                break;
            }
            addresses.extend(&pathway.addresses);
        }
        addresses
    }

    /// Live proxies that are being restarted in the client's region and in the homes: those that drain and
    /// still serve, or else those that are not ready yet.
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

    fn restarting_where(&self, is_wanted: impl Fn(&NodeStatus) -> bool) -> Vec<SocketAddr> {
        let proxies = self.view.live.iter().filter(|(info, status)| {
            info.role == Role::Proxy
                && is_wanted(status)
                && (info.region == self.region || self.is_home(&info.region))
                && !self.view.committed.drained_zones.contains(&info.zone)
        });
        let mut addresses: Vec<SocketAddr> = proxies.map(|(info, _)| info.address).collect();
        addresses.sort();
        addresses
    }
}
