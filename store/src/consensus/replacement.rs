//! Replacement of members (design 6.5): finds lost and vacant slots, and the empty disks to which they go.

use super::event::LiveStore;
use super::quorum::is_member;
use super::replica::Replica;
use super::round::{Operation, Replacement};
use crate::value::MemberTable;
use std::time::Duration;

/// Interval at which the preferred proposer checks for slots to reassign.
pub(super) const REPLACEMENT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The same interval while a replacement is pending.
pub(super) const REPLACEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(1000);

/// A slot to be reassigned to another disk.
struct LostSlot {
    slot: usize,
    /// When the slot's member was last known to be alive; zero for a vacant slot.
    last_heard_at: Duration,
}

impl Replica {
    /// Live stores whose empty disks hold no slot, sorted by name.
    pub(super) fn waiting_stores(&self) -> Vec<&LiveStore> {
        let Some(value) = &self.value else { return Vec::new() };
        let empty = self.live_stores.iter().filter(|store| store.is_empty);
        let mut waiting: Vec<&LiveStore> =
            empty.filter(|store| !is_member(&value.members, store.incarnation)).collect();
        waiting.sort_by(|left, right| left.name.cmp(&right.name));
        waiting
    }

    /// Lost and vacant slots; those that have been lost for the longest time come first.
    fn lost_slots(&self, now: Duration, members: &MemberTable) -> Vec<LostSlot> {
        let mut lost = Vec::new();
        for (slot, member) in members.iter().enumerate() {
            match member {
                None => lost.push(LostSlot { slot, last_heard_at: Duration::ZERO }),
                Some(member) if self.is_lost(now, member.incarnation) => {
                    let liveness = self.liveness.get(&member.incarnation);
                    let last_heard_at =
                        liveness.map_or(Duration::ZERO, |liveness| liveness.last_heard_at);
                    lost.push(LostSlot { slot, last_heard_at });
                }
                Some(_) => {}
            }
        }
        lost.sort_by_key(|entry| (entry.last_heard_at, entry.slot));
        lost
    }

    /// The replacements to be made now. A slot goes to a waiting disk of the same store, or else to the disk
    /// of a store that is not a member. The disk of a member store gets no other slot: that slot's member may
    /// come back before the member store's own old disk is found to be lost, and would then have lost its
    /// slot for nothing (incident 0013).
    pub(super) fn replacements(&self, now: Duration) -> Vec<Replacement> {
        let Some(value) = &self.value else { return Vec::new() };
        let mut waiting = self.waiting_stores();
        let mut lost = self.lost_slots(now, &value.members);
        let is_member_name =
            |name: &str| value.members.iter().flatten().any(|member| member.name == name);
        let mut replacements = Vec::new();
        for is_same_store in [true, false] {
            lost.retain(|LostSlot { slot, .. }| {
                let old_member = value.members[*slot].as_ref();
                let may_take_slot = |store: &&LiveStore| match is_same_store {
                    true => old_member.is_some_and(|member| member.name == store.name),
                    false => !is_member_name(&store.name),
                };
                let Some(index) = waiting.iter().position(may_take_slot) else { return true };
                let store = waiting.remove(index);
                replacements.push(Replacement {
                    slot: *slot,
                    replaced: old_member.map(|member| member.incarnation),
                    name: store.name.clone(),
                    incarnation: store.incarnation,
                });
                false
            });
        }
        replacements
    }

    /// Queues the replacements ahead of operators' changes, because another loss before the lost member is
    /// replaced could cost the majority. Returns whether there are any replacements.
    pub(super) fn enqueue_replacements(&mut self, now: Duration) -> bool {
        let replacements = self.replacements(now);
        let is_replacement = |operation: &Operation| matches!(operation, Operation::Replace(_));
        let is_pending = self.round.as_ref().is_some_and(|round| is_replacement(&round.operation));
        if !is_pending && !self.queue.iter().any(is_replacement) {
            for replacement in replacements.iter().rev() {
                self.queue.push_front(Operation::Replace(replacement.clone()));
            }
        }
        !replacements.is_empty()
    }
}
