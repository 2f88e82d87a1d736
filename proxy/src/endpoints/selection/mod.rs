//! Selection of an endpoint for a request (design 8.7).
//!
//! If the concurrency of all servers of a service is known (how many requests each handles at one
//! time) and the rule has no spillover, the endpoint of least cost is selected ([`least_cost`]).
//! Otherwise the less loaded of two candidates is selected, within tiers of increasing distance
//! ([`tiered`]).

mod hedging;
mod least_cost;
mod tiered;

pub use hedging::{HedgeDecision, PendingAttempt};

use super::{Endpoint, Endpoints, RoutingTable};
use crate::health::ServerHealth;
use crate::retry_budget::RetryReason;
use std::collections::BTreeSet;
use std::time::Duration;
use vanepath_config::model::{Idempotency, Rule, Tenant};

/// The input of a selection for one request.
pub struct SelectionContext<'w> {
    /// Index of the request's rule in the configuration.
    pub rule: usize,
    /// The tenant of the request; `None`: it is anonymous.
    pub tenant: Option<&'w Tenant>,
    /// Index of the service that was drawn from those of the rule.
    pub service: usize,
    /// Zones that get no requests.
    pub drained_zones: &'w BTreeSet<String>,
    /// The zone of this proxy.
    pub zone: &'w str,
    /// The region of this proxy.
    pub region: &'w str,
    /// Slots of the endpoints that were already tried for this request.
    pub tried: &'w [usize],
    /// If set, the selection only determines whether there is another endpoint for a request that is
    /// waiting at its server, and reserves nothing. If that server is slow, the endpoint must
    /// have free capacity. If the request seems lost there, a full endpoint counts too, but not a
    /// suspect one.
    pub only_alternative_for: Option<RetryReason>,
    /// Whether earlier attempts took so long that the latency target is already missed.
    pub is_past_target: bool,
}

impl SelectionContext<'_> {
    /// Whether an endpoint may serve the request at all, regardless of its health and load.
    fn admits(&self, rule: &Rule, endpoint: &Endpoint) -> bool {
        let server = &endpoint.server;
        !server.draining
            && rule.allows_region(&server.region)
            && self.tenant.is_none_or(|tenant| tenant.allows_region(&server.region))
            && !self.drained_zones.contains(&server.zone)
            && !self.tried.contains(&endpoint.slot)
    }
}

/// The outcome of a selection.
#[derive(Debug)]
pub enum Selection {
    /// An endpoint, at which the request now counts as in flight.
    Server {
        /// Index into the endpoints of the table that was passed to the selection.
        endpoint: usize,
        /// Index of the service for which it was selected.
        service: usize,
    },
    /// Only servers in slow start have free capacity. This is when the first of them accepts a
    /// request.
    Wait(Duration),
    /// There are servers, but the request would be late because of the queue at each of them.
    Congested,
    /// There is no server that can take the request.
    None,
}

/// The passes of a selection. Each considers endpoints that the previous one did not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SelectionPass {
    /// Endpoints whose servers are known to be healthy or in slow start.
    Preferred,
    /// Endpoints that have not been probed yet or are degraded.
    Fallback,
    /// Suspect endpoints and, in the selection by tiers, full ones.
    LastResort,
}

impl SelectionPass {
    const ALL: [SelectionPass; 3] =
        [SelectionPass::Preferred, SelectionPass::Fallback, SelectionPass::LastResort];
}

/// Tracks the endpoints that are skipped because their slow-start rate allows no request yet.
#[derive(Debug, Default)]
struct SlowStartWait {
    /// When the first of them accepts a request.
    earliest: Option<Duration>,
}

impl SlowStartWait {
    /// Whether an endpoint may not take a request yet. If so, records when it may.
    fn must_wait(&mut self, now: Duration, health: &ServerHealth) -> bool {
        let Some(next_at) = health.next_slow_start_request_at().filter(|at| now < *at) else {
            return false;
        };
        // No request waits for a server whose slow-start rate this proxy has no share of.
        if next_at < Duration::MAX {
            self.earliest = Some(self.earliest.map_or(next_at, |at| at.min(next_at)));
        }
        true
    }
}

/// Whether requests of this rule may run more than once.
fn is_idempotent(table: &RoutingTable, rule: &Rule) -> bool {
    table.config.classes[rule.class].idempotency == Idempotency::Idempotent
}

impl<C> Endpoints<C> {
    /// Selects an endpoint for a request and counts the request as in flight there. `random` is the
    /// only source of randomness.
    pub fn select(
        &self,
        now: Duration,
        table: &RoutingTable,
        context: &SelectionContext<'_>,
        random: u64,
    ) -> Selection {
        let rule = &table.config.rules[context.rule];
        let service_endpoints = &table.by_service[context.service];
        let has_concurrency = |index: &usize| table.endpoints[*index].server.concurrency > 0;
        let uses_least_cost = rule.spillover.is_empty()
            && !service_endpoints.is_empty()
            && service_endpoints.iter().all(has_concurrency);
        if uses_least_cost {
            self.select_least_cost(now, table, context, random)
        } else {
            self.select_tiered(now, table, context, random)
        }
    }

    /// Counts a request as in flight at an endpoint. The candidates were collected without holding
    /// all locks at once, so the endpoint is checked again: false if it no longer accepts the request.
    fn reserve(
        &self,
        now: Duration,
        table: &RoutingTable,
        index: usize,
        service: usize,
        is_last_resort: bool,
    ) -> bool {
        let max_in_flight = table.config.services[service].max_in_flight_per_server;
        let reserved = self.with_state(table.endpoints[index].slot, |state| {
            let is_allowed = state.in_flight < max_in_flight
                && (state.health.accepts_request(now) || is_last_resort);
            if is_allowed {
                state.in_flight += 1;
                state.health.record_request(now);
            }
            is_allowed
        });
        reserved == Some(true)
    }

    /// Whether there is another endpoint for a request that would be retried for this reason. Reserves
    /// nothing.
    pub fn has_alternative(
        &self,
        now: Duration,
        table: &RoutingTable,
        context: &SelectionContext<'_>,
        reason: RetryReason,
    ) -> bool {
        let context = SelectionContext { only_alternative_for: Some(reason), ..*context };
        matches!(self.select(now, table, &context, 0), Selection::Server { .. })
    }
}
