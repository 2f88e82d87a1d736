//! The versions on disk: the chain of ancestors that stays readable, pruning, and fetching of missing
//! versions (design 6.1).

use super::event::{DiskWrite, Effect, StoredVersion};
use super::replica::{BackgroundCall, Replica};
use crate::protocol::{Outcome, Response};
use crate::value::{Digest, HISTORY_LENGTH, MAX_HISTORY_BYTES, Value, VersionId, digest_of};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Total size of a version and its ancestors, in bytes, beyond which older ancestors are removed once the
/// disk holds more than `MAX_HISTORY_BYTES`.
const MAX_CHAIN_BYTES: usize = MAX_HISTORY_BYTES / 4 * 3;
/// Number of versions beyond `HISTORY_LENGTH` above which pruning starts.
const PRUNE_SLACK: usize = 64;
/// Maximum number of versions in one response to `Request::Fetch`.
const MAX_FETCH_VERSIONS: usize = 64;
/// Estimated size of versions, in bytes, above which no further version is added to a response to
/// `Request::Fetch`.
const MAX_FETCH_BYTES: usize = 1 << 20;
/// Estimated encoded size of an idempotency record, in bytes.
const RECORD_BYTES: usize = 20;

/// The result of `Effect::ReplyFromDisk`.
pub struct DiskResponse {
    /// The response to send.
    pub response: Response,
    /// The version whose file was found damaged.
    pub damaged: Option<VersionId>,
}

/// Builds the response for `Effect::ReplyFromDisk`. `load` reads a version file and returns `None` if it is
/// damaged.
pub fn response_from_disk(
    versions: &[VersionId],
    as_outcome: bool,
    load: impl Fn(&VersionId) -> Option<Value>,
) -> DiskResponse {
    let mut values = Vec::new();
    let mut bytes = 0;
    let mut damaged = None;
    for id in versions {
        let Some(value) = load(id) else {
            damaged = Some(*id);
            break;
        };
        bytes += value.document.len() + RECORD_BYTES * value.recent_writes.len();
        values.push(value);
        if bytes > MAX_FETCH_BYTES {
            break;
        }
    }
    let response = match (as_outcome, values.pop()) {
        (false, last) => {
            values.extend(last);
            Response::Fetched(values)
        }
        (true, Some(value)) => Response::Outcome(Outcome::Value { value }),
        (true, None) => Response::Outcome(Outcome::NotApplied {
            reason: "this copy's file is damaged and being mended".to_string(),
        }),
    };
    DiskResponse { response, damaged }
}

/// A version and its ancestors, latest first.
pub(super) struct VersionChain {
    pub versions: Vec<VersionId>,
    /// The first version of the chain that should be stored and is not.
    pub missing: Option<VersionId>,
}

impl Replica {
    /// Replies with a version and its ancestors, as far as they are stored and fit into one response.
    pub(super) fn on_fetch(
        &mut self,
        ticket: u64,
        revision: u64,
        digest: Digest,
        effects: &mut Vec<Effect>,
    ) {
        let mut versions = self.chain_from(VersionId { revision, digest }).versions;
        versions.truncate(MAX_FETCH_VERSIONS);
        effects.push(Effect::ReplyFromDisk { ticket, versions, as_outcome: false });
    }

    /// Writes a version file, unless it exists.
    pub(super) fn store_version(
        &mut self,
        value: &Value,
        digest: Digest,
        bytes: Vec<u8>,
        writes: &mut Vec<DiskWrite>,
    ) {
        let id = VersionId { revision: value.revision, digest };
        let stored = self.stored_versions.entry(value.revision).or_default();
        if !stored.iter().any(|version| version.id == id) {
            stored.push(StoredVersion::new(id, value, bytes.len()));
            writes.push(DiskWrite::Version { id, bytes });
        }
    }

    /// The committed version and its stored ancestors.
    pub(super) fn committed_chain(&self) -> VersionChain {
        match self.committed {
            Some(committed) => self.chain_from(committed.version()),
            None => VersionChain { versions: Vec::new(), missing: None },
        }
    }

