//! Clients of a soak: each uses one connection until that closes, whatever happens to the process at its other
//! end, and then connects to another proxy.

mod http_requests;
mod pipelining;
mod shared;

pub use shared::SharedState;

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
/// Time-out of a response: longer than the deadline of a request, so that a request which is not answered by
/// then never will be.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// Share of filings among the small requests.
const FILING_PROBABILITY: f64 = 0.3;

/// How a client uses its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsagePattern {
    /// Lookups and filings, one after the other.
    Steady,
    /// The same with long pauses, in which the connection is idle.
    Idle,
    /// Several lookups at once, by HTTP pipelining.
    Pipelined,
    /// Large request bodies that are sent in pieces.
    Uploading,
    /// Large responses that are read slowly.
    ReadingSlowly,
}

const USAGE_PATTERNS: [UsagePattern; 8] = [
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
    /// The pattern of the client with this index.
    pub fn for_client(client: usize) -> UsagePattern {
        USAGE_PATTERNS[client % USAGE_PATTERNS.len()]
    }

    /// The kind of the next request.
    fn request_kind(self, random: &mut Random) -> RequestKind {
        match self {
            UsagePattern::Uploading => RequestKind::Upload,
            UsagePattern::ReadingSlowly => RequestKind::Download,
            _ if random.chance(FILING_PROBABILITY) => RequestKind::Filing,
            _ => RequestKind::Lookup,
        }
    }

    /// The pause before the next request.
    fn pause(self, random: &mut Random) -> Duration {
        let (min_ms, max_ms) = match self {
            UsagePattern::Idle => (300, 4000),
            UsagePattern::Steady => (10, 60),
            _ => (20, 200),
        };
        random.between(Duration::from_millis(min_ms), Duration::from_millis(max_ms))
    }
}

/// Runs one client until the soak is over.
pub async fn run(shared: Arc<SharedState>, pattern: UsagePattern, seed: u64) {
    let mut random = Random::new(seed);
    while !shared.is_over() {
        let proxy = random.below(shared.proxies.len());
        let connecting = TcpStream::connect(shared.proxies[proxy]);
        let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await else {
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        if pattern == UsagePattern::Pipelined {
            send_pipelined(&shared, stream, proxy, &mut random).await;
        } else {
            send_sequentially(&shared, stream, proxy, pattern, &mut random).await;
        }
    }
}

/// Sends one request after the other, until the connection closes.
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
        // Errors of the connection are reported to the requests on it.
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
