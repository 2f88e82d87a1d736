//! Replacement, admission and removal of members (design 6.5, 6.6).

use crate::fleet::{Fleet, revision};
use std::time::Duration;
use vanepath_store::consensus::{Event, rescued};
use vanepath_store::protocol::{Outcome, Request, Response};
use vanepath_store::value::Ballot;

/// An empty disk gets the slot of a lost member. It votes only once both other members have shown that they
/// reject the old disk, and it fetches all versions. The old disk does not vote after its return.
#[test]
fn an_empty_disk_replaces_a_lost_member_and_the_old_disk_is_rejected() {
    let mut fleet = Fleet::new();
    fleet.run_for(Duration::from_secs(3));
    for key in ["a", "b", "c"] {
        fleet.write(0, key);
    }
    // While a slot's member responds, the slot is not given to another disk.
    fleet.add("s0x", 3, 500);
    fleet.run_for(Duration::from_secs(5));
    assert!(fleet.stores[3].replica.is_empty());
    fleet.stores[0].is_up = false;
    // One of the two other members does not confirm to the new disk that it is a member.
    fleet.drops_response = Box::new(|responder, _, response| {
        responder == 2 && matches!(response, Response::Membership { .. })
    });
    fleet.run_for(Duration::from_secs(5));
    assert!(
        !fleet.stores[3].replica.summary().is_voting,
        "one of two members has not confirmed it yet"
    );
    fleet.drops_response = Box::new(|_, _, _| false);
    fleet.run_for(Duration::from_secs(5));
    assert!(fleet.stores[3].replica.summary().is_voting);
    fleet.run_for(Duration::from_secs(5));
    let versions = fleet.stores[3].disk.versions.len();
    assert_eq!(versions, fleet.stores[1].disk.versions.len(), "the history is fetched too");
    fleet.restart(0);
    fleet.run_for(Duration::from_secs(5));
    assert!(!fleet.stores[0].replica.summary().is_voting, "its slot went to another disk");
    assert!(fleet.stores[0].disk.versions.is_empty(), "it is a spare with an empty disk");
    fleet.stores[1].is_up = false;
    assert!(
        matches!(fleet.write(2, "d"), Some(Outcome::Accepted { .. })),
        "the new disk is part of the majority"
    );
}

/// Two of five disks are lost at the same time, either wiped or with their machines. Both slots are
/// reassigned, to the same store if it is back and otherwise to another one, and the history is complete.
/// Then two other disks are lost, and two more after that.
#[test]
fn two_of_five_disks_lost_at_one_time_are_replaced() {
    for is_wiped in [true, false] {
        let mut fleet = Fleet::of(5);
        fleet.run_for(Duration::from_secs(2));
        let mut lost = vec![[0, 3], [1, 2], [4, 0]];
        let mut last = 0;
        for turn in 0..3_u64 {
            let members: [usize; 2] = lost.remove(0);
            for (number, slot) in members.into_iter().enumerate() {
                let incarnation = 1000 + 10 * turn + number as u64;
                if is_wiped {
                    fleet.wipe(slot, incarnation);
                } else {
                    // The store that holds the slot now.
                    let member = fleet.stores.iter().position(|store| {
                        store.is_up && store.replica.summary().slot == Some(slot)
                    });
                    fleet.stores[member.expect("a store holds the slot")].is_up = false;
                    fleet.add(&format!("new-{incarnation}"), 5, incarnation);
                }
            }
            let up: Vec<usize> =
                (0..fleet.stores.len()).filter(|index| fleet.stores[*index].is_up).collect();
            let voter = up.iter().find(|index| fleet.stores[**index].replica.summary().is_voting);
            let during = fleet.write(*voter.unwrap(), &format!("during-{turn}"));
            last += 1;
            assert!(revision(during) >= last, "three of five stores continue");
            fleet.run_for(Duration::from_secs(8));
            assert_eq!(fleet.voting(), 5, "turn {turn}, wiped {is_wiped}");
            if is_wiped {
                let members = fleet.value(0).members.clone();
                let names: Vec<String> =
                    members.into_iter().flatten().map(|member| member.name).collect();
                assert_eq!(
                    names,
                    ["s0", "s1", "s2", "s3", "s4"],
                    "each store has its own slot again"
                );
            }
            let versions = |index: &usize| fleet.stores[*index].disk.versions.len();
            let first = versions(&up[0]);
            assert!(up.iter().all(|index| versions(index) == first), "the history is fetched too");
        }
    }
}

