//! Simulated days over a range of seeds.

use super::{matches, seeds};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;
use strum::IntoEnumIterator;
use vanepath_testbed::sim::invariants;
use vanepath_testbed::sim::scenario::{self, Deployment, Fault, Plan};
use vanepath_testbed::sim::{Random, cores, on_threads};

/// Runs days over a range of seeds and prints what the judges found.
pub fn run(arguments: &[String]) -> miette::Result<()> {
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
    let kinds: Vec<String> = Fault::iter().map(|fault| fault.to_string()).collect();
    let more = &format!("Kinds of fault: {}", kinds.join(", "));
    let Some(matches) = matches(options, arguments, "vanepath-testbed simulate [options]", more)?
    else {
        return Ok(());
    };
    let (first, last) = seeds(matches.opt_str("seeds"), "1-20")?;
    let kind = matches.opt_str("fault").unwrap_or("each".to_string());
    let faults: Vec<Fault> = Fault::iter().collect();
    let chosen: Vec<Fault> = match kind.as_str() {
        "each" | "mixed" | "overlap" => faults.clone(),
        // Several, one after the other on one day.
        names => names
            .split('+')
            .map(|name| {
                let found = faults.iter().copied().find(|fault| fault.to_string() == name);
                found.ok_or_else(|| miette::miette!("--fault: there is no '{name}'; see --help"))
            })
            .collect::<miette::Result<Vec<Fault>>>()?,
    };
    let deployments = match matches.opt_str("deployment").as_deref() {
        None | Some("both") => vec![Deployment::Raiocerto, Deployment::Guild],
        Some("raiocerto") => vec![Deployment::Raiocerto],
        Some("guild") => vec![Deployment::Guild],
        Some(other) => miette::bail!("--deployment: there is no '{other}'"),
    };
    let rate: f64 = matches.opt_str("rate").and_then(|text| text.parse().ok()).unwrap_or(1.0);
    let is_traced = matches.opt_present("trace");
    let operator_ms: u64 =
        matches.opt_str("operator-ms").and_then(|text| text.parse().ok()).unwrap_or(900);
    let operator_interval = Duration::from_millis(operator_ms);
    let threads = matches.opt_str("threads").and_then(|text| text.parse().ok()).unwrap_or(cores());

    let mut work: Vec<(u64, Deployment, Vec<Fault>)> = Vec::new();
    for seed in first..=last {
        for deployment in &deployments {
            if kind == "overlap" {
                work.push((seed, *deployment, scenario::overlapping(seed)));
            } else if kind == "mixed" {
                let mut random = Random::new(seed ^ 0x6d69_7865);
                let count = 2 + random.below(3);
                let mix = (0..count).map(|_| faults[random.below(faults.len())]).collect();
                work.push((seed, *deployment, mix));
            } else if kind.contains('+') {
                work.push((seed, *deployment, chosen.clone()));
            } else {
                work.extend(chosen.iter().map(|fault| (seed, *deployment, vec![*fault])));
            }
        }
    }
    let sums = Mutex::new(BTreeMap::<String, Sum>::new());
    on_threads(threads, work.len(), |index| {
        let (seed, deployment, faults) = &work[index];
        let overlap = kind == "overlap";
        let plan =
            Plan { rate, is_traced, operator_interval, overlap, ..Plan::new(*deployment, faults) };
        one(*seed, &plan, ["mixed", "overlap"].contains(&kind.as_str()), &sums);
    });
    let mut sums = sums.into_inner().expect("no panic under this lock");
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
    let mut faulty = 0;
    for (name, sum) in &sums {
        faulty += sum.faulty;
        println!(
            "{name:28} {:5} {:6} {:8} {:6} {:8} {:6} {:7.4} {:8.2} {:8.2} {:8.2}",
            sum.days,
            sum.faulty,
            sum.lookups,
            sum.lookups_lost,
            sum.filings,
            sum.may_have_run,
            sum.retries / sum.days as f64,
            sum.worst_config_delay.as_secs_f64(),
            sum.worst_drain_delay.as_secs_f64(),
            sum.worst_resume.as_secs_f64()
        );
    }
    for (name, sum) in &mut sums {
        let days = sum.days as f64;
        sum.config_delays.sort_unstable();
        let median =
            sum.config_delays.get(sum.config_delays.len() / 2).copied().unwrap_or_default();
        println!(
            "{name:28} siblings {:.1} kB/s, {:.1} kB/s to other zones; {:.0} probes/s; \
             {:.1} saves for each change; setups in force after {:.3} s (median); {:.1} % of goes \
             to other zones; callers' further tries {:.4}, repeats in 10 s a fifth and {:.0} at most; \
             cold servers {:.1} times their rate at most; {:.2} changes of place for each caller; \
             server under {:.1} times its work at most",
            sum.cluster_bytes / days / 1000.0,
            sum.cross_zone_cluster_bytes / days / 1000.0,
            sum.probes / days,
            sum.syncs / days,
            median.as_secs_f64(),
            100.0 * sum.other_zone / days,
            sum.client_retries / days,
            sum.worst_retry_excess,
            sum.worst_slow_start,
            sum.zone_switches / days,
            sum.worst_load
        );
    }
    if faulty > 0 {
        miette::bail!("{faulty} days with faults");
    }
    Ok(())
}

