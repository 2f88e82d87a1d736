//! Connections between nodes over TCP: a handshake in each direction, then one request at a time, in frames
//! of bounded size (design 5.1). A frame is a length prefix (four bytes, big-endian) and a CBOR value.

use crate::wire::{self, Handshake, MAX_FRAME_BYTES, Reply, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// The maximum number of idle connections kept for each address.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// The time within which a connecting peer must send its handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// An incoming connection without a request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// A reply of which no further byte arrives for this long has failed.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(1000);
/// The least that a link is expected to carry.
const MIN_BYTES_PER_SECOND: f64 = 100_000.0;
/// The maximum size of the buffer that is allocated for a frame before any of it has arrived.
const INITIAL_BUFFER_BYTES: usize = 64 << 10;

crate::counters! {
    /// Counters of the cluster layer. The names of the metrics are those of earlier versions.
    pub enum Counter {
        /// Requests sent to other nodes.
        #[strum(serialize = "siblingCalls")]
        PeerCalls,
        /// Requests to other nodes that got no reply.
        #[strum(serialize = "siblingCallsFailed")]
        PeerCallsFailed,
        /// Bytes sent to other nodes.
        #[strum(serialize = "siblingBytesOut")]
        PeerBytesSent,
        /// Bytes received from other nodes.
        #[strum(serialize = "siblingBytesIn")]
        PeerBytesReceived,
        /// Bytes of calls to nodes in other zones, in both directions.
        #[strum(serialize = "siblingBytesOtherZone")]
        PeerBytesOtherZone,
        /// Frames that could not be decoded.
        #[strum(serialize = "siblingFramesMalformed")]
        PeerFramesMalformed,
        /// Frames larger than [`MAX_FRAME_BYTES`].
        #[strum(serialize = "siblingFramesOversized")]
        PeerFramesOversized,
        /// Handshakes rejected because they are of another system or fleet.
        #[strum(serialize = "siblingsTurnedAway")]
        PeersRejected,
        /// Connections accepted from other nodes.
        #[strum(serialize = "siblingConnectionsTaken")]
        PeerConnectionsAccepted,
        /// Changes of the set of drained zones, as this node learned of them.
        DrainedZoneChanges,
        /// Detected pauses of this process.
        #[strum(serialize = "freezes")]
        ProcessPauses,
        /// Requests to stores for the read index.
        #[strum(serialize = "floorAsks")]
        ReadIndexRequests,
        /// Read indexes established by a quorum of stores.
        #[strum(serialize = "floorsByMajority")]
        ReadIndexesByQuorum,
        /// Read indexes established by the reports of peers.
        #[strum(serialize = "floorsByWitnesses")]
        ReadIndexesByPeers,
    }
}

/// The counters of one node's cluster layer.
pub type Counters = crate::counters::Counters<Counter>;

/// Why a call to another node failed, or a connection from one was closed.
#[derive(Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum TransportError {
    /// The connection ended or could not be opened, or the call timed out.
    Closed,
    /// The address refused the connection.
    Refused,
    /// A frame is larger than [`MAX_FRAME_BYTES`].
    Oversized,
    /// A frame could not be decoded.
    Malformed,
    /// The other node belongs to another system or fleet.
    Rejected,
}

impl std::error::Error for TransportError {}

/// A decoded value, and the size of its frame in bytes.
struct Frame<T> {
    value: T,
    bytes: usize,
}

async fn read_frame<T: DeserializeOwned>(
    stream: &mut TcpStream,
    counters: &Counters,
) -> Result<Frame<T>, TransportError> {
    let length = read_length(stream, counters).await?;
    // The buffer grows with the bytes that arrive and not by the claimed length.
    let mut bytes = Vec::with_capacity(length.min(INITIAL_BUFFER_BYTES));
    let read = stream.take(length as u64).read_to_end(&mut bytes).await;
    if read.map_err(|_| TransportError::Closed)? < length {
        return Err(TransportError::Closed);
    }
    decode_frame(&bytes, counters)
}

