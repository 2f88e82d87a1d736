//! Hosts, delays, cuts and calls: the simulated network and clock (design 10.2).

use super::Random;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

pub type HostId = usize;
pub type CallId = u64;

/// One machine with one process of ours on it, or a server, a caller, the platform, an operator.
#[derive(Debug)]
pub struct Host {
    pub name: String,
    pub zone: String,
    pub region: String,
    /// The process runs.
    pub up: bool,
    /// The machine has power: a process that is down there refuses, one without power is silent.
    pub powered: bool,
    pub frozen: bool,
    /// Rises with each start; what belongs to an earlier life is dropped.
    pub life: u32,
    /// Monotonic clocks start anywhere, and wall clocks show anything.
    pub clock_offset: Duration,
    pub wall_ms: i64,
    deferred: Vec<Event>,
    /// Lives that ended with the machine's power: nobody was told.
    pub silent_lives: Vec<u32>,
}

#[derive(Clone, Debug)]
pub enum Body {
    Pull(vanepath_cluster::wire::PullRequest),
    News(vanepath_cluster::wire::PullResponse),
    Ask(vanepath_store::protocol::Request),
    Tell(vanepath_store::protocol::Response),
    /// An operator's call, by its number in the history.
    Operate(usize),
    Operated(vanepath_store::protocol::Outcome),
    ReadPlatform,
    Platform(std::sync::Arc<vanepath_config::endpoint_list::EndpointList>),
    /// What the platform says in place of its list, as it says it.
    PlatformText(String),
    Steer(String),
    Receipt(String),
    /// A caller's request, by its number.
    Carry(usize),
    Carried {
        verdict: vanepath_config::ExecutionStatus,
        status: u16,
        /// With 421: who may carry it.
        named: Vec<std::net::SocketAddr>,
    },
    /// A new connection's first exchange, or a liveness check on an open one.
    Greet,
    Greeted {
        server: String,
        connection: u64,
        is_cold: bool,
        demand_milli: u32,
    },
    Work {
        request: usize,
        connection: u64,
        sent_at: Duration,
    },
    Worked {
        demand_milli: u32,
        is_truncated: bool,
    },
    /// Nobody listens, or the connection was reset.
    Reset,
}

/// For whom a call was made and what it is about, on the asker's side.
#[derive(Clone, Debug)]
pub enum Purpose {
    Pull {
        address: std::net::SocketAddr,
    },
    Store {
        call: u64,
    },
    Floor {
        address: std::net::SocketAddr,
    },
    StoreCall {
        store_call: usize,
    },
    Platform,
    Operate {
        operation: usize,
    },
    Poll {
        caller: usize,
    },
    Carry {
        request: usize,
    },
    Greet {
        way: usize,
    },
    Probe {
        slot: usize,
        index: usize,
    },
    Work {
        way: usize,
    },
    /// Nobody waits for the reply.
    None,
}

#[derive(Clone, Debug)]
pub struct Call {
    pub asker: HostId,
    asker_life: u32,
    pub target: HostId,
    target_life: Option<u32>,
    pub purpose: Purpose,
}

#[derive(Clone, Debug)]
pub enum Event {
    Pulse {
        host: HostId,
        life: u32,
    },
    Arrive {
        call: CallId,
        body: Body,
    },
    Reply {
        call: CallId,
        body: Body,
    },
    Expire {
        call: CallId,
    },
    DiskDone {
        host: HostId,
        life: u32,
    },
    /// A timer of one's own.
    Timer {
        host: HostId,
        life: u32,
        what: Timer,
    },
    /// The script of the day.
    Script(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    StoreCall(usize),
    Poll(usize),
    NextRequest(usize),
    /// A request was written to a connection that its machine had forgotten.
    Stale {
        request: usize,
        target: HostId,
    },
    /// A caller looks whether the proxy that has its request is silent to everyone.
    Leave {
        request: usize,
        target: HostId,
        call: CallId,
    },
    /// A new connection to that proxy came up, or nobody opened.
    Knocked {
        request: usize,
        target: HostId,
        call: CallId,
        is_there: bool,
    },
    NextOperation,
    WayReady(usize),
    WayChoose(usize),
    WayLate(usize),
    WaySoon(usize, u32),
    ServerDone {
        call: CallId,
        request: usize,
    },
    Close,
}

struct Queued(Duration, u64, Event);

impl PartialEq for Queued {
    fn eq(&self, other: &Queued) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Queued) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Queued) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

