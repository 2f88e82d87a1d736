//! The state that all requests of a proxy share, and its counters.

use crate::admission::{AdmissionControl, AdmissionSlot, AdmittedRequest};
use crate::bandwidth_limiter::BandwidthLimiter;
use crate::client_deadlines::ClientDeadlines;
use crate::connector::Sender;
use crate::endpoints::Endpoints;
use crate::health::Failure;
use crate::lifecycle::AttemptError;
use crate::request_rates::RequestRates;
use crate::retry_budget::{RetryBudgets, RetryReason};
use crate::shell::DrainSchedule;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use vanepath_cluster::node::{self, Node};

vanepath_cluster::counters! {
    /// The counters of a proxy. Their names in the metrics are those of earlier versions.
    pub enum Counter {
        /// Requests received.
        Requests,
        /// Requests answered with the response of a server.
        #[strum(serialize = "done")]
        Completed,
        /// Requests whose client disconnected before there was a response to send.
        #[strum(serialize = "callersLeft")]
        ClientDisconnects,
        /// Requests rejected as invalid.
        #[strum(serialize = "refusedMalformed")]
        RejectedMalformed,
        /// Requests rejected because no rule matches them.
        #[strum(serialize = "refusedUnmatched")]
        RejectedUnmatched,
        /// Requests rejected because they have no valid API key.
        #[strum(serialize = "refusedUnauthorized")]
        RejectedUnauthorized,
        /// Requests rejected because the configuration was not confirmed to be the newest one.
        #[strum(serialize = "refusedConfigUnconfirmed")]
        RejectedConfigUnconfirmed,
        /// Requests rejected because their rule and their tenant have no region in common.
        #[strum(serialize = "refusedNoCommonRegion")]
        RejectedNoCommonRegion,
        /// Requests rejected because their head is over the limit.
        #[strum(serialize = "refusedHeadTooLarge")]
        RejectedHeadTooLarge,
        /// Requests rejected because their body is over the limit.
        #[strum(serialize = "refusedTooLarge")]
        RejectedTooLarge,
        /// Requests rejected because their rule does not allow forwarding from this region.
        #[strum(serialize = "refusedMisplaced")]
        RejectedWrongRegion,
        /// Requests rejected because this proxy was not ready.
        #[strum(serialize = "refusedNotReady")]
        RejectedNotReady,
        /// Requests rejected because this node could not establish its read index.
        #[strum(serialize = "refusedBelowFloor")]
        RejectedBelowReadIndex,
        /// Requests rejected because the queue of their class was full.
        #[strum(serialize = "refusedNoRoom")]
        RejectedQueueFull,
        /// Requests rejected because no server was left to try.
        #[strum(serialize = "refusedNoServer")]
        RejectedNoServer,
        /// Requests rejected because they would have missed their deadline in the queue of every server.
        #[strum(serialize = "refusedCrowded")]
        RejectedCongested,
        /// Requests rejected because the retry budget was used up.
        #[strum(serialize = "refusedNoBudget")]
        RejectedNoBudget,
        /// Requests rejected because their deadline passed.
        #[strum(serialize = "refusedLate")]
        RejectedDeadlineExceeded,
        /// Requests rejected because their response was lost.
        #[strum(serialize = "refusedLost")]
        RejectedResponseLost,
        /// Rejections that state that the request did not run.
        #[strum(serialize = "verdictNotRun")]
        StatusNotRun,
        /// Rejections that state that the request may have run.
        #[strum(serialize = "verdictMayHaveRun")]
        StatusMayHaveRun,
        /// Attempts, including the first of each request.
        #[strum(serialize = "goes")]
        Attempts,
        /// Attempts other than the first of their request.
        #[strum(serialize = "furtherGoes")]
        Retries,
        /// Attempts that were still waiting for their server when the response of another one was relayed.
        AttemptsSuperseded,
        /// Requests rejected before their deadline while a server may have been processing them.
        RejectedWhilePending,
        /// Attempts given up before anything was sent because the server was withdrawn.
        #[strum(serialize = "goesWithdrawn")]
        AttemptsWithdrawn,
        /// Attempts at servers in another zone.
        #[strum(serialize = "goesOtherZone")]
        AttemptsOtherZone,
        /// Attempts at servers in another region.
        #[strum(serialize = "goesOtherRegion")]
        AttemptsOtherRegion,
        /// Bytes of response bodies from other zones.
        BytesOtherZone,
        /// Connections to servers that this proxy tried to open for requests.
        ConnectionsOpened,
        /// Connections to servers that could not be established for requests.
        ConnectionsFailed,
        /// Idle connections that were reused for requests.
        ConnectionsReused,
        /// Active health checks of servers.
        Probes,
        /// Active health checks of servers that failed.
        ProbesFailed,
        /// Responses that were cut short, or whose end could not be proved, before any part was relayed.
        #[strum(serialize = "receiptsTruncated")]
        ResponsesTruncated,
        /// Responses that were cut short while they were relayed.
        #[strum(serialize = "receiptsAborted")]
        ResponsesAborted,
        /// Connections on which a server sent bytes that belong to no request.
        SurplusBytes,
        /// Load reports that could not be read.
        #[strum(serialize = "demandReportsBad")]
        LoadReportsInvalid,
        /// Requests admitted at once to a slot borrowed from another class.
        Borrowed,
        /// Requests that were queued for a slot of their class.
        Queued,
    }
}

