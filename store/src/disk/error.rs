//! Errors of the data folder.

use std::path::PathBuf;

/// Why the data folder cannot be used. The messages contain the cause, so that `source` does not return it
/// again.
#[derive(Debug)]
pub enum DiskError {
    /// The folder or its lock file cannot be opened or created.
    Open {
        /// The data folder.
        folder: PathBuf,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// Another process holds the folder's lock.
    InUse {
        /// The data folder.
        folder: PathBuf,
    },
    /// The folder or a file in it cannot be read, or the initial files cannot be written.
    Read {
        /// The data folder.
        folder: PathBuf,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// A write or a sync failed.
    Write {
        /// The error of the operating system.
        cause: std::io::Error,
    },
}

impl DiskError {
    pub(super) fn write(cause: std::io::Error) -> DiskError {
        DiskError::Write { cause }
    }
}

impl std::fmt::Display for DiskError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DiskError::Open { folder, cause } => {
                write!(formatter, "$.dataFolder: cannot use {}: {cause}", folder.display())
            }
            DiskError::InUse { folder } => {
                let folder = folder.display();
                write!(formatter, "$.dataFolder: {folder} is in use by another process")
            }
            DiskError::Read { folder, cause } => {
                write!(formatter, "$.dataFolder: cannot read {}: {cause}", folder.display())
            }
            DiskError::Write { cause } => write!(formatter, "cannot write: {cause}"),
        }
    }
}

impl std::error::Error for DiskError {}

impl miette::Diagnostic for DiskError {}
