//! The state of one endpoint, which changes with every request.

use super::connections::{IdleConnection, MAX_IDLE_CONNECTIONS};
use crate::health::ServerHealth;
use crate::latency_model::RelativeLatency;
use crate::load_balancing::{Distance, slowdown};
use std::time::Duration;

/// How long a load report is used for the load score.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(5);
/// How long a report that a server is full is used while this proxy has no request in flight there:
/// its queue may be empty after that time.
const FULL_REPORT_TTL: Duration = Duration::from_millis(700);
/// Time, in seconds, in which the number of other proxies' requests from a load report decays to
/// weight 0.
const OTHERS_DECAY_TIME_S: f64 = 1.5;
/// Weight of the newest load report in the average of other proxies' requests.
const OTHERS_WEIGHT: f64 = 0.5;

/// The state of one endpoint.
pub struct EndpointState<C> {
    /// State machine of the server's health.
    pub health: ServerHealth,
    /// Requests of this proxy that are in flight at the server.
    pub in_flight: u64,
    /// Load that the server last reported, in thousandths of its capacity.
    pub load_milli: u32,
    /// When it reported `load_milli`.
    pub(super) load_reported_at: Duration,
    /// Number of requests that the server handles concurrently, from the endpoint list; 0 if unknown.
    pub(super) concurrency: u32,
    /// Moving average of other proxies' requests at the server, from its load reports.
    pub(super) others_in_flight: f64,
    /// Latency of the server relative to the other servers of its service.
    pub relative_latency: RelativeLatency,
    /// Since when it has had requests in flight without sending a response.
    pub(super) overdue_since: Duration,
    /// When it last completed a response.
    pub(super) last_response_at: Duration,
    /// Index of its pool in the latency model.
    pub(super) pool: usize,
    /// Whether it is in this proxy's subset of the zone.
    pub(super) is_in_subset: bool,
    /// Maximum number of idle connections that this proxy keeps to it.
    pub(super) max_idle: usize,
    /// Idle connections, the most recently used last.
    pub idle: Vec<IdleConnection<C>>,
    /// Whether a probe is in progress.
    pub probing: bool,
    /// Whether it has sent bytes that belong to no request: each connection then carries one request
    /// at most.
    pub(super) is_desynchronized: bool,
    /// When it last announced the end of a connection in a response.
    pub(super) announced_close_at: Option<Duration>,
    pub(super) last_probe_at: Option<Duration>,
    /// Whether this proxy was in contact with it at the last tick.
    pub(super) was_in_contact: bool,
}

impl<C> EndpointState<C> {
    /// The initial state of a server that was not known before.
    pub(super) fn new(
        now: Duration,
        health: ServerHealth,
        concurrency: u32,
        pool: usize,
    ) -> EndpointState<C> {
        EndpointState {
            health,
            in_flight: 0,
            load_milli: 0,
            load_reported_at: Duration::ZERO,
            concurrency,
            others_in_flight: 0.0,
            relative_latency: RelativeLatency::default(),
            overdue_since: now,
            last_response_at: Duration::ZERO,
            pool,
            is_in_subset: true,
            max_idle: MAX_IDLE_CONNECTIONS,
            idle: Vec::new(),
            probing: false,
            is_desynchronized: false,
            announced_close_at: None,
            last_probe_at: None,
            was_in_contact: false,
        }
    }

    /// The reported load in thousandths of the server's capacity; 0 if the report has expired.
    pub fn reported_load_milli(&self, now: Duration) -> u32 {
        // A report does not expire while requests are in flight: a server that sends no response to
        // them has not become idle.
        let is_valid =
            self.in_flight > 0 || now.saturating_sub(self.load_reported_at) < LOAD_REPORT_TTL;
        if is_valid { self.load_milli } else { 0 }
    }

    /// Whether the load report is old and no request of this proxy is in flight whose response would
    /// bring a newer one. The server may then be tried with a single request.
    pub(super) fn is_load_report_stale(&self, now: Duration) -> bool {
        self.in_flight == 0 && now.saturating_sub(self.load_reported_at) > FULL_REPORT_TTL
    }

    /// Records a load report. Returns the server's utilization by other proxies: their requests per
    /// unit of its concurrency.
    pub(super) fn record_load_report(&mut self, now: Duration, load_milli: u32) -> f64 {
        // The report comes with the response to a request that still counts as in flight here.
        let reported = f64::from(load_milli) * f64::from(self.concurrency) / 1000.0;
        let own = self.in_flight.saturating_sub(1) as f64;
        self.others_in_flight +=
            OTHERS_WEIGHT * ((reported - own).max(0.0) - self.others_in_flight);
        self.load_milli = load_milli;
        self.load_reported_at = now;
        self.overdue_since = now;
        (reported - own).max(0.0) / f64::from(self.concurrency.max(1))
    }

    /// Latency of the server as a multiple of the usual one, from its responses and from responses
    /// that are overdue. `load` is the number of requests at the server.
    pub(super) fn relative_latency(
        &self,
        now: Duration,
        load: f64,
        service_time_ms: f64,
        round_trip_ms: f64,
    ) -> f64 {
        if self.in_flight == 0 {
            return self.relative_latency.factor(now);
        }
        let overdue_ms =
            now.saturating_sub(self.overdue_since).as_secs_f64() * 1000.0 - round_trip_ms;
        let usual_ms = service_time_ms * slowdown(load, f64::from(self.concurrency.max(1)));
        self.relative_latency.factor_when_overdue(now, overdue_ms / usual_ms)
    }

    /// Estimated number of requests at the server. As the load report ages, the estimate of other
    /// proxies' requests moves from the reported number to `usual_load`, or to none if the server is in
    /// this proxy's subset.
    pub(super) fn estimated_load(&self, now: Duration, distance: Distance, usual_load: f64) -> f64 {
        let freshness = self.load_report_freshness(now);
        let assumed = if distance == Distance::Subset { 0.0 } else { usual_load };
        self.in_flight as f64 + freshness * self.others_in_flight + (1.0 - freshness) * assumed
    }

    /// Weight of the last load report: 1 when it is new, decreasing to 0.
    fn load_report_freshness(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.load_reported_at).as_secs_f64();
        (1.0 - age / OTHERS_DECAY_TIME_S).max(0.0)
    }
}
