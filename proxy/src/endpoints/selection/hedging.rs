//! Whether a request that waits long for its response is sent to another server too (hedged requests:
//! Dean and Barroso, "The Tail at Scale", 2013).

use super::SelectionContext;
use crate::endpoints::{Endpoints, RoutingTable};
use crate::retry_budget::RetryReason;
use std::time::Duration;

/// A request that was sent to a server and has no response yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingAttempt {
    /// Slot of the endpoint that has the request.
    pub slot: usize,
    /// When the request was sent to it.
    pub sent_at: Duration,
}

/// What becomes of an idempotent request that has waited long for its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeDecision {
    /// It waits on.
    Wait,
    /// It is sent to another server too, with a retry for this reason. The servers that have it
    /// keep it until one of them has responded.
    Hedge(RetryReason),
    /// It goes back to its client, which may reach another server in time.
    GiveUp,
}

impl<C> Endpoints<C> {
    /// Decides for a request that is with these servers; the last one was sent to last. Another
    /// endpoint must be there, and a retry be within the budget; beyond the budget the request is
    /// given up if it waits in vain everywhere, unless this proxy drains: planned work ends no
    /// request whose server may be at work on it (incident 0019).
    pub fn decide_hedge(
        &self,
        now: Duration,
        table: &RoutingTable,
        context: &SelectionContext<'_>,
        pending: &[PendingAttempt],
        is_draining: bool,
        is_within_budget: impl FnOnce(RetryReason) -> bool,
    ) -> HedgeDecision {
        let Some(latest) = pending.last() else { return HedgeDecision::Wait };
        let reason = self.retry_reason(latest.slot, latest.sent_at);
        if !self.has_alternative(now, table, context, reason) {
            return HedgeDecision::Wait;
        }
        if is_within_budget(reason) {
            return HedgeDecision::Hedge(reason);
        }
        match !is_draining && pending.iter().all(|one| self.waits_in_vain(one)) {
            true => HedgeDecision::GiveUp,
            false => HedgeDecision::Wait,
        }
    }

    /// Whether no response can be expected as far as is known: nobody had one of this server since,
    /// and no connection to it comes about. Silence alone proves nothing: the request may be in its
    /// queue.
    fn waits_in_vain(&self, attempt: &PendingAttempt) -> bool {
        let is_unreachable = self
            .with_state(attempt.slot, |state| state.health.is_unreachable_since(attempt.sent_at));
        is_unreachable != Some(false)
            && self.retry_reason(attempt.slot, attempt.sent_at) == RetryReason::Lost
    }
}
