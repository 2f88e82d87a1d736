//! The way of a request through the proxy: a chart of named states, and what follows from each
//! outcome of a go (design 8.1, 8.2). Pure; the shell in `carry` moves along it.

use vanepath_config::ExecutionStatus;
use vanepath_config::model::Idempotency;

#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    Received,
    Matched,
    Queued,
    Choosing,
    Connecting,
    Greeted,
    Sent,
    Answering,
    Done,
    Refused(Refusal),
}

/// Why a request ends here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
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
pub enum Miss {
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

impl Miss {
    /// Whether the server has surely not run it, and never will.
    pub fn is_untouched(self) -> bool {
        matches!(self, Miss::NotConnected | Miss::Withdrawn | Miss::NotSent | Miss::TurnedAway)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Again,
    End(Refusal),
}

#[derive(Debug)]
pub struct Chart {
    pub state: State,
    pub kind: Idempotency,
    /// Whether the request can be told a second time word for word.
    pub is_replayable: bool,
    pub goes: u32,
    /// Goes in which the request was sent to a server, and how many there may be.
    pub sends: u32,
    pub sends_most: u32,
    /// When it was last sent to one, where it was.
    pub sent_at: std::time::Duration,
    /// Some byte of it may have reached a server.
    pub may_sent: bool,
}

/// Goes that find nobody there come on top of those that a rule allows.
const GOES_IN_VAIN_MOST: u32 = 4;
/// No server is left for being slow sooner than that.
const LEAVE_AFTER: std::time::Duration = std::time::Duration::from_millis(300);

impl Chart {
    pub fn new() -> Chart {
        Chart {
            state: State::Received,
            kind: Idempotency::NonIdempotent,
            is_replayable: false,
            goes: 0,
            sends: 0,
            sends_most: vanepath_config::model::DEFAULT_MAX_ATTEMPTS,
            sent_at: std::time::Duration::ZERO,
            may_sent: false,
        }
    }

    /// Whether a further go is within the rule's bound.
    pub fn may_go_on(&self) -> bool {
        self.sends < self.sends_most && self.goes < self.sends_most + GOES_IN_VAIN_MOST
    }

    pub fn verdict(&self) -> ExecutionStatus {
        match self.state {
            State::Answering | State::Done => ExecutionStatus::Ran,
            _ if self.may_sent => ExecutionStatus::MayHaveRun,
            _ => ExecutionStatus::NotRun,
        }
    }

    /// After how long without a reply a request that is with a server looks for another one, again
    /// and again: `left` is what remains of its time. Never for one that must not go twice.
    pub fn leave_after(&self, left: std::time::Duration) -> Option<std::time::Duration> {
        let may = self.kind == Idempotency::Idempotent && self.is_replayable && self.may_go_on();
        let pause = (left / 3).max(LEAVE_AFTER);
        (may && pause < left).then_some(pause)
    }

    /// After a go that missed. `may_go` takes one from the retry budget; it is asked last, and not at all where
    /// this proxy itself let go of a server that nothing was sent to.
    pub fn missed(&mut self, miss: Miss, is_late: bool, may_go: impl FnOnce() -> bool) -> Next {
        let untouched = miss.is_untouched();
        if !untouched {
            self.may_sent = true;
        }
        let refusal = match miss {
            _ if is_late => Refusal::Late,
            _ if untouched => Refusal::NoServer,
            Miss::Silent => Refusal::Late,
            _ => Refusal::Lost,
        };
        let may_repeat = match self.kind {
            Idempotency::Idempotent => self.is_replayable || untouched,
            // A filing goes on only while provably no byte of it was sent.
            Idempotency::NonIdempotent => untouched && !self.may_sent,
        };
        if is_late || !may_repeat || !self.may_go_on() {
            return Next::End(refusal);
        }
        if miss != Miss::Withdrawn && !may_go() {
            return Next::End(if self.may_sent { refusal } else { Refusal::NoBudget });
        }
        Next::Again
    }
}

impl Default for Chart {
    fn default() -> Chart {
        Chart::new()
    }
}

impl Refusal {
    /// The status for it, given whether the request may have run (design 8.3).
    pub fn status(self, verdict: ExecutionStatus) -> hyper::StatusCode {
        match self {
            Refusal::Malformed => hyper::StatusCode::BAD_REQUEST,
            Refusal::Unmatched => hyper::StatusCode::NOT_FOUND,
            Refusal::HeadTooLarge => hyper::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Refusal::TooLarge => hyper::StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::Misplaced | Refusal::BelowFloor => hyper::StatusCode::MISDIRECTED_REQUEST,
            _ if verdict == ExecutionStatus::NotRun => hyper::StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Late => hyper::StatusCode::GATEWAY_TIMEOUT,
            _ => hyper::StatusCode::BAD_GATEWAY,
        }
    }

    /// When it makes sense to come back, with so much of its time left. Those whom a crowd sent away
    /// come back by and by, as the draw has it, and in time to be served.
    pub fn retry_after(self, left: std::time::Duration, draw: u64) -> Option<std::time::Duration> {
        let after_ms = match self {
            Refusal::Crowded => {
                let drawn_ms = 600 + draw % 401;
                drawn_ms.min(left.as_millis() as u64 / 4)
            }
            Refusal::NoServer | Refusal::NoRoom => 100,
            Refusal::NotReady | Refusal::BelowFloor => 300,
            Refusal::NoBudget => 500,
            Refusal::Late => 1000,
            _ => return None,
        };
        Some(std::time::Duration::from_millis(after_ms))
    }
}

#[cfg(test)]
mod tests;
