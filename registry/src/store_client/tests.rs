use super::{ATTEMPT_TIMEOUT, NextAction, StoreRequest, TIMEOUT};
use std::time::Duration;
use vanepath_cluster::wire::{NodeInfo, Role};
use vanepath_store::protocol::{Change, Outcome, Request, Response};

fn store(number: u8) -> NodeInfo {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 7000 + u16::from(number)));
    NodeInfo {
        name: format!("store-{number}"),
        role: Role::Store,
        region: "a".to_string(),
        zone: "a1".to_string(),
        address,
        cluster_address: address,
    }
}

/// The request to a store states how long an order without a client's key has waited, for stores of earlier
/// versions.
#[test]
fn a_keyless_order_carries_its_waiting_time() {
    let ms = Duration::from_millis;
    let change = |keyless_for| {
        let change = Change::DrainZone { zone: "a1".to_string() };
        Request::Change { key: "k".to_string(), change, keyless_for, known_revision: None }
    };
    for (waited, sent) in [(Some(ms(40)), Some(ms(140))), (None, None)] {
        let store_request = StoreRequest::new(change(waited), ms(5000));
        let Request::Change { keyless_for, .. } = store_request.request_at(ms(5100)) else {
            panic!("the request is not a change")
        };
        assert_eq!(keyless_for, sent);
    }
}

/// While core machines are replaced one after the other, the first store has just failed and the second one
/// fails with the request in flight. The time-outs must leave time for the third store to answer.
#[test]
fn two_unresponsive_stores_leave_time_for_the_third() {
    let change = Change::DrainZone { zone: "a1".to_string() };
    let request =
        Request::Change { key: "k".to_string(), change, keyless_for: None, known_revision: None };
    let mut now = Duration::ZERO;
    let mut store_request = StoreRequest::new(request, now);
    let mut attempted = Vec::new();
    let outcome = loop {
        let stores = vec![store(0), store(1), store(2)];
        match store_request.next(now, stores) {
            NextAction::Pause(pause) => now += pause,
            NextAction::End(outcome) => break outcome,
            NextAction::Send(info) => {
                attempted.push(info.name.clone());
                if info.name == "store-2" {
                    let reason = "not yet".to_string();
                    let response = Response::Outcome(Outcome::NotApplied { reason });
                    assert!(store_request.on_response(Some(response)).is_none());
                } else {
                    now += ATTEMPT_TIMEOUT;
                    assert!(store_request.on_response(None).is_none());
                }
            }
        }
        // The store that responded is tried again before the unresponsive stores.
        if attempted.len() == 4 {
            let outcome = Outcome::Accepted { revision: 3, config_revision: 2, is_repeat: false };
            break store_request
                .on_response(Some(Response::Outcome(outcome)))
                .expect("a definite outcome");
        }
    };
    assert_eq!(attempted, ["store-0", "store-1", "store-2", "store-2"]);
    assert!(matches!(outcome, Outcome::Accepted { .. }));
    assert!(now < TIMEOUT);
}

/// Guards against a change that is made after a newer one although its client has moved on (incident 0029): an
/// overtaken change ends with that outcome, and is sent to no store again.
#[test]
fn an_overtaken_change_is_not_sent_again() {
    let change = Change::DrainZone { zone: "a1".to_string() };
    let (keyless_for, known_revision) = (Some(Duration::ZERO), Some(3));
    let request = Request::Change { key: "k".to_string(), change, keyless_for, known_revision };
    for first_response in [None, Some(Response::Outcome(Outcome::Unknown))] {
        let mut store_request = StoreRequest::new(request.clone(), Duration::ZERO);
        assert_eq!(next_attempt(&mut store_request), ("store-0".to_string(), Some(3)));
        assert!(store_request.on_response(first_response).is_none());
        assert_eq!(next_attempt(&mut store_request), ("store-1".to_string(), Some(3)));
        let response = Response::Outcome(Outcome::Overtaken { revision: 7 });
        let outcome = store_request.on_response(Some(response));
        assert_eq!(outcome, Some(Outcome::Overtaken { revision: 7 }));
    }
}

/// The store of the next attempt, and the known revision that the attempt states.
fn next_attempt(store_request: &mut StoreRequest) -> (String, Option<u64>) {
    match store_request.next(Duration::ZERO, vec![store(0), store(1)]) {
        NextAction::Send(info) => {
            let request = store_request.request_at(Duration::ZERO);
            let Request::Change { known_revision, .. } = request else { panic!("{request:?}") };
            (info.name, known_revision)
        }
        other => panic!("{other:?}"),
    }
}
