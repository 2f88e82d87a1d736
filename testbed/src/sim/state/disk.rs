//! A store's disk in the simulation.

use std::collections::BTreeMap;
use std::sync::Arc;
use vanepath_cluster::wire;
use vanepath_store::consensus;
use vanepath_store::hints::Hints;
use vanepath_store::value::{Value, VersionId};

/// A store's disk. Synced writes survive a crash; of the writes in flight, a random prefix
/// survives.
#[derive(Default)]
pub struct Disk {
    /// The replica's hard state; `None` on an empty disk.
    pub state: Option<consensus::HardState>,
    /// All stored versions.
    pub versions: BTreeMap<VersionId, Arc<Value>>,
    pub(in crate::sim) in_flight_writes: Vec<consensus::DiskWrite>,
    /// Writes that the disk reported as complete without syncing them.
    pub(in crate::sim) unsynced: Vec<consensus::DiskWrite>,
    /// Whether the disk is full, so that writes fail.
    pub is_full: bool,
    /// The number of writes so far.
    pub syncs: u64,
    /// The last saved hints about peers (see `HintWriter`).
    pub hints: Hints,
}

impl Disk {
    /// Applies a write to the disk.
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

    /// The state that a starting store reads from the disk. An empty disk gets a new incarnation
    /// from `random`.
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
