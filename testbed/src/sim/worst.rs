//! The users' worst days of the control side, one kind of day for each point of `docs/control.md`, with
//! all that makes it worse at the same time.

use super::control::{Sim, What as Operate};
use super::data::Manner;
use super::day::{Act, Fault, any_registry, at, of_role, tagged};
use std::time::Duration;
use vanepath_cluster::wire::Role;
use vanepath_store::protocol::{Change, Outcome};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Who there is, by role.
struct Fleet {
    registries: Vec<usize>,
    stores: Vec<usize>,
    proxies: Vec<usize>,
}

impl Fleet {
    fn of(sim: &Sim) -> Fleet {
        Fleet {
            registries: of_role(sim, Role::Registry),
            stores: of_role(sim, Role::Store),
            proxies: of_role(sim, Role::Proxy),
        }
    }

    fn core(&self) -> Vec<usize> {
        self.registries.iter().chain(&self.stores).copied().collect()
    }

    fn all(&self) -> Vec<usize> {
        self.core().into_iter().chain(self.proxies.iter().copied()).collect()
    }
}

/// Puts the day into the script; when its faults are over.
pub(super) fn schedule(sim: &mut Sim, fault: Fault, start: Duration) -> Duration {
    let fleet = Fleet::of(sim);
    match fault {
        Fault::ControlCut20s => control_cut(sim, &fleet, start),
        Fault::OperatorsRaceLostAnswers => operators_race(sim, &fleet, start),
        Fault::SecondLossAfterRepair => second_loss(sim, &fleet, start),
        Fault::HundredsOfChangesThenRestart => hundreds_of_changes(sim, &fleet, start),
        Fault::WrongAnswersAndResends => wrong_answers(sim, &fleet, start),
        other => unreachable!("{other} has a schedule of its own"),
    }
}

fn crash(sim: &mut Sim, who: usize, from: Duration, to: Duration, power: bool) {
    at(sim, from, Act::Crash { daemon: who, power });
    at(sim, to, Act::Start(who));
}

fn pick(sim: &mut Sim, from: &[usize]) -> usize {
    from[sim.net.random.below(from.len())]
}

/// Changes, each at some moment of a span.
fn changes(sim: &mut Sim, count: u64, from: Duration, span: Duration, act: fn() -> Act) {
    for _ in 0..count {
        let later = ms(sim.net.random.draw() % span.as_millis() as u64);
        at(sim, from + later, act());
    }
}

/// A machine of the core is cut off for 14 to 20 s, silently, from the rest of the core or from all, in one
/// direction or both, or stands still; its clock jumps; changes, reads and an evacuation meanwhile.
fn control_cut(sim: &mut Sim, fleet: &Fleet, start: Duration) -> Duration {
    let end = start + ms(14_000 + sim.net.random.draw() % 6000);
    let seat = sim.net.random.below(fleet.registries.len());
    let machine = [fleet.registries[seat], fleet.stores[seat]];
    let manner = sim.net.random.below(4);
    if manner == 3 {
        for who in machine {
            at(sim, start, Act::Freeze(who));
            at(sim, end, Act::Wake(who));
        }
    } else {
        let hosts = |of: &[usize]| of.iter().map(|who| sim.daemons[*who].host).collect::<Vec<_>>();
        let left = hosts(&machine);
        let others = if manner == 0 { fleet.core() } else { fleet.all() };
        let others: Vec<usize> = others.into_iter().filter(|who| !machine.contains(who)).collect();
        let right = hosts(&others);
        let one_way = manner == 2;
        at(sim, start, Act::Cut { left: left.clone(), right: right.clone(), one_way });
        at(sim, end, Act::Uncut { left, right, one_way });
    }
    at(sim, start + ms(3000), Act::WallJump(machine[1], -2000));
    at(sim, start + ms(9000), Act::WallJump(machine[1], 2000));
    changes(sim, 12, start + ms(500), ms(12_000), || Act::Put);
    changes(sim, 12, start + ms(500), ms(16_000), || Act::Read);
    at(sim, start + ms(2000), Act::Empty("north-2"));
    at(sim, start + ms(9000), Act::Return("north-2"));
    // Whoever led meanwhile is gone just after it is over.
    let other = (seat + 1) % fleet.registries.len();
    crash(sim, fleet.stores[other], end + ms(1500), end + ms(3000), true);
    end + ms(4000)
}

