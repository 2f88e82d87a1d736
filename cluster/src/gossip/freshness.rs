//! Whether the local state is current: after a start, after a pause of the process, and while no peer
//! replies (design 5.5).

use std::time::Duration;

/// A longer gap since the last tick means that the process was paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1500);
/// Without a reply from a registry, a reply of any other peer makes a node fresh after this long.
pub const PEER_FRESHNESS_TIMEOUT: Duration = Duration::from_secs(2);
/// Without any reply, a node counts as fresh after this long and acts on the state that it has.
pub const ISOLATED_FRESHNESS_TIMEOUT: Duration = Duration::from_millis(2500);
/// A node that is not fresh holds new work for at most this long. It is longer than
/// [`ISOLATED_FRESHNESS_TIMEOUT`], after which the node acts on the state that it has.
pub const READINESS_TIMEOUT: Duration = Duration::from_secs(3);
const _: () = assert!(PEER_FRESHNESS_TIMEOUT.as_millis() < ISOLATED_FRESHNESS_TIMEOUT.as_millis());
const _: () = assert!(ISOLATED_FRESHNESS_TIMEOUT.as_millis() + 200 < READINESS_TIMEOUT.as_millis());
/// A node is isolated if no pull was answered for this long: others may have newer state.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_millis(2500);

/// When replies arrived since the start or the last pause. All times are on this node's clock.
pub(super) struct Freshness {
    last_tick_at: Duration,
    /// The start of the process, or the end of its last pause.
    resumed_at: Duration,
    /// When the first reply to a pull sent since `resumed_at` arrived.
    first_reply_at: Option<Duration>,
    /// Whether a ready registry, or a ready and synced store, has replied to a pull sent since `resumed_at`.
    is_confirmed: bool,
    /// When any pull was last answered, including pulls sent before `resumed_at`.
    last_reply_at: Duration,
}

impl Freshness {
    pub(super) fn new(now: Duration) -> Freshness {
        Freshness {
            last_tick_at: now,
            resumed_at: now,
            first_reply_at: None,
            is_confirmed: false,
            last_reply_at: now,
        }
    }

    pub(super) fn on_tick(&mut self, now: Duration) {
        self.last_tick_at = now;
    }

    /// Checks whether the process was paused before the current event, and returns the length of the pause.
    /// After a pause, state from before it no longer counts as fresh.
    pub(super) fn detect_pause(&mut self, now: Duration) -> Option<Duration> {
        let gap = now.saturating_sub(self.last_tick_at);
        if gap <= PAUSE_THRESHOLD {
            return None;
        }
        self.last_tick_at = now;
        self.first_reply_at = None;
        self.is_confirmed = false;
        self.resumed_at = now;
        Some(gap)
    }

    /// Records a reply to any pull.
    pub(super) fn on_reply(&mut self, now: Duration) {
        self.last_reply_at = now;
    }

    /// Records a reply to a pull that was sent since the start or the last pause. Returns whether it is the
    /// first one.
    pub(super) fn on_current_reply(&mut self, now: Duration) -> bool {
        let is_first = self.first_reply_at.is_none();
        if is_first {
            self.first_reply_at = Some(now);
        }
        is_first
    }

    /// Records that such a reply came from a node that knows the committed configuration. Returns whether it
    /// is the first one.
    pub(super) fn confirm(&mut self) -> bool {
        !std::mem::replace(&mut self.is_confirmed, true)
    }

    /// Whether a pull sent at `sent_at` was sent since the start or the last pause. The reply to an earlier
    /// pull may be as old as the pause is long.
    pub(super) fn is_current(&self, sent_at: Duration) -> bool {
        sent_at >= self.resumed_at
    }

    /// Whether no pull that was sent since the start or the last pause has been answered yet.
    pub(super) fn awaits_first_reply(&self) -> bool {
        self.first_reply_at.is_none()
    }

    pub(super) fn is_fresh(&self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.resumed_at);
        self.is_confirmed
            || (self.first_reply_at.is_some() && elapsed > PEER_FRESHNESS_TIMEOUT)
            || elapsed > ISOLATED_FRESHNESS_TIMEOUT
    }

    pub(super) fn is_isolated(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_reply_at) > ISOLATION_TIMEOUT
    }
}
