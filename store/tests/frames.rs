//! What stores and registries say to each other, byte for byte: programs of two versions talk to each
//! other while they are replaced one by one (design 6.2).

use std::fmt::Write as _;
use std::time::Duration;
use vanepath_cluster::wire::{decode, encode};
use vanepath_store::idempotency::OlderKeys;
use vanepath_store::protocol::{
    Ask, Ballot, Change, Holder, Membership, Meta, Outcome, Refusal, Submission, Tell, Value,
};

#[derive(Default)]
struct Frames {
    text: String,
}

impl Frames {
    /// Notes a message's bytes and shows that they are read as that very message.
    fn add<T>(&mut self, label: &str, message: &T)
    where
        T: serde::Serialize + serde::de::DeserializeOwned,
    {
        let bytes = encode(message);
        let read: T = decode(&bytes).unwrap_or_else(|| panic!("{label} is not read"));
        assert_eq!(encode(&read), bytes, "{label}");
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        let _ = writeln!(self.text, "{label} {hex}");
    }
}

fn ballot(number: u64) -> Ballot {
    Ballot { number, incarnation: 8 }
}

fn meta(revision: u64) -> Meta {
    Meta { ballot: ballot(revision + 1), revision, digest: [revision as u8; 32] }
}

/// With the fields that are left out where there is nothing in them.
fn full_value() -> Value {
    let submission = |number: u64, is_made: bool| Submission {
        key: format!("key-{number}"),
        matter: 1000 + number,
        revision: number,
        setup_revision: number - 1,
        is_made,
    };
    let mut older_keys = OlderKeys::default();
    older_keys.push(&submission(1, false));
    Value {
        revision: 5,
        parent_revision: 4,
        parent: [4; 32],
        setup_revision: 3,
        setup_version: 2,
        setup: b"setup".to_vec(),
        emptied: ["north-1".to_string()].into(),
        further_orders: [("north-1".to_string(), 2)].into(),
        seats: vec![
            Some(Holder { name: "store-0".to_string(), incarnation: 7, admitted: false }),
            Some(Holder { name: "store-9".to_string(), incarnation: 70, admitted: true }),
            None,
        ],
        together: 1,
        keys: [submission(4, false), submission(5, true)].into(),
        older_keys,
        versions: [(2, 22)].into(),
    }
}

fn bare_value() -> Value {
    Value {
        revision: 0,
        parent_revision: 0,
        parent: [0; 32],
        setup_revision: 0,
        setup_version: 0,
        setup: Vec::new(),
        emptied: Default::default(),
        further_orders: Default::default(),
        seats: Vec::new(),
        together: 0,
        keys: Default::default(),
        older_keys: Default::default(),
        versions: Default::default(),
    }
}

fn changes() -> Vec<(&'static str, Change)> {
    let setup = |if_revision, version| Change::Setup { bytes: b"s".to_vec(), if_revision, version };
    vec![
        ("setup-bare", setup(None, None)),
        ("setup-conditional", setup(Some(4), Some(9))),
        ("empty", Change::Empty { zone: "north-1".to_string() }),
        ("return", Change::Return { zone: "north-1".to_string() }),
    ]
}

#[test]
fn requests_keep_their_bytes() {
    let mut frames = Frames::default();
    frames.add("prepare", &Ask::Prepare { from: 7, ballot: ballot(3), has: None });
    let has = Some([9; 32]);
    frames.add("prepare-has", &Ask::Prepare { from: 7, ballot: ballot(3), has });
    let (from, value) = (7, bare_value());
    frames.add("accept-bare", &Ask::Accept { from, ballot: ballot(3), value, before: Vec::new() });
    let (value, before) = (full_value(), vec![bare_value()]);
    frames.add("accept-full", &Ask::Accept { from, ballot: ballot(3), value, before });
    frames.add("query", &Ask::Query);
    frames.add("alive", &Ask::Alive);
    frames.add("fetch", &Ask::Fetch { revision: 3, digest: [3; 32] });
    frames.add("membership", &Ask::Membership { from: 7, wants_value: false });
    frames.add("membership-value", &Ask::Membership { from: 7, wants_value: true });
    for (label, change) in changes() {
        let key = "key".to_string();
        frames.add(&format!("change-{label}"), &Ask::Change { key, change, unnamed_for: None });
    }
    let (key, change) = ("key".to_string(), changes().remove(0).1);
    let unnamed_for = Some(Duration::from_millis(1500));
    frames.add("change-unnamed", &Ask::Change { key, change, unnamed_for });
    frames.add("read", &Ask::Read);
    frames.add("history", &Ask::History { revision: 3 });
    frames.add("answered", &Ask::Answered { matter: 4, revision: 3 });
    frames.add("floor", &Ask::Floor);
    expect_test::expect_file!["fixtures/requests.txt"].assert_eq(&frames.text);
}

