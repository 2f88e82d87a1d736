//! Daemons in the simulator: news for all, the register of a store with its disk, a registry's
//! store calls and duty. Thin shells again, like those of the programs.

mod disk;
mod registries;
mod stores;

pub use disk::Disk;

use super::breaks::{Break, Point, Visit};
use super::net::{Body, CallId, Delays, Event, HostId, Net, Purpose, Timer};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::{gossip, wire};
use vanepath_registry::discovery::sequencer::{Effect as Reads, ListSequencer, READ_TIMEOUT};
use vanepath_registry::store_client::{NextAction, StoreRequest};
use vanepath_store::consensus::{self, Replica};
use vanepath_store::protocol::{Change, Outcome, Request, Response};
use vanepath_store::value::{Value, VersionId};

pub const PULSE: Duration = Duration::from_millis(50);

pub struct Store {
    pub identity: consensus::Identity,
    pub core: Replica,
    pub disk: Disk,
    inbox: VecDeque<consensus::Event>,
    pending: VecDeque<consensus::Effect>,
    busy: bool,
    /// A save failed, and the disk was not read anew since.
    disk_failed: bool,
    claims: vanepath_store::shell::StoreDirectory,
    keeper: vanepath_store::hints::HintWriter,
}

#[derive(Default)]
pub struct Registry {
    store_calls: HashMap<usize, (StoreRequest, CallId)>,
    next_store_call: usize,
    pub ready: bool,
    step_at: Duration,
    tenure: vanepath_registry::leader::LeadershipReadiness,
    polled_at: Option<Duration>,
    /// Reads lists of a platform that does not number them; a new one with each life.
    reader: Option<vanepath_registry::discovery::sequencer::ListSequencer>,
    pub state: Option<vanepath_registry::discovery::PollOutcome>,
}

pub enum Duty {
    Store(Box<Store>),
    Registry(Box<Registry>),
    Proxy(Box<super::data::Proxy>),
}

pub struct Daemon {
    pub host: HostId,
    pub card: wire::NodeInfo,
    pub news: gossip::Gossip,
    pub view: Arc<ClusterView>,
    pub duty: Duty,
    pub leaving: bool,
    pub seeds: Vec<std::net::SocketAddr>,
    pub notes: Vec<(Duration, String)>,
    /// The revision in force by time, over all lives: for the judge.
    pub revisions: Vec<(Duration, u32, u64)>,
    /// What it routed by, or offered, by time, life and revision, over all lives: for the judge.
    pub in_force: Vec<(Duration, u32, u64)>,
    pub is_well: bool,
    /// When its process was down, and until when.
    pub downs: Vec<(Duration, Option<Duration>)>,
}

/// One call of an operator, as the operator saw it.
#[derive(Clone, Debug)]
pub struct Operation {
    pub what: What,
    /// The registry that was asked.
    pub registry: usize,
    pub started_at: Duration,
    pub ended_at: Option<Duration>,
    /// `None`: no reply came.
    pub outcome: Option<Outcome>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    Change { key: String, change: Change },
    Read,
    History { revision: u64 },
}

impl What {
    /// A submission that nobody may take.
    pub fn is_invalid(&self) -> bool {
        matches!(self, What::Change { key, .. } if key.starts_with("invalid-"))
    }

    /// The version that its setup names.
    pub fn version(&self) -> Option<u64> {
        match self {
            What::Change { change: Change::ReplaceConfig { version, .. }, .. } => *version,
            _ => None,
        }
    }

    /// The evacuation that this is an order of; such a one goes without a key of its caller's.
    pub fn order(&self) -> Option<usize> {
        let What::Change { key, .. } = self else { return None };
        key.strip_prefix("order-")?.split('-').next()?.parse().ok()
    }
}

/// An evacuation of a zone by orders without a key: one to empty it and one to return it, each sent again
/// after a sending without a clear answer.
#[derive(Clone, Debug)]
pub struct Evacuation {
    pub zone: &'static str,
    /// When each order was first sent, and acknowledged.
    pub asked_at: [Option<Duration>; 2],
    pub acknowledged_at: [Option<Duration>; 2],
}

