//! The lifecycle of a request in the proxy: its states, and what follows from each outcome of an
//! attempt (design 8.1, 8.2). Pure; [`crate::forward`] moves along it.

use hyper::StatusCode;
use std::time::Duration;
use vanepath_config::ExecutionStatus;
use vanepath_config::model::{DEFAULT_MAX_ATTEMPTS, Idempotency};

/// Where a request is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestState {
    /// Its head was read.
    Received,
    /// A rule was found for it.
    Matched,
    /// It waits for a slot of its class, or its body is being read.
    Queued,
    /// A server is being selected.
    Selecting,
    /// A connection to the selected server is being made or taken from the idle ones.
    Connecting,
    /// The connection leads to the server that was meant.
    Verified,
    /// Some of it may have been written to the connection.
    Sent,
    /// The response is being relayed to the client.
    Responding,
    /// The response was relayed.
    Done,
}

/// Why a request ends without a response of a server. The names are part of the protocol: clients
/// read them in the field "error" of the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Rejection {
    /// The request is invalid, or could be read in two ways.
    #[default]
    Malformed,
    /// No rule matches it.
    Unmatched,
    /// Its head is over the limit.
    HeadTooLarge,
    /// Its body is over the limit of its class.
    TooLarge,
    /// Its rule does not allow forwarding from this proxy's region.
    #[strum(serialize = "misplaced")]
    WrongRegion,
    /// This proxy does not know the committed config yet.
    NotReady,
    /// This proxy just started and cannot learn the read index of its earlier incarnation, while
    /// others accept work (design 5.8).
    #[strum(serialize = "below-floor")]
    BelowReadIndex,
    /// The queue of its class is full.
    #[strum(serialize = "no-room")]
    QueueFull,
    /// No server is left that could be tried.
    NoServer,
    /// Every server has a queue in which the request would miss its deadline.
    #[strum(serialize = "crowded")]
    Congested,
    /// The retry budget is used up.
    NoBudget,
    /// Its deadline passed.
    #[strum(serialize = "late")]
    DeadlineExceeded,
    /// A server received it, and the response was lost.
    #[strum(serialize = "lost")]
    ResponseLost,
}

/// How an attempt ended without a response that can be relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptError {
    /// No connection, or not to the server that was meant.
    NotConnected,
    /// The server may not be used any more: it began to drain, or its zone was drained, while the
    /// connection to it was made.
    Withdrawn,
    /// The connection ended before any byte of the request was written.
    NotSent,
    /// The server states that it did not run the request and never will, or that it is another server.
    #[strum(serialize = "turned-away")]
    RejectedByServer,
    /// The connection was lost after at least one byte may have been written.
    LostAfterSend,
    /// The response does not belong to this request.
    #[strum(serialize = "misanswered")]
    MismatchedResponse,
    /// No response came in time after the request was sent.
    #[strum(serialize = "silent")]
    TimedOut,
    /// The response was cut short or its end could not be proved, before any of it was relayed.
    Truncated,
}

impl std::error::Error for AttemptError {}

impl AttemptError {
    /// Whether the server has surely not run the request, and never will.
    pub fn is_not_sent(self) -> bool {
        matches!(
            self,
            AttemptError::NotConnected
                | AttemptError::Withdrawn
                | AttemptError::NotSent
                | AttemptError::RejectedByServer
        )
    }
}

/// What follows from a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    /// Another attempt is made.
    Retry,
    /// The request waits for another attempt, which is in progress.
    Await,
    /// The request ends.
    Reject(Rejection),
}

/// What is known of one request.
#[derive(Debug)]
pub struct RequestLifecycle {
    /// Where it is.
    pub state: RequestState,
    /// Whether it may run more than once, by its class.
    pub idempotency: Idempotency,
    /// Whether all of it is kept, so that it can be sent a second time.
    pub is_replayable: bool,
    /// Attempts so far, those that reached no server included.
    pub attempts: u32,
    /// Attempts in which the request was sent to a server.
    pub sends: u32,
    /// How many such attempts the rule allows.
    pub max_sends: u32,
    /// Attempts that were sent and have not ended: their servers may be at work.
    pub pending: u32,
    /// Whether any byte of it may have reached a server that may have run it.
    pub may_have_run: bool,
}

/// Attempts that reach no server come on top of those that a rule allows.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// The least time before a request at a slow server is sent to another one too.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(300);

