//! Model checking of agreement, replacement and restart together: the replicas as the programs run them.
//!
//! *Search.* By default every message arrives in order and calls come one after the other. From that
//! schedule every execution with up to so many deviations is run: at any moment a message is lost,
//! delayed or duplicated, a store is restarted, frozen (until it is called next) or loses its disk, or the
//! next call comes early. Two deviations
//! in CI; more with `VANEPATH_MODEL_DEVIATIONS=3 cargo test --release -p vanepath-store --test model`.
//!
//! *Walks.* Random schedules by seed, in which all of that happens all the time, with 3 and 5 members.
//!
//! *Properties* (`history.rs`): one content for each version that is acknowledged; what was acknowledged is
//! never lost, nor rejected when it is sent again; reads are linearizable; one content for each revision
//! that any store knows as committed. Each broken shell (`world::Broken`) is found by the same search.

mod history;
mod world;

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use world::{Broken, Call, World};

/// Two operators under one version, one that sends again, and readers at other stores.
fn race_of_operators() -> Vec<Call> {
    vec![
        Call::Config { store: 0, version: 1, text: "a" },
        Call::Config { store: 1, version: 2, text: "b" },
        Call::Config { store: 0, version: 2, text: "c" },
        Call::Read { store: 2 },
        Call::Config { store: 2, version: 1, text: "a" },
        Call::Read { store: 0 },
    ]
}

/// A keyed write that is sent again at another store, with another one between.
fn keyed_write_sent_again() -> Vec<Call> {
    vec![
        Call::KeyedWrite { store: 0, key: "k", text: "x" },
        Call::KeyedWrite { store: 1, key: "l", text: "y" },
        Call::KeyedWrite { store: 2, key: "k", text: "x" },
        Call::Read { store: 1 },
        Call::Read { store: 0 },
    ]
}

/// A read at a store that may have been frozen while another one was written to.
fn read_after_a_freeze() -> Vec<Call> {
    vec![
        Call::Config { store: 0, version: 1, text: "a" },
        Call::Config { store: 1, version: 2, text: "b" },
        Call::Read { store: 0 },
        Call::Config { store: 0, version: 2, text: "c" },
        Call::Read { store: 2 },
    ]
}

fn scripts() -> [Vec<Call>; 3] {
    [race_of_operators(), keyed_write_sent_again(), read_after_a_freeze()]
}

#[derive(Clone, Copy, Debug)]
enum Deviation {
    Lose,
    Delay,
    Duplicate,
    Restart(usize),
    Wipe(usize),
    Freeze(usize),
    CallEarly,
}

/// A world that executes a script.
#[derive(Clone)]
struct Run<'s> {
    world: World,
    script: &'s [Call],
    next: usize,
    idle_ticks: u32,
    path: Vec<(u64, Deviation)>,
}

/// What a search has executed.
#[derive(Default)]
struct Count {
    executions: AtomicU64,
    steps: AtomicU64,
}

/// Ticks for which an open call, or a wiped store, is waited for.
const MAX_IDLE_TICKS: u32 = 90;

