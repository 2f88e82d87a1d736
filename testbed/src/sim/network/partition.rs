//! Network partitions: pairs of hosts between which no message passes.

use super::Network;
use super::host::{HostFaultKind, HostId};
use std::time::Duration;

impl Network {
    /// Whether messages from one host to the other are lost.
    pub fn is_cut(&self, from: HostId, to: HostId) -> bool {
        self.cuts.contains_key(&(from, to))
    }

    /// Cuts every host of the left side off from every other host of the right side. In a one-way
    /// cut only messages from the left side are lost.
    pub fn cut(&mut self, left: &[HostId], right: &[HostId], is_one_way: bool) {
        for host in left {
            self.begin_fault(*host, HostFaultKind::Cut);
        }
        for pair in pairs(left, right, is_one_way) {
            *self.cuts.entry(pair).or_default() += 1;
        }
    }

    /// Ends one cut. Other cuts between the same hosts remain.
    pub fn uncut(&mut self, left: &[HostId], right: &[HostId], is_one_way: bool) {
        for host in left {
            self.end_fault(*host, HostFaultKind::Cut);
        }
        for pair in pairs(left, right, is_one_way) {
            if let Some(count) = self.cuts.get_mut(&pair) {
                *count -= 1;
                if *count == 0 {
                    self.cuts.remove(&pair);
                }
            }
        }
    }

    /// Ends all cuts and additional delays.
    pub fn heal(&mut self) {
        for host in 0..self.hosts.len() {
            self.end_fault(host, HostFaultKind::Cut);
        }
        self.cuts.clear();
        self.extra_delay = Duration::ZERO;
    }
}

fn pairs(left: &[HostId], right: &[HostId], is_one_way: bool) -> Vec<(HostId, HostId)> {
    let mut pairs = Vec::new();
    for one in left {
        for other in right.iter().filter(|other| *other != one) {
            pairs.push((*one, *other));
            if !is_one_way {
                pairs.push((*other, *one));
            }
        }
    }
    pairs
}
