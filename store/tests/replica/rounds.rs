//! Prepare and accept rounds: promises, repair and preemption.

use crate::fleet::{Fleet, revision};
use std::time::Duration;
use vanepath_store::protocol::{Change, Outcome, Rejection, Request, Response};
use vanepath_store::value::{Ballot, Value};

/// Three empty stores bootstrap, two do not. Any one store may be down at a time, and is repaired afterwards.
#[test]
fn a_majority_accepts_and_the_third_is_repaired() {
    let mut fleet = Fleet::new();
    fleet.stores[2].is_up = false;
    fleet.run_for(Duration::from_secs(5));
    assert!(
        fleet.stores.iter().all(|store| store.replica.is_empty()),
        "two of three stores do not bootstrap"
    );
    fleet.stores[2].is_up = true;
    fleet.run_for(Duration::from_secs(3));
    assert_eq!(revision(fleet.write(0, "a")), 1);
    fleet.stores[0].is_up = false;
    assert_eq!(revision(fleet.write(1, "b")), 2);
    fleet.stores[1].is_up = false;
    assert!(
        !matches!(fleet.write(2, "c"), Some(Outcome::Accepted { .. })),
        "one is not a majority"
    );
    fleet.restart(0);
    fleet.restart(1);
    fleet.run_for(Duration::from_secs(8));
    let accepted = fleet.accepted();
    assert!(
        accepted.iter().all(|revision| *revision == accepted[0] && *revision >= 2),
        "{accepted:?}"
    );
}

/// The operator of a proposal that reached only one replica gets `Unknown`. The next proposal is derived from
/// it or replaces it, so that each revision has one content. The idempotency key shows which has happened.
#[test]
fn a_proposal_that_reached_one_replica_is_unknown_until_it_is_decided() {
    for reached in [1_usize, 9] {
        let mut fleet = Fleet::new();
        fleet.run_for(Duration::from_secs(3));
        assert_eq!(revision(fleet.write(0, "a")), 1);
        // The proposer dies right afterwards. At most one other replica has accepted; all responses are lost.
        fleet.drops_request = Box::new(move |_, target, request| {
            matches!(request, Request::Accept { .. }) && target != reached
        });
        fleet.drops_response =
            Box::new(|_, _, response| matches!(response, Response::Accepted { .. }));
        assert_eq!(fleet.write(0, "b"), Some(Outcome::Unknown));
        fleet.stores[0].is_up = false;
        fleet.drops_request = Box::new(|_, _, _| false);
        fleet.drops_response = Box::new(|_, _, _| false);
        let next = revision(fleet.write(1, "c"));
        assert_eq!(next, if reached == 1 { 3 } else { 2 }, "reached {reached}");
        fleet.restart(0);
        fleet.run_for(Duration::from_secs(8));
        assert_eq!(fleet.accepted(), [next; 3]);
        // A retry with the same key: a repeat if the proposal was committed, a new version if not.
        match fleet.write(2, "b") {
            Some(Outcome::Accepted { revision: 2, is_repeat: true, .. }) => assert_eq!(reached, 1),
            Some(Outcome::Accepted { revision: 3, is_repeat: false, .. }) => assert_eq!(reached, 9),
            other => panic!("reached {reached}: {other:?}"),
        }
    }
}

/// A replica that promised a ballot accepts nothing under a lower one, even after a restart. From a disk that
/// is not a member it accepts nothing at all.
#[test]
fn a_promise_survives_restarts() {
    let mut fleet = Fleet::new();
    fleet.run_for(Duration::from_secs(3));
    fleet.write(0, "a");
    let latest = fleet.stores[1].disk.versions.values().max_by_key(|value| value.revision);
    let value = Value { revision: 2, document: b"x".to_vec(), ..latest.unwrap().clone() };
    let ballot = |number: u64| Ballot { number, incarnation: 100 };
    let send = |fleet: &mut Fleet, request: Request| {
        let before = fleet.responses.len();
        fleet.request(1, request);
        fleet.responses[before].clone()
    };
    let from = 100;
    let promised =
        send(&mut fleet, Request::Prepare { from, ballot: ballot(50), known_digest: None });
    assert!(matches!(promised, Response::Promise { .. }));
    for _ in 0..2 {
        let (value, batch) = (value.clone(), Vec::new());
        let low = Request::Accept { from, ballot: ballot(40), value, batch };
        let rejected = send(&mut fleet, low);
        assert!(
            matches!(rejected, Response::Rejected { reason: Rejection::Preempted, .. }),
            "{rejected:?}"
        );
        let rejected =
            send(&mut fleet, Request::Prepare { from, ballot: ballot(49), known_digest: None });
        assert!(
            matches!(rejected, Response::Rejected { reason: Rejection::Preempted, .. }),
            "{rejected:?}"
        );
        fleet.restart(1);
    }
    let accept = |from: u64, number: u64| {
        let (value, batch) = (value.clone(), Vec::new());
        Request::Accept { from, ballot: ballot(number), value, batch }
    };
    let from_non_member = accept(999, 60);
    let rejected = send(&mut fleet, from_non_member);
    assert!(
        matches!(rejected, Response::Rejected { reason: Rejection::NotAMember, .. }),
        "{rejected:?}"
    );
    let accepted = send(&mut fleet, accept(from, 50));
    assert!(matches!(accepted, Response::Accepted { .. }), "{accepted:?}");
}

/// While a store repairs a value that only a minority had accepted, its own disk accepts another proposer's
/// value under a higher ballot. No version is derived from that value under the old ballot, since it is not
/// known to be committed.
#[test]
fn no_version_is_derived_from_a_value_of_another_ballot() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    fleet.write(0, "a");
    let child = |fleet: &Fleet, index: usize, document: &str| {
        let parent = fleet.stores[index].disk.state.clone().unwrap().accepted.unwrap();
        let mut value = fleet.value(index).clone();
        value.revision += 1;
        (value.parent_revision, value.parent) = (parent.revision, parent.digest);
        value.document = document.as_bytes().to_vec();
        value
    };
    let accept = |value: Value, number: u64| {
        let ballot = Ballot { number, incarnation: 101 };
        Request::Accept { from: 101, ballot, value, batch: Vec::new() }
    };
    let partial = child(&fleet, 0, "half");
    fleet.request(0, accept(partial, 50));
    fleet.delays_response =
        Box::new(|_, _, response| matches!(response, Response::Accepted { .. }));
    let change = Change::DrainZone { zone: "a1".to_string() };
    let before = fleet.outcomes.len();
    fleet.request(
        0,
        Request::Change { key: "k".to_string(), change, keyless_for: None, known_revision: None },
    );
    assert_eq!(fleet.delayed.len(), 2, "two replicas have accepted the repaired value");
    let other = child(&fleet, 0, "other");
    fleet.request(0, accept(other, 1000));
    fleet.drops_request = Box::new(|_, _, request| matches!(request, Request::Prepare { .. }));
    fleet.delays_response = Box::new(|_, _, _| false);
    let delayed = std::mem::take(&mut fleet.delayed);
    fleet.events.extend(delayed);
    fleet.run();
    assert_eq!(
        fleet.accepted(),
        [3, 2, 2],
        "no fourth revision derived from a third that one replica holds"
    );
    assert!(!matches!(fleet.outcomes.get(before), Some(Outcome::Accepted { .. })));
    fleet.drops_request = Box::new(|_, _, _| false);
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(fleet.accepted(), [4; 3]);
    assert!(matches!(fleet.outcomes[before], Outcome::Accepted { revision: 4, .. }));
}
