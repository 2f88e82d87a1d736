//! Replicas with simulated disks, and messages that a test may drop or delay.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::wire;
use vanepath_store::consensus::{
    DiskWrite, Effect, Event, HardState, Identity, LiveStore, RecoveredState, Replica,
    StoredVersion, response_from_disk,
};
use vanepath_store::protocol::{Change, Outcome, Request, Response};
use vanepath_store::value::{Value, VersionId};

#[derive(Default)]
pub struct Disk {
    pub state: Option<HardState>,
    pub versions: BTreeMap<VersionId, Value>,
}

pub struct Store {
    pub identity: Identity,
    pub replica: Replica,
    pub disk: Disk,
    pub is_up: bool,
}

/// The requester that waits for the response to a ticket.
#[derive(Clone, Copy)]
pub enum Requester {
    Store(usize, u64),
    Operator,
}

/// A predicate on a message from one store to another.
pub type LinkRule<M> = Box<dyn Fn(usize, usize, &M) -> bool>;

pub struct Fleet {
    pub stores: Vec<Store>,
    pub now: Duration,
    pub tickets: Vec<Requester>,
    pub events: VecDeque<(usize, Event)>,
    pub outcomes: Vec<Outcome>,
    pub responses: Vec<Response>,
    /// Drops requests from one store to another.
    pub drops_request: LinkRule<Request>,
    /// Drops responses from one store to another.
    pub drops_response: LinkRule<Response>,
    /// Puts responses from one store to another into `delayed`, until a test delivers them.
    pub delays_response: LinkRule<Response>,
    pub delayed: Vec<(usize, Event)>,
    /// The confirmations of all stores, in order, each with the index of its store.
    confirmations: Vec<(usize, Confirmation)>,
}

/// A confirmation that a store has reported.
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    pub revision: u64,
    pub began_at: Duration,
}

pub fn recovered(disk: &mut Disk, random: u64) -> RecoveredState {
    let fresh = HardState { incarnation: random, promised: Default::default(), accepted: None };
    let state = disk.state.get_or_insert(fresh).clone();
    let id = state.accepted.map(|accepted| accepted.version());
    let value = id.and_then(|id| disk.versions.get(&id).cloned()).map(Arc::new);
    let versions = disk
        .versions
        .iter()
        .map(|(id, value)| StoredVersion::new(*id, value, value.encode().len()))
        .collect();
    let batch = value.as_ref().map(|value| {
        RecoveredState::load_batch(value, |id| {
            let ancestor = disk.versions.get(&id).expect("the accepted batch is on the disk");
            Some(Arc::new(ancestor.clone()))
        })
    });
    RecoveredState { state, value, batch: batch.unwrap_or_default(), versions }
}

impl Fleet {
    pub fn new() -> Fleet {
        Fleet::of(3)
    }

    /// Creates this number of stores with empty disks, which bootstrap together.
    pub fn of(stores: usize) -> Fleet {
        let mut fleet = Fleet {
            stores: Vec::new(),
            now: Duration::from_secs(1),
            tickets: Vec::new(),
            events: VecDeque::new(),
            outcomes: Vec::new(),
            responses: Vec::new(),
            drops_request: Box::new(|_, _, _| false),
            drops_response: Box::new(|_, _, _| false),
            delays_response: Box::new(|_, _, _| false),
            delayed: Vec::new(),
            confirmations: Vec::new(),
        };
        for number in 0..stores {
            fleet.add(&format!("s{number}"), stores, 100 + number as u64);
        }
        fleet
    }

    pub fn add(&mut self, name: &str, bootstrap_size: usize, random: u64) {
        let mut disk = Disk::default();
        let identity = Identity { name: name.to_string(), bootstrap_size };
        let replica = Replica::new(identity.clone(), recovered(&mut disk, random), self.now);
        self.stores.push(Store { identity, replica, disk, is_up: true });
    }

    /// Replaces the disk of a store by an empty one, and restarts its process.
    pub fn wipe(&mut self, index: usize, random: u64) {
        let now = self.now;
        let store = &mut self.stores[index];
        store.disk = Disk::default();
        let recovered = recovered(&mut store.disk, random);
        store.replica = Replica::new(store.identity.clone(), recovered, now);
        store.is_up = true;
    }

    pub fn voting(&self) -> usize {
        let up = self.stores.iter().filter(|store| store.is_up);
        up.filter(|store| store.replica.summary().is_voting).count()
    }

