//! The simulated network and clock: hosts, delays, partitions and calls (design 10.2).

mod event;
mod host;
mod message;
mod partition;

pub use event::{Event, Timer};
pub use host::{Host, HostFault, HostFaultKind, HostId};
pub use message::{Body, Call, CallId, Purpose};

use super::random::Random;
use event::Queued;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// One-way delays of messages.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    /// Between zones of one region. Within a zone a quarter of it applies.
    pub zone: Duration,
    /// Between regions.
    pub region: Duration,
    /// To and from hosts outside all zones, such as clients.
    pub client: Duration,
}

/// The simulated network, with its clock and the queue of all events.
pub struct Network {
    /// The simulated time since the start.
    pub now: Duration,
    /// The source of all random draws.
    pub random: Random,
    /// All hosts, by their ids.
    pub hosts: Vec<Host>,
    /// The ordinary delays.
    pub delays: Delays,
    /// Directed pairs of hosts between which all messages are lost, with the number of cuts that
    /// apply to them.
    pub cuts: BTreeMap<(HostId, HostId), u32>,
    /// Some messages are delayed by up to this much more.
    pub extra_delay: Duration,
    calls: BTreeMap<CallId, Call>,
    /// Calls that timed out before their request was read, with the incarnation of the target at that time. The
    /// request is read all the same, since it is in the socket of the target or on its way there.
    abandoned: BTreeMap<CallId, (Call, u32)>,
    queue: BinaryHeap<Queued>,
    next_call: CallId,
    next_sequence: u64,
    /// Bytes of gossip sent so far.
    pub cluster_bytes: u64,
    /// Bytes of gossip sent between zones so far.
    pub cross_zone_cluster_bytes: u64,
    /// Messages sent so far.
    pub messages: u64,
    /// When hosts were down, frozen, cut off or misbehaving, for the invariant checks.
    pub host_faults: Vec<HostFault>,
}

impl Network {
    /// Creates a network without hosts. All randomness comes from the seed.
    pub fn new(seed: u64, delays: Delays) -> Network {
        Network {
            now: Duration::ZERO,
            random: Random::new(seed),
            hosts: Vec::new(),
            delays,
            cuts: BTreeMap::new(),
            extra_delay: Duration::ZERO,
            calls: BTreeMap::new(),
            abandoned: BTreeMap::new(),
            queue: BinaryHeap::new(),
            next_call: 0,
            next_sequence: 0,
            cluster_bytes: 0,
            cross_zone_cluster_bytes: 0,
            messages: 0,
            host_faults: Vec::new(),
        }
    }

    /// Schedules an event for this time.
    pub fn schedule(&mut self, at: Duration, event: Event) {
        self.next_sequence += 1;
        self.queue.push(Queued { at, sequence: self.next_sequence, event });
    }

    /// Sets a timer of a host. It is dropped if the process ends first.
    pub fn set_timer(&mut self, host: HostId, after: Duration, timer: Timer) {
        let incarnation = self.hosts[host].incarnation;
        self.schedule(self.now + after, Event::Timer { host, incarnation, timer });
    }

    fn delay(&mut self, from: HostId, to: HostId) -> Duration {
        let (sender, receiver) = (&self.hosts[from], &self.hosts[to]);
        let is_outside = sender.zone.is_empty() || receiver.zone.is_empty();
        let base = if is_outside {
            self.delays.client
        } else if sender.zone == receiver.zone {
            self.delays.zone / 4
        } else if sender.region == receiver.region {
            self.delays.zone
        } else {
            self.delays.region
        };
        let factor = 0.9 + 0.3 * self.random.fraction();
        let mut delay = base.mul_f64(factor) + Duration::from_micros(self.random.draw() % 200);
        // Some messages are delayed for longer than usual.
        if self.random.chance(0.002) {
            delay += Duration::from_millis(self.random.draw() % 40);
        }
        if self.extra_delay > Duration::ZERO && self.random.chance(0.3) {
            delay += self.extra_delay.mul_f64(self.random.fraction());
        }
        delay
    }

    fn is_alive(&self, host: HostId) -> bool {
        self.hosts[host].up && self.hosts[host].powered
    }

    /// Sends a request to another host. The reply, reset or timeout is delivered under the returned
    /// call number.
    pub fn send(
        &mut self,
        source: HostId,
        target: HostId,
        timeout: Duration,
        body: Body,
        purpose: Purpose,
    ) -> CallId {
        self.next_call += 1;
        self.messages += 1;
        let call = self.next_call;
        let source_incarnation = self.hosts[source].incarnation;
        let entry = Call { source, source_incarnation, target, target_incarnation: None, purpose };
        self.calls.insert(call, entry);
        self.schedule(self.now + timeout, Event::CallTimedOut { call });
        if !self.is_cut(source, target) {
            let delay = self.delay(source, target);
            self.schedule(self.now + delay, Event::RequestArrived { call, body });
        }
        call
    }

