//! What became of a request.

use super::attempt::AttemptError;
use vanepath_config::ExecutionStatus;

/// What became of one request, after its last attempt.
#[derive(Debug)]
pub enum Outcome {
    /// A complete response.
    Response {
        /// HTTP status code.
        status: u16,
        /// Header fields.
        headers: hyper::HeaderMap,
        /// The whole body.
        body: bytes::Bytes,
        /// Whether the request was executed, as the proxy stated it.
        execution: ExecutionStatus,
    },
    /// No complete response.
    Failed {
        /// Whether any attempt may have been executed.
        execution: ExecutionStatus,
        /// Why the last attempt failed.
        error: AttemptError,
    },
    /// The request was not sent: no steering response yet, or none of its addresses is listed any more.
    NoSteeringResponse,
}

impl Outcome {
    /// Whether the request was executed, as far as is known.
    pub fn execution_status(&self) -> ExecutionStatus {
        match self {
            Outcome::Response { execution, .. } | Outcome::Failed { execution, .. } => *execution,
            Outcome::NoSteeringResponse => ExecutionStatus::NotRun,
        }
    }
}
