//! Mixed traffic from test clients, and checks of what the clients observe.

use crate::harness::{Fleet, wait_until};
use crate::stub::pattern;
use crate::topology::{Topology, TrafficMix};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::MissedTickBehavior;
use vanepath_client::{Client, Outcome};
use vanepath_config::ExecutionStatus;

/// Size of the response to a bulk request.
const DOWNLOAD_BYTES: usize = 150_000;
/// How many bytes of a mismatched response are shown.
const EXCERPT_BYTES: usize = 120;
/// Time-out of [`Traffic::wait_for_requests`].
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(120);

/// Kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestKind {
    /// A request with a small response, which may be executed repeatedly.
    Lookup,
    /// A request that must be executed at most once.
    Filing,
    /// A request with a large response, which may be executed repeatedly.
    Bulk,
}

/// One request as its client observed it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its identifier, from the header `x-request`.
    pub request_id: String,
    /// Its kind.
    pub kind: RequestKind,
    /// Execution status that the client received.
    pub execution: ExecutionStatus,
    /// Status of the response; 0 if there was none.
    pub status: u16,
    /// When it was started, relative to the start of the traffic.
    pub started_at: Duration,
    /// How long it took, in milliseconds.
    pub duration_ms: u64,
}

/// What all clients have observed so far.
#[derive(Clone, Default)]
struct Observations {
    records: Arc<Mutex<Vec<RequestRecord>>>,
    /// Responses that do not belong to their request, one line each.
    mismatches: Arc<Mutex<Vec<String>>>,
}

/// Traffic on a fleet. It continues until [`Traffic::finish`] is called.
pub struct Traffic {
    observations: Observations,
    stop: Arc<AtomicBool>,
    senders: Vec<JoinHandle<()>>,
    polling: Vec<JoinHandle<()>>,
    /// The clients, in the order of their zones.
    pub clients: Vec<Arc<Client>>,
    /// Number of requests started so far.
    pub sent: Arc<AtomicU64>,
}

impl Traffic {
    /// Starts clients in every zone. Together they send the traffic mix of the topology at its rate
    /// multiplied by `rate_factor`.
    pub async fn start(fleet: &Fleet, clients_per_zone: usize, rate_factor: f64) -> Traffic {
        let start = Instant::now();
        let mut traffic = Traffic {
            observations: Observations::default(),
            stop: Arc::default(),
            senders: Vec::new(),
            polling: Vec::new(),
            clients: Vec::new(),
            sent: Arc::default(),
        };
        traffic.start_clients(fleet, clients_per_zone).await;
        let rate = fleet.topology.requests_per_second * rate_factor;
        let interval = Duration::from_secs_f64(traffic.clients.len() as f64 / rate);
        for (index, client) in traffic.clients.iter().enumerate() {
            let sender = Sender {
                index,
                client: client.clone(),
                topology: fleet.topology.clone(),
                start,
                observations: traffic.observations.clone(),
                stop: traffic.stop.clone(),
                sent: traffic.sent.clone(),
            };
            traffic.senders.push(tokio::spawn(sender.run(interval)));
        }
        traffic
    }

    async fn start_clients(&mut self, fleet: &Fleet, clients_per_zone: usize) {
        for (zone, region) in &fleet.topology.zones {
            for index in 0..clients_per_zone {
                let query = format!("caller={zone}-{index}&zone={zone}&region={region}");
                let spread = self.clients.len() as u64;
                let registries = fleet.registry_addresses();
                let client = Client::new(registries, &query, spread, "shop.example");
                client.poll().await;
                self.polling.push(client.keep_polling());
                self.clients.push(client);
            }
        }
    }

    /// Number of requests that have ended.
    pub fn count(&self) -> usize {
        self.observations.records.lock().expect("no panic under this lock").len()
    }

    /// Waits until `count` more requests have ended.
    ///
    /// # Panics
    /// If they have not ended within two minutes.
    pub async fn wait_for_requests(&self, count: usize) {
        let target = self.count() + count;
        wait_until("the requests have ended", PROGRESS_TIMEOUT, async || self.count() >= target)
            .await;
    }

    /// Stops the traffic, waits for the requests in flight, and returns the records of all requests and one
    /// line for each response that does not belong to its request.
    pub async fn finish(self) -> (Vec<RequestRecord>, Vec<String>) {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.senders {
            let _ = task.await;
        }
        for task in self.polling {
            task.abort();
        }
        let records = self.observations.records.lock().expect("no panic under this lock").clone();
        let mismatches =
            self.observations.mismatches.lock().expect("no panic under this lock").clone();
        (records, mismatches)
    }
}

/// Sends the requests of one client.
struct Sender {
    index: usize,
    client: Arc<Client>,
    topology: Topology,
    start: Instant,
    observations: Observations,
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
}

