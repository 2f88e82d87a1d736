//! The command `measure`: measures the processor time that a proxy adds to a request.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use vanepath_testbed::harness::Fleet;
use vanepath_testbed::http::repeat_request;
use vanepath_testbed::topology::raiocerto;

const ROUNDS: usize = 3;
/// Number of connections that are used concurrently.
const CONNECTIONS: usize = 32;
const REQUESTS: usize = 2400;
/// Gives about 800 requests per second over all connections, so that connections are idle between two
/// requests, as they are in a fleet.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends the same lookups and filings alternately to a server directly and through a proxy, and prints the
/// processor time of both.
///
/// # Errors
/// If a request is not served, or if threads cannot be started.
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
            let series = |address, label: usize| RequestSeries {
                address,
                method,
                path,
                request_id: format!("{method}-{round}-{label}"),
            };
            let direct = series(server_address, 0).measure(proxy_pid).await?;
            let proxied = series(proxy_address, 1).measure(proxy_pid).await?;
            let ratio = proxied.total() as f64 / direct.total().max(1) as f64;
            ratios.push(ratio);
            print_connections(&fleet, proxy).await;
            println!(
                "{method}: direct {} ticks, through the proxy {} (of these in the proxy {}): ratio {ratio:.2}",
                direct.total(),
                proxied.total(),
                proxied.proxy
            );
        }
    }
    ratios.sort_by(f64::total_cmp);
    println!("median: {:.2} times the processor time of direct requests", ratios[ratios.len() / 2]);
    Ok(())
}

async fn print_connections(fleet: &Fleet, proxy: usize) {
    let metrics = fleet.page(proxy, "metrics").await;
    let opened = metrics["connectionsOpened"].as_u64().unwrap_or(0);
    let reused = metrics["connectionsReused"].as_u64().unwrap_or(0);
    println!("connections of the proxy so far: {opened} opened, {reused} reused");
}

/// Processor time in clock ticks (hundredths of a second).
#[derive(Clone, Copy)]
struct ProcessorTime {
    /// Processor time of this process, which contains the clients and the server.
    this_process: u64,
    /// Processor time of the proxy.
    proxy: u64,
}

impl ProcessorTime {
    fn now(proxy_pid: u32) -> ProcessorTime {
        ProcessorTime { this_process: ticks(std::process::id()), proxy: ticks(proxy_pid) }
    }

    fn since(self, earlier: ProcessorTime) -> ProcessorTime {
        ProcessorTime {
            this_process: self.this_process - earlier.this_process,
            proxy: self.proxy - earlier.proxy,
        }
    }

    fn total(self) -> u64 {
        self.this_process + self.proxy
    }
}

/// Processor time of a process so far, in clock ticks; 0 if the process does not exist.
fn ticks(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The process name may contain any character, so parsing starts after its closing parenthesis. From
    // there, user time is the 12th field and system time the 13th.
    let rest = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<u64> =
        rest.split_whitespace().skip(1).map(|field| field.parse().unwrap_or(0)).collect();
    fields.get(10).copied().unwrap_or(0) + fields.get(11).copied().unwrap_or(0)
}

/// A series of equal requests to one address.
struct RequestSeries {
    address: SocketAddr,
    method: &'static str,
    path: &'static str,
    request_id: String,
}

impl RequestSeries {
    /// Sends the requests and returns the processor time that they took.
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
            miette::bail!("only {served} of {REQUESTS} requests were served");
        }
        Ok(ProcessorTime::now(proxy_pid).since(before))
    }
}
