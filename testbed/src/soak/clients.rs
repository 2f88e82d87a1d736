//! Clients of a soak test. Each client uses one connection until it closes, whatever happens to the process
//! at the other end, and then connects to a randomly chosen proxy.

mod http_requests;
mod never_pausing;
mod one_request;
mod pipelining;
mod plain_requests;
mod shared;

pub use shared::{ProxyAddress, SharedState};

use super::record::{RequestEnd, RequestKind};
use crate::sim::Random;
use http_requests::{Body, send};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use pipelining::send_pipelined;
use shared::PendingRequest;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time-out of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Time-out of a response. It is longer than the deadline of a request, so no response can be expected
/// after it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// Share of filings (requests that are executed at most once) among the small requests.
const FILING_PROBABILITY: f64 = 0.3;
/// Share of the connections on plain sockets that do not go through a relay.
const DIRECT_PROBABILITY: f64 = 0.5;

/// How a client uses its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsagePattern {
    /// Sends lookups and filings, one after the other.
    Steady,
    /// Like `Steady`, but with long pauses in which the connection is idle.
    Idle,
    /// Sends several lookups at once, by HTTP pipelining.
    Pipelined,
    /// Sends large request bodies in pieces.
    Uploading,
    /// Requests large responses and reads them slowly.
    ReadingSlowly,
    /// Sends without waiting for responses and reads slowly, on a plain socket with a small receive buffer.
    NeverPausing,
    /// Sends uploads that are rejected midway, on plain sockets.
    RejectedUploading,
    /// Closes its sending side after each request, on plain sockets.
    HalfClosing,
}

const USAGE_PATTERNS: [UsagePattern; 14] = [
    UsagePattern::NeverPausing,
    UsagePattern::NeverPausing,
    UsagePattern::RejectedUploading,
    UsagePattern::HalfClosing,
    UsagePattern::NeverPausing,
    UsagePattern::NeverPausing,
    UsagePattern::Steady,
    UsagePattern::Steady,
    UsagePattern::Steady,
    UsagePattern::Idle,
    UsagePattern::Pipelined,
    UsagePattern::Pipelined,
    UsagePattern::Uploading,
    UsagePattern::ReadingSlowly,
];

impl UsagePattern {
    /// The usage pattern of the client with this index.
    pub fn for_client(client: usize) -> UsagePattern {
        USAGE_PATTERNS[client % USAGE_PATTERNS.len()]
    }

    fn uses_plain_sockets(self) -> bool {
        matches!(
            self,
            UsagePattern::NeverPausing
                | UsagePattern::RejectedUploading
                | UsagePattern::HalfClosing
        )
    }

    /// Chooses the kind of the next request.
    fn request_kind(self, random: &mut Random) -> RequestKind {
        match self {
            UsagePattern::Uploading => RequestKind::Upload,
            UsagePattern::RejectedUploading => RequestKind::RejectedUpload,
            UsagePattern::ReadingSlowly => RequestKind::Download,
            _ if random.chance(FILING_PROBABILITY) => RequestKind::Filing,
            _ => RequestKind::Lookup,
        }
    }

    /// Chooses the pause before the next request.
    fn pause(self, random: &mut Random) -> Duration {
        let (min_ms, max_ms) = match self {
            UsagePattern::Idle => (300, 4000),
            UsagePattern::Steady => (10, 60),
            _ => (20, 200),
        };
        random.between(Duration::from_millis(min_ms), Duration::from_millis(max_ms))
    }
}

/// Runs one client until the soak test is over.
pub async fn run(shared: Arc<SharedState>, pattern: UsagePattern, seed: u64) {
    let mut random = Random::new(seed);
    while !shared.is_over() {
        let proxy = random.below(shared.proxies.len());
        if pattern.uses_plain_sockets() {
            use_plain_socket(&shared, proxy, pattern, &mut random).await;
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        }
        let connecting = TcpStream::connect(shared.proxies[proxy].relayed);
        let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await else {
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        send_sequentially(&shared, stream, proxy, pattern, &mut random).await;
    }
}

/// Opens a connection to the proxy itself or through its relay, and uses it until it closes.
async fn use_plain_socket(
    shared: &SharedState,
    proxy: usize,
    pattern: UsagePattern,
    random: &mut Random,
) {
    let address = shared.proxies[proxy];
    let address = if random.chance(DIRECT_PROBABILITY) { address.direct } else { address.relayed };
    match pattern {
        UsagePattern::RejectedUploading => {
            // A relay accepts connections while its proxy does not.
            let direct = shared.proxies[proxy].direct;
            one_request::send_rejected_upload(shared, direct, proxy).await;
            tokio::time::sleep(pattern.pause(random)).await;
        }
        UsagePattern::HalfClosing => {
            let kind = pattern.request_kind(random);
            one_request::send_and_half_close(shared, address, proxy, kind).await;
            tokio::time::sleep(pattern.pause(random)).await;
        }
        UsagePattern::Pipelined => {
            send_pipelined(shared, shared.proxies[proxy].relayed, proxy, random).await;
        }
        _ => never_pausing::send_without_pause(shared, address, proxy, random).await,
    }
}

/// Sends one request after the other until the connection closes.
async fn send_sequentially(
    shared: &SharedState,
    stream: TcpStream,
    proxy: usize,
    pattern: UsagePattern,
    random: &mut Random,
) {
    let Ok((mut sender, connection)) = handshake::<_, Body>(TokioIo::new(stream)).await else {
        return;
    };
    tokio::spawn(async move {
        // Connection errors are also returned by the requests on the connection.
        let _ = connection.await;
    });
    while !shared.is_over() {
        if sender.ready().await.is_err() {
            return;
        }
        let kind = pattern.request_kind(random);
        let request = PendingRequest::new(shared, kind, proxy);
        let sending = send(&mut sender, &request);
        let end = tokio::time::timeout(RESPONSE_TIMEOUT, sending).await;
        let end = end.unwrap_or(RequestEnd::Timeout);
        let is_usable = matches!(end, RequestEnd::Response { .. });
        shared.record(request, end);
        if !is_usable {
            return;
        }
        tokio::time::sleep(pattern.pause(random)).await;
    }
}
