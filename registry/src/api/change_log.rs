//! Log lines and counters of the changes that clients send: received, passed on to a store, and what became of
//! them, with the time that this registry held them (design 9.3).

use crate::state::{Counter, Registry};
use std::time::Duration;
use vanepath_store::protocol::{Change, Outcome};

/// A change on its way through this registry. Dropped before its outcome is known, it logs that its client left.
pub struct ChangeLog<'r> {
    registry: &'r Registry,
    /// The idempotency key and the change in words.
    text: String,
    received_at: Duration,
    is_finished: bool,
}

impl<'r> ChangeLog<'r> {
    /// Logs a change that was received.
    pub fn begin(
        registry: &'r Registry,
        key: &str,
        change: &Change,
        received_at: Duration,
        known_revision: u64,
    ) -> ChangeLog<'r> {
        let text = format!("change {key} ({change})");
        log::info!("{text} received; known revision {known_revision}");
        ChangeLog { registry, text, received_at, is_finished: false }
    }

    /// Logs and counts the outcome.
    pub fn finish(mut self, outcome: &Outcome) {
        self.is_finished = true;
        let (text, held_ms) = (&self.text, self.held_ms());
        match outcome {
            Outcome::Accepted { revision, is_repeat, .. } => {
                let repeat = if *is_repeat { ", changes nothing" } else { "" };
                log::info!("{text} accepted as of revision {revision}{repeat}, after {held_ms} ms");
            }
            Outcome::Overtaken { revision } => {
                self.registry.counters.increment(Counter::ChangesOvertaken);
                log::info!(
                    "{text} overtaken by a newer one, not made; at revision {revision}, after {held_ms} ms"
                );
            }
            Outcome::Unknown => log::warn!("{text} may be made later; given up after {held_ms} ms"),
            Outcome::NotApplied { reason } => {
                log::info!("{text} not made: {reason}; given up after {held_ms} ms");
            }
            other => log::info!("{text} not made: {other:?}, after {held_ms} ms"),
        }
    }

    fn held_ms(&self) -> u128 {
        self.registry.node.clock.now().saturating_sub(self.received_at).as_millis()
    }
}

impl Drop for ChangeLog<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.registry.counters.increment(Counter::ChangesDropped);
            log::info!("{} dropped after {} ms: its client left", self.text, self.held_ms());
        }
    }
}
