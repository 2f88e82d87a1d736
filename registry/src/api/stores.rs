//! Reads from and writes to the stores on behalf of API requests.

use super::change_log::ChangeLog;
use super::errors::ApiError;
use super::idempotency_key::IdempotencyKey;
use crate::state::{Counter, FencedRequest, Registry};
use crate::store_client;
use std::time::Duration;
use vanepath_store::protocol::{Change, Outcome, Request};
use vanepath_store::value::Value;

/// The time for which a client waits for an answer before it sends its request elsewhere.
const CLIENT_PATIENCE: Duration = Duration::from_millis(1000);

/// When a client's request was received, and what the registry knows of the time at which it was sent.
#[derive(Clone, Copy, Debug)]
pub struct Receipt {
    received_at: Duration,
    fenced: FencedRequest,
}

impl Receipt {
    /// The receipt of a request that has just been received.
    pub fn now(registry: &Registry) -> Receipt {
        let received_at = registry.node.clock.now();
        Receipt { received_at, fenced: registry.fence_request(received_at) }
    }
}

/// Submits a change under one key until its outcome is known or the time-out expires. A change that a newer one may
/// have overtaken since it was sent is not made, and its client is asked to send it again: only a new request shows
/// that somebody still wants it (incident 0029).
///
/// The future is dropped when the client closes its connection. The change is sent only after the runtime has
/// looked at the connection again: a process that was paused may read a request whose client left long ago, with
/// the close behind it (incident 0028).
pub async fn submit(
    registry: &Registry,
    key: &IdempotencyKey,
    change: Change,
    receipt: Receipt,
) -> Outcome {
    let mut known_revision = receipt.fenced.known_revision;
    let change_log =
        ChangeLog::begin(registry, &key.text, &change, receipt.received_at, known_revision);
    tokio::task::yield_now().await;
    let waiting_time = registry.node.clock.now().saturating_sub(receipt.received_at);
    let keyless_for = key.is_generated.then_some(waiting_time);
    let outcome = loop {
        let request = Request::Change {
            key: key.text.clone(),
            change: change.clone(),
            keyless_for,
            known_revision: Some(known_revision),
        };
        let outcome = store_client::execute(registry, request).await;
        match outcome {
            Outcome::Overtaken { revision } if may_be_concurrent(registry, &change, &receipt) => {
                known_revision = revision;
            }
            outcome => break outcome,
        }
    };
    change_log.finish(&outcome);
    if let Outcome::Accepted { revision, .. } | Outcome::Overtaken { revision } = outcome {
        registry.observe_revision(revision);
    }
    outcome
}

/// Whether a change that was overtaken is sent again as a newer one: a configuration whose client has not had the
/// time to move on. Configurations of several clients, without versions, conditions and keys, then replace each other.
fn may_be_concurrent(registry: &Registry, change: &Change, receipt: &Receipt) -> bool {
    let is_configuration = matches!(change, Change::ReplaceConfig { .. });
    is_configuration && registry.node.clock.now() < receipt.fenced.sent_since + CLIENT_PATIENCE
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
