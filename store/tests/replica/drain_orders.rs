//! Drain orders and their retransmissions (design 6.10).

use crate::fleet::{Fleet, Requester, drain, is_accepted, restore};
use std::time::Duration;
use vanepath_cluster::wire;
use vanepath_store::consensus::Event;
use vanepath_store::protocol::{Change, Outcome, Request};
use vanepath_store::value::{MAX_RECENT_WRITES, Value};

/// A drained zone stays as it is when it is drained again, by an order of its own or a retransmission, and one
/// order restores it.
#[test]
fn a_zone_is_drained_until_it_is_restored() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    for (change, is_drained) in [
        (drain(), true),
        (drain(), true),
        (drain(), true),
        (restore(), false),
        (restore(), false),
        (drain(), true),
        (restore(), false),
    ] {
        fleet.drain_order(0, change.clone());
        assert_eq!([0, 1, 2].map(|index| fleet.is_drained(index)), [is_drained; 3], "{change:?}");
        fleet.run_for(Duration::from_millis(300));
    }
    // With keys: a repeat under the same key has no effect, whatever was ordered in between.
    for (key, change, is_drained) in [
        ("a", drain(), true),
        ("b", drain(), true),
        ("c", restore(), false),
        ("a", drain(), false),
        ("d", drain(), true),
        ("c", restore(), true),
        ("e", restore(), false),
    ] {
        fleet.request(
            0,
            Request::Change {
                key: key.to_string(),
                change,
                keyless_for: None,
                known_revision: None,
            },
        );
        assert_eq!(fleet.is_drained(0), is_drained, "{key}");
    }
}

/// Guards against a zone that stays drained for good (incident 0026): the answer to a drain order is lost
/// after its registry sent it, the client sends the order again, and then withdraws it once.
#[test]
fn an_order_sent_again_after_a_lost_answer_is_withdrawn_by_one_order() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    for store in [0, 1, 2] {
        let outcome = fleet.drain_order(0, drain());
        // A registry of an earlier version reports that it has sent the answer.
        fleet.acknowledge(&drain(), &outcome);
        fleet.run_for(Duration::from_millis(1100));
        fleet.drain_order(store, drain());
        assert!(fleet.is_drained(0));
        fleet.run_for(Duration::from_secs(3));
        fleet.drain_order(0, restore());
        assert_eq!([0, 1, 2].map(|index| fleet.is_drained(index)), [false; 3]);
        fleet.run_for(Duration::from_secs(2));
    }
}

/// Each retransmission is acknowledged, whichever store it reaches, also after a restart. An order that no
/// majority accepted is carried out when it is sent again.
#[test]
fn a_retransmitted_order_is_acknowledged() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let second = Duration::from_secs(1);
    for store in [0, 1, 2, 1] {
        assert!(is_accepted(&fleet.drain_order(store, drain())));
        assert!(fleet.is_drained(0));
        fleet.run_for(second);
    }
    fleet.restart(0);
    fleet.run_for(second);
    assert!(is_accepted(&fleet.drain_order(0, drain())));
    assert!(fleet.is_drained(0));
    fleet.drops_request = Box::new(|_, _, request| {
        matches!(request, Request::Prepare { .. } | Request::Accept { .. })
    });
    let outcome = fleet.drain_order(0, restore());
    assert!(matches!(outcome, Outcome::NotApplied { .. }), "{outcome:?}");
    fleet.drops_request = Box::new(|_, _, _| false);
    fleet.run_for(second);
    assert!(is_accepted(&fleet.drain_order(1, restore())));
    assert!(!fleet.is_drained(0));
}

/// Guards against a zone that gets requests although its evacuation is in force, and the reverse (incident 0028):
/// an order waits in the sockets of a process that stands still; its client sends it again, and then an opposite
/// one, which are acknowledged. Carried out late, the first order has no effect, at any store.
#[test]
fn an_order_that_waited_does_not_undo_a_newer_one() {
    for (order, opposite) in [(restore(), drain()), (drain(), restore())] {
        for store in [0, 1, 2] {
            let mut fleet = Fleet::of(3);
            fleet.run_for(Duration::from_secs(2));
            fleet.drain_order(0, opposite.clone());
            let known = fleet.latest_revision();
            assert!(is_accepted(&fleet.drain_order(1, order.clone())));
            fleet.run_for(Duration::from_millis(200));
            assert!(is_accepted(&fleet.drain_order(1, opposite.clone())));
            let is_drained = fleet.is_drained(1);
            fleet.run_for(Duration::from_millis(400));
            let outcome = fleet.drain_order_knowing(store, order.clone(), known);
            assert!(matches!(outcome, Outcome::Overtaken { .. }), "{outcome:?}");
            assert_eq!([0, 1, 2].map(|index| fleet.is_drained(index)), [is_drained; 3]);
        }
    }
}

/// An order that changes nothing overtakes an opposite one that still waits, which its client has given up.
#[test]
fn an_order_without_effect_overtakes_one_that_waits() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let known = fleet.latest_revision();
    let outcome = fleet.drain_order(1, restore());
    assert!(matches!(outcome, Outcome::Accepted { is_repeat: true, .. }), "{outcome:?}");
    let waiting = fleet.drain_order_knowing(0, drain(), known);
    assert!(matches!(waiting, Outcome::Overtaken { .. }), "{waiting:?}");
    assert!(!fleet.is_drained(0));
}

