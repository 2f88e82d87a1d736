//! Incoming pulls. A pull for which there is no urgent change waits for one until its deadline (long
//! polling).

use super::{Effect, Gossip, LONG_POLL_TIMEOUT, unreachable_digest};
use crate::wire::{ListReading, NodeVersion, PlanVersion, PullRequest, Role, name_hash};
use std::collections::HashMap;
use std::time::Duration;

/// Between registries, a read of the endpoint list is an urgent change if it began at least this much later
/// than the latest one that the requester knows of.
const LIST_READ_MIN_ADVANCE: Duration = Duration::from_millis(200);

/// A pull that has not been responded to, with the versions that its requester has.
pub(super) struct PendingPull {
    pub(super) ticket: u64,
    pub(super) received_at: Duration,
    /// The requester's version vector, keyed by the hashes of the nodes' names.
    pub(super) known_versions: HashMap<u32, NodeVersion>,
    pub(super) config_revision: u64,
    pub(super) endpoint_list_revision: u64,
    pub(super) plan_version: PlanVersion,
    pub(super) wants_observations: bool,
    deadline: Duration,
    pub(super) requester: String,
    pub(super) requester_incarnation: u64,
    pub(super) is_leaf: bool,
    /// The digest of the list of unreachable nodes that the requester was last sent.
    unreachable_digest: u64,
    /// The requester's versions are not known to this node: it must send them again.
    pub(super) needs_versions: bool,
    /// The requester has just started or resumed: it does not wait, and is sent all available state.
    pub(super) is_initial: bool,
    /// The requester has not established its read index yet (design 5.8).
    pub(super) needs_read_index: bool,
    /// The value of `Gossip::urgent_changes` at which there was nothing urgent for this requester.
    checked_changes: u64,
    /// When the latest read of the endpoint list that the requester knows of began, on this node's clock.
    list_read_at: Option<Duration>,
    /// How well this registry read the endpoint list when the pull was received.
    list_reading: Option<ListReading>,
}

impl PendingPull {
    /// The requester's version of a node's entry; the default version if it has none.
    pub(super) fn known_version(&self, name_hash: u32) -> NodeVersion {
        self.known_versions.get(&name_hash).copied().unwrap_or_default()
    }

    /// Whether the requester has the status of this version, or a newer one, of a node.
    fn has_status(&self, name: &str, name_hash: u32, version: &NodeVersion) -> bool {
        match self.known_versions.get(&name_hash) {
            None => name == self.requester,
            Some(known) => {
                version.incarnation < known.incarnation
                    || (version.incarnation == known.incarnation
                        && version.status_version <= known.status_version)
            }
        }
    }
}

impl Gossip {
    pub(super) fn on_pull_received(
        &mut self,
        now: Duration,
        ticket: u64,
        request: PullRequest,
        effects: &mut Vec<Effect>,
    ) {
        let requester = request.sender.name.clone();
        let requester_incarnation = request.sender.version.incarnation;
        let needs_read_index =
            request.sender.status.as_ref().is_some_and(|status| status.revision == 0);
        self.merge_node(now, request.sender, true, effects);
        let wait = Duration::from_millis(u64::from(request.wait_ms)).min(LONG_POLL_TIMEOUT * 4);
        self.endpoints.observe_revision(request.endpoint_list_revision);
        let list_read_age =
            request.list_read_age_ms.map(|age_ms| Duration::from_millis(u64::from(age_ms)));
        // A node has at most one pull in flight to each peer, so it has abandoned any earlier one.
        self.pending_pulls.retain(|pull| pull.requester != requester || pull.ticket == ticket);
        let leaf_versions = self.leaf_versions.remove(&requester);
        let needs_versions = request.known_versions.is_none() && leaf_versions.is_none();
        let known_versions = match request.known_versions {
            Some(versions) => versions.into_iter().collect(),
            None => leaf_versions.unwrap_or_default(),
        };
        let pull = PendingPull {
            ticket,
            received_at: now,
            known_versions,
            config_revision: request.config_revision,
            endpoint_list_revision: request.endpoint_list_revision,
            plan_version: request.plan_version,
            wants_observations: request.wants_observations,
            deadline: now + wait,
            requester,
            requester_incarnation,
            is_leaf: request.is_leaf,
            unreachable_digest: request.unreachable_digest,
            needs_versions,
            is_initial: request.wait_ms == 0,
            needs_read_index,
            checked_changes: 0,
            list_read_at: list_read_age.map(|age| now.saturating_sub(age)),
            list_reading: self.own_list_reading,
        };
        if needs_versions || now >= pull.deadline || self.has_urgent_change(&pull) {
            self.respond(now, pull, effects);
        } else {
            self.pending_pulls.push(pull);
        }
    }

