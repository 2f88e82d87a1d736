//! Failure detection: registries use heartbeats, all other nodes the reports of registries (design 5.3, 5.7).

use super::{
    Effect, FORGET_TIMEOUT, Gossip, ISOLATION_TIMEOUT, NODE_TIMEOUT, Peer, UnreachableReport,
};
use crate::wire::{NodeInfo, NodeStatus, Role};
use std::net::SocketAddr;
use std::time::Duration;

impl Gossip {
    /// All live nodes, this one first.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = (&NodeInfo, &NodeStatus)> {
        std::iter::once((&self.own_info, &self.own_status))
            .chain(self.live_peers(now).map(|peer| (&peer.info, &peer.status)))
    }

    /// The nodes that are no longer live and not forgotten yet, in their last known state.
    pub fn unreachable(&self, now: Duration) -> impl Iterator<Item = (&NodeInfo, &NodeStatus)> {
        self.unreachable_peers(now).map(|peer| (&peer.info, &peer.status))
    }

    /// The leader of a role: of its live and synced nodes that are not draining, the one whose name sorts
    /// first (design 5.6).
    pub fn leader(&self, role: Role, now: Duration) -> Option<&NodeInfo> {
        self.live(now)
            .filter(|(info, status)| info.role == role && !status.draining && status.synced)
            .map(|(info, _)| info)
            .min_by(|left, right| left.name.cmp(&right.name))
    }

    /// Whether no pull has been answered for [`ISOLATION_TIMEOUT`], so that others may have newer state.
    pub fn is_isolated(&self, now: Duration) -> bool {
        self.freshness.is_isolated(now)
    }

    /// Whether other nodes may have newer state than this one: none of its pulls or, at a registry, none of
    /// its pulls from other registries was answered. Incoming requests do not count, because they still
    /// arrive in a one-way partition; nor do the replies of a store, which may be cut off together with this
    /// registry. Registries whose addresses refuse connections are considered dead and are not counted.
    pub fn is_partitioned(&self, now: Duration) -> bool {
        let other_registries = || {
            let registries = self.peers.iter().filter(|peer| peer.info.role == Role::Registry);
            registries.filter(|peer| !peer.is_refused())
        };
        if self.own_info.role != Role::Registry || other_registries().next().is_none() {
            return self.is_isolated(now);
        }
        let is_recent = |at: Duration| now.saturating_sub(at) <= ISOLATION_TIMEOUT;
        // A registry that has only just become known has not had time to reply.
        let is_in_contact =
            |peer: &Peer| is_recent(peer.known_since) || peer.last_reply_at.is_some_and(is_recent);
        !other_registries().any(is_in_contact)
    }

    pub(super) fn live_peers(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        self.peers
            .iter()
            .filter(move |peer| peer.is_live(now, self.own_info.role, self.registry_report_at))
    }

    fn unreachable_peers(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        self.peers
            .iter()
            .filter(move |peer| !peer.is_live(now, self.own_info.role, self.registry_report_at))
    }

    /// The addresses of peers that are not live.
    pub(super) fn unreachable_addresses(&self, now: Duration) -> impl Iterator<Item = SocketAddr> {
        self.unreachable_peers(now).map(|peer| peer.info.cluster_address)
    }

    /// Moves heartbeat times forward by the length of a pause of this process, so that peers do not time out
    /// because their heartbeats could not be received during it.
    pub(super) fn extend_heartbeats(&mut self, now: Duration, pause: Duration) {
        for peer in &mut self.peers {
            peer.last_heartbeat_at += pause;
            peer.known_since = now;
        }
    }

    /// Removes the peers whose latest heartbeat is older than [`FORGET_TIMEOUT`].
    pub(super) fn forget_peers(&mut self, now: Duration) {
        let count_before = self.peers.len();
        self.peers.retain(|peer| now.saturating_sub(peer.last_heartbeat_at) < FORGET_TIMEOUT);
        if self.peers.len() < count_before {
            let names = self.peers.iter().map(|peer| peer.info.name.clone());
            self.peer_indices = names.zip(0..).collect();
            let hashes = self.peers.iter().map(|peer| peer.name_hash);
            self.known_name_hashes = hashes.chain([self.own_name_hash]).collect();
        }
    }

    /// Updates whether each peer is live; adds the addresses of peers that have become unreachable since the
    /// last tick to `suspects`.
    pub(super) fn detect_failures(
        &mut self,
        now: Duration,
        suspects: &mut Vec<SocketAddr>,
        effects: &mut Vec<Effect>,
    ) {
        let (own_role, report_at) = (self.own_info.role, self.registry_report_at);
        for peer in &mut self.peers {
            let is_live = peer.is_live(now, own_role, report_at);
            if std::mem::replace(&mut peer.was_live, is_live) != is_live {
                effects.push(Effect::ViewChanged);
                if !is_live {
                    suspects.push(peer.info.cluster_address);
                }
            }
        }
    }

    /// At a registry: updates the list of unreachable peers, which leaves rely on.
    pub(super) fn update_unreachable_list(&mut self, now: Duration) {
        if self.own_info.role != Role::Registry {
            return;
        }
        let unreachable =
            self.peers.iter().filter(|peer| !peer.is_live(now, self.own_info.role, None));
        let mut hashes: Vec<u32> = unreachable.map(|peer| peer.name_hash).collect();
        hashes.sort_unstable();
        if hashes != self.unreachable_hashes {
            self.unreachable_hashes = hashes;
            self.urgent_changes += 1;
        }
        self.leaf_versions.retain(|name, _| self.peer_indices.contains_key(name));
    }

    /// Handles a refused connection: the peer at the address counts as dead until a newer heartbeat.
    pub(super) fn on_connection_refused(
        &mut self,
        now: Duration,
        address: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        let (own_role, report_at) = (self.own_info.role, self.registry_report_at);
        for peer in &mut self.peers {
            if peer.info.cluster_address == address && peer.is_live(now, own_role, report_at) {
                peer.refused_at = Some(now);
                peer.was_live = false;
                effects.push(Effect::ViewChanged);
            }
        }
    }

    /// Handles a registry's list of unreachable nodes, given as sorted hashes of their names. A peer is
    /// unreachable only if all registries that reported recently list it.
    pub(super) fn apply_unreachable(
        &mut self,
        now: Duration,
        registry: SocketAddr,
        name_hashes: Vec<u32>,
    ) {
        self.registry_report_at = Some(now);
        if let Some(session) = self.sessions.get_mut(&registry) {
            session.unreachable = Some(UnreachableReport { received_at: now, name_hashes });
        }
        let reports = self.sessions.values().filter_map(|session| session.unreachable.as_ref());
        let recent: Vec<&UnreachableReport> = reports
            .filter(|report| now.saturating_sub(report.received_at) < ISOLATION_TIMEOUT)
            .collect();
        for peer in &mut self.peers {
            let name_hash = peer.name_hash;
            peer.is_reported_unreachable =
                !recent.is_empty() && recent.iter().all(|report| report.contains(name_hash));
            let was_refused_lately = peer
                .refused_at
                .is_some_and(|refused_at| now.saturating_sub(refused_at) < NODE_TIMEOUT);
            let is_sender = peer.info.cluster_address == registry;
            if is_sender || (!peer.is_reported_unreachable && !was_refused_lately) {
                peer.last_heartbeat_at = now;
                peer.is_reported_unreachable &= !is_sender;
            }
        }
    }
}
