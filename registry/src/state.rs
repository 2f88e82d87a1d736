//! State shared by the registry's tasks: the HTTP API, the endpoint poller and the control loop.

use crate::discovery::PollOutcome;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use vanepath_cluster::node::Node;
use vanepath_cluster::request_fence::RequestFence;

vanepath_cluster::counters! {
    /// The registry's metrics. The variant names in camel case are the metric names on `/v1/metrics`
    /// and must not change between versions.
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
        ChangesOvertaken,
        ChangesDropped,
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

/// The state shared by all tasks of one registry.
pub struct Registry {
    /// The node: settings, clock, gossip and transport.
    pub node: Arc<Node>,
    /// The registry's metrics.
    pub counters: Arc<Counters>,
    /// The outcome of the last read of the platform's endpoint list, for the status page.
    pub poll_outcome: Arc<Mutex<PollOutcome>>,
    /// Whether this registry has a configuration and a fresh view, and is not shutting down; set by the
    /// control loop.
    pub is_ready: AtomicBool,
    /// What this registry knew when a request that it reads may have been sent.
    pub request_fence: Mutex<RequestFence>,
}

impl Registry {
    /// Whether the control loop found this registry ready at its last tick.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }

    /// Records that this registry runs, and that this revision is committed.
    pub fn observe_revision(&self, revision: u64) {
        let now = self.node.clock.now();
        self.request_fence.lock().expect("no panic under this lock").observe(now, revision);
    }

    /// The highest committed revision that this registry knew when a request that it reads now may have been sent
    /// (design 6.10).
    pub fn fenced_revision(&self) -> u64 {
        let now = self.node.clock.now();
        self.request_fence.lock().expect("no panic under this lock").known_revision(now)
    }

    /// This registry's own zone and region, the default for clients that do not state theirs.
    pub fn own_location(&self) -> (&str, &str) {
        (&self.node.settings.zone, &self.node.settings.region)
    }
}
