//! Active health checks (probes): how often this proxy probes each server, and the periodic tick
//! that advances the health state of the servers (design 8.6).

use super::rendezvous::RendezvousRank;
use super::slow_start::slow_start_rates;
use super::table::probes_suspects_only;
use super::{EndpointState, Endpoints, RoutingTable, proxy_nodes};
use crate::health::{ServerPhase, SlowStartRate};
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire;
use vanepath_config::endpoint_list::Server;
use vanepath_config::stable_hash;

/// Interval at which the proxies of its own zone probe a server without traffic.
const OWN_ZONE_PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval at which its watcher in its region probes such a server.
const NEAR_WATCHER_PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval at which its watchers in other regions probe such a server.
const REMOTE_WATCHER_PROBE_INTERVAL: Duration = Duration::from_millis(2000);
/// Interval at which the other proxies of its region probe such a server.
const REGION_PROBE_INTERVAL: Duration = Duration::from_millis(3000);
/// Interval at which all other proxies probe such a server.
const REMOTE_PROBE_INTERVAL: Duration = Duration::from_millis(10_000);
/// Minimum interval between probes of a server whose health is uncertain.
const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// The same for a server that is probed only while it is suspect.
const SUSPECT_ONLY_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which the set of live proxies is checked for changes that affect the schedule.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(1000);

/// Number of watchers of each server inside and outside of its region.
const NEAR_WATCHERS: usize = 1;
const REMOTE_WATCHERS: usize = 2;

/// Whether this proxy is one of the few that watch a server for the whole cluster. Rendezvous hashing
/// picks one proxy of the server's own region, and two of other regions in case that region fails.
fn is_watcher(view: &ClusterView, own_name: &str, server: &Server) -> bool {
    let is_near = |proxy: &wire::NodeInfo| proxy.region == server.region;
    let Some(own_node) = proxy_nodes(view).find(|proxy| proxy.name == own_name) else {
        return false;
    };
    let hash = |proxy: &wire::NodeInfo| stable_hash(&["watch", &proxy.name, &server.id]);
    let own_rank = RendezvousRank { hash: hash(own_node), name: own_name };
    let ranked_before = proxy_nodes(view).filter(|proxy| {
        is_near(proxy) == is_near(own_node)
            && RendezvousRank { hash: hash(proxy), name: &proxy.name } < own_rank
    });
    // The count stops here, since only whether it is below the limit matters. This saves most of the
    // hash computations.
    let ranked_before = ranked_before.take(REMOTE_WATCHERS).count();
    ranked_before < if is_near(own_node) { NEAR_WATCHERS } else { REMOTE_WATCHERS }
}

/// How often this proxy probes a server.
fn probe_interval(view: &ClusterView, own_node: &wire::NodeInfo, server: &Server) -> Duration {
    let is_near = server.region == own_node.region;
    if server.zone == own_node.zone {
        OWN_ZONE_PROBE_INTERVAL
    } else if is_watcher(view, &own_node.name, server) {
        if is_near { NEAR_WATCHER_PROBE_INTERVAL } else { REMOTE_WATCHER_PROBE_INTERVAL }
    } else if is_near {
        REGION_PROBE_INTERVAL
    } else {
        REMOTE_PROBE_INTERVAL
    }
}

/// Probe intervals and slow-start rates of a table's servers. They depend on the set of live proxies
/// and are expensive to compute, so they are recomputed only when that set or the table changes.
#[derive(Debug, Default)]
pub struct ProbeSchedule {
    intervals: Vec<Duration>,
    slow_start_rates: Vec<SlowStartRate>,
    next_check_at: Duration,
    /// The live proxies from which the schedule was computed.
    proxies: Option<Vec<wire::NodeInfo>>,
}

impl ProbeSchedule {
    /// Makes the next tick recompute the schedule, after a change of the table or the configuration.
    pub fn invalidate(&mut self) {
        self.next_check_at = Duration::ZERO;
        self.proxies = None;
    }

    /// Recomputes the schedule if a check is due and the set of live proxies has changed.
    pub fn tick(
        &mut self,
        now: Duration,
        view: &ClusterView,
        own_node: &wire::NodeInfo,
        table: &RoutingTable,
    ) {
        if now < self.next_check_at {
            return;
        }
        self.next_check_at = now + SCHEDULE_INTERVAL;
        if self.proxies.as_ref().is_some_and(|before| before.iter().eq(proxy_nodes(view))) {
            return;
        }
        self.proxies = Some(proxy_nodes(view).cloned().collect());
        let endpoints = table.endpoints.iter();
        self.intervals =
            endpoints.map(|endpoint| probe_interval(view, own_node, &endpoint.server)).collect();
        self.slow_start_rates = slow_start_rates(view, &own_node.name, table);
    }

