//! A store's disk in the simulation.

use std::collections::BTreeMap;
use std::sync::Arc;
use vanepath_cluster::wire;
use vanepath_store::consensus;
use vanepath_store::hints::Hints;
use vanepath_store::protocol::{Digest, Value};

/// A store's disk: what was synced stays; of the writes in flight any first part may stay.
#[derive(Default)]
pub struct Disk {
    /// The replica's hard state; `None` on an empty disk.
    pub state: Option<consensus::HardState>,
    /// All stored versions.
    pub versions: BTreeMap<(u64, Digest), Arc<Value>>,
    pub(in crate::sim) in_flight_writes: Vec<consensus::DiskWrite>,
    /// Writes that a disk reported and did not sync.
    pub(in crate::sim) unsynced: Vec<consensus::DiskWrite>,
    /// Writes fail.
    pub is_full: bool,
    /// Writes so far.
    pub syncs: u64,
    /// The last hints on peers (see `HintWriter`).
    pub hints: Hints,
}

impl Disk {
    /// Completes a write.
    pub(in crate::sim) fn apply(&mut self, write: consensus::DiskWrite) {
        match write {
            consensus::DiskWrite::Version { revision, digest, bytes } => {
                let value: Value = wire::decode(&bytes).expect("the replica encoded this value");
                self.versions.insert((revision, digest), Arc::new(value));
            }
            consensus::DiskWrite::State(state) => self.state = Some(state),
            consensus::DiskWrite::Remove { revision, digest } => {
                self.versions.remove(&(revision, digest));
            }
        }
    }

    /// What a store that starts reads; an empty disk gets a new incarnation from `random`.
    pub(in crate::sim) fn recover(&mut self, random: u64) -> consensus::RecoveredState {
        let state = self.state.clone().unwrap_or_else(|| {
            let state = consensus::HardState {
                incarnation: random,
                promised: Default::default(),
                accepted: None,
            };
            self.state = Some(state.clone());
            state
        });
        let accepted = state.accepted.map(|accepted| (accepted.revision, accepted.digest));
        let value = accepted.and_then(|at| self.versions.get(&at).cloned());
        let stored = self
            .versions
            .iter()
            .map(|((revision, digest), value)| {
                let (parent_revision, parent) = (value.parent_revision, value.parent);
                let bytes = value.encode().len();
                (
                    *revision,
                    consensus::StoredVersion { digest: *digest, parent_revision, parent, bytes },
                )
            })
            .collect();
        let mut batch = Vec::new();
        if let Some(value) = &value {
            let mut at = (value.parent_revision, value.parent);
            for _ in 0..value.batched_before {
                let Some(one) = self.versions.get(&at) else { break };
                at = (one.parent_revision, one.parent);
                batch.insert(0, one.clone());
            }
        }
        consensus::RecoveredState { state, value, batch, versions: stored }
    }
}
