//! Drains of zones by evacuations.

use super::Report;
use crate::sim::scenario::Run;
use crate::sim::state::OperatorCall;
use std::collections::BTreeSet;
use vanepath_store::protocol::{Change, Outcome};

/// Checks that a zone is restored once each evacuation of it was withdrawn, however often its calls were
/// sent, and not before. (That no request goes to a drained zone, `reachability` checks.)
pub(super) fn check(run: &Run, report: &mut Report) {
    let sim = &run.sim;
    let Some((_, Some(Outcome::Value { value }))) = sim.world.history.last() else { return };
    let zones: BTreeSet<&str> = sim.evacuations.iter().map(|one| one.zone).collect();
    for zone in zones {
        let of_zone = || sim.evacuations.iter().filter(|one| one.zone == zone);
        // Drained by a call under a key as well: that one is independent.
        let is_other = sim.operations.iter().any(|one| {
            matches!(&one.call, OperatorCall::Change { change: Change::DrainZone { zone: other }, .. }
                if other == zone && one.call.evacuation().is_none())
        });
        let standing = of_zone().filter(|one| {
            one.acknowledged_at[0].is_some() && one.sent_at[1].is_none_or(|at| at > run.end)
        });
        let is_drained = value.drained_zones.contains(zone);
        let is_over = of_zone().all(|one| one.acknowledged_at[1].is_some());
        if is_over && is_drained && !is_other {
            let text = format!("{zone} is emptied still, and every order was withdrawn");
            report.violations.push(text);
        }
        if standing.count() > 0 && !is_drained {
            report.violations.push(format!("{zone} is back, and an order to empty it stands"));
        }
    }
}
