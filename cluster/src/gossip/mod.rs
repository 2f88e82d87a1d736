//! Gossip: the soft state of the fleet, spread by pulls. Each node is the source of its own entry. A pull
//! names the versions that its sender has, one for each node, and is answered with whatever is newer; it
//! waits for urgent changes (long polling). The scheme follows the version vectors of Scuttlebutt
//! (van Renesse et al., "Efficient Reconciliation and Flow Control for Anti-Entropy Protocols", 2008), with
//! registries as hubs for the other nodes, the leaves (design 5.3).
//!
//! [`Gossip`] is a pure state machine: events and the time go in, effects come out.
//!
//! - `peer`: one peer and the rule by which it is live
//! - `failure_detection`: which peers are live
//! - `pull_session`: outgoing pulls
//! - `pending_pull`: incoming pulls that wait
//! - `response`: what pulls are answered with
//! - `merge`: taking in what peers sent
//! - `freshness`: whether what is known is current
//! - `read_index_requests`: how the read index is established after a start
//! - `observation_interest`: whether this registry collects proxies' observations

mod failure_detection;
mod freshness;
mod merge;
mod observation_interest;
mod peer;
mod pending_pull;
mod pull_session;
mod read_index_requests;
mod response;

pub use freshness::{
    ISOLATED_FRESHNESS_TIMEOUT, ISOLATION_TIMEOUT, PAUSE_THRESHOLD, PEER_FRESHNESS_TIMEOUT,
    READINESS_TIMEOUT,
};
pub use peer::{FORGET_TIMEOUT, HEARTBEAT_INTERVAL, NODE_TIMEOUT, Peer, REGISTRY_TIMEOUT};
pub use pull_session::{LONG_POLL_TIMEOUT, PULL_BACKOFF};

use crate::endpoint_cache::EndpointCache;
use crate::peer_selection::Candidate;
use crate::read_index::ReadIndex;
use crate::wire::{
    CommittedConfig, NodeInfo, NodeStatus, NodeVersion, ProxyObservations, PullRequest,
    PullResponse, Role, TrafficShiftPlan, name_hash,
};
use freshness::Freshness;
use pending_pull::PendingPull;
use pull_session::{PullSession, UnreachableReport};
use response::unreachable_digest;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use vanepath_config::endpoint_list::EndpointList;
use vanepath_config::stable_hash;

/// Peers known at one time, so that a peer that makes up names cannot fill the memory. Six times the
/// design size (docs/CAPACITY.md).
pub const MAX_PEERS: usize = 4096;

/// What happens to a node, as far as gossip is concerned.
pub enum Event {
    /// Time passes; due every 50 ms.
    Tick,
    /// A peer pulls; the response goes out under the ticket, at once or later.
    PullReceived {
        /// Chosen by the shell, one for each pull.
        ticket: u64,
        /// The pull.
        request: PullRequest,
    },
    /// The requester of a pending pull is gone.
    PullAbandoned {
        /// The ticket of that pull.
        ticket: u64,
    },
    /// Nobody listens at a peer's address.
    ConnectionRefused {
        /// The cluster address.
        address: SocketAddr,
    },
    /// A pull of this node's ended.
    PullCompleted {
        /// The cluster address that was pulled from.
        address: SocketAddr,
        /// `None`: the pull failed.
        response: Option<Box<PullResponse>>,
    },
    /// This node's own status.
    StatusChanged(NodeStatus),
    /// What this proxy observed of servers.
    ObservationsChanged(ProxyObservations),
    /// At a store: a version that a majority of stores has accepted.
    ConfigCommitted(Arc<CommittedConfig>),
    /// An endpoint list from elsewhere than a peer.
    EndpointListReceived(Arc<EndpointList>),
    /// This node has read the endpoint list from the platform.
    EndpointListRead {
        /// The list that is current by that.
        list: Arc<EndpointList>,
        /// When the read began, on this node's clock.
        began_at: Duration,
    },
    /// A traffic-shift plan, by this node as the leader or from its disk.
    PlanReceived(Arc<TrafficShiftPlan>),
    /// An operator asks this registry for the observations of proxies.
    ObservationsWanted,
    /// The settings name other seeds from now on.
    SeedsChanged(Vec<SocketAddr>),
    /// A store that was asked for the read index replied, or failed to (design 5.8).
    ReadIndexReceived {
        /// The store's cluster address.
        address: SocketAddr,
        /// The highest revision that a majority of stores holds; `None`: it could not determine that.
        revision: Option<u64>,
    },
}

/// What the shell has to do after a step, in this order.
#[derive(Debug)]
pub enum Effect {
    /// Send a pull.
    Pull {
        /// The cluster address to pull from.
        address: SocketAddr,
        /// The pull.
        request: PullRequest,
    },
    /// Answer a pull.
    Respond {
        /// The ticket of the pull.
        ticket: u64,
        /// The answer.
        response: PullResponse,
    },
    /// Ask a store for the read index.
    RequestReadIndex {
        /// The store's cluster address.
        address: SocketAddr,
    },
    /// Something that readers of the cluster view care about has changed.
    ViewChanged,
    /// Something to log.
    Log(LogEvent),
}

