//! Callers, proxies' requests and servers in the simulator. Decides nothing that the proxy's
//! cores decide: chart, classes, budget, servers.

mod callers;
mod proxies;
mod servers;

use super::breaks::{Break, Point};
use super::control::{Duty, Sim};
use super::net::{Body, CallId, HostId, Ill, Net, Purpose, Timer};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use vanepath_client::steering::{Steering, parse_response};
use vanepath_cluster::{gossip, wire};
use vanepath_config::ExecutionStatus;
use vanepath_config::model::Idempotency;
use vanepath_proxy::admission::{Admission as Entered, AdmissionControl, AdmissionSlot, Woken};
use vanepath_proxy::endpoints::{
    CurrentAttempt, Endpoints, IdleConnection, RoutingTable, Selection, SelectionContext,
};
use vanepath_proxy::health::{Failure, ServerPhase};
use vanepath_proxy::lifecycle::{
    AfterFailure, AttemptError, Rejection, RequestLifecycle, RequestState,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    Good,
    Silent,
    RunAndLose,
    Truncate,
}

pub struct Server {
    pub host: HostId,
    pub id: String,
    pub app: String,
    pub zone: String,
    pub region: String,
    pub manner: Manner,
    /// Part of its requests that go by its manner.
    pub part: f64,
    pub service: Duration,
    pub demand_milli: u32,
    /// Works on so many at one time, and what is more waits; 0: no bound, and demand is as set.
    pub workers: u32,
    working: u32,
    queue: std::collections::VecDeque<(CallId, usize)>,
    /// The part of its workers in use and wanted, smoothed over a second.
    load: f64,
    load_at: Duration,
    pub in_hand: u32,
    /// When it came back, and how long it had been away.
    pub back: Vec<(Duration, Duration, bool)>,
    lost_power: bool,
    was_watched: bool,
    pub down_at: Option<Duration>,
    /// Requests as they came: when, which, and the proxy's host.
    pub arrivals: Vec<(Duration, usize, HostId)>,
    pub runs: HashMap<usize, u32>,
    pub says_cold: bool,
}

struct Connection {
    server: usize,
    server_life: u32,
    /// When the proxy's side learns that it is closed.
    closed_at: Option<Duration>,
}

