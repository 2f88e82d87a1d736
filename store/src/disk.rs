//! The one data folder: a file for each version and one for the state, each written aside,
//! synced, renamed, and the folder synced after it (design 6.1).

use crate::consensus::{DiskWrite, HardState, RecoveredState, StoredVersion};
use crate::protocol::{Digest, Value};
use std::io::Write as _;

/// A file's frame: the digest of the body says whether the body is whole.
#[derive(serde::Serialize, serde::Deserialize)]
struct Framed {
    #[serde(with = "serde_bytes")]
    digest: Vec<u8>,
    #[serde(with = "serde_bytes")]
    body: Vec<u8>,
}

fn frame(body: &[u8]) -> Vec<u8> {
    let digest = vanepath_config::digest(&[b"vanepath file", body]).to_vec();
    vanepath_cluster::wire::encode(&Framed { digest, body: body.to_vec() })
}

fn unframe(bytes: &[u8]) -> Option<Vec<u8>> {
    let framed: Framed = vanepath_cluster::wire::decode(bytes).ok()?;
    let digest = vanepath_config::digest(&[b"vanepath file", &framed.body]);
    (framed.digest == digest).then_some(framed.body)
}

const STATE: &str = "state.cbor";
const HINTS: &str = "hints.cbor";
const PROBE: &str = "probe.cbor";

fn version_name(revision: u64, digest: &Digest) -> String {
    let short: String = digest[..8].iter().map(|byte| format!("{byte:02x}")).collect();
    format!("version-{revision:020}-{short}.cbor")
}

/// Files whose names last before they are needed: a version is written into one of them, so that it
/// is found after a loss of power even where its own name did not last and the state that names it
/// did. One at a time is there.
const SPARES: [&str; 2] = ["spare-0.cbor", "spare-1.cbor"];

pub struct Disk {
    folder: std::path::PathBuf,
    lock: std::fs::File,
    /// Which spare is there and empty.
    spare: std::sync::Mutex<Option<usize>>,
}

