//! Submissions under their callers' keys, in short, for as long as a repeat of them has to be known as
//! one (design 6.2): a record of twenty-four bytes each.

use crate::protocol::IdempotencyRecord;

/// Together with the last writes (`talk::KEYS_MOST`) more than a day of the design size has (2,400).
pub const MAX_OLDER_WRITES: usize = 2304;

/// What is known of a write by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownWrite {
    /// What `Change::matter` told.
    matter: u64,
    pub revision: u64,
    pub setup_revision: u64,
}

impl KnownWrite {
    pub fn of(submission: &IdempotencyRecord) -> KnownWrite {
        KnownWrite {
            matter: submission.content_hash,
            revision: submission.revision,
            setup_revision: submission.config_revision,
        }
    }

    /// Whether that write asked for the same.
    pub fn has_content(&self, matter: u64) -> bool {
        self.matter == matter
    }
}

/// Records one after the other, the oldest first: eight bytes each of the key's digest and of what was asked
/// for, four each of the revision and the setup's revision, big end first.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct OlderWrites(#[serde(with = "serde_bytes")] Vec<u8>);

const RECORD: usize = 24;
const KEY: usize = 8;
const MATTER: usize = 16;
const REVISION: usize = 20;

impl OlderWrites {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn push(&mut self, submission: &IdempotencyRecord) {
        if self.0.len() >= RECORD * MAX_OLDER_WRITES {
            self.0.drain(..RECORD);
        }
        let known = KnownWrite::of(submission);
        self.0.extend(fingerprint(&submission.key));
        self.0.extend(known.matter.to_be_bytes());
        for revision in [known.revision, known.setup_revision] {
            self.0.extend(u32::try_from(revision).unwrap_or(u32::MAX).to_be_bytes());
        }
    }

    pub fn find(&self, key: &str) -> Option<KnownWrite> {
        let wanted = fingerprint(key);
        let record = self.0.chunks_exact(RECORD).rfind(|record| record[..KEY] == wanted)?;
        let matter = u64::from_be_bytes(record[KEY..MATTER].try_into().expect("eight bytes"));
        let revision_of =
            |bytes: &[u8]| u64::from(u32::from_be_bytes(bytes.try_into().expect("four bytes")));
        Some(KnownWrite {
            matter,
            revision: revision_of(&record[MATTER..REVISION]),
            setup_revision: revision_of(&record[REVISION..]),
        })
    }
}

fn fingerprint(key: &str) -> [u8; KEY] {
    let digest = vanepath_config::digest(&[b"key", key.as_bytes()]);
    digest[..KEY].try_into().expect("a digest is longer")
}
