//! Days in the simulator: a fleet of a deployment's size, its traffic and operators, and the
//! faults of the brief by seed.

mod act;
mod fault;
mod schedule;

pub use act::{Act, act, order_told};
pub use fault::{Fault, overlapping};

use super::control::{Duty, Evacuation, Sim, What as Operate};
use super::data::Manner;
use super::net::{Delays, Event, Timer};
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::wire::Role;
use vanepath_store::protocol::{Change, Outcome};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    Raiocerto,
    Guild,
}

#[derive(Clone)]
pub struct Plan {
    pub deployment: Deployment,
    pub faults: Vec<Fault>,
    /// Part of the deployment's rate of requests.
    pub rate: f64,
    pub operator_every: Duration,
    pub traces: bool,
    /// Core machines, with a store and a registry each; with five of them the faults of disks and of
    /// core machines come to two at one time.
    pub stores: usize,
    /// Stores beside them, with empty disks: whatever seat is lost goes to one of these.
    pub spares: usize,
    /// The faults run at one time, a little after each other, and not one after the other.
    pub overlap: bool,
    /// The platform does not number its lists: registries do (design 4).
    pub plain_lists: bool,
    /// What is broken on purpose.
    pub breaks: Option<super::breaks::Break>,
    /// Where a daemon is killed in the middle of what it does.
    pub visit: Option<super::breaks::Visit>,
}

impl Plan {
    pub fn new(deployment: Deployment, faults: &[Fault]) -> Plan {
        Plan {
            deployment,
            faults: faults.to_vec(),
            rate: 0.5,
            operator_every: Duration::from_millis(900),
            traces: false,
            stores: 3,
            spares: 0,
            overlap: false,
            plain_lists: false,
            breaks: None,
            visit: None,
        }
    }
}

/// When the fleet is up and faults begin, and how long each has.
pub const BEGIN: Duration = Duration::from_secs(12);
pub const SLOT: Duration = Duration::from_secs(22);
/// After the last fault is over.
pub const REST: Duration = Duration::from_secs(30);

pub fn shape_of(deployment: Deployment) -> crate::topology::Topology {
    match deployment {
        Deployment::Raiocerto => crate::topology::raiocerto(),
        Deployment::Guild => crate::topology::guild(),
    }
}

/// What a setup says that binds the bound filings to the middle.
pub const MOVED: &str = r#""regions": ["middle"]"#;
const BOUND: &str = r#""regions": ["north"]"#;

/// A setup that nobody may take, in one of several ways.
fn spoilt(setup: &str, way: usize) -> Vec<u8> {
    let text = match way % 8 {
        0 => setup.replacen("\"once\"", "\"twice\"", 1),
        1 => setup.replacen("\"urgency\": 1", "\"urgency\": 1, \"urgency\": 2", 1),
        2 => setup[..setup.len() / 2].to_string(),
        3 => setup.replacen("\"service\": ", "\"service\": \"nobody\", \"was\": ", 1),
        4 => format!("{setup}}}"),
        5 => setup.replacen("\"selector\": \"app = ", "\"selector\": \"app == ", 1),
        6 => setup.replacen("\"livenessPath\": \"/live\"", "\"livenessPath\": \"live\"", 1),
        _ => setup.replacen("\"deadlineMs\": 5000", "\"deadlineMs\": -5000", 1),
    };
    text.into_bytes()
}

