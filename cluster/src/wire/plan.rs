//! The traffic-shift plan, which the leader of the registries makes (design 7.4).

use super::tuple_encoded;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// By zone, for each other zone: thousandths of the first one's clients that are steered to the other.
pub type ZoneShares = BTreeMap<String, BTreeMap<String, u32>>;

/// A server that came back lately, as the fleet's proxies saw it come back; a tuple on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, bool)", into = "(u32, bool)")]
pub struct WarmUp {
    /// For how long it has been back, in milliseconds.
    pub age_ms: u32,
    /// Its machine refused connections before: it surely was away.
    pub connection_refused: bool,
}

tuple_encoded!(WarmUp { age_ms: u32, connection_refused: bool });

/// The version of a traffic-shift plan; a tuple on the wire. A new leader takes the next epoch and counts
/// from 1 within it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct PlanVersion {
    /// One for each term of a leader.
    pub epoch: u64,
    /// Rises within the epoch.
    pub counter: u64,
}

tuple_encoded!(PlanVersion { epoch: u64, counter: u64 });

/// The traffic-shift plan. Fields are named on the wire as in earlier versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficShiftPlan {
    /// With `counter`, its version.
    pub epoch: u64,
    /// With `epoch`, its version.
    pub counter: u64,
    /// The name of the leader that made it.
    #[serde(rename = "holder")]
    pub leader: String,
    /// The configuration's revision that it was made for.
    pub revision: u64,
    /// For each service, for each zone: to which other zones its clients are steered first, in
    /// thousandths of them. By names, so that it stays valid through changes of the configuration.
    #[serde(rename = "moved")]
    pub shifted: BTreeMap<String, ZoneShares>,
    /// Servers that came back lately, for proxies that were not there to see it.
    #[serde(rename = "cold")]
    pub warming_up: BTreeMap<String, WarmUp>,
    /// Servers that no proxy can reach: a proxy that sees one come back knows that it was away.
    #[serde(rename = "away")]
    pub unreachable: BTreeSet<String>,
}

impl TrafficShiftPlan {
    /// By which the newest plan is known.
    pub fn version(&self) -> PlanVersion {
        PlanVersion { epoch: self.epoch, counter: self.counter }
    }
}