    pub fn value(&self, index: usize) -> &Value {
        let disk = &self.stores[index].disk;
        let accepted =
            disk.state.as_ref().unwrap().accepted.expect("the store has accepted a value");
        &disk.versions[&accepted.version()]
    }

    pub fn restart(&mut self, index: usize) {
        let now = self.now;
        let store = &mut self.stores[index];
        store.replica = Replica::new(store.identity.clone(), recovered(&mut store.disk, 7), now);
        store.is_up = true;
    }

    pub fn request(&mut self, index: usize, request: Request) {
        self.tickets.push(Requester::Operator);
        let ticket = self.tickets.len() as u64 - 1;
        self.events.push_back((index, Event::RequestReceived { ticket, request }));
        self.run();
    }

    /// Sends a change to one store; returns the outcome if there is one within two seconds.
    pub fn write(&mut self, index: usize, key: &str) -> Option<Outcome> {
        let before = self.outcomes.len();
        let bytes = key.as_bytes().to_vec();
        let change = Change::ReplaceConfig { bytes, if_revision: None, version: None };
        self.request(
            index,
            Request::Change {
                key: key.to_string(),
                change,
                keyless_for: None,
                known_revision: None,
            },
        );
        self.run_for(Duration::from_secs(2));
        self.outcomes.get(before).cloned()
    }

    /// Lets time pass, with a tick of all stores every 50 ms.
    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += Duration::from_millis(50);
            let live: Vec<LiveStore> = self
                .stores
                .iter()
                .filter(|store| store.is_up)
                .map(|store| {
                    let summary = store.replica.summary();
                    let (incarnation, is_empty) = (summary.incarnation, summary.is_empty);
                    let name = store.identity.name.clone();
                    LiveStore {
                        name,
                        incarnation,
                        is_empty,
                        may_bootstrap: is_empty && summary.may_bootstrap,
                    }
                })
                .collect();
            for index in 0..self.stores.len() {
                self.events.push_back((index, Event::LiveStores(live.clone())));
                self.events.push_back((index, Event::Tick));
            }
            self.run();
        }
    }

    pub fn run(&mut self) {
        while let Some((index, event)) = self.events.pop_front() {
            if !self.stores[index].is_up {
                if let Event::RequestReceived { ticket, .. } = event {
                    self.fail_call(ticket);
                }
                continue;
            }
            for effect in self.stores[index].replica.step(self.now, event) {
                self.perform(index, effect);
            }
        }
    }

    pub fn fail_call(&mut self, ticket: u64) {
        if let Requester::Store(requester, call) = self.tickets[ticket as usize] {
            self.events.push_back((requester, Event::ResponseReceived { call, response: None }));
        }
    }

    pub fn perform(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Persist(writes) => {
                let disk = &mut self.stores[index].disk;
                for write in writes {
                    match write {
                        DiskWrite::Version { id, bytes } => {
                            let value = wire::decode(&bytes).expect("encoded by the replica");
                            disk.versions.insert(id, value);
                        }
                        DiskWrite::State(state) => disk.state = Some(state),
                        DiskWrite::Remove(id) => {
                            disk.versions.remove(&id);
                        }
                    }
                }
            }
            Effect::Send { call, incarnation, request } => {
                let target = self
                    .stores
                    .iter()
                    .position(|store| store.replica.summary().incarnation == incarnation);
                let target =
                    target.filter(|target| !(self.drops_request)(index, *target, &request));
                self.tickets.push(Requester::Store(index, call));
                let ticket = self.tickets.len() as u64 - 1;
                match target {
                    Some(target) => {
                        self.events.push_back((target, Event::RequestReceived { ticket, request }));
                    }
                    None => self.fail_call(ticket),
                }
            }
            Effect::Reply { ticket, response } => match self.tickets[ticket as usize] {
                Requester::Store(requester, call) => {
                    let is_late = (self.delays_response)(index, requester, &response);
                    let response =
                        (!(self.drops_response)(index, requester, &response)).then_some(response);
                    let event = (requester, Event::ResponseReceived { call, response });
                    match is_late {
                        true => self.delayed.push(event),
                        false => self.events.push_back(event),
                    }
                }
                Requester::Operator => {
                    if let Response::Outcome(outcome) = &response {
                        self.outcomes.push(outcome.clone());
                    }
                    self.responses.push(response);
                }
            },
            Effect::ReplyFromDisk { ticket, versions, as_outcome } => {
                let disk = &self.stores[index].disk;
                let load = |id: &VersionId| disk.versions.get(id).cloned();
                let response = response_from_disk(&versions, as_outcome, load).response;
                self.perform(index, Effect::Reply { ticket, response });
            }
            Effect::Reset => {
                let random = 9000 + self.tickets.len() as u64;
                let disk = &mut self.stores[index].disk;
                *disk = Disk::default();
                let recovered = recovered(disk, random);
                self.events.push_front((index, Event::Reset(recovered)));
            }
            Effect::Committed(_) => {}
            Effect::Confirmed { revision, began_at } => {
                self.confirmations.push((index, Confirmation { revision, began_at }));
            }
            Effect::Log(text) => assert!(!text.contains("never happen"), "{text}"),
        }
    }

    /// Lets all stores read the committed revision periodically.
    pub fn want_leases(&mut self) {
        for index in 0..self.stores.len() {
            self.events.push_back((index, Event::LeaseWanted(true)));
        }
        self.run();
    }

    pub fn confirmations_of(&self, store: usize) -> impl Iterator<Item = Confirmation> {
        let own = self.confirmations.iter().filter(move |(index, _)| *index == store);
        own.map(|(_, confirmation)| *confirmation)
    }

    pub fn last_confirmation(&self, store: usize) -> Option<Confirmation> {
        self.confirmations_of(store).last()
    }

    pub fn accepted(&self) -> Vec<u64> {
        self.stores.iter().map(|store| store.replica.summary().accepted).collect()
    }
}

