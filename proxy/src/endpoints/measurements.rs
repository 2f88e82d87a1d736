//! Updates of the latency model from load reports, new connections and responses (design 8.7).

use super::Endpoints;
use crate::load_balancing::{Distance, RequestCost, slowdown};
use std::time::Duration;
use vanepath_config::model::Config;

/// Measurements of a request that was served, for the latency model.
pub struct ServedRequest<'a> {
    /// Slot of the endpoint that served it.
    pub slot: usize,
    /// Name of the request's class.
    pub class: &'a str,
    /// Name of the service.
    pub service: &'a str,
    /// Whether the class is for bulk transfers.
    pub is_bulk: bool,
    /// Time from sending the request to receiving the head of the response.
    pub response_time: Duration,
    /// [`Endpoints::slowdown`] of the server when the request was sent.
    pub slowdown: f64,
    /// Size of request and response together, in kilobytes, if the response states its length.
    pub kilobytes: Option<f64>,
}

impl<C> Endpoints<C> {
    /// Records a load report of a server (as in ORCA, the Open Request Cost Aggregation): its load in
    /// thousandths of its concurrency.
    pub fn observe_load(&self, now: Duration, slot: usize, load_milli: u32) {
        let report = self.with_state(slot, |state| {
            let other_utilization = state.record_load_report(now, load_milli);
            (state.pool, other_utilization)
        });
        if let Some((pool, other_utilization)) = report {
            self.lock_pools().get_mut(pool).record_load(now, other_utilization);
        }
    }

    /// Records how long opening a connection to this server took.
    pub fn record_connection(&self, slot: usize, connect_time: Duration) {
        if let Some(pool) = self.with_state(slot, |state| state.pool) {
            self.lock_pools().get_mut(pool).record_connection(connect_time);
        }
    }

    /// Records that a request is sent now. Opening the connection and a health check may lie between
    /// its selection, which counted it as in flight, and this moment, so the interval to the next
    /// request of a server in slow start is counted again from here.
    pub fn record_sent(&self, now: Duration, slot: usize) {
        self.with_state(slot, |state| {
            state.health.record_request(now);
            if state.in_flight <= 1 {
                state.overdue_since = now;
            }
        });
    }

    /// Factor by which a request takes longer because of the load on this server, the request itself
    /// included.
    pub fn slowdown(&self, now: Duration, slot: usize) -> f64 {
        let pools = self.lock_pools();
        let factor = self.with_state(slot, |state| {
            let concurrency = f64::from(state.concurrency.max(1));
            let distance = if state.is_in_subset { Distance::Subset } else { Distance::Zone };
            let usual_load = pools.utilization(now, state.pool) * concurrency;
            let load = state.estimated_load(now, distance, usual_load);
            slowdown(load.max(1.0), concurrency)
        });
        factor.unwrap_or(1.0)
    }

    /// Updates the profile of the request's class, and the server's latency relative to other servers,
    /// from a response.
    pub fn record_response(&self, now: Duration, served: ServedRequest<'_>) {
        let Some(pool) = self.with_state(served.slot, |state| state.pool) else { return };
        let round_trip_ms = self.lock_pools().get(pool).round_trip_ms(Distance::Subset);
        let response_ms = served.response_time.as_secs_f64() * 1000.0;
        let service_time_ms = (response_ms - round_trip_ms).max(1.0) / served.slowdown;
        let usual_ms = {
            let mut profiles = self.lock_profiles();
            let profile = profiles.profile_mut(served.class, served.service, served.is_bulk);
            profile.record_response(service_time_ms, served.kilobytes);
            profile.cost().service_time_ms
        };
        self.with_state(served.slot, |state| {
            state.relative_latency.record(now, service_time_ms / usual_ms);
        });
    }

    /// Index of the pool of servers of the first of these services in this zone. Creates the pool if
    /// there is none.
    pub(super) fn pool_index(&self, config: &Config, services: &[usize], zone: &str) -> usize {
        let service = services.first().map_or("", |index| config.services[*index].name.as_str());
        self.lock_pools().find_or_insert(service, zone)
    }

    /// The usual cost of requests of this class at this service.
    pub(super) fn request_cost(&self, class: &str, service: &str, is_bulk: bool) -> RequestCost {
        self.lock_profiles().cost(class, service, is_bulk)
    }
}
