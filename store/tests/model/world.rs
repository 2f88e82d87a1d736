//! A small world for the cores of stores: their disks, the messages between them, and an operator's
//! calls. Whoever explores it decides what is delivered, lost, repeated or held up, and which store is
//! restarted or loses its disk.

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

/// Ways to break the shell round the cores, to show that the checks see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// What was saved last is lost with the process: replies left before the sync.
    NoSync,
    /// A store answers reads by its own copy, without a round.
    ReadsWithoutRound,
    /// A disk that was lost votes on under its old incarnation, with nothing promised.
    VotesAfterWipe,
    /// Whoever was to accept a value counts as having done so, asked or not.
    CountsUnaskedVotes,
    /// A submission that is sent again bears another key.
    ForgetsKeys,
    /// Two operators' versions are not looked at.
    ForgetsVersions,
}

/// What the operator asks, and of which store.
#[derive(Clone, Debug)]
pub enum Call {
    Setup { store: usize, version: u64, text: &'static str },
    Submission { store: usize, key: &'static str, text: &'static str },
    Read { store: usize },
}

impl Call {
    fn store(&self) -> usize {
        match self {
            Call::Setup { store, .. } | Call::Submission { store, .. } | Call::Read { store } => {
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
    pub core: Replica,
    disk: Disk,
    /// What is left of the disk if the process dies now.
    durable: Disk,
    /// Replies to an earlier life reach nobody.
    life: u32,
}

#[derive(Clone)]
enum Asker {
    Store { index: usize, life: u32, call: u64 },
    Operator { number: usize },
}

/// A call that a store has to answer.
#[derive(Clone)]
struct Ticket {
    asker: Asker,
    asked: usize,
    is_open: bool,
}

#[derive(Clone)]
pub enum Message {
    Ask { to: usize, incarnation: u64, ticket: u64, ask: Arc<Request> },
    Tell { to: usize, life: u32, call: u64, tell: Option<Arc<Response>> },
}

#[derive(Clone)]
pub struct World {
    pub stores: Vec<Store>,
    pub messages: VecDeque<Message>,
    /// Held up until nothing else is on its way.
    pub late: VecDeque<Message>,
    pub history: History,
    /// Stands still, or is cut off from all other stores, with what reaches it when that is over.
    frozen: Option<(usize, VecDeque<Message>)>,
    broken: Option<Broken>,
    tickets: Vec<Ticket>,
    now: Duration,
    founders: usize,
    next_incarnation: u64,
    steps: u64,
}

const PULSE: Duration = Duration::from_millis(50);

fn found(disk: &Disk) -> RecoveredState {
    let state = disk.state.clone().expect("a disk has a state");
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
    /// Stores that hold the beginning of a word, and nothing on its way.
    pub fn new(seats: usize, broken: Option<Broken>) -> World {
        let mut world = World {
            stores: Vec::new(),
            messages: VecDeque::new(),
            late: VecDeque::new(),
            history: History::default(),
            frozen: None,
            broken: None,
            tickets: Vec::new(),
            now: Duration::from_secs(1),
            founders: seats,
            next_incarnation: 100,
            steps: 0,
        };
        for number in 0..seats {
            let disk = world.empty_disk();
            let name = format!("s{number}");
            let identity = Identity { name: name.clone(), bootstrap_size: seats };
            let core = Replica::new(identity, found(&disk), world.now);
            let durable = disk.clone();
            world.stores.push(Store { name, core, disk, durable, life: 0 });
        }
        for _ in 0..60 {
            world.pulse();
            world.deliver_all();
        }
        assert_eq!(world.votes(), seats, "the word has begun");
        // From here on nobody begins a word.
        world.founders = 0;
        world.broken = broken;
        world
    }

    fn empty_disk(&mut self) -> Disk {
        self.next_incarnation += 1;
        let incarnation = self.next_incarnation;
        let state = HardState { incarnation, promised: Default::default(), accepted: None };
        Disk { state: Some(state), versions: BTreeMap::new() }
    }

    pub fn votes(&self) -> usize {
        self.stores.iter().filter(|store| store.core.summary().is_voting).count()
    }

    /// Steps of cores so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    pub fn deliver_all(&mut self) {
        while let Some(message) = self.messages.pop_front() {
            self.deliver(message);
        }
    }

    pub fn deliver(&mut self, message: Message) {
        if let Some((index, held)) = &mut self.frozen
            && to_whom(&message) == *index
        {
            held.push_back(message.clone());
            // Whoever asked waits for a limit of time only; the question may still come.
            if let Some(ticket) = ticket_of(&message) {
                self.answer(ticket, None);
            }
            return;
        }
        match message {
            Message::Ask { to, incarnation, ticket, ask } => {
                if self.stores[to].core.summary().incarnation != incarnation {
                    return self.answer(ticket, None);
                }
                self.step(to, Event::RequestReceived { ticket, request: (*ask).clone() });
            }
            Message::Tell { to, life, call, tell } => {
                if self.stores[to].life == life {
                    let tell = tell.map(|tell| (*tell).clone());
                    self.step(to, Event::ResponseReceived { call, response: tell });
                }
            }
        }
    }

    /// It never arrives; who asked is told so by a limit of time.
    pub fn lose(&mut self, message: Message) {
        match message {
            Message::Ask { ticket, .. } => self.answer(ticket, None),
            Message::Tell { to, life, call, .. } => {
                self.late.push_back(Message::Tell { to, life, call, tell: None });
            }
        }
    }

    /// Nothing is on its way any more: what was held up comes now.
    pub fn release_late(&mut self) -> bool {
        let is_any = !self.late.is_empty();
        self.messages.append(&mut self.late);
        is_any
    }

    /// It stands still until it is called by an operator, or dies.
    pub fn freeze(&mut self, index: usize) {
        self.thaw();
        self.frozen = Some((index, VecDeque::new()));
    }

    /// What was sent to it meanwhile comes in order, before anything else.
    pub fn thaw(&mut self) {
        if let Some((_, held)) = self.frozen.take() {
            for message in held.into_iter().rev() {
                self.messages.push_front(message);
            }
        }
    }

    pub fn is_frozen(&self, index: usize) -> bool {
        self.frozen.as_ref().is_some_and(|(frozen, _)| *frozen == index)
    }

    /// The process dies and starts again at once, with what its disk kept.
    pub fn restart(&mut self, index: usize) {
        if self.is_frozen(index) {
            self.frozen = None;
        }
        let store = &mut self.stores[index];
        store.disk = store.durable.clone();
        store.life += 1;
        let identity = Identity { name: store.name.clone(), bootstrap_size: self.founders };
        store.core = Replica::new(identity, found(&store.disk), self.now);
        self.close_tickets(index);
    }

    /// The process dies, and its disk is an empty one afterwards.
    pub fn wipe(&mut self, index: usize) {
        let disk = match self.broken {
            Some(Broken::VotesAfterWipe) => self.beginning_of(index),
            _ => self.empty_disk(),
        };
        let store = &mut self.stores[index];
        store.disk = disk.clone();
        store.durable = disk;
        self.restart(index);
    }

    /// A disk with nothing on it but the beginning, under the incarnation that it had.
    fn beginning_of(&self, index: usize) -> Disk {
        let disk = &self.stores[index].disk;
        let first = disk.versions.iter().find(|(id, _)| id.revision == 0);
        let (id, value) = first.expect("the beginning is kept");
        let ballot = Ballot { number: 2, ..BOOTSTRAP_BALLOT };
        let accepted = Some(AcceptedProposal { ballot, revision: 0, digest: id.digest });
        let incarnation = self.stores[index].core.summary().incarnation;
        let state = HardState { incarnation, promised: ballot, accepted };
        Disk { state: Some(state), versions: BTreeMap::from([(*id, value.clone())]) }
    }

    /// What a store that died was asked is answered by nobody.
    fn close_tickets(&mut self, index: usize) {
        let open = |(number, ticket): (usize, &Ticket)| {
            (ticket.is_open && ticket.asked == index).then_some(number as u64)
        };
        let open: Vec<u64> = self.tickets.iter().enumerate().filter_map(open).collect();
        let on_their_way: Vec<u64> =
            self.messages.iter().chain(&self.late).filter_map(ticket_of).collect();
        for ticket in open.into_iter().filter(|ticket| !on_their_way.contains(ticket)) {
            self.answer(ticket, None);
        }
    }

    /// Fifty milliseconds go by at all stores, who hear of each other.
    pub fn pulse(&mut self) {
        self.now += PULSE;
        let claim = |store: &Store| {
            let summary = store.core.summary();
            let (incarnation, blank) = (summary.incarnation, summary.is_empty);
            let founds = blank && summary.may_bootstrap;
            LiveStore {
                name: store.name.clone(),
                incarnation,
                is_empty: blank,
                may_bootstrap: founds,
            }
        };
        let live = (0..self.stores.len()).filter(|index| !self.is_frozen(*index));
        let live: Vec<LiveStore> = live.map(|index| claim(&self.stores[index])).collect();
        let summaries = self.stores.iter().map(|store| store.core.summary().committed);
        let revision = summaries.max().unwrap_or(0);
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
        let ask = match call {
            Call::Read { .. } => Request::Read,
            Call::Setup { version, text, .. } => {
                let is_kept = self.broken != Some(Broken::ForgetsVersions);
                let version = is_kept.then_some(*version);
                let bytes = text.as_bytes().to_vec();
                let change = Change::ReplaceConfig { bytes, if_revision: None, version };
                Request::Change { key: format!("made-{number}"), change, keyless_for: None }
            }
            Call::Submission { key, text, .. } => {
                let key = match self.broken {
                    Some(Broken::ForgetsKeys) => format!("{key}-{number}"),
                    _ => key.to_string(),
                };
                let bytes = text.as_bytes().to_vec();
                let change = Change::ReplaceConfig { bytes, if_revision: None, version: None };
                Request::Change { key, change, keyless_for: None }
            }
        };
        if self.broken == Some(Broken::ReadsWithoutRound) && matches!(ask, Request::Read) {
            let disk = &self.stores[store].disk;
            let meta = disk.state.as_ref().and_then(|state| state.accepted);
            let held = meta.and_then(|meta| disk.versions.get(&meta.version()));
            let outcome = held.map(|value| Outcome::Value { value: (**value).clone() });
            return self.history.end(number, outcome);
        }
        let ticket = self.ticket(Asker::Operator { number }, store);
        // Who wakes finds the call before the replies of its own last round.
        let is_frozen = self.is_frozen(store);
        self.step(store, Event::RequestReceived { ticket, request: ask });
        if is_frozen {
            self.thaw();
        }
    }

    fn ticket(&mut self, asker: Asker, asked: usize) -> u64 {
        self.tickets.push(Ticket { asker, asked, is_open: true });
        self.tickets.len() as u64 - 1
    }

    fn step(&mut self, index: usize, event: Event) {
        self.steps += 1;
        let effects = self.stores[index].core.step(self.now, event);
        for effect in effects {
            self.perform(index, effect);
        }
    }

    fn perform(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Persist(writes) => self.save(index, writes),
            Effect::Send { call, incarnation, request: ask } => {
                let asker = Asker::Store { index, life: self.stores[index].life, call };
                let is_it = |store: &Store| store.core.summary().incarnation == incarnation;
                match self.stores.iter().position(is_it) {
                    Some(_) if self.counts_unasked(&ask) => {
                        let life = self.stores[index].life;
                        let tell = Some(Arc::new(Response::Accepted { from: incarnation }));
                        self.messages.push_back(Message::Tell { to: index, life, call, tell });
                    }
                    Some(to) => {
                        let ticket = self.ticket(asker, to);
                        let ask = Arc::new(ask);
                        self.messages.push_back(Message::Ask { to, incarnation, ticket, ask });
                    }
                    None => {
                        let life = self.stores[index].life;
                        self.messages.push_back(Message::Tell {
                            to: index,
                            life,
                            call,
                            tell: None,
                        });
                    }
                }
            }
            Effect::Reply { ticket, response: tell } => self.answer(ticket, Some(tell)),
            Effect::ReplyFromDisk { ticket, versions, as_outcome } => {
                let disk = &self.stores[index].disk;
                let load = |id: &VersionId| disk.versions.get(id).map(|value| (**value).clone());
                let response = response_from_disk(&versions, as_outcome, load).response;
                self.answer(ticket, Some(response));
            }
            Effect::Committed(value) => self.history.chosen(&value),
            Effect::Reset => {
                let disk = self.empty_disk();
                let store = &mut self.stores[index];
                store.disk = disk.clone();
                store.durable = disk;
                let found = found(&store.disk);
                self.step(index, Event::Reset(found));
            }
            Effect::Log(text) => {
                if text.contains("never happen") {
                    self.history.fault(text);
                }
            }
        }
    }

    fn counts_unasked(&self, ask: &Request) -> bool {
        let is_broken = self.broken == Some(Broken::CountsUnaskedVotes);
        is_broken && matches!(ask, Request::Accept { .. })
    }

    fn save(&mut self, index: usize, writes: Vec<DiskWrite>) {
        let store = &mut self.stores[index];
        if self.broken == Some(Broken::NoSync) {
            store.durable = store.disk.clone();
        }
        for write in writes {
            match write {
                DiskWrite::Version { id, bytes } => {
                    let value: Value = wire::decode(&bytes).expect("own bytes");
                    store.disk.versions.insert(id, Arc::new(value));
                }
                DiskWrite::State(state) => store.disk.state = Some(state),
                DiskWrite::Remove(id) => {
                    store.disk.versions.remove(&id);
                }
            }
        }
        if self.broken != Some(Broken::NoSync) {
            store.durable = store.disk.clone();
        }
    }

    fn answer(&mut self, ticket: u64, tell: Option<Response>) {
        let ticket = &mut self.tickets[ticket as usize];
        if !std::mem::replace(&mut ticket.is_open, false) {
            return;
        }
        match ticket.asker {
            Asker::Store { index, life, call } => {
                let tell = tell.map(Arc::new);
                self.messages.push_back(Message::Tell { to: index, life, call, tell });
            }
            Asker::Operator { number } => {
                let outcome = match tell {
                    Some(Response::Outcome(outcome)) => Some(outcome),
                    _ => None,
                };
                self.history.end(number, outcome);
            }
        }
    }
}

fn to_whom(message: &Message) -> usize {
    match message {
        Message::Ask { to, .. } | Message::Tell { to, .. } => *to,
    }
}

fn ticket_of(message: &Message) -> Option<u64> {
    match message {
        Message::Ask { ticket, .. } => Some(*ticket),
        Message::Tell { .. } => None,
    }
}