/// A slot is reassigned only with a majority of all members, not counting the slot itself. The new disk votes
/// only once such a majority has confirmed the reassignment.
#[test]
fn a_replacement_among_five_takes_three_of_the_four_others() {
    let mut fleet = Fleet::of(5);
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(revision(fleet.write(0, "a")), 1);
    fleet.stores[4].is_up = false;
    fleet.add("s5", 5, 500);
    // Two of the four others accept the change; the requests to the other two are dropped.
    fleet.drops_request = Box::new(|_, target, request| {
        matches!(request, Request::Accept { value, .. } if value.revision > 1)
            && [2, 3].contains(&target)
    });
    fleet.run_for(Duration::from_secs(8));
    assert!(fleet.stores[5].replica.is_empty(), "two of five are not a majority");
    fleet.drops_request = Box::new(|_, _, _| false);
    fleet.drops_response = Box::new(|responder, _, response| {
        responder > 1 && matches!(response, Response::Membership { .. })
    });
    fleet.run_for(Duration::from_secs(8));
    assert!(fleet.stores[5].replica.is_empty(), "only two of the four others have confirmed it");
    fleet.drops_response = Box::new(|_, _, _| false);
    fleet.run_for(Duration::from_secs(3));
    assert!(fleet.stores[5].replica.summary().is_voting);
}

/// Two replicas that show a member table with the new disk under different ballots prove nothing, since
/// another ballot may have come between them: the snapshots must be of one ballot.
#[test]
fn membership_shown_under_several_ballots_admits_no_disk() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(revision(fleet.write(0, "a")), 1);
    fleet.add("s3", 3, 500);
    let parent = fleet.stores[0].disk.state.clone().unwrap().accepted.unwrap();
    let mut value = fleet.value(0).clone();
    value.revision += 1;
    (value.parent_revision, value.parent) = (parent.revision, parent.digest);
    value.members[2].as_mut().unwrap().incarnation = 500;
    value.members[2].as_mut().unwrap().joined_later = true;
    fleet.stores[2].is_up = false;
    // Proposals of two proposers that died, accepted by one replica each.
    for (index, number) in [(0, 50), (1, 60)] {
        let ballot = Ballot { number, incarnation: 101 - index as u64 };
        let (value, batch) = (value.clone(), Vec::new());
        fleet.request(index, Request::Accept { from: 101 - index as u64, ballot, value, batch });
    }
    // No store repairs the value meanwhile.
    fleet.drops_request = Box::new(|_, _, request| {
        matches!(request, Request::Accept { .. } | Request::Prepare { .. } | Request::QueryStatus)
    });
    fleet.run_for(Duration::from_secs(3));
    assert!(fleet.stores[3].replica.is_empty());
    fleet.drops_request = Box::new(|_, _, _| false);
    fleet.run_for(Duration::from_secs(8));
    assert!(
        fleet.stores[3].replica.summary().is_voting,
        "after the repair the new disk is admitted"
    );
}

/// Of several lost slots, the one lost for the longest time is reassigned first, even if it was lost long
/// before an empty disk was available.
#[test]
fn the_slot_that_is_lost_the_longest_is_replaced_first() {
    for (first, second) in [(3, 1), (1, 3)] {
        let mut fleet = Fleet::of(5);
        fleet.run_for(Duration::from_secs(2));
        fleet.stores[first].is_up = false;
        fleet.run_for(Duration::from_secs(1));
        fleet.stores[second].is_up = false;
        fleet.run_for(Duration::from_secs(4));
        fleet.add("s5", 5, 500);
        fleet.run_for(Duration::from_secs(5));
        let summary = fleet.stores[5].replica.summary();
        assert_eq!((summary.is_voting, summary.slot), (true, Some(first)));
    }
}

