//! How long daemons take from their start until they take work, in simulated time (design 5.8): for
//! `vanepath-testbed starts`.

use super::control::{Duty, Sim};
use super::day::{self, Act, Plan};
use std::time::Duration;
use vanepath_cluster::wire::Role;

/// Looked at so often.
const LOOK: Duration = Duration::from_millis(5);
/// Not ready after so long: counted as that.
const LIMIT: Duration = Duration::from_secs(8);
/// A process is gone for so long.
const DOWN: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Scene {
    /// One after the other, while nothing else happens.
    Quiet,
    /// Likewise, while setups come each 150 ms.
    Storm,
    /// Likewise, while the core machine whose store proposes is gone.
    MachineLost,
    /// Likewise, while the first zone is gone.
    ZoneLost,
    /// The first zone comes back, all of it at one time.
    ZoneBack,
    /// All daemons at one time.
    AllAtOnce,
    /// One after the other within the first region, which is cut off from the others.
    RegionCut,
}

/// One start.
pub struct Start {
    pub role: Role,
    /// `None`: not within the limit.
    pub took: Option<Duration>,
}

/// All starts of one scene.
pub fn measure(seed: u64, scene: Scene, plan: &Plan) -> Vec<Start> {
    let plan = Plan { rate: 0.02, operator_every: Duration::ZERO, ..plan.clone() };
    let mut sim = day::open(seed, &plan);
    sim.run_until(day::BEGIN);
    let taking = |sim: &Sim, role| day::of_role(sim, role);
    let mut who = taking(&sim, Role::Proxy);
    who.extend(taking(&sim, Role::Registry));
    let all: Vec<usize> = (0..sim.daemons.len()).collect();
    let (zone, region) = (sim.daemons[0].card.zone.clone(), sim.daemons[0].card.region.clone());
    let in_zone: Vec<usize> =
        all.iter().copied().filter(|one| sim.daemons[*one].card.zone == zone).collect();
    let in_region: Vec<usize> =
        all.iter().copied().filter(|one| sim.daemons[*one].card.region == region).collect();
    let mut starts = Vec::new();
    match scene {
        Scene::Quiet | Scene::Storm => {}
        Scene::MachineLost => {
            // The first core machine has the store that comes first.
            for name in ["store-0", "registry-0"] {
                let one = sim.index(name);
                sim.crash(one, true);
                who.retain(|other| *other != one);
            }
            let until = sim.net.now + Duration::from_secs(5);
            sim.run_until(until);
        }
        Scene::ZoneLost | Scene::ZoneBack => {
            in_zone.iter().for_each(|one| sim.crash(*one, true));
            who.retain(|one| !in_zone.contains(one));
            let until = sim.net.now + Duration::from_secs(5);
            sim.run_until(until);
        }
        Scene::AllAtOnce => all.iter().for_each(|one| sim.crash(*one, false)),
        Scene::RegionCut => {
            let hosts = |sim: &Sim, of: &[usize]| -> Vec<usize> {
                of.iter().map(|one| sim.daemons[*one].host).collect()
            };
            let rest: Vec<usize> =
                all.iter().copied().filter(|one| !in_region.contains(one)).collect();
            let (left, right) = (hosts(&sim, &in_region), hosts(&sim, &rest));
            let now = sim.net.now;
            day::at(&mut sim, now, Act::Cut { left, right, one_way: false });
            sim.run_until(now + Duration::from_secs(5));
            who.retain(|one| in_region.contains(one));
        }
    }
    let together = match scene {
        Scene::ZoneBack => in_zone,
        Scene::AllAtOnce => all,
        _ => Vec::new(),
    };
    if !together.is_empty() {
        sim_passes(&mut sim, DOWN, scene);
        started(&mut sim, &together, scene, &mut starts);
        return starts;
    }
    for one in who {
        sim.crash(one, false);
        sim_passes(&mut sim, DOWN, scene);
        started(&mut sim, &[one], scene, &mut starts);
        sim_passes(&mut sim, Duration::from_millis(500), scene);
    }
    starts
}

fn started(sim: &mut Sim, who: &[usize], scene: Scene, starts: &mut Vec<Start>) {
    who.iter().for_each(|one| sim.start_daemon(*one));
    let from = sim.net.now;
    let mut waiting: Vec<usize> = who.to_vec();
    while !waiting.is_empty() && sim.net.now < from + LIMIT {
        sim_passes(sim, LOOK, scene);
        let took = sim.net.now - from;
        waiting.retain(|one| {
            let is_ready = is_ready(sim, *one);
            if is_ready {
                starts.push(Start { role: sim.daemons[*one].card.role, took: Some(took) });
            }
            !is_ready
        });
    }
    let never = waiting.iter().map(|one| Start { role: sim.daemons[*one].card.role, took: None });
    starts.extend(never);
}

fn is_ready(sim: &Sim, index: usize) -> bool {
    let daemon = &sim.daemons[index];
    match &daemon.duty {
        Duty::Proxy(_) => sim.is_fit(index),
        Duty::Registry(_) => daemon.view.committed.revision > 0 && daemon.view.is_fresh,
        Duty::Store(store) => store.core.summary().is_voting,
    }
}

/// Time passes; in a storm, with changes.
fn sim_passes(sim: &mut Sim, span: Duration, scene: Scene) {
    let end = sim.net.now + span;
    if scene == Scene::Storm {
        let every = Duration::from_millis(150);
        let gone = sim.net.now.as_nanos() % every.as_nanos();
        let mut next = sim.net.now + every - Duration::from_nanos(gone as u64);
        while next < end {
            sim.run_until(next);
            day::put(sim, None);
            next += every;
        }
    }
    sim.run_until(end);
}
