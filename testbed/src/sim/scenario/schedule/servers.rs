//! Faults of servers and of the endpoint list, and excess traffic.

use super::{Context, cut, hosts, ms, pick, pick_zone};
use crate::sim::mutations::Mutation;
use crate::sim::state::{Action, FailureMode, Sim};
use std::time::Duration;

fn stop(sim: &mut Sim, server: usize, at: Duration, loses_power: bool) {
    sim.schedule(at, Action::StopServer { server, loses_power });
}

fn start(sim: &mut Sim, server: usize, at: Duration) {
    sim.schedule(at, Action::StartServer(server));
}

fn kill_for_the_period(sim: &mut Sim, context: &Context) -> usize {
    let server = pick(sim, &context.servers);
    let loses_power = sim.net.random.chance(0.5);
    stop(sim, server, context.start, loses_power);
    start(sim, server, context.end);
    server
}

pub(super) fn kill_one(sim: &mut Sim, context: &Context) -> Duration {
    kill_for_the_period(sim, context);
    context.end + ms(5000)
}

/// Restarts a server, and stops and starts it again during its slow start.
pub(super) fn restart_one_twice(sim: &mut Sim, context: &Context) -> Duration {
    let server = kill_for_the_period(sim, context);
    stop(sim, server, context.end + ms(2000), false);
    start(sim, server, context.end + ms(4500));
    context.end + ms(9000)
}

/// Restarts the servers of one application one after the other.
pub(super) fn restart_one_by_one(sim: &mut Sim, context: &Context) -> Duration {
    let server = pick(sim, &context.servers);
    let app = sim.world.servers[server].app.clone();
    let mut when = context.start;
    for server in context.servers.iter().copied() {
        if sim.world.servers[server].app == app {
            stop(sim, server, when, false);
            start(sim, server, when + ms(1800));
            when += ms(900);
        }
    }
    when + ms(5000)
}

/// Restarts all servers of one application at one time.
pub(super) fn restart_all(sim: &mut Sim, context: &Context) -> Duration {
    let app = sim.world.servers[0].app.clone();
    for server in context.servers.iter().copied() {
        if sim.world.servers[server].app == app {
            stop(sim, server, context.start, false);
            start(sim, server, context.start + ms(2500));
        }
    }
    context.start + ms(11_000)
}

/// Marks a server as draining, and 6 s later removes it from the endpoint list and stops it.
pub(super) fn drain_one(sim: &mut Sim, context: &Context) -> Duration {
    let server = pick(sim, &context.servers);
    sim.schedule(context.start, Action::MarkDraining(server));
    sim.schedule(context.start + ms(6000), Action::RemoveServer(server));
    stop(sim, server, context.start + ms(6000), true);
    context.start + ms(7000)
}

pub(super) fn reassign_address(sim: &mut Sim, context: &Context) -> Duration {
    let server = pick(sim, &context.servers);
    stop(sim, server, context.start, false);
    sim.schedule(context.start + ms(300), Action::ReassignAddress(server));
    context.start + ms(8000)
}

/// Makes servers fail a part of their requests, in each failure mode.
pub(super) fn fail_requests(sim: &mut Sim, context: &Context) -> Duration {
    let modes = [FailureMode::RunAndReset, FailureMode::Truncate, FailureMode::NoResponse];
    let rounds = if sim.has_mutation(Mutation::UnboundRetries) { 30 } else { 1 };
    for failure_mode in modes.repeat(rounds) {
        let server = pick(sim, &context.servers);
        let rate = 0.3 + 0.7 * sim.net.random.fraction();
        fail(sim, server, failure_mode, rate, (context.start, context.end));
    }
    context.end
}

/// Makes a server fail a part of its requests for a period.
pub(super) fn fail(
    sim: &mut Sim,
    server: usize,
    failure_mode: FailureMode,
    rate: f64,
    (from, to): (Duration, Duration),
) {
    sim.schedule(from, Action::SetFailureMode { server, failure_mode, rate });
    let failure_mode = FailureMode::Healthy;
    sim.schedule(to, Action::SetFailureMode { server, failure_mode, rate: 0.0 });
}

pub(super) fn freeze_one(sim: &mut Sim, context: &Context) -> Duration {
    let server = pick(sim, &context.servers);
    sim.schedule(context.start, Action::FreezeServer(server, true));
    sim.schedule(context.end, Action::FreezeServer(server, false));
    context.end + ms(2000)
}

/// Partitions a server from some of the proxies.
pub(super) fn cut_off_from_some_proxies(sim: &mut Sim, context: &Context) -> Duration {
    let server = pick(sim, &context.servers);
    let left = vec![sim.world.servers[server].host];
    let mut right = hosts(sim, &context.proxies);
    right.retain(|_| sim.net.random.chance(0.5));
    cut(sim, (context.start, context.end), (left, right), false);
    context.end + ms(2000)
}

/// Drops what a server sends to proxies; what is sent to the server arrives.
pub(super) fn lose_responses(sim: &mut Sim, context: &Context) -> Duration {
    let server = pick(sim, &context.servers);
    let sides = (vec![sim.world.servers[server].host], hosts(sim, &context.proxies));
    cut(sim, (context.start, context.end), sides, true);
    context.end + ms(2000)
}

/// Cuts the power of a server's machine for less than five seconds.
pub(super) fn short_power_loss(sim: &mut Sim, context: &Context) -> Duration {
    let server = pick(sim, &context.servers);
    let restart_at = context.start + ms(1600 + sim.net.random.draw() % 3400);
    stop(sim, server, context.start, true);
    start(sim, server, restart_at);
    restart_at + ms(9000)
}

/// Makes the platform serve faulty endpoint lists while a server is marked as draining.
pub(super) fn faulty_endpoint_lists(sim: &mut Sim, context: &Context) -> Duration {
    let server = pick(sim, &context.servers);
    sim.schedule(context.start, Action::FaultyEndpointLists(true));
    sim.schedule(context.start + ms(500), Action::MarkDraining(server));
    sim.schedule(context.start + ms(8000), Action::FaultyEndpointLists(false));
    context.start + ms(9000)
}

/// Adds 37 downloads a second for each proxy, for 5 s.
pub(super) fn excess_downloads(sim: &mut Sim, context: &Context) -> Duration {
    let extra = 37.0 * context.proxies.len() as f64;
    sim.schedule(context.start, Action::Downloads(extra));
    sim.schedule(context.start + ms(5000), Action::Downloads(0.0));
    context.start + ms(20_000)
}

/// Triples the request rate of the clients of one zone for 40 s.
pub(super) fn surge_in_zone(sim: &mut Sim, context: &Context) -> Duration {
    let (zone, _) = pick_zone(sim, context);
    sim.schedule(context.start, Action::Surge(zone, 3.0));
    sim.schedule(context.start + ms(40_000), Action::Surge(zone, 1.0));
    context.start + ms(46_000)
}
