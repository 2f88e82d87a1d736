//! Selection of the endpoint at which a request costs least ([`crate::load_balancing`]), among servers
//! whose concurrency is known, that is, how many requests each handles at one time.

use super::{Selection, SelectionContext, SelectionPass, SlowStartWait, is_idempotent};
use crate::endpoints::{Endpoint, EndpointState, Endpoints, RoutingTable};
use crate::health::ServerPhase;
use crate::latency_model::ZonePools;
use crate::load_balancing::{
    Candidate, Distance, RequestCost, choose, ignores_connections, max_response_time_ms,
};
use crate::retry_budget::RetryReason;
use std::time::Duration;
use vanepath_config::model::{Class, Rule, Service};

/// Maximum number of candidates that are tried in turn. Since the candidates were collected, other
/// requests may have used the capacity of the chosen one.
const RESERVATION_ATTEMPTS: usize = 3;

/// The candidates of each pass, which depends on the health of their servers.
#[derive(Debug, Default)]
struct Candidates {
    preferred: Vec<Candidate>,
    fallback: Vec<Candidate>,
    /// Candidates whose servers are suspect.
    last_resort: Vec<Candidate>,
}

impl Candidates {
    fn for_pass(&mut self, pass: SelectionPass) -> &mut Vec<Candidate> {
        match pass {
            SelectionPass::Preferred => &mut self.preferred,
            SelectionPass::Fallback => &mut self.fallback,
            SelectionPass::LastResort => &mut self.last_resort,
        }
    }

    /// The candidates that are not suspect.
    fn usable(&self) -> impl Iterator<Item = &Candidate> {
        self.preferred.iter().chain(&self.fallback)
    }
}

struct LeastCostSelection<'a, C> {
    endpoints: &'a Endpoints<C>,
    now: Duration,
    table: &'a RoutingTable,
    context: &'a SelectionContext<'a>,
    random: u64,
    rule: &'a Rule,
    class: &'a Class,
    service: &'a Service,
    is_idempotent: bool,
    /// Usual cost of requests of this class at this service.
    cost: RequestCost,
}

impl<C> Endpoints<C> {
    /// Selects the endpoint at which the request costs least.
    pub(super) fn select_least_cost(
        &self,
        now: Duration,
        table: &RoutingTable,
        context: &SelectionContext<'_>,
        random: u64,
    ) -> Selection {
        let rule = &table.config.rules[context.rule];
        let class = &table.config.classes[rule.class];
        let service = &table.config.services[context.service];
        let selection = LeastCostSelection {
            endpoints: self,
            now,
            table,
            context,
            random,
            rule,
            class,
            service,
            is_idempotent: is_idempotent(table, rule),
            cost: self.request_cost(&class.name, &service.name, class.bulk),
        };
        selection.select()
    }
}

