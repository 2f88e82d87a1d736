//! The users' worst cases for the control plane, one for each point of `docs/control.md`, each combined with
//! other faults that aggravate it.

use super::servers::fail;
use super::{Context, cut, freeze, hosts, kill, ms, pick};
use crate::sim::state::{Action, FailureMode, Sim};
use std::time::Duration;

/// The number of races between two operators, of six calls each. With twelve races a store that is far from
/// the others gets more calls than it can complete within their deadline of 4 s while two of the three stores
/// fail one after the other (docs/proof.md, Open).
const RACES: usize = 7;

/// Schedules `count` actions at random times within a period.
fn spread(sim: &mut Sim, count: u64, from: Duration, period: Duration, action: fn() -> Action) {
    for _ in 0..count {
        let delay = ms(sim.net.random.draw() % period.as_millis() as u64);
        sim.schedule(from + delay, action());
    }
}

/// For 14 to 20 s a core machine is frozen, or partitioned from the other core machines or from all nodes, in
/// one or both directions and without connection errors. Its wall clock jumps meanwhile, and operators make
/// changes, reads and a drain.
pub(super) fn control_plane_cut(sim: &mut Sim, context: &Context) -> Duration {
    let start = context.start;
    let end = start + ms(14_000 + sim.net.random.draw() % 6000);
    let slot = sim.net.random.below(context.registries.len());
    let machine = [context.registries[slot], context.stores[slot]];
    let variant = sim.net.random.below(4);
    if variant == 3 {
        for node in machine {
            freeze(sim, node, start, end);
        }
    } else {
        let others = if variant == 0 { &context.core } else { &context.all };
        let others: Vec<usize> =
            others.iter().copied().filter(|node| !machine.contains(node)).collect();
        let sides = (hosts(sim, &machine), hosts(sim, &others));
        cut(sim, (start, end), sides, variant == 2);
    }
    sim.schedule(start + ms(3000), Action::JumpWallClock(machine[1], -2000));
    sim.schedule(start + ms(9000), Action::JumpWallClock(machine[1], 2000));
    spread(sim, 12, start + ms(500), ms(12_000), || Action::ReplaceConfig);
    spread(sim, 12, start + ms(500), ms(16_000), || Action::Read);
    sim.schedule(start + ms(2000), Action::DrainZone("north-2"));
    sim.schedule(start + ms(9000), Action::RestoreZone("north-2"));
    // Another store, which may have been the leader meanwhile, loses power just after the end of the
    // partition.
    let other_slot = (slot + 1) % context.registries.len();
    kill(sim, context.stores[other_slot], end + ms(1500), end + ms(3000), true);
    end + ms(4000)
}

/// Two operators repeatedly submit different configurations under one version. Each sends its submission
/// twice more, to any registry, as if its responses had been lost. Meanwhile a store and a registry are
/// killed and a store is frozen.
pub(super) fn racing_operators(sim: &mut Sim, context: &Context) -> Duration {
    let start = context.start;
    for _ in 0..RACES {
        let delay = ms(sim.net.random.draw() % 14_000);
        sim.schedule(start + delay, Action::RaceOperators);
    }
    let killed = pick(sim, &context.stores);
    kill(sim, killed, start + ms(3000), start + ms(5000), true);
    let frozen = pick(sim, &context.stores);
    freeze(sim, frozen, start + ms(7000), start + ms(10_500));
    let registry = pick(sim, &context.registries);
    kill(sim, registry, start + ms(8000), start + ms(9500), false);
    start + ms(16_000)
}

/// A disk is lost right after a change was sent, and the next disk once the first loss is repaired. Then a
/// core machine is replaced, and finally a disk is lost at the moment at which all nodes lose power.
pub(super) fn successive_disk_losses(sim: &mut Sim, context: &Context) -> Duration {
    let count = context.stores.len();
    let first = sim.net.random.below(count);
    let mut when = context.start;
    for offset in 0..2 {
        let store = context.stores[(first + offset) % count];
        schedule_change_before(sim, when);
        sim.schedule(when, Action::Crash { node: store, loses_power: true });
        sim.schedule(when, Action::Wipe(store));
        sim.schedule(when + ms(800), Action::Start(store));
        when += ms(6000);
    }
    let replaced = (first + 2) % count;
    let (registry, store) = (context.registries[replaced], context.stores[replaced]);
    sim.schedule(when, Action::Replace { registry, store });
    when += ms(7000);
    schedule_change_before(sim, when);
    let lost = context.stores[first];
    sim.schedule(when, Action::Crash { node: lost, loses_power: true });
    sim.schedule(when, Action::Wipe(lost));
    sim.schedule(when, Action::CrashAll);
    sim.schedule(when + ms(1000), Action::StartAll);
    when + ms(3000)
}

/// Schedules a configuration change 5 to 400 ms before the loss of a disk.
fn schedule_change_before(sim: &mut Sim, loss: Duration) {
    let lead = ms(5 + sim.net.random.draw() % 396);
    sim.schedule(loss.saturating_sub(lead), Action::ReplaceConfig);
}

/// A store is down during 300 configuration changes, each with the classes in another order. It restarts, and
/// 1.5 s later another store loses power, before the first one can have caught up for long.
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

/// Several servers at one time close connections after execution, truncate responses or do not respond, while
/// one proxy is killed and one is frozen with requests in progress.
pub(super) fn failing_servers_and_proxies(sim: &mut Sim, context: &Context) -> Duration {
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
