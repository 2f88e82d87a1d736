//! The history of operators' calls, as the operators see them.

use std::time::Duration;
use vanepath_store::protocol::{Change, Outcome};

/// A call of an operator to a registry.
#[derive(Clone, Debug)]
pub struct Operation {
    /// The call.
    pub call: OperatorCall,
    /// The registry that was called.
    pub registry: usize,
    /// When the call was sent.
    pub started_at: Duration,
    /// When the answer came or the call timed out.
    pub ended_at: Option<Duration>,
    /// The answer; `None` if none came.
    pub outcome: Option<Outcome>,
}

/// What an operator asks a registry to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// A change under an idempotency key.
    Change {
        /// The key.
        key: String,
        /// The change.
        change: Change,
    },
    /// A read of the latest revision.
    Read,
    /// A read of an earlier revision.
    History {
        /// The revision.
        revision: u64,
    },
}

impl OperatorCall {
    /// Whether this submits a configuration that must be rejected.
    pub fn is_invalid(&self) -> bool {
        matches!(self, OperatorCall::Change { key, .. } if key.starts_with("invalid-"))
    }

    /// The version that the submitted configuration names.
    pub fn version(&self) -> Option<u64> {
        match self {
            OperatorCall::Change { change: Change::ReplaceConfig { version, .. }, .. } => *version,
            _ => None,
        }
    }

    /// The evacuation that this call belongs to. The platform sends these calls without an
    /// idempotency key; the key here only identifies the call within the simulator.
    pub fn evacuation(&self) -> Option<usize> {
        let OperatorCall::Change { key, .. } = self else { return None };
        key.strip_prefix("order-")?.split('-').next()?.parse().ok()
    }
}

/// An evacuation of a zone by calls without an idempotency key. One call drains the zone and one
/// restores it; each is sent again until its outcome is known.
#[derive(Clone, Debug)]
pub struct Evacuation {
    /// The zone.
    pub zone: &'static str,
    /// When the two calls were first sent.
    pub sent_at: [Option<Duration>; 2],
    /// When they were acknowledged.
    pub acknowledged_at: [Option<Duration>; 2],
}
