//! Whether this registry collects what proxies observe of servers (design 5.3). Observations are most of
//! what registries send each other, so only those that plan by them ask for them.

use super::Gossip;
use crate::wire::{NodeInfo, NodeStatus, Role};
use std::time::Duration;

/// This many registries collect observations: the leader and the one that would succeed it.
const COLLECTING_REGISTRIES: usize = 2;
/// A registry that began to collect has all observations after this long: every other registry was asked
/// and has answered.
const COLLECTION_DELAY: Duration = Duration::from_millis(1500);
/// An operator's question for observations keeps a registry collecting for this long.
const OPERATOR_INTEREST_TIMEOUT: Duration = Duration::from_secs(30);

impl Gossip {
    /// Whether this registry has the observations of all proxies.
    pub fn has_observations(&self, now: Duration) -> bool {
        let since = self.collects_observations_since;
        since.is_some_and(|since| now.saturating_sub(since) >= COLLECTION_DELAY)
    }

    pub(super) fn on_observations_wanted(&mut self, now: Duration) {
        self.collects_observations_until = now + OPERATOR_INTEREST_TIMEOUT;
        self.update_observation_interest(now);
    }

    pub(super) fn update_observation_interest(&mut self, now: Duration) {
        let is_registry_before = |node: &(&NodeInfo, &NodeStatus)| {
            let (info, status) = node;
            info.role == Role::Registry && !status.draining && info.name < self.own_info.name
        };
        let collects = self.own_info.role == Role::Registry
            && (now < self.collects_observations_until
                || self.live(now).filter(is_registry_before).count() < COLLECTING_REGISTRIES
                || self.leader(Role::Registry, now).is_some_and(|leader| *leader == self.own_info));
        self.collects_observations_since =
            collects.then(|| self.collects_observations_since.unwrap_or(now));
    }
}
