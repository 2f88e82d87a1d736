//! The record of what each node could have known, and since when.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Revisions of the configuration and of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownRevisions {
    /// The revision of the committed configuration.
    pub config: u64,
    /// The revision of the endpoint list.
    pub endpoint_list: u64,
}

/// The revisions that a node could have known, each with the time since which it could have known
/// it without interruption.
#[derive(Clone, Debug, Default)]
pub struct KnowableRevisions {
    /// Revisions of the committed configuration.
    pub config: BTreeMap<u64, Duration>,
    /// Revisions of the endpoint list.
    pub endpoint_list: BTreeMap<u64, Duration>,
}

/// Since when this revision or a later one could have been known.
pub fn knowable_since(revisions: &BTreeMap<u64, Duration>, revision: u64) -> Option<Duration> {
    revisions.range(revision..).map(|(_, since)| *since).min()
}

/// A drained zone, from the acknowledgement to the operator until any call that restores the zone.
#[derive(Clone, Debug)]
pub struct ZoneDrain {
    /// The zone.
    pub zone: String,
    /// The revision that drains the zone.
    pub revision: u64,
    /// When the drain was acknowledged.
    pub from: Duration,
    /// When the call that restores the zone was sent.
    pub to: Option<Duration>,
}

/// The subject of a violation, its kind, and a number that distinguishes several of one kind. Each
/// key is reported once.
type ViolationKey = (usize, &'static str, u64);

/// What each node could have known, as observed from outside, and the violations found.
#[derive(Default)]
pub struct Reachability {
    /// When the fleet was last observed.
    pub(in crate::sim) sampled_at: Duration,
    /// What each node could have known.
    pub knowable: Vec<KnowableRevisions>,
    /// The highest revisions that were in effect on every running proxy at some moment.
    pub(in crate::sim) in_effect_everywhere: KnownRevisions,
    /// What was in effect everywhere when each node last started or resumed.
    pub(in crate::sim) minimum_at_start: Vec<KnownRevisions>,
    /// The incarnation of each node, and whether the node is up.
    pub(in crate::sim) incarnations: Vec<(u32, bool)>,
    /// When that incarnation started, or resumed.
    pub(in crate::sim) started_at: Vec<Duration>,
    /// Since when a registry has reached a majority of voting stores that reach each other.
    pub majority_since: Vec<Option<Duration>>,
    /// All drains of zones.
    pub zone_drains: Vec<ZoneDrain>,
    /// The highest revision that was acknowledged to an operator.
    pub(in crate::sim) acknowledged_revision: u64,
    reported: BTreeSet<ViolationKey>,
    /// The violations found; at most 40 are kept.
    pub violations: Vec<String>,
    /// The longest time until a proxy used a revision that it could have known.
    pub worst_config_delay: Duration,
    /// The longest time after which a request still went to a drained server or zone.
    pub worst_drain_delay: Duration,
}

impl Reachability {
    /// Reports a violation, once for each subject, kind and number.
    pub(in crate::sim) fn report(
        &mut self,
        subject: usize,
        kind: &'static str,
        number: u64,
        text: String,
    ) {
        if self.reported.insert((subject, kind, number)) && self.violations.len() < 40 {
            self.violations.push(text);
        }
    }
}
