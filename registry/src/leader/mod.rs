//! The duty of the leader among the registries: computes the traffic-shift plan, which is published under
//! an epoch (design 5.6, 7.4). Pure functions without I/O.

mod server_status;
mod zone_loads;

use self::server_status::{ServerSummary, summarize_servers};
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;
use vanepath_cluster::gossip::Peer;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::{NodeInfo, NodeStatus, Role, TrafficShiftPlan, ZoneShares};

/// Time for which the view has to be fresh before a registry may lead: twice the time in which a proxy
/// reports all its observations.
const SETTLING_TIME: Duration = Duration::from_millis(4000);

/// Tracks whether this registry may lead. After a start, or after a pause of the process, it knows too
/// little of the cluster: it may lead only after `SETTLING_TIME`, and the last plan stays in force until
/// then.
#[derive(Debug, Default)]
pub struct LeadershipReadiness {
    fresh_since: Option<Duration>,
}

impl LeadershipReadiness {
    /// Whether at `now` the view has been fresh for long enough; `is_fresh` is its current state.
    pub fn may_lead(&mut self, now: Duration, is_fresh: bool) -> bool {
        if !is_fresh {
            self.fresh_since = None;
            return false;
        }
        now.saturating_sub(*self.fresh_since.get_or_insert(now)) >= SETTLING_TIME
    }
}

/// Whether this registry receives gossip from more than half of all registries, itself included. A registry
/// that does not may be partitioned, and nodes prefer to pull from others (design 5.3).
pub fn hears_majority(view: &ClusterView) -> bool {
    let is_registry = |node: &&(NodeInfo, NodeStatus)| node.0.role == Role::Registry;
    let live = view.live.iter().filter(is_registry).count();
    let unreachable = view.unreachable.iter().filter(is_registry).count();
    2 * live > live + unreachable
}

/// The next plan, if the registry `own_name` is the leader and the plan has changed. `may_shift` states that
/// enough time has passed since the last step for its effect to show in the load reports (the TTL of a
/// steering response and the gossip delay); otherwise the shares stay as they are.
pub fn next_plan(
    view: &ClusterView,
    own_name: &str,
    peers: &[Peer],
    may_shift: bool,
) -> Option<TrafficShiftPlan> {
    let leader = view.leader(Role::Registry)?;
    // The last plan stays in force until this registry has the observations of all proxies.
    if leader.name != own_name || !view.is_fresh || !view.has_observations {
        return None;
    }
    let current = &view.plan;
    let is_own_term = current.leader == own_name;
    let proxies = live_proxies(view, peers);
    let ServerSummary { warming_up, unreachable } = summarize_servers(&proxies);
    let shifted =
        if may_shift { next_shares_by_service(view, &proxies) } else { current.shifted.clone() };
    let is_unchanged = is_own_term
        && current.shifted == shifted
        && current.revision == view.committed.config_revision
        && current.warming_up.keys().eq(warming_up.keys())
        && current.unreachable == unreachable;
    if is_unchanged {
        return None;
    }
    Some(TrafficShiftPlan {
        epoch: if is_own_term { current.epoch } else { current.epoch + 1 },
        counter: if is_own_term { current.counter + 1 } else { 1 },
        leader: own_name.to_string(),
        revision: view.committed.config_revision,
        shifted,
        warming_up,
        unreachable,
    })
}

/// The live proxies. The observations of a dead proxy are out of date and are ignored.
fn live_proxies<'p>(view: &ClusterView, peers: &'p [Peer]) -> Vec<&'p Peer> {
    let live: HashSet<&str> = view.live.iter().map(|(info, _)| info.name.as_str()).collect();
    peers
        .iter()
        .filter(|peer| peer.info.role == Role::Proxy)
        .filter(|peer| live.contains(peer.info.name.as_str()))
        .collect()
}

/// The next shares of each service from which any clients are shifted.
fn next_shares_by_service(view: &ClusterView, proxies: &[&Peer]) -> BTreeMap<String, ZoneShares> {
    let mut shares_by_service = BTreeMap::new();
    let server_loads = zone_loads::server_loads(proxies);
    for (index, service) in view.config.services.iter().enumerate() {
        let current = view.plan.shifted.get(&service.name).cloned().unwrap_or_default();
        let zones = zone_loads::zone_loads(view, proxies, &server_loads, index);
        let shares = crate::traffic_shift::next_shares(&zones, &current);
        if !shares.is_empty() {
            shares_by_service.insert(service.name.clone(), shares);
        }
    }
    shares_by_service
}

#[cfg(test)]
mod tests;