/// An incident that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum LogEvent {
    /// The process was paused: the machine was suspended, or had no time for it.
    #[strum(serialize = "resumed after a pause of the process")]
    ResumedAfterPause,
    /// Peers knew a later incarnation of this node's name.
    #[strum(serialize = "raised the own incarnation above another one of this name")]
    IncarnationRaised,
    /// A node was ignored because [`MAX_PEERS`] are known already.
    #[strum(serialize = "too many peers; a new one is ignored")]
    TooManyPeers,
}

/// The gossip state of one node.
pub struct Gossip {
    own_info: NodeInfo,
    own_version: NodeVersion,
    own_status: NodeStatus,
    own_observations: ProxyObservations,
    own_name_hash: u32,
    seeds: Vec<SocketAddr>,
    /// All known peers, live or not.
    pub peers: Vec<Peer>,
    /// The index in `peers` by name.
    peer_indices: HashMap<String, usize>,
    /// The hashes of all known names, the own one included.
    known_name_hashes: HashSet<u32>,
    /// The newest committed configuration that is known here; in force once the read index is established.
    pub committed: Arc<CommittedConfig>,
    /// The endpoint list.
    pub endpoints: EndpointCache,
    /// The newest traffic-shift plan.
    pub plan: Arc<TrafficShiftPlan>,
    sessions: BTreeMap<SocketAddr, PullSession>,
    pending_pulls: Vec<PendingPull>,
    /// At a registry: the versions that each leaf has, by the leaf's name.
    leaf_versions: HashMap<String, HashMap<u32, NodeVersion>>,
    /// At a registry: the name hashes of unreachable peers, in order.
    unreachable_hashes: Vec<u32>,
    /// Counts what requesters are to know at once. What was not urgent for a requester stays so until the
    /// next change.
    urgent_changes: u64,
    /// `urgent_changes` when the pending pulls were last checked.
    checked_urgent_changes: u64,
    /// When a registry last reported who is unreachable.
    registry_report_at: Option<Duration>,
    /// Any registry is live: this node pulls from registries.
    has_live_registry: bool,
    /// Addresses of peers whose connections ended lately; they are pulled from with the next tick.
    suspects: Vec<SocketAddr>,
    collects_observations_since: Option<Duration>,
    collects_observations_until: Duration,
    next_heartbeat_at: Duration,
    next_seed_retry_at: Duration,
    /// Counts the retries of unreachable peers and seeds.
    retry_turn: usize,
    freshness: Freshness,
    read_index: ReadIndex,
    /// The highest revision that each name ever reported as active, over all its incarnations.
    highest_active_revisions: HashMap<String, u64>,
    /// The highest revision that anyone reported as active, directly or by way of others.
    highest_reported_revision: u64,
}

impl Gossip {
    /// The state of a node that has just started. `incarnation` has to be higher than that of any earlier
    /// start under this name; where it is not, the node raises it as soon as it hears of that.
    pub fn new(
        own_info: NodeInfo,
        seeds: Vec<SocketAddr>,
        incarnation: u64,
        now: Duration,
    ) -> Gossip {
        let seeds = seeds.into_iter().filter(|seed| *seed != own_info.cluster_address).collect();
        // Each node begins its retries elsewhere, so that between them they soon try all addresses.
        let retry_turn = stable_hash(&["turn", &own_info.name]) as usize;
        let own_name_hash = name_hash(&own_info.name);
        Gossip {
            own_info,
            own_version: NodeVersion {
                incarnation,
                counter: 1,
                status_version: 1,
                observations_version: 0,
            },
            own_status: NodeStatus::default(),
            own_observations: ProxyObservations::default(),
            own_name_hash,
            seeds,
            peers: Vec::new(),
            peer_indices: HashMap::new(),
            known_name_hashes: [own_name_hash].into(),
            committed: Arc::default(),
            endpoints: EndpointCache::default(),
            plan: Arc::default(),
            sessions: BTreeMap::new(),
            pending_pulls: Vec::new(),
            leaf_versions: HashMap::new(),
            unreachable_hashes: Vec::new(),
            urgent_changes: 1,
            checked_urgent_changes: 0,
            registry_report_at: None,
            has_live_registry: false,
            suspects: Vec::new(),
            collects_observations_since: None,
            collects_observations_until: now,
            next_heartbeat_at: now,
            next_seed_retry_at: now,
            retry_turn,
            freshness: Freshness::new(now),
            read_index: ReadIndex::new(now),
            highest_active_revisions: HashMap::new(),
            highest_reported_revision: 0,
        }
    }

    /// Who this node is.
    pub fn node_info(&self) -> &NodeInfo {
        &self.own_info
    }

    /// This node's status as other nodes get it.
    pub fn node_status(&self) -> &NodeStatus {
        &self.own_status
    }

    /// The version of this node's own entry.
    pub fn node_version(&self) -> NodeVersion {
        self.own_version
    }

