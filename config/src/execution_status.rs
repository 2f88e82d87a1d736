//! Whether a request was run: the one fact that a client must be able to trust (design 8.2).

/// What is known of a request's execution; its text stands in the header [`HEADER`].
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ExecutionStatus {
    /// No byte of the request reached a server, and none ever will.
    NotRun,
    /// Some of it may have reached a server; the proxy cannot know.
    MayHaveRun,
    /// A server responded to it.
    Ran,
}

/// The response header in which a proxy states the execution status. Its name is part of the published
/// protocol.
pub const HEADER: &str = "vanepath-verdict";
