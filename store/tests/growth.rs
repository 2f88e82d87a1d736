//! What a store holds does not grow with the number of changes: versions, bytes on the disk, the size of a
//! value, and the bytes by which a member that was away for all of them is brought up to date. Printed with
//! `--nocapture`; ten thousand changes with `VANEPATH_CHANGES=10000`.

use std::time::{Duration, Instant};
use vanepath_store::consensus::{Effect, Event, Identity, LiveStore, Replica, response_from_disk};
use vanepath_store::disk::Disk;
use vanepath_store::protocol::{Change, Outcome, Request, Response};
use vanepath_store::value::VersionId;

/// A store on a real folder.
struct Store {
    name: String,
    core: Replica,
    disk: Disk,
    folder: std::path::PathBuf,
}

fn folder(name: &str) -> std::path::PathBuf {
    let folder =
        std::env::temp_dir().join(format!("vanepath-growth-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

fn start(name: &str, folder: &std::path::Path, random: u64, now: Duration) -> Store {
    let disk = Disk::open(folder).unwrap();
    let recovered = disk.load(random).unwrap();
    let identity = Identity { name: name.to_string(), bootstrap_size: 3 };
    let core = Replica::new(identity, recovered, now);
    Store { name: name.to_string(), core, disk, folder: folder.to_path_buf() }
}

/// Three stores, of which any may be down, and the messages between them.
struct Fleet {
    stores: Vec<Option<Store>>,
    now: Duration,
    tickets: Vec<Option<(usize, u64)>>,
    events: std::collections::VecDeque<(usize, Event)>,
    outcomes: Vec<Outcome>,
    /// Bytes of requests and responses to the third store.
    third_received_bytes: usize,
}

impl Fleet {
    fn send(&mut self, to: usize, event: Event) {
        self.events.push_back((to, event));
    }

    fn run(&mut self) {
        while let Some((to, event)) = self.events.pop_front() {
            let Some(store) = &mut self.stores[to] else {
                if let Event::RequestReceived { ticket, .. } = event {
                    self.respond(ticket, None);
                }
                continue;
            };
            for effect in store.core.step(self.now, event) {
                self.perform(to, effect);
            }
        }
    }

    fn perform(&mut self, who: usize, effect: Effect) {
        match effect {
            Effect::Persist(writes) => {
                self.stores[who].as_ref().unwrap().disk.save(&writes).unwrap();
            }
            Effect::Send { call, incarnation, request } => {
                self.tickets.push(Some((who, call)));
                let ticket = self.tickets.len() as u64 - 1;
                let is_it = |store: &Option<Store>| {
                    store.as_ref().is_some_and(|one| one.core.summary().incarnation == incarnation)
                };
                match self.stores.iter().position(is_it) {
                    Some(to) => {
                        self.count(to, vanepath_cluster::wire::encode(&request).len());
                        self.send(to, Event::RequestReceived { ticket, request });
                    }
                    None => self.respond(ticket, None),
                }
            }
            Effect::Reply { ticket, response } => self.respond(ticket, Some(response)),
            Effect::ReplyFromDisk { ticket, versions, as_outcome } => {
                let disk = &self.stores[who].as_ref().unwrap().disk;
                let load = |id: &VersionId| disk.version(id);
                let response = response_from_disk(&versions, as_outcome, load).response;
                self.respond(ticket, Some(response));
            }
            Effect::Reset => panic!("nobody loses a seat here"),
            Effect::Committed(_) | Effect::Log(_) => {}
        }
    }

    fn count(&mut self, to: usize, bytes: usize) {
        if to == 2 {
            self.third_received_bytes += bytes;
        }
    }

    fn respond(&mut self, ticket: u64, response: Option<Response>) {
        match self.tickets[ticket as usize] {
            Some((to, call)) => {
                let bytes = response
                    .as_ref()
                    .map_or(0, |response| vanepath_cluster::wire::encode(response).len());
                self.count(to, bytes);
                self.send(to, Event::ResponseReceived { call, response });
            }
            None => {
                if let Some(Response::Outcome(outcome)) = response {
                    self.outcomes.push(outcome);
                }
            }
        }
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += Duration::from_millis(50);
            let live: Vec<LiveStore> = self.stores.iter().flatten().map(live_store).collect();
            for index in 0..self.stores.len() {
                if self.stores[index].is_some() {
                    self.send(index, Event::LiveStores(live.clone()));
                    self.send(index, Event::Tick);
                }
            }
            self.run();
        }
    }

    fn change(&mut self, number: u64) {
        self.tickets.push(None);
        let ticket = self.tickets.len() as u64 - 1;
        let bytes =
            format!("{{\"setup\": {number}, \"text\": \"{}\"}}", "x".repeat(4000)).into_bytes();
        let change = Change::ReplaceConfig { bytes, if_revision: None, version: Some(number) };
        let keyless_for = Some(Duration::ZERO);
        let request = Request::Change { key: format!("made-{number:016}"), change, keyless_for };
        self.send(0, Event::RequestReceived { ticket, request });
        self.run();
    }
}

fn live_store(store: &Store) -> LiveStore {
    let summary = store.core.summary();
    let (incarnation, is_empty) = (summary.incarnation, summary.is_empty);
    let (name, may_bootstrap) = (store.name.clone(), is_empty && summary.may_bootstrap);
    LiveStore { name, incarnation, is_empty, may_bootstrap }
}

fn bytes_in(folder: &std::path::Path) -> u64 {
    let files = std::fs::read_dir(folder).unwrap();
    files.map(|entry| entry.unwrap().metadata().unwrap().len()).sum()
}

/// What was measured after so many changes.
#[derive(Debug)]
struct Measured {
    changes: u64,
    versions: usize,
    disk_bytes: u64,
    start: Duration,
    caught_up_bytes: usize,
    caught_up_after: Duration,
}

fn measure(changes: u64) -> Measured {
    let folders: Vec<_> = (0..3).map(|index| folder(&format!("{changes}-{index}"))).collect();
    let now = Duration::from_secs(1);
    let stores = (0..3)
        .map(|index| Some(start(&format!("s{index}"), &folders[index], 100 + index as u64, now)));
    let mut fleet = Fleet {
        stores: stores.collect(),
        now,
        tickets: Vec::new(),
        events: Default::default(),
        outcomes: Vec::new(),
        third_received_bytes: 0,
    };
    fleet.run_for(Duration::from_secs(2));
    fleet.change(1);
    // Down for all the others.
    fleet.stores[2] = None;
    for number in 2..=changes {
        fleet.change(number);
    }
    assert_eq!(fleet.outcomes.len() as u64, changes);
    assert!(fleet.outcomes.iter().all(|one| matches!(one, Outcome::Accepted { .. })));
    let third = start("s2", &folders[2], 7, fleet.now);
    fleet.stores[2] = Some(third);
    fleet.third_received_bytes = 0;
    let back_at = fleet.now;
    let wanted = fleet.stores[0].as_ref().unwrap().core.summary().accepted;
    while fleet.stores[2].as_ref().unwrap().core.summary().accepted < wanted {
        fleet.run_for(Duration::from_millis(50));
        assert!(fleet.now - back_at < Duration::from_secs(10), "it never catches up");
    }
    let (caught_up_bytes, caught_up_after) = (fleet.third_received_bytes, fleet.now - back_at);
    let first = fleet.stores[0].take().unwrap();
    let versions = first.core.summary().versions;
    let disk_bytes = bytes_in(&first.folder);
    drop(first);
    let began = Instant::now();
    let again = start("s0", &folders[0], 9, fleet.now);
    let start = began.elapsed();
    assert_eq!(again.core.summary().accepted, wanted, "what was acknowledged is there");
    drop(again);
    drop(fleet);
    for folder in folders {
        std::fs::remove_dir_all(folder).unwrap();
    }
    Measured { changes, versions, disk_bytes, start, caught_up_bytes, caught_up_after }
}

#[test]
fn stored_data_is_bounded_however_many_changes_there_were() {
    let max = std::env::var("VANEPATH_CHANGES").ok().and_then(|text| text.parse().ok());
    let max: u64 = max.unwrap_or(1500);
    let mut steps = vec![10, 100, 1000, 10_000];
    steps.retain(|one| *one < max);
    steps.push(max);
    for changes in steps {
        let measured = measure(changes);
        println!(
            "{} changes: {} versions, {} bytes on the disk, started within {:?}; a member that was away \
             caught up with {} bytes after {:?}",
            measured.changes,
            measured.versions,
            measured.disk_bytes,
            measured.start,
            measured.caught_up_bytes,
            measured.caught_up_after,
        );
        // The chain that stays readable, and what is not pruned yet.
        assert!(measured.versions <= 1024 + 64 + 1, "{measured:?}");
        assert!(measured.disk_bytes < 66 << 20, "{measured:?}");
        // One value says all that it needs to go on; older versions come in the background.
        assert!(measured.caught_up_after <= Duration::from_secs(4), "{measured:?}");
        assert!(measured.caught_up_bytes < 4 << 20, "{measured:?}");
    }
}
