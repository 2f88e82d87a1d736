//! Selection by tiers of distance: within a tier, the less loaded of two random candidates (the power
//! of two choices, Mitzenmacher 2001).
//!
//! The first tiers are this proxy's zone and then the rest of its region, for each service (the rule's
//! service first, then its spillover services). The other regions follow, again for each service.

use super::{Selection, SelectionContext, SelectionPass, SlowStartWait, is_idempotent};
use crate::endpoints::{Endpoint, EndpointState, Endpoints, RoutingTable};
use crate::health::ServerPhase;
use crate::retry_budget::RetryReason;
use std::time::Duration;
use vanepath_config::endpoint_list::Server;

/// Number of this proxy's requests in flight from which an endpoint counts as backlogged. An endpoint
/// of a later tier is then preferred if it has less than `1 / BACKLOG_RATIO` as many in flight.
const BACKLOG_IN_FLIGHT: u64 = 16;
const BACKLOG_RATIO: u64 = 4;

/// Reported load, in thousandths, from which a server counts as full.
const FULL_LOAD_MILLI: u32 = 1000;

/// Added to the last-resort score of a suspect endpoint, so that it is above that of any full one.
const SUSPECT_PENALTY: u64 = 1 << 40;

/// The part of the cluster that a tier covers, relative to this proxy.
#[derive(Clone, Copy, Debug)]
enum Scope {
    Zone,
    RestOfRegion,
    OtherRegions,
}

impl Scope {
    fn contains(self, server: &Server, context: &SelectionContext<'_>) -> bool {
        match self {
            Scope::Zone => server.zone == context.zone,
            Scope::RestOfRegion => server.region == context.region && server.zone != context.zone,
            Scope::OtherRegions => server.region != context.region,
        }
    }
}

/// The servers of one service in one scope.
#[derive(Clone, Copy, Debug)]
struct Tier {
    service: usize,
    scope: Scope,
}

/// An endpoint that may take the request, with its score.
#[derive(Clone, Copy, Debug)]
struct ScoredEndpoint {
    index: usize,
    service: usize,
    /// Lower is better.
    score: u64,
    in_flight: u64,
}

struct TieredSelection<'a, C> {
    endpoints: &'a Endpoints<C>,
    now: Duration,
    table: &'a RoutingTable,
    context: &'a SelectionContext<'a>,
    random: u64,
    is_idempotent: bool,
    slow_start: SlowStartWait,
}

impl<C> Endpoints<C> {
    /// Selects an endpoint with free capacity from the nearest tier that has one.
    pub(super) fn select_tiered(
        &self,
        now: Duration,
        table: &RoutingTable,
        context: &SelectionContext<'_>,
        random: u64,
    ) -> Selection {
        let rule = &table.config.rules[context.rule];
        let selection = TieredSelection {
            endpoints: self,
            now,
            table,
            context,
            random,
            is_idempotent: is_idempotent(table, rule),
            slow_start: SlowStartWait::default(),
        };
        selection.select()
    }
}

