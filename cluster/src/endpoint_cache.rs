//! A node's cache of the endpoint list: the current list, recent earlier lists as bases for deltas, and when
//! a read of the platform last confirmed that the current list is up to date (design 4). It does no I/O.
//!
//! Invariants: the revision of the current list never decreases; `highest_revision` is never below it;
//! `read_at` is the start time of a read that returned the current list, never of one that returned an
//! earlier list.

use crate::wire::EndpointListRead;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use vanepath_config::endpoint_list::{EndpointList, EndpointListDelta};

/// The number of earlier lists kept as bases for deltas.
const MAX_EARLIER_LISTS: usize = 16;

/// The current endpoint list, its history and its freshness.
#[derive(Debug, Default)]
pub struct EndpointCache {
    current: Arc<EndpointList>,
    /// Previously current lists, oldest first: bases for deltas to peers that still have them.
    earlier: VecDeque<Arc<EndpointList>>,
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
    /// The current list.
    pub fn current(&self) -> &Arc<EndpointList> {
        &self.current
    }

    /// The revision that peers may use as the base of a delta; 0: they have to send the full list.
    pub fn known_revision(&self) -> u64 {
        if self.needs_full_list { 0 } else { self.current.revision }
    }

    /// The highest revision that any node reported, whether or not its list has arrived.
    pub fn highest_revision(&self) -> u64 {
        self.highest_revision
    }

    /// When the latest read that returned the current list began, on this node's clock.
    pub fn read_at(&self) -> Option<Duration> {
        self.read_at
    }

    /// Replaces the current list if this one is newer. Returns whether it was.
    pub fn apply(&mut self, list: Arc<EndpointList>) -> bool {
        self.observe_revision(list.revision);
        if list.revision <= self.current.revision {
            return false;
        }
        let previous = std::mem::replace(&mut self.current, list);
        self.earlier.push_back(previous);
        if self.earlier.len() > MAX_EARLIER_LISTS {
            self.earlier.pop_front();
        }
        self.needs_full_list = false;
        self.read_at = None;
        true
    }

    /// Like [`apply`](EndpointCache::apply), for a full list from a peer. A list that was requested after a
    /// failed delta also replaces a current list of the same revision.
    pub fn apply_full(&mut self, list: EndpointList) -> bool {
        if self.needs_full_list && list.revision == self.current.revision {
            // The two nodes have different lists under the same revision. The node that requested the full
            // list adopts the peer's.
            self.current = Arc::default();
        }
        self.apply(Arc::new(list))
    }

    /// Like [`apply`](EndpointCache::apply), for a delta to the current list. A delta whose result differs
    /// from the sender's list is discarded, and the next pulls ask for the full list.
    pub fn apply_delta(&mut self, delta: &EndpointListDelta) -> bool {
        match self.current.with_delta(delta) {
            Some(list) => self.apply(Arc::new(list)),
            None => {
                self.needs_full_list |= delta.base == self.current.revision;
                false
            }
        }
    }

    /// Records that a read begun at `began_at` returned the list of this revision. Returns whether it is
    /// later than the latest recorded read of the current list.
    pub fn record_read(&mut self, revision: u64, began_at: Duration) -> bool {
        let is_newer =
            revision == self.current.revision && self.read_at.is_none_or(|at| began_at > at);
        if is_newer {
            self.read_at = Some(began_at);
        }
        is_newer
    }

    /// Records that a peer has reported a list of this revision.
    pub fn observe_revision(&mut self, revision: u64) {
        self.highest_revision = self.highest_revision.max(revision);
    }

    /// The latest read of the current list, in the form that is sent to peers.
    pub fn latest_read(&self, now: Duration) -> Option<EndpointListRead> {
        let read_at = self.read_at?;
        let age_ms = now.saturating_sub(read_at).as_millis() as u32;
        Some(EndpointListRead { revision: self.current.revision, age_ms })
    }

    /// The update for a peer that has the list of `known_revision`; 0: it needs the full list.
    pub fn update_for(&self, known_revision: u64) -> EndpointUpdate {
        if self.current.revision <= known_revision {
            return EndpointUpdate::default();
        }
        let has_base = known_revision > 0;
        let base = self.earlier.iter().find(|list| has_base && list.revision == known_revision);
        match base {
            Some(base) => {
                EndpointUpdate { delta: Some(self.current.delta_since(base)), full: None }
            }
            None => EndpointUpdate { full: Some((*self.current).clone()), delta: None },
        }
    }
}
