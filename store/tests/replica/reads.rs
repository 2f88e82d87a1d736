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

/// A majority confirms the read index, whichever store is asked; a minority cannot (design 5.8).
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
    // Its disk holds revision 1; it queries the others and catches up before it responds.
    fleet.restart(0);
    fleet.run_for(Duration::from_millis(50));
    fleet.request(0, Request::ReadIndex);
    // Its first repair round is in flight, and a read index takes a round that begins after its request.
    fleet.run_for(Duration::from_millis(50));
    assert_eq!(read_indexes(&fleet)[3..], [Some(2)]);
}

/// All queued requests are answered by one round, and nothing is written for it.
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

/// A store whose round is in flight learns late that its proposal was accepted. Another one committed more
/// since: a read index that was asked for after that is not what the old round shows.
#[test]
fn a_read_index_takes_a_round_of_its_own() {
    let meanwhile =
        Change::ReplaceConfig { bytes: b"c".to_vec(), if_revision: None, version: None };
    let (_, fleet) = ask_after_partition(meanwhile, Request::ReadIndex);
    let outcomes = read_indexes(&fleet);
    assert!(outcomes.iter().all(|one| one.is_none_or(|one| one >= 3)), "{outcomes:?}");
    assert_eq!(outcomes.last(), Some(&Some(3)));
}

/// A store that is not the preferred proposer preempts nobody for a read index: it answers that it cannot
/// tell.
#[test]
fn only_the_preferred_proposer_prepares_for_a_read_index() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(revision(fleet.write(0, "a")), 1);
    // Half accepted: only the third replica has it.
    fleet.drops_request = Box::new(|from, to, request| {
        matches!(request, Request::Accept { .. }) && !(from == 0 && to == 2)
    });
    fleet.drops_response = Box::new(|_, requester, response| {
        requester == 0 && matches!(response, Response::Accepted { .. })
    });
    let change = Change::ReplaceConfig { bytes: b"b".to_vec(), if_revision: None, version: None };
    fleet.request(0, Request::Change { key: "b".into(), change, keyless_for: None });
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

/// A store is partitioned for a while, with its proposal accepted and the responses delayed, while another
/// store commits more. `request` reaches the first one after that, but before the delayed responses.
fn ask_after_partition(meanwhile: Change, request: Request) -> (Vec<Outcome>, Fleet) {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(revision(fleet.write(0, "a")), 1);
    fleet.delays_response = Box::new(|_, requester, response| {
        requester == 0 && matches!(response, Response::Accepted { .. })
    });
    let change = Change::ReplaceConfig { bytes: b"b".to_vec(), if_revision: None, version: None };
    fleet.request(0, Request::Change { key: "b".into(), change, keyless_for: None });
    assert!(!fleet.delayed.is_empty());
    fleet.drops_request = Box::new(|from, to, _| from == 0 || to == 0);
    let before = fleet.outcomes.len();
    fleet.request(1, Request::Change { key: "c".into(), change: meanwhile, keyless_for: None });
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(
        revision(fleet.outcomes.get(before).cloned()),
        3,
        "it builds on what the others hold"
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

/// Incident 0011: a read takes a round that begins after it was asked for.
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

/// Likewise the response to a change that changes nothing: a withdrawal is not accepted by a store that does
/// not know yet that the zone was drained.
#[test]
fn a_change_without_effect_takes_a_round_of_its_own() {
    let request = Request::Change { key: "d".into(), change: restore(), keyless_for: None };
    let (outcomes, fleet) = ask_after_partition(drain(), request);
    let accepted = outcomes.iter().filter(|outcome| matches!(outcome, Outcome::Accepted { .. }));
    assert!(accepted.count() >= 1, "{outcomes:?}");
    assert_eq!(fleet.value(1).drain_orders("a1"), 0, "what was told as accepted is in force");
}
