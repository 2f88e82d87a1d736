//! Registries that read a platform list without numbers, and proxies that hear of it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::gossip::{Effect, Event, Gossip};
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire;
use vanepath_config::endpoint_list::{EndpointList, Server};
use vanepath_registry::list_sequencer::{Effect as Reads, ListSequencer, READ_MOST};

/// What happens on a day.
pub struct Plan {
    pub seed: u64,
    pub registries: usize,
    pub proxies: usize,
    /// The part of pages that come late, and by how much at the most.
    pub slow_pages: f64,
    pub slow_most: Duration,
    /// While that lasts, what other registries send to the first one is lost, and not what it sends.
    pub one_way_cut: Option<std::ops::Range<Duration>>,
    pub length: Duration,
}

impl Plan {
    pub fn calm(seed: u64) -> Plan {
        Plan {
            seed,
            registries: 5,
            proxies: 6,
            slow_pages: 0.0,
            slow_most: Duration::from_millis(1800),
            one_way_cut: None,
            length: Duration::from_secs(40),
        }
    }
}

const TICK: Duration = Duration::from_millis(2);
const PULSE: Duration = Duration::from_millis(50);
const PAGES: usize = 6;
const SERVERS: usize = 36;
/// Until all daemons know each other and the first list.
const START: Duration = Duration::from_secs(6);

/// Pages that were read so far, and when the next one is there.
struct Read {
    /// The page that is on its way, as the platform showed it when it answered.
    servers: Vec<Server>,
    pages: usize,
    next_at: Duration,
    began_at: Duration,
}

struct Node {
    news: Gossip,
    view: ClusterView,
    way: Duration,
    reader: ListSequencer,
    read: Option<Read>,
    pulse_at: Duration,
    read_pulse_at: Duration,
    /// Servers that it has known as leaving.
    known_leaving: BTreeMap<String, Duration>,
    /// The list that was judged last.
    judged: Arc<EndpointList>,
}

enum Message {
    Asked { from: usize, pull: Box<wire::PullRequest> },
    Told { teller: usize, news: Box<wire::PullResponse> },
}

/// A pull that is out: when it is given up.
#[derive(Clone, Copy)]
struct Pulling {
    number: u64,
    until: Duration,
}

pub struct World {
    now: Duration,
    random: u64,
    nodes: Vec<Node>,
    /// What is under way, by arrival and number.
    messages: BTreeMap<(Duration, u64), (usize, Message)>,
    count: u64,
    /// Who waits under which ticket: the asker.
    tickets: BTreeMap<(usize, u64), usize>,
    pulling: BTreeMap<(usize, usize), Pulling>,
    /// Connections that are up, by who asks over them and whom.
    connected: BTreeSet<(usize, usize)>,
    registries: usize,
    cut: Option<std::ops::Range<Duration>>,
    /// The list as the platform shows it.
    shown: Vec<Server>,
    changed_at: Duration,
    leaving_since: BTreeMap<String, Duration>,
    faults: Vec<String>,
}

fn address_of(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 7720))
}

fn server(number: usize) -> Server {
    Server {
        id: format!("s-{number:04}"),
        address: SocketAddr::from(([10, 9, (number / 250) as u8, (number % 250) as u8], 80)),
        region: "a".into(),
        zone: "a1".into(),
        labels: Default::default(),
        draining: false,
        warming_up: false,
        concurrency: 2,
    }
}

impl World {
    /// Plays a day and gives what went wrong: marks that are known late, lists that go back, and daemons that
    /// do not end with the list as it is.
    pub fn play(plan: &Plan, bound: Duration) -> Vec<String> {
        let mut world = World::new(plan);
        let mut change_at = START;
        let mut number = SERVERS;
        while world.now < plan.length {
            world.now += TICK;
            // Changes in series, and a pause in which the last one has to be known.
            if world.now >= change_at && world.now + 3 * bound < plan.length {
                world.change(&mut number);
                let is_pause = world.part() < 0.15;
                let pause_ms = if is_pause { 4000.0 } else { 150.0 + 700.0 * world.part() };
                change_at = world.now + Duration::from_millis(pause_ms as u64);
            }
            world.deliver();
            world.give_up();
            for index in 0..world.nodes.len() {
                world.pulse(index);
                if index < plan.registries {
                    world.step_read(index, plan);
                }
            }
            world.judge(bound);
        }
        world.judge_end();
        world.faults
    }

