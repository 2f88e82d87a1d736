//! The plain form of a steering answer: addresses of proxies, for clients that balance between them by
//! themselves (design 7.3).

use super::error::SteeringError;
use super::pathways::{Pathway, pathways};
use super::query;
use super::response::TTL;
use std::net::SocketAddr;
use vanepath_cluster::node::ClusterView;

/// An answer has this many addresses, where so many proxies are live at all: a client that finds one of
/// them dead has another.
const MIN_ADDRESSES: usize = 2;
/// An answer has no more addresses than this.
pub const MAX_ADDRESSES: usize = 64;

/// The addresses of the first pathways' proxies, as many as let a client bear the loss of one, and for how
/// long (`ttlS`, in seconds) the answer holds. `own` is the registry's zone and region, for clients that
/// do not name theirs.
///
/// # Errors
/// Where this registry knows too little; another one may know more.
pub fn addresses(
    view: &ClusterView,
    is_ready: bool,
    own: (&str, &str),
    query: &str,
    random: u64,
) -> Result<jzon::JsonValue, SteeringError> {
    let pathways = pathways(view);
    if !is_ready || pathways.iter().all(|pathway| pathway.is_unreachable) {
        return Err(SteeringError::NotReady);
    }
    if view.is_isolated {
        return Err(SteeringError::Partitioned);
    }
    let zone = query::value(query, "zone").unwrap_or(own.0);
    let region = query::value(query, "region").unwrap_or(own.1);
    // The answer counts for all rules alike: where any rule is bound to regions, no other region's proxies
    // fill up what the own region has (incident 0016).
    let has_bound_rule = view.config.rules.iter().any(|rule| !rule.regions.is_empty());
    let wanted = if has_bound_rule { 1 } else { MIN_ADDRESSES };
    let mut addresses = nearest_addresses(&pathways, zone, region, wanted);
    if addresses.len() > MAX_ADDRESSES {
        // Each client gets another part of them.
        let offset = random as usize % addresses.len();
        addresses.rotate_left(offset);
        addresses.truncate(MAX_ADDRESSES);
    }
    let addresses: Vec<jzon::JsonValue> =
        addresses.iter().map(|address| address.to_string().into()).collect();
    Ok(jzon::object! { "addresses": addresses, "ttlS": TTL.as_secs() })
}

/// All live proxies of the region, whose zones share its clients between them; where these are fewer than
/// `wanted`, other regions' pathways as well, in the order of the zone's own rendezvous draw.
fn nearest_addresses(
    pathways: &[Pathway],
    zone: &str,
    region: &str,
    wanted: usize,
) -> Vec<SocketAddr> {
    let live = || pathways.iter().filter(|pathway| !pathway.is_unreachable);
    let own_region = live().filter(|pathway| pathway.region == region);
    let mut addresses: Vec<SocketAddr> =
        own_region.flat_map(|pathway| pathway.addresses.iter().copied()).collect();
    if addresses.len() >= wanted {
        return addresses;
    }
    let mut others: Vec<&Pathway> = live().filter(|pathway| pathway.region != region).collect();
    others.sort_by_key(|pathway| vanepath_config::stable_hash(&["far", zone, &pathway.zone]));
    for pathway in others {
        addresses.extend(&pathway.addresses);
        if addresses.len() >= wanted {
            break;
        }
    }
    addresses
}
