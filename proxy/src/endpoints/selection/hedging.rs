//! Hedged requests (Dean and Barroso, "The Tail at Scale", 2013): whether a request that has waited
//! long for its response is sent to another server too.

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

/// What to do with an idempotent request that has waited long for its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Keep waiting.
    Wait,
    /// Send it to another server too, which counts as a retry for this reason. The earlier attempts
    /// continue until one of the servers has responded.
    Hedge(RetryReason),
    /// Reject it, so that its client may reach another server in time.
    GiveUp,
}

impl<C> Endpoints<C> {
    /// Decides whether to hedge a request that was sent to the servers of `pending`, in the order of
    /// sending. A hedge requires an alternative endpoint and a retry within the budget. If the
    /// budget is exhausted, the request is given up when it is presumed lost at every server, unless this
    /// proxy is draining: planned maintenance must not end a request that a server may still be
    /// processing (incident 0019).
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
        match !is_draining && pending.iter().all(|attempt| self.is_presumed_lost(attempt)) {
            true => HedgeDecision::GiveUp,
            false => HedgeDecision::Wait,
        }
    }

    /// Whether no response to this attempt is expected: since it was sent, the server has responded to
    /// no request, and connecting to it has timed out or it was removed from the table. A missing
    /// response alone proves nothing, since the request may be waiting in the server's queue.
    fn is_presumed_lost(&self, attempt: &PendingAttempt) -> bool {
        let is_unreachable = self
            .with_state(attempt.slot, |state| state.health.is_unreachable_since(attempt.sent_at));
        is_unreachable != Some(false)
            && self.retry_reason(attempt.slot, attempt.sent_at) == RetryReason::Lost
    }
}