pub struct Caller {
    pub host: HostId,
    pub steering: Steering,
    pub name: String,
    pub zone: String,
    /// How many times its ordinary part of the traffic it sends.
    pub weight: f64,
    open: HashSet<(HostId, u32)>,
    pub receipts: Vec<(Duration, Duration, u64)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum What {
    Lookup,
    Filing,
    /// A filing that must stay in the north.
    BoundFiling,
    Bulk,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub what: What,
    pub caller: usize,
    pub started_at: Duration,
    pub ended_at: Option<Duration>,
    pub verdict: ExecutionStatus,
    pub status: u16,
    pub tries: u32,
    drops: u32,
    order: Vec<std::net::SocketAddr>,
    at: usize,
    may_have_run: bool,
    is_once: bool,
    connecting: bool,
    is_stale: bool,
    pub carriers: Vec<HostId>,
    /// Proxies' hosts that the caller asked.
    pub asked: Vec<HostId>,
    /// Servers' hosts that it was sent to.
    pub sent_to: Vec<HostId>,
    pub ran_at: Vec<usize>,
    pub why: String,
}

#[derive(Default)]
pub struct World {
    pub servers: Vec<Server>,
    pub server_by_host: HashMap<HostId, usize>,
    connections: HashMap<u64, Connection>,
    next_connection: u64,
    pub callers: Vec<Caller>,
    pub requests: Vec<Request>,
    pub directories: Vec<std::net::SocketAddr>,
    /// Requests a second of all callers together.
    pub rate: f64,
    pub mix: [u32; 4],
    /// The rate and the mix when no flood is on.
    pub calm_mix: Option<(f64, [u32; 4])>,
    pub paths: [&'static str; 4],
    pub took: Vec<Duration>,
    pub further_goes: Vec<Duration>,
    /// Requests as they came to proxies: when, and which.
    pub doors: Vec<(Duration, usize)>,
    pub goes: u64,
    pub goes_other_zone: u64,
    /// The most that a server was under, in parts of what it can do.
    pub worst_load: f64,
    pub probes: u64,
    pub stopped: bool,
    /// The longest TTL that any directory gave, in seconds.
    pub longest_receipt: f64,
    pub setup_text: String,
    pub operator_every: Duration,
    /// Daemons whose machines were replaced for good.
    pub retired: HashSet<usize>,
    /// When the platform marked a server as leaving, and in which revision of its list.
    pub leaves: Vec<(Duration, usize, u64)>,
    /// When a server's address passed to another service.
    pub passed: Vec<(Duration, usize)>,
    /// Polls of the directory: when, and whether a receipt came.
    pub polls: Vec<(Duration, bool)>,
    /// What the operator could read of each revision at the end of the day.
    pub history: Vec<(u64, Option<vanepath_store::protocol::Outcome>)>,
}

/// One request inside a proxy.
struct Way {
    call: CallId,
    request: usize,
    chart: RequestLifecycle,
    table: Arc<RoutingTable>,
    rule: usize,
    tried: Vec<usize>,
    received_at: Duration,
    deadline: Duration,
    held: Option<AdmissionSlot>,
    waits: Option<u64>,
    in_hand: Option<usize>,
    index: usize,
    connection: Option<(u64, Duration)>,
    work: Option<CallId>,
}

#[derive(Default)]
pub struct Proxy {
    pub servers: Endpoints<u64>,
    classes: AdmissionControl,
    budget: vanepath_proxy::retry_budget::RetryBudget,
    ways: HashMap<usize, Way>,
    waiting: HashMap<u64, usize>,
    next_way: usize,
    revision: Option<vanepath_proxy::endpoints::TableRevision>,
    telling: vanepath_proxy::endpoints::ObservationReporter,
    pulsed_at: Duration,
    pub closed: bool,
    plan: Option<(wire::PlanVersion, vanepath_proxy::endpoints::TableRevision)>,
    /// A server's phase changed: registries hear of it soon.
    moved: bool,
    paces: vanepath_proxy::endpoints::ProbeSchedule,
    request_counts: vanepath_proxy::request_rates::RequestRates,
}

const CALL_LIMIT: Duration = Duration::from_secs(20);

fn method(what: What) -> &'static str {
    match what {
        What::Lookup | What::Bulk => "GET",
        What::Filing | What::BoundFiling => "POST",
    }
}

impl Sim {
    pub fn add_server(&mut self, id: &str, app: &str, zone: &str, region: &str) -> usize {
        let host = self.net.add_host(id, zone, region);
        let service = Duration::from_millis(4 + self.net.random.draw() % 25);
        self.world.servers.push(Server {
            host,
            id: id.to_string(),
            app: app.to_string(),
            zone: zone.to_string(),
            region: region.to_string(),
            manner: Manner::Good,
            part: 0.0,
            service,
            demand_milli: 200,
            workers: 0,
            working: 0,
            queue: Default::default(),
            load: 0.0,
            load_at: Duration::ZERO,
            in_hand: 0,
            back: Vec::new(),
            lost_power: false,
            was_watched: false,
            down_at: None,
            arrivals: Vec::new(),
            runs: HashMap::new(),
            says_cold: false,
        });
        let index = self.world.servers.len() - 1;
        self.world.server_by_host.insert(host, index);
        self.net.hosts[host].up = true;
        self.net.hosts[host].life = 1;
        index
    }

    /// Whether any proxy is there and ready.
    pub(super) fn is_watched(&self) -> bool {
        (0..self.daemons.len()).any(|index| {
            let daemon = &self.daemons[index];
            daemon.card.role == wire::Role::Proxy && daemon.is_well && self.is_up(index)
        })
    }

    /// Ends a server's process; with `power`, its machine.
    pub fn stop_server(&mut self, index: usize, power: bool) {
        let host = self.world.servers[index].host;
        if power {
            self.net.hosts[host].powered = false;
        }
        self.net.stop(host);
        self.world.servers[index].down_at.get_or_insert(self.net.now);
        self.world.servers[index].was_watched = self.is_watched();
        self.world.servers[index].lost_power = power;
        self.world.servers[index].working = 0;
        self.world.servers[index].queue.clear();
        self.world.servers[index].in_hand = 0;
        let learned_at = self.net.now + Duration::from_millis(2);
        for connection in self.world.connections.values_mut() {
            if connection.server == index && !power {
                connection.closed_at.get_or_insert(learned_at);
            }
        }
        let id = self.world.servers[index].id.clone();
        self.note(|| format!("server {id} ends"));
    }

