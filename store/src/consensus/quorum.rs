//! Functions over the member table: slots, members and majorities.

use crate::value::{MemberTable, Value};
use std::collections::BTreeSet;

/// The slot that the disk with this incarnation holds.
pub fn slot_of(members: &MemberTable, incarnation: u64) -> Option<usize> {
    members
        .iter()
        .position(|slot| slot.as_ref().is_some_and(|member| member.incarnation == incarnation))
}

/// Whether the disk with this incarnation is in the table.
pub fn is_member(members: &MemberTable, incarnation: u64) -> bool {
    slot_of(members, incarnation).is_some()
}

/// The incarnations of all members, in the order of their slots.
pub fn member_incarnations(members: &MemberTable) -> impl Iterator<Item = u64> + Clone {
    members.iter().flatten().map(|member| member.incarnation)
}

/// The number of members that form a majority.
pub fn quorum_size(members: &MemberTable) -> usize {
    member_incarnations(members).count() / 2 + 1
}

/// Whether a majority of a value's members has accepted it.
pub fn is_accepted_by_quorum(value: &Value, accepts: &BTreeSet<u64>) -> bool {
    let accepting =
        member_incarnations(&value.members).filter(|incarnation| accepts.contains(incarnation));
    accepting.count() >= quorum_size(&value.members)
}

/// Whether a replacement is accepted: the new member's disk cannot vote yet, so a majority of the other
/// members has to accept it (design 6.5).
pub fn is_accepted_without(value: &Value, accepts: &BTreeSet<u64>, new_member: u64) -> bool {
    let others =
        member_incarnations(&value.members).filter(|incarnation| *incarnation != new_member);
    let accepting = others.clone().filter(|incarnation| accepts.contains(incarnation));
    accepting.count() > others.count() / 2
}
