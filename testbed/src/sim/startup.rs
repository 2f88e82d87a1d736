//! How long nodes take from their start until they are ready, in simulated time (design 5.8): for
//! `vanepath-testbed starts`.

use super::scenario::{Plan, open, operators};
use super::state::{Action, FAULTS_BEGIN, RoleState, Sim};
use std::time::Duration;
use vanepath_cluster::wire::Role;

/// How often readiness is observed.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(5);
/// A node that is not ready after so long counts as never ready.
const READY_TIMEOUT: Duration = Duration::from_secs(8);
/// How long a process is down.
const DOWN_TIME: Duration = Duration::from_millis(400);

/// What happens around the starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum StartCondition {
    /// One after the other, while nothing else happens.
    Quiet,
    /// The same, while a change comes each 150 ms.
    Storm,
    /// The same, while the core machine whose store proposes is down.
    MachineLost,
    /// The same, while the first zone is down.
    ZoneLost,
    /// The first zone comes back, all of it at one time.
    ZoneBack,
    /// All nodes at one time.
    AllAtOnce,
    /// One after the other within the first region, which is cut off from the others.
    RegionCut,
}

/// One start of a node.
pub struct Start {
    /// The node's role.
    pub role: Role,
    /// How long until it was ready; `None`: not within the timeout.
    pub time_to_ready: Option<Duration>,
}

/// All starts of one scene.
pub fn measure(seed: u64, scene: StartCondition, plan: &Plan) -> Vec<Start> {
    let plan = Plan { rate: 0.02, operator_interval: Duration::ZERO, ..plan.clone() };
    let mut sim = open(seed, &plan);
    sim.run_until(FAULTS_BEGIN);
    let mut who = sim.nodes_of(Role::Proxy);
    who.extend(sim.nodes_of(Role::Registry));
    let all: Vec<usize> = (0..sim.nodes.len()).collect();
    let (zone, region) = (sim.nodes[0].info.zone.clone(), sim.nodes[0].info.region.clone());
    let in_zone: Vec<usize> =
        all.iter().copied().filter(|one| sim.nodes[*one].info.zone == zone).collect();
    let in_region: Vec<usize> =
        all.iter().copied().filter(|one| sim.nodes[*one].info.region == region).collect();
    let mut starts = Vec::new();
    match scene {
        StartCondition::Quiet | StartCondition::Storm => {}
        StartCondition::MachineLost => {
            // The first core machine has the store that proposes first.
            for name in ["store-0", "registry-0"] {
                let one = sim.node_index(name);
                sim.crash(one, true);
                who.retain(|other| *other != one);
            }
            let until = sim.net.now + Duration::from_secs(5);
            sim.run_until(until);
        }
        StartCondition::ZoneLost | StartCondition::ZoneBack => {
            in_zone.iter().for_each(|one| sim.crash(*one, true));
            who.retain(|one| !in_zone.contains(one));
            let until = sim.net.now + Duration::from_secs(5);
            sim.run_until(until);
        }
        StartCondition::AllAtOnce => all.iter().for_each(|one| sim.crash(*one, false)),
        StartCondition::RegionCut => {
            let hosts = |sim: &Sim, of: &[usize]| -> Vec<usize> {
                of.iter().map(|one| sim.nodes[*one].host).collect()
            };
            let rest: Vec<usize> =
                all.iter().copied().filter(|one| !in_region.contains(one)).collect();
            let (left, right) = (hosts(&sim, &in_region), hosts(&sim, &rest));
            let now = sim.net.now;
            sim.schedule(now, Action::Cut { left, right, one_way: false });
            sim.run_until(now + Duration::from_secs(5));
            who.retain(|one| in_region.contains(one));
        }
    }
    let together = match scene {
        StartCondition::ZoneBack => in_zone,
        StartCondition::AllAtOnce => all,
        _ => Vec::new(),
    };
    if !together.is_empty() {
        pass_time(&mut sim, DOWN_TIME, scene);
        measure_start(&mut sim, &together, scene, &mut starts);
        return starts;
    }
    for one in who {
        sim.crash(one, false);
        pass_time(&mut sim, DOWN_TIME, scene);
        measure_start(&mut sim, &[one], scene, &mut starts);
        pass_time(&mut sim, Duration::from_millis(500), scene);
    }
    starts
}

/// Starts nodes at one time and waits until they are ready.
fn measure_start(sim: &mut Sim, who: &[usize], scene: StartCondition, starts: &mut Vec<Start>) {
    who.iter().for_each(|one| sim.start_node(*one));
    let from = sim.net.now;
    let mut waiting: Vec<usize> = who.to_vec();
    while !waiting.is_empty() && sim.net.now < from + READY_TIMEOUT {
        pass_time(sim, OBSERVATION_INTERVAL, scene);
        let took = sim.net.now - from;
        waiting.retain(|one| {
            let is_ready = is_ready(sim, *one);
            if is_ready {
                starts.push(Start { role: sim.nodes[*one].info.role, time_to_ready: Some(took) });
            }
            !is_ready
        });
    }
    let never =
        waiting.iter().map(|one| Start { role: sim.nodes[*one].info.role, time_to_ready: None });
    starts.extend(never);
}

fn is_ready(sim: &Sim, index: usize) -> bool {
    let node = &sim.nodes[index];
    match &node.role_state {
        RoleState::Proxy(_) => sim.is_proxy_ready(index),
        RoleState::Registry(_) => node.view.committed.revision > 0 && node.view.is_fresh,
        RoleState::Store(store) => store.core.summary().is_voting,
    }
}

/// Time passes; in a storm, with changes.
fn pass_time(sim: &mut Sim, span: Duration, scene: StartCondition) {
    let end = sim.net.now + span;
    if scene == StartCondition::Storm {
        let every = Duration::from_millis(150);
        let gone = sim.net.now.as_nanos() % every.as_nanos();
        let mut next = sim.net.now + every - Duration::from_nanos(gone as u64);
        while next < end {
            sim.run_until(next);
            operators::replace_config(sim, None);
            next += every;
        }
    }
    sim.run_until(end);
}
