//! The state of a simulation. Nothing here acts on the fleet: that is up to the modules
//! [`control`](super::control), [`traffic`](super::traffic) and [`scenario`](super::scenario).

mod action;
mod disk;
mod node;
mod operators;
mod proxy;
mod reachability;
mod traffic;

pub use action::Action;
pub use disk::Disk;
pub use node::{DownPeriod, Node, Registry, RevisionChange, RoleState, Store};
pub use operators::{Evacuation, Operation, OperatorCall};
pub use proxy::Proxy;
pub(in crate::sim) use proxy::{AttemptInProgress, RequestInProgress};
pub use reachability::{Knowable, KnownRevisions, Reachability, ZoneDrain, knowable_since};
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

/// When the fleet is up and the first fault of a scenario begins.
pub const FAULTS_BEGIN: Duration = Duration::from_secs(12);

/// A simulated fleet with its operators, clients, servers and platform.
pub struct Sim {
    /// The network, the clock and all events.
    pub net: Network,
    /// The nodes, those that were replaced among them.
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
    /// The platform serves faulty or outdated lists now and then.
    pub endpoint_lists_faulty: bool,
    /// The platform's endpoint list.
    pub platform_list: Arc<EndpointList>,
    /// The platform does not number its lists.
    pub has_unversioned_lists: bool,
    /// The platform's own list for each number that a registry gave.
    pub source_list_revisions: HashMap<u64, u64>,
    /// The number of member slots of the stores.
    pub member_slots: usize,
    /// Servers, clients and requests.
    pub world: World,
    /// What each node could have known.
    pub reachability: Reachability,
    /// The trace, if it is recorded.
    pub trace: Vec<String>,
    /// Records the trace.
    pub is_traced: bool,
    /// Violations that the programs' cores reported themselves.
    pub violations: Vec<String>,
    /// The actions of the scenario; events name them by their numbers.
    pub script: Vec<Action>,
    /// What is broken on purpose.
    pub mutation: Option<Mutation>,
    /// Where a node is to be killed.
    pub planned_crash: Option<PlannedCrash>,
    /// When the planned crash happened.
    pub crashed_at: Option<Duration>,
    /// The first configuration that any node saw.
    pub(in crate::sim) first_config: Option<Arc<CommittedConfig>>,
    /// Visits of the planned crash's point so far.
    pub(in crate::sim) point_visits: u32,
}

impl Sim {
    /// An empty fleet; all chance comes from the seed.
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

    /// Whether the product is broken in this way.
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

    /// Puts an action into the script, to happen at this time.
    pub fn schedule(&mut self, at: Duration, action: Action) {
        self.script.push(action);
        let number = self.script.len() - 1;
        self.net.schedule(at, Event::Script(number));
    }

    /// The node of this name.
    ///
    /// # Panics
    ///
    /// If there is none: scenarios name only nodes that they added.
    pub fn node_index(&self, name: &str) -> usize {
        self.nodes
            .iter()
            .position(|node| node.info.name == name)
            .unwrap_or_else(|| panic!("no node is named {name}"))
    }

    /// Whether a node's process runs, on a machine that does not stand still.
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