pub struct Sim {
    pub net: Net,
    pub daemons: Vec<Daemon>,
    /// Which daemon runs on a host.
    pub by_host: HashMap<HostId, usize>,
    pub operator: HostId,
    pub operations: Vec<Operation>,
    pub evacuations: Vec<Evacuation>,
    pub platform_host: HostId,
    /// The platform says what is no list, or an older one, now and then.
    pub platform_lies: bool,
    pub platform: Arc<vanepath_config::endpoint_list::EndpointList>,
    /// When each revision of the platform list came.
    pub platform_at: Vec<(Duration, u64)>,
    /// The platform does not tell the numbers of its lists.
    pub is_platform_plain: bool,
    /// Which of its lists each number stands for that a registry gave.
    pub lists_read: std::collections::HashMap<u64, u64>,
    /// So many hold the word.
    pub stores: usize,
    pub world: super::data::World,
    pub reach: super::reach::Reach,
    pub trace: Vec<String>,
    pub traces: bool,
    pub faults: Vec<String>,
    pub script: Vec<super::day::Act>,
    /// What is broken on purpose.
    pub breaks: Option<Break>,
    pub visit: Option<Visit>,
    first_word: Option<Arc<wire::CommittedConfig>>,
    passed: u32,
    /// Which daemon was killed at the planned point, and when.
    pub visited: Option<(usize, Duration)>,
}

impl Sim {
    pub fn new(seed: u64, delays: Delays) -> Sim {
        let mut net = Net::new(seed, delays);
        let operator = net.add_host("operator", "", "");
        let platform_host = net.add_host("platform", "", "");
        for host in [operator, platform_host] {
            net.hosts[host].up = true;
            net.hosts[host].life = 1;
        }
        Sim {
            net,
            daemons: Vec::new(),
            by_host: HashMap::new(),
            operator,
            operations: Vec::new(),
            evacuations: Vec::new(),
            platform_host,
            platform_lies: false,
            platform: Arc::default(),
            platform_at: Vec::new(),
            is_platform_plain: false,
            lists_read: std::collections::HashMap::new(),
            stores: 3,
            world: Default::default(),
            reach: Default::default(),
            trace: Vec::new(),
            traces: false,
            faults: Vec::new(),
            script: Vec::new(),
            breaks: None,
            visit: None,
            first_word: None,
            passed: 0,
            visited: None,
        }
    }

    pub fn has(&self, one: Break) -> bool {
        self.breaks == Some(one)
    }

    /// A daemon passes a point; true if it is killed there, and started again a second later.
    pub fn passes(&mut self, index: usize, point: Point) -> bool {
        let Some(visit) = self.visit else { return false };
        if visit.point != point || self.visited.is_some() || self.net.now < visit.from {
            return false;
        }
        self.passed += 1;
        if self.passed < visit.turn {
            return false;
        }
        self.visited = Some((index, self.net.now));
        self.crash(index, false);
        self.script.push(super::day::Act::Start(index));
        let number = self.script.len() - 1;
        self.net.at(self.net.now + Duration::from_secs(1), Event::Script(number));
        true
    }

    pub fn note(&mut self, text: impl FnOnce() -> String) {
        if self.traces {
            let line = format!("{:9.3} {}", self.net.now.as_secs_f64(), text());
            self.trace.push(line);
        }
    }

