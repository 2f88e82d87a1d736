//! Selection by tiers of distance: within a tier the better of two random candidates by load (the
//! power of two choices, Mitzenmacher 2001).
//!
//! The tiers are the own zone and the own region for each service (the rule's service first, then
//! its spillover), and then the other regions for each service.

use super::{Selection, SelectionContext, SelectionPass, SlowStartWait, is_idempotent};
use crate::endpoints::{Endpoint, EndpointState, Endpoints, RoutingTable};
use crate::health::ServerPhase;
use crate::retry_budget::RetryReason;
use std::time::Duration;
use vanepath_config::endpoint_list::Server;

/// With so many requests of this proxy in flight an endpoint counts as piled up: an endpoint of a
/// later tier comes first if it has less than one part in `PILED_UP_RATIO` of them.
const PILED_UP_IN_FLIGHT: u64 = 16;
const PILED_UP_RATIO: u64 = 4;

/// Reported load, in thousandths, from which a server is full.
const FULL_LOAD_MILLI: u32 = 1000;

/// Score of a suspect endpoint as a last resort, above all that are merely full.
const SUSPECT_SCORE: u64 = 1 << 40;

/// The servers of a tier, as seen from this proxy.
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

/// An endpoint that may take the request.
#[derive(Clone, Copy, Debug)]
struct ScoredEndpoint {
    index: usize,
    service: usize,
    /// The less the better.
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
    /// Selects the nearest endpoint with free capacity.
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

    /// The first tier's best endpoint that is not piled up, or else the least piled up one.
    fn select_in_tiers(&mut self, pass: SelectionPass, tiers: &[Tier]) -> Option<ScoredEndpoint> {
        let mut piled_up: Option<ScoredEndpoint> = None;
        for tier in tiers {
            let candidates = self.candidates(pass, tier);
            let Some(best) = self.better_of_two(&candidates) else { continue };
            // Load reports show a pile later than the requests in flight do: a later tier comes
            // first if far fewer are in flight there.
            let is_piled_up = best.in_flight >= PILED_UP_IN_FLIGHT && !self.is_alternative_only();
            if is_piled_up || piled_up.is_some_and(|least| !is_far_below(&best, &least)) {
                if piled_up.is_none_or(|least| is_far_below(&best, &least)) {
                    piled_up = Some(best);
                }
                continue;
            }
            if self.is_alternative_only() || self.reserve(&best, false) {
                return Some(best);
            }
        }
        piled_up.filter(|least| self.reserve(least, false))
    }

    /// Of all endpoints, full and suspect ones too, the one with the least score; of equal ones the
    /// first, which is the nearest.
    fn select_last_resort(&mut self, tiers: &[Tier]) -> Option<ScoredEndpoint> {
        let mut candidates = Vec::new();
        for tier in tiers {
            candidates.extend(self.candidates(SelectionPass::LastResort, tier));
        }
        let best = candidates.into_iter().min_by_key(|candidate| candidate.score)?;
        (self.is_alternative_only() || self.reserve(&best, true)).then_some(best)
    }

    /// Where the selection ends before it turns to full and suspect endpoints.
    fn end_before_last_resort(&self) -> Option<Selection> {
        match self.context.only_alternative_for {
            Some(RetryReason::Slow) => Some(Selection::None),
            Some(RetryReason::Lost) => None,
            // A server in slow start that soon takes a request is better than a suspect one.
            None => self.slow_start.earliest.map(Selection::Wait),
        }
    }

    /// The endpoints of a tier that may take the request in this pass.
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

    /// Score by load; `None` if the endpoint is suspect, full or for the other pass.
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
            || state.health.is_degraded(self.now, allows_trial);
        let is_usable = !is_suspect && !is_full && is_fallback == (pass == SelectionPass::Fallback);
        is_usable.then_some((state.in_flight + 1) * u64::from(100 + load_milli))
    }

    /// Score as a last resort: full endpoints before suspect ones, by requests in flight.
    fn last_resort_score(&self, state: &EndpointState<C>, max_in_flight: u64) -> Option<u64> {
        let is_suspect = state.health.phase == ServerPhase::Suspect;
        if is_suspect && self.is_alternative_only() {
            return None;
        }
        let suspect_score = if is_suspect { SUSPECT_SCORE } else { 0 };
        (state.in_flight < max_in_flight).then_some(suspect_score + state.in_flight)
    }

    /// The better of two candidates by the draw; the first one where they are equal.
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

/// Whether an endpoint has far fewer requests in flight than one that is piled up.
fn is_far_below(candidate: &ScoredEndpoint, piled_up: &ScoredEndpoint) -> bool {
    candidate.in_flight < piled_up.in_flight / PILED_UP_RATIO
}
