//! Reads from and writes to the stores on behalf of API requests.

use super::errors::ApiError;
use super::idempotency_key::IdempotencyKey;
use crate::state::{Counter, Registry};
use crate::store_client;
use std::time::Duration;
use vanepath_store::protocol::{Change, Outcome, Request};
use vanepath_store::value::Value;

/// Submits a change under one key until its outcome is known or the time-out expires. `received_at` is the
/// time at which the client's request was received.
pub async fn submit(
    registry: &Registry,
    key: &IdempotencyKey,
    change: Change,
    received_at: Duration,
) -> Outcome {
    let waiting_time = registry.node.clock.now().saturating_sub(received_at);
    let keyless_for = key.is_generated.then_some(waiting_time);
    let request = Request::Change { key: key.text.clone(), change, keyless_for };
    store_client::execute(registry, request).await
}

/// Reads the latest committed value from the stores.
///
/// # Errors
/// [`ApiError::StoresUnavailable`] if no store could answer.
pub async fn read_value(registry: &Registry) -> Result<Value, ApiError> {
    match read(registry, Request::Read).await? {
        Outcome::Value { value } => Ok(value),
        _ => Err(ApiError::UnexpectedOutcome),
    }
}

/// Sends a read to the stores and returns its outcome.
///
/// # Errors
/// [`ApiError::StoresUnavailable`] if no store could answer.
pub async fn read(registry: &Registry, request: Request) -> Result<Outcome, ApiError> {
    registry.counters.increment(Counter::Reads);
    match store_client::execute(registry, request).await {
        Outcome::NotApplied { reason } => Err(ApiError::StoresUnavailable { reason }),
        outcome => Ok(outcome),
    }
}
