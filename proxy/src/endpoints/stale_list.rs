//! What a proxy does while its endpoint list is older than it may be (design 4): servers that announce the end
//! of their connections may be draining without the list showing it, and are used only if there are no others.

use super::{EndpointState, Endpoints};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The list's share of the time limit for draining servers: the time from the start of a read until the
/// proxies act on it. An older list may lack a server's mark for too long.
const MAX_LIST_AGE: Duration = Duration::from_millis(2000);

/// No time in milliseconds: the list is not stale.
const NOT_STALE: u64 = u64::MAX;

/// When the read of a stale list began; shared by all requests.
#[derive(Debug)]
pub(super) struct StaleList {
    read_at_ms: AtomicU64,
}

impl Default for StaleList {
    fn default() -> StaleList {
        StaleList { read_at_ms: AtomicU64::new(NOT_STALE) }
    }
}

impl StaleList {
    fn set(&self, read_at: Option<Duration>) -> bool {
        let read_at_ms = read_at.map_or(NOT_STALE, |at| at.as_millis() as u64);
        let previous_ms = self.read_at_ms.swap(read_at_ms, Ordering::Relaxed);
        (previous_ms == NOT_STALE) != (read_at_ms == NOT_STALE)
    }

    fn read_at(&self) -> Option<Duration> {
        let read_at_ms = self.read_at_ms.load(Ordering::Relaxed);
        (read_at_ms != NOT_STALE).then(|| Duration::from_millis(read_at_ms))
    }
}

impl<C> Endpoints<C> {
    /// Records the start of the latest read that is known to have returned the list; `None`: the platform
    /// numbers its lists, whose age is not known. Returns whether the list has become stale, or current again.
    pub fn observe_list_age(&self, now: Duration, read_at: Option<Duration>) -> bool {
        let stale_read_at = read_at.filter(|at| now > *at + MAX_LIST_AGE);
        self.stale_list.set(stale_read_at)
    }

    /// Whether the list is older than it may be.
    pub fn has_stale_list(&self) -> bool {
        self.stale_list.read_at().is_some()
    }

    /// Records that the server announced the end of a connection in a response.
    pub fn record_closing(&self, now: Duration, slot: usize) {
        self.with_state(slot, |state| state.announced_close_at = Some(now));
    }

    /// Whether the server may be draining: the list is stale, and the server has announced the end of a
    /// connection since it was read.
    pub(super) fn may_be_draining(&self, state: &EndpointState<C>) -> bool {
        let Some(read_at) = self.stale_list.read_at() else { return false };
        state.announced_close_at.is_some_and(|closed_at| closed_at >= read_at)
    }
}
