//! Versions of configurations (design 6.9).

use crate::fleet::{Fleet, Requester, replace_config};
use std::time::Duration;
use vanepath_store::consensus::Event;
use vanepath_store::protocol::{Change, Outcome, Request};

/// A document whose version is not above the highest one changes nothing; one with a higher version replaces
/// the document. Drained zones are kept in both cases. For several contents under one version see
/// `a_config_version_has_one_content`.
#[test]
fn a_config_of_an_old_version_changes_nothing() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let change = Change::DrainZone { zone: "a1".to_string() };
    fleet.request(
        0,
        Request::Change {
            key: "zone".to_string(),
            change,
            keyless_for: None,
            known_revision: None,
        },
    );
    let accepted = |outcome: Outcome| match outcome {
        Outcome::Accepted { revision, is_repeat: repeat, .. } => (revision, repeat),
        other => panic!("{other:?}"),
    };
    assert_eq!(accepted(replace_config(&mut fleet, "k5", "five", Some(5))), (2, false));
    assert_eq!(accepted(replace_config(&mut fleet, "l", "five", Some(5))), (2, true));
    // Never accepted before: it is recorded as superseded, under a revision of its own.
    assert_eq!(accepted(replace_config(&mut fleet, "n", "four", Some(4))), (3, true));
    assert_eq!(fleet.value(1).config_revision, 2);
    let other = replace_config(&mut fleet, "m", "other", Some(5));
    assert_eq!(other, Outcome::VersionTaken { version: 5, highest: 5 });
    assert_eq!(fleet.value(1).document, b"five");
    assert_eq!(accepted(replace_config(&mut fleet, "k9", "nine", Some(9))), (4, false));
    let value = fleet.value(1);
    assert_eq!((&value.document[..], value.config_version), (&b"nine"[..], 9));
    assert_eq!(value.committed_config().config_version, 9);
    assert!(value.drained_zones.contains("a1"));
    // A document without a version replaces the current one; old versions stay superseded.
    assert_eq!(accepted(replace_config(&mut fleet, "k", "by hand", None)), (5, false));
    assert_eq!(accepted(replace_config(&mut fleet, "k8", "eight", Some(8))), (6, true));
    assert_eq!(accepted(replace_config(&mut fleet, "k10", "ten", Some(10))), (7, false));
    // Several queued changes are applied in order.
    for version in [12, 11, 13] {
        fleet.tickets.push(Requester::Operator);
        let ticket = fleet.tickets.len() as u64 - 1;
        let bytes = format!("{version}").into_bytes();
        let change = Change::ReplaceConfig { bytes, if_revision: None, version: Some(version) };
        let request = Request::Change {
            key: format!("s{version}"),
            change,
            keyless_for: None,
            known_revision: None,
        };
        fleet.events.push_back((0, Event::RequestReceived { ticket, request }));
    }
    let before = fleet.outcomes.len();
    fleet.run();
    fleet.run_for(Duration::from_secs(1));
    let outcomes: Vec<(u64, bool)> =
        fleet.outcomes[before..].iter().cloned().map(accepted).collect();
    assert_eq!(outcomes, [(8, false), (9, true), (10, false)]);
    assert_eq!(fleet.value(2).document, b"13");
}

