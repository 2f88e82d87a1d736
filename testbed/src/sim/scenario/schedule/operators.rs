//! Changes by operators in addition to their periodic calls.

use super::{Context, ms, pick_zone};
use crate::sim::state::{Action, Evacuation, Sim};
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
        sim.evacuations.push(Evacuation { zone, sent_at: [None; 2], acknowledged_at: [None; 2] });
        let evacuation = sim.evacuations.len() - 1;
        for (step, when) in when.iter_mut().enumerate() {
            let registry_dies = sim.net.random.chance(0.5);
            sim.schedule(*when, Action::KeylessCall { evacuation, step, registry_dies });
            *when += ms(1200 + sim.net.random.draw() % 1500);
        }
    }
    context.start + ms(19_000)
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
