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

/// Maximum number of idle connections kept per address.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// The request sender of an HTTP/1.1 connection.
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
    /// Returns an idle connection if `may_reuse` is set and there is one, otherwise a new connection.
    pub async fn connect(
        &self,
        address: SocketAddr,
        may_reuse: bool,
    ) -> Result<Connection, ConnectError> {
        if may_reuse && let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        let stream = connect_tcp(address).await?;
        // An error is ignored: without TCP_NODELAY the connection works, with a higher latency.
        let _ = stream.set_nodelay(true);
        let (sender, driver) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            // An error is ignored here: the requests on the connection report it.
            let _ = driver.await;
        });
        Ok(sender)
    }

    /// Makes a connection available to further requests, after a complete response on it.
    pub fn put_back(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().expect("no panic under this lock");
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        loop {
            let connection =
                self.idle.lock().expect("no panic under this lock").get_mut(&address)?.pop()?;
            if connection.is_ready() {
                return Some(connection);
            }
        }
    }
}

/// Whether the address accepts TCP connections.
pub(super) async fn accepts_connections(address: SocketAddr) -> bool {
    connect_tcp(address).await.is_ok()
}

async fn connect_tcp(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let connect = TcpStream::connect(address);
    let result = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
    Ok(result.map_err(|_| ConnectError::Timeout)??)
}
