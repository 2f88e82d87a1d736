//! The history of operators' calls, as the operators see them.

use std::time::Duration;
use vanepath_store::protocol::{Change, Outcome};

/// How long the platform waits for an answer to a call without an idempotency key before it sends
/// the call again.
pub const KEYLESS_CALL_TIMEOUT: Duration = Duration::from_secs(1);

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

    /// The evacuation that this call belongs to, and which of its two calls this is: 0 drains the zone, 1 restores it.
    pub fn evacuation_step(&self) -> Option<(usize, usize)> {
        let OperatorCall::Change { change, .. } = self else { return None };
        let step = usize::from(matches!(change, Change::RestoreZone { .. }));
        Some((self.evacuation()?, step))
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
    /// How many answers to each of the calls are lost on their way to the operator from now on.
    pub lost_answers: [u32; 2],
    /// What the operator does once a call is acknowledged; `None`: its calls are scheduled beforehand.
    pub series: Option<EvacuationSeries>,
}

impl Evacuation {
    /// An evacuation whose calls have not been sent.
    pub fn new(zone: &'static str) -> Evacuation {
        Evacuation {
            zone,
            sent_at: [None; 2],
            acknowledged_at: [None; 2],
            lost_answers: [0; 2],
            series: None,
        }
    }
}

/// Evacuations that an operator orders one after the other.
#[derive(Clone, Debug)]
pub struct EvacuationSeries {
    /// How long the zone stays drained after the acknowledgement.
    pub hold: Duration,
    /// The evacuation that follows as soon as this one is withdrawn.
    pub next: Option<usize>,
    /// Nodes that freeze when the zone is first restored, for as long.
    pub freezes: Vec<(usize, Duration)>,
    /// Whether the operator leaves its connection open when it gives a call up.
    pub leaves_connections_open: bool,
}
