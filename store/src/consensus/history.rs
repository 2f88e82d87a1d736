//! The versions on disk: the chain of ancestors that stays readable, its pruning, and the fetching of what is
//! missing (design 6.1).

use super::event::{DiskWrite, Effect, StoredVersion};
use super::replica::{BackgroundCall, Replica};
use crate::protocol::{Outcome, Response};
use crate::value::{Digest, HISTORY_LENGTH, MAX_HISTORY_BYTES, Value, VersionId, digest_of};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Ancestors beyond so many bytes are removed once the disk holds `MAX_HISTORY_BYTES`.
const MAX_CHAIN_BYTES: usize = MAX_HISTORY_BYTES / 4 * 3;
/// Versions beyond `HISTORY_LENGTH` that may be there before pruning begins.
const PRUNE_SLACK: usize = 64;
/// Versions in one answer to `Request::Fetch`.
const MAX_FETCH_VERSIONS: usize = 64;
/// Bytes of versions above which an answer to `Request::Fetch` ends.
const MAX_FETCH_BYTES: usize = 1 << 20;
/// Estimated encoded size of an idempotency record.
const RECORD_BYTES: usize = 20;

/// What `Effect::ReplyFromDisk` comes to.
pub struct DiskResponse {
    /// The response to send.
    pub response: Response,
    /// The version whose file turned out damaged.
    pub damaged: Option<VersionId>,
}

/// Builds the response to `Effect::ReplyFromDisk`. `load` reads a version file and gives `None` where it is
/// damaged.
pub fn response_from_disk(
    versions: &[VersionId],
    as_outcome: bool,
    load: impl Fn(&VersionId) -> Option<Value>,
) -> DiskResponse {
    let mut read = Vec::new();
    let mut bytes = 0;
    let mut damaged = None;
    for id in versions {
        let Some(value) = load(id) else {
            damaged = Some(*id);
            break;
        };
        bytes += value.document.len() + RECORD_BYTES * value.recent_writes.len();
        read.push(value);
        if bytes > MAX_FETCH_BYTES {
            break;
        }
    }
    let response = match (as_outcome, read.pop()) {
        (false, last) => {
            read.extend(last);
            Response::Fetched(read)
        }
        (true, Some(value)) => Response::Outcome(Outcome::Value { value }),
        (true, None) => Response::Outcome(Outcome::NotApplied {
            reason: "this copy's file is damaged and being mended".to_string(),
        }),
    };
    DiskResponse { response, damaged }
}

/// A version and its ancestors, the latest first.
pub(super) struct VersionChain {
    pub versions: Vec<VersionId>,
    /// The first ancestor that should be here and is not.
    pub missing: Option<VersionId>,
}

impl Replica {
    /// Answers with a version and its ancestors, as far as they are here and fit.
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

    /// Writes a version file, unless it is there.
    pub(super) fn store_version(
        &mut self,
        value: &Value,
        digest: Digest,
        bytes: Vec<u8>,
        writes: &mut Vec<DiskWrite>,
    ) {
        let id = VersionId { revision: value.revision, digest };
        let list = self.stored_versions.entry(value.revision).or_default();
        if !list.iter().any(|version| version.id == id) {
            list.push(StoredVersion::new(id, value, bytes.len()));
            writes.push(DiskWrite::Version { id, bytes });
        }
    }

    /// The committed version and its ancestors.
    pub(super) fn committed_chain(&self) -> VersionChain {
        match self.committed {
            Some(committed) => self.chain_from(committed.version()),
            None => VersionChain { versions: Vec::new(), missing: None },
        }
    }

    /// A version and its ancestors, as far as they are here, up to the bounds of the history.
    pub(super) fn chain_from(&self, mut id: VersionId) -> VersionChain {
        let mut versions = Vec::new();
        let mut bytes = 0;
        loop {
            let list = self.stored_versions.get(&id.revision);
            let Some(version) = list.and_then(|list| list.iter().find(|one| one.id == id)) else {
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

    /// Removes versions that are not ancestors of the committed version, and those that are too old; where
    /// the disk holds too many bytes, whatever is not in the chain of this replica's own accepted version.
    pub(super) fn prune_versions(&mut self, writes: &mut Vec<DiskWrite>) {
        let total: usize = self.stored_versions.values().map(Vec::len).sum();
        let bytes: usize = self.stored_versions.values().flatten().map(|one| one.bytes).sum();
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
        for (revision, list) in &mut self.stored_versions {
            list.retain(|version| {
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
        self.stored_versions.retain(|_, list| !list.is_empty());
    }

    /// Handles the response to a call beside the round.
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

    /// Stores fetched versions as far as each one is the parent of the one before.
    fn store_fetched(&mut self, first: VersionId, values: Vec<Value>, effects: &mut Vec<Effect>) {
        let mut wanted = first;
        let mut writes = Vec::new();
        for value in values {
            let bytes = value.encode();
            let digest = digest_of(&bytes);
            if digest != wanted.digest {
                break;
            }
            wanted = value.parent_id();
            self.store_version(&value, digest, bytes, &mut writes);
            if self.value.is_none()
                && self.state.accepted.is_some_and(|accepted| accepted.digest == digest)
            {
                self.value = Some(Arc::new(value));
            }
        }
        if !writes.is_empty() {
            effects.push(Effect::Persist(writes));
            // Fetch the next ancestors at once.
            self.fetch_at = Duration::ZERO;
        }
    }
}
