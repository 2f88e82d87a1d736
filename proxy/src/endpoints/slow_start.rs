//! A proxy's share of the request rate of a server that is warming up (design 8.6).

use super::rendezvous::RendezvousRank;
use super::{RoutingTable, proxy_nodes};
use crate::health::SlowStartRate;
use std::cmp::Ordering;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire;
use vanepath_config::endpoint_list::Server;
use vanepath_config::stable_hash;

/// Distance class of a proxy from a server. The nearest sort first.
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

/// The share of the proxy named `own_name` in a server's slow-start rate. The nearest proxies get
/// shares first, since they prefer the server anyway; rendezvous hashing orders equally near proxies.
/// `services` are indices into the configuration's services.
pub fn slow_start_rate(
    view: &ClusterView,
    own_name: &str,
    server: &Server,
    services: &[usize],
) -> SlowStartRate {
    let proxies = proxy_nodes(view).count();
    let rank = proxy_rank(view, own_name, server).unwrap_or(proxies);
    // If a server belongs to several services, the lowest rate applies.
    let service = services
        .iter()
        .filter_map(|index| view.config.services.get(*index))
        .min_by(|left, right| left.slow_start_rate.total_cmp(&right.slow_start_rate));
    let per_second =
        service.map_or(SlowStartRate::DEFAULT_PER_SECOND, |service| service.slow_start_rate);
    let period = service.map_or(SlowStartRate::DEFAULT_PERIOD, |service| service.slow_start_period);
    SlowStartRate::new(per_second, period, rank, proxies)
}

/// Number of proxies that rank before this one for the server; `None` if this proxy is not live in
/// the view.
fn proxy_rank(view: &ClusterView, own_name: &str, server: &Server) -> Option<usize> {
    let hash = |proxy: &wire::NodeInfo| stable_hash(&["cold", &proxy.name, &server.id]);
    let own_node = proxy_nodes(view).find(|proxy| proxy.name == own_name)?;
    let own_proximity = Proximity::between(own_node, server);
    let own_rank = RendezvousRank { hash: hash(own_node), name: own_name };
    // The hash is computed only for proxies of equal proximity.
    let ranks_before =
        |proxy: &&wire::NodeInfo| match Proximity::between(proxy, server).cmp(&own_proximity) {
            Ordering::Equal => RendezvousRank { hash: hash(proxy), name: &proxy.name } < own_rank,
            order => order.is_lt(),
        };
    Some(proxy_nodes(view).filter(ranks_before).count())
}

/// The slow-start rate of each endpoint, in the order of the table.
pub(super) fn slow_start_rates(
    view: &ClusterView,
    own_name: &str,
    table: &RoutingTable,
) -> Vec<SlowStartRate> {
    let endpoints = table.endpoints.iter();
    endpoints
        .map(|endpoint| slow_start_rate(view, own_name, &endpoint.server, &endpoint.services))
        .collect()
}
