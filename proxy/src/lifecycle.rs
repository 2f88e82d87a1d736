//! The way of a request through the proxy: a chart of named states, and what follows from each
//! outcome of a go (design 8.1, 8.2). Pure; the shell in `carry` moves along it.

use vanepath_config::ExecutionStatus;
use vanepath_config::model::Idempotency;

#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestState {
    Received,
    Matched,
    Queued,
    Choosing,
    Connecting,
    Greeted,
    Sent,
    Answering,
    Done,
    Refused(Rejection),
}

/// Why a request ends here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Rejection {
    #[default]
    Malformed,
    Unmatched,
    HeadTooLarge,
    TooLarge,
    Misplaced,
    NotReady,
    /// Just started, it cannot learn what its earlier life went by, and others take work (design 5.8).
    BelowFloor,
    NoRoom,
    NoServer,
    /// Every server has a queue in which it would be late.
    Crowded,
    NoBudget,
    Late,
    Lost,
}

/// How one go ended without a receipt that can be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptError {
    /// No connection, or not to the server that was meant.
    NotConnected,
    /// The server is not to be used any more: it was marked as leaving, or its zone was emptied, while the
    /// connection to it came up.
    Withdrawn,
    /// The connection ended before any byte of the request was written.
    NotSent,
    /// The server says that it did not run it and never will, or that it is another server.
    TurnedAway,
    /// Lost after at least one byte may have been written.
    LostAfterSend,
    /// What came is no answer to this request.
    Misanswered,
    /// The server was silent for too long after the request was sent.
    Silent,
    /// The receipt was cut short or could not be proved whole, before any of it was passed on.
    Truncated,
}

impl AttemptError {
    /// Whether the server has surely not run it, and never will.
    pub fn is_not_sent(self) -> bool {
        matches!(
            self,
            AttemptError::NotConnected
                | AttemptError::Withdrawn
                | AttemptError::NotSent
                | AttemptError::TurnedAway
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    Retry,
    Reject(Rejection),
}

#[derive(Debug)]
pub struct RequestLifecycle {
    pub state: RequestState,
    pub idempotency: Idempotency,
    /// Whether the request can be told a second time word for word.
    pub is_replayable: bool,
    pub attempts: u32,
    /// Goes in which the request was sent to a server, and how many there may be.
    pub sends: u32,
    pub max_sends: u32,
    /// When it was last sent to one, where it was.
    pub sent_at: std::time::Duration,
    /// Some byte of it may have reached a server.
    pub may_have_run: bool,
}

/// Goes that find nobody there come on top of those that a rule allows.
const GOES_IN_VAIN_MOST: u32 = 4;
/// No server is left for being slow sooner than that.
const LEAVE_AFTER: std::time::Duration = std::time::Duration::from_millis(300);

impl RequestLifecycle {
    pub fn new() -> RequestLifecycle {
        RequestLifecycle {
            state: RequestState::Received,
            idempotency: Idempotency::NonIdempotent,
            is_replayable: false,
            attempts: 0,
            sends: 0,
            max_sends: vanepath_config::model::DEFAULT_MAX_ATTEMPTS,
            sent_at: std::time::Duration::ZERO,
            may_have_run: false,
        }
    }

    /// Whether a further go is within the rule's bound.
    pub fn may_retry(&self) -> bool {
        self.sends < self.max_sends && self.attempts < self.max_sends + GOES_IN_VAIN_MOST
    }

    pub fn execution_status(&self) -> ExecutionStatus {
        match self.state {
            RequestState::Answering | RequestState::Done => ExecutionStatus::Ran,
            _ if self.may_have_run => ExecutionStatus::MayHaveRun,
            _ => ExecutionStatus::NotRun,
        }
    }

    /// After how long without a reply a request that is with a server looks for another one, again
    /// and again: `left` is what remains of its time. Never for one that must not go twice.
    pub fn switch_after(&self, left: std::time::Duration) -> Option<std::time::Duration> {
        let may =
            self.idempotency == Idempotency::Idempotent && self.is_replayable && self.may_retry();
        let pause = (left / 3).max(LEAVE_AFTER);
        (may && pause < left).then_some(pause)
    }

    /// After a go that missed. `may_go` takes one from the retry budget; it is asked last, and not at all where
    /// this proxy itself let go of a server that nothing was sent to.
    pub fn attempt_failed(
        &mut self,
        miss: AttemptError,
        is_late: bool,
        may_go: impl FnOnce() -> bool,
    ) -> AfterFailure {
        let untouched = miss.is_not_sent();
        if !untouched {
            self.may_have_run = true;
        }
        let refusal = match miss {
            _ if is_late => Rejection::Late,
            _ if untouched => Rejection::NoServer,
            AttemptError::Silent => Rejection::Late,
            _ => Rejection::Lost,
        };
        let may_repeat = match self.idempotency {
            Idempotency::Idempotent => self.is_replayable || untouched,
            // A filing goes on only while provably no byte of it was sent.
            Idempotency::NonIdempotent => untouched && !self.may_have_run,
        };
        if is_late || !may_repeat || !self.may_retry() {
            return AfterFailure::Reject(refusal);
        }
        if miss != AttemptError::Withdrawn && !may_go() {
            return AfterFailure::Reject(if self.may_have_run {
                refusal
            } else {
                Rejection::NoBudget
            });
        }
        AfterFailure::Retry
    }
}

impl Default for RequestLifecycle {
    fn default() -> RequestLifecycle {
        RequestLifecycle::new()
    }
}

impl Rejection {
    /// The status for it, given whether the request may have run (design 8.3).
    pub fn status(self, verdict: ExecutionStatus) -> hyper::StatusCode {
        match self {
            Rejection::Malformed => hyper::StatusCode::BAD_REQUEST,
            Rejection::Unmatched => hyper::StatusCode::NOT_FOUND,
            Rejection::HeadTooLarge => hyper::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Rejection::TooLarge => hyper::StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::Misplaced | Rejection::BelowFloor => hyper::StatusCode::MISDIRECTED_REQUEST,
            _ if verdict == ExecutionStatus::NotRun => hyper::StatusCode::SERVICE_UNAVAILABLE,
            Rejection::Late => hyper::StatusCode::GATEWAY_TIMEOUT,
            _ => hyper::StatusCode::BAD_GATEWAY,
        }
    }

    /// When it makes sense to come back, with so much of its time left. Those whom a crowd sent away
    /// come back by and by, as the draw has it, and in time to be served.
    pub fn retry_after(self, left: std::time::Duration, draw: u64) -> Option<std::time::Duration> {
        let after_ms = match self {
            Rejection::Crowded => {
                let drawn_ms = 600 + draw % 401;
                drawn_ms.min(left.as_millis() as u64 / 4)
            }
            Rejection::NoServer | Rejection::NoRoom => 100,
            Rejection::NotReady | Rejection::BelowFloor => 300,
            Rejection::NoBudget => 500,
            Rejection::Late => 1000,
            _ => return None,
        };
        Some(std::time::Duration::from_millis(after_ms))
    }
}

#[cfg(test)]
mod tests;
