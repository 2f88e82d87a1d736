//! The load that each zone's proxies carry for a service, measured in servers.

use crate::traffic_shift::ZoneLoad;
use std::collections::{BTreeMap, HashMap};
use vanepath_cluster::gossip::Peer;
use vanepath_cluster::node::ClusterView;
use vanepath_config::endpoint_list::Server;
use vanepath_config::selector::ClientLocation;

/// The load at which a server is fully busy, in thousandths. Reported load above it is not counted: it is
/// work that waits in a queue there and that another server could take.
const MAX_SERVER_LOAD_MILLI: u32 = 1000;

/// The load of one server as reported by the proxies that have received load reports from it.
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

/// The load of each server according to the last reports that the proxies received.
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

/// The load and capacity of each zone for one service. The load of the service's servers is attributed to
/// the zones in proportion to the request rates of their proxies.
pub fn zone_loads(
    view: &ClusterView,
    proxies: &[&Peer],
    server_loads: &ServerLoads<'_>,
    service_index: usize,
) -> BTreeMap<String, ZoneLoad> {
    let mut zones: BTreeMap<String, ZoneLoad> = BTreeMap::new();
    let total_rate = add_request_rates(&mut zones, view, proxies, service_index);
    let mut reported = Vec::new();
    let mut unreported = 0.0;
    for server in
        view.endpoints.servers.iter().filter(|server| is_available(view, server, service_index))
    {
        match server_loads.get(server.id.as_str()) {
            Some(load) => reported.push(load.mean()),
            None => unreported += 1.0,
        }
        let zone = zones.entry(server.zone.clone()).or_default();
        zone.region = server.region.clone();
        zone.servers += 1.0;
    }
    // Servers without a report are assumed to have the mean load of the others.
    let reported_sum: f64 = reported.iter().sum();
    let total_load = reported_sum * (1.0 + unreported / (reported.len() as f64).max(1.0));
    let load_per_rate = if total_rate > 0.0 { total_load / total_rate } else { 0.0 };
    for zone in zones.values_mut() {
        zone.load *= load_per_rate;
    }
    zones
}

/// Adds each proxy to its zone, with its request rate for the service in place of the load. Returns the sum
/// of all rates.
fn add_request_rates(
    zones: &mut BTreeMap<String, ZoneLoad>,
    view: &ClusterView,
    proxies: &[&Peer],
    service_index: usize,
) -> f64 {
    let mut total = 0.0;
    for proxy in proxies {
        let zone = zones.entry(proxy.info.zone.clone()).or_default();
        zone.region = proxy.info.region.clone();
        zone.has_proxies |=
            proxy.status.is_available() && !view.committed.drained_zones.contains(&proxy.info.zone);
        let rate = proxy.observations.request_rates.get(&view.config.services[service_index].name);
        let rate = f64::from(rate.copied().unwrap_or(0));
        zone.load += rate;
        total += rate;
    }
    total
}

/// Whether a server accepts requests of the service.
fn is_available(view: &ClusterView, server: &Server, service_index: usize) -> bool {
    !server.draining
        && !view.plan.unreachable.contains(&server.id)
        && !view.committed.drained_zones.contains(&server.zone)
        && view.config.services[service_index].selector.matches(server, ClientLocation::default())
}