/// One-way delays between places.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    pub zone: Duration,
    pub region: Duration,
    pub caller: Duration,
}

pub struct Net {
    pub now: Duration,
    pub random: Random,
    pub hosts: Vec<Host>,
    pub delays: Delays,
    /// Directed pairs that nothing passes, and how many cuts lie between them.
    pub cuts: BTreeMap<(HostId, HostId), u32>,
    /// Some messages take this much longer.
    pub slowness: Duration,
    calls: BTreeMap<CallId, Call>,
    queue: BinaryHeap<Queued>,
    next_call: CallId,
    event_number: u64,
    pub sibling_bytes: u64,
    pub sibling_bytes_other_zone: u64,
    pub messages: u64,
    /// When a host was down, frozen, cut off or misbehaved, for the judges.
    pub troubles: Vec<Trouble>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ill {
    Down,
    Frozen,
    Cut,
    Misbehaves,
}

#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    pub host: HostId,
    pub ill: Ill,
    pub from: Duration,
    pub to: Option<Duration>,
}

impl Net {
    pub fn new(seed: u64, delays: Delays) -> Net {
        Net {
            now: Duration::ZERO,
            random: Random::new(seed),
            hosts: Vec::new(),
            delays,
            cuts: BTreeMap::new(),
            slowness: Duration::ZERO,
            calls: BTreeMap::new(),
            queue: BinaryHeap::new(),
            next_call: 0,
            event_number: 0,
            sibling_bytes: 0,
            sibling_bytes_other_zone: 0,
            messages: 0,
            troubles: Vec::new(),
        }
    }

    pub fn add_host(&mut self, name: &str, zone: &str, region: &str) -> HostId {
        let clock_offset = Duration::from_millis(self.random.draw() % 1_000_000);
        self.hosts.push(Host {
            name: name.to_string(),
            zone: zone.to_string(),
            region: region.to_string(),
            up: false,
            powered: true,
            frozen: false,
            life: 0,
            clock_offset,
            wall_ms: 1_700_000_000_000,
            deferred: Vec::new(),
            silent_lives: Vec::new(),
        });
        self.hosts.len() - 1
    }

    pub fn address_of(host: HostId) -> std::net::SocketAddr {
        let octets = [10, 0, (host / 250) as u8, (host % 250) as u8 + 1];
        std::net::SocketAddr::from((octets, 7001))
    }

    pub fn host_at(address: std::net::SocketAddr) -> HostId {
        match address {
            std::net::SocketAddr::V4(v4) => {
                let octets = v4.ip().octets();
                usize::from(octets[2]) * 250 + usize::from(octets[3]) - 1
            }
            std::net::SocketAddr::V6(_) => usize::MAX,
        }
    }

    /// The host's own monotonic clock.
    pub fn local(&self, host: HostId) -> Duration {
        self.now + self.hosts[host].clock_offset
    }

    pub fn at(&mut self, at: Duration, event: Event) {
        self.event_number += 1;
        self.queue.push(Queued(at, self.event_number, event));
    }

    pub fn timer(&mut self, host: HostId, after: Duration, what: Timer) {
        let life = self.hosts[host].life;
        self.at(self.now + after, Event::Timer { host, life, what });
    }

    pub fn is_cut(&self, from: HostId, to: HostId) -> bool {
        self.cuts.contains_key(&(from, to))
    }

