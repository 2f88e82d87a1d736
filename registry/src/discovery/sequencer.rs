//! Sequencing of endpoint lists that the platform does not number: which registry reads the list, when,
//! and which revision the list gets (design 4). Pure: it takes the time and a view, and gives effects.
//!
//! Invariants:
//! - A list gets a revision above every one that this registry had heard of when its read began, and is
//!   published only if no higher one was heard of meanwhile: every list known before a read began is older
//!   than what was read.
//! - No two registries, and no two incarnations of one, give the same revision.
//! - A registry reads because it knows of no newer read, and not because of which peers it takes for live.

use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::Role;
use vanepath_config::endpoint_list::{EndpointList, Server};

/// The first live registry begins a read this long after its last one began.
const FIRST_READ_INTERVAL: Duration = Duration::from_millis(600);
/// The second registry reads once the newest read that it knows of began this long ago,
const TAKEOVER_DELAY: Duration = Duration::from_millis(1200);
/// and each further one so much later.
const TAKEOVER_STEP: Duration = Duration::from_millis(300);
/// Between its own reads, a registry that is not the first pauses for this many times its takeover delay:
/// the registries together do not overload a platform that does not answer.
const PAUSE_FACTOR: u32 = 2;
/// A read that took longer is discarded: its contents may be long out of date, since the process may have
/// been suspended meanwhile.
pub const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// The low bits of a revision are the reader's number.
const READER_BITS: u32 = 16;

/// What the caller has to do now.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Read the complete list and report the end of it with [`ListSequencer::on_read_completed`].
    Read,
    /// Publish the list that was read.
    Publish {
        /// The list with its revision.
        list: Arc<EndpointList>,
        /// When the read began: the list is at least as new as that.
        began_at: Duration,
    },
    /// The list that was read may be older than one that others know by now and is dropped; the first
    /// registry reads again at once.
    Superseded,
}

/// A read that is in progress.
#[derive(Debug)]
struct PendingRead {
    began_at: Duration,
    /// The highest revision that was known when the read began.
    known_revision: u64,
}

/// One registry's part in reading the list.
#[derive(Debug)]
pub struct ListSequencer {
    name: String,
    /// Distinguishes this incarnation's revisions from those of all other readers.
    reader: u16,
    pending: Option<PendingRead>,
    last_began_at: Option<Duration>,
    /// The last read was dropped as superseded.
    is_superseded: bool,
}

impl ListSequencer {
    /// A sequencer for the registry `name`. The high bits of the random `draw` become the reader's
    /// number, so that two incarnations have the same one only by chance.
    pub fn new(name: &str, draw: u64) -> ListSequencer {
        ListSequencer {
            name: name.to_string(),
            reader: (draw >> (u64::BITS - READER_BITS)) as u16,
            pending: None,
            last_began_at: None,
            is_superseded: false,
        }
    }

    /// Begins a read if one is due: [`Effect::Read`], or nothing to do.
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

    /// Ends the read in progress; `servers` is `None` where it gave no list that can be believed.
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
        ((known_revision >> READER_BITS) + 1) << READER_BITS | u64::from(self.reader)
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
                    && has_elapsed(last_began_at, delay * PAUSE_FACTOR)
            }
        }
    }

    /// The position among the live registries, in the order of their names.
    fn rank(&self, view: &ClusterView) -> usize {
        let registries = view.live.iter().filter(|(info, status)| {
            info.role == Role::Registry && !status.draining && info.name < self.name
        });
        registries.count()
    }
}

/// The highest revision that this registry has heard of.
fn highest_known_revision(view: &ClusterView) -> u64 {
    view.highest_endpoint_list_revision.max(view.endpoints.revision)
}

/// The servers in the order of their ids. A server that moved from one page to the next during the read is
/// on both pages: the later page is newer and counts.
fn sorted_by_id(mut servers: Vec<Server>) -> Vec<Server> {
    // The sort is stable: of two entries with one id the later page's stays behind the other.
    servers.sort_by(|left, right| left.id.cmp(&right.id));
    servers.dedup_by(|later, earlier| {
        let is_same = later.id == earlier.id;
        if is_same {
            std::mem::swap(later, earlier);
        }
        is_same
    });
    servers
}

#[cfg(test)]
mod tests;
