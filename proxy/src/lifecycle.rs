//! The lifecycle of a request in the proxy: its states, and what follows from each outcome of an
//! attempt (design 8.1, 8.2). Pure; [`crate::forward`] drives it.

use hyper::StatusCode;
use std::time::Duration;
use vanepath_config::ExecutionStatus;
use vanepath_config::model::{DEFAULT_MAX_ATTEMPTS, Idempotency};

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestState {
    /// The head has been read.
    Received,
    /// A rule has been found for the request.
    Matched,
    /// The request waits for a slot of its class, or its body is being read.
    Queued,
    /// A server is being selected.
    Selecting,
    /// A connection to the selected server is being opened, or an idle one taken.
    Connecting,
    /// The connection is known to lead to the selected server.
    Verified,
    /// A part of the request may have been written to the connection.
    Sent,
    /// The response is being relayed to the client.
    Responding,
    /// The response has been relayed.
    Done,
}

/// Why a request ends without a response of a server. The serialized names are part of the protocol:
/// clients read them in the field "error" of the response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Rejection {
    /// The request is invalid, or could be interpreted in two ways.
    #[default]
    Malformed,
    /// No rule matches the request.
    Unmatched,
    /// The request has no valid API key, or several.
    Unauthorized,
    /// The API key cannot be judged: this proxy's configuration is not confirmed to be the newest one.
    ConfigUnconfirmed,
    /// The regions of the request's rule and those of its tenant have nothing in common.
    NoCommonRegion,
    /// The head of the request is over the limit.
    HeadTooLarge,
    /// The body of the request is over the limit of its class.
    TooLarge,
    /// The rule of the request does not allow forwarding from this proxy's region.
    #[strum(serialize = "misplaced")]
    WrongRegion,
    /// This proxy does not know the committed config yet, or is about to stop before any server has
    /// received the request.
    NotReady,
    /// This proxy has just started and cannot learn the read index of its earlier incarnation, while
    /// other proxies accept requests (design 5.8).
    #[strum(serialize = "below-floor")]
    BelowReadIndex,
    /// The queue of the request's class is full.
    #[strum(serialize = "no-room")]
    QueueFull,
    /// No server is left to try.
    NoServer,
    /// The request would miss its deadline in the queue of every server.
    #[strum(serialize = "crowded")]
    Congested,
    /// The retry budget is used up.
    NoBudget,
    /// The deadline of the request passed, or no response is expected before it.
    #[strum(serialize = "late")]
    DeadlineExceeded,
    /// A server may have received the request, and its response was lost.
    #[strum(serialize = "lost")]
    ResponseLost,
}

/// How an attempt ended without a response that can be relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptError {
    /// There is no connection, or it does not lead to the selected server.
    NotConnected,
    /// The server may no longer be used: while the connection to it was made, it began to drain or was
    /// removed, its zone was drained, or this proxy lost its view of the cluster.
    Withdrawn,
    /// The connection ended before any byte of the request was written.
    NotSent,
    /// The server states that it did not run the request and never will, or that it is not the target.
    #[strum(serialize = "turned-away")]
    RejectedByServer,
    /// The connection was lost after at least one byte may have been written.
    LostAfterSend,
    /// The response does not belong to this request.
    #[strum(serialize = "misanswered")]
    MismatchedResponse,
    /// No response arrived in time after the request was sent.
    #[strum(serialize = "silent")]
    TimedOut,
    /// The response was cut short or its end could not be proved, before any of it was relayed.
    Truncated,
}

impl std::error::Error for AttemptError {}

impl AttemptError {
    /// Whether it is certain that the server has not run the request and never will.
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
    /// The request waits for another attempt that is in progress.
    Await,
    /// The request is rejected.
    Reject(Rejection),
}

/// What is known about a request.
#[derive(Debug)]
pub struct RequestLifecycle {
    /// The state of the request.
    pub state: RequestState,
    /// Whether the request may run more than once, by its class.
    pub idempotency: Idempotency,
    /// Whether the whole request is buffered, so that it can be sent again.
    pub is_replayable: bool,
    /// The number of attempts so far, including those that reached no server.
    pub attempts: u32,
    /// The number of attempts in which the request was sent to a server.
    pub sends: u32,
    /// The number of such attempts that the rule allows.
    pub max_sends: u32,
    /// The number of attempts that were sent and have not ended: their servers may be processing the
    /// request.
    pub pending: u32,
    /// Whether any byte of the request may have reached a server that may have run it.
    pub may_have_run: bool,
}