#[test]
fn replies_keep_their_bytes() {
    let mut frames = Frames::default();
    let (from, accepted) = (7, meta(5));
    let bare = Tell::Promise { from, accepted, value: None, before: Vec::new(), open: None };
    frames.add("promise-bare", &bare);
    let full = Tell::Promise {
        from,
        accepted,
        value: Some(full_value()),
        before: vec![bare_value()],
        open: Some(vec![("key-5".to_string(), 1200)]),
    };
    frames.add("promise-full", &full);
    frames.add("accepted", &Tell::Accepted { from });
    for why in [Refusal::Outbid, Refusal::NoVote, Refusal::Unseated] {
        let label = format!("refused-{why}");
        frames.add(&label, &Tell::Refused { why, promised: ballot(9) });
    }
    let blank = Tell::State { from, blank: true, founders: 3, votes: false, accepted: None };
    frames.add("state-blank", &blank);
    let accepted = Some(meta(5));
    let holds = Tell::State { from, blank: false, founders: 0, votes: true, accepted };
    frames.add("state", &holds);
    frames.add("alive", &Tell::Alive { from, is_sound: true });
    frames.add("fetched", &Tell::Fetched(vec![bare_value(), full_value()]));
    let shown = |value: Option<Value>, before: Vec<Value>| {
        let (promised, accepted, seats) = (ballot(9), meta(5), full_value().seats);
        let shown = Membership { promised, accepted, seats, value, before };
        Tell::Membership { from, shown: Box::new(shown) }
    };
    frames.add("membership-bare", &shown(None, Vec::new()));
    frames.add("membership-full", &shown(Some(full_value()), vec![bare_value()]));
    frames.add("noted", &Tell::Noted);
    frames.add("floor-none", &Tell::Floor(None));
    frames.add("floor", &Tell::Floor(Some(12)));
    let accepted = Outcome::Accepted { revision: 5, setup_revision: 4, repeat: true };
    frames.add("outcome-accepted", &Tell::Outcome(accepted));
    let conflict = Outcome::Conflict { revision: 5, setup_revision: 4 };
    frames.add("outcome-conflict", &Tell::Outcome(conflict));
    frames.add("outcome-key-reused", &Tell::Outcome(Outcome::KeyReused { revision: 5 }));
    let taken = Outcome::VersionTaken { version: 5, held: 6 };
    frames.add("outcome-version-taken", &Tell::Outcome(taken));
    let nothing = Outcome::NothingDone { why: "no majority".to_string() };
    frames.add("outcome-nothing-done", &Tell::Outcome(nothing));
    frames.add("outcome-unknown", &Tell::Outcome(Outcome::Unknown));
    frames.add("outcome-value", &Tell::Outcome(Outcome::Value { value: full_value() }));
    let missing = Outcome::NoSuchRevision { latest: 5 };
    frames.add("outcome-no-such-revision", &Tell::Outcome(missing));
    expect_test::expect_file!["fixtures/replies.txt"].assert_eq(&frames.text);
}

/// The bytes of a message without one of its fields, as a version that did not have it sends them.
fn without(bytes: &[u8], variant: &str, field: &str) -> Vec<u8> {
    let mut message: ciborium::Value = ciborium::from_reader(bytes).unwrap();
    let outer = message.as_map_mut().unwrap();
    let (_, inner) = outer.iter_mut().find(|(key, _)| key.as_text() == Some(variant)).unwrap();
    let fields = inner.as_map_mut().unwrap();
    let before = fields.len();
    fields.retain(|(key, _)| key.as_text() != Some(field));
    assert_eq!(fields.len(), before - 1, "{variant} has no field '{field}' on the wire");
    let mut shorter = Vec::new();
    ciborium::into_writer(&message, &mut shorter).unwrap();
    shorter
}

/// Fields that came later are absent in what an earlier version sends.
#[test]
fn messages_without_the_later_fields_are_read() {
    let (key, change) = ("key".to_string(), changes().remove(0).1);
    let change = Ask::Change { key, change, unnamed_for: None };
    let read: Ask = decode(&without(&encode(&change), "Change", "unnamed_for")).unwrap();
    assert_eq!(encode(&read), encode(&change));
    let (from, accepted) = (7, meta(5));
    let promise = Tell::Promise { from, accepted, value: None, before: Vec::new(), open: None };
    let read: Tell = decode(&without(&encode(&promise), "Promise", "open")).unwrap();
    assert_eq!(read, promise);
}