impl<'s> Run<'s> {
    fn new(world: World, script: &'s [Call]) -> Run<'s> {
        Run { world, script, next: 0, idle_ticks: 0, path: Vec::new() }
    }

    /// One step of the schedule without deviations; false at its end.
    fn advance(&mut self) -> bool {
        if let Some(message) = self.world.messages.pop_front() {
            self.world.deliver(message);
        } else if self.world.release_delayed() {
            return true;
        } else if !self.is_settled() && self.idle_ticks < MAX_IDLE_TICKS {
            self.idle_ticks += 1;
            self.world.tick();
        } else {
            self.world.history.give_up();
            return self.call_next() || self.thaw_at_the_end();
        }
        true
    }

    /// No call is open, and every store votes.
    fn is_settled(&self) -> bool {
        self.world.history.is_over() && self.world.voting() == self.world.stores.len()
    }

    fn thaw_at_the_end(&mut self) -> bool {
        self.world.thaw();
        !self.world.messages.is_empty()
    }

    fn call_next(&mut self) -> bool {
        let Some(call) = self.script.get(self.next) else { return false };
        self.next += 1;
        self.idle_ticks = 0;
        self.world.call(call);
        true
    }

    fn deviations(&self) -> Vec<Deviation> {
        let mut found = Vec::new();
        if !self.world.messages.is_empty() {
            found.extend([Deviation::Lose, Deviation::Delay, Deviation::Duplicate]);
            if self.next < self.script.len() {
                found.push(Deviation::CallEarly);
            }
        }
        let stores = 0..self.world.stores.len();
        found.extend(stores.clone().map(Deviation::Restart));
        found.extend(stores.clone().map(Deviation::Freeze));
        // No more disks are lost at one time than may be.
        if self.world.voting() == self.world.stores.len() {
            found.extend(stores.map(Deviation::Wipe));
        }
        found
    }

    fn deviate(&mut self, deviation: Deviation) {
        self.path.push((self.world.steps(), deviation));
        match deviation {
            Deviation::Lose => {
                let message = self.world.messages.pop_front().expect("offered");
                self.world.lose(message);
            }
            Deviation::Delay => {
                let message = self.world.messages.pop_front().expect("offered");
                self.world.delayed.push_back(message);
            }
            Deviation::Duplicate => {
                let message = self.world.messages.front().expect("offered").clone();
                self.world.delayed.push_back(message);
            }
            Deviation::Restart(index) => self.world.restart(index),
            Deviation::Wipe(index) => self.world.wipe(index),
            Deviation::Freeze(index) => self.world.freeze(index),
            Deviation::CallEarly => {
                self.call_next();
            }
        }
    }

    /// Runs on to the end, and from each moment on with each deviation, as far as they go.
    fn explore(mut self, deviations: u32, count: &Count) -> Option<String> {
        loop {
            // An idle store meets the same deviation at each tick: once is enough.
            if deviations > 0 && (self.idle_ticks == 0 || !self.world.messages.is_empty()) {
                for deviation in self.deviations() {
                    let mut other = self.clone();
                    other.deviate(deviation);
                    if let Some(fault) = other.explore(deviations - 1, count) {
                        return Some(fault);
                    }
                }
            }
            let is_running = self.advance();
            if let Some(fault) = self.world.history.faults.first() {
                return Some(format!("{fault}, after {:?}", self.path));
            }
            if !is_running {
                count.executions.fetch_add(1, Ordering::Relaxed);
                count.steps.fetch_add(self.world.steps(), Ordering::Relaxed);
                return None;
            }
        }
    }
}

/// All executions with up to so many deviations, on all cores; the first fault that was found.
fn search(
    members: usize,
    script: &[Call],
    broken: Option<Broken>,
    deviations: u32,
) -> Option<String> {
    let mut runs = Vec::new();
    let mut run = Run::new(World::new(members, broken), script);
    loop {
        for deviation in run.deviations() {
            let mut other = run.clone();
            other.deviate(deviation);
            runs.push(other);
        }
        if !run.advance() {
            break;
        }
    }
    let plain = run.world.history.faults.first().cloned();
    let (count, turn) = (Count::default(), AtomicUsize::new(0));
    let found = std::sync::Mutex::new(plain);
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| {
                while let Some(run) = runs.get(turn.fetch_add(1, Ordering::Relaxed)) {
                    if found.lock().unwrap().is_some() {
                        return;
                    }
                    if let Some(fault) = run.clone().explore(deviations - 1, &count) {
                        found.lock().unwrap().get_or_insert(fault);
                    }
                }
            });
        }
    });
    println!(
        "{members} seats, {broken:?}, up to {deviations} deviations: {} executions, {} steps",
        count.executions.load(Ordering::Relaxed),
        count.steps.load(Ordering::Relaxed),
    );
    found.into_inner().unwrap()
}

fn deviations(otherwise: u32) -> u32 {
    let setting = std::env::var("VANEPATH_MODEL_DEVIATIONS").ok();
    setting.and_then(|text| text.parse().ok()).unwrap_or(otherwise)
}

#[test]
fn no_execution_with_three_members_violates_a_property() {
    for script in scripts() {
        assert_eq!(search(3, &script, None, deviations(2)), None);
    }
}

#[test]
fn no_execution_with_five_members_violates_a_property() {
    for script in scripts() {
        assert_eq!(search(5, &script, None, deviations(2) - 1), None);
    }
}

