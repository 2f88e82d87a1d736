//! The state of a proxy and of the requests that it forwards.

use crate::sim::network::CallId;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::wire;
use vanepath_proxy::admission::{AdmissionControl, AdmissionSlot};
use vanepath_proxy::endpoints::{
    Endpoints, ObservationReporter, PendingAttempt, ProbeSchedule, RoutingTable, TableRevision,
};
use vanepath_proxy::lifecycle::RequestLifecycle;
use vanepath_proxy::request_rates::RequestRates;
use vanepath_proxy::retry_budget::RetryBudget;

/// A request in progress within a proxy.
pub(in crate::sim) struct RequestInProgress {
    /// The client's call.
    pub(in crate::sim) call: CallId,
    /// The client's request.
    pub(in crate::sim) request: usize,
    pub(in crate::sim) lifecycle: RequestLifecycle,
    pub(in crate::sim) table: Arc<RoutingTable>,
    pub(in crate::sim) rule: usize,
    pub(in crate::sim) tried: Vec<usize>,
    pub(in crate::sim) received_at: Duration,
    pub(in crate::sim) deadline: Duration,
    pub(in crate::sim) permit: Option<AdmissionSlot>,
    /// Its number in the admission queue while it waits.
    pub(in crate::sim) queue_ticket: Option<u64>,
    /// The attempts in progress, the latest last.
    pub(in crate::sim) attempts: Vec<AttemptInProgress>,
    /// The timer that may hedge the request is the one with this number.
    pub(in crate::sim) hedge_timer: u32,
    /// An attempt was cut off at a server that may have been at work on it.
    pub(in crate::sim) was_cut_off: bool,
}

/// An attempt of a request at one server.
pub(in crate::sim) struct AttemptInProgress {
    /// Counts the attempts of the request.
    pub(in crate::sim) number: u32,
    /// The table that the server was selected from, and its index there.
    pub(in crate::sim) table: Arc<RoutingTable>,
    pub(in crate::sim) endpoint_index: usize,
    /// The slot of the endpoint, which counts the request as in flight.
    pub(in crate::sim) slot: usize,
    /// The connection, and when it was last verified.
    pub(in crate::sim) connection: Option<(u64, Duration)>,
    /// The call to the server, and when it was sent.
    pub(in crate::sim) upstream_call: Option<(CallId, Duration)>,
    /// It counts as silent at its server already.
    pub(in crate::sim) is_overdue: bool,
}

impl RequestInProgress {
    /// The attempts whose servers may be at work, the latest last.
    pub(in crate::sim) fn pending(&self) -> Vec<PendingAttempt> {
        let sent = |attempt: &AttemptInProgress| {
            let (_, sent_at) = attempt.upstream_call?;
            Some(PendingAttempt { slot: attempt.slot, sent_at })
        };
        self.attempts.iter().filter_map(sent).collect()
    }

    /// Takes an attempt out that has ended.
    pub(in crate::sim) fn take_attempt(&mut self, number: u32) -> Option<AttemptInProgress> {
        let position = self.attempts.iter().position(|attempt| attempt.number == number)?;
        Some(self.attempts.remove(position))
    }
}

/// A proxy: its cores, and the requests in progress.
#[derive(Default)]
pub struct Proxy {
    /// The servers as the proxy knows them.
    pub endpoints: Endpoints<u64>,
    pub(in crate::sim) admission: AdmissionControl,
    pub(in crate::sim) retry_budget: RetryBudget,
    pub(in crate::sim) in_progress: HashMap<usize, RequestInProgress>,
    /// The requests in the admission queue, by their tickets.
    pub(in crate::sim) queued: HashMap<u64, usize>,
    pub(in crate::sim) next_progress_id: usize,
    pub(in crate::sim) table_revision: Option<TableRevision>,
    pub(in crate::sim) reporter: ObservationReporter,
    pub(in crate::sim) ticked_at: Duration,
    /// Its listeners are closed.
    pub closed: bool,
    pub(in crate::sim) applied_plan: Option<(wire::PlanVersion, TableRevision)>,
    /// A server's phase changed: registries are to hear of it soon.
    pub(in crate::sim) has_phase_changes: bool,
    pub(in crate::sim) probe_schedule: ProbeSchedule,
    pub(in crate::sim) request_rates: RequestRates,
}