    /// A daemon on a machine of its own; `founders` for a store: of how many empty ones it begins a
    /// word.
    pub fn add_daemon(
        &mut self,
        role: wire::Role,
        name: &str,
        zone: &str,
        region: &str,
        founders: usize,
    ) -> usize {
        let host = self.net.add_host(name, zone, region);
        let address = Net::address_of(host);
        let card = wire::NodeInfo {
            name: name.to_string(),
            role,
            region: region.to_string(),
            zone: zone.to_string(),
            address,
            cluster_address: address,
        };
        let duty = match role {
            wire::Role::Store => {
                let mut disk = Disk::default();
                let found = disk.found(self.net.random.draw());
                let identity =
                    consensus::Identity { name: name.to_string(), bootstrap_size: founders };
                Duty::Store(Box::new(Store {
                    core: Replica::new(identity.clone(), found, Duration::ZERO),
                    identity,
                    disk,
                    inbox: VecDeque::new(),
                    pending: VecDeque::new(),
                    busy: false,
                    disk_failed: false,
                    claims: Default::default(),
                    keeper: Default::default(),
                }))
            }
            wire::Role::Registry => Duty::Registry(Box::default()),
            wire::Role::Proxy => Duty::Proxy(Box::default()),
        };
        let news = gossip::Gossip::new(card.clone(), Vec::new(), 0, Duration::ZERO);
        self.daemons.push(Daemon {
            host,
            card,
            news,
            view: Arc::default(),
            duty,
            leaving: false,
            seeds: Vec::new(),
            notes: Vec::new(),
            revisions: Vec::new(),
            in_force: Vec::new(),
            is_well: false,
            downs: Vec::new(),
        });
        let index = self.daemons.len() - 1;
        self.by_host.insert(host, index);
        index
    }

    pub fn start_daemon(&mut self, index: usize) {
        let host = self.daemons[index].host;
        self.net.hosts[host].powered = true;
        self.net.start(host);
        let now = self.net.local(host);
        let wall_ms = self.net.hosts[host].wall_ms + self.net.now.as_millis() as i64;
        let life = ((wall_ms.max(0) as u64) << 12) | (self.net.random.draw() & 0xfff);
        let random = self.net.random.draw();
        let daemon = &mut self.daemons[index];
        daemon.leaving = false;
        let mut hints = vanepath_store::hints::Hints::default();
        if let Some((_, up_at @ None)) = daemon.downs.last_mut() {
            *up_at = Some(self.net.now);
        }
        daemon.is_well = false;
        match &mut daemon.duty {
            Duty::Store(store) => {
                let found = store.disk.found(random);
                store.core = Replica::new(store.identity.clone(), found, now);
                store.inbox.clear();
                store.pending.clear();
                store.busy = false;
                store.disk_failed = false;
                hints = store.disk.hints.clone();
                store.keeper = vanepath_store::hints::HintWriter::new(hints.clone());
            }
            Duty::Registry(registry) => **registry = Registry::default(),
            Duty::Proxy(proxy) => **proxy = super::data::Proxy::default(),
        }
        let mut seeds = daemon.seeds.clone();
        seeds.extend(&hints.nodes);
        daemon.news = gossip::Gossip::new(daemon.card.clone(), seeds, life, now);
        daemon.news.step(now, gossip::Event::PlanReceived(Arc::new(hints.plan)));
        daemon.view = Arc::default();
        if self.breaks == Some(Break::NoFloor) {
            let address = daemon.card.cluster_address;
            daemon.news.step(now, gossip::Event::ReadIndexReceived { address, revision: Some(0) });
        }
        if self.breaks == Some(Break::StartsStale)
            && let Some(first) = &self.first_word
            && daemon.card.role == wire::Role::Proxy
        {
            daemon.news.committed = first.clone();
            daemon.view = Arc::new(ClusterView::from_gossip(&daemon.news, &daemon.view, now).0);
        }
        let name = daemon.card.name.clone();
        self.note(|| format!("{name} starts"));
        self.look();
    }

    /// Ends the process at once; with `power`, the machine too.
    pub fn crash(&mut self, index: usize, power: bool) {
        let host = self.daemons[index].host;
        if power {
            self.net.hosts[host].powered = false;
        }
        if self.net.hosts[host].up {
            self.net.stop(host);
        }
        let now = self.net.now;
        let daemon = &mut self.daemons[index];
        if daemon.downs.last().is_none_or(|(_, up_at)| up_at.is_some()) {
            daemon.downs.push((now, None));
        }
        if let Duty::Store(store) = &mut daemon.duty {
            // Of what was under way any first part may have lasted.
            let under_way = std::mem::take(&mut store.disk.under_way);
            let lasts = self.net.random.below(under_way.len() + 1);
            for write in under_way.into_iter().take(lasts) {
                store.disk.apply(write);
            }
            store.disk.unsynced.clear();
        }
        let name = self.daemons[index].card.name.clone();
        self.note(|| format!("{name} ends{}", if power { ", no power" } else { "" }));
    }

