//! The command `simulate`: runs simulated scenarios over a range of seeds.

use super::{parse_options, parse_seed_range};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;
use strum::IntoEnumIterator;
use vanepath_testbed::sim::invariants::{Report, check};
use vanepath_testbed::sim::scenario::{self, Deployment, Fault, Plan};
use vanepath_testbed::sim::{Random, cores, on_threads};

/// XORed into a seed for the choice of faults, so that it is independent of the random draws of the scenario.
const MIX_SEED: u64 = 0x6d69_7865;
/// The maximum number of violations printed for one scenario.
const MAX_SHOWN_VIOLATIONS: usize = 6;
const DEFAULT_OPERATOR_INTERVAL_MS: u64 = 900;

/// Runs scenarios over a range of seeds and prints the violations of their invariants and a table of totals.
///
/// # Errors
/// If the arguments are not understood, or an invariant was violated.
pub fn run(arguments: &[String]) -> miette::Result<()> {
    let Some(options) = Options::parse(arguments)? else {
        return Ok(());
    };
    let scenarios = options.scenarios();
    let totals = Mutex::new(BTreeMap::<String, Totals>::new());
    on_threads(options.threads, scenarios.len(), |index| {
        run_scenario(&scenarios[index], &options, &totals);
    });
    let mut totals = totals.into_inner().expect("no thread panics while it holds the lock");
    print_results(&totals);
    print_costs(&mut totals);
    let failed: usize = totals.values().map(|totals| totals.failed).sum();
    if failed > 0 {
        miette::bail!("{failed} scenarios violated an invariant");
    }
    Ok(())
}

/// How the faults of a scenario are selected.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Selection {
    /// One of the given kinds, each in a scenario of its own.
    Each,
    /// Several random kinds, one after the other.
    Mixed,
    /// Several random kinds at one time.
    Overlapping,
    /// The given kinds, one after the other in one scenario.
    Sequence,
}

/// The options of the command line.
struct Options {
    first_seed: u64,
    last_seed: u64,
    selection: Selection,
    faults: Vec<Fault>,
    deployments: Vec<Deployment>,
    /// The request rate, as a share of the deployment's.
    rate: f64,
    /// Whether the trace of each scenario with violations is printed.
    print_traces: bool,
    operator_interval: Duration,
    threads: usize,
}

/// One scenario to run.
struct Scenario {
    seed: u64,
    deployment: Deployment,
    faults: Vec<Fault>,
}

impl Options {
    /// Parses the arguments. `None` if help was requested, which is then already printed.
    fn parse(arguments: &[String]) -> miette::Result<Option<Options>> {
        let fault_names: Vec<String> = Fault::iter().map(|fault| fault.to_string()).collect();
        let footer = &format!("Kinds of fault: {}", fault_names.join(", "));
        let usage = "vanepath-testbed simulate [options]";
        let Some(matches) = parse_options(accepted_options(), arguments, usage, footer)? else {
            return Ok(None);
        };
        let (first_seed, last_seed) = parse_seed_range(matches.opt_str("seeds"), "1-20")?;
        let fault_option = matches.opt_str("fault").unwrap_or("each".to_string());
        let (selection, faults) = parse_faults(&fault_option)?;
        let deployments = match matches.opt_str("deployment").as_deref() {
            None | Some("both") => vec![Deployment::Raiocerto, Deployment::Guild],
            Some("raiocerto") => vec![Deployment::Raiocerto],
            Some("guild") => vec![Deployment::Guild],
            Some(other) => miette::bail!("--deployment: there is no '{other}'"),
        };
        let operator_ms = matches.opt_str("operator-ms").and_then(|text| text.parse().ok());
        Ok(Some(Options {
            first_seed,
            last_seed,
            selection,
            faults,
            deployments,
            rate: matches.opt_str("rate").and_then(|text| text.parse().ok()).unwrap_or(1.0),
            print_traces: matches.opt_present("trace"),
            operator_interval: Duration::from_millis(
                operator_ms.unwrap_or(DEFAULT_OPERATOR_INTERVAL_MS),
            ),
            threads: matches
                .opt_str("threads")
                .and_then(|text| text.parse().ok())
                .unwrap_or(cores()),
        }))
    }

