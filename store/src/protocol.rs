//! Messages between stores and from registries to stores (design 6.2). The names in
//! `#[serde(rename = "...")]` are the wire names of earlier versions: programs of two versions talk to each
//! other while they are replaced one by one.

use crate::value::{AcceptedProposal, Ballot, Digest, MemberTable, Value};
use std::time::Duration;

/// A write that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Change {
    /// Replace the configuration document.
    #[serde(rename = "Setup")]
    ReplaceConfig {
        /// The new document.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
        /// Compare-and-set: only if the committed configuration is still of this revision.
        if_revision: Option<u64>,
        /// Only if it is above the highest version accepted so far; else this is a repeat.
        version: Option<u64>,
    },
    /// Add a drain order for a zone.
    #[serde(rename = "Empty")]
    DrainZone {
        /// The zone's name.
        zone: String,
    },
    /// Withdraw a drain order of a zone.
    #[serde(rename = "Return")]
    RestoreZone {
        /// The zone's name.
        zone: String,
    },
}

impl Change {
    /// Hash of what is asked for, without the conditions.
    pub fn content_hash(&self) -> u64 {
        let digest = match self {
            Change::ReplaceConfig { bytes, .. } => vanepath_config::digest(&[b"setup", bytes]),
            Change::DrainZone { zone } => vanepath_config::digest(&[b"empty", zone.as_bytes()]),
            Change::RestoreZone { zone } => vanepath_config::digest(&[b"return", zone.as_bytes()]),
        };
        u64::from_be_bytes(digest[..8].try_into().expect("eight bytes"))
    }
}

/// A replica's state as it answers a membership request: the member table, and for a requester in that
/// table the accepted value too.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct MembershipSnapshot {
    /// The highest ballot that the replica promised.
    pub promised: Ballot,
    /// The proposal that it accepted last.
    pub accepted: AcceptedProposal,
    /// The member table of the accepted value.
    #[serde(rename = "seats")]
    pub members: MemberTable,
    /// The accepted value.
    pub value: Option<Value>,
    /// The versions that were proposed with it in one round, the oldest first.
    #[serde(rename = "before")]
    pub batch: Vec<Value>,
}

/// A request to a store. `from` is the incarnation of the requester's disk.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Request {
    /// Phase 1a of Paxos: asks for a promise.
    Prepare {
        /// The proposer.
        from: u64,
        /// The ballot to promise.
        ballot: Ballot,
        /// Digest of the value that the proposer holds, which need not be sent back.
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
        /// The versions that were proposed with it in one round, the oldest first.
        #[serde(rename = "before")]
        batch: Vec<Value>,
    },
    /// Asks for the accepted proposal, without a ballot.
    #[serde(rename = "Query")]
    QueryStatus,
    /// Liveness check of a member before its slot is given to another disk.
    #[serde(rename = "Alive")]
    Ping,
    /// Asks for a version and the chain of its ancestors.
    Fetch {
        /// Revision of the first version.
        revision: u64,
        /// Digest of the first version.
        digest: Digest,
    },
    /// Asks for the member table.
    Membership {
        /// The requester.
        from: u64,
        /// Whether the accepted value is wanted too.
        wants_value: bool,
    },
    /// An operator's write.
    Change {
        /// The idempotency key.
        key: String,
        /// What to write.
        change: Change,
        /// For a change whose client gave no key, so that the registry generated this one: how long the
        /// registry has had the call (design 6.10). `None`: the key is the client's.
        #[serde(default)]
        #[serde(rename = "unnamed_for")]
        keyless_for: Option<Duration>,
    },
    /// A linearizable read of the value.
    Read,
    /// Reads an earlier version.
    History {
        /// Its revision.
        revision: u64,
    },
    /// The client of the change that made this revision has surely received its response.
    #[serde(rename = "Answered")]
    Acknowledge {
        /// `Change::content_hash` of the change.
        #[serde(rename = "matter")]
        content_hash: u64,
        /// The revision that it made.
        revision: u64,
    },
    /// Asks for the highest committed revision, by a round that begins after this request
    /// (read index, design 5.8).
    #[serde(rename = "Floor")]
    ReadIndex,
}

/// Why a replica does not promise or accept.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Rejection {
    /// A higher ballot was promised.
    #[serde(rename = "Outbid")]
    Preempted,
    /// This replica is empty, or its disk failed: it does not vote.
    #[serde(rename = "NoVote")]
    NotVoting,
    /// The requester's disk is not in the member table (any more).
    #[serde(rename = "Unseated")]
    NotAMember,
}

