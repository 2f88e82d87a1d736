//! Schedules: which actions make up a fault, and when they happen.

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

/// What a fault is scheduled by: its period, the fleet, and the core machine that was drawn for it.
struct Context {
    start: Duration,
    end: Duration,
    registries: Vec<usize>,
    stores: Vec<usize>,
    proxies: Vec<usize>,
    /// Registries and stores.
    core: Vec<usize>,
    /// All nodes.
    all: Vec<usize>,
    /// Servers, without the spare ones.
    servers: Vec<usize>,
    /// All zones, with their regions.
    zones: Vec<(&'static str, &'static str)>,
    /// The core machine that was drawn, as an index into `registries` and `stores`.
    slot: usize,
    /// The steps from a core machine to those that are lost with it: of five, two may be lost at one
    /// time.
    steps: Vec<usize>,
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
        let steps =
            if registries.len() < 5 { vec![0] } else { vec![0, 1 + sim.net.random.below(4)] };
        let zones = crate::topology::raiocerto().zones.to_vec();
        Context { start, end, registries, stores, proxies, core, all, servers, zones, slot, steps }
    }

    /// The registry and the store of the core machine that was drawn.
    fn machine(&self) -> [usize; 2] {
        [self.registries[self.slot], self.stores[self.slot]]
    }

    /// A core machine and those that are lost with it.
    fn lost_with(&self, slot: usize) -> Vec<usize> {
        self.steps.iter().map(|step| (slot + step) % 5).collect()
    }
}

/// Puts a fault into the script, and returns when it is over.
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
        Fault::SwapAllCore => control_plane::replace_all_machines(sim, context),
        Fault::SwapAllCoreThenKillAll => {
            control_plane::replace_all_machines_then_kill_all(sim, context)
        }
        Fault::CoreMachineDies => control_plane::kill_machine(sim, context),
        Fault::CoreMachineFreezes => control_plane::freeze_machine(sim, context),
        Fault::CoreMachineCutOff => control_plane::cut_machine_off(sim, context),
        Fault::RestartsInStorm => control_plane::restart_in_storm(sim, context),
        Fault::ServerKilled => servers::kill_one(sim, context),
        Fault::ServerRestartedTwice => servers::restart_one_twice(sim, context),
        Fault::ServersOneByOne => servers::restart_one_by_one(sim, context),
        Fault::AllServersRestarted => servers::restart_all(sim, context),
        Fault::ServerDrains => servers::drain_one(sim, context),
        Fault::AddressReassigned => servers::reassign_address(sim, context),
        Fault::ServersMisbehave => servers::misbehave(sim, context),
        Fault::ServerFreezes => servers::freeze_one(sim, context),
        Fault::ServerHalfCut => servers::cut_off_from_some(sim, context),
        Fault::ServerMute => servers::lose_responses(sim, context),
        Fault::ServerShortPower => servers::short_power_loss(sim, context),
        Fault::FaultyEndpointLists => servers::faulty_endpoint_lists(sim, context),
        Fault::Downloads => servers::flood_of_downloads(sim, context),
        Fault::Surge => servers::surge(sim, context),
        Fault::DrainZone => operators::drain_zone(sim, context),
        Fault::OverlappingEvacuations => operators::overlapping_evacuations(sim, context),
        Fault::Storm => operators::storm_of_changes(sim, context),
        Fault::RegionBoundsMove => operators::move_region_bounds(sim, context),
        Fault::ControlCut20s => worst_case::control_plane_cut(sim, context),
        Fault::OperatorsRaceLostAnswers => worst_case::racing_operators(sim, context),
        Fault::SecondLossAfterRepair => worst_case::second_loss(sim, context),
        Fault::HundredsOfChangesThenRestart => worst_case::hundreds_of_changes(sim, context),
        Fault::WrongAnswersAndResends => worst_case::wrong_answers(sim, context),
    }
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn pick(sim: &mut Sim, from: &[usize]) -> usize {
    from[sim.net.random.below(from.len())]
}

fn pick_zone(sim: &mut Sim, context: &Context) -> (&'static str, &'static str) {
    context.zones[sim.net.random.below(context.zones.len())]
}

fn hosts(sim: &Sim, nodes: &[usize]) -> Vec<usize> {
    nodes.iter().map(|index| sim.nodes[*index].host).collect()
}

/// A node is down for a period.
fn kill(sim: &mut Sim, node: usize, from: Duration, to: Duration, loses_power: bool) {
    sim.schedule(from, Action::Crash { node, loses_power });
    sim.schedule(to, Action::Start(node));
}

/// The machine of a node stands still for a period.
fn freeze(sim: &mut Sim, node: usize, from: Duration, to: Duration) {
    sim.schedule(from, Action::Freeze(node));
    sim.schedule(to, Action::Resume(node));
}

/// The network between two sides is cut for a period.
fn cut(
    sim: &mut Sim,
    (from, to): (Duration, Duration),
    (left, right): (Vec<usize>, Vec<usize>),
    one_way: bool,
) {
    sim.schedule(from, Action::Cut { left: left.clone(), right: right.clone(), one_way });
    sim.schedule(to, Action::Uncut { left, right, one_way });
}
