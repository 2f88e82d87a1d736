//! Soak tests: a fleet of real processes runs under load while overlapping faults and planned operations are
//! applied to it, and invariants are checked from the outside. Each seed determines one script of faults and
//! operations (design 10.7).

pub mod api_keys;
pub mod clients;
pub mod invariants;
pub mod operator;
pub mod record;
pub mod script;
pub mod usage;
mod world;

use record::Observations;
use std::path::{Path, PathBuf};
use std::time::Duration;
use world::World;

/// What the script of a soak test is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Focus {
    /// Faults and planned operations of all kinds, on one shape of fleet.
    #[default]
    Mixed,
    /// Evacuations of zones amid faults of core machines, on fleets of shapes that depend on the seed.
    Evacuations,
}

/// Size and duration of a soak test.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What the script is about.
    pub focus: Focus,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of servers.
    pub servers: usize,
    /// Duration of the script, without the fault-free periods before and after it.
    pub length: Duration,
    /// Number of clients.
    pub clients: usize,
}

/// The result of one seed.
#[derive(Debug)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// What was observed during the run.
    pub observations: Observations,
    /// Invariant violations, one line each.
    pub violations: Vec<String>,
    /// The steps of the script, one line each.
    pub script: Vec<String>,
    /// The logs of all processes, merged by time; empty if there are no violations.
    pub timeline: String,
}

/// Every seed divisible by this number runs with as many processes as the machine can hold.
pub const LARGE_SEED_INTERVAL: u64 = 10;
const LARGE_PROXIES: usize = 64;

impl Plan {
    /// The plan for one seed of a series: seeds divisible by [`LARGE_SEED_INTERVAL`] get a large fleet.
    pub fn for_seed(&self, seed: u64) -> Plan {
        let is_large = seed.is_multiple_of(LARGE_SEED_INTERVAL);
        let proxies = if is_large { LARGE_PROXIES.max(self.proxies) } else { self.proxies };
        Plan { proxies, ..self.clone() }
    }
}

/// Runs the script of a seed on a newly started fleet and checks the invariants.
pub async fn run(seed: u64, plan: &Plan) -> Outcome {
    let mut world = World::start(seed, plan).await;
    let steps = match plan.focus {
        Focus::Mixed => script::generate(seed, world.size(), plan.length),
        Focus::Evacuations => script::evacuations::generate(seed, world.size(), plan.length),
    };
    let script =
        steps.iter().map(|step| format!("{:>8.3} {:?}", step.at.as_secs_f64(), step.action));
    let script = script.collect();
    let observations = world.run_script(seed, plan, &steps).await;
    let violations = invariants::check(&observations);
    let timeline = if violations.is_empty() { String::new() } else { world.timeline() };
    Outcome { seed, observations, violations, script, timeline }
}

impl Outcome {
    /// Writes the violations, the script and the merged logs to a subfolder for this seed, and returns its
    /// path.
    ///
    /// # Errors
    /// If the files cannot be written.
    pub fn write_report(&self, folder: &Path) -> std::io::Result<PathBuf> {
        let folder = folder.join(format!("seed-{}", self.seed));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("faults.txt"), self.violations.join("\n") + "\n")?;
        std::fs::write(folder.join("script.txt"), self.script.join("\n") + "\n")?;
        std::fs::write(folder.join("timeline.log"), &self.timeline)?;
        Ok(folder)
    }
}
