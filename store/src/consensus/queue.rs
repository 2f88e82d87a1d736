//! The queue of operations that wait for a round (design 6.2), and the changes that are not yet classified as
//! new or as retransmissions (design 6.10).

use super::event::Effect;
use super::replica::Replica;
use super::round::{Operation, PendingChange};
use crate::protocol::Outcome;
use crate::retransmission::Classification;

/// Maximum number of waiting operations.
pub(super) const MAX_QUEUED_OPERATIONS: usize = 256;

impl Replica {
    /// Queues a change, or sets it aside while it is undecided whether it is a retransmission.
    pub(super) fn on_change(&mut self, operation: Operation, effects: &mut Vec<Effect>) {
        match self.classify_change(&operation) {
            Classification::Undecided if self.undecided.len() < MAX_QUEUED_OPERATIONS => {
                self.undecided.push_back(operation)
            }
            _ => self.enqueue(operation, effects),
        }
    }

    fn classify_change(&mut self, operation: &Operation) -> Classification {
        match (operation, &self.value) {
            (Operation::Change(pending), Some(value)) if self.is_voting() => {
                let PendingChange { change, keyless_since, .. } = pending;
                self.retransmissions.classify(value, change, *keyless_since, self.now)
            }
            _ => Classification::New,
        }
    }

    /// Classifies undecided changes again. A change that turns out to be new is rejected and has to be sent
    /// again: if its registry died, the client has already retransmitted it, and the earlier change may have
    /// been that retransmission.
    pub(super) fn recheck_undecided(&mut self, effects: &mut Vec<Effect>) {
        for operation in std::mem::take(&mut self.undecided) {
            match self.classify_change(&operation) {
                Classification::Undecided => self.undecided.push_back(operation),
                Classification::Retransmission { .. } => self.enqueue(operation, effects),
                Classification::New => {
                    let reason = "it waited for the answer to one like it".to_string();
                    self.reply_outcome(&operation, Outcome::NotApplied { reason }, effects);
                }
            }
        }
    }

    /// Queues an operation, or rejects it if it cannot be carried out.
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

    /// Queues a read or a read index. If one of the same kind is already queued, the request joins it, so
    /// that one round answers both.
    pub(super) fn enqueue_shared(&mut self, operation: Operation, effects: &mut Vec<Effect>) {
        for queued in &mut self.queue {
            match (queued, &operation) {
                (Operation::Read { tickets }, Operation::Read { tickets: new_tickets })
                | (
                    Operation::ReadIndex { tickets },
                    Operation::ReadIndex { tickets: new_tickets },
                ) => {
                    return tickets.extend(new_tickets);
                }
                _ => {}
            }
        }
        self.enqueue(operation, effects);
    }
}