/// The maximum number of attempts that reach no server, in addition to those that a rule allows.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// The minimum time before a request at a slow server is sent to another one in addition.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(300);

impl RequestLifecycle {
    /// Creates the lifecycle of a request that was just received.
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

    /// Whether the bounds on attempts allow one more.
    pub fn may_retry(&self) -> bool {
        self.sends < self.max_sends && self.attempts < self.max_sends + MAX_UNSENT_ATTEMPTS
    }

    /// Whether the request has run, as far as that is known.
    pub fn execution_status(&self) -> ExecutionStatus {
        match self.state {
            RequestState::Responding | RequestState::Done => ExecutionStatus::Ran,
            _ if self.may_have_run || self.pending > 0 => ExecutionStatus::MayHaveRun,
            _ => ExecutionStatus::NotRun,
        }
    }

    /// How long to wait for a response before another server is tried in addition: a third of the time
    /// that is left until the deadline. This applies again after each such wait. `None` for a request
    /// that must not be sent again, or whose time left is too short.
    pub fn hedge_after(&self, time_left: Duration) -> Option<Duration> {
        let may_hedge =
            self.idempotency == Idempotency::Idempotent && self.is_replayable && self.may_retry();
        let delay = (time_left / 3).max(MIN_HEDGE_DELAY);
        (may_hedge && delay < time_left).then_some(delay)
    }

    /// Records that the request is sent in an attempt now.
    pub fn record_sent(&mut self) {
        self.state = RequestState::Sent;
        self.sends += 1;
        self.pending += 1;
    }

    /// Records that an attempt that was sent has ended, with a response or with an error.
    pub fn record_ended(&mut self) {
        self.pending -= 1;
    }

    /// Records a failed attempt and decides what follows. While other attempts are in progress
    /// (`has_other_attempts`) the request is not ended: their servers may be processing it (incident 0019).
    /// `try_take_retry` takes one retry from the budget. It is called only after all other conditions
    /// for a retry are met, and not at all after [`AttemptError::Withdrawn`], where this proxy itself
    /// gave up the server before anything was sent.
    pub fn attempt_failed(
        &mut self,
        error: AttemptError,
        is_late: bool,
        has_other_attempts: bool,
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
        let may_try_again = match self.idempotency {
            Idempotency::Idempotent => self.is_replayable || is_not_sent,
            // Retried only as long as it is certain that no server has run it.
            Idempotency::NonIdempotent => is_not_sent && !self.may_have_run,
        };
        if has_other_attempts {
            return AfterFailure::Await;
        }
        if is_late || !may_try_again || !self.may_retry() {
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
    /// The HTTP status for a request with this execution status (design 8.3).
    pub fn status(self, execution_status: ExecutionStatus) -> StatusCode {
        match self {
            Rejection::Malformed => StatusCode::BAD_REQUEST,
            Rejection::Unmatched => StatusCode::NOT_FOUND,
            Rejection::Unauthorized => StatusCode::UNAUTHORIZED,
            Rejection::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Rejection::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::WrongRegion | Rejection::NoCommonRegion | Rejection::BelowReadIndex => {
                StatusCode::MISDIRECTED_REQUEST
            }
            _ if execution_status == ExecutionStatus::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Rejection::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }

    /// The time after which a retry makes sense for a request with this time limit. After an overload of
    /// the servers, `random` spreads the retries of clients, early enough for the request to be served
    /// within its limit.
    pub fn retry_after(self, time_limit: Duration, random: u64) -> Option<Duration> {
        let delay_ms = match self {
            Rejection::Congested => {
                let spread_ms = 600 + random % 401;
                spread_ms.min(time_limit.as_millis() as u64 / 4)
            }
            Rejection::NoServer | Rejection::QueueFull => 100,
            Rejection::NotReady | Rejection::BelowReadIndex | Rejection::ConfigUnconfirmed => 300,
            Rejection::NoBudget => 500,
            Rejection::DeadlineExceeded => 1000,
            _ => return None,
        };
        Some(Duration::from_millis(delay_ms))
    }
}

#[cfg(test)]
mod tests;