/// Incident 0012: of two contents under one version only one is accepted. The other one is rejected by every
/// store, even after the version was superseded.
#[test]
fn a_config_version_has_one_content() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let accepted = |outcome: &Outcome| match outcome {
        Outcome::Accepted { revision, is_repeat: repeat, .. } => (*revision, *repeat),
        other => panic!("{other:?}"),
    };
    let rejected = |outcome: Outcome| assert!(matches!(outcome, Outcome::VersionTaken { .. }));
    assert_eq!(accepted(&replace_config(&mut fleet, "a", "five", Some(5))), (1, false));
    rejected(replace_config(&mut fleet, "b", "other five", Some(5)));
    assert_eq!(accepted(&replace_config(&mut fleet, "c", "five", Some(5))), (1, true));
    // A document without a version changes neither the highest version nor its content.
    assert_eq!(accepted(&replace_config(&mut fleet, "d", "by hand", None)), (2, false));
    rejected(replace_config(&mut fleet, "e", "by hand", Some(5)));
    assert_eq!(accepted(&replace_config(&mut fleet, "f", "five", Some(5))), (2, true));
    // The same after hundreds of changes and a restart of all stores.
    for version in 6..306 {
        let text = format!("of {version}");
        let outcome = replace_config(&mut fleet, &text, &text, Some(version));
        assert_eq!(accepted(&outcome), (version - 3, false));
    }
    for index in 0..3 {
        fleet.restart(index);
    }
    fleet.run_for(Duration::from_secs(3));
    assert_eq!(accepted(&replace_config(&mut fleet, "g", "five", Some(5))), (302, true));
    rejected(replace_config(&mut fleet, "h", "other five", Some(5)));
    rejected(replace_config(&mut fleet, "i", "of 40", Some(41)));
    // A lower version that was never accepted counts as superseded, and is acknowledged for one content only.
    assert_eq!(accepted(&replace_config(&mut fleet, "j", "four", Some(4))), (303, true));
    assert_eq!(accepted(&replace_config(&mut fleet, "k", "four", Some(4))), (303, true));
    rejected(replace_config(&mut fleet, "l", "other four", Some(4)));
    assert_eq!(fleet.value(0).document, b"of 305");
    assert_eq!(fleet.value(0).config_revision, 302);
}

/// Several configurations under one version reach two stores at the same time: one is accepted, the others
/// get `VersionTaken`.
#[test]
fn of_concurrent_configs_under_one_version_one_is_accepted() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    for (index, text) in [(0, "of one"), (1, "of the other"), (0, "of a third")] {
        fleet.tickets.push(Requester::Operator);
        let ticket = fleet.tickets.len() as u64 - 1;
        let bytes = text.as_bytes().to_vec();
        let change = Change::ReplaceConfig { bytes, if_revision: None, version: Some(7) };
        let request = Request::Change {
            key: text.to_string(),
            change,
            keyless_for: None,
            known_revision: None,
        };
        fleet.events.push_back((index, Event::RequestReceived { ticket, request }));
    }
    fleet.run();
    fleet.run_for(Duration::from_secs(4));
    let accepted =
        fleet.outcomes.iter().filter(|outcome| matches!(outcome, Outcome::Accepted { .. }));
    assert_eq!(accepted.count(), 1, "{:?}", fleet.outcomes);
    let taken =
        fleet.outcomes.iter().filter(|outcome| matches!(outcome, Outcome::VersionTaken { .. }));
    assert_eq!(taken.count(), 2, "{:?}", fleet.outcomes);
}

/// Guards against a configuration that undoes a newer one (incident 0028): it has no version and waited in the
/// sockets of a process that stood still, while another one was accepted. A registry whose client still waits sends
/// it again with the revision that the store names, and it is accepted. The same document is accepted as it is.
#[test]
fn a_configuration_without_a_version_that_waited_is_overtaken() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let known = fleet.latest_revision();
    let send = |fleet: &mut Fleet, store: usize, text: &str, known: u64| {
        let key = format!("made-{}", fleet.tickets.len());
        let bytes = text.as_bytes().to_vec();
        let change = Change::ReplaceConfig { bytes, if_revision: None, version: None };
        let (keyless_for, known_revision) = (Some(Duration::ZERO), Some(known));
        let before = fleet.outcomes.len();
        fleet.request(store, Request::Change { key, change, keyless_for, known_revision });
        fleet.run_for(Duration::from_secs(1));
        fleet.outcomes[before].clone()
    };
    let newer = send(&mut fleet, 1, "newer", known);
    assert!(matches!(newer, Outcome::Accepted { is_repeat: false, .. }), "{newer:?}");
    let again = send(&mut fleet, 2, "newer", known);
    assert!(matches!(again, Outcome::Accepted { .. }), "{again:?}");
    let Outcome::Overtaken { revision } = send(&mut fleet, 0, "older", known) else {
        panic!("the older configuration was accepted")
    };
    assert_eq!(fleet.value(0).document, b"newer");
    let wanted = send(&mut fleet, 0, "older", revision);
    assert!(matches!(wanted, Outcome::Accepted { is_repeat: false, .. }), "{wanted:?}");
    assert_eq!(fleet.value(0).document, b"older");
}
