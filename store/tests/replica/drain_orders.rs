//! Drain orders, and retransmissions without a key (design 6.10).

use crate::fleet::{Fleet, Requester, drain, is_repeat, restore};
use std::time::Duration;
use vanepath_cluster::wire;
use vanepath_store::consensus::Event;
use vanepath_store::protocol::{Outcome, Request};
use vanepath_store::value::{MAX_DRAIN_ORDERS, Value};

/// Each drain order is withdrawn separately; a withdrawal is acknowledged even if there is no drain order.
#[test]
fn a_zone_is_drained_until_every_order_is_withdrawn() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let is_drained = |fleet: &Fleet| fleet.value(1).committed_config().drained_zones.contains("a1");
    for (change, drain_orders) in [
        (drain(), 1),
        (drain(), 2),
        (drain(), 3),
        (restore(), 2),
        (restore(), 1),
        (restore(), 0),
        (restore(), 0),
        (drain(), 1),
    ] {
        let outcome = fleet.drain_order(0, change.clone(), 0);
        fleet.acknowledge(&change, &outcome);
        assert_eq!(
            (fleet.drain_orders(0), fleet.drain_orders(1), fleet.drain_orders(2)),
            (drain_orders, drain_orders, drain_orders)
        );
        assert_eq!(is_drained(&fleet), drain_orders > 0);
        fleet.run_for(Duration::from_millis(300));
    }
    // With keys: the same key means the same order, another key another order.
    for (key, change, drain_orders) in [
        ("a", drain(), 2),
        ("a", drain(), 2),
        ("b", drain(), 3),
        ("c", restore(), 2),
        ("c", restore(), 2),
        ("d", restore(), 1),
    ] {
        fleet.request(0, Request::Change { key: key.to_string(), change, keyless_for: None });
        assert_eq!(fleet.drain_orders(0), drain_orders, "{key}");
    }
}

/// The number of drain orders of a zone is limited; an order above the limit is answered as not applied.
#[test]
fn drain_orders_of_one_zone_are_bounded() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let max = MAX_DRAIN_ORDERS;
    for number in 0..=max {
        let (key, change) = (format!("k{number}"), drain());
        fleet.request(0, Request::Change { key, change, keyless_for: None });
    }
    assert_eq!(fleet.drain_orders(0), max);
    assert!(matches!(fleet.outcomes.last(), Some(Outcome::NotApplied { .. })));
}

/// An order without a definite response is sent again, to any store, and counts once. An order that was never
/// committed counts when it is sent again.
#[test]
fn a_retransmitted_order_counts_once() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let second = Duration::from_secs(1);
    assert!(!is_repeat(&fleet.drain_order(0, drain(), 0)));
    for store in [0, 1, 2, 1] {
        fleet.run_for(second);
        assert!(is_repeat(&fleet.drain_order(store, drain(), 0)));
        assert_eq!(fleet.drain_orders(0), 1);
    }
    // A restarted store no longer knows when the order arrived.
    fleet.restart(0);
    fleet.run_for(second);
    let outcome = fleet.drain_order(0, drain(), 0);
    assert!(is_repeat(&outcome));
    fleet.acknowledge(&drain(), &outcome);
    // A restarted store learns what a majority knows from the promises of the others.
    fleet.restart(0);
    // The order was acknowledged: the next one is another order.
    fleet.run_for(second);
    assert!(!is_repeat(&fleet.drain_order(0, drain(), 0)));
    // The order was not acknowledged, but after this long no client retransmits it.
    fleet.run_for(9 * second);
    assert!(!is_repeat(&fleet.drain_order(0, drain(), 0)));
    assert_eq!(fleet.drain_orders(0), 3);
    // The same for withdrawals.
    assert!(!is_repeat(&fleet.drain_order(0, restore(), 0)));
    fleet.run_for(second);
    assert!(is_repeat(&fleet.drain_order(2, restore(), 0)));
    assert_eq!(fleet.drain_orders(0), 2);
    // No majority accepts the first request.
    fleet.run_for(9 * second);
    fleet.drops_request = Box::new(|_, _, request| {
        matches!(request, Request::Prepare { .. } | Request::Accept { .. })
    });
    let outcome = fleet.drain_order(0, restore(), 0);
    assert!(matches!(outcome, Outcome::NotApplied { .. }), "{outcome:?}");
    fleet.drops_request = Box::new(|_, _, _| false);
    fleet.run_for(second);
    assert!(!is_repeat(&fleet.drain_order(1, restore(), 0)));
    assert_eq!(fleet.drain_orders(0), 1);
}