pub fn revision(outcome: Option<Outcome>) -> u64 {
    match outcome {
        Some(Outcome::Accepted { revision, .. }) => revision,
        other => panic!("{other:?}"),
    }
}

pub fn replace_config(fleet: &mut Fleet, key: &str, bytes: &str, version: Option<u64>) -> Outcome {
    let before = fleet.outcomes.len();
    let bytes = bytes.as_bytes().to_vec();
    let change = Change::ReplaceConfig { bytes, if_revision: None, version };
    fleet.request(
        0,
        Request::Change { key: key.to_string(), change, keyless_for: None, known_revision: None },
    );
    fleet.run_for(Duration::from_secs(1));
    fleet.outcomes[before].clone()
}

impl Fleet {
    /// Sends a drain or restore order without a client's key, from a registry that knows the latest revision;
    /// returns the outcome.
    pub fn drain_order(&mut self, index: usize, change: Change) -> Outcome {
        let known_revision = self.latest_revision();
        self.drain_order_knowing(index, change, known_revision)
    }

    /// The same, from a registry that knows this revision, or that received the order when it knew it.
    pub fn drain_order_knowing(&mut self, index: usize, change: Change, known: u64) -> Outcome {
        let key = format!("made-{}", self.tickets.len());
        let (keyless_for, known_revision) = (Some(Duration::ZERO), Some(known));
        let before = self.outcomes.len();
        self.request(index, Request::Change { key, change, keyless_for, known_revision });
        self.outcomes[before].clone()
    }

    pub fn latest_revision(&self) -> u64 {
        (0..self.stores.len()).map(|index| self.value(index).revision).max().unwrap_or(0)
    }

    /// Tells all stores, as registries of earlier versions do, that an order's client was answered.
    pub fn acknowledge(&mut self, change: &Change, outcome: &Outcome) {
        let Outcome::Accepted { revision, .. } = outcome else { panic!("{outcome:?}") };
        let (content_hash, revision) = (change.content_hash(), *revision);
        for index in 0..self.stores.len() {
            self.request(index, Request::Acknowledge { content_hash, revision });
        }
    }

    pub fn is_drained(&self, index: usize) -> bool {
        self.value(index).is_drained("a1")
    }

    /// Changes the accepted value on all disks, as if it had been accepted like that, and restarts the stores.
    pub fn rewrite_disks(&mut self, edit: impl Fn(&mut Value)) {
        for index in 0..self.stores.len() {
            let mut value = self.value(index).clone();
            edit(&mut value);
            let disk = &mut self.stores[index].disk;
            let state = disk.state.as_mut().expect("the store has a state");
            let accepted = state.accepted.as_mut().expect("the store has accepted a value");
            accepted.digest = value.id().digest;
            disk.versions.insert(value.id(), value);
            self.restart(index);
        }
    }
}

pub fn drain() -> Change {
    Change::DrainZone { zone: "a1".to_string() }
}

pub fn restore() -> Change {
    Change::RestoreZone { zone: "a1".to_string() }
}

pub fn is_accepted(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Accepted { .. })
}
