//! Mixed traffic from stand-in callers, and the judgement of it from outside.

use crate::harness::Fleet;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use vanepath_client::{Client, Outcome};
use vanepath_config::ExecutionStatus;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestKind {
    Lookup,
    Filing,
    Bulk,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub request_id: String,
    pub kind: RequestKind,
    pub execution: ExecutionStatus,
    pub status: u16,
    pub started_at: Duration,
    pub duration_ms: u64,
}

pub struct Traffic {
    records: Arc<Mutex<Vec<RequestRecord>>>,
    mismatches: Arc<Mutex<Vec<String>>>,
    stop: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    polling: Vec<tokio::task::JoinHandle<()>>,
    pub clients: Vec<Arc<Client>>,
    pub sent: Arc<AtomicU64>,
}

const SIZE: usize = 150_000;

impl Traffic {
    /// Callers in every zone send the shape's mix at `part` of its rate until told to stop.
    pub async fn start(fleet: &Fleet, callers_per_zone: usize, part: f64) -> Traffic {
        let start = std::time::Instant::now();
        let mut traffic = Traffic {
            records: Arc::default(),
            mismatches: Arc::default(),
            stop: Arc::default(),
            tasks: Vec::new(),
            polling: Vec::new(),
            clients: Vec::new(),
            sent: Arc::default(),
        };
        for (zone, region) in &fleet.topology.zones {
            for index in 0..callers_per_zone {
                let query = format!("caller={zone}-{index}&zone={zone}&region={region}");
                let spread = traffic.clients.len() as u64;
                let caller =
                    Client::new(fleet.registry_addresses(), &query, spread, "shop.example");
                caller.poll().await;
                traffic.polling.push(caller.keep_polling());
                traffic.clients.push(caller);
            }
        }
        let count = traffic.clients.len();
        let pause =
            Duration::from_secs_f64(count as f64 / (fleet.topology.requests_per_second * part));
        for (index, caller) in traffic.clients.clone().into_iter().enumerate() {
            let topology = fleet.topology.clone();
            let (told, wrong) = (traffic.records.clone(), traffic.mismatches.clone());
            let (stop, sent) = (traffic.stop.clone(), traffic.sent.clone());
            traffic.tasks.push(tokio::spawn(async move {
                let mut pulse = tokio::time::interval(pause);
                pulse.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
                let mut tasks = tokio::task::JoinSet::new();
                let mut turn = index as u32 * 37;
                while !stop.load(Ordering::Relaxed) {
                    pulse.tick().await;
                    turn = turn.wrapping_add(61);
                    let kind = match turn % 100 {
                        part if part < topology.traffic_mix[0] => RequestKind::Lookup,
                        part if part < topology.traffic_mix[0] + topology.traffic_mix[1] => {
                            RequestKind::Filing
                        }
                        _ => RequestKind::Bulk,
                    };
                    let number = format!("{index}-{}", sent.fetch_add(1, Ordering::Relaxed));
                    let (told, wrong) = (told.clone(), wrong.clone());
                    let (caller, topology) = (caller.clone(), topology.clone());
                    tasks.spawn(async move {
                        let started_at = start.elapsed();
                        let one = one(&caller, &topology, kind, &number, started_at, &wrong).await;
                        told.lock().expect("no panic under this lock").push(one);
                    });
                }
                while tasks.join_next().await.is_some() {}
            }));
        }
        traffic
    }

    pub fn count(&self) -> usize {
        self.records.lock().expect("no panic under this lock").len()
    }

    /// Until so many more requests have ended.
    pub async fn wait_for_requests(&self, count: usize) {
        let wanted = self.count() + count;
        crate::harness::wait_until("traffic goes on", Duration::from_secs(120), async || {
            self.count() >= wanted
        })
        .await;
    }

    /// Ends the traffic, waits for what is under way, and gives all that was told.
    pub async fn finish(self) -> (Vec<RequestRecord>, Vec<String>) {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            let _ = task.await;
        }
        for task in self.polling {
            task.abort();
        }
        let told = self.records.lock().expect("no panic under this lock").clone();
        let wrong = self.mismatches.lock().expect("no panic under this lock").clone();
        (told, wrong)
    }
}

async fn one(
    caller: &Client,
    topology: &crate::topology::Topology,
    kind: RequestKind,
    number: &str,
    started_at: Duration,
    wrong: &Mutex<Vec<String>>,
) -> RequestRecord {
    let start = std::time::Instant::now();
    let headers = [("x-request", number)];
    let (method, path, body) = match kind {
        RequestKind::Lookup => ("GET", format!("{}/{number}", topology.lookup_path), Vec::new()),
        RequestKind::Filing => {
            ("POST", topology.filing_path.to_string(), number.as_bytes().to_vec())
        }
        RequestKind::Bulk => {
            let form = if number.len().is_multiple_of(2) { "&chunked=1" } else { "" };
            ("GET", format!("{}/{number}?size={SIZE}{form}", topology.bulk_path), Vec::new())
        }
    };
    let outcome = caller.request(method, &path, &headers, body.into()).await;
    let verdict = outcome.execution_status();
    let mut status = 0;
    if let Outcome::Response { status: seen, body, execution: ExecutionStatus::Ran, .. } = &outcome
    {
        status = *seen;
        let is_right = match kind {
            RequestKind::Bulk => **body == *crate::stub::pattern(number, SIZE),
            _ => jzon::parse(&String::from_utf8_lossy(body))
                .is_ok_and(|value| value["request"].as_str() == Some(number)),
        };
        if *seen != 200 || !is_right {
            let shown = String::from_utf8_lossy(&body[..body.len().min(120)]).to_string();
            wrong
                .lock()
                .expect("no panic under this lock")
                .push(format!("{kind:?} {number}: {seen} with {} bytes: {shown}", body.len()));
        }
    } else if let Outcome::Response { status: seen, .. } = &outcome {
        status = *seen;
    }
    let took_ms = start.elapsed().as_millis() as u64;
    RequestRecord {
        request_id: number.to_string(),
        kind,
        execution: verdict,
        status,
        started_at,
        duration_ms: took_ms,
    }
}

/// What the requests of one kind came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    pub ran: u64,
    pub not_run: u64,
    pub may_have_run: u64,
}

pub fn count_outcomes(told: &[RequestRecord]) -> HashMap<RequestKind, OutcomeCounts> {
    let mut sums: HashMap<RequestKind, OutcomeCounts> = HashMap::new();
    for one in told {
        let sum = sums.entry(one.kind).or_default();
        match one.execution {
            ExecutionStatus::Ran => sum.ran += 1,
            ExecutionStatus::NotRun => sum.not_run += 1,
            ExecutionStatus::MayHaveRun => sum.may_have_run += 1,
        }
    }
    sums
}

/// Every filing ran at most once, and its verdict is the truth.
pub fn check_filings(told: &[RequestRecord], runs: &HashMap<String, u32>) -> Vec<String> {
    let mut faults = Vec::new();
    for one in told.iter().filter(|one| one.kind == RequestKind::Filing) {
        let count = runs.get(&one.request_id).copied().unwrap_or_default();
        let is_true = match one.execution {
            ExecutionStatus::Ran => count == 1,
            ExecutionStatus::NotRun => count == 0,
            ExecutionStatus::MayHaveRun => count <= 1,
        };
        if !is_true {
            faults.push(format!(
                "filing {} was told {} ({}) and ran {count} times",
                one.request_id, one.execution, one.status
            ));
        }
    }
    faults
}