    fn new(plan: &Plan) -> World {
        let seeds: Vec<SocketAddr> = (0..plan.registries.min(3)).map(address_of).collect();
        let mut world = World {
            now: Duration::ZERO,
            random: plan.seed,
            nodes: Vec::new(),
            messages: BTreeMap::new(),
            count: 0,
            tickets: BTreeMap::new(),
            pulling: BTreeMap::new(),
            connected: BTreeSet::new(),
            registries: plan.registries,
            cut: plan.one_way_cut.clone(),
            shown: (0..SERVERS).map(server).collect(),
            changed_at: Duration::ZERO,
            leaving_since: BTreeMap::new(),
            faults: Vec::new(),
        };
        for index in 0..plan.registries + plan.proxies {
            let is_registry = index < plan.registries;
            let place = index % 3;
            let card = wire::NodeInfo {
                name: format!("{}{index}", if is_registry { "r" } else { "p" }),
                role: if is_registry { wire::Role::Registry } else { wire::Role::Proxy },
                region: format!("region-{place}"),
                zone: format!("zone-{place}"),
                address: address_of(index),
                cluster_address: address_of(index),
            };
            let reader = ListSequencer::new(&card.name, (world.part() * u64::MAX as f64) as u64);
            let news =
                Gossip::new(card, seeds.clone(), plan.seed * 100 + index as u64, Duration::ZERO);
            let jitter = Duration::from_millis((world.part() * 250.0) as u64);
            world.nodes.push(Node {
                news,
                view: ClusterView::default(),
                way: Duration::from_millis([1, 6, 12][place]),
                reader,
                read: None,
                pulse_at: jitter,
                read_pulse_at: jitter,
                known_leaving: BTreeMap::new(),
                judged: Arc::default(),
            });
        }
        world
    }

