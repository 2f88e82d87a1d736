//! The endpoint list as one node knows it: the current one, some earlier ones as bases for deltas, and when
//! anyone last found it to be current (design 4). Pure.
//!
//! Invariants: the revision of the current list never falls; `highest_revision` is never below it;
//! `read_at` is when a read began that found this very list, not an earlier one, to be current.

use crate::wire::EndpointListRead;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use vanepath_config::endpoint_list::{EndpointList, EndpointListDelta};

/// How many earlier lists are kept as bases for deltas.
const MAX_EARLIER_LISTS: usize = 16;

/// The current endpoint list and what is known of it.
#[derive(Debug, Default)]
pub struct EndpointCache {
    current: Arc<EndpointList>,
    /// Lists that were current lately, for peers that still have them.
    earlier: VecDeque<Arc<EndpointList>>,
    /// A delta did not lead to the list that it should: the next pulls ask for the full list.
    needs_full_list: bool,
    read_at: Option<Duration>,
    highest_revision: u64,
}

/// What one peer needs of the list: the full list, a delta to the one that it has, or nothing.
#[derive(Debug, Default)]
pub struct EndpointUpdate {
    /// The whole list.
    pub full: Option<EndpointList>,
    /// What changed since the list that the peer has.
    pub delta: Option<EndpointListDelta>,
}

impl EndpointCache {
    /// The list in force here.
    pub fn current(&self) -> &Arc<EndpointList> {
        &self.current
    }

    /// The revision to which peers may send deltas; 0: they have to send the full list.
    pub fn known_revision(&self) -> u64 {
        if self.needs_full_list { 0 } else { self.current.revision }
    }

    /// The highest revision that anyone reported, whether or not its list has arrived.
    pub fn highest_revision(&self) -> u64 {
        self.highest_revision
    }

    /// When the newest read began that found the current list to be current, on this node's clock.
    pub fn read_at(&self) -> Option<Duration> {
        self.read_at
    }

    /// Makes a list the current one if it is newer; whether it was.
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

    /// The same for a full list from a peer, which may have been asked for.
    pub fn apply_full(&mut self, list: EndpointList) -> bool {
        if self.needs_full_list && list.revision == self.current.revision {
            // Two different lists have one revision: the node that asked for the full list takes the peer's.
            self.current = Arc::default();
        }
        self.apply(Arc::new(list))
    }

    /// The same for a delta to the current list. One that leads to another list than the sender's is not
    /// taken, and the next pulls ask for the full list.
    pub fn apply_delta(&mut self, delta: &EndpointListDelta) -> bool {
        match self.current.with(delta) {
            Some(list) => self.apply(Arc::new(list)),
            None => {
                self.needs_full_list |= delta.base == self.current.revision;
                false
            }
        }
    }

    /// A read that began at `began_at` found the list of this revision to be current. Whether that is newer
    /// than what was known.
    pub fn record_read(&mut self, revision: u64, began_at: Duration) -> bool {
        let is_newer =
            revision == self.current.revision && self.read_at.is_none_or(|at| began_at > at);
        if is_newer {
            self.read_at = Some(began_at);
        }
        is_newer
    }

    /// A peer reported that it has a list of this revision.
    pub fn observe_revision(&mut self, revision: u64) {
        self.highest_revision = self.highest_revision.max(revision);
    }

    /// The newest read of the current list, as peers get it.
    pub fn latest_read(&self, now: Duration) -> Option<EndpointListRead> {
        let read_at = self.read_at?;
        let age_ms = now.saturating_sub(read_at).as_millis() as u32;
        Some(EndpointListRead { revision: self.current.revision, age_ms })
    }

    /// What a peer needs that has the list of `known_revision`; 0: it needs the full list.
    pub fn update_for(&self, known_revision: u64) -> EndpointUpdate {
        if self.current.revision <= known_revision {
            return EndpointUpdate::default();
        }
        let has_base = known_revision > 0;
        let base = self.earlier.iter().find(|list| has_base && list.revision == known_revision);
        match base {
            Some(base) => EndpointUpdate { delta: Some(self.current.since(base)), full: None },
            None => EndpointUpdate { full: Some((*self.current).clone()), delta: None },
        }
    }
}
