//! A simulated environment for the replicas of stores: their disks, the messages between them, and an
//! operator's calls. The search decides which messages are delivered, lost, duplicated or delayed, and which
//! stores are restarted or lose their disks.

use crate::history::History;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::wire;
use vanepath_store::consensus::{
    DiskWrite, Effect, Event, HardState, Identity, LiveStore, RecoveredState, Replica,
    StoredVersion, response_from_disk,
};
use vanepath_store::protocol::{Change, Outcome, Request, Response};
use vanepath_store::value::{AcceptedProposal, BOOTSTRAP_BALLOT, Ballot, Value, VersionId};

/// Defects of the shell around the replicas, injected to show that the model checking finds them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShellDefect {
    /// The last save is lost when the process dies, because replies are sent before the sync.
    NoSync,
    /// A store answers reads from its own replica, without a round.
    ReadsWithoutRound,
    /// A store that lost its disk continues to vote under its old incarnation, without its promises.
    VotesAfterWipe,
    /// A member counts as having accepted a value without being asked.
    CountsUnaskedVotes,
    /// A write that is sent again has another key.
    ForgetsKeys,
    /// Changes are sent without the operators' configuration versions.
    ForgetsVersions,
}

/// A call of the operator, and the store to which it is made.
#[derive(Clone, Debug)]
pub enum Call {
    Config { store: usize, version: u64, text: &'static str },
    KeyedWrite { store: usize, key: &'static str, text: &'static str },
    Read { store: usize },
}

impl Call {
    fn store(&self) -> usize {
        match self {
            Call::Config { store, .. } | Call::KeyedWrite { store, .. } | Call::Read { store } => {
                *store
            }
        }
    }
}

#[derive(Clone, Default)]
struct Disk {
    state: Option<HardState>,
    versions: BTreeMap<VersionId, Arc<Value>>,
}

#[derive(Clone)]
pub struct Store {
    name: String,
    pub replica: Replica,
    disk: Disk,
    /// What remains on the disk if the process dies now.
    durable: Disk,
    /// Number of restarts; responses to calls of an earlier generation are ignored.
    generation: u32,
}

#[derive(Clone)]
enum Requester {
    Store { index: usize, generation: u32, call: u64 },
    Operator { number: usize },
}

/// A request that a store has to answer.
#[derive(Clone)]
struct Ticket {
    requester: Requester,
    responder: usize,
    is_open: bool,
}

#[derive(Clone)]
pub enum Message {
    Request { to: usize, incarnation: u64, ticket: u64, request: Arc<Request> },
    Response { to: usize, generation: u32, call: u64, response: Option<Arc<Response>> },
}

#[derive(Clone)]
pub struct World {
    pub stores: Vec<Store>,
    pub messages: VecDeque<Message>,
    /// Messages that are held back until no others are in flight.
    pub delayed: VecDeque<Message>,
    pub history: History,
    /// The store that is frozen or partitioned from all others, and the messages that reach it afterwards.
    frozen: Option<(usize, VecDeque<Message>)>,
    defect: Option<ShellDefect>,
    tickets: Vec<Ticket>,
    now: Duration,
    bootstrap_size: usize,
    next_incarnation: u64,
    steps: u64,
}

const TICK_INTERVAL: Duration = Duration::from_millis(50);

fn recovered(disk: &Disk) -> RecoveredState {
    let state = disk.state.clone().expect("every disk has a state");
    let id = state.accepted.map(|accepted| accepted.version());
    let value = id.and_then(|id| disk.versions.get(&id).cloned());
    let versions = disk
        .versions
        .iter()
        .map(|(id, value)| StoredVersion::new(*id, value, value.encode().len()))
        .collect();
    let batch = value
        .as_ref()
        .map(|value| RecoveredState::load_batch(value, |id| disk.versions.get(&id).cloned()));
    RecoveredState { state, value, batch: batch.unwrap_or_default(), versions }
}

impl World {
    /// Creates stores that have bootstrapped, with no message in flight.
    pub fn new(members: usize, defect: Option<ShellDefect>) -> World {
        let mut world = World {
            stores: Vec::new(),
            messages: VecDeque::new(),
            delayed: VecDeque::new(),
            history: History::default(),
            frozen: None,
            defect: None,
            tickets: Vec::new(),
            now: Duration::from_secs(1),
            bootstrap_size: members,
            next_incarnation: 100,
            steps: 0,
        };
        for number in 0..members {
            let disk = world.empty_disk();
            let name = format!("s{number}");
            let identity = Identity { name: name.clone(), bootstrap_size: members };
            let replica = Replica::new(identity, recovered(&disk), world.now);
            let durable = disk.clone();
            world.stores.push(Store { name, replica, disk, durable, generation: 0 });
        }
        for _ in 0..60 {
            world.tick();
            world.deliver_all();
        }
        assert_eq!(world.voting(), members, "the stores have bootstrapped");
        // No store may bootstrap from here on.
        world.bootstrap_size = 0;
        world.defect = defect;
        world
    }

