//! Whether this registry collects the proxies' observations of servers (design 5.3). Observations are most of
//! the traffic between registries, so only the registries that need them for planning request them.

use super::Gossip;
use crate::wire::{NodeInfo, NodeStatus, Role};
use std::time::Duration;

/// The number of registries that collect observations: the leader and its successor.
const COLLECTING_REGISTRIES: usize = 2;
/// The time after which a registry that began to collect has all observations: by then it has sent a pull to
/// every other registry and received the response.
const COLLECTION_DELAY: Duration = Duration::from_millis(1500);
/// A registry collects observations for this long after an operator requested them.
const OPERATOR_INTEREST_TIMEOUT: Duration = Duration::from_secs(30);

impl Gossip {
    /// Whether this registry has the observations of all proxies.
    pub fn has_observations(&self, now: Duration) -> bool {
        let since = self.collects_observations_since;
        since.is_some_and(|since| now.saturating_sub(since) >= COLLECTION_DELAY)
    }

    pub(super) fn on_observations_wanted(&mut self, now: Duration) {
        self.operator_interest_until = now + OPERATOR_INTEREST_TIMEOUT;
        self.update_observation_interest(now);
    }

    pub(super) fn update_observation_interest(&mut self, now: Duration) {
        let is_registry_before = |node: &(&NodeInfo, &NodeStatus)| {
            let (info, status) = node;
            info.role == Role::Registry && !status.draining && info.name < self.own_info.name
        };
        let collects = self.own_info.role == Role::Registry
            && (now < self.operator_interest_until
                || self.live(now).filter(is_registry_before).count() < COLLECTING_REGISTRIES
                || self.leader(Role::Registry, now).is_some_and(|leader| *leader == self.own_info));
        self.collects_observations_since =
            collects.then(|| self.collects_observations_since.unwrap_or(now));
    }
}
