//! A deterministic simulation of registries that read an endpoint list without numbers, and of proxies that
//! get it by gossip. It runs the real gossip and sequencer cores on simulated time and an unreliable network.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::gossip::{Effect, Event, Gossip};
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::{NodeInfo, PullRequest, PullResponse, Role};
use vanepath_config::endpoint_list::{EndpointList, Server};
use vanepath_registry::discovery::sequencer::{
    Effect as SequencerEffect, ListSequencer, READ_TIMEOUT,
};

/// The parameters of one run.
pub struct Scenario {
    pub seed: u64,
    pub registries: usize,
    pub proxies: usize,
    /// The fraction of pages that come late.
    pub slow_pages: f64,
    /// The longest delay of such a page.
    pub max_page_delay: Duration,
    /// During this time messages of the other registries to the first one are lost; those that it sends are
    /// not.
    pub one_way_partition: Option<std::ops::Range<Duration>>,
    pub length: Duration,
}

impl Scenario {
    pub fn without_faults(seed: u64) -> Scenario {
        Scenario {
            seed,
            registries: 5,
            proxies: 6,
            slow_pages: 0.0,
            max_page_delay: Duration::from_millis(1800),
            one_way_partition: None,
            length: Duration::from_secs(40),
        }
    }
}

const TIME_STEP: Duration = Duration::from_millis(2);
const TICK_INTERVAL: Duration = Duration::from_millis(50);
const PAGES: usize = 6;
const SERVERS: usize = 36;
/// By then all nodes know each other and the first list.
const CHANGES_BEGIN_AT: Duration = Duration::from_secs(6);

/// A read of the list that is in progress.
struct PendingRead {
    /// The servers of the pages that were read so far.
    servers: Vec<Server>,
    pages: usize,
    next_page_at: Duration,
    began_at: Duration,
}

struct Node {
    gossip: Gossip,
    view: ClusterView,
    one_way_delay: Duration,
    sequencer: ListSequencer,
    read: Option<PendingRead>,
    tick_at: Duration,
    poll_at: Duration,
    /// Servers that the node has known as draining, and since when.
    known_draining: BTreeMap<String, Duration>,
    /// The list that was checked last.
    checked: Arc<EndpointList>,
}

enum Message {
    Request { from: usize, pull: Box<PullRequest> },
    Response { responder: usize, response: Box<PullResponse> },
}

/// A pull in flight, and when it times out.
#[derive(Clone, Copy)]
struct PendingPull {
    number: u64,
    deadline: Duration,
}

pub struct ClusterModel {
    now: Duration,
    random: u64,
    nodes: Vec<Node>,
    /// Messages in flight, by time of arrival and number.
    messages: BTreeMap<(Duration, u64), (usize, Message)>,
    message_count: u64,
    /// The node that waits for the response under a ticket.
    tickets: BTreeMap<(usize, u64), usize>,
    pending_pulls: BTreeMap<(usize, usize), PendingPull>,
    /// Open connections, by client and server.
    connected: BTreeSet<(usize, usize)>,
    registries: usize,
    one_way_partition: Option<std::ops::Range<Duration>>,
    /// The platform's list.
    platform_list: Vec<Server>,
    changed_at: Duration,
    draining_since: BTreeMap<String, Duration>,
    violations: Vec<String>,
}