/// Two wiped stores get their own slots back, whichever was lost first and even if another disk waits.
#[test]
fn a_wiped_store_gets_its_own_slot() {
    let mut fleet = Fleet::of(5);
    fleet.run_for(Duration::from_secs(2));
    fleet.stores[3].is_up = false;
    fleet.run_for(Duration::from_secs(1));
    fleet.stores[0].is_up = false;
    fleet.run_for(Duration::from_secs(1));
    fleet.add("a-spare", 0, 700);
    fleet.wipe(0, 500);
    fleet.wipe(3, 600);
    fleet.run_for(Duration::from_secs(6));
    let members = [0, 3, 5].map(|index| fleet.stores[index].replica.summary().slot);
    assert_eq!(members, [Some(0), Some(3), None]);
    assert_eq!(fleet.voting(), 5);
}

/// A store that was down while its slot was given to another disk resets its disk to an empty one under a new
/// incarnation. It waits and gets the next slot that is lost; the old incarnation never votes again.
#[test]
fn a_removed_member_comes_back_as_an_empty_store() {
    let mut fleet = Fleet::of(5);
    fleet.run_for(Duration::from_secs(2));
    fleet.write(0, "a");
    fleet.stores[1].is_up = false;
    fleet.add("s5", 5, 500);
    fleet.run_for(Duration::from_secs(6));
    assert_eq!(fleet.stores[5].replica.summary().slot, Some(1));
    // The store is back after a restart or a partition, and has received nothing meanwhile.
    fleet.restart(1);
    let heard = fleet.accepted()[0];
    fleet.events.push_back((1, Event::RevisionHeard { revision: heard }));
    fleet.run_for(Duration::from_secs(4));
    let summary = fleet.stores[1].replica.summary();
    assert_ne!(summary.incarnation, 101);
    assert!(
        summary.is_empty && fleet.stores[1].disk.versions.is_empty(),
        "all former data is gone"
    );
    let state = fleet.stores[1].disk.state.clone().unwrap();
    assert_eq!((state.incarnation, state.accepted), (summary.incarnation, None));
    fleet.run_for(Duration::from_secs(4));
    assert!(fleet.stores[1].replica.is_empty(), "all five slots are taken: it waits");
    fleet.stores[2].is_up = false;
    fleet.run_for(Duration::from_secs(6));
    let summary = fleet.stores[1].replica.summary();
    assert_eq!((summary.is_voting, summary.slot), (true, Some(2)));
    assert!(matches!(fleet.write(0, "b"), Some(Outcome::Accepted { .. })));
}

/// A member does not reset its disk if only one replica shows that its slot was given away.
#[test]
fn a_member_does_not_leave_for_what_one_replica_shows() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    fleet.write(0, "a");
    fleet.add("s3", 0, 500);
    // The replacement reaches only its proposer's own disk.
    fleet.stores[0].is_up = false;
    fleet.drops_request = Box::new(|_, target, request| {
        matches!(request, Request::Accept { value, .. } if value.revision > 1) && target == 2
    });
    fleet.run_for(Duration::from_secs(4));
    assert_eq!(fleet.accepted()[1..3], [2, 1], "only one of the two has accepted it");
    fleet.stores[2].is_up = false;
    fleet.restart(0);
    fleet.events.push_back((0, Event::RevisionHeard { revision: 2 }));
    fleet.run_for(Duration::from_secs(4));
    assert_eq!(fleet.stores[0].replica.summary().incarnation, 100);
    assert_eq!(fleet.accepted()[0], 1, "its disk is unchanged");
}