    /// The disk is lost with all that was on it. The store must be down.
    pub fn wipe(&mut self, index: usize) {
        if let Duty::Store(store) = &mut self.daemons[index].duty {
            let is_full = store.disk.is_full;
            store.disk = Disk { is_full, ..Disk::default() };
        }
        let name = self.daemons[index].card.name.clone();
        self.note(|| format!("{name} loses its disk"));
    }

    pub fn index(&self, name: &str) -> usize {
        self.daemons
            .iter()
            .position(|daemon| daemon.card.name == name)
            .unwrap_or_else(|| panic!("no daemon is named {name}"))
    }

    pub fn is_up(&self, index: usize) -> bool {
        let host = &self.net.hosts[self.daemons[index].host];
        host.up && host.powered && !host.frozen
    }

    // ---- events --------------------------------------------------------------------------------

    /// Runs until this time.
    pub fn run_until(&mut self, until: Duration) {
        self.net.at(until, Event::Script(usize::MAX));
        while let Some((event, call)) = self.net.next_event() {
            if let Event::Script(usize::MAX) = event {
                if self.net.now >= until {
                    return;
                }
                continue;
            }
            self.sample();
            self.happen(event, call);
        }
    }

    fn happen(&mut self, event: Event, call: Option<super::net::Call>) {
        match event {
            Event::Script(number) => super::day::act(self, number),
            Event::Pulse { host, life } => {
                self.net.at(self.net.now + PULSE, Event::Pulse { host, life });
                if let Some(index) = self.by_host.get(&host).copied() {
                    self.pulse(index);
                }
            }
            Event::DiskDone { host, .. } => {
                if let Some(index) = self.by_host.get(&host).copied() {
                    self.disk_done(index);
                }
            }
            Event::Timer { host, what, .. } => self.timer(host, what),
            Event::Arrive { call: number, body } => {
                let entry = call.expect("arrivals carry their call");
                self.arrive(entry.target, entry.asker, number, body);
            }
            Event::Reply { call: number, body } => {
                let entry = call.expect("replies carry their call");
                let body = if matches!(body, Body::Reset) { None } else { Some(body) };
                let is_reset = body.is_none();
                self.replied(entry.asker, entry.target, number, entry.purpose, body, is_reset);
            }
            Event::Expire { call: number } => {
                let entry = call.expect("expiries carry their call");
                self.replied(entry.asker, entry.target, number, entry.purpose, None, false);
            }
        }
    }

    fn timer(&mut self, host: HostId, what: Timer) {
        match what {
            Timer::StoreCall(store_call) => {
                if let Some(index) = self.by_host.get(&host).copied() {
                    self.step_store_call(index, store_call);
                }
            }
            Timer::NextOperation => super::day::operate(self),
            other => self.data_timer(host, other),
        }
    }

    fn arrive(&mut self, host: HostId, asker: HostId, call: CallId, body: Body) {
        if host == self.platform_host {
            if let Some(body) = self.platform_reply() {
                self.net.reply(call, body);
            }
            return;
        }
        let Some(index) = self.by_host.get(&host).copied() else {
            return self.arrive_at_server(host, asker, call, body);
        };
        match body {
            Body::Pull(mut pull) => {
                if self.has(Break::LateWord) && !self.net.now.as_secs().is_multiple_of(7) {
                    // As if it had what it lacks.
                    pull.config_revision = u64::MAX;
                }
                self.step_news(index, gossip::Event::PullReceived { ticket: call, request: pull });
            }
            Body::Ask(Request::ReadIndex) if self.daemons[index].card.role != wire::Role::Store => {
                self.net.reply(call, Body::Reset);
            }
            Body::Ask(ask) => {
                let event = consensus::Event::RequestReceived { ticket: call, request: ask };
                self.store_event(index, event);
            }
            Body::Operate(operation) => self.start_store_call(index, operation, call),
            Body::Steer(query) => self.steer(index, &query, call),
            Body::Carry(request) => self.start_way(index, request, call),
            _ => {}
        }
    }

