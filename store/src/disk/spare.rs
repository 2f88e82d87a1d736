//! Spare files: empty files whose names are durable before they are needed. A version is written into one of
//! them, so that after a loss of power it is found even where its own name was not durable yet and the state
//! file that names it was. One of the two exists at a time (design 6.1).

use super::{Disk, version_name};
use std::io;

pub(super) const SPARE_NAMES: [&str; 2] = ["spare-0.cbor", "spare-1.cbor"];

impl Disk {
    /// Gives intact versions that lie in a spare file their own names; then creates one spare file with a
    /// durable name.
    pub(super) fn prepare_spare(&self) -> io::Result<()> {
        for name in SPARE_NAMES {
            let path = self.folder.join(name);
            if let Some((value, digest)) = self.read_version(&path) {
                std::fs::rename(&path, self.folder.join(version_name(value.revision, &digest)))?;
            } else if path.exists() {
                std::fs::remove_file(&path)?;
            }
        }
        // Before the name is used again for another version.
        self.sync_folder()?;
        std::fs::File::create(self.folder.join(SPARE_NAMES[0]))?;
        self.sync_folder()?;
        *self.spare.lock().expect("no panic under this lock") = Some(0);
        Ok(())
    }

    /// Writes a version through this spare file; gives the number of the next one.
    pub(super) fn write_through_spare(
        &self,
        number: usize,
        version_name: &str,
        bytes: &[u8],
    ) -> io::Result<usize> {
        let spare_path = self.folder.join(SPARE_NAMES[number]);
        Disk::write_synced(&spare_path, bytes)?;
        std::fs::rename(spare_path, self.folder.join(version_name))?;
        // The other name, because this one may still be that of the version on disk.
        let next = 1 - number;
        std::fs::File::create(self.folder.join(SPARE_NAMES[next]))?;
        Ok(next)
    }
}
