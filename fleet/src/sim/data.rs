//! Callers, proxies' requests and servers in the simulator. Decides nothing that the proxy's
//! cores decide: chart, classes, budget, servers.

use super::breaks::{Break, Point};
use super::control::{Duty, Sim};
use super::net::{Body, CallId, HostId, Ill, Net, Purpose, Timer};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use vanepath_caller::steering::{Steering, parse};
use vanepath_proxy::chart::{Chart, Miss, Next, Refusal, State};
use vanepath_proxy::classes::{Classes, Entry as Entered, Slot};
use vanepath_proxy::liveness::{Failure, Phase};
use vanepath_proxy::servers::{Choice, Idle, Servers, Table, Want};
use vanepath_setup::Verdict;
use vanepath_setup::model::Kind;
use vanepath_sibling::{news, wire};

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
    pub verdict: Verdict,
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
    pub history: Vec<(u64, Option<vanepath_store::talk::Outcome>)>,
}

/// One request inside a proxy.
struct Way {
    call: CallId,
    request: usize,
    chart: Chart,
    table: Arc<Table>,
    rule: usize,
    tried: Vec<usize>,
    received_at: Duration,
    deadline: Duration,
    held: Option<Slot>,
    waits: Option<u64>,
    in_hand: Option<usize>,
    index: usize,
    connection: Option<(u64, Duration)>,
    work: Option<CallId>,
}

