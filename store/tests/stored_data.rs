//! Compatibility of data folders with earlier versions: their folders are read with the same contents, and
//! the same values are written as the same bytes, because after an update a store continues with its folder
//! (design 6.1).

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use vanepath_store::consensus::{DiskWrite, RecoveredState};
use vanepath_store::disk::Disk;
use vanepath_store::value::{Ballot, MemberTable, Value, VersionId, digest_of};

/// The incarnation of a folder whose state file counts as absent.
const NEW_INCARNATION: u64 = 4242;

fn fixture(kind: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/data").join(kind)
}

/// A copy of a fixture that a test may write to.
fn copied(kind: &str, purpose: &str) -> PathBuf {
    let name = format!("vanepath-stored-{kind}-{purpose}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    for entry in std::fs::read_dir(fixture(kind)).unwrap() {
        let path = entry.unwrap().path();
        std::fs::copy(&path, folder.join(path.file_name().unwrap())).unwrap();
    }
    folder
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn show_ballot(ballot: Ballot) -> String {
    format!("{}.{}", ballot.number, ballot.incarnation)
}

fn show_members(members: &MemberTable) -> String {
    let shown: Vec<String> = members
        .iter()
        .map(|slot| match slot {
            Some(member) => {
                format!("{}/{}/{}", member.name, member.incarnation, member.joined_later)
            }
            None => "vacant".to_string(),
        })
        .collect();
    shown.join(" ")
}

fn show_value(value: &Value) -> String {
    let mut text = format!("version {} {}\n", value.revision, hex(&digest_of(&value.encode())));
    let _ = writeln!(text, "  parent {} {}", value.parent_revision, hex(&value.parent));
    let _ = writeln!(text, "  setup {} {}", value.config_revision, value.config_version);
    let _ = writeln!(text, "  bytes {}", String::from_utf8_lossy(&value.document));
    let _ = writeln!(text, "  emptied {:?} {:?}", value.drained_zones, value.extra_drain_orders);
    let _ = writeln!(
        text,
        "  seats {} together {}",
        show_members(&value.members),
        value.batched_before
    );
    for record in &value.recent_writes {
        let _ = writeln!(
            text,
            "  key {} {:x} {} {} {}",
            record.key,
            record.content_hash,
            record.revision,
            record.config_revision,
            record.is_generated
        );
    }
    for number in 1..=60 {
        let key = format!("operator-{number}");
        if let Some(known) = value.older_writes.find(&key) {
            let is_same = known.has_content(0x1111_0000_0000_0000 + number);
            let (revision, config_revision) = (known.revision, known.config_revision);
            let _ = writeln!(text, "  older {key} {is_same} {revision} {config_revision}");
        }
    }
    let _ = writeln!(text, "  versions {:x?}", value.version_hashes);
    text
}

fn show(recovered: &RecoveredState) -> String {
    let mut text = format!(
        "incarnation {} promised {}\n",
        recovered.state.incarnation,
        show_ballot(recovered.state.promised)
    );
    match &recovered.state.accepted {
        Some(accepted) => {
            let ballot = show_ballot(accepted.ballot);
            let _ =
                writeln!(text, "accepted {ballot} {} {}", accepted.revision, hex(&accepted.digest));
        }
        None => text += "accepted nothing\n",
    }
    match &recovered.value {
        Some(value) => text += &show_value(value),
        None => text += "no value\n",
    }
    for value in &recovered.batch {
        let _ = writeln!(text, "together with {}", value.revision);
    }
    let mut versions: Vec<_> = recovered.versions.iter().collect();
    versions.sort_by_key(|stored| stored.id);
    for stored in versions {
        let (revision, digest) = (stored.id.revision, hex(&stored.id.digest));
        let (parent_revision, parent) = (stored.parent.revision, hex(&stored.parent.digest));
        let bytes = stored.bytes;
        let _ = writeln!(text, "kept {revision} {digest} {parent_revision} {parent} {bytes}");
    }
    text
}

/// The files of a folder whose names start with `prefix`, with their contents.
fn files(folder: &Path, prefix: &str) -> Vec<(String, Vec<u8>)> {
    let mut all: Vec<(String, Vec<u8>)> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .map(|path| (path.file_name().unwrap().to_str().unwrap().to_string(), path))
        .filter(|(name, _)| name.starts_with(prefix))
        .map(|(name, path)| (name, std::fs::read(path).unwrap()))
        .collect();
    all.sort();
    all
}

/// Loads a folder and compares its contents with those that the writing version had stored.
fn check(kind: &str, expected: expect_test::ExpectFile) {
    let folder = copied(kind, "read");
    let disk = Disk::open(&folder).unwrap();
    let recovered = disk.load(NEW_INCARNATION).unwrap();
    expected.assert_eq(&show(&recovered));
    drop(disk);
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Writes all readable versions and the state to an empty folder; the files must be identical.
fn check_rewrite(kind: &str) {
    let folder = copied(kind, "source");
    let before_state = files(&folder, "state.cbor");
    let source = Disk::open(&folder).unwrap();
    let recovered = source.load(NEW_INCARNATION).unwrap();
    let target_folder = copied("fresh", &format!("{kind}-target"));
    let target = Disk::open(&target_folder).unwrap();
    target.load(NEW_INCARNATION).unwrap();
    let mut versions = 0;
    for stored in &recovered.versions {
        let Some(value) = source.version(&stored.id) else { continue };
        let (bytes, revision) = (value.encode(), stored.id.revision);
        let digest = digest_of(&bytes);
        assert_eq!(
            digest, stored.id.digest,
            "{kind}: the digest of revision {revision} has changed"
        );
        let id = VersionId { revision, digest };
        target.save(&[DiskWrite::Version { id, bytes }]).unwrap();
        versions += 1;
    }
    assert_eq!(versions, recovered.versions.len(), "{kind}");
    target.save(&[DiskWrite::State(recovered.state)]).unwrap();
    let written = files(&target_folder, "version-");
    let before: Vec<(String, Vec<u8>)> = files(&folder, "version-")
        .into_iter()
        .filter(|(name, _)| written.iter().any(|(written_name, _)| written_name == name))
        .collect();
    assert_eq!(written, before, "{kind}: the version files differ");
    assert_eq!(files(&target_folder, "state.cbor"), before_state, "{kind}: the state file differs");
    drop((source, target));
    std::fs::remove_dir_all(&folder).unwrap();
    std::fs::remove_dir_all(&target_folder).unwrap();
}

#[test]
fn a_fresh_folder_is_read_and_written_as_before() {
    check("fresh", expect_test::expect_file!["fixtures/fresh.txt"]);
    check_rewrite("fresh");
}

#[test]
fn the_first_version_is_read_and_written_as_before() {
    check("bootstrap", expect_test::expect_file!["fixtures/bootstrap.txt"]);
    check_rewrite("bootstrap");
}

#[test]
fn many_versions_proposed_in_batches_are_read_and_written_as_before() {
    check("many-versions", expect_test::expect_file!["fixtures/many-versions.txt"]);
    check_rewrite("many-versions");
}

#[test]
fn evacuations_and_older_keys_are_read_and_written_as_before() {
    let expected = expect_test::expect_file!["fixtures/evacuations-and-older-keys.txt"];
    check("evacuations-and-older-keys", expected);
    check_rewrite("evacuations-and-older-keys");
}

#[test]
fn a_damaged_version_counts_as_absent_as_before() {
    check("damaged-version", expect_test::expect_file!["fixtures/damaged-version.txt"]);
    check_rewrite("damaged-version");
    let accepted = expect_test::expect_file!["fixtures/damaged-accepted-version.txt"];
    check("damaged-accepted-version", accepted);
    check_rewrite("damaged-accepted-version");
}

#[test]
fn a_damaged_state_makes_an_empty_disk_as_before() {
    check("damaged-state", expect_test::expect_file!["fixtures/damaged-state.txt"]);
}

#[test]
fn a_replacement_under_way_is_read_and_written_as_before() {
    check("mid-replacement", expect_test::expect_file!["fixtures/mid-replacement.txt"]);
    check_rewrite("mid-replacement");
}

#[test]
fn a_version_that_only_the_spare_holds_is_found_as_before() {
    check("spare-holds-version", expect_test::expect_file!["fixtures/spare-holds-version.txt"]);
    check_rewrite("spare-holds-version");
}

#[test]
fn a_version_without_the_later_fields_is_read_and_written_as_before() {
    let expected = expect_test::expect_file!["fixtures/without-later-fields.txt"];
    check("without-later-fields", expected);
    check_rewrite("without-later-fields");
}

#[test]
fn hints_are_read_and_written_as_before() {
    let folder = copied("hints", "read");
    let disk = Disk::open(&folder).unwrap();
    disk.load(NEW_INCARNATION).unwrap();
    let hints = disk.hints();
    let plan = &hints.plan;
    let mut text = format!("siblings {:?}\n", hints.nodes);
    let _ =
        writeln!(text, "plan {} {} {} {}", plan.epoch, plan.counter, plan.leader, plan.revision);
    let _ = writeln!(text, "moved {:?}", plan.shifted);
    let warming_up: Vec<String> = plan
        .warming_up
        .iter()
        .map(|(server, entry)| format!("{server} {} {}", entry.age_ms, entry.connection_refused))
        .collect();
    let _ = writeln!(text, "cold {warming_up:?}");
    let _ = writeln!(text, "away {:?}", plan.unreachable);
    expect_test::expect_file!["fixtures/hints.txt"].assert_eq(&text);
    let before = files(&folder, "hints.cbor");
    std::fs::remove_file(folder.join("hints.cbor")).unwrap();
    disk.save_hints(&hints).unwrap();
    assert_eq!(files(&folder, "hints.cbor"), before);
    drop(disk);
    std::fs::remove_dir_all(&folder).unwrap();
}
