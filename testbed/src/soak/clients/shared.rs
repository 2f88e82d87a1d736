//! State shared by all clients of a soak test.

use crate::soak::api_keys::ApiKey;
use crate::soak::operator::FIRST_VERSION;
use crate::soak::record::{Request, RequestEnd, RequestKind};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Where a proxy is reached.
#[derive(Clone, Copy, Debug)]
pub struct ProxyAddress {
    /// Through a relay, whose link may have faults.
    pub relayed: SocketAddr,
    /// Where the process itself listens.
    pub direct: SocketAddr,
}

/// State shared by all clients of a soak test.
pub struct SharedState {
    /// Start of the soak test; the times of requests are relative to it.
    start: Instant,
    /// Addresses of the proxies.
    pub proxies: Vec<ProxyAddress>,
    /// Requests that have ended.
    pub requests: Mutex<Vec<Request>>,
    /// Set when clients must stop.
    pub is_over: AtomicBool,
    /// The newest version of the configuration that was acknowledged.
    pub newest_version: Arc<AtomicU64>,
    /// Number of the next request, from which its identifier is formed.
    next_number: AtomicU64,
}

impl SharedState {
    /// Creates the state for a soak test that began at `start`, with these proxies.
    pub fn new(start: Instant, proxies: Vec<ProxyAddress>) -> Arc<SharedState> {
        Arc::new(SharedState {
            start,
            proxies,
            requests: Mutex::default(),
            is_over: AtomicBool::new(false),
            newest_version: Arc::new(AtomicU64::new(FIRST_VERSION)),
            next_number: AtomicU64::new(0),
        })
    }

    pub(super) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Records that a request has ended.
    pub(super) fn record(&self, request: PendingRequest, end: RequestEnd) {
        let ended_at = self.now();
        let PendingRequest { request_id, kind, key, proxy, sent_at } = request;
        let request = Request { request_id, kind, key, proxy, sent_at, ended_at, end };
        self.requests.lock().expect("no panic under this lock").push(request);
    }

    /// How long ago a request was sent.
    pub(super) fn age(&self, request: &PendingRequest) -> Duration {
        self.now().saturating_sub(request.sent_at)
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

/// A request in flight.
pub(super) struct PendingRequest {
    pub request_id: String,
    pub kind: RequestKind,
    pub key: ApiKey,
    /// Index of the proxy.
    pub proxy: usize,
    pub sent_at: Duration,
}

impl PendingRequest {
    /// Creates a request with a new identifier and the current time as its sending time.
    pub fn new(shared: &SharedState, kind: RequestKind, proxy: usize) -> PendingRequest {
        let number = shared.next_number.fetch_add(1, Ordering::Relaxed);
        let newest_version = shared.newest_version.load(Ordering::Relaxed);
        PendingRequest {
            request_id: format!("n{number}"),
            kind,
            key: ApiKey::for_request(number, newest_version),
            proxy,
            sent_at: shared.now(),
        }
    }
}