#[derive(Default)]
pub struct Proxy {
    pub servers: Servers<u64>,
    classes: Classes,
    budget: vanepath_proxy::budget::Budget,
    ways: HashMap<usize, Way>,
    waiting: HashMap<u64, usize>,
    next_way: usize,
    revision: Option<(u64, u64)>,
    telling: vanepath_proxy::servers::Telling,
    pulsed_at: Duration,
    pub closed: bool,
    plan: Option<((u64, u64), (u64, u64))>,
    /// A server's phase changed: registries hear of it soon.
    moved: bool,
    paces: vanepath_proxy::servers::Paces,
    request_counts: vanepath_proxy::request_counts::RequestCounts,
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
    fn is_watched(&self) -> bool {
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
                if self.world.callers[caller].steering.is_doubted(now, &address) {
                    // It knocks first.
                    let is_there = self.net.hosts[target].powered && !self.net.is_cut(host, target);
                    let pause = match is_there {
                        true => 2 * self.net.delays.caller,
                        false => vanepath_caller::client::REACH_LIMIT,
                    };
                    let what = Timer::Knocked { request, target, call, is_there };
                    self.net.timer(host, pause, what);
                } else {
                    self.net.timer(host, vanepath_caller::client::TRY_LIMIT, what);
                }
            }
            Timer::Knocked { request, target, call, is_there } if self.net.call(call).is_some() => {
                let caller = self.world.requests[request].caller;
                let (now, address) = (self.net.now, Net::address_of(target));
                if self.world.callers[caller].steering.may_leave(now, &address, is_there) {
                    self.net.forget(call);
                    self.carried(request, target, None, false);
                } else {
                    let what = Timer::Leave { request, target, call };
                    self.net.timer(host, vanepath_caller::client::TRY_LIMIT, what);
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

    // ---- callers -------------------------------------------------------------------------------

    fn poll(&mut self, caller: usize) {
        let now = self.net.now;
        let own = &mut self.world.callers[caller];
        let host = own.host;
        if let Some((directory, uri)) = own.steering.start_poll(now) {
            let target = Net::host_at(directory);
            let limit = vanepath_caller::client::POLL_LIMIT;
            self.net.ask(host, target, limit, Body::Steer(uri), Purpose::Poll { caller });
        }
        let pause = self.world.callers[caller].steering.poll_at().saturating_sub(now);
        let pause = pause.clamp(Duration::from_millis(20), Duration::from_millis(200));
        self.net.timer(host, pause, Timer::Poll(caller));
    }

    fn next_request(&mut self, caller: usize) {
        if self.world.stopped {
            return;
        }
        let host = self.world.callers[caller].host;
        let weight = self.world.callers[caller].weight;
        let mean = self.world.callers.len() as f64 / self.world.rate / weight;
        let pause = -(1.0 - self.net.random.part()).ln() * mean;
        self.net.timer(host, Duration::from_secs_f64(pause), Timer::NextRequest(caller));
        if self.world.callers[caller].steering.receipt().is_none() {
            return;
        }
        let sum: u32 = self.world.mix.iter().sum();
        let mut turn = (self.net.random.draw() % u64::from(sum)) as u32;
        let mut what = What::Lookup;
        for (part, one) in
            self.world.mix.iter().zip([What::Lookup, What::Filing, What::BoundFiling, What::Bulk])
        {
            what = one;
            if turn < *part {
                break;
            }
            turn -= part;
        }
        let now = self.net.now;
        let path = self.world.paths[what as usize];
        let steering = &mut self.world.callers[caller].steering;
        let order = steering.order(now, method(what), "h", path);
        let is_once = steering.is_once(method(what), "h", path);
        self.world.requests.push(Request {
            what,
            caller,
            started_at: now,
            ended_at: None,
            verdict: Verdict::NotRun,
            status: 0,
            tries: 0,
            drops: 0,
            order,
            at: 0,
            may_have_run: false,
            is_once,
            connecting: false,
            is_stale: false,
            carriers: Vec::new(),
            asked: Vec::new(),
            sent_to: Vec::new(),
            ran_at: Vec::new(),
            why: String::new(),
        });
        let request = self.world.requests.len() - 1;
        self.go_on(request);
    }

    /// The next place of a request's order, as the caller library goes on.
    fn go_on(&mut self, number: usize) {
        let request = &mut self.world.requests[number];
        let most = vanepath_caller::client::TRIES_MOST;
        let Some(address) = request.order.get(request.at).copied().filter(|_| request.at < most)
        else {
            return self.end_request(number);
        };
        request.at += 1;
        if !self.world.callers[request.caller].steering.is_listed(&address) {
            return self.go_on(number);
        }
        request.tries += 1;
        let target = Net::host_at(address);
        let caller = request.caller;
        let host = self.world.callers[caller].host;
        let life = self.net.hosts[target].life;
        let now = self.net.now;
        let is_once = self.world.requests[number].is_once;
        let may_use_open = self.world.callers[caller].steering.may_use_open(now, &address, is_once);
        let open = &mut self.world.callers[caller].open;
        let is_open = may_use_open && open.contains(&(target, life));
        // One that its machine forgot when it lost power, of which nothing told this side: what is
        // written to it comes back as a reset.
        let silent_lives = &self.net.hosts[target].silent_lives;
        let stale = silent_lives.iter().map(|life| (target, *life)).find(|one| open.contains(one));
        let is_stale = may_use_open && !is_open && stale.is_some();
        if let Some(stale) = stale {
            open.remove(&stale);
        }
        let is_there = self.net.hosts[target].powered && !self.net.is_cut(host, target);
        let request = &mut self.world.requests[number];
        request.is_stale = is_stale;
        request.connecting = !is_open && !is_there && !is_stale;
        let is_last = request.at >= request.order.len().min(most);
        let limit = if request.connecting { Duration::from_secs(1) } else { CALL_LIMIT };
        let may_leave = !request.is_once && !is_last && !request.connecting;
        self.world.callers[caller].steering.sent(now, address);
        self.world.requests[number].asked.push(target);
        if is_stale && is_there {
            let delay = 2 * self.net.delays.caller;
            let what = Timer::Stale { request: number, target };
            self.net.timer(host, delay, what);
            return;
        }
        let purpose = Purpose::Carry { request: number };
        let call = self.net.ask(host, target, limit, Body::Carry(number), purpose);
        if may_leave {
            let what = Timer::Leave { request: number, target, call };
            self.net.timer(host, vanepath_caller::client::TRY_LIMIT, what);
        }
    }

    fn end_request(&mut self, number: usize) {
        let now = self.net.now;
        let request = &mut self.world.requests[number];
        request.ended_at = Some(now);
        if request.may_have_run && request.verdict == Verdict::NotRun {
            request.verdict = Verdict::MayHaveRun;
        }
    }

    fn carried(&mut self, number: usize, target: HostId, body: Option<Body>, is_reset: bool) {
        let now = self.net.now;
        let life = self.net.hosts[target].life;
        let request = &mut self.world.requests[number];
        let caller = &mut self.world.callers[request.caller];
        let address = Net::address_of(target);
        caller.steering.heard(now, address, body.is_some());
        match body {
            Some(Body::Carried { verdict, status, named }) => {
                caller.open.insert((target, life));
                request.verdict = verdict;
                request.status = status;
                request.may_have_run |= verdict != Verdict::NotRun;
                request.drops += u32::from(status == 503);
                let may_go_on = !(request.is_once && request.may_have_run)
                    && request.drops < vanepath_caller::client::DROPS_MOST
                    && self.breaks != Some(Break::LookupsGiveUp);
                if !may_go_on || !caller.steering.goes_on(now, status, verdict) {
                    return self.end_request(number);
                }
                if status == 421 {
                    caller.steering.misplaced(now, &mut request.order, request.at, &named);
                }
            }
            _ => {
                // A reset before anything was sent is a refused connection.
                let is_unsent = (request.connecting
                    || (is_reset && !caller.open.contains(&(target, life)))
                    || (is_reset && !self.net.hosts[target].up))
                    && !request.is_stale;
                caller.open.remove(&(target, life));
                // A caller cannot see into the proxy: once a byte went out it must assume that.
                let was_connected = !is_unsent || request.carriers.contains(&target);
                request.verdict = if was_connected { Verdict::MayHaveRun } else { Verdict::NotRun };
                request.may_have_run |= was_connected;
                request.status = 0;
                caller.steering.penalise(now, address);
                if request.is_once && request.may_have_run {
                    return self.end_request(number);
                }
            }
        }
        self.go_on(number);
    }

    pub fn data_replied(
        &mut self,
        asker: HostId,
        target: HostId,
        _call: CallId,
        purpose: Purpose,
        body: Option<Body>,
        is_reset: bool,
    ) {
        match purpose {
            Purpose::Poll { caller } => {
                let receipt = match body {
                    Some(Body::Receipt(text)) => {
                        // The judge goes by what the directory said, not by what is made of it.
                        let said = jzon::parse(&text).ok().and_then(|all| all["TTL"].as_f64());
                        if let Some(said) = said {
                            self.world.longest_receipt = self.world.longest_receipt.max(said);
                        }
                        parse(&text)
                    }
                    _ => None,
                };
                let now = self.net.now;
                self.world.polls.push((now, receipt.is_some()));
                let own = &mut self.world.callers[caller];
                if let Some(receipt) = &receipt {
                    own.receipts.push((now, receipt.ttl, receipt.revision));
                }
                own.steering.polled(now, receipt);
            }
            Purpose::Carry { request } => self.carried(request, target, body, is_reset),
            Purpose::Greet { way } => {
                if let Some(index) = self.by_host.get(&asker).copied() {
                    self.greeted(index, way, body, is_reset);
                }
            }
            Purpose::Probe { slot, index: entry } => {
                if let Some(index) = self.by_host.get(&asker).copied() {
                    self.probed(index, slot, entry, body, is_reset);
                }
            }
            Purpose::Work { way } => {
                if let Some(index) = self.by_host.get(&asker).copied() {
                    self.worked(index, way, body, is_reset);
                }
            }
            _ => {}
        }
    }

    // ---- servers -------------------------------------------------------------------------------

    pub fn arrive_at_server(&mut self, host: HostId, asker: HostId, call: CallId, body: Body) {
        let Some(index) = self.world.server_by_host.get(&host).copied() else { return };
        let life = self.net.hosts[host].life;
        self.gauge(index);
        match body {
            Body::Greet => {
                self.world.next_connection += 1;
                let connection = self.world.next_connection;
                let entry = Connection { server: index, server_life: life, closed_at: None };
                self.world.connections.insert(connection, entry);
                let server = &self.world.servers[index];
                if server.manner == Manner::Silent && server.part >= 1.0 {
                    return;
                }
                let reply = Body::Greeted {
                    server: server.id.clone(),
                    connection,
                    is_cold: server.says_cold,
                    demand_milli: server.demand_milli,
                };
                self.net.reply(call, reply);
            }
            Body::Work { request, connection, sent_at } => {
                let is_same = self
                    .world
                    .connections
                    .get(&connection)
                    .is_some_and(|one| one.server == index && one.server_life == life);
                if !is_same {
                    return self.net.reply(call, Body::Reset);
                }
                let now = self.net.now;
                let by_manner = self.net.random.part() < self.world.servers[index].part;
                let server = &mut self.world.servers[index];
                server.arrivals.push((now, request, asker));
                self.judge_arrival(index, request, asker, sent_at);
                let server = &mut self.world.servers[index];
                let manner = if by_manner { server.manner } else { Manner::Good };
                if manner == Manner::Silent {
                    return;
                }
                *server.runs.entry(request).or_default() += 1;
                server.in_hand += 1;
                self.world.requests[request].ran_at.push(index);
                if self.world.servers[index].workers > 0 {
                    self.gauge(index);
                    let server = &mut self.world.servers[index];
                    if server.working >= server.workers {
                        server.queue.push_back((call, request));
                        return;
                    }
                    server.working += 1;
                }
                self.serve(index, call, request);
            }
            _ => {}
        }
    }

    fn serve(&mut self, index: usize, call: CallId, request: usize) {
        let part = 0.5 + self.net.random.part();
        let server = &self.world.servers[index];
        let (host, service) = (server.host, server.service.mul_f64(part));
        self.net.timer(host, service, Timer::ServerDone { call, request });
    }

    /// A server with workers tells the demand that it is under.
    fn gauge(&mut self, index: usize) {
        let now = self.net.now;
        let server = &mut self.world.servers[index];
        if server.workers > 0 {
            let part = 1.0 - (-(now - server.load_at).as_secs_f64()).exp();
            let wanted = f64::from(server.working) + server.queue.len() as f64;
            server.load += part * (wanted / f64::from(server.workers) - server.load);
            self.world.worst_load = self.world.worst_load.max(server.load);
            server.load_at = now;
            server.demand_milli = (server.load * 1000.0).min(5000.0) as u32;
        }
    }

    fn server_done(&mut self, host: HostId, call: CallId, _request: usize) {
        let Some(index) = self.world.server_by_host.get(&host).copied() else { return };
        if self.world.servers[index].workers > 0 {
            self.gauge(index);
            let server = &mut self.world.servers[index];
            match server.queue.pop_front() {
                Some((call, request)) => self.serve(index, call, request),
                None => server.working = server.working.saturating_sub(1),
            }
        }
        let by_manner = self.net.random.part() < self.world.servers[index].part;
        let server = &mut self.world.servers[index];
        server.in_hand = server.in_hand.saturating_sub(1);
        let manner = if by_manner { server.manner } else { Manner::Good };
        let demand_milli = server.demand_milli;
        let body = match manner {
            Manner::RunAndLose => Body::Reset,
            manner => Body::Worked { demand_milli, is_truncated: manner == Manner::Truncate },
        };
        self.net.reply(call, body);
    }

    // ---- proxies -------------------------------------------------------------------------------

    /// News is in force at once: servers and classes as it wants them.
    pub fn adopt_view(&mut self, index: usize) {
        let now = self.net.local(self.daemons[index].host);
        let view = self.daemons[index].view.clone();
        let name = self.daemons[index].card.name.clone();
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let revision = vanepath_proxy::servers::revision_of(&view);
        if proxy.revision == Some(revision) {
            return;
        }
        let mut woken = Vec::new();
        if proxy.revision.is_none_or(|old| old.0 != revision.0) {
            proxy.classes.adopt(&view.setup);
            woken = proxy.classes.wake();
            proxy.request_counts.adopt(view.setup.services.iter().map(|one| one.name.as_str()));
        }
        proxy.revision = Some(revision);
        let cold = |server: &vanepath_setup::platform::Server, services: &[usize]| {
            vanepath_proxy::servers::cold_rate(&view, &name, server, services)
        };
        let mut list = (*view.platform).clone();
        if self.breaks == Some(Break::IgnoresLeaving) {
            list.servers.iter_mut().for_each(|server| server.leaving = false);
        }
        proxy.servers.adopt(now, revision, &view.setup, &list, cold);
        proxy.paces.renew();
        self.wake_ways(index, woken);
    }

    pub fn pulse_proxy(&mut self, index: usize) {
        self.adopt_view(index);
        let host = self.daemons[index].host;
        let now = self.net.local(host);
        let view = self.daemons[index].view.clone();
        let name = self.daemons[index].card.name.clone();
        let card = self.daemons[index].card.clone();
        let leaving = self.daemons[index].leaving;
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        proxy.pulsed_at = now;
        let revision = vanepath_proxy::servers::revision_of(&view);
        let table = proxy.servers.table.load_full();
        let blind_to: &[Phase] = match self.breaks {
            Some(Break::FloodsCold) => &[Phase::Cold, Phase::Ramping],
            // Who is not avoided is tried again and again.
            Some(Break::UnboundRetries) => &[Phase::Cold, Phase::Ramping, Phase::Suspect],
            _ => &[],
        };
        for entry in table.entries.iter().filter(|_| !blind_to.is_empty()) {
            proxy.servers.moved(entry.slot, |liveness| {
                liveness.forgive();
                if blind_to.contains(&liveness.phase) {
                    liveness.phase = Phase::Live;
                }
            });
        }
        let plan = (view.plan.epoch, view.plan.counter);
        if proxy.plan != Some((plan, revision)) {
            proxy.plan = Some((plan, revision));
            proxy.servers.hear_plan(now, &view.plan);
        }
        proxy.paces.pulse(now, &view, &card, &table);
        let pulsed = proxy.servers.pulse(now, &proxy.paces);
        self.world.probes += pulsed.probes.len() as u64;
        let is_fresh = view.is_fresh || self.breaks == Some(Break::StartsStale);
        let ready = proxy.servers.is_fit(now, is_fresh, revision) && !leaving;
        let mut detail = None;
        let is_news = pulsed.is_news || std::mem::take(&mut proxy.moved);
        if proxy.telling.is_due(now, is_news) {
            let counts = proxy.classes.counts();
            detail = Some(wire::Detail {
                sights: proxy.servers.sights(now),
                in_hand: counts.iter().map(|one| one.2 as u32).collect(),
                waiting: counts.iter().map(|one| one.3 as u32).collect(),
                taken: proxy.request_counts.tell(now),
            });
        }
        for entry in pulsed.probes {
            let address = table.entries[entry].server.address;
            let purpose = Purpose::Probe { slot: table.entries[entry].slot, index: entry };
            let limit = vanepath_proxy::pool::LIMIT;
            self.net.ask(host, Net::host_at(address), limit, Body::Greet, purpose);
        }
        for note in pulsed.notes {
            self.note(|| format!("{name}: {note}"));
        }
        self.daemons[index].is_well = ready;
        if ready {
            self.judge_service(index);
        }
        let report = wire::Report {
            ready,
            leaving,
            revision: view.word.revision,
            ..wire::Report::default()
        };
        self.step_news(index, news::Event::Report(report));
        if let Some(detail) = detail {
            self.step_news(index, news::Event::Detail(detail));
        }
        let Duty::Proxy(proxy) = &self.daemons[index].duty else { return };
        if proxy.closed && proxy.ways.is_empty() {
            self.crash(index, false);
        }
    }

    /// Asks a daemon to stop in the planned way.
    pub fn terminate(&mut self, index: usize) {
        self.daemons[index].leaving = true;
        let host = self.daemons[index].host;
        let linger = match self.daemons[index].card.role {
            wire::Role::Proxy => Duration::from_millis(3500),
            _ => Duration::from_millis(300),
        };
        self.net.timer(host, linger, Timer::Close);
    }

    fn probed(
        &mut self,
        index: usize,
        slot: usize,
        entry: usize,
        body: Option<Body>,
        is_reset: bool,
    ) {
        let now = self.net.local(self.daemons[index].host);
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        proxy.servers.with(slot, |quick| quick.probing = false);
        let table = proxy.servers.table.load_full();
        let Some(entry) = table.entries.get(entry).filter(|entry| entry.slot == slot) else {
            return;
        };
        let phase = match body {
            Some(Body::Greeted { server, connection, is_cold, demand_milli })
                if server == entry.server.id =>
            {
                proxy.servers.told(now, slot, demand_milli);
                if is_cold {
                    proxy.servers.moved(slot, |liveness| {
                        if liveness.phase == Phase::Live {
                            liveness.chill(now, Duration::ZERO);
                        }
                    });
                }
                let idle = Idle {
                    connection,
                    greeted_at: now,
                    quiet_since: now,
                    kept_for: vanepath_proxy::servers::IDLE_MOST,
                    is_used: false,
                };
                proxy.servers.put_idle(slot, idle);
                proxy.servers.good(now, slot)
            }
            Some(_) => proxy.servers.bad(now, slot, Failure::Refused),
            None if is_reset => proxy.servers.bad(now, slot, Failure::Refused),
            None => proxy.servers.bad(now, slot, Failure::Silent),
        };
        if let Some(phase) = phase {
            proxy.moved = true;
            let (name, id) = (self.daemons[index].card.name.clone(), entry.server.id.clone());
            self.note(|| format!("{name}: server {id} is {phase}"));
        }
    }

    pub(super) fn is_fit(&self, index: usize) -> bool {
        let now = self.net.local(self.daemons[index].host);
        let Duty::Proxy(proxy) = &self.daemons[index].duty else { return false };
        let view = &self.daemons[index].view;
        let is_fresh = view.is_fresh || self.has(Break::StartsStale);
        let revision = vanepath_proxy::servers::revision_of(view);
        now.saturating_sub(proxy.pulsed_at) < news::FREEZE
            && proxy.servers.is_fit(now, is_fresh, revision)
    }

    pub fn start_way(&mut self, index: usize, request: usize, call: CallId) {
        let host = self.daemons[index].host;
        let now = self.net.local(host);
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        if proxy.closed {
            return self.net.reply(call, Body::Reset);
        }
        self.world.requests[request].carriers.push(host);
        self.world.doors.push((self.net.now, request));
        proxy.next_way += 1;
        let way = proxy.next_way;
        let table = proxy.servers.table.load_full();
        proxy.ways.insert(
            way,
            Way {
                call,
                request,
                chart: Chart::new(),
                table,
                rule: 0,
                tried: Vec::new(),
                received_at: now,
                deadline: now + news::HOLD,
                held: None,
                waits: None,
                in_hand: None,
                index: 0,
                connection: None,
                work: None,
            },
        );
        self.way_ready(index, way);
    }

    fn way_timer(&mut self, index: usize, what: Timer) {
        match what {
            Timer::WayReady(way) => self.way_ready(index, way),
            Timer::WayChoose(way) => self.way_choose(index, way),
            Timer::WayLate(way) => self.way_late(index, way),
            Timer::WaySoon(way, go) => self.way_soon(index, way, go),
            Timer::Close => {
                if let Duty::Proxy(proxy) = &mut self.daemons[index].duty {
                    proxy.closed = true;
                    // For callers it is down from here on.
                    let host = self.daemons[index].host;
                    self.net.trouble(host, Ill::Down);
                } else {
                    self.crash(index, false);
                }
            }
            _ => {}
        }
    }

    fn way_ready(&mut self, index: usize, way: usize) {
        let host = self.daemons[index].host;
        let now = self.net.local(host);
        if !self.is_fit(index) {
            let Duty::Proxy(proxy) = &self.daemons[index].duty else { return };
            let Some(own) = proxy.ways.get(&way) else { return };
            if self.daemons[index].view.is_stuck {
                return self.end_way(index, way, Err(Refusal::BelowFloor));
            }
            if now.saturating_sub(own.received_at) >= news::HOLD {
                return self.end_way(index, way, Err(Refusal::NotReady));
            }
            return self.net.timer(host, Duration::from_millis(10), Timer::WayReady(way));
        }
        let region = self.daemons[index].card.region.clone();
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        own.table = proxy.servers.table.load_full();
        self.judge_service(index);
        self.judge_door(index);
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        let request = &self.world.requests[own.request];
        let (verb, path) = (method(request.what), self.world.paths[request.what as usize]);
        let setup = own.table.setup.clone();
        let rule = setup.rule_for(verb, "h", path);
        let Some(rule) = rule else {
            return self.end_way(index, way, Err(Refusal::Unmatched));
        };
        own.rule = rule;
        let facts = &setup.rules[rule];
        let class = &setup.classes[facts.class];
        own.chart.state = State::Matched;
        own.chart.kind = class.kind;
        own.chart.is_replayable = true;
        own.deadline = own.received_at + class.deadline;
        if !facts.allows(&region) {
            return self.end_way(index, way, Err(Refusal::Misplaced));
        }
        let is_spoilt = class.kind == Kind::Once && own.request.is_multiple_of(50);
        if self.breaks == Some(Break::RefusesFilings) && is_spoilt {
            return self.end_way(index, way, Err(Refusal::NoServer));
        }
        proxy.request_counts.took(facts.service);
        proxy.budget.took(now);
        self.world.took.push(self.net.now);
        own.chart.state = State::Queued;
        let late = own.deadline.saturating_sub(now);
        let class_index = proxy.classes.index(&class.name);
        let Some(class_index) = class_index else {
            return self.end_way(index, way, Err(Refusal::NotReady));
        };
        let entered = proxy.classes.enter(class_index, own.deadline);
        match entered {
            Entered::Taken(slot) => own.held = Some(slot),
            Entered::Dropped => return self.end_way(index, way, Err(Refusal::NoRoom)),
            Entered::Waits(number) => {
                own.waits = Some(number);
                proxy.waiting.insert(number, way);
            }
        }
        let is_in = own.held.is_some();
        self.net.timer(host, late, Timer::WayLate(way));
        if is_in {
            self.way_choose(index, way);
        }
    }

    fn wake_ways(&mut self, index: usize, woken: Vec<(u64, Slot)>) {
        for (number, slot) in woken {
            let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
            let Some(way) = proxy.waiting.remove(&number) else { continue };
            if let Some(own) = proxy.ways.get_mut(&way) {
                own.waits = None;
                own.held = Some(slot);
                self.way_choose(index, way);
            }
        }
    }

    fn way_choose(&mut self, index: usize, way: usize) {
        let host = self.daemons[index].host;
        let now = self.net.local(host);
        let (zone, region) = {
            let card = &self.daemons[index].card;
            (card.zone.clone(), card.region.clone())
        };
        let view = self.daemons[index].view.clone();
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        if now >= own.deadline {
            return self.end_way(index, way, Err(Refusal::Late));
        }
        own.chart.state = State::Choosing;
        let latest = proxy.servers.table.load_full();
        if !Arc::ptr_eq(&latest.setup, &own.table.setup) {
            let request = &self.world.requests[own.request];
            let (verb, path) = (method(request.what), self.world.paths[request.what as usize]);
            match latest.setup.rule_for(verb, "h", path) {
                Some(rule) => {
                    let is_within = latest.setup.rules[rule].allows(&region);
                    own.rule = rule;
                    own.table = latest.clone();
                    if !is_within {
                        return self.end_way(index, way, Err(Refusal::Misplaced));
                    }
                }
                None => return self.end_way(index, way, Err(Refusal::Unmatched)),
            }
        }
        own.table = latest;
        let want = Want {
            rule: own.rule,
            service: own.table.setup.rules[own.rule].service,
            emptied: &view.word.emptied,
            zone: &zone,
            region: &region,
            tried: &own.tried,
            looks: None,
            is_past_aim: false,
        };
        let choice = proxy.servers.choose(now, &own.table, &want, self.net.random.draw());
        let (entry, _service) = match choice {
            Choice::Server(entry, service) => (entry, service),
            Choice::Wait(until) if until < own.deadline => {
                let pause = until.saturating_sub(now).max(Duration::from_millis(1));
                let pause = pause.min(Duration::from_millis(50));
                return self.net.timer(host, pause, Timer::WayChoose(way));
            }
            Choice::Crowded => return self.end_way(index, way, Err(Refusal::Crowded)),
            _ => return self.end_way(index, way, Err(Refusal::NoServer)),
        };
        let slot = own.table.entries[entry].slot;
        let address = own.table.entries[entry].server.address;
        own.index = entry;
        own.tried.push(slot);
        own.in_hand = Some(slot);
        own.chart.goes += 1;
        own.chart.state = State::Connecting;
        self.world.goes += 1;
        if own.chart.goes > 1 {
            self.world.further_goes.push(self.net.now);
        }
        if own.table.entries[entry].server.zone != zone {
            self.world.goes_other_zone += 1;
        }
        let (connections, net_now) = (&self.world.connections, self.net.now);
        let fit = |idle: &Idle<u64>| {
            connections
                .get(&idle.connection)
                .is_some_and(|one| one.closed_at.is_none_or(|closed_at| closed_at > net_now))
        };
        let idle = proxy.servers.take_idle(now, slot, fit);
        if self.passes(index, Point::BeforeConnect) {
            return;
        }
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        let is_lately = |idle: &Idle<u64>| {
            own.chart.kind == Kind::Repeatable
                || now.saturating_sub(idle.greeted_at) <= Duration::from_secs(1)
        };
        match idle {
            Some(idle) if is_lately(&idle) => {
                own.connection = Some((idle.connection, idle.greeted_at));
                self.way_work(index, way);
            }
            _ => {
                let limit = vanepath_proxy::pool::LIMIT.min(own.deadline - now);
                let purpose = Purpose::Greet { way };
                self.net.ask(host, Net::host_at(address), limit, Body::Greet, purpose);
            }
        }
    }

    fn greeted(&mut self, index: usize, way: usize, body: Option<Body>, is_reset: bool) {
        let now = self.net.local(self.daemons[index].host);
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        let entry = &own.table.entries[own.index];
        match body {
            Some(Body::Greeted { server, connection, is_cold, .. })
                if server == entry.server.id =>
            {
                if is_cold {
                    proxy.servers.moved(entry.slot, |liveness| {
                        if liveness.phase == Phase::Live {
                            liveness.chill(now, Duration::ZERO);
                        }
                    });
                }
                own.chart.state = State::Greeted;
                own.connection = Some((connection, now));
                self.way_work(index, way);
            }
            other => {
                let failure =
                    if other.is_some() || is_reset { Failure::Refused } else { Failure::Silent };
                proxy.servers.bad(now, entry.slot, failure);
                self.missed(index, way, Miss::NotConnected);
            }
        }
    }

    fn way_work(&mut self, index: usize, way: usize) {
        let host = self.daemons[index].host;
        let now = self.net.local(host);
        let word = self.daemons[index].view.word.clone();
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        let entry = &own.table.entries[own.index];
        let Some((connection, _)) = own.connection else { return };
        if proxy.servers.is_withdrawn(&own.table, entry, &word.emptied) {
            return self.missed(index, way, Miss::Withdrawn);
        }
        let left = own.deadline.saturating_sub(now);
        own.chart.state = State::Sent;
        own.chart.sends += 1;
        own.chart.sent_at = now;
        proxy.servers.sent(now, entry.slot);
        let body = Body::Work { request: own.request, connection, sent_at: self.net.now };
        let target = Net::host_at(entry.server.address);
        if self.passes(index, Point::BeforeSend) {
            return;
        }
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        self.world.requests[own.request].sent_to.push(target);
        own.work = Some(self.net.ask(host, target, left, body, Purpose::Work { way }));
        if let Some(pause) = own.chart.leave_after(left) {
            let go = own.chart.goes;
            self.net.timer(host, pause, Timer::WaySoon(way, go));
        }
        self.passes(index, Point::AfterSend);
    }

    /// A third of the time left is gone without a reply: to another server, if there is one.
    fn way_soon(&mut self, index: usize, way: usize, go: u32) {
        let host = self.daemons[index].host;
        let now = self.net.local(host);
        let card = self.daemons[index].card.clone();
        let view = self.daemons[index].view.clone();
        let live = vanepath_proxy::servers::live_proxies(&view);
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        if own.chart.goes != go || own.chart.state != State::Sent {
            return;
        }
        let slot = own.table.entries[own.index].slot;
        let want = Want {
            rule: own.rule,
            service: own.table.setup.rules[own.rule].service,
            emptied: &view.word.emptied,
            zone: &card.zone,
            region: &card.region,
            tried: &own.tried,
            looks: None,
            is_past_aim: false,
        };
        let had = (slot, own.chart.sent_at);
        let budget = &mut proxy.budget;
        let may_go = |need| budget.may_go(now, live, need);
        if proxy.servers.leaves(now, &own.table, &want, had, may_go) {
            proxy.servers.worked(now, slot, Err(Miss::Silent));
            if let Some(call) = own.work.take() {
                self.net.forget(call);
            }
            self.missed(index, way, Miss::Silent);
        } else if let Some(pause) = own.chart.leave_after(own.deadline.saturating_sub(now)) {
            self.net.timer(host, pause, Timer::WaySoon(way, go));
        }
    }

    fn way_late(&mut self, index: usize, way: usize) {
        let Duty::Proxy(proxy) = &self.daemons[index].duty else { return };
        // What is with a server ends by its own limit.
        if proxy.ways.get(&way).is_some_and(|own| own.waits.is_some()) {
            self.end_way(index, way, Err(Refusal::Late));
        }
    }

    fn worked(&mut self, index: usize, way: usize, body: Option<Body>, is_reset: bool) {
        let now = self.net.local(self.daemons[index].host);
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        let slot = own.table.entries[own.index].slot;
        own.work = None;
        let outcome = match body {
            Some(Body::Worked { demand_milli, is_truncated: false }) => {
                proxy.servers.told(now, slot, demand_milli);
                Ok(())
            }
            Some(_) => Err(Miss::Truncated),
            None if is_reset => Err(Miss::LostAfterSend),
            None => Err(Miss::Silent),
        };
        proxy.servers.worked(now, slot, outcome);
        if let Err(miss) = outcome {
            return self.missed(index, way, miss);
        }
        if let Some((connection, greeted_at)) = own.connection.take() {
            let idle = Idle {
                connection,
                greeted_at,
                quiet_since: now,
                kept_for: vanepath_proxy::servers::IDLE_MOST,
                is_used: true,
            };
            proxy.servers.put_idle(slot, idle);
        }
        own.chart.state = State::Done;
        self.end_way(index, way, Ok(()));
    }

    fn missed(&mut self, index: usize, way: usize, miss: Miss) {
        let now = self.net.local(self.daemons[index].host);
        let live = vanepath_proxy::servers::live_proxies(&self.daemons[index].view);
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.get_mut(&way) else { return };
        if let Some(slot) = own.in_hand.take() {
            proxy.servers.release(slot);
        }
        own.connection = None;
        let is_late = now >= own.deadline;
        let slot = own.table.entries[own.index].slot;
        let need = proxy.servers.need_after(miss, slot, own.chart.sent_at);
        let budget = &mut proxy.budget;
        match self.breaks {
            Some(Break::FilingsGoAgain) => own.chart.kind = Kind::Repeatable,
            Some(Break::LookupsGiveUp) => own.chart.sends = own.chart.sends_most,
            _ => {}
        }
        let is_unbound = self.breaks == Some(Break::UnboundRetries);
        let next =
            own.chart.missed(miss, is_late, || is_unbound || budget.take_go(now, live, need));
        let request = own.request;
        match next {
            Next::Again => self.way_choose(index, way),
            Next::End(refusal) => {
                self.world.requests[request].why += &format!("{miss}; ");
                self.end_way(index, way, Err(refusal));
            }
        }
    }

    fn end_way(&mut self, index: usize, way: usize, end: Result<(), Refusal>) {
        let Duty::Proxy(proxy) = &mut self.daemons[index].duty else { return };
        let Some(own) = proxy.ways.remove(&way) else { return };
        if let Some(slot) = own.in_hand {
            proxy.servers.release(slot);
        }
        if let Some(number) = own.waits {
            proxy.classes.leave(number);
            proxy.waiting.remove(&number);
        }
        let woken = own.held.map(|slot| proxy.classes.release(slot)).unwrap_or_default();
        let is_spoilt = own.chart.kind == Kind::Once && own.request.is_multiple_of(50);
        let verdict = match self.breaks {
            Some(Break::LiesNotRun) if end.is_err() => Verdict::NotRun,
            Some(Break::DoubtsFilings) if is_spoilt => Verdict::MayHaveRun,
            _ => own.chart.verdict(),
        };
        let is_misplaced = end == Err(Refusal::Misplaced);
        let view = &self.daemons[index].view;
        let named: Vec<std::net::SocketAddr> = if is_misplaced {
            let rule = &own.table.setup.rules[own.rule];
            vanepath_proxy::servers::carriers(view, rule).map(|card| card.address).collect()
        } else {
            Vec::new()
        };
        let status = match end {
            Ok(()) => 200,
            Err(refusal) => {
                let why = &mut self.world.requests[own.request].why;
                *why += &format!("{refusal} at {}; ", self.daemons[index].card.name);
                refusal.status(verdict).as_u16()
            }
        };
        if self.passes(index, Point::BeforePassing) {
            return;
        }
        self.net.reply(own.call, Body::Carried { verdict, status, named });
        if self.passes(index, Point::AfterPassing) {
            return;
        }
        self.wake_ways(index, woken);
    }
}
