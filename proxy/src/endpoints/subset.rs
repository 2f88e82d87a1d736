//! Which servers of its zone are a proxy's subset (design 8.7): few other proxies send requests to
//! them, so that what this proxy has in flight is nearly all that they have.

use super::rendezvous::RendezvousRank;
use super::{Endpoint, Endpoints, live_proxies, max_idle_connections};
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire;
use vanepath_config::stable_hash;

/// Whether a server is in a proxy's subset. Every server is in about as many subsets as every other
/// and every subset has about as many servers. `rank` is this proxy's among the `proxies` of the
/// zone, `position` the server's among the zone's `servers`.
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

/// This proxy's rank among the proxies of its zone that are not draining, and their number.
struct ZoneRank {
    rank: usize,
    proxies: usize,
}

impl ZoneRank {
    fn of(view: &ClusterView, own: &wire::NodeInfo) -> ZoneRank {
        let mut proxies: Vec<RendezvousRank<'_>> = view
            .live
            .iter()
            .filter(|(node, status)| {
                node.role == wire::Role::Proxy && node.zone == own.zone && !status.draining
            })
            .map(|(node, _)| RendezvousRank {
                hash: subset_hash("proxy", &node.name),
                name: &node.name,
            })
            .collect();
        proxies.sort_unstable();
        let rank = proxies.iter().position(|one| one.name == own.name).unwrap_or_default();
        ZoneRank { rank, proxies: proxies.len() }
    }
}

impl<C> Endpoints<C> {
    /// Assigns this proxy its subset of its zone's servers and its part of the idle connections, by
    /// the proxies that are live.
    pub fn assign_subset(&self, view: &ClusterView, own: &wire::NodeInfo) {
        let table = self.table.load();
        let zone_rank = ZoneRank::of(view, own);
        let all_proxies = live_proxies(view);
        for (service, of_service) in table.by_service.iter().enumerate() {
            let max_connections = table.config.services[service].max_connections;
            let endpoints = || of_service.iter().map(|index| &table.endpoints[*index]);
            for endpoint in endpoints() {
                self.with_state(endpoint.slot, |state| {
                    state.is_in_subset &= endpoint.server.zone == own.zone;
                    if max_connections > 0 {
                        state.max_idle = max_idle_connections(max_connections, all_proxies);
                    }
                });
            }
            let in_zone = endpoints()
                .filter(|one| one.server.zone == own.zone && !one.server.draining)
                .collect();
            self.divide(in_zone, &zone_rank);
        }
    }

    /// Divides the servers of one service in this zone among its proxies.
    fn divide(&self, endpoints: Vec<&Endpoint>, zone_rank: &ZoneRank) {
        let mut endpoints: Vec<(u64, &Endpoint)> =
            endpoints.into_iter().map(|one| (subset_hash("server", &one.server.id), one)).collect();
        endpoints.sort_unstable_by_key(|one| one.0);
        let count = endpoints.len();
        for (position, (_, endpoint)) in endpoints.into_iter().enumerate() {
            let is_own = is_in_subset(zone_rank.rank, zone_rank.proxies, position, count);
            self.with_state(endpoint.slot, |state| state.is_in_subset = is_own);
        }
    }
}

#[cfg(test)]
mod tests;
