//! Finds daemons that went back to an older configuration revision (design 5.8): compares the highest
//! revision that any registry observed at each daemon with the revision that the daemon itself reports.
//!
//! Status pages have two values with the key `floor`, both lower bounds of a daemon's revision: in a
//! registry's list of daemons the highest revision observed there, and in a daemon's own status the read
//! index (as in Raft) that it obtained at start-up.

use crate::snapshot::{SnapshotError, array, string};
use jzon::JsonValue;
use std::collections::BTreeMap;

/// A daemon as the registries list it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListedDaemon {
    /// Its role: `proxy`, `registry` or `store`.
    pub role: String,
    /// The address of its status page.
    pub address: String,
    /// The highest revision that any registry observed as active there, in any of its incarnations.
    pub highest_revision: u64,
}

/// All daemons that registries list as live.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListedDaemons {
    /// The daemons by name.
    pub by_name: BTreeMap<String, ListedDaemon>,
}

impl ListedDaemons {
    /// Adds the daemons that one registry's status lists.
    ///
    /// # Errors
    /// If a member of the status is absent or has another form.
    pub fn add(&mut self, status: &JsonValue) -> Result<(), SnapshotError> {
        for daemon in array(status, "daemons")? {
            let listed = self.by_name.entry(string(daemon, "name")?).or_default();
            listed.role = string(daemon, "role")?;
            listed.address = string(daemon, "address")?;
            let observed = daemon["floor"].as_u64().unwrap_or(0);
            listed.highest_revision = listed.highest_revision.max(observed);
        }
        Ok(())
    }
}

/// How a daemon's revision compares with those that it had before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RevisionState {
    /// Its revision is not older than any that it is known to have had.
    #[strum(serialize = "good")]
    Current,
    /// Its revision is older.
    #[strum(serialize = "behind")]
    Regressed,
    /// It has not reached its read index yet and accepts no requests until then.
    #[strum(serialize = "waits")]
    Waiting,
    /// Its status could not be read.
    #[strum(serialize = "unheard")]
    Unreachable,
}

/// The result for one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonRevision {
    /// Name of the daemon.
    pub name: String,
    /// The result of the comparison.
    pub state: RevisionState,
    /// The compared revisions, as a text for operators.
    pub message: String,
}

/// Compares a daemon's own status (`None` if it could not be read) with what the registries observed.
pub fn compare(name: &str, listed: &ListedDaemon, status: Option<&JsonValue>) -> DaemonRevision {
    let result = |state, message| DaemonRevision { name: name.to_string(), state, message };
    let Some(status) = status else {
        let message = format!("went by revision {} when last heard of", listed.highest_revision);
        return result(RevisionState::Unreachable, message);
    };
    let read_index = &status["floor"];
    if read_index["met"].as_bool() != Some(true) {
        let required = read_index["floor"].as_u64();
        let required = required.map_or("not known".to_string(), |revision| revision.to_string());
        let reached = read_index["has"].as_u64().unwrap_or(0);
        let message = format!("has revision {reached}, the floor is {required}");
        return result(RevisionState::Waiting, message);
    }
    let revision = status["revision"].as_u64().unwrap_or(0);
    let first_revision = read_index["floor"].as_u64().unwrap_or(0);
    let message = format!(
        "goes by revision {revision}; began at {first_revision} by {} ({}), after {} ms",
        read_index["by"].as_str().unwrap_or("-"),
        read_index["from"].as_str().unwrap_or("-"),
        read_index["waitedMs"].as_u64().unwrap_or(0),
    );
    let lower_bound = listed.highest_revision.max(first_revision);
    if revision < lower_bound {
        let message = format!("{message}; went by {lower_bound} before");
        return result(RevisionState::Regressed, message);
    }
    result(RevisionState::Current, message)
}
