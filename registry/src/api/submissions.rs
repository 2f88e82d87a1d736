//! Converts the outcomes of writes to responses, and serves `GET /v1/submissions/KEY`, which looks up the
//! outcome of an earlier write (design 6.10, 7.5).

use super::errors::ApiError;
use super::response::ApiResponse;
use super::stores;
use crate::state::{Counter, Registry};
use hyper::StatusCode;
use vanepath_cluster::node;
use vanepath_store::protocol::Outcome;

/// The response to a write.
///
/// # Errors
/// Returns an error if the write was certainly not applied, or if the outcome is not that of a write.
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
        Outcome::Overtaken { revision } => return Err(ApiError::WriteOvertaken { revision }),
        Outcome::Value { .. } | Outcome::NoSuchRevision { .. } => {
            return Err(ApiError::UnexpectedOutcome);
        }
    };
    value["submission"] = key.into();
    Ok(node::json_response(status, &value))
}

/// `GET /v1/submissions/KEY`: the outcome of an earlier write.
pub async fn read(registry: &Registry, key: &str) -> Result<ApiResponse, ApiError> {
    let value = stores::read_value(registry).await?;
    let Some(write) = value.known_write(key) else {
        return Err(ApiError::NoSuchSubmission { revision: value.revision });
    };
    let outcome = Outcome::Accepted {
        revision: write.revision,
        config_revision: write.config_revision,
        is_repeat: true,
    };
    outcome_response(registry, key, outcome)
}
