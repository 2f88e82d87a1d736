//! Executes the scheduled actions of a scenario.

use super::operators;
use super::platform::publish;
use crate::sim::mutations::Mutation;
use crate::sim::network::Event;
use crate::sim::state::{Action, RoleState, ServerDrain, Sim};
use std::time::Duration;
use vanepath_cluster::wire::Role;
use vanepath_store::protocol::Change;

/// Executes the action at this index of the script.
pub fn apply_action(sim: &mut Sim, script_index: usize) {
    let Some(action) = sim.script.get(script_index).cloned() else { return };
    sim.trace_event(|| format!("script: {action:?}"));
    match action {
        Action::Start(node) => start(sim, node, script_index),
        Action::Crash { node, loses_power } => sim.crash(node, loses_power),
        Action::CrashAll => for_all_nodes(sim, |sim, node| sim.crash(node, true)),
        Action::StartAll => for_all_nodes(sim, Sim::start_node),
        Action::Terminate(node) => sim.terminate(node),
        Action::Freeze(node) => {
            let host = sim.nodes[node].host;
            sim.net.freeze(host);
        }
        Action::Resume(node) => {
            let host = sim.nodes[node].host;
            sim.net.resume(host);
            sim.observe_reachability();
        }
        Action::Wipe(node) => sim.wipe(node),
        Action::DiskFull(node, is_full) => {
            if let RoleState::Store(store) = &mut sim.nodes[node].role_state {
                store.disk.is_full = is_full;
            }
        }
        Action::JumpWallClock(node, ms) => {
            let host = sim.nodes[node].host;
            sim.net.hosts[host].wall_ms += ms;
        }
        Action::Replace { registry, store } => replace_machine(sim, registry, store),
        Action::Cut { left, right, one_way } => sim.net.cut(&left, &right, one_way),
        Action::Uncut { left, right, one_way } => sim.net.uncut(&left, &right, one_way),
        Action::DelayNetwork(delay) => sim.net.extra_delay = delay,
        Action::StopServer { server, loses_power } => sim.stop_server(server, loses_power),
        Action::StartServer(server) => start_server(sim, server),
        Action::FreezeServer(server, is_frozen) => freeze_server(sim, server, is_frozen),
        Action::SetFailureMode { server, failure_mode, rate } => {
            sim.set_failure_mode(server, failure_mode, rate);
        }
        Action::MarkDraining(server) => mark_draining(sim, server),
        Action::RemoveServer(server) => remove_server(sim, server),
        Action::ReassignAddress(server) => reassign_address(sim, server),
        Action::FaultyEndpointLists(is_faulty) => sim.endpoint_lists_faulty = is_faulty,
        Action::Surge(zone, weight) => {
            for client in sim.world.clients.iter_mut().filter(|client| client.zone == zone) {
                client.weight = weight;
            }
        }
        Action::Downloads(extra) => set_downloads(sim, extra),
        Action::MoveRegionBounds(is_moved) => operators::move_region_bounds(sim, is_moved),
        Action::DrainZone(zone) => {
            operators::change_zone(sim, Change::DrainZone { zone: zone.to_string() });
        }
        Action::RestoreZone(zone) => {
            operators::change_zone(sim, Change::RestoreZone { zone: zone.to_string() });
        }
        Action::KeylessCall { evacuation, step, registry_dies } => {
            operators::send_keyless_call(sim, evacuation, step, registry_dies);
        }
        Action::ReplaceConfig => {
            operators::replace_config(sim, None);
        }
        Action::ChangeKeys(step) => operators::change_keys(sim, step),
        Action::ReorderClasses => operators::reorder_classes(sim),
        Action::Read => operators::read(sim),
        Action::RaceOperators => operators::race(sim),
        Action::Resubmit(operation) => operators::resubmit(sim, operation),
    }
}

fn start(sim: &mut Sim, node: usize, script_index: usize) {
    if sim.has_mutation(Mutation::StaysDown) || sim.world.retired.contains(&node) {
        return;
    }
    let host = sim.nodes[node].host;
    if !sim.net.hosts[host].up || !sim.net.hosts[host].powered {
        sim.start_node(node);
    } else if sim.nodes[node].is_draining {
        // The old process is still draining: the start is retried until it has exited.
        sim.net.schedule(sim.net.now + Duration::from_millis(200), Event::Script(script_index));
    }
}

