//! The command `starts`: measures the start-up times of daemons.

use super::{parse_options, parse_seed_range};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;
use strum::IntoEnumIterator;
use vanepath_testbed::sim::mutations::Mutation;
use vanepath_testbed::sim::scenario::{Deployment, Plan};
use vanepath_testbed::sim::{cores, on_threads, startup};

/// Maximum number of threads that run simulations.
const MAX_THREADS: usize = 3;

/// Start-up times by deployment, start condition and role; `None` for a daemon that was never ready.
type Rows = BTreeMap<(String, startup::StartCondition, String), Vec<Option<Duration>>>;

/// Measures the time from the start of daemons until they accept requests (design 5.8), and prints a table.
///
/// # Errors
/// If the arguments are invalid.
pub fn run(arguments: &[String]) -> miette::Result<()> {
    let mut options = getopts::Options::new();
    options.optopt("", "seeds", "first and last seed, as in 1-8 (default)", "A-B");
    options.optopt("", "stores", "core machines (default 3)", "N");
    options.optflag("", "without-floor", "daemons go by whatever they are told first");
    let additional_help = "";
    let Some(matches) =
        parse_options(options, arguments, "vanepath-testbed starts [options]", additional_help)?
    else {
        return Ok(());
    };
    let (first, last) = parse_seed_range(matches.opt_str("seeds"), "1-8")?;
    let stores = matches.opt_str("stores").and_then(|text| text.parse().ok()).unwrap_or(3);
    let mutation = matches.opt_present("without-floor").then_some(Mutation::SkipsReadIndex);
    let mut work = Vec::new();
    for deployment in [Deployment::Raiocerto, Deployment::Guild] {
        for condition in startup::StartCondition::iter() {
            work.extend((first..=last).map(|seed| (deployment, condition, seed)));
        }
    }
    let rows = Mutex::new(Rows::new());
    let threads = cores().min(MAX_THREADS);
    on_threads(threads, work.len(), |index| {
        let (deployment, condition, seed) = work[index];
        let plan = Plan { mutation, stores, ..Plan::new(deployment, &[]) };
        let all = startup::measure(seed, condition, &plan);
        let mut rows = rows.lock().expect("no panic under this lock");
        for start in all {
            let key = (format!("{deployment:?}"), condition, start.role.to_string());
            rows.entry(key).or_default().push(start.time_to_ready);
        }
    });
    print_table(rows.into_inner().expect("no panic under this lock"));
    Ok(())
}

fn print_table(rows: Rows) {
    println!(
        "deployment  condition     role      starts   median ms  9 of 10 ms   worst ms   never"
    );
    for ((deployment, condition, role), times) in rows {
        let mut ready_times: Vec<Duration> = times.iter().flatten().copied().collect();
        ready_times.sort_unstable();
        let percentile_ms = |percent: usize| match ready_times.len() {
            0 => "-".to_string(),
            count => ready_times[(count - 1) * percent / 100].as_millis().to_string(),
        };
        println!(
            "{deployment:11} {:13} {role:9} {:6} {:>11} {:>11} {:>10} {:7}",
            condition.to_string(),
            times.len(),
            percentile_ms(50),
            percentile_ms(90),
            percentile_ms(100),
            times.len() - ready_times.len()
        );
    }
}
