//! Loads the data folder at start-up and after a disk failure, and resets it to an empty one.

use super::frame::unframe;
use super::{Disk, DiskError, PROBE_FILE, STATE_FILE, TEMPORARY_SUFFIX, version_file_name};
use crate::consensus::{DiskWrite, HardState, RecoveredState, StoredVersion};
use crate::value::VersionId;
use std::io;
use std::path::Path;
use std::sync::Arc;
use vanepath_cluster::wire;

impl Disk {
    /// Loads the contents of the folder. If the state file is missing or damaged, the disk becomes an empty
    /// one under `new_incarnation`: its promises are lost, so that it must not vote under its former
    /// incarnation. Damaged version files count as absent.
    ///
    /// # Errors
    /// The folder cannot be read, or its initial files cannot be written.
    pub fn load(&self, new_incarnation: u64) -> Result<RecoveredState, DiskError> {
        self.read_all(new_incarnation)
            .map_err(|cause| DiskError::Read { folder: self.folder.clone(), cause })
    }

    fn read_all(&self, new_incarnation: u64) -> io::Result<RecoveredState> {
        self.prepare_spare()?;
        let versions = self.read_versions()?;
        let state = match self.read_state()? {
            Some(state) => state,
            None => {
                let state = HardState::empty(new_incarnation);
                self.save(&[DiskWrite::State(state.clone())])?;
                state
            }
        };
        let value = state.accepted.and_then(|accepted| self.version(&accepted.version()));
        let value = value.map(Arc::new);
        let batch = value
            .as_ref()
            .map(|value| RecoveredState::load_batch(value, |id| self.version(&id).map(Arc::new)));
        Ok(RecoveredState { state, value, batch: batch.unwrap_or_default(), versions })
    }

    /// Reads the intact version files, and removes temporary files left by a crash.
    fn read_versions(&self) -> io::Result<Vec<StoredVersion>> {
        let mut versions = Vec::new();
        let mut damaged = 0;
        for entry in std::fs::read_dir(&self.folder)? {
            let path = entry?.path();
            let name = file_name(&path);
            if name.ends_with(TEMPORARY_SUFFIX) {
                std::fs::remove_file(&path)?;
            } else if name.starts_with("version-") {
                match self.read_version(&path) {
                    Some((value, digest)) if name == version_file_name(value.revision, &digest) => {
                        let id = VersionId { revision: value.revision, digest };
                        let bytes = value.encode().len();
                        versions.push(StoredVersion::new(id, &value, bytes));
                    }
                    _ => {
                        damaged += 1;
                        log::warn!("{name} is damaged and counts as absent");
                    }
                }
            }
        }
        if damaged > 0 {
            log::warn!(
                "{damaged} damaged version files; these versions are fetched from other stores"
            );
        }
        Ok(versions)
    }

    /// Reads the state file; `None` if it is missing or damaged. A failed read is an error instead, since the
    /// file may be readable later.
    fn read_state(&self) -> io::Result<Option<HardState>> {
        let bytes = match std::fs::read(self.folder.join(STATE_FILE)) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let state = unframe(&bytes).and_then(|body| wire::decode(&body).ok());
        if state.is_none() {
            log::error!(
                "{STATE_FILE} is damaged: this disk counts as empty and waits for a member slot"
            );
        }
        Ok(state)
    }

    /// Loads the disk after a failed write or sync, then writes and syncs the loaded files again, because it
    /// is unknown which of them are durable. Returns what a restart would load.
    ///
    /// # Errors
    /// The disk still fails.
    pub fn recover(&self, new_incarnation: u64) -> Result<RecoveredState, DiskError> {
        // Checks that the disk accepts writes before all of it is read.
        self.probe().map_err(DiskError::write)?;
        let recovered = self.load(new_incarnation)?;
        self.rewrite(&recovered).map_err(DiskError::write)?;
        Ok(recovered)
    }

    fn probe(&self) -> io::Result<()> {
        self.write_file(PROBE_FILE, b"")?;
        std::fs::remove_file(self.folder.join(PROBE_FILE))?;
        self.sync_folder()
    }

    fn rewrite(&self, recovered: &RecoveredState) -> io::Result<()> {
        for value in recovered.batch.iter().chain(&recovered.value) {
            let bytes = value.encode();
            let digest = crate::value::digest_of(&bytes);
            self.write_file(&version_file_name(value.revision, &digest), &bytes)?;
        }
        self.sync_folder()?;
        self.save(&[DiskWrite::State(recovered.state.clone())])?;
        Ok(())
    }

    /// Resets the disk to an empty one under a new incarnation: writes the state file first, then removes the
    /// version files.
    ///
    /// # Errors
    /// A write, a sync or a removal failed.
    pub fn reset(&self, new_incarnation: u64) -> io::Result<RecoveredState> {
        let recovered = RecoveredState::empty(new_incarnation);
        self.save(&[DiskWrite::State(recovered.state.clone())])?;
        for entry in std::fs::read_dir(&self.folder)? {
            let path = entry?.path();
            if file_name(&path).starts_with("version-") {
                std::fs::remove_file(&path)?;
            }
        }
        Ok(recovered)
    }
}

fn file_name(path: &Path) -> &str {
    path.file_name().and_then(|name| name.to_str()).unwrap_or_default()
}