/// Six calls each. With twelve a store that is far from the others has more than it can settle within a
/// call's four seconds while two of the three are in trouble one after the other (docs/proof.md, Open).
const RACES: usize = 7;

/// Two operators under one number again and again; each sends the same again twice, to any registry, since
/// its answers are lost; who confirms is killed or stands still meanwhile.
fn operators_race(sim: &mut Sim, fleet: &Fleet, start: Duration) -> Duration {
    for _ in 0..RACES {
        let later = ms(sim.net.random.draw() % 14_000);
        at(sim, start + later, Act::Race);
    }
    let killed = pick(sim, &fleet.stores);
    crash(sim, killed, start + ms(3000), start + ms(5000), true);
    let stands_still = pick(sim, &fleet.stores);
    at(sim, start + ms(7000), Act::Freeze(stands_still));
    at(sim, start + ms(10_500), Act::Wake(stands_still));
    let registry = pick(sim, &fleet.registries);
    crash(sim, registry, start + ms(8000), start + ms(9500), false);
    start + ms(16_000)
}

/// A disk is lost right after a change was sent; the next loss of a disk comes once it is repaired, then a
/// machine is replaced, and at the last loss everybody else is without power too.
fn second_loss(sim: &mut Sim, fleet: &Fleet, start: Duration) -> Duration {
    let count = fleet.stores.len();
    let first = sim.net.random.below(count);
    let mut when = start;
    for turn in 0..2 {
        let store = fleet.stores[(first + turn) % count];
        sent_before(sim, when);
        at(sim, when, Act::Crash { daemon: store, power: true });
        at(sim, when, Act::Wipe(store));
        at(sim, when + ms(800), Act::Start(store));
        when += ms(6000);
    }
    let replaced = (first + 2) % count;
    let (registry, store) = (fleet.registries[replaced], fleet.stores[replaced]);
    at(sim, when, Act::Replace { registry, store });
    when += ms(7000);
    sent_before(sim, when);
    let lost = fleet.stores[first];
    at(sim, when, Act::Crash { daemon: lost, power: true });
    at(sim, when, Act::Wipe(lost));
    at(sim, when, Act::CrashAll);
    at(sim, when + ms(1000), Act::StartAll);
    when + ms(3000)
}

/// A change that is sent 5 to 400 ms before the loss.
fn sent_before(sim: &mut Sim, loss: Duration) {
    let earlier = ms(5 + sim.net.random.draw() % 396);
    at(sim, loss.saturating_sub(earlier), Act::Put);
}

/// A store is gone while hundreds of changes are made, whose classes stand in other orders each time; it
/// comes back, and those that led are gone before it can have caught up for long.
fn hundreds_of_changes(sim: &mut Sim, fleet: &Fleet, start: Duration) -> Duration {
    let behind = pick(sim, &fleet.stores);
    let power = sim.net.random.chance(0.5);
    at(sim, start, Act::Crash { daemon: behind, power });
    changes(sim, 300, start + ms(200), ms(13_000), || Act::PutTurned);
    at(sim, start + ms(13_500), Act::Start(behind));
    let leads = fleet.stores.iter().copied().find(|store| *store != behind);
    if let Some(leads) = leads {
        crash(sim, leads, start + ms(15_000), start + ms(17_000), true);
    }
    changes(sim, 6, start + ms(15_200), ms(3000), || Act::Put);
    start + ms(19_000)
}

/// Servers run and lose the answer, break off and fall silent, several at one time; proxies die and stand
/// still with requests in hand.
fn wrong_answers(sim: &mut Sim, fleet: &Fleet, start: Duration) -> Duration {
    let servers = 0..sim.world.servers.len();
    let servers: Vec<usize> =
        servers.filter(|one| !sim.world.servers[*one].app.contains("spare")).collect();
    let end = start + ms(12_000);
    for manner in [Manner::RunAndLose, Manner::Truncate, Manner::Silent].repeat(2) {
        let server = pick(sim, &servers);
        let part = 0.05 + 0.2 * sim.net.random.part();
        at(sim, start, Act::Behave { server, manner, part });
        at(sim, end, Act::Behave { server, manner: Manner::Good, part: 0.0 });
    }
    let proxy = pick(sim, &fleet.proxies);
    crash(sim, proxy, start + ms(2000), start + ms(3500), false);
    let stands_still = pick(sim, &fleet.proxies);
    at(sim, start + ms(5000), Act::Freeze(stands_still));
    at(sim, start + ms(8000), Act::Wake(stands_still));
    changes(sim, 6, start, ms(10_000), || Act::PutTurned);
    end + ms(1000)
}

