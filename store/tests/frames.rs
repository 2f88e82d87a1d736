//! The encoding of the messages between stores and registries stays the same byte for byte, because programs
//! of two versions communicate during a rolling update (design 6.2).

use std::fmt::Write as _;
use std::time::Duration;
use vanepath_cluster::wire::{decode, encode};
use vanepath_store::idempotency::IdempotencyRecord;
use vanepath_store::idempotency::OlderWrites;
use vanepath_store::protocol::{
    Change, MembershipSnapshot, Outcome, Rejection, Request, Response, UnacknowledgedWrite,
};
use vanepath_store::value::{AcceptedProposal, Ballot, Member, Value};

#[derive(Default)]
struct Frames {
    text: String,
}

impl Frames {
    /// Appends the encoding of a message, and checks that it decodes to the same message.
    fn add<T>(&mut self, label: &str, message: &T)
    where
        T: serde::Serialize + serde::de::DeserializeOwned,
    {
        let bytes = encode(message);
        let decoded: T = decode(&bytes).unwrap_or_else(|error| panic!("{label}: {error}"));
        assert_eq!(encode(&decoded), bytes, "{label}");
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        let _ = writeln!(self.text, "{label} {hex}");
    }
}

fn ballot(number: u64) -> Ballot {
    Ballot { number, incarnation: 8 }
}

fn proposal(revision: u64) -> AcceptedProposal {
    AcceptedProposal { ballot: ballot(revision + 1), revision, digest: [revision as u8; 32] }
}

/// A value with all fields, including those that are omitted from the encoding when empty.
fn full_value() -> Value {
    let record = |number: u64, is_generated: bool| IdempotencyRecord {
        key: format!("key-{number}"),
        content_hash: 1000 + number,
        revision: number,
        config_revision: number - 1,
        is_generated,
    };
    let mut older_writes = OlderWrites::default();
    older_writes.push(&record(1, false));
    Value {
        revision: 5,
        parent_revision: 4,
        parent: [4; 32],
        config_revision: 3,
        config_version: 2,
        document: b"setup".to_vec(),
        drained_zones: ["north-1".to_string()].into(),
        extra_drain_orders: [("north-1".to_string(), 2)].into(),
        members: vec![
            Some(Member { name: "store-0".to_string(), incarnation: 7, joined_later: false }),
            Some(Member { name: "store-9".to_string(), incarnation: 70, joined_later: true }),
            None,
        ],
        batched_before: 1,
        recent_writes: [record(4, false), record(5, true)].into(),
        older_writes,
        version_hashes: [(2, 22)].into(),
    }
}

fn bare_value() -> Value {
    Value {
        revision: 0,
        parent_revision: 0,
        parent: [0; 32],
        config_revision: 0,
        config_version: 0,
        document: Vec::new(),
        drained_zones: Default::default(),
        extra_drain_orders: Default::default(),
        members: Vec::new(),
        batched_before: 0,
        recent_writes: Default::default(),
        older_writes: Default::default(),
        version_hashes: Default::default(),
    }
}

fn changes() -> Vec<(&'static str, Change)> {
    let replace_config =
        |if_revision, version| Change::ReplaceConfig { bytes: b"s".to_vec(), if_revision, version };
    vec![
        ("setup-bare", replace_config(None, None)),
        ("setup-conditional", replace_config(Some(4), Some(9))),
        ("empty", Change::DrainZone { zone: "north-1".to_string() }),
        ("return", Change::RestoreZone { zone: "north-1".to_string() }),
    ]
}

#[test]
fn requests_keep_their_bytes() {
    let mut frames = Frames::default();
    frames.add("prepare", &Request::Prepare { from: 7, ballot: ballot(3), known_digest: None });
    let known_digest = Some([9; 32]);
    frames.add("prepare-has", &Request::Prepare { from: 7, ballot: ballot(3), known_digest });
    let (from, value) = (7, bare_value());
    frames
        .add("accept-bare", &Request::Accept { from, ballot: ballot(3), value, batch: Vec::new() });
    let (value, batch) = (full_value(), vec![bare_value()]);
    frames.add("accept-full", &Request::Accept { from, ballot: ballot(3), value, batch });
    frames.add("query", &Request::QueryStatus);
    frames.add("alive", &Request::Ping);
    frames.add("fetch", &Request::Fetch { revision: 3, digest: [3; 32] });
    frames.add("membership", &Request::Membership { from: 7, wants_value: false });
    frames.add("membership-value", &Request::Membership { from: 7, wants_value: true });
    for (label, change) in changes() {
        let key = "key".to_string();
        frames.add(
            &format!("change-{label}"),
            &Request::Change { key, change, keyless_for: None, known_revision: None },
        );
    }
    let (key, change) = ("key".to_string(), changes().remove(0).1);
    let keyless_for = Some(Duration::from_millis(1500));
    frames
        .add("change-unnamed", &Request::Change { key, change, keyless_for, known_revision: None });
    let (key, change) = ("key".to_string(), changes().remove(1).1);
    let known_revision = Some(12);
    frames.add("change-known", &Request::Change { key, change, keyless_for, known_revision });
    frames.add("read", &Request::Read);
    frames.add("history", &Request::History { revision: 3 });
    frames.add("answered", &Request::Acknowledge { content_hash: 4, revision: 3 });
    frames.add("floor", &Request::ReadIndex);
    expect_test::expect_file!["fixtures/requests.txt"].assert_eq(&frames.text);
}

