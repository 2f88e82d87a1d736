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
    /// The index of the tenant; `None`: the request is anonymous.
    pub(in crate::sim) tenant: Option<usize>,
    pub(in crate::sim) tried_slots: Vec<usize>,
    pub(in crate::sim) received_at: Duration,
    pub(in crate::sim) deadline: Duration,
    pub(in crate::sim) admission_slot: Option<AdmissionSlot>,
    /// Its ticket while it waits in the admission queue.
    pub(in crate::sim) queue_ticket: Option<u64>,
    /// The attempts in progress, the latest last.
    pub(in crate::sim) attempts: Vec<AttemptInProgress>,
    /// The number of the latest hedge timer. Earlier timers have no effect.
    pub(in crate::sim) hedge_timer: u32,
    /// Whether an attempt was aborted while its server may have been processing it.
    pub(in crate::sim) was_aborted: bool,
}

/// An attempt of a request at one server.
pub(in crate::sim) struct AttemptInProgress {
    /// The number of the attempt within the request, from 1.
    pub(in crate::sim) number: u32,
    /// The table that the server was selected from. `endpoint_index` is its index there.
    pub(in crate::sim) table: Arc<RoutingTable>,
    pub(in crate::sim) endpoint_index: usize,
    /// The slot of the endpoint, where the request counts as in flight.
    pub(in crate::sim) slot: usize,
    /// The connection, and when it was last verified.
    pub(in crate::sim) connection: Option<(u64, Duration)>,
    /// The call to the server, and when it was sent.
    pub(in crate::sim) upstream_call: Option<(CallId, Duration)>,
    /// Whether the attempt was already recorded at its server as timed out.
    pub(in crate::sim) is_overdue: bool,
}

impl RequestInProgress {
    /// The attempts whose servers may be processing the request, the latest last.
    pub(in crate::sim) fn pending(&self) -> Vec<PendingAttempt> {
        let sent = |attempt: &AttemptInProgress| {
            let (_, sent_at) = attempt.upstream_call?;
            Some(PendingAttempt { slot: attempt.slot, sent_at })
        };
        self.attempts.iter().filter_map(sent).collect()
    }

    /// Removes an attempt that has ended, and returns it.
    pub(in crate::sim) fn take_attempt(&mut self, number: u32) -> Option<AttemptInProgress> {
        let position = self.attempts.iter().position(|attempt| attempt.number == number)?;
        Some(self.attempts.remove(position))
    }
}

/// The state of a proxy: its cores and the requests in progress.
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
    pub(in crate::sim) last_tick_at: Duration,
    /// Whether its listeners are closed.
    pub closed: bool,
    pub(in crate::sim) applied_plan: Option<(wire::PlanVersion, TableRevision)>,
    /// Whether a server's phase changed since the last report to the registries. Such a change
    /// makes the next report due early.
    pub(in crate::sim) has_phase_changes: bool,
    pub(in crate::sim) probe_schedule: ProbeSchedule,
    pub(in crate::sim) request_rates: RequestRates,
}