impl<C> TieredSelection<'_, C> {
    fn select(mut self) -> Selection {
        let tiers = self.tiers();
        for pass in SelectionPass::ALL {
            let selected = match pass {
                SelectionPass::Preferred | SelectionPass::Fallback => {
                    self.select_in_tiers(pass, &tiers)
                }
                SelectionPass::LastResort => self.select_last_resort(&tiers),
            };
            if let Some(ScoredEndpoint { index, service, .. }) = selected {
                return Selection::Server { endpoint: index, service };
            }
            if pass == SelectionPass::Fallback
                && let Some(selection) = self.end_before_last_resort()
            {
                return selection;
            }
        }
        Selection::None
    }

    fn tiers(&self) -> Vec<Tier> {
        let rule = &self.table.config.rules[self.context.rule];
        let mut tiers = Vec::new();
        for scopes in [&[Scope::Zone, Scope::RestOfRegion][..], &[Scope::OtherRegions][..]] {
            for service in std::iter::once(&self.context.service).chain(&rule.spillover) {
                tiers.extend(scopes.iter().map(|scope| Tier { service: *service, scope: *scope }));
            }
        }
        tiers
    }

    /// The best endpoint of the first tier whose best one is not backlogged, or else the least
    /// backlogged one.
    fn select_in_tiers(&mut self, pass: SelectionPass, tiers: &[Tier]) -> Option<ScoredEndpoint> {
        let mut backlogged: Option<ScoredEndpoint> = None;
        for tier in tiers {
            let candidates = self.candidates(pass, tier);
            let Some(best) = self.better_of_two(&candidates) else { continue };
            // The requests in flight show a backlog earlier than load reports do. A later tier is
            // preferred if it has far fewer requests in flight.
            let is_backlogged = best.in_flight >= BACKLOG_IN_FLIGHT && !self.is_alternative_only();
            if is_backlogged
                || backlogged.is_some_and(|least| !has_far_fewer_in_flight(&best, &least))
            {
                if backlogged.is_none_or(|least| has_far_fewer_in_flight(&best, &least)) {
                    backlogged = Some(best);
                }
                continue;
            }
            if self.is_alternative_only() || self.reserve(&best, false) {
                return Some(best);
            }
        }
        backlogged.filter(|least| self.reserve(least, false))
    }

    /// The endpoint with the lowest score of all, full and suspect ones included. Of equal ones, the
    /// first is selected, which is the nearest.
    fn select_last_resort(&mut self, tiers: &[Tier]) -> Option<ScoredEndpoint> {
        let mut candidates = Vec::new();
        for tier in tiers {
            candidates.extend(self.candidates(SelectionPass::LastResort, tier));
        }
        let best = candidates.into_iter().min_by_key(|candidate| candidate.score)?;
        (self.is_alternative_only() || self.reserve(&best, true)).then_some(best)
    }

    /// The result of the selection if it must end before full and suspect endpoints are considered.
    fn end_before_last_resort(&self) -> Option<Selection> {
        match self.context.only_alternative_for {
            Some(RetryReason::Slow) => Some(Selection::None),
            Some(RetryReason::Lost) => None,
            // Waiting for a server in slow start is better than using a suspect one.
            None => self.slow_start.earliest.map(Selection::Wait),
        }
    }

    /// The endpoints of a tier that may take the request in this pass, with their scores.
    fn candidates(&mut self, pass: SelectionPass, tier: &Tier) -> Vec<ScoredEndpoint> {
        let (table, context) = (self.table, self.context);
        let rule = &table.config.rules[context.rule];
        let mut candidates = Vec::new();
        for index in &table.by_service[tier.service] {
            let endpoint = &table.endpoints[*index];
            if context.admits(rule, endpoint)
                && tier.scope.contains(&endpoint.server, context)
                && let Some(candidate) = self.candidate(pass, tier, *index, endpoint)
            {
                candidates.push(candidate);
            }
        }
        candidates
    }

    fn candidate(
        &mut self,
        pass: SelectionPass,
        tier: &Tier,
        index: usize,
        endpoint: &Endpoint,
    ) -> Option<ScoredEndpoint> {
        let endpoints = self.endpoints;
        let max_in_flight = self.table.config.services[tier.service].max_in_flight_per_server;
        endpoints.with_state(endpoint.slot, |state| {
            if self.slow_start.must_wait(self.now, &state.health) {
                return None;
            }
            let score = match pass {
                SelectionPass::LastResort => self.last_resort_score(state, max_in_flight),
                SelectionPass::Preferred | SelectionPass::Fallback => {
                    self.load_score(pass, state, max_in_flight)
                }
            };
            score.map(|score| ScoredEndpoint {
                index,
                service: tier.service,
                score,
                in_flight: state.in_flight,
            })
        })?
    }

    /// Score by load; `None` if the endpoint is suspect, full or belongs to the other pass.
    fn load_score(
        &self,
        pass: SelectionPass,
        state: &EndpointState<C>,
        max_in_flight: u64,
    ) -> Option<u64> {
        let load_milli = state.reported_load_milli(self.now);
        let is_suspect = state.health.phase == ServerPhase::Suspect;
        let is_full = state.in_flight >= max_in_flight
            || (load_milli >= FULL_LOAD_MILLI && !state.is_load_report_stale(self.now));
        let allows_trial = self.is_idempotent && state.in_flight == 0;
        let is_fallback = state.health.phase == ServerPhase::Unknown
            || state.health.is_degraded(self.now, allows_trial)
            || self.endpoints.may_be_draining(state);
        let is_usable = !is_suspect && !is_full && is_fallback == (pass == SelectionPass::Fallback);
        is_usable.then_some((state.in_flight + 1) * u64::from(100 + load_milli))
    }

    /// Score as a last resort: by requests in flight, full endpoints before suspect ones.
    fn last_resort_score(&self, state: &EndpointState<C>, max_in_flight: u64) -> Option<u64> {
        let is_suspect = state.health.phase == ServerPhase::Suspect;
        if is_suspect && self.is_alternative_only() {
            return None;
        }
        let suspect_penalty = if is_suspect { SUSPECT_PENALTY } else { 0 };
        (state.in_flight < max_in_flight).then_some(suspect_penalty + state.in_flight)
    }

    /// The better of two random candidates; the first one if their scores are equal.
    fn better_of_two(&self, candidates: &[ScoredEndpoint]) -> Option<ScoredEndpoint> {
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[self.random as usize % candidates.len()];
        let second = candidates[(self.random >> 32) as usize % candidates.len()];
        Some(if second.score < first.score { second } else { first })
    }

    fn is_alternative_only(&self) -> bool {
        self.context.only_alternative_for.is_some()
    }

    fn reserve(&self, selected: &ScoredEndpoint, is_last_resort: bool) -> bool {
        let ScoredEndpoint { index, service, .. } = *selected;
        self.endpoints.reserve(self.now, self.table, index, service, is_last_resort)
    }
}

/// Whether an endpoint has far fewer requests in flight than a backlogged one.
fn has_far_fewer_in_flight(candidate: &ScoredEndpoint, backlogged: &ScoredEndpoint) -> bool {
    candidate.in_flight < backlogged.in_flight / BACKLOG_RATIO
}
