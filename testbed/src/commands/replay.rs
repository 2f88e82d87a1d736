//! The command `replay`: replays recorded requests against a running fleet.

use super::parse_options;
use std::net::SocketAddr;
use vanepath_testbed::replay::{ReplayPlan, Summary, read, replay};

/// Replays the requests of a recorded file against a running fleet and prints a summary.
///
/// # Errors
/// If the arguments are invalid, or if the file cannot be replayed.
pub fn run(arguments: &[String]) -> miette::Result<()> {
    let mut options = getopts::Options::new();
    options.optmulti("", "registry", "a directory to ask; again for further ones", "IP:PORT");
    options.optopt("", "zone", "the zone that the requests come from", "NAME");
    options.optopt("", "region", "its region", "NAME");
    options.optopt("", "factor", "so many times faster than recorded (default 1)", "F");
    options.optflag("", "filings", "replay what runs at most once too: it is filed again");
    let additional_help = "";
    let Some(matches) = parse_options(
        options,
        arguments,
        "vanepath-testbed replay [options] FILE.har",
        additional_help,
    )?
    else {
        return Ok(());
    };
    let [file] = &matches.free[..] else {
        miette::bail!("one HAR file is wanted, not {}; see --help", matches.free.len());
    };
    let plan = replay_plan(&matches)?;
    let bytes =
        std::fs::read(file).map_err(|error| miette::miette!("cannot read {file}: {error}"))?;
    let recorded = read(&bytes)?;
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|error| miette::miette!("cannot start threads: {error}"))?;
    print_summary(&runtime.block_on(replay(&plan, recorded)));
    Ok(())
}

fn replay_plan(matches: &getopts::Matches) -> miette::Result<ReplayPlan> {
    let registries: Vec<SocketAddr> = matches
        .opt_strs("registry")
        .iter()
        .map(|text| text.parse().map_err(|_| miette::miette!("--registry: '{text}' is no IP:PORT")))
        .collect::<miette::Result<_>>()?;
    if registries.is_empty() {
        miette::bail!("--registry: at least one is needed");
    }
    let speed_factor = match matches.opt_str("factor") {
        None => 1.0,
        Some(text) => text
            .parse()
            .ok()
            .filter(|factor: &f64| factor.is_finite() && *factor > 0.0)
            .ok_or_else(|| miette::miette!("--factor: '{text}' is no number above zero"))?,
    };
    Ok(ReplayPlan {
        registries,
        zone: matches.opt_str("zone").unwrap_or_default(),
        region: matches.opt_str("region").unwrap_or_default(),
        speed_factor,
        replays_filings: matches.opt_present("filings"),
    })
}

fn print_summary(summary: &Summary) {
    for (execution_status, count) in &summary.by_execution_status {
        println!("{count} {execution_status}");
    }
    for (status, count) in &summary.by_http_status {
        println!("{count} with status {status}");
    }
    if summary.skipped_filings > 0 {
        println!("{} filings left out (--filings replays them)", summary.skipped_filings);
    }
    if let (Some(median), Some(longest)) =
        (summary.durations_ms.get(summary.durations_ms.len() / 2), summary.durations_ms.last())
    {
        println!("median {median} ms, longest {longest} ms");
    }
}