/// The same search finds every way in which the shell is broken.
#[test]
fn every_broken_shell_is_found() {
    for broken in [
        Broken::NoSync,
        Broken::ReadsWithoutRound,
        Broken::VotesAfterWipe,
        Broken::CountsUnaskedVotes,
        Broken::ForgetsKeys,
        Broken::ForgetsVersions,
    ] {
        let found = scripts().iter().find_map(|script| search(3, script, Some(broken), 2));
        println!("{broken:?}: {found:?}");
        assert!(found.is_some(), "{broken:?} breaks nothing that is seen");
    }
}

/// A stream of numbers by seed.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as usize) % bound
    }
}

const TEXTS: [&str; 3] = ["one", "two", "three"];
const KEYS: [&str; 3] = ["k", "l", "m"];

fn any_call(random: &mut Random, members: usize, highest: &mut u64) -> Call {
    let store = random.below(members);
    match random.below(4) {
        0 => Call::Read { store },
        1 => {
            let at = random.below(KEYS.len());
            Call::KeyedWrite { store, key: KEYS[at], text: TEXTS[at] }
        }
        _ => {
            *highest += random.below(2) as u64;
            let version = (*highest).saturating_sub(random.below(3) as u64).max(1);
            Call::Config { store, version, text: TEXTS[random.below(TEXTS.len())] }
        }
    }
}

/// Faults happen all the time; at the end there are none, all stores vote again, and a read at each shows
/// what was acknowledged. Gives the violated properties, and how many calls were acknowledged.
fn random_walk(seed: u64, members: usize) -> (Vec<String>, usize) {
    let mut random = Random(seed);
    let mut world = World::new(members, None);
    let mut highest = 1;
    for _ in 0..500 {
        match random.below(100) {
            0..=5 => world.call(&any_call(&mut random, members, &mut highest)),
            6..=9 => world.tick(),
            10 => world.restart(random.below(members)),
            11 => match random.below(2) {
                0 => world.freeze(random.below(members)),
                _ => world.thaw(),
            },
            12 if world.voting() > members / 2 + 1 => {
                // Not more disks than may be lost at one time.
                world.wipe(random.below(members));
            }
            _ if world.messages.is_empty() => {
                if !world.release_delayed() {
                    world.tick();
                }
            }
            drawn => {
                let at = random.below(world.messages.len());
                let Some(message) = world.messages.remove(at) else { continue };
                match drawn {
                    13..=17 => world.lose(message),
                    18..=24 => world.delayed.push_back(message),
                    25..=27 => {
                        world.delayed.push_back(message.clone());
                        world.deliver(message);
                    }
                    _ => world.deliver(message),
                }
            }
        }
    }
    world.thaw();
    world.history.give_up();
    for _ in 0..400 {
        world.tick();
        world.release_delayed();
        world.deliver_all();
    }
    let voting = world.voting();
    if voting < members {
        world.history.fault(format!("{voting} of {members} stores vote at the end"));
    }
    for store in 0..members {
        world.call(&Call::Read { store });
        world.deliver_all();
        if !world.history.is_over() {
            world.history.fault(format!("a read at store {store} is not answered at the end"));
        }
    }
    (world.history.faults.clone(), world.history.acknowledged())
}

#[test]
fn no_random_walk_violates_a_property() {
    let walks = 500 * u64::from(deviations(2));
    let (turn, acknowledged) = (AtomicU64::new(0), AtomicUsize::new(0));
    let found = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| {
                loop {
                    let seed = turn.fetch_add(1, Ordering::Relaxed);
                    if seed >= walks {
                        return;
                    }
                    for members in [3, 5] {
                        let (faults, known) = random_walk(seed, members);
                        acknowledged.fetch_add(known, Ordering::Relaxed);
                        let named = faults
                            .into_iter()
                            .map(|one| format!("seed {seed}, {members} seats: {one}"));
                        found.lock().unwrap().extend(named);
                    }
                }
            });
        }
    });
    let acknowledged = acknowledged.into_inner();
    println!("{walks} walks with 3 and with 5 seats, {acknowledged} calls acknowledged");
    let found = found.into_inner().unwrap();
    assert!(found.is_empty(), "{}", found.join("\n"));
    assert!(acknowledged as u64 > walks, "most walks get somewhere");
}
