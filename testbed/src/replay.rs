//! Replays the requests of a HAR file against a fleet through the client library and summarizes their
//! outcomes (design 10.6). The file is parsed by the `har` crate.

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
    /// When it is sent, relative to the first request of the file.
    pub at: Duration,
    /// HTTP method.
    pub method: String,
    /// Host of its URL.
    pub host: String,
    /// Path and query of its URL.
    pub target: String,
    /// Header fields, without those that belong to the recorded connection.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: bytes::Bytes,
}

/// How recorded requests are replayed.
pub struct ReplayPlan {
    /// Registries that the clients poll for steering responses.
    pub registries: Vec<SocketAddr>,
    /// Zone that the clients report.
    pub zone: String,
    /// Region that the clients report.
    pub region: String,
    /// Factor by which the replay is faster than the recording.
    pub speed_factor: f64,
    /// Whether at-most-once requests (filings) are replayed as well, and so are executed a second time.
    pub replays_filings: bool,
}

/// Outcomes of the replayed requests.
#[derive(Debug, Default, PartialEq)]
pub struct Summary {
    /// Number of requests by execution status.
    pub by_execution_status: BTreeMap<String, usize>,
    /// Number of responses by HTTP status.
    pub by_http_status: BTreeMap<u16, usize>,
    /// Durations of all requests in milliseconds, ascending.
    pub durations_ms: Vec<u64>,
    /// Number of at-most-once requests that were not replayed.
    pub skipped_filings: usize,
}

/// A client for one host, which polls in the background until it is dropped.
struct HostClient {
    client: Arc<Client>,
    polling: JoinHandle<()>,
}

impl Drop for HostClient {
    fn drop(&mut self) {
        self.polling.abort();
    }
}

/// Sends the requests at their recorded times, with one client for each host, and waits until all have ended.
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

/// Whether the steering rules make this request an at-most-once request. As long as there is no steering
/// response, the rules are unknown and every request whose method is not safe counts as at-most-once.
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
