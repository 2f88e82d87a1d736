//! `--rescue`: after a majority of the disks is lost for good, lets this store go on alone (design 6.6).

use crate::consensus::{DiskWrite, RecoveredState, rescued};
use crate::disk::Disk;
use crate::value::{VersionId, digest_of};

/// Writes the rescued state and tells the operator its revision.
///
/// # Errors
/// The disk holds no readable value, or refuses the write.
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
            "this disk does not hold the operator's word: there is nothing to go on from"
        );
    };
    let bytes = next.encode();
    let revision = next.revision;
    let id = VersionId { revision, digest: digest_of(&bytes) };
    let writes = [DiskWrite::Version { id, bytes }, DiskWrite::State(state)];
    disk.save(&writes).map_err(|error| miette::miette!("cannot save: {error}"))?;
    println!(
        "goes on alone from revision {held_revision} as revision {revision}; start it again without --rescue"
    );
    Ok(())
}
