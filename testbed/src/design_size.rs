//! Configurations, endpoint lists and fleets of the design size (docs/CAPACITY.md), to check that they are within
//! all size limits.

use std::collections::BTreeSet;
use std::time::Duration;
use vanepath_cluster::gossip::{Event, Gossip};
use vanepath_cluster::wire;
use vanepath_config::endpoint_list::{EndpointList, Server, labels_as_json};

/// Nodes of the fleet.
pub const NODES: usize = 670;
/// Servers in the endpoint list.
pub const SERVERS: usize = 4500;
/// Services of the configuration.
pub const SERVICES: usize = 270;
/// Rules of the configuration.
pub const RULES: usize = 1100;
/// Tenants of the configuration.
pub const TENANTS: usize = 22_000;
/// Requests that a server works on at one time.
const SERVER_CONCURRENCY: u32 = 8;
/// Machines with a registry and a store each.
const CORE_MACHINES: usize = 7;
/// Regions in which the zones lie, in turn.
const REGIONS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const ZONES: usize = 16;

/// How proxies judge the health of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChecks {
    /// By the responses to requests; servers report their concurrency (design 8.6, 8.7).
    Passive,
    /// By probes; servers report no concurrency.
    Active,
}

/// Name and region of a zone.
fn zone(index: usize) -> (String, &'static str) {
    let region = REGIONS[index % REGIONS.len()];
    (format!("{region}{}", index / REGIONS.len() + 1), region)
}

/// A configuration document. Services have a few hosts and paths each, some rules are bound to regions, some
/// have spillover, and the last rule matches the rest.
pub fn config_text(
    rules: usize,
    services: usize,
    tenants: usize,
    health_checks: HealthChecks,
) -> String {
    let zones: Vec<String> = (0..ZONES)
        .map(zone)
        .map(|(name, region)| format!(r#"{{"zone": "{name}", "region": "{region}"}}"#))
        .collect();
    let service_texts: Vec<String> =
        (0..services).map(|service| service_text(service, health_checks)).collect();
    let mut rule_texts: Vec<String> =
        (0..rules.saturating_sub(1)).map(|rule| rule_text(rule, services)).collect();
    rule_texts.push(r#"{"name": "rest", "class": "lookup", "service": "service-0"}"#.to_string());
    let tenant_texts: Vec<String> = (0..tenants)
        .map(|tenant| {
            format!(r#"{{"name": "tenant-{tenant}", "keys": ["key-of-tenant-{tenant:05}-1"]}}"#)
        })
        .collect();
    format!(
        r#"{{"places": [{}],
            "classes": [
                {{"name": "lookup", "urgency": 1, "kind": "repeatable", "room": 2000}},
                {{"name": "filing", "urgency": 0, "kind": "once", "room": 1000}},
                {{"name": "bulk", "urgency": 5, "kind": "repeatable",
                  "borrows": [{{"from": "lookup", "most": 200}}]}}],
            "services": [{}], "rules": [{}], "tenants": [{}]}}"#,
        zones.join(", "),
        service_texts.join(",\n"),
        rule_texts.join(",\n"),
        tenant_texts.join(",\n")
    )
}

fn service_text(service: usize, health_checks: HealthChecks) -> String {
    let probes = match health_checks {
        HealthChecks::Passive => r#", "probes": "in-doubt""#,
        HealthChecks::Active => "",
    };
    format!(
        r#"{{"name": "service-{service}", "selector": "app = service-{service}",
            "livenessPath": "/live", "cold": {{"ratePerSecond": 5, "periodMs": 8000}}{probes}}}"#
    )
}

fn rule_text(rule: usize, services: usize) -> String {
    let service = rule % services;
    let version = rule / services;
    let host = service % 40;
    let bound = if rule % 10 == 3 { r#", "regions": ["a", "b"]"# } else { "" };
    let spillover = match (rule % 7, (service + 1) % services) {
        (2, other) if other != service => format!(r#", "spill": ["service-{other}"]"#),
        _ => String::new(),
    };
    let (class, methods) = match rule % 4 {
        1 => ("filing", r#""methods": ["POST", "PUT"], "#),
        _ => ("lookup", ""),
    };
    format!(
        r#"{{"name": "rule-{rule}", "match": {{{methods}"host": "host-{host}.example",
            "pathPrefix": "/api/v{version}/things-{service}"}}, "class": "{class}",
            "service": "service-{service}"{bound}{spillover}}}"#
    )
}