// ---- what the operators do on them -------------------------------------------------------------

/// Two contents under the next version, each sent again twice.
pub(super) fn race(sim: &mut Sim) {
    let named = sim.operations.iter().filter_map(|one| one.what.version());
    let version = named.max().unwrap_or(0) + 1 + sim.net.random.draw() % 3;
    for _ in 0..2 {
        let tag = sim.operations.len();
        let text = String::from_utf8(tagged(&sim.world.setup_text.clone(), tag)).expect("text");
        let bytes = text.replacen('{', &format!("{{\"version\": {version},"), 1).into_bytes();
        let change = Change::ReplaceConfig { bytes, if_revision: None, version: Some(version) };
        let registry = any_registry(sim);
        sim.operate(Operate::Change { key: format!("raced-{tag}"), change }, registry);
        for turn in 1..=2 {
            let later = sim.net.now + ms(1100 * turn + sim.net.random.draw() % 600);
            at(sim, later, Act::SendAgain(tag));
        }
    }
}

/// The same content under its version, by an operator whose answer was lost: nobody knows its key.
pub(super) fn send_again(sim: &mut Sim, operation: usize) {
    let Operate::Change { change, .. } = sim.operations[operation].what.clone() else { return };
    let key = format!("again-{}", sim.operations.len());
    let registry = any_registry(sim);
    sim.operate(Operate::Change { key, change }, registry);
}

pub(super) fn read(sim: &mut Sim) {
    let registry = any_registry(sim);
    sim.operate(Operate::Read, registry);
}

/// A setup whose classes stand in another order.
pub(super) fn put_turned(sim: &mut Sim) {
    let tag = sim.operations.len();
    let text = String::from_utf8(tagged(&sim.world.setup_text.clone(), tag)).expect("text");
    let mut document = jzon::parse(&text).expect("the setup of the day");
    if let jzon::JsonValue::Array(classes) = &mut document["classes"] {
        let turn = tag % classes.len().max(1);
        classes.rotate_left(turn);
    }
    let bytes = document.dump().into_bytes();
    let change = Change::ReplaceConfig { bytes, if_revision: None, version: None };
    let registry = any_registry(sim);
    sim.operate(Operate::Change { key: format!("turned-{tag}"), change }, registry);
}

// ---- the judge of versions ----------------------------------------------------------------------

/// Of the contents under one version one is acknowledged, and in force once; what was acknowledged is not
/// refused when it is sent again.
pub(super) fn versions(sim: &Sim) -> Vec<String> {
    let mut faults = Vec::new();
    let named: Vec<(usize, u64, &[u8])> = (0..sim.operations.len())
        .filter_map(|number| {
            let Operate::Change { change: Change::ReplaceConfig { bytes, version, .. }, .. } =
                &sim.operations[number].what
            else {
                return None;
            };
            Some((number, (*version)?, bytes.as_slice()))
        })
        .collect();
    let is_accepted =
        |number: usize| matches!(sim.operations[number].outcome, Some(Outcome::Accepted { .. }));
    for (at, (number, version, bytes)) in named.iter().enumerate() {
        for (other, other_version, other_bytes) in &named[..at] {
            if other_version != version || !is_accepted(*other) {
                continue;
            }
            if other_bytes != bytes && is_accepted(*number) {
                faults.push(format!(
                    "operations {other} and {number} were both accepted under version {version}"
                ));
            }
            let (first, later) = (&sim.operations[*other], &sim.operations[*number]);
            let is_refused = matches!(
                later.outcome,
                Some(Outcome::VersionTaken { .. } | Outcome::Conflict { .. })
            );
            let is_after = first.ended_at.is_some_and(|ended_at| ended_at < later.started_at);
            if other_bytes == bytes && is_after && is_refused {
                faults.push(format!(
                    "operation {number} was refused, and the same had been accepted as {other}"
                ));
            }
        }
    }
    faults.truncate(4);
    faults
}