    fn replied(
        &mut self,
        asker: HostId,
        target: HostId,
        call: CallId,
        purpose: Purpose,
        body: Option<Body>,
        is_reset: bool,
    ) {
        let index = self.by_host.get(&asker).copied();
        match (purpose, index) {
            (Purpose::Pull { address }, Some(index)) => {
                let news = match body {
                    Some(Body::News(news)) => Some(Box::new(news)),
                    _ => None,
                };
                self.step_news(index, gossip::Event::PullCompleted { address, response: news });
            }
            (Purpose::Store { call }, Some(index)) => {
                let tell = match body {
                    Some(Body::Tell(tell)) => Some(tell),
                    _ => None,
                };
                self.store_event(
                    index,
                    consensus::Event::ResponseReceived { call, response: tell },
                );
            }
            (Purpose::Floor { address }, Some(index)) => {
                let revision = match body {
                    Some(Body::Tell(Response::ReadIndex(revision))) => revision,
                    _ => None,
                };
                self.step_news(index, gossip::Event::ReadIndexReceived { address, revision });
            }
            (Purpose::StoreCall { store_call }, Some(index)) => {
                let tell = match body {
                    Some(Body::Tell(tell)) => Some(tell),
                    _ => None,
                };
                self.store_call_told(index, store_call, tell);
            }
            (Purpose::Platform, Some(index)) => {
                let list = match body {
                    Some(Body::PlatformText(text)) => return self.platform_text(index, &text),
                    Some(Body::Platform(list)) => Some(list),
                    _ => None,
                };
                self.platform_told(index, list);
            }
            (Purpose::Operate { operation }, _) => {
                let now = self.net.now;
                let number = operation;
                let operation = &mut self.operations[number];
                operation.ended_at = Some(now);
                operation.outcome = match body {
                    Some(Body::Operated(outcome)) => Some(outcome),
                    _ => None,
                };
                self.note_operation(number);
                super::day::order_told(self, number);
            }
            (Purpose::None, _) => {}
            (purpose, _) => self.data_replied(asker, target, call, purpose, body, is_reset),
        }
    }

    // ---- news ----------------------------------------------------------------------------------

