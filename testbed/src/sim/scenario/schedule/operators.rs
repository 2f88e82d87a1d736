//! Changes by operators in addition to their periodic calls.

use super::{Context, ms, pick_zone};
use crate::sim::state::{Action, Evacuation, EvacuationSeries, Sim};
use std::time::Duration;

pub(super) fn drain_zone(sim: &mut Sim, context: &Context) -> Duration {
    let (zone, _) = pick_zone(sim, context);
    sim.schedule(context.start, Action::DrainZone(zone));
    sim.schedule(context.start + ms(9000), Action::RestoreZone(zone));
    context.start + ms(10_000)
}

/// Schedules two or three overlapping evacuations of one zone.
pub(super) fn overlapping_evacuations(sim: &mut Sim, context: &Context) -> Duration {
    let (zone, _) = pick_zone(sim, context);
    let count = 2 + sim.net.random.below(2);
    let mut when = [context.start, context.start + ms(8000)];
    for _ in 0..count {
        sim.evacuations.push(Evacuation::new(zone));
        let evacuation = sim.evacuations.len() - 1;
        for (step, when) in when.iter_mut().enumerate() {
            let registry_dies = sim.net.random.chance(0.5);
            sim.schedule(*when, Action::KeylessCall { evacuation, step, registry_dies });
            *when += ms(1200 + sim.net.random.draw() % 1500);
        }
    }
    context.start + ms(19_000)
}

/// Number of evacuations in a series.
const SERIES_LENGTH: usize = 3;
/// How long the zone stays drained in a series at least: requests to a drained zone count after 5 s.
const MIN_HOLD_TIME: Duration = ms(7500);
/// How long the processes of a core machine are frozen, as in the users' deployments.
const FREEZE_TIME: Duration = ms(4000);

/// Schedules evacuations of one zone one after the other. Most of the calls that drain it have one or two answers
/// that are lost, so that they are sent again, and some of those that restore it.
pub(super) fn evacuations_with_lost_answers(sim: &mut Sim, context: &Context) -> Duration {
    schedule_series(sim, context, |sim| {
        let lost_drains = [0, 1, 1, 2][sim.net.random.below(4)];
        let lost_restores = [0, 0, 0, 1][sim.net.random.below(4)];
        ([lost_drains, lost_restores], Vec::new())
    })
}

/// Schedules evacuations of one zone one after the other. As each of them is withdrawn, a core machine is frozen,
/// mostly the one whose store the registries ask first: calls wait in its sockets, and their callers leave.
pub(super) fn evacuations_while_control_freezes(sim: &mut Sim, context: &Context) -> Duration {
    schedule_series(sim, context, |sim| {
        let slot = [0, 0, context.slot][sim.net.random.below(3)];
        let nodes = [context.registries[slot], context.stores[slot]];
        ([0, 0], nodes.map(|node| (node, FREEZE_TIME)).to_vec())
    })
}

/// Schedules a series; `draw` gives the lost answers and the freezes of one evacuation.
fn schedule_series(
    sim: &mut Sim,
    context: &Context,
    mut draw: impl FnMut(&mut Sim) -> ([u32; 2], Vec<(usize, Duration)>),
) -> Duration {
    let (zone, _) = pick_zone(sim, context);
    let first = sim.evacuations.len();
    for evacuation in first..first + SERIES_LENGTH {
        let (lost_answers, freezes) = draw(sim);
        let hold = MIN_HOLD_TIME + ms(sim.net.random.draw() % 1500);
        let next = (evacuation + 1 < first + SERIES_LENGTH).then_some(evacuation + 1);
        let leaves_connections_open = sim.net.random.below(4) > 0;
        let series = Some(EvacuationSeries { hold, next, freezes, leaves_connections_open });
        sim.evacuations.push(Evacuation { lost_answers, series, ..Evacuation::new(zone) });
    }
    let action = Action::KeylessCall { evacuation: first, step: 0, registry_dies: false };
    sim.schedule(context.start, action);
    context.start + ms(40_000)
}

pub(super) fn burst_of_changes(sim: &mut Sim, context: &Context) -> Duration {
    for _ in 0..20 {
        let delay = ms(sim.net.random.draw() % 2000);
        sim.schedule(context.start + delay, Action::ReplaceConfig);
    }
    context.start + ms(3000)
}

pub(super) fn move_region_bounds(sim: &mut Sim, context: &Context) -> Duration {
    for change in 0..6_u32 {
        let at = context.start + ms(1500) * change;
        sim.schedule(at, Action::MoveRegionBounds(change % 2 == 0));
    }
    context.start + ms(12_000)
}
