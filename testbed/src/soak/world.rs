//! The fleet of a soak test and the run of its script.

mod actions;
mod fault_log;
mod revision_watch;
mod servers;
mod stability;

use super::clients::{self, ProxyAddress, SharedState, UsagePattern};
use super::operator::{FIRST_VERSION, Habits, NamedAddress, Operator, Order, Outcome, versioned};
use super::record::{Observations, RevisionReading};
use super::script::{Size, Step};
use super::{Focus, LARGE_SEED_INTERVAL, Plan};
use crate::harness::Fleet;
use crate::sim::Random;
use crate::stub::ServerState;
use crate::topology::{Topology, raiocerto, raiocerto_with_zones};
use fault_log::FaultLog;
use revision_watch::watch;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// The services of the fleet, by the label `app` of their servers.
const APPS: [&str; 2] = ["ordering", "documents"];
/// The zones of a fleet whose shape depends on the seed, and their regions.
const ZONES: [&str; MAX_ZONES] = ["z-a", "z-b", "z-c", "z-d", "z-e", "z-f"];
const MAX_ZONES: usize = 6;
const REGIONS: [&str; 3] = ["north", "middle", "south"];
/// Keeps the draws of the shape apart from those of the script.
const SHAPE_SEED: u64 = 0x5a5a_0000;
/// Time-out for the start of the fleet.
const START_TIMEOUT: Duration = Duration::from_secs(40);
/// Traffic without faults before and after the script.
const STABLE_TIME_BEFORE: Duration = Duration::from_millis(1500);
const STABLE_TIME_AFTER: Duration = Duration::from_millis(2500);
/// Time-out for the requests in flight at the end.
const WIND_DOWN_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval of the checks for ended daemons that must be started again, and of the attempts to start a
/// server at the address of a removed one.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Sends orders to the operator.
type Orders = mpsc::UnboundedSender<Order>;

/// A server at one address, from its start to its end.
struct Incarnation {
    state: Arc<ServerState>,
    id: String,
    app: String,
    /// Zone and region.
    zone: (&'static str, &'static str),
    /// When the endpoint list showed it as draining.
    draining_since: Option<Duration>,
}

/// The fleet of a soak test, with a log of its faults.
pub struct World {
    fleet: Fleet,
    start: Instant,
    /// All incarnations of servers, past and present.
    incarnations: Vec<Incarnation>,
    /// Index into `incarnations` of the present incarnation of each server.
    current: Vec<usize>,
    faults: FaultLog,
    /// Daemons that are started again as soon as they have ended.
    to_restart: Vec<usize>,
    /// Number of signals sent to daemons.
    signals: usize,
    /// How often the links to each daemon were reset.
    resets: Vec<u64>,
    /// The core machine that scripts call the first one.
    first_core: usize,
}

impl World {
    /// Starts a fleet and waits until all proxies are ready.
    pub async fn start(seed: u64, plan: &Plan) -> World {
        let topology = match plan.focus {
            Focus::Mixed => topology(plan, raiocerto()),
            Focus::Evacuations => shape_of_seed(seed, plan),
        };
        let fleet = Fleet::start_with_relays(topology).await;
        let revision = fleet.put_config(&versioned(&fleet.topology.config, FIRST_VERSION)).await;
        fleet.wait_until_active(revision, START_TIMEOUT).await;
        let incarnations = first_incarnations(&fleet);
        let first_core = match plan.focus {
            Focus::Mixed => 0,
            Focus::Evacuations => machine_of_first_store(&fleet).await,
        };
        let start = Instant::now();
        World {
            start,
            current: (0..incarnations.len()).collect(),
            incarnations,
            faults: FaultLog::new(start),
            to_restart: Vec::new(),
            signals: 0,
            resets: vec![0; fleet.daemons.len()],
            first_core,
            fleet,
        }
    }

    /// The size of the fleet, for generating a script.
    pub fn size(&self) -> Size {
        Size {
            proxies: self.fleet.topology.proxies,
            cores: self.fleet.topology.stores,
            servers: self.incarnations.len(),
            zones: self.fleet.topology.zones.len(),
        }
    }

