//! The routing table: the configuration in force and the servers of the endpoint list, sorted by
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

/// What the endpoint list and the configuration say of a server; changes rarely.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server as the endpoint list has it.
    pub server: Server,
    /// Indices into the configuration's services whose selectors match the server.
    pub services: Vec<usize>,
    /// Key of its state; another one for each server and each address that it moves to.
    pub slot: usize,
}

/// What a routing table was made from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableRevision {
    /// The revision of the configuration's document.
    pub config: u64,
    /// The revision of the endpoint list.
    pub endpoint_list: u64,
}

impl TableRevision {
    /// A table made from these revisions.
    pub fn new(config: u64, endpoint_list: u64) -> TableRevision {
        TableRevision { config, endpoint_list }
    }
}

/// The revision of a table that is made from this view.
pub fn revision_of(view: &ClusterView) -> TableRevision {
    TableRevision::new(view.committed.config_revision, view.endpoints.revision)
}

/// One consistent whole: the configuration in force on this proxy and the servers sorted by it.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// What the table was made from.
    pub revision: TableRevision,
    /// The configuration in force.
    pub config: Arc<Config>,
    /// All servers, in the order of the endpoint list.
    pub endpoints: Vec<Endpoint>,
    /// For each service of the configuration the indices of its endpoints.
    pub by_service: Vec<Vec<usize>>,
    /// Each of its servers was probed once, or its time for that ran out.
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
    /// Replaces the table by one made from this configuration and endpoint list; returns log lines.
    /// In the first table every server counts as one that has been there for long (`apply_plan` says
    /// which have not); later a new server starts warming up at its `rate`.
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
        let by_id: HashMap<&str, &Endpoint> =
            previous.endpoints.iter().map(|one| (one.server.id.as_str(), one)).collect();
        for server in &list.servers {
            let services = matching_services(config, server);
            // A server at another address is another one: its connections, its slow start and its
            // health are not carried over.
            let known = by_id.get(server.id.as_str()).copied();
            let known = known.filter(|one| one.server.address == server.address);
            let slot = known.map(|one| one.slot).unwrap_or_else(|| {
                let mut health = ServerHealth::new(now);
                health.tick(now, rate(server, &services));
                if !is_first {
                    health.restart_slow_start(now, Duration::ZERO);
                    log_lines.push(format!("server {} was added", server.id));
                }
                self.insert_state(now, health, config, server, &services)
            });
            if probes_suspects_only(config, &services) {
                let was_warming_up = known.is_some_and(|one| one.server.warming_up);
                self.apply_listed_phase(now, slot, server.warming_up, was_warming_up);
            }
            if known.is_some_and(|one| one.server.draining != server.draining) {
                let change = if server.draining { "is draining" } else { "is no longer draining" };
                log_lines.push(format!("server {} {change}", server.id));
            }
            table.push(Endpoint { server: server.clone(), services, slot });
        }
        self.remove_missing(&previous, &table, &mut log_lines);
        self.table.store(Arc::new(table));
        log_lines
    }

    /// Creates the state of a server that was not known; returns its slot.
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

    /// Takes over the phase that the endpoint list gives to a server that is not probed.
    fn apply_listed_phase(
        &self,
        now: Duration,
        slot: usize,
        is_warming_up: bool,
        was_warming_up: bool,
    ) {
        self.update_health(slot, |health| {
            health.is_judged_by_traffic = true;
            let is_unknown = health.phase == ServerPhase::Unknown;
            if is_warming_up && (!was_warming_up || is_unknown) {
                health.restart_slow_start(now, Duration::ZERO);
            } else if !is_warming_up && (was_warming_up || is_unknown) {
                health.mark_healthy(now);
            }
        });
    }

    /// Drops the states of the servers that are in the previous table only.
    fn remove_missing(
        &self,
        previous: &RoutingTable,
        table: &RoutingTable,
        log_lines: &mut Vec<String>,
    ) {
        let slots: HashSet<usize> = table.endpoints.iter().map(|one| one.slot).collect();
        for endpoint in previous.endpoints.iter().filter(|one| !slots.contains(&one.slot)) {
            self.shard(endpoint.slot).remove(&endpoint.slot);
            log_lines.push(format!("server {} was removed", endpoint.server.id));
        }
    }

    /// Takes in what the whole cluster knows of servers that are unreachable or came back lately.
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

/// Whether all services of a server have it probed only while it is suspect; its phase is otherwise
/// what the endpoint list and its traffic say.
pub(super) fn probes_suspects_only(config: &Config, services: &[usize]) -> bool {
    !services.is_empty() && services.iter().all(|one| config.services[*one].probes_suspects_only)
}
