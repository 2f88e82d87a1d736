//! Model checking of agreement, replacement and restart together: the cores as the programs run them.
//!
//! *Search.* By default every message arrives in order and calls come one after the other. From that
//! schedule every execution with up to so many deviations is run: at any moment a message is lost, held
//! up or told twice, a store is restarted, stands still (until it is called next) or loses its disk, or the
//! next call comes early. Two deviations
//! in CI; more with `VANEPATH_MODEL_DEVIATIONS=3 cargo test --release -p vanepath-store --test model`.
//!
//! *Walks.* Random schedules by seed, in which all of that happens all the time, with 3 and 5 seats.
//!
//! *Properties* (`history.rs`): one content for each version that is acknowledged; what was acknowledged is
//! never lost, nor refused when it is sent again; reads are linearizable; one content for each revision
//! that any store holds for chosen. Each broken shell (`world::Broken`) is found by the same search.

mod history;
mod world;

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use world::{Broken, Call, World};

/// Two operators under one number, one that sends again, and readers at other stores.
fn race_of_operators() -> Vec<Call> {
    vec![
        Call::Setup { store: 0, version: 1, text: "a" },
        Call::Setup { store: 1, version: 2, text: "b" },
        Call::Setup { store: 0, version: 2, text: "c" },
        Call::Read { store: 2 },
        Call::Setup { store: 2, version: 1, text: "a" },
        Call::Read { store: 0 },
    ]
}

/// A submission that is sent again at another store, with another one between.
fn submission_sent_again() -> Vec<Call> {
    vec![
        Call::Submission { store: 0, key: "k", text: "x" },
        Call::Submission { store: 1, key: "l", text: "y" },
        Call::Submission { store: 2, key: "k", text: "x" },
        Call::Read { store: 1 },
        Call::Read { store: 0 },
    ]
}

/// A store that may have stood still while another one was written to is read from.
fn read_after_a_freeze() -> Vec<Call> {
    vec![
        Call::Setup { store: 0, version: 1, text: "a" },
        Call::Setup { store: 1, version: 2, text: "b" },
        Call::Read { store: 0 },
        Call::Setup { store: 0, version: 2, text: "c" },
        Call::Read { store: 2 },
    ]
}

fn scripts() -> [Vec<Call>; 3] {
    [race_of_operators(), submission_sent_again(), read_after_a_freeze()]
}

#[derive(Clone, Copy, Debug)]
enum Deviation {
    Lose,
    HoldUp,
    Repeat,
    Restart(usize),
    Wipe(usize),
    Freeze(usize),
    CallEarly,
}

/// A world on its way through a script.
#[derive(Clone)]
struct Run<'s> {
    world: World,
    script: &'s [Call],
    next: usize,
    idle_pulses: u32,
    path: Vec<(u64, Deviation)>,
}

/// What a search went through.
#[derive(Default)]
struct Count {
    executions: AtomicU64,
    steps: AtomicU64,
}

/// An operator, or a wiped store, is waited for so long at the most.
const IDLE_PULSES_MOST: u32 = 90;

