//! The platform list as one daemon knows it: the newest one, some earlier ones for deltas, and when anyone
//! last found it in force (design 4). Pure.
//!
//! Invariants: the revision of the current list never falls; `highest` is never below it; `read_at` is the
//! begin of a read that found the current list, and not an earlier one, in force.

use crate::wire::EndpointListRead;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use vanepath_config::endpoint_list::{EndpointList, EndpointListDelta};

/// So many earlier lists are kept for deltas.
const EARLIER_KEPT: usize = 16;

/// The list that is in force here and what is known of it.
#[derive(Debug, Default)]
pub struct EndpointCache {
    current: Arc<EndpointList>,
    /// Lists that were in force lately, for those who have them still.
    earlier: VecDeque<Arc<EndpointList>>,
    /// A delta did not lead where it should: the next pulls ask for the whole list.
    wants_whole: bool,
    read_at: Option<Duration>,
    highest: u64,
}

/// A list on its way to one daemon: whole, or as a change of the one that it has.
#[derive(Debug, Default)]
pub struct EndpointUpdate {
    pub full: Option<EndpointList>,
    pub delta: Option<EndpointListDelta>,
}

impl EndpointCache {
    pub fn current(&self) -> &Arc<EndpointList> {
        &self.current
    }

    /// The revision that others may tell changes to; 0: they are to tell the whole list.
    pub fn known_revision(&self) -> u64 {
        if self.wants_whole { 0 } else { self.current.revision }
    }

    /// The highest revision that anyone told of, whether or not its list came.
    pub fn highest_revision(&self) -> u64 {
        self.highest
    }

    /// When the newest read that found the current list in force began, on this daemon's clock.
    pub fn read_at(&self) -> Option<Duration> {
        self.read_at
    }

    /// Takes a list that is newer than the current one. Whether it was.
    pub fn apply(&mut self, list: Arc<EndpointList>) -> bool {
        self.observe_revision(list.revision);
        if list.revision <= self.current.revision {
            return false;
        }
        let before = std::mem::replace(&mut self.current, list);
        self.earlier.push_back(before);
        if self.earlier.len() > EARLIER_KEPT {
            self.earlier.pop_front();
        }
        self.wants_whole = false;
        self.read_at = None;
        true
    }

    /// The same for a list that was told whole, which may have been asked for.
    pub fn apply_full(&mut self, list: EndpointList) -> bool {
        if self.wants_whole && list.revision == self.current.revision {
            // Of one revision two lists are in force: whoever has asked takes the teller's.
            self.current = Arc::default();
        }
        self.apply(Arc::new(list))
    }

    /// The same for a change of the current list.
    pub fn apply_delta(&mut self, delta: &EndpointListDelta) -> bool {
        match self.current.with(delta) {
            Some(list) => self.apply(Arc::new(list)),
            None => {
                self.wants_whole |= delta.base == self.current.revision;
                false
            }
        }
    }

    /// A read that began then found the list of this revision in force. Whether that is news.
    pub fn record_read(&mut self, revision: u64, began_at: Duration) -> bool {
        let is_news =
            revision == self.current.revision && self.read_at.is_none_or(|at| began_at > at);
        if is_news {
            self.read_at = Some(began_at);
        }
        is_news
    }

    /// Somebody told that it has a list of this revision.
    pub fn observe_revision(&mut self, revision: u64) {
        self.highest = self.highest.max(revision);
    }

    /// What others are told of the newest read.
    pub fn latest_read(&self, now: Duration) -> Option<EndpointListRead> {
        let read_at = self.read_at?;
        let age_ms = now.saturating_sub(read_at).as_millis() as u32;
        Some(EndpointListRead { revision: self.current.revision, age_ms })
    }

    /// What a daemon that has the list of this revision is to be told.
    pub fn update_for(&self, held: u64) -> EndpointUpdate {
        if self.current.revision <= held {
            return EndpointUpdate::default();
        }
        let base = self.earlier.iter().find(|list| list.revision == held && held > 0);
        match base {
            Some(base) => EndpointUpdate { delta: Some(self.current.since(base)), full: None },
            None => EndpointUpdate { full: Some((*self.current).clone()), delta: None },
        }
    }
}
