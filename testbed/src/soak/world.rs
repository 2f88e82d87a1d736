//! The fleet of a soak while its script is played.

use super::clients::{self, Habit, Shared};
use super::operator::{FIRST_VERSION, Operator, Order, Outcome, versioned};
use super::record::{Arrival, Observed, ServerLife, Span, Told, Trouble, Usage, UsageOf};
use super::script::{Action, Daemon, LinkState, Manner, PlatformState, Size, Step};
use super::{Plan, invariants, usage};
use crate::harness::Fleet;
use crate::relay::Link;
use crate::stub::{self, ListedServer, ServerState, StubServer};
use crate::topology::Topology;
use rustix::process::Signal;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const APPS: [&str; 2] = ["ordering", "documents"];
/// Until the fleet first serves.
const START_BOUND: Duration = Duration::from_secs(40);
const CALM_BEFORE: Duration = Duration::from_millis(1500);
const CALM_AFTER: Duration = Duration::from_millis(2500);
/// Until what clients had in hand has ended.
const WIND_DOWN: Duration = Duration::from_secs(6);
const TICK: Duration = Duration::from_millis(20);
const WATCH_EVERY: Duration = Duration::from_millis(200);
/// What a server that ends had in hand may be lost for so long.
const SERVER_END: Duration = Duration::from_secs(1);

/// One life of a server.
struct Life {
    state: Arc<ServerState>,
    id: String,
    app: String,
    zone: (&'static str, &'static str),
    leaving_at: Option<Duration>,
}

pub struct World {
    fleet: Fleet,
    start: Instant,
    lives: Vec<Life>,
    /// The life that each server is in.
    current: Vec<usize>,
    spans: Vec<Span>,
    /// Spans that are not over, by what is wrong and where.
    open: Vec<(String, Trouble, Duration)>,
    /// Daemons that are to run again once they have ended.
    starting: Vec<usize>,
    signals: usize,
    /// How often the links towards each member were reset.
    resets: Vec<u64>,
    last_trouble_at: Duration,
}

impl World {
    /// A fleet that serves.
    pub async fn start(plan: &Plan) -> World {
        let fleet = Fleet::start_with_relays(topology(plan)).await;
        let revision = fleet.put_config(&versioned(&fleet.topology.config, FIRST_VERSION)).await;
        fleet.wait_until_active(revision, START_BOUND).await;
        let zones = fleet.topology.zones.clone();
        let mut lives = Vec::new();
        for (app, count) in &fleet.topology.servers {
            for index in 0..*count {
                let state = fleet.servers[lives.len()].state.clone();
                let zone = zones[index % zones.len()];
                let id = format!("{app}-{index}");
                lives.push(Life { state, id, app: app.to_string(), zone, leaving_at: None });
            }
        }
        let current = (0..lives.len()).collect();
        let resets = vec![0; fleet.daemons.len()];
        World {
            fleet,
            start: Instant::now(),
            lives,
            current,
            spans: Vec::new(),
            open: Vec::new(),
            starting: Vec::new(),
            signals: 0,
            resets,
            last_trouble_at: Duration::ZERO,
        }
    }

    pub fn size(&self) -> Size {
        Size {
            proxies: self.fleet.topology.proxies,
            cores: self.fleet.topology.stores,
            servers: self.lives.len(),
            zones: self.fleet.topology.zones.len(),
        }
    }

