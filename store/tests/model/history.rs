//! What the operator was told, and the properties that it has to have.

use crate::world::Call;
use std::collections::BTreeMap;
use vanepath_store::protocol::{Change, Outcome};
use vanepath_store::value::{Value, digest_of};

/// A call with what had been acknowledged or read when it was begun.
#[derive(Clone)]
struct Begun {
    call: Call,
    /// Revisions up to this one had been acknowledged or read.
    floor: u64,
    /// So many versions and submissions had been acknowledged.
    acknowledged: usize,
    is_over: bool,
}

/// Something that was told as accepted.
#[derive(Clone, Debug)]
enum Acknowledged {
    Version { version: u64, text: &'static str },
    Submission { key: &'static str, revision: u64 },
}

#[derive(Clone, Default)]
pub struct History {
    calls: Vec<Begun>,
    acknowledged: Vec<Acknowledged>,
    floor: u64,
    /// By revision; each has one content.
    contents: BTreeMap<u64, [u8; 32]>,
    /// What is wrong.
    pub faults: Vec<String>,
}

impl History {
    pub fn fault(&mut self, text: String) {
        self.faults.push(text);
    }

    pub fn begin(&mut self, call: Call) -> usize {
        let (floor, acknowledged) = (self.floor, self.acknowledged.len());
        self.calls.push(Begun { call, floor, acknowledged, is_over: false });
        self.calls.len() - 1
    }

    pub fn is_over(&self) -> bool {
        self.calls.iter().all(|one| one.is_over)
    }

    /// The operator waits no longer.
    pub fn give_up(&mut self) {
        self.calls.iter_mut().for_each(|one| one.is_over = true);
    }

    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    /// A store holds this for chosen.
    pub fn chosen(&mut self, value: &Value) {
        let digest = digest_of(&value.encode());
        let known = *self.contents.entry(value.revision).or_insert(digest);
        if known != digest {
            self.fault(format!("two contents of revision {}", value.revision));
        }
    }

    /// A call is answered; with `None` nobody knows what became of it.
    pub fn end(&mut self, number: usize, outcome: Option<Outcome>) {
        self.calls[number].is_over = true;
        let begun = self.calls[number].clone();
        match (&begun.call, outcome) {
            (Call::Read { .. }, Some(Outcome::Value { value })) => self.read(&begun, &value),
            (Call::Setup { version, text, .. }, Some(Outcome::Accepted { revision, .. })) => {
                self.accepted_version(*version, text);
                self.floor = self.floor.max(revision);
            }
            (Call::Setup { version, text, .. }, Some(Outcome::VersionTaken { .. })) => {
                self.refused_version(&begun, *version, text);
            }
            (Call::Submission { key, .. }, Some(Outcome::Accepted { revision, .. })) => {
                self.accepted_submission(key, revision);
                self.floor = self.floor.max(revision);
            }
            _ => {}
        }
    }

    fn accepted_version(&mut self, wanted: u64, said: &'static str) {
        let other = self.acknowledged.iter().find_map(|one| match one {
            Acknowledged::Version { version, text } if *version == wanted => Some(*text),
            _ => None,
        });
        match other {
            Some(text) if text != said => {
                self.fault(format!("'{text}' and '{said}' acknowledged under version {wanted}"));
            }
            Some(_) => {}
            None => self.acknowledged.push(Acknowledged::Version { version: wanted, text: said }),
        }
    }

    /// What was acknowledged before is never refused when it is sent again.
    fn refused_version(&mut self, begun: &Begun, wanted: u64, said: &str) {
        let is_it = |one: &Acknowledged| match one {
            Acknowledged::Version { version, text } => *version == wanted && *text == said,
            Acknowledged::Submission { .. } => false,
        };
        if self.acknowledged[..begun.acknowledged].iter().any(is_it) {
            self.fault(format!("'{said}' under version {wanted} acknowledged, then refused"));
        }
    }

    fn accepted_submission(&mut self, wanted: &'static str, told: u64) {
        let other = self.acknowledged.iter().find_map(|one| match one {
            Acknowledged::Submission { key, revision } if *key == wanted => Some(*revision),
            _ => None,
        });
        match other {
            Some(revision) if revision != told => {
                self.fault(format!("submission '{wanted}' counted as {revision} and as {told}"));
            }
            Some(_) => {}
            None => {
                let one = Acknowledged::Submission { key: wanted, revision: told };
                self.acknowledged.push(one);
            }
        }
    }

    /// A read shows all that was acknowledged or read before it was asked for.
    fn read(&mut self, begun: &Begun, value: &Value) {
        if value.revision < begun.floor {
            let (told, floor) = (value.revision, begun.floor);
            self.fault(format!("a read told revision {told}, and {floor} was known before"));
        }
        let lacks = |one: &Acknowledged| match one {
            Acknowledged::Version { version, text } => {
                let change = Change::ReplaceConfig {
                    bytes: text.as_bytes().to_vec(),
                    if_revision: None,
                    version: None,
                };
                value.version_hashes.get(version) != Some(&change.content_hash())
            }
            Acknowledged::Submission { key, revision } => {
                value.known_write(key).is_none_or(|known| known.revision != *revision)
            }
        };
        let lost: Vec<String> = self.acknowledged[..begun.acknowledged]
            .iter()
            .filter(|one| lacks(one))
            .map(|one| format!("{one:?} acknowledged and lost"))
            .collect();
        self.faults.extend(lost);
        self.chosen(value);
        self.floor = self.floor.max(value.revision);
    }
}
