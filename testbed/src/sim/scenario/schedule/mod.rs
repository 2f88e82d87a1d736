//! Schedules of faults: the actions that make up each kind of fault, and their times.

mod control_plane;
mod network;
mod nodes;
mod operators;
mod servers;
mod worst_case;

use super::Fault;
use crate::sim::state::{Action, Sim};
use std::time::Duration;
use vanepath_cluster::wire::Role;

/// The input for the schedule of a fault: its period, the nodes and servers of the fleet, and random choices.
struct Context {
    start: Duration,
    end: Duration,
    registries: Vec<usize>,
    stores: Vec<usize>,
    proxies: Vec<usize>,
    /// All registries and stores.
    core: Vec<usize>,
    /// All nodes.
    all: Vec<usize>,
    /// All servers except those of the application `spare`.
    servers: Vec<usize>,
    /// All zones, with their regions.
    zones: Vec<(&'static str, &'static str)>,
    /// The randomly chosen core machine, as an index into `registries` and `stores`.
    slot: usize,
    /// Offsets from a core machine to the machines that are lost together with it, the first being 0. With
    /// five machines, two are lost at one time.
    offsets: Vec<usize>,
}

impl Context {
    fn draw(sim: &mut Sim, start: Duration) -> Context {
        let registries = sim.nodes_of(Role::Registry);
        let stores = sim.nodes_of(Role::Store);
        let proxies = sim.nodes_of(Role::Proxy);
        let core: Vec<usize> = registries.iter().chain(&stores).copied().collect();
        let all = core.iter().chain(&proxies).copied().collect();
        let end = start + ms(3000 + sim.net.random.draw() % 5000);
        let servers = (0..sim.world.servers.len())
            .filter(|index| !sim.world.servers[*index].app.contains("spare"))
            .collect();
        let slot = sim.net.random.below(registries.len());
        let offsets =
            if registries.len() < 5 { vec![0] } else { vec![0, 1 + sim.net.random.below(4)] };
        let zones = crate::topology::raiocerto().zones.to_vec();
        Context {
            start,
            end,
            registries,
            stores,
            proxies,
            core,
            all,
            servers,
            zones,
            slot,
            offsets,
        }
    }

    /// The registry and the store of the chosen core machine.
    fn machine(&self) -> [usize; 2] {
        [self.registries[self.slot], self.stores[self.slot]]
    }

    /// The slots of a core machine and of those that are lost together with it.
    fn slots_lost_with(&self, slot: usize) -> Vec<usize> {
        self.offsets.iter().map(|offset| (slot + offset) % 5).collect()
    }
}