    /// Plays the script under traffic and gives what was seen.
    pub async fn play(&mut self, seed: u64, plan: &Plan, steps: &[Step]) -> Observed {
        self.start = Instant::now();
        let proxies = self.fleet.with_role("proxy");
        let addresses = proxies.iter().map(|index| self.fleet.daemons[*index].address).collect();
        let shared = Shared::new(self.start, addresses);
        let mut tasks = tokio::task::JoinSet::new();
        for number in 0..plan.clients {
            let seed = seed.wrapping_mul(1000) + number as u64;
            tasks.spawn(clients::run(shared.clone(), Habit::of(number), seed));
        }
        let outcome = Arc::new(Mutex::new(Outcome::default()));
        let operator = Arc::new(Operator::new(
            self.start,
            self.named("registry"),
            self.fleet.topology.config.clone(),
            outcome.clone(),
        ));
        let (orders, received) = tokio::sync::mpsc::unbounded_channel();
        let operating = tokio::spawn(operator.clone().run(received));
        let reading = tokio::spawn(operator.keep_reading());
        let told: Arc<Mutex<Vec<Told>>> = Arc::default();
        let watching = tokio::spawn(watch(self.start, self.named("proxy"), told.clone()));

        tokio::time::sleep(CALM_BEFORE).await;
        let before = self.usage();
        let begun_at = self.start.elapsed();
        for step in steps {
            while self.start.elapsed() < begun_at + step.at {
                self.start_ended();
                tokio::time::sleep(TICK).await;
            }
            self.act(&step.action, &orders).await;
        }
        self.heal(&orders).await;
        drop(orders);
        let _ = operating.await;
        let revision = outcome.lock().expect("no panic under this lock").revision;
        let calm_at = self.until_calm(revision).await;
        tokio::time::sleep(CALM_AFTER).await;
        shared.is_over.store(true, Ordering::Relaxed);
        let ended = async { while tasks.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(WIND_DOWN, ended).await;
        tasks.shutdown().await;
        reading.abort();
        watching.abort();
        let usage = self.usage_since(&before);
        let processes = self.fleet.daemons.len();

        let outcome = std::mem::take(&mut *outcome.lock().expect("no panic under this lock"));
        let requests = std::mem::take(&mut *shared.requests.lock().expect("no panic under it"));
        let told = std::mem::take(&mut *told.lock().expect("no panic under this lock"));
        Observed {
            requests,
            servers: self.server_lives(),
            runs: self.runs(),
            spans: std::mem::take(&mut self.spans),
            emptied: outcome.emptied,
            acknowledged: outcome.acknowledged,
            told,
            reads: outcome.reads,
            usage,
            calm_at,
            last_trouble_at: self.last_trouble_at,
            signals: self.signals,
            changes: outcome.changes,
            processes,
        }
    }

    /// The logs of all daemons on one timeline: they begin with the time of day.
    pub fn timeline(&self) -> String {
        let mut lines: Vec<String> = Vec::new();
        for member in &self.fleet.daemons {
            let path = self.fleet.folder.join(format!("{}.log", member.name));
            let text = std::fs::read_to_string(path).unwrap_or_default();
            for line in text.lines() {
                let (at, rest) = line.split_once(' ').unwrap_or((line, ""));
                lines.push(format!("{at} {:12} {rest}", member.name));
            }
        }
        lines.sort();
        lines.join("\n")
    }

    fn named(&self, role: &str) -> Vec<(String, std::net::SocketAddr)> {
        let of = self.fleet.with_role(role).into_iter().map(|index| &self.fleet.daemons[index]);
        of.map(|member| (member.name.clone(), member.address)).collect()
    }

    fn index(&self, daemon: Daemon) -> usize {
        let (role, place) = match daemon {
            Daemon::Proxy(place) => ("proxy", place),
            Daemon::Registry(place) => ("registry", place),
            Daemon::Store(place) => ("store", place),
        };
        let of = self.fleet.with_role(role);
        of[place % of.len()]
    }

    // ---- troubles ------------------------------------------------------------------------------

    fn open(&mut self, key: String, what: Trouble) {
        let now = self.start.elapsed();
        self.last_trouble_at = now;
        self.open.push((key, what, now));
    }

    fn close(&mut self, key: &str) {
        let now = self.start.elapsed();
        self.last_trouble_at = now;
        let (ended, open) = self.open.drain(..).partition(|one| one.0 == key);
        self.open = open;
        let ended: Vec<(String, Trouble, Duration)> = ended;
        self.spans.extend(ended.into_iter().map(|(_, what, from)| Span { what, from, to: now }));
    }

    fn trouble_of(daemon: Daemon) -> Trouble {
        match daemon {
            Daemon::Proxy(place) => Trouble::Proxy(place),
            Daemon::Registry(_) | Daemon::Store(_) => Trouble::Core,
        }
    }

    async fn act(&mut self, action: &Action, orders: &Orders) {
        match action {
            Action::Terminate(daemon) => {
                if !matches!(daemon, Daemon::Proxy(_)) {
                    self.open(format!("down {daemon:?}"), Trouble::Core);
                }
                self.signal(*daemon, Signal::TERM);
            }
            Action::TerminateAgain(daemon) => self.signal(*daemon, Signal::TERM),
            Action::Kill(daemon) => {
                self.open(format!("down {daemon:?}"), Self::trouble_of(*daemon));
                let index = self.index(*daemon);
                self.starting.retain(|one| *one != index);
                self.signals += 1;
                self.fleet.kill(index);
            }
            Action::Start(daemon) => {
                self.starting.push(self.index(*daemon));
                self.start_ended();
                self.close(&format!("down {daemon:?}"));
            }
            Action::Freeze(daemon) => {
                self.open(format!("still {daemon:?}"), Self::trouble_of(*daemon));
                self.signal(*daemon, Signal::STOP);
            }
            Action::Wake(daemon) => {
                self.signal(*daemon, Signal::CONT);
                self.close(&format!("still {daemon:?}"));
            }
            Action::HangUp(daemon) => self.signal(*daemon, Signal::HUP),
            Action::Link(daemon, state) => self.link(*daemon, *state),
            Action::Leave(server) => self.leave(*server),
            Action::End(server) => self.end(*server),
            Action::Reuse { server, is_other_service } => {
                self.reuse(*server, *is_other_service).await;
            }
            Action::Crash(server) => {
                self.open(format!("crash {server}"), Trouble::Server);
                self.fleet.servers[*server].stop();
            }
            Action::Restart(server) => {
                self.fleet.restart_server(*server).await;
                self.close(&format!("crash {server}"));
            }
            Action::Behave(server, manner) => self.behave(*server, *manner),
            Action::Configure => self.order(orders, Order::Configure),
            Action::Empty(zone) => self.order(orders, Order::Empty(self.zone(*zone))),
            Action::Return(zone) => self.order(orders, Order::Return(self.zone(*zone))),
            Action::Platform(state) => self.platform(*state),
        }
    }

    fn zone(&self, zone: usize) -> String {
        let zones = &self.fleet.topology.zones;
        zones[zone % zones.len()].0.to_string()
    }

    fn order(&mut self, orders: &Orders, order: Order) {
        let _ = orders.send(order);
    }

    fn signal(&mut self, daemon: Daemon, signal: Signal) {
        self.signals += 1;
        self.fleet.signal(self.index(daemon), signal);
    }

    /// Starts those that are to run again and have ended.
    fn start_ended(&mut self) {
        let mut left = Vec::new();
        for index in std::mem::take(&mut self.starting) {
            if self.fleet.is_running(index) {
                left.push(index);
            } else {
                self.fleet.start_daemon(index);
            }
        }
        self.starting = left;
    }

    fn link(&mut self, daemon: Daemon, state: LinkState) {
        let key = format!("link {daemon:?}");
        let index = self.index(daemon);
        let what = match daemon {
            Daemon::Proxy(place) => Trouble::ProxyLink(place),
            Daemon::Registry(_) | Daemon::Store(_) => Trouble::Core,
        };
        let link = match state {
            LinkState::Whole => Link::default(),
            LinkState::Cut => Link { is_partitioned: true, ..Link::default() },
            LinkState::Mute => Link { is_outbound_blocked: true, ..Link::default() },
            LinkState::Slow => Link { delay: Duration::from_millis(80), ..Link::default() },
            LinkState::Reset => {
                self.resets[index] += 1;
                Link::default()
            }
        };
        if state == LinkState::Whole {
            self.close(&key);
        } else {
            self.open(key, what);
        }
        self.fleet.set_links(index, Link { resets: self.resets[index], ..link });
    }

    fn platform(&mut self, state: PlatformState) {
        let instead = match state {
            PlatformState::Good => None,
            PlatformState::Malformed => Some("<html>503</html>".to_string()),
            PlatformState::Empty => Some(r#"{"revision": 9999999, "servers": []}"#.to_string()),
        };
        if state == PlatformState::Good {
            self.close("platform");
        } else {
            self.open("platform".to_string(), Trouble::Platform);
        }
        self.fleet.platform.override_response(instead);
    }

    // ---- servers -------------------------------------------------------------------------------

    fn leave(&mut self, server: usize) {
        let now = self.start.elapsed();
        let life = &mut self.lives[self.current[server]];
        life.leaving_at = Some(now);
        let id = life.id.clone();
        self.fleet.platform.update_list(|list| {
            list.iter_mut().filter(|one| one.id == id).for_each(|one| one.draining = true);
        });
    }

    fn end(&mut self, server: usize) {
        let now = self.start.elapsed();
        self.last_trouble_at = now;
        self.spans.push(Span { what: Trouble::Server, from: now, to: now + SERVER_END });
        let id = self.lives[self.current[server]].id.clone();
        self.fleet.servers[server].stop();
        self.fleet.platform.update_list(|list| list.retain(|one| one.id != id));
    }

    async fn reuse(&mut self, server: usize, is_other_service: bool) {
        let old = &self.lives[self.current[server]];
        let place = APPS.iter().position(|app| *app == old.app).unwrap_or_default();
        let app = APPS[(place + usize::from(is_other_service)) % APPS.len()].to_string();
        let id = format!("{app}-{server}-again");
        let (zone, address) = (old.zone, self.fleet.servers[server].address);
        let new = loop {
            match StubServer::start(&id, address).await {
                Ok(new) => break new,
                Err(_) => tokio::time::sleep(TICK).await,
            }
        };
        let listed = ListedServer {
            id: id.clone(),
            address,
            region: zone.1.to_string(),
            zone: zone.0.to_string(),
            labels: vec![("app".to_string(), app.clone())],
            draining: false,
        };
        self.lives.push(Life { state: new.state.clone(), id, app, zone, leaving_at: None });
        self.current[server] = self.lives.len() - 1;
        self.fleet.servers[server] = new;
        self.fleet.platform.update_list(|list| list.push(listed));
    }

    fn behave(&mut self, server: usize, manner: Manner) {
        let key = format!("manner {server}");
        if manner == Manner::Good {
            self.close(&key);
        } else {
            self.open(key, Trouble::Server);
        }
        self.fleet.servers[server].set_behavior(match manner {
            Manner::Good => stub::Behavior::Normal,
            Manner::Stuck => stub::Behavior::Stalled,
            Manner::RunAndLose => stub::Behavior::DisconnectAfterExecution,
            Manner::Truncate => stub::Behavior::TruncatedResponse,
            Manner::Busy => stub::Behavior::Overloaded,
            Manner::Surplus => stub::Behavior::ExtraResponse,
        });
    }

    fn server_lives(&self) -> Vec<ServerLife> {
        let start = self.start;
        let life = |life: &Life| {
            let arrivals = life.state.arrivals.lock().expect("no panic under this lock");
            let arrivals = arrivals.iter().map(|one| Arrival {
                at: one.at.saturating_duration_since(start),
                number: one.request_id.clone(),
                path: one.path.clone(),
            });
            ServerLife {
                id: life.id.clone(),
                app: life.app.clone(),
                zone: life.zone.0.to_string(),
                leaving_at: life.leaving_at,
                arrivals: arrivals.collect(),
            }
        };
        self.lives.iter().map(life).collect()
    }

    fn runs(&self) -> std::collections::HashMap<String, u32> {
        let mut all = std::collections::HashMap::new();
        for life in &self.lives {
            for (number, count) in life.state.runs.lock().expect("no panic under it").iter() {
                *all.entry(number.clone()).or_default() += count;
            }
        }
        all
    }

    // ---- the calm ------------------------------------------------------------------------------

    /// Ends every trouble that is not over.
    async fn heal(&mut self, orders: &Orders) {
        for index in 0..self.fleet.daemons.len() {
            self.fleet.signal(index, Signal::CONT);
            // Whole, and no connection over it ends for that.
            self.fleet.set_links(index, Link { resets: self.resets[index], ..Link::default() });
        }
        self.platform(PlatformState::Good);
        let emptied: Vec<usize> = (0..self.fleet.topology.zones.len()).collect();
        for zone in emptied {
            self.order(orders, Order::Return(self.zone(zone)));
        }
        for server in 0..self.current.len() {
            self.fleet.servers[server].set_behavior(stub::Behavior::Normal);
            if self.open.iter().any(|one| one.0 == format!("crash {server}")) {
                self.fleet.restart_server(server).await;
            }
        }
        let open: Vec<String> = self.open.iter().map(|one| one.0.clone()).collect();
        open.iter().for_each(|key| self.close(key));
        self.last_trouble_at = self.start.elapsed();
    }

    /// Waits until everything runs, is ready and goes by what was acknowledged; when that was.
    async fn until_calm(&mut self, revision: u64) -> Option<Duration> {
        let began = Instant::now();
        let all: Vec<usize> = (0..self.fleet.daemons.len()).collect();
        while began.elapsed() < invariants::CALM_BOUND {
            // A daemon that was told to stop may take its grace for that.
            for index in &all {
                if !self.fleet.is_running(*index) {
                    self.fleet.start_daemon(*index);
                }
            }
            self.starting.clear();
            if self.is_calm(revision).await {
                return Some(self.start.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        None
    }

    async fn is_calm(&self, revision: u64) -> bool {
        for index in self.fleet.with_role("proxy") {
            let ready = self.fleet.page(index, "ready").await;
            let is_there = ready["ready"].as_bool() == Some(true)
                && ready["revision"].as_u64().is_some_and(|there| there >= revision);
            if !is_there {
                return false;
            }
        }
        true
    }

    fn usage(&self) -> Vec<(String, u32, Usage)> {
        let of = |member: &crate::harness::Daemon| {
            let pid = member.pid()?;
            Some((member.name.clone(), pid, usage::of(pid)?))
        };
        self.fleet.daemons.iter().filter_map(of).collect()
    }

    /// Of those that have run all the time.
    fn usage_since(&self, before: &[(String, u32, Usage)]) -> Vec<UsageOf> {
        let after = self.usage();
        let same = before.iter().filter_map(|(daemon, pid, before)| {
            let (.., after) = after.iter().find(|one| one.1 == *pid)?;
            Some(UsageOf { daemon: daemon.clone(), before: *before, after: *after })
        });
        same.collect()
    }
}

type Orders = tokio::sync::mpsc::UnboundedSender<Order>;

fn topology(plan: &Plan) -> Topology {
    let mut topology = crate::topology::raiocerto();
    topology.proxies = plan.proxies;
    let documents = plan.servers / 3;
    topology.servers = vec![(APPS[0], plan.servers - documents), (APPS[1], documents)];
    topology
}

/// Asks every proxy again and again which revision is in force there.
async fn watch(
    start: Instant,
    proxies: Vec<(String, std::net::SocketAddr)>,
    told: Arc<Mutex<Vec<Told>>>,
) {
    let mut tasks = tokio::task::JoinSet::new();
    for (daemon, address) in proxies {
        let told = told.clone();
        tasks.spawn(async move {
            loop {
                tokio::time::sleep(WATCH_EVERY).await;
                let asked_at = start.elapsed();
                let call = crate::http::call(address, "GET", "/vanepath/v1/ready", &[], b"");
                let limit = Duration::from_secs(1);
                let Ok(Some(reply)) = tokio::time::timeout(limit, call).await else { continue };
                let revision = reply.json()["revision"].as_u64().unwrap_or_default();
                let one = Told { daemon: daemon.clone(), asked_at, revision };
                told.lock().expect("no panic under this lock").push(one);
            }
        });
    }
    while tasks.join_next().await.is_some() {}
}
