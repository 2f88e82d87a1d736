//! Inputs and outputs of the state machine, and what it keeps on disk.

use crate::protocol::{Request, Response};
use crate::value::{AcceptedProposal, Ballot, Value, VersionId};
use std::sync::Arc;

/// What an acceptor must not forget, in the state file. The field names are serialized.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HardState {
    /// Random number of this disk; a new one whenever its contents are lost.
    pub incarnation: u64,
    /// The highest ballot that was promised.
    pub promised: Ballot,
    /// The proposal that was accepted last.
    pub accepted: Option<AcceptedProposal>,
}

impl HardState {
    /// The state of an empty disk.
    pub fn empty(incarnation: u64) -> HardState {
        HardState { incarnation, promised: Ballot::default(), accepted: None }
    }
}

/// One readable version file.
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
    /// The entry of a value with this encoding.
    pub fn new(id: VersionId, value: &Value, bytes: usize) -> StoredVersion {
        StoredVersion { id, parent: value.parent_id(), bytes }
    }
}

/// What was read from the disk at the start.
pub struct RecoveredState {
    /// The state file.
    pub state: HardState,
    /// The accepted value, if its file is intact.
    pub value: Option<Arc<Value>>,
    /// The versions that were proposed with it in one round, as far as their files are intact.
    pub batch: Vec<Arc<Value>>,
    /// All version files that are intact.
    pub versions: Vec<StoredVersion>,
}

impl RecoveredState {
    /// What an empty disk holds.
    pub fn empty(incarnation: u64) -> RecoveredState {
        let state = HardState::empty(incarnation);
        RecoveredState { state, value: None, batch: Vec::new(), versions: Vec::new() }
    }

    /// Reads a value's batch through `load`: the ancestors that were proposed with it in one round, the
    /// oldest first, as far as `load` finds them.
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

/// A store's own settings as the state machine needs them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    /// The store's configured name.
    pub name: String,
    /// Number of empty stores that bootstrap together; 0: this one takes no part in that.
    pub bootstrap_size: usize,
}

/// A live store as gossip reports it; its slot is found in the member table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveStore {
    /// The store's configured name.
    pub name: String,
    /// Incarnation of its disk.
    pub incarnation: u64,
    /// Its disk holds no value.
    pub is_empty: bool,
    /// It is empty and may take part in the bootstrap.
    pub may_bootstrap: bool,
}

/// An input of the state machine.
pub enum Event {
    /// Time has passed; sent every 50 ms.
    Tick,
    /// Another store or a registry asks something; answered by an effect with the same ticket.
    RequestReceived {
        /// Identifies the request to the shell.
        ticket: u64,
        /// The request.
        request: Request,
    },
    /// The call that `Effect::Send` began has ended.
    ResponseReceived {
        /// The call's number.
        call: u64,
        /// `None`: no response.
        response: Option<Response>,
    },
    /// Live stores by gossip, this one included.
    LiveStores(Vec<LiveStore>),
    /// The highest committed revision that gossip has heard of.
    RevisionHeard {
        /// The revision.
        revision: u64,
    },
    /// The disk refused a write or a sync: this replica must not vote any more.
    DiskFailed,
    /// The disk works again and holds this: the replica goes on as after a restart (design 6.7).
    DiskRecovered(RecoveredState),
    /// The disk is empty under a new incarnation, as `Effect::Reset` asked.
    Reset(RecoveredState),
    /// A version file turned out damaged.
    VersionDamaged(VersionId),
}

/// An output of the state machine, to be carried out in order.
#[derive(Debug)]
pub enum Effect {
    /// Write and sync; later effects must wait until it is durable.
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
    /// Answer a request.
    Reply {
        /// The request's ticket.
        ticket: u64,
        /// The response.
        response: Response,
    },
    /// Answer a request from version files: with `Fetched` or, for an operator, with an outcome.
    ReplyFromDisk {
        /// The request's ticket.
        ticket: u64,
        /// The versions to read.
        versions: Vec<VersionId>,
        /// Whether an operator asked.
        as_outcome: bool,
    },
    /// This version is committed (chosen, in Paxos' terms): announce it.
    Committed(Arc<Value>),
    /// This disk's slot was given to another disk: take a new incarnation and remove the old files;
    /// `Event::Reset` follows once that is durable (design 6.5).
    Reset,
    /// A line for the log.
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
