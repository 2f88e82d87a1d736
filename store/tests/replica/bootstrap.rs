//! The bootstrap of empty stores (design 6.4).

use crate::fleet::{Fleet, revision};
use std::time::Duration;
use vanepath_store::consensus::Event;
use vanepath_store::protocol::{Outcome, Rejection, Request, Response};
use vanepath_store::value::{BOOTSTRAP_BALLOT, Value};

/// Whether no store holds a value.
fn are_all_empty(fleet: &Fleet) -> bool {
    fleet.stores.iter().all(|store| store.core.is_empty())
}

/// One, three, five and seven empty stores bootstrap, and all of them hold the same value; one fewer than
/// the settings say do not, nor does one more, nor one whose settings differ.
#[test]
fn bootstrap_takes_exactly_as_many_stores_as_the_settings_say() {
    for stores in [1, 3, 5, 7] {
        let mut fleet = Fleet::of(stores);
        fleet.run_for(Duration::from_millis(600));
        assert_eq!(fleet.voting(), stores, "all of {stores} vote soon");
        let members = fleet.value(0).members.clone();
        let names: Vec<&str> = members.iter().flatten().map(|one| one.name.as_str()).collect();
        assert!(names.is_sorted() && names.len() == stores, "{names:?}");
        assert!((0..stores).all(|index| fleet.value(index).members == members));
        assert_eq!(revision(fleet.write(0, "a")), 1);
    }
    let mut one_missing = Fleet::of(5);
    one_missing.stores[4].is_up = false;
    let mut one_more = Fleet::of(3);
    one_more.add("s3", 3, 500);
    let mut another_number = Fleet::of(3);
    another_number.stores[1].identity.bootstrap_size = 5;
    another_number.restart(1);
    let mut not_the_first_start = Fleet::of(3);
    not_the_first_start.stores[1].identity.bootstrap_size = 0;
    not_the_first_start.restart(1);
    let mut one_unresponsive = Fleet::of(3);
    one_unresponsive.drops_request =
        Box::new(|_, target, request| target == 2 && matches!(request, Request::QueryStatus));
    for mut fleet in [one_missing, one_more, another_number, not_the_first_start, one_unresponsive]
    {
        fleet.run_for(Duration::from_secs(10));
        assert!(are_all_empty(&fleet));
    }
}

/// An empty store that may not bootstrap is a spare from the start on.
#[test]
fn a_store_that_may_not_bootstrap_waits_as_a_spare() {
    let mut fleet = Fleet::of(3);
    fleet.add("s3", 0, 500);
    fleet.run_for(Duration::from_secs(5));
    assert_eq!(fleet.voting(), 3);
    assert!(fleet.stores[3].core.is_empty());
    assert_eq!(revision(fleet.write(0, "a")), 1);
    assert!(fleet.stores[3].core.is_empty(), "three hold the word already");
}

/// A bootstrap value that did not reach all members counts for nothing: no change is made on it. The
/// bootstrap goes on once the last one is live, with another proposer too; and a replica that holds a
/// bootstrap value accepts no other.
#[test]
fn the_bootstrap_value_counts_only_once_all_members_hold_it() {
    let mut fleet = Fleet::of(5);
    fleet.drops_request =
        Box::new(|_, target, request| target == 4 && matches!(request, Request::Accept { .. }));
    fleet.run_for(Duration::from_secs(5));
    assert!(fleet.stores[4].core.is_empty());
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

/// Once the bootstrap is complete, the loss of a disk right after it does no harm.
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
        assert_eq!(fleet.voting(), 3, "{lost} lost");
    }
}

/// Two of three disks are lost while the third is down, and a spare is there: three empty stores, and still
/// no second bootstrap while any node knows a committed revision.
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
    assert!(fleet.stores[1..].iter().all(|store| store.core.is_empty()));
}
