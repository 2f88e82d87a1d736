//! Submissions under their callers' keys, in short, for as long as a repeat of them has to be known as
//! one (design 6.2): a record of twenty bytes each.

use crate::talk::Submission;

/// Together with the last writes (`talk::KEYS_MOST`) more than a day of the design size has (2,400).
pub const OLDER_KEYS_MOST: usize = 2304;

/// What is known of a write by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    /// The first half of what `Change::matter` told.
    matter: u32,
    pub revision: u64,
    pub setup_revision: u64,
}

impl Known {
    pub fn of(submission: &Submission) -> Known {
        Known {
            matter: half(submission.matter),
            revision: submission.revision,
            setup_revision: submission.setup_revision,
        }
    }

    /// Whether that write asked for the same.
    pub fn is_of(&self, matter: u64) -> bool {
        self.matter == half(matter)
    }
}

fn half(matter: u64) -> u32 {
    (matter >> 32) as u32
}

/// Records one after the other, the oldest first: eight bytes of the key's digest, four each of what was
/// asked for, the revision and the setup's revision, big end first.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct OlderKeys(#[serde(with = "serde_bytes")] Vec<u8>);

const RECORD: usize = 20;
const KEY: usize = 8;

impl OlderKeys {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn push(&mut self, submission: &Submission) {
        if self.0.len() >= RECORD * OLDER_KEYS_MOST {
            self.0.drain(..RECORD);
        }
        let known = Known::of(submission);
        self.0.extend(fingerprint(&submission.key));
        self.0.extend(known.matter.to_be_bytes());
        for revision in [known.revision, known.setup_revision] {
            self.0.extend(u32::try_from(revision).unwrap_or(u32::MAX).to_be_bytes());
        }
    }

    pub fn find(&self, key: &str) -> Option<Known> {
        let wanted = fingerprint(key);
        let record = self.0.chunks_exact(RECORD).rfind(|record| record[..KEY] == wanted)?;
        let number = |at: usize| {
            let bytes = &record[KEY + 4 * at..KEY + 4 * at + 4];
            u32::from_be_bytes(bytes.try_into().expect("four bytes"))
        };
        let (revision, setup_revision) = (u64::from(number(1)), u64::from(number(2)));
        Some(Known { matter: number(0), revision, setup_revision })
    }
}

fn fingerprint(key: &str) -> [u8; KEY] {
    let digest = vanepath_setup::digest(&[b"key", key.as_bytes()]);
    digest[..KEY].try_into().expect("a digest is longer")
}
