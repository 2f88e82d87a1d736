//! Health checks (probes): how often this proxy probes each server, and the tick that moves the
//! servers' health on (design 8.6).

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

/// How often a server without traffic is probed by proxies of its own zone.
const OWN_ZONE_PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Likewise by its watcher in its region.
const NEAR_WATCHER_PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Likewise by its watchers in other regions.
const REMOTE_WATCHER_PROBE_INTERVAL: Duration = Duration::from_millis(2000);
/// Likewise by the other proxies of its region.
const REGION_PROBE_INTERVAL: Duration = Duration::from_millis(3000);
/// Likewise by all other proxies.
const REMOTE_PROBE_INTERVAL: Duration = Duration::from_millis(10_000);
/// How often a server is probed whose health is uncertain.
const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Likewise where no other servers are probed.
const SUSPECT_ONLY_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// How often the schedule is compared with the proxies that are live.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(1000);

/// Watchers of each server inside and outside of its region.
const NEAR_WATCHERS: usize = 1;
const REMOTE_WATCHERS: usize = 2;

/// Whether this proxy is one of the few that watch a server for the whole cluster: by rendezvous
/// hashing one of the server's own region, and two of other regions for when that region fails.
fn is_watcher(view: &ClusterView, own: &str, server: &Server) -> bool {
    let is_near = |proxy: &wire::NodeInfo| proxy.region == server.region;
    let Some(own_node) = proxy_nodes(view).find(|proxy| proxy.name == own) else { return false };
    let hash = |proxy: &wire::NodeInfo| stable_hash(&["watch", &proxy.name, &server.id]);
    let own_rank = RendezvousRank { hash: hash(own_node), name: own };
    let before = proxy_nodes(view).filter(|proxy| {
        is_near(proxy) == is_near(own_node)
            && RendezvousRank { hash: hash(proxy), name: &proxy.name } < own_rank
    });
    // No more of them need to be found, which spares most of the hashes.
    let before = before.take(REMOTE_WATCHERS).count();
    before < if is_near(own_node) { NEAR_WATCHERS } else { REMOTE_WATCHERS }
}

/// How often this proxy probes a server.
fn probe_interval(view: &ClusterView, own: &wire::NodeInfo, server: &Server) -> Duration {
    let is_near = server.region == own.region;
    if server.zone == own.zone {
        OWN_ZONE_PROBE_INTERVAL
    } else if is_watcher(view, &own.name, server) {
        if is_near { NEAR_WATCHER_PROBE_INTERVAL } else { REMOTE_WATCHER_PROBE_INTERVAL }
    } else if is_near {
        REGION_PROBE_INTERVAL
    } else {
        REMOTE_PROBE_INTERVAL
    }
}

/// Probe intervals and slow-start rates of a table's servers. They follow from the proxies that are
/// live and take a while to compute, so that is done only after a change.
#[derive(Debug, Default)]
pub struct ProbeSchedule {
    intervals: Vec<Duration>,
    slow_start_rates: Vec<SlowStartRate>,
    next_check_at: Duration,
    /// The proxies from which the schedule was computed.
    proxies: Option<Vec<wire::NodeInfo>>,
}

impl ProbeSchedule {
    /// The table or the configuration has changed: the next tick computes the schedule anew.
    pub fn invalidate(&mut self) {
        self.next_check_at = Duration::ZERO;
        self.proxies = None;
    }

    /// Computes the schedule anew where a check is due and other proxies are live than before.
    pub fn tick(
        &mut self,
        now: Duration,
        view: &ClusterView,
        own: &wire::NodeInfo,
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
            endpoints.map(|endpoint| probe_interval(view, own, &endpoint.server)).collect();
        self.slow_start_rates = slow_start_rates(view, &own.name, table);
    }

    fn interval(&self, index: usize) -> Duration {
        self.intervals.get(index).copied().unwrap_or(REMOTE_PROBE_INTERVAL)
    }

    fn slow_start_rate(&self, index: usize) -> SlowStartRate {
        self.slow_start_rates.get(index).copied().unwrap_or_default()
    }
}

/// What a tick found.
#[derive(Debug, Default)]
pub struct TickOutcome {
    /// Indices of the endpoints that want a probe now; each is marked as being probed.
    pub probes: Vec<usize>,
    /// Changes of phase, for the log.
    pub log_lines: Vec<String>,
    /// Registries should hear of it soon.
    pub has_changes: bool,
}

/// How the tick treats one endpoint.
struct TickSettings {
    interval: Duration,
    slow_start_rate: SlowStartRate,
    is_draining: bool,
    /// The server is probed only while it is suspect.
    probes_suspects_only: bool,
}

/// What the tick found at one endpoint.
struct EndpointTick {
    wants_probe: bool,
    lost_contact: bool,
    new_phase: Option<ServerPhase>,
}

impl<C> Endpoints<C> {
    /// Moves each server's health on and finds those that want a probe.
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
            if tick.wants_probe {
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
            // Other proxies probe it; here a single request finds out.
            self.health.retry_suspect(now);
        }
        self.health.tick(now, settings.slow_start_rate);
        if settings.is_draining {
            self.idle.clear();
        }
        let is_in_contact = self.health.contact_duration(now) > Duration::ZERO;
        let was_in_contact = std::mem::replace(&mut self.was_in_contact, is_in_contact);
        let wants_probe = self.wants_probe(now, settings);
        if wants_probe {
            self.probing = true;
            self.last_probe_at = Some(now);
        }
        let phase = self.health.phase;
        EndpointTick {
            wants_probe,
            lost_contact: was_in_contact && !is_in_contact,
            new_phase: (phase != phase_before).then_some(phase),
        }
    }

    fn wants_probe(&self, now: Duration, settings: &TickSettings) -> bool {
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