    /// A version and its ancestors, as far as they are stored, up to the limits of the history.
    pub(super) fn chain_from(&self, mut id: VersionId) -> VersionChain {
        let mut versions = Vec::new();
        let mut bytes = 0;
        loop {
            let stored = self.stored_versions.get(&id.revision);
            let Some(version) =
                stored.and_then(|stored| stored.iter().find(|version| version.id == id))
            else {
                return VersionChain { versions, missing: Some(id) };
            };
            versions.push(id);
            bytes += version.bytes;
            let is_full = versions.len() >= HISTORY_LENGTH || bytes >= MAX_CHAIN_BYTES;
            if id.revision == 0 || is_full {
                return VersionChain { versions, missing: None };
            }
            id = version.parent;
        }
    }

    /// Removes versions that are not ancestors of the committed version, and those that are too old. If the
    /// disk holds too many bytes, removes all versions outside the chain of this replica's accepted version.
    pub(super) fn prune_versions(&mut self, writes: &mut Vec<DiskWrite>) {
        let total: usize = self.stored_versions.values().map(Vec::len).sum();
        let bytes: usize =
            self.stored_versions.values().flatten().map(|version| version.bytes).sum();
        let is_too_large = bytes > MAX_HISTORY_BYTES;
        if total <= HISTORY_LENGTH + PRUNE_SLACK && !is_too_large {
            return;
        }
        let accepted = self.state.accepted.map(|accepted| accepted.version());
        let VersionChain { versions: chain, missing } = match accepted {
            Some(id) if is_too_large => self.chain_from(id),
            _ => self.committed_chain(),
        };
        let Some(lowest) = chain.last().map(|id| id.revision) else {
            return;
        };
        if missing.is_some() && !is_too_large {
            return;
        }
        let committed = self.committed_revision();
        let chain: BTreeSet<VersionId> = chain.into_iter().collect();
        let batch: Vec<u64> = self.batch.iter().map(|value| value.revision).collect();
        for (revision, stored) in &mut self.stored_versions {
            stored.retain(|version| {
                let is_retained = chain.contains(&version.id)
                    || accepted == Some(version.id)
                    || batch.contains(revision)
                    || (!is_too_large && *revision > committed)
                    || (!is_too_large && *revision >= lowest && *revision == committed);
                if !is_retained {
                    writes.push(DiskWrite::Remove(version.id));
                }
                is_retained
            });
        }
        self.stored_versions.retain(|_, stored| !stored.is_empty());
    }

    /// Handles the response to a call outside the round.
    pub(super) fn on_background_response(
        &mut self,
        call: BackgroundCall,
        response: Option<Response>,
        effects: &mut Vec<Effect>,
    ) {
        match (call, response) {
            (BackgroundCall::Fetch(id), Some(Response::Fetched(values))) => {
                self.store_fetched(id, values, effects);
            }
            (BackgroundCall::Membership, Some(Response::Membership { from, snapshot })) => {
                self.snapshots.insert(from, *snapshot);
                self.evaluate_snapshots(effects);
            }
            _ => {}
        }
    }

    /// Stores fetched versions up to the first one that is not the parent of the version before it.
    fn store_fetched(&mut self, first: VersionId, values: Vec<Value>, effects: &mut Vec<Effect>) {
        let mut expected = first;
        let mut writes = Vec::new();
        for value in values {
            let bytes = value.encode();
            let digest = digest_of(&bytes);
            if digest != expected.digest {
                break;
            }
            expected = value.parent_id();
            self.store_version(&value, digest, bytes, &mut writes);
            if self.value.is_none()
                && self.state.accepted.is_some_and(|accepted| accepted.digest == digest)
            {
                self.value = Some(Arc::new(value));
            }
        }
        if !writes.is_empty() {
            effects.push(Effect::Persist(writes));
            // Fetches the next ancestors without delay.
            self.fetch_at = Duration::ZERO;
        }
    }
}
