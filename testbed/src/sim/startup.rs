//! Measures how long nodes take from their start until they are ready, in simulated time (design
//! 5.8). Used by `vanepath-testbed starts`.

use super::scenario::{Plan, operators, start_fleet};
use super::state::{Action, FAULTS_BEGIN, RoleState, Sim};
use std::time::Duration;
use vanepath_cluster::wire::Role;

/// How often readiness is checked.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(5);
/// A node that is not ready after this time counts as never ready.
const READY_TIMEOUT: Duration = Duration::from_secs(8);
/// How long a process is down before it is started again.
const DOWN_TIME: Duration = Duration::from_millis(400);

/// The conditions under which nodes are started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum StartCondition {
    /// One node after the other, while nothing else happens.
    Quiet,
    /// One node after the other, while the configuration is changed every 150 ms.
    Storm,
    /// One node after the other, while the core machine whose store proposes is down.
    MachineLost,
    /// One node after the other, while the first zone is down.
    ZoneLost,
    /// All nodes of the first zone at the same time, after the zone was down.
    ZoneBack,
    /// All nodes of the fleet at the same time.
    AllAtOnce,
    /// One node after the other in the first region, which is cut off from the other regions.
    RegionCut,
}

/// One start of a node.
pub struct Start {
    /// The node's role.
    pub role: Role,
    /// The time until it was ready; `None` if it was not ready within the timeout.
    pub time_to_ready: Option<Duration>,
}

/// Measures all starts under one condition.
pub fn measure(seed: u64, condition: StartCondition, plan: &Plan) -> Vec<Start> {
    let plan = Plan { rate: 0.02, operator_interval: Duration::ZERO, ..plan.clone() };
    let mut sim = start_fleet(seed, &plan);
    sim.run_until(FAULTS_BEGIN);
    let mut to_restart = sim.nodes_of(Role::Proxy);
    to_restart.extend(sim.nodes_of(Role::Registry));
    let all: Vec<usize> = (0..sim.nodes.len()).collect();
    let (zone, region) = (sim.nodes[0].info.zone.clone(), sim.nodes[0].info.region.clone());
    let zone_nodes: Vec<usize> =
        all.iter().copied().filter(|node| sim.nodes[*node].info.zone == zone).collect();
    let region_nodes: Vec<usize> =
        all.iter().copied().filter(|node| sim.nodes[*node].info.region == region).collect();
    let mut starts = Vec::new();
    match condition {
        StartCondition::Quiet | StartCondition::Storm => {}
        StartCondition::MachineLost => {
            // The store of the first core machine is the first one to propose.
            for name in ["store-0", "registry-0"] {
                let node = sim.node_index(name);
                sim.crash(node, true);
                to_restart.retain(|other| *other != node);
            }
            let until = sim.net.now + Duration::from_secs(5);
            sim.run_until(until);
        }
        StartCondition::ZoneLost | StartCondition::ZoneBack => {
            zone_nodes.iter().for_each(|node| sim.crash(*node, true));
            to_restart.retain(|node| !zone_nodes.contains(node));
            let until = sim.net.now + Duration::from_secs(5);
            sim.run_until(until);
        }
        StartCondition::AllAtOnce => all.iter().for_each(|node| sim.crash(*node, false)),
        StartCondition::RegionCut => {
            let hosts = |sim: &Sim, nodes: &[usize]| -> Vec<usize> {
                nodes.iter().map(|node| sim.nodes[*node].host).collect()
            };
            let other_nodes: Vec<usize> =
                all.iter().copied().filter(|node| !region_nodes.contains(node)).collect();
            let (left, right) = (hosts(&sim, &region_nodes), hosts(&sim, &other_nodes));
            let now = sim.net.now;
            sim.schedule(now, Action::Cut { left, right, one_way: false });
            sim.run_until(now + Duration::from_secs(5));
            to_restart.retain(|node| region_nodes.contains(node));
        }
    }
    let started_together = match condition {
        StartCondition::ZoneBack => zone_nodes,
        StartCondition::AllAtOnce => all,
        _ => Vec::new(),
    };
    if !started_together.is_empty() {
        advance_time(&mut sim, DOWN_TIME, condition);
        measure_start(&mut sim, &started_together, condition, &mut starts);
        return starts;
    }
    for node in to_restart {
        sim.crash(node, false);
        advance_time(&mut sim, DOWN_TIME, condition);
        measure_start(&mut sim, &[node], condition, &mut starts);
        advance_time(&mut sim, Duration::from_millis(500), condition);
    }
    starts
}

/// Starts nodes at the same time and waits until they are ready.
fn measure_start(
    sim: &mut Sim,
    to_start: &[usize],
    condition: StartCondition,
    starts: &mut Vec<Start>,
) {
    to_start.iter().for_each(|node| sim.start_node(*node));
    let from = sim.net.now;
    let mut waiting: Vec<usize> = to_start.to_vec();
    while !waiting.is_empty() && sim.net.now < from + READY_TIMEOUT {
        advance_time(sim, OBSERVATION_INTERVAL, condition);
        let took = sim.net.now - from;
        waiting.retain(|node| {
            let is_ready = is_ready(sim, *node);
            if is_ready {
                starts.push(Start { role: sim.nodes[*node].info.role, time_to_ready: Some(took) });
            }
            !is_ready
        });
    }
    let not_ready =
        waiting.iter().map(|node| Start { role: sim.nodes[*node].info.role, time_to_ready: None });
    starts.extend(not_ready);
}

fn is_ready(sim: &Sim, index: usize) -> bool {
    let node = &sim.nodes[index];
    match &node.role_state {
        RoleState::Proxy(_) => sim.is_proxy_ready(index),
        RoleState::Registry(_) => node.view.committed.revision > 0 && node.view.is_fresh,
        RoleState::Store(store) => store.core.summary().is_voting,
    }
}

/// Lets simulated time pass. Under [`StartCondition::Storm`] the configuration changes meanwhile.
fn advance_time(sim: &mut Sim, span: Duration, condition: StartCondition) {
    let end = sim.net.now + span;
    if condition == StartCondition::Storm {
        let change_interval = Duration::from_millis(150);
        let since_last_change = sim.net.now.as_nanos() % change_interval.as_nanos();
        let mut next_change =
            sim.net.now + change_interval - Duration::from_nanos(since_last_change as u64);
        while next_change < end {
            sim.run_until(next_change);
            operators::replace_config(sim, None);
            next_change += change_interval;
        }
    }
    sim.run_until(end);
}
