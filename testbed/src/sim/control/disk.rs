//! A store's disk in the simulator.

use super::*;

/// A store's disk: what was synced stays, what is under way may stay in part.
#[derive(Default)]
pub struct Disk {
    pub state: Option<consensus::HardState>,
    pub versions: BTreeMap<VersionId, Arc<Value>>,
    pub(super) under_way: Vec<consensus::DiskWrite>,
    /// Of a disk that lies about its syncs.
    pub(super) unsynced: Vec<consensus::DiskWrite>,
    pub is_full: bool,
    pub saves: u64,
    pub hints: vanepath_store::hints::Hints,
}

impl Disk {
    pub(super) fn apply(&mut self, write: consensus::DiskWrite) {
        match write {
            consensus::DiskWrite::Version { id, bytes } => {
                let value: Value = wire::decode(&bytes).expect("own bytes");
                self.versions.insert(id, Arc::new(value));
            }
            consensus::DiskWrite::State(state) => self.state = Some(state),
            consensus::DiskWrite::Remove(id) => {
                self.versions.remove(&id);
            }
        }
    }

    pub(super) fn found(&mut self, random: u64) -> consensus::RecoveredState {
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
