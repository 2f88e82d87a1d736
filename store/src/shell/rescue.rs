//! `--rescue`: after a permanent loss of a majority of the disks, makes this store the only member
//! (design 6.6).

use crate::consensus::{DiskWrite, RecoveredState, rescued};
use crate::disk::Disk;
use crate::value::{VersionId, digest_of};

/// Writes the rescued state to the disk and prints its revision.
///
/// # Errors
/// The disk holds no readable value, or the write failed.
pub(super) fn run(
    disk: &Disk,
    recovered: &RecoveredState,
    name: &str,
) -> Result<(), miette::Report> {
    let rescue = recovered.value.as_ref().and_then(|value| {
        let (state, next) = rescued(&recovered.state, value, name)?;
        Some((value.revision, state, next))
    });
    let Some((held_revision, state, next)) = rescue else {
        miette::bail!(
            "this disk holds no readable configuration version: there is nothing to rescue"
        );
    };
    let bytes = next.encode();
    let revision = next.revision;
    let id = VersionId { revision, digest: digest_of(&bytes) };
    let writes = [DiskWrite::Version { id, bytes }, DiskWrite::State(state)];
    disk.save(&writes)
        .map_err(|error| miette::miette!("cannot save to the data folder: {error}"))?;
    println!(
        "revision {held_revision} is rescued as revision {revision}, with this store as the only member; \
         start it again without --rescue"
    );
    Ok(())
}
