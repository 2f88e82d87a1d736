//! The proposer (Paxos Made Simple, section 2.2; design 6.2, 6.3): prepare and accept requests, their
//! responses, and the backoff after a preempted round. Invariant: a new version is derived only from a value
//! that the same round has shown to be committed.

use super::event::{DiskWrite, Effect};
use super::liveness::MemberLiveness;
use super::quorum::{is_member, member_incarnations};
use super::replica::Replica;
use super::round::{AcceptedValue, Operation, Phase, Proposal, ReplicaStatus, Round};
use super::transitions::cloned_values;
use crate::protocol::{Outcome, Rejection, Request, Response};
use crate::value::{AcceptedProposal, Ballot, Value, digest_of};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Number of prepare phases after which an operation fails.
const MAX_ATTEMPTS: u32 = 5;
/// Backoff after the first attempt, in milliseconds: a base, plus an amount for each slot that precedes the
/// proposer's slot in the member table, so that two proposers do not preempt each other repeatedly.
const BACKOFF_BASE_MS: u64 = 20;
const BACKOFF_PER_SLOT_MS: u64 = 60;

impl Replica {
    /// Starts rounds for queued operations until one is in progress.
    pub(super) fn start_next_round(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        while self.may_start_round() {
            let Some(operation) = self.queue.pop_front() else {
                return;
            };
            let mut round = Round::new(operation, now);
            match &round.operation {
                Operation::History { ticket, revision } => {
                    let (ticket, revision) = (*ticket, *revision);
                    if self.committed.is_some_and(|committed| committed.revision >= revision) {
                        self.reply_history(ticket, revision, effects);
                        continue;
                    }
                    self.query(&mut round, effects);
                }
                Operation::Read { .. }
                | Operation::ReadIndex { .. }
                | Operation::Repair
                | Operation::Bootstrap { .. } => self.query(&mut round, effects),
                // The replacement is obsolete: the member is back, or the slot now goes to another disk.
                Operation::Replace(replacement)
                    if !self.replacements(now).contains(replacement) =>
                {
                    continue;
                }
                Operation::Change(_) | Operation::Batch { .. } | Operation::Replace(_) => {
                    self.prepare(&mut round, effects);
                }
            }
            self.round = Some(round);
            self.advance(now, effects);
        }
    }

    /// Starts phase 1 with a ballot above all known ones. The replica's own disk promises the ballot first,
    /// so that no ballot is used twice.
    pub(super) fn prepare(&mut self, round: &mut Round, effects: &mut Vec<Effect>) {
        round.in_flight.clear();
        round.attempts += 1;
        let number = self.state.promised.max(round.preempted_by).number + 1;
        let ballot = Ballot { number, incarnation: self.own_incarnation() };
        let Some((accepted, value)) = self.accepted_value() else {
            return;
        };
        let accepted = *accepted;
        let best = AcceptedValue { accepted, value: value.clone(), batch: self.batch.clone() };
        let promises = BTreeMap::from([(self.own_incarnation(), accepted)]);
        self.state.promised = ballot;
        effects.push(Effect::Persist(vec![DiskWrite::State(self.state.clone())]));
        round.phase = Phase::Preparing { ballot, asked: BTreeSet::new(), promises, best };
        self.send_prepares(round, effects);
    }

    /// Asks the members for a promise, according to the highest accepted value so far; skips those already
    /// asked.
    fn send_prepares(&mut self, round: &mut Round, effects: &mut Vec<Effect>) {
        let from = self.own_incarnation();
        let Phase::Preparing { ballot, asked, best, .. } = &mut round.phase else { return };
        let (ballot, known_digest) = (*ballot, Some(best.accepted.digest));
        let targets = member_incarnations(&best.value.members)
            .filter(|incarnation| *incarnation != from && asked.insert(*incarnation));
        for incarnation in targets.collect::<Vec<u64>>() {
            let request = Request::Prepare { from, ballot, known_digest };
            let call = self.send(incarnation, request, effects);
            round.in_flight.insert(call, incarnation);
        }
    }

    /// Handles the end of a call: a ping, a call outside the round, or a call of the round.
    pub(super) fn on_response(
        &mut self,
        now: Duration,
        call: u64,
        response: Option<Response>,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(ping) = self.pending_pings.remove(&call) {
            let liveness = self.liveness.entry(ping.incarnation).or_default();
            match response {
                Some(Response::Pong { from, is_healthy: true }) if from == ping.incarnation => {
                    *liveness = MemberLiveness { last_heard_at: now, unanswered_since: None };
                }
                _ => {
                    liveness.unanswered_since.get_or_insert(ping.sent_at);
                }
            }
            return;
        }
        if let Some(call) = self.background_calls.remove(&call) {
            self.on_background_response(call, response, effects);
            return;
        }
        if self.on_confirmation_response(call, response.as_ref(), effects) {
            return;
        }
        let Some(mut round) = self.round.take() else {
            return;
        };
        let Some(target) = round.in_flight.remove(&call) else {
            self.round = Some(round);
            return;
        };
        if let Some(response) = response {
            self.on_round_response(&mut round, target, response, effects);
        }
        self.round = Some(round);
        self.advance(now, effects);
    }