/// No other store proposes or replaces a member while the first one is live; the order is that of the member
/// table.
#[test]
fn only_the_preferred_proposer_replaces_members() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    fleet.write(0, "a");
    fleet.stores[0].is_up = false;
    fleet.add("a-name-before-all", 3, 500);
    fleet.run_for(Duration::from_secs(6));
    assert_eq!(
        fleet.stores[3].replica.summary().slot,
        Some(0),
        "the first slot, whatever its name"
    );
    // Drops all proposals of the other stores.
    fleet.drops_request = Box::new(|requester, _, request| {
        matches!(request, Request::Accept { .. } | Request::Prepare { .. }) && requester != 3
    });
    fleet.wipe(2, 600);
    fleet.run_for(Duration::from_secs(6));
    assert_eq!(fleet.voting(), 3, "the store in the first slot made the replacement");
}

/// After the loss of a majority, the remaining replica is made to continue alone, and the empty ones are
/// admitted one after the other until there are as many members as before.
#[test]
fn a_rescued_replica_fills_all_its_slots_again() {
    for stores in [3, 5] {
        let mut fleet = Fleet::of(stores);
        fleet.run_for(Duration::from_secs(2));
        fleet.write(0, "a");
        for index in 1..stores {
            fleet.wipe(index, 700 + index as u64);
        }
        fleet.run_for(Duration::from_secs(6));
        assert!(!matches!(fleet.write(0, "b"), Some(Outcome::Accepted { .. })));
        let value = fleet.value(0).clone();
        let state = fleet.stores[0].disk.state.clone().unwrap();
        let (state, value) =
            rescued(&state, &value, "s0").expect("the replica has accepted a value");
        fleet.stores[0].disk.versions.insert(value.id(), value);
        fleet.stores[0].disk.state = Some(state);
        fleet.restart(0);
        fleet.run_for(Duration::from_secs(12));
        assert_eq!(fleet.voting(), stores);
        assert_eq!(fleet.value(0).members.iter().flatten().count(), stores);
        assert!(matches!(fleet.write(0, "c"), Some(Outcome::Accepted { .. })));
    }
}

/// A member that left pings unanswered keeps its slot if it is among the majority that promises.
#[test]
fn a_member_that_is_back_in_time_keeps_its_slot() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    fleet.write(0, "a");
    fleet.add("s3", 3, 500);
    fleet.drops_request =
        Box::new(|_, target, request| target == 2 && matches!(request, Request::Ping));
    fleet.drops_response = Box::new(|responder, _, response| {
        responder == 1 && matches!(response, Response::Promise { .. })
    });
    fleet.run_for(Duration::from_secs(8));
    assert!(fleet.stores[3].replica.is_empty());
    assert_eq!(fleet.stores[2].replica.summary().incarnation, 102);
    fleet.drops_request = Box::new(|_, _, _| false);
    fleet.drops_response = Box::new(|_, _, _| false);
    fleet.run_for(Duration::from_millis(50));
    assert_eq!(revision(fleet.write(0, "b")), 2, "no replacement has been proposed");
}

/// While a slot is held by a disk that cannot vote yet and another store is lost, no further replacement is
/// proposed: no majority could accept it, and it would block the lost store when it returns.
#[test]
fn no_replacement_is_made_that_too_few_could_accept() {
    let mut fleet = Fleet::of(3);
    fleet.run_for(Duration::from_secs(2));
    fleet.write(0, "a");
    fleet.stores[2].is_up = false;
    fleet.add("s3", 3, 500);
    fleet.drops_response =
        Box::new(|_, _, response| matches!(response, Response::Membership { .. }));
    fleet.run_for(Duration::from_secs(5));
    assert_eq!(fleet.accepted()[..2], [2, 2], "the slot is given to the new disk");
    fleet.stores[1].is_up = false;
    fleet.add("s4", 3, 600);
    fleet.drops_response = Box::new(|_, _, _| false);
    fleet.run_for(Duration::from_secs(8));
    assert_eq!(fleet.accepted()[0], 2, "one of two is not a majority");
    fleet.restart(1);
    fleet.run_for(Duration::from_secs(8));
    assert!(fleet.stores[3].replica.summary().is_voting);
    assert!(matches!(fleet.write(0, "b"), Some(Outcome::Accepted { .. })));
}
