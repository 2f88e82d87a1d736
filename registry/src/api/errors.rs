//! The errors of the API, and the one place where they become HTTP responses (RFC 9110 section 15).

use super::ApiResponse;
use crate::steering::SteeringError;
use hyper::StatusCode;
use hyper::header::{self, HeaderValue};
use jzon::JsonValue;
use vanepath_cluster::node;
use vanepath_config::{ValidationError, json_reader};

/// `Retry-After` (s) of a steering request that another registry may answer.
const STEERING_RETRY_AFTER_S: u32 = 1;
/// `Retry-After` (s) of a request that no store could answer.
const STORE_RETRY_AFTER_S: u32 = 2;

/// Why a request gets no success response.
#[derive(Debug)]
pub enum ApiError {
    /// The path exists, but not with this method.
    MethodNotAllowed,
    /// There is no such path.
    NoSuchPath,
    /// The header `Idempotency-Key` has other characters than it may, or too many.
    InvalidIdempotencyKey,
    /// The header `If-Match` is no text.
    UnreadableIfMatch,
    /// The header `If-Match` does not name one revision.
    InvalidIfMatch,
    /// The revision in the path is no number.
    InvalidRevision,
    /// The request's body ended before its time.
    IncompleteBody,
    /// The configuration has more than this many bytes.
    ConfigTooLarge(usize),
    /// The configuration has faults.
    InvalidConfig(Vec<ValidationError>),
    /// Nothing that this registry knows of is in a zone of that name.
    NoSuchZone,
    /// No configuration has been accepted yet.
    NoConfigYet,
    /// No configuration was in force at the revision.
    NoConfigAtRevision,
    /// The revision is above the latest one, or too old to be known.
    NoSuchRevision {
        /// The latest revision.
        latest: u64,
    },
    /// No write under the key is among those that the stores know.
    NoSuchSubmission {
        /// The revision in force.
        revision: u64,
    },
    /// A read got no answer from the stores; it can be repeated.
    StoresUnavailable {
        /// The last store's reason.
        reason: String,
    },
    /// A write was surely not applied; it can be repeated.
    WriteNotApplied {
        /// The last store's reason.
        reason: String,
    },
    /// A store's outcome does not belong to the request.
    UnexpectedOutcome,
    /// This registry gives no steering answer; another one may.
    Steering(SteeringError),
}

impl ApiError {
    /// The response that tells the client of the error.
    pub fn into_response(self) -> ApiResponse {
        use StatusCode as Status;
        match self {
            ApiError::MethodNotAllowed => {
                error_response(Status::METHOD_NOT_ALLOWED, "not with this method")
            }
            ApiError::NoSuchPath => error_response(Status::NOT_FOUND, "no such path"),
            ApiError::InvalidIdempotencyKey => {
                let message = "idempotency-key: 1 to 128 letters, digits, '-' and '_'";
                error_response(Status::BAD_REQUEST, message)
            }
            ApiError::UnreadableIfMatch => {
                error_response(Status::BAD_REQUEST, "if-match: not readable")
            }
            ApiError::InvalidIfMatch => {
                error_response(Status::BAD_REQUEST, "if-match: one setup revision, as in \"12\"")
            }
            ApiError::InvalidRevision => {
                error_response(Status::BAD_REQUEST, "a revision is a whole number")
            }
            ApiError::IncompleteBody => error_response(Status::BAD_REQUEST, "the body broke off"),
            ApiError::ConfigTooLarge(max_bytes) => {
                let error = ValidationError {
                    path: "$".to_string(),
                    message: format!("larger than {max_bytes} bytes"),
                };
                validation_error_response(Status::PAYLOAD_TOO_LARGE, &[error])
            }
            ApiError::InvalidConfig(errors) => {
                validation_error_response(Status::UNPROCESSABLE_ENTITY, &errors)
            }
            ApiError::NoSuchZone => error_response(Status::NOT_FOUND, "no such zone"),
            ApiError::NoConfigYet => error_response(Status::NOT_FOUND, "no setup was accepted yet"),
            ApiError::NoConfigAtRevision => {
                error_response(Status::NOT_FOUND, "no setup was in force at that revision")
            }
            ApiError::NoSuchRevision { latest } => {
                let value = jzon::object! { "error": "no such revision", "latest": latest };
                node::json_response(Status::NOT_FOUND, &value)
            }
            ApiError::NoSuchSubmission { revision } => {
                let value = jzon::object! {
                    "outcome": "not-found",
                    "why": "no write under this key is among the last ones in force",
                    "revision": revision,
                };
                node::json_response(Status::NOT_FOUND, &value)
            }
            ApiError::StoresUnavailable { reason } => {
                let value = jzon::object! { "error": reason };
                retry_later_response(&value, STORE_RETRY_AFTER_S)
            }
            ApiError::WriteNotApplied { reason } => {
                let value = jzon::object! { "outcome": "nothing-done", "why": reason };
                retry_later_response(&value, STORE_RETRY_AFTER_S)
            }
            ApiError::UnexpectedOutcome => {
                error_response(Status::INTERNAL_SERVER_ERROR, "a store replied to another question")
            }
            ApiError::Steering(error) => {
                let value = jzon::object! { "error": error.to_string() };
                retry_later_response(&value, STEERING_RETRY_AFTER_S)
            }
        }
    }
}

fn error_response(status: StatusCode, message: &str) -> ApiResponse {
    node::json_response(status, &jzon::object! { "error": message })
}

fn validation_error_response(status: StatusCode, errors: &[ValidationError]) -> ApiResponse {
    let value = jzon::object! {
        "outcome": "nothing-done",
        "faults": json_reader::faults_as_json(errors),
    };
    node::json_response(status, &value)
}

/// 503 with a `Retry-After` in seconds (RFC 9110 section 10.2.3).
fn retry_later_response(value: &JsonValue, after_s: u32) -> ApiResponse {
    let mut response = node::json_response(StatusCode::SERVICE_UNAVAILABLE, value);
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(after_s));
    response
}
