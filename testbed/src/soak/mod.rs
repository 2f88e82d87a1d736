//! A soak: a fleet of real processes under series of troubles and planned work that overlap, judged from
//! outside. One seed draws one script (design 10.7).

pub mod clients;
pub mod invariants;
pub mod operator;
pub mod record;
pub mod script;
pub mod usage;
mod world;

use record::Observed;
use std::path::PathBuf;
use std::time::Duration;

/// What a soak is to be like.
#[derive(Clone, Debug)]
pub struct Plan {
    pub proxies: usize,
    pub servers: usize,
    /// How long troubles come; the calm before and after is not counted.
    pub length: Duration,
    pub clients: usize,
}

/// What came of one seed.
#[derive(Debug)]
pub struct Outcome {
    pub seed: u64,
    pub observed: Observed,
    pub faults: Vec<String>,
    /// What was done, a line each.
    pub script: Vec<String>,
    /// The logs of all processes on one timeline; only where there are faults.
    pub timeline: String,
}

/// Every so many seeds one has as many processes as the machine bears.
pub const LARGE_EVERY: u64 = 10;
const LARGE_PROXIES: usize = 64;

impl Plan {
    /// The plan for one of several seeds: some have many processes.
    pub fn for_seed(&self, seed: u64) -> Plan {
        let is_large = seed.is_multiple_of(LARGE_EVERY);
        let proxies = if is_large { LARGE_PROXIES.max(self.proxies) } else { self.proxies };
        Plan { proxies, ..self.clone() }
    }
}

/// Runs the script of a seed on a fleet of its own and judges it.
pub async fn run(seed: u64, plan: &Plan) -> Outcome {
    let mut world = world::World::start(plan).await;
    let steps = script::draw(seed, world.size(), plan.length);
    let script =
        steps.iter().map(|step| format!("{:>8.3} {:?}", step.at.as_secs_f64(), step.action));
    let script = script.collect();
    let observed = world.play(seed, plan, &steps).await;
    let faults = invariants::judge(&observed);
    let timeline = if faults.is_empty() { String::new() } else { world.timeline() };
    Outcome { seed, observed, faults, script, timeline }
}

impl Outcome {
    /// Leaves all that is needed to look into a seed in a folder of its own.
    ///
    /// # Errors
    /// The folder cannot be written.
    pub fn keep(&self, folder: &std::path::Path) -> std::io::Result<PathBuf> {
        let folder = folder.join(format!("seed-{}", self.seed));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("faults.txt"), self.faults.join("\n") + "\n")?;
        std::fs::write(folder.join("script.txt"), self.script.join("\n") + "\n")?;
        std::fs::write(folder.join("timeline.log"), &self.timeline)?;
        Ok(folder)
    }
}