    /// From now on this part of its requests goes by this manner.
    pub fn behave(&mut self, index: usize, manner: Manner, part: f64) {
        let host = self.world.servers[index].host;
        if part > 0.0 {
            self.net.trouble(host, Ill::Misbehaves);
        } else {
            self.net.over(host, Ill::Misbehaves);
        }
        self.world.servers[index].manner = manner;
        self.world.servers[index].part = part;
    }

    pub fn start_server(&mut self, index: usize) {
        let host = self.world.servers[index].host;
        self.net.over(host, Ill::Down);
        self.net.hosts[host].powered = true;
        self.net.hosts[host].up = true;
        self.net.hosts[host].frozen = false;
        self.net.hosts[host].life += 1;
        let now = self.net.now;
        let is_watched = self.is_watched();
        let server = &mut self.world.servers[index];
        let away = now - server.down_at.take().unwrap_or(now);
        // A process that is gone is found out at the next probe; a silent machine takes two
        // probes that wait in vain.
        let lost = server.lost_power;
        let noticeable = Duration::from_millis(if lost { 5000 } else { 1500 });
        // Gone and back while no proxy watched: nobody was there who could know of it.
        let is_noticeable = away >= noticeable && (server.was_watched || is_watched);
        server.back.push((now, away, is_noticeable));
        let id = server.id.clone();
        self.note(|| format!("server {id} is back, cold"));
    }

    pub fn add_caller(&mut self, name: &str, zone: &str, region: &str) -> usize {
        // Outside all zones: only its own distance counts.
        let host = self.net.add_host(name, "", "");
        self.net.hosts[host].up = true;
        self.net.hosts[host].life = 1;
        let query = format!("/v1/steer?caller={name}&zone={zone}&region={region}");
        let spread = self.net.random.draw() % 1000;
        let steering = Steering::new(self.world.directories.clone(), query, spread);
        self.world.callers.push(Caller {
            host,
            steering,
            name: name.to_string(),
            zone: zone.to_string(),
            weight: 1.0,
            open: HashSet::new(),
            receipts: Vec::new(),
        });
        self.world.callers.len() - 1
    }

    pub fn start_caller(&mut self, caller: usize) {
        let host = self.world.callers[caller].host;
        let spread = Duration::from_millis(self.net.random.draw() % 1000);
        self.net.timer(host, spread, Timer::Poll(caller));
        self.net.timer(host, spread + Duration::from_secs(1), Timer::NextRequest(caller));
    }

    pub fn data_timer(&mut self, host: HostId, what: Timer) {
        match what {
            Timer::Poll(caller) => self.poll(caller),
            Timer::NextRequest(caller) => self.next_request(caller),
            Timer::Leave { request, target, call } if self.net.call(call).is_some() => {
                let caller = self.world.requests[request].caller;
                let (now, address) = (self.net.now, Net::address_of(target));
                if self.world.callers[caller].steering.is_suspect(now, &address) {
                    // It knocks first.
                    let is_there = self.net.hosts[target].powered && !self.net.is_cut(host, target);
                    let pause = match is_there {
                        true => 2 * self.net.delays.caller,
                        false => vanepath_client::client::CONNECT_TIMEOUT,
                    };
                    let what = Timer::Knocked { request, target, call, is_there };
                    self.net.timer(host, pause, what);
                } else {
                    self.net.timer(host, vanepath_client::client::SUSPICION_CHECK_INTERVAL, what);
                }
            }
            Timer::Knocked { request, target, call, is_there } if self.net.call(call).is_some() => {
                let caller = self.world.requests[request].caller;
                let (now, address) = (self.net.now, Net::address_of(target));
                if self.world.callers[caller].steering.may_abandon(now, &address, is_there) {
                    self.net.forget(call);
                    self.carried(request, target, None, false);
                } else {
                    let what = Timer::Leave { request, target, call };
                    self.net.timer(host, vanepath_client::client::SUSPICION_CHECK_INTERVAL, what);
                }
            }
            Timer::Stale { request, target } => self.carried(request, target, None, true),
            Timer::ServerDone { call, request } => self.server_done(host, call, request),
            Timer::WayReady(_)
            | Timer::WayChoose(_)
            | Timer::WayLate(_)
            | Timer::WaySoon(..)
            | Timer::Close => {
                if let Some(index) = self.by_host.get(&host).copied() {
                    self.way_timer(index, what);
                }
            }
            _ => {}
        }
    }
}
