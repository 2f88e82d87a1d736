//! Whether a request was executed, which clients must be able to rely on (design 8.2).

/// What is known about the execution of a request; sent to clients in the header [`HEADER`].
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ExecutionStatus {
    /// No byte of the request reached a server, and none ever will.
    NotRun,
    /// Part of the request may have reached a server; the proxy cannot tell.
    MayHaveRun,
    /// A server responded to the request.
    Ran,
}

/// The response header in which a proxy states the execution status. Its name is part of the published
/// protocol.
pub const HEADER: &str = "vanepath-verdict";