    fn empty_disk(&mut self) -> Disk {
        self.next_incarnation += 1;
        let incarnation = self.next_incarnation;
        let state = HardState { incarnation, promised: Default::default(), accepted: None };
        Disk { state: Some(state), versions: BTreeMap::new() }
    }

    pub fn voting(&self) -> usize {
        self.stores.iter().filter(|store| store.replica.summary().is_voting).count()
    }

    /// Number of steps of all replicas so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    pub fn deliver_all(&mut self) {
        while let Some(message) = self.messages.pop_front() {
            self.deliver(message);
        }
    }

    pub fn deliver(&mut self, message: Message) {
        if let Some((index, queued)) = &mut self.frozen
            && target_of(&message) == *index
        {
            queued.push_back(message.clone());
            // The requester's call times out; the request may still arrive.
            if let Some(ticket) = ticket_of(&message) {
                self.respond(ticket, None);
            }
            return;
        }
        match message {
            Message::Request { to, incarnation, ticket, request } => {
                if self.stores[to].replica.summary().incarnation != incarnation {
                    return self.respond(ticket, None);
                }
                self.step(to, Event::RequestReceived { ticket, request: (*request).clone() });
            }
            Message::Response { to, generation, call, response } => {
                if self.stores[to].generation == generation {
                    let response = response.map(|response| (*response).clone());
                    self.step(to, Event::ResponseReceived { call, response });
                }
            }
        }
    }

    /// Loses a message; the requester's call times out.
    pub fn lose(&mut self, message: Message) {
        match message {
            Message::Request { ticket, .. } => self.respond(ticket, None),
            Message::Response { to, generation, call, .. } => {
                self.delayed.push_back(Message::Response { to, generation, call, response: None });
            }
        }
    }

    /// Puts the delayed messages in flight; returns whether there were any.
    pub fn release_delayed(&mut self) -> bool {
        let were_any = !self.delayed.is_empty();
        self.messages.append(&mut self.delayed);
        were_any
    }

    /// Freezes a store until an operator calls it or its process dies.
    pub fn freeze(&mut self, index: usize) {
        self.thaw();
        self.frozen = Some((index, VecDeque::new()));
    }

    /// Ends the freeze; what was sent to the store meanwhile arrives in order, before any other message.
    pub fn thaw(&mut self) {
        if let Some((_, queued)) = self.frozen.take() {
            for message in queued.into_iter().rev() {
                self.messages.push_front(message);
            }
        }
    }

    pub fn is_frozen(&self, index: usize) -> bool {
        self.frozen.as_ref().is_some_and(|(frozen, _)| *frozen == index)
    }

    /// Kills the process of a store and restarts it at once, with what is durable on its disk.
    pub fn restart(&mut self, index: usize) {
        if self.is_frozen(index) {
            self.frozen = None;
        }
        let store = &mut self.stores[index];
        store.disk = store.durable.clone();
        store.generation += 1;
        let identity = Identity { name: store.name.clone(), bootstrap_size: self.bootstrap_size };
        store.replica = Replica::new(identity, recovered(&store.disk), self.now);
        self.close_tickets(index);
    }

    /// Kills the process of a store and restarts it with an empty disk.
    pub fn wipe(&mut self, index: usize) {
        let disk = match self.defect {
            Some(ShellDefect::VotesAfterWipe) => self.bootstrap_disk(index),
            _ => self.empty_disk(),
        };
        let store = &mut self.stores[index];
        store.disk = disk.clone();
        store.durable = disk;
        self.restart(index);
    }

