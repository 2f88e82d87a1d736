//! The progress of a round through its phases (design 6.2).

use super::event::Effect;
use super::quorum::{is_member, member_incarnations, quorum_size};
use super::replica::Replica;
use super::round::{AcceptedValue, Operation, Phase, ReplicaStatus, Round};
use crate::protocol::{Outcome, Response};
use crate::value::{AcceptedProposal, BOOTSTRAP_BALLOT, MemberTable};
use std::collections::BTreeMap;
use std::time::Duration;

/// The result of advancing a phase.
enum Progress {
    /// Another phase has begun, which may already be complete.
    NextPhase,
    /// The round is waiting or has ended.
    Stop,
}

impl Replica {
    /// Advances the round as far as the responses so far allow.
    pub(super) fn advance(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        while let Some(round) = self.round.take() {
            let progress = match &round.phase {
                Phase::BackingOff { .. } => self.keep_waiting(round),
                Phase::Querying { .. } => self.advance_query(now, round, effects),
                Phase::Bootstrapping { .. } => self.advance_bootstrap(now, round, effects),
                Phase::Preparing { .. } => self.advance_prepare(now, round, effects),
                Phase::Repairing(_) => self.advance_repair(now, round, effects),
                Phase::Proposing(_) => self.advance_proposal(now, round, effects),
            };
            if matches!(progress, Progress::Stop) {
                return;
            }
        }
    }

    fn keep_waiting(&mut self, round: Round) -> Progress {
        self.round = Some(round);
        Progress::Stop
    }

    /// A query ends once a majority of the members holds the same proposal as this replica, which is then
    /// committed.
    fn advance_query(
        &mut self,
        now: Duration,
        round: Round,
        effects: &mut Vec<Effect>,
    ) -> Progress {
        let all_calls_ended = round.in_flight.is_empty();
        let Phase::Querying { statuses, began_at } = &round.phase else {
            return self.keep_waiting(round);
        };
        if matches!(round.operation, Operation::Bootstrap { .. }) {
            if !all_calls_ended {
                return self.keep_waiting(round);
            }
            let statuses = statuses.clone();
            self.bootstrap(round, &statuses, effects);
            return Progress::NextPhase;
        }
        let Some(value) = &self.value else {
            self.fail_round(round, "no readable copy of the latest version", effects);
            return Progress::Stop;
        };
        let is_repair = matches!(round.operation, Operation::Repair);
        if let Some(committed) = self.agreed_proposal(&value.members, statuses) {
            if is_repair && !all_calls_ended {
                return self.keep_waiting(round);
            }
            self.commit(committed, effects);
            self.confirm(committed.revision, *began_at, effects);
            if is_repair {
                self.repair_replicas(committed, statuses, effects);
            }
            self.finish_read(round, effects);
            self.continue_from_committed(now, None, effects);
            return Progress::Stop;
        }
        if !all_calls_ended {
            return self.keep_waiting(round);
        }
        if statuses.len() < quorum_size(&value.members) {
            self.fail_round(round, "no majority of stores replies", effects);
            return Progress::Stop;
        }
        self.resolve_disagreement(now, round, effects)
    }

    /// The highest accepted proposal, if this replica and a majority of the members hold it. Not the
    /// bootstrap value, which is committed only once all members hold it.
    pub(super) fn agreed_proposal(
        &self,
        members: &MemberTable,
        statuses: &BTreeMap<u64, ReplicaStatus>,
    ) -> Option<AcceptedProposal> {
        let accepted = statuses.values().filter_map(|status| status.accepted);
        let best = accepted.max_by_key(AcceptedProposal::rank)?;
        let holders = statuses
            .iter()
            .filter(|(from, status)| is_member(members, **from) && status.accepted == Some(best));
        let is_agreed = self.state.accepted == Some(best)
            && holders.count() >= quorum_size(members)
            && best.ballot > BOOTSTRAP_BALLOT;
        is_agreed.then_some(best)
    }

    /// Starts a prepare phase, which decides which value counts if replicas hold different proposals. For
    /// repairs and read indexes only the preferred proposer does so: two proposers would only preempt each
    /// other.
    fn resolve_disagreement(
        &mut self,
        now: Duration,
        mut round: Round,
        effects: &mut Vec<Effect>,
    ) -> Progress {
        match round.operation {
            Operation::Repair if !self.is_preferred_proposer(now) => return Progress::Stop,
            Operation::ReadIndex { .. } if !self.is_preferred_proposer(now) => {
                self.fail_round(round, "the first store is settling it", effects);
                return Progress::Stop;
            }
            _ => {}
        }
        self.prepare(&mut round, effects);
        self.round = Some(round);
        Progress::NextPhase
    }

