//! The errors of steering requests.

/// Why a registry rejects a steering request. Another registry may be able to answer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum SteeringError {
    /// The client already has an answer for a newer configuration than this registry knows.
    #[strum(serialize = "this directory is behind what you have")]
    Behind,
    /// This registry is partitioned from the others, and the client already has an answer.
    #[strum(serialize = "this directory is cut off, and what you have may be newer")]
    Partitioned,
    /// This registry is not ready, or knows no routing rule or no pathway yet.
    #[strum(serialize = "this directory knows no setup or no place yet")]
    NotReady,
}
