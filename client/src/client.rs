//! Requests by the steering routine, over hyper.

use crate::steering::{Steering, parse};
use http_body_util::BodyExt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use vanepath_config::ExecutionStatus;

type Sender = hyper::client::conn::http1::SendRequest<http_body_util::Full<bytes::Bytes>>;

/// What became of one request.
#[derive(Debug)]
pub enum Outcome {
    /// A whole receipt, with the verdict that came with it.
    Receipt { status: u16, headers: hyper::HeaderMap, body: bytes::Bytes, verdict: ExecutionStatus },
    /// No receipt, or a broken one.
    Lost(ExecutionStatus),
    /// No directory has told yet where to go.
    NowhereToGo,
}

/// A request that is out at an address; over, without a sign, if the caller drops it.
struct Owed<'c> {
    caller: &'c Client,
    address: SocketAddr,
    is_sign: bool,
}

impl<'c> Owed<'c> {
    fn new(caller: &'c Client, address: SocketAddr) -> Owed<'c> {
        let now = caller.now();
        caller.steering.lock().expect("no panic under this lock").sent(now, address);
        Owed { caller, address, is_sign: false }
    }

    fn over(mut self, is_sign: bool) {
        self.is_sign = is_sign;
    }
}

impl Drop for Owed<'_> {
    fn drop(&mut self) {
        let now = self.caller.now();
        let mut steering = self.caller.steering.lock().expect("no panic under this lock");
        steering.heard(now, self.address, self.is_sign);
    }
}

impl Outcome {
    pub fn is_served(&self) -> bool {
        matches!(self, Outcome::Receipt { verdict: ExecutionStatus::Ran, .. })
    }

    pub fn verdict(&self) -> ExecutionStatus {
        match self {
            Outcome::Receipt { verdict, .. } | Outcome::Lost(verdict) => *verdict,
            Outcome::NowhereToGo => ExecutionStatus::NotRun,
        }
    }
}

/// Addresses that one request tries at the most: enough to find the one proxy that is left.
pub const MAX_ATTEMPTS: usize = 32;
/// So many proxies that say not-run are enough: what they lack, others lack too.
pub const MAX_DROPPED: u32 = 3;
/// A request made before the first receipt waits so long for it.
const FIRST_RECEIPT_LIMIT: Duration = Duration::from_secs(5);
/// For a directory's receipt: with three that died lately the next one is still asked in time for an
/// emptied zone to be left.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(600);
/// Who does not open within that is not there.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// So often a lookup that waits looks whether its proxy is silent to everyone.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);

/// One try of a request at one address.
struct Go<'g> {
    address: SocketAddr,
    /// Over a connection that is open already, if there is one.
    may_use_open: bool,
    /// It may be left for another address if this one is silent to everyone.
    may_leave: bool,
    method: &'g str,
    path: &'g str,
    headers: &'g [(&'g str, &'g str)],
    body: bytes::Bytes,
}

/// A new connection, if somebody opens within a second.
async fn reach(address: SocketAddr) -> Option<tokio::net::TcpStream> {
    let connecting = tokio::net::TcpStream::connect(address);
    tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()
}

/// Whether anybody is there at all.
async fn knock(address: SocketAddr) -> bool {
    reach(address).await.is_some()
}

/// The addresses that a 421 names.
fn named(body: &[u8]) -> Vec<SocketAddr> {
    let value = std::str::from_utf8(body).ok().and_then(|text| jzon::parse(text).ok());
    let value = value.unwrap_or(jzon::JsonValue::Null);
    let places = value["places"].members();
    places.filter_map(|place| place["address"].as_str()?.parse().ok()).collect()
}

pub struct Client {
    start: std::time::Instant,
    pub steering: Mutex<Steering>,
    idle: Mutex<std::collections::HashMap<SocketAddr, Vec<Sender>>>,
    limit: Duration,
    host: String,
}

