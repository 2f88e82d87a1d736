//! Faults of the network.

use super::{Context, cut, hosts, ms, pick, pick_zone};
use crate::sim::network::Host;
use crate::sim::state::{Action, Sim};
use std::time::Duration;

/// Partitions one node from all other nodes; clients and servers still reach it.
pub(super) fn isolate_one(
    sim: &mut Sim,
    context: &Context,
    candidates: &[usize],
    one_way: bool,
) -> Duration {
    let node = pick(sim, candidates);
    let sides = (vec![sim.nodes[node].host], hosts(sim, &context.all));
    cut(sim, (context.start, context.end), sides, one_way);
    context.end
}

/// Partitions the core machines of one region from the other core machines.
pub(super) fn split_control_plane(sim: &mut Sim, context: &Context) -> Duration {
    let node = pick(sim, &context.registries);
    let region = sim.nodes[node].info.region.clone();
    let is_inside = |node: &usize| sim.nodes[*node].info.region == region;
    let (inside, outside): (Vec<usize>, Vec<usize>) =
        context.core.iter().partition(|node| is_inside(node));
    let sides = (hosts(sim, &inside), hosts(sim, &outside));
    cut(sim, (context.start, context.end), sides, false);
    context.end
}

/// Partitions the core machines from the proxies.
pub(super) fn cut_control_plane_off(sim: &mut Sim, context: &Context) -> Duration {
    let sides = (hosts(sim, &context.core), hosts(sim, &context.proxies));
    cut(sim, (context.start, context.end), sides, false);
    context.end
}

pub(super) fn slow_network(sim: &mut Sim, context: &Context) -> Duration {
    sim.schedule(context.start, Action::DelayNetwork(ms(300)));
    sim.schedule(context.end, Action::DelayNetwork(ms(0)));
    context.end
}

pub(super) fn cut_zone_off(sim: &mut Sim, context: &Context) -> Duration {
    let (zone, _) = pick_zone(sim, context);
    cut_hosts_off(sim, context, |host| host.zone == zone)
}

pub(super) fn cut_region_off(sim: &mut Sim, context: &Context) -> Duration {
    let (_, region) = pick_zone(sim, context);
    cut_hosts_off(sim, context, |host| host.region == region)
}

/// Partitions the hosts inside from all others. Clients, whose hosts have no zone, still reach both sides.
fn cut_hosts_off(sim: &mut Sim, context: &Context, is_inside: impl Fn(&Host) -> bool) -> Duration {
    let sides = (0..sim.net.hosts.len())
        .filter(|host| !sim.net.hosts[*host].zone.is_empty())
        .partition(|host| is_inside(&sim.net.hosts[*host]));
    cut(sim, (context.start, context.end), sides, false);
    context.end + ms(2000)
}

/// Partitions the clients of one region from the proxies of this region.
pub(super) fn cut_clients_off(sim: &mut Sim, context: &Context) -> Duration {
    let (_, region) = pick_zone(sim, context);
    let is_in_region = |zone: &str| context.zones.contains(&(zone, region));
    let clients = sim.world.clients.iter().filter(|client| is_in_region(&client.zone));
    let left = clients.map(|client| client.host).collect();
    let proxies = context.proxies.iter().filter(|node| sim.nodes[**node].info.region == region);
    let right = proxies.map(|node| sim.nodes[*node].host).collect();
    cut(sim, (context.start, context.end), (left, right), false);
    context.end
}
