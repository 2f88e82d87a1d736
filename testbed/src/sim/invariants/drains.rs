//! Evacuations: a zone is drained for as long as one of its evacuations lasts.

use super::Report;
use crate::sim::scenario::Run;
use crate::sim::state::OperatorCall;
use std::collections::BTreeSet;
use vanepath_store::protocol::{Change, Outcome};

/// Checks that a zone is restored when all its evacuations are withdrawn, however often their calls were
/// retransmitted, and not before. The module `reachability` checks that drained zones get no requests.
pub(super) fn check(run: &Run, report: &mut Report) {
    let sim = &run.sim;
    let Some((_, Some(Outcome::Value { value }))) = sim.world.history.last() else { return };
    let zones: BTreeSet<&str> = sim.evacuations.iter().map(|evacuation| evacuation.zone).collect();
    for zone in zones {
        let of_zone = || sim.evacuations.iter().filter(|evacuation| evacuation.zone == zone);
        // A drain with an idempotency key is independent of the evacuations.
        let has_keyed_drain = sim.operations.iter().any(|operation| {
            matches!(&operation.call, OperatorCall::Change { change: Change::DrainZone { zone: other }, .. }
                if other == zone && operation.call.evacuation().is_none())
        });
        let active = of_zone().filter(|evacuation| {
            evacuation.acknowledged_at[0].is_some()
                && evacuation.sent_at[1].is_none_or(|at| at > run.end)
        });
        let is_drained = value.drained_zones.contains(zone);
        let all_withdrawn = of_zone().all(|evacuation| evacuation.acknowledged_at[1].is_some());
        if all_withdrawn && is_drained && !has_keyed_drain {
            let text =
                format!("{zone} is still drained, although all its evacuations were withdrawn");
            report.violations.push(text);
        }
        if active.count() > 0 && !is_drained {
            report
                .violations
                .push(format!("{zone} was restored before all its evacuations were withdrawn"));
        }
    }
}
