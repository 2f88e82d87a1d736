//! What each node could have known, and since when.

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

/// The revisions that a node could have known, each with the time since when without a break.
#[derive(Clone, Debug, Default)]
pub struct Knowable {
    /// Revisions of the committed configuration.
    pub config: BTreeMap<u64, Duration>,
    /// Revisions of the endpoint list.
    pub endpoint_list: BTreeMap<u64, Duration>,
}

/// Since when something of at least this revision could have been known.
pub fn knowable_since(revisions: &BTreeMap<u64, Duration>, revision: u64) -> Option<Duration> {
    revisions.range(revision..).map(|(_, since)| *since).min()
}

/// A drained zone, from the operator's acknowledgement to the call that restores it.
#[derive(Clone, Debug)]
pub struct ZoneDrain {
    /// The zone.
    pub zone: String,
    /// The evacuation that it belongs to: only the evacuation's own restore ends it. `None`: a call
    /// under a key.
    pub evacuation: Option<usize>,
    /// The revision that drains the zone.
    pub revision: u64,
    /// When it was acknowledged.
    pub from: Duration,
    /// When the call that restores the zone was sent.
    pub to: Option<Duration>,
}

/// Whose fault it is, its kind, and a number that tells several apart: each is reported once.
type ViolationKey = (usize, &'static str, u64);

/// What each node could have known, from outside, and what was found wrong with it.
#[derive(Default)]
pub struct Reachability {
    pub(in crate::sim) sampled_at: Duration,
    /// What each node could have known.
    pub knowable: Vec<Knowable>,
    /// The highest revisions that were in effect on every running proxy at some moment.
    pub(in crate::sim) in_effect_everywhere: KnownRevisions,
    /// What was in effect everywhere when each node started or resumed.
    pub(in crate::sim) minimum_at_start: Vec<KnownRevisions>,
    /// The incarnation of each node and whether it is up.
    pub(in crate::sim) incarnations: Vec<(u32, bool)>,
    /// When that incarnation started, or resumed.
    pub(in crate::sim) started_at: Vec<Duration>,
    /// Since when a registry has reached a majority of voting stores that reach each other.
    pub majority_since: Vec<Option<Duration>>,
    /// All drains of zones.
    pub zone_drains: Vec<ZoneDrain>,
    /// The highest revision that was acknowledged to an operator.
    pub(in crate::sim) acknowledged: u64,
    reported: BTreeSet<ViolationKey>,
    /// What was found wrong.
    pub violations: Vec<String>,
    /// The longest time until a proxy used a revision that it could have known.
    pub worst_config_delay: Duration,
    /// The longest time for which requests still went to what was drained.
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