    fn delay(&mut self, from: HostId, to: HostId) -> Duration {
        let (left, right) = (&self.hosts[from], &self.hosts[to]);
        let is_outside = left.zone.is_empty() || right.zone.is_empty();
        let base = if is_outside {
            self.delays.caller
        } else if left.zone == right.zone {
            self.delays.zone / 4
        } else if left.region == right.region {
            self.delays.zone
        } else {
            self.delays.region
        };
        let part = 0.9 + 0.3 * self.random.part();
        let mut delay = base.mul_f64(part) + Duration::from_micros(self.random.draw() % 200);
        // Now and then a message is held up.
        if self.random.chance(0.002) {
            delay += Duration::from_millis(self.random.draw() % 40);
        }
        if self.slowness > Duration::ZERO && self.random.chance(0.3) {
            delay += self.slowness.mul_f64(self.random.part());
        }
        delay
    }

    fn is_alive(&self, host: HostId) -> bool {
        self.hosts[host].up && self.hosts[host].powered
    }

    /// Asks another host; the reply, a reset or an expiry comes back under the call.
    pub fn ask(
        &mut self,
        asker: HostId,
        target: HostId,
        limit: Duration,
        body: Body,
        purpose: Purpose,
    ) -> CallId {
        self.next_call += 1;
        self.messages += 1;
        let call = self.next_call;
        let asker_life = self.hosts[asker].life;
        let entry = Call { asker, asker_life, target, target_life: None, purpose };
        self.calls.insert(call, entry);
        self.at(self.now + limit, Event::Expire { call });
        if !self.is_cut(asker, target) {
            let delay = self.delay(asker, target);
            self.at(self.now + delay, Event::Arrive { call, body });
        }
        call
    }

    pub fn call(&self, call: CallId) -> Option<&Call> {
        self.calls.get(&call)
    }

    pub fn reply(&mut self, call: CallId, body: Body) {
        let Some(entry) = self.calls.get(&call) else { return };
        let (from, to) = (entry.target, entry.asker);
        self.messages += 1;
        if self.is_cut(from, to) || !self.hosts[from].powered {
            return;
        }
        let delay = self.delay(from, to);
        self.at(self.now + delay, Event::Reply { call, body });
    }

    /// Gives a call up: no reply is wanted any more.
    pub fn forget(&mut self, call: CallId) {
        self.calls.remove(&call);
    }

    /// The next event that really happens, with the clock moved to it. Calls end here: an event
    /// of an ended one is skipped.
    pub fn next_event(&mut self) -> Option<(Event, Option<Call>)> {
        loop {
            let Queued(at, _, event) = self.queue.pop()?;
            self.now = self.now.max(at);
            let host = match &event {
                Event::Pulse { host, life }
                | Event::DiskDone { host, life }
                | Event::Timer { host, life, .. } => {
                    if self.hosts[*host].life != *life || !self.is_alive(*host) {
                        continue;
                    }
                    *host
                }
                Event::Script(_) => return Some((event, None)),
                Event::Arrive { call, .. } => {
                    let Some(entry) = self.calls.get(call) else { continue };
                    let (target, wanted) = (entry.target, entry.target_life);
                    if !self.hosts[target].powered {
                        continue;
                    }
                    let is_other = wanted.is_some_and(|life| life != self.hosts[target].life);
                    if !self.hosts[target].up || is_other {
                        let call = *call;
                        self.reply(call, Body::Reset);
                        continue;
                    }
                    target
                }
                Event::Reply { call, .. } | Event::Expire { call } => {
                    let Some(entry) = self.calls.get(call) else { continue };
                    let (asker, life) = (entry.asker, entry.asker_life);
                    if self.hosts[asker].life != life || !self.is_alive(asker) {
                        self.calls.remove(call);
                        continue;
                    }
                    asker
                }
            };
            if self.hosts[host].frozen {
                self.hosts[host].deferred.push(event);
                continue;
            }
            match &event {
                Event::Arrive { call, .. } => {
                    let life = self.hosts[host].life;
                    let entry = self.calls.get_mut(call).expect("seen above");
                    entry.target_life = Some(life);
                    let entry = entry.clone();
                    return Some((event, Some(entry)));
                }
                Event::Reply { call, .. } | Event::Expire { call } => {
                    let entry = self.calls.remove(call);
                    return Some((event, entry));
                }
                _ => return Some((event, None)),
            }
        }
    }

