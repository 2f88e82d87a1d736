//! Reads and writes at the stores on behalf of API calls.

use super::errors::ApiError;
use super::idempotency_key::IdempotencyKey;
use crate::state::{Counter, Registry};
use crate::store_client;
use std::time::Duration;
use vanepath_store::protocol::{Change, Outcome, Request};
use vanepath_store::value::Value;

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
    match read(registry, Request::Read).await? {
        Outcome::Value { value } => Ok(value),
        _ => Err(ApiError::UnexpectedOutcome),
    }
}

/// The outcome of a read.
///
/// # Errors
/// [`ApiError::StoresUnavailable`] where no store could answer.
pub async fn read(registry: &Registry, request: Request) -> Result<Outcome, ApiError> {
    registry.counters.increment(Counter::Reads);
    match store_client::execute(registry, request).await {
        Outcome::NotApplied { reason } => Err(ApiError::StoresUnavailable { reason }),
        outcome => Ok(outcome),
    }
}
