//! A core machine freezes while a zone is taken back; the zone is evacuated anew; the machine wakes again.
mod common;
use common::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The zones that are evacuated, two of three at a time.
const EVACUATED: [&str; 2] = ["n-b", "s-a"];
/// `node_freeze` of the site file: 4.0 s.
const FREEZE: Duration = Duration::from_millis(4000);
/// `emptyZoneMs` and `inTouchMs` of the site file.
const EMPTY_ZONE_S: f64 = 5.0;
const IN_TOUCH_S: f64 = 5.0;

#[derive(Clone)]
struct Operator {
    zone: &'static str,
    controls: Vec<SocketAddr>,
    next: usize,
    record: Record,
}

impl Operator {
    /// Sends an order until it is acknowledged, as the pages say: a second of silence, then another daemon, with a
    /// pause that grows. Returns the time of the acknowledgement.
    fn order(&mut self, method: &str, limit: Duration) -> Option<f64> {
        let until = Instant::now() + limit;
        let mut pause = Duration::from_millis(50);
        while Instant::now() < until {
            let address = self.controls[self.next % self.controls.len()];
            self.next += 1;
            self.record.line(&format!("operator sends {method} {} to {address}", self.zone));
            let target = format!("/v1/zones/{}/emptied", self.zone);
            match call(address, method, &target, &[], b"", Duration::from_secs(1)) {
                Ok(answer) if (200..300).contains(&answer.status()) => {
                    let text = String::from_utf8_lossy(&answer.body).trim().to_string();
                    self.record.say(&format!("operator: {method} {} acknowledged by {address}: {text}", self.zone));
                    return Some(self.record.now());
                }
                Ok(answer) => self.record.line(&format!("operator got {}", answer.status())),
                Err(error) => self.record.line(&format!("operator got no answer from {address}: {error}")),
            }
            thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_millis(400));
        }
        None
    }
}

/// Clients that send repeatable requests to all proxies in turn.
fn clients(proxies: Vec<SocketAddr>, record: Record, stop: Flag) {
    let number = Arc::new(AtomicUsize::new(0));
    for client in 0..4 {
        let (proxies, record, stop, number) = (proxies.clone(), record.clone(), stop.clone(), number.clone());
        thread::spawn(move || {
            while !is_set(&stop) {
                let count = number.fetch_add(1, Ordering::Relaxed);
                let id = format!("q{count:06}");
                let headers = [("Host", HOST), ("X-Request-Id", id.as_str()), ("X-Time-Left", "1200")];
                let proxy = proxies[(count + client) % proxies.len()];
                record.line(&format!("client sends {id} to {proxy}"));
                match call(proxy, "GET", &format!("/look/{id}"), &headers, b"", Duration::from_millis(1500)) {
                    Ok(answer) => record.line(&format!("client got {id}: {}", answer.status())),
                    Err(error) => record.line(&format!("client got no answer to {id}: {error}")),
                }
                thread::sleep(Duration::from_millis(40));
            }
        });
    }
}

