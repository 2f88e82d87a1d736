//! Findings of a check.

/// How grave a finding is, in rising order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Severity {
    /// For information.
    Note,
    /// Works now, but not after a loss that the fleet should survive.
    Warning,
    /// Would not be served by the fleet as it is.
    #[strum(serialize = "bad")]
    Error,
}

/// One finding about a configuration.
#[derive(Clone, Debug)]
pub struct Finding {
    /// How grave it is.
    pub severity: Severity,
    /// Where it is: a JSON path into the configuration document, or the name of a daemon.
    pub path: String,
    /// What was found.
    pub message: String,
}

impl Finding {
    pub(crate) fn new(severity: Severity, path: impl Into<String>, message: String) -> Finding {
        Finding { severity, path: path.into(), message }
    }
}