/// Of two orders in short succession, the second may be a retransmission of the first. That is undecided
/// until the registry has acknowledged the first order, or the time limit for the acknowledgement has passed.
#[test]
fn an_order_right_after_another_waits_for_its_acknowledgement() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let enqueue = |fleet: &mut Fleet, store: usize| {
        fleet.tickets.push(Requester::Operator);
        let ticket = fleet.tickets.len() as u64 - 1;
        let (key, keyless_for) = (format!("made-{ticket}"), Some(Duration::ZERO));
        let request = Request::Change { key, change: drain(), keyless_for };
        fleet.events.push_back((store, Event::RequestReceived { ticket, request }));
    };
    let first = fleet.drain_order(0, drain(), 0);
    fleet.run_for(Duration::from_millis(200));
    enqueue(&mut fleet, 0);
    fleet.run_for(Duration::from_millis(200));
    assert_eq!((fleet.outcomes.len(), fleet.drain_orders(0)), (1, 1), "still undecided");
    fleet.acknowledge(&drain(), &first);
    let is_not_applied = |outcome: &Outcome| matches!(outcome, Outcome::NotApplied { .. });
    assert!(
        is_not_applied(&fleet.outcomes[1]),
        "a new order is not applied, since its registry may have died: {:?}",
        fleet.outcomes[1]
    );
    assert_eq!(fleet.drain_orders(0), 1);
    assert!(!is_repeat(&fleet.drain_order(0, drain(), 100)));
    assert_eq!(fleet.drain_orders(0), 2);
    // Without an acknowledgement, orders count as retransmissions at every store.
    fleet.run_for(Duration::from_millis(200));
    for store in 0..3 {
        enqueue(&mut fleet, store);
    }
    fleet.run();
    assert_eq!(fleet.outcomes.len(), 3);
    fleet.run_for(Duration::from_millis(500));
    assert_eq!(fleet.outcomes.len(), 6);
    assert!(fleet.outcomes[3..].iter().all(is_repeat), "{:?}", fleet.outcomes);
    assert_eq!(fleet.drain_orders(0), 2);
    // Two orders are queued for the same round.
    fleet.run_for(Duration::from_secs(9));
    enqueue(&mut fleet, 0);
    enqueue(&mut fleet, 0);
    fleet.run();
    assert_eq!((fleet.outcomes.len(), fleet.drain_orders(0)), (7, 3));
    fleet.acknowledge(&drain(), &fleet.outcomes[6].clone());
    assert_eq!((fleet.outcomes.len(), fleet.drain_orders(0)), (8, 3));
    assert!(is_not_applied(&fleet.outcomes[7]));
    assert!(!is_repeat(&fleet.drain_order(0, drain(), 100)));
    // A disk that fails leaves no undecided order pending.
    enqueue(&mut fleet, 1);
    fleet.run();
    assert_eq!((fleet.outcomes.len(), fleet.drain_orders(0)), (9, 4));
    fleet.events.push_back((1, Event::DiskFailed));
    fleet.run_for(Duration::from_millis(50));
    assert!(is_not_applied(&fleet.outcomes[9]), "{:?}", fleet.outcomes[9]);
}

/// An order that was delayed at its registry has no effect once its retransmission has been applied.
#[test]
fn a_delayed_order_is_overtaken_by_its_retransmission() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let outcome = fleet.drain_order(1, drain(), 0);
    fleet.acknowledge(&drain(), &outcome);
    fleet.run_for(Duration::from_millis(500));
    assert!(is_repeat(&fleet.drain_order(0, drain(), 1600)));
    assert_eq!(fleet.drain_orders(0), 1);
    // Also if the zone was restored meanwhile.
    let outcome = fleet.drain_order(0, restore(), 0);
    fleet.acknowledge(&restore(), &outcome);
    assert!(is_repeat(&fleet.drain_order(0, drain(), 1700)));
    assert_eq!(fleet.drain_orders(0), 0);
    // A delayed order that was not retransmitted before counts.
    fleet.run_for(Duration::from_secs(3));
    assert!(!is_repeat(&fleet.drain_order(0, drain(), 1600)));
    assert_eq!(fleet.drain_orders(0), 1);
}

/// A value without extra drain orders has the encoding and digest that it had before orders were counted.
#[test]
fn a_value_without_extra_orders_keeps_its_encoding() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let field = b"further_orders";
    let has_field = |bytes: &[u8]| bytes.windows(field.len()).any(|part| part == field);
    fleet.request(0, Request::Change { key: "a".to_string(), change: drain(), keyless_for: None });
    let bytes = fleet.value(0).encode();
    assert!(!has_field(&bytes));
    let decoded: Value = wire::decode(&bytes).unwrap();
    assert_eq!(
        (decoded.drain_orders("a1"), decoded.drain_orders("b1"), decoded.encode()),
        (1, 0, bytes)
    );
    fleet.request(0, Request::Change { key: "b".to_string(), change: drain(), keyless_for: None });
    let bytes = fleet.value(0).encode();
    assert!(has_field(&bytes));
    assert_eq!(wire::decode::<Value>(&bytes).unwrap().drain_orders("a1"), 2);
    let request = Request::Change { key: "c".to_string(), change: restore(), keyless_for: None };
    fleet.request(0, request);
    assert!(!has_field(&fleet.value(0).encode()));
}
