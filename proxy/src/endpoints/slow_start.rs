//! A proxy's share in the rate of a server that is warming up (design 8.6).

use super::rendezvous::RendezvousRank;
use super::{RoutingTable, proxy_nodes};
use crate::health::SlowStartRate;
use std::cmp::Ordering;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire;
use vanepath_config::endpoint_list::Server;
use vanepath_config::stable_hash;

/// How far a proxy is from a server; the nearest come first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Proximity {
    is_in_other_region: bool,
    is_in_other_zone: bool,
}

impl Proximity {
    fn between(proxy: &wire::NodeInfo, server: &Server) -> Proximity {
        Proximity {
            is_in_other_region: proxy.region != server.region,
            is_in_other_zone: proxy.zone != server.zone,
        }
    }
}

/// The share of the proxy named `own` in a server's slow-start rate. The nearest proxies come first,
/// since they would select the server first; among equally near ones rendezvous hashing decides.
/// `services` are indices into the configuration's services.
pub fn slow_start_rate(
    view: &ClusterView,
    own: &str,
    server: &Server,
    services: &[usize],
) -> SlowStartRate {
    let proxies = proxy_nodes(view).count();
    let rank = proxy_rank(view, own, server).unwrap_or(proxies);
    // The service with the lowest rate counts.
    let service = services
        .iter()
        .filter_map(|index| view.config.services.get(*index))
        .min_by(|left, right| left.slow_start_rate.total_cmp(&right.slow_start_rate));
    let per_second = service.map_or(SlowStartRate::DEFAULT_PER_SECOND, |one| one.slow_start_rate);
    let period = service.map_or(SlowStartRate::DEFAULT_PERIOD, |one| one.slow_start_period);
    SlowStartRate::new(per_second, period, rank, proxies)
}

/// How many proxies come before this one for the server; `None` if it is not live in this view.
fn proxy_rank(view: &ClusterView, own: &str, server: &Server) -> Option<usize> {
    let hash = |proxy: &wire::NodeInfo| stable_hash(&["cold", &proxy.name, &server.id]);
    let own_node = proxy_nodes(view).find(|proxy| proxy.name == own)?;
    let own_proximity = Proximity::between(own_node, server);
    let own_rank = RendezvousRank { hash: hash(own_node), name: own };
    // The hash is computed only where proximity does not decide.
    let is_before =
        |proxy: &&wire::NodeInfo| match Proximity::between(proxy, server).cmp(&own_proximity) {
            Ordering::Equal => RendezvousRank { hash: hash(proxy), name: &proxy.name } < own_rank,
            order => order.is_lt(),
        };
    Some(proxy_nodes(view).filter(is_before).count())
}

/// The slow-start rate of each endpoint of the table, in its order.
pub(super) fn slow_start_rates(
    view: &ClusterView,
    own: &str,
    table: &RoutingTable,
) -> Vec<SlowStartRate> {
    let endpoints = table.endpoints.iter();
    endpoints
        .map(|endpoint| slow_start_rate(view, own, &endpoint.server, &endpoint.services))
        .collect()
}