    /// A disk that contains only the bootstrap value, under the store's former incarnation.
    fn bootstrap_disk(&self, index: usize) -> Disk {
        let disk = &self.stores[index].disk;
        let first = disk.versions.iter().find(|(id, _)| id.revision == 0);
        let (id, value) = first.expect("the bootstrap version is kept");
        let ballot = Ballot { number: 2, ..BOOTSTRAP_BALLOT };
        let accepted = Some(AcceptedProposal { ballot, revision: 0, digest: id.digest });
        let incarnation = self.stores[index].replica.summary().incarnation;
        let state = HardState { incarnation, promised: ballot, accepted };
        Disk { state: Some(state), versions: BTreeMap::from([(*id, value.clone())]) }
    }

    /// Requests that a store had received when it died get no response.
    fn close_tickets(&mut self, index: usize) {
        let open = |(number, ticket): (usize, &Ticket)| {
            (ticket.is_open && ticket.responder == index).then_some(number as u64)
        };
        let open: Vec<u64> = self.tickets.iter().enumerate().filter_map(open).collect();
        let in_flight: Vec<u64> =
            self.messages.iter().chain(&self.delayed).filter_map(ticket_of).collect();
        for ticket in open.into_iter().filter(|ticket| !in_flight.contains(ticket)) {
            self.respond(ticket, None);
        }
    }

    /// Advances the time by 50 ms; all stores that are not frozen receive gossip and a tick.
    pub fn tick(&mut self) {
        self.now += TICK_INTERVAL;
        let live_store = |store: &Store| {
            let summary = store.replica.summary();
            let (incarnation, is_empty) = (summary.incarnation, summary.is_empty);
            let may_bootstrap = is_empty && summary.may_bootstrap;
            LiveStore { name: store.name.clone(), incarnation, is_empty, may_bootstrap }
        };
        let live = (0..self.stores.len()).filter(|index| !self.is_frozen(*index));
        let live: Vec<LiveStore> = live.map(|index| live_store(&self.stores[index])).collect();
        let committed = self.stores.iter().map(|store| store.replica.summary().committed);
        let revision = committed.max().unwrap_or(0);
        for index in 0..self.stores.len() {
            if self.is_frozen(index) {
                continue;
            }
            self.step(index, Event::LiveStores(live.clone()));
            self.step(index, Event::RevisionHeard { revision });
            self.step(index, Event::Tick);
        }
    }

    pub fn call(&mut self, call: &Call) {
        let number = self.history.begin(call.clone());
        let store = call.store();
        let request = match call {
            Call::Read { .. } => Request::Read,
            Call::Config { version, text, .. } => {
                let keeps_version = self.defect != Some(ShellDefect::ForgetsVersions);
                let version = keeps_version.then_some(*version);
                let bytes = text.as_bytes().to_vec();
                let change = Change::ReplaceConfig { bytes, if_revision: None, version };
                Request::Change {
                    key: format!("made-{number}"),
                    change,
                    keyless_for: None,
                    known_revision: None,
                }
            }
            Call::KeyedWrite { key, text, .. } => {
                let key = match self.defect {
                    Some(ShellDefect::ForgetsKeys) => format!("{key}-{number}"),
                    _ => key.to_string(),
                };
                let bytes = text.as_bytes().to_vec();
                let change = Change::ReplaceConfig { bytes, if_revision: None, version: None };
                Request::Change { key, change, keyless_for: None, known_revision: None }
            }
        };
        if self.defect == Some(ShellDefect::ReadsWithoutRound) && matches!(request, Request::Read) {
            let disk = &self.stores[store].disk;
            let accepted = disk.state.as_ref().and_then(|state| state.accepted);
            let value = accepted.and_then(|accepted| disk.versions.get(&accepted.version()));
            let outcome = value.map(|value| Outcome::Value { value: (**value).clone() });
            return self.history.end(number, outcome);
        }
        let ticket = self.ticket(Requester::Operator { number }, store);
        // A thawed store receives the call before the responses of its own last round.
        let is_frozen = self.is_frozen(store);
        self.step(store, Event::RequestReceived { ticket, request });
        if is_frozen {
            self.thaw();
        }
    }

