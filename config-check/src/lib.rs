//! Checks a configuration against a snapshot of the fleet (design 9.4): which rules match no live server,
//! what capacity would be left after the loss of a zone or region, and what would change. Also finds
//! daemons whose configuration revision is older than one they had before (design 5.8).

#![warn(missing_docs)]

mod changes;
mod checks;
mod finding;
pub mod revision_regressions;
mod snapshot;
mod tenants;

pub use changes::changes;
pub use checks::check;
pub use finding::{Finding, Severity};
pub use snapshot::{FleetSnapshot, ProxyLocation, ServerSnapshot, SnapshotError};

#[cfg(test)]
mod tests;
