//! The pathways that clients can be sent to.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::{NodeInfo, NodeStatus, Role};
use vanepath_config::selector::Labelled;

/// A zone with proxies that accept requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Pathway {
    /// The zone's name, which is the id of the pathway.
    pub zone: String,
    /// The zone's region.
    pub region: String,
    /// The addresses of the zone's proxies, sorted.
    pub addresses: Vec<SocketAddr>,
    /// None of the zone's proxies is live: they are dead, or this registry is partitioned from them.
    pub is_unreachable: bool,
    labels: BTreeMap<String, String>,
}

impl Labelled for Pathway {
    fn label(&self, key: &str) -> Option<&str> {
        match key {
            "zone" => Some(&self.zone),
            "region" => Some(&self.region),
            key => self.labels.get(key).map(String::as_str),
        }
    }
}

/// The zones with proxies that are ready and not draining, sorted by name, without drained zones. A zone
/// whose proxies are all unreachable stays a pathway, which clients try last: a registry cannot distinguish
/// their failure from its own isolation.
pub fn pathways(view: &ClusterView) -> Vec<Pathway> {
    let mut pathways: Vec<Pathway> = Vec::new();
    let live = view.live.iter().map(|node| (node, false));
    let unreachable = view.unreachable.iter().map(|node| (node, true));
    for ((info, status), is_unreachable) in live.chain(unreachable) {
        if !takes_requests(view, info, status) {
            continue;
        }
        match pathways.iter_mut().find(|pathway| pathway.zone == info.zone) {
            Some(pathway) if pathway.is_unreachable == is_unreachable => {
                pathway.addresses.push(info.address);
            }
            // The zone has live proxies: its unreachable ones are left out.
            Some(_) => {}
            None => pathways.push(Pathway {
                zone: info.zone.clone(),
                region: info.region.clone(),
                addresses: vec![info.address],
                is_unreachable,
                labels: configured_labels(view, &info.zone),
            }),
        }
    }
    pathways.sort_by(|left, right| left.zone.cmp(&right.zone));
    for pathway in &mut pathways {
        pathway.addresses.sort();
    }
    pathways
}

fn takes_requests(view: &ClusterView, info: &NodeInfo, status: &NodeStatus) -> bool {
    info.role == Role::Proxy
        && status.is_available()
        && !view.committed.drained_zones.contains(&info.zone)
}

fn configured_labels(view: &ClusterView, zone: &str) -> BTreeMap<String, String> {
    let configured = view.config.zones.iter().find(|configured| configured.name == zone);
    configured.map(|configured| configured.labels.clone()).unwrap_or_default()
}
