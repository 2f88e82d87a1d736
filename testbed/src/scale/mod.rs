//! What the design size costs (docs/CAPACITY.md): the programs' own cores under measure in one process
//! and on one thread, at several sizes, so that slopes show. Hollow daemons have news and nothing else.

pub mod cores;
pub mod hollow;

use std::time::Duration;
use vanepath_cluster::wire;
use vanepath_config::endpoint_list::{EndpointList, Server};

/// The design size.
pub const DAEMONS: usize = 670;
pub const SERVERS: usize = 4500;
pub const SERVICES: usize = 270;
pub const ROUTES: usize = 1100;
pub const TENANTS: usize = 22_000;
/// Requests that a server works on at one time.
const SLOTS: u32 = 8;

/// 16 zones in 6 regions, the first four of three zones and the others of two.
pub const ZONES: [(&str, &str); 16] = [
    ("a1", "a"),
    ("b1", "b"),
    ("c1", "c"),
    ("d1", "d"),
    ("e1", "e"),
    ("f1", "f"),
    ("a2", "a"),
    ("b2", "b"),
    ("c2", "c"),
    ("d2", "d"),
    ("e2", "e"),
    ("f2", "f"),
    ("a3", "a"),
    ("b3", "b"),
    ("c3", "c"),
    ("d3", "d"),
];

/// How proxies judge the servers of all services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judged {
    /// By the traffic that they get, a probe only in doubt; servers tell their slots (design 8.6, 8.7).
    ByTraffic,
    /// By probes all the time; servers tell no slots.
    ByProbes,
}

/// So much of `whole` as `daemons` are of the design's.
pub fn in_proportion(whole: usize, daemons: usize) -> usize {
    (whole * daemons / DAEMONS).max(1)
}

/// A setup with so many routes: each service has a few hosts and paths, some rules are bound to a region,
/// some spill, and the last takes the rest.
pub fn setup_text(routes: usize, services: usize, judged: Judged) -> String {
    let probes = match judged {
        Judged::ByTraffic => r#", "probes": "in-doubt""#,
        Judged::ByProbes => "",
    };
    let mut text = String::from(r#"{"places": ["#);
    let places: Vec<String> = ZONES
        .iter()
        .map(|(zone, region)| format!(r#"{{"zone": "{zone}", "region": "{region}"}}"#))
        .collect();
    text += &places.join(", ");
    text += r#"], "classes": [
        {"name": "lookup", "urgency": 1, "kind": "repeatable", "room": 2000},
        {"name": "filing", "urgency": 0, "kind": "once", "room": 1000},
        {"name": "bulk", "urgency": 5, "kind": "repeatable",
         "borrows": [{"from": "lookup", "most": 200}]}], "services": ["#;
    let listed: Vec<String> = (0..services)
        .map(|service| {
            format!(
                r#"{{"name": "service-{service}", "selector": "app = service-{service}",
                     "livenessPath": "/live", "cold": {{"ratePerSecond": 5, "periodMs": 8000}}{probes}}}"#
            )
        })
        .collect();
    text += &listed.join(",\n");
    text += r#"], "rules": ["#;
    for route in 0..routes.saturating_sub(1) {
        let service = route % services;
        let turn = route / services;
        let bound = if route % 10 == 3 { r#", "regions": ["a", "b"]"# } else { "" };
        let spill = match (route % 7, (service + 1) % services) {
            (2, other) if other != service => format!(r#", "spill": ["service-{other}"]"#),
            _ => String::new(),
        };
        let (class, methods) = match route % 4 {
            1 => ("filing", r#""methods": ["POST", "PUT"], "#),
            _ => ("lookup", ""),
        };
        text += &format!(
            r#"{{"name": "route-{route}", "match": {{{methods}"host": "host-{}.example",
                 "pathPrefix": "/api/v{turn}/things-{service}"}}, "class": "{class}",
                 "service": "service-{service}"{bound}{spill}}},
            "#,
            service % 40
        );
    }
    text + r#"{"name": "rest", "class": "lookup", "service": "service-0"}]}"#
}

pub fn setup(routes: usize, services: usize, judged: Judged) -> vanepath_config::model::Config {
    vanepath_config::model::parse(setup_text(routes, services, judged).as_bytes())
        .expect("a setup without faults")
}

/// So many servers, spread over all zones and services.
pub fn platform(servers: usize, services: usize, judged: Judged) -> EndpointList {
    let one = |index: usize| {
        let (zone, region) = ZONES[index % ZONES.len()];
        let address = [10, 1 + (index >> 16) as u8, (index >> 8) as u8, index as u8];
        Server {
            id: format!("server-{index}"),
            address: (address, 8080).into(),
            region: region.to_string(),
            zone: zone.to_string(),
            labels: [("app".to_string(), format!("service-{}", index / ZONES.len() % services))]
                .into(),
            draining: false,
            warming_up: false,
            concurrency: if judged == Judged::ByTraffic { SLOTS } else { 0 },
        }
    };
    EndpointList { revision: 1, servers: (0..servers).map(one).collect() }
}

