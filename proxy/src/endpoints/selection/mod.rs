//! Selection of an endpoint for a request (design 8.7).
//!
//! Where all servers of a service say how many requests each works on at one time, and the rule has
//! no spillover, the endpoint of least cost is selected ([`least_cost`]); else the better of two by
//! load within tiers of growing distance ([`tiered`]).

mod hedging;
mod least_cost;
mod tiered;

pub use hedging::{HedgeDecision, PendingAttempt};

use super::{Endpoint, Endpoints, RoutingTable};
use crate::health::ServerHealth;
use crate::retry_budget::RetryReason;
use std::collections::BTreeSet;
use std::time::Duration;
use vanepath_config::model::{Idempotency, Rule};

/// What is wanted of a selection.
pub struct SelectionContext<'w> {
    /// Index of the request's rule in the configuration.
    pub rule: usize,
    /// Index of the service that was drawn among those of the rule.
    pub service: usize,
    /// Zones that get no requests.
    pub drained_zones: &'w BTreeSet<String>,
    /// The zone of this proxy.
    pub zone: &'w str,
    /// The region of this proxy.
    pub region: &'w str,
    /// Slots of the endpoints that this request has tried.
    pub tried: &'w [usize],
    /// Only find out whether there is another endpoint for a request that waits at its server, and
    /// reserve nothing: with free capacity if that server is slow; one that is not suspect if the
    /// request seems lost there.
    pub only_alternative_for: Option<RetryReason>,
    /// Earlier attempts took so long that the latency target is missed anyway.
    pub is_past_target: bool,
}

impl SelectionContext<'_> {
    /// Whether an endpoint may serve the request at all, whatever its health and load.
    fn admits(&self, rule: &Rule, endpoint: &Endpoint) -> bool {
        let server = &endpoint.server;
        !server.draining
            && rule.allows_region(&server.region)
            && !self.drained_zones.contains(&server.zone)
            && !self.tried.contains(&endpoint.slot)
    }
}

/// The outcome of a selection.
#[derive(Debug)]
pub enum Selection {
    /// An endpoint, on which the request now counts as in flight.
    Server {
        /// Index into the endpoints of the table that was given.
        endpoint: usize,
        /// Index of the service for which it was selected.
        service: usize,
    },
    /// Only servers in slow start have free capacity; the first takes a request at this time.
    Wait(Duration),
    /// There are servers, and at each of them the request would be late for the queue there.
    Congested,
    /// There is no server that could take the request.
    None,
}

/// The passes of a selection; each takes endpoints that the one before did not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SelectionPass {
    /// Endpoints whose servers are known to be healthy or in slow start.
    Preferred,
    /// Endpoints that are not probed yet or that are degraded.
    Fallback,
    /// Suspect endpoints and, in the selection by tiers, full ones.
    LastResort,
}

impl SelectionPass {
    const ALL: [SelectionPass; 3] =
        [SelectionPass::Preferred, SelectionPass::Fallback, SelectionPass::LastResort];
}

/// Endpoints that are passed over because their slow-start rate allows no request yet.
#[derive(Debug, Default)]
struct SlowStartWait {
    /// When the first of them may take a request.
    earliest: Option<Duration>,
}

impl SlowStartWait {
    /// Whether an endpoint may not take a request yet; notes when it may.
    fn must_wait(&mut self, now: Duration, health: &ServerHealth) -> bool {
        let Some(next_at) = health.next_slow_start_request_at().filter(|at| now < *at) else {
            return false;
        };
        // A server in whose rate this proxy has no share is not waited for.
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
    /// Selects an endpoint for a request and counts the request as in flight there. `random` is
    /// the only draw that the selection takes.
    pub fn select(
        &self,
        now: Duration,
        table: &RoutingTable,
        context: &SelectionContext<'_>,
        random: u64,
    ) -> Selection {
        let rule = &table.config.rules[context.rule];
        let of_service = &table.by_service[context.service];
        let has_concurrency = |index: &usize| table.endpoints[*index].server.concurrency > 0;
        let is_by_cost = rule.spillover.is_empty()
            && !of_service.is_empty()
            && of_service.iter().all(has_concurrency);
        if is_by_cost {
            self.select_least_cost(now, table, context, random)
        } else {
            self.select_tiered(now, table, context, random)
        }
    }

    /// Counts a request as in flight at an endpoint. The candidates were collected without holding
    /// all locks, so the endpoint is checked again: false if it may not take the request by now.
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

    /// Whether there is another endpoint for a request that would be retried for this reason.
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
