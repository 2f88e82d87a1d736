//! The registry that leads: it publishes the traffic-shift plan under an epoch (design 5.6, 7.4). Pure.

mod server_status;
mod zone_loads;

use self::server_status::{ServerSummary, summarize_servers};
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;
use vanepath_cluster::gossip::Peer;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::{NodeInfo, NodeStatus, Role, TrafficShiftPlan, ZoneShares};

/// Twice what a proxy takes to report all its observations.
const SETTLING_TIME: Duration = Duration::from_millis(4000);

/// Whether this registry may lead already. One that has just started, or resumed after a pause of its
/// process, has heard of too little: it leads only after a while, and the last plan stays meanwhile.
#[derive(Debug, Default)]
pub struct LeadershipReadiness {
    fresh_since: Option<Duration>,
}

impl LeadershipReadiness {
    /// Whether the view has been fresh for long enough at `now`.
    pub fn may_lead(&mut self, now: Duration, is_fresh: bool) -> bool {
        if !is_fresh {
            self.fresh_since = None;
            return false;
        }
        now.saturating_sub(*self.fresh_since.get_or_insert(now)) >= SETTLING_TIME
    }
}

/// Whether this registry hears from more than half of all registries, itself included. One that does not
/// may be partitioned, and nodes prefer others to pull from (design 5.3).
pub fn hears_majority(view: &ClusterView) -> bool {
    let is_registry = |node: &&(NodeInfo, NodeStatus)| node.0.role == Role::Registry;
    let live = view.live.iter().filter(is_registry).count();
    let unreachable = view.unreachable.iter().filter(is_registry).count();
    2 * live > live + unreachable
}

/// The next plan, if the registry `own` is the leader and something changed. `may_shift`: since the last
/// step enough time has passed for its effect to show (the TTL of a steering response and the gossip
/// delay).
pub fn next_plan(
    view: &ClusterView,
    own: &str,
    peers: &[Peer],
    may_shift: bool,
) -> Option<TrafficShiftPlan> {
    let leader = view.leader(Role::Registry)?;
    // The last plan stays until this registry has the observations of all proxies.
    if leader.name != own || !view.is_fresh || !view.has_observations {
        return None;
    }
    let before = &view.plan;
    let is_own_term = before.leader == own;
    let proxies = live_proxies(view, peers);
    let ServerSummary { warming_up, unreachable } = summarize_servers(&proxies);
    let shifted = if may_shift { shifted(view, &proxies) } else { before.shifted.clone() };
    let is_unchanged = is_own_term
        && before.shifted == shifted
        && before.revision == view.committed.config_revision
        && before.warming_up.keys().eq(warming_up.keys())
        && before.unreachable == unreachable;
    if is_unchanged {
        return None;
    }
    Some(TrafficShiftPlan {
        epoch: if is_own_term { before.epoch } else { before.epoch + 1 },
        counter: if is_own_term { before.counter + 1 } else { 1 },
        leader: own.to_string(),
        revision: view.committed.config_revision,
        shifted,
        warming_up,
        unreachable,
    })
}

/// The proxies whose observations count: the last ones of a dead proxy are out of date.
fn live_proxies<'p>(view: &ClusterView, peers: &'p [Peer]) -> Vec<&'p Peer> {
    let live: HashSet<&str> = view.live.iter().map(|(info, _)| info.name.as_str()).collect();
    peers
        .iter()
        .filter(|peer| peer.info.role == Role::Proxy)
        .filter(|peer| live.contains(peer.info.name.as_str()))
        .collect()
}

/// The next shares of each service that shifts any clients.
fn shifted(view: &ClusterView, proxies: &[&Peer]) -> BTreeMap<String, ZoneShares> {
    let mut shifted = BTreeMap::new();
    let server_loads = zone_loads::server_loads(proxies);
    for (index, service) in view.config.services.iter().enumerate() {
        let before = view.plan.shifted.get(&service.name).cloned().unwrap_or_default();
        let zones = zone_loads::zone_loads(view, proxies, &server_loads, index);
        let shares = crate::traffic_shift::next_shares(&zones, &before);
        if !shares.is_empty() {
            shifted.insert(service.name.clone(), shares);
        }
    }
    shifted
}

#[cfg(test)]
mod tests;
