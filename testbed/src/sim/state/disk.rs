//! A store's disk in the simulation.

use std::collections::BTreeMap;
use std::sync::Arc;
use vanepath_cluster::wire;
use vanepath_store::consensus;
use vanepath_store::hints::Hints;
use vanepath_store::value::{Value, VersionId};

/// A store's disk: what was synced stays; of the writes in flight any first part may stay.
#[derive(Default)]
pub struct Disk {
    /// The replica's hard state; `None` on an empty disk.
    pub state: Option<consensus::HardState>,
    /// All stored versions.
    pub versions: BTreeMap<VersionId, Arc<Value>>,
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
            consensus::DiskWrite::Version { id, bytes } => {
                let value: Value = wire::decode(&bytes).expect("the replica encoded this value");
                self.versions.insert(id, Arc::new(value));
            }
            consensus::DiskWrite::State(state) => self.state = Some(state),
            consensus::DiskWrite::Remove(id) => {
                self.versions.remove(&id);
            }
        }
    }

    /// What a store that starts reads; an empty disk gets a new incarnation from `random`.
    pub(in crate::sim) fn recover(&mut self, random: u64) -> consensus::RecoveredState {
        let state = self.state.get_or_insert_with(|| consensus::HardState::empty(random)).clone();
        let accepted = state.accepted.map(|accepted| accepted.version());
        let value = accepted.and_then(|id| self.versions.get(&id).cloned());
        let versions = self
            .versions
            .iter()
            .map(|(id, value)| consensus::StoredVersion::new(*id, value, value.encode().len()))
            .collect();
        let batch = value.as_ref().map(|value| {
            consensus::RecoveredState::load_batch(value, |id| self.versions.get(&id).cloned())
        });
        consensus::RecoveredState { state, value, batch: batch.unwrap_or_default(), versions }
    }
}
