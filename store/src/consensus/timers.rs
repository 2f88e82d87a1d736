//! The timers of a replica, which are checked on each tick.

use super::bootstrap::BOOTSTRAP_CHECK_INTERVAL;
use super::event::Effect;
use super::replacement::{REPLACEMENT_CHECK_INTERVAL, REPLACEMENT_RETRY_INTERVAL};
use super::replica::{BackgroundCall, Replica};
use super::round::{Operation, Phase, Round};
use crate::protocol::Request;
use crate::value::VersionId;
use std::time::Duration;

/// Interval of repair rounds at the preferred proposer; twice as long at other stores.
const REPAIR_INTERVAL: Duration = Duration::from_secs(3);
/// Interval of repair rounds until one has shown which version is committed.
const FIRST_REPAIR_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which missing versions are fetched.
const FETCH_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a tick after which the process counts as having been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

impl Replica {
    /// Runs the timers that are due.
    pub(super) fn on_tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let last_tick_at = std::mem::replace(&mut self.last_tick_at, now);
        if now.saturating_sub(last_tick_at) > PAUSE_THRESHOLD {
            // This process was paused, so unanswered pings say nothing about the other stores.
            self.forget_unanswered_pings();
        }
        if self.is_disk_unusable() {
            return;
        }
        self.retry_after_backoff(now, effects);
        if now >= self.repair_at && self.round.is_none() && self.queue.is_empty() {
            self.enqueue_periodic_operation(now);
        }
        self.confirm_periodically(now, effects);
        self.query_membership(now, effects);
        self.ping_members(now, effects);
        if now >= self.replacement_check_at && self.is_voting() && self.is_preferred_proposer(now) {
            let has_replacements = self.enqueue_replacements(now);
            self.replacement_check_at = now
                + match has_replacements {
                    true => REPLACEMENT_RETRY_INTERVAL,
                    false => REPLACEMENT_CHECK_INTERVAL,
                };
        }
        if now >= self.fetch_at && !self.is_empty() {
            self.fetch_at = now + FETCH_INTERVAL;
            self.fetch_missing_version(effects);
        }
    }

    fn retry_after_backoff(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let is_due =
            |round: &mut Round| matches!(round.phase, Phase::BackingOff { until } if now >= until);
        if let Some(mut round) = self.round.take_if(is_due) {
            self.prepare(&mut round, effects);
            self.round = Some(round);
            self.advance(now, effects);
        }
    }

    /// Queues a bootstrap or a repair, if this store is to run one now.
    fn enqueue_periodic_operation(&mut self, now: Duration) {
        if self.is_empty() {
            self.enqueue_bootstrap();
            self.repair_at = now + BOOTSTRAP_CHECK_INTERVAL;
        } else if self.is_bootstrapping() {
            if self.is_preferred_proposer(now) {
                self.queue.push_back(Operation::Bootstrap { members: self.members() });
            }
            self.repair_at = now + REPAIR_INTERVAL / 8;
        } else if self.is_voting() {
            let is_behind = self.committed_revision() < self.heard_revision;
            let is_preferred = self.is_preferred_proposer(now);
            if is_preferred || self.committed.is_none() || is_behind {
                self.queue.push_back(Operation::Repair);
                let factor = if is_preferred { 1 } else { 2 };
                // Until the committed version is known, no node uses the value that this replica holds.
                self.repair_at = now
                    + match self.committed {
                        Some(_) => REPAIR_INTERVAL * factor,
                        None => FIRST_REPAIR_INTERVAL,
                    };
            }
        }
    }

    /// Asks one of the other members, in turn, for the first missing version.
    fn fetch_missing_version(&mut self, effects: &mut Vec<Effect>) {
        let missing = match (&self.value, self.state.accepted) {
            (None, Some(accepted)) => Some(accepted.version()),
            (_, Some(accepted)) => self.chain_from(accepted.version()).missing,
            _ => None,
        };
        if self.background_calls.is_empty()
            && let Some(id) = missing
        {
            self.fetch_turn = self.fetch_turn.wrapping_add(1);
            let others = self.other_members();
            if let Some(incarnation) = others.get(self.fetch_turn % others.len().max(1)) {
                let VersionId { revision, digest } = id;
                let call = self.send(*incarnation, Request::Fetch { revision, digest }, effects);
                self.background_calls.insert(call, BackgroundCall::Fetch(id));
            }
        }
    }
}
