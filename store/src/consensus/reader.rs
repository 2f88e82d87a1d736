//! Reads (design 6.2, 5.8): queries for the committed value, and the replies to operators' requests. A read
//! is linearizable because it is answered by a round that began after the request arrived, as with Raft's
//! read index (Ongaro 2014, section 6.4).

use super::event::Effect;
use super::quorum::member_incarnations;
use super::replica::Replica;
use super::round::{Operation, PendingChange, Phase, PlannedReply, Round};
use crate::protocol::{Outcome, Request, Response};
use crate::value::VersionId;
use std::collections::BTreeMap;

impl Replica {
    /// Starts a round by asking all members for their accepted proposals.
    pub(super) fn query(&mut self, round: &mut Round, effects: &mut Vec<Effect>) {
        round.in_flight.clear();
        let statuses = BTreeMap::from([(self.own_incarnation(), self.own_status())]);
        let others = match &round.operation {
            Operation::Bootstrap { members } => {
                let others = member_incarnations(members);
                others.filter(|incarnation| *incarnation != self.own_incarnation()).collect()
            }
            _ => self.other_members(),
        };
        for incarnation in others {
            let call = self.send(incarnation, Request::QueryStatus, effects);
            round.in_flight.insert(call, incarnation);
        }
        round.phase = Phase::Querying { statuses, began_at: self.now };
    }

    /// Replies to the reads of a round that has shown that the accepted value is committed.
    pub(super) fn finish_read(&mut self, round: Round, effects: &mut Vec<Effect>) {
        match round.operation {
            Operation::Read { tickets } => {
                if let Some(value) = &self.value {
                    for ticket in tickets {
                        let outcome = Outcome::Value { value: (**value).clone() };
                        let response = Response::Outcome(outcome);
                        effects.push(Effect::Reply { ticket, response });
                    }
                }
            }
            Operation::ReadIndex { tickets } => {
                let revision = self.value.as_ref().map(|value| value.revision);
                for ticket in tickets {
                    effects.push(Effect::Reply { ticket, response: Response::ReadIndex(revision) });
                }
            }
            Operation::History { ticket, revision } => {
                self.reply_history(ticket, revision, effects)
            }
            _ => {}
        }
    }

    /// Replies to a request for an earlier version from the version's file.
    pub(super) fn reply_history(&mut self, ticket: u64, revision: u64, effects: &mut Vec<Effect>) {
        let chain = self.committed_chain();
        let latest = self.committed_revision();
        if let Some(id) = chain.versions.iter().find(|id| id.revision == revision) {
            let versions = vec![*id];
            effects.push(Effect::ReplyFromDisk { ticket, versions, as_outcome: true });
            return;
        }
        let outcome = match chain.missing {
            Some(VersionId { revision: missing, .. }) if revision <= missing => {
                Outcome::NotApplied { reason: "this copy is still catching up".to_string() }
            }
            _ => Outcome::NoSuchRevision { latest },
        };
        effects.push(Effect::Reply { ticket, response: Response::Outcome(outcome) });
    }

    /// Replies to all requests of an operation with this outcome.
    pub(super) fn reply_outcome(
        &self,
        operation: &Operation,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        match operation {
            Operation::Change(PendingChange { ticket, .. }) | Operation::History { ticket, .. } => {
                let response = Response::Outcome(outcome);
                effects.push(Effect::Reply { ticket: *ticket, response });
            }
            Operation::Read { tickets } => {
                for ticket in tickets {
                    let response = Response::Outcome(outcome.clone());
                    effects.push(Effect::Reply { ticket: *ticket, response });
                }
            }
            Operation::Batch { replies } => {
                for reply in replies {
                    let response = Response::Outcome(batch_outcome(reply, &outcome));
                    effects.push(Effect::Reply { ticket: reply.ticket, response });
                }
            }
            Operation::ReadIndex { tickets } => {
                for ticket in tickets {
                    let response = Response::ReadIndex(None);
                    effects.push(Effect::Reply { ticket: *ticket, response });
                }
            }
            Operation::Repair | Operation::Replace(_) | Operation::Bootstrap { .. } => {}
        }
    }
}

/// The outcome for one change of a batch that was not committed. The outcome of a proposed change is unknown;
/// a change that was to be rejected was not applied.
fn batch_outcome(planned: &PlannedReply, outcome: &Outcome) -> Outcome {
    let is_rejected = matches!(
        planned.outcome,
        Outcome::Conflict { .. }
            | Outcome::KeyReused { .. }
            | Outcome::VersionTaken { .. }
            | Outcome::NotApplied { .. }
    );
    match outcome {
        Outcome::Unknown if is_rejected => {
            Outcome::NotApplied { reason: "another change was in the way".to_string() }
        }
        other => other.clone(),
    }
}
