//! The outcomes of reads of the platform's endpoint list, as shown to operators.

use crate::discovery::source::FetchError;

/// The outcome of a read of the platform's endpoint list. The status page shows the name in kebab case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PollOutcome {
    /// No read has completed yet.
    NotYetRead,
    /// The list was read, or is unchanged.
    Good,
    /// The platform did not answer in time, or with an error status.
    Unreachable,
    /// The calls of all registries together are over the platform's rate limit.
    RateLimited,
    /// The response is not a valid list.
    Malformed,
    /// The list has no servers and is rejected: a platform that has just started may not know its servers
    /// yet.
    Empty,
    /// The list's revision is lower than that of the last valid list.
    Older,
}

impl From<&FetchError> for PollOutcome {
    fn from(error: &FetchError) -> PollOutcome {
        match error {
            FetchError::InvalidPage(_) | FetchError::TooManyPages(_) => PollOutcome::Malformed,
            FetchError::RateLimited => PollOutcome::RateLimited,
            FetchError::Timeout
            | FetchError::Connect(_)
            | FetchError::Request(_)
            | FetchError::Exchange(_)
            | FetchError::Body(_)
            | FetchError::Status(_) => PollOutcome::Unreachable,
        }
    }
}
