//! Pull-based gossip, which replicates the soft state of the fleet. Each node is the source of its own
//! entry. A pull carries its sender's version vector and is answered with all newer entries; without an
//! urgent change it waits for one (long polling). The scheme follows the version vectors of Scuttlebutt
//! (van Renesse et al., "Efficient Reconciliation and Flow Control for Anti-Entropy Protocols", 2008), with
//! registries as hubs for the other nodes, the leaves (design 5.3).
//!
//! [`Gossip`] is a state machine without I/O: events and the time are its input, effects its output.
//!
//! - `peer`: the state of one peer and the rule by which it is live
//! - `failure_detection`: which peers are live
//! - `pull_session`: outgoing pulls
//! - `pending_pull`: incoming pulls that wait for an urgent change
//! - `response`: the responses to pulls
//! - `merge`: merging received state
//! - `freshness`: whether the local state is current
//! - `read_index_requests`: how the read index is established after a start
//! - `observation_interest`: whether this registry collects the observations of proxies

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

use crate::config_lease::{ConfigLease, ConfigLeaseView};
use crate::endpoint_cache::EndpointCache;
use crate::peer_selection::Candidate;
use crate::read_index::ReadIndex;
use crate::wire::{
    CommittedConfig, ListReading, NodeInfo, NodeStatus, NodeVersion, ProxyObservations,
    PullRequest, PullResponse, Role, TrafficShiftPlan, name_hash,
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

/// The maximum number of known peers, so that a peer that invents names cannot exhaust memory. Six times the
/// fleet size that the design assumes (docs/CAPACITY.md).
pub const MAX_PEERS: usize = 4096;

/// An input of the gossip state machine.
pub enum Event {
    /// Time has passed; expected every 50 ms.
    Tick,
    /// A pull was received from a peer. The response has the same ticket and is sent at once or later.
    PullReceived {
        /// The identifier of the pull, unique at this node and assigned by the shell.
        ticket: u64,
        /// The pull.
        request: PullRequest,
    },
    /// The requester of a pending pull has disconnected.
    PullAbandoned {
        /// The ticket of that pull.
        ticket: u64,
    },
    /// A peer's address refused a connection.
    ConnectionRefused {
        /// The cluster address.
        address: SocketAddr,
    },
    /// A pull sent by this node has ended.
    PullCompleted {
        /// The cluster address that was pulled from.
        address: SocketAddr,
        /// The response; `None`: the pull failed.
        response: Option<Box<PullResponse>>,
    },
    /// This node's own status has changed.
    StatusChanged(NodeStatus),
    /// This proxy's observations of servers have changed.
    ObservationsChanged(ProxyObservations),
    /// At a store: a majority of stores has accepted this configuration.
    ConfigCommitted(Arc<CommittedConfig>),
    /// At a store: a read from a quorum of stores has shown this committed revision.
    RevisionConfirmed {
        /// The revision: nothing newer was committed before the read began.
        revision: u64,
        /// When the read began, on this node's clock.
        began_at: Duration,
    },
    /// An endpoint list was received from a source other than a peer.
    EndpointListReceived(Arc<EndpointList>),
    /// This node has read the endpoint list from the platform.
    EndpointListRead {
        /// The list that was read.
        list: Arc<EndpointList>,
        /// When the read began, on this node's clock.
        began_at: Duration,
    },
    /// This registry reads the endpoint list better or worse than before.
    ListReadingChanged(ListReading),
    /// This node has computed a traffic-shift plan as the leader, or has loaded one from its disk.
    PlanReceived(Arc<TrafficShiftPlan>),
    /// An operator has requested the observations of proxies from this registry.
    ObservationsWanted,
    /// The seeds in the settings have changed.
    SeedsChanged(Vec<SocketAddr>),
    /// A request to a store for the read index has ended (design 5.8).
    ReadIndexReceived {
        /// The store's cluster address.
        address: SocketAddr,
        /// When the request was sent, on this node's clock.
        requested_at: Duration,
        /// The highest revision that a majority of stores holds; `None`: the store did not reply, or could
        /// not determine it.
        revision: Option<u64>,
    },
}

/// An output of the gossip state machine, which the shell carries out. The effects of a step are carried out
/// in order.
#[derive(Debug)]
pub enum Effect {
    /// Send a pull.
    Pull {
        /// The cluster address to pull from.
        address: SocketAddr,
        /// The pull.
        request: PullRequest,
    },
    /// Respond to a pull.
    Respond {
        /// The ticket of the pull.
        ticket: u64,
        /// The response.
        response: PullResponse,
    },
    /// Ask a store for the read index.
    RequestReadIndex {
        /// The store's cluster address.
        address: SocketAddr,
    },
    /// State that is part of the cluster view has changed.
    ViewChanged,
    /// Log an event.
    Log(LogEvent),
}

/// An event that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum LogEvent {
    /// The process was paused: the machine was suspended, or did not schedule the process.
    #[strum(serialize = "resumed after a pause of the process")]
    ResumedAfterPause,
    /// Peers knew a later incarnation of this node's name, so this node has raised its own.
    #[strum(serialize = "raised the own incarnation above another one of this name")]
    IncarnationRaised,
    /// A new node was ignored because [`MAX_PEERS`] are known already.
    #[strum(serialize = "too many peers; a new one is ignored")]
    TooManyPeers,
}