/// The counters of a proxy.
pub type Counters = vanepath_cluster::counters::Counters<Counter>;

/// The rate of the link, in megabits per second, from which on large responses are not throttled.
const WIDE_LINK_MEGABITS: f64 = 100.0;

/// The state that all requests of a proxy share.
pub struct Proxy {
    /// This process as a node of the cluster.
    pub node: Arc<Node>,
    /// The servers and the routing table.
    pub endpoints: Endpoints<Sender>,
    /// Concurrency limits and queues of the classes.
    pub admission: Mutex<AdmissionControl>,
    /// The channels that pass slots to queued requests, by ticket.
    pub(super) queued: Mutex<HashMap<u64, oneshot::Sender<AdmissionSlot>>>,
    /// The retry budgets of the services.
    pub retry_budgets: Mutex<RetryBudgets>,
    /// The counters that the metrics show.
    pub counters: Arc<Counters>,
    /// Whether this proxy accepts requests.
    pub is_ready: AtomicBool,
    /// The steps of a graceful shutdown.
    pub drain: DrainSchedule,
    /// Whether the phase of a server has changed since the last report to the registries.
    pub has_unreported_changes: AtomicBool,
    /// The number of live proxies, which share the retry budgets.
    pub live_proxies: AtomicUsize,
    /// Requests per second by service.
    pub request_rates: Mutex<RequestRates>,
    pub(super) client_deadlines: Mutex<ClientDeadlines>,
    /// Throttles large responses to clients; `None` unless the link is narrow.
    pub(super) downstream_limiter: Option<Mutex<BandwidthLimiter>>,
    /// Throttles the reading of large responses from servers; `None` unless the link is narrow.
    pub(super) upstream_limiter: Option<Mutex<BandwidthLimiter>>,
    random_state: AtomicU64,
}

impl Proxy {
    /// Creates a proxy without servers and classes; the maintenance actor adds them.
    pub fn new(node: Arc<Node>, drain: DrainSchedule) -> Proxy {
        let has_request_ids = node.settings.wire_format.headers().request_id.is_some();
        let mut endpoints = Endpoints::default();
        endpoints.verifies_responses = has_request_ids;
        let retry_budget = node.settings.retry_budget;
        let narrow_link = node.settings.link_megabits.filter(|rate| *rate < WIDE_LINK_MEGABITS);
        let new_limiter = || narrow_link.map(|rate| Mutex::new(BandwidthLimiter::new(rate)));
        Proxy {
            node,
            endpoints,
            admission: Mutex::default(),
            queued: Mutex::default(),
            retry_budgets: Mutex::new(RetryBudgets::new(retry_budget)),
            counters: Arc::default(),
            is_ready: AtomicBool::new(false),
            drain,
            has_unreported_changes: AtomicBool::new(false),
            live_proxies: AtomicUsize::new(1),
            request_rates: Mutex::default(),
            client_deadlines: Mutex::default(),
            downstream_limiter: new_limiter(),
            upstream_limiter: new_limiter(),
            random_state: AtomicU64::new(node::random()),
        }
    }

