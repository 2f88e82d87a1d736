//! How the outcome of requests and probes changes the health of an endpoint (design 8.6), and what
//! a request that waits would need a retry for (design 8.5).

use super::Endpoints;
use crate::health::{Failure, ServerHealth, ServerPhase};
use crate::lifecycle::AttemptError;
use crate::retry_budget::RetryReason;
use std::time::Duration;

/// A server that reported so much load, in thousandths, may be slow for that alone.
const BUSY_LOAD_MILLI: u32 = 900;

impl<C> Endpoints<C> {
    /// Changes the health of an endpoint; returns the new phase where it changed.
    pub fn update_health(
        &self,
        slot: usize,
        act: impl FnOnce(&mut ServerHealth),
    ) -> Option<ServerPhase> {
        self.with(slot, |state| {
            let before = state.health.phase;
            act(&mut state.health);
            (state.health.phase != before).then_some(state.health.phase)
        })?
    }

    /// Records a probe or request that succeeded; returns the new phase where it changed.
    pub fn record_success(&self, now: Duration, slot: usize) -> Option<ServerPhase> {
        self.update_health(slot, |health| health.record_success(now))
    }

    /// Records a failure; returns the new phase where it changed. After a refused connection the
    /// idle ones are closed, too.
    pub fn record_failure(
        &self,
        now: Duration,
        slot: usize,
        failure: Failure,
    ) -> Option<ServerPhase> {
        if failure == Failure::Refused {
            self.with(slot, |state| state.idle.clear());
        }
        self.update_health(slot, |health| health.record_failure(now, failure))
    }

    /// Records the response to a request that counted as silent already: the server is there, and the
    /// request stays among those that it was too slow for. Returns the new phase where it changed.
    pub fn record_late_response(&self, now: Duration, slot: usize) -> Option<ServerPhase> {
        self.with(slot, |state| state.last_response_at = now);
        self.record_success(now, slot)
    }

    /// Records the outcome of an attempt at this server, for its health and for the detection of
    /// outliers; returns the new phase where it changed.
    pub fn record_outcome(
        &self,
        now: Duration,
        slot: usize,
        outcome: Result<(), AttemptError>,
    ) -> Option<ServerPhase> {
        let phase = match outcome {
            Ok(()) => self.record_success(now, slot),
            Err(AttemptError::Truncated) => self.record_failure(now, slot, Failure::Unwell),
            Err(
                AttemptError::NotSent
                | AttemptError::LostAfterSend
                | AttemptError::MismatchedResponse,
            ) => self.record_failure(now, slot, Failure::Broken),
            // No proof of a failure: the server may just be busy. A probe will show.
            Err(AttemptError::TimedOut) => self.update_health(slot, ServerHealth::request_probe),
            Err(
                AttemptError::NotConnected
                | AttemptError::Withdrawn
                | AttemptError::RejectedByServer,
            ) => None,
        };
        self.record_for_outlier_detection(now, slot, outcome);
        phase
    }

    fn record_for_outlier_detection(
        &self,
        now: Duration,
        slot: usize,
        outcome: Result<(), AttemptError>,
    ) {
        self.with(slot, |state| {
            let is_busy = state.demand(now) >= BUSY_LOAD_MILLI;
            match outcome {
                Ok(()) => {
                    state.last_response_at = now;
                    state.health.record_request_result(now, true);
                }
                Err(AttemptError::TimedOut) if is_busy => {}
                Err(
                    AttemptError::TimedOut
                    | AttemptError::Truncated
                    | AttemptError::LostAfterSend
                    | AttemptError::MismatchedResponse,
                ) => state.health.record_request_result(now, false),
                Err(
                    AttemptError::NotSent
                    | AttemptError::NotConnected
                    | AttemptError::Withdrawn
                    | AttemptError::RejectedByServer,
                ) => {}
            }
        });
    }

    /// What a request that was sent at `sent_at` and has no response yet would need a retry for.
    pub fn retry_reason(&self, slot: usize, sent_at: Duration) -> RetryReason {
        let answers_others = self.with(slot, |state| state.last_response_at > sent_at);
        if answers_others == Some(true) { RetryReason::Slow } else { RetryReason::Lost }
    }

    /// Likewise after the attempt failed. Only a time-out may mean slowness; after every other
    /// error no response can come any more.
    pub fn retry_reason_after(
        &self,
        error: AttemptError,
        slot: usize,
        sent_at: Duration,
    ) -> RetryReason {
        match error {
            AttemptError::TimedOut => self.retry_reason(slot, sent_at),
            _ => RetryReason::Lost,
        }
    }
}