fn for_all_nodes(sim: &mut Sim, action: fn(&mut Sim, usize)) {
    for node in 0..sim.nodes.len() {
        if !sim.world.retired.contains(&node) {
            action(sim, node);
        }
    }
}

fn replace_machine(sim: &mut Sim, registry: usize, store: usize) {
    if sim.world.retired.contains(&registry) {
        return;
    }
    for old_node in [registry, store] {
        sim.crash(old_node, true);
        sim.wipe(old_node);
        sim.world.retired.insert(old_node);
        let info = sim.nodes[old_node].info.clone();
        let bootstrap_size = match &sim.nodes[old_node].role_state {
            RoleState::Store(store) => store.identity.bootstrap_size,
            _ => 0,
        };
        let name = format!("{}x", info.name);
        let new_node = sim.add_node(info.role, &name, &info.zone, &info.region, bootstrap_size);
        // The settings of the new node name running registries; all other nodes keep their initial seeds.
        sim.nodes[new_node].seeds = sim
            .nodes_of(Role::Registry)
            .into_iter()
            .map(|index| sim.nodes[index].info.cluster_address)
            .take(3)
            .collect();
        sim.start_node(new_node);
    }
}

fn start_server(sim: &mut Sim, server: usize) {
    // The server may already run: overlapping faults schedule starts of the same server.
    let host = &sim.net.hosts[sim.world.servers[server].host];
    if !host.up || !host.powered {
        sim.start_server(server);
    }
}

fn freeze_server(sim: &mut Sim, server: usize, is_frozen: bool) {
    let host = sim.world.servers[server].host;
    if is_frozen {
        sim.net.freeze(host);
    } else {
        sim.net.resume(host);
    }
}

fn mark_draining(sim: &mut Sim, server: usize) {
    let id = sim.world.servers[server].id.clone();
    let (at, list_revision) = (sim.net.now, sim.platform_list.revision + 1);
    sim.world.server_drains.push(ServerDrain { at, server, list_revision });
    publish(sim, |list| {
        for entry in list.iter_mut().filter(|entry| entry.id == id) {
            entry.draining = true;
        }
    });
}

fn remove_server(sim: &mut Sim, server: usize) {
    let id = sim.world.servers[server].id.clone();
    publish(sim, |list| list.retain(|entry| entry.id != id));
    sim.world.servers[server].id += "-gone";
}

/// Starts a server of another service at the address before the platform's endpoint list shows the change.
fn reassign_address(sim: &mut Sim, server: usize) {
    let old_id = sim.world.servers[server].id.clone();
    sim.world.servers[server].id = format!("{old_id}-heir");
    sim.world.servers[server].app = "spare".to_string();
    sim.start_server(server);
    publish(sim, |list| list.retain(|entry| entry.id != old_id));
}

/// Adds `extra` downloads a second that take 3 s each, or restores the ordinary traffic for 0.
fn set_downloads(sim: &mut Sim, extra: f64) {
    let world = &mut sim.world;
    let app = if world.paths[3] == "/documents" { "documents" } else { "extracts" };
    let is_flood = extra > 0.0;
    for server in world.servers.iter_mut().filter(|server| server.app == app) {
        server.service_time = Duration::from_millis(if is_flood { 3000 } else { 20 });
    }
    if is_flood {
        world.ordinary_traffic = Some((world.request_rate, world.request_mix));
        let weight = |percent: u32| (f64::from(percent) * world.request_rate) as u32;
        let extra_bulk = (100.0 * extra) as u32;
        let [lookups, filings, bound, bulk] = world.request_mix.map(weight);
        world.request_mix = [lookups, filings, bound, bulk + extra_bulk];
        world.request_rate += extra;
    } else if let Some((rate, mix)) = world.ordinary_traffic.take() {
        (world.request_rate, world.request_mix) = (rate, mix);
    }
}
