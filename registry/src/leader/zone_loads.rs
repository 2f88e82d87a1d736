//! The load that each zone's proxies carry for a service, measured in servers.

use crate::traffic_shift::ZoneLoad;
use std::collections::{BTreeMap, HashMap};
use vanepath_cluster::gossip::Peer;
use vanepath_cluster::node::ClusterView;
use vanepath_config::endpoint_list::Server;
use vanepath_config::selector::ClientLocation;

/// A server's load counts up to its full capacity, in thousandths: what is above that waits there, and is
/// load that another server could take.
const MAX_SERVER_LOAD_MILLI: u32 = 1000;

/// The reports of one server's load by the proxies that have heard of it.
#[derive(Default)]
pub struct ReportedLoad {
    sum_milli: u32,
    reports: u32,
}

impl ReportedLoad {
    /// The mean of the reports, in servers.
    fn mean(&self) -> f64 {
        f64::from(self.sum_milli) / 1000.0 / f64::from(self.reports)
    }
}

/// Reported loads by server id.
pub type ServerLoads<'p> = HashMap<&'p str, ReportedLoad>;

/// The load of each server, as the proxies heard of it last.
pub fn server_loads<'p>(proxies: &[&'p Peer]) -> ServerLoads<'p> {
    let mut loads = ServerLoads::new();
    for proxy in proxies {
        for observation in &proxy.observations.servers {
            let load = loads.entry(&observation.server).or_default();
            load.sum_milli += observation.load_milli.min(MAX_SERVER_LOAD_MILLI);
            load.reports += 1;
        }
    }
    loads
}

/// The zones as one service sees them. The load of the service's servers is divided among the zones in
/// proportion to the requests that their proxies take.
pub fn zone_loads(
    view: &ClusterView,
    proxies: &[&Peer],
    server_loads: &ServerLoads<'_>,
    service: usize,
) -> BTreeMap<String, ZoneLoad> {
    let mut zones: BTreeMap<String, ZoneLoad> = BTreeMap::new();
    let total_rate = add_request_rates(&mut zones, view, proxies, service);
    let mut reported = Vec::new();
    let mut unreported = 0.0;
    for server in view.endpoints.servers.iter().filter(|one| is_available(view, one, service)) {
        match server_loads.get(server.id.as_str()) {
            Some(load) => reported.push(load.mean()),
            None => unreported += 1.0,
        }
        let zone = zones.entry(server.zone.clone()).or_default();
        zone.region = server.region.clone();
        zone.servers += 1.0;
    }
    // Servers without a report count with the mean of the others.
    let reported_sum: f64 = reported.iter().sum();
    let total_load = reported_sum * (1.0 + unreported / (reported.len() as f64).max(1.0));
    let load_per_rate = if total_rate > 0.0 { total_load / total_rate } else { 0.0 };
    for zone in zones.values_mut() {
        zone.load *= load_per_rate;
    }
    zones
}

/// Adds each proxy to its zone, with the rate of its requests for the service in place of the load, and
/// gives the sum of all rates.
fn add_request_rates(
    zones: &mut BTreeMap<String, ZoneLoad>,
    view: &ClusterView,
    proxies: &[&Peer],
    service: usize,
) -> f64 {
    let mut total = 0.0;
    for proxy in proxies {
        let zone = zones.entry(proxy.info.zone.clone()).or_default();
        zone.region = proxy.info.region.clone();
        zone.has_proxies |=
            proxy.status.is_available() && !view.committed.drained_zones.contains(&proxy.info.zone);
        let rate = proxy.observations.request_rates.get(&view.config.services[service].name);
        let rate = f64::from(rate.copied().unwrap_or(0));
        zone.load += rate;
        total += rate;
    }
    total
}

/// Whether a server takes requests of the service.
fn is_available(view: &ClusterView, server: &Server, service: usize) -> bool {
    !server.draining
        && !view.plan.unreachable.contains(&server.id)
        && !view.committed.drained_zones.contains(&server.zone)
        && view.config.services[service].selector.matches(server, ClientLocation::default())
}
