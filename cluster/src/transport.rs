//! Links between siblings over TCP: one request at a time on a connection, bounded frames, a
//! greeting first (design 5.1).

use crate::wire;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

crate::counters! {
    /// What the links count.
    pub enum Counter {
        #[strum(serialize = "siblingCalls")]
        PeerCalls,
        #[strum(serialize = "siblingCallsFailed")]
        PeerCallsFailed,
        #[strum(serialize = "siblingBytesOut")]
        PeerBytesSent,
        #[strum(serialize = "siblingBytesIn")]
        PeerBytesReceived,
        #[strum(serialize = "siblingBytesOtherZone")]
        PeerBytesOtherZone,
        #[strum(serialize = "siblingFramesMalformed")]
        PeerFramesMalformed,
        #[strum(serialize = "siblingFramesOversized")]
        PeerFramesOversized,
        #[strum(serialize = "siblingsTurnedAway")]
        PeersRejected,
        #[strum(serialize = "siblingConnectionsTaken")]
        PeerConnectionsAccepted,
        #[strum(serialize = "freezes")]
        ProcessPauses,
        #[strum(serialize = "floorAsks")]
        ReadIndexRequests,
        #[strum(serialize = "floorsByMajority")]
        ReadIndexesByQuorum,
        #[strum(serialize = "floorsByWitnesses")]
        ReadIndexesByPeers,
    }
}

pub type Counters = crate::counters::Counters<Counter>;

#[derive(Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum TransportError {
    Closed,
    /// Nobody listens at the address.
    Refused,
    Oversized,
    Malformed,
    Rejected,
}

async fn read_frame<T: serde::de::DeserializeOwned>(
    stream: &mut tokio::net::TcpStream,
    tally: &Counters,
) -> Result<(T, usize), TransportError> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.map_err(|_| TransportError::Closed)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > wire::MAX_FRAME_BYTES {
        tally.increment(Counter::PeerFramesOversized);
        return Err(TransportError::Oversized);
    }
    // Grows with what really comes, not with what the length claims.
    let mut bytes = Vec::with_capacity(length.min(64 << 10));
    let read = stream.take(length as u64).read_to_end(&mut bytes).await;
    if read.map_err(|_| TransportError::Closed)? < length {
        return Err(TransportError::Closed);
    }
    tally.add(Counter::PeerBytesReceived, length as u64 + 4);
    match wire::decode(&bytes) {
        Ok(value) => Ok((value, length + 4)),
        Err(_) => {
            tally.increment(Counter::PeerFramesMalformed);
            Err(TransportError::Malformed)
        }
    }
}

async fn write_frame<T: serde::Serialize>(
    stream: &mut tokio::net::TcpStream,
    value: &T,
    tally: &Counters,
) -> Result<usize, TransportError> {
    let body = wire::encode(value);
    if body.len() > wire::MAX_FRAME_BYTES {
        tally.increment(Counter::PeerFramesOversized);
        return Err(TransportError::Oversized);
    }
    let mut bytes = Vec::with_capacity(body.len() + 4);
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&body);
    stream.write_all(&bytes).await.map_err(|_| TransportError::Closed)?;
    tally.add(Counter::PeerBytesSent, bytes.len() as u64);
    Ok(bytes.len())
}

/// Calls to siblings, over a small stock of open connections for each address.
pub struct Client {
    greeting: wire::Handshake,
    tally: Arc<Counters>,
    idle: std::sync::Mutex<
        std::collections::HashMap<std::net::SocketAddr, Vec<tokio::net::TcpStream>>,
    >,
}

const IDLE_MOST: usize = 4;

impl Client {
    pub fn new(greeting: wire::Handshake, tally: Arc<Counters>) -> Client {
        Client { greeting, tally, idle: std::sync::Mutex::default() }
    }