    pub fn step_news(&mut self, index: usize, event: gossip::Event) {
        let host = self.daemons[index].host;
        let now = self.net.local(host);
        let effects = self.daemons[index].news.step(now, event);
        let mut changed = false;
        for effect in effects {
            match effect {
                gossip::Effect::Pull { address, request: pull } => {
                    let target = Net::host_at(address);
                    let limit = Duration::from_millis(u64::from(pull.wait_ms) + 1000);
                    let bytes = wire::encode(&pull).len() as u64 + 4;
                    self.count_bytes(host, target, bytes);
                    let purpose = Purpose::Pull { address };
                    self.net.ask(host, target, limit, Body::Pull(pull), purpose);
                }
                gossip::Effect::Respond { ticket, response: news } => {
                    if let Some(call) = self.net.call(ticket) {
                        let asker = call.asker;
                        let bytes = wire::encode(&news).len() as u64 + 4;
                        self.count_bytes(host, asker, bytes);
                    }
                    self.net.reply(ticket, Body::News(news));
                }
                gossip::Effect::RequestReadIndex { address } => {
                    let limit = vanepath_cluster::read_index::READ_INDEX_TIMEOUT;
                    let purpose = Purpose::Floor { address };
                    let body = Body::Ask(Request::ReadIndex);
                    self.net.ask(host, Net::host_at(address), limit, body, purpose);
                }
                gossip::Effect::ViewChanged => changed = true,
                gossip::Effect::Log(what) => {
                    let name = self.daemons[index].card.name.clone();
                    self.note(|| format!("{name}: {what}"));
                }
            }
        }
        let daemon = &mut self.daemons[index];
        if changed || !daemon.view.is_up_to_date(&daemon.news, now) {
            let (mut view, notes) = ClusterView::from_gossip(&daemon.news, &daemon.view, now);
            if self.first_word.is_none() && view.committed.revision > 0 {
                self.first_word = Some(view.committed.clone());
            }
            let is_blind = match self.breaks {
                Some(Break::IgnoresEmptied) => true,
                Some(Break::StillSteersThere) => daemon.card.role == wire::Role::Registry,
                _ => false,
            };
            if self.breaks == Some(Break::ForgetsBounds) {
                let mut open = (*view.config).clone();
                open.rules.iter_mut().for_each(|rule| rule.regions.clear());
                view.config = Arc::new(open);
            }
            if is_blind {
                let emptied = Default::default();
                view.committed = Arc::new(wire::CommittedConfig {
                    drained_zones: emptied,
                    ..(*view.committed).clone()
                });
            }
            daemon.view = Arc::new(view);
            let life = self.net.hosts[host].life;
            let revision = daemon.view.committed.revision;
            if daemon.revisions.last().is_none_or(|last| (last.1, last.2) != (life, revision)) {
                daemon.revisions.push((self.net.now, life, revision));
            }
            // A store routes nothing: what it tells others counts.
            let is_store = daemon.card.role == wire::Role::Store;
            let goes_by = daemon.view.read_index.is_some()
                && (is_store || daemon.view.is_fresh)
                && revision > 0;
            let is_new =
                daemon.in_force.last().is_none_or(|last| (last.1, last.2) != (life, revision));
            if goes_by && is_new {
                daemon.in_force.push((self.net.now, life, revision));
            }
            let name = daemon.card.name.clone();
            for note in notes {
                self.note(|| format!("{name}: {note}"));
            }
            self.adopt_view(index);
        }
    }

    fn count_bytes(&mut self, from: HostId, to: HostId, bytes: u64) {
        self.net.sibling_bytes += bytes;
        if self.net.hosts[from].zone != self.net.hosts[to].zone {
            self.net.sibling_bytes_other_zone += bytes;
        }
    }

    fn pulse(&mut self, index: usize) {
        if self.has(Break::SlipsBack) && self.net.now.as_millis() % 5000 < 50 {
            let word = &mut self.daemons[index].news.committed;
            if word.revision > 3 {
                *word = Arc::new(wire::CommittedConfig {
                    revision: word.revision - 2,
                    ..(**word).clone()
                });
                let host = self.daemons[index].host;
                let now = self.net.local(host);
                let daemon = &mut self.daemons[index];
                let (view, _) = ClusterView::from_gossip(&daemon.news, &daemon.view, now);
                daemon.view = Arc::new(view);
                let revision = daemon.view.committed.revision;
                daemon.revisions.push((self.net.now, self.net.hosts[host].life, revision));
            }
        }
        self.step_news(index, gossip::Event::Tick);
        match self.daemons[index].card.role {
            wire::Role::Store => self.pulse_store(index),
            wire::Role::Registry => self.pulse_registry(index),
            wire::Role::Proxy => self.pulse_proxy(index),
        }
    }

    /// An operator's call to a registry.
    pub fn operate(&mut self, what: What, registry: usize) -> usize {
        let started_at = self.net.now;
        self.operations.push(Operation {
            what,
            registry,
            started_at,
            ended_at: None,
            outcome: None,
        });
        let operation = self.operations.len() - 1;
        self.note_operation(operation);
        let target = self.daemons[registry].host;
        // Who sends an order again waits for a second.
        let is_order = self.operations[operation].what.order().is_some();
        let limit = Duration::from_secs(if is_order { 1 } else { 9 });
        let purpose = Purpose::Operate { operation };
        self.net.ask(self.operator, target, limit, Body::Operate(operation), purpose);
        operation
    }
}
