//! The zones are evacuated and taken back one after the other; the answer to the first sending of each evacuation is
//! lost on its way, so that the operator sends the order again. Then all processes are killed and come back.
mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `recoveryS` of the site file.
const RECOVERY: Duration = Duration::from_secs(15);

/// A link between the operator and one daemon. While `loses` is set, it carries calls and drops the answers.
fn link(address: SocketAddr, to: SocketAddr, loses: Flag, record: Record) {
    let listener = TcpListener::bind(address).expect("the address of the link is free");
    thread::spawn(move || {
        for mut client in listener.incoming().flatten() {
            let (loses, record) = (loses.clone(), record.clone());
            thread::spawn(move || {
                let Ok(mut daemon) = TcpStream::connect(to) else { return };
                let (Ok(mut from_client), Ok(mut to_daemon)) = (client.try_clone(), daemon.try_clone()) else { return };
                thread::spawn(move || {
                    let mut bytes = [0; 4096];
                    while let Ok(count) = from_client.read(&mut bytes) {
                        if count == 0 || to_daemon.write_all(&bytes[..count]).is_err() {
                            break;
                        }
                    }
                    let _ = to_daemon.shutdown(std::net::Shutdown::Write);
                });
                let mut bytes = [0; 4096];
                while let Ok(count) = daemon.read(&mut bytes) {
                    if count == 0 {
                        break;
                    }
                    if is_set(&loses) {
                        let text = String::from_utf8_lossy(&bytes[..count]).replace("\r\n", " | ");
                        record.line(&format!("answer of {to} lost on its way: {}", text.trim()));
                        continue;
                    }
                    if client.write_all(&bytes[..count]).is_err() {
                        break;
                    }
                }
                let _ = client.shutdown(std::net::Shutdown::Write);
            });
        }
    });
}

struct Operator {
    links: Vec<SocketAddr>,
    next: usize,
    loses: Flag,
    record: Record,
}

impl Operator {
    /// Sends an order until it is acknowledged: after a second of silence to another daemon. The answer to the
    /// first `lost` sendings is lost.
    fn order(&mut self, method: &str, zone: &str, lost: usize) -> bool {
        let until = Instant::now() + Duration::from_secs(8);
        let mut sent = 0;
        while Instant::now() < until {
            let address = self.links[self.next % self.links.len()];
            self.next += 1;
            self.loses.store(sent < lost, Ordering::Relaxed);
            sent += 1;
            self.record.line(&format!("operator sends {method} {zone} to {address}"));
            let target = format!("/v1/zones/{zone}/emptied");
            let answer = call(address, method, &target, &[], b"", Duration::from_secs(1));
            thread::sleep(Duration::from_millis(100));
            self.loses.store(false, Ordering::Relaxed);
            match answer {
                Ok(answer) if (200..300).contains(&answer.status()) => {
                    let text = String::from_utf8_lossy(&answer.body).trim().to_string();
                    self.record.say(&format!("operator: {method} {zone} acknowledged: {text}"));
                    return true;
                }
                Ok(answer) => self.record.line(&format!("operator got {}", answer.status())),
                Err(error) => self.record.line(&format!("operator got no answer: {error}")),
            }
        }
        false
    }
}

type Ends = Arc<Mutex<Vec<(f64, u16)>>>;

