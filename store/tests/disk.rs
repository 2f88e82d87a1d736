//! The data folder: what remains after a power loss, and how many syncs a save takes.

use std::path::{Path, PathBuf};
use vanepath_store::consensus::{DiskWrite, HardState, RecoveredState};
use vanepath_store::disk::Disk;
use vanepath_store::value::{AcceptedProposal, Ballot, Value, digest_of};

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("vanepath-disk-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

fn value(revision: u64, parent: Option<&Value>, batched_before: u32) -> Value {
    Value {
        revision,
        parent_revision: revision.saturating_sub(1),
        parent: parent.map(|value| digest_of(&value.encode())).unwrap_or_default(),
        config_revision: revision,
        config_version: 0,
        document: format!("setup {revision}").into_bytes(),
        drained_zones: Default::default(),
        extra_drain_orders: Default::default(),
        members: Vec::new(),
        batched_before,
        recent_writes: Default::default(),
        older_writes: Default::default(),
        version_hashes: Default::default(),
    }
}

fn version(value: &Value) -> DiskWrite {
    let bytes = value.encode();
    DiskWrite::Version { id: value.id(), bytes }
}

fn state(incarnation: u64, value: &Value) -> HardState {
    let ballot = Ballot { number: value.revision + 1, incarnation };
    let digest = digest_of(&value.encode());
    let accepted = Some(AcceptedProposal { ballot, revision: value.revision, digest });
    HardState { incarnation, promised: ballot, accepted }
}

fn files(folder: &Path) -> Vec<(PathBuf, Vec<u8>)> {
    let mut all: Vec<(PathBuf, Vec<u8>)> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .map(|path| (path.clone(), std::fs::read(path).unwrap()))
        .collect();
    all.sort();
    all
}

fn load(folder: &Path) -> RecoveredState {
    Disk::open(folder).unwrap().load(77).unwrap()
}

fn path_of(folder: &Path, prefix: &str) -> PathBuf {
    let mut all = files(folder).into_iter().map(|(path, _)| path);
    all.find(|path| path.file_name().unwrap().to_str().unwrap().starts_with(prefix)).unwrap()
}

/// A promise takes two syncs and an accepted version three. A batch takes one more for each further version,
/// and one for the names of the version files.
#[test]
fn a_save_syncs_no_more_than_it_has_to() {
    let folder = folder("syncs");
    let disk = Disk::open(&folder).unwrap();
    let recovered = disk.load(7).unwrap();
    assert_eq!(disk.save(&[DiskWrite::State(recovered.state)]).unwrap(), 2);
    let mut last = value(0, None, 0);
    for revision in 1..6 {
        assert_eq!(disk.save(&[version(&last), DiskWrite::State(state(7, &last))]).unwrap(), 3);
        last = value(revision, Some(&last), 0);
    }
    let next = value(last.revision + 1, Some(&last), 1);
    let writes = [version(&last), version(&next), DiskWrite::State(state(7, &next))];
    assert_eq!(disk.save(&writes).unwrap(), 5);
    drop(disk);
    let recovered = load(&folder);
    assert_eq!(recovered.value.as_deref(), Some(&next));
    assert_eq!(
        recovered.batch.iter().map(|ancestor| ancestor.revision).collect::<Vec<u64>>(),
        [last.revision]
    );
    assert_eq!(recovered.versions.len(), 7);
    std::fs::remove_dir_all(&folder).unwrap();
}

/// If power is lost during a save, any subset of its renames and new names may be durable. The version to
/// which the state refers must be found in each case.
#[test]
fn after_a_power_loss_the_state_finds_its_version() {
    let folder = folder("power");
    // Two turns, so that both spare files are used.
    for turn in 0..2_u64 {
        let disk = Disk::open(&folder).unwrap();
        disk.load(7).unwrap();
        let old = value(10 * turn, None, 0);
        disk.save(&[version(&old), DiskWrite::State(state(7, &old))]).unwrap();
        if turn == 1 {
            let again = value(5, None, 0);
            disk.save(&[version(&again), DiskWrite::State(state(7, &again))]).unwrap();
            disk.save(&[DiskWrite::State(state(7, &old))]).unwrap();
        }
        let before = files(&folder);
        let new = value(10 * turn + 1, Some(&old), 0);
        disk.save(&[version(&new), DiskWrite::State(state(7, &new))]).unwrap();
        drop(disk);
        let after = files(&folder);
        // The previous spare file holds the version's bytes unless its rename is durable.
        let spare = before.iter().find(|(path, _)| path.to_str().unwrap().contains("spare-"));
        let spare = spare.unwrap().0.clone();
        let version_path = path_of(&folder, &format!("version-{:020}", new.revision));
        let bytes = std::fs::read(&version_path).unwrap();
        let next_spare = path_of(&folder, "spare-");
        assert_ne!(
            next_spare, spare,
            "the previous spare name is not reused before the rename is durable"
        );
        for durable in 0..8 {
            let (is_state, is_version, is_spare) =
                (durable & 1 > 0, durable & 2 > 0, durable & 4 > 0);
            for (path, _) in files(&folder) {
                std::fs::remove_file(path).unwrap();
            }
            for (path, bytes) in if is_state { &after } else { &before } {
                let is_new = *path == version_path || *path == next_spare || *path == spare;
                if !is_new {
                    std::fs::write(path, bytes).unwrap();
                }
            }
            std::fs::write(if is_version { &version_path } else { &spare }, &bytes).unwrap();
            if is_spare {
                std::fs::write(&next_spare, b"").unwrap();
            }
            let recovered = load(&folder);
            let expected = if is_state { &new } else { &old };
            assert_eq!(recovered.value.as_deref(), Some(expected), "{durable}");
            assert_eq!(recovered.state, state(7, expected));
            // The next save succeeds as well.
            let disk = Disk::open(&folder).unwrap();
            disk.load(7).unwrap();
            let next = value(10 * turn + 2, Some(expected), 0);
            disk.save(&[version(&next), DiskWrite::State(state(7, &next))]).unwrap();
            drop(disk);
            assert_eq!(load(&folder).value.as_deref(), Some(&next));
        }
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A spare file that was only partly written when power was lost counts as absent.
#[test]
fn a_torn_spare_file_counts_as_absent() {
    let folder = folder("torn");
    let disk = Disk::open(&folder).unwrap();
    disk.load(7).unwrap();
    let old = value(1, None, 0);
    disk.save(&[version(&old), DiskWrite::State(state(7, &old))]).unwrap();
    drop(disk);
    let intact = std::fs::read(path_of(&folder, "version-")).unwrap();
    std::fs::write(path_of(&folder, "spare-"), &intact[..intact.len() / 2]).unwrap();
    let recovered = load(&folder);
    assert_eq!((recovered.value.as_deref(), recovered.versions.len()), (Some(&old), 1));
    std::fs::remove_dir_all(&folder).unwrap();
}

/// After the reset of a removed member's disk, the old versions are gone and the new incarnation is durable.
#[test]
fn a_reset_disk_is_empty_under_its_new_incarnation() {
    let folder = folder("reset");
    let disk = Disk::open(&folder).unwrap();
    disk.load(7).unwrap();
    let old = value(1, None, 0);
    disk.save(&[version(&old), DiskWrite::State(state(7, &old))]).unwrap();
    let recovered = disk.reset(8).unwrap();
    assert_eq!((recovered.state.incarnation, recovered.state.accepted), (8, None));
    drop(disk);
    let recovered = load(&folder);
    assert_eq!((recovered.state.incarnation, recovered.state.accepted), (8, None));
    assert!(recovered.versions.is_empty() && recovered.value.is_none());
    assert!(!files(&folder).iter().any(|(path, _)| path.to_str().unwrap().contains("version-")));
    std::fs::remove_dir_all(&folder).unwrap();
}

/// After a failed write or sync, a disk is read and written again before its contents are relied on.
/// Afterwards all of its contents are durable, and the next save succeeds.
#[test]
fn a_recovered_disk_holds_what_it_held() {
    let folder = folder("works-again");
    let disk = Disk::open(&folder).unwrap();
    disk.load(7).unwrap();
    let old = value(1, None, 0);
    let new = value(2, Some(&old), 1);
    disk.save(&[version(&old), version(&new), DiskWrite::State(state(7, &new))]).unwrap();
    // Simulates a full disk: a folder with the name of the next temporary file makes the write fail.
    let blocked = folder.join("state.cbor.aside");
    std::fs::create_dir(&blocked).unwrap();
    let next = value(3, Some(&new), 0);
    assert!(disk.save(&[version(&next), DiskWrite::State(state(7, &next))]).is_err());
    assert!(disk.recover(9).is_err(), "the disk still fails");
    std::fs::remove_dir(&blocked).unwrap();
    let recovered = disk.recover(9).unwrap();
    assert_eq!(recovered.state, state(7, &new), "the unsaved state was never acknowledged");
    assert_eq!(recovered.value.as_deref(), Some(&new));
    assert_eq!(recovered.batch.iter().map(|ancestor| ancestor.revision).collect::<Vec<u64>>(), [1]);
    disk.save(&[version(&next), DiskWrite::State(state(7, &next))]).unwrap();
    drop(disk);
    assert_eq!(load(&folder).value.as_deref(), Some(&next));
    std::fs::remove_dir_all(&folder).unwrap();
}