/// Like [`read_frame`], for a frame that may take as long as it needs while bytes keep arriving.
async fn read_long_frame<T: DeserializeOwned>(
    stream: &mut TcpStream,
    length: usize,
    counters: &Counters,
) -> Result<Frame<T>, TransportError> {
    let mut bytes = Vec::with_capacity(length.min(INITIAL_BUFFER_BYTES));
    let mut stream = stream.take(length as u64);
    while bytes.len() < length {
        let read = timeout(PROGRESS_TIMEOUT, stream.read_buf(&mut bytes)).await;
        match read.map_err(|_| TransportError::Closed)? {
            Ok(0) | Err(_) => return Err(TransportError::Closed),
            Ok(_) => {}
        }
    }
    decode_frame(&bytes, counters)
}

async fn read_length(stream: &mut TcpStream, counters: &Counters) -> Result<usize, TransportError> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.map_err(|_| TransportError::Closed)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        counters.increment(Counter::PeerFramesOversized);
        return Err(TransportError::Oversized);
    }
    Ok(length)
}

fn decode_frame<T: DeserializeOwned>(
    bytes: &[u8],
    counters: &Counters,
) -> Result<Frame<T>, TransportError> {
    counters.add(Counter::PeerBytesReceived, bytes.len() as u64 + 4);
    match wire::decode(bytes) {
        Ok(value) => Ok(Frame { value, bytes: bytes.len() + 4 }),
        Err(_) => {
            counters.increment(Counter::PeerFramesMalformed);
            Err(TransportError::Malformed)
        }
    }
}

async fn write_frame<T: Serialize>(
    stream: &mut TcpStream,
    value: &T,
    counters: &Counters,
) -> Result<(), TransportError> {
    let bytes = encode_frame(value, counters)?;
    write_bytes(stream, &bytes, counters).await
}

fn encode_frame<T: Serialize>(value: &T, counters: &Counters) -> Result<Vec<u8>, TransportError> {
    let body = wire::encode(value);
    if body.len() > MAX_FRAME_BYTES {
        counters.increment(Counter::PeerFramesOversized);
        return Err(TransportError::Oversized);
    }
    let mut bytes = Vec::with_capacity(body.len() + 4);
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

async fn write_bytes(
    stream: &mut TcpStream,
    bytes: &[u8],
    counters: &Counters,
) -> Result<(), TransportError> {
    stream.write_all(bytes).await.map_err(|_| TransportError::Closed)?;
    counters.add(Counter::PeerBytesSent, bytes.len() as u64);
    Ok(())
}

/// Rejects a node of another system or fleet.
fn check_handshake(
    own: &Handshake,
    other: &Handshake,
    counters: &Counters,
) -> Result<(), TransportError> {
    if other.system != own.system || other.fleet != own.fleet {
        counters.increment(Counter::PeersRejected);
        return Err(TransportError::Rejected);
    }
    Ok(())
}

/// Calls other nodes, with a small pool of connections for each address.
pub struct Client {
    handshake: Handshake,
    counters: Arc<Counters>,
    idle: Mutex<HashMap<SocketAddr, Vec<TcpStream>>>,
}

impl Client {
    /// A client without connections.
    pub fn new(handshake: Handshake, counters: Arc<Counters>) -> Client {
        Client { handshake, counters, idle: Mutex::default() }
    }

    /// Sends a request and waits for its reply. The reply must begin within `call_timeout`, to which the time is
    /// added that a long request takes on a narrow link; it may then take as long as bytes keep arriving.
    /// `is_cross_zone` only affects the counters.
    ///
    /// # Errors
    /// [`TransportError`]. After an error it is not known whether the request was executed, so callers must
    /// be able to tolerate either outcome.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &Request,
        call_timeout: Duration,
        is_cross_zone: bool,
    ) -> Result<Reply, TransportError> {
        self.counters.increment(Counter::PeerCalls);
        let outcome = self.call_once(address, request, call_timeout).await;
        if is_cross_zone && let Ok(reply) = &outcome {
            self.counters.add(Counter::PeerBytesOtherZone, reply.bytes as u64);
        }
        if outcome.is_err() {
            self.counters.increment(Counter::PeerCallsFailed);
            // The idle connections to the address may be broken for the same reason.
            self.idle_connections().remove(&address);
        }
        outcome.map(|reply| reply.value)
    }

    /// The reply, with the sum of the sizes of the request's and the reply's frames.
    async fn call_once(
        &self,
        address: SocketAddr,
        request: &Request,
        call_timeout: Duration,
    ) -> Result<Frame<Reply>, TransportError> {
        let request = encode_frame(request, &self.counters)?;
        let sending_time = Duration::from_secs_f64(request.len() as f64 / MIN_BYTES_PER_SECOND);
        let beginning = self.begin_call(address, &request);
        let begun = timeout(call_timeout + sending_time, beginning).await;
        let (mut stream, reply_length) = begun.unwrap_or(Err(TransportError::Closed))?;
        let reply = read_long_frame::<Reply>(&mut stream, reply_length, &self.counters).await?;
        let mut idle = self.idle_connections();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(stream);
        }
        Ok(Frame { value: reply.value, bytes: request.len() + reply.bytes })
    }

    /// Sends the frame of a request; returns the connection, and the length of the reply once it begins.
    async fn begin_call(
        &self,
        address: SocketAddr,
        request: &[u8],
    ) -> Result<(TcpStream, usize), TransportError> {
        let idle = self.idle_connections().get_mut(&address).and_then(Vec::pop);
        let mut stream = match idle {
            Some(stream) => stream,
            None => self.connect(address).await?,
        };
        write_bytes(&mut stream, request, &self.counters).await?;
        let reply_length = read_length(&mut stream, &self.counters).await?;
        Ok((stream, reply_length))
    }

    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, TransportError> {
        let connected = TcpStream::connect(address).await;
        let mut stream = connected.map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => TransportError::Refused,
            _ => TransportError::Closed,
        })?;
        let _ = stream.set_nodelay(true);
        write_frame(&mut stream, &self.handshake, &self.counters).await?;
        let other = read_frame::<Handshake>(&mut stream, &self.counters).await?;
        check_handshake(&self.handshake, &other.value, &self.counters)?;
        Ok(stream)
    }

    fn idle_connections(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<TcpStream>>> {
        self.idle.lock().expect("no code panics while it holds this lock")
    }
}

