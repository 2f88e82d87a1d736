//! Outgoing pulls: selection of the peers to pull from, and one session for each of them (design 5.2).

use super::{Effect, Gossip, Peer, candidate, unreachable_digest};
use crate::peer_selection::{Candidate, nearest_store, rank_registries, select_peers};
use crate::wire::{NodeDelta, PullRequest, Role};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// The number of registries that a leaf pulls from.
const LEAF_PULL_SESSIONS: usize = 2;
/// A session whose pull is unanswered for this long is unhealthy, and another registry is used as well.
const SLOW_PULL_TIMEOUT: Duration = Duration::from_millis(1100);
/// The time for which a pull waits at the peer for an urgent change (long polling).
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(700);
/// The delay before the next pull after a failed one.
pub const PULL_BACKOFF: Duration = Duration::from_millis(300);
/// The interval at which one of the unreachable peers and seeds is tried.
const SEED_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The latest list of unreachable nodes from a registry.
#[derive(Clone, Debug)]
pub(super) struct UnreachableReport {
    pub(super) received_at: Duration,
    /// The hashes of the nodes' names, sorted.
    pub(super) name_hashes: Vec<u32>,
}

impl UnreachableReport {
    pub(super) fn contains(&self, name_hash: u32) -> bool {
        self.name_hashes.binary_search(&name_hash).is_ok()
    }
}

/// The state of the pulls from one address. At most one pull is in flight.
#[derive(Clone, Debug)]
pub(super) struct PullSession {
    is_in_flight: bool,
    /// When the pull in flight, or else the last one, was sent. Its reply may be as old as that.
    pub(super) sent_at: Duration,
    next_pull_at: Duration,
    /// Whether the address is still selected. If not, the session ends when the pull in flight completes.
    is_selected: bool,
    /// The version of this node's observations that the registry was last sent.
    sent_observations_version: u64,
    /// Whether the peer has this node's info and version vector from an earlier pull. A restarted peer has
    /// lost them, but then the pull fails and this is reset.
    peer_has_state: bool,
    /// At a leaf: the latest report of unreachable nodes from this registry.
    pub(super) unreachable: Option<UnreachableReport>,
    /// Whether the last pull failed.
    has_failed: bool,
}

impl PullSession {
    fn new(now: Duration) -> PullSession {
        PullSession {
            is_in_flight: false,
            sent_at: now,
            next_pull_at: now,
            is_selected: true,
            sent_observations_version: 0,
            peer_has_state: false,
            unreachable: None,
            has_failed: false,
        }
    }

    fn is_unhealthy(&self, now: Duration) -> bool {
        let is_slow = now.saturating_sub(self.sent_at) > SLOW_PULL_TIMEOUT;
        self.has_failed || (self.is_in_flight && is_slow)
    }
}

/// The outcome of a pull.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PullOutcome {
    Answered,
    /// The peer replied that it does not know this node's versions: they must be sent again.
    VersionsRequested,
    Failed,
}

impl Gossip {
    /// Opens and closes sessions according to the selection of peers, and starts the pulls that are due.
    /// Each address in `suspects` is pulled from once, whether or not it would be selected.
    pub(super) fn update_sessions(
        &mut self,
        now: Duration,
        suspects: Vec<SocketAddr>,
        effects: &mut Vec<Effect>,
    ) {
        let mut selected = self.select_addresses(now, suspects);
        selected.remove(&self.own_info.cluster_address);
        for (address, session) in &mut self.sessions {
            session.is_selected = selected.contains(address);
        }
        self.sessions.retain(|_, session| session.is_in_flight || session.is_selected);
        for address in selected {
            self.sessions.entry(address).or_insert(PullSession::new(now));
        }
        let due: Vec<SocketAddr> = self
            .sessions
            .iter()
            .filter(|(_, session)| !session.is_in_flight && session.next_pull_at <= now)
            .map(|(address, _)| *address)
            .collect();
        for address in due {
            self.start_pull(now, address, effects);
        }
    }

