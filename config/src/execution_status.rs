//! What became of a request: the one fact a caller must be able to trust (design 8.2).

#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ExecutionStatus {
    /// No byte of the request reached a server, and none ever will.
    NotRun,
    /// Some of it may have reached a server; nobody can tell from here.
    MayHaveRun,
    /// A server replied to it.
    Ran,
}

/// The header in which a proxy states its verdict.
pub const HEADER: &str = "vanepath-verdict";
