//! The routing table: the configuration in force and the servers of the endpoint list, indexed by
//! service.

use super::{EndpointState, Endpoints};
use crate::health::{ServerHealth, ServerPhase, SlowStartRate};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire;
use vanepath_config::endpoint_list::{EndpointList, Server};
use vanepath_config::model::Config;
use vanepath_config::selector::ClientLocation;

/// A server as described by the endpoint list and the configuration. Changes rarely.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server's entry in the endpoint list.
    pub server: Server,
    /// Indices into the configuration's services whose selectors match the server.
    pub services: Vec<usize>,
    /// Key of its state. A server that moves to another address gets another slot.
    pub slot: usize,
}

/// The revisions from which a routing table was built.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableRevision {
    /// The revision of the configuration document.
    pub config: u64,
    /// The revision of the endpoint list.
    pub endpoint_list: u64,
}

impl TableRevision {
    /// The revision of a table built from these revisions.
    pub fn new(config: u64, endpoint_list: u64) -> TableRevision {
        TableRevision { config, endpoint_list }
    }
}

/// The revision of a table that is built from this view.
pub fn revision_of(view: &ClusterView) -> TableRevision {
    TableRevision::new(view.committed.config_revision, view.endpoints.revision)
}

/// A consistent snapshot of the configuration in force on this proxy and of its servers by service.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// The revisions from which the table was built.
    pub revision: TableRevision,
    /// The configuration in force.
    pub config: Arc<Config>,
    /// All servers, in the order of the endpoint list.
    pub endpoints: Vec<Endpoint>,
    /// Indices of the endpoints of each service of the configuration.
    pub by_service: Vec<Vec<usize>>,
    /// Whether each of its servers was probed once, or the time limit for that has passed.
    pub(super) is_initially_probed: AtomicBool,
}

impl RoutingTable {
    fn push(&mut self, endpoint: Endpoint) {
        for service in &endpoint.services {
            self.by_service[*service].push(self.endpoints.len());
        }
        self.endpoints.push(endpoint);
    }
}

impl<C> Endpoints<C> {
    /// Replaces the table with one built from this configuration and endpoint list. Returns log lines.
    /// The servers of the first table count as long-running (`apply_plan` then marks those that are
    /// not); a server that is added later starts warming up at its `rate`.
    pub fn update(
        &self,
        now: Duration,
        revision: TableRevision,
        config: &Arc<Config>,
        list: &EndpointList,
        rate: impl Fn(&Server, &[usize]) -> SlowStartRate,
    ) -> Vec<String> {
        let mut log_lines = Vec::new();
        let previous = self.table.load_full();
        let is_first = previous.endpoints.is_empty();
        let mut table =
            RoutingTable { revision, config: config.clone(), ..RoutingTable::default() };
        table.by_service.resize(config.services.len(), Vec::new());
        let by_id: HashMap<&str, &Endpoint> = previous
            .endpoints
            .iter()
            .map(|endpoint| (endpoint.server.id.as_str(), endpoint))
            .collect();
        for server in &list.servers {
            let services = matching_services(config, server);
            // A server at another address counts as another server: connections, slow start and
            // health are not carried over.
            let known = by_id.get(server.id.as_str()).copied();
            let known = known.filter(|endpoint| endpoint.server.address == server.address);
            let slot = known.map(|endpoint| endpoint.slot).unwrap_or_else(|| {
                let mut health = ServerHealth::new(now);
                health.tick(now, rate(server, &services));
                if !is_first {
                    health.restart_slow_start(now, Duration::ZERO);
                    log_lines.push(format!("server {} was added", server.id));
                }
                self.insert_state(now, health, config, server, &services)
            });
            if probes_suspects_only(config, &services) {
                let was_warming_up = known.is_some_and(|endpoint| endpoint.server.warming_up);
                let phase = self.apply_listed_phase(now, slot, server.warming_up, was_warming_up);
                if let Some(phase) = phase.filter(|_| known.is_some()) {
                    log_lines.push(format!("server {} is {phase} by the list", server.id));
                }
            }
            if known.is_some_and(|endpoint| endpoint.server.draining != server.draining) {
                let change = if server.draining { "is draining" } else { "is no longer draining" };
                log_lines.push(format!("server {} {change}", server.id));
            }
            table.push(Endpoint { server: server.clone(), services, slot });
        }
        self.remove_missing(&previous, &table, &mut log_lines);
        self.table.store(Arc::new(table));
        log_lines
    }

    /// Creates the state of a server that was not known before. Returns its slot.
    fn insert_state(
        &self,
        now: Duration,
        health: ServerHealth,
        config: &Config,
        server: &Server,
        services: &[usize],
    ) -> usize {
        let slot = self.next_slot.fetch_add(1, Ordering::Relaxed);
        let pool = self.pool_index(config, services, &server.zone);
        let state = EndpointState::new(now, health, server.concurrency, pool);
        self.shard(slot).insert(slot, state);
        slot
    }

    /// Applies the phase that the endpoint list states for a server that is probed only while it is
    /// suspect. Returns the new phase if it changed.
    fn apply_listed_phase(
        &self,
        now: Duration,
        slot: usize,
        is_warming_up: bool,
        was_warming_up: bool,
    ) -> Option<ServerPhase> {
        self.update_health(slot, |health| {
            health.is_passively_checked = true;
            health.apply_listed_phase(now, is_warming_up, was_warming_up);
        })
    }

    /// Removes the states of servers that are in the previous table but not in the new one.
    fn remove_missing(
        &self,
        previous: &RoutingTable,
        table: &RoutingTable,
        log_lines: &mut Vec<String>,
    ) {
        let slots: HashSet<usize> = table.endpoints.iter().map(|endpoint| endpoint.slot).collect();
        for endpoint in previous.endpoints.iter().filter(|endpoint| !slots.contains(&endpoint.slot))
        {
            self.shard(endpoint.slot).remove(&endpoint.slot);
            log_lines.push(format!("server {} was removed", endpoint.server.id));
        }
    }

    /// Applies the cluster's common knowledge of servers that are unreachable or have recently
    /// recovered.
    pub fn apply_plan(&self, now: Duration, plan: &wire::TrafficShiftPlan) {
        if plan.unreachable.is_empty() && plan.warming_up.is_empty() {
            return;
        }
        for endpoint in &self.table.load().endpoints {
            let is_unreachable = plan.unreachable.contains(&endpoint.server.id);
            let recovery = plan.warming_up.get(&endpoint.server.id);
            if is_unreachable || recovery.is_some() {
                self.with_state(endpoint.slot, |state| {
                    state.health.apply_cluster_view(now, is_unreachable, recovery);
                });
            }
        }
    }
}

/// Indices of the services whose selectors match the server.
fn matching_services(config: &Config, server: &Server) -> Vec<usize> {
    let location = ClientLocation::default();
    (0..config.services.len())
        .filter(|service| config.services[*service].selector.matches(server, location))
        .collect()
}

/// Whether all services of a server are configured to probe it only while it is suspect. At other
/// times its phase follows from the endpoint list and from its traffic.
pub(super) fn probes_suspects_only(config: &Config, services: &[usize]) -> bool {
    !services.is_empty()
        && services.iter().all(|service| config.services[*service].probes_suspects_only)
}