#[derive(Default)]
struct Sum {
    days: usize,
    faulty: usize,
    lookups: usize,
    lookups_lost: usize,
    filings: usize,
    may_have_run: usize,
    retries: f64,
    worst_config_delay: Duration,
    worst_drain_delay: Duration,
    worst_resume: Duration,
    cluster_bytes: f64,
    cross_zone_cluster_bytes: f64,
    probes: f64,
    syncs: f64,
    config_delays: Vec<Duration>,
    other_zone: f64,
    client_retries: f64,
    worst_retry_excess: f64,
    worst_slow_start: f64,
    zone_switches: f64,
    worst_load: f64,
}

fn one(seed: u64, plan: &Plan, is_mixed: bool, sums: &Mutex<BTreeMap<String, Sum>>) {
    let (deployment, faults, is_traced) = (plan.deployment, &plan.faults, plan.is_traced);
    let run = scenario::run(seed, plan);
    let report = invariants::check(&run);
    let names: Vec<String> = faults.iter().map(|fault| fault.to_string()).collect();
    let name = match (is_mixed, plan.overlap) {
        (true, true) => "overlap".to_string(),
        (true, false) => "mixed".to_string(),
        _ => names.join("+"),
    };
    let mut sums = sums.lock().expect("no panic under this lock");
    let sum = sums.entry(name).or_default();
    sum.days += 1;
    sum.lookups += report.lookups;
    sum.lookups_lost += report.lookups_lost;
    sum.filings += report.filings;
    sum.may_have_run += report.filings_may_have_run;
    sum.retries += report.proxy_retry_ratio;
    sum.cluster_bytes += report.cluster_bytes;
    sum.cross_zone_cluster_bytes += report.cross_zone_cluster_bytes;
    sum.probes += report.probes;
    sum.client_retries += report.client_retry_ratio;
    sum.zone_switches += report.zone_switches;
    sum.worst_load = sum.worst_load.max(report.worst_load);
    sum.worst_retry_excess = sum.worst_retry_excess.max(report.worst_retry_excess);
    sum.worst_slow_start = sum.worst_slow_start.max(report.worst_slow_start);
    sum.syncs += report.syncs_per_change;
    sum.config_delays.extend(&report.config_delays);
    sum.other_zone +=
        run.sim.world.cross_zone_attempts as f64 / run.sim.world.attempts.max(1) as f64;
    sum.worst_config_delay = sum.worst_config_delay.max(report.worst_config_delay);
    sum.worst_drain_delay = sum.worst_drain_delay.max(report.worst_drain_delay);
    sum.worst_resume = sum.worst_resume.max(report.resumed_after.unwrap_or_default());
    if !report.violations.is_empty() {
        sum.faulty += 1;
        println!("seed {seed} {deployment:?} {}", names.join("+"));
        for fault in report.violations.iter().take(6) {
            println!("    {fault}");
        }
        if is_traced {
            for line in &run.sim.trace {
                println!("        {line}");
            }
        }
    }
}