    /// Whether this proxy is shutting down.
    pub fn is_draining(&self) -> bool {
        self.node.is_shutting_down()
    }

    /// The next random number (SplitMix64).
    pub(super) fn random(&self) -> u64 {
        let mut mixed = self.random_state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// The current time on the clock of the node.
    pub(super) fn now(&self) -> Duration {
        self.node.clock.now()
    }

    /// Converts a time on the clock of the node to an instant of the runtime's timers. A time in the past
    /// becomes the present.
    pub(super) fn timer_instant(&self, at: Duration) -> Instant {
        Instant::now() + at.saturating_sub(self.now())
    }

    /// Passes slots to the queued requests that admission control has admitted. The slot of a request
    /// whose client has disconnected in the meantime is released again.
    pub fn pass_slots(&self, mut admitted: Vec<AdmittedRequest>) {
        while let Some(AdmittedRequest { ticket, slot }) = admitted.pop() {
            let request = self.queued.lock().expect("no panic under this lock").remove(&ticket);
            let has_disconnected = request.is_none_or(|request| request.send(slot).is_err());
            if has_disconnected {
                let mut admission = self.admission.lock().expect("no panic under this lock");
                admitted.extend(admission.release(slot));
            }
        }
    }

    pub(super) fn release_slot(&self, slot: AdmissionSlot) {
        let admitted = self.admission.lock().expect("no panic under this lock").release(slot);
        self.pass_slots(admitted);
    }

    /// Takes one retry from the budget of the service, if there is one left.
    pub(super) fn try_take_retry(&self, service: &str, reason: RetryReason) -> bool {
        let live_proxies = self.live_proxies.load(Ordering::Relaxed);
        let mut budgets = self.retry_budgets.lock().expect("no panic under this lock");
        budgets.try_take(self.now(), service, live_proxies, reason)
    }

    /// Records a failure of the server with this slot and id.
    pub fn record_failure(&self, slot: usize, id: &str, failure: Failure) {
        if let Some(phase) = self.endpoints.record_failure(self.now(), slot, failure) {
            self.has_unreported_changes.store(true, Ordering::Relaxed);
            log::info!("server {id} is {phase}: {failure:?}");
        }
    }

    /// Records that the server with this slot and id passed a health check.
    pub fn record_success(&self, slot: usize, id: &str) {
        if let Some(phase) = self.endpoints.record_success(self.now(), slot) {
            self.has_unreported_changes.store(true, Ordering::Relaxed);
            log::info!("server {id} is {phase}");
        }
    }

    /// Records the outcome of an attempt at the server with this slot and id.
    pub(super) fn record_outcome(&self, slot: usize, id: &str, outcome: Result<(), AttemptError>) {
        if let Some(phase) = self.endpoints.record_outcome(self.now(), slot, outcome) {
            self.has_unreported_changes.store(true, Ordering::Relaxed);
            match outcome {
                Ok(()) => log::info!("server {id} is {phase}"),
                Err(error) => log::info!("server {id} is {phase}: {error}"),
            }
        }
    }

    /// Records that the server with this slot and id has not responded to a request for a long time.
    pub(super) fn record_overdue(&self, slot: usize, id: &str) {
        self.record_outcome(slot, id, Err(AttemptError::TimedOut));
    }

    /// Records that the server with this slot and id has responded to an overdue request.
    pub(super) fn record_late_response(&self, slot: usize, id: &str) {
        if let Some(phase) = self.endpoints.record_late_response(self.now(), slot) {
            self.has_unreported_changes.store(true, Ordering::Relaxed);
            log::info!("server {id} is {phase}");
        }
    }

    /// Returns the callback for a connection to this server on which bytes arrive that belong to no
    /// request: it counts them and marks the server as desynchronized.
    pub fn on_surplus_bytes(
        self: &Arc<Self>,
        slot: usize,
        id: &str,
    ) -> impl FnOnce() + Send + 'static {
        let (proxy, id) = (self.clone(), id.to_string());
        move || {
            proxy.counters.increment(Counter::SurplusBytes);
            if proxy.endpoints.mark_desynchronized(slot) {
                log::info!(
                    "server {id} sent surplus bytes: one request per connection from now on"
                );
            }
        }
    }
}
