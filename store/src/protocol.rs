//! What stores say to each other and to registries (design 6.2).

pub type Digest = [u8; 32];

/// Ballots are ordered and never used twice: the proposer's own disk promised it first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Ballot {
    pub number: u64,
    /// Of the proposer's disk.
    pub incarnation: u64,
}

/// The ballot of the genesis value, whoever makes it: no proposer ever has it (design 6.4).
pub const BOOTSTRAP_BALLOT: Ballot = Ballot { number: 1, incarnation: 0 };

#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// The store's.
    pub name: String,
    /// The incarnation of the disk that holds the seat.
    pub incarnation: u64,
    /// Came after genesis: votes only once it has caught up from the others.
    #[serde(rename = "admitted")]
    pub joined_later: bool,
}

/// The seats in the order in which stores propose; `None`: vacant since a rescue.
pub type MemberTable = Vec<Option<Member>>;

pub fn slot_of(seats: &MemberTable, incarnation: u64) -> Option<usize> {
    seats.iter().position(|seat| seat.as_ref().is_some_and(|one| one.incarnation == incarnation))
}

/// The incarnations that hold seats.
pub fn member_incarnations(seats: &MemberTable) -> impl Iterator<Item = u64> {
    seats.iter().flatten().map(|holder| holder.incarnation)
}

/// So many holders are a majority.
pub fn quorum_size(seats: &MemberTable) -> usize {
    member_incarnations(seats).count() / 2 + 1
}

/// One version of the operator's word.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Value {
    pub revision: u64,
    pub parent_revision: u64,
    pub parent: Digest,
    #[serde(rename = "setup_revision")]
    pub config_revision: u64,
    /// The highest version that a setup was taken under; 0: none.
    #[serde(rename = "setup_version")]
    pub config_version: u64,
    #[serde(with = "serde_bytes")]
    #[serde(rename = "setup")]
    pub document: Vec<u8>,
    #[serde(rename = "emptied")]
    pub drained_zones: std::collections::BTreeSet<String>,
    /// Orders to empty a zone that stand beside its first one (design 6.10); left out where there are
    /// none, so that values written before there was a count read, and digest, as they were.
    #[serde(default, skip_serializing_if = "std::collections::BTreeMap::is_empty")]
    #[serde(rename = "further_orders")]
    pub extra_drain_orders: std::collections::BTreeMap<String, u32>,
    #[serde(rename = "seats")]
    pub members: MemberTable,
    /// So many versions before this one were proposed together with it, in one round.
    #[serde(rename = "together")]
    pub batched_before: u32,
    /// The submissions behind the last writes, so that a repeat is known as one.
    #[serde(rename = "keys")]
    pub recent_writes: std::collections::VecDeque<IdempotencyRecord>,
    /// Those before them whose keys are their callers', in short; left out where there are none, as above.
    #[serde(default, skip_serializing_if = "crate::idempotency::OlderWrites::is_empty")]
    #[serde(rename = "older_keys")]
    pub older_writes: crate::idempotency::OlderWrites,
    /// What the highest versions that were acknowledged say, as `Change::matter` tells it; left out where there
    /// are none, as above.
    #[serde(default, skip_serializing_if = "std::collections::BTreeMap::is_empty")]
    #[serde(rename = "versions")]
    pub version_hashes: std::collections::BTreeMap<u64, u64>,
}

/// The key of a write, what it asked for (by digest) and the revision that it made.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct IdempotencyRecord {
    pub key: String,
    #[serde(rename = "matter")]
    pub content_hash: u64,
    pub revision: u64,
    #[serde(rename = "setup_revision")]
    pub config_revision: u64,
    /// A registry made the key: nobody else knows it.
    #[serde(default, skip_serializing_if = "is_false")]
    #[serde(rename = "is_made")]
    pub is_generated: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// So many of the last writes are known with all that was submitted. Under a key that a registry made a
/// repeat comes within that registry's call at the stores, of a few seconds.
pub const MAX_RECENT_WRITES: usize = 256;
/// Of so many of the highest versions the content is known.
pub const MAX_VERSION_HASHES: usize = 1024;
/// Orders to empty one zone that may stand at one time.
pub const MAX_DRAIN_ORDERS: u32 = 1000;
/// So many revisions stay readable, as long as they fit.
pub const HISTORY_LENGTH: usize = 1024;
/// So many bytes of versions a disk holds before old ones go.
pub const MAX_HISTORY_BYTES: usize = 64 << 20;

