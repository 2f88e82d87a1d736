//! The demonstration fleet.

use super::matches;
use std::time::Duration;

/// A fleet of processes on this machine, with stand-in servers, callers and platform.
pub fn run(arguments: &[String]) -> miette::Result<()> {
    let mut options = getopts::Options::new();
    options.optopt("", "deployment", "raiocerto (default) or guild", "NAME");
    options.optopt("", "seconds", "end by itself after so long", "N");
    let more = "";
    let Some(matches) = matches(options, arguments, "vanepath-testbed demo [options]", more)?
    else {
        return Ok(());
    };
    let topology = match matches.opt_str("deployment").as_deref() {
        None | Some("raiocerto") => vanepath_testbed::topology::raiocerto(),
        Some("guild") => vanepath_testbed::topology::guild(),
        Some(other) => miette::bail!("--deployment: there is no '{other}'"),
    };
    let seconds: u64 =
        matches.opt_str("seconds").and_then(|text| text.parse().ok()).unwrap_or(u64::MAX >> 1);
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|error| miette::miette!("cannot start threads: {error}"))?;
    runtime.block_on(async {
        let fleet = vanepath_testbed::harness::Fleet::start(topology).await;
        let revision = fleet.put_config(&fleet.topology.config).await;
        fleet.wait_until_active(revision, Duration::from_secs(20)).await;
        let traffic = vanepath_testbed::traffic::Traffic::start(&fleet, 1, 0.1).await;
        let registry = fleet.registry_addresses()[0];
        let proxy = fleet.daemons[fleet.with_role("proxy")[0]].address;
        let setup = fleet.folder.join("setup.json");
        std::fs::write(&setup, &fleet.topology.config)
            .map_err(|error| miette::miette!("cannot write {}: {error}", setup.display()))?;
        println!(
            "a fleet in the shape of {} is up, with a tenth of its traffic",
            fleet.topology.name
        );
        for member in &fleet.daemons {
            println!("  {:12} {:10} {}", member.name, member.zone, member.address);
        }
        println!("logs, settings and the setup lie in {}\n", fleet.folder.display());
        println!("Try, from another terminal:");
        println!("  curl '{registry}/v1/steer?caller=me&zone=north-1&why=1'");
        println!("  curl -i '{proxy}{}/7' -H 'x-request: 7'", fleet.topology.lookup_path);
        println!("  curl {registry}/v1/status");
        println!("  curl {proxy}/vanepath/v1/status");
        println!("  curl -X PUT {registry}/v1/zones/north-1/emptied");
        println!("  curl -X DELETE {registry}/v1/zones/north-1/emptied");
        println!("  curl -T {} {registry}/v1/setup", setup.display());
        println!("  target/debug/vanepath-config-check --registry {registry} {}", setup.display());
        println!("\nCtrl-C ends it.");
        tokio::select! {
            _ = tokio::signal::ctrl_c() => {}
            () = tokio::time::sleep(Duration::from_secs(seconds)) => {}
        }
        let (told, wrong) = traffic.finish().await;
        println!("{} requests, {} of them wrong", told.len(), wrong.len());
        for (kind, sum) in vanepath_testbed::traffic::count_outcomes(&told) {
            println!("  {kind:?}: {sum:?}");
        }
        Ok(())
    })
}