#[test]
fn replies_keep_their_bytes() {
    let mut frames = Frames::default();
    let (from, accepted) = (7, proposal(5));
    let bare =
        Response::Promise { from, accepted, value: None, batch: Vec::new(), unacknowledged: None };
    frames.add("promise-bare", &bare);
    let full = Response::Promise {
        from,
        accepted,
        value: Some(full_value()),
        batch: vec![bare_value()],
        unacknowledged: Some(vec![UnacknowledgedWrite { key: "key-5".to_string(), age_ms: 1200 }]),
    };
    frames.add("promise-full", &full);
    frames.add("accepted", &Response::Accepted { from });
    for (label, reason) in [
        ("refused-outbid", Rejection::Preempted),
        ("refused-no-vote", Rejection::NotVoting),
        ("refused-unseated", Rejection::NotAMember),
    ] {
        frames.add(label, &Response::Rejected { reason, promised: ballot(9) });
    }
    let empty = Response::Status {
        from,
        is_empty: true,
        bootstrap_size: 3,
        is_voting: false,
        accepted: None,
    };
    frames.add("state-blank", &empty);
    let accepted = Some(proposal(5));
    let holds =
        Response::Status { from, is_empty: false, bootstrap_size: 0, is_voting: true, accepted };
    frames.add("state", &holds);
    frames.add("alive", &Response::Pong { from, is_healthy: true });
    frames.add("fetched", &Response::Fetched(vec![bare_value(), full_value()]));
    let membership = |value: Option<Value>, batch: Vec<Value>| {
        let (promised, accepted, members) = (ballot(9), proposal(5), full_value().members);
        let snapshot = MembershipSnapshot { promised, accepted, members, value, batch };
        Response::Membership { from, snapshot: Box::new(snapshot) }
    };
    frames.add("membership-bare", &membership(None, Vec::new()));
    frames.add("membership-full", &membership(Some(full_value()), vec![bare_value()]));
    frames.add("noted", &Response::Acknowledged);
    frames.add("floor-none", &Response::ReadIndex(None));
    frames.add("floor", &Response::ReadIndex(Some(12)));
    let accepted = Outcome::Accepted { revision: 5, config_revision: 4, is_repeat: true };
    frames.add("outcome-accepted", &Response::Outcome(accepted));
    let conflict = Outcome::Conflict { revision: 5, config_revision: 4 };
    frames.add("outcome-conflict", &Response::Outcome(conflict));
    frames.add("outcome-key-reused", &Response::Outcome(Outcome::KeyReused { revision: 5 }));
    let taken = Outcome::VersionTaken { version: 5, highest: 6 };
    frames.add("outcome-version-taken", &Response::Outcome(taken));
    let not_applied = Outcome::NotApplied { reason: "no majority".to_string() };
    frames.add("outcome-nothing-done", &Response::Outcome(not_applied));
    frames.add("outcome-overtaken", &Response::Outcome(Outcome::Overtaken { revision: 5 }));
    frames.add("outcome-unknown", &Response::Outcome(Outcome::Unknown));
    frames.add("outcome-value", &Response::Outcome(Outcome::Value { value: full_value() }));
    let missing = Outcome::NoSuchRevision { latest: 5 };
    frames.add("outcome-no-such-revision", &Response::Outcome(missing));
    expect_test::expect_file!["fixtures/replies.txt"].assert_eq(&frames.text);
}

/// Removes a field from an encoded message, as it is sent by a version that does not have the field.
fn without(bytes: &[u8], variant: &str, field: &str) -> Vec<u8> {
    let mut message: ciborium::Value = ciborium::from_reader(bytes).unwrap();
    let outer = message.as_map_mut().unwrap();
    let (_, inner) = outer.iter_mut().find(|(key, _)| key.as_text() == Some(variant)).unwrap();
    let fields = inner.as_map_mut().unwrap();
    let count = fields.len();
    fields.retain(|(key, _)| key.as_text() != Some(field));
    assert_eq!(fields.len(), count - 1, "{variant} has no field '{field}' on the wire");
    let mut shorter = Vec::new();
    ciborium::into_writer(&message, &mut shorter).unwrap();
    shorter
}

/// Messages of earlier versions, which lack the fields that were added later, are decoded.
#[test]
fn messages_without_the_later_fields_are_read() {
    let (key, change) = ("key".to_string(), changes().remove(0).1);
    let change = Request::Change { key, change, keyless_for: None, known_revision: None };
    let decoded: Request = decode(&without(&encode(&change), "Change", "unnamed_for")).unwrap();
    assert_eq!(encode(&decoded), encode(&change));
    let (from, accepted) = (7, proposal(5));
    let promise =
        Response::Promise { from, accepted, value: None, batch: Vec::new(), unacknowledged: None };
    let decoded: Response = decode(&without(&encode(&promise), "Promise", "open")).unwrap();
    assert_eq!(decoded, promise);
}
