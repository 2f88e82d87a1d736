//! The users' worst cases for the control plane, one for each point of `docs/control.md`, with all that
//! makes it worse at the same time.

use super::servers::fail;
use super::{Context, cut, freeze, hosts, kill, ms, pick};
use crate::sim::state::{Action, FailureMode, Sim};
use std::time::Duration;

/// How often two operators race. Each race is six calls. With twelve races a store that is far from the
/// others has more calls than it can settle within their four seconds while two of the three stores are
/// in trouble one after the other (docs/proof.md, Open).
const RACES: usize = 7;

/// Actions, each at some moment of a period.
fn spread(sim: &mut Sim, count: u64, from: Duration, period: Duration, action: fn() -> Action) {
    for _ in 0..count {
        let later = ms(sim.net.random.draw() % period.as_millis() as u64);
        sim.schedule(from + later, action());
    }
}

/// A core machine is cut off for 14 to 20 s, silently, from the rest of the core or from all nodes, in one
/// direction or both, or stands still; its clock jumps; changes, reads and a drain meanwhile.
pub(super) fn control_plane_cut(sim: &mut Sim, context: &Context) -> Duration {
    let start = context.start;
    let end = start + ms(14_000 + sim.net.random.draw() % 6000);
    let slot = sim.net.random.below(context.registries.len());
    let machine = [context.registries[slot], context.stores[slot]];
    let manner = sim.net.random.below(4);
    if manner == 3 {
        for node in machine {
            freeze(sim, node, start, end);
        }
    } else {
        let others = if manner == 0 { &context.core } else { &context.all };
        let others: Vec<usize> =
            others.iter().copied().filter(|node| !machine.contains(node)).collect();
        let sides = (hosts(sim, &machine), hosts(sim, &others));
        cut(sim, (start, end), sides, manner == 2);
    }
    sim.schedule(start + ms(3000), Action::JumpWallClock(machine[1], -2000));
    sim.schedule(start + ms(9000), Action::JumpWallClock(machine[1], 2000));
    spread(sim, 12, start + ms(500), ms(12_000), || Action::ReplaceConfig);
    spread(sim, 12, start + ms(500), ms(16_000), || Action::Read);
    sim.schedule(start + ms(2000), Action::DrainZone("north-2"));
    sim.schedule(start + ms(9000), Action::RestoreZone("north-2"));
    // The store that led meanwhile goes down just after the cut is over.
    let other = (slot + 1) % context.registries.len();
    kill(sim, context.stores[other], end + ms(1500), end + ms(3000), true);
    end + ms(4000)
}

/// Two operators race under one version again and again; each sends the same again twice, to any registry,
/// since its answers are lost; stores and registries are killed or stand still meanwhile.
pub(super) fn racing_operators(sim: &mut Sim, context: &Context) -> Duration {
    let start = context.start;
    for _ in 0..RACES {
        let later = ms(sim.net.random.draw() % 14_000);
        sim.schedule(start + later, Action::RaceOperators);
    }
    let killed = pick(sim, &context.stores);
    kill(sim, killed, start + ms(3000), start + ms(5000), true);
    let frozen = pick(sim, &context.stores);
    freeze(sim, frozen, start + ms(7000), start + ms(10_500));
    let registry = pick(sim, &context.registries);
    kill(sim, registry, start + ms(8000), start + ms(9500), false);
    start + ms(16_000)
}

/// A disk is lost right after a change was sent; the next disk is lost once that is repaired, then a machine
/// is replaced, and at the last loss of a disk all other nodes lose power too.
pub(super) fn second_loss(sim: &mut Sim, context: &Context) -> Duration {
    let count = context.stores.len();
    let first = sim.net.random.below(count);
    let mut when = context.start;
    for turn in 0..2 {
        let store = context.stores[(first + turn) % count];
        change_before(sim, when);
        sim.schedule(when, Action::Crash { node: store, loses_power: true });
        sim.schedule(when, Action::Wipe(store));
        sim.schedule(when + ms(800), Action::Start(store));
        when += ms(6000);
    }
    let replaced = (first + 2) % count;
    let (registry, store) = (context.registries[replaced], context.stores[replaced]);
    sim.schedule(when, Action::Replace { registry, store });
    when += ms(7000);
    change_before(sim, when);
    let lost = context.stores[first];
    sim.schedule(when, Action::Crash { node: lost, loses_power: true });
    sim.schedule(when, Action::Wipe(lost));
    sim.schedule(when, Action::CrashAll);
    sim.schedule(when + ms(1000), Action::StartAll);
    when + ms(3000)
}

/// A change that is sent 5 to 400 ms before the loss of a disk.
fn change_before(sim: &mut Sim, loss: Duration) {
    let earlier = ms(5 + sim.net.random.draw() % 396);
    sim.schedule(loss.saturating_sub(earlier), Action::ReplaceConfig);
}

/// A store is down while hundreds of changes are made, each with its classes in another order; it comes
/// back, and the store that led goes down before the first one can have caught up for long.
pub(super) fn hundreds_of_changes(sim: &mut Sim, context: &Context) -> Duration {
    let start = context.start;
    let behind = pick(sim, &context.stores);
    let loses_power = sim.net.random.chance(0.5);
    sim.schedule(start, Action::Crash { node: behind, loses_power });
    spread(sim, 300, start + ms(200), ms(13_000), || Action::ReorderClasses);
    sim.schedule(start + ms(13_500), Action::Start(behind));
    let leader = context.stores.iter().copied().find(|store| *store != behind);
    if let Some(leader) = leader {
        kill(sim, leader, start + ms(15_000), start + ms(17_000), true);
    }
    spread(sim, 6, start + ms(15_200), ms(3000), || Action::ReplaceConfig);
    start + ms(19_000)
}

/// Servers run requests and lose the response, break off and fall silent, several at one time; proxies die
/// and stand still with requests in progress.
pub(super) fn wrong_answers(sim: &mut Sim, context: &Context) -> Duration {
    let start = context.start;
    let end = start + ms(12_000);
    for failure_mode in
        [FailureMode::RunAndReset, FailureMode::Truncate, FailureMode::NoResponse].repeat(2)
    {
        let server = pick(sim, &context.servers);
        let rate = 0.05 + 0.2 * sim.net.random.fraction();
        fail(sim, server, failure_mode, rate, (start, end));
    }
    let killed = pick(sim, &context.proxies);
    kill(sim, killed, start + ms(2000), start + ms(3500), false);
    let frozen = pick(sim, &context.proxies);
    freeze(sim, frozen, start + ms(5000), start + ms(8000));
    spread(sim, 6, start, ms(10_000), || Action::ReorderClasses);
    end + ms(1000)
}
