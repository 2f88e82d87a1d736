//! Drain orders, and retransmissions without a key (design 6.10).

use crate::fleet::{Fleet, Requester, drain, is_repeat, restore};
use std::time::Duration;
use vanepath_cluster::wire;
use vanepath_store::consensus::Event;
use vanepath_store::protocol::{Outcome, Request};
use vanepath_store::value::{MAX_DRAIN_ORDERS, Value};

/// Each drain order is withdrawn for itself, and a withdrawal of none is acknowledged.
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
    // With keys: the same key is the same order, another key another order.
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

/// The number of drain orders has a bound; the one above it does nothing, and says so.
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

/// Without a clear response an order is sent again, to any store: it counts once. One that was never
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
    // A store that restarts and forgets when the order came.
    fleet.restart(0);
    fleet.run_for(second);
    let outcome = fleet.drain_order(0, drain(), 0);
    assert!(is_repeat(&outcome));
    fleet.acknowledge(&drain(), &outcome);
    // It learns from the others' promises what a majority knows.
    fleet.restart(0);
    // Acknowledged: the next one is another order.
    fleet.run_for(second);
    assert!(!is_repeat(&fleet.drain_order(0, drain(), 0)));
    // Not acknowledged, but no client retransmits it after so long.
    fleet.run_for(9 * second);
    assert!(!is_repeat(&fleet.drain_order(0, drain(), 0)));
    assert_eq!(fleet.drain_orders(0), 3);
    // The same for withdrawals.
    assert!(!is_repeat(&fleet.drain_order(0, restore(), 0)));
    fleet.run_for(second);
    assert!(is_repeat(&fleet.drain_order(2, restore(), 0)));
    assert_eq!(fleet.drain_orders(0), 2);
    // The first request finds no majority.
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

/// Two orders in short succession: whether the second one is a retransmission shows once its registry has
/// acknowledged the first, or by then should have; until then it is undecided.
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
    assert_eq!((fleet.outcomes.len(), fleet.drain_orders(0)), (1, 1), "nobody can tell yet");
    fleet.acknowledge(&drain(), &first);
    let is_not_applied = |outcome: &Outcome| matches!(outcome, Outcome::NotApplied { .. });
    assert!(
        is_not_applied(&fleet.outcomes[1]),
        "a registry that died does not: {:?}",
        fleet.outcomes[1]
    );
    assert_eq!(fleet.drain_orders(0), 1);
    assert!(!is_repeat(&fleet.drain_order(0, drain(), 100)));
    assert_eq!(fleet.drain_orders(0), 2);
    // Its registry is down: it is a retransmission, at whichever store.
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
    // Both are queued for one round.
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

/// An order that was delayed at its registry has no effect once its retransmission has.
#[test]
fn a_delayed_order_is_overtaken_by_its_retransmission() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let outcome = fleet.drain_order(1, drain(), 0);
    fleet.acknowledge(&drain(), &outcome);
    fleet.run_for(Duration::from_millis(500));
    assert!(is_repeat(&fleet.drain_order(0, drain(), 1600)));
    assert_eq!(fleet.drain_orders(0), 1);
    // Also where the zone was restored meanwhile.
    let outcome = fleet.drain_order(0, restore(), 0);
    fleet.acknowledge(&restore(), &outcome);
    assert!(is_repeat(&fleet.drain_order(0, drain(), 1700)));
    assert_eq!(fleet.drain_orders(0), 0);
    // Delayed, but without a retransmission before it.
    fleet.run_for(Duration::from_secs(3));
    assert!(!is_repeat(&fleet.drain_order(0, drain(), 1600)));
    assert_eq!(fleet.drain_orders(0), 1);
}

/// A value without extra drain orders has the encoding and digest that it had before orders were counted.
#[test]
fn a_value_without_extra_orders_keeps_its_encoding() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let name = b"further_orders";
    let has_it = |bytes: &[u8]| bytes.windows(name.len()).any(|part| part == name);
    fleet.request(0, Request::Change { key: "a".to_string(), change: drain(), keyless_for: None });
    let bytes = fleet.value(0).encode();
    assert!(!has_it(&bytes));
    let read: Value = wire::decode(&bytes).unwrap();
    assert_eq!((read.drain_orders("a1"), read.drain_orders("b1"), read.encode()), (1, 0, bytes));
    fleet.request(0, Request::Change { key: "b".to_string(), change: drain(), keyless_for: None });
    let bytes = fleet.value(0).encode();
    assert!(has_it(&bytes));
    assert_eq!(wire::decode::<Value>(&bytes).unwrap().drain_orders("a1"), 2);
    let request = Request::Change { key: "c".to_string(), change: restore(), keyless_for: None };
    fleet.request(0, request);
    assert!(!has_it(&fleet.value(0).encode()));
}
