//! Mixed traffic from stand-in callers, and the judgement of it from outside.

use crate::harness::Fleet;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use vanepath_client::{Client, Outcome};
use vanepath_config::ExecutionStatus;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    Lookup,
    Filing,
    Bulk,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Told {
    pub number: String,
    pub kind: Kind,
    pub verdict: ExecutionStatus,
    pub status: u16,
    pub started_at: Duration,
    pub took_ms: u64,
}

pub struct Traffic {
    told: Arc<Mutex<Vec<Told>>>,
    wrong: Arc<Mutex<Vec<String>>>,
    stop: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    polling: Vec<tokio::task::JoinHandle<()>>,
    pub callers: Vec<Arc<Client>>,
    pub sent: Arc<AtomicU64>,
}

const SIZE: usize = 150_000;

impl Traffic {
    /// Callers in every zone send the shape's mix at `part` of its rate until told to stop.
    pub async fn start(fleet: &Fleet, callers_per_zone: usize, part: f64) -> Traffic {
        let start = std::time::Instant::now();
        let mut traffic = Traffic {
            told: Arc::default(),
            wrong: Arc::default(),
            stop: Arc::default(),
            tasks: Vec::new(),
            polling: Vec::new(),
            callers: Vec::new(),
            sent: Arc::default(),
        };
        for (zone, region) in &fleet.shape.zones {
            for index in 0..callers_per_zone {
                let query = format!("caller={zone}-{index}&zone={zone}&region={region}");
                let spread = traffic.callers.len() as u64;
                let caller = Client::new(fleet.registries(), &query, spread, "shop.example");
                caller.poll().await;
                traffic.polling.push(caller.keep_polling());
                traffic.callers.push(caller);
            }
        }
        let count = traffic.callers.len();
        let pause = Duration::from_secs_f64(count as f64 / (fleet.shape.rate * part));
        for (index, caller) in traffic.callers.clone().into_iter().enumerate() {
            let shape = fleet.shape.clone();
            let (told, wrong) = (traffic.told.clone(), traffic.wrong.clone());
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
                        part if part < shape.mix[0] => Kind::Lookup,
                        part if part < shape.mix[0] + shape.mix[1] => Kind::Filing,
                        _ => Kind::Bulk,
                    };
                    let number = format!("{index}-{}", sent.fetch_add(1, Ordering::Relaxed));
                    let (told, wrong) = (told.clone(), wrong.clone());
                    let (caller, shape) = (caller.clone(), shape.clone());
                    tasks.spawn(async move {
                        let started_at = start.elapsed();
                        let one = one(&caller, &shape, kind, &number, started_at, &wrong).await;
                        told.lock().expect("no panic under this lock").push(one);
                    });
                }
                while tasks.join_next().await.is_some() {}
            }));
        }
        traffic
    }

    pub fn count(&self) -> usize {
        self.told.lock().expect("no panic under this lock").len()
    }

    /// Until so many more requests have ended.
    pub async fn more(&self, count: usize) {
        let wanted = self.count() + count;
        crate::harness::until("traffic goes on", Duration::from_secs(120), async || {
            self.count() >= wanted
        })
        .await;
    }

    /// Ends the traffic, waits for what is under way, and gives all that was told.
    pub async fn finish(self) -> (Vec<Told>, Vec<String>) {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            let _ = task.await;
        }
        for task in self.polling {
            task.abort();
        }
        let told = self.told.lock().expect("no panic under this lock").clone();
        let wrong = self.wrong.lock().expect("no panic under this lock").clone();
        (told, wrong)
    }
}

async fn one(
    caller: &Client,
    shape: &crate::shape::Shape,
    kind: Kind,
    number: &str,
    started_at: Duration,
    wrong: &Mutex<Vec<String>>,
) -> Told {
    let start = std::time::Instant::now();
    let headers = [("x-request", number)];
    let (method, path, body) = match kind {
        Kind::Lookup => ("GET", format!("{}/{number}", shape.lookup_path), Vec::new()),
        Kind::Filing => ("POST", shape.filing_path.to_string(), number.as_bytes().to_vec()),
        Kind::Bulk => {
            let form = if number.len().is_multiple_of(2) { "&chunked=1" } else { "" };
            ("GET", format!("{}/{number}?size={SIZE}{form}", shape.bulk_path), Vec::new())
        }
    };
    let outcome = caller.request(method, &path, &headers, body.into()).await;
    let verdict = outcome.execution_status();
    let mut status = 0;
    if let Outcome::Response { status: seen, body, execution: ExecutionStatus::Ran, .. } = &outcome
    {
        status = *seen;
        let is_right = match kind {
            Kind::Bulk => **body == *crate::standin::pattern(number, SIZE),
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
    Told { number: number.to_string(), kind, verdict, status, started_at, took_ms }
}

/// What the requests of one kind came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    pub ran: u64,
    pub not_run: u64,
    pub may_have_run: u64,
}

pub fn sums(told: &[Told]) -> HashMap<Kind, Sum> {
    let mut sums: HashMap<Kind, Sum> = HashMap::new();
    for one in told {
        let sum = sums.entry(one.kind).or_default();
        match one.verdict {
            ExecutionStatus::Ran => sum.ran += 1,
            ExecutionStatus::NotRun => sum.not_run += 1,
            ExecutionStatus::MayHaveRun => sum.may_have_run += 1,
        }
    }
    sums
}

/// Every filing ran at most once, and its verdict is the truth.
pub fn judge_filings(told: &[Told], runs: &HashMap<String, u32>) -> Vec<String> {
    let mut faults = Vec::new();
    for one in told.iter().filter(|one| one.kind == Kind::Filing) {
        let count = runs.get(&one.number).copied().unwrap_or_default();
        let is_true = match one.verdict {
            ExecutionStatus::Ran => count == 1,
            ExecutionStatus::NotRun => count == 0,
            ExecutionStatus::MayHaveRun => count <= 1,
        };
        if !is_true {
            faults.push(format!(
                "filing {} was told {} ({}) and ran {count} times",
                one.number, one.verdict, one.status
            ));
        }
    }
    faults
}
