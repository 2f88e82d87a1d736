//! Sequencing of endpoint lists that the platform does not number: decides which registry reads the list
//! and when, and assigns the revision (design 4). A pure state machine: it takes the time and a cluster
//! view, and returns effects.
//!
//! Invariants:
//! - A list gets a revision above every revision that this registry knew when its read began, and is
//!   published only if no higher one has become known by the end of the read: every list known before a
//!   read began is older than what was read.
//! - No two registries, and no two incarnations of one registry, assign the same revision.
//! - A registry takes over the reading because it knows of no recent read, whichever peers it considers
//!   live.

use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::Role;
use vanepath_config::endpoint_list::{EndpointList, Server};

/// The first live registry begins a read this long after the beginning of its last one.
const FIRST_READ_INTERVAL: Duration = Duration::from_millis(600);
/// The second registry reads once the newest read that it knows of began this long ago.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1200);
/// The additional takeover delay of each further registry.
const TAKEOVER_STEP: Duration = Duration::from_millis(300);
/// The minimum interval between the reads of a registry that is not the first, as a multiple of its takeover
/// delay. It keeps the registries together from overloading a platform that does not answer.
const TAKEOVER_PAUSE_FACTOR: u32 = 2;
/// A read that took longer is discarded: its contents may be far out of date, since the process may have
/// been suspended during the read.
pub const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// The number of low bits of a revision that hold the reader number.
const READER_BITS: u32 = 16;

/// An action for the caller to perform.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Read the complete list and report its end with [`ListSequencer::on_read_completed`].
    Read,
    /// Publish the list that was read.
    Publish {
        /// The list with its revision.
        list: Arc<EndpointList>,
        /// Start of the read: the list is at least as new as that.
        began_at: Duration,
    },
    /// The list that was read is dropped, since other nodes may know a newer one by now. The first registry
    /// reads again at once.
    Superseded,
}

/// A read that is in progress.
#[derive(Debug)]
struct PendingRead {
    began_at: Duration,
    /// The highest revision that was known when the read began.
    known_revision: u64,
}

/// Schedules one registry's reads of the list and assigns revisions to the lists that it reads.
#[derive(Debug)]
pub struct ListSequencer {
    name: String,
    /// Distinguishes the revisions of this incarnation from those of all other readers.
    reader_number: u16,
    pending: Option<PendingRead>,
    last_began_at: Option<Duration>,
    /// The last read was dropped as superseded.
    is_superseded: bool,
}

impl ListSequencer {
    /// A sequencer for the registry `name`. The high bits of `random` become the reader number, so that two
    /// incarnations have the same one only by chance.
    pub fn new(name: &str, random: u64) -> ListSequencer {
        ListSequencer {
            name: name.to_string(),
            reader_number: (random >> (u64::BITS - READER_BITS)) as u16,
            pending: None,
            last_began_at: None,
            is_superseded: false,
        }
    }

    /// Begins a read and returns [`Effect::Read`] if one is due; otherwise returns `None`.
    pub fn on_tick(&mut self, now: Duration, view: &ClusterView) -> Option<Effect> {
        if self.pending.is_some() || !self.is_due(now, view) {
            return None;
        }
        self.last_began_at = Some(now);
        self.is_superseded = false;
        self.pending =
            Some(PendingRead { began_at: now, known_revision: highest_known_revision(view) });
        Some(Effect::Read)
    }

    /// Ends the read in progress; `servers` is `None` if the read failed or its list is not valid.
    pub fn on_read_completed(
        &mut self,
        now: Duration,
        view: &ClusterView,
        servers: Option<Vec<Server>>,
    ) -> Option<Effect> {
        let PendingRead { began_at, known_revision } = self.pending.take()?;
        let servers = sorted_by_id(servers?);
        let is_late = now.saturating_sub(began_at) > READ_TIMEOUT;
        if highest_known_revision(view) > known_revision || is_late {
            self.is_superseded = true;
            return Some(Effect::Superseded);
        }
        let is_unchanged =
            servers == view.endpoints.servers && view.endpoints.revision == known_revision;
        let list = match is_unchanged {
            true => view.endpoints.clone(),
            false => {
                Arc::new(EndpointList { revision: self.revision_after(known_revision), servers })
            }
        };
        Some(Effect::Publish { list, began_at })
    }

    fn revision_after(&self, known_revision: u64) -> u64 {
        ((known_revision >> READER_BITS) + 1) << READER_BITS | u64::from(self.reader_number)
    }

    fn is_due(&self, now: Duration, view: &ClusterView) -> bool {
        let Some(last_began_at) = self.last_began_at else { return true };
        let has_elapsed = |since: Duration, delay: Duration| now >= since + delay;
        match self.rank(view) {
            0 if !view.is_isolated => {
                self.is_superseded || has_elapsed(last_began_at, FIRST_READ_INTERVAL)
            }
            rank => {
                let delay = TAKEOVER_DELAY + TAKEOVER_STEP * rank.saturating_sub(1) as u32;
                view.endpoint_list_read_at.is_none_or(|at| has_elapsed(at, delay))
                    && has_elapsed(last_began_at, delay * TAKEOVER_PAUSE_FACTOR)
            }
        }
    }

    /// The position of this registry, in the order of names, among the live registries that are not
    /// draining.
    fn rank(&self, view: &ClusterView) -> usize {
        let registries = view.live.iter().filter(|(info, status)| {
            info.role == Role::Registry && !status.draining && info.name < self.name
        });
        registries.count()
    }
}

/// The highest list revision that this registry knows of.
fn highest_known_revision(view: &ClusterView) -> u64 {
    view.highest_endpoint_list_revision.max(view.endpoints.revision)
}

/// Sorts the servers by id and removes duplicates. A server that moved from one page to the next during the
/// read is on both pages; the entry of the later page is newer and is kept.
fn sorted_by_id(mut servers: Vec<Server>) -> Vec<Server> {
    // The sort is stable: of two entries with the same id, that of the later page comes second.
    servers.sort_by(|left, right| left.id.cmp(&right.id));
    servers.dedup_by(|later, earlier| {
        let is_duplicate = later.id == earlier.id;
        if is_duplicate {
            std::mem::swap(later, earlier);
        }
        is_duplicate
    });
    servers
}

#[cfg(test)]
mod tests;
