//! The response to a pull: all state that its requester does not have yet (design 5.3).

use super::pending_pull::PendingPull;
use super::{FORGET_TIMEOUT, Gossip};
use crate::wire::{
    MAX_OBSERVATION_BYTES, NodeDelta, NodeInfo, NodeStatus, NodeVersion, ProxyObservations,
    PullResponse, Role,
};
use std::collections::HashSet;
use std::time::Duration;

/// One node's entry, this node's own or a peer's.
struct Entry<'e> {
    info: &'e NodeInfo,
    name_hash: u32,
    version: &'e NodeVersion,
    status: &'e NodeStatus,
    observations: &'e ProxyObservations,
    has_direct_observations: bool,
    last_heartbeat_at: Duration,
}

impl Gossip {
    pub(super) fn build_response(&self, now: Duration, pull: &PendingPull) -> PullResponse {
        if pull.needs_versions {
            return PullResponse { resend_versions: true, ..PullResponse::default() };
        }
        let is_reporting_registry = pull.is_leaf && self.own_info.role == Role::Registry;
        let update = self.endpoints.update_for(pull.endpoint_list_revision);
        PullResponse {
            nodes: self.node_deltas(now, pull),
            config: (self.active_revision() > pull.config_revision)
                .then(|| (*self.committed).clone()),
            endpoint_list: update.full,
            endpoint_list_delta: update.delta,
            list_read: self.endpoints.latest_read(now),
            list_reading: self.own_list_reading.filter(|_| !pull.is_leaf),
            plan: (self.plan.version() > pull.plan_version).then(|| (*self.plan).clone()),
            unreachable: is_reporting_registry.then(|| self.unreachable_for(pull)),
            resend_versions: false,
            read_index: pull
                .needs_read_index
                .then(|| self.highest_reported_revision.max(self.active_revision())),
            confirmation: self
                .config_lease
                .confirmation_for(self.committed.revision, pull.received_at),
        }
    }

    /// The entries that the requester does not have, this node's own first.
    fn node_deltas(&self, now: Duration, pull: &PendingPull) -> Vec<NodeDelta> {
        let own_entry = Entry {
            info: &self.own_info,
            name_hash: self.own_name_hash,
            version: &self.own_version,
            status: &self.own_status,
            observations: &self.own_observations,
            has_direct_observations: true,
            last_heartbeat_at: now,
        };
        let peer_entries = self.peers.iter().map(|peer| Entry {
            info: &peer.info,
            name_hash: peer.name_hash,
            version: &peer.version,
            status: &peer.status,
            observations: &peer.observations,
            has_direct_observations: peer.has_direct_observations,
            last_heartbeat_at: peer.last_heartbeat_at,
        });
        let selected = self.select_observations(pull);
        let may_send_observations =
            |index: usize| selected.as_ref().is_none_or(|selected| selected.contains(&index));
        let own_delta = node_delta(now, pull, &own_entry, true);
        let peer_deltas = peer_entries.enumerate().filter_map(|(index, entry)| {
            node_delta(now, pull, &entry, may_send_observations(index))
        });
        own_delta.into_iter().chain(peer_deltas).collect()
    }

    /// The indices of the peers whose observations fit into a response; `None`: all of them fit. The
    /// requester gets the rest with its next pulls, for which the selection starts at a different peer.
    fn select_observations(&self, pull: &PendingPull) -> Option<HashSet<usize>> {
        if !pull.wants_observations {
            return None;
        }
        let mut sizes: Vec<(usize, usize)> = Vec::new();
        for (index, peer) in self.peers.iter().enumerate() {
            let known = pull.known_version(peer.name_hash);
            if pull.needs_observations(&peer.version, &known, peer.has_direct_observations) {
                sizes.push((index, peer.observations.estimated_bytes()));
            }
        }
        let total: usize = sizes.iter().map(|(_, bytes)| bytes).sum();
        if total <= MAX_OBSERVATION_BYTES {
            return None;
        }
        let start = pull.ticket as usize % sizes.len();
        sizes.rotate_left(start);
        let mut remaining = MAX_OBSERVATION_BYTES;
        let fitting = sizes.iter().take_while(|(_, bytes)| {
            let fits = *bytes <= remaining;
            remaining = remaining.saturating_sub(*bytes);
            fits
        });
        Some(fitting.map(|(index, _)| *index).collect())
    }

    /// The sorted name hashes of unreachable nodes, for one requester. Once this registry is synced, these
    /// include nodes that the requester knows and this registry does not.
    pub(super) fn unreachable_for(&self, pull: &PendingPull) -> Vec<u32> {
        let mut unreachable = self.unreachable_hashes.clone();
        if self.own_status.synced {
            let known = pull.known_versions.keys().copied();
            unreachable
                .extend(known.filter(|name_hash| !self.known_name_hashes.contains(name_hash)));
            unreachable.sort_unstable();
        }
        unreachable
    }
}

impl PendingPull {
    /// Whether the requester needs a node's observations. Registries pull from all other registries, so each
    /// gets observations from the registry that the proxy sent them to. Another registry forwards them only
    /// if the requester missed more than one version, since its direct path may be cut.
    fn needs_observations(
        &self,
        version: &NodeVersion,
        known: &NodeVersion,
        is_direct: bool,
    ) -> bool {
        let missed = version.observations_version.saturating_sub(known.observations_version);
        let takes_latest = is_direct || self.is_initial;
        self.wants_observations
            && (version.incarnation != known.incarnation
                || missed > 1
                || (missed == 1 && takes_latest))
    }
}

/// The parts of an entry that the requester does not have; `None`: there is nothing to send.
fn node_delta(
    now: Duration,
    pull: &PendingPull,
    entry: &Entry<'_>,
    may_send_observations: bool,
) -> Option<NodeDelta> {
    let age = now.saturating_sub(entry.last_heartbeat_at);
    let (version, known) = (entry.version, pull.known_version(entry.name_hash));
    let is_new_incarnation = version.incarnation != known.incarnation;
    let sends_observations = may_send_observations
        && pull.needs_observations(version, &known, entry.has_direct_observations);
    if (!version.is_newer_than(&known) && !sends_observations) || age >= FORGET_TIMEOUT {
        return None;
    }
    if version.incarnation < known.incarnation {
        return None;
    }
    let is_requester = entry.info.name == pull.requester;
    let has_new_status = is_new_incarnation || version.status_version > known.status_version;
    let is_known_to_requester = is_requester && version.incarnation <= pull.requester_incarnation;
    // Heartbeats alone are not sent to leaves.
    if pull.is_leaf && (!has_new_status || is_known_to_requester) {
        return None;
    }
    Some(NodeDelta {
        name: entry.info.name.clone(),
        version: *version,
        age_ms: age.as_millis() as u32,
        info: is_new_incarnation.then(|| entry.info.clone()),
        status: has_new_status.then(|| entry.status.clone()),
        observations: sends_observations.then(|| entry.observations.clone()),
    })
}

/// The digest of a list of name hashes, with which a leaf identifies the list that it has; 0: an empty list.
pub(super) fn unreachable_digest(name_hashes: &[u32]) -> u64 {
    let texts: Vec<String> = name_hashes.iter().map(u32::to_string).collect();
    let parts: Vec<&str> = texts.iter().map(String::as_str).collect();
    if parts.is_empty() { 0 } else { vanepath_config::stable_hash(&parts) }
}
