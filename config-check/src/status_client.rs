//! Reads the status pages of daemons over HTTP.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use jzon::JsonValue;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use vanepath_config_check::{FleetSnapshot, SnapshotError};

/// Time-out of one request, including its connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a daemon's page could not be read. The message includes that of the cause, so that the error report
/// is a single line.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StatusError {
    #[error("the registry at {address} cannot be asked: {cause}")]
    Connect { address: SocketAddr, cause: std::io::Error },
    #[error("the registry at {address} cannot be asked: {cause}")]
    Http { address: SocketAddr, cause: hyper::Error },
    #[error("the registry at {address} cannot be asked: {cause}")]
    InvalidRequest { address: SocketAddr, cause: hyper::http::Error },
    #[error("the registry at {address} cannot be asked: no reply in time")]
    Timeout { address: SocketAddr },
    #[error("the registry at {address} does not tell its status ({status})")]
    NoStatus { address: SocketAddr, status: u16 },
    #[error("the setup in force cannot be read ({status})")]
    NoActiveConfig { status: u16 },
    #[error("the status of {address} cannot be read: {cause}")]
    Json { address: SocketAddr, cause: jzon::Error },
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
}

/// Reads a registry's status and the active configuration.
pub async fn fleet_snapshot(address: SocketAddr) -> Result<FleetSnapshot, StatusError> {
    let status = page(address, "/v1/status").await?;
    let active_config = match get(address, "/v1/setup").await? {
        Response { status: 200, body } => Some(body.to_vec()),
        Response { status: 404, .. } => None,
        Response { status, .. } => return Err(StatusError::NoActiveConfig { status }),
    };
    Ok(FleetSnapshot::from_status(&status, active_config)?)
}

/// Reads a JSON page.
pub async fn page(address: SocketAddr, path: &str) -> Result<JsonValue, StatusError> {
    let Response { status, body } = get(address, path).await?;
    if status != 200 {
        return Err(StatusError::NoStatus { address, status });
    }
    jzon::parse(&String::from_utf8_lossy(&body))
        .map_err(|cause| StatusError::Json { address, cause })
}

struct Response {
    status: u16,
    body: Bytes,
}

async fn get(address: SocketAddr, path: &str) -> Result<Response, StatusError> {
    tokio::time::timeout(REQUEST_TIMEOUT, get_without_timeout(address, path))
        .await
        .map_err(|_| StatusError::Timeout { address })?
}

async fn get_without_timeout(address: SocketAddr, path: &str) -> Result<Response, StatusError> {
    let http_error = |cause| StatusError::Http { address, cause };
    let stream = TcpStream::connect(address)
        .await
        .map_err(|cause| StatusError::Connect { address, cause })?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.map_err(http_error)?;
    tokio::spawn(async move {
        // An error is ignored here: the request on the connection reports it.
        let _ = connection.await;
    });
    let request = hyper::Request::get(path)
        .header(hyper::header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|cause| StatusError::InvalidRequest { address, cause })?;
    let response = sender.send_request(request).await.map_err(http_error)?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.map_err(http_error)?.to_bytes();
    Ok(Response { status, body })
}