/// The gossip state of one node.
pub struct Gossip {
    own_info: NodeInfo,
    own_version: NodeVersion,
    own_status: NodeStatus,
    own_observations: ProxyObservations,
    /// At a registry: how well it reads the endpoint list.
    own_list_reading: Option<ListReading>,
    own_name_hash: u32,
    seeds: Vec<SocketAddr>,
    /// All known peers, live or not.
    pub peers: Vec<Peer>,
    /// The indices in `peers`, by name.
    peer_indices: HashMap<String, usize>,
    /// The hashes of all known names, including this node's.
    known_name_hashes: HashSet<u32>,
    /// The newest known committed configuration; active once the read index is established.
    pub committed: Arc<CommittedConfig>,
    /// The name of the node that this node received it from; its own name at the store that committed it.
    pub committed_from: String,
    config_lease: ConfigLease,
    /// The endpoint list.
    pub endpoints: EndpointCache,
    /// The newest traffic-shift plan.
    pub plan: Arc<TrafficShiftPlan>,
    sessions: BTreeMap<SocketAddr, PullSession>,
    pending_pulls: Vec<PendingPull>,
    /// At a registry: the versions that each leaf has, by the leaf's name.
    leaf_versions: HashMap<String, HashMap<u32, NodeVersion>>,
    /// At a registry: the name hashes of unreachable peers, sorted.
    unreachable_hashes: Vec<u32>,
    /// The number of urgent changes, which requesters must learn of at once. A pull without an urgent change
    /// at one count has none until the count increases.
    urgent_changes: u64,
    /// The value of `urgent_changes` when the pending pulls were last checked.
    checked_urgent_changes: u64,
    /// When a registry last reported its list of unreachable nodes.
    registry_report_at: Option<Duration>,
    /// Whether any registry is live; if so, this node pulls from registries.
    has_live_registry: bool,
    /// The addresses of peers whose connections ended recently; they are pulled from at the next tick.
    suspects: Vec<SocketAddr>,
    collects_observations_since: Option<Duration>,
    operator_interest_until: Duration,
    next_heartbeat_at: Duration,
    next_seed_retry_at: Duration,
    /// The number of retries of unreachable peers and seeds, which determines the next address to try.
    retry_count: usize,
    freshness: Freshness,
    read_index: ReadIndex,
    /// The highest revision that each name ever reported as active, across its incarnations.
    highest_active_revisions: HashMap<String, u64>,
    /// The highest revision that any node reported as active, directly or through other nodes.
    highest_reported_revision: u64,
}

