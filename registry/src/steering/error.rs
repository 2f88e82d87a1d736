//! Why there is no answer to a steering request.

/// Why a registry does not answer a steering request; another one may.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum SteeringError {
    /// The client already has the answer of a newer configuration.
    #[strum(serialize = "this directory is behind what you have")]
    Behind,
    /// This registry is partitioned from the others, and the client has an answer already.
    #[strum(serialize = "this directory is cut off, and what you have may be newer")]
    Partitioned,
    /// No configuration, or no pathway, is known yet.
    #[strum(serialize = "this directory knows no setup or no place yet")]
    NotReady,
}
