use super::{ATTEMPT_TIMEOUT, NextAction, StoreRequest, TIMEOUT};
use std::time::Duration;
use vanepath_cluster::wire;
use vanepath_store::protocol::{Change, Outcome, Request, Response};

fn store(number: u8) -> wire::NodeInfo {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 7000 + u16::from(number)));
    wire::NodeInfo {
        name: format!("store-{number}"),
        role: wire::Role::Store,
        region: "a".to_string(),
        zone: "a1".to_string(),
        address,
        cluster_address: address,
    }
}

/// A store is told how long an order without a caller's key has waited; that its caller was answered
/// is told only of such a one, and only where that was in time.
#[test]
fn an_order_without_a_key_tells_how_long_it_has_waited() {
    let ms = Duration::from_millis;
    let ask = |unnamed_for| {
        let change = Change::DrainZone { zone: "a1".to_string() };
        Request::Change { key: "k".to_string(), change, keyless_for: unnamed_for }
    };
    let outcome = Outcome::Accepted { revision: 3, config_revision: 2, is_repeat: false };
    let store_call = StoreRequest::new(ask(Some(ms(40))), ms(5000));
    let Request::Change { keyless_for: unnamed_for, .. } = store_call.question(ms(5100)) else {
        panic!("a change")
    };
    assert_eq!(unnamed_for, Some(ms(140)));
    let told = store_call.answered(ms(5300), &outcome);
    assert!(matches!(told, Some(Request::Acknowledge { revision: 3, .. })), "{told:?}");
    assert!(store_call.answered(ms(5800), &outcome).is_none());
    assert!(store_call.answered(ms(5300), &Outcome::Unknown).is_none());
    assert!(StoreRequest::new(ask(None), ms(0)).answered(ms(100), &outcome).is_none());
}

/// Core machines that are replaced one after the other: the first store has just died, the
/// second dies with the question in hand, and the third still has time to tell.
#[test]
fn two_silent_stores_leave_time_for_the_third() {
    let change = Change::DrainZone { zone: "a1".to_string() };
    let question = Request::Change { key: "k".to_string(), change, keyless_for: None };
    let mut now = Duration::ZERO;
    let mut store_call = StoreRequest::new(question, now);
    let mut asked = Vec::new();
    let outcome = loop {
        let stores = vec![store(0), store(1), store(2)];
        match store_call.next(now, stores) {
            NextAction::Pause(pause) => now += pause,
            NextAction::End(outcome) => break outcome,
            NextAction::Send(card) => {
                asked.push(card.name.clone());
                if card.name == "store-2" {
                    let why = "not yet".to_string();
                    let tell = Response::Outcome(Outcome::NotApplied { reason: why });
                    assert!(store_call.told(Some(tell)).is_none());
                } else {
                    now += ATTEMPT_TIMEOUT;
                    assert!(store_call.told(None).is_none());
                }
            }
        }
        // Whoever replied is asked again before those that were silent.
        if asked.len() == 4 {
            let value = Outcome::Accepted { revision: 3, config_revision: 2, is_repeat: false };
            break store_call.told(Some(Response::Outcome(value))).expect("the store's own word");
        }
    };
    assert_eq!(asked, ["store-0", "store-1", "store-2", "store-2"]);
    assert!(matches!(outcome, Outcome::Accepted { .. }));
    assert!(now < TIMEOUT);
}
