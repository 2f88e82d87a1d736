//! The traffic-shift plan, which is computed by the leader of the registries (design 7.4).

use super::tuple_encoded;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// For each source zone and each target zone: the share of the source's clients that are steered to the
/// target, in thousandths.
pub type ZoneShares = BTreeMap<String, BTreeMap<String, u32>>;

/// A server that came back recently, as observed by the fleet's proxies. Serialized as a tuple.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, bool)", into = "(u32, bool)")]
pub struct WarmUp {
    /// The time since it came back, in milliseconds.
    pub age_ms: u32,
    /// Its address refused connections before, so it was certainly unreachable.
    pub connection_refused: bool,
}

tuple_encoded!(WarmUp { age_ms: u32, connection_refused: bool });

/// The version of a traffic-shift plan. Serialized as a tuple. A new leader takes the next epoch and counts
/// plans from 1 within it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct PlanVersion {
    /// Identifies the term of a leader.
    pub epoch: u64,
    /// Increases within the epoch.
    pub counter: u64,
}

tuple_encoded!(PlanVersion { epoch: u64, counter: u64 });

/// The traffic-shift plan. Serialized field names are those of earlier versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficShiftPlan {
    /// The first part of the plan's version.
    pub epoch: u64,
    /// The second part of the plan's version.
    pub counter: u64,
    /// The name of the leader that computed the plan.
    #[serde(rename = "holder")]
    pub leader: String,
    /// The configuration revision that the plan was computed for.
    pub revision: u64,
    /// For each service and each zone: the shares of the zone's clients that are steered to other zones
    /// first. Keyed by name, so that the plan stays valid when the configuration changes.
    #[serde(rename = "moved")]
    pub shifted: BTreeMap<String, ZoneShares>,
    /// Servers that came back recently, for proxies that did not observe their return.
    #[serde(rename = "cold")]
    pub warming_up: BTreeMap<String, WarmUp>,
    /// Servers that no proxy can reach. When one comes back, a proxy knows from this that it was unreachable
    /// for the whole fleet.
    #[serde(rename = "away")]
    pub unreachable: BTreeSet<String>,
}

impl TrafficShiftPlan {
    /// The plan's version, by which plans are ordered.
    pub fn version(&self) -> PlanVersion {
        PlanVersion { epoch: self.epoch, counter: self.counter }
    }
}