/// Clients that send repeatable requests to all proxies in turn; each request with the time of its sending and the
/// status of its answer (0: none).
fn clients(proxies: Vec<SocketAddr>, record: Record, stop: Flag) -> Ends {
    let (number, ends) = (Arc::new(AtomicUsize::new(0)), Ends::default());
    for client in 0..4 {
        let (proxies, record, stop, number, ends) =
            (proxies.clone(), record.clone(), stop.clone(), number.clone(), ends.clone());
        thread::spawn(move || {
            while !is_set(&stop) {
                let count = number.fetch_add(1, Ordering::Relaxed);
                let id = format!("q{count:06}");
                let headers = [("Host", HOST), ("X-Request-Id", id.as_str()), ("X-Time-Left", "1200")];
                let proxy = proxies[(count + client) % proxies.len()];
                let sent_at = record.now();
                record.line(&format!("client sends {id} to {proxy}"));
                let answer = call(proxy, "GET", &format!("/look/{id}"), &headers, b"", Duration::from_millis(1500));
                let status = match answer {
                    Ok(answer) => {
                        record.line(&format!("client got {id}: {}", answer.status()));
                        answer.status()
                    }
                    Err(error) => {
                        record.line(&format!("client got no answer to {id}: {error}"));
                        0
                    }
                };
                ends.lock().unwrap().push((sent_at, status));
                thread::sleep(Duration::from_millis(40));
            }
        });
    }
    ends
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let (root, file) = (arguments.next().expect("root"), arguments.next().expect("the file of the record"));
    let record = Record::new(&file);
    let lost = if has_trouble() { 1 } else { 0 };
    let mut deployment = Deployment::new(&root, record.clone());
    for number in 0..6usize {
        let zone = ZONES[number % 3].0;
        let id = format!("i-desk-{number}");
        let address = deployment.address(101 + number as u8, SERVER_PORT);
        sound_server(&id, address, Duration::from_millis(5), record.clone());
        deployment.list.lock().unwrap().push(Listed { id, service: "desk".into(), address, zone: zone.into(), slots: 4, state: "ready" });
    }
    deployment.start_all(3);
    watchdog(&deployment, Duration::from_secs(112));
    deployment.configure(&document(1, &[("r-look", "/look/", "safe", "desk", 1500)], &["desk"]));
    thread::sleep(Duration::from_secs(5));
    let loses = Flag::default();
    let links: Vec<SocketAddr> = (1..=3u8).map(|host| deployment.address(200 + host, CONTROL_PORT)).collect();
    for (link_address, to) in links.iter().zip(deployment.controls()) {
        link(*link_address, to, loses.clone(), record.clone());
    }
    let stop = Flag::default();
    let ends = clients(deployment.proxies(), record.clone(), stop.clone());
    let mut operator = Operator { links, next: 0, loses, record: record.clone() };
    let started = record.now();
    // Calm traffic first, so that most of the day is served.
    thread::sleep(Duration::from_secs(20));
    for (zone, _) in ZONES {
        if !operator.order("PUT", zone, lost) {
            deployment.fail("an evacuation is not acknowledged");
        }
        thread::sleep(Duration::from_secs(4));
        if !operator.order("DELETE", zone, 0) {
            deployment.fail("a withdrawal is not acknowledged");
        }
        thread::sleep(Duration::from_secs(2));
    }
    thread::sleep(Duration::from_secs(4));
    let closing = record.now();
    record.say("closing fault: all processes are killed and come back after a second");
    for index in 0..deployment.processes.len() {
        deployment.kill(index);
    }
    thread::sleep(Duration::from_secs(1));
    for index in 0..deployment.processes.len() {
        deployment.start(index);
    }
    let back = record.now();
    thread::sleep(RECOVERY + Duration::from_secs(12));
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(1700));
    let served = |from: f64, to: f64| {
        let ends = ends.lock().unwrap();
        let sent: Vec<u16> = ends.iter().filter(|(at, _)| *at >= from && *at < to).map(|(_, status)| *status).collect();
        (sent.iter().filter(|status| **status == 200).count(), sent.len())
    };
    let before = served(started, closing);
    let after = served(back + RECOVERY.as_secs_f64(), f64::MAX);
    for address in deployment.controls() {
        if let Ok(zones) = call(address, "GET", "/v1/zones", &[], b"", Duration::from_secs(2)) {
            record.say(&format!("the stores say: {}", String::from_utf8_lossy(&zones.body).trim()));
            break;
        }
    }
    record.say(&format!(
        "served before the closing fault: {} of {}; later than {RECOVERY:?} after it: {} of {}",
        before.0, before.1, after.0, after.1
    ));
    if before.0 * 4 < before.1 || after.1 == 0 {
        deployment.fail("less than a quarter was served before the closing fault");
    }
    deployment.finish(after.0 * 4 < after.1)
}
