//! Admission of a new disk and removal of an old one, based on the membership snapshots of other members
//! (design 6.5). Invariant: a new disk votes only once a majority of the other members has shown it one
//! value, under one ballot, whose member table contains the disk's incarnation.

use super::event::Effect;
use super::quorum::{is_member, member_incarnations, quorum_size};
use super::replica::{BackgroundCall, Replica};
use crate::protocol::{MembershipSnapshot, Request};
use crate::value::{Ballot, digest_of};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which a replica whose disk is empty or may no longer be a member asks for the member table.
const MEMBERSHIP_QUERY_INTERVAL: Duration = Duration::from_millis(375);
/// A replica that has been behind the committed revision for this long asks whether it is still a member.
const BEHIND_TIMEOUT: Duration = Duration::from_secs(1);

/// What membership snapshots under one ballot prove.
enum MembershipProof {
    /// This empty disk is a member; the snapshot holds the value to start from.
    Admitted(Box<MembershipSnapshot>),
    /// This disk is still a member; its value may be outdated.
    StillMember,
    /// This disk is no longer a member.
    Removed,
}

impl Replica {
    /// If this disk is empty or may no longer be a member, asks all live stores that hold a value for the
    /// member table.
    pub(super) fn query_membership(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if self.is_empty() || self.heard_revision <= self.accepted_revision() {
            self.behind_since = None;
        } else {
            self.behind_since.get_or_insert(now);
        }
        let is_behind = self.behind_since.is_some_and(|since| now >= since + BEHIND_TIMEOUT);
        if !(self.is_empty() || self.is_removed || is_behind) {
            self.snapshots.clear();
            return;
        }
        let is_query = |call: &BackgroundCall| matches!(call, BackgroundCall::Membership);
        if now < self.membership_query_at || self.background_calls.values().any(is_query) {
            return;
        }
        self.membership_query_at = now + MEMBERSHIP_QUERY_INTERVAL;
        let from = self.own_incarnation();
        let holders: Vec<u64> = self
            .live_stores
            .iter()
            .filter(|store| !store.is_empty && store.incarnation != from)
            .map(|store| store.incarnation)
            .collect();
        self.snapshots.retain(|incarnation, _| holders.contains(incarnation));
        for incarnation in holders {
            let request = Request::Membership { from, wants_value: self.is_empty() };
            let call = self.send(incarnation, request, effects);
            self.background_calls.insert(call, BackgroundCall::Membership);
        }
    }

    /// Acts on the snapshots of other stores once those under one ballot prove that a value is committed, so
    /// that its member table is in force. A table that contains this disk admits it if it is empty; a table
    /// without this disk removes it permanently.
    pub(super) fn evaluate_snapshots(&mut self, effects: &mut Vec<Effect>) {
        match self.membership_proof() {
            Some(MembershipProof::Admitted(best)) => self.admit(*best, effects),
            Some(MembershipProof::StillMember) => {
                self.is_removed = false;
                self.snapshots.clear();
            }
            Some(MembershipProof::Removed) => self.reset(effects),
            None => {}
        }
    }

    fn membership_proof(&self) -> Option<MembershipProof> {
        let ballots: BTreeSet<Ballot> =
            self.snapshots.values().map(|snapshot| snapshot.accepted.ballot).collect();
        let mut cases = ballots.into_iter().flat_map(|ballot| [(ballot, true), (ballot, false)]);
        cases.find_map(|(ballot, includes_own)| self.proof_under(ballot, includes_own))
    }

    /// What is proved by the snapshots under this ballot, limited to those whose member tables contain this
    /// disk (`includes_own`) or to those whose tables do not.
    fn proof_under(&self, ballot: Ballot, includes_own: bool) -> Option<MembershipProof> {
        let own = self.own_incarnation();
        let snapshots: Vec<(&u64, &MembershipSnapshot)> = self
            .snapshots
            .iter()
            .filter(|(_, snapshot)| snapshot.accepted.ballot == ballot)
            .filter(|(_, snapshot)| is_member(&snapshot.members, own) == includes_own)
            .collect();
        let (_, best) = snapshots.iter().max_by_key(|(_, snapshot)| snapshot.accepted.revision)?;
        let members = &best.members;
        let others = member_incarnations(members).filter(|incarnation| *incarnation != own).count();
        let is_own_ballot = self.state.accepted.is_some_and(|accepted| accepted.ballot == ballot);
        let needed = match (includes_own, is_own_ballot) {
            // Together with this replica's own acceptance they are a majority of all members.
            (true, true) => quorum_size(members) - 1,
            (true, false) => others / 2 + 1,
            (false, _) => quorum_size(members),
        };
        let counted = snapshots.iter().filter(|(from, _)| is_member(members, **from)).count();
        let lowest_rank = snapshots.iter().map(|(_, snapshot)| snapshot.accepted.rank()).min();
        let own_rank = self.state.accepted.map(|accepted| accepted.rank());
        let is_outdated = lowest_rank < own_rank || (lowest_rank == own_rank && !includes_own);
        if counted < needed || is_outdated {
            return None;
        }
        match (includes_own, self.is_empty()) {
            (true, true) => {
                let value = best.value.as_ref()?;
                let is_intact = digest_of(&value.encode()) == best.accepted.digest;
                is_intact.then(|| MembershipProof::Admitted(Box::new((**best).clone())))
            }
            (true, false) => Some(MembershipProof::StillMember),
            (false, false) => Some(MembershipProof::Removed),
            (false, true) => None,
        }
    }

    /// Accepts the proved value as the start; from then on this disk votes.
    fn admit(&mut self, best: MembershipSnapshot, effects: &mut Vec<Effect>) {
        let Some(value) = best.value else { return };
        let promised = self.snapshots.values().map(|snapshot| snapshot.promised).max();
        self.state.promised = self.state.promised.max(promised.unwrap_or_default());
        let batch = best.batch.into_iter().map(Arc::new).collect();
        self.accept(best.accepted.ballot, Arc::new(value), batch, effects);
        self.snapshots.clear();
        self.repair_at = Duration::ZERO;
        self.fetch_at = Duration::ZERO;
        effects.push(Effect::log("admitted to its seat in the member table; this store votes now"));
    }

    /// Resets the disk to an empty one under a new incarnation; the disk never votes under its present one
    /// again.
    fn reset(&mut self, effects: &mut Vec<Effect>) {
        let reason = "its seat went to another disk";
        self.is_resetting = true;
        self.fail_all_operations(reason, effects);
        effects.push(Effect::Log(format!("{reason}: it goes on as an empty one")));
        effects.push(Effect::Reset);
    }
}