impl RequestLifecycle {
    /// A request that was just received.
    pub fn new() -> RequestLifecycle {
        RequestLifecycle {
            state: RequestState::Received,
            idempotency: Idempotency::NonIdempotent,
            is_replayable: false,
            attempts: 0,
            sends: 0,
            max_sends: DEFAULT_MAX_ATTEMPTS,
            pending: 0,
            may_have_run: false,
        }
    }

    /// Whether one more attempt is within the rule's bound.
    pub fn may_retry(&self) -> bool {
        self.sends < self.max_sends && self.attempts < self.max_sends + MAX_UNSENT_ATTEMPTS
    }

    /// What can be said of the request having run.
    pub fn execution_status(&self) -> ExecutionStatus {
        match self.state {
            RequestState::Responding | RequestState::Done => ExecutionStatus::Ran,
            _ if self.may_have_run || self.pending > 0 => ExecutionStatus::MayHaveRun,
            _ => ExecutionStatus::NotRun,
        }
    }

    /// After how long without a response a request that was sent looks for another server, again and
    /// again: a third of `left`, what remains of its time. `None` for one that must not be sent
    /// twice, or whose time is too short.
    pub fn hedge_after(&self, left: Duration) -> Option<Duration> {
        let may_hedge =
            self.idempotency == Idempotency::Idempotent && self.is_replayable && self.may_retry();
        let delay = (left / 3).max(MIN_HEDGE_DELAY);
        (may_hedge && delay < left).then_some(delay)
    }

    /// Records that an attempt is sent now.
    pub fn record_sent(&mut self) {
        self.state = RequestState::Sent;
        self.sends += 1;
        self.pending += 1;
    }

    /// Records that an attempt that was sent has ended, with a response or with an error.
    pub fn record_ended(&mut self) {
        self.pending -= 1;
    }

    /// Records a failed attempt and decides what follows. While others are in progress (`has_others`)
    /// the request is not ended: their servers may be at work on it (incident 0019). `try_take_retry` takes
    /// one retry from the budget; it is called last, and not at all where this proxy itself withdrew
    /// from a server that nothing was sent to.
    pub fn attempt_failed(
        &mut self,
        error: AttemptError,
        is_late: bool,
        has_others: bool,
        try_take_retry: impl FnOnce() -> bool,
    ) -> AfterFailure {
        let is_not_sent = error.is_not_sent();
        if !is_not_sent {
            self.may_have_run = true;
        }
        let rejection = match error {
            _ if is_late => Rejection::DeadlineExceeded,
            _ if is_not_sent => Rejection::NoServer,
            AttemptError::TimedOut => Rejection::DeadlineExceeded,
            _ => Rejection::ResponseLost,
        };
        let may_repeat = match self.idempotency {
            Idempotency::Idempotent => self.is_replayable || is_not_sent,
            // Retried only while provably no server has received it.
            Idempotency::NonIdempotent => is_not_sent && !self.may_have_run,
        };
        if has_others {
            return AfterFailure::Await;
        }
        if is_late || !may_repeat || !self.may_retry() {
            return AfterFailure::Reject(rejection);
        }
        if error != AttemptError::Withdrawn && !try_take_retry() {
            return AfterFailure::Reject(if self.may_have_run {
                rejection
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
    /// The HTTP status, given whether the request may have run (design 8.3).
    pub fn status(self, execution_status: ExecutionStatus) -> StatusCode {
        match self {
            Rejection::Malformed => StatusCode::BAD_REQUEST,
            Rejection::Unmatched => StatusCode::NOT_FOUND,
            Rejection::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Rejection::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::WrongRegion | Rejection::BelowReadIndex => StatusCode::MISDIRECTED_REQUEST,
            _ if execution_status == ExecutionStatus::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Rejection::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }

    /// When it makes sense to retry, with `left` remaining of the request's time. Clients that met
    /// overloaded servers are spread by `draw`, a random number, and retry early enough to be served.
    pub fn retry_after(self, left: Duration, draw: u64) -> Option<Duration> {
        let delay_ms = match self {
            Rejection::Congested => {
                let drawn_ms = 600 + draw % 401;
                drawn_ms.min(left.as_millis() as u64 / 4)
            }
            Rejection::NoServer | Rejection::QueueFull => 100,
            Rejection::NotReady | Rejection::BelowReadIndex => 300,
            Rejection::NoBudget => 500,
            Rejection::DeadlineExceeded => 1000,
            _ => return None,
        };
        Some(Duration::from_millis(delay_ms))
    }
}

#[cfg(test)]
mod tests;
