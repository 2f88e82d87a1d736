//! The queue of operations that wait for a round (design 6.2).

use super::event::Effect;
use super::replica::Replica;
use super::round::Operation;
use crate::protocol::Outcome;

/// Maximum number of waiting operations.
pub(super) const MAX_QUEUED_OPERATIONS: usize = 256;

impl Replica {
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