    fn part(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        (mixed >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A server is marked as leaving, one that was is gone, or a new one comes.
    fn change(&mut self, number: &mut usize) {
        self.changed_at = self.now;
        let index = (self.part() * self.shown.len() as f64) as usize;
        match (self.part() * 3.0) as u32 {
            0 if self.shown.iter().any(|one| one.draining) => {
                self.shown.retain(|one| !one.draining)
            }
            1 => {
                self.shown.push(Server { warming_up: true, ..server(*number) });
                *number += 1;
            }
            _ => {
                self.shown[index].draining = true;
                self.leaving_since.entry(self.shown[index].id.clone()).or_insert(self.now);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let ((_, number), (to, message)) = entry.remove_entry();
            match message {
                Message::Asked { from, pull } => {
                    self.tickets.insert((to, number), from);
                    self.step(to, Event::PullReceived { ticket: number, request: *pull });
                }
                Message::Told { teller, news } => {
                    if self.pulling.remove(&(to, teller)).is_some() {
                        self.connected.insert((to, teller));
                        let address = address_of(teller);
                        self.step(to, Event::PullCompleted { address, response: Some(news) });
                    }
                }
            }
        }
    }

    /// Ends pulls that had no reply in their time, and their connections with them.
    fn give_up(&mut self) {
        let now = self.now;
        let late = self.pulling.iter().filter(|(_, pulling)| pulling.until <= now);
        let late: Vec<(usize, usize)> = late.map(|(pair, _)| *pair).collect();
        for (asker, teller) in late {
            self.pulling.remove(&(asker, teller));
            self.connected.remove(&(asker, teller));
            let address = address_of(teller);
            self.step(asker, Event::PullCompleted { address, response: None });
        }
    }

    /// Whether what one sends to the other comes.
    fn is_way(&self, from: usize, to: usize) -> bool {
        let is_cut = self.cut.as_ref().is_some_and(|cut| cut.contains(&self.now));
        !(is_cut && to == 0 && from < self.registries)
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.count += 1;
        if !self.is_way(from, to) {
            return;
        }
        let way = self.nodes[from].way + self.nodes[to].way;
        let jitter = Duration::from_micros((self.part() * 3000.0) as u64);
        self.messages.insert((self.now + way + jitter, self.count), (to, message));
    }

    fn pull(&mut self, from: usize, to: usize, pull: wire::PullRequest) {
        let wait = Duration::from_millis(u64::from(pull.wait_ms) + 1000);
        let number = self.count + 1;
        self.pulling.insert((from, to), Pulling { number, until: self.now + wait });
        // A new connection needs both ways.
        if self.connected.contains(&(from, to)) || self.is_way(to, from) {
            self.send(from, to, Message::Asked { from, pull: Box::new(pull) });
        }
    }

    fn step(&mut self, index: usize, event: Event) {
        let effects = self.nodes[index].news.step(self.now, event);
        for effect in effects {
            match effect {
                Effect::Pull { address, request: pull } => {
                    let to = (0..self.nodes.len()).find(|to| address_of(*to) == address);
                    let to = to.expect("an address of this world");
                    self.pull(index, to, pull);
                }
                Effect::Respond { ticket, response: news } => {
                    let asker = self.tickets.remove(&(index, ticket));
                    let is_awaited = |to: &usize| {
                        self.pulling.get(&(*to, index)).is_some_and(|one| one.number == ticket)
                    };
                    if let Some(to) = asker.filter(is_awaited) {
                        let news = Box::new(news);
                        self.send(index, to, Message::Told { teller: index, news });
                    }
                }
                Effect::ViewChanged => self.publish(index),
                Effect::RequestReadIndex { .. } | Effect::Log(_) => {}
            }
        }
    }

    fn publish(&mut self, index: usize) {
        let node = &self.nodes[index];
        let (view, _) = ClusterView::from_gossip(&node.news, &node.view, self.now);
        self.nodes[index].view = view;
    }

    fn pulse(&mut self, index: usize) {
        if self.now < self.nodes[index].pulse_at {
            return;
        }
        self.nodes[index].pulse_at = self.now + PULSE;
        self.step(index, Event::Tick);
        let node = &self.nodes[index];
        if !node.view.is_up_to_date(&node.news, self.now) {
            self.publish(index);
        }
    }

    /// What the registry's shell does (`platform::run`).
    fn step_read(&mut self, index: usize, plan: &Plan) {
        let now = self.now;
        if self.nodes[index].read.is_none() && now >= self.nodes[index].read_pulse_at {
            self.nodes[index].read_pulse_at = now + PULSE;
            let node = &mut self.nodes[index];
            if node.reader.pulse(now, &node.view) == Some(Reads::Read) {
                let next_at = self.page_at(index, plan);
                self.nodes[index].read =
                    Some(Read { servers: Vec::new(), pages: 0, next_at, began_at: now });
            }
        }
        let Some(read) = &self.nodes[index].read else { return };
        if now.saturating_sub(read.began_at) > READ_MOST {
            self.end_read(index, false);
            return;
        }
        if now < read.next_at {
            return;
        }
        // The platform answers half a round trip before the page is here; the difference does not matter.
        let size = self.shown.len().div_ceil(PAGES);
        let page = self.shown.iter().skip(read.pages * size).take(size).cloned();
        let page: Vec<Server> = page.collect();
        let next_at = self.page_at(index, plan);
        let read = self.nodes[index].read.as_mut().expect("looked at above");
        read.servers.extend(page);
        read.pages += 1;
        read.next_at = next_at;
        if read.pages == PAGES {
            self.end_read(index, true);
        }
    }

    fn end_read(&mut self, index: usize, is_whole: bool) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let servers = node.read.take().map(|read| read.servers).filter(|_| is_whole);
        if let Some(Reads::Publish { list, began_at }) = node.reader.read(now, &node.view, servers)
        {
            self.step(index, Event::EndpointListRead { list, began_at });
        }
    }

    fn page_at(&mut self, index: usize, plan: &Plan) -> Duration {
        let way = 2 * self.nodes[index].way + Duration::from_micros((self.part() * 4000.0) as u64);
        let is_slow = self.part() < plan.slow_pages;
        let slow = if is_slow { plan.slow_most.mul_f64(self.part()) } else { Duration::ZERO };
        self.now + way + slow
    }

    fn judge(&mut self, bound: Duration) {
        let now = self.now;
        for node in &mut self.nodes {
            let list = node.news.endpoints.current().clone();
            if Arc::ptr_eq(&node.judged, &list) {
                continue;
            }
            node.judged = list.clone();
            let name = &node.news.node_info().name;
            for server in &list.servers {
                if server.draining {
                    node.known_leaving.entry(server.id.clone()).or_insert(now);
                } else if let Some(at) = node.known_leaving.remove(&server.id) {
                    self.faults.push(format!(
                        "{now:?}: {name} knew from {at:?} on that {} leaves, and takes it for one that stays",
                        server.id
                    ));
                }
            }
        }
        let due = self.leaving_since.iter().filter(|(_, since)| **since + bound <= now);
        let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.leaving_since.remove(&id);
            for node in &self.nodes {
                let servers = &node.news.endpoints.current().servers;
                if servers.iter().any(|one| one.id == id && !one.draining) {
                    let name = &node.news.node_info().name;
                    self.faults.push(format!("{now:?}: {name} does not know that {id} leaves"));
                }
            }
        }
    }

    fn judge_end(&mut self) {
        let mut shown = self.shown.clone();
        shown.sort_by(|left, right| left.id.cmp(&right.id));
        for node in &self.nodes {
            let mut known = node.news.endpoints.current().servers.clone();
            known.sort_by(|left, right| left.id.cmp(&right.id));
            if known != shown {
                let name = &node.news.node_info().name;
                let revision = node.news.endpoints.current().revision;
                self.faults.push(format!("at the end {name} has another list, {revision}"));
            }
        }
    }
}