    /// Records a response for the round's current phase. A response from another disk than the one asked does
    /// not count.
    fn on_round_response(
        &mut self,
        round: &mut Round,
        target: u64,
        response: Response,
        effects: &mut Vec<Effect>,
    ) {
        match (&mut round.phase, response) {
            (
                Phase::Querying { statuses, .. },
                Response::Status { from, is_empty, bootstrap_size, accepted, is_voting },
            ) if from == target && (is_voting || is_empty) => {
                statuses.insert(from, ReplicaStatus { accepted, is_empty, bootstrap_size });
            }
            (Phase::Bootstrapping { accepts }, Response::Accepted { from }) if from == target => {
                accepts.insert(from);
            }
            (Phase::Preparing { .. }, Response::Promise { from, accepted, value, batch, .. }) => {
                let reported = self.promised_value(accepted, value, batch);
                if from == target {
                    self.record_promise(round, from, accepted, reported, effects);
                }
            }
            (
                Phase::Repairing(proposal) | Phase::Proposing(proposal),
                Response::Accepted { from },
            ) if from == target => {
                proposal.accepts.insert(from);
            }
            (_, Response::Rejected { reason, promised }) => {
                round.preempted_by = round.preempted_by.max(promised);
                if reason == Rejection::NotAMember && !self.is_removed {
                    self.is_removed = true;
                    effects.push(Effect::log("rejected: not a member any more"));
                }
            }
            _ => {}
        }
    }

    /// The accepted value of a promise, either included in it, or omitted because this replica holds it.
    /// `None`: the included value does not match its digest, or this replica no longer holds the omitted one.
    fn promised_value(
        &self,
        accepted: AcceptedProposal,
        value: Option<Value>,
        batch: Vec<Value>,
    ) -> Option<AcceptedValue> {
        match value {
            Some(value) => {
                let is_intact = digest_of(&value.encode()) == accepted.digest;
                let batch = batch.into_iter().map(Arc::new).collect();
                is_intact.then(|| AcceptedValue { accepted, value: Arc::new(value), batch })
            }
            None => {
                let holds_value =
                    self.state.accepted.is_some_and(|own| own.digest == accepted.digest);
                let own = self.value.clone().filter(|_| holds_value);
                own.map(|value| AcceptedValue { accepted, value, batch: self.batch.clone() })
            }
        }
    }

    /// Counts a promise, and adopts its accepted value if that is the highest so far. Ignores the promise if
    /// this replica has meanwhile promised another proposer's ballot.
    fn record_promise(
        &mut self,
        round: &mut Round,
        from: u64,
        accepted: AcceptedProposal,
        reported: Option<AcceptedValue>,
        effects: &mut Vec<Effect>,
    ) {
        let Phase::Preparing { ballot, promises, best, .. } = &mut round.phase else { return };
        if self.state.promised != *ballot {
            return;
        }
        if accepted.rank() <= best.accepted.rank() {
            promises.insert(from, accepted);
        } else if let Some(reported) = reported {
            // This replica does not accept the value under its old ballot: it has promised a higher one, and
            // a later read would count a majority that never existed.
            *best = reported;
            promises.insert(from, accepted);
            self.send_prepares(round, effects);
        }
    }

    /// Starts phase 2: asks the members of the proposed value, including this replica, to accept it.
    pub(super) fn propose(
        &mut self,
        round: &mut Round,
        ballot: Ballot,
        value: Arc<Value>,
        batch: Vec<Arc<Value>>,
        effects: &mut Vec<Effect>,
    ) -> Proposal {
        round.in_flight.clear();
        let from = self.own_incarnation();
        for incarnation in
            member_incarnations(&value.members).filter(|incarnation| *incarnation != from)
        {
            let (value, batch) = ((*value).clone(), cloned_values(&batch));
            let request = Request::Accept { from, ballot, value, batch };
            let call = self.send(incarnation, request, effects);
            round.in_flight.insert(call, incarnation);
        }
        let mut accepts = BTreeSet::new();
        if self.state.promised == ballot
            && is_member(&value.members, from)
            && self.accept(ballot, value.clone(), batch, effects)
        {
            accepts.insert(from);
        }
        let digest = digest_of(&value.encode());
        let accepted = AcceptedProposal { ballot, revision: value.revision, digest };
        Proposal { value, accepted, proposed_at: self.now, accepts }
    }

    /// Records a proposal as committed, if it is newer than the last one and this replica holds its value.
    pub(super) fn commit(&mut self, proposal: AcceptedProposal, effects: &mut Vec<Effect>) {
        let is_new = self.committed.is_none_or(|last| last.revision < proposal.revision);
        let is_accepted = self.state.accepted.is_some_and(|own| own.digest == proposal.digest);
        if is_new && is_accepted {
            self.committed = Some(proposal);
            if let Some(value) = &self.value {
                effects.push(Effect::Committed(value.clone()));
            }
        }
    }

    /// Fails a round. Its operation was not applied, unless the value that it makes was already proposed:
    /// then the outcome is unknown.
    pub(super) fn fail_round(&mut self, round: Round, reason: &str, effects: &mut Vec<Effect>) {
        let outcome = match round.phase {
            Phase::Proposing(_) => Outcome::Unknown,
            _ => Outcome::NotApplied { reason: reason.to_string() },
        };
        self.reply_outcome(&round.operation, outcome, effects);
    }

    /// Schedules another attempt after a preempted round, with a longer delay the further down the member
    /// table this store is; fails the round if it was not preempted or has no attempts left.
    pub(super) fn back_off(&mut self, now: Duration, mut round: Round, effects: &mut Vec<Effect>) {
        let is_preempted = round.preempted_by >= self.state.promised;
        if round.attempts >= MAX_ATTEMPTS || !is_preempted || self.is_removed {
            return self.fail_round(round, "no majority of stores replies", effects);
        }
        let slot = self.own_slot().unwrap_or(0) as u64;
        let delay = Duration::from_millis(BACKOFF_BASE_MS + BACKOFF_PER_SLOT_MS * slot);
        round.phase = Phase::BackingOff { until: now + delay * round.attempts };
        self.round = Some(round);
    }
}
