//! The nodes of the fleet: stores, registries and proxies.

use super::disk::Disk;
use super::proxy::Proxy;
use crate::sim::network::{CallId, HostId};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::request_fence::RequestFence;
use vanepath_cluster::{gossip, wire};
use vanepath_config::endpoint_list::EndpointList;
use vanepath_registry::discovery::sequencer::ListSequencer;
use vanepath_registry::leader::LeadershipReadiness;
use vanepath_registry::store_client::StoreRequest;
use vanepath_store::consensus::{self, Replica};
use vanepath_store::hints::HintWriter;
use vanepath_store::shell::StoreDirectory;

/// The state of a store: the consensus core and its disk.
pub struct Store {
    /// The replica's name and the size of the first member table.
    pub identity: consensus::Identity,
    /// The consensus core.
    pub core: Replica,
    /// The disk, which outlives the process.
    pub disk: Disk,
    /// Events that wait until the write in flight is complete.
    pub(in crate::sim) inbox: VecDeque<consensus::Event>,
    /// Effects of the last event that are not carried out yet.
    pub(in crate::sim) pending_effects: VecDeque<consensus::Effect>,
    /// Whether a write is in flight.
    pub(in crate::sim) is_writing: bool,
    /// Whether a write failed and the disk has not been read again since.
    pub(in crate::sim) disk_failed: bool,
    pub(in crate::sim) directory: StoreDirectory,
    pub(in crate::sim) hint_writer: HintWriter,
}

/// The state of a registry: operators' calls to the stores, reads of the endpoint list, and the
/// traffic-shift plan.
#[derive(Default)]
pub struct Registry {
    /// The calls to the stores in progress, each with the operator's call that it answers.
    pub(in crate::sim) store_calls: HashMap<usize, (StoreRequest, CallId)>,
    pub(in crate::sim) next_store_call: usize,
    /// What it knew when a request that it reads may have been sent.
    pub(in crate::sim) request_fence: RequestFence,
    /// Whether it reports that it is ready.
    pub ready: bool,
    pub(in crate::sim) next_plan_at: Duration,
    pub(in crate::sim) leadership: LeadershipReadiness,
    pub(in crate::sim) last_poll_at: Option<Duration>,
    /// Assigns revisions to the lists of a platform that does not number them. Each incarnation has
    /// a new one.
    pub(in crate::sim) list_sequencer: Option<ListSequencer>,
    /// The list whose pages are being read.
    pub(in crate::sim) arriving_list: Option<Arc<EndpointList>>,
}

/// The state of a node's role.
pub enum RoleState {
    /// A store.
    Store(Box<Store>),
    /// A registry.
    Registry(Box<Registry>),
    /// A proxy.
    Proxy(Box<Proxy>),
}

/// A change of a node's configuration revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevisionChange {
    /// When the node got the revision.
    pub at: Duration,
    /// The incarnation of the node.
    pub incarnation: u32,
    /// The revision.
    pub revision: u64,
}

/// A period in which a node's process did not run.
#[derive(Clone, Copy, Debug)]
pub struct DownPeriod {
    /// When the process ended.
    pub from: Duration,
    /// When it was started again; `None` while it is down.
    pub to: Option<Duration>,
}

/// A node of the fleet, on a host of its own.
pub struct Node {
    /// Its host.
    pub host: HostId,
    /// Its name, role, location and addresses.
    pub info: wire::NodeInfo,
    /// The gossip core.
    pub gossip: gossip::Gossip,
    /// The view of the cluster that the gossip core gives to the role.
    pub view: Arc<ClusterView>,
    /// The state of its role.
    pub role_state: RoleState,
    /// Whether it was asked to stop and is draining.
    pub is_draining: bool,
    /// The seed addresses in its settings.
    pub seeds: Vec<SocketAddr>,
    /// The committed revisions that its view had, over all incarnations.
    pub revisions: Vec<RevisionChange>,
    /// The revisions that it routed by or served to other nodes, over all incarnations.
    pub effective_revisions: Vec<RevisionChange>,
    /// Whether it reports that it is ready.
    pub is_ready: bool,
    /// The periods in which its process was down.
    pub down_periods: Vec<DownPeriod>,
}
