//! Waits for the stable state of a fleet after all faults, and measures the resource usage of its processes.

use super::{Orders, World};
use crate::harness::Daemon;
use crate::relay::Link;
use crate::soak::operator::Order;
use crate::soak::record::{Usage, UsageComparison};
use crate::soak::script::PlatformState;
use crate::soak::{invariants, usage};
use crate::stub::Behavior;
use rustix::process::Signal;
use std::time::{Duration, Instant};
use vanepath_proxy::endpoints::MAX_IDLE_TIME;

/// Delay between two checks for the stable state.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long after [`MAX_IDLE_TIME`] the idle connections of a proxy are closed at the latest.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Delay between two measurements of the resource usage.
const USAGE_INTERVAL: Duration = Duration::from_secs(1);

/// The resource usage of one process at one time.
pub(super) struct ProcessUsage {
    daemon: String,
    pid: u32,
    usage: Usage,
}

impl World {
    /// Ends every fault.
    pub(super) async fn end_faults(&mut self, orders: &Orders) {
        for index in 0..self.fleet.daemons.len() {
            self.fleet.signal(index, Signal::CONT);
            // The number of resets does not change, so that connections over the link stay open.
            self.fleet.set_links(index, Link { resets: self.resets[index], ..Link::default() });
        }
        self.set_platform(PlatformState::Normal);
        let zones: Vec<usize> = (0..self.fleet.topology.zones.len()).collect();
        for zone in zones {
            self.order(orders, Order::RestoreZone(self.zone_name(zone)));
        }
        for server in 0..self.current.len() {
            self.fleet.servers[server].set_behavior(Behavior::Normal);
            if self.faults.is_ongoing(&format!("crash {server}")) {
                self.fleet.restart_server(server).await;
            }
        }
        self.faults.end_all();
    }

    /// Waits until every daemon runs and every proxy is ready with this revision or a later one, and
    /// returns the time. `None` if this is not the case within the time-out.
    pub(super) async fn wait_until_stable(&mut self, revision: u64) -> Option<Duration> {
        let start = Instant::now();
        let indices: Vec<usize> = (0..self.fleet.daemons.len()).collect();
        while start.elapsed() < invariants::STABILIZATION_TIMEOUT {
            // A daemon that is terminating may take its whole grace period to end; it is started after that.
            for index in &indices {
                if !self.fleet.is_running(*index) {
                    self.fleet.start_daemon(*index);
                }
            }
            self.to_restart.clear();
            if self.is_stable(revision).await {
                return Some(self.start.elapsed());
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        None
    }

    async fn is_stable(&self, revision: u64) -> bool {
        for index in self.fleet.with_role("proxy") {
            if !self.fleet.is_active(index, revision).await {
                return false;
            }
        }
        true
    }

    /// The resource usage of all running processes.
    pub(super) fn usage(&self) -> Vec<ProcessUsage> {
        let usage_of = |daemon: &Daemon| {
            let pid = daemon.pid()?;
            Some(ProcessUsage { daemon: daemon.name.clone(), pid, usage: usage::read(pid)? })
        };
        self.fleet.daemons.iter().filter_map(usage_of).collect()
    }

    /// Like [`World::usage_since`], after the idle connections of proxies to servers have been closed where
    /// these are many after a burst of requests.
    pub(super) async fn usage_at_rest(&self, before: &[ProcessUsage]) -> Vec<UsageComparison> {
        let deadline = Instant::now() + MAX_IDLE_TIME + IDLE_MARGIN;
        loop {
            let usage = self.usage_since(before);
            if !usage.iter().any(invariants::has_grown) || Instant::now() > deadline {
                return usage;
            }
            tokio::time::sleep(USAGE_INTERVAL).await;
        }
    }

    /// Compares the resource usage of the processes in `before` that are still running with their present
    /// one.
    fn usage_since(&self, before: &[ProcessUsage]) -> Vec<UsageComparison> {
        let after = self.usage();
        let same = before.iter().filter_map(|before| {
            let after = after.iter().find(|after| after.pid == before.pid)?;
            Some(UsageComparison {
                daemon: before.daemon.clone(),
                before: before.usage,
                after: after.usage,
            })
        });
        same.collect()
    }
}
