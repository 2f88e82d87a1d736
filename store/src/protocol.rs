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
pub const GENESIS: Ballot = Ballot { number: 1, incarnation: 0 };

#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Holder {
    /// The store's.
    pub name: String,
    /// The incarnation of the disk that holds the seat.
    pub incarnation: u64,
    /// Came after genesis: votes only once it has caught up from the others.
    pub admitted: bool,
}

/// The seats in the order in which stores propose; `None`: vacant since a rescue.
pub type Seats = Vec<Option<Holder>>;

pub fn seat_of(seats: &Seats, incarnation: u64) -> Option<usize> {
    seats.iter().position(|seat| seat.as_ref().is_some_and(|one| one.incarnation == incarnation))
}

/// The incarnations that hold seats.
pub fn holders(seats: &Seats) -> impl Iterator<Item = u64> {
    seats.iter().flatten().map(|holder| holder.incarnation)
}

/// So many holders are a majority.
pub fn quorum(seats: &Seats) -> usize {
    holders(seats).count() / 2 + 1
}

/// One version of the operator's word.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Value {
    pub revision: u64,
    pub parent_revision: u64,
    pub parent: Digest,
    pub setup_revision: u64,
    /// The highest version that a setup was taken under; 0: none.
    pub setup_version: u64,
    #[serde(with = "serde_bytes")]
    pub setup: Vec<u8>,
    pub emptied: std::collections::BTreeSet<String>,
    /// Orders to empty a zone that stand beside its first one (design 6.10); left out where there are
    /// none, so that values written before there was a count read, and digest, as they were.
    #[serde(default, skip_serializing_if = "std::collections::BTreeMap::is_empty")]
    pub further_orders: std::collections::BTreeMap<String, u32>,
    pub seats: Seats,
    /// So many versions before this one were proposed together with it, in one round.
    pub together: u32,
    /// The submissions behind the last writes, so that a repeat is known as one.
    pub keys: std::collections::VecDeque<Submission>,
    /// Those before them whose keys are their callers', in short; left out where there are none, as above.
    #[serde(default, skip_serializing_if = "crate::idempotency::OlderKeys::is_empty")]
    pub older_keys: crate::idempotency::OlderKeys,
    /// What the highest versions that were acknowledged say, as `Change::matter` tells it; left out where there
    /// are none, as above.
    #[serde(default, skip_serializing_if = "std::collections::BTreeMap::is_empty")]
    pub versions: std::collections::BTreeMap<u64, u64>,
}

/// The key of a write, what it asked for (by digest) and the revision that it made.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Submission {
    pub key: String,
    pub matter: u64,
    pub revision: u64,
    pub setup_revision: u64,
    /// A registry made the key: nobody else knows it.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_made: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// So many of the last writes are known with all that was submitted. Under a key that a registry made a
/// repeat comes within that registry's call at the stores, of a few seconds.
pub const KEYS_MOST: usize = 256;
/// Of so many of the highest versions the content is known.
pub const VERSIONS_MOST: usize = 1024;
/// Orders to empty one zone that may stand at one time.
pub const ORDERS_MOST: u32 = 1000;
/// So many revisions stay readable, as long as they fit.
pub const HISTORY: usize = 1024;
/// So many bytes of versions a disk holds before old ones go.
pub const HISTORY_BYTES_MOST: usize = 64 << 20;

impl Value {
    pub fn encode(&self) -> Vec<u8> {
        vanepath_cluster::wire::encode(self)
    }

    /// So many orders to empty this zone stand.
    pub fn orders(&self, zone: &str) -> u32 {
        match self.emptied.contains(zone) {
            true => self.further_orders.get(zone).map_or(1, |further| further.saturating_add(1)),
            false => 0,
        }
    }

    pub(crate) fn set_orders(&mut self, zone: &str, orders: u32) {
        self.further_orders.remove(zone);
        if orders == 0 {
            self.emptied.remove(zone);
            return;
        }
        self.emptied.insert(zone.to_string());
        if orders > 1 {
            self.further_orders.insert(zone.to_string(), orders - 1);
        }
    }

    /// Of the writes beyond the last ones those are kept, in short, whose keys are their callers'.
    pub(crate) fn shorten_old_keys(&mut self) {
        while self.keys.len() > KEYS_MOST {
            let Some(oldest) = self.keys.pop_front() else { return };
            if !oldest.is_made {
                self.older_keys.push(&oldest);
            }
        }
    }

