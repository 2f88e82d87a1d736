//! Findings of a check.

/// Severity of a finding, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Severity {
    /// For information.
    Note,
    /// Works now, but would not work after a failure that the fleet should tolerate.
    Warning,
    /// The fleet in its present state could not serve it.
    #[strum(serialize = "bad")]
    Error,
}

/// One finding about a configuration.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Its severity.
    pub severity: Severity,
    /// What it is about: a JSON path into the configuration document, or a daemon.
    pub path: String,
    /// What was found.
    pub message: String,
}

impl Finding {
    pub(crate) fn new(severity: Severity, path: impl Into<String>, message: String) -> Finding {
        Finding { severity, path: path.into(), message }
    }
}
