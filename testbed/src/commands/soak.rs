//! The command `soak`: runs soak tests with real processes over a range of seeds.

use super::{parse_options, parse_seed_range};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::time::Duration;
use vanepath_testbed::soak::{Focus, LARGE_SEED_INTERVAL, Outcome, Plan, run as run_seed};

const MAX_PROXIES: usize = 78;
const MAX_SERVERS: usize = 140;

/// The options of the command line.
struct Options {
    first_seed: u64,
    last_seed: u64,
    /// Number of seeds that run concurrently.
    jobs: usize,
    plan: Plan,
    /// Folder for the files of failed seeds.
    report_folder: PathBuf,
}

/// Runs the seeds, up to `--jobs` of them concurrently, and prints the violations of each and the totals.
///
/// # Errors
/// If the arguments are invalid, or if an invariant was violated.
pub fn run(arguments: &[String]) -> miette::Result<()> {
    let Some(options) = parse_arguments(arguments)? else { return Ok(()) };
    run_all(&Arc::new(options))
}

fn parse_arguments(arguments: &[String]) -> miette::Result<Option<Options>> {
    let mut options = getopts::Options::new();
    options.optopt("", "seeds", "first and last seed, as in 1-50 (default 1-5)", "A-B");
    options.optopt("", "proxies", "proxies of a fleet, 2 to 78 (default 6)", "N");
    options.optopt("", "servers", "servers of a fleet, 6 to 140 (default 18)", "N");
    options.optopt("", "clients", "clients that keep connections, 1 to 500 (default 32)", "N");
    options.optopt("", "seconds", "how long troubles come, 3 to 600 (default 16)", "N");
    options.optopt("", "focus", "what scripts are about: mixed (default) or evacuations", "KIND");
    options.optopt("", "jobs", "seeds at one time, 1 to 8 (default 1)", "N");
    let keep_help = "where failed seeds leave script, logs and reasons (default: soak-failed in the folder for \
                temporary files)";
    options.optopt("", "keep", keep_help, "DIR");
    let additional_help = &format!(
        "Each seed plays its own script of troubles on a fleet of its own. Every {LARGE_SEED_INTERVAL}th seed has \
         64 proxies."
    );
    let Some(matches) =
        parse_options(options, arguments, "vanepath-testbed soak [options]", additional_help)?
    else {
        return Ok(None);
    };
    if let Some(argument) = matches.free.first() {
        miette::bail!("'{argument}' is not understood; see --help");
    }
    let parse_number = |name: &str, default: u64, range: RangeInclusive<u64>| {
        let Some(text) = matches.opt_str(name) else { return Ok(default) };
        let number = text.parse().ok().filter(|number| range.contains(number));
        let (low, high) = (range.start(), range.end());
        number.ok_or_else(|| miette::miette!("--{name}: a whole number from {low} to {high}"))
    };
    let (first_seed, last_seed) = parse_seed_range(matches.opt_str("seeds"), "1-5")?;
    let focus = matches.opt_str("focus").map_or(Ok(Focus::default()), |text| text.parse());
    let plan = Plan {
        focus: focus.map_err(|_| miette::miette!("--focus: mixed or evacuations"))?,
        proxies: parse_number("proxies", 6, 2..=MAX_PROXIES as u64)? as usize,
        servers: parse_number("servers", 18, 6..=MAX_SERVERS as u64)? as usize,
        length: Duration::from_secs(parse_number("seconds", 16, 3..=600)?),
        clients: parse_number("clients", 32, 1..=500)? as usize,
    };
    let jobs = parse_number("jobs", 1, 1..=8)? as usize;
    let report_folder = matches.opt_str("keep").map(PathBuf::from);
    let report_folder = report_folder.unwrap_or_else(|| std::env::temp_dir().join("soak-failed"));
    Ok(Some(Options { first_seed, last_seed, jobs, plan, report_folder }))
}

/// Totals over all seeds.
#[derive(Default)]
struct Totals {
    seeds: usize,
    requests: usize,
    /// Number of requests that servers received, including retries.
    attempts: usize,
    signals: usize,
    changes: usize,
    failed_seeds: usize,
    max_processes: usize,
    max_memory_mb: u64,
}

impl Totals {
    fn add(&mut self, outcome: &Outcome) {
        let observations = &outcome.observations;
        self.seeds += 1;
        self.requests += observations.requests.len();
        self.attempts +=
            observations.servers.iter().map(|server| server.arrivals.len()).sum::<usize>();
        self.signals += observations.signals;
        self.changes += observations.changes;
        self.failed_seeds += usize::from(!outcome.violations.is_empty());
        self.max_processes = self.max_processes.max(observations.processes);
        let memory_kb: u64 = observations.usage.iter().map(|usage| usage.after.memory_kb).sum();
        self.max_memory_mb = self.max_memory_mb.max(memory_kb / 1024);
    }
}

fn run_all(options: &Arc<Options>) -> miette::Result<()> {
    let next_seed = Arc::new(AtomicU64::new(options.first_seed));
    let (outcomes, received) = mpsc::channel();
    for _ in 0..options.jobs {
        let (options, next_seed, outcomes) = (options.clone(), next_seed.clone(), outcomes.clone());
        std::thread::spawn(move || run_seeds(&options, &next_seed, &outcomes));
    }
    drop(outcomes);
    let mut totals = Totals::default();
    for outcome in received {
        totals.add(&outcome);
        report(&outcome, options)?;
    }
    println!(
        "{} seeds, {} requests, {} attempts, {} signals, {} changes, {} seeds with violations; at most {} \
         processes and {} MB in one fleet",
        totals.seeds,
        totals.requests,
        totals.attempts,
        totals.signals,
        totals.changes,
        totals.failed_seeds,
        totals.max_processes,
        totals.max_memory_mb
    );
    let seed_count = (options.last_seed - options.first_seed + 1) as usize;
    if totals.seeds < seed_count {
        miette::bail!("{} of {seed_count} seeds ended without a result", seed_count - totals.seeds);
    }
    if totals.failed_seeds > 0 {
        miette::bail!("{} seeds with violations", totals.failed_seeds);
    }
    Ok(())
}

/// Runs one seed after the other until none remains.
fn run_seeds(options: &Options, next_seed: &AtomicU64, outcomes: &mpsc::Sender<Outcome>) {
    let runtime = tokio::runtime::Runtime::new().expect("the system can start threads");
    loop {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed > options.last_seed {
            return;
        }
        let outcome = runtime.block_on(run_seed(seed, &options.plan.for_seed(seed)));
        if outcomes.send(outcome).is_err() {
            return;
        }
    }
}

fn report(outcome: &Outcome, options: &Options) -> miette::Result<()> {
    let (seed, observations) = (outcome.seed, &outcome.observations);
    if outcome.violations.is_empty() {
        println!("seed {seed}: {} requests, no violations", observations.requests.len());
        return Ok(());
    }
    let folder = outcome.write_report(&options.report_folder).map_err(|error| {
        miette::miette!("cannot write to {}: {error}", options.report_folder.display())
    })?;
    println!("seed {seed}: violations");
    for violation in &outcome.violations {
        println!("    {violation}");
    }
    let Plan { focus, proxies, servers, length, clients } = &options.plan;
    println!("    script, logs and violations: {}", folder.display());
    println!(
        "    to repeat: vanepath-testbed soak --focus {focus} --seeds {seed}-{seed} --proxies {proxies} --servers {servers} \
         --clients {clients} --seconds {}",
        length.as_secs()
    );
    Ok(())
}
