//! Hedged requests (design 8.2): a request is sent to another server while one may still be processing
//! it. The earlier attempts are not cancelled until one of the servers has responded.

use super::admission::is_ready;
use super::rejection::{RejectionDetails, UnansweredAttempt};
use super::retry::{AttemptLoop, Reservation};
use crate::endpoints::{HedgeDecision, PendingAttempt, SelectionContext};
use crate::health::ServerHealth;
use crate::lifecycle::{Rejection, RequestLifecycle};
use crate::retry_budget::RetryReason;
use std::sync::atomic::Ordering;
use std::time::Duration;

impl AttemptLoop<'_> {
    /// When to try another server in addition; `None` while a connection to one is being made, if the
    /// request must not be sent again, and if too little of its time is left.
    pub fn next_hedge_at(&self, lifecycle: &RequestLifecycle) -> Option<Duration> {
        if self.pending.is_connecting() {
            return None;
        }
        let now = self.proxy.now();
        let time_left = self.timing.deadline.saturating_sub(now);
        lifecycle.hedge_after(time_left).map(|delay| now + delay)
    }

    /// Sends the request to another server in addition if that is possible now. If it is not, the
    /// attempts in progress continue.
    ///
    /// # Errors
    /// [`Rejection::DeadlineExceeded`] if the request is given up because the servers that have it are
    /// not expected to respond in time, while a new request of the client may be served.
    pub fn hedge(
        &mut self,
        lifecycle: &mut RequestLifecycle,
        details: &mut RejectionDetails,
    ) -> Result<(), Rejection> {
        match self.decide_hedge() {
            HedgeDecision::Hedge(reason) if self.begin_hedge(reason, lifecycle) => return Ok(()),
            HedgeDecision::GiveUp => {
                self.record_unanswered(details);
                return Err(Rejection::DeadlineExceeded);
            }
            HedgeDecision::Hedge(_) | HedgeDecision::Wait => {}
        }
        self.request_probe();
        self.hedge_at = self.next_hedge_at(lifecycle);
        Ok(())
    }

    fn decide_hedge(&self) -> HedgeDecision {
        let endpoints = &self.proxy.endpoints;
        let pending: Vec<PendingAttempt> =
            self.pending.sent().iter().map(|sent| sent.pending).collect();
        let is_draining = self.proxy.is_draining();
        self.with_selection_context(|now, context, budget_allows| {
            let table = &self.route.table;
            endpoints.decide_hedge(now, table, context, &pending, is_draining, budget_allows)
        })
    }

    /// Whether a retry would find another server and the budget allows it.
    pub fn has_alternative(&self) -> bool {
        let endpoints = &self.proxy.endpoints;
        self.with_selection_context(|now, context, budget_allows| {
            endpoints.has_alternative(now, &self.route.table, context, RetryReason::Lost)
                && budget_allows(RetryReason::Lost)
        })
    }

    /// Calls `query` with the current time, the context for the selection of another server, and a
    /// function that tells whether the retry budget would allow a retry for a given reason.
    fn with_selection_context<R>(
        &self,
        query: impl FnOnce(Duration, &SelectionContext<'_>, &dyn Fn(RetryReason) -> bool) -> R,
    ) -> R {
        let proxy = self.proxy;
        let now = proxy.now();
        let view = proxy.node.current_view.load();
        let service = self.route.service_index(&self.service_name);
        let drained_zones = &view.committed.drained_zones;
        let context = self.route.selection_context(proxy, service, drained_zones, &self.tried);
        let live_proxies = proxy.live_proxies.load(Ordering::Relaxed);
        let budget_allows = |reason| {
            let mut budgets = proxy.retry_budgets.lock().expect("no panic under this lock");
            budgets.would_allow(now, &self.service_name, live_proxies, reason)
        };
        query(now, &context, &budget_allows)
    }

    /// Begins an attempt at another server from the latest routing table, if the budget allows it.
    /// Returns whether it did.
    fn begin_hedge(&mut self, reason: RetryReason, lifecycle: &mut RequestLifecycle) -> bool {
        let mut route = self.route.clone();
        // The latest config may have no rule for the request any more. The attempts in progress then
        // continue by the earlier one.
        let refreshed = route.refresh(self.proxy, &mut RejectionDetails::default());
        if refreshed.is_err() || !is_ready(self.proxy) {
            return false;
        }
        self.route = route;
        let Ok(Reservation::Ready(reserved)) = self.try_reserve() else { return false };
        if !self.proxy.try_take_retry(&self.service_name, reason) {
            return false;
        }
        self.mark_overdue();
        self.begin_attempt(reserved, lifecycle);
        true
    }

    /// Records that the server of the latest attempt has not responded for a long time.
    fn mark_overdue(&mut self) {
        let Some(latest) = self.pending.latest_mut().filter(|latest| !latest.is_overdue) else {
            return;
        };
        latest.is_overdue = true;
        self.proxy.record_overdue(latest.pending.slot, latest.server_id());
    }

    fn request_probe(&self) {
        if let Some(latest) = self.pending.sent().last() {
            let slot = latest.pending.slot;
            self.proxy.endpoints.update_health(slot, ServerHealth::request_probe);
        }
    }

    fn record_unanswered(&mut self, details: &mut RejectionDetails) {
        self.mark_overdue();
        let Some(latest) = self.pending.sent().last() else { return };
        let waited = latest.waited(self.proxy.now());
        details.unanswered =
            Some(UnansweredAttempt { server: latest.server_id().to_string(), waited });
    }
}