    /// Finds a call that has neither been answered nor timed out.
    pub fn find_call(&self, call: CallId) -> Option<&Call> {
        self.calls.get(&call)
    }

    /// Answers a call.
    pub fn reply(&mut self, call: CallId, body: Body) {
        let Some(entry) = self.calls.get(&call) else { return };
        let (from, to) = (entry.target, entry.source);
        self.messages += 1;
        if self.is_cut(from, to) || !self.hosts[from].powered {
            return;
        }
        let delay = self.delay(from, to);
        self.schedule(self.now + delay, Event::ReplyArrived { call, body });
    }

    /// Cancels a call: its reply is dropped.
    pub fn cancel(&mut self, call: CallId) {
        self.calls.remove(&call);
    }

    /// Remembers a call that ends before its request was read.
    fn abandon(&mut self, call: CallId, entry: Option<&Call>) {
        if let Some(entry) = entry
            && entry.target_incarnation.is_none()
            && matches!(entry.purpose, Purpose::StoreCall { .. } | Purpose::OperatorCall { .. })
        {
            let incarnation = self.hosts[entry.target].incarnation;
            self.abandoned.insert(call, (entry.clone(), incarnation));
        }
    }

    /// Takes a call whose request has not been read although the call has ended, if the process that it was
    /// sent to still runs.
    fn take_abandoned(&mut self, call: CallId) -> Option<Call> {
        let (entry, incarnation) = self.abandoned.get(&call)?;
        let target = entry.target;
        if self.hosts[target].frozen {
            return Some(entry.clone());
        }
        let is_same_process =
            self.is_alive(target) && self.hosts[target].incarnation == *incarnation;
        let (entry, _) = self.abandoned.remove(&call)?;
        is_same_process.then_some(entry)
    }

    /// Takes the next event that takes effect and advances the clock to it. Replies to ended calls and events
    /// of earlier incarnations are dropped, and events of frozen hosts are deferred. The request of a call that
    /// has timed out arrives as [`Event::AbandonedRequestArrived`].
    pub fn next_event(&mut self) -> Option<(Event, Option<Call>)> {
        loop {
            let Queued { at, event, .. } = self.queue.pop()?;
            self.now = self.now.max(at);
            let host = match &event {
                Event::Tick { host, incarnation }
                | Event::DiskWriteDone { host, incarnation }
                | Event::Timer { host, incarnation, .. } => {
                    if self.hosts[*host].incarnation != *incarnation || !self.is_alive(*host) {
                        continue;
                    }
                    *host
                }
                Event::Script(_) => return Some((event, None)),
                Event::AbandonedRequestArrived { .. } => return Some((event, None)),
                Event::RequestArrived { call, body } if !self.calls.contains_key(call) => {
                    let Some(entry) = self.take_abandoned(*call) else { continue };
                    if self.hosts[entry.target].frozen {
                        self.hosts[entry.target].deferred.push(event);
                        continue;
                    }
                    let body = body.clone();
                    return Some((
                        Event::AbandonedRequestArrived { call: *call, body },
                        Some(entry),
                    ));
                }
                Event::RequestArrived { call, .. } => {
                    let Some(entry) = self.calls.get(call) else { continue };
                    let (target, receiver_incarnation) = (entry.target, entry.target_incarnation);
                    if !self.hosts[target].powered {
                        continue;
                    }
                    let is_other_incarnation = receiver_incarnation
                        .is_some_and(|incarnation| incarnation != self.hosts[target].incarnation);
                    if !self.hosts[target].up || is_other_incarnation {
                        let call = *call;
                        self.reply(call, Body::Reset);
                        continue;
                    }
                    target
                }
                Event::ReplyArrived { call, .. } | Event::CallTimedOut { call } => {
                    let Some(entry) = self.calls.get(call) else { continue };
                    let (source, incarnation) = (entry.source, entry.source_incarnation);
                    if self.hosts[source].incarnation != incarnation || !self.is_alive(source) {
                        self.calls.remove(call);
                        continue;
                    }
                    source
                }
            };
            if self.hosts[host].frozen {
                self.hosts[host].deferred.push(event);
                continue;
            }
            match &event {
                Event::RequestArrived { call, .. } => {
                    let incarnation = self.hosts[host].incarnation;
                    let entry = self.calls.get_mut(call).expect("the call was found above");
                    entry.target_incarnation = Some(incarnation);
                    let entry = entry.clone();
                    return Some((event, Some(entry)));
                }
                Event::ReplyArrived { call, .. } => {
                    let entry = self.calls.remove(call);
                    return Some((event, entry));
                }
                Event::CallTimedOut { call } => {
                    let entry = self.calls.remove(call);
                    self.abandon(*call, entry.as_ref());
                    return Some((event, entry));
                }
                _ => return Some((event, None)),
            }
        }
    }
}
