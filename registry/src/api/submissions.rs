//! Writes to the stores under an idempotency key, their outcomes as responses, and
//! `GET /v1/submissions/KEY`, which looks up what became of a write (design 6.10, 7.5).

use super::ApiResponse;
use super::errors::ApiError;
use crate::state::{Counter, Registry};
use crate::store_client;
use hyper::{HeaderMap, StatusCode};
use std::time::Duration;
use vanepath_cluster::node;
use vanepath_store::protocol::{Change, Outcome, Request, Value};

const MAX_KEY_BYTES: usize = 128;

/// The idempotency key of a write.
pub struct IdempotencyKey {
    /// The key itself.
    pub text: String,
    /// It was generated here, since the client gave none.
    pub is_generated: bool,
}

impl IdempotencyKey {
    /// The key in the header `Idempotency-Key`, or a generated one.
    ///
    /// # Errors
    /// Where the header has other characters than letters, digits, `-` and `_`, or too many.
    pub fn from_headers(headers: &HeaderMap) -> Result<IdempotencyKey, ApiError> {
        let Some(value) = headers.get("idempotency-key") else {
            let text = format!("{:016x}{:016x}", node::random(), node::random());
            return Ok(IdempotencyKey { text, is_generated: true });
        };
        match value.to_str() {
            Ok(text) if is_valid_key(text) => {
                Ok(IdempotencyKey { text: text.to_string(), is_generated: false })
            }
            _ => Err(ApiError::InvalidIdempotencyKey),
        }
    }
}

fn is_valid_key(text: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&text.len())
        && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(&byte))
}

/// Submits a change under one key until its outcome is known or its time is up. `received_at`: when the
/// client's request came.
pub async fn submit(
    registry: &Registry,
    key: &IdempotencyKey,
    change: Change,
    received_at: Duration,
) -> Outcome {
    let waited = registry.node.clock.now().saturating_sub(received_at);
    let keyless_for = key.is_generated.then_some(waited);
    let request = Request::Change { key: key.text.clone(), change, keyless_for };
    store_client::execute(registry, request).await
}

/// The stores' newest value.
///
/// # Errors
/// [`ApiError::StoresUnavailable`] where no store could answer.
pub async fn read_value(registry: &Registry) -> Result<Value, ApiError> {
    match read_from_stores(registry, Request::Read).await? {
        Outcome::Value { value } => Ok(value),
        _ => Err(ApiError::UnexpectedOutcome),
    }
}

/// The outcome of a read.
///
/// # Errors
/// [`ApiError::StoresUnavailable`] where no store could answer.
pub async fn read_from_stores(registry: &Registry, request: Request) -> Result<Outcome, ApiError> {
    registry.counters.increment(Counter::Reads);
    match store_client::execute(registry, request).await {
        Outcome::NotApplied { reason } => Err(ApiError::StoresUnavailable { reason }),
        outcome => Ok(outcome),
    }
}

/// The response to a write.
///
/// # Errors
/// Where the write was surely not applied.
pub fn outcome_response(
    registry: &Registry,
    key: &str,
    outcome: Outcome,
) -> Result<ApiResponse, ApiError> {
    let (status, mut value) = match outcome {
        Outcome::Accepted { revision, config_revision, is_repeat } => (
            StatusCode::OK,
            jzon::object! {
                "outcome": "accepted",
                "revision": revision,
                "setupRevision": config_revision,
                "repeat": is_repeat,
            },
        ),
        Outcome::Conflict { revision, config_revision } => {
            registry.counters.increment(Counter::SetupsConflicting);
            (
                StatusCode::PRECONDITION_FAILED,
                jzon::object! {
                    "outcome": "nothing-done",
                    "why": "the setup in force is of another revision",
                    "revision": revision,
                    "setupRevision": config_revision,
                },
            )
        }
        Outcome::KeyReused { revision } => (
            StatusCode::CONFLICT,
            jzon::object! {
                "outcome": "nothing-done",
                "why": "this key was used for another submission",
                "revision": revision,
            },
        ),
        Outcome::VersionTaken { version, highest } => {
            registry.counters.increment(Counter::SetupsConflicting);
            (
                StatusCode::CONFLICT,
                jzon::object! {
                    "outcome": "nothing-done",
                    "why": "a setup of another content was taken under this version",
                    "version": version,
                    "highestVersion": highest,
                },
            )
        }
        Outcome::Unknown => {
            registry.counters.increment(Counter::WritesUnknown);
            let look_up = format!("/v1/submissions/{key}");
            (StatusCode::GATEWAY_TIMEOUT, jzon::object! { "outcome": "unknown", "lookUp": look_up })
        }
        Outcome::NotApplied { reason } => {
            registry.counters.increment(Counter::WritesNothingDone);
            return Err(ApiError::WriteNotApplied { reason });
        }
        Outcome::Value { .. } | Outcome::NoSuchRevision { .. } => {
            return Err(ApiError::UnexpectedOutcome);
        }
    };
    value["submission"] = key.into();
    Ok(node::json_response(status, &value))
}

/// `GET /v1/submissions/KEY`: the outcome of an earlier write.
pub async fn read(registry: &Registry, key: &str) -> Result<ApiResponse, ApiError> {
    let value = read_value(registry).await?;
    let Some(write) = value.known_write(key) else {
        return Err(ApiError::NoSuchSubmission { revision: value.revision });
    };
    let outcome = Outcome::Accepted {
        revision: write.revision,
        config_revision: write.setup_revision,
        is_repeat: true,
    };
    outcome_response(registry, key, outcome)
}