/// The platform's own document of a list.
pub fn platform_text(list: &EndpointList) -> String {
    let servers: Vec<String> = list
        .servers
        .iter()
        .map(|server| {
            let state = if server.draining { "leaving" } else { "ready" };
            let slots = match server.concurrency {
                0 => String::new(),
                slots => format!(r#", "slots": {slots}"#),
            };
            format!(
                r#"{{"id": "{}", "address": "{}", "region": "{}", "zone": "{}", "labels": {}, "state": "{state}"{slots}}}"#,
                server.id,
                server.address,
                server.region,
                server.zone,
                vanepath_config::endpoint_list::labels_as_json(&server.labels).dump()
            )
        })
        .collect();
    format!(r#"{{"revision": {}, "servers": [{}]}}"#, list.revision, servers.join(",\n"))
}

/// The daemons of a fleet: first the machines set aside, with a registry and a store each, then proxies
/// over all zones.
pub fn cards(daemons: usize) -> Vec<wire::NodeInfo> {
    let machines = if daemons < 84 { 3 } else { 7 }.min(daemons / 3);
    (0..daemons)
        .map(|index| {
            let (role, name, place) = if index < machines {
                (wire::Role::Registry, format!("registry-{index}"), index)
            } else if index < 2 * machines {
                (wire::Role::Store, format!("store-{}", index - machines), index - machines)
            } else {
                (wire::Role::Proxy, format!("proxy-{index}"), index - 2 * machines)
            };
            let (zone, region) = ZONES[place % ZONES.len()];
            let address = |port: u16| ([10, 0, (index >> 8) as u8, index as u8], port).into();
            wire::NodeInfo {
                name,
                role,
                region: region.to_string(),
                zone: zone.to_string(),
                address: address(7000),
                cluster_address: address(7001),
            }
        })
        .collect()
}

/// What a proxy tells registries on a quiet day: what it takes of each service, and of one server in doubt;
/// where servers are judged by probes, of those of its own zone and of its part of those that three
/// proxies watch.
pub fn detail(
    proxy: usize,
    proxies: usize,
    list: &EndpointList,
    services: usize,
    turn: u64,
    judged: Judged,
) -> wire::ProxyObservations {
    let zone = proxy % ZONES.len();
    let watched = match judged {
        Judged::ByTraffic => 1,
        Judged::ByProbes => (3 * list.servers.len()).div_ceil(proxies.max(1)),
    };
    let own = (zone..list.servers.len()).step_by(ZONES.len());
    let own = own.take_while(|_| judged == Judged::ByProbes);
    let others = (0..watched).map(|index| (index * 31 + proxy * 7) % list.servers.len().max(1));
    let seen: std::collections::BTreeSet<usize> =
        own.chain(others).filter(|index| *index < list.servers.len()).collect();
    let sights = seen
        .into_iter()
        .map(|index| wire::ServerObservation {
            server: list.servers[index].id.clone(),
            phase: wire::ServerPhase::Healthy,
            age_ms: 3_000_000 + (turn as u32) * 2000,
            in_contact_ms: 3_000_000 + (turn as u32) * 2000,
            load_milli: 300 + ((index as u64 * 37 + turn * 13) % 400) as u32,
            connection_refused: false,
        })
        .collect();
    let taken = (0..services)
        .map(|service| (format!("service-{service}"), 300 + ((service as u64 + turn) % 90) as u32));
    wire::ProxyObservations {
        servers: sights,
        in_flight: vec![3, 1, 0],
        queued: vec![0; 3],
        request_rates: taken.collect(),
    }
}

/// Processor time of this thread so far: what other work on the machine takes is not in it.
pub fn spent() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Runs something again and again for about `span`; the mean processor time of one.
pub fn each<R>(span: Duration, mut act: impl FnMut() -> R) -> Duration {
    let started = spent();
    let mut count = 0_u32;
    loop {
        std::hint::black_box(act());
        count += 1;
        // Asking for the time costs as much as the shortest of these acts.
        if count.is_power_of_two() || count.is_multiple_of(64) {
            let taken = spent().saturating_sub(started);
            if taken >= span {
                return taken / count;
            }
        }
    }
}

/// Memory that this process has in hand, in bytes.
pub fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// What one of `count` takes, made alike and all kept until they were weighed.
pub fn weigh<T>(count: usize, make: impl Fn() -> T) -> usize {
    let before = resident();
    let all: Vec<T> = (0..count).map(|_| make()).collect();
    let grown = resident().saturating_sub(before);
    // Not given back: the next weighing would be served from it.
    std::mem::forget(all);
    grown / count.max(1)
}

/// One line of a table, and of the JSON.
#[derive(Clone, Debug)]
pub struct Row {
    pub what: String,
    pub size: Vec<(&'static str, usize)>,
    pub figures: Vec<(&'static str, f64)>,
}

impl Row {
    pub fn as_json(&self) -> jzon::JsonValue {
        let mut value = jzon::object! { "what": self.what.as_str() };
        for (name, size) in &self.size {
            value[*name] = (*size).into();
        }
        for (name, figure) in &self.figures {
            value[*name] = ((figure * 1000.0).round() / 1000.0).into();
        }
        value
    }
}

impl std::fmt::Display for Row {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{:22}", self.what)?;
        for (name, size) in &self.size {
            write!(out, " {name} {size}")?;
        }
        write!(out, ":")?;
        for (index, (name, figure)) in self.figures.iter().enumerate() {
            write!(out, "{} {figure:.3} {name}", if index > 0 { "," } else { "" })?;
        }
        Ok(())
    }
}
