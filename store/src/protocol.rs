//! Messages between stores and from registries to stores (design 6.2). The names in
//! `#[serde(rename = "...")]` are the wire names of earlier versions and must stay: during a rolling upgrade,
//! programs of two versions exchange messages.

use crate::value::{AcceptedProposal, Ballot, Digest, MemberTable, Value};
use std::fmt;
use std::time::Duration;

/// A write requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Change {
    /// Replace the configuration document.
    #[serde(rename = "Setup")]
    ReplaceConfig {
        /// The new document.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
        /// Compare-and-set: the write applies only if the committed configuration still has this revision.
        if_revision: Option<u64>,
        /// Version given by the operator. The document replaces the configuration only if this version is
        /// above the highest one accepted so far.
        version: Option<u64>,
    },
    /// Drain a zone. A drained zone stays as it is.
    #[serde(rename = "Empty")]
    DrainZone {
        /// The zone's name.
        zone: String,
    },
    /// Restore a zone, however often it was drained.
    #[serde(rename = "Return")]
    RestoreZone {
        /// The zone's name.
        zone: String,
    },
}

impl Change {
    /// Hash of the requested change, without its conditions (`if_revision` and `version`).
    pub fn content_hash(&self) -> u64 {
        let digest = match self {
            Change::ReplaceConfig { bytes, .. } => vanepath_config::digest(&[b"setup", bytes]),
            Change::DrainZone { zone } => vanepath_config::digest(&[b"empty", zone.as_bytes()]),
            Change::RestoreZone { zone } => vanepath_config::digest(&[b"return", zone.as_bytes()]),
        };
        u64::from_be_bytes(digest[..8].try_into().expect("eight bytes"))
    }
}

/// The change in a few words, for logs. Without the document, which contains API keys.
impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::ReplaceConfig { bytes, version: Some(version), .. } => {
                write!(formatter, "configuration version {version}, {} bytes", bytes.len())
            }
            Change::ReplaceConfig { bytes, .. } => {
                write!(formatter, "configuration, {} bytes", bytes.len())
            }
            Change::DrainZone { zone } => write!(formatter, "drain zone {zone}"),
            Change::RestoreZone { zone } => write!(formatter, "restore zone {zone}"),
        }
    }
}

/// A replica's state as sent in response to a membership request. The accepted value and its batch are
/// included only if the requester asked for them and is in the member table.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct MembershipSnapshot {
    /// The highest ballot that the replica promised.
    pub promised: Ballot,
    /// The proposal that the replica accepted last.
    pub accepted: AcceptedProposal,
    /// The member table of the accepted value.
    #[serde(rename = "seats")]
    pub members: MemberTable,
    /// The accepted value.
    pub value: Option<Value>,
    /// The earlier versions that were proposed with it in the same round, oldest first.
    #[serde(rename = "before")]
    pub batch: Vec<Value>,
}

/// A request to a store. `from` is the incarnation number of the requester's disk.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Request {
    /// Phase 1a of Paxos: asks for a promise.
    Prepare {
        /// The proposer.
        from: u64,
        /// The ballot to promise.
        ballot: Ballot,
        /// Digest of the value that the proposer already holds; the response omits a value with this digest.
        #[serde(rename = "has")]
        known_digest: Option<Digest>,
    },
    /// Phase 2a of Paxos: asks to accept a value.
    Accept {
        /// The proposer.
        from: u64,
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The proposed value.
        value: Value,
        /// The earlier versions that were proposed with it in the same round, oldest first.
        #[serde(rename = "before")]
        batch: Vec<Value>,
    },
    /// Asks for the accepted proposal without proposing a ballot.
    #[serde(rename = "Query")]
    QueryStatus,
    /// Liveness check of a member before its slot is given to another disk.
    #[serde(rename = "Alive")]
    Ping,
    /// Asks for a version and the chain of its ancestors.
    Fetch {
        /// Revision of the requested version.
        revision: u64,
        /// Digest of the requested version.
        digest: Digest,
    },
    /// Asks for the member table.
    Membership {
        /// The requester.
        from: u64,
        /// Whether the response is to include the accepted value.
        wants_value: bool,
    },
    /// An operator's write.
    Change {
        /// The idempotency key.
        key: String,
        /// What to write.
        change: Change,
        /// Set if the client gave no key and the registry generated one. The time since the registry received
        /// the call is evaluated by stores of earlier versions only. `None`: the client gave the key.
        #[serde(default)]
        #[serde(rename = "unnamed_for")]
        keyless_for: Option<Duration>,
        /// The highest committed revision that the registry knew at the earliest time at which the client may
        /// have sent the change. A change that another one has overtaken since then is not made (design 6.10). `None`:
        /// the registry has an earlier version and does not say.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        known_revision: Option<u64>,
    },
    /// A linearizable read of the value.
    Read,
    /// Reads an earlier version.
    History {
        /// Revision of the version.
        revision: u64,
    },
    /// Sent by registries of earlier versions, whose stores counted drain orders: the client of the change that
    /// made this revision was answered. It has no effect.
    #[serde(rename = "Answered")]
    Acknowledge {
        /// `Change::content_hash` of the change.
        #[serde(rename = "matter")]
        content_hash: u64,
        /// The revision that it made.
        revision: u64,
    },
    /// Asks for the highest committed revision, established by a round that starts after this request
    /// arrived (read index, design 5.8).
    #[serde(rename = "Floor")]
    ReadIndex,
}

