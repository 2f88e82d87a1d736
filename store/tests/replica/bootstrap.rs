//! The bootstrap of empty stores (design 6.4).

use crate::fleet::{Fleet, revision};
use std::time::Duration;
use vanepath_store::consensus::Event;
use vanepath_store::protocol::{Outcome, Rejection, Request, Response};
use vanepath_store::value::{BOOTSTRAP_BALLOT, Value};

/// Whether no store holds a value.
fn are_all_empty(fleet: &Fleet) -> bool {
    fleet.stores.iter().all(|store| store.replica.is_empty())
}

/// One, three, five and seven empty stores bootstrap and then hold the same value. There is no bootstrap with
/// one store fewer or more than configured, nor if one store has other settings or does not respond.
#[test]
fn bootstrap_takes_exactly_as_many_stores_as_the_settings_say() {
    for stores in [1, 3, 5, 7] {
        let mut fleet = Fleet::of(stores);
        fleet.run_for(Duration::from_millis(600));
        assert_eq!(fleet.voting(), stores, "all {stores} stores vote after 600 ms");
        let members = fleet.value(0).members.clone();
        let names: Vec<&str> =
            members.iter().flatten().map(|member| member.name.as_str()).collect();
        assert!(names.is_sorted() && names.len() == stores, "{names:?}");
        assert!((0..stores).all(|index| fleet.value(index).members == members));
        assert_eq!(revision(fleet.write(0, "a")), 1);
    }
    let mut one_missing = Fleet::of(5);
    one_missing.stores[4].is_up = false;
    let mut one_too_many = Fleet::of(3);
    one_too_many.add("s3", 3, 500);
    let mut different_size = Fleet::of(3);
    different_size.stores[1].identity.bootstrap_size = 5;
    different_size.restart(1);
    let mut no_bootstrap_allowed = Fleet::of(3);
    no_bootstrap_allowed.stores[1].identity.bootstrap_size = 0;
    no_bootstrap_allowed.restart(1);
    let mut one_unresponsive = Fleet::of(3);
    one_unresponsive.drops_request =
        Box::new(|_, target, request| target == 2 && matches!(request, Request::QueryStatus));
    for mut fleet in
        [one_missing, one_too_many, different_size, no_bootstrap_allowed, one_unresponsive]
    {
        fleet.run_for(Duration::from_secs(10));
        assert!(are_all_empty(&fleet));
    }
}

/// An empty store that may not bootstrap waits for a slot while the others bootstrap without it.
#[test]
fn a_store_that_may_not_bootstrap_waits_as_a_spare() {
    let mut fleet = Fleet::of(3);
    fleet.add("s3", 0, 500);
    fleet.run_for(Duration::from_secs(5));
    assert_eq!(fleet.voting(), 3);
    assert!(fleet.stores[3].replica.is_empty());
    assert_eq!(revision(fleet.write(0, "a")), 1);
    assert!(fleet.stores[3].replica.is_empty(), "all three slots are taken");
}

/// A bootstrap value that has not reached all members is not committed, and no change is derived from it. The
/// bootstrap continues once all members respond. A replica that holds a bootstrap value accepts no other one.
#[test]
fn the_bootstrap_value_counts_only_once_all_members_hold_it() {
    let mut fleet = Fleet::of(5);
    fleet.drops_request =
        Box::new(|_, target, request| target == 4 && matches!(request, Request::Accept { .. }));
    fleet.run_for(Duration::from_secs(5));
    assert!(fleet.stores[4].replica.is_empty());
    assert_eq!(fleet.voting(), 0);
    assert!(!matches!(fleet.write(1, "a"), Some(Outcome::Accepted { .. })));
    let other = Value { members: fleet.value(1).members[..3].to_vec(), ..fleet.value(1).clone() };
    let before = fleet.responses.len();
    let ballot = BOOTSTRAP_BALLOT;
    fleet.request(1, Request::Accept { from: 100, ballot, value: other, batch: Vec::new() });
    let rejected = &fleet.responses[before];
    assert!(
        matches!(rejected, Response::Rejected { reason: Rejection::NotVoting, .. }),
        "{rejected:?}"
    );
    // The proposer is down: the others cannot know whether it completed the bootstrap.
    fleet.stores[0].is_up = false;
    fleet.drops_request = Box::new(|_, _, _| false);
    fleet.run_for(Duration::from_secs(5));
    assert_eq!(fleet.voting(), 0);
    fleet.restart(0);
    fleet.run_for(Duration::from_secs(5));
    assert_eq!(fleet.voting(), 5);
    assert_eq!(revision(fleet.write(1, "a")), 1);
}

/// The loss of any one disk right after the bootstrap is tolerated, even if all stores restart as well.
#[test]
fn a_disk_lost_right_after_the_bootstrap_is_replaced() {
    for lost in 0..3 {
        let mut fleet = Fleet::of(3);
        while fleet.voting() < 3 {
            fleet.run_for(Duration::from_millis(50));
        }
        for index in 0..3 {
            fleet.restart(index);
        }
        fleet.wipe(lost, 500);
        fleet.run_for(Duration::from_secs(8));
        assert_eq!(fleet.voting(), 3, "disk {lost} lost");
    }
}

/// Two of three disks are lost while the third store is down, and a spare store joins. The three empty stores
/// must not bootstrap again while any node knows a committed revision.
#[test]
fn no_bootstrap_while_any_node_knows_a_committed_revision() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    fleet.write(0, "a");
    fleet.stores[0].is_up = false;
    fleet.wipe(1, 501);
    fleet.wipe(2, 502);
    fleet.add("s3", 3, 503);
    for index in 1..4 {
        fleet.events.push_back((index, Event::RevisionHeard { revision: 1 }));
    }
    fleet.run_for(Duration::from_secs(10));
    assert!(fleet.stores[1..].iter().all(|store| store.replica.is_empty()));
}
