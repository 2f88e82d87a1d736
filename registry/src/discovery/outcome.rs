//! How reads of the platform's list end, as operators see it.

use crate::discovery::source::FetchError;

/// How a read of the platform's list ended. The status page shows the name in kebab case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PollOutcome {
    /// No read has ended yet.
    NotYetRead,
    /// The list was read, or is unchanged.
    Good,
    /// The platform did not answer in time, or with an error status.
    Unreachable,
    /// The answer is no valid list.
    Malformed,
    /// The list names no server and is not believed: a platform that has just started may not know its
    /// servers yet.
    Empty,
    /// The list's revision is lower than one that was read before.
    Older,
}

impl From<&FetchError> for PollOutcome {
    fn from(error: &FetchError) -> PollOutcome {
        match error {
            FetchError::InvalidPage(_) | FetchError::TooManyPages => PollOutcome::Malformed,
            FetchError::Timeout
            | FetchError::Connect(_)
            | FetchError::Request(_)
            | FetchError::Exchange(_)
            | FetchError::Body(_)
            | FetchError::Status(_) => PollOutcome::Unreachable,
        }
    }
}