/// An endpoint list whose servers are spread over all zones and services.
pub fn endpoint_list(servers: usize, services: usize, health_checks: HealthChecks) -> EndpointList {
    let server = |index: usize| {
        let (zone, region) = zone(index % ZONES);
        let address = [10, 1 + (index >> 16) as u8, (index >> 8) as u8, index as u8];
        let service = index / ZONES % services;
        Server {
            id: format!("server-{index}"),
            address: (address, 8080).into(),
            region: region.to_string(),
            zone,
            labels: [("app".to_string(), format!("service-{service}"))].into(),
            draining: false,
            warming_up: false,
            concurrency: match health_checks {
                HealthChecks::Passive => SERVER_CONCURRENCY,
                HealthChecks::Active => 0,
            },
        }
    };
    EndpointList { revision: 1, servers: (0..servers).map(server).collect() }
}

/// The platform's document of an endpoint list.
pub fn endpoint_list_text(list: &EndpointList) -> String {
    let servers: Vec<String> = list
        .servers
        .iter()
        .map(|server| {
            let slots = match server.concurrency {
                0 => String::new(),
                slots => format!(r#", "slots": {slots}"#),
            };
            format!(
                r#"{{"id": "{}", "address": "{}", "region": "{}", "zone": "{}", "labels": {},
                    "state": "ready"{slots}}}"#,
                server.id,
                server.address,
                server.region,
                server.zone,
                labels_as_json(&server.labels).dump()
            )
        })
        .collect();
    format!(r#"{{"revision": {}, "servers": [{}]}}"#, list.revision, servers.join(",\n"))
}

/// The nodes of a fleet: the registries, the stores, then proxies in all zones.
pub fn node_infos(nodes: usize) -> Vec<wire::NodeInfo> {
    (0..nodes).map(node_info).collect()
}

fn node_info(index: usize) -> wire::NodeInfo {
    let (role, place) = match index {
        0..CORE_MACHINES => (wire::Role::Registry, index),
        _ if index < 2 * CORE_MACHINES => (wire::Role::Store, index - CORE_MACHINES),
        _ => (wire::Role::Proxy, index - 2 * CORE_MACHINES),
    };
    let (zone, region) = zone(place % ZONES);
    let address = |port: u16| ([10, 0, (index >> 8) as u8, index as u8], port).into();
    wire::NodeInfo {
        name: format!("{role}-{index}"),
        role,
        region: region.to_string(),
        zone,
        address: address(7000),
        cluster_address: address(7001),
    }
}

/// What a proxy reports on a quiet day: the requests that it accepts for each service, and observations of
/// the servers that it probes: those of its own zone and a part of the others.
fn observations(proxy: usize, list: &EndpointList, services: usize) -> wire::ProxyObservations {
    let servers = list.servers.len();
    let probed_elsewhere = (3 * servers).div_ceil(NODES);
    let own_zone = (proxy % ZONES..servers).step_by(ZONES);
    let others = (0..probed_elsewhere).map(|index| (index * 31 + proxy * 7) % servers);
    let observed: BTreeSet<usize> = own_zone.chain(others).collect();
    let observation = |index: usize| wire::ServerObservation {
        server: list.servers[index].id.clone(),
        phase: wire::ServerPhase::Healthy,
        age_ms: 3_000_000,
        in_contact_ms: 3_000_000,
        load_milli: 300 + (index as u32 * 37) % 400,
        connection_refused: false,
    };
    wire::ProxyObservations {
        servers: observed.into_iter().map(observation).collect(),
        in_flight: vec![3, 1, 0],
        queued: vec![0; 3],
        request_rates: (0..services)
            .map(|service| (format!("service-{service}"), 300 + service as u32 % 90))
            .collect(),
    }
}

/// The gossip core of a registry that knows a whole fleet, with the observations of all proxies.
pub fn informed_registry(nodes: usize, list: EndpointList, services: usize) -> Gossip {
    let now = Duration::from_secs(100);
    let infos = node_infos(nodes);
    let status = || wire::NodeStatus { ready: true, synced: true, ..wire::NodeStatus::default() };
    let mut gossip = Gossip::new(infos[0].clone(), Vec::new(), 1, now);
    gossip.step(now, Event::StatusChanged(status()));
    let deltas = infos.iter().enumerate().skip(1).map(|(index, info)| wire::NodeDelta {
        name: info.name.clone(),
        version: wire::NodeVersion {
            incarnation: 5,
            counter: 9,
            status_version: 2,
            observations_version: 3,
        },
        age_ms: 100,
        info: Some(info.clone()),
        status: Some(status()),
        observations: (info.role == wire::Role::Proxy)
            .then(|| observations(index, &list, services)),
    });
    let response = wire::PullResponse { nodes: deltas.collect(), ..wire::PullResponse::default() };
    let response = wire::PullResponse { endpoint_list: Some(list), ..response };
    let address = infos[1].cluster_address;
    gossip.step(now, Event::PullCompleted { address, response: Some(Box::new(response)) });
    gossip
}