impl Gossip {
    /// The state of a node that has just started. `incarnation` should be higher than that of any earlier
    /// start under this name; if it is not, the node raises it once it learns of the higher one.
    pub fn new(
        own_info: NodeInfo,
        seeds: Vec<SocketAddr>,
        incarnation: u64,
        now: Duration,
    ) -> Gossip {
        let seeds = seeds.into_iter().filter(|seed| *seed != own_info.cluster_address).collect();
        // Each node starts its retries at a different address, so that together they soon try all of them.
        let retry_count = stable_hash(&["turn", &own_info.name]) as usize;
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
            own_list_reading: None,
            own_name_hash,
            seeds,
            peers: Vec::new(),
            peer_indices: HashMap::new(),
            known_name_hashes: [own_name_hash].into(),
            committed: Arc::default(),
            committed_from: String::new(),
            config_lease: ConfigLease::default(),
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
            operator_interest_until: now,
            next_heartbeat_at: now,
            next_seed_retry_at: now,
            retry_count,
            freshness: Freshness::new(now),
            read_index: ReadIndex::new(now),
            highest_active_revisions: HashMap::new(),
            highest_reported_revision: 0,
        }
    }

    /// This node's identity.
    pub fn node_info(&self) -> &NodeInfo {
        &self.own_info
    }

    /// This node's status, as it is sent to other nodes.
    pub fn node_status(&self) -> &NodeStatus {
        &self.own_status
    }

    /// The version of this node's own entry.
    pub fn node_version(&self) -> NodeVersion {
        self.own_version
    }

    /// The state of this incarnation's read index.
    pub fn read_index(&self) -> &ReadIndex {
        &self.read_index
    }

    /// The highest revision that each name reported as active, across its incarnations.
    pub fn highest_active_revisions(&self) -> &HashMap<String, u64> {
        &self.highest_active_revisions
    }

    /// Whether the local state was refreshed since the start or the last pause (design 5.5): by a reply of a
    /// registry or synced store or, after [`PEER_FRESHNESS_TIMEOUT`], by a reply of any peer. A node that
    /// receives no reply counts as fresh after [`ISOLATED_FRESHNESS_TIMEOUT`] and acts on the state that it
    /// has.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.freshness.is_fresh(now)
    }

    /// How well the other registries read the endpoint list, by name, as far as they have told this one.
    pub fn list_readings(&self) -> BTreeMap<String, ListReading> {
        let readings = self.peers.iter().filter_map(|peer| {
            let reading = peer.list_reading?;
            Some((peer.info.name.clone(), reading))
        });
        readings.collect()
    }

    /// The lease on this node's configuration (design 5.9).
    pub fn config_lease(&self) -> ConfigLeaseView {
        ConfigLeaseView {
            config_revision: self.committed.config_revision,
            confirmed_at: self.config_lease.confirmed_at(),
            is_behind: self.config_lease.is_behind(self.committed.revision),
        }
    }

    /// Records a quorum read that showed this committed revision.
    fn record_config_read(&mut self, revision: u64, began_at: Duration) {
        self.config_lease.record_read(self.committed.revision, revision, began_at);
    }

    /// Handles one event at `now`, the monotonic time since the start of the node.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        // The first event after a pause may carry data from before it, which must not count as fresh.
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
            Event::RevisionConfirmed { revision, began_at } => {
                self.record_config_read(revision, began_at);
            }
            Event::EndpointListReceived(list) => {
                let is_new = self.endpoints.apply(list, None);
                self.on_endpoint_list_applied(is_new, effects);
            }
            Event::EndpointListRead { list, began_at } => {
                let revision = list.revision;
                let is_new = self.endpoints.apply(list, Some(began_at));
                self.on_endpoint_list_applied(is_new, effects);
                self.record_list_read(revision, began_at, effects);
            }
            Event::ListReadingChanged(reading) => {
                self.own_list_reading = Some(reading);
                self.urgent_changes += 1;
            }
            Event::PlanReceived(plan) => self.apply_plan(plan, effects),
            Event::ObservationsWanted => self.on_observations_wanted(now),
            Event::SeedsChanged(mut seeds) => {
                seeds.retain(|seed| *seed != self.own_info.cluster_address);
                self.seeds = seeds;
            }
            Event::ReadIndexReceived { address, requested_at, revision } => {
                self.on_read_index_received(now, address, requested_at, revision);
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
        // No configuration is active before the read index is established.
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
        // A majority of stores has confirmed this configuration since this store started (design 6.2), which
        // establishes its read index.
        if self.own_info.role == Role::Store {
            self.read_index.on_store_reply(now, &self.own_info.name, Some(config.revision));
        }
        let own_name = self.own_info.name.clone();
        self.apply_config(config, own_name, effects);
    }

    /// The name of the peer at a cluster address, or the address itself if the peer is not known.
    fn peer_name_at(&self, address: SocketAddr) -> String {
        let peer = self.peers.iter().find(|peer| peer.info.cluster_address == address);
        peer.map_or_else(|| address.to_string(), |peer| peer.info.name.clone())
    }
}

fn candidate(info: &NodeInfo) -> Candidate<'_> {
    Candidate { name: &info.name, role: info.role, region: &info.region, zone: &info.zone }
}

#[cfg(test)]
mod tests;
