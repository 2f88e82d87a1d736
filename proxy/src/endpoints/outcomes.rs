//! Updates of an endpoint's health from the outcomes of requests and probes (design 8.6), and the
//! reason for which a waiting request would be retried (design 8.5).

use super::Endpoints;
use crate::health::{Failure, ServerHealth, ServerPhase};
use crate::lifecycle::AttemptError;
use crate::retry_budget::RetryReason;
use std::time::Duration;

/// Reported load, in thousandths, from which a server may be slow because of its load alone.
const BUSY_LOAD_MILLI: u32 = 900;

impl<C> Endpoints<C> {
    /// Updates the health of an endpoint. Returns the new phase if it changed.
    pub fn update_health(
        &self,
        slot: usize,
        update: impl FnOnce(&mut ServerHealth),
    ) -> Option<ServerPhase> {
        self.with_state(slot, |state| {
            let phase_before = state.health.phase;
            update(&mut state.health);
            (state.health.phase != phase_before).then_some(state.health.phase)
        })?
    }

    /// Records a probe or request that succeeded. Returns the new phase if it changed.
    pub fn record_success(&self, now: Duration, slot: usize) -> Option<ServerPhase> {
        self.update_health(slot, |health| health.record_success(now))
    }

    /// Records a failure. Returns the new phase if it changed. After a refused connection the idle
    /// connections are closed too.
    pub fn record_failure(
        &self,
        now: Duration,
        slot: usize,
        failure: Failure,
    ) -> Option<ServerPhase> {
        if failure == Failure::Refused {
            self.with_state(slot, |state| state.idle.clear());
        }
        self.update_health(slot, |health| health.record_failure(now, failure))
    }

    /// Records the response to a request that had already timed out. It shows that the server works;
    /// for outlier detection the request still counts as one that the server was too slow for. Returns
    /// the new phase if it changed.
    pub fn record_late_response(&self, now: Duration, slot: usize) -> Option<ServerPhase> {
        self.with_state(slot, |state| state.last_response_at = now);
        self.record_success(now, slot)
    }

    /// Records the outcome of an attempt at this server, for its health and for outlier detection.
    /// Returns the new phase if it changed.
    pub fn record_outcome(
        &self,
        now: Duration,
        slot: usize,
        outcome: Result<(), AttemptError>,
    ) -> Option<ServerPhase> {
        let phase = match outcome {
            Ok(()) => self.record_success(now, slot),
            Err(AttemptError::Truncated) => self.record_failure(now, slot, Failure::Unhealthy),
            Err(
                AttemptError::NotSent
                | AttemptError::LostAfterSend
                | AttemptError::MismatchedResponse,
            ) => self.record_failure(now, slot, Failure::ConnectionLost),
            // A time-out does not prove a failure, since the server may just be busy. A probe decides.
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
        self.with_state(slot, |state| {
            let is_busy = state.reported_load_milli(now) >= BUSY_LOAD_MILLI;
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

    /// The reason for which a request that was sent at `sent_at` and has no response yet would be
    /// retried: its server is slow if it has responded to another request since, otherwise the request
    /// counts as lost.
    pub fn retry_reason(&self, slot: usize, sent_at: Duration) -> RetryReason {
        let answers_others = self.with_state(slot, |state| state.last_response_at > sent_at);
        if answers_others == Some(true) { RetryReason::Slow } else { RetryReason::Lost }
    }

    /// The reason for which a request would be retried after its attempt failed. Only a time-out may be
    /// due to a slow server; after every other error no response can arrive any more.
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
