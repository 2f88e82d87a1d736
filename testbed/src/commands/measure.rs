//! Processor time that a proxy adds to a request.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use vanepath_testbed::harness::Fleet;
use vanepath_testbed::http::repeat_request;
use vanepath_testbed::topology::raiocerto;

const ROUNDS: usize = 3;
/// Connections that are in use at one time.
const CONNECTIONS: usize = 32;
const REQUESTS: usize = 2400;
/// About 800 requests per second: connections are idle between two requests, as they are in a fleet.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Makes the same lookups and filings direct to a server and through a proxy, in turns, and prints the
/// processor time of both.
///
/// # Errors
/// If a request is not served, or the system gives no threads.
pub fn run() -> miette::Result<()> {
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|error| miette::miette!("cannot start threads: {error}"))?;
    runtime.block_on(measure())
}

async fn measure() -> miette::Result<()> {
    let mut topology = raiocerto();
    topology.proxies = 1;
    topology.servers = vec![("ordering", 1)];
    topology.config = topology.config.replace("app = documents", "app = ordering");
    let fleet = Fleet::start(topology).await;
    let revision = fleet.put_config(&fleet.topology.config).await;
    fleet.wait_until_active(revision, START_TIMEOUT).await;
    let proxy = fleet.with_role("proxy")[0];
    let server_address = fleet.servers[0].address;
    let proxy_address = fleet.daemons[proxy].address;
    let proxy_pid = fleet.daemons[proxy].pid().unwrap_or(0);
    let mut ratios = Vec::new();
    for (method, path) in [("GET", "/stock/1"), ("POST", "/orders")] {
        for round in 0..ROUNDS {
            let run = |address, label: usize| Run {
                address,
                method,
                path,
                request_id: format!("{method}-{round}-{label}"),
            };
            let direct = run(server_address, 0).measure(proxy_pid).await?;
            let proxied = run(proxy_address, 1).measure(proxy_pid).await?;
            let ratio = proxied.total() as f64 / direct.total().max(1) as f64;
            ratios.push(ratio);
            print_connections(&fleet, proxy).await;
            println!(
                "{method}: direct {} ticks, by the proxy {} (in it {}): {ratio:.2} times",
                direct.total(),
                proxied.total(),
                proxied.proxy
            );
        }
    }
    ratios.sort_by(f64::total_cmp);
    println!("median {:.2} times the processor time of going direct", ratios[ratios.len() / 2]);
    Ok(())
}

async fn print_connections(fleet: &Fleet, proxy: usize) {
    let metrics = fleet.page(proxy, "metrics").await;
    let opened = metrics["connectionsOpened"].as_u64().unwrap_or(0);
    let reused = metrics["connectionsReused"].as_u64().unwrap_or(0);
    println!("connections so far: {opened} opened, {reused} used again");
}

/// Processor time in clock ticks, hundredths of a second.
#[derive(Clone, Copy)]
struct ProcessorTime {
    /// Of this process, with the clients and the server.
    own: u64,
    /// Of the proxy.
    proxy: u64,
}

impl ProcessorTime {
    fn now(proxy_pid: u32) -> ProcessorTime {
        ProcessorTime { own: ticks(std::process::id()), proxy: ticks(proxy_pid) }
    }

    fn since(self, earlier: ProcessorTime) -> ProcessorTime {
        ProcessorTime { own: self.own - earlier.own, proxy: self.proxy - earlier.proxy }
    }

    fn total(self) -> u64 {
        self.own + self.proxy
    }
}

/// Processor time of a process so far, in clock ticks; 0 if it is not there.
fn ticks(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // After the name, which may contain anything: user time is the 12th field, system time the 13th.
    let rest = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<u64> =
        rest.split_whitespace().skip(1).map(|field| field.parse().unwrap_or(0)).collect();
    fields.get(10).copied().unwrap_or(0) + fields.get(11).copied().unwrap_or(0)
}

/// The same request many times to one address.
struct Run {
    address: SocketAddr,
    method: &'static str,
    path: &'static str,
    request_id: String,
}

impl Run {
    /// Makes the requests and returns the processor time that they took.
    async fn measure(self, proxy_pid: u32) -> miette::Result<ProcessorTime> {
        let before = ProcessorTime::now(proxy_pid);
        let mut tasks = JoinSet::new();
        for connection in 0..CONNECTIONS {
            tasks.spawn(repeat_request(
                self.address,
                self.method,
                self.path,
                format!("{}-{connection}", self.request_id),
                REQUESTS / CONNECTIONS,
                REQUEST_INTERVAL,
            ));
        }
        let mut served = 0;
        while let Some(done) = tasks.join_next().await {
            served += done.unwrap_or(0);
        }
        if served != REQUESTS {
            miette::bail!("{served} of {REQUESTS} requests were served");
        }
        Ok(ProcessorTime::now(proxy_pid).since(before))
    }
}