    /// Runs the script under traffic and returns what was observed.
    pub async fn run_script(&mut self, seed: u64, plan: &Plan, steps: &[Step]) -> Observations {
        self.start = Instant::now();
        self.faults = FaultLog::new(self.start);
        let proxies = self.proxy_addresses();
        let shared = SharedState::new(self.start, proxies);
        let mut clients = start_clients(&shared, seed, plan);
        let outcome = Arc::new(Mutex::new(Outcome::default()));
        let operator = Arc::new(Operator::new(
            self.start,
            self.addresses("registry"),
            self.fleet.topology.config.clone(),
            outcome.clone(),
            shared.newest_version.clone(),
            Habits::of_seed(seed, plan.focus),
        ));
        let (orders, received_orders) = mpsc::unbounded_channel();
        let operating = tokio::spawn(operator.clone().run(received_orders));
        let reading = tokio::spawn(operator.keep_reading());
        let proxy_revisions: Arc<Mutex<Vec<RevisionReading>>> = Arc::default();
        let watching =
            tokio::spawn(watch(self.start, self.addresses("proxy"), proxy_revisions.clone()));

        tokio::time::sleep(STABLE_TIME_BEFORE).await;
        let usage_before = self.usage();
        self.run_steps(steps, &orders).await;
        self.end_faults(&orders).await;
        drop(orders);
        let _ = operating.await;
        let revision = outcome.lock().expect("no panic under this lock").revision;
        let stable_at = self.wait_until_stable(revision).await;
        tokio::time::sleep(STABLE_TIME_AFTER).await;
        shared.is_over.store(true, Ordering::Relaxed);
        let ended = async { while clients.join_next().await.is_some() {} };
        // Requests that are still in flight after the time-out are not recorded.
        let _ = tokio::time::timeout(WIND_DOWN_TIMEOUT, ended).await;
        clients.shutdown().await;
        reading.abort();
        watching.abort();

        let usage = self.usage_at_rest(&usage_before).await;
        let outcome = std::mem::take(&mut *outcome.lock().expect("no panic under this lock"));
        let requests =
            std::mem::take(&mut *shared.requests.lock().expect("no panic under this lock"));
        let proxy_revisions =
            std::mem::take(&mut *proxy_revisions.lock().expect("no panic under this lock"));
        Observations {
            requests,
            servers: self.server_incarnations(),
            execution_counts: self.execution_counts(),
            aborted_requests: self.aborted_requests(),
            fault_intervals: self.faults.take_intervals(),
            drained_zones: outcome.drained_zones,
            zones_left_drained: outcome.zones_left_drained,
            acknowledged: outcome.acknowledged,
            proxy_revisions,
            config_reads: outcome.config_reads,
            usage,
            stable_at,
            last_fault_at: self.faults.last_change_at(),
            signals: self.signals,
            changes: outcome.changes,
            processes: self.fleet.daemons.len(),
        }
    }

    async fn run_steps(&mut self, steps: &[Step], orders: &Orders) {
        let start = self.start.elapsed();
        for step in steps {
            while self.start.elapsed() < start + step.at {
                self.start_ended_daemons();
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            self.perform(&step.action, orders).await;
        }
    }

    /// The logs of all daemons, merged by the time at the beginning of each line.
    pub fn timeline(&self) -> String {
        let mut lines: Vec<String> = Vec::new();
        for daemon in &self.fleet.daemons {
            let path = self.fleet.folder.join(format!("{}.log", daemon.name));
            let text = std::fs::read_to_string(path).unwrap_or_default();
            for line in text.lines() {
                let (at, rest) = line.split_once(' ').unwrap_or((line, ""));
                lines.push(format!("{at} {:12} {rest}", daemon.name));
            }
        }
        lines.sort();
        lines.join("\n")
    }

    fn proxy_addresses(&self) -> Vec<ProxyAddress> {
        let proxies = self.fleet.with_role("proxy").into_iter();
        let proxies = proxies.map(|index| &self.fleet.daemons[index]);
        proxies
            .map(|proxy| ProxyAddress { relayed: proxy.address, direct: proxy.listen_address() })
            .collect()
    }

    fn addresses(&self, role: &str) -> Vec<NamedAddress> {
        let daemons =
            self.fleet.with_role(role).into_iter().map(|index| &self.fleet.daemons[index]);
        daemons
            .map(|daemon| NamedAddress { name: daemon.name.clone(), address: daemon.address })
            .collect()
    }
}

/// A fleet of two to six zones in one to three regions, with one to three proxies in each zone, or as many as a large
/// plan has. Core machines are in the first zones.
fn shape_of_seed(seed: u64, plan: &Plan) -> Topology {
    let mut random = Random::new(seed ^ SHAPE_SEED);
    let count = 2 + random.below(MAX_ZONES - 1);
    let regions = 1 + random.below(count.min(REGIONS.len()));
    let zones = (0..count).map(|zone| (ZONES[zone], REGIONS[zone % regions])).collect();
    let proxies = count * (1 + random.below(3));
    let is_large = seed.is_multiple_of(LARGE_SEED_INTERVAL);
    let proxies = if is_large { plan.proxies } else { proxies };
    let servers = plan.servers.max(4 * count);
    topology(&Plan { proxies, servers, ..plan.clone() }, raiocerto_with_zones(zones))
}

/// The core machine whose store has the first slot of the member table: registries ask it first.
async fn machine_of_first_store(fleet: &Fleet) -> usize {
    for (machine, store) in fleet.with_role("store").into_iter().enumerate() {
        if fleet.page(store, "status").await["seat"].as_usize() == Some(0) {
            return machine;
        }
    }
    0
}

/// A deployment with the proxies and servers of a plan.
fn topology(plan: &Plan, mut topology: Topology) -> Topology {
    topology.proxies = plan.proxies;
    let documents = plan.servers / 3;
    topology.servers = vec![(APPS[0], plan.servers - documents), (APPS[1], documents)];
    topology
}

/// The incarnations of the servers with which a fleet starts.
fn first_incarnations(fleet: &Fleet) -> Vec<Incarnation> {
    let mut incarnations = Vec::new();
    for (app, count) in &fleet.topology.servers {
        for index in 0..*count {
            incarnations.push(Incarnation {
                state: fleet.servers[incarnations.len()].state.clone(),
                id: format!("{app}-{index}"),
                app: app.to_string(),
                zone: fleet.topology.zone(index),
                draining_since: None,
            });
        }
    }
    incarnations
}

fn start_clients(shared: &Arc<SharedState>, seed: u64, plan: &Plan) -> JoinSet<()> {
    let mut clients = JoinSet::new();
    for client in 0..plan.clients {
        let seed = seed.wrapping_mul(1000) + client as u64;
        clients.spawn(clients::run(shared.clone(), UsagePattern::for_client(client), seed));
    }
    clients
}