impl Client {
    /// `query` says who and where the caller is: `caller=clerk-7&zone=a1&region=a`.
    pub fn new(directories: Vec<SocketAddr>, query: &str, spread: u64, host: &str) -> Arc<Client> {
        let first = format!("/v1/steer?{query}");
        Arc::new(Client {
            start: std::time::Instant::now(),
            steering: Mutex::new(Steering::new(directories, first, spread)),
            idle: Default::default(),
            limit: Duration::from_secs(20),
            host: host.to_string(),
        })
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Polls on the side for as long as the returned handle is not aborted.
    pub fn keep_polling(self: &Arc<Client>) -> tokio::task::JoinHandle<()> {
        let own = self.clone();
        tokio::spawn(async move {
            loop {
                own.poll().await;
                let poll_at = own.steering.lock().expect("no panic under this lock").poll_at();
                let pause = poll_at.saturating_sub(own.now()).max(Duration::from_millis(5));
                tokio::time::sleep(pause.min(Duration::from_millis(100))).await;
            }
        })
    }

    /// One poll, if one is due.
    pub async fn poll(&self) {
        let due = self.steering.lock().expect("no panic under this lock").start_poll(self.now());
        let Some((directory, uri)) = due else { return };
        let polled = async {
            let mut sender = self.open(directory, true).await?;
            let request = hyper::Request::get(uri)
                .header(hyper::header::HOST, directory.to_string())
                .body(Default::default())
                .ok()?;
            let receipt = sender.send_request(request).await.ok()?;
            let is_good = receipt.status() == hyper::StatusCode::OK;
            let bytes = receipt.into_body().collect().await.ok()?.to_bytes();
            self.rest(directory, sender);
            if is_good { parse(std::str::from_utf8(&bytes).ok()?) } else { None }
        };
        let receipt = tokio::time::timeout(POLL_TIMEOUT, polled).await.ok().flatten();
        self.steering.lock().expect("no panic under this lock").polled(self.now(), receipt);
    }

    /// Before the first receipt there is nowhere to go: it is asked for, for a while.
    async fn await_receipt(&self) {
        let until = self.now() + FIRST_RECEIPT_LIMIT;
        while self.steering.lock().expect("no panic under this lock").receipt().is_none() {
            if self.now() >= until {
                return;
            }
            self.poll().await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<Sender> {
        loop {
            let kept = self.idle.lock().expect("no panic under this lock").get_mut(&address)?.pop();
            match kept {
                Some(sender) if sender.is_ready() => return Some(sender),
                Some(_) => {}
                None => break,
            }
        }
        None
    }

    async fn open(&self, address: SocketAddr, may_use_open: bool) -> Option<Sender> {
        if may_use_open && let Some(sender) = self.connect(address).await {
            return Some(sender);
        }
        let stream = reach(address).await?;
        let _ = stream.set_nodelay(true);
        let io = hyper_util::rt::TokioIo::new(stream);
        let (sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Some(sender)
    }

    fn rest(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().expect("no panic under this lock");
        let list = idle.entry(address).or_default();
        if list.len() < 32 {
            list.push(sender);
        }
    }

    /// Sends a request where the receipt says, and on to the next place as far as its verdict
    /// allows: a filing only while it is known not to have run.
    pub async fn request(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: bytes::Bytes,
    ) -> Outcome {
        self.await_receipt().await;
        let (mut order, is_once) = {
            let mut steering = self.steering.lock().expect("no panic under this lock");
            let order = steering.order(self.now(), method, &self.host, path);
            (order, steering.is_once(method, &self.host, path))
        };
        let mut last = Outcome::NowhereToGo;
        let mut may_have_run = false;
        let mut drops = 0;
        let mut index = 0;
        while let Some(address) = order.get(index).copied().filter(|_| index < MAX_ATTEMPTS) {
            index += 1;
            // A lookup leaves an address that is silent to everyone, while there is another.
            let may_leave = !is_once && index < order.len().min(MAX_ATTEMPTS);
            let may_use_open = {
                let steering = self.steering.lock().expect("no panic under this lock");
                if !steering.is_listed(&address) {
                    continue;
                }
                steering.may_use_open(self.now(), &address, is_once)
            };
            let owed = Owed::new(self, address);
            let body = body.clone();
            let go = Go { address, may_use_open, may_leave, method, path, headers, body };
            last = self.go(go).await;
            owed.over(matches!(last, Outcome::Receipt { .. }));
            let verdict = last.verdict();
            may_have_run |= verdict != ExecutionStatus::NotRun;
            let is_done = match &last {
                Outcome::Receipt { status, .. } => {
                    drops += u32::from(*status == 503);
                    let may_go_on = !(is_once && may_have_run) && drops < MAX_DROPPED;
                    let mut steering = self.steering.lock().expect("no panic under this lock");
                    !may_go_on || !steering.goes_on(self.now(), *status, verdict)
                }
                _ => false,
            };
            if is_done || (is_once && may_have_run) {
                break;
            }
            if let Outcome::Receipt { status: 421, body, .. } = &last {
                let mut steering = self.steering.lock().expect("no panic under this lock");
                steering.misplaced(self.now(), &mut order, index, &named(body));
            }
            if matches!(last, Outcome::Lost(_)) {
                let mut steering = self.steering.lock().expect("no panic under this lock");
                steering.penalise(self.now(), address);
            }
        }
        match last {
            Outcome::Lost(_) if may_have_run => Outcome::Lost(ExecutionStatus::MayHaveRun),
            last => last,
        }
    }

    async fn go(&self, go: Go<'_>) -> Outcome {
        let Go { address, may_use_open, may_leave, method, path, headers, body } = go;
        let Some(mut sender) = self.open(address, may_use_open).await else {
            return Outcome::Lost(ExecutionStatus::NotRun);
        };
        let mut request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, self.host.as_str());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let Ok(request) = request.body(http_body_util::Full::new(body)) else {
            return Outcome::Lost(ExecutionStatus::NotRun);
        };
        let sent_at = self.now();
        let sending = sender.try_send_request(request);
        tokio::pin!(sending);
        let sent = loop {
            if let Ok(sent) = tokio::time::timeout(ATTEMPT_TIMEOUT, &mut sending).await {
                break Ok(sent);
            }
            if self.now() - sent_at >= self.limit {
                break Err(());
            }
            let is_doubted = || {
                let steering = self.steering.lock().expect("no panic under this lock");
                steering.is_doubted(self.now(), &address)
            };
            if may_leave && is_doubted() {
                let is_there = tokio::select! {
                    sent = &mut sending => break Ok(sent),
                    is_there = knock(address) => is_there,
                };
                let mut steering = self.steering.lock().expect("no panic under this lock");
                if steering.may_leave(self.now(), &address, is_there) {
                    break Err(());
                }
            }
        };
        let receipt = match sent {
            Ok(Ok(receipt)) => receipt,
            // Given back whole: no byte of it was written.
            Ok(Err(mut error)) => {
                return Outcome::Lost(match error.take_message() {
                    Some(_) => ExecutionStatus::NotRun,
                    None => ExecutionStatus::MayHaveRun,
                });
            }
            Err(()) => return Outcome::Lost(ExecutionStatus::MayHaveRun),
        };
        let (head, incoming) = receipt.into_parts();
        let collected = tokio::time::timeout(self.limit, incoming.collect()).await;
        let Ok(Ok(collected)) = collected else {
            return Outcome::Lost(ExecutionStatus::MayHaveRun);
        };
        let verdict = head
            .headers
            .get(vanepath_config::execution_status::HEADER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .unwrap_or(ExecutionStatus::MayHaveRun);
        self.rest(address, sender);
        Outcome::Receipt {
            status: head.status.as_u16(),
            headers: head.headers,
            body: collected.to_bytes(),
            verdict,
        }
    }
}
