//! The data folder: one file for each version and one for the hard state. A file is written under a temporary
//! name, synced and renamed; then the folder is synced (design 6.1).

mod error;
mod frame;
mod recovery;
mod spare;

pub use error::DiskError;

use crate::consensus::{DiskWrite, HardState};
use crate::hints::Hints;
use crate::value::{Digest, Value, VersionId, digest_of};
use frame::{frame, unframe};
use std::fs::File;
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use vanepath_cluster::wire;

const STATE_FILE: &str = "state.cbor";
const HINTS_FILE: &str = "hints.cbor";
const PROBE_FILE: &str = "probe.cbor";
const LOCK_FILE: &str = "lock";
const TEMPORARY_SUFFIX: &str = ".aside";

fn version_file_name(revision: u64, digest: &Digest) -> String {
    let short: String = digest[..8].iter().map(|byte| format!("{byte:02x}")).collect();
    format!("version-{revision:020}-{short}.cbor")
}

/// The data folder, locked for this process.
pub struct Disk {
    folder: PathBuf,
    /// Holds the folder's lock until it is dropped.
    _lock: File,
    /// Index into `spare::SPARE_NAMES` of the empty spare file; `None`: not prepared yet.
    spare: Mutex<Option<usize>>,
}

impl Disk {
    /// Opens the folder and locks it for this process; creates it if it is missing.
    ///
    /// # Errors
    /// The folder cannot be created or opened, or another process holds its lock.
    pub fn open(folder: &Path) -> Result<Disk, DiskError> {
        let open_error = |cause: io::Error| DiskError::Open { folder: folder.to_path_buf(), cause };
        std::fs::create_dir_all(folder).map_err(open_error)?;
        let lock = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join(LOCK_FILE))
            .map_err(open_error)?;
        if lock.try_lock().is_err() {
            return Err(DiskError::InUse { folder: folder.to_path_buf() });
        }
        Ok(Disk { folder: folder.to_path_buf(), _lock: lock, spare: Mutex::default() })
    }

    /// Reads the hints; empty ones if their file is missing or damaged.
    pub fn hints(&self) -> Hints {
        let contents = std::fs::read(self.folder.join(HINTS_FILE)).ok();
        let body = contents.and_then(|bytes| unframe(&bytes));
        body.and_then(|body| wire::decode(&body).ok()).unwrap_or_default()
    }

    /// Replaces the hints.
    ///
    /// # Errors
    /// A write or a sync failed.
    pub fn save_hints(&self, hints: &Hints) -> io::Result<()> {
        self.write_file(HINTS_FILE, &wire::encode(hints))?;
        self.sync_folder()
    }

    /// Reads a version; `None` if its file is missing or damaged.
    pub fn version(&self, id: &VersionId) -> Option<Value> {
        let path = self.folder.join(version_file_name(id.revision, &id.digest));
        let (value, digest) = self.read_version(&path)?;
        (digest == id.digest && value.revision == id.revision).then_some(value)
    }

    fn read_version(&self, path: &Path) -> Option<(Value, Digest)> {
        let body = unframe(&std::fs::read(path).ok()?)?;
        let value: Value = wire::decode(&body).ok()?;
        Some((value, digest_of(&body)))
    }

    /// Performs and syncs all writes; returns the number of syncs. The state file is renamed last, and one
    /// sync of the folder makes all names durable: a single version is written through a spare file, under
    /// whose name it is found after a crash until its own name is durable (design 6.1).
    ///
    /// # Errors
    /// A write or a sync failed; it is unknown which of the writes are durable.
    pub fn save(&self, writes: &[DiskWrite]) -> io::Result<u64> {
        let mut syncs = 0;
        let mut spare = self.spare.lock().expect("no panic while the lock is held");
        let has_state = writes.iter().any(|write| matches!(write, DiskWrite::State(_)));
        let version_count =
            writes.iter().filter(|write| matches!(write, DiskWrite::Version { .. })).count();
        // Several versions are written under their own names, which must be durable before the state
        // file is renamed.
        let mut usable_spare = spare.filter(|_| has_state && version_count == 1);
        for write in writes {
            match write {
                DiskWrite::Version { id, bytes } => {
                    let file_name = version_file_name(id.revision, &id.digest);
                    match usable_spare {
                        Some(index) => {
                            *spare = Some(self.write_through_spare(index, &file_name, bytes)?);
                        }
                        None => self.write_file(&file_name, bytes)?,
                    }
                    syncs += 1;
                }
                DiskWrite::State(state) => {
                    if version_count > 0 && usable_spare.take().is_none() {
                        self.sync_folder()?;
                        syncs += 1;
                    }
                    self.write_state(state)?;
                    syncs += 1;
                }
                DiskWrite::Remove(id) => self.remove_version(id)?,
            }
        }
        self.sync_folder()?;
        Ok(syncs + 1)
    }

    fn write_state(&self, state: &HardState) -> io::Result<()> {
        self.write_file(STATE_FILE, &wire::encode(state))
    }

    fn remove_version(&self, id: &VersionId) -> io::Result<()> {
        match std::fs::remove_file(self.folder.join(version_file_name(id.revision, &id.digest))) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// Replaces a file; its name is durable after the next sync of the folder.
    fn write_file(&self, name: &str, body: &[u8]) -> io::Result<()> {
        let temporary = self.folder.join(format!("{name}{TEMPORARY_SUFFIX}"));
        Disk::write_synced(&temporary, body)?;
        std::fs::rename(&temporary, self.folder.join(name))
    }

    fn write_synced(path: &Path, body: &[u8]) -> io::Result<()> {
        let mut file = File::create(path)?;
        file.write_all(&frame(body))?;
        file.sync_all()
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}