fn address_of_node(index: usize) -> SocketAddr {
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

impl ClusterModel {
    /// Runs a scenario and gives the violations: servers that are known as draining too late, lists that go
    /// back, and nodes that do not end with the list as it is.
    pub fn run(scenario: &Scenario, bound: Duration) -> Vec<String> {
        let mut model = ClusterModel::new(scenario);
        let mut change_at = CHANGES_BEGIN_AT;
        let mut number = SERVERS;
        while model.now < scenario.length {
            model.now += TIME_STEP;
            // Series of changes, and pauses in which the last one has to become known.
            if model.now >= change_at && model.now + 3 * bound < scenario.length {
                model.change(&mut number);
                let is_pause = model.random_fraction() < 0.15;
                let pause_ms =
                    if is_pause { 4000.0 } else { 150.0 + 700.0 * model.random_fraction() };
                change_at = model.now + Duration::from_millis(pause_ms as u64);
            }
            model.deliver();
            model.time_out_pulls();
            for index in 0..model.nodes.len() {
                model.tick(index);
                if index < scenario.registries {
                    model.step_read(index, scenario);
                }
            }
            model.check(bound);
        }
        model.check_end();
        model.violations
    }

    fn new(scenario: &Scenario) -> ClusterModel {
        let seeds: Vec<SocketAddr> = (0..scenario.registries.min(3)).map(address_of_node).collect();
        let mut model = ClusterModel {
            now: Duration::ZERO,
            random: scenario.seed,
            nodes: Vec::new(),
            messages: BTreeMap::new(),
            message_count: 0,
            tickets: BTreeMap::new(),
            pending_pulls: BTreeMap::new(),
            connected: BTreeSet::new(),
            registries: scenario.registries,
            one_way_partition: scenario.one_way_partition.clone(),
            platform_list: (0..SERVERS).map(server).collect(),
            changed_at: Duration::ZERO,
            draining_since: BTreeMap::new(),
            violations: Vec::new(),
        };
        for index in 0..scenario.registries + scenario.proxies {
            let is_registry = index < scenario.registries;
            let location = index % 3;
            let info = NodeInfo {
                name: format!("{}{index}", if is_registry { "r" } else { "p" }),
                role: if is_registry { Role::Registry } else { Role::Proxy },
                region: format!("region-{location}"),
                zone: format!("zone-{location}"),
                address: address_of_node(index),
                cluster_address: address_of_node(index),
            };
            let sequencer =
                ListSequencer::new(&info.name, (model.random_fraction() * u64::MAX as f64) as u64);
            let gossip = Gossip::new(
                info,
                seeds.clone(),
                scenario.seed * 100 + index as u64,
                Duration::ZERO,
            );
            let jitter = Duration::from_millis((model.random_fraction() * 250.0) as u64);
            model.nodes.push(Node {
                gossip,
                view: ClusterView::default(),
                one_way_delay: Duration::from_millis([1, 6, 12][location]),
                sequencer,
                read: None,
                tick_at: jitter,
                poll_at: jitter,
                known_draining: BTreeMap::new(),
                checked: Arc::default(),
            });
        }
        model
    }

    fn random_fraction(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        (mixed >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A server begins to drain, the draining ones are removed, or a new one is added.
    fn change(&mut self, number: &mut usize) {
        self.changed_at = self.now;
        let index = (self.random_fraction() * self.platform_list.len() as f64) as usize;
        match (self.random_fraction() * 3.0) as u32 {
            0 if self.platform_list.iter().any(|one| one.draining) => {
                self.platform_list.retain(|one| !one.draining)
            }
            1 => {
                self.platform_list.push(Server { warming_up: true, ..server(*number) });
                *number += 1;
            }
            _ => {
                self.platform_list[index].draining = true;
                self.draining_since.entry(self.platform_list[index].id.clone()).or_insert(self.now);
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
                Message::Request { from, pull } => {
                    self.tickets.insert((to, number), from);
                    self.step(to, Event::PullReceived { ticket: number, pull: *pull });
                }
                Message::Response { responder, response } => {
                    if self.pending_pulls.remove(&(to, responder)).is_some() {
                        self.connected.insert((to, responder));
                        let address = address_of_node(responder);
                        self.step(to, Event::PullCompleted { address, news: Some(response) });
                    }
                }
            }
        }
    }

    /// Ends pulls that had no response in their time, and their connections with them.
    fn time_out_pulls(&mut self) {
        let now = self.now;
        let late = self.pending_pulls.iter().filter(|(_, pull)| pull.deadline <= now);
        let late: Vec<(usize, usize)> = late.map(|(pair, _)| *pair).collect();
        for (requester, responder) in late {
            self.pending_pulls.remove(&(requester, responder));
            self.connected.remove(&(requester, responder));
            let address = address_of_node(responder);
            self.step(requester, Event::PullCompleted { address, news: None });
        }
    }

    /// Whether messages from one node to the other arrive.
    fn is_connected(&self, from: usize, to: usize) -> bool {
        let is_partitioned =
            self.one_way_partition.as_ref().is_some_and(|time| time.contains(&self.now));
        !(is_partitioned && to == 0 && from < self.registries)
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.message_count += 1;
        if !self.is_connected(from, to) {
            return;
        }
        let delay = self.nodes[from].one_way_delay + self.nodes[to].one_way_delay;
        let jitter = Duration::from_micros((self.random_fraction() * 3000.0) as u64);
        self.messages.insert((self.now + delay + jitter, self.message_count), (to, message));
    }

    fn pull(&mut self, from: usize, to: usize, pull: PullRequest) {
        let wait = Duration::from_millis(u64::from(pull.wait_ms) + 1000);
        let number = self.message_count + 1;
        self.pending_pulls.insert((from, to), PendingPull { number, deadline: self.now + wait });
        // A new connection needs both directions.
        if self.connected.contains(&(from, to)) || self.is_connected(to, from) {
            self.send(from, to, Message::Request { from, pull: Box::new(pull) });
        }
    }

    fn step(&mut self, index: usize, event: Event) {
        let effects = self.nodes[index].gossip.step(self.now, event);
        for effect in effects {
            match effect {
                Effect::Pull { address, pull } => {
                    let to = (0..self.nodes.len()).find(|to| address_of_node(*to) == address);
                    let to = to.expect("an address of this model");
                    self.pull(index, to, pull);
                }
                Effect::Answer { ticket, news } => {
                    let requester = self.tickets.remove(&(index, ticket));
                    let is_awaited = |to: &usize| {
                        self.pending_pulls
                            .get(&(*to, index))
                            .is_some_and(|one| one.number == ticket)
                    };
                    if let Some(to) = requester.filter(is_awaited) {
                        let response = Box::new(news);
                        self.send(index, to, Message::Response { responder: index, response });
                    }
                }
                Effect::ViewChanged => self.publish(index),
                Effect::RequestReadIndex { .. } | Effect::Log(_) => {}
            }
        }
    }

    fn publish(&mut self, index: usize) {
        let node = &self.nodes[index];
        let (view, _) = ClusterView::of(&node.gossip, &node.view, self.now);
        self.nodes[index].view = view;
    }

    fn tick(&mut self, index: usize) {
        if self.now < self.nodes[index].tick_at {
            return;
        }
        self.nodes[index].tick_at = self.now + TICK_INTERVAL;
        self.step(index, Event::Tick);
        let node = &self.nodes[index];
        if !node.view.is_up_to_date(&node.gossip, self.now) {
            self.publish(index);
        }
    }

    /// What the endpoint poller does (`discovery::poller`).
    fn step_read(&mut self, index: usize, scenario: &Scenario) {
        let now = self.now;
        if self.nodes[index].read.is_none() && now >= self.nodes[index].poll_at {
            self.nodes[index].poll_at = now + TICK_INTERVAL;
            let node = &mut self.nodes[index];
            if node.sequencer.on_tick(now, &node.view) == Some(SequencerEffect::Read) {
                let next_page_at = self.page_at(index, scenario);
                self.nodes[index].read = Some(PendingRead {
                    servers: Vec::new(),
                    pages: 0,
                    next_page_at,
                    began_at: now,
                });
            }
        }
        let Some(read) = &self.nodes[index].read else { return };
        if now.saturating_sub(read.began_at) > READ_TIMEOUT {
            self.end_read(index, false);
            return;
        }
        if now < read.next_page_at {
            return;
        }
        // The platform answers half a round trip before the page is here; the difference does not matter.
        let size = self.platform_list.len().div_ceil(PAGES);
        let page = self.platform_list.iter().skip(read.pages * size).take(size).cloned();
        let page: Vec<Server> = page.collect();
        let next_page_at = self.page_at(index, scenario);
        let read = self.nodes[index].read.as_mut().expect("looked at above");
        read.servers.extend(page);
        read.pages += 1;
        read.next_page_at = next_page_at;
        if read.pages == PAGES {
            self.end_read(index, true);
        }
    }

    fn end_read(&mut self, index: usize, is_complete: bool) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let servers = node.read.take().map(|read| read.servers).filter(|_| is_complete);
        if let Some(SequencerEffect::Publish { list, began_at }) =
            node.sequencer.on_read_completed(now, &node.view, servers)
        {
            self.step(index, Event::EndpointListRead { list, began_at });
        }
    }

    fn page_at(&mut self, index: usize, scenario: &Scenario) -> Duration {
        let delay = 2 * self.nodes[index].one_way_delay
            + Duration::from_micros((self.random_fraction() * 4000.0) as u64);
        let is_slow = self.random_fraction() < scenario.slow_pages;
        let page_delay = if is_slow {
            scenario.max_page_delay.mul_f64(self.random_fraction())
        } else {
            Duration::ZERO
        };
        self.now + delay + page_delay
    }

    fn check(&mut self, bound: Duration) {
        let now = self.now;
        for node in &mut self.nodes {
            let list = node.gossip.endpoints.current().clone();
            if Arc::ptr_eq(&node.checked, &list) {
                continue;
            }
            node.checked = list.clone();
            let name = &node.gossip.node_info().name;
            for server in &list.servers {
                if server.draining {
                    node.known_draining.entry(server.id.clone()).or_insert(now);
                } else if let Some(at) = node.known_draining.remove(&server.id) {
                    self.violations.push(format!(
                        "{now:?}: {name} knew from {at:?} on that {} leaves, and takes it for one that stays",
                        server.id
                    ));
                }
            }
        }
        let due = self.draining_since.iter().filter(|(_, since)| **since + bound <= now);
        let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.draining_since.remove(&id);
            for node in &self.nodes {
                let servers = &node.gossip.endpoints.current().servers;
                if servers.iter().any(|one| one.id == id && !one.draining) {
                    let name = &node.gossip.node_info().name;
                    self.violations.push(format!("{now:?}: {name} does not know that {id} leaves"));
                }
            }
        }
    }

    fn check_end(&mut self) {
        let mut expected = self.platform_list.clone();
        expected.sort_by(|left, right| left.id.cmp(&right.id));
        for node in &self.nodes {
            let mut known = node.gossip.endpoints.current().servers.clone();
            known.sort_by(|left, right| left.id.cmp(&right.id));
            if known != expected {
                let name = &node.gossip.node_info().name;
                let revision = node.gossip.endpoints.current().revision;
                self.violations.push(format!("at the end {name} has another list, {revision}"));
            }
        }
    }
}
