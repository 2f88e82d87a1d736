//! The state of a simulation. The modules [`control`](super::control), [`traffic`](super::traffic)
//! and [`scenario`](super::scenario) act on it.

mod action;
mod disk;
mod node;
mod operators;
mod proxy;
mod reachability;
mod tenancy;
mod traffic;

pub use action::Action;
pub use disk::Disk;
pub use node::{DownPeriod, Node, Registry, RevisionChange, RoleState, Store};
pub use operators::{Evacuation, EvacuationSeries, KEYLESS_CALL_TIMEOUT, Operation, OperatorCall};
pub use proxy::Proxy;
pub(in crate::sim) use proxy::{AttemptInProgress, RequestInProgress};
pub use reachability::{
    KnowableRevisions, KnownRevisions, Reachability, ZoneDrain, knowable_since,
};
pub use tenancy::{CONFIG_LEASE, Tenancy, TenantRun};
pub(in crate::sim) use traffic::Connection;
pub use traffic::{
    Client, FailureMode, ProxyArrival, Request, RequestKind, Server, ServerArrival, ServerDrain,
    ServerRestart, SteeringPoll, World,
};

use super::crash_points::PlannedCrash;
use super::mutations::Mutation;
use super::network::{Delays, Event, HostId, Network};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::wire::{CommittedConfig, Role};
use vanepath_config::endpoint_list::EndpointList;

/// The time at which the first fault of a scenario begins. The fleet is up by then.
pub const FAULTS_BEGIN: Duration = Duration::from_secs(12);

/// A simulated fleet with its operators, clients, servers and platform.
pub struct Sim {
    /// The network, the clock and all events.
    pub net: Network,
    /// All nodes, including those whose machines were replaced.
    pub nodes: Vec<Node>,
    /// The node on a host.
    pub node_by_host: HashMap<HostId, usize>,
    /// The operators' host.
    pub operator_host: HostId,
    /// The operators' calls in the order in which they were sent.
    pub operations: Vec<Operation>,
    /// The evacuations of zones.
    pub evacuations: Vec<Evacuation>,
    /// The host of the platform that serves the endpoint list.
    pub platform_host: HostId,
    /// Whether the platform sometimes serves faulty or outdated lists.
    pub endpoint_lists_faulty: bool,
    /// The platform's endpoint list.
    pub platform_list: Arc<EndpointList>,
    /// Whether the platform's lists have no revision, so that registries have to assign one.
    pub has_unversioned_lists: bool,
    /// The number of pages of an unversioned list.
    pub list_pages: u32,
    /// The platform's own revision of each list, by the revision that a registry assigned.
    pub source_list_revisions: HashMap<u64, u64>,
    /// The number of member slots of the stores.
    pub member_slots: usize,
    /// Servers, clients and requests.
    pub world: World,
    /// What each node could have known, and the violations found.
    pub reachability: Reachability,
    /// The recorded trace; empty unless `is_traced`.
    pub trace: Vec<String>,
    /// Whether the trace is recorded.
    pub is_traced: bool,
    /// Violations that the programs' cores reported themselves.
    pub violations: Vec<String>,
    /// The actions of the scenario. Events refer to them by their indexes.
    pub script: Vec<Action>,
    /// The active mutation of the product, if any.
    pub mutation: Option<Mutation>,
    /// The crash point at which a node is to be killed, if any.
    pub planned_crash: Option<PlannedCrash>,
    /// When the planned crash happened.
    pub crashed_at: Option<Duration>,
    /// The first configuration that any node saw.
    pub(in crate::sim) first_config: Option<Arc<CommittedConfig>>,
    /// Visits of the planned crash's point so far.
    pub(in crate::sim) point_visits: u32,
}

impl Sim {
    /// Creates an empty fleet. All randomness comes from the seed.
    pub fn new(seed: u64, delays: Delays) -> Sim {
        let mut net = Network::new(seed, delays);
        let operator_host = net.add_host("operator", "", "");
        let platform_host = net.add_host("platform", "", "");
        for host in [operator_host, platform_host] {
            net.hosts[host].up = true;
            net.hosts[host].incarnation = 1;
        }
        Sim {
            net,
            nodes: Vec::new(),
            node_by_host: HashMap::new(),
            operator_host,
            operations: Vec::new(),
            evacuations: Vec::new(),
            platform_host,
            endpoint_lists_faulty: false,
            platform_list: Arc::default(),
            has_unversioned_lists: false,
            list_pages: 1,
            source_list_revisions: HashMap::new(),
            member_slots: 3,
            world: World::default(),
            reachability: Reachability::default(),
            trace: Vec::new(),
            is_traced: false,
            violations: Vec::new(),
            script: Vec::new(),
            mutation: None,
            planned_crash: None,
            crashed_at: None,
            first_config: None,
            point_visits: 0,
        }
    }

    /// Whether this mutation is active.
    pub fn has_mutation(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Adds a line to the trace, if it is recorded.
    pub fn trace_event(&mut self, text: impl FnOnce() -> String) {
        if self.is_traced {
            let line = format!("{:9.3} {}", self.net.now.as_secs_f64(), text());
            self.trace.push(line);
        }
    }

    /// Adds an action to the script, to be carried out at this time.
    pub fn schedule(&mut self, at: Duration, action: Action) {
        self.script.push(action);
        let number = self.script.len() - 1;
        self.net.schedule(at, Event::Script(number));
    }

    /// The index of the node with this name.
    ///
    /// # Panics
    ///
    /// Panics if no node has this name. Scenarios use only names of nodes that they have added.
    pub fn node_index(&self, name: &str) -> usize {
        self.nodes
            .iter()
            .position(|node| node.info.name == name)
            .unwrap_or_else(|| panic!("no node is named {name}"))
    }

    /// Whether a node's process runs on a machine that has power and is not frozen.
    pub fn is_up(&self, index: usize) -> bool {
        let host = &self.net.hosts[self.nodes[index].host];
        host.up && host.powered && !host.frozen
    }

    /// The nodes of a role whose machines were not replaced.
    pub fn nodes_of(&self, role: Role) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|index| self.nodes[*index].info.role == role)
            .filter(|index| !self.world.retired.contains(index))
            .collect()
    }
}
