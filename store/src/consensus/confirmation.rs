//! Periodic reads of the committed revision from a quorum, from which nodes derive the lease on their
//! configuration (design 5.9). They run beside the rounds, so that they neither wait for changes nor delay
//! them. A round that reads or commits confirms the revision as well.

use super::event::Effect;
use super::replica::Replica;
use super::round::ReplicaStatus;
use crate::protocol::{Request, Response};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after the start of the last successful read after which the preferred proposer reads again; twice
/// as long at other stores.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(500);
/// A read that has not succeeded after this long is given up for a new one.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1000);

/// A read of the committed revision that is in progress.
#[derive(Clone, Debug)]
pub(super) struct PendingConfirmation {
    began_at: Duration,
    statuses: BTreeMap<u64, ReplicaStatus>,
    /// Targets of the calls in flight, by call number.
    in_flight: BTreeMap<u64, u64>,
}

impl Replica {
    /// Starts a read if one is due.
    pub(super) fn confirm_periodically(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let is_pending = self.pending_confirmation.as_ref().is_some_and(|pending| {
            !pending.in_flight.is_empty() && now < pending.began_at + CONFIRMATION_TIMEOUT
        });
        if !self.is_lease_wanted || is_pending || !self.is_voting() {
            return;
        }
        let factor = if self.is_preferred_proposer(now) { 1 } else { 2 };
        let is_due = |began_at: Duration| now >= began_at + CONFIRMATION_INTERVAL * factor;
        if self.confirmed_at.is_none_or(is_due) {
            self.start_confirmation(now, effects);
        }
    }

    fn start_confirmation(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let mut in_flight = BTreeMap::new();
        for incarnation in self.other_members() {
            let call = self.send(incarnation, Request::QueryStatus, effects);
            in_flight.insert(call, incarnation);
        }
        let statuses = BTreeMap::from([(self.own_incarnation(), self.own_status())]);
        self.pending_confirmation =
            Some(PendingConfirmation { began_at: now, statuses, in_flight });
        self.finish_confirmation(effects);
    }

    /// Handles the response to a call of the pending read. Returns whether the call belongs to it.
    pub(super) fn on_confirmation_response(
        &mut self,
        call: u64,
        response: Option<&Response>,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(pending) = &mut self.pending_confirmation else { return false };
        let Some(target) = pending.in_flight.remove(&call) else { return false };
        if let Some(Response::Status { from, is_empty, bootstrap_size, accepted, is_voting: true }) =
            response
            && *from == target
        {
            let (accepted, is_empty) = (*accepted, *is_empty);
            let status = ReplicaStatus { accepted, is_empty, bootstrap_size: *bootstrap_size };
            pending.statuses.insert(*from, status);
        }
        self.finish_confirmation(effects);
        true
    }

    /// Ends the pending read if a majority holds the highest accepted proposal, which is then committed.
    fn finish_confirmation(&mut self, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending_confirmation.take() else { return };
        match self.agreed_proposal(&self.members(), &pending.statuses) {
            Some(committed) => {
                self.commit(committed, effects);
                self.confirm(committed.revision, pending.began_at, effects);
            }
            None => self.pending_confirmation = Some(pending),
        }
    }

    /// Reports that nothing newer than this revision was committed before `began_at`.
    pub(super) fn confirm(&mut self, revision: u64, began_at: Duration, effects: &mut Vec<Effect>) {
        self.confirmed_at = self.confirmed_at.max(Some(began_at));
        effects.push(Effect::Confirmed { revision, began_at });
    }
}