/// Guards against an order that was given up and is read after the zone was ordered to stay as it is (found by
/// `drain_order_model.rs`): the later order comes from a registry that is behind, and changes nothing.
#[test]
fn an_equal_order_of_a_registry_that_is_behind_overtakes_one_that_waits() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let before = fleet.latest_revision();
    fleet.drain_order(0, drain());
    let known = fleet.latest_revision();
    assert!(is_accepted(&fleet.drain_order_knowing(1, drain(), before)));
    let waiting = fleet.drain_order_knowing(0, restore(), known);
    assert!(matches!(waiting, Outcome::Overtaken { .. }), "{waiting:?}");
    assert!(fleet.is_drained(0));
}

/// A registry that is behind sends an overtaken order again with the revision that the store names, if its client
/// still waits, and the order is carried out. An equal order needs no second transmission.
#[test]
fn an_order_of_a_registry_that_is_behind_is_carried_out_when_it_is_sent_again() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let known = fleet.latest_revision();
    fleet.drain_order(0, drain());
    assert!(is_accepted(&fleet.drain_order_knowing(1, drain(), known)));
    let Outcome::Overtaken { revision } = fleet.drain_order_knowing(2, restore(), known) else {
        panic!("the registry may have the order since before the zone was drained");
    };
    assert!(fleet.is_drained(0));
    assert!(is_accepted(&fleet.drain_order_knowing(2, restore(), revision)));
    assert!(!fleet.is_drained(0));
}

/// Of the latest order for a zone no record may be left after many other writes. An order from a registry that
/// knows less than the records that are left is overtaken, since there may have been another one.
#[test]
fn an_order_of_a_registry_that_is_far_behind_is_overtaken() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    fleet.drain_order(0, drain());
    let known = fleet.latest_revision();
    fleet.drain_order(0, restore());
    for number in 0..MAX_RECENT_WRITES {
        let key = format!("write-{number}");
        let bytes = key.clone().into_bytes();
        let change = Change::ReplaceConfig { bytes, if_revision: None, version: None };
        let (keyless_for, known_revision) = (None, None);
        fleet.request(0, Request::Change { key, change, keyless_for, known_revision });
    }
    let outcome = fleet.drain_order_knowing(0, drain(), known);
    assert!(matches!(outcome, Outcome::Overtaken { .. }), "{outcome:?}");
    assert!(!fleet.is_drained(0));
    assert!(is_accepted(&fleet.drain_order(0, drain())));
    assert!(fleet.is_drained(0));
}

/// Drain orders that are queued for the same round are all answered.
#[test]
fn orders_of_one_round_are_all_answered() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    for _ in 0..3 {
        fleet.tickets.push(Requester::Operator);
        let ticket = fleet.tickets.len() as u64 - 1;
        let (key, keyless_for) = (format!("made-{ticket}"), Some(Duration::ZERO));
        let request = Request::Change { key, change: drain(), keyless_for, known_revision: None };
        fleet.events.push_back((0, Event::RequestReceived { ticket, request }));
    }
    fleet.run();
    assert_eq!(fleet.outcomes.len(), 3);
    assert!(fleet.outcomes.iter().all(is_accepted), "{:?}", fleet.outcomes);
    assert!(fleet.is_drained(0));
}

/// A value of an earlier version, which counted drain orders, is read with its count, and one order restores
/// the zone.
#[test]
fn a_zone_with_counted_orders_is_restored_by_one_order() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    fleet.drain_order(0, drain());
    fleet.rewrite_disks(|value| {
        value.extra_drain_orders.insert("a1".to_string(), 2);
    });
    fleet.run_for(Duration::from_secs(2));
    let bytes = fleet.value(0).encode();
    let decoded: Value = wire::decode(&bytes).unwrap();
    assert_eq!((decoded.is_drained("a1"), &decoded.extra_drain_orders["a1"]), (true, &2));
    assert_eq!(decoded.encode(), bytes);
    assert!(fleet.is_drained(0));
    fleet.drain_order(0, restore());
    assert!(!fleet.is_drained(0));
    assert!(fleet.value(0).extra_drain_orders.is_empty());
}

/// A value without counted orders has the encoding and digest that it had before orders were counted.
#[test]
fn a_value_without_extra_orders_keeps_its_encoding() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    let field = b"further_orders";
    let has_field = |bytes: &[u8]| bytes.windows(field.len()).any(|part| part == field);
    fleet.request(
        0,
        Request::Change {
            key: "a".to_string(),
            change: drain(),
            keyless_for: None,
            known_revision: None,
        },
    );
    let bytes = fleet.value(0).encode();
    assert!(!has_field(&bytes));
    let decoded: Value = wire::decode(&bytes).unwrap();
    assert_eq!(
        (decoded.is_drained("a1"), decoded.is_drained("b1"), decoded.encode()),
        (true, false, bytes)
    );
    fleet.request(
        0,
        Request::Change {
            key: "b".to_string(),
            change: drain(),
            keyless_for: None,
            known_revision: None,
        },
    );
    assert!(!has_field(&fleet.value(0).encode()));
}