    /// What this version says is known from here on.
    pub(crate) fn take_version(&mut self, version: u64, matter: u64) {
        self.versions.insert(version, matter);
        while self.versions.len() > VERSIONS_MOST {
            self.versions.pop_first();
        }
    }

    /// It remembers as many versions as it may, and this one lies below them all.
    pub(crate) fn knows_no_version_below(&self, version: u64) -> bool {
        let lowest = self.versions.first_key_value();
        self.versions.len() >= VERSIONS_MOST && lowest.is_some_and(|(lowest, _)| version < *lowest)
    }

    /// The write that was submitted under this key, if it is known still.
    pub fn submission(&self, key: &str) -> Option<crate::idempotency::Known> {
        let recent = self.keys.iter().find(|one| one.key == key);
        recent.map(crate::idempotency::Known::of).or_else(|| self.older_keys.find(key))
    }

    pub fn word(&self) -> vanepath_cluster::wire::CommittedConfig {
        vanepath_cluster::wire::CommittedConfig {
            revision: self.revision,
            config_revision: self.setup_revision,
            config_version: self.setup_version,
            document: self.setup.clone(),
            drained_zones: self.emptied.clone(),
            extra_drain_orders: self.further_orders.clone(),
        }
    }
}

pub fn digest_of(encoded: &[u8]) -> Digest {
    vanepath_config::digest(&[b"vanepath value", encoded])
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
        /// Only if it is above the version held; else this is a repeat.
        version: Option<u64>,
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
            Change::Setup { bytes, .. } => vanepath_config::digest(&[b"setup", bytes]),
            Change::Empty { zone } => vanepath_config::digest(&[b"empty", zone.as_bytes()]),
            Change::Return { zone } => vanepath_config::digest(&[b"return", zone.as_bytes()]),
        };
        u64::from_be_bytes(digest[..8].try_into().expect("eight bytes"))
    }
}

/// What a copy shows of the table of seats, and to who holds a seat in it all that it accepted.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Membership {
    pub promised: Ballot,
    pub accepted: Meta,
    pub seats: Seats,
    pub value: Option<Value>,
    pub before: Vec<Value>,
}

/// `from` is the incarnation of the asker's, or the teller's, disk.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Ask {
    Prepare {
        from: u64,
        ballot: Ballot,
        has: Option<Digest>,
    },
    /// `before`: the versions that were proposed together with it, the oldest first.
    Accept {
        from: u64,
        ballot: Ballot,
        value: Value,
        before: Vec<Value>,
    },
    Query,
    /// Whether the holder of a seat is still there, before its seat is given to another.
    Alive,
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
        unnamed_for: Option<std::time::Duration>,
    },
    Read,
    History {
        revision: u64,
    },
    /// The caller of the change that made this revision, or was told it, surely has its receipt.
    Answered {
        matter: u64,
        revision: u64,
    },
    /// The highest revision chosen so far, by a round that begins after this was asked (design 5.8).
    Floor,
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
    Promise {
        from: u64,
        accepted: Meta,
        value: Option<Value>,
        before: Vec<Value>,
        /// Of the keys of that value those whose callers may send the same again without a key, with their
        /// ages in ms (design 6.10); `None`: the teller knows nothing of that.
        #[serde(default)]
        open: Option<Vec<(String, u32)>>,
    },
    Accepted {
        from: u64,
    },
    Refused {
        why: Refusal,
        promised: Ballot,
    },
    /// `founders`: of how many empty stores it would begin a word; 0: it takes no part in that.
    State {
        from: u64,
        blank: bool,
        founders: usize,
        votes: bool,
        accepted: Option<Meta>,
    },
    Alive {
        from: u64,
        is_sound: bool,
    },
    Fetched(Vec<Value>),
    Membership {
        from: u64,
        shown: Box<Membership>,
    },
    Outcome(Outcome),
    /// Heard; there is nothing to tell.
    Noted,
    /// `None`: it cannot tell.
    Floor(Option<u64>),
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
    /// A setup of another content was taken under this version; the highest one taken is `held`.
    /// Nothing was done.
    VersionTaken {
        version: u64,
        held: u64,
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
