//! Outgoing pulls: which peers this node pulls from, and one session for each of them (design 5.2).

use super::{Effect, Gossip, Peer, candidate, unreachable_digest};
use crate::peer_selection::{Candidate, nearest_store, rank_registries, select_peers};
use crate::wire::{NodeDelta, PullRequest, Role};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// A leaf pulls from this many registries.
const LEAF_PULL_SESSIONS: usize = 2;
/// A pull that is unanswered for this long is slow: another registry is asked as well.
const SLOW_PULL_TIMEOUT: Duration = Duration::from_millis(1100);
/// A pull that finds nothing urgent waits for it this long (long polling).
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(700);
/// The pause after a failed pull.
pub const PULL_BACKOFF: Duration = Duration::from_millis(300);
/// How often one of the unreachable peers and seeds is tried.
const SEED_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A registry's last list of unreachable nodes.
#[derive(Clone, Debug)]
pub(super) struct UnreachableReport {
    pub(super) received_at: Duration,
    /// Hashes of their names, in order.
    pub(super) name_hashes: Vec<u32>,
}

impl UnreachableReport {
    pub(super) fn contains(&self, name_hash: u32) -> bool {
        self.name_hashes.binary_search(&name_hash).is_ok()
    }
}

/// The pulls from one address: at most one is in flight.
#[derive(Clone, Debug)]
pub(super) struct PullSession {
    is_in_flight: bool,
    /// When the pull in flight, or the last one, was sent: its reply is no fresher than that.
    pub(super) sent_at: Duration,
    next_pull_at: Duration,
    /// Not wanted any more, a session ends with the pull that is in flight.
    is_wanted: bool,
    /// The version of the own observations that were sent with the last pull to this registry.
    sent_observations_version: u64,
    /// The peer has this node's info and version vector from an earlier pull, unless it was restarted,
    /// and then the pull fails.
    peer_has_state: bool,
    /// At a leaf: whom this registry reported as unreachable last.
    pub(super) unreachable: Option<UnreachableReport>,
    /// The last pull failed.
    has_failed: bool,
}

