//! Domain values of the replicated register: ballots, member table, versions of the register's value
//! (design 6.2). They are stored on disk and sent between nodes: the names in `#[serde(rename = "...")]` are
//! the wire names of earlier versions and must stay.

use crate::idempotency::{IdempotencyRecord, KnownWrite, OlderWrites};
use crate::protocol::Change;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use vanepath_cluster::wire::CommittedConfig;

/// SHA-256 digest of a value's encoding.
pub type Digest = [u8; 32];

/// A proposal number (Lamport, Paxos Made Simple, 2001, section 2.2): totally ordered and never used twice,
/// because the proposer's own disk promises it before any other replica is asked.
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
    /// Sequence number; compared before the incarnation.
    pub number: u64,
    /// Incarnation of the proposer's disk.
    pub incarnation: u64,
}

/// The ballot of the bootstrap value, whichever store creates that value. No proposer uses it (design 6.4).
pub const BOOTSTRAP_BALLOT: Ballot = Ballot { number: 1, incarnation: 0 };

/// A store whose disk holds a slot of the member table.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// The store's configured name.
    pub name: String,
    /// The incarnation of the disk that holds the slot.
    pub incarnation: u64,
    /// The store joined after the bootstrap, and votes only once it has caught up from other members.
    #[serde(rename = "admitted")]
    pub joined_later: bool,
}

/// The member slots, in the order of precedence in which their stores propose; `None`: vacant since a rescue
/// (design 6.6).
pub type MemberTable = Vec<Option<Member>>;

/// Identifies one version of the value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct VersionId {
    /// The revision; two versions that were never committed may share one.
    pub revision: u64,
    /// Digest of the version's encoding.
    pub digest: Digest,
}

/// One version of the register's value: configuration, drained zones and member table.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Value {
    /// Consecutive number of the version, from 0 at the bootstrap.
    pub revision: u64,
    /// Revision of the version that this one was derived from.
    pub parent_revision: u64,
    /// Digest of the version that this one was derived from.
    pub parent: Digest,
    /// The revision that last replaced the configuration document.
    #[serde(rename = "setup_revision")]
    pub config_revision: u64,
    /// The highest operator-given version under which a configuration was accepted; 0: none.
    #[serde(rename = "setup_version")]
    pub config_version: u64,
    /// The configuration document, byte for byte as the operator sent it.
    #[serde(with = "serde_bytes")]
    #[serde(rename = "setup")]
    pub document: Vec<u8>,
    /// The drained zones.
    #[serde(rename = "emptied")]
    pub drained_zones: BTreeSet<String>,
    /// Number of drain orders of a zone beyond its first one, as stores of earlier versions counted them. A
    /// drained zone is restored by one order, whatever this number says (design 6.10). Left out if there are
    /// none.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[serde(rename = "further_orders")]
    pub extra_drain_orders: BTreeMap<String, u32>,
    /// The member table.
    #[serde(rename = "seats")]
    pub members: MemberTable,
    /// Number of earlier versions that were proposed in the same round as this one.
    #[serde(rename = "together")]
    pub batched_before: u32,
    /// Full records of the most recent writes, by which retransmissions are recognized.
    #[serde(rename = "keys")]
    pub recent_writes: VecDeque<IdempotencyRecord>,
    /// Compact records of earlier writes under client-given keys; left out if there are none.
    #[serde(default, skip_serializing_if = "OlderWrites::is_empty")]
    #[serde(rename = "older_keys")]
    pub older_writes: OlderWrites,
    /// Content hashes (`Change::content_hash`) of the highest acknowledged configuration versions; left out
    /// if there are none.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[serde(rename = "versions")]
    pub version_hashes: BTreeMap<u64, u64>,
}

/// Number of recent writes with a full record. Writes under registry-generated keys have no other record:
/// they are retransmitted only within the registry's call to the stores, which lasts a few seconds.
pub const MAX_RECENT_WRITES: usize = 256;
/// Number of configuration versions whose content hash is kept; the highest versions are kept.
pub const MAX_VERSION_HASHES: usize = 1024;
/// Number of revisions that stay readable, as far as they fit into `MAX_HISTORY_BYTES`.
pub const HISTORY_LENGTH: usize = 1024;
/// Total size of the version files on a disk, in bytes, above which old versions are removed.
pub const MAX_HISTORY_BYTES: usize = 64 << 20;

impl Value {
    /// The encoding that is stored, sent and hashed.
    pub fn encode(&self) -> Vec<u8> {
        vanepath_cluster::wire::encode(self)
    }

