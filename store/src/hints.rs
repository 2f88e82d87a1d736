//! Hints for a restart of all nodes at one time (design 6.8): the addresses of other nodes, and which servers
//! were unreachable or warming up. No vote and no answer rests on them, and a lost or old file does no harm.
//! Pure.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::TrafficShiftPlan;

/// The contents of the hints file. The name in `#[serde(rename = "...")]` is that of earlier versions.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Hints {
    /// Addresses of nodes that were live: contacted at the start, beside the seeds of the settings.
    #[serde(rename = "siblings")]
    pub nodes: BTreeSet<SocketAddr>,
    /// The last traffic-shift plan, for the servers that are unreachable or were so lately. Its ages stand
    /// still while nobody runs, so that a server that is warming up keeps its modest rate rather too long.
    pub plan: TrafficShiftPlan,
}

/// Hints files written in any minute.
const MAX_WRITES_PER_MINUTE: usize = 12;
/// Shortest interval between two writes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Decides when the hints are written.
#[derive(Debug, Default)]
pub struct HintWriter {
    last: Hints,
    /// When the files of the last minute were written, oldest first.
    written_at: VecDeque<Duration>,
}

impl HintWriter {
    /// Starts with the hints that the disk holds.
    pub fn new(stored: Hints) -> HintWriter {
        HintWriter { last: stored, written_at: VecDeque::new() }
    }

    /// The hints to write now, if they have changed and may be written again.
    pub fn step(&mut self, now: Duration, view: &ClusterView) -> Option<Hints> {
        if !self.may_write(now) || !view.is_fresh {
            return None;
        }
        let nodes = other_nodes(view);
        // Seeing no other node is no reason to forget where they were.
        let are_nodes_same = nodes.is_empty() || nodes == self.last.nodes;
        let is_plan_same = self.is_plan_same(&view.plan);
        if are_nodes_same && is_plan_same {
            return None;
        }
        if !are_nodes_same {
            self.last.nodes = nodes;
        }
        if !is_plan_same {
            self.last.plan = (*view.plan).clone();
        }
        self.written_at.push_back(now);
        Some(self.last.clone())
    }

    fn may_write(&mut self, now: Duration) -> bool {
        while self.written_at.front().is_some_and(|at| now >= *at + Duration::from_secs(60)) {
            self.written_at.pop_front();
        }
        let is_too_soon = self.written_at.back().is_some_and(|at| now < *at + MIN_WRITE_INTERVAL);
        !is_too_soon && self.written_at.len() < MAX_WRITES_PER_MINUTE
    }

    /// Whether a plan is not newer, or names the same servers.
    fn is_plan_same(&self, plan: &TrafficShiftPlan) -> bool {
        let last = &self.last.plan;
        last.version() >= plan.version()
            || (last.unreachable == plan.unreachable
                && last.warming_up.keys().eq(plan.warming_up.keys()))
    }
}

/// Addresses of all nodes but this one. A node that is not heard of may be back later than this store; gossip
/// forgets it in time.
fn other_nodes(view: &ClusterView) -> BTreeSet<SocketAddr> {
    let live = view.live.iter().skip(1);
    live.chain(&view.unreachable).map(|(info, _)| info.cluster_address).collect()
}

#[cfg(test)]
mod tests;