impl<C> LeastCostSelection<'_, C> {
    fn select(&self) -> Selection {
        let mut slow_start = SlowStartWait::default();
        let mut candidates = self.candidates(&mut slow_start);
        let limit_ms = self.response_time_limit_ms(&candidates);
        let mut has_congested = false;
        for pass in SelectionPass::ALL {
            let is_last_resort = pass == SelectionPass::LastResort;
            if is_last_resort && (self.is_alternative_only() || has_congested) {
                break;
            }
            let candidates = candidates.for_pass(pass);
            if let Some(limit_ms) = limit_ms {
                let count_before = candidates.len();
                candidates.retain(|candidate| !candidate.is_congested(&self.cost, limit_ms));
                has_congested |= candidates.len() < count_before;
            }
            if let Some(endpoint) = self.pick(candidates, is_last_resort) {
                return Selection::Server { endpoint, service: self.context.service };
            }
            if pass == SelectionPass::Fallback
                && let Some(earliest) = slow_start.earliest
                && !self.is_alternative_only()
                && !has_congested
            {
                return Selection::Wait(earliest);
            }
        }
        if has_congested { Selection::Congested } else { Selection::None }
    }

    /// All endpoints that may take the request, with the estimates of the latency model.
    fn candidates(&self, slow_start: &mut SlowStartWait) -> Candidates {
        let mut candidates = Candidates::default();
        let pools = self.endpoints.lock_pools();
        let usual_utilization = pools.mean_utilization(self.now, &self.service.name);
        for index in &self.table.by_service[self.context.service] {
            let endpoint = &self.table.endpoints[*index];
            if !self.context.admits(self.rule, endpoint) {
                continue;
            }
            self.endpoints.with_state(endpoint.slot, |state| {
                if !slow_start.must_wait(self.now, &state.health) {
                    let candidate =
                        self.candidate(*index, endpoint, state, &pools, usual_utilization);
                    candidates.for_pass(self.pass_of(state)).push(candidate);
                }
            });
        }
        candidates
    }

    /// The pass in which the endpoint may be selected.
    fn pass_of(&self, state: &EndpointState<C>) -> SelectionPass {
        let allows_trial = self.is_idempotent && state.in_flight == 0;
        match state.health.phase {
            ServerPhase::Suspect => SelectionPass::LastResort,
            ServerPhase::Unknown => SelectionPass::Fallback,
            _ if state.health.is_degraded(self.now, allows_trial) => SelectionPass::Fallback,
            _ if self.endpoints.may_be_draining(state) => SelectionPass::Fallback,
            _ => SelectionPass::Preferred,
        }
    }

    fn candidate(
        &self,
        index: usize,
        endpoint: &Endpoint,
        state: &EndpointState<C>,
        pools: &ZonePools,
        usual_utilization: f64,
    ) -> Candidate {
        let distance = self.distance(endpoint, state);
        let concurrency = f64::from(endpoint.server.concurrency);
        let pool = pools.get(state.pool);
        let usual_load = pool.utilization(self.now, usual_utilization) * concurrency;
        let load = state.estimated_load(self.now, distance, usual_load);
        let round_trip_ms = pool.round_trip_ms(distance);
        Candidate {
            index,
            distance,
            load,
            concurrency,
            relative_latency: state.relative_latency(
                self.now,
                load,
                self.cost.service_time_ms,
                round_trip_ms,
            ),
            round_trip_ms,
            is_connected: ignores_connections(self.random)
                || state.has_usable_connection(self.now, !self.is_idempotent),
        }
    }

    fn distance(&self, endpoint: &Endpoint, state: &EndpointState<C>) -> Distance {
        if endpoint.server.zone == self.context.zone {
            if state.is_in_subset { Distance::Subset } else { Distance::Zone }
        } else if endpoint.server.region == self.context.region {
            Distance::Region
        } else {
            Distance::OtherRegion
        }
    }

    /// The expected response time above which the request must not be queued at a server; `None` if
    /// there is no limit. Records whether the request found congestion at every usable candidate.
    fn response_time_limit_ms(&self, candidates: &Candidates) -> Option<f64> {
        // A request that a server may already have received is continued even if it will be late. A
        // new one can still be rejected.
        let is_allowed_late = match self.context.only_alternative_for {
            Some(reason) => reason == RetryReason::Lost,
            None => !self.context.tried.is_empty(),
        };
        let target = self.rule.latency_target.filter(|_| !is_allowed_late)?;
        let limit_ms = |tolerance| max_response_time_ms(target, !self.is_idempotent, tolerance);
        let mut profiles = self.endpoints.lock_profiles();
        let profile = profiles.profile_mut(&self.class.name, &self.service.name, self.class.bulk);
        if !self.is_alternative_only() {
            let min_limit_ms = limit_ms(0.0);
            let found_congestion = candidates
                .usable()
                .all(|candidate| candidate.is_congested(&self.cost, min_limit_ms));
            profile.record_congestion(found_congestion);
        }
        // A request that is already late uses free capacity only: in a queue it would delay others.
        Some(if self.context.is_past_target { 0.0 } else { limit_ms(profile.tolerance()) })
    }

    /// The endpoint of the candidate with the least cost that still accepts the request.
    fn pick(&self, candidates: &mut Vec<Candidate>, is_last_resort: bool) -> Option<usize> {
        for _ in 0..RESERVATION_ATTEMPTS {
            let index = choose(candidates, &self.cost, self.random)?;
            if self.is_alternative_only() || self.reserve(index, is_last_resort) {
                return Some(index);
            }
            candidates.retain(|candidate| candidate.index != index);
        }
        None
    }

    fn is_alternative_only(&self) -> bool {
        self.context.only_alternative_for.is_some()
    }

    fn reserve(&self, index: usize, is_last_resort: bool) -> bool {
        self.endpoints.reserve(self.now, self.table, index, self.context.service, is_last_resort)
    }
}
