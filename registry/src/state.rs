//! The state that the registry's tasks share: the HTTP API, the endpoint poller and the control loop.

use crate::discovery::PollOutcome;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use vanepath_cluster::node::Node;

vanepath_cluster::counters! {
    /// The registry's metrics. The variants' names, in camel case, are the names on `/v1/metrics`
    /// and therefore stay as earlier versions had them.
    pub enum Counter {
        SteerPolls,
        SteerPollsFirst,
        SteerEchoesBad,
        SteerRefusedBehind,
        SteerRefusedCutOff,
        SteerRefusedNotReady,
        AddressesOfOtherHomes,
        AddressesOfRestarting,
        AddressesElsewhere,
        SetupsAccepted,
        SetupsRefusedInvalid,
        SetupsConflicting,
        ZoneChanges,
        WritesNothingDone,
        WritesUnknown,
        StoreTries,
        Reads,
        PlatformReads,
        PlatformReadsBad,
        PlatformReadsOvertaken,
        PlatformChanges,
        PlansMade,
    }
}

/// The values of the registry's metrics.
pub type Counters = vanepath_cluster::counters::Counters<Counter>;

/// What all tasks of one registry share.
pub struct Registry {
    /// The node: settings, clock, gossip and transport.
    pub node: Arc<Node>,
    /// The registry's metrics.
    pub counters: Arc<Counters>,
    /// How the last read of the platform's endpoint list ended, for the status page.
    pub poll_outcome: Arc<Mutex<PollOutcome>>,
    /// Whether this registry has a configuration and a fresh view; set by the control loop.
    pub is_ready: AtomicBool,
}

impl Registry {
    /// Whether the control loop found this registry ready at its last tick.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }

    /// This registry's own zone and region, for clients that do not name theirs.
    pub fn own_location(&self) -> (&str, &str) {
        (&self.node.settings.zone, &self.node.settings.region)
    }
}