/// The machine that freezes: the one whose store is the first member of the table, as the stores' status pages say.
fn first_store(deployment: &Deployment) -> u8 {
    for machine in 1..=3u8 {
        let page = call(deployment.address(machine, 7734), "GET", "/v1/status", &[], b"", Duration::from_secs(1));
        if let Ok(page) = page {
            let text = String::from_utf8_lossy(&page.body).to_string();
            deployment.record.line(&format!("store {machine}: {}", text.trim()));
            if text.contains("\"seat\":0,") {
                return machine;
            }
        }
    }
    1
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let (root, file) = (arguments.next().expect("root"), arguments.next().expect("the file of the record"));
    let record = Record::new(&file);
    let trouble = has_trouble();
    let mut deployment = Deployment::new(&root, record.clone());
    let mut in_zones = Vec::new();
    for number in 0..6usize {
        let zone = ZONES[number % 3].0;
        let id = format!("i-desk-{number}");
        let address = deployment.address(101 + number as u8, SERVER_PORT);
        let runs = sound_server(&id, address, Duration::from_millis(5), record.clone());
        in_zones.push((zone, runs));
        deployment.list.lock().unwrap().push(Listed { id, service: "desk".into(), address, zone: zone.into(), slots: 4, state: "ready" });
    }
    deployment.start_all(3);
    watchdog(&deployment, Duration::from_secs(110));
    deployment.configure(&document(1, &[("r-look", "/look/", "safe", "desk", 1500)], &["desk"]));
    thread::sleep(Duration::from_secs(5));
    let frozen = first_store(&deployment);
    let stop: Flag = Arc::new(AtomicBool::new(false));
    clients(deployment.proxies(), record.clone(), stop.clone());
    let limit = Duration::from_secs(8);
    // Ordinary changes of the configuration, each sent to another daemon.
    for version in 2..=7u64 {
        let text = document(version, &[("r-look", "/look/", "safe", "desk", 1500 + version as u32)], &["desk"]);
        let address = deployment.controls()[version as usize % 3];
        let answer = call(address, "PUT", "/v1/setup", &[("Content-Type", "application/json")], text.as_bytes(), Duration::from_secs(2));
        record.line(&format!("operator: version {version} at {address}: {:?}", answer.map(|answer| answer.status())));
        thread::sleep(Duration::from_millis(300));
    }
    let operators: Vec<Operator> = EVACUATED
        .iter()
        .enumerate()
        .map(|(number, zone)| Operator { zone, controls: deployment.controls(), next: 1 + number, record: record.clone() })
        .collect();
    for mut operator in operators.clone() {
        if operator.order("PUT", limit).is_none() {
            deployment.fail("a first evacuation is not acknowledged");
        }
    }
    // The zones are empty for 8 s, as in the site file.
    thread::sleep(Duration::from_secs(8));
    let freeze_at = Instant::now();
    if trouble {
        record.say(&format!("machine {frozen} freezes"));
        deployment.signal_machine(frozen, SIGSTOP);
    }
    thread::sleep(Duration::from_millis(100));
    let waking = {
        let record = record.clone();
        let pids: Vec<usize> = (0..deployment.processes.len())
            .filter(|index| deployment.processes[*index].machine == frozen)
            .collect();
        (record, pids)
    };
    let deployment = Arc::new(deployment);
    let waker = {
        let deployment = deployment.clone();
        thread::spawn(move || {
            let (record, indices) = waking;
            thread::sleep(FREEZE.saturating_sub(freeze_at.elapsed()));
            if trouble {
                for index in indices {
                    deployment.signal(index, SIGCONT);
                }
                record.say("the machine wakes again");
            }
            record.now()
        })
    };
    // The operator takes the zones back; it happens to try the machines that run first. A moment later they are to be
    // emptied once more.
    let orders: Vec<_> = operators
        .into_iter()
        .enumerate()
        .map(|(number, mut operator)| {
            let asleep = operator.controls.remove(frozen as usize - 1);
            if number == 1 {
                operator.controls.reverse();
            }
            operator.controls.push(asleep);
            operator.next = 0;
            thread::spawn(move || {
                operator.order("DELETE", limit)?;
                thread::sleep(Duration::from_millis(150));
                operator.order("PUT", limit)
            })
        })
        .collect();
    let again: Vec<Option<f64>> = orders.into_iter().map(|order| order.join().expect("the thread ends")).collect();
    let woken = waker.join().expect("the thread ends");
    let deployment = Arc::into_inner(deployment).expect("no other user");
    if again.iter().any(|at| at.is_none()) {
        deployment.fail("an order is not acknowledged");
    }
    // Machines are in touch `inTouchMs` after the thaw.
    let judged_from: Vec<f64> =
        again.iter().map(|at| (at.unwrap_or_default() + EMPTY_ZONE_S).max(woken + IN_TOUCH_S)).collect();
    while judged_from.iter().any(|from| record.now() < from + 10.0) {
        thread::sleep(Duration::from_millis(100));
    }
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(300));
    let zones = call(deployment.controls()[1], "GET", "/v1/zones", &[], b"", Duration::from_secs(1));
    if let Ok(zones) = zones {
        record.say(&format!("the stores say: {}", String::from_utf8_lossy(&zones.body).trim()));
    }
    let mut is_broken = false;
    for (zone, from) in EVACUATED.iter().zip(&judged_from) {
        let mut late: Vec<(String, f64)> = Vec::new();
        for (_, runs) in in_zones.iter().filter(|(in_zone, _)| in_zone == zone) {
            late.extend(runs.lock().unwrap().iter().filter(|(_, at)| at > from).cloned());
        }
        late.sort_by(|left, right| left.1.total_cmp(&right.1));
        record.say(&format!(
            "{zone}: judged from {from:.3}: {} requests reached its servers, the first {:?}",
            late.len(),
            late.first()
        ));
        is_broken |= !late.is_empty();
    }
    deployment.finish(is_broken)
}