    /// The scenarios to run, in the order of their seeds.
    fn scenarios(&self) -> Vec<Scenario> {
        let mut scenarios = Vec::new();
        for seed in self.first_seed..=self.last_seed {
            for deployment in self.deployments.iter().copied() {
                let faults = match self.selection {
                    Selection::Each => self.faults.iter().map(|fault| vec![*fault]).collect(),
                    Selection::Mixed => vec![self.random_faults(seed)],
                    Selection::Overlapping => vec![scenario::overlapping_faults(seed)],
                    Selection::Sequence => vec![self.faults.clone()],
                };
                let faults = faults.into_iter();
                scenarios.extend(faults.map(|faults| Scenario { seed, deployment, faults }));
            }
        }
        scenarios
    }

    fn random_faults(&self, seed: u64) -> Vec<Fault> {
        let mut random = Random::new(seed ^ MIX_SEED);
        let count = 2 + random.below(3);
        (0..count).map(|_| self.faults[random.below(self.faults.len())]).collect()
    }
}

fn accepted_options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt("", "seeds", "first and last seed, as in 1-100 (default 1-20)", "A-B");
    options.optopt(
        "",
        "fault",
        "one kind of fault, 'each' in turn (default), 'mixed' or 'overlap'",
        "KIND",
    );
    options.optopt("", "deployment", "raiocerto, guild or both (default)", "NAME");
    options.optopt("", "rate", "part of the deployment's traffic (default 1)", "PART");
    options.optopt("", "operator-ms", "an operator does something about so often (900)", "N");
    options.optopt("", "threads", "seeds run at one time (default: all cores)", "N");
    options.optflag("", "trace", "print the history of each day that a judge finds fault with");
    options
}

/// Reads `each`, `mixed`, `overlap`, a kind of fault, or several kinds joined by `+`.
fn parse_faults(text: &str) -> miette::Result<(Selection, Vec<Fault>)> {
    let all: Vec<Fault> = Fault::iter().collect();
    let selection = match text {
        "each" => return Ok((Selection::Each, all)),
        "mixed" => return Ok((Selection::Mixed, all)),
        "overlap" => return Ok((Selection::Overlapping, all)),
        names if names.contains('+') => Selection::Sequence,
        _ => Selection::Each,
    };
    let faults = text
        .split('+')
        .map(|name| {
            let found = all.iter().copied().find(|fault| fault.to_string() == name);
            found.ok_or_else(|| miette::miette!("--fault: there is no '{name}'; see --help"))
        })
        .collect::<miette::Result<Vec<Fault>>>()?;
    Ok((selection, faults))
}

/// Runs one scenario, adds its results to the totals and prints its violations.
fn run_scenario(scenario: &Scenario, options: &Options, totals: &Mutex<BTreeMap<String, Totals>>) {
    let plan = Plan {
        rate: options.rate,
        is_traced: options.print_traces,
        operator_interval: options.operator_interval,
        overlap: options.selection == Selection::Overlapping,
        ..Plan::new(scenario.deployment, &scenario.faults)
    };
    let run = scenario::run(scenario.seed, &plan);
    let report = check(&run);
    let names: Vec<String> = scenario.faults.iter().map(|fault| fault.to_string()).collect();
    let names = names.join("+");
    let row = match options.selection {
        Selection::Overlapping => "overlap".to_string(),
        Selection::Mixed => "mixed".to_string(),
        Selection::Each | Selection::Sequence => names.clone(),
    };
    let mut totals = totals.lock().expect("no thread panics while it holds the lock");
    let world = &run.sim.world;
    let cross_zone_share = world.cross_zone_attempts as f64 / world.attempts.max(1) as f64;
    totals.entry(row).or_default().add(&report, cross_zone_share);
    // The lock is still held, so that the lines of concurrent scenarios are not interleaved.
    if !report.violations.is_empty() {
        println!("seed {} {:?} {names}", scenario.seed, scenario.deployment);
        for violation in report.violations.iter().take(MAX_SHOWN_VIOLATIONS) {
            println!("    {violation}");
        }
        if options.print_traces {
            for line in &run.sim.trace {
                println!("        {line}");
            }
        }
    }
}