impl<'s> Run<'s> {
    fn new(world: World, script: &'s [Call]) -> Run<'s> {
        Run { world, script, next: 0, idle_pulses: 0, path: Vec::new() }
    }

    /// One step of the schedule without deviations; false at its end.
    fn advance(&mut self) -> bool {
        if let Some(message) = self.world.messages.pop_front() {
            self.world.deliver(message);
        } else if self.world.release_late() {
            return true;
        } else if !self.is_settled() && self.idle_pulses < IDLE_PULSES_MOST {
            self.idle_pulses += 1;
            self.world.pulse();
        } else {
            self.world.history.give_up();
            return self.call_next() || self.thaw_at_the_end();
        }
        true
    }

    /// Nobody waits for an answer, and every store has its vote.
    fn is_settled(&self) -> bool {
        self.world.history.is_over() && self.world.votes() == self.world.stores.len()
    }

    fn thaw_at_the_end(&mut self) -> bool {
        self.world.thaw();
        !self.world.messages.is_empty()
    }

    fn call_next(&mut self) -> bool {
        let Some(call) = self.script.get(self.next) else { return false };
        self.next += 1;
        self.idle_pulses = 0;
        self.world.call(call);
        true
    }

    fn deviations(&self) -> Vec<Deviation> {
        let mut found = Vec::new();
        if !self.world.messages.is_empty() {
            found.extend([Deviation::Lose, Deviation::HoldUp, Deviation::Repeat]);
            if self.next < self.script.len() {
                found.push(Deviation::CallEarly);
            }
        }
        let stores = 0..self.world.stores.len();
        found.extend(stores.clone().map(Deviation::Restart));
        found.extend(stores.clone().map(Deviation::Freeze));
        // No more disks are lost at one time than may be.
        if self.world.votes() == self.world.stores.len() {
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
            Deviation::HoldUp => {
                let message = self.world.messages.pop_front().expect("offered");
                self.world.late.push_back(message);
            }
            Deviation::Repeat => {
                let message = self.world.messages.front().expect("offered").clone();
                self.world.late.push_back(message);
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
            // A store that idles meets the same deviation at each pulse: once is enough.
            if deviations > 0 && (self.idle_pulses == 0 || !self.world.messages.is_empty()) {
                for deviation in self.deviations() {
                    let mut other = self.clone();
                    other.deviate(deviation);
                    if let Some(fault) = other.explore(deviations - 1, count) {
                        return Some(fault);
                    }
                }
            }
            let is_on = self.advance();
            if let Some(fault) = self.world.history.faults.first() {
                return Some(format!("{fault}, after {:?}", self.path));
            }
            if !is_on {
                count.executions.fetch_add(1, Ordering::Relaxed);
                count.steps.fetch_add(self.world.steps(), Ordering::Relaxed);
                return None;
            }
        }
    }
}

/// All executions with up to so many deviations, on all cores; the first fault that was found.
fn search(
    seats: usize,
    script: &[Call],
    broken: Option<Broken>,
    deviations: u32,
) -> Option<String> {
    let mut runs = Vec::new();
    let mut run = Run::new(World::new(seats, broken), script);
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
        "{seats} seats, {broken:?}, up to {deviations} deviations: {} executions, {} steps",
        count.executions.load(Ordering::Relaxed),
        count.steps.load(Ordering::Relaxed),
    );
    found.into_inner().unwrap()
}

fn deviations(otherwise: u32) -> u32 {
    let told = std::env::var("VANEPATH_MODEL_DEVIATIONS").ok();
    told.and_then(|text| text.parse().ok()).unwrap_or(otherwise)
}

#[test]
fn no_execution_of_three_seats_breaks_a_promise() {
    for script in scripts() {
        assert_eq!(search(3, &script, None, deviations(2)), None);
    }
}

#[test]
fn no_execution_of_five_seats_breaks_a_promise() {
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
    fn below(&mut self, most: usize) -> usize {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as usize) % most
    }
}

const TEXTS: [&str; 3] = ["one", "two", "three"];
const KEYS: [&str; 3] = ["k", "l", "m"];

fn any_call(random: &mut Random, seats: usize, highest: &mut u64) -> Call {
    let store = random.below(seats);
    match random.below(4) {
        0 => Call::Read { store },
        1 => {
            let at = random.below(KEYS.len());
            Call::Submission { store, key: KEYS[at], text: TEXTS[at] }
        }
        _ => {
            *highest += random.below(2) as u64;
            let version = (*highest).saturating_sub(random.below(3) as u64).max(1);
            Call::Setup { store, version, text: TEXTS[random.below(TEXTS.len())] }
        }
    }
}

/// Everything happens all the time; at the end all is calm, all stores vote again, and a read at each
/// tells what was acknowledged. Gives what is wrong, and how many calls were acknowledged.
fn walk(seed: u64, seats: usize) -> (Vec<String>, usize) {
    let mut random = Random(seed);
    let mut world = World::new(seats, None);
    let mut highest = 1;
    for _ in 0..500 {
        match random.below(100) {
            0..=5 => world.call(&any_call(&mut random, seats, &mut highest)),
            6..=9 => world.pulse(),
            10 => world.restart(random.below(seats)),
            11 => match random.below(2) {
                0 => world.freeze(random.below(seats)),
                _ => world.thaw(),
            },
            12 if world.votes() > seats / 2 + 1 => {
                // Not more disks than may be lost at one time.
                world.wipe(random.below(seats));
            }
            _ if world.messages.is_empty() => {
                if !world.release_late() {
                    world.pulse();
                }
            }
            drawn => {
                let at = random.below(world.messages.len());
                let Some(message) = world.messages.remove(at) else { continue };
                match drawn {
                    13..=17 => world.lose(message),
                    18..=24 => world.late.push_back(message),
                    25..=27 => {
                        world.late.push_back(message.clone());
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
        world.pulse();
        world.release_late();
        world.deliver_all();
    }
    let votes = world.votes();
    if votes < seats {
        world.history.fault(format!("{votes} of {seats} stores vote at the end"));
    }
    for store in 0..seats {
        world.call(&Call::Read { store });
        world.deliver_all();
        if !world.history.is_over() {
            world.history.fault(format!("a read at store {store} is not answered at the end"));
        }
    }
    (world.history.faults.clone(), world.history.acknowledged())
}

#[test]
fn no_random_walk_breaks_a_promise() {
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
                    for seats in [3, 5] {
                        let (faults, known) = walk(seed, seats);
                        acknowledged.fetch_add(known, Ordering::Relaxed);
                        let named = faults
                            .into_iter()
                            .map(|one| format!("seed {seed}, {seats} seats: {one}"));
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
