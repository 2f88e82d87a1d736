//! The outcome of a request.

use super::attempt::AttemptError;
use vanepath_config::ExecutionStatus;

/// The outcome of a request after its last attempt.
#[derive(Debug)]
pub enum Outcome {
    /// A complete response.
    Response {
        /// HTTP status code.
        status: u16,
        /// Header fields.
        headers: hyper::HeaderMap,
        /// The complete body.
        body: bytes::Bytes,
        /// Whether the request was executed, as stated by the proxy.
        execution: ExecutionStatus,
    },
    /// No complete response.
    Failed {
        /// Whether any attempt may have been executed.
        execution: ExecutionStatus,
        /// Why the last attempt failed.
        error: AttemptError,
    },
    /// The request was not sent: there is no steering response yet, or none of its addresses is still
    /// listed.
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
