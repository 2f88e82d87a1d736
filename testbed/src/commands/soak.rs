//! A soak with real processes over a range of seeds.

use super::{matches, seeds};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use vanepath_testbed::soak::{LARGE_EVERY, Outcome, Plan, run as run_seed};

const PROXIES_MOST: usize = 78;
const SERVERS_MOST: usize = 140;

/// What the command line asks for.
struct Options {
    first: u64,
    last: u64,
    jobs: usize,
    plan: Plan,
    keep: PathBuf,
}

/// Runs seeds, a few at a time, and prints what the judges found and a line of counts.
///
/// # Errors
/// The arguments make no sense, or a judge found something.
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
    let kept = "where failed seeds leave script, logs and reasons (default: soak-failed in the folder for \
                temporary files)";
    options.optopt("", "keep", kept, "DIR");
    let more = &format!(
        "Each seed plays its own script of troubles on a fleet of its own. Every {LARGE_EVERY}th seed has \
         64 proxies."
    );
    let Some(matches) = matches(options, arguments, "vanepath-testbed soak [options]", more)?
    else {
        return Ok(None);
    };
    if let Some(word) = matches.free.first() {
        miette::bail!("'{word}' is not understood; see --help");
    }
    let whole = |name: &str, default: u64, range: std::ops::RangeInclusive<u64>| {
        let Some(text) = matches.opt_str(name) else { return Ok(default) };
        let number = text.parse().ok().filter(|number| range.contains(number));
        let (low, high) = (range.start(), range.end());
        number.ok_or_else(|| miette::miette!("--{name}: a whole number from {low} to {high}"))
    };
    let (first, last) = seeds(matches.opt_str("seeds"), "1-5")?;
    let plan = Plan {
        proxies: whole("proxies", 6, 2..=PROXIES_MOST as u64)? as usize,
        servers: whole("servers", 18, 6..=SERVERS_MOST as u64)? as usize,
        length: Duration::from_secs(whole("seconds", 16, 3..=600)?),
        clients: whole("clients", 32, 1..=500)? as usize,
    };
    let jobs = whole("jobs", 1, 1..=8)? as usize;
    let keep = matches.opt_str("keep").map(PathBuf::from);
    let keep = keep.unwrap_or_else(|| std::env::temp_dir().join("soak-failed"));
    Ok(Some(Options { first, last, jobs, plan, keep }))
}

/// What all seeds came to.
#[derive(Default)]
struct Sum {
    seeds: usize,
    requests: usize,
    tries: usize,
    signals: usize,
    changes: usize,
    broken: usize,
    processes_most: usize,
    memory_mb_most: u64,
}

impl Sum {
    fn add(&mut self, outcome: &Outcome) {
        let observed = &outcome.observed;
        self.seeds += 1;
        self.requests += observed.requests.len();
        self.tries += observed.servers.iter().map(|server| server.arrivals.len()).sum::<usize>();
        self.signals += observed.signals;
        self.changes += observed.changes;
        self.broken += usize::from(!outcome.faults.is_empty());
        self.processes_most = self.processes_most.max(observed.processes);
        let memory_kb: u64 = observed.usage.iter().map(|usage| usage.after.memory_kb).sum();
        self.memory_mb_most = self.memory_mb_most.max(memory_kb / 1024);
    }
}

fn run_all(options: &Arc<Options>) -> miette::Result<()> {
    let next = Arc::new(std::sync::atomic::AtomicU64::new(options.first));
    let (outcomes, received) = std::sync::mpsc::channel();
    for _ in 0..options.jobs {
        let (options, next, outcomes) = (options.clone(), next.clone(), outcomes.clone());
        std::thread::spawn(move || run_seeds(&options, &next, &outcomes));
    }
    drop(outcomes);
    let mut sum = Sum::default();
    for outcome in received {
        sum.add(&outcome);
        show(&outcome, options)?;
    }
    println!(
        "{} seeds, {} requests, {} tries, {} signals, {} changes, {} broken; {} processes and {} MB in one \
         fleet at the most",
        sum.seeds,
        sum.requests,
        sum.tries,
        sum.signals,
        sum.changes,
        sum.broken,
        sum.processes_most,
        sum.memory_mb_most
    );
    let wanted = (options.last - options.first + 1) as usize;
    if sum.seeds < wanted {
        miette::bail!(
            "{} of {wanted} seeds ended by themselves before their time",
            wanted - sum.seeds
        );
    }
    if sum.broken > 0 {
        miette::bail!("{} seeds broken", sum.broken);
    }
    Ok(())
}

/// Runs one seed after the other until there are no more.
fn run_seeds(
    options: &Options,
    next: &std::sync::atomic::AtomicU64,
    outcomes: &std::sync::mpsc::Sender<Outcome>,
) {
    let runtime = tokio::runtime::Runtime::new().expect("the system starts threads");
    loop {
        let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        if seed > options.last {
            return;
        }
        let outcome = runtime.block_on(run_seed(seed, &options.plan.for_seed(seed)));
        if outcomes.send(outcome).is_err() {
            return;
        }
    }
}

fn show(outcome: &Outcome, options: &Options) -> miette::Result<()> {
    let (seed, observed) = (outcome.seed, &outcome.observed);
    if outcome.faults.is_empty() {
        println!("seed {seed}: {} requests, nothing broken", observed.requests.len());
        return Ok(());
    }
    let folder = outcome
        .keep(&options.keep)
        .map_err(|error| miette::miette!("cannot write to {}: {error}", options.keep.display()))?;
    println!("seed {seed}: broken");
    for fault in &outcome.faults {
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
