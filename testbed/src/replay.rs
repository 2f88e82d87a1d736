//! Replays the requests of a recorded HAR file against a fleet by the client library, and sums up their
//! outcomes (design 10.6). The file is read by the `har` crate.

mod reader;

pub use reader::{EntryError, ReadError, read};

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::{JoinHandle, JoinSet};
use vanepath_client::{Client, Outcome};

/// One recorded request, ready to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedRequest {
    /// When it is sent, from the first request of the file.
    pub at: Duration,
    /// HTTP method.
    pub method: String,
    /// Host of its URL.
    pub host: String,
    /// Path and query of its URL.
    pub target: String,
    /// Header fields, without those of the recorded connection.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: bytes::Bytes,
}

/// How recorded requests are replayed.
pub struct ReplayPlan {
    /// Registries to poll.
    pub registries: Vec<SocketAddr>,
    /// Zone that the clients state.
    pub zone: String,
    /// Region that the clients state.
    pub region: String,
    /// How many times faster than recorded.
    pub speed_factor: f64,
    /// Whether at-most-once requests are replayed as well: they would be executed a second time.
    pub replays_filings: bool,
}

/// What became of the replayed requests.
#[derive(Debug, Default, PartialEq)]
pub struct Summary {
    /// Requests by execution status.
    pub by_execution_status: BTreeMap<String, usize>,
    /// Responses by HTTP status.
    pub by_http_status: BTreeMap<u16, usize>,
    /// Durations of all requests in milliseconds, ascending.
    pub durations_ms: Vec<u64>,
    /// At-most-once requests that were not replayed.
    pub skipped_filings: usize,
}

/// A client for one host, polling in the background until it is dropped.
struct HostClient {
    client: Arc<Client>,
    polling: JoinHandle<()>,
}

impl Drop for HostClient {
    fn drop(&mut self) {
        self.polling.abort();
    }
}

/// Sends the requests at their recorded times, by one client for each host, and waits for all.
pub async fn replay(plan: &ReplayPlan, recorded: Vec<RecordedRequest>) -> Summary {
    let clients = start_clients(plan, &recorded).await;
    let mut summary = Summary::default();
    let start = tokio::time::Instant::now();
    let mut tasks = JoinSet::new();
    for request in recorded {
        let client = clients[&request.host].client.clone();
        tokio::time::sleep_until(start + request.at.div_f64(plan.speed_factor)).await;
        if !plan.replays_filings && is_at_most_once(&client, &request) {
            summary.skipped_filings += 1;
            continue;
        }
        tasks.spawn(send(client, request));
    }
    while let Some(Ok((outcome, durations_ms))) = tasks.join_next().await {
        let execution_status = outcome.execution_status().to_string();
        *summary.by_execution_status.entry(execution_status).or_default() += 1;
        if let Outcome::Response { status, .. } = outcome {
            *summary.by_http_status.entry(status).or_default() += 1;
        }
        summary.durations_ms.push(durations_ms);
    }
    summary.durations_ms.sort_unstable();
    summary
}

async fn start_clients(
    plan: &ReplayPlan,
    recorded: &[RecordedRequest],
) -> BTreeMap<String, HostClient> {
    let mut clients: BTreeMap<String, HostClient> = BTreeMap::new();
    for request in recorded {
        if !clients.contains_key(&request.host) {
            let (zone, region) = (&plan.zone, &plan.region);
            let query = format!("caller=replay-{}&zone={zone}&region={region}", clients.len());
            let client = Client::new(plan.registries.clone(), &query, 0, &request.host);
            client.poll().await;
            let polling = client.keep_polling();
            clients.insert(request.host.clone(), HostClient { client, polling });
        }
    }
    clients
}

/// By the steering rules. Without a steering response these are not known, and every request counts as
/// at-most-once whose method is not safe.
fn is_at_most_once(client: &Client, request: &RecordedRequest) -> bool {
    let steering = client.steering();
    match steering.response() {
        Some(_) => steering.is_at_most_once(&request.method, &request.host, &request.target),
        None => !["GET", "HEAD", "OPTIONS"].contains(&request.method.as_str()),
    }
}

async fn send(client: Arc<Client>, request: RecordedRequest) -> (Outcome, u64) {
    let start = Instant::now();
    let headers: Vec<(&str, &str)> =
        request.headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
    let outcome = client.request(&request.method, &request.target, &headers, request.body).await;
    (outcome, start.elapsed().as_millis() as u64)
}

#[cfg(test)]
mod tests;
