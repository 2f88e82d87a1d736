//! How long daemons take from their start until they take work.

use super::{matches, seeds};
use std::time::Duration;
use strum::IntoEnumIterator;
use vanepath_testbed::sim::scenario::{Deployment, Plan};

/// How long daemons take from their start until they take work (design 5.8).
pub fn run(arguments: &[String]) -> miette::Result<()> {
    use vanepath_testbed::sim::{mutations::Mutation, startup};
    let mut options = getopts::Options::new();
    options.optopt("", "seeds", "first and last seed, as in 1-8 (default)", "A-B");
    options.optopt("", "stores", "core machines (default 3)", "N");
    options.optflag("", "without-floor", "daemons go by whatever they are told first");
    let more = "";
    let Some(matches) = matches(options, arguments, "vanepath-testbed starts [options]", more)?
    else {
        return Ok(());
    };
    let (first, last) = seeds(matches.opt_str("seeds"), "1-8")?;
    let stores = matches.opt_str("stores").and_then(|text| text.parse().ok()).unwrap_or(3);
    let mutation = matches.opt_present("without-floor").then_some(Mutation::SkipsReadIndex);
    let mut work = Vec::new();
    for deployment in [Deployment::Raiocerto, Deployment::Guild] {
        for scene in startup::Scene::iter() {
            work.extend((first..=last).map(|seed| (deployment, scene, seed)));
        }
    }
    type Rows = std::collections::BTreeMap<(String, startup::Scene, String), Vec<Option<Duration>>>;
    let rows = std::sync::Mutex::new(Rows::new());
    let threads = vanepath_testbed::sim::cores().min(3);
    vanepath_testbed::sim::on_threads(threads, work.len(), |index| {
        let (deployment, scene, seed) = work[index];
        let plan = Plan { mutation, stores, ..Plan::new(deployment, &[]) };
        let all = startup::measure(seed, scene, &plan);
        let mut rows = rows.lock().expect("no panic under this lock");
        for start in all {
            let key = (format!("{deployment:?}"), scene, start.role.to_string());
            rows.entry(key).or_default().push(start.took);
        }
    });
    println!(
        "deployment  scene         role      starts   median ms  9 of 10 ms   worst ms   never"
    );
    for ((deployment, scene, role), all) in rows.into_inner().expect("no panic under this lock") {
        let mut took: Vec<Duration> = all.iter().flatten().copied().collect();
        took.sort_unstable();
        let at = |part: usize| match took.len() {
            0 => "-".to_string(),
            count => took[(count - 1) * part / 100].as_millis().to_string(),
        };
        println!(
            "{deployment:11} {:13} {role:9} {:6} {:>11} {:>11} {:>10} {:7}",
            scene.to_string(),
            all.len(),
            at(50),
            at(90),
            at(100),
            all.len() - took.len()
        );
    }
    Ok(())
}