    pub fn trouble(&mut self, host: HostId, ill: Ill) {
        self.troubles.push(Trouble { host, ill, from: self.now, to: None });
    }

    pub fn over(&mut self, host: HostId, ill: Ill) {
        let now = self.now;
        for trouble in self.troubles.iter_mut() {
            if trouble.host == host && trouble.ill == ill {
                trouble.to.get_or_insert(now);
            }
        }
    }

    /// Whether a host had any trouble within this time.
    pub fn was_ill(&self, host: HostId, from: Duration, to: Duration) -> bool {
        self.troubles.iter().any(|one| {
            one.host == host && one.from <= to && one.to.is_none_or(|ended| ended >= from)
        })
    }

    pub fn freeze(&mut self, host: HostId) {
        if !self.hosts[host].frozen {
            self.hosts[host].frozen = true;
            self.trouble(host, Ill::Frozen);
        }
    }

    /// The process starts; the caller gives it its state.
    pub fn start(&mut self, host: HostId) {
        self.over(host, Ill::Down);
        self.over(host, Ill::Frozen);
        self.hosts[host].life += 1;
        self.hosts[host].up = true;
        self.hosts[host].frozen = false;
        self.hosts[host].deferred.clear();
        let life = self.hosts[host].life;
        let jitter = Duration::from_millis(self.random.draw() % 50);
        self.at(self.now + jitter, Event::Pulse { host, life });
    }

    /// The process ends at once. Whoever waits for it hears a reset if the machine has power.
    pub fn stop(&mut self, host: HostId) {
        self.trouble(host, Ill::Down);
        if !self.hosts[host].powered {
            let life = self.hosts[host].life;
            self.hosts[host].silent_lives.push(life);
        }
        self.hosts[host].up = false;
        self.hosts[host].frozen = false;
        self.hosts[host].deferred.clear();
        let open: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, entry)| entry.target == host && entry.target_life.is_some())
            .map(|(call, _)| *call)
            .collect();
        for call in open {
            self.reply(call, Body::Reset);
        }
    }

    pub fn wake(&mut self, host: HostId) {
        self.over(host, Ill::Frozen);
        self.hosts[host].frozen = false;
        for event in std::mem::take(&mut self.hosts[host].deferred) {
            self.at(self.now, event);
        }
    }

    /// Cuts between every host of one side and every other of the other; only what the left ones
    /// send, where it is one way.
    pub fn cut(&mut self, left: &[HostId], right: &[HostId], is_one_way: bool) {
        for host in left {
            self.trouble(*host, Ill::Cut);
        }
        for pair in pairs(left, right, is_one_way) {
            *self.cuts.entry(pair).or_default() += 1;
        }
    }

    /// Ends one cut; others between the same hosts stay.
    pub fn uncut(&mut self, left: &[HostId], right: &[HostId], is_one_way: bool) {
        for host in left {
            self.over(*host, Ill::Cut);
        }
        for pair in pairs(left, right, is_one_way) {
            if let Some(count) = self.cuts.get_mut(&pair) {
                *count -= 1;
                if *count == 0 {
                    self.cuts.remove(&pair);
                }
            }
        }
    }

    pub fn heal(&mut self) {
        for host in 0..self.hosts.len() {
            self.over(host, Ill::Cut);
        }
        self.cuts.clear();
        self.slowness = Duration::ZERO;
    }
}

fn pairs(left: &[HostId], right: &[HostId], is_one_way: bool) -> Vec<(HostId, HostId)> {
    let mut pairs = Vec::new();
    for one in left {
        for other in right.iter().filter(|other| *other != one) {
            pairs.push((*one, *other));
            if !is_one_way {
                pairs.push((*other, *one));
            }
        }
    }
    pairs
}