/// Serves other nodes until the task is dropped. The handler is called with each request; its future is
/// dropped if the requester disconnects, and not polled if the requester has disconnected before.
pub async fn serve<H, F>(
    listener: TcpListener,
    handshake: Handshake,
    counters: Arc<Counters>,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        counters.increment(Counter::PeerConnectionsAccepted);
        let _ = stream.set_nodelay(true);
        let handshake = handshake.clone();
        let counters = counters.clone();
        let handler = handler.clone();
        tokio::spawn(async move {
            let _ = serve_connection(stream, handshake, &counters, handler).await;
        });
    }
}

async fn serve_connection<H, F>(
    mut stream: TcpStream,
    handshake: Handshake,
    counters: &Counters,
    handler: H,
) -> Result<(), TransportError>
where
    H: Fn(Request) -> F,
    F: Future<Output = Reply>,
{
    let handshake_read =
        timeout(HANDSHAKE_TIMEOUT, read_frame::<Handshake>(&mut stream, counters)).await;
    let other = handshake_read.unwrap_or(Err(TransportError::Closed))?;
    write_frame(&mut stream, &handshake, counters).await?;
    check_handshake(&handshake, &other.value, counters)?;
    loop {
        let request_read =
            timeout(IDLE_TIMEOUT, read_frame::<Request>(&mut stream, counters)).await;
        let request = request_read.unwrap_or(Err(TransportError::Closed))?;
        let reply = {
            let mut byte = [0];
            tokio::select! {
                // In this order: after a pause of this process, requests are read whose requesters left long
                // ago. The handler is not polled then (incident 0028).
                biased;
                // Nothing may arrive before the reply: the requester has disconnected or violates the
                // protocol.
                _ = stream.peek(&mut byte) => return Err(TransportError::Closed),
                reply = handler(request.value) => reply,
            }
        };
        write_frame(&mut stream, &reply, counters).await?;
    }
}