impl PullSession {
    fn new(now: Duration) -> PullSession {
        PullSession {
            is_in_flight: false,
            sent_at: now,
            next_pull_at: now,
            is_wanted: true,
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

/// How a pull ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PullOutcome {
    Answered,
    /// Answered, but the peer does not know this node's versions: they have to be sent again.
    VersionsRequested,
    Failed,
}

impl Gossip {
    /// Begins and ends sessions so that this node pulls from whom it should, and sends the pulls that
    /// are due. `suspects` are pulled from once, whoever they are.
    pub(super) fn update_sessions(
        &mut self,
        now: Duration,
        suspects: Vec<SocketAddr>,
        effects: &mut Vec<Effect>,
    ) {
        let mut wanted = self.select_addresses(now, suspects);
        wanted.remove(&self.own_info.cluster_address);
        for (address, session) in &mut self.sessions {
            session.is_wanted = wanted.contains(address);
        }
        self.sessions.retain(|_, session| session.is_in_flight || session.is_wanted);
        for address in wanted {
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

    /// The addresses to pull from: registries where any is live, otherwise a few peers; in addition those
    /// that may know more, and in turn a seed or an unreachable peer.
    fn select_addresses(
        &mut self,
        now: Duration,
        suspects: Vec<SocketAddr>,
    ) -> BTreeSet<SocketAddr> {
        let live: Vec<&Peer> = self.live_peers(now).collect();
        let candidates: Vec<Candidate<'_>> =
            live.iter().map(|peer| candidate(&peer.info)).collect();
        let by_registries = self.registry_addresses(now, &live, &candidates);
        let has_live_registry = by_registries.is_some();
        let mut wanted: BTreeSet<SocketAddr> = match by_registries {
            Some(addresses) => addresses.into_iter().collect(),
            None => select_peers(&candidate(&self.own_info), &candidates)
                .into_iter()
                .map(|index| live[index].info.cluster_address)
                .collect(),
        };
        if wanted.is_empty() {
            wanted.extend(&self.seeds);
        }
        wanted.extend(self.better_informed(&live));
        if self.freshness.awaits_first_reply() {
            // After a start or a pause the few selected peers may all be gone: everyone is asked once.
            let asked =
                live.iter().filter(|peer| !has_live_registry || peer.info.role != Role::Proxy);
            wanted.extend(asked.map(|peer| peer.info.cluster_address));
        }
        // Whoever has just become unreachable is asked directly, once: it may be cut off from all nodes
        // but this one, which it does not know of.
        wanted.extend(suspects);
        let live: BTreeSet<SocketAddr> =
            live.iter().map(|peer| peer.info.cluster_address).collect();
        wanted.extend(self.next_retry_address(now, &live));
        let had_live_registry = std::mem::replace(&mut self.has_live_registry, has_live_registry);
        if had_live_registry != has_live_registry {
            // Heartbeats count from now on, or do not any more: everyone gets this node's whole state again.
            self.sessions.values_mut().for_each(|session| session.peer_has_state = false);
        }
        wanted
    }

    /// Whom a node pulls from while a registry is live: the nearest registry and one of another region, and
    /// the next one where one does not reply. `None` where no registry is live.
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
        // A registry without a majority may be cut off together with what nobody else knows.
        let minority = ranked.iter().copied().filter(|index| !hears_majority(*index));
        let mut wanted: Vec<SocketAddr> = minority.map(address).collect();
        if self.own_info.role == Role::Registry {
            wanted.extend(ranked.iter().copied().map(address));
            wanted.extend(nearest_store(&own, candidates).map(address));
            return Some(wanted);
        }
        if self.own_info.role == Role::Store {
            // What one store knows as committed all of them know at once, whichever registry is gone.
            let stores = live.iter().filter(|peer| peer.info.role == Role::Store);
            wanted.extend(stores.map(|peer| peer.info.cluster_address));
        }
        let mut healthy = 0;
        for address in ranked.into_iter().map(address) {
            wanted.push(address);
            let session = self.sessions.get(&address);
            let is_unhealthy = session.is_some_and(|session| session.is_unhealthy(now));
            healthy += usize::from(!is_unhealthy);
            if healthy >= LEAF_PULL_SESSIONS {
                break;
            }
        }
        Some(wanted)
    }

    /// Live peers that have, or may have, a newer configuration than this node.
    fn better_informed(&self, live: &[&Peer]) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        if self.own_info.role == Role::Registry {
            // A store that nobody pulls from may be the one that committed it.
            let newer = live.iter().filter(|peer| {
                peer.info.role == Role::Store && peer.status.revision > self.committed.revision
            });
            addresses.extend(newer.map(|peer| peer.info.cluster_address));
        }
        let required = self.read_index.required();
        let is_below = required.is_some_and(|required| required > self.committed.revision);
        if self.read_index.established().is_none() && is_below {
            // All registries may lag behind the read index: stores are asked as well.
            let control_plane = live.iter().filter(|peer| peer.info.role != Role::Proxy);
            addresses.extend(control_plane.map(|peer| peer.info.cluster_address));
        }
        addresses
    }

    /// Each [`SEED_RETRY_INTERVAL`] the next one of the unreachable peers and the seeds.
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
        self.retry_turn = self.retry_turn.wrapping_add(1);
        Some(addresses[self.retry_turn % addresses.len()])
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
        let digest = session
            .unreachable
            .as_ref()
            .map_or(0, |report| unreachable_digest(&report.name_hashes));
        let observations_version = self.own_version.observations_version;
        let sends_observations =
            is_registry && session.sent_observations_version < observations_version;
        if sends_observations {
            session.sent_observations_version = observations_version;
        }
        // The first pulls do not wait: through them the node learns of all others.
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
            unreachable_digest: digest,
            list_read_age_ms: (self.own_info.role == Role::Registry)
                .then(|| self.endpoints.latest_read(now).map(|read| read.age_ms))
                .flatten(),
        };
        effects.push(Effect::Pull { address, request });
    }

    /// This node's own entry.
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

    /// After a pull: the next one follows at once, or after a pause where this one failed.
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
        if !session.is_wanted {
            self.sessions.remove(&address);
        } else if !has_failed {
            self.start_pull(now, address, effects);
        }
    }
}
