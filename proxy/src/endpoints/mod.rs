//! The endpoints of a proxy (design 8.6, 8.7): the servers that it knows, the state of each, and the
//! selection among them.
//!
//! The [`RoutingTable`] changes rarely and is read without a lock (read-copy-update). The state of an
//! endpoint that changes with every request is an [`EndpointState`]; these are divided into shards,
//! each under a lock of its own.

mod connections;
mod measurements;
mod outcomes;
mod probes;
mod rendezvous;
mod reporter;
mod selection;
mod slow_start;
mod stale_list;
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
use stale_list::StaleList;
use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire;
use vanepath_config::model::Rule;

/// Number of shards into which the endpoint states are divided.
const SHARD_COUNT: usize = 16;

/// How long a starting proxy waits for the first probe responses before it counts as ready. It does
/// not wait for a server that was found to be dead in the meantime.
const INITIAL_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

type Shard<C> = Mutex<HashMap<usize, EndpointState<C>>>;

/// All endpoints of a proxy. `C` is the type of a connection to a server.
pub struct Endpoints<C> {
    /// The current routing table. A reader keeps using the one that it loaded.
    pub table: arc_swap::ArcSwap<RoutingTable>,
    shards: Vec<Shard<C>>,
    next_slot: AtomicUsize,
    /// Whether responses carry the id of their request, so that a response to another request is
    /// recognized. Connections to a desynchronized server may then still be reused.
    pub verifies_responses: bool,
    pools: Mutex<ZonePools>,
    profiles: Mutex<RequestProfiles>,
    stale_list: StaleList,
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
            stale_list: StaleList::default(),
        }
    }
}

impl<C> Endpoints<C> {
    /// Runs `update` on the state in this slot while holding the lock of its shard. `None` if the endpoint
    /// is no longer in the table.
    pub fn with_state<R>(
        &self,
        slot: usize,
        update: impl FnOnce(&mut EndpointState<C>) -> R,
    ) -> Option<R> {
        self.shard(slot).get_mut(&slot).map(update)
    }

    /// Whether this proxy may be given requests (design 5.5): its view of the cluster is fresh
    /// (`is_fresh`), its table was built from `revision`, there are rules, and every server was
    /// probed once. Without the probes, a proxy that just started would send requests to dead servers.
    pub fn is_ready(&self, now: Duration, is_fresh: bool, revision: TableRevision) -> bool {
        let table = self.table.load();
        let is_current = table.revision == revision && !table.config.rules.is_empty();
        is_fresh && is_current && self.is_initially_probed(now, &table)
    }

    /// Whether no first probe response is awaited any more from a server of the table. Once true it
    /// stays true for this table, which saves the lookups on each request.
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
        let mut used_endpoints =
            table.endpoints.iter().filter(|endpoint| !endpoint.services.is_empty());
        let is_probed = !used_endpoints
            .any(|endpoint| !endpoint.server.draining && is_awaited(endpoint.slot) == Some(true));
        table.is_initially_probed.store(is_probed, Ordering::Relaxed);
        is_probed
    }

    /// Whether an endpoint that was selected from the table `selected_from` must no longer be used: in
    /// the newest table it is draining or missing, or its zone is drained.
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
        let current = newest.endpoints.iter().find(|other| other.slot == endpoint.slot);
        current.is_none_or(|current| current.server.draining)
    }

    /// Ends a request that [`Endpoints::select`] counted as in flight at this endpoint.
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

/// The proxies that may forward requests of this rule: available, in a region that the rule allows
/// and in a zone that is not drained.
pub fn eligible_proxies<'v>(
    view: &'v ClusterView,
    rule: &'v Rule,
) -> impl Iterator<Item = &'v wire::NodeInfo> {
    let eligible = view.live.iter().filter(|(node, status)| {
        node.role == wire::Role::Proxy
            && status.is_available()
            && rule.allows_region(&node.region)
            && !view.committed.drained_zones.contains(&node.zone)
    });
    eligible.map(|(node, _)| node)
}

/// Number of live proxies in the whole cluster, at least 1.
pub fn live_proxies(view: &ClusterView) -> usize {
    proxy_nodes(view).count().max(1)
}

/// The live nodes that are proxies, in the order of the view.
fn proxy_nodes(view: &ClusterView) -> impl Iterator<Item = &wire::NodeInfo> {
    view.live.iter().map(|(node, _)| node).filter(|node| node.role == wire::Role::Proxy)
}

#[cfg(test)]
mod tests;
