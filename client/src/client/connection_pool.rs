//! HTTP/1.1 connections by address, kept open between requests.

use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time-out of a TCP connection attempt; an address that takes longer counts as unreachable.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections kept by address.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// The sending half of a connection.
pub(super) type Connection = SendRequest<Full<bytes::Bytes>>;

/// Why no connection could be opened.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// Nothing accepted the connection within [`CONNECT_TIMEOUT`].
    #[error("no connection within {CONNECT_TIMEOUT:?}")]
    Timeout,
    /// The connection was refused, or the address cannot be reached.
    #[error("the connection could not be opened")]
    Tcp(#[from] std::io::Error),
    /// The HTTP connection could not be set up.
    #[error("the HTTP connection could not be set up")]
    Handshake(#[from] hyper::Error),
}

/// Idle connections by address.
#[derive(Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl ConnectionPool {
    /// An idle connection, if `may_reuse` and there is one, or else a new one.
    pub async fn connect(
        &self,
        address: SocketAddr,
        may_reuse: bool,
    ) -> Result<Connection, ConnectError> {
        if may_reuse && let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        let stream = connect_tcp(address).await?;
        // Only a matter of latency: the connection works without it.
        let _ = stream.set_nodelay(true);
        let (sender, driver) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            // Errors of the connection are reported to the requests on it.
            let _ = driver.await;
        });
        Ok(sender)
    }

    /// Returns a connection after a whole response.
    pub fn put_back(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().expect("no panic under this lock");
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        loop {
            let idle =
                self.idle.lock().expect("no panic under this lock").get_mut(&address)?.pop()?;
            if idle.is_ready() {
                return Some(idle);
            }
        }
    }
}

/// Whether anything accepts connections at that address.
pub(super) async fn accepts_connections(address: SocketAddr) -> bool {
    connect_tcp(address).await.is_ok()
}

async fn connect_tcp(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let connecting = TcpStream::connect(address);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    Ok(connected.map_err(|_| ConnectError::Timeout)??)
}
