//! Invariant checks, from outside: the histories of clients, servers and operators, and which
//! configuration was in effect where. Each violation is one line.

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

use super::scenario::Run;
use super::state::RoleState;
use std::time::Duration;

/// What the invariant checks found and measured.
#[derive(Debug, Default)]
pub struct Report {
    /// The violations, one line each.
    pub violations: Vec<String>,
    /// Idempotent requests.
    pub lookups: usize,
    /// Idempotent requests without a good answer.
    pub lookups_lost: usize,
    /// Requests that must not run twice.
    pub filings: usize,
    /// Of these, those that clients were told not to have run.
    pub filings_not_run: usize,
    /// Of these, those that clients were told may have run.
    pub filings_may_have_run: usize,
    /// Retries of proxies for each admitted request.
    pub proxy_retry_ratio: f64,
    /// Requests that came to proxies beyond the first arrival of each, for each request.
    pub client_retry_ratio: f64,
    /// The most retries in any ten seconds, less a fifth of the requests.
    pub worst_retry_excess: f64,
    /// How often a client changed its zone, on the mean.
    pub zone_switches: f64,
    /// The highest load of one server, of those that report a measured load.
    pub worst_load: f64,
    /// The most requests that a server in slow start got in one second, in multiples of its rate.
    pub worst_slow_start: f64,
    /// The longest time until a proxy used a configuration that it could have known.
    pub worst_config_delay: Duration,
    /// The longest time for which requests still went to what was drained.
    pub worst_drain_delay: Duration,
    /// How long each accepted change took to be in effect on each proxy.
    pub config_delays: Vec<Duration>,
    /// When the last lookup was lost after the last fault; `None` if none was served since.
    pub resumed_after: Option<Duration>,
    /// Accepted changes.
    pub accepted: usize,
    /// Changes whose outcome operators were told to be unknown.
    pub unknown: usize,
    /// Changes that operators were told not to have been applied.
    pub not_applied: usize,
    /// Bytes of gossip a second, of all nodes together.
    pub cluster_bytes: f64,
    /// Bytes of gossip a second between zones.
    pub cross_zone_cluster_bytes: f64,
    /// Health checks a second.
    pub probes: f64,
    /// Writes to the disks of all stores for each accepted change.
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
    report.violations.extend(sim.reachability.violations.iter().cloned());
    report.worst_config_delay = sim.reachability.worst_config_delay;
    report.worst_drain_delay = sim.reachability.worst_drain_delay;
    recovery::check(run, &mut report);
    measure(run, &mut report);
    report
}

/// Figures that no invariant bounds.
fn measure(run: &Run, report: &mut Report) {
    let sim = &run.sim;
    let clients = &sim.world.clients;
    let switches: u64 = clients.iter().map(|client| client.steering.switches).sum();
    report.zone_switches = switches as f64 / clients.len().max(1) as f64;
    report.worst_load = sim.world.worst_load;
    let seconds = sim.net.now.as_secs_f64();
    report.cluster_bytes = sim.net.cluster_bytes as f64 / seconds;
    report.cross_zone_cluster_bytes = sim.net.cross_zone_cluster_bytes as f64 / seconds;
    report.probes = sim.world.probes as f64 / seconds;
    let syncs = sim.nodes.iter().map(|node| match &node.role_state {
        RoleState::Store(store) => store.disk.syncs,
        _ => 0,
    });
    report.syncs_per_change = syncs.sum::<u64>() as f64 / report.accepted.max(1) as f64;
}

/// A time in seconds, for violations.
fn seconds(time: Duration) -> String {
    format!("{:.3} s", time.as_secs_f64())
}