impl Sender {
    async fn run(self, interval: Duration) {
        let mut interval = tokio::time::interval(interval);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut tasks = JoinSet::new();
        // Every client goes through all residues modulo 100, since 61 and 100 have no common divisor.
        let mut step = self.index as u32 * 37;
        while !self.stop.load(Ordering::Relaxed) {
            interval.tick().await;
            step = step.wrapping_add(61);
            let kind = kind_for_step(step, self.topology.traffic_mix);
            let request_id =
                format!("{}-{}", self.index, self.sent.fetch_add(1, Ordering::Relaxed));
            let request = TestRequest {
                client: self.client.clone(),
                topology: self.topology.clone(),
                kind,
                request_id,
            };
            let (observations, start) = (self.observations.clone(), self.start);
            tasks.spawn(async move {
                let record = request.run(start.elapsed(), &observations.mismatches).await;
                observations.records.lock().expect("no panic under this lock").push(record);
            });
        }
        while tasks.join_next().await.is_some() {}
    }
}

fn kind_for_step(step: u32, mix: TrafficMix) -> RequestKind {
    match step % 100 {
        percent if percent < mix.lookup_percent => RequestKind::Lookup,
        percent if percent < mix.lookup_percent + mix.filing_percent => RequestKind::Filing,
        _ => RequestKind::Bulk,
    }
}

struct TestRequest {
    client: Arc<Client>,
    topology: Topology,
    kind: RequestKind,
    request_id: String,
}

impl TestRequest {
    async fn run(self, started_at: Duration, mismatches: &Mutex<Vec<String>>) -> RequestRecord {
        let start = Instant::now();
        let headers = [("x-request", self.request_id.as_str())];
        let (method, path, body) = self.method_path_and_body();
        let outcome = self.client.request(method, &path, &headers, body.into()).await;
        if let Some(mismatch) = self.mismatch(&outcome) {
            mismatches.lock().expect("no panic under this lock").push(mismatch);
        }
        let status = match &outcome {
            Outcome::Response { status, .. } => *status,
            Outcome::Failed { .. } | Outcome::NoSteeringResponse => 0,
        };
        RequestRecord {
            kind: self.kind,
            execution: outcome.execution_status(),
            status,
            started_at,
            duration_ms: start.elapsed().as_millis() as u64,
            request_id: self.request_id,
        }
    }

    fn method_path_and_body(&self) -> (&'static str, String, Vec<u8>) {
        let (topology, request_id) = (&self.topology, &self.request_id);
        match self.kind {
            RequestKind::Lookup => {
                ("GET", format!("{}/{request_id}", topology.lookup_path), Vec::new())
            }
            RequestKind::Filing => {
                ("POST", topology.filing_path.to_string(), request_id.as_bytes().to_vec())
            }
            RequestKind::Bulk => {
                let option = if request_id.len().is_multiple_of(2) { "&chunked=1" } else { "" };
                let path = topology.bulk_path;
                ("GET", format!("{path}/{request_id}?size={DOWNLOAD_BYTES}{option}"), Vec::new())
            }
        }
    }

    /// A description of the response to an executed request if it does not belong to the request.
    fn mismatch(&self, outcome: &Outcome) -> Option<String> {
        let Outcome::Response { status, body, execution: ExecutionStatus::Ran, .. } = outcome
        else {
            return None;
        };
        let is_matching = match self.kind {
            RequestKind::Bulk => **body == *pattern(&self.request_id, DOWNLOAD_BYTES),
            RequestKind::Lookup | RequestKind::Filing => {
                jzon::parse(&String::from_utf8_lossy(body))
                    .is_ok_and(|value| value["request"].as_str() == Some(&*self.request_id))
            }
        };
        if *status == 200 && is_matching {
            return None;
        }
        let excerpt = String::from_utf8_lossy(&body[..body.len().min(EXCERPT_BYTES)]).to_string();
        let (kind, request_id, size) = (self.kind, &self.request_id, body.len());
        Some(format!("{kind:?} {request_id}: {status} with {size} bytes: {excerpt}"))
    }
}

/// Numbers of requests of one kind by execution status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Executed, with a response.
    pub ran: u64,
    /// Not executed.
    pub not_run: u64,
    /// Possibly executed.
    pub may_have_run: u64,
}

/// Counts the outcomes of requests by kind.
pub fn count_outcomes(records: &[RequestRecord]) -> HashMap<RequestKind, OutcomeCounts> {
    let mut counts: HashMap<RequestKind, OutcomeCounts> = HashMap::new();
    for record in records {
        let counts = counts.entry(record.kind).or_default();
        match record.execution {
            ExecutionStatus::Ran => counts.ran += 1,
            ExecutionStatus::NotRun => counts.not_run += 1,
            ExecutionStatus::MayHaveRun => counts.may_have_run += 1,
        }
    }
    counts
}

/// Checks that every filing was executed at most once and that its execution status is true.
/// `execution_counts` contains how often each request was executed. Returns one line for each violation.
pub fn check_filings(
    records: &[RequestRecord],
    execution_counts: &HashMap<String, u32>,
) -> Vec<String> {
    let mut violations = Vec::new();
    for record in records.iter().filter(|record| record.kind == RequestKind::Filing) {
        let count = execution_counts.get(&record.request_id).copied().unwrap_or_default();
        let is_true = match record.execution {
            ExecutionStatus::Ran => count == 1,
            ExecutionStatus::NotRun => count == 0,
            ExecutionStatus::MayHaveRun => count <= 1,
        };
        if !is_true {
            violations.push(format!(
                "filing {} got execution status {} ({}) and was executed {count} times",
                record.request_id, record.execution, record.status
            ));
        }
    }
    violations
}