    /// The read index of this incarnation, established or not.
    pub fn read_index(&self) -> &ReadIndex {
        &self.read_index
    }

    /// The highest revision that each name reported as active there, over all its incarnations.
    pub fn highest_active_revisions(&self) -> &HashMap<String, u64> {
        &self.highest_active_revisions
    }

    /// Whether what is known here was refreshed since the start or the last pause (design 5.5): by a
    /// registry, or by any peer when no registry replied for [`PEER_FRESHNESS_TIMEOUT`]. A node that gets
    /// no reply at all acts on what it has after [`ISOLATED_FRESHNESS_TIMEOUT`].
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.freshness.is_fresh(now)
    }

    /// Takes in one event at `now`, monotonic time since the start of the node.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        // Whatever comes first after a pause must not be taken for current.
        self.handle_pause(now, &mut effects);
        let is_tick = matches!(event, Event::Tick);
        self.handle_event(now, event, &mut effects);
        self.check_read_index(now, &mut effects);
        self.request_read_index(now, &mut effects);
        if is_tick || self.urgent_changes != self.checked_urgent_changes {
            self.checked_urgent_changes = self.urgent_changes;
            self.respond_to_pending(now, &mut effects);
        }
        effects
    }

    fn handle_event(&mut self, now: Duration, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.on_tick(now, effects),
            Event::PullReceived { ticket, request } => {
                self.on_pull_received(now, ticket, request, effects);
            }
            Event::PullAbandoned { ticket } => self.on_pull_abandoned(ticket),
            Event::ConnectionRefused { address } => {
                self.on_connection_refused(now, address, effects);
            }
            Event::PullCompleted { address, response } => {
                self.on_pull_completed(now, address, response, effects);
            }
            Event::StatusChanged(status) => self.on_status_changed(status, effects),
            Event::ObservationsChanged(observations) => self.on_observations_changed(observations),
            Event::ConfigCommitted(config) => self.on_config_committed(now, config, effects),
            Event::EndpointListReceived(list) => {
                let is_new = self.endpoints.apply(list);
                self.on_endpoint_list_applied(is_new, effects);
            }
            Event::EndpointListRead { list, began_at } => {
                let revision = list.revision;
                let is_new = self.endpoints.apply(list);
                self.on_endpoint_list_applied(is_new, effects);
                self.record_list_read(revision, began_at);
            }
            Event::PlanReceived(plan) => self.apply_plan(plan, effects),
            Event::ObservationsWanted => self.on_observations_wanted(now),
            Event::SeedsChanged(mut seeds) => {
                seeds.retain(|seed| *seed != self.own_info.cluster_address);
                self.seeds = seeds;
            }
            Event::ReadIndexReceived { address, revision } => {
                self.on_read_index_received(now, address, revision);
            }
        }
    }

    fn handle_pause(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if let Some(pause) = self.freshness.detect_pause(now) {
            self.extend_heartbeats(now, pause);
            self.read_index.restart_wait(now);
            effects.push(Effect::Log(LogEvent::ResumedAfterPause));
            effects.push(Effect::ViewChanged);
        }
    }

    fn on_tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.freshness.on_tick(now);
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.own_version.counter += 1;
        }
        self.forget_peers(now);
        let mut suspects = std::mem::take(&mut self.suspects);
        self.detect_failures(now, &mut suspects, effects);
        self.update_unreachable_list(now);
        self.update_observation_interest(now);
        self.update_sessions(now, suspects, effects);
    }

    fn on_status_changed(&mut self, mut status: NodeStatus, effects: &mut Vec<Effect>) {
        // Nothing is in force here before the read index is established.
        status.revision = status.revision.min(self.active_revision());
        if status != self.own_status {
            self.own_status = status;
            self.own_version.status_version += 1;
            self.own_version.counter += 1;
            self.urgent_changes += 1;
            effects.push(Effect::ViewChanged);
        }
    }

    fn on_observations_changed(&mut self, observations: ProxyObservations) {
        if observations != self.own_observations {
            self.own_observations = observations;
            self.own_version.observations_version += 1;
        }
    }

    fn on_config_committed(
        &mut self,
        now: Duration,
        config: Arc<CommittedConfig>,
        effects: &mut Vec<Effect>,
    ) {
        // A majority of stores has confirmed it since this one started (design 6.2).
        if self.own_info.role == Role::Store {
            self.read_index.on_store_reply(now, &self.own_info.name, Some(config.revision));
        }
        self.apply_config(config, effects);
    }

    /// The name of the peer at a cluster address, or else the address.
    fn name_at(&self, address: SocketAddr) -> String {
        let peer = self.peers.iter().find(|peer| peer.info.cluster_address == address);
        peer.map_or_else(|| address.to_string(), |peer| peer.info.name.clone())
    }
}

fn candidate(info: &NodeInfo) -> Candidate<'_> {
    Candidate { name: &info.name, role: info.role, region: &info.region, zone: &info.zone }
}

#[cfg(test)]
mod tests;
