//! Whether what this node knows is current: after its start, after a pause of its process, and while no
//! peer replies (design 5.5).

use std::time::Duration;

/// A tick that comes this late means that the process was paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1500);
/// Without any reply from a registry, replies of other peers make a node fresh after this long.
pub const PEER_FRESHNESS_TIMEOUT: Duration = Duration::from_secs(2);
/// Without any reply at all, a node counts as isolated after this long and acts on what it has.
pub const ISOLATED_FRESHNESS_TIMEOUT: Duration = Duration::from_millis(2500);
/// A node that is not fresh holds new work for this long: until it would act on what it has.
pub const READINESS_TIMEOUT: Duration = Duration::from_secs(3);
const _: () = assert!(PEER_FRESHNESS_TIMEOUT.as_millis() < ISOLATED_FRESHNESS_TIMEOUT.as_millis());
const _: () = assert!(ISOLATED_FRESHNESS_TIMEOUT.as_millis() + 200 < READINESS_TIMEOUT.as_millis());
/// When no pull has been answered for this long, others may know more than this node.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_millis(2500);

/// When replies came in since the start or the last pause. All times are on this node's clock.
pub(super) struct Freshness {
    last_tick_at: Duration,
    /// The start of the process, or its return from the last pause.
    resumed_at: Duration,
    /// When the first reply came to a pull that was sent since then.
    first_reply_at: Option<Duration>,
    /// A registry, or a synced store, has replied since then.
    is_confirmed: bool,
    /// When any pull was last answered, whenever it was sent.
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

    /// How long the process was paused, if whatever comes now is the first event after a pause. From here
    /// on nothing that was known before the pause counts as fresh.
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

    /// A pull was answered.
    pub(super) fn on_reply(&mut self, now: Duration) {
        self.last_reply_at = now;
    }

    /// A pull that was sent since the start or the last pause was answered. Whether it is the first one.
    pub(super) fn on_current_reply(&mut self, now: Duration) -> bool {
        let is_first = self.first_reply_at.is_none();
        if is_first {
            self.first_reply_at = Some(now);
        }
        is_first
    }

    /// Such a reply came from a node that knows the committed configuration. Whether it is the first one.
    pub(super) fn confirm(&mut self) -> bool {
        !std::mem::replace(&mut self.is_confirmed, true)
    }

    /// Whether a pull that was sent then was sent by the process as it runs now: not before a pause, for
    /// then its reply may be as old as the pause is long.
    pub(super) fn is_current(&self, sent_at: Duration) -> bool {
        sent_at >= self.resumed_at
    }

    /// No reply yet since the start or the last pause.
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