/// Schedules the actions of a fault, and returns the time at which the fault ends.
pub(super) fn schedule(sim: &mut Sim, fault: Fault, start: Duration) -> Duration {
    let context = &Context::draw(sim, start);
    match fault {
        Fault::None => context.end,
        Fault::KillProxy => nodes::kill_one(sim, context, &context.proxies),
        Fault::KillRegistry => nodes::kill_one(sim, context, &context.registries),
        Fault::KillStore => nodes::kill_one(sim, context, &context.stores),
        Fault::KillManyProxies => nodes::kill_many_proxies(sim, context),
        Fault::KillControl => nodes::kill_control_plane(sim, context),
        Fault::KillAll => nodes::kill_all(sim, context),
        Fault::ZonePower => nodes::zone_loses_power(sim, context),
        Fault::RegionPower => nodes::region_loses_power(sim, context),
        Fault::FreezeProxy => nodes::freeze_one(sim, context, &context.proxies),
        Fault::FreezeRegistry => nodes::freeze_one(sim, context, &context.registries),
        Fault::FreezeStore => nodes::freeze_one(sim, context, &context.stores),
        Fault::FreezeProxyLong => nodes::freeze_proxy_for_long(sim, context),
        Fault::ClockJump => nodes::clock_jumps(sim, context),
        Fault::RollingRestart => nodes::rolling_restart(sim, context),
        Fault::IsolateProxy => network::isolate_one(sim, context, &context.proxies, false),
        Fault::IsolateCore => network::isolate_one(sim, context, &context.core, false),
        Fault::OneWayCut => network::isolate_one(sim, context, &context.all, true),
        Fault::SplitControl => network::split_control_plane(sim, context),
        Fault::ControlCutOff => network::cut_control_plane_off(sim, context),
        Fault::SlowNetwork => network::slow_network(sim, context),
        Fault::ZoneCut => network::cut_zone_off(sim, context),
        Fault::RegionCut => network::cut_region_off(sim, context),
        Fault::ClientsCut => network::cut_clients_off(sim, context),
        Fault::LoseDisk => control_plane::lose_disks(sim, context),
        Fault::DiskFull => control_plane::fill_disk(sim, context),
        Fault::ReplaceCore => control_plane::replace_machines(sim, context),
        Fault::ReplaceAllCore => control_plane::replace_all_machines(sim, context),
        Fault::ReplaceAllCoreThenKillAll => {
            control_plane::replace_all_machines_then_kill_all(sim, context)
        }
        Fault::CoreMachineCrashes => control_plane::kill_machine(sim, context),
        Fault::CoreMachineFreezes => control_plane::freeze_machine(sim, context),
        Fault::CoreMachineCutOff => control_plane::cut_machine_off(sim, context),
        Fault::RestartsInConfigBurst => control_plane::restart_in_config_burst(sim, context),
        Fault::ServerKilled => servers::kill_one(sim, context),
        Fault::ServerRestartedTwice => servers::restart_one_twice(sim, context),
        Fault::RollingServerRestart => servers::restart_one_by_one(sim, context),
        Fault::AllServersRestarted => servers::restart_all(sim, context),
        Fault::ServerDrains => servers::drain_one(sim, context),
        Fault::AddressReassigned => servers::reassign_address(sim, context),
        Fault::ServersMisbehave => servers::fail_requests(sim, context),
        Fault::ServerFreezes => servers::freeze_one(sim, context),
        Fault::ServerPartlyUnreachable => servers::cut_off_from_some_proxies(sim, context),
        Fault::ServerResponsesLost => servers::lose_responses(sim, context),
        Fault::ServerShortPower => servers::short_power_loss(sim, context),
        Fault::FaultyEndpointLists => servers::faulty_endpoint_lists(sim, context),
        Fault::Downloads => servers::excess_downloads(sim, context),
        Fault::Surge => servers::surge_in_zone(sim, context),
        Fault::DrainZone => operators::drain_zone(sim, context),
        Fault::OverlappingEvacuations => operators::overlapping_evacuations(sim, context),
        Fault::EvacuationsLostAnswers => operators::evacuations_with_lost_answers(sim, context),
        Fault::EvacuationsControlFreezes => {
            operators::evacuations_while_control_freezes(sim, context)
        }
        Fault::ConfigBurst => operators::burst_of_changes(sim, context),
        Fault::RegionBoundsMove => operators::move_region_bounds(sim, context),
        Fault::ControlCut20s => worst_case::control_plane_cut(sim, context),
        Fault::OperatorsRaceLostResponses => worst_case::racing_operators(sim, context),
        Fault::SecondLossAfterRepair => worst_case::successive_disk_losses(sim, context),
        Fault::HundredsOfChangesThenRestart => worst_case::hundreds_of_changes(sim, context),
        Fault::WrongResponsesAndRetries => worst_case::failing_servers_and_proxies(sim, context),
    }
}

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn pick(sim: &mut Sim, candidates: &[usize]) -> usize {
    candidates[sim.net.random.below(candidates.len())]
}

fn pick_zone(sim: &mut Sim, context: &Context) -> (&'static str, &'static str) {
    context.zones[sim.net.random.below(context.zones.len())]
}

fn hosts(sim: &Sim, nodes: &[usize]) -> Vec<usize> {
    nodes.iter().map(|index| sim.nodes[*index].host).collect()
}

/// Schedules a crash of a node and its restart at the end of the period.
fn kill(sim: &mut Sim, node: usize, from: Duration, to: Duration, loses_power: bool) {
    sim.schedule(from, Action::Crash { node, loses_power });
    sim.schedule(to, Action::Start(node));
}

/// Schedules a freeze of a node's machine for a period.
fn freeze(sim: &mut Sim, node: usize, from: Duration, to: Duration) {
    sim.schedule(from, Action::Freeze(node));
    sim.schedule(to, Action::Resume(node));
}

/// Schedules a network partition between two sides for a period.
fn cut(
    sim: &mut Sim,
    (from, to): (Duration, Duration),
    (left, right): (Vec<usize>, Vec<usize>),
    one_way: bool,
) {
    sim.schedule(from, Action::Cut { left: left.clone(), right: right.clone(), one_way });
    sim.schedule(to, Action::Uncut { left, right, one_way });
}