impl Disk {
    /// Opens the folder for this process alone.
    pub fn open(folder: &std::path::Path) -> Result<Disk, miette::Report> {
        let fault = |error: std::io::Error| {
            miette::miette!("$.dataFolder: cannot use {}: {error}", folder.display())
        };
        std::fs::create_dir_all(folder).map_err(fault)?;
        let lock = std::fs::File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join("lock"))
            .map_err(fault)?;
        if lock.try_lock().is_err() {
            let shown = folder.display();
            miette::bail!("$.dataFolder: {shown} is in use by another process");
        }
        Ok(Disk { folder: folder.to_path_buf(), lock, spare: Default::default() })
    }

    /// What is there. A state file that is missing or damaged makes the disk an empty one with a
    /// new incarnation: it has forgotten its promises and must not vote on them.
    pub fn load(&self, random: u64) -> Result<RecoveredState, miette::Report> {
        let _ = &self.lock;
        let fault = |error: std::io::Error| {
            miette::miette!("$.dataFolder: cannot read {}: {error}", self.folder.display())
        };
        self.ready_spare().map_err(fault)?;
        let mut kept = Vec::new();
        let mut damaged = 0;
        for entry in std::fs::read_dir(&self.folder).map_err(fault)? {
            let path = entry.map_err(fault)?.path();
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
            if name.ends_with(".aside") {
                std::fs::remove_file(&path).map_err(fault)?;
            } else if name.starts_with("version-") {
                match self.read_version(&path) {
                    Some((value, digest)) if name == version_name(value.revision, &digest) => {
                        let (parent_revision, parent) = (value.parent_revision, value.parent);
                        let bytes = value.encode().len();
                        let one = StoredVersion { digest, parent_revision, parent, bytes };
                        kept.push((value.revision, one));
                    }
                    _ => {
                        damaged += 1;
                        log::warn!("{name} is damaged and counts as absent");
                    }
                }
            }
        }
        let read = match std::fs::read(self.folder.join(STATE)) {
            Ok(bytes) => Some(bytes),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => None,
            // Not the same as absent: a disk that cannot be read now may be readable later.
            Err(error) => return Err(fault(error)),
        };
        let state: Option<HardState> = read
            .as_ref()
            .and_then(|bytes| unframe(bytes))
            .and_then(|body| vanepath_cluster::wire::decode(&body).ok());
        if read.is_some() && state.is_none() {
            log::error!("{STATE} is damaged: this disk counts as empty and asks for admission");
        }
        let state = match state {
            Some(state) => state,
            None => {
                let state =
                    HardState { incarnation: random, promised: Default::default(), accepted: None };
                self.save(&[DiskWrite::State(state.clone())]).map_err(fault)?;
                state
            }
        };
        let value = state.accepted.and_then(|meta| self.version(meta.revision, &meta.digest));
        if damaged > 0 {
            log::warn!("{damaged} damaged files; their versions are fetched again");
        }
        let value = value.map(std::sync::Arc::new);
        let mut before = Vec::new();
        if let Some(value) = &value {
            let mut at = (value.parent_revision, value.parent);
            for _ in 0..value.batched_before {
                let Some(one) = self.version(at.0, &at.1) else { break };
                at = (one.parent_revision, one.parent);
                before.insert(0, std::sync::Arc::new(one));
            }
        }
        Ok(RecoveredState { state, value, batch: before, versions: kept })
    }

    /// Whole versions that lie in a spare get their names; then one spare is there, by a name that
    /// lasts.
    fn ready_spare(&self) -> std::io::Result<()> {
        for name in SPARES {
            let path = self.folder.join(name);
            if let Some((value, digest)) = self.read_version(&path) {
                std::fs::rename(&path, self.folder.join(version_name(value.revision, &digest)))?;
            } else if path.exists() {
                std::fs::remove_file(&path)?;
            }
        }
        // Before the name is used again for another one.
        self.sync_folder()?;
        std::fs::File::create(self.folder.join(SPARES[0]))?;
        self.sync_folder()?;
        *self.spare.lock().expect("no panic under this lock") = Some(0);
        Ok(())
    }

    /// After a write or a sync failed: what can be read is written and synced once more, for nobody knows
    /// what of it lasts. What is found then is what a restart would find.
    ///
    /// # Errors
    /// The disk still refuses something.
    pub fn recover(&self, random: u64) -> Result<RecoveredState, miette::Report> {
        let fault = |error: std::io::Error| miette::miette!("cannot write: {error}");
        // Whether it takes anything, before all of it is read.
        self.put(PROBE, b"").map_err(fault)?;
        std::fs::remove_file(self.folder.join(PROBE)).map_err(fault)?;
        self.sync_folder().map_err(fault)?;
        let found = self.load(random)?;
        let versions = found.batch.iter().chain(&found.value);
        for value in versions {
            let bytes = value.encode();
            let name = version_name(value.revision, &crate::protocol::digest_of(&bytes));
            self.put(&name, &bytes).map_err(fault)?;
        }
        self.sync_folder().map_err(fault)?;
        self.save(&[DiskWrite::State(found.state.clone())]).map_err(fault)?;
        Ok(found)
    }

    /// Makes this an empty disk under a new incarnation: its state first, then the old versions go.
    pub fn reset(&self, random: u64) -> std::io::Result<RecoveredState> {
        let state = HardState { incarnation: random, promised: Default::default(), accepted: None };
        self.save(&[DiskWrite::State(state.clone())])?;
        for entry in std::fs::read_dir(&self.folder)? {
            let path = entry?.path();
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
            if name.starts_with("version-") {
                std::fs::remove_file(&path)?;
            }
        }
        Ok(RecoveredState { state, value: None, batch: Vec::new(), versions: Vec::new() })
    }

    /// The hints, if their file is whole.
    pub fn hints(&self) -> crate::hints::Hints {
        let read = std::fs::read(self.folder.join(HINTS)).ok();
        let body = read.and_then(|bytes| unframe(&bytes));
        body.and_then(|body| vanepath_cluster::wire::decode(&body).ok()).unwrap_or_default()
    }

    pub fn save_hints(&self, hints: &crate::hints::Hints) -> std::io::Result<()> {
        self.put(HINTS, &vanepath_cluster::wire::encode(hints))?;
        self.sync_folder()
    }

    fn read_version(&self, path: &std::path::Path) -> Option<(Value, Digest)> {
        let body = unframe(&std::fs::read(path).ok()?)?;
        let value: Value = vanepath_cluster::wire::decode(&body).ok()?;
        Some((value, crate::protocol::digest_of(&body)))
    }

    pub fn version(&self, revision: u64, digest: &Digest) -> Option<Value> {
        let path = self.folder.join(version_name(revision, digest));
        let (value, found) = self.read_version(&path)?;
        (found == *digest && value.revision == revision).then_some(value)
    }

    /// All or an error; after an error nobody knows what of it lasts. Says how often it synced. The
    /// state is renamed last, and one sync of the folder is enough for all names: the one version that
    /// fits the spare lies there until its own name lasts (design 6.1).
    pub fn save(&self, writes: &[DiskWrite]) -> std::io::Result<u64> {
        let mut syncs = 0;
        let mut spare = self.spare.lock().expect("no panic under this lock");
        let has_state = writes.iter().any(|write| matches!(write, DiskWrite::State(_)));
        let versions =
            writes.iter().filter(|write| matches!(write, DiskWrite::Version { .. })).count();
        // Several at one time go by their own names, which must last before the state does.
        let mut used = spare.filter(|_| has_state && versions == 1);
        for write in writes {
            match write {
                DiskWrite::Version { revision, digest, bytes } => {
                    let path = self.folder.join(version_name(*revision, digest));
                    if let Some(number) = used {
                        let spare_path = self.folder.join(SPARES[number]);
                        Self::write(&spare_path, bytes)?;
                        std::fs::rename(spare_path, path)?;
                        // The other name, for this one may still be that of the version.
                        std::fs::File::create(self.folder.join(SPARES[1 - number]))?;
                        *spare = Some(1 - number);
                    } else {
                        self.put(&version_name(*revision, digest), bytes)?;
                    }
                    syncs += 1;
                }
                DiskWrite::State(state) => {
                    if versions > 0 && used.take().is_none() {
                        self.sync_folder()?;
                        syncs += 1;
                    }
                    self.put(STATE, &vanepath_cluster::wire::encode(state))?;
                    syncs += 1;
                }
                DiskWrite::Remove { revision, digest } => {
                    match std::fs::remove_file(self.folder.join(version_name(*revision, digest))) {
                        Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
                            return Err(error);
                        }
                        _ => {}
                    }
                }
            }
        }
        self.sync_folder()?;
        Ok(syncs + 1)
    }

    fn put(&self, name: &str, body: &[u8]) -> std::io::Result<()> {
        let aside = self.folder.join(format!("{name}.aside"));
        Self::write(&aside, body)?;
        std::fs::rename(&aside, self.folder.join(name))
    }

    fn write(path: &std::path::Path, body: &[u8]) -> std::io::Result<()> {
        let mut file = std::fs::File::create(path)?;
        file.write_all(&frame(body))?;
        file.sync_all()
    }

    fn sync_folder(&self) -> std::io::Result<()> {
        std::fs::File::open(&self.folder)?.sync_all()
    }
}