    fn interval(&self, index: usize) -> Duration {
        self.intervals.get(index).copied().unwrap_or(REMOTE_PROBE_INTERVAL)
    }

    fn slow_start_rate(&self, index: usize) -> SlowStartRate {
        self.slow_start_rates.get(index).copied().unwrap_or_default()
    }
}

/// The result of a tick over all endpoints.
#[derive(Debug, Default)]
pub struct TickOutcome {
    /// Indices of the endpoints to be probed now; each is already marked as being probed.
    pub probes: Vec<usize>,
    /// Log lines about changes of phase.
    pub log_lines: Vec<String>,
    /// Whether a server changed its phase or contact to one was lost, which is reported to the
    /// registries soon.
    pub has_changes: bool,
}

/// Parameters of the tick for one endpoint.
struct TickSettings {
    interval: Duration,
    slow_start_rate: SlowStartRate,
    is_draining: bool,
    /// Whether the server is probed only while it is suspect.
    probes_suspects_only: bool,
}

/// The result of a tick at one endpoint.
struct EndpointTick {
    needs_probe_now: bool,
    lost_contact: bool,
    new_phase: Option<ServerPhase>,
}

impl<C> Endpoints<C> {
    /// Advances each server's health state and finds the servers that are due for a probe.
    pub fn tick(&self, now: Duration, schedule: &ProbeSchedule) -> TickOutcome {
        let table = self.table.load();
        let mut outcome = TickOutcome::default();
        for (index, endpoint) in table.endpoints.iter().enumerate() {
            if endpoint.services.is_empty() {
                continue;
            }
            let settings = TickSettings {
                interval: schedule.interval(index),
                slow_start_rate: schedule.slow_start_rate(index),
                is_draining: endpoint.server.draining,
                probes_suspects_only: probes_suspects_only(&table.config, &endpoint.services),
            };
            let Some(tick) = self.with_state(endpoint.slot, |state| state.tick(now, &settings))
            else {
                continue;
            };
            outcome.has_changes |= tick.lost_contact || tick.new_phase.is_some();
            if let Some(phase) = tick.new_phase {
                outcome.log_lines.push(format!("server {} is {phase}", endpoint.server.id));
            }
            if tick.needs_probe_now {
                outcome.probes.push(index);
            }
        }
        outcome
    }
}

impl<C> EndpointState<C> {
    fn tick(&mut self, now: Duration, settings: &TickSettings) -> EndpointTick {
        let phase_before = self.health.phase;
        if settings.probes_suspects_only && !self.is_in_subset {
            // Other proxies probe this server; this proxy tries it with requests after a delay.
            self.health.retry_suspect(now);
        }
        self.health.tick(now, settings.slow_start_rate);
        if settings.is_draining {
            self.idle.clear();
        }
        let is_in_contact = self.health.contact_duration(now) > Duration::ZERO;
        let was_in_contact = std::mem::replace(&mut self.was_in_contact, is_in_contact);
        let needs_probe_now = self.needs_probe_now(now, settings);
        if needs_probe_now {
            self.probing = true;
            self.last_probe_at = Some(now);
        }
        let phase = self.health.phase;
        EndpointTick {
            needs_probe_now,
            lost_contact: was_in_contact && !is_in_contact,
            new_phase: (phase != phase_before).then_some(phase),
        }
    }

    fn needs_probe_now(&self, now: Duration, settings: &TickSettings) -> bool {
        let next_probe_at = self.health.next_probe_at(settings.interval);
        let is_urgent = next_probe_at == Duration::ZERO;
        let min_interval = match (is_urgent, settings.probes_suspects_only) {
            (true, false) => SUSPECT_PROBE_INTERVAL,
            (true, true) => SUSPECT_ONLY_PROBE_INTERVAL,
            (false, _) => settings.interval,
        };
        let is_probed_here =
            !settings.probes_suspects_only || (self.is_in_subset && self.health.needs_probe());
        !self.probing
            && !settings.is_draining
            && is_probed_here
            && now >= next_probe_at
            && self.last_probe_at.is_none_or(|last| now >= last + min_interval)
    }
}