/// A setup that nobody else sends: its tag stands in a place's label.
pub fn tagged(setup: &str, tag: usize) -> Vec<u8> {
    let from = r#"{"zone": "north-1", "region": "north"}"#;
    let to = format!(r#"{{"zone": "north-1", "region": "north", "labels": {{"tag": "t{tag}"}}}}"#);
    setup.replace(from, &to).into_bytes()
}

pub struct Run {
    pub sim: Sim,
    pub seed: u64,
    pub last_fault_over: Duration,
    pub end: Duration,
    pub faults: Vec<Fault>,
}

/// The fleet of a plan, its callers and its operators, as the day begins.
pub fn open(seed: u64, plan: &Plan) -> Sim {
    let shape = shape_of(plan.deployment);
    let delays = match plan.deployment {
        Deployment::Raiocerto => Delays {
            zone: Duration::from_millis(1),
            region: Duration::from_millis(55),
            caller: Duration::from_millis(8),
        },
        Deployment::Guild => Delays {
            zone: Duration::from_micros(1500),
            region: Duration::from_millis(12),
            caller: Duration::from_millis(1),
        },
    };
    let mut sim = Sim::new(seed, delays);
    sim.is_platform_plain = plan.plain_lists;
    sim.traces = plan.traces;
    sim.breaks = plan.breaks;
    sim.visit = plan.visit;
    sim.stores = plan.stores;
    sim.world.setup_text = shape.config.clone();
    if plan.faults.contains(&Fault::Downloads) {
        let text = &mut sim.world.setup_text;
        *text =
            text.replace("\"room\": 64", "\"room\": 16").replace("\"most\": 128", "\"most\": 16");
        *text =
            text.replacen("\"kind\": \"repeatable\"", "\"kind\": \"repeatable\", \"room\": 32", 1);
    }
    for (seat, (zone, region)) in shape.zones[..plan.stores].iter().enumerate() {
        sim.add_daemon(Role::Store, &format!("store-{seat}"), zone, region, plan.stores);
        sim.add_daemon(Role::Registry, &format!("registry-{seat}"), zone, region, 0);
    }
    for spare in 0..plan.spares {
        let (zone, region) = shape.zones[(plan.stores + spare) % shape.zones.len()];
        sim.add_daemon(Role::Store, &format!("spare-{spare}"), zone, region, 0);
    }
    for index in 0..shape.proxies {
        let (zone, region) = shape.zones[index % shape.zones.len()];
        sim.add_daemon(Role::Proxy, &format!("proxy-{index:02}"), zone, region, 0);
    }
    let seeds: Vec<std::net::SocketAddr> = sim
        .daemons
        .iter()
        .filter(|daemon| daemon.card.role == Role::Registry)
        .map(|daemon| daemon.card.cluster_address)
        .collect();
    sim.world.directories = seeds.clone();
    let seeds: Vec<std::net::SocketAddr> = seeds.into_iter().take(3).collect();
    for daemon in &mut sim.daemons {
        daemon.seeds = seeds.clone();
    }
    for (app, count) in &shape.servers {
        for index in 0..*count {
            let (zone, region) = shape.zones[index % shape.zones.len()];
            sim.add_server(&format!("{app}-{index}"), app, zone, region);
        }
    }
    publish(&mut sim, |_| {});
    sim.world.rate = shape.requests_per_second * plan.rate;
    if plan.faults.contains(&Fault::Surge) {
        // At the day's ordinary rate the servers are 45 % busy.
        let first = shape.servers[0];
        let per_second = sim.world.rate * 0.85 / f64::from(first.1 as u32);
        for server in sim.world.servers.iter_mut() {
            server.workers = 1;
            server.service = Duration::from_secs_f64(0.45 / per_second);
        }
    }
    match plan.deployment {
        Deployment::Raiocerto => {
            sim.world.mix = [60, 25, 0, 15];
            sim.world.paths = ["/stock", "/orders", "/orders", "/documents"];
        }
        Deployment::Guild => {
            sim.world.mix = [65, 15, 5, 15];
            sim.world.paths = ["/parcels", "/appeals", "/appeals/north", "/extracts"];
        }
    }
    // Shares move whole callers: a few would move in leaps.
    let callers = if plan.faults.contains(&Fault::Surge) { 20 } else { 3 };
    for (zone, region) in &shape.zones {
        for index in 0..callers {
            sim.add_caller(&format!("{zone}-c{index}"), zone, region);
        }
    }
    for index in 0..sim.daemons.len() {
        sim.start_daemon(index);
    }
    sim.run_until(Duration::from_secs(3));
    put(&mut sim, None);
    sim.run_until(Duration::from_secs(6));
    for caller in 0..sim.world.callers.len() {
        sim.start_caller(caller);
    }
    sim.world.operator_every = plan.operator_every;
    if plan.operator_every > Duration::ZERO {
        let operator = sim.operator;
        sim.net.timer(operator, plan.operator_every, Timer::NextOperation);
    }
    sim
}

/// One whole day from one seed.
pub fn run(seed: u64, plan: &Plan) -> Run {
    let mut sim = open(seed, plan);
    let mut over = BEGIN;
    for (index, fault) in plan.faults.iter().enumerate() {
        let start = if plan.overlap {
            BEGIN + Duration::from_millis(sim.net.random.draw() % 3000)
        } else {
            BEGIN + SLOT * index as u32
        };
        over = schedule::schedule(&mut sim, *fault, start).max(over);
    }
    sim.run_until(over);
    // The end of the day: whatever is still down or cut comes back.
    if plan.breaks != Some(super::breaks::Break::StaysDown) {
        calm(&mut sim);
    }
    let end = over + REST;
    sim.run_until(end - Duration::from_secs(6));
    sim.world.stopped = true;
    sim.run_until(end);
    // What the operator can read at the end: every revision.
    let last = read_all(&mut sim);
    sim.world.history = last;
    Run { sim, seed, last_fault_over: over, end, faults: plan.faults.clone() }
}

fn calm(sim: &mut Sim) {
    sim.net.heal();
    for index in 0..sim.daemons.len() {
        if sim.world.retired.contains(&index) {
            continue;
        }
        let host = sim.daemons[index].host;
        if sim.net.hosts[host].frozen {
            sim.net.wake(host);
        }
        let is_broken = match &mut sim.daemons[index].duty {
            Duty::Store(store) => std::mem::replace(&mut store.disk.is_full, false),
            _ => false,
        };
        if is_broken && sim.is_up(index) {
            sim.crash(index, false);
        }
        if !sim.net.hosts[host].up || !sim.net.hosts[host].powered {
            sim.start_daemon(index);
        }
    }
    for index in 0..sim.world.servers.len() {
        let host = sim.world.servers[index].host;
        sim.behave(index, Manner::Good, 0.0);
        if sim.net.hosts[host].frozen {
            sim.net.wake(host);
        }
        let is_gone = sim.world.servers[index].id.contains("gone");
        if !is_gone && (!sim.net.hosts[host].up || !sim.net.hosts[host].powered) {
            sim.start_server(index);
        }
    }
}

/// Asks for each revision in turn, at the end of the day.
fn read_all(sim: &mut Sim) -> Vec<(u64, Option<Outcome>)> {
    let registry = sim.index("registry-0");
    let registries: Vec<usize> = (0..sim.daemons.len())
        .filter(|index| sim.daemons[*index].card.role == Role::Registry && sim.is_up(*index))
        .collect();
    let registry = registries.first().copied().unwrap_or(registry);
    let ask = |sim: &mut Sim, what: Operate| {
        let operation = sim.operate(what, registry);
        for _ in 0..100 {
            let until = sim.net.now + Duration::from_millis(100);
            sim.run_until(until);
            if sim.operations[operation].ended_at.is_some() {
                break;
            }
        }
        sim.operations[operation].outcome.clone()
    };
    let latest = match ask(sim, Operate::Read) {
        Some(Outcome::Value { value }) => value.revision,
        other => return vec![(0, other)],
    };
    let mut all = Vec::new();
    for revision in 1..=latest {
        all.push((revision, ask(sim, Operate::History { revision })));
    }
    all
}

/// Changes the platform's list.
fn publish(sim: &mut Sim, change: impl FnOnce(&mut Vec<vanepath_config::endpoint_list::Server>)) {
    let mut list = (*sim.platform).clone();
    if list.revision == 0 {
        for server in &sim.world.servers {
            list.servers.push(vanepath_config::endpoint_list::Server {
                id: server.id.clone(),
                address: super::net::Net::address_of(server.host),
                region: server.region.clone(),
                zone: server.zone.clone(),
                labels: [("app".to_string(), server.app.clone())].into(),
                draining: false,
                warming_up: false,
                concurrency: 0,
            });
        }
    }
    change(&mut list.servers);
    list.revision += 1;
    sim.platform_at.push((sim.net.now, list.revision));
    sim.platform = Arc::new(list);
}

pub(super) fn put(sim: &mut Sim, if_revision: Option<u64>) -> usize {
    let tag = sim.operations.len();
    let bytes = tagged(&sim.world.setup_text.clone(), tag);
    let key = format!("key-{tag}");
    let change = Change::ReplaceConfig { bytes, if_revision, version: None };
    let registry = any_registry(sim);
    sim.operate(Operate::Change { key, change }, registry)
}

/// A registry that the operator would try: one that is up as far as anyone can see.
pub(super) fn any_registry(sim: &mut Sim) -> usize {
    let all: Vec<usize> = (0..sim.daemons.len())
        .filter(|index| sim.daemons[*index].card.role == Role::Registry)
        .filter(|index| !sim.world.retired.contains(index))
        .collect();
    let up: Vec<usize> = all.iter().copied().filter(|index| sim.is_up(*index)).collect();
    let from = if up.is_empty() { all } else { up };
    from[sim.net.random.below(from.len())]
}

/// What operators do of themselves all day.
pub fn operate(sim: &mut Sim) {
    if sim.world.stopped {
        return;
    }
    let pause = sim.world.operator_every.mul_f64(0.5 + sim.net.random.part());
    let operator = sim.operator;
    sim.net.timer(operator, pause, Timer::NextOperation);
    let turn = sim.net.random.below(100);
    let known: Vec<(u64, u64)> = sim
        .operations
        .iter()
        .filter_map(|operation| match operation.outcome {
            Some(Outcome::Accepted { revision, config_revision: setup_revision, .. }) => {
                Some((revision, setup_revision))
            }
            _ => None,
        })
        .collect();
    let registry = any_registry(sim);
    match turn {
        0..35 => {
            put(sim, None);
        }
        35..50 => {
            // Two at once, both meant to follow what this operator saw last.
            let last = known.iter().map(|one| one.1).max();
            put(sim, last);
            put(sim, last);
        }
        50..60 => {
            // The same submission again, under its key, at another registry.
            let earlier: Vec<usize> = (0..sim.operations.len())
                .filter(|index| matches!(sim.operations[*index].what, Operate::Change { .. }))
                .filter(|index| !sim.operations[*index].what.is_invalid())
                .filter(|index| sim.operations[*index].what.order().is_none())
                .collect();
            if let Some(index) = earlier.last().copied() {
                let what = sim.operations[index].what.clone();
                sim.operate(what, registry);
            }
        }
        60..85 => {
            sim.operate(Operate::Read, registry);
            // Now and then one submits what is no setup.
            if turn >= 79 {
                let way = sim.operations.len();
                let bytes = spoilt(&sim.world.setup_text.clone(), way);
                let key = format!("invalid-{way}");
                let change = Change::ReplaceConfig { bytes, if_revision: None, version: None };
                sim.operate(Operate::Change { key, change }, registry);
            }
        }
        _ => {
            if !known.is_empty() {
                let revision = known[sim.net.random.below(known.len())].0;
                sim.operate(Operate::History { revision }, registry);
            }
        }
    }
}

pub(super) fn at(sim: &mut Sim, when: Duration, act: Act) {
    sim.script.push(act);
    let number = sim.script.len() - 1;
    sim.net.at(when, Event::Script(number));
}

pub(super) fn of_role(sim: &Sim, role: Role) -> Vec<usize> {
    (0..sim.daemons.len())
        .filter(|index| sim.daemons[*index].card.role == role)
        .filter(|index| !sim.world.retired.contains(index))
        .collect()
}
