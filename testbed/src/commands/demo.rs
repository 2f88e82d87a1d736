//! The command `demo`: runs a demonstration fleet.

use super::parse_options;
use std::time::Duration;
use vanepath_testbed::harness::Fleet;
use vanepath_testbed::topology::{Topology, guild, raiocerto};
use vanepath_testbed::traffic::{OutcomeCounts, Traffic, count_outcomes};

/// The fleet gets this fraction of the deployment's traffic.
const RATE_FACTOR: f64 = 0.1;
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a fleet of processes on this machine, with stub servers, clients and platform.
///
/// # Errors
/// If the arguments are invalid, or if threads cannot be started or files written.
pub fn run(arguments: &[String]) -> miette::Result<()> {
    let mut options = getopts::Options::new();
    options.optopt("", "deployment", "raiocerto (default) or guild", "NAME");
    options.optopt("", "seconds", "end by itself after so long", "N");
    let additional_help = "";
    let Some(matches) =
        parse_options(options, arguments, "vanepath-testbed demo [options]", additional_help)?
    else {
        return Ok(());
    };
    let topology = match matches.opt_str("deployment").as_deref() {
        None | Some("raiocerto") => raiocerto(),
        Some("guild") => guild(),
        Some(other) => miette::bail!("--deployment: there is no '{other}'"),
    };
    let seconds: u64 =
        matches.opt_str("seconds").and_then(|text| text.parse().ok()).unwrap_or(u64::MAX >> 1);
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|error| miette::miette!("cannot start threads: {error}"))?;
    runtime.block_on(demonstrate(topology, Duration::from_secs(seconds)))
}

async fn demonstrate(topology: Topology, duration: Duration) -> miette::Result<()> {
    let fleet = Fleet::start(topology).await;
    let revision = fleet.put_config(&fleet.topology.config).await;
    fleet.wait_until_active(revision, START_TIMEOUT).await;
    let traffic = Traffic::start(&fleet, 1, RATE_FACTOR).await;
    print_instructions(&fleet)?;
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        () = tokio::time::sleep(duration) => {}
    }
    let (records, mismatches) = traffic.finish().await;
    println!(
        "{} requests, {} with a response that is not their own",
        records.len(),
        mismatches.len()
    );
    for (kind, counts) in count_outcomes(&records) {
        let OutcomeCounts { ran, not_run, may_have_run } = counts;
        println!(
            "  {kind:?}: OutcomeCounts {{ ran: {ran}, not_run: {not_run}, may_have_run: {may_have_run} }}"
        );
    }
    Ok(())
}

/// Prints the addresses of the fleet and commands to try.
fn print_instructions(fleet: &Fleet) -> miette::Result<()> {
    let registry = fleet.registry_addresses()[0];
    let proxy = fleet.daemons[fleet.with_role("proxy")[0]].address;
    let config = fleet.folder.join("setup.json");
    std::fs::write(&config, &fleet.topology.config)
        .map_err(|error| miette::miette!("cannot write {}: {error}", config.display()))?;
    println!(
        "the fleet of deployment {} is running, with a tenth of its traffic",
        fleet.topology.name
    );
    for daemon in &fleet.daemons {
        println!("  {:12} {:10} {}", daemon.name, daemon.zone, daemon.address);
    }
    println!("logs, settings and the configuration are in {}\n", fleet.folder.display());
    println!("Try, from another terminal:");
    println!("  curl '{registry}/v1/steer?caller=me&zone=north-1&why=1'");
    println!("  curl -i '{proxy}{}/7' -H 'x-request: 7'", fleet.topology.lookup_path);
    println!("  curl {registry}/v1/status");
    println!("  curl {proxy}/vanepath/v1/status");
    println!("  curl -X PUT {registry}/v1/zones/north-1/emptied");
    println!("  curl -X DELETE {registry}/v1/zones/north-1/emptied");
    println!("  curl -T {} {registry}/v1/setup", config.display());
    println!("  target/debug/vanepath-config-check --registry {registry} {}", config.display());
    println!("\nPress Ctrl-C to stop.");
    Ok(())
}