    /// Handles the end of a requester's connection while its pull was pending. The requester may be dead, so
    /// it is pulled from at the next tick.
    pub(super) fn on_pull_abandoned(&mut self, ticket: u64) {
        if let Some(pull) = self.pending_pulls.iter().find(|pull| pull.ticket == ticket) {
            let requester = self.peers.iter().find(|peer| peer.info.name == pull.requester);
            self.suspects.extend(requester.map(|peer| peer.info.cluster_address));
        }
        self.pending_pulls.retain(|pull| pull.ticket != ticket);
    }

    /// Responds to the pending pulls for which there is an urgent change or whose deadline has passed.
    pub(super) fn respond_to_pending(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let mut index = 0;
        while index < self.pending_pulls.len() {
            let pull = &self.pending_pulls[index];
            let may_have_urgent_change = pull.checked_changes != self.urgent_changes;
            if now >= pull.deadline || (may_have_urgent_change && self.has_urgent_change(pull)) {
                let pull = self.pending_pulls.swap_remove(index);
                self.respond(now, pull, effects);
            } else {
                self.pending_pulls[index].checked_changes = self.urgent_changes;
                index += 1;
            }
        }
    }

    fn respond(&mut self, now: Duration, mut pull: PendingPull, effects: &mut Vec<Effect>) {
        let response = self.build_response(now, &pull);
        if pull.is_leaf && !pull.needs_versions {
            for delta in &response.nodes {
                pull.known_versions.insert(name_hash(&delta.name), delta.version);
            }
            self.leaf_versions.insert(pull.requester, pull.known_versions);
        }
        effects.push(Effect::Respond { ticket: pull.ticket, response });
    }

    /// Whether there is a change that the requester must learn of at once. Heartbeats and observations are
    /// not urgent.
    fn has_urgent_change(&self, pull: &PendingPull) -> bool {
        let is_reporting_registry = pull.is_leaf && self.own_info.role == Role::Registry;
        let has_new_unreachable = is_reporting_registry
            && pull.unreachable_digest != unreachable_digest(&self.unreachable_for(pull));
        has_new_unreachable
            || self.has_later_list_read(pull)
            || (!pull.is_leaf && pull.list_reading != self.own_list_reading)
            || self.active_revision() > pull.config_revision
            || self.endpoints.current().revision > pull.endpoint_list_revision
            || self.plan.version() > pull.plan_version
            || !pull.has_status(&self.own_info.name, self.own_name_hash, &self.own_version)
            || self
                .peers
                .iter()
                .any(|peer| !pull.has_status(&peer.info.name, peer.name_hash, &peer.version))
    }

    /// Whether this registry knows of a read of the endpoint list that a requesting registry must learn of
    /// at once: a registry reads the list itself only if it has not learned of another's read for some time.
    fn has_later_list_read(&self, pull: &PendingPull) -> bool {
        let is_registry = self.own_info.role == Role::Registry;
        let Some(read_at) = self.endpoints.read_at().filter(|_| is_registry && !pull.is_leaf)
        else {
            return false;
        };
        pull.list_read_at.is_none_or(|known_at| read_at >= known_at + LIST_READ_MIN_ADVANCE)
    }
}
