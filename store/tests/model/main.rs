//! Model checking of consensus, replacement and restarts together, on the replicas that the programs run.
//!
//! *Search.* In the default schedule, messages arrive in order and calls come one after the other. The search
//! runs every execution that differs from it by up to a given number of deviations. At any step, a deviation
//! loses, delays or duplicates a message, restarts a store, freezes it until its next call, wipes its disk,
//! or makes the next call early. CI runs two deviations; more with
//! `VANEPATH_MODEL_DEVIATIONS=3 cargo test --release -p vanepath-store --test model`.
//!
//! *Random walks.* Random schedules by seed, in which these faults occur throughout, with 3 and 5 members.
//!
//! *Properties* (`history.rs`): each acknowledged version has one content; acknowledged writes are never
//! lost, nor rejected when they are sent again; reads are linearizable; each revision that any store knows as
//! committed has one content. The same search finds each defect of the shell in `world::ShellDefect`.

mod history;
mod world;

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use world::{Call, ShellDefect, World};

/// Two operators use the same version, one of them sends again, and others read at other stores.
fn concurrent_operators() -> Vec<Call> {
    vec![
        Call::Config { store: 0, version: 1, text: "a" },
        Call::Config { store: 1, version: 2, text: "b" },
        Call::Config { store: 0, version: 2, text: "c" },
        Call::Read { store: 2 },
        Call::Config { store: 2, version: 1, text: "a" },
        Call::Read { store: 0 },
    ]
}

/// A keyed write is sent again to another store, after another keyed write.
fn keyed_write_sent_again() -> Vec<Call> {
    vec![
        Call::KeyedWrite { store: 0, key: "k", text: "x" },
        Call::KeyedWrite { store: 1, key: "l", text: "y" },
        Call::KeyedWrite { store: 2, key: "k", text: "x" },
        Call::Read { store: 1 },
        Call::Read { store: 0 },
    ]
}

/// A read at a store that may have been frozen while another store accepted a write.
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
    [concurrent_operators(), keyed_write_sent_again(), read_after_a_freeze()]
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

/// The execution of a script in a world.
#[derive(Clone)]
struct Run<'s> {
    world: World,
    script: &'s [Call],
    next_call: usize,
    idle_ticks: u32,
    path: Vec<(u64, Deviation)>,
}

/// Counters of the executions and steps of a search.
#[derive(Default)]
struct Count {
    executions: AtomicU64,
    steps: AtomicU64,
}

/// Maximum number of ticks to wait for open calls to end and for all stores to vote.
const MAX_IDLE_TICKS: u32 = 90;