    /// `Err` means that nobody can tell whether the request was carried out, unless the caller
    /// knows better from the request itself.
    pub async fn call(
        &self,
        address: std::net::SocketAddr,
        request: &wire::Request,
        limit: Duration,
        other_zone: bool,
    ) -> Result<wire::Reply, TransportError> {
        self.tally.increment(Counter::PeerCalls);
        let outcome = tokio::time::timeout(limit, self.call_once(address, request)).await;
        let outcome = outcome.unwrap_or(Err(TransportError::Closed));
        if other_zone && let Ok((_, bytes)) = &outcome {
            self.tally.add(Counter::PeerBytesOtherZone, *bytes as u64);
        }
        if outcome.is_err() {
            self.tally.increment(Counter::PeerCallsFailed);
            // What else stands open to that address is as doubtful.
            self.idle.lock().expect("no panic under this lock").remove(&address);
        }
        outcome.map(|(reply, _)| reply)
    }

    async fn call_once(
        &self,
        address: std::net::SocketAddr,
        request: &wire::Request,
    ) -> Result<(wire::Reply, usize), TransportError> {
        let kept = self
            .idle
            .lock()
            .expect("no panic under this lock")
            .get_mut(&address)
            .and_then(Vec::pop);
        let mut stream = match kept {
            Some(stream) => stream,
            None => {
                let connected = tokio::net::TcpStream::connect(address).await;
                let mut stream = connected.map_err(|error| match error.kind() {
                    std::io::ErrorKind::ConnectionRefused => TransportError::Refused,
                    _ => TransportError::Closed,
                })?;
                let _ = stream.set_nodelay(true);
                write_frame(&mut stream, &self.greeting, &self.tally).await?;
                let (theirs, _) = read_frame::<wire::Handshake>(&mut stream, &self.tally).await?;
                if theirs.system != self.greeting.system || theirs.fleet != self.greeting.fleet {
                    self.tally.increment(Counter::PeersRejected);
                    return Err(TransportError::Rejected);
                }
                stream
            }
        };
        let sent = write_frame(&mut stream, request, &self.tally).await?;
        let (reply, got) = read_frame(&mut stream, &self.tally).await?;
        let mut idle = self.idle.lock().expect("no panic under this lock");
        let kept = idle.entry(address).or_default();
        if kept.len() < IDLE_MOST {
            kept.push(stream);
        }
        Ok((reply, sent + got))
    }
}

/// Answers siblings. The handler gets each request; dropping its future means the asker left.
pub async fn serve<H, F>(
    listener: tokio::net::TcpListener,
    greeting: wire::Handshake,
    tally: Arc<Counters>,
    handler: H,
) where
    H: Fn(wire::Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = wire::Reply> + Send,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        tally.increment(Counter::PeerConnectionsAccepted);
        let _ = stream.set_nodelay(true);
        let greeting = greeting.clone();
        let tally = tally.clone();
        let handler = handler.clone();
        tokio::spawn(async move {
            let _ = converse(stream, greeting, &tally, handler).await;
        });
    }
}

/// A connection that says nothing for so long is closed.
const SILENT_MOST: Duration = Duration::from_secs(60);

async fn converse<H, F>(
    mut stream: tokio::net::TcpStream,
    greeting: wire::Handshake,
    tally: &Counters,
    handler: H,
) -> Result<(), TransportError>
where
    H: Fn(wire::Request) -> F,
    F: Future<Output = wire::Reply>,
{
    let limit = Duration::from_secs(5);
    let first = tokio::time::timeout(limit, read_frame(&mut stream, tally)).await;
    let (theirs, _): (wire::Handshake, _) = first.unwrap_or(Err(TransportError::Closed))?;
    write_frame(&mut stream, &greeting, tally).await?;
    if theirs.system != greeting.system || theirs.fleet != greeting.fleet {
        tally.increment(Counter::PeersRejected);
        return Err(TransportError::Rejected);
    }
    loop {
        let next = tokio::time::timeout(SILENT_MOST, read_frame(&mut stream, tally)).await;
        let (request, _) = next.unwrap_or(Err(TransportError::Closed))?;
        let reply = {
            let mut byte = [0];
            let asked = handler(request);
            tokio::pin!(asked);
            tokio::select! {
                reply = &mut asked => reply,
                // Nothing may come before the reply: the asker left, or breaks the rules.
                _ = stream.peek(&mut byte) => return Err(TransportError::Closed),
            }
        };
        write_frame(&mut stream, &reply, tally).await?;
    }
}
