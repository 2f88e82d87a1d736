//! Faults of single nodes, of all nodes of a role, and of all nodes of a zone or region.

use super::{Context, freeze, kill, ms, pick};
use crate::sim::state::{Action, Sim};
use std::time::Duration;

pub(super) fn kill_one(sim: &mut Sim, context: &Context, candidates: &[usize]) -> Duration {
    let node = pick(sim, candidates);
    let loses_power = sim.net.random.chance(0.5);
    kill(sim, node, context.start, context.end, loses_power);
    context.end
}

pub(super) fn kill_many_proxies(sim: &mut Sim, context: &Context) -> Duration {
    for node in context.proxies.iter().copied() {
        if sim.net.random.chance(0.6) {
            kill(sim, node, context.start, context.end, false);
        }
    }
    context.end
}

pub(super) fn kill_control_plane(sim: &mut Sim, context: &Context) -> Duration {
    for node in context.core.iter().copied() {
        kill(sim, node, context.start, context.end, false);
    }
    context.end
}

pub(super) fn kill_all(sim: &mut Sim, context: &Context) -> Duration {
    let loses_power = sim.net.random.chance(0.5);
    for node in context.all.iter().copied() {
        kill(sim, node, context.start, context.end, loses_power);
    }
    context.end
}

pub(super) fn zone_loses_power(sim: &mut Sim, context: &Context) -> Duration {
    let (affected, _) = super::pick_zone(sim, context);
    lose_power(sim, context, |zone, _| zone == affected)
}

pub(super) fn region_loses_power(sim: &mut Sim, context: &Context) -> Duration {
    let (_, affected) = super::pick_zone(sim, context);
    lose_power(sim, context, |_, region| region == affected)
}

/// Cuts the power of all machines whose zone and region match.
fn lose_power(
    sim: &mut Sim,
    context: &Context,
    is_affected: impl Fn(&str, &str) -> bool,
) -> Duration {
    for node in context.all.iter().copied() {
        let info = sim.nodes[node].info.clone();
        if is_affected(&info.zone, &info.region) {
            kill(sim, node, context.start, context.end, true);
        }
    }
    for server in context.servers.iter().copied() {
        let (zone, region) = {
            let server = &sim.world.servers[server];
            (server.zone.clone(), server.region.clone())
        };
        if is_affected(&zone, &region) {
            sim.schedule(context.start, Action::StopServer { server, loses_power: true });
            let delay = ms(sim.net.random.draw() % 2000);
            sim.schedule(context.end + delay, Action::StartServer(server));
        }
    }
    context.end + ms(2001)
}

pub(super) fn freeze_one(sim: &mut Sim, context: &Context, candidates: &[usize]) -> Duration {
    let node = pick(sim, candidates);
    freeze(sim, node, context.start, context.end);
    context.end
}

pub(super) fn freeze_proxy_for_long(sim: &mut Sim, context: &Context) -> Duration {
    let node = pick(sim, &context.proxies);
    let end = context.start + ms(25_000);
    freeze(sim, node, context.start, end);
    end
}

/// Sets a node's wall clock back by a day or forward by an hour, and restarts the node.
pub(super) fn clock_jumps(sim: &mut Sim, context: &Context) -> Duration {
    let start = context.start;
    let node = pick(sim, &context.all);
    let jump_ms = if sim.net.random.chance(0.5) { -86_400_000 } else { 3_600_000 };
    sim.schedule(start, Action::JumpWallClock(node, jump_ms));
    kill(sim, node, start + ms(500), start + ms(1500), false);
    start + ms(1500)
}

/// Terminates and restarts all nodes, one after the other.
pub(super) fn rolling_restart(sim: &mut Sim, context: &Context) -> Duration {
    let mut when = context.start;
    for node in context.all.iter().copied() {
        let is_proxy = context.proxies.contains(&node);
        sim.schedule(when, Action::Terminate(node));
        let pause = if is_proxy { ms(5500) } else { ms(700) };
        sim.schedule(when + pause, Action::Start(node));
        when += if is_proxy { ms(6000) } else { ms(2500) };
    }
    when + ms(6000)
}
