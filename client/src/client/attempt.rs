//! One attempt of a request at one address.

use super::connection_pool::{ConnectError, Connection, ConnectionPool, accepts_connections};
use super::outcome::Outcome;
use super::shared_steering::SharedSteering;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use std::net::SocketAddr;
use std::time::Duration;
use vanepath_config::ExecutionStatus;
use vanepath_config::execution_status;

/// How often an idempotent request that waits for its response checks whether its proxy is suspect.
pub const SUSPICION_CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// Time-out for the head of a response, and again for its body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why an attempt gave no complete response.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// No connection to the proxy.
    #[error("the proxy cannot be reached")]
    Connect(#[from] ConnectError),
    /// The method, path or a header is not valid HTTP.
    #[error("the request is not valid HTTP")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The connection closed before a byte of the request was written.
    #[error("the request was not sent")]
    NotSent(#[source] hyper::Error),
    /// The connection failed after the request, or a part of it, was written.
    #[error("the connection failed before the response")]
    Interrupted(#[source] hyper::Error),
    /// No response head within the time-out, or the proxy was abandoned as unresponsive.
    #[error("the proxy did not respond")]
    NoResponse,
    /// The body of the response took longer than the time-out.
    #[error("the response was not complete in time")]
    ResponseTimeout,
    /// The connection failed within the body of the response.
    #[error("the response broke off")]
    ResponseInterrupted(#[source] hyper::Error),
}

impl AttemptError {
    /// Whether the request may have been executed despite the error.
    pub fn execution_status(&self) -> ExecutionStatus {
        match self {
            AttemptError::Connect(_)
            | AttemptError::InvalidRequest(_)
            | AttemptError::NotSent(_) => ExecutionStatus::NotRun,
            AttemptError::Interrupted(_)
            | AttemptError::NoResponse
            | AttemptError::ResponseTimeout
            | AttemptError::ResponseInterrupted(_) => ExecutionStatus::MayHaveRun,
        }
    }
}

/// The parameters of one attempt.
pub(super) struct Attempt<'a> {
    pub address: SocketAddr,
    /// Whether a connection that is already open may be used.
    pub may_reuse_connection: bool,
    /// Whether the request may be abandoned for another address if this one is suspect.
    pub may_abandon: bool,
    pub host: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: bytes::Bytes,
}

impl Attempt<'_> {
    /// Makes the attempt and waits for the complete response.
    pub async fn run(self, steering: &SharedSteering, pool: &ConnectionPool) -> Outcome {
        match self.try_run(steering, pool).await {
            Ok(outcome) => outcome,
            Err(error) => Outcome::Failed { execution: error.execution_status(), error },
        }
    }

    async fn try_run(
        self,
        steering: &SharedSteering,
        pool: &ConnectionPool,
    ) -> Result<Outcome, AttemptError> {
        let mut connection = pool.connect(self.address, self.may_reuse_connection).await?;
        let request = self.http_request()?;
        let response = self.send(&mut connection, request, steering).await?;
        let (head, incoming) = response.into_parts();
        let body = tokio::time::timeout(RESPONSE_TIMEOUT, incoming.collect())
            .await
            .map_err(|_| AttemptError::ResponseTimeout)?
            .map_err(AttemptError::ResponseInterrupted)?
            .to_bytes();
        let execution = head
            .headers
            .get(execution_status::HEADER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .unwrap_or(ExecutionStatus::MayHaveRun);
        pool.put_back(self.address, connection);
        Ok(Outcome::Response {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
            execution,
        })
    }

    fn http_request(&self) -> Result<hyper::Request<Full<bytes::Bytes>>, hyper::http::Error> {
        let mut request = hyper::Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(hyper::header::HOST, self.host);
        for (name, value) in self.headers {
            request = request.header(*name, *value);
        }
        request.body(Full::new(self.body.clone()))
    }

    /// Sends the request and waits for the head of the response. Checks every
    /// [`SUSPICION_CHECK_INTERVAL`] whether the proxy is to be abandoned.
    async fn send(
        &self,
        connection: &mut Connection,
        request: hyper::Request<Full<bytes::Bytes>>,
        steering: &SharedSteering,
    ) -> Result<hyper::Response<Incoming>, AttemptError> {
        let sent_at = steering.now();
        let response_future = connection.try_send_request(request);
        tokio::pin!(response_future);
        loop {
            if let Ok(result) =
                tokio::time::timeout(SUSPICION_CHECK_INTERVAL, &mut response_future).await
            {
                return result.map_err(send_error);
            }
            if steering.now() - sent_at >= RESPONSE_TIMEOUT {
                return Err(AttemptError::NoResponse);
            }
            if self.may_abandon && self.is_suspect(steering) {
                let accepts_connections = tokio::select! {
                    result = &mut response_future => return result.map_err(send_error),
                    accepts_connections = accepts_connections(self.address) => accepts_connections,
                };
                let mut steering_state = steering.lock();
                if steering_state.may_abandon(steering.now(), &self.address, accepts_connections) {
                    return Err(AttemptError::NoResponse);
                }
            }
        }
    }

    fn is_suspect(&self, steering: &SharedSteering) -> bool {
        steering.lock().is_suspect(steering.now(), &self.address)
    }
}

/// Tells a request that was not sent from an interrupted one: hyper returns the request if no byte of it
/// was written.
fn send_error(mut error: TrySendError<hyper::Request<Full<bytes::Bytes>>>) -> AttemptError {
    match error.take_message() {
        Some(_) => AttemptError::NotSent(error.into_error()),
        None => AttemptError::Interrupted(error.into_error()),
    }
}
