//! Batches of changes that are proposed in one round, and idempotency keys.

use crate::fleet::{Fleet, Requester};
use std::time::Duration;
use vanepath_store::consensus::Event;
use vanepath_store::protocol::{Change, Outcome, Request, Response};

/// Queued changes are proposed in one round. Each gets its own response and its own revision, under which all
/// disks hold its document. A rejection is sent only once the changes on which it depends are committed.
#[test]
fn queued_changes_are_proposed_in_one_round() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let accepts = std::rc::Rc::new(std::cell::Cell::new(0));
    let counted = accepts.clone();
    fleet.drops_request = Box::new(move |_, _, request| {
        counted.set(counted.get() + u32::from(matches!(request, Request::Accept { .. })));
        false
    });
    let enqueue = |fleet: &mut Fleet, key: &str, bytes: &str, if_revision: Option<u64>| {
        fleet.tickets.push(Requester::Operator);
        let ticket = fleet.tickets.len() as u64 - 1;
        let bytes = bytes.as_bytes().to_vec();
        let change = Change::ReplaceConfig { bytes, if_revision, version: None };
        let request = Request::Change {
            key: key.to_string(),
            change,
            keyless_for: None,
            known_revision: None,
        };
        fleet.events.push_back((0, Event::RequestReceived { ticket, request }));
    };
    for number in 0..20 {
        enqueue(&mut fleet, &format!("k{number}"), &format!("{number}"), None);
    }
    // Conditional on a revision that is outdated once the changes before it are committed.
    enqueue(&mut fleet, "late", "late", Some(0));
    enqueue(&mut fleet, "k3", "another matter", None);
    enqueue(&mut fleet, "k4", "4", None);
    fleet.run();
    let outcomes: Vec<Outcome> = fleet.outcomes.clone();
    let mut revisions = std::collections::BTreeSet::new();
    for (number, outcome) in outcomes.iter().take(20).enumerate() {
        let Outcome::Accepted { revision, config_revision, is_repeat: false } = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!(revision, config_revision);
        assert!(revisions.insert(*revision));
        for store in &fleet.stores {
            let mut matching =
                store.disk.versions.values().filter(|value| value.revision == *revision);
            assert_eq!(matching.next().unwrap().document, format!("{number}").into_bytes());
        }
    }
    assert!(matches!(outcomes[20], Outcome::Conflict { .. }), "{:?}", outcomes[20]);
    assert!(matches!(outcomes[21], Outcome::KeyReused { .. }), "{:?}", outcomes[21]);
    assert!(
        matches!(outcomes[22], Outcome::Accepted { is_repeat: true, .. }),
        "{:?}",
        outcomes[22]
    );
    assert!(accepts.get() <= 8, "{} accept requests to two replicas", accepts.get());
    fleet.run_for(Duration::from_secs(4));
    for revision in 1..=20 {
        let before = fleet.outcomes.len();
        fleet.request(1, Request::History { revision });
        assert!(
            matches!(&fleet.outcomes[before], Outcome::Value { value } if value.revision == revision)
        );
    }
}

/// The proposer dies with several changes in flight that only one replica has accepted. The next proposer
/// completes all of them, not just the last one, and their operators get `Unknown`.
#[test]
fn a_batch_is_completed_as_a_whole() {
    for is_restarted in [false, true] {
        let mut fleet = Fleet::of(3);
        fleet.run_for(Duration::from_secs(2));
        fleet.drops_request = Box::new(|_, target, request| {
            matches!(request, Request::Accept { value, .. } if value.revision > 1) && target != 1
        });
        fleet.drops_response =
            Box::new(|_, _, response| matches!(response, Response::Accepted { .. }));
        for key in ["a", "b", "c"] {
            fleet.tickets.push(Requester::Operator);
            let ticket = fleet.tickets.len() as u64 - 1;
            let bytes = key.as_bytes().to_vec();
            let change = Change::ReplaceConfig { bytes, if_revision: None, version: None };
            let request = Request::Change {
                key: key.to_string(),
                change,
                keyless_for: None,
                known_revision: None,
            };
            fleet.events.push_back((0, Event::RequestReceived { ticket, request }));
        }
        fleet.run();
        fleet.run_for(Duration::from_secs(1));
        assert!(
            fleet.outcomes.iter().all(|outcome| *outcome == Outcome::Unknown),
            "{:?}",
            fleet.outcomes
        );
        assert_eq!(fleet.outcomes.len(), 3);
        fleet.stores[0].is_up = false;
        fleet.drops_response = Box::new(|_, _, _| false);
        fleet.drops_request = Box::new(|_, _, request| matches!(request, Request::Fetch { .. }));
        if is_restarted {
            fleet.restart(1);
        }
        assert!(matches!(fleet.write(2, "d"), Some(Outcome::Accepted { .. })));
        let stored: Vec<&[u8]> =
            fleet.stores[2].disk.versions.values().map(|value| &value.document[..]).collect();
        for key in [b"a", b"b", b"c", b"d"] {
            assert!(
                stored.contains(&&key[..]),
                "{stored:?}: all versions are stored without a fetch"
            );
        }
    }
}

/// Client-given keys are recognized until the end of a day of changes. Keys that registries generate are
/// needed only while one of their calls to the stores lasts.
#[test]
fn an_idempotency_key_is_known_after_a_day_of_changes() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let send = |fleet: &mut Fleet, key: String, is_generated: bool| {
        fleet.tickets.push(Requester::Operator);
        let ticket = fleet.tickets.len() as u64 - 1;
        let bytes = format!("content of {key}").into_bytes();
        let change = Change::ReplaceConfig { bytes, if_revision: None, version: None };
        let keyless_for = is_generated.then_some(Duration::ZERO);
        let request = Request::Change { key, change, keyless_for, known_revision: None };
        fleet.events.push_back((0, Event::RequestReceived { ticket, request }));
    };
    for number in 0..2400 {
        send(&mut fleet, format!("named-{number}"), false);
        send(&mut fleet, format!("made-{number}"), true);
        if number % 30 == 29 {
            fleet.run();
        }
    }
    fleet.run();
    fleet.run_for(Duration::from_secs(1));
    let before = fleet.outcomes.len();
    assert!(
        fleet
            .outcomes
            .iter()
            .all(|outcome| matches!(outcome, Outcome::Accepted { is_repeat: false, .. }))
    );
    fleet.restart(0);
    fleet.run_for(Duration::from_secs(3));
    for number in [0, 1, 1200, 2399] {
        send(&mut fleet, format!("named-{number}"), false);
        fleet.run();
        fleet.run_for(Duration::from_millis(100));
    }
    let outcomes = &fleet.outcomes[before..];
    assert!(
        outcomes.iter().all(|outcome| matches!(outcome, Outcome::Accepted { is_repeat: true, .. }))
    );
    assert_eq!(outcomes.len(), 4, "{outcomes:?}");
    // A change under a key that was used for another content is rejected.
    fleet.tickets.push(Requester::Operator);
    let ticket = fleet.tickets.len() as u64 - 1;
    let change =
        Change::ReplaceConfig { bytes: b"other".to_vec(), if_revision: None, version: None };
    let request =
        Request::Change { key: "named-1".into(), change, keyless_for: None, known_revision: None };
    fleet.events.push_back((0, Event::RequestReceived { ticket, request }));
    fleet.run();
    assert!(matches!(fleet.outcomes.last(), Some(Outcome::KeyReused { .. })));
    let bytes = fleet.value(0).encode().len();
    assert!(bytes < 100_000, "a value of {bytes} bytes");
}