impl Value {
    pub fn encode(&self) -> Vec<u8> {
        vanepath_cluster::wire::encode(self)
    }

    /// So many orders to empty this zone stand.
    pub fn drain_orders(&self, zone: &str) -> u32 {
        match self.drained_zones.contains(zone) {
            true => {
                self.extra_drain_orders.get(zone).map_or(1, |further| further.saturating_add(1))
            }
            false => 0,
        }
    }

    pub(crate) fn set_drain_orders(&mut self, zone: &str, orders: u32) {
        self.extra_drain_orders.remove(zone);
        if orders == 0 {
            self.drained_zones.remove(zone);
            return;
        }
        self.drained_zones.insert(zone.to_string());
        if orders > 1 {
            self.extra_drain_orders.insert(zone.to_string(), orders - 1);
        }
    }

    /// Of the writes beyond the last ones those are kept, in short, whose keys are their callers'.
    pub(crate) fn compact_older_writes(&mut self) {
        while self.recent_writes.len() > MAX_RECENT_WRITES {
            let Some(oldest) = self.recent_writes.pop_front() else { return };
            if !oldest.is_generated {
                self.older_writes.push(&oldest);
            }
        }
    }

    /// What this version says is known from here on.
    pub(crate) fn note_version(&mut self, version: u64, matter: u64) {
        self.version_hashes.insert(version, matter);
        while self.version_hashes.len() > MAX_VERSION_HASHES {
            self.version_hashes.pop_first();
        }
    }

    /// It remembers as many versions as it may, and this one lies below them all.
    pub(crate) fn knows_no_version_below(&self, version: u64) -> bool {
        let lowest = self.version_hashes.first_key_value();
        self.version_hashes.len() >= MAX_VERSION_HASHES
            && lowest.is_some_and(|(lowest, _)| version < *lowest)
    }

    /// The write that was submitted under this key, if it is known still.
    pub fn known_write(&self, key: &str) -> Option<crate::idempotency::KnownWrite> {
        let recent = self.recent_writes.iter().find(|one| one.key == key);
        recent.map(crate::idempotency::KnownWrite::of).or_else(|| self.older_writes.find(key))
    }

    pub fn committed_config(&self) -> vanepath_cluster::wire::CommittedConfig {
        vanepath_cluster::wire::CommittedConfig {
            revision: self.revision,
            config_revision: self.config_revision,
            config_version: self.config_version,
            document: self.document.clone(),
            drained_zones: self.drained_zones.clone(),
            extra_drain_orders: self.extra_drain_orders.clone(),
        }
    }
}

pub fn digest_of(encoded: &[u8]) -> Digest {
    vanepath_config::digest(&[b"vanepath value", encoded])
}

/// What a copy has accepted; the bytes are apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AcceptedProposal {
    pub ballot: Ballot,
    pub revision: u64,
    pub digest: Digest,
}

impl AcceptedProposal {
    pub fn rank(&self) -> (Ballot, u64) {
        (self.ballot, self.revision)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Change {
    #[serde(rename = "Setup")]
    ReplaceConfig {
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
        /// Only if the setup in force is still of this revision.
        if_revision: Option<u64>,
        /// Only if it is above the version held; else this is a repeat.
        version: Option<u64>,
    },
    #[serde(rename = "Empty")]
    DrainZone { zone: String },
    #[serde(rename = "Return")]
    RestoreZone { zone: String },
}

impl Change {
    /// What it asks for, without the condition.
    pub fn content_hash(&self) -> u64 {
        let digest = match self {
            Change::ReplaceConfig { bytes, .. } => vanepath_config::digest(&[b"setup", bytes]),
            Change::DrainZone { zone } => vanepath_config::digest(&[b"empty", zone.as_bytes()]),
            Change::RestoreZone { zone } => vanepath_config::digest(&[b"return", zone.as_bytes()]),
        };
        u64::from_be_bytes(digest[..8].try_into().expect("eight bytes"))
    }
}

/// What a copy shows of the table of seats, and to who holds a seat in it all that it accepted.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct MembershipSnapshot {
    pub promised: Ballot,
    pub accepted: AcceptedProposal,
    #[serde(rename = "seats")]
    pub members: MemberTable,
    pub value: Option<Value>,
    #[serde(rename = "before")]
    pub batch: Vec<Value>,
}

/// `from` is the incarnation of the asker's, or the teller's, disk.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Request {
    Prepare {
        from: u64,
        ballot: Ballot,
        #[serde(rename = "has")]
        known_digest: Option<Digest>,
    },
    /// `before`: the versions that were proposed together with it, the oldest first.
    Accept {
        from: u64,
        ballot: Ballot,
        value: Value,
        #[serde(rename = "before")]
        batch: Vec<Value>,
    },
    #[serde(rename = "Query")]
    QueryStatus,
    /// Whether the holder of a seat is still there, before its seat is given to another.
    #[serde(rename = "Alive")]
    Ping,
    /// A version and what comes before it.
    Fetch {
        revision: u64,
        digest: Digest,
    },
    Membership {
        from: u64,
        wants_value: bool,
    },
    /// `unnamed_for`: its caller gave no key (the registry made this one), and the registry has had the
    /// call for so long (design 6.10). `None`: the key is the caller's.
    Change {
        key: String,
        change: Change,
        #[serde(default)]
        #[serde(rename = "unnamed_for")]
        keyless_for: Option<std::time::Duration>,
    },
    Read,
    History {
        revision: u64,
    },
    /// The caller of the change that made this revision, or was told it, surely has its receipt.
    #[serde(rename = "Answered")]
    Acknowledge {
        #[serde(rename = "matter")]
        content_hash: u64,
        revision: u64,
    },
    /// The highest revision chosen so far, by a round that begins after this was asked (design 5.8).
    #[serde(rename = "Floor")]
    ReadIndex,
}

