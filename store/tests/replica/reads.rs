//! Linearizable reads and the read index (design 5.8).

use crate::fleet::{Fleet, Requester, drain, restore, revision};
use std::time::Duration;
use vanepath_store::consensus::Event;
use vanepath_store::protocol::{Change, Outcome, Request, Response};

/// The responses to read index requests, in order.
fn read_indexes(fleet: &Fleet) -> Vec<Option<u64>> {
    let read_indexes = fleet.responses.iter().filter_map(|response| match response {
        Response::ReadIndex(revision) => Some(*revision),
        _ => None,
    });
    read_indexes.collect()
}

/// Any store returns the read index if a majority confirms it; a minority cannot (design 5.8).
#[test]
fn the_read_index_takes_a_majority() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(revision(fleet.write(0, "a")), 1);
    fleet.stores[0].is_up = false;
    assert_eq!(revision(fleet.write(1, "b")), 2);
    fleet.request(1, Request::ReadIndex);
    fleet.request(2, Request::ReadIndex);
    fleet.stores[1].is_up = false;
    fleet.request(2, Request::ReadIndex);
    assert_eq!(read_indexes(&fleet), [Some(2), Some(2), None]);
    // Its disk holds revision 1; the store queries the others and catches up before it responds.
    fleet.restart(0);
    fleet.run_for(Duration::from_millis(50));
    fleet.request(0, Request::ReadIndex);
    // Its first repair round is in flight; a read index needs a round that begins after the request.
    fleet.run_for(Duration::from_millis(50));
    assert_eq!(read_indexes(&fleet)[3..], [Some(2)]);
}

/// One round answers all queued requests, and nothing is written for it.
#[test]
fn one_round_answers_all_queued_read_index_requests() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(revision(fleet.write(0, "a")), 1);
    let queries = std::rc::Rc::new(std::cell::Cell::new(0));
    let counted = queries.clone();
    fleet.drops_request = Box::new(move |_, _, request| {
        assert!(matches!(request, Request::QueryStatus | Request::Ping), "{request:?}");
        counted.set(counted.get() + u32::from(matches!(request, Request::QueryStatus)));
        false
    });
    for _ in 0..640 {
        fleet.tickets.push(Requester::Operator);
        let ticket = fleet.tickets.len() as u64 - 1;
        fleet.events.push_back((0, Event::RequestReceived { ticket, request: Request::ReadIndex }));
    }
    fleet.run();
    assert_eq!(read_indexes(&fleet), [Some(1); 640]);
    assert!(queries.get() <= 4, "{} queries", queries.get());
}

/// A store learns late that its proposal was accepted, after another store has committed a later revision. A
/// read index requested after that must not be answered from the round that was already in flight.
#[test]
fn a_read_index_takes_a_round_of_its_own() {
    let meanwhile =
        Change::ReplaceConfig { bytes: b"c".to_vec(), if_revision: None, version: None };
    let (_, fleet) = ask_after_partition(meanwhile, Request::ReadIndex);
    let indexes = read_indexes(&fleet);
    assert!(indexes.iter().all(|index| index.is_none_or(|index| index >= 3)), "{indexes:?}");
    assert_eq!(indexes.last(), Some(&Some(3)));
}

/// A store that is not the preferred proposer does not preempt another one for a read index: it answers that
/// the read index is unknown.
#[test]
fn only_the_preferred_proposer_prepares_for_a_read_index() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(revision(fleet.write(0, "a")), 1);
    // Besides the proposer, only the third replica accepts the change.
    fleet.drops_request = Box::new(|from, to, request| {
        matches!(request, Request::Accept { .. }) && !(from == 0 && to == 2)
    });
    fleet.drops_response = Box::new(|_, requester, response| {
        requester == 0 && matches!(response, Response::Accepted { .. })
    });
    let change = Change::ReplaceConfig { bytes: b"b".to_vec(), if_revision: None, version: None };
    fleet.request(
        0,
        Request::Change { key: "b".into(), change, keyless_for: None, known_revision: None },
    );
    fleet.drops_response = Box::new(|_, _, _| false);
    fleet.drops_request = Box::new(|from, _, request| {
        assert!(
            from == 0 || matches!(request, Request::QueryStatus | Request::Ping),
            "{from}: {request:?}"
        );
        false
    });
    fleet.request(1, Request::ReadIndex);
    fleet.request(0, Request::ReadIndex);
    assert_eq!(read_indexes(&fleet), [None, Some(2)]);
}

/// A store's proposal is accepted, but the responses are delayed. Then the store is partitioned while another
/// store commits `meanwhile`. Afterwards `request` reaches the first store before the delayed responses do.
fn ask_after_partition(meanwhile: Change, request: Request) -> (Vec<Outcome>, Fleet) {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(revision(fleet.write(0, "a")), 1);
    fleet.delays_response = Box::new(|_, requester, response| {
        requester == 0 && matches!(response, Response::Accepted { .. })
    });
    let change = Change::ReplaceConfig { bytes: b"b".to_vec(), if_revision: None, version: None };
    fleet.request(
        0,
        Request::Change { key: "b".into(), change, keyless_for: None, known_revision: None },
    );
    assert!(!fleet.delayed.is_empty());
    fleet.drops_request = Box::new(|from, to, _| from == 0 || to == 0);
    let before = fleet.outcomes.len();
    fleet.request(
        1,
        Request::Change {
            key: "c".into(),
            change: meanwhile,
            keyless_for: None,
            known_revision: None,
        },
    );
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(
        revision(fleet.outcomes.get(before).cloned()),
        3,
        "it is derived from the value that the others hold"
    );
    fleet.drops_request = Box::new(|_, _, _| false);
    fleet.delays_response = Box::new(|_, _, _| false);
    let before = fleet.outcomes.len();
    fleet.request(0, request);
    let delayed = std::mem::take(&mut fleet.delayed);
    fleet.events.extend(delayed);
    fleet.run();
    fleet.run_for(Duration::from_secs(2));
    (fleet.outcomes.split_off(before), fleet)
}

/// Incident 0011: a read takes a round that begins after the read was requested.
#[test]
fn a_read_takes_a_round_of_its_own() {
    let meanwhile =
        Change::ReplaceConfig { bytes: b"c".to_vec(), if_revision: None, version: None };
    let (outcomes, _) = ask_after_partition(meanwhile, Request::Read);
    let read = outcomes.iter().filter_map(|outcome| match outcome {
        Outcome::Value { value } => Some(value.revision),
        _ => None,
    });
    assert_eq!(read.collect::<Vec<_>>(), [3], "{outcomes:?}");
}

/// The response to a change that changes nothing also takes a round of its own: a store that does not know
/// yet that the zone was drained must not acknowledge a withdrawal without applying it.
#[test]
fn a_change_without_effect_takes_a_round_of_its_own() {
    let request = Request::Change {
        key: "d".into(),
        change: restore(),
        keyless_for: None,
        known_revision: None,
    };
    let (outcomes, fleet) = ask_after_partition(drain(), request);
    let accepted = outcomes.iter().filter(|outcome| matches!(outcome, Outcome::Accepted { .. }));
    assert!(accepted.count() >= 1, "{outcomes:?}");
    assert!(!fleet.value(1).is_drained("a1"), "the withdrawal that was acknowledged is in force");
}