/// Totals over all scenarios of one row of the table.
#[derive(Default)]
struct Totals {
    scenarios: usize,
    /// Scenarios in which an invariant was violated.
    failed: usize,
    lookups: usize,
    lookups_lost: usize,
    filings: usize,
    filings_may_have_run: usize,
    /// The sum of the retry ratios of all scenarios. All values below are sums as well, except maxima and
    /// `config_times`.
    proxy_retries: f64,
    max_config_time: Duration,
    max_drain_time: Duration,
    max_resume_time: Duration,
    cluster_bytes_per_second: f64,
    cross_zone_cluster_bytes_per_second: f64,
    probes_per_second: f64,
    syncs_per_change: f64,
    /// The time until each accepted configuration was active on each proxy.
    config_times: Vec<Duration>,
    cross_zone_share: f64,
    client_retry_ratio: f64,
    max_retry_excess: f64,
    max_slow_start_ratio: f64,
    zone_switches: f64,
    max_server_load: f64,
}

impl Totals {
    fn add(&mut self, report: &Report, cross_zone_share: f64) {
        self.scenarios += 1;
        self.failed += usize::from(!report.violations.is_empty());
        self.lookups += report.lookups;
        self.lookups_lost += report.lookups_lost;
        self.filings += report.filings;
        self.filings_may_have_run += report.filings_may_have_run;
        self.proxy_retries += report.proxy_retry_ratio;
        self.cluster_bytes_per_second += report.cluster_bytes;
        self.cross_zone_cluster_bytes_per_second += report.cross_zone_cluster_bytes;
        self.probes_per_second += report.probes;
        self.client_retry_ratio += report.client_retry_ratio;
        self.zone_switches += report.zone_switches;
        self.max_server_load = self.max_server_load.max(report.worst_load);
        self.max_retry_excess = self.max_retry_excess.max(report.worst_retry_excess);
        self.max_slow_start_ratio = self.max_slow_start_ratio.max(report.worst_slow_start);
        self.syncs_per_change += report.syncs_per_change;
        self.config_times.extend(&report.config_delays);
        self.cross_zone_share += cross_zone_share;
        self.max_config_time = self.max_config_time.max(report.worst_config_delay);
        self.max_drain_time = self.max_drain_time.max(report.worst_drain_delay);
        let resume_time = report.resumed_after.unwrap_or_default();
        self.max_resume_time = self.max_resume_time.max(resume_time);
    }
}

fn print_results(totals: &BTreeMap<String, Totals>) {
    println!(
        "{:28} {:>5} {:>6} {:>8} {:>6} {:>8} {:>6} {:>7} {:>8} {:>8} {:>8}",
        "faults",
        "days",
        "faulty",
        "lookups",
        "lost",
        "filings",
        "maybe",
        "retries",
        "setup s",
        "drain s",
        "resume s"
    );
    for (name, totals) in totals {
        println!(
            "{name:28} {:5} {:6} {:8} {:6} {:8} {:6} {:7.4} {:8.2} {:8.2} {:8.2}",
            totals.scenarios,
            totals.failed,
            totals.lookups,
            totals.lookups_lost,
            totals.filings,
            totals.filings_may_have_run,
            totals.proxy_retries / totals.scenarios as f64,
            totals.max_config_time.as_secs_f64(),
            totals.max_drain_time.as_secs_f64(),
            totals.max_resume_time.as_secs_f64()
        );
    }
}

fn print_costs(totals: &mut BTreeMap<String, Totals>) {
    for (name, totals) in totals {
        let scenarios = totals.scenarios as f64;
        totals.config_times.sort_unstable();
        let median = totals.config_times.get(totals.config_times.len() / 2);
        let median = median.copied().unwrap_or_default();
        println!(
            "{name:28} gossip {:.1} kB/s, {:.1} kB/s between zones; {:.0} health checks/s; \
             {:.1} disk syncs per change; configurations active after {:.3} s (median); {:.1} % of \
             attempts to other zones; client retry ratio {:.4}, retries in 10 s at most a fifth of \
             requests plus {:.0}; servers in slow start at most {:.1} times their rate; {:.2} zone \
             switches per client; server load at most {:.1}",
            totals.cluster_bytes_per_second / scenarios / 1000.0,
            totals.cross_zone_cluster_bytes_per_second / scenarios / 1000.0,
            totals.probes_per_second / scenarios,
            totals.syncs_per_change / scenarios,
            median.as_secs_f64(),
            100.0 * totals.cross_zone_share / scenarios,
            totals.client_retry_ratio / scenarios,
            totals.max_retry_excess,
            totals.max_slow_start_ratio,
            totals.zone_switches / scenarios,
            totals.max_server_load
        );
    }
}