    /// The identity of this version. Encodes the value to compute its digest.
    pub fn id(&self) -> VersionId {
        VersionId { revision: self.revision, digest: digest_of(&self.encode()) }
    }

    /// The version that this one was derived from.
    pub fn parent_id(&self) -> VersionId {
        VersionId { revision: self.parent_revision, digest: self.parent }
    }

    /// Whether this zone is drained.
    pub fn is_drained(&self, zone: &str) -> bool {
        self.drained_zones.contains(zone)
    }

    /// The latest order to drain or restore this zone.
    pub(crate) fn latest_drain_order(&self, zone: &str) -> LatestDrainOrder<'_> {
        let zone = zone.to_string();
        let drain = Change::DrainZone { zone: zone.clone() }.content_hash();
        let restore = Change::RestoreZone { zone }.content_hash();
        let is_order =
            |record: &&IdempotencyRecord| [drain, restore].contains(&record.content_hash);
        match self.recent_writes.iter().rev().find(is_order) {
            Some(record) => LatestDrainOrder::Recorded(record),
            // Before the oldest record there may have been others, which are not kept in full.
            None if self.recent_writes.len() >= MAX_RECENT_WRITES => {
                let oldest = self.recent_writes.front();
                LatestDrainOrder::NoneSince(oldest.map_or(0, |record| record.revision))
            }
            None => LatestDrainOrder::NoneSince(0),
        }
    }

    pub(crate) fn drain(&mut self, zone: &str) {
        self.drained_zones.insert(zone.to_string());
    }

    pub(crate) fn restore(&mut self, zone: &str) {
        self.drained_zones.remove(zone);
        self.extra_drain_orders.remove(zone);
    }

    /// Moves records beyond `MAX_RECENT_WRITES` to the compact records, and drops those under generated keys.
    pub(crate) fn compact_older_writes(&mut self) {
        while self.recent_writes.len() > MAX_RECENT_WRITES {
            let Some(oldest) = self.recent_writes.pop_front() else { return };
            if !oldest.is_generated {
                self.older_writes.push(&oldest);
            }
        }
    }

    /// Records the content hash of a configuration version.
    pub(crate) fn record_version_hash(&mut self, version: u64, content_hash: u64) {
        self.version_hashes.insert(version, content_hash);
        while self.version_hashes.len() > MAX_VERSION_HASHES {
            self.version_hashes.pop_first();
        }
    }

    /// Whether this version is below all recorded ones, so that its content hash may have been dropped.
    pub(crate) fn is_version_hash_dropped(&self, version: u64) -> bool {
        let lowest = self.version_hashes.first_key_value();
        self.version_hashes.len() >= MAX_VERSION_HASHES
            && lowest.is_some_and(|(lowest, _)| version < *lowest)
    }

    /// The write under this idempotency key, if it is still recorded.
    pub fn known_write(&self, key: &str) -> Option<KnownWrite> {
        let recent = self.recent_writes.iter().find(|record| record.key == key);
        recent.map(KnownWrite::of).or_else(|| self.older_writes.find(key))
    }

    /// The part of this version that is gossiped to all nodes once it is committed.
    pub fn committed_config(&self) -> CommittedConfig {
        CommittedConfig {
            revision: self.revision,
            config_revision: self.config_revision,
            config_version: self.config_version,
            document: self.document.clone(),
            drained_zones: self.drained_zones.clone(),
            extra_drain_orders: self.extra_drain_orders.clone(),
        }
    }
}

/// What a value knows of the latest order to drain or restore a zone.
pub(crate) enum LatestDrainOrder<'v> {
    /// The order.
    Recorded(&'v IdempotencyRecord),
    /// There was none after this revision.
    NoneSince(u64),
}

/// The digest of a value's encoding.
pub fn digest_of(encoded: &[u8]) -> Digest {
    vanepath_config::digest(&[b"vanepath value", encoded])
}

/// The proposal that an acceptor accepted last; its value is stored separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AcceptedProposal {
    /// The ballot under which it was accepted.
    pub ballot: Ballot,
    /// The value's revision.
    pub revision: u64,
    /// The value's digest.
    pub digest: Digest,
}

impl AcceptedProposal {
    /// Order of proposals: by ballot, and within one ballot by revision, since a proposer may propose further
    /// versions under its ballot without a new prepare phase.
    pub fn rank(&self) -> (Ballot, u64) {
        (self.ballot, self.revision)
    }

    /// The identity of the accepted version.
    pub fn version(&self) -> VersionId {
        VersionId { revision: self.revision, digest: self.digest }
    }
}
