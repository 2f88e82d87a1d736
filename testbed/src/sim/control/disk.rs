//! A store's disk in the simulator.

use super::*;

/// A store's disk: what was synced stays, what is under way may stay in part.
#[derive(Default)]
pub struct Disk {
    pub state: Option<consensus::HardState>,
    pub versions: BTreeMap<(u64, Digest), Arc<Value>>,
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
            consensus::DiskWrite::Version { revision, digest, bytes } => {
                let value: Value = wire::decode(&bytes).expect("own bytes");
                self.versions.insert((revision, digest), Arc::new(value));
            }
            consensus::DiskWrite::State(state) => self.state = Some(state),
            consensus::DiskWrite::Remove { revision, digest } => {
                self.versions.remove(&(revision, digest));
            }
        }
    }

    pub(super) fn found(&mut self, random: u64) -> consensus::RecoveredState {
        let state = self.state.clone().unwrap_or_else(|| {
            let state = consensus::HardState {
                incarnation: random,
                promised: Default::default(),
                accepted: None,
            };
            self.state = Some(state.clone());
            state
        });
        let accepted = state.accepted.map(|meta| (meta.revision, meta.digest));
        let value = accepted.and_then(|at| self.versions.get(&at).cloned());
        let kept = self
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
        let mut before = Vec::new();
        if let Some(value) = &value {
            let mut at = (value.parent_revision, value.parent);
            for _ in 0..value.batched_before {
                let Some(one) = self.versions.get(&at) else { break };
                at = (one.parent_revision, one.parent);
                before.insert(0, one.clone());
            }
        }
        consensus::RecoveredState { state, value, batch: before, versions: kept }
    }
}
