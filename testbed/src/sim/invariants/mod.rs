//! Invariant checks on the recorded histories of clients, servers and operators, and on the configurations
//! that were active on each node. Each violation is one line.

mod config_revisions;
mod config_versions;
mod drains;
mod operator_calls;
mod recovery;
mod region_bounds;
mod requests;
mod retry_budget;
mod slow_start;
mod steering;
mod tenants;

use super::scenario::Run;
use super::state::RoleState;
use std::time::Duration;

/// The violations and measurements of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// The violations, one line each.
    pub violations: Vec<String>,
    /// Idempotent requests.
    pub lookups: usize,
    /// Idempotent requests that were not executed, or may not have been.
    pub lookups_lost: usize,
    /// Requests that must not run twice.
    pub filings: usize,
    /// Those of them that were reported to clients as not run.
    pub filings_not_run: usize,
    /// Those of them that were reported to clients as may-have-run.
    pub filings_may_have_run: usize,
    /// Retries by proxies per admitted request.
    pub proxy_retry_ratio: f64,
    /// Repeated arrivals of requests at proxies, per request.
    pub client_retry_ratio: f64,
    /// The highest number of retries in any ten seconds minus a fifth of the requests.
    pub worst_retry_excess: f64,
    /// How often a client changed its zone, on average.
    pub zone_switches: f64,
    /// The highest load of any server that reports a measured load.
    pub worst_load: f64,
    /// The most requests in one second to a server in slow start, as a multiple of its slow-start rate.
    pub worst_slow_start: f64,
    /// The longest time from when a proxy could have known a configuration until it used it.
    pub worst_config_delay: Duration,
    /// The longest time for which requests still went to a drained server or zone.
    pub worst_drain_delay: Duration,
    /// How long each accepted change took to become active on each proxy.
    pub config_delays: Vec<Duration>,
    /// The time from the end of the last fault to the last lost lookup; `None` if none was served since.
    pub resumed_after: Option<Duration>,
    /// Accepted changes.
    pub accepted: usize,
    /// Changes that were reported to operators as having an unknown outcome.
    pub unknown: usize,
    /// Changes that were reported to operators as not applied.
    pub not_applied: usize,
    /// Bytes of gossip per second, of all nodes together.
    pub cluster_bytes: f64,
    /// Bytes of gossip per second between zones.
    pub cross_zone_cluster_bytes: f64,
    /// Health checks per second.
    pub probes: f64,
    /// Disk syncs of all stores per accepted change.
    pub syncs_per_change: f64,
}

/// Checks all invariants on a run.
pub fn check(run: &Run) -> Report {
    let sim = &run.sim;
    let mut report = Report { violations: sim.violations.clone(), ..Report::default() };
    requests::check_at_most_once(run, &mut report);
    requests::check_answered(run, &mut report);
    region_bounds::check(run, &mut report);
    retry_budget::check(run, &mut report);
    steering::check(run, &mut report);
    slow_start::check(run, &mut report);
    config_revisions::check(run, &mut report);
    operator_calls::check(run, &mut report);
    config_versions::check(run, &mut report);
    drains::check(run, &mut report);
    tenants::check(run, &mut report);
    report.violations.extend(sim.reachability.violations.iter().cloned());
    report.worst_config_delay = sim.reachability.worst_config_delay;
    report.worst_drain_delay = sim.reachability.worst_drain_delay;
    recovery::check(run, &mut report);
    measure(run, &mut report);
    report
}

/// Adds measurements that no invariant limits.
fn measure(run: &Run, report: &mut Report) {
    let sim = &run.sim;
    let clients = &sim.world.clients;
    let switches: u64 = clients.iter().map(|client| client.steering.switches).sum();
    report.zone_switches = switches as f64 / clients.len().max(1) as f64;
    report.worst_load = sim.world.worst_load;
    let elapsed = sim.net.now.as_secs_f64();
    report.cluster_bytes = sim.net.cluster_bytes as f64 / elapsed;
    report.cross_zone_cluster_bytes = sim.net.cross_zone_cluster_bytes as f64 / elapsed;
    report.probes = sim.world.probes as f64 / elapsed;
    let syncs = sim.nodes.iter().map(|node| match &node.role_state {
        RoleState::Store(store) => store.disk.syncs,
        _ => 0,
    });
    report.syncs_per_change = syncs.sum::<u64>() as f64 / report.accepted.max(1) as f64;
}

/// Formats a time in seconds, for the texts of violations.
fn seconds(time: Duration) -> String {
    format!("{:.3} s", time.as_secs_f64())
}
