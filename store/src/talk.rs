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
    pub seat: u8,
    pub incarnation: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Holder {
    /// The incarnation of the disk that holds the seat.
    pub incarnation: u64,
    /// Came after genesis: may vote only once it has caught up from all other holders.
    pub admitted: bool,
}

pub type Seats = [Option<Holder>; 3];

/// One version of the operator's word.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Value {
    pub revision: u64,
    pub parent_revision: u64,
    pub parent: Digest,
    pub setup_revision: u64,
    #[serde(with = "serde_bytes")]
    pub setup: Vec<u8>,
    pub emptied: std::collections::BTreeSet<String>,
    pub seats: Seats,
    /// The submissions behind the last writes, so that a repeat is known as one.
    pub keys: std::collections::VecDeque<Submission>,
}

/// The key of a write, what it asked for (by digest) and the revision that it made.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Submission {
    pub key: String,
    pub matter: u64,
    pub revision: u64,
    pub setup_revision: u64,
}

/// A repeat is known among so many of the last writes.
pub const KEYS_MOST: usize = 256;
/// So many revisions stay readable.
pub const HISTORY: usize = 1024;

impl Value {
    pub fn encode(&self) -> Vec<u8> {
        vanepath_sibling::wire::encode(self)
    }

    pub fn word(&self) -> vanepath_sibling::wire::Word {
        vanepath_sibling::wire::Word {
            revision: self.revision,
            setup_revision: self.setup_revision,
            setup: self.setup.clone(),
            emptied: self.emptied.clone(),
        }
    }
}

pub fn digest_of(encoded: &[u8]) -> Digest {
    vanepath_setup::digest(&[b"vanepath value", encoded])
}

/// What a copy has accepted; the bytes are apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Meta {
    pub ballot: Ballot,
    pub revision: u64,
    pub digest: Digest,
}

impl Meta {
    pub fn rank(&self) -> (Ballot, u64) {
        (self.ballot, self.revision)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Change {
    Setup {
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
        /// Only if the setup in force is still of this revision.
        if_revision: Option<u64>,
    },
    Empty {
        zone: String,
    },
    Return {
        zone: String,
    },
}

impl Change {
    /// What it asks for, without the condition.
    pub fn matter(&self) -> u64 {
        let digest = match self {
            Change::Setup { bytes, .. } => vanepath_setup::digest(&[b"setup", bytes]),
            Change::Empty { zone } => vanepath_setup::digest(&[b"empty", zone.as_bytes()]),
            Change::Return { zone } => vanepath_setup::digest(&[b"return", zone.as_bytes()]),
        };
        u64::from_be_bytes(digest[..8].try_into().expect("eight bytes"))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct From {
    pub seat: u8,
    pub incarnation: u64,
}

#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Ask {
    Prepare {
        from: From,
        ballot: Ballot,
        has: Option<Digest>,
    },
    Accept {
        from: From,
        ballot: Ballot,
        value: Value,
    },
    Query,
    /// A version and what comes before it.
    Fetch {
        revision: u64,
        digest: Digest,
    },
    Admit {
        from: From,
    },
    Change {
        key: String,
        change: Change,
    },
    Read,
    History {
        revision: u64,
    },
}

#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// A higher ballot was promised.
    Outbid,
    /// This copy has nothing yet, or its disk failed: it does not vote.
    NoVote,
    /// The asker's disk does not hold its seat (any more).
    Unseated,
}

#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Tell {
    Promise { from: From, accepted: Meta, value: Option<Value> },
    Accepted { from: From },
    Refused { why: Refusal, promised: Ballot },
    State { from: From, blank: bool, votes: bool, promised: Ballot, accepted: Option<Meta> },
    Fetched(Vec<Value>),
    Admitted { promised: Ballot, accepted: Meta, value: Value },
    NotAdmitted,
    Outcome(Outcome),
}

/// What a registry hears back.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// In force, now or by an earlier submission under the same key.
    Accepted {
        revision: u64,
        setup_revision: u64,
        repeat: bool,
    },
    /// The setup is not of the revision asked for. Nothing was done.
    Conflict {
        revision: u64,
        setup_revision: u64,
    },
    /// The key was used for something else. Nothing was done.
    KeyReused {
        revision: u64,
    },
    /// Nothing was done, and nothing will be.
    NothingDone {
        why: String,
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