/// Why a replica rejects a request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Rejection {
    /// The replica promised a higher ballot.
    #[serde(rename = "Outbid")]
    Preempted,
    /// The replica does not vote, for example because it is empty or its disk failed.
    #[serde(rename = "NoVote")]
    NotVoting,
    /// The requester's disk is not, or no longer, in the member table.
    #[serde(rename = "Unseated")]
    NotAMember,
}

/// A recent write whose client may retransmit it without a key, as stores of earlier versions report it.
/// Serialized as a pair.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(from = "(String, u32)", into = "(String, u32)")]
pub struct UnacknowledgedWrite {
    /// Idempotency key of the write.
    pub key: String,
    /// Time since the write was first received, in milliseconds.
    pub age_ms: u32,
}

impl From<(String, u32)> for UnacknowledgedWrite {
    fn from((key, age_ms): (String, u32)) -> UnacknowledgedWrite {
        UnacknowledgedWrite { key, age_ms }
    }
}

impl From<UnacknowledgedWrite> for (String, u32) {
    fn from(write: UnacknowledgedWrite) -> (String, u32) {
        (write.key, write.age_ms)
    }
}

/// A store's response. `from` is the incarnation number of the responder's disk.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Response {
    /// Phase 1b of Paxos: a promise, with the proposal that the acceptor accepted last.
    Promise {
        /// The acceptor.
        from: u64,
        /// The proposal that the acceptor accepted last.
        accepted: AcceptedProposal,
        /// The accepted value, unless the proposer already holds it.
        value: Option<Value>,
        /// The earlier versions that were proposed with it in the same round, oldest first.
        #[serde(rename = "before")]
        batch: Vec<Value>,
        /// Evaluated by stores of earlier versions only; `None`: the acceptor does not know.
        #[serde(default)]
        #[serde(rename = "open")]
        unacknowledged: Option<Vec<UnacknowledgedWrite>>,
    },
    /// Phase 2b of Paxos: the proposal is accepted and on disk.
    Accepted {
        /// The acceptor.
        from: u64,
    },
    /// The request was rejected.
    #[serde(rename = "Refused")]
    Rejected {
        /// Why the request was rejected.
        #[serde(rename = "why")]
        reason: Rejection,
        /// The highest ballot that the replica promised.
        promised: Ballot,
    },
    /// Response to `QueryStatus`.
    #[serde(rename = "State")]
    Status {
        /// The responder.
        from: u64,
        /// Whether the responder's disk holds no value.
        #[serde(rename = "blank")]
        is_empty: bool,
        /// Number of empty stores that bootstrap together; 0: the responder takes no part in a bootstrap.
        #[serde(rename = "founders")]
        bootstrap_size: usize,
        /// Whether the responder votes.
        #[serde(rename = "votes")]
        is_voting: bool,
        /// The proposal that the responder accepted last.
        accepted: Option<AcceptedProposal>,
    },
    /// Response to `Ping`.
    #[serde(rename = "Alive")]
    Pong {
        /// The responder.
        from: u64,
        /// Whether the responder's disk works.
        #[serde(rename = "is_sound")]
        is_healthy: bool,
    },
    /// Response to `Fetch`: the version and its ancestors, latest first, as far as they are stored and fit
    /// into one response.
    Fetched(Vec<Value>),
    /// Response to `Membership`.
    Membership {
        /// The responder.
        from: u64,
        /// The responder's state.
        #[serde(rename = "shown")]
        snapshot: Box<MembershipSnapshot>,
    },
    /// Response to an operator's request.
    Outcome(Outcome),
    /// Response to `Acknowledge`.
    #[serde(rename = "Noted")]
    Acknowledged,
    /// Response to `ReadIndex`; `None`: no quorum confirmed a revision.
    #[serde(rename = "Floor")]
    ReadIndex(Option<u64>),
}

/// The outcome of an operator's request.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// Committed by this request or by an earlier one that it repeats.
    Accepted {
        /// The revision that the write made.
        revision: u64,
        /// The configuration revision at that revision.
        #[serde(rename = "setup_revision")]
        config_revision: u64,
        /// The request itself changed nothing, for example because it repeats an earlier write.
        #[serde(rename = "repeat")]
        is_repeat: bool,
    },
    /// The committed configuration has another revision than the condition names. Nothing was changed.
    Conflict {
        /// The current revision.
        revision: u64,
        /// The current configuration revision.
        #[serde(rename = "setup_revision")]
        config_revision: u64,
    },
    /// The idempotency key was already used for a write with other content. Nothing was changed.
    KeyReused {
        /// The revision that was made under the key.
        revision: u64,
    },
    /// A configuration with other content was accepted under this version. Nothing was changed.
    VersionTaken {
        /// The requested version.
        version: u64,
        /// The highest version accepted so far.
        #[serde(rename = "held")]
        highest: u64,
    },
    /// An opposite change was committed after the revision that the registry knew when it received this one,
    /// so that it cannot be told which of the two its client wants. Nothing was changed. A registry whose
    /// client still waits sends the change again with this revision as the one that it knows.
    Overtaken {
        /// The highest committed revision.
        revision: u64,
    },
    /// The request was not applied and will not be applied later.
    #[serde(rename = "NothingDone")]
    NotApplied {
        /// The reason, for the operator.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The proposal may or may not be committed later; the request must be retried under the same key.
    Unknown,
    /// The version that was read.
    Value {
        /// The version.
        value: Value,
    },
    /// The revision does not exist, or is no longer stored.
    NoSuchRevision {
        /// The highest committed revision.
        latest: u64,
    },
}
