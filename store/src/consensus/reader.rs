//! Reads: rounds that ask what is chosen, and what is told of them (design 6.2).

use super::{Copy, Effect, Job, Op, Phase, Register};
use crate::protocol::{Ask, Outcome, Tell, holders};
use std::collections::BTreeMap;

impl Register {
    pub(super) fn query(&mut self, job: &mut Job, effects: &mut Vec<Effect>) {
        job.open.clear();
        let (accepted, blank) = (self.state.accepted, self.is_blank());
        let own = Copy { accepted, blank, founders: self.identity.founders };
        let states = BTreeMap::from([(self.own(), own)]);
        let others = match &job.op {
            Op::Genesis { seats } => holders(seats).filter(|one| *one != self.own()).collect(),
            _ => self.others(),
        };
        for incarnation in others {
            let call = self.call(incarnation, Ask::Query, effects);
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
                        effects.push(Effect::Answer { ticket, tell: Tell::Outcome(outcome) });
                    }
                }
            }
            Op::Floor { tickets } => {
                // What was just seen as chosen is what this copy holds.
                let revision = self.value.as_ref().map(|value| value.revision);
                for ticket in tickets {
                    effects.push(Effect::Answer { ticket, tell: Tell::Floor(revision) });
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
            effects.push(Effect::AnswerFromFile { ticket, versions, as_outcome: true });
            return;
        }
        let outcome = match missing {
            Some((at, _)) if revision <= at => {
                Outcome::NothingDone { why: "this copy is still catching up".to_string() }
            }
            _ => Outcome::NoSuchRevision { latest },
        };
        effects.push(Effect::Answer { ticket, tell: Tell::Outcome(outcome) });
    }

    pub(super) fn answer(&self, op: &Op, outcome: Outcome, effects: &mut Vec<Effect>) {
        match op {
            Op::Change { ticket, .. } | Op::History { ticket, .. } => {
                let tell = Tell::Outcome(outcome);
                effects.push(Effect::Answer { ticket: *ticket, tell });
            }
            Op::Read { tickets } => {
                for ticket in tickets {
                    let tell = Tell::Outcome(outcome.clone());
                    effects.push(Effect::Answer { ticket: *ticket, tell });
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
                            | Outcome::NothingDone { .. }
                    );
                    let why = "another change was in the way".to_string();
                    let outcome = match &outcome {
                        Outcome::Unknown if is_refused => Outcome::NothingDone { why },
                        other => other.clone(),
                    };
                    let tell = Tell::Outcome(outcome);
                    effects.push(Effect::Answer { ticket: *ticket, tell });
                }
            }
            Op::Floor { tickets } => {
                for ticket in tickets {
                    effects.push(Effect::Answer { ticket: *ticket, tell: Tell::Floor(None) });
                }
            }
            Op::Sweep | Op::Seat(_) | Op::Genesis { .. } => {}
        }
    }
}
