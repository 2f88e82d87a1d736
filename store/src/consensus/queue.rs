//! The queue of operations that wait for their round (design 6.2), and the changes of which it is undecided
//! whether they are retransmissions (design 6.10).

use super::event::Effect;
use super::replica::Replica;
use super::round::{Operation, PendingChange};
use crate::protocol::Outcome;
use crate::retransmission::Judgement;

/// Operations that wait at one time.
pub(super) const MAX_QUEUED_OPERATIONS: usize = 256;

impl Replica {
    /// Queues a change, unless it is undecided yet whether it is a retransmission.
    pub(super) fn on_change(&mut self, operation: Operation, effects: &mut Vec<Effect>) {
        match self.judge_retransmission(&operation) {
            Judgement::Undecided if self.undecided.len() < MAX_QUEUED_OPERATIONS => {
                self.undecided.push_back(operation)
            }
            _ => self.enqueue(operation, effects),
        }
    }

    fn judge_retransmission(&mut self, operation: &Operation) -> Judgement {
        match (operation, &self.value) {
            (Operation::Change(pending), Some(value)) if self.is_voting() => {
                let PendingChange { change, keyless_since, .. } = pending;
                self.retransmissions.judge(value, change, *keyless_since, self.now)
            }
            _ => Judgement::New,
        }
    }

    /// Judges undecided changes once more. One that turns out not to be a retransmission has to be sent
    /// again: where its registry died the client has done so already, and that may have been the one before.
    pub(super) fn recheck_undecided(&mut self, effects: &mut Vec<Effect>) {
        for operation in std::mem::take(&mut self.undecided) {
            match self.judge_retransmission(&operation) {
                Judgement::Undecided => self.undecided.push_back(operation),
                Judgement::Retransmission { .. } => self.enqueue(operation, effects),
                Judgement::New => {
                    let reason = "it waited for the answer to one like it".to_string();
                    self.reply_outcome(&operation, Outcome::NotApplied { reason }, effects);
                }
            }
        }
    }

    /// Queues an operation, or answers at once where it cannot be carried out.
    pub(super) fn enqueue(&mut self, operation: Operation, effects: &mut Vec<Effect>) {
        if !self.is_voting() {
            let reason = self.summary().reason.to_string();
            self.reply_outcome(&operation, Outcome::NotApplied { reason }, effects);
        } else if self.queue.len() >= MAX_QUEUED_OPERATIONS {
            let reason = "too many changes wait".to_string();
            self.reply_outcome(&operation, Outcome::NotApplied { reason }, effects);
        } else {
            self.queue.push_back(operation);
        }
    }

    /// One round answers all requests for the same: a request joins those whose round has not begun.
    pub(super) fn enqueue_shared(&mut self, operation: Operation, effects: &mut Vec<Effect>) {
        for queued in &mut self.queue {
            match (queued, &operation) {
                (Operation::Read { tickets }, Operation::Read { tickets: more })
                | (Operation::ReadIndex { tickets }, Operation::ReadIndex { tickets: more }) => {
                    return tickets.extend(more);
                }
                _ => {}
            }
        }
        self.enqueue(operation, effects);
    }
}
