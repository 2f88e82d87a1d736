//! The endpoints of a proxy (design 8.6, 8.7): the servers that it knows, what it has learned of
//! each, and the selection among them.
//!
//! The [`RoutingTable`] changes rarely and is read without a lock (read-copy-update). What changes
//! with every request is an [`EndpointState`]; the states lie in shards, each under its own lock.

mod connections;
mod measurements;
mod outcomes;
mod probes;
mod rendezvous;
mod reporter;
mod selection;
mod slow_start;
mod state;
mod subset;
mod table;

pub use connections::{IdleConnection, MAX_IDLE_TIME, SETTLE_TIME, max_idle_connections};
pub use measurements::ServedRequest;
pub use probes::{ProbeSchedule, TickOutcome};
pub use reporter::ObservationReporter;
pub use selection::{HedgeDecision, PendingAttempt, Selection, SelectionContext};
pub use slow_start::slow_start_rate;
pub use state::EndpointState;
pub use table::{Endpoint, RoutingTable, TableRevision, revision_of};

use crate::health::ServerPhase;
use crate::latency_model::{RequestProfiles, ZonePools};
use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire;
use vanepath_config::model::Rule;

/// Number of shards into which the endpoint states are divided.
const SHARD_COUNT: usize = 16;

/// How long a proxy that starts waits for the first probe responses before it counts as ready. A
/// server that was found dead meanwhile is not waited for.
const INITIAL_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

type Shard<C> = Mutex<HashMap<usize, EndpointState<C>>>;

/// All endpoints of a proxy. `C` is the type of a connection to a server.
pub struct Endpoints<C> {
    /// The routing table in force; a reader keeps the one that it loaded.
    pub table: arc_swap::ArcSwap<RoutingTable>,
    shards: Vec<Shard<C>>,
    next_slot: AtomicUsize,
    /// Responses carry the id of their request, so that one that belongs to another request is
    /// recognized. A desynchronized server may then go on using the connections that are in order.
    pub verifies_responses: bool,
    pools: Mutex<ZonePools>,
    profiles: Mutex<RequestProfiles>,
}

impl<C> Default for Endpoints<C> {
    fn default() -> Endpoints<C> {
        Endpoints {
            table: arc_swap::ArcSwap::default(),
            shards: (0..SHARD_COUNT).map(|_| Shard::default()).collect(),
            next_slot: AtomicUsize::new(0),
            verifies_responses: false,
            pools: Mutex::default(),
            profiles: Mutex::default(),
        }
    }
}

impl<C> Endpoints<C> {
    /// Runs `act` on the state in this slot; `None` if the endpoint is no longer in the table.
    pub fn with_state<R>(
        &self,
        slot: usize,
        act: impl FnOnce(&mut EndpointState<C>) -> R,
    ) -> Option<R> {
        self.shard(slot).get_mut(&slot).map(act)
    }

    /// Whether this proxy may be given requests (design 5.5): its view of the cluster is fresh
    /// (`is_fresh`), its table was made from `revision`, there are rules, and the servers were
    /// probed once. Right after a start it would send requests to dead servers otherwise.
    pub fn is_ready(&self, now: Duration, is_fresh: bool, revision: TableRevision) -> bool {
        let table = self.table.load();
        let is_current = table.revision == revision && !table.config.rules.is_empty();
        is_fresh && is_current && self.is_initially_probed(now, &table)
    }

    /// Whether no server of the table is still waited for. Once true it stays true for the table,
    /// which spares the lookups on each request.
    fn is_initially_probed(&self, now: Duration, table: &RoutingTable) -> bool {
        if table.is_initially_probed.load(Ordering::Relaxed) {
            return true;
        }
        let is_awaited = |slot| {
            self.with_state(slot, |state| {
                let health = &state.health;
                health.phase == ServerPhase::Unknown && now < health.since + INITIAL_PROBE_TIMEOUT
            })
        };
        let mut used = table.endpoints.iter().filter(|endpoint| !endpoint.services.is_empty());
        let is_probed = !used
            .any(|endpoint| !endpoint.server.draining && is_awaited(endpoint.slot) == Some(true));
        table.is_initially_probed.store(is_probed, Ordering::Relaxed);
        is_probed
    }

    /// Whether an endpoint that was selected from an earlier table must no longer be used: by the
    /// newest table it is draining or gone, or its zone is drained.
    pub fn is_withdrawn(
        &self,
        selected_from: &RoutingTable,
        endpoint: &Endpoint,
        drained_zones: &BTreeSet<String>,
    ) -> bool {
        if drained_zones.contains(&endpoint.server.zone) {
            return true;
        }
        let newest = self.table.load();
        if newest.revision == selected_from.revision {
            return false;
        }
        let current = newest.endpoints.iter().find(|one| one.slot == endpoint.slot);
        current.is_none_or(|one| one.server.draining)
    }

    /// Ends a request that [`Endpoints::select`] counted as in flight.
    pub fn release(&self, slot: usize) {
        self.with_state(slot, |state| state.in_flight -= 1);
    }

    fn shard(&self, slot: usize) -> MutexGuard<'_, HashMap<usize, EndpointState<C>>> {
        self.shards[slot % SHARD_COUNT].lock().expect("no panic under this lock")
    }

    fn lock_pools(&self) -> MutexGuard<'_, ZonePools> {
        self.pools.lock().expect("no panic under this lock")
    }

    fn lock_profiles(&self) -> MutexGuard<'_, RequestProfiles> {
        self.profiles.lock().expect("no panic under this lock")
    }
}

/// The proxies that may carry requests of this rule: ready, not draining, in a region that the
/// rule allows and in a zone that is not drained.
pub fn eligible_proxies<'v>(
    view: &'v ClusterView,
    rule: &'v Rule,
) -> impl Iterator<Item = &'v wire::NodeInfo> {
    let all = view.live.iter().filter(|(node, status)| {
        node.role == wire::Role::Proxy
            && status.is_available()
            && rule.allows_region(&node.region)
            && !view.committed.drained_zones.contains(&node.zone)
    });
    all.map(|(node, _)| node)
}

/// Number of live proxies in the whole cluster, one at the least.
pub fn live_proxies(view: &ClusterView) -> usize {
    proxy_nodes(view).count().max(1)
}

/// The live nodes that are proxies, in the order of the view.
fn proxy_nodes(view: &ClusterView) -> impl Iterator<Item = &wire::NodeInfo> {
    view.live.iter().map(|(node, _)| node).filter(|node| node.role == wire::Role::Proxy)
}

#[cfg(test)]
mod tests;
