//! Hints for a simultaneous restart of all nodes (design 6.8): the addresses of other nodes, and which
//! servers were unreachable or warming up. No vote or response depends on them, so that a lost or outdated
//! file does no harm. This module performs no I/O.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::TrafficShiftPlan;

/// The contents of the hints file. The name in `#[serde(rename = "...")]` is the stored name of earlier
/// versions and must stay.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Hints {
    /// Addresses of other nodes, contacted at start-up in addition to the configured seeds.
    #[serde(rename = "siblings")]
    pub nodes: BTreeSet<SocketAddr>,
    /// The last traffic-shift plan, which lists the servers that are unreachable or were so recently. Its
    /// ages do not advance while no node runs, so that the rate of a server that is warming up stays limited
    /// too long rather than too short.
    pub plan: TrafficShiftPlan,
}

/// Maximum number of writes of the hints file within any 60 s.
const MAX_WRITES_PER_MINUTE: usize = 12;
/// Minimum interval between two writes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Decides when the hints are written.
#[derive(Debug, Default)]
pub struct HintWriter {
    last_hints: Hints,
    /// Times of the writes within the last minute, oldest first.
    written_at: VecDeque<Duration>,
}

impl HintWriter {
    /// Starts with the hints that the disk holds.
    pub fn new(stored: Hints) -> HintWriter {
        HintWriter { last_hints: stored, written_at: VecDeque::new() }
    }

    /// Returns the hints to write now, if they have changed and the rate limit allows a write.
    pub fn step(&mut self, now: Duration, view: &ClusterView) -> Option<Hints> {
        if !self.may_write(now) || !view.is_fresh {
            return None;
        }
        let nodes = other_nodes(view);
        // While no other node is visible, the last known addresses are kept.
        let are_nodes_same = nodes.is_empty() || nodes == self.last_hints.nodes;
        let is_plan_same = self.is_plan_same(&view.plan);
        if are_nodes_same && is_plan_same {
            return None;
        }
        if !are_nodes_same {
            self.last_hints.nodes = nodes;
        }
        if !is_plan_same {
            self.last_hints.plan = (*view.plan).clone();
        }
        self.written_at.push_back(now);
        Some(self.last_hints.clone())
    }

    fn may_write(&mut self, now: Duration) -> bool {
        while self.written_at.front().is_some_and(|at| now >= *at + Duration::from_secs(60)) {
            self.written_at.pop_front();
        }
        let is_too_soon = self.written_at.back().is_some_and(|at| now < *at + MIN_WRITE_INTERVAL);
        !is_too_soon && self.written_at.len() < MAX_WRITES_PER_MINUTE
    }

    /// Whether a plan is not newer than the last one, or lists the same servers.
    fn is_plan_same(&self, plan: &TrafficShiftPlan) -> bool {
        let last_plan = &self.last_hints.plan;
        last_plan.version() >= plan.version()
            || (last_plan.unreachable == plan.unreachable
                && last_plan.warming_up.keys().eq(plan.warming_up.keys()))
    }
}

/// Addresses of all nodes except this one, which is the first of the view. Unreachable nodes are included,
/// since they may come back later than this store; gossip forgets them in time.
fn other_nodes(view: &ClusterView) -> BTreeSet<SocketAddr> {
    let live = view.live.iter().skip(1);
    live.chain(&view.unreachable).map(|(info, _)| info.cluster_address).collect()
}

#[cfg(test)]
mod tests;
