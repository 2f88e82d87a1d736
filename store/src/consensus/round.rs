//! Rounds: the operation that a replica is carrying out, and the phase that it is in.

use super::quorum;
use crate::protocol::{Change, Outcome};
use crate::value::{AcceptedProposal, Ballot, MemberTable, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The operation that a round carries out.
#[derive(Clone, Debug)]
pub(super) enum Operation {
    /// An operator's write.
    Change(PendingChange),
    /// Read the committed value, for all requests that arrived before the round began.
    Read { tickets: Vec<u64> },
    /// Read the committed revision, for all requests that arrived before the round began (design 5.8).
    ReadIndex { tickets: Vec<u64> },
    /// Read an earlier version.
    History { ticket: u64, revision: u64 },
    /// Repair (anti-entropy): find replicas that are behind, and complete proposals that only some have
    /// accepted.
    Repair,
    /// Assign a lost member's slot, or a vacant one, to an empty disk.
    Replace(Replacement),
    /// Bootstrap with these members, or check whether all of them hold the bootstrap value.
    Bootstrap { members: MemberTable },
    /// Proposed changes, with the replies to send once they are committed.
    Batch { replies: Vec<PlannedReply> },
}

/// An operator's write that waits for a round.
#[derive(Clone, Debug)]
pub(super) struct PendingChange {
    pub ticket: u64,
    pub key: String,
    pub change: Change,
    /// Whether the registry generated the key, because the client gave none.
    pub has_generated_key: bool,
    /// The highest committed revision that the registry knew when its client was last known to wait.
    pub known_revision: Option<u64>,
}

/// The reply to a request once the round's value is committed.
#[derive(Clone, Debug)]
pub(super) struct PlannedReply {
    pub ticket: u64,
    pub outcome: Outcome,
}

/// A member slot to be assigned to an empty disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Replacement {
    pub slot: usize,
    /// Incarnation of the lost disk; `None`: the slot is vacant.
    pub replaced: Option<u64>,
    /// The store that gets the slot, and the incarnation of its disk.
    pub name: String,
    pub incarnation: u64,
}

/// A replica's response to a query.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplicaStatus {
    pub accepted: Option<AcceptedProposal>,
    pub is_empty: bool,
    pub bootstrap_size: usize,
}

/// An accepted value with its batch.
#[derive(Clone, Debug)]
pub(super) struct AcceptedValue {
    pub accepted: AcceptedProposal,
    pub value: Arc<Value>,
    /// The earlier versions that were proposed with it in the same round, oldest first.
    pub batch: Vec<Arc<Value>>,
}

/// A proposal that members are asked to accept.
#[derive(Clone, Debug)]
pub(super) struct Proposal {
    pub value: Arc<Value>,
    pub accepted: AcceptedProposal,
    pub proposed_at: Duration,
    /// Incarnations of the members that have accepted it.
    pub accepts: BTreeSet<u64>,
}

#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// Asking for the accepted proposals, without a ballot.
    Querying { statuses: BTreeMap<u64, ReplicaStatus>, began_at: Duration },
    /// Asking all members to accept the bootstrap value; `accepts` are those that hold it.
    Bootstrapping { accepts: BTreeSet<u64> },
    /// Paxos phase 1. `best` is the highest accepted proposal among the promises; new versions derive from
    /// it.
    Preparing {
        ballot: Ballot,
        asked: BTreeSet<u64>,
        promises: BTreeMap<u64, AcceptedProposal>,
        best: AcceptedValue,
    },
    /// Paxos phase 2 with a value that some replica accepted earlier.
    Repairing(Proposal),
    /// Paxos phase 2 with the value made by the operation.
    Proposing(Proposal),
    /// Waiting for the next attempt after preemption, or for the first one.
    BackingOff { until: Duration },
}

#[derive(Clone, Debug)]
pub(super) struct Round {
    pub operation: Operation,
    pub phase: Phase,
    /// Targets of the phase's calls in flight, by call number.
    pub in_flight: BTreeMap<u64, u64>,
    pub attempts: u32,
    /// The highest ballot that preempted this round.
    pub preempted_by: Ballot,
    /// Incarnations of the members that promised the last ballot.
    pub promised_by: BTreeSet<u64>,
}

impl Round {
    pub fn new(operation: Operation, now: Duration) -> Round {
        Round {
            operation,
            phase: Phase::BackingOff { until: now },
            in_flight: BTreeMap::new(),
            attempts: 0,
            preempted_by: Ballot::default(),
            promised_by: BTreeSet::new(),
        }
    }

    /// Whether enough members have accepted a proposal of this round to commit it.
    pub fn is_accepted(&self, proposal: &Proposal) -> bool {
        match &self.operation {
            Operation::Replace(replacement) => quorum::is_accepted_without(
                &proposal.value,
                &proposal.accepts,
                replacement.incarnation,
            ),
            _ => quorum::is_accepted_by_quorum(&proposal.value, &proposal.accepts),
        }
    }
}
