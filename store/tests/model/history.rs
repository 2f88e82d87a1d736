//! The history of the operator's calls and their outcomes, and the properties that it must have.

use crate::world::Call;
use std::collections::BTreeMap;
use vanepath_store::protocol::{Change, Outcome};
use vanepath_store::value::{Value, digest_of};

/// A call, with what had been acknowledged or read before it began.
#[derive(Clone)]
struct OpenCall {
    call: Call,
    /// The highest revision that had been acknowledged or read.
    known_revision: u64,
    /// Number of versions and keyed writes that had been acknowledged.
    acknowledged: usize,
    has_ended: bool,
}

/// A write that was acknowledged as accepted.
#[derive(Clone, Debug)]
enum Acknowledged {
    Version { version: u64, text: &'static str },
    KeyedWrite { key: &'static str, revision: u64 },
}

#[derive(Clone, Default)]
pub struct History {
    calls: Vec<OpenCall>,
    acknowledged: Vec<Acknowledged>,
    known_revision: u64,
    /// Digest of the content of each revision; a revision must not have two contents.
    contents: BTreeMap<u64, [u8; 32]>,
    /// Violated properties.
    pub faults: Vec<String>,
}

impl History {
    pub fn fault(&mut self, text: String) {
        self.faults.push(text);
    }

    pub fn begin(&mut self, call: Call) -> usize {
        let (known_revision, acknowledged) = (self.known_revision, self.acknowledged.len());
        self.calls.push(OpenCall { call, known_revision, acknowledged, has_ended: false });
        self.calls.len() - 1
    }

    pub fn all_ended(&self) -> bool {
        self.calls.iter().all(|open_call| open_call.has_ended)
    }

    /// Ends all open calls: the operator gives up waiting for them.
    pub fn give_up(&mut self) {
        self.calls.iter_mut().for_each(|open_call| open_call.has_ended = true);
    }

    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    /// Records that a store knows this value as committed.
    pub fn committed(&mut self, value: &Value) {
        let digest = digest_of(&value.encode());
        let known = *self.contents.entry(value.revision).or_insert(digest);
        if known != digest {
            self.fault(format!("two contents of revision {}", value.revision));
        }
    }

    /// Ends a call; `None`: its outcome is unknown.
    pub fn end(&mut self, number: usize, outcome: Option<Outcome>) {
        self.calls[number].has_ended = true;
        let open_call = self.calls[number].clone();
        match (&open_call.call, outcome) {
            (Call::Read { .. }, Some(Outcome::Value { value })) => self.read(&open_call, &value),
            (Call::Config { version, text, .. }, Some(Outcome::Accepted { revision, .. })) => {
                self.accepted_version(*version, text);
                self.known_revision = self.known_revision.max(revision);
            }
            (Call::Config { version, text, .. }, Some(Outcome::VersionTaken { .. })) => {
                self.rejected_version(&open_call, *version, text);
            }
            (Call::KeyedWrite { key, .. }, Some(Outcome::Accepted { revision, .. })) => {
                self.accepted_keyed_write(key, revision);
                self.known_revision = self.known_revision.max(revision);
            }
            _ => {}
        }
    }

    fn accepted_version(&mut self, call_version: u64, content: &'static str) {
        let other = self.acknowledged.iter().find_map(|write| match write {
            Acknowledged::Version { version, text } if *version == call_version => Some(*text),
            _ => None,
        });
        match other {
            Some(text) if text != content => {
                self.fault(format!(
                    "'{text}' and '{content}' acknowledged under version {call_version}"
                ));
            }
            Some(_) => {}
            None => self
                .acknowledged
                .push(Acknowledged::Version { version: call_version, text: content }),
        }
    }

    /// A write that was acknowledged before the call began must not be rejected when it is sent again.
    fn rejected_version(&mut self, open_call: &OpenCall, call_version: u64, content: &str) {
        let is_same = |write: &Acknowledged| match write {
            Acknowledged::Version { version, text } => *version == call_version && *text == content,
            Acknowledged::KeyedWrite { .. } => false,
        };
        if self.acknowledged[..open_call.acknowledged].iter().any(is_same) {
            self.fault(format!(
                "'{content}' under version {call_version} acknowledged, then rejected"
            ));
        }
    }

    fn accepted_keyed_write(&mut self, call_key: &'static str, acknowledged_revision: u64) {
        let other = self.acknowledged.iter().find_map(|write| match write {
            Acknowledged::KeyedWrite { key, revision } if *key == call_key => Some(*revision),
            _ => None,
        });
        match other {
            Some(revision) if revision != acknowledged_revision => {
                self.fault(format!(
                    "write '{call_key}' acknowledged as revisions {revision} and {acknowledged_revision}"
                ));
            }
            Some(_) => {}
            None => {
                let write =
                    Acknowledged::KeyedWrite { key: call_key, revision: acknowledged_revision };
                self.acknowledged.push(write);
            }
        }
    }

    /// A read must return everything that was acknowledged or read before it began.
    fn read(&mut self, open_call: &OpenCall, value: &Value) {
        if value.revision < open_call.known_revision {
            let (read_revision, known_revision) = (value.revision, open_call.known_revision);
            self.fault(format!(
                "a read returned revision {read_revision}, but {known_revision} was known before"
            ));
        }
        let lacks = |write: &Acknowledged| match write {
            Acknowledged::Version { version, text } => {
                let change = Change::ReplaceConfig {
                    bytes: text.as_bytes().to_vec(),
                    if_revision: None,
                    version: None,
                };
                value.version_hashes.get(version) != Some(&change.content_hash())
            }
            Acknowledged::KeyedWrite { key, revision } => {
                value.known_write(key).is_none_or(|known| known.revision != *revision)
            }
        };
        let lost: Vec<String> = self.acknowledged[..open_call.acknowledged]
            .iter()
            .filter(|write| lacks(write))
            .map(|write| format!("{write:?} acknowledged and lost"))
            .collect();
        self.faults.extend(lost);
        self.committed(value);
        self.known_revision = self.known_revision.max(value.revision);
    }
}
