//! The errors of the API and their conversion to HTTP responses (RFC 9110 section 15).

use super::response::ApiResponse;
use crate::steering::SteeringError;
use hyper::StatusCode;
use hyper::header::{self, HeaderValue};
use jzon::JsonValue;
use std::fmt;
use vanepath_cluster::node;
use vanepath_config::{ValidationError, json_reader};

/// `Retry-After` in seconds for a steering request that another registry may answer.
const STEERING_RETRY_AFTER_S: u32 = 1;
/// `Retry-After` in seconds for a request that no store could answer.
const STORE_RETRY_AFTER_S: u32 = 2;

/// `Retry-After` in seconds for a write that may be older than the newest one. A request that is sent after this time
/// is not.
const OVERTAKEN_RETRY_AFTER_S: u32 = 1;

/// Why a request failed. The texts of the errors are part of the API.
#[derive(Debug)]
pub enum ApiError {
    /// The path exists, but does not support the method.
    MethodNotAllowed,
    /// The path does not exist.
    NoSuchPath,
    /// The header `Idempotency-Key` is empty, too long, or contains a character that is not allowed.
    InvalidIdempotencyKey,
    /// The header `If-Match` is not valid text.
    UnreadableIfMatch,
    /// The header `If-Match` does not contain exactly one revision.
    InvalidIfMatch,
    /// The revision in the path is not a number.
    InvalidRevision,
    /// The request body is incomplete.
    IncompleteBody,
    /// The configuration is larger than `max_bytes`.
    ConfigTooLarge { max_bytes: usize },
    /// The configuration is not valid.
    InvalidConfig(Vec<ValidationError>),
    /// No node, server or configured zone that this registry knows belongs to a zone of that name.
    NoSuchZone,
    /// No configuration has been accepted yet.
    NoConfigYet,
    /// No configuration was in force at the revision.
    NoConfigAtRevision,
    /// The revision is not known; `latest` is the latest one.
    NoSuchRevision { latest: u64 },
    /// The stores know no write under the key as of `revision`.
    NoSuchSubmission { revision: u64 },
    /// No store could answer a read; `reason` is that of the last store. The request can be retried.
    StoresUnavailable { reason: String },
    /// A write was certainly not applied; `reason` is that of the last store. The request can be retried.
    WriteNotApplied { reason: String },
    /// A write was certainly not applied, since a newer one was committed after it may have been sent. The request
    /// can be retried if it is still wanted.
    WriteOvertaken { revision: u64 },
    /// A store returned an outcome that does not belong to the kind of request.
    UnexpectedOutcome,
    /// This registry rejected a steering request. Another one may be able to answer it.
    Steering(SteeringError),
}

impl ApiError {
    /// Converts the error to the response for the client.
    pub fn into_response(self) -> ApiResponse {
        let mut response = node::json_response(self.status(), &self.body());
        if let Some(after_s) = self.retry_after_s() {
            response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(after_s));
        }
        response
    }

    fn status(&self) -> StatusCode {
        match self {
            ApiError::InvalidIdempotencyKey
            | ApiError::UnreadableIfMatch
            | ApiError::InvalidIfMatch
            | ApiError::InvalidRevision
            | ApiError::IncompleteBody => StatusCode::BAD_REQUEST,
            ApiError::NoSuchPath
            | ApiError::NoSuchZone
            | ApiError::NoConfigYet
            | ApiError::NoConfigAtRevision
            | ApiError::NoSuchRevision { .. }
            | ApiError::NoSuchSubmission { .. } => StatusCode::NOT_FOUND,
            ApiError::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            ApiError::ConfigTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            ApiError::InvalidConfig(_) => StatusCode::UNPROCESSABLE_ENTITY,
            ApiError::UnexpectedOutcome => StatusCode::INTERNAL_SERVER_ERROR,
            ApiError::StoresUnavailable { .. }
            | ApiError::WriteNotApplied { .. }
            | ApiError::WriteOvertaken { .. }
            | ApiError::Steering(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The value of the header `Retry-After` (RFC 9110 section 10.2.3), if the same request may succeed
    /// later.
    fn retry_after_s(&self) -> Option<u32> {
        match self {
            ApiError::StoresUnavailable { .. } | ApiError::WriteNotApplied { .. } => {
                Some(STORE_RETRY_AFTER_S)
            }
            ApiError::WriteOvertaken { .. } => Some(OVERTAKEN_RETRY_AFTER_S),
            ApiError::Steering(_) => Some(STEERING_RETRY_AFTER_S),
            _ => None,
        }
    }

    /// The body: with an `outcome` for writes and look-ups of writes, otherwise with an `error`.
    fn body(&self) -> JsonValue {
        let text = self.to_string();
        match self {
            ApiError::ConfigTooLarge { .. } => {
                validation_errors_json(&[ValidationError { path: "$".to_string(), message: text }])
            }
            ApiError::InvalidConfig(errors) => validation_errors_json(errors),
            ApiError::NoSuchRevision { latest } => {
                jzon::object! { "error": text, "latest": *latest }
            }
            ApiError::NoSuchSubmission { revision } => {
                jzon::object! { "outcome": "not-found", "why": text, "revision": *revision }
            }
            ApiError::WriteNotApplied { .. } => {
                jzon::object! { "outcome": "nothing-done", "why": text }
            }
            ApiError::WriteOvertaken { revision } => {
                jzon::object! { "outcome": "nothing-done", "why": text, "revision": *revision }
            }
            _ => jzon::object! { "error": text },
        }
    }
}

fn validation_errors_json(errors: &[ValidationError]) -> JsonValue {
    jzon::object! {
        "outcome": "nothing-done",
        "faults": json_reader::validation_errors_as_json(errors),
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            ApiError::MethodNotAllowed => "not with this method",
            ApiError::NoSuchPath => "no such path",
            ApiError::InvalidIdempotencyKey => {
                "idempotency-key: 1 to 128 letters, digits, '-' and '_'"
            }
            ApiError::UnreadableIfMatch => "if-match: not readable",
            ApiError::InvalidIfMatch => "if-match: one setup revision, as in \"12\"",
            ApiError::InvalidRevision => "a revision is a whole number",
            ApiError::IncompleteBody => "the body broke off",
            ApiError::ConfigTooLarge { max_bytes } => {
                return write!(formatter, "larger than {max_bytes} bytes");
            }
            ApiError::InvalidConfig(errors) => {
                return write!(formatter, "{} validation errors", errors.len());
            }
            ApiError::NoSuchZone => "no such zone",
            ApiError::NoConfigYet => "no setup was accepted yet",
            ApiError::NoConfigAtRevision => "no setup was in force at that revision",
            ApiError::NoSuchRevision { .. } => "no such revision",
            ApiError::NoSuchSubmission { .. } => {
                "no write under this key is among the last ones in force"
            }
            ApiError::StoresUnavailable { reason } | ApiError::WriteNotApplied { reason } => reason,
            ApiError::WriteOvertaken { .. } => {
                "another order may be newer than this one; send it again if it is still wanted"
            }
            ApiError::UnexpectedOutcome => "a store replied to another question",
            ApiError::Steering(error) => return error.fmt(formatter),
        };
        formatter.write_str(text)
    }
}

impl std::error::Error for ApiError {}

#[cfg(test)]
mod tests;
