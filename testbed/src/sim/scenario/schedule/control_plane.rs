//! Faults of core machines and their disks.

use super::{Context, cut, freeze, hosts, kill, ms, pick};
use crate::sim::state::{Action, Sim};
use std::time::Duration;

/// Stores lose power and their disks, and start again with empty disks.
pub(super) fn lose_disks(sim: &mut Sim, context: &Context) -> Duration {
    let first_slot = sim.net.random.below(context.registries.len());
    for slot in context.slots_lost_with(first_slot) {
        let store = context.stores[slot];
        sim.schedule(context.start, Action::Crash { node: store, loses_power: true });
        sim.schedule(context.start, Action::Wipe(store));
        sim.schedule(context.end, Action::Start(store));
    }
    context.end
}

pub(super) fn fill_disk(sim: &mut Sim, context: &Context) -> Duration {
    let store = pick(sim, &context.stores);
    sim.schedule(context.start, Action::DiskFull(store, true));
    sim.schedule(context.end, Action::DiskFull(store, false));
    context.end
}

pub(super) fn replace_machines(sim: &mut Sim, context: &Context) -> Duration {
    for slot in context.slots_lost_with(context.slot) {
        replace(sim, context, slot, context.start);
    }
    context.start + ms(8000)
}

pub(super) fn replace_all_machines(sim: &mut Sim, context: &Context) -> Duration {
    for slot in 0..context.registries.len() {
        replace(sim, context, slot, context.start + ms(5000) * slot as u32);
    }
    context.start + ms(5000) * context.registries.len() as u32 + ms(3000)
}

pub(super) fn replace_all_machines_then_kill_all(sim: &mut Sim, context: &Context) -> Duration {
    let replaced_at = replace_all_machines(sim, context);
    sim.schedule(replaced_at + ms(2000), Action::CrashAll);
    sim.schedule(replaced_at + ms(5000), Action::StartAll);
    replaced_at + ms(5000)
}

fn replace(sim: &mut Sim, context: &Context, slot: usize, at: Duration) {
    let (registry, store) = (context.registries[slot], context.stores[slot]);
    sim.schedule(at, Action::Replace { registry, store });
}

pub(super) fn kill_machine(sim: &mut Sim, context: &Context) -> Duration {
    for node in context.machine() {
        kill(sim, node, context.start, context.end, true);
    }
    context.end
}

pub(super) fn freeze_machine(sim: &mut Sim, context: &Context) -> Duration {
    for node in context.machine() {
        freeze(sim, node, context.start, context.end);
    }
    context.end
}

pub(super) fn cut_machine_off(sim: &mut Sim, context: &Context) -> Duration {
    let left = hosts(sim, &context.machine());
    let right = hosts(sim, &context.all).into_iter().filter(|host| !left.contains(host)).collect();
    cut(sim, (context.start, context.end), (left, right), false);
    context.end
}

/// Restarts every node during a burst of configuration changes. Meanwhile one registry receives no updates,
/// another one is frozen, and one proxy starts that reaches only the lagging registry.
pub(super) fn restart_in_config_burst(sim: &mut Sim, context: &Context) -> Duration {
    let start = context.start;
    for _ in 0..50 {
        let delay = ms(sim.net.random.draw() % 20_000);
        sim.schedule(start + delay, Action::ReplaceConfig);
    }
    let lagging = context.registries[context.slot];
    let frozen = context.registries[(context.slot + 1) % context.registries.len()];
    let isolated_proxy = context.proxies[0];
    let other_core: Vec<usize> =
        context.core.iter().copied().filter(|node| *node != lagging).collect();
    let one_way = sim.net.random.chance(0.3);
    // Proxies still pull from the lagging registry. It pulls from no node, and no other core node pulls from
    // it.
    let lag_period = (start + ms(2000), start + ms(11_000));
    cut_off(sim, lagging, &other_core, lag_period, false);
    if one_way {
        let others: Vec<usize> = other_core.iter().chain(&context.proxies).copied().collect();
        cut_off(sim, lagging, &others, (lag_period.0, lag_period.0 + ms(2000)), true);
    }
    freeze(sim, frozen, start + ms(4000), start + ms(7000));
    let rest: Vec<usize> = context
        .all
        .iter()
        .copied()
        .filter(|node| *node != lagging && *node != isolated_proxy)
        .collect();
    cut_off(sim, isolated_proxy, &rest, (start + ms(5000), start + ms(10_000)), false);
    restart(sim, isolated_proxy, start + ms(6000));
    let mut when = start + ms(2500);
    for node in context.proxies.iter().skip(1) {
        restart(sim, *node, when);
        when += ms(700);
    }
    when = when.max(start + ms(12_000));
    for node in &context.core {
        restart(sim, *node, when);
        when += ms(900);
    }
    sim.schedule(when + ms(1500), Action::CrashAll);
    sim.schedule(when + ms(2000), Action::StartAll);
    when + ms(2000)
}

fn cut_off(
    sim: &mut Sim,
    node: usize,
    others: &[usize],
    period: (Duration, Duration),
    one_way: bool,
) {
    let sides = (vec![sim.nodes[node].host], hosts(sim, others));
    cut(sim, period, sides, one_way);
}

fn restart(sim: &mut Sim, node: usize, at: Duration) {
    let loses_power = sim.net.random.chance(0.5);
    kill(sim, node, at, at + ms(400), loses_power);
}
