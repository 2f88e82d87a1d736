//! Reads: rounds that ask what is chosen, and what is told of them (design 6.2).

use super::{Copy, Effect, Job, Op, Phase, Replica};
use crate::protocol::{Outcome, Request, Response, member_incarnations};
use std::collections::BTreeMap;

impl Replica {
    pub(super) fn query(&mut self, job: &mut Job, effects: &mut Vec<Effect>) {
        job.open.clear();
        let (accepted, blank) = (self.state.accepted, self.is_blank());
        let own = Copy { accepted, blank, founders: self.identity.bootstrap_size };
        let states = BTreeMap::from([(self.own(), own)]);
        let others = match &job.op {
            Op::Genesis { seats } => {
                member_incarnations(seats).filter(|one| *one != self.own()).collect()
            }
            _ => self.others(),
        };
        for incarnation in others {
            let call = self.call(incarnation, Request::QueryStatus, effects);
            job.open.insert(call, incarnation);
        }
        job.phase = Phase::Querying { states };
    }

    pub(super) fn finish_read(&mut self, job: Job, effects: &mut Vec<Effect>) {
        match job.op {
            Op::Read { tickets } => {
                if let Some(value) = &self.value {
                    for ticket in tickets {
                        let outcome = Outcome::Value { value: (**value).clone() };
                        effects
                            .push(Effect::Reply { ticket, response: Response::Outcome(outcome) });
                    }
                }
            }
            Op::Floor { tickets } => {
                // What was just seen as chosen is what this copy holds.
                let revision = self.value.as_ref().map(|value| value.revision);
                for ticket in tickets {
                    effects.push(Effect::Reply { ticket, response: Response::ReadIndex(revision) });
                }
            }
            Op::History { ticket, revision } => self.answer_history(ticket, revision, effects),
            _ => {}
        }
    }

    pub(super) fn answer_history(&mut self, ticket: u64, revision: u64, effects: &mut Vec<Effect>) {
        let (chain, missing) = self.chain();
        let latest = self.chosen.map_or(0, |meta| meta.revision);
        if let Some((revision, digest)) = chain.iter().find(|(one, _)| *one == revision) {
            let versions = vec![(*revision, *digest)];
            effects.push(Effect::ReplyFromDisk { ticket, versions, as_outcome: true });
            return;
        }
        let outcome = match missing {
            Some((at, _)) if revision <= at => {
                Outcome::NotApplied { reason: "this copy is still catching up".to_string() }
            }
            _ => Outcome::NoSuchRevision { latest },
        };
        effects.push(Effect::Reply { ticket, response: Response::Outcome(outcome) });
    }

    pub(super) fn answer(&self, op: &Op, outcome: Outcome, effects: &mut Vec<Effect>) {
        match op {
            Op::Change { ticket, .. } | Op::History { ticket, .. } => {
                let tell = Response::Outcome(outcome);
                effects.push(Effect::Reply { ticket: *ticket, response: tell });
            }
            Op::Read { tickets } => {
                for ticket in tickets {
                    let tell = Response::Outcome(outcome.clone());
                    effects.push(Effect::Reply { ticket: *ticket, response: tell });
                }
            }
            Op::Batch { receipts } => {
                // Of those that were proposed nobody can tell; the others made no change.
                for (ticket, planned) in receipts {
                    let is_refused = matches!(
                        planned,
                        Outcome::Conflict { .. }
                            | Outcome::KeyReused { .. }
                            | Outcome::VersionTaken { .. }
                            | Outcome::NotApplied { .. }
                    );
                    let why = "another change was in the way".to_string();
                    let outcome = match &outcome {
                        Outcome::Unknown if is_refused => Outcome::NotApplied { reason: why },
                        other => other.clone(),
                    };
                    let tell = Response::Outcome(outcome);
                    effects.push(Effect::Reply { ticket: *ticket, response: tell });
                }
            }
            Op::Floor { tickets } => {
                for ticket in tickets {
                    effects.push(Effect::Reply {
                        ticket: *ticket,
                        response: Response::ReadIndex(None),
                    });
                }
            }
            Op::Sweep | Op::Seat(_) | Op::Genesis { .. } => {}
        }
    }
}