    /// The addresses to pull from: registries if any is live, otherwise a few peers; in addition peers that
    /// may have a newer configuration, the suspects, and periodically a seed or an unreachable peer.
    fn select_addresses(
        &mut self,
        now: Duration,
        suspects: Vec<SocketAddr>,
    ) -> BTreeSet<SocketAddr> {
        let live: Vec<&Peer> = self.live_peers(now).collect();
        let candidates: Vec<Candidate<'_>> =
            live.iter().map(|peer| candidate(&peer.info)).collect();
        let registry_targets = self.registry_addresses(now, &live, &candidates);
        let has_live_registry = registry_targets.is_some();
        let mut selected: BTreeSet<SocketAddr> = match registry_targets {
            Some(addresses) => addresses.into_iter().collect(),
            None => select_peers(&candidate(&self.own_info), &candidates)
                .into_iter()
                .map(|index| live[index].info.cluster_address)
                .collect(),
        };
        if selected.is_empty() {
            selected.extend(&self.seeds);
        }
        selected.extend(self.peers_with_newer_config(&live));
        if self.freshness.awaits_first_reply() {
            // After a start or a pause the few selected peers may all be down. Until the first reply, all
            // live peers are pulled from, except proxies while a registry is live.
            let initial_targets =
                live.iter().filter(|peer| !has_live_registry || peer.info.role != Role::Proxy);
            selected.extend(initial_targets.map(|peer| peer.info.cluster_address));
        }
        // A peer that has just become unreachable is pulled from directly, once: it may be cut off from
        // all nodes except this one, and may not know this one.
        selected.extend(suspects);
        let live: BTreeSet<SocketAddr> =
            live.iter().map(|peer| peer.info.cluster_address).collect();
        selected.extend(self.next_retry_address(now, &live));
        let had_live_registry = std::mem::replace(&mut self.has_live_registry, has_live_registry);
        if had_live_registry != has_live_registry {
            // The node switches between relying on registries and on heartbeats, so every peer needs its
            // full state again.
            self.sessions.values_mut().for_each(|session| session.peer_has_state = false);
        }
        selected
    }

    /// The addresses to pull from while a registry is live: the nearest registry and one of another region,
    /// and the next registry if one of these does not reply. `None` if no registry is live.
    fn registry_addresses(
        &self,
        now: Duration,
        live: &[&Peer],
        candidates: &[Candidate<'_>],
    ) -> Option<Vec<SocketAddr>> {
        let hears_majority = |index: usize| live[index].status.hears_majority;
        let address = |index: usize| live[index].info.cluster_address;
        let own = candidate(&self.own_info);
        let ranked = rank_registries(&own, candidates, hears_majority);
        if ranked.is_empty() {
            return None;
        }
        // A registry that is cut off from the majority may have state that no other registry has.
        let minority = ranked.iter().copied().filter(|index| !hears_majority(*index));
        let mut selected: Vec<SocketAddr> = minority.map(address).collect();
        if self.own_info.role == Role::Registry {
            selected.extend(ranked.iter().copied().map(address));
            selected.extend(nearest_store(&own, candidates).map(address));
            return Some(selected);
        }
        if self.own_info.role == Role::Store {
            // Stores pull from each other, so that they learn of a commit at once whichever registry fails.
            let stores = live.iter().filter(|peer| peer.info.role == Role::Store);
            selected.extend(stores.map(|peer| peer.info.cluster_address));
        }
        let mut healthy_count = 0;
        for address in ranked.into_iter().map(address) {
            selected.push(address);
            let session = self.sessions.get(&address);
            let is_unhealthy = session.is_some_and(|session| session.is_unhealthy(now));
            healthy_count += usize::from(!is_unhealthy);
            if healthy_count >= LEAF_PULL_SESSIONS {
                break;
            }
        }
        Some(selected)
    }

    /// The addresses of live peers that have, or may have, a newer configuration than this node.
    fn peers_with_newer_config(&self, live: &[&Peer]) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        if self.own_info.role == Role::Registry {
            // The store that committed a configuration may be one that no registry pulls from.
            let newer = live.iter().filter(|peer| {
                peer.info.role == Role::Store && peer.status.revision > self.committed.revision
            });
            addresses.extend(newer.map(|peer| peer.info.cluster_address));
        }
        let required = self.read_index.required();
        let is_behind = required.is_some_and(|required| required > self.committed.revision);
        if self.read_index.established().is_none() && is_behind {
            // All registries may lag behind the read index, so stores are pulled from as well.
            let control_plane = live.iter().filter(|peer| peer.info.role != Role::Proxy);
            addresses.extend(control_plane.map(|peer| peer.info.cluster_address));
        }
        addresses
    }