    /// Once all members hold the bootstrap value, it is committed, and the preferred proposer starts a
    /// prepare phase with a higher ballot to record that on the disks. Otherwise the bootstrap is retried
    /// later.
    fn advance_bootstrap(
        &mut self,
        now: Duration,
        mut round: Round,
        effects: &mut Vec<Effect>,
    ) -> Progress {
        let (Phase::Bootstrapping { accepts }, Operation::Bootstrap { members }) =
            (&round.phase, &round.operation)
        else {
            return self.keep_waiting(round);
        };
        let is_complete =
            member_incarnations(members).all(|incarnation| accepts.contains(&incarnation));
        if !is_complete && !round.in_flight.is_empty() {
            return self.keep_waiting(round);
        }
        if !is_complete || !self.is_preferred_proposer(now) {
            return Progress::Stop;
        }
        round.operation = Operation::Repair;
        self.prepare(&mut round, effects);
        self.round = Some(round);
        Progress::NextPhase
    }

    /// Once a majority has promised the ballot, the highest accepted value among the promises is either
    /// already committed, or is proposed again under the new ballot.
    fn advance_prepare(
        &mut self,
        now: Duration,
        mut round: Round,
        effects: &mut Vec<Effect>,
    ) -> Progress {
        let Phase::Preparing { ballot, promises, best, .. } = &round.phase else {
            return self.keep_waiting(round);
        };
        let ballot = *ballot;
        let members = &best.value.members;
        let majority = quorum_size(members);
        let counted = promises.iter().filter(|(from, _)| is_member(members, **from));
        if counted.clone().count() < majority || self.state.promised != ballot {
            if !round.in_flight.is_empty() {
                return self.keep_waiting(round);
            }
            self.back_off(now, round, effects);
            return Progress::Stop;
        }
        let AcceptedValue { accepted, value, batch } = best.clone();
        let holders = counted.filter(|(_, reported)| **reported == accepted).count();
        round.promised_by = promises.keys().copied().collect();
        let is_accepted_here = self.state.accepted == Some(accepted);
        if holders >= majority && is_accepted_here && accepted.ballot > BOOTSTRAP_BALLOT {
            self.commit(accepted, effects);
            self.round = Some(round);
            self.continue_from_committed(now, Some(ballot), effects);
            return Progress::Stop;
        }
        let proposal = self.propose(&mut round, ballot, value, batch, effects);
        round.phase = Phase::Repairing(proposal);
        self.round = Some(round);
        Progress::NextPhase
    }

    /// Once the earlier value is committed, the operation continues from it, unless this replica has
    /// meanwhile promised or accepted under another proposer's ballot: it may then hold another value than
    /// the one just committed.
    fn advance_repair(
        &mut self,
        now: Duration,
        mut round: Round,
        effects: &mut Vec<Effect>,
    ) -> Progress {
        let Phase::Repairing(proposal) = &round.phase else { return self.keep_waiting(round) };
        let accepted = proposal.accepted;
        let is_committed = round.is_accepted(proposal);
        let is_accepted_here =
            self.state.promised == accepted.ballot && self.state.accepted == Some(accepted);
        if is_committed {
            self.commit(accepted, effects);
        }
        if is_committed && is_accepted_here {
            self.round = Some(round);
            self.continue_from_committed(now, Some(accepted.ballot), effects);
            return Progress::Stop;
        }
        if !round.in_flight.is_empty() && !is_committed {
            return self.keep_waiting(round);
        }
        round.preempted_by = round.preempted_by.max(self.state.promised);
        self.back_off(now, round, effects);
        Progress::Stop
    }

    /// Once the operation's value is committed, replies to the operation's requests.
    fn advance_proposal(
        &mut self,
        now: Duration,
        round: Round,
        effects: &mut Vec<Effect>,
    ) -> Progress {
        let Phase::Proposing(proposal) = &round.phase else { return self.keep_waiting(round) };
        if round.is_accepted(proposal) {
            let accepted = proposal.accepted;
            self.commit(accepted, effects);
            // A ballot that a majority accepts now was not preempted before the proposal began.
            self.confirm(accepted.revision, proposal.proposed_at, effects);
            self.finish_proposal(round.operation, effects);
            self.continue_from_committed(now, Some(accepted.ballot), effects);
            return Progress::Stop;
        }
        if !round.in_flight.is_empty() {
            return self.keep_waiting(round);
        }
        // A replica may have accepted the proposal, so that its value may be committed later.
        self.reply_outcome(&round.operation, Outcome::Unknown, effects);
        Progress::Stop
    }

    fn finish_proposal(&mut self, operation: Operation, effects: &mut Vec<Effect>) {
        match operation {
            Operation::Replace(replacement) => {
                let (slot, name) = (replacement.slot, replacement.name);
                let text = format!("member slot {slot} was given to the empty disk of {name}");
                effects.push(Effect::Log(text));
            }
            Operation::Batch { replies } => {
                for reply in replies {
                    let response = Response::Outcome(reply.outcome);
                    effects.push(Effect::Reply { ticket: reply.ticket, response });
                }
            }
            _ => {}
        }
    }
}