    fn ticket(&mut self, requester: Requester, responder: usize) -> u64 {
        self.tickets.push(Ticket { requester, responder, is_open: true });
        self.tickets.len() as u64 - 1
    }

    fn step(&mut self, index: usize, event: Event) {
        self.steps += 1;
        let effects = self.stores[index].replica.step(self.now, event);
        for effect in effects {
            self.perform(index, effect);
        }
    }

    fn perform(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Persist(writes) => self.save(index, writes),
            Effect::Send { call, incarnation, request } => {
                let requester =
                    Requester::Store { index, generation: self.stores[index].generation, call };
                let is_target = |store: &Store| store.replica.summary().incarnation == incarnation;
                match self.stores.iter().position(is_target) {
                    Some(_) if self.counts_without_asking(&request) => {
                        let generation = self.stores[index].generation;
                        let response = Some(Arc::new(Response::Accepted { from: incarnation }));
                        self.messages.push_back(Message::Response {
                            to: index,
                            generation,
                            call,
                            response,
                        });
                    }
                    Some(to) => {
                        let ticket = self.ticket(requester, to);
                        let request = Arc::new(request);
                        self.messages.push_back(Message::Request {
                            to,
                            incarnation,
                            ticket,
                            request,
                        });
                    }
                    None => {
                        let generation = self.stores[index].generation;
                        self.messages.push_back(Message::Response {
                            to: index,
                            generation,
                            call,
                            response: None,
                        });
                    }
                }
            }
            Effect::Reply { ticket, response } => self.respond(ticket, Some(response)),
            Effect::ReplyFromDisk { ticket, versions, as_outcome } => {
                let disk = &self.stores[index].disk;
                let load = |id: &VersionId| disk.versions.get(id).map(|value| (**value).clone());
                let response = response_from_disk(&versions, as_outcome, load).response;
                self.respond(ticket, Some(response));
            }
            Effect::Committed(value) => self.history.committed(&value),
            Effect::Confirmed { .. } => {}
            Effect::Reset => {
                let disk = self.empty_disk();
                let store = &mut self.stores[index];
                store.disk = disk.clone();
                store.durable = disk;
                let recovered = recovered(&store.disk);
                self.step(index, Event::Reset(recovered));
            }
            Effect::Log(text) => {
                if text.contains("never happen") {
                    self.history.fault(text);
                }
            }
        }
    }

    fn counts_without_asking(&self, request: &Request) -> bool {
        let is_defective = self.defect == Some(ShellDefect::CountsUnaskedVotes);
        is_defective && matches!(request, Request::Accept { .. })
    }

    fn save(&mut self, index: usize, writes: Vec<DiskWrite>) {
        let store = &mut self.stores[index];
        if self.defect == Some(ShellDefect::NoSync) {
            store.durable = store.disk.clone();
        }
        for write in writes {
            match write {
                DiskWrite::Version { id, bytes } => {
                    let value: Value = wire::decode(&bytes).expect("encoded by the replica");
                    store.disk.versions.insert(id, Arc::new(value));
                }
                DiskWrite::State(state) => store.disk.state = Some(state),
                DiskWrite::Remove(id) => {
                    store.disk.versions.remove(&id);
                }
            }
        }
        if self.defect != Some(ShellDefect::NoSync) {
            store.durable = store.disk.clone();
        }
    }

    fn respond(&mut self, ticket: u64, response: Option<Response>) {
        let ticket = &mut self.tickets[ticket as usize];
        if !std::mem::replace(&mut ticket.is_open, false) {
            return;
        }
        match ticket.requester {
            Requester::Store { index, generation, call } => {
                let response = response.map(Arc::new);
                self.messages.push_back(Message::Response {
                    to: index,
                    generation,
                    call,
                    response,
                });
            }
            Requester::Operator { number } => {
                let outcome = match response {
                    Some(Response::Outcome(outcome)) => Some(outcome),
                    _ => None,
                };
                self.history.end(number, outcome);
            }
        }
    }
}

fn target_of(message: &Message) -> usize {
    match message {
        Message::Request { to, .. } | Message::Response { to, .. } => *to,
    }
}

fn ticket_of(message: &Message) -> Option<u64> {
    match message {
        Message::Request { ticket, .. } => Some(*ticket),
        Message::Response { .. } => None,
    }
}
