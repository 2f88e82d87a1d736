//! Inputs and outputs of the state machine, and the state that it keeps on disk.

use crate::protocol::{Request, Response};
use crate::value::{AcceptedProposal, Ballot, Value, VersionId};
use std::sync::Arc;
use std::time::Duration;

/// The state that an acceptor must keep across restarts, stored in the state file. The field names are
/// serialized.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HardState {
    /// Random number that identifies this disk; replaced whenever the disk's contents are lost.
    pub incarnation: u64,
    /// The highest promised ballot.
    pub promised: Ballot,
    /// The proposal accepted last.
    pub accepted: Option<AcceptedProposal>,
}

impl HardState {
    /// The state of an empty disk.
    pub fn empty(incarnation: u64) -> HardState {
        HardState { incarnation, promised: Ballot::default(), accepted: None }
    }
}

/// An intact version file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredVersion {
    /// The version.
    pub id: VersionId,
    /// The version that it was derived from.
    pub parent: VersionId,
    /// Size of its encoding in bytes.
    pub bytes: usize,
}

impl StoredVersion {
    /// The entry for a value whose encoding has this size.
    pub fn new(id: VersionId, value: &Value, bytes: usize) -> StoredVersion {
        StoredVersion { id, parent: value.parent_id(), bytes }
    }
}

/// State loaded from the disk at start-up, after a disk failure or after a reset.
pub struct RecoveredState {
    /// The hard state.
    pub state: HardState,
    /// The accepted value, if its file is intact.
    pub value: Option<Arc<Value>>,
    /// The earlier versions that were proposed with it in the same round, oldest first, as far as their files
    /// are intact.
    pub batch: Vec<Arc<Value>>,
    /// All version files that are intact.
    pub versions: Vec<StoredVersion>,
}

impl RecoveredState {
    /// The state of an empty disk.
    pub fn empty(incarnation: u64) -> RecoveredState {
        let state = HardState::empty(incarnation);
        RecoveredState { state, value: None, batch: Vec::new(), versions: Vec::new() }
    }

    /// Loads a value's batch with `load`: the ancestors that were proposed with it in the same round, oldest
    /// first, as far as `load` finds them.
    pub fn load_batch(
        value: &Value,
        load: impl Fn(VersionId) -> Option<Arc<Value>>,
    ) -> Vec<Arc<Value>> {
        let mut batch = Vec::new();
        let mut next = value.parent_id();
        for _ in 0..value.batched_before {
            let Some(ancestor) = load(next) else { break };
            next = ancestor.parent_id();
            batch.insert(0, ancestor);
        }
        batch
    }
}

/// The settings of a store that the state machine uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    /// The store's configured name.
    pub name: String,
    /// Number of empty stores that bootstrap together; 0: this store takes no part in a bootstrap.
    pub bootstrap_size: usize,
}

/// A live store as reported by gossip. Its slot is looked up in the member table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveStore {
    /// The store's configured name.
    pub name: String,
    /// Incarnation of the store's disk.
    pub incarnation: u64,
    /// Whether the disk holds no value.
    pub is_empty: bool,
    /// Whether the store is empty and may take part in a bootstrap.
    pub may_bootstrap: bool,
}

/// An input of the state machine.
pub enum Event {
    /// Time has passed; delivered every 50 ms.
    Tick,
    /// A request from another store or from a registry; answered by an effect with the same ticket.
    RequestReceived {
        /// Number by which the shell identifies the request.
        ticket: u64,
        /// The request.
        request: Request,
    },
    /// A call started by `Effect::Send` has ended.
    ResponseReceived {
        /// The call's number.
        call: u64,
        /// `None`: no response arrived.
        response: Option<Response>,
    },
    /// The live stores according to gossip, including this one.
    LiveStores(Vec<LiveStore>),
    /// The highest committed revision known from gossip.
    RevisionHeard {
        /// The revision.
        revision: u64,
    },
    /// Whether nodes rely on a lease on the configuration, which needs periodic quorum reads.
    LeaseWanted(bool),
    /// A write or a sync failed: this replica must stop voting.
    DiskFailed,
    /// The disk works again, with this state: the replica continues as after a restart (design 6.7).
    DiskRecovered(RecoveredState),
    /// The disk was reset to an empty one under a new incarnation, as requested by `Effect::Reset`.
    Reset(RecoveredState),
    /// A version file was found damaged.
    VersionDamaged(VersionId),
}

/// An output of the state machine, to be carried out in order.
#[derive(Debug)]
pub enum Effect {
    /// Write and sync; later effects must wait until the writes are durable.
    Persist(Vec<DiskWrite>),
    /// Send a request to the store whose disk has this incarnation.
    Send {
        /// The call's number.
        call: u64,
        /// The target.
        incarnation: u64,
        /// The request.
        request: Request,
    },
    /// Reply to a request.
    Reply {
        /// The request's ticket.
        ticket: u64,
        /// The response.
        response: Response,
    },
    /// Reply to a request from version files: with `Response::Fetched` or, for an operator, with an outcome.
    ReplyFromDisk {
        /// The request's ticket.
        ticket: u64,
        /// The versions to read.
        versions: Vec<VersionId>,
        /// Whether the reply is an outcome for an operator.
        as_outcome: bool,
    },
    /// This version is committed (chosen, in Paxos' terms): announce it to the other nodes.
    Committed(Arc<Value>),
    /// A quorum has shown that nothing newer than this revision was committed before `began_at`.
    Confirmed {
        /// The revision.
        revision: u64,
        /// When the read or proposal began that showed this, on this replica's clock.
        began_at: Duration,
    },
    /// This disk's slot was given to another disk: assign a new incarnation and remove the old files.
    /// `Event::Reset` must follow once that is durable (design 6.5).
    Reset,
    /// Write a line to the log.
    Log(String),
}

impl Effect {
    pub(super) fn log(text: impl Into<String>) -> Effect {
        Effect::Log(text.into())
    }
}

/// One write to the disk.
#[derive(Debug)]
pub enum DiskWrite {
    /// Write a version file.
    Version {
        /// The version.
        id: VersionId,
        /// Its encoding.
        bytes: Vec<u8>,
    },
    /// Replace the state file.
    State(HardState),
    /// Remove a version file.
    Remove(VersionId),
}