impl<'s> Run<'s> {
    fn new(world: World, script: &'s [Call]) -> Run<'s> {
        Run { world, script, next_call: 0, idle_ticks: 0, path: Vec::new() }
    }

    /// Advances the schedule by one step without a deviation; returns false at its end.
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
            return self.make_next_call() || self.thaw_at_the_end();
        }
        true
    }

    /// Whether no call is open and every store votes.
    fn is_settled(&self) -> bool {
        self.world.history.all_ended() && self.world.voting() == self.world.stores.len()
    }

    fn thaw_at_the_end(&mut self) -> bool {
        self.world.thaw();
        !self.world.messages.is_empty()
    }

    fn make_next_call(&mut self) -> bool {
        let Some(call) = self.script.get(self.next_call) else { return false };
        self.next_call += 1;
        self.idle_ticks = 0;
        self.world.call(call);
        true
    }

    fn deviations(&self) -> Vec<Deviation> {
        let mut found = Vec::new();
        if !self.world.messages.is_empty() {
            found.extend([Deviation::Lose, Deviation::Delay, Deviation::Duplicate]);
            if self.next_call < self.script.len() {
                found.push(Deviation::CallEarly);
            }
        }
        let stores = 0..self.world.stores.len();
        found.extend(stores.clone().map(Deviation::Restart));
        found.extend(stores.clone().map(Deviation::Freeze));
        // A disk is only lost while all stores vote: the loss of more disks at a time need not be tolerated.
        if self.world.voting() == self.world.stores.len() {
            found.extend(stores.map(Deviation::Wipe));
        }
        found
    }

    fn deviate(&mut self, deviation: Deviation) {
        self.path.push((self.world.steps(), deviation));
        match deviation {
            Deviation::Lose => {
                let message = self
                    .world
                    .messages
                    .pop_front()
                    .expect("deviations of messages need one in flight");
                self.world.lose(message);
            }
            Deviation::Delay => {
                let message = self
                    .world
                    .messages
                    .pop_front()
                    .expect("deviations of messages need one in flight");
                self.world.delayed.push_back(message);
            }
            Deviation::Duplicate => {
                let message = self
                    .world
                    .messages
                    .front()
                    .expect("deviations of messages need one in flight")
                    .clone();
                self.world.delayed.push_back(message);
            }
            Deviation::Restart(index) => self.world.restart(index),
            Deviation::Wipe(index) => self.world.wipe(index),
            Deviation::Freeze(index) => self.world.freeze(index),
            Deviation::CallEarly => {
                self.make_next_call();
            }
        }
    }

    /// Runs to the end of the schedule, and at each step also explores every deviation, as long as any are
    /// left. Returns the first violated property.
    fn explore(mut self, deviations: u32, count: &Count) -> Option<String> {
        loop {
            // While the stores are idle, a deviation has the same effect at each tick: one trial is enough.
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

/// Runs all executions with up to `deviations` deviations, on all cores; returns the first violated property.
fn search(
    members: usize,
    script: &[Call],
    defect: Option<ShellDefect>,
    deviations: u32,
) -> Option<String> {
    let mut runs = Vec::new();
    let mut run = Run::new(World::new(members, defect), script);
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
    let default_fault = run.world.history.faults.first().cloned();
    let (count, next_run) = (Count::default(), AtomicUsize::new(0));
    let found = std::sync::Mutex::new(default_fault);
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| {
                while let Some(run) = runs.get(next_run.fetch_add(1, Ordering::Relaxed)) {
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
        "{members} members, {defect:?}, up to {deviations} deviations: {} executions, {} steps",
        count.executions.load(Ordering::Relaxed),
        count.steps.load(Ordering::Relaxed),
    );
    found.into_inner().unwrap()
}

fn deviations(default: u32) -> u32 {
    let setting = std::env::var("VANEPATH_MODEL_DEVIATIONS").ok();
    setting.and_then(|text| text.parse().ok()).unwrap_or(default)
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

/// The search finds every defect of the shell.
#[test]
fn every_broken_shell_is_found() {
    for defect in [
        ShellDefect::NoSync,
        ShellDefect::ReadsWithoutRound,
        ShellDefect::VotesAfterWipe,
        ShellDefect::CountsUnaskedVotes,
        ShellDefect::ForgetsKeys,
        ShellDefect::ForgetsVersions,
    ] {
        let found = scripts().iter().find_map(|script| search(3, script, Some(defect), 2));
        println!("{defect:?}: {found:?}");
        assert!(found.is_some(), "{defect:?} violates no property");
    }
}

/// A seeded generator of pseudo-random numbers.
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

fn random_call(random: &mut Random, members: usize, highest_version: &mut u64) -> Call {
    let store = random.below(members);
    match random.below(4) {
        0 => Call::Read { store },
        1 => {
            let index = random.below(KEYS.len());
            Call::KeyedWrite { store, key: KEYS[index], text: TEXTS[index] }
        }
        _ => {
            *highest_version += random.below(2) as u64;
            let version = (*highest_version).saturating_sub(random.below(3) as u64).max(1);
            Call::Config { store, version, text: TEXTS[random.below(TEXTS.len())] }
        }
    }
}

/// Runs a random schedule in which faults occur throughout. At the end the faults stop; then all stores must
/// vote again, and a read at each store must return what was acknowledged. Returns the violated properties
/// and the number of acknowledged calls.
fn random_walk(seed: u64, members: usize) -> (Vec<String>, usize) {
    let mut random = Random(seed);
    let mut world = World::new(members, None);
    let mut highest_version = 1;
    for _ in 0..500 {
        match random.below(100) {
            0..=5 => world.call(&random_call(&mut random, members, &mut highest_version)),
            6..=9 => world.tick(),
            10 => world.restart(random.below(members)),
            11 => match random.below(2) {
                0 => world.freeze(random.below(members)),
                _ => world.thaw(),
            },
            12 if world.voting() > members / 2 + 1 => {
                // No more disks are lost at a time than must be tolerated.
                world.wipe(random.below(members));
            }
            _ if world.messages.is_empty() => {
                if !world.release_delayed() {
                    world.tick();
                }
            }
            action => {
                let index = random.below(world.messages.len());
                let Some(message) = world.messages.remove(index) else { continue };
                match action {
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
        if !world.history.all_ended() {
            world.history.fault(format!("a read at store {store} is not answered at the end"));
        }
    }
    (world.history.faults.clone(), world.history.acknowledged())
}

#[test]
fn no_random_walk_violates_a_property() {
    let walks = 500 * u64::from(deviations(2));
    let (next_seed, acknowledged) = (AtomicU64::new(0), AtomicUsize::new(0));
    let found = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= walks {
                        return;
                    }
                    for members in [3, 5] {
                        let (faults, count) = random_walk(seed, members);
                        acknowledged.fetch_add(count, Ordering::Relaxed);
                        let messages = faults
                            .into_iter()
                            .map(|fault| format!("seed {seed}, {members} members: {fault}"));
                        found.lock().unwrap().extend(messages);
                    }
                }
            });
        }
    });
    let acknowledged = acknowledged.into_inner();
    println!("{walks} walks with 3 and with 5 members, {acknowledged} calls acknowledged");
    let found = found.into_inner().unwrap();
    assert!(found.is_empty(), "{}", found.join("\n"));
    assert!(acknowledged as u64 > walks, "fewer calls were acknowledged than walks were run");
}