    /// Once per [`SEED_RETRY_INTERVAL`], the next address among the unreachable peers and the seeds.
    fn next_retry_address(
        &mut self,
        now: Duration,
        live: &BTreeSet<SocketAddr>,
    ) -> Option<SocketAddr> {
        if now < self.next_seed_retry_at {
            return None;
        }
        self.next_seed_retry_at = now + SEED_RETRY_INTERVAL;
        let unreachable = self.unreachable_addresses(now).chain(self.seeds.iter().copied());
        let addresses: Vec<SocketAddr> =
            unreachable.filter(|address| !live.contains(address)).collect();
        if addresses.is_empty() {
            return None;
        }
        self.retry_count = self.retry_count.wrapping_add(1);
        Some(addresses[self.retry_count % addresses.len()])
    }

    fn start_pull(&mut self, now: Duration, address: SocketAddr, effects: &mut Vec<Effect>) {
        let is_registry = self
            .peers
            .iter()
            .any(|peer| peer.info.cluster_address == address && peer.info.role == Role::Registry);
        let Some(session) = self.sessions.get_mut(&address) else {
            return;
        };
        session.is_in_flight = true;
        session.sent_at = now;
        let sends_info = !session.peer_has_state;
        let is_leaf = self.own_info.role != Role::Registry && self.has_live_registry;
        let sends_versions = !(is_leaf && session.peer_has_state);
        let known_digest = session
            .unreachable
            .as_ref()
            .map_or(0, |report| unreachable_digest(&report.name_hashes));
        let observations_version = self.own_version.observations_version;
        let sends_observations =
            is_registry && session.sent_observations_version < observations_version;
        if sends_observations {
            session.sent_observations_version = observations_version;
        }
        // The first pulls do not wait, because the node learns of all other nodes from them.
        let wait_ms = if self.freshness.awaits_first_reply() {
            0
        } else {
            LONG_POLL_TIMEOUT.as_millis() as u32
        };
        let request = PullRequest {
            known_versions: sends_versions
                .then(|| self.peers.iter().map(|peer| (peer.name_hash, peer.version)).collect()),
            config_revision: self.committed.revision,
            endpoint_list_revision: self.endpoints.known_revision(),
            plan_version: self.plan.version(),
            sender: self.own_delta(sends_info, sends_observations),
            wait_ms,
            wants_observations: self.collects_observations_since.is_some(),
            is_leaf,
            unreachable_digest: known_digest,
            list_read_age_ms: (self.own_info.role == Role::Registry)
                .then(|| self.endpoints.latest_read(now).map(|read| read.age_ms))
                .flatten(),
        };
        effects.push(Effect::Pull { address, request });
    }

    /// This node's own entry, as it is sent with a pull.
    fn own_delta(&self, with_info: bool, with_observations: bool) -> NodeDelta {
        NodeDelta {
            name: self.own_info.name.clone(),
            version: self.own_version,
            age_ms: 0,
            info: with_info.then(|| self.own_info.clone()),
            status: Some(self.own_status.clone()),
            observations: with_observations.then(|| self.own_observations.clone()),
        }
    }

    /// Ends a pull. The next pull from the address starts at once, or after [`PULL_BACKOFF`] if this one
    /// failed.
    pub(super) fn finish_pull(
        &mut self,
        now: Duration,
        address: SocketAddr,
        outcome: PullOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(session) = self.sessions.get_mut(&address) else {
            return;
        };
        let has_failed = outcome == PullOutcome::Failed;
        session.is_in_flight = false;
        session.next_pull_at = if has_failed { now + PULL_BACKOFF } else { now };
        session.peer_has_state = outcome == PullOutcome::Answered;
        session.has_failed = has_failed;
        if has_failed {
            session.sent_observations_version = 0;
        }
        if !session.is_selected {
            self.sessions.remove(&address);
        } else if !has_failed {
            self.start_pull(now, address, effects);
        }
    }
}