#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Rejection {
    /// A higher ballot was promised.
    #[serde(rename = "Outbid")]
    Preempted,
    /// This copy has nothing yet, or its disk failed: it does not vote.
    #[serde(rename = "NoVote")]
    NotVoting,
    /// The asker's disk does not hold its seat (any more).
    #[serde(rename = "Unseated")]
    NotAMember,
}

#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Response {
    Promise {
        from: u64,
        accepted: AcceptedProposal,
        value: Option<Value>,
        #[serde(rename = "before")]
        batch: Vec<Value>,
        /// Of the keys of that value those whose callers may send the same again without a key, with their
        /// ages in ms (design 6.10); `None`: the teller knows nothing of that.
        #[serde(default)]
        #[serde(rename = "open")]
        unacknowledged: Option<Vec<(String, u32)>>,
    },
    Accepted {
        from: u64,
    },
    #[serde(rename = "Refused")]
    Rejected {
        #[serde(rename = "why")]
        reason: Rejection,
        promised: Ballot,
    },
    /// `founders`: of how many empty stores it would begin a word; 0: it takes no part in that.
    #[serde(rename = "State")]
    Status {
        from: u64,
        #[serde(rename = "blank")]
        is_empty: bool,
        #[serde(rename = "founders")]
        bootstrap_size: usize,
        #[serde(rename = "votes")]
        is_voting: bool,
        accepted: Option<AcceptedProposal>,
    },
    #[serde(rename = "Alive")]
    Pong {
        from: u64,
        #[serde(rename = "is_sound")]
        is_healthy: bool,
    },
    Fetched(Vec<Value>),
    Membership {
        from: u64,
        shown: Box<MembershipSnapshot>,
    },
    Outcome(Outcome),
    /// Heard; there is nothing to tell.
    #[serde(rename = "Noted")]
    Acknowledged,
    /// `None`: it cannot tell.
    #[serde(rename = "Floor")]
    ReadIndex(Option<u64>),
}

/// What a registry hears back.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// In force, now or by an earlier submission under the same key.
    Accepted {
        revision: u64,
        #[serde(rename = "setup_revision")]
        config_revision: u64,
        #[serde(rename = "repeat")]
        is_repeat: bool,
    },
    /// The setup is not of the revision asked for. Nothing was done.
    Conflict {
        revision: u64,
        #[serde(rename = "setup_revision")]
        config_revision: u64,
    },
    /// The key was used for something else. Nothing was done.
    KeyReused {
        revision: u64,
    },
    /// A setup of another content was taken under this version; the highest one taken is `held`.
    /// Nothing was done.
    VersionTaken {
        version: u64,
        #[serde(rename = "held")]
        highest: u64,
    },
    /// Nothing was done, and nothing will be.
    #[serde(rename = "NothingDone")]
    NotApplied {
        #[serde(rename = "why")]
        reason: String,
    },
    /// Cannot be told from here; ask again under the same key.
    Unknown,
    Value {
        value: Value,
    },
    NoSuchRevision {
        latest: u64,
    },
}
