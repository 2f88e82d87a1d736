//! Spare files: empty files whose names are durable before they are used. A version is written into a spare
//! file and then renamed. After a power loss it is therefore found even if the state file that refers to it
//! was durable and the version's own name was not. One of the two spare files exists at a time (design 6.1).

use super::{Disk, version_file_name};
use std::io;

pub(super) const SPARE_NAMES: [&str; 2] = ["spare-0.cbor", "spare-1.cbor"];

impl Disk {
    /// Renames intact versions found in spare files to their own names; then creates one spare file with a
    /// durable name.
    pub(super) fn prepare_spare(&self) -> io::Result<()> {
        for name in SPARE_NAMES {
            let path = self.folder.join(name);
            if let Some((value, digest)) = self.read_version(&path) {
                std::fs::rename(
                    &path,
                    self.folder.join(version_file_name(value.revision, &digest)),
                )?;
            } else if path.exists() {
                std::fs::remove_file(&path)?;
            }
        }
        // Makes the renames durable before a spare name is used again for another version.
        self.sync_folder()?;
        std::fs::File::create(self.folder.join(SPARE_NAMES[0]))?;
        self.sync_folder()?;
        *self.spare.lock().expect("no panic while the lock is held") = Some(0);
        Ok(())
    }

    /// Writes a version through the spare file with this index; returns the index of the next spare file.
    pub(super) fn write_through_spare(
        &self,
        index: usize,
        file_name: &str,
        bytes: &[u8],
    ) -> io::Result<usize> {
        let spare_path = self.folder.join(SPARE_NAMES[index]);
        Disk::write_synced(&spare_path, bytes)?;
        std::fs::rename(spare_path, self.folder.join(file_name))?;
        // Uses the other name, because on disk the old one may still refer to the version just written.
        let next = 1 - index;
        std::fs::File::create(self.folder.join(SPARE_NAMES[next]))?;
        Ok(next)
    }
}
