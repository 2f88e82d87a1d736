//! A node's cache of the endpoint list: the current list, its latest changes for peers that have an earlier
//! one, and when a read of the platform last confirmed that the current list is up to date (design 4). It does
//! no I/O.
//!
//! Invariants: the revision of the current list never decreases; `highest_revision` is never below it;
//! `read_at` is the start time of a read that returned the current list, never of one that returned an
//! earlier list; a server that a later read showed as draining stays so (`drain_marks`).

mod drain_marks;

use crate::wire::EndpointListRead;
use drain_marks::DrainMarks;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use vanepath_config::endpoint_list::{EndpointList, EndpointListDelta};

/// The number of kept changes of the list, and so of earlier lists that a peer may have as a base.
const MAX_DELTAS: usize = 16;
/// A change of more than this part of the list is not kept: the full list is about as short.
const MAX_DELTA_FRACTION: usize = 2;

/// The current endpoint list, its history and its freshness.
#[derive(Debug, Default)]
pub struct EndpointCache {
    /// The list of the highest revision, as it was read.
    published: Arc<EndpointList>,
    /// The published list, with the draining marks that are retained from later reads.
    current: Arc<EndpointList>,
    drain_marks: DrainMarks,
    /// The latest changes of the published list, oldest first, for peers that still have an earlier one. Each
    /// applies to the result of the one before it.
    deltas: VecDeque<EndpointListDelta>,
    /// Set when a delta to the current list gave another list than the sender's: the next pulls ask for the
    /// full list.
    needs_full_list: bool,
    read_at: Option<Duration>,
    highest_revision: u64,
}

/// What a peer needs to get the current list: the full list, a delta to the list that it has, or nothing.
#[derive(Debug, Default)]
pub struct EndpointUpdate {
    /// The full list.
    pub full: Option<EndpointList>,
    /// The changes since the list that the peer has.
    pub delta: Option<EndpointListDelta>,
}

impl EndpointCache {
    /// The current list, in which servers stay draining that a later read showed as draining.
    pub fn current(&self) -> &Arc<EndpointList> {
        &self.current
    }

    /// The revision that peers may use as the base of a delta; 0: they have to send the full list.
    pub fn known_revision(&self) -> u64 {
        if self.needs_full_list { 0 } else { self.published.revision }
    }

    /// The highest revision that any node reported, whether or not its list has arrived.
    pub fn highest_revision(&self) -> u64 {
        self.highest_revision
    }

    /// When the latest read that returned the current list began, on this node's clock.
    pub fn read_at(&self) -> Option<Duration> {
        self.read_at
    }

    /// Replaces the current list if this one has a higher revision. Returns whether it has. `read_at` is the
    /// start of the latest known read that returned the list; `None`: the platform numbers its lists, so that
    /// a higher revision is a later list.
    pub fn apply(&mut self, list: Arc<EndpointList>, read_at: Option<Duration>) -> bool {
        self.observe_revision(list.revision);
        if list.revision <= self.published.revision {
            return false;
        }
        let delta = list.delta_since(&self.published);
        self.replace(list, delta, read_at);
        true
    }

    fn replace(
        &mut self,
        list: Arc<EndpointList>,
        delta: EndpointListDelta,
        read_at: Option<Duration>,
    ) {
        if delta.change_count() * MAX_DELTA_FRACTION > list.servers.len() {
            self.deltas.clear();
        } else {
            self.deltas.push_back(delta);
        }
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
        self.published = list;
        self.needs_full_list = false;
        self.read_at = read_at;
        self.update_current();
    }

    /// Like [`apply`](EndpointCache::apply), for a full list from a peer. A list that was requested after a
    /// failed delta also replaces a current list of the same revision.
    pub fn apply_full(&mut self, list: EndpointList, read_at: Option<Duration>) -> bool {
        if self.needs_full_list && list.revision == self.published.revision {
            // The two nodes have different lists under the same revision. The node that requested the full
            // list adopts the peer's.
            self.published = Arc::default();
        }
        self.apply(Arc::new(list), read_at)
    }

    /// Like [`apply`](EndpointCache::apply), for a delta to the current list. A delta whose result differs
    /// from the sender's list is discarded, and the next pulls ask for the full list.
    pub fn apply_delta(&mut self, delta: &EndpointListDelta, read_at: Option<Duration>) -> bool {
        match self.published.with_delta(delta) {
            Some(list) => {
                self.observe_revision(list.revision);
                let is_newer = list.revision > self.published.revision;
                if is_newer {
                    self.replace(Arc::new(list), delta.clone(), read_at);
                }
                is_newer
            }
            None => {
                self.needs_full_list |= delta.base == self.published.revision;
                false
            }
        }
    }

    /// Records that a read begun at `began_at` returned the list of this revision. Returns whether it is
    /// later than the latest recorded read of the current list.
    pub fn record_read(&mut self, revision: u64, began_at: Duration) -> bool {
        let is_newer =
            revision == self.published.revision && self.read_at.is_none_or(|at| began_at > at);
        if is_newer {
            self.read_at = Some(began_at);
            self.update_current();
        }
        is_newer
    }

    fn update_current(&mut self) {
        self.current = self.drain_marks.apply(&self.published, self.read_at);
    }

    /// Records that a peer has reported a list of this revision.
    pub fn observe_revision(&mut self, revision: u64) {
        self.highest_revision = self.highest_revision.max(revision);
    }

    /// The latest read of the current list, in the form that is sent to peers.
    pub fn latest_read(&self, now: Duration) -> Option<EndpointListRead> {
        let read_at = self.read_at?;
        let age_ms = now.saturating_sub(read_at).as_millis() as u32;
        Some(EndpointListRead { revision: self.published.revision, age_ms })
    }

    /// The update for a peer that has the list of `known_revision`; 0: it needs the full list.
    pub fn update_for(&self, known_revision: u64) -> EndpointUpdate {
        if self.published.revision <= known_revision {
            return EndpointUpdate::default();
        }
        let has_base = |delta: &&EndpointListDelta| delta.base == known_revision;
        let mut deltas = self.deltas.iter().skip_while(|delta| !has_base(delta));
        let Some(first) = deltas.next().filter(|_| known_revision > 0) else {
            return EndpointUpdate { full: Some((*self.published).clone()), delta: None };
        };
        let delta = deltas.fold(first.clone(), |delta, next| delta.followed_by(next));
        EndpointUpdate { delta: Some(delta), full: None }
    }
}
