//! What a proxy adds to a request.

use std::time::Duration;

/// Processor time of a process so far, in clock ticks of a hundredth of a second.
fn ticks(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // After the name, which may hold anything: user time is the 12th field, system time the 13th.
    let rest = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<u64> =
        rest.split_whitespace().skip(1).map(|field| field.parse().unwrap_or(0)).collect();
    fields.get(10).copied().unwrap_or(0) + fields.get(11).copied().unwrap_or(0)
}

/// The same lookups direct to a server and through a proxy, in turns, in one run.
pub fn run() -> miette::Result<()> {
    const ROUNDS: usize = 3;
    const LANES: usize = 32;
    const REQUESTS: usize = 2400;
    // About 800 requests a second: connections rest between two requests, as they do in a fleet.
    const PAUSE: Duration = Duration::from_millis(40);
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|error| miette::miette!("cannot start threads: {error}"))?;
    runtime.block_on(async {
        let mut topology = vanepath_testbed::topology::raiocerto();
        topology.proxies = 1;
        topology.servers = vec![("ordering", 1)];
        topology.config = topology.config.replace("app = documents", "app = ordering");
        let fleet = vanepath_testbed::harness::Fleet::start(topology).await;
        let revision = fleet.put_config(&fleet.topology.config).await;
        fleet.wait_until_active(revision, Duration::from_secs(20)).await;
        let proxy = fleet.with_role("proxy")[0];
        let proxy_address = fleet.daemons[proxy].address;
        let proxy_pid = fleet.daemons[proxy].pid().unwrap_or(0);
        let own = std::process::id();
        let mut ratios = Vec::new();
        for kind in ["GET", "POST"] {
            let path = if kind == "GET" { "/stock/1" } else { "/orders" };
            for round in 0..ROUNDS {
                let mut spent = [0_u64; 2];
                let mut in_proxy = 0;
                for (index, address) in
                    [fleet.servers[0].address, proxy_address].into_iter().enumerate()
                {
                    let before = (ticks(own), ticks(proxy_pid));
                    let mut tasks = tokio::task::JoinSet::new();
                    for lane in 0..LANES {
                        tasks.spawn(vanepath_testbed::http::repeat_request(
                            address,
                            kind,
                            path,
                            format!("{kind}-{round}-{index}-{lane}"),
                            REQUESTS / LANES,
                            PAUSE,
                        ));
                    }
                    let mut served = 0;
                    while let Some(done) = tasks.join_next().await {
                        served += done.unwrap_or(0);
                    }
                    if served != REQUESTS {
                        miette::bail!("{served} of {REQUESTS} requests were served");
                    }
                    let after = (ticks(own), ticks(proxy_pid));
                    spent[index] = after.0 - before.0 + after.1 - before.1;
                    in_proxy = after.1 - before.1;
                }
                let ratio = spent[1] as f64 / spent[0].max(1) as f64;
                ratios.push(ratio);
                let metrics = fleet.page(proxy, "metrics").await;
                let opened = metrics["connectionsOpened"].as_u64().unwrap_or(0);
                let reused = metrics["connectionsReused"].as_u64().unwrap_or(0);
                println!("connections so far: {opened} opened, {reused} used again");
                println!(
                    "{kind}: direct {} ticks, by the proxy {} (in it {in_proxy}): {ratio:.2} times",
                    spent[0], spent[1]
                );
            }
        }
        ratios.sort_by(f64::total_cmp);
        println!("median {:.2} times the processor time of going direct", ratios[ratios.len() / 2]);
        Ok(())
    })
}
