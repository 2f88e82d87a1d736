//! Replacement of members (design 6.5): which slots are lost or vacant, and which empty disks get them.

use super::event::LiveStore;
use super::quorum::is_member;
use super::replica::Replica;
use super::round::{Operation, Replacement};
use crate::value::MemberTable;
use std::time::Duration;

/// Interval at which the preferred proposer looks for slots to give.
pub(super) const REPLACEMENT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The same while a replacement is under way.
pub(super) const REPLACEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(1000);

/// A slot to be given to another disk.
struct LostSlot {
    slot: usize,
    /// When its member was last heard of; zero for a vacant slot.
    last_heard_at: Duration,
}

impl Replica {
    /// Live stores whose empty disks have no slot, by name.
    pub(super) fn waiting_stores(&self) -> Vec<&LiveStore> {
        let Some(value) = &self.value else { return Vec::new() };
        let empty = self.live_stores.iter().filter(|store| store.is_empty);
        let mut waiting: Vec<&LiveStore> =
            empty.filter(|store| !is_member(&value.members, store.incarnation)).collect();
        waiting.sort_by(|left, right| left.name.cmp(&right.name));
        waiting
    }

    /// Lost and vacant slots, those lost the longest first.
    fn lost_slots(&self, now: Duration, members: &MemberTable) -> Vec<LostSlot> {
        let mut lost = Vec::new();
        for (slot, member) in members.iter().enumerate() {
            match member {
                None => lost.push(LostSlot { slot, last_heard_at: Duration::ZERO }),
                Some(member) if self.is_lost(now, member.incarnation) => {
                    let liveness = self.liveness.get(&member.incarnation);
                    let last_heard_at = liveness.map_or(Duration::ZERO, |one| one.last_heard_at);
                    lost.push(LostSlot { slot, last_heard_at });
                }
                Some(_) => {}
            }
        }
        lost.sort_by_key(|one| (one.last_heard_at, one.slot));
        lost
    }

    /// The replacements to be made now: a slot goes to a waiting disk of the same store, or else to one of a
    /// store that is not a member. The disk of a member store takes no other slot: that slot's member may be
    /// back before this store's own old disk is found to be lost, and would have to leave (incident 0013).
    pub(super) fn replacements(&self, now: Duration) -> Vec<Replacement> {
        let Some(value) = &self.value else { return Vec::new() };
        let mut waiting = self.waiting_stores();
        let mut lost = self.lost_slots(now, &value.members);
        let is_member_name =
            |name: &str| value.members.iter().flatten().any(|member| member.name == name);
        let mut replacements = Vec::new();
        for is_same_store in [true, false] {
            lost.retain(|LostSlot { slot, .. }| {
                let old = value.members[*slot].as_ref();
                let fits = |store: &&LiveStore| match is_same_store {
                    true => old.is_some_and(|member| member.name == store.name),
                    false => !is_member_name(&store.name),
                };
                let Some(index) = waiting.iter().position(fits) else { return true };
                let store = waiting.remove(index);
                replacements.push(Replacement {
                    slot: *slot,
                    replaced: old.map(|member| member.incarnation),
                    name: store.name.clone(),
                    incarnation: store.incarnation,
                });
                false
            });
        }
        replacements
    }

    /// Queues the replacements before the operators' changes: with a member lost, the next loss would be one
    /// too many. Says whether there are any.
    pub(super) fn enqueue_replacements(&mut self, now: Duration) -> bool {
        let replacements = self.replacements(now);
        let is_replacement = |operation: &Operation| matches!(operation, Operation::Replace(_));
        let is_under_way = self.round.as_ref().is_some_and(|one| is_replacement(&one.operation));
        if !is_under_way && !self.queue.iter().any(is_replacement) {
            for replacement in replacements.iter().rev() {
                self.queue.push_front(Operation::Replace(replacement.clone()));
            }
        }
        !replacements.is_empty()
    }
}
