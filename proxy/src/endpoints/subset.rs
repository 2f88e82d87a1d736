//! Subsetting (design 8.7): the servers of its zone that a proxy prefers. Few other proxies send
//! requests to them, so the requests that this proxy has in flight are nearly all of their load.

use super::rendezvous::RendezvousRank;
use super::{Endpoint, Endpoints, live_proxies, max_idle_connections};
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire;
use vanepath_config::stable_hash;

/// Whether a server is in a proxy's subset. The subsets are balanced: all have about the same number
/// of servers, and all servers are in about the same number of subsets. `rank` is the proxy's rank
/// among the `proxies` proxies of the zone, `position` the server's among the zone's `servers` servers.
pub fn is_in_subset(rank: usize, proxies: usize, position: usize, servers: usize) -> bool {
    if proxies <= 1 || servers == 0 {
        return true;
    }
    match servers >= proxies {
        true => position % proxies == rank,
        false => rank % servers == position,
    }
}

fn subset_hash(kind: &str, name: &str) -> u64 {
    stable_hash(&["part", kind, name])
}

/// A proxy's rank among the proxies of its zone that are not draining, and the number of these.
struct ZoneRank {
    rank: usize,
    proxies: usize,
}

impl ZoneRank {
    fn of(view: &ClusterView, own_node: &wire::NodeInfo) -> ZoneRank {
        let mut proxies: Vec<RendezvousRank<'_>> = view
            .live
            .iter()
            .filter(|(node, status)| {
                node.role == wire::Role::Proxy && node.zone == own_node.zone && !status.draining
            })
            .map(|(node, _)| RendezvousRank {
                hash: subset_hash("proxy", &node.name),
                name: &node.name,
            })
            .collect();
        proxies.sort_unstable();
        let rank = proxies.iter().position(|proxy| proxy.name == own_node.name).unwrap_or_default();
        ZoneRank { rank, proxies: proxies.len() }
    }
}

impl<C> Endpoints<C> {
    /// Assigns this proxy its subset of the zone's servers and its share of the idle connections, both
    /// of which depend on the set of live proxies.
    pub fn assign_subset(&self, view: &ClusterView, own_node: &wire::NodeInfo) {
        let table = self.table.load();
        let zone_rank = ZoneRank::of(view, own_node);
        let all_proxies = live_proxies(view);
        for (service, service_endpoints) in table.by_service.iter().enumerate() {
            let max_connections = table.config.services[service].max_connections;
            let endpoints = || service_endpoints.iter().map(|index| &table.endpoints[*index]);
            for endpoint in endpoints() {
                self.with_state(endpoint.slot, |state| {
                    state.is_in_subset &= endpoint.server.zone == own_node.zone;
                    if max_connections > 0 {
                        state.max_idle = max_idle_connections(max_connections, all_proxies);
                    }
                });
            }
            let in_zone = endpoints()
                .filter(|endpoint| {
                    endpoint.server.zone == own_node.zone && !endpoint.server.draining
                })
                .collect();
            self.divide_among_proxies(in_zone, &zone_rank);
        }
    }

    /// Divides the servers of one service in this zone among the zone's proxies.
    fn divide_among_proxies(&self, endpoints: Vec<&Endpoint>, zone_rank: &ZoneRank) {
        let mut endpoints: Vec<(u64, &Endpoint)> = endpoints
            .into_iter()
            .map(|endpoint| (subset_hash("server", &endpoint.server.id), endpoint))
            .collect();
        endpoints.sort_unstable_by_key(|entry| entry.0);
        let count = endpoints.len();
        for (position, (_, endpoint)) in endpoints.into_iter().enumerate() {
            let is_own = is_in_subset(zone_rank.rank, zone_rank.proxies, position, count);
            self.with_state(endpoint.slot, |state| state.is_in_subset = is_own);
        }
    }
}

#[cfg(test)]
mod tests;
