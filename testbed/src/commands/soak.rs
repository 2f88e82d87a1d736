//! A soak with real processes over a range of seeds.

use super::{parse_options, parse_seed_range};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};
use std::time::Duration;
use vanepath_testbed::soak::{LARGE_SEED_INTERVAL, Outcome, Plan, run as run_seed};

const MAX_PROXIES: usize = 78;
const MAX_SERVERS: usize = 140;

/// The options of the command line.
struct Options {
    first_seed: u64,
    last_seed: u64,
    /// Seeds that run at one time.
    jobs: usize,
    plan: Plan,
    /// Where failed seeds leave their files.
    keep: PathBuf,
}

/// Runs seeds, a few at a time, and prints the violations of each and a line of totals.
///
/// # Errors
/// If the arguments are not understood, or an invariant was violated.
pub fn run(arguments: &[String]) -> miette::Result<()> {
    let Some(options) = read(arguments)? else { return Ok(()) };
    run_all(&Arc::new(options))
}

fn read(arguments: &[String]) -> miette::Result<Option<Options>> {
    let mut options = getopts::Options::new();
    options.optopt("", "seeds", "first and last seed, as in 1-50 (default 1-5)", "A-B");
    options.optopt("", "proxies", "proxies of a fleet, 2 to 78 (default 6)", "N");
    options.optopt("", "servers", "servers of a fleet, 6 to 140 (default 18)", "N");
    options.optopt("", "clients", "clients that keep connections, 1 to 500 (default 32)", "N");
    options.optopt("", "seconds", "how long troubles come, 3 to 600 (default 16)", "N");
    options.optopt("", "jobs", "seeds at one time, 1 to 8 (default 1)", "N");
    let keep_help = "where failed seeds leave script, logs and reasons (default: soak-failed in the folder for \
                temporary files)";
    options.optopt("", "keep", keep_help, "DIR");
    let more = &format!(
        "Each seed plays its own script of troubles on a fleet of its own. Every {LARGE_SEED_INTERVAL}th seed has \
         64 proxies."
    );
    let Some(matches) = parse_options(options, arguments, "vanepath-testbed soak [options]", more)?
    else {
        return Ok(None);
    };
    if let Some(argument) = matches.free.first() {
        miette::bail!("'{argument}' is not understood; see --help");
    }
    let whole = |name: &str, default: u64, range: RangeInclusive<u64>| {
        let Some(text) = matches.opt_str(name) else { return Ok(default) };
        let number = text.parse().ok().filter(|number| range.contains(number));
        let (low, high) = (range.start(), range.end());
        number.ok_or_else(|| miette::miette!("--{name}: a whole number from {low} to {high}"))
    };
    let (first_seed, last_seed) = parse_seed_range(matches.opt_str("seeds"), "1-5")?;
    let plan = Plan {
        proxies: whole("proxies", 6, 2..=MAX_PROXIES as u64)? as usize,
        servers: whole("servers", 18, 6..=MAX_SERVERS as u64)? as usize,
        length: Duration::from_secs(whole("seconds", 16, 3..=600)?),
        clients: whole("clients", 32, 1..=500)? as usize,
    };
    let jobs = whole("jobs", 1, 1..=8)? as usize;
    let keep = matches.opt_str("keep").map(PathBuf::from);
    let keep = keep.unwrap_or_else(|| std::env::temp_dir().join("soak-failed"));
    Ok(Some(Options { first_seed, last_seed, jobs, plan, keep }))
}

/// Totals over all seeds.
#[derive(Default)]
struct Totals {
    seeds: usize,
    requests: usize,
    /// Requests received by servers.
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
    let next = Arc::new(AtomicU64::new(options.first_seed));
    let (outcomes, received) = mpsc::channel();
    for _ in 0..options.jobs {
        let (options, next, outcomes) = (options.clone(), next.clone(), outcomes.clone());
        std::thread::spawn(move || run_seeds(&options, &next, &outcomes));
    }
    drop(outcomes);
    let mut totals = Totals::default();
    for outcome in received {
        totals.add(&outcome);
        show(&outcome, options)?;
    }
    println!(
        "{} seeds, {} requests, {} tries, {} signals, {} changes, {} broken; {} processes and {} MB in one \
         fleet at the most",
        totals.seeds,
        totals.requests,
        totals.attempts,
        totals.signals,
        totals.changes,
        totals.failed_seeds,
        totals.max_processes,
        totals.max_memory_mb
    );
    let wanted = (options.last_seed - options.first_seed + 1) as usize;
    if totals.seeds < wanted {
        miette::bail!(
            "{} of {wanted} seeds ended by themselves before their time",
            wanted - totals.seeds
        );
    }
    if totals.failed_seeds > 0 {
        miette::bail!("{} seeds broken", totals.failed_seeds);
    }
    Ok(())
}

/// Runs one seed after the other until none is left.
fn run_seeds(options: &Options, next: &AtomicU64, outcomes: &mpsc::Sender<Outcome>) {
    let runtime = tokio::runtime::Runtime::new().expect("the system starts threads");
    loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed > options.last_seed {
            return;
        }
        let outcome = runtime.block_on(run_seed(seed, &options.plan.for_seed(seed)));
        if outcomes.send(outcome).is_err() {
            return;
        }
    }
}

fn show(outcome: &Outcome, options: &Options) -> miette::Result<()> {
    let (seed, observations) = (outcome.seed, &outcome.observations);
    if outcome.violations.is_empty() {
        println!("seed {seed}: {} requests, nothing broken", observations.requests.len());
        return Ok(());
    }
    let folder = outcome
        .write_report(&options.keep)
        .map_err(|error| miette::miette!("cannot write to {}: {error}", options.keep.display()))?;
    println!("seed {seed}: broken");
    for fault in &outcome.violations {
        println!("    {fault}");
    }
    let Plan { proxies, servers, length, clients } = &options.plan;
    println!("    script, logs and reasons: {}", folder.display());
    println!(
        "    again: vanepath-testbed soak --seeds {seed}-{seed} --proxies {proxies} --servers {servers} \
         --clients {clients} --seconds {}",
        length.as_secs()
    );
    Ok(())
}