/// A recent write whose client may retransmit it without a key; a pair on the wire.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(from = "(String, u32)", into = "(String, u32)")]
pub struct UnacknowledgedWrite {
    /// Its idempotency key.
    pub key: String,
    /// Time since it was first received, in milliseconds.
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

/// A store's response. `from` is the incarnation of the responder's disk.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Response {
    /// Phase 1b of Paxos: a promise with the proposal accepted last.
    Promise {
        /// The acceptor.
        from: u64,
        /// The proposal that it accepted last.
        accepted: AcceptedProposal,
        /// The accepted value, unless the proposer holds it.
        value: Option<Value>,
        /// The versions that were proposed with it in one round, the oldest first.
        #[serde(rename = "before")]
        batch: Vec<Value>,
        /// Recent writes of that value whose clients may retransmit them without a key (design 6.10);
        /// `None`: the acceptor does not know.
        #[serde(default)]
        #[serde(rename = "open")]
        unacknowledged: Option<Vec<UnacknowledgedWrite>>,
    },
    /// Phase 2b of Paxos: the proposal is accepted and on disk.
    Accepted {
        /// The acceptor.
        from: u64,
    },
    /// No promise or acceptance.
    #[serde(rename = "Refused")]
    Rejected {
        /// Why.
        #[serde(rename = "why")]
        reason: Rejection,
        /// The highest ballot that the replica promised.
        promised: Ballot,
    },
    /// Answer to `QueryStatus`.
    #[serde(rename = "State")]
    Status {
        /// The responder.
        from: u64,
        /// Its disk holds no value.
        #[serde(rename = "blank")]
        is_empty: bool,
        /// Number of empty stores with which it bootstraps; 0: it takes no part in that.
        #[serde(rename = "founders")]
        bootstrap_size: usize,
        /// Whether it votes.
        #[serde(rename = "votes")]
        is_voting: bool,
        /// The proposal that it accepted last.
        accepted: Option<AcceptedProposal>,
    },
    /// Answer to `Ping`.
    #[serde(rename = "Alive")]
    Pong {
        /// The responder.
        from: u64,
        /// Whether its disk works.
        #[serde(rename = "is_sound")]
        is_healthy: bool,
    },
    /// Answer to `Fetch`: the version and its ancestors, as far as they are there and fit.
    Fetched(Vec<Value>),
    /// Answer to `Membership`.
    Membership {
        /// The responder.
        from: u64,
        /// Its state.
        #[serde(rename = "shown")]
        snapshot: Box<MembershipSnapshot>,
    },
    /// Answer to an operator's request.
    Outcome(Outcome),
    /// Answer to `Acknowledge`.
    #[serde(rename = "Noted")]
    Acknowledged,
    /// Answer to `ReadIndex`; `None`: no quorum confirmed it.
    #[serde(rename = "Floor")]
    ReadIndex(Option<u64>),
}

/// The outcome of an operator's request.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// Committed, now or by an earlier write under the same key.
    Accepted {
        /// The revision that the write made.
        revision: u64,
        /// The configuration revision at that revision.
        #[serde(rename = "setup_revision")]
        config_revision: u64,
        /// Nothing new was made by this request.
        #[serde(rename = "repeat")]
        is_repeat: bool,
    },
    /// The configuration in force is of another revision than the condition names. Nothing was done.
    Conflict {
        /// The current revision.
        revision: u64,
        /// The current configuration revision.
        #[serde(rename = "setup_revision")]
        config_revision: u64,
    },
    /// The key was used for another content. Nothing was done.
    KeyReused {
        /// The revision that was made under the key.
        revision: u64,
    },
    /// A configuration of another content was accepted under this version. Nothing was done.
    VersionTaken {
        /// The version asked for.
        version: u64,
        /// The highest version accepted so far.
        #[serde(rename = "held")]
        highest: u64,
    },
    /// Nothing was done, and nothing will be.
    #[serde(rename = "NothingDone")]
    NotApplied {
        /// Why, for the operator.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The proposal may or may not be committed later; ask again under the same key.
    Unknown,
    /// A version that was read.
    Value {
        /// The version.
        value: Value,
    },
    /// There is no such revision (any more).
    NoSuchRevision {
        /// The highest committed revision.
        latest: u64,
    },
}
