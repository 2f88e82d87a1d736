//! Merging of received state. Every item is versioned, and none is replaced by an older version
//! (design 5.3, 5.4).

use super::pull_session::PullOutcome;
use super::{Effect, FORGET_TIMEOUT, Gossip, LogEvent, MAX_PEERS, Peer};
use crate::wire::{
    CommittedConfig, NodeDelta, ProxyObservations, PullResponse, Role, TrafficShiftPlan, name_hash,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

impl Gossip {
    /// Handles the end of a pull that this node sent. `response` is `None` if the pull failed.
    pub(super) fn on_pull_completed(
        &mut self,
        now: Duration,
        address: SocketAddr,
        response: Option<Box<PullResponse>>,
        effects: &mut Vec<Effect>,
    ) {
        let outcome = match &response {
            None => PullOutcome::Failed,
            Some(response) if response.resend_versions => PullOutcome::VersionsRequested,
            Some(_) => PullOutcome::Answered,
        };
        if let Some(response) = response {
            self.freshness.on_reply(now);
            let list_reading = response.list_reading;
            // The response to a pull that was sent before a pause may be as old as the pause is long.
            let session = self.sessions.get(&address);
            let sent_at = session.map(|session| session.sent_at);
            let is_current = sent_at.is_some_and(|sent_at| self.freshness.is_current(sent_at));
            self.merge_response(now, address, sent_at, *response, effects);
            if is_current {
                self.update_freshness(now, address, effects);
            }
            let mut peers = self.peers.iter_mut();
            if let Some(peer) = peers.find(|peer| peer.info.cluster_address == address) {
                peer.last_reply_at = Some(now);
                if peer.list_reading != list_reading {
                    peer.list_reading = list_reading;
                    effects.push(Effect::ViewChanged);
                }
            }
        }
        self.finish_pull(now, address, outcome, effects);
    }

    fn merge_response(
        &mut self,
        now: Duration,
        address: SocketAddr,
        sent_at: Option<Duration>,
        response: PullResponse,
        effects: &mut Vec<Effect>,
    ) {
        for delta in response.nodes {
            self.merge_node(now, delta, false, effects);
        }
        if let Some(name_hashes) = response.unreachable {
            self.apply_unreachable(now, address, name_hashes);
        }
        if let Some(config) = response.config {
            let sender = self.peer_name_at(address);
            self.apply_config(Arc::new(config), sender, effects);
        }
        if let (Some(confirmation), Some(sent_at)) = (response.confirmation, sent_at) {
            self.record_config_read(confirmation.revision, confirmation.began_at(sent_at));
        }
        if !response.resend_versions {
            // A peer of an earlier version reports no read index. The committed revision, which is no lower
            // than that of the configuration that the peer has just sent, is used instead.
            let read_index = response.read_index.unwrap_or(self.committed.revision);
            if self.read_index.established().is_none() {
                let name = self.peer_name_at(address);
                self.read_index.on_peer_reply(&name, read_index);
            }
            self.highest_reported_revision =
                self.highest_reported_revision.max(response.read_index.unwrap_or(0));
        }
        let list_read = response.list_read.map(|read| {
            let age = Duration::from_millis(u64::from(read.age_ms));
            (read.revision, now.saturating_sub(age))
        });
        let read_at = list_read.map(|(_, read_at)| read_at);
        if let Some(list) = response.endpoint_list {
            let is_new = self.endpoints.apply_full(list, read_at);
            self.on_endpoint_list_applied(is_new, effects);
        }
        if let Some(delta) = response.endpoint_list_delta {
            let is_new = self.endpoints.apply_delta(&delta, read_at);
            self.on_endpoint_list_applied(is_new, effects);
        }
        if let Some((revision, read_at)) = list_read {
            self.endpoints.observe_revision(revision);
            self.record_list_read(revision, read_at, effects);
        }
        if let Some(plan) = response.plan {
            self.apply_plan(Arc::new(plan), effects);
        }
    }

    /// Records a response to a pull that was sent since the start or the last pause.
    fn update_freshness(&mut self, now: Duration, address: SocketAddr, effects: &mut Vec<Effect>) {
        if self.freshness.on_current_reply(now) {
            effects.push(Effect::ViewChanged);
        }
        // A store that has queried a majority since it started knows the committed configuration as well
        // as a registry does.
        let can_confirm = self.peers.iter().any(|peer| {
            peer.info.cluster_address == address
                && peer.status.ready
                && (peer.info.role == Role::Registry
                    || (peer.info.role == Role::Store && peer.status.synced))
        });
        if can_confirm && self.freshness.confirm() {
            effects.push(Effect::ViewChanged);
        }
    }

    /// Merges one node's entry. `is_direct`: the entry came from the node itself, with its pull.
    pub(super) fn merge_node(
        &mut self,
        now: Duration,
        delta: NodeDelta,
        is_direct: bool,
        effects: &mut Vec<Effect>,
    ) {
        if delta.name == self.own_info.name {
            self.raise_incarnation(delta.version.incarnation, effects);
            return;
        }
        self.record_active_revision(&delta);
        let age = Duration::from_millis(u64::from(delta.age_ms));
        if age >= FORGET_TIMEOUT {
            return;
        }
        let heartbeat_at = now.saturating_sub(age);
        match self.peer_indices.get(&delta.name).copied() {
            Some(index) => self.update_peer(index, heartbeat_at, delta, is_direct, effects),
            None => self.add_peer(now, heartbeat_at, delta, is_direct, effects),
        }
    }

    /// Raises this node's incarnation above a later one of its name that peers know (design 5.3).
    fn raise_incarnation(&mut self, incarnation: u64, effects: &mut Vec<Effect>) {
        if incarnation > self.own_version.incarnation {
            self.own_version.incarnation = incarnation + 1;
            self.own_version.counter += 1;
            self.urgent_changes += 1;
            effects.push(Effect::Log(LogEvent::IncarnationRaised));
        }
    }

    /// Records the highest revision that each name reported as active, for the read index of its later
    /// incarnations (design 5.8).
    fn record_active_revision(&mut self, delta: &NodeDelta) {
        let Some(status) = delta.status.as_ref().filter(|status| status.revision > 0) else {
            return;
        };
        self.highest_reported_revision = self.highest_reported_revision.max(status.revision);
        self.config_lease.observe_revision(status.revision);
        if let Some(highest) = self.highest_active_revisions.get_mut(&delta.name) {
            *highest = status.revision.max(*highest);
        } else if self.highest_active_revisions.len() < MAX_PEERS {
            self.highest_active_revisions.insert(delta.name.clone(), status.revision);
        }
    }

    fn add_peer(
        &mut self,
        now: Duration,
        heartbeat_at: Duration,
        delta: NodeDelta,
        is_direct: bool,
        effects: &mut Vec<Effect>,
    ) {
        let (Some(info), Some(status)) = (delta.info, delta.status) else {
            return;
        };
        if self.peers.len() >= MAX_PEERS {
            effects.push(Effect::Log(LogEvent::TooManyPeers));
            return;
        }
        // The entry's version covers observations that were not sent; record that they are not known.
        let mut version = delta.version;
        if delta.observations.is_none() {
            version.observations_version = 0;
        }
        let name_hash = name_hash(&delta.name);
        self.peer_indices.insert(delta.name, self.peers.len());
        self.urgent_changes += 1;
        self.known_name_hashes.insert(name_hash);
        self.peers.push(Peer {
            info,
            version,
            status,
            has_direct_observations: is_direct && version.observations_version > 0,
            observations: delta.observations.unwrap_or_default(),
            name_hash,
            last_heartbeat_at: heartbeat_at,
            known_since: now,
            last_reply_at: None,
            list_reading: None,
            refused_at: None,
            is_reported_unreachable: false,
            was_live: false,
        });
        effects.push(Effect::ViewChanged);
    }

    fn update_peer(
        &mut self,
        index: usize,
        heartbeat_at: Duration,
        delta: NodeDelta,
        is_direct: bool,
        effects: &mut Vec<Effect>,
    ) {
        let peer = &mut self.peers[index];
        peer.merge_observations(&delta, is_direct);
        if peer.version.is_newer_than(&delta.version) {
            return;
        }
        let is_new_incarnation = delta.version.incarnation != peer.version.incarnation;
        if is_new_incarnation && delta.info.is_none() {
            return;
        }
        if delta.version.is_newer_than(&peer.version) {
            peer.last_heartbeat_at = peer.last_heartbeat_at.max(heartbeat_at);
        }
        if is_new_incarnation || delta.version.status_version != peer.version.status_version {
            self.urgent_changes += 1;
        }
        let observations_version = peer.version.observations_version;
        if let Some(info) = delta.info
            && info != peer.info
        {
            peer.info = info;
            effects.push(Effect::ViewChanged);
        }
        if let Some(status) = delta.status
            && status != peer.status
        {
            peer.status = status;
            effects.push(Effect::ViewChanged);
        }
        peer.version = delta.version;
        match delta.observations {
            Some(observations) if is_new_incarnation => {
                peer.observations = observations;
                peer.has_direct_observations = is_direct;
            }
            None if is_new_incarnation => {
                peer.observations = ProxyObservations::default();
                peer.version.observations_version = 0;
                peer.has_direct_observations = false;
            }
            _ => peer.version.observations_version = observations_version,
        }
    }

    /// Applies a committed configuration that this node received from `sender`, if it is newer.
    pub(super) fn apply_config(
        &mut self,
        config: Arc<CommittedConfig>,
        sender: String,
        effects: &mut Vec<Effect>,
    ) {
        if config.revision > self.committed.revision {
            self.committed = config;
            self.committed_from = sender;
            self.config_lease.on_config_applied(self.committed.revision);
            self.urgent_changes += 1;
            effects.push(Effect::ViewChanged);
        }
    }

    /// Applies a plan, unless it is of a lower epoch or is not newer within its epoch (design 5.6).
    pub(super) fn apply_plan(&mut self, plan: Arc<TrafficShiftPlan>, effects: &mut Vec<Effect>) {
        if plan.version() > self.plan.version() {
            self.plan = plan;
            self.urgent_changes += 1;
            effects.push(Effect::ViewChanged);
        }
    }

    pub(super) fn on_endpoint_list_applied(&mut self, is_new: bool, effects: &mut Vec<Effect>) {
        if is_new {
            self.urgent_changes += 1;
            effects.push(Effect::ViewChanged);
        }
    }

    /// Records that a read of the platform returned the endpoint list of this revision.
    pub(super) fn record_list_read(
        &mut self,
        revision: u64,
        began_at: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let previous = self.endpoints.current().clone();
        let is_newer = self.endpoints.record_read(revision, began_at);
        if !Arc::ptr_eq(&previous, self.endpoints.current()) {
            effects.push(Effect::ViewChanged);
        }
        if is_newer && self.own_info.role == Role::Registry {
            self.urgent_changes += 1;
        }
    }
}

impl Peer {
    /// Merges observations by their own version, since they may arrive on a slower path than heartbeats.
    fn merge_observations(&mut self, delta: &NodeDelta, is_direct: bool) {
        if delta.version.incarnation == self.version.incarnation
            && delta.version.observations_version > self.version.observations_version
            && let Some(observations) = &delta.observations
        {
            self.observations = observations.clone();
            self.version.observations_version = delta.version.observations_version;
            self.has_direct_observations = is_direct;
        }
    }
}
