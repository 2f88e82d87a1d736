//! Idle connections, kept for reuse (RFC 9112, section 9.3).

use super::{EndpointState, Endpoints};
use std::time::Duration;

/// How long a connection stays idle before it is reused, so that surplus bytes after the last
/// response are detected.
pub const SETTLE_TIME: Duration = Duration::from_millis(20);
/// How long a connection may be idle before it is closed.
pub const MAX_IDLE_TIME: Duration = Duration::from_secs(20);
/// An idle connection is no longer used this long before its server would close it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of idle connections that a proxy keeps to one server.
pub(super) const MAX_IDLE_CONNECTIONS: usize = 64;
/// Share of a server's connection limit that may be idle; the rest is left for connections in use.
const IDLE_SHARE: f64 = 0.5;

/// An idle connection. It belongs to the server that identified itself on it and is never used for
/// another server.
pub struct IdleConnection<C> {
    /// The connection itself.
    pub connection: C,
    /// When the server last identified itself on it.
    pub verified_at: Duration,
    /// When the last response on it was complete.
    pub idle_since: Duration,
    /// How long the server keeps it open while idle (keep-alive timeout).
    pub keep_alive: Duration,
    /// Whether it has carried a request, and not only health checks.
    pub is_used: bool,
}

impl<C> IdleConnection<C> {
    pub(super) fn idle_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.idle_since)
    }

    /// Whether the server cannot have closed it yet for being idle.
    pub(super) fn is_alive(&self, now: Duration) -> bool {
        let idle_time = self.idle_time(now);
        idle_time < MAX_IDLE_TIME && idle_time + KEEP_ALIVE_MARGIN < self.keep_alive
    }

    /// Whether a request that may run at most once may use it. Such a request does not use a connection
    /// that its server may be about to close.
    pub fn is_safe_for_at_most_once(&self, now: Duration) -> bool {
        self.idle_time(now) <= self.keep_alive / 2
    }
}

/// Number of idle connections that each of `proxies` proxies may keep to a server that accepts
/// `max_connections` in total.
pub fn max_idle_connections(max_connections: u64, proxies: usize) -> usize {
    let connections = max_connections as f64 * IDLE_SHARE / proxies.max(1) as f64;
    (connections as usize).clamp(1, MAX_IDLE_CONNECTIONS)
}

impl<C> EndpointState<C> {
    /// Whether there is an idle connection that a request can use now.
    pub(super) fn has_usable_connection(&self, now: Duration, is_at_most_once: bool) -> bool {
        self.idle.iter().any(|idle| {
            let is_alive = if is_at_most_once {
                idle.is_safe_for_at_most_once(now)
            } else {
                idle.is_alive(now)
            };
            idle.idle_time(now) >= SETTLE_TIME && is_alive
        })
    }
}

impl<C> Endpoints<C> {
    /// Takes the most recently used idle connection that is alive, has been idle for [`SETTLE_TIME`]
    /// and for which `is_usable` holds. Closes the connections that are no longer alive.
    pub fn take_idle(
        &self,
        now: Duration,
        slot: usize,
        is_usable: impl Fn(&IdleConnection<C>) -> bool,
    ) -> Option<IdleConnection<C>> {
        self.with_state(slot, |state| {
            state.idle.retain(|idle| idle.is_alive(now));
            let found = state
                .idle
                .iter()
                .rposition(|idle| now >= idle.idle_since + SETTLE_TIME && is_usable(idle))?;
            Some(state.idle.remove(found))
        })?
    }

    /// Keeps a connection for reuse, or closes it if the limit of idle connections is reached or the
    /// server is desynchronized.
    pub fn put_idle(&self, slot: usize, idle: IdleConnection<C>) {
        self.with_state(slot, |state| {
            let is_reusable = self.verifies_responses || !(state.is_desynchronized && idle.is_used);
            if is_reusable && state.idle.len() < state.max_idle {
                state.idle.push(idle);
            }
        });
    }

    /// Records that the server sent bytes that belong to no request. If such surplus bytes arrive
    /// while the next request is in progress on the connection, they cannot be distinguished from its
    /// response, so from now on each connection carries one request. Returns whether the server
    /// was not marked before.
    pub fn mark_desynchronized(&self, slot: usize) -> bool {
        let is_new = self.with_state(slot, |state| {
            state.idle.retain(|idle| !idle.is_used);
            !std::mem::replace(&mut state.is_desynchronized, true)
        });
        is_new == Some(true)
    }

    /// Whether the server has ever sent bytes that belong to no request.
    pub fn is_desynchronized(&self, slot: usize) -> bool {
        self.with_state(slot, |state| state.is_desynchronized) == Some(true)
    }
}
