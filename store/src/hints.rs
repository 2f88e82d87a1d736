//! What a store writes down beside the word so that a fleet of which every process died finds itself
//! again (design 6.8): where siblings were, and which servers were away or just back. Hints only:
//! no vote and no answer rests on them, and a lost or old file does no harm. Pure.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use vanepath_cluster::{node::ClusterView, wire};

#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Hints {
    /// Where live siblings were: asked at the start, beside the seeds of the settings.
    #[serde(rename = "siblings")]
    pub nodes: BTreeSet<SocketAddr>,
    /// The last plan, for what it says of servers that are away or came back lately. Its ages stand
    /// still while nobody runs, so that a cold server gets its modest rate rather too long.
    pub plan: wire::TrafficShiftPlan,
}

/// Files written in any minute at the most, and the pause between two.
const IN_A_MINUTE: usize = 12;
const PAUSE: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
pub struct HintWriter {
    kept: Hints,
    /// When the last files were written, oldest first.
    written: std::collections::VecDeque<Duration>,
}

impl HintWriter {
    /// Goes on from what the disk holds.
    pub fn new(kept: Hints) -> HintWriter {
        HintWriter { kept, written: Default::default() }
    }

    /// What to write now, if anything.
    pub fn step(&mut self, now: Duration, view: &ClusterView) -> Option<Hints> {
        while self.written.front().is_some_and(|at| now >= *at + Duration::from_secs(60)) {
            self.written.pop_front();
        }
        let is_too_soon = self.written.back().is_some_and(|at| now < *at + PAUSE);
        if is_too_soon || self.written.len() >= IN_A_MINUTE || !view.is_fresh {
            return None;
        }
        let mut siblings: BTreeSet<SocketAddr> =
            view.live.iter().skip(1).map(|(card, _)| card.cluster_address).collect();
        // Who is not heard of may be back later than this store; he is forgotten in time.
        siblings.extend(view.unreachable.iter().map(|(card, _)| card.cluster_address));
        let last = &self.kept.plan;
        let is_same_plan = last.version() >= view.plan.version()
            || (last.unreachable == view.plan.unreachable
                && last.warming_up.keys().eq(view.plan.warming_up.keys()));
        // Nobody in sight is no reason to forget where the others were.
        let is_same = siblings.is_empty() || siblings == self.kept.nodes;
        if is_same && is_same_plan {
            return None;
        }
        if !is_same {
            self.kept.nodes = siblings;
        }
        if !is_same_plan {
            self.kept.plan = (*view.plan).clone();
        }
        self.written.push_back(now);
        Some(self.kept.clone())
    }
}

#[cfg(test)]
mod tests;
