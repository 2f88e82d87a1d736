//! The data of a store does not grow with the number of changes: the number of versions, the bytes on disk,
//! the size of a value, and the bytes that bring a member up to date that was down during all changes.
//! `--nocapture` prints the measurements; `VANEPATH_CHANGES=10000` makes ten thousand changes.

use std::time::{Duration, Instant};
use vanepath_store::consensus::{Effect, Event, Identity, LiveStore, Replica, response_from_disk};
use vanepath_store::disk::Disk;
use vanepath_store::protocol::{Change, Outcome, Request, Response};
use vanepath_store::value::VersionId;

/// A store with a real data folder.
struct Store {
    name: String,
    replica: Replica,
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
    let replica = Replica::new(identity, recovered, now);
    Store { name: name.to_string(), replica, disk, folder: folder.to_path_buf() }
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
            for effect in store.replica.step(self.now, event) {
                self.perform(to, effect);
            }
        }
    }

    fn perform(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Persist(writes) => {
                self.stores[index].as_ref().unwrap().disk.save(&writes).unwrap();
            }
            Effect::Send { call, incarnation, request } => {
                self.tickets.push(Some((index, call)));
                let ticket = self.tickets.len() as u64 - 1;
                let is_target = |store: &Option<Store>| {
                    store
                        .as_ref()
                        .is_some_and(|store| store.replica.summary().incarnation == incarnation)
                };
                match self.stores.iter().position(is_target) {
                    Some(to) => {
                        self.count_bytes(to, vanepath_cluster::wire::encode(&request).len());
                        self.send(to, Event::RequestReceived { ticket, request });
                    }
                    None => self.respond(ticket, None),
                }
            }
            Effect::Reply { ticket, response } => self.respond(ticket, Some(response)),
            Effect::ReplyFromDisk { ticket, versions, as_outcome } => {
                let disk = &self.stores[index].as_ref().unwrap().disk;
                let load = |id: &VersionId| disk.version(id);
                let response = response_from_disk(&versions, as_outcome, load).response;
                self.respond(ticket, Some(response));
            }
            Effect::Reset => panic!("no member is removed in this test"),
            Effect::Committed(_) | Effect::Confirmed { .. } | Effect::Log(_) => {}
        }
    }

    fn count_bytes(&mut self, to: usize, bytes: usize) {
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
                self.count_bytes(to, bytes);
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
        let request = Request::Change {
            key: format!("made-{number:016}"),
            change,
            keyless_for,
            known_revision: None,
        };
        self.send(0, Event::RequestReceived { ticket, request });
        self.run();
    }
}

fn live_store(store: &Store) -> LiveStore {
    let summary = store.replica.summary();
    let (incarnation, is_empty) = (summary.incarnation, summary.is_empty);
    let (name, may_bootstrap) = (store.name.clone(), is_empty && summary.may_bootstrap);
    LiveStore { name, incarnation, is_empty, may_bootstrap }
}

fn bytes_in(folder: &std::path::Path) -> u64 {
    let files = std::fs::read_dir(folder).unwrap();
    files.map(|entry| entry.unwrap().metadata().unwrap().len()).sum()
}

/// Measurements after a number of changes.
#[derive(Debug)]
struct Measured {
    changes: u64,
    versions: usize,
    disk_bytes: u64,
    start_time: Duration,
    catch_up_bytes: usize,
    catch_up_time: Duration,
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
    // The third store is down during all further changes.
    fleet.stores[2] = None;
    for number in 2..=changes {
        fleet.change(number);
    }
    assert_eq!(fleet.outcomes.len() as u64, changes);
    assert!(fleet.outcomes.iter().all(|outcome| matches!(outcome, Outcome::Accepted { .. })));
    let third = start("s2", &folders[2], 7, fleet.now);
    fleet.stores[2] = Some(third);
    fleet.third_received_bytes = 0;
    let restarted_at = fleet.now;
    let expected = fleet.stores[0].as_ref().unwrap().replica.summary().accepted;
    while fleet.stores[2].as_ref().unwrap().replica.summary().accepted < expected {
        fleet.run_for(Duration::from_millis(50));
        assert!(
            fleet.now - restarted_at < Duration::from_secs(10),
            "the restarted store does not catch up"
        );
    }
    let (catch_up_bytes, catch_up_time) = (fleet.third_received_bytes, fleet.now - restarted_at);
    let first = fleet.stores[0].take().unwrap();
    let versions = first.replica.summary().versions;
    let disk_bytes = bytes_in(&first.folder);
    drop(first);
    let began = Instant::now();
    let restarted = start("s0", &folders[0], 9, fleet.now);
    let start_time = began.elapsed();
    assert_eq!(
        restarted.replica.summary().accepted,
        expected,
        "all acknowledged changes are on the disk"
    );
    drop(restarted);
    drop(fleet);
    for folder in folders {
        std::fs::remove_dir_all(folder).unwrap();
    }
    Measured { changes, versions, disk_bytes, start_time, catch_up_bytes, catch_up_time }
}

#[test]
fn stored_data_is_bounded_however_many_changes_there_were() {
    let max = std::env::var("VANEPATH_CHANGES").ok().and_then(|text| text.parse().ok());
    let max: u64 = max.unwrap_or(1500);
    let mut steps = vec![10, 100, 1000, 10_000];
    steps.retain(|changes| *changes < max);
    steps.push(max);
    for changes in steps {
        let measured = measure(changes);
        println!(
            "{} changes: {} versions, {} bytes on the disk, started within {:?}; a member that was down \
             caught up with {} bytes after {:?}",
            measured.changes,
            measured.versions,
            measured.disk_bytes,
            measured.start_time,
            measured.catch_up_bytes,
            measured.catch_up_time,
        );
        // The readable history, and the versions that are not pruned yet.
        assert!(measured.versions <= 1024 + 64 + 1, "{measured:?}");
        assert!(measured.disk_bytes < 66 << 20, "{measured:?}");
        // The latest value alone is enough to continue; older versions are fetched in the background.
        assert!(measured.catch_up_time <= Duration::from_secs(4), "{measured:?}");
        assert!(measured.catch_up_bytes < 4 << 20, "{measured:?}");
    }
}
