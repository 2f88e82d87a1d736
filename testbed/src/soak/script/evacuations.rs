//! Scripts that evacuate zones while core machines have faults (design 10.7): zones are drained, restored and drained
//! anew, one or two at a time, with faults around the restoration and the second drain. The second drain lasts until
//! every proxy must know of it, so that requests in the zone are seen.

use super::{Action, Daemon, LinkState, Size, Step};
use crate::sim::Random;
use std::time::Duration;

/// How long a zone is drained for the first time.
const FIRST_HOLD_MS: (u64, u64) = (1500, 4000);
/// The time after the last fault by which all proxies know of a drained zone, as a part of the second hold.
const PROPAGATION_TIME: Duration = Duration::from_millis(5500);
/// How long requests in a drained zone are looked for after that.
const WATCH_TIME_MS: (u64, u64) = (2500, 4000);
/// Time for an order to be acknowledged while a core machine has a fault.
const ORDER_TIME: Duration = Duration::from_millis(4500);
/// Longest downtime, and longest suspension, in milliseconds.
const DOWNTIME_MS: (u64, u64) = (300, 4000);
const SUSPENSION_MS: (u64, u64) = (2500, 8000);
/// A fault begins up to so many milliseconds before or after the order around which it happens.
const FAULT_OFFSET_MS: u64 = 150;

/// A fault of a core machine.
#[derive(Clone, Copy, Debug)]
enum CoreFault {
    Kill,
    /// The machine's connections go silent, without a reset.
    PowerLoss,
    Terminate,
    Suspend,
    Partition,
    OutboundBlocked,
    Reset,
    EmptyDisk,
}

const CORE_FAULTS: [CoreFault; 10] = [
    CoreFault::Suspend,
    CoreFault::Kill,
    CoreFault::PowerLoss,
    CoreFault::Suspend,
    CoreFault::Terminate,
    CoreFault::Partition,
    CoreFault::Suspend,
    CoreFault::OutboundBlocked,
    CoreFault::Reset,
    CoreFault::EmptyDisk,
];

struct Builder<'r> {
    random: &'r mut Random,
    size: Size,
    steps: Vec<Step>,
    /// Which of the faults comes next; each seed begins at another one.
    next_fault: usize,
}

impl Builder<'_> {
    fn between(&mut self, (low, high): (u64, u64)) -> Duration {
        self.random.between(Duration::from_millis(low), Duration::from_millis(high))
    }

    fn step(&mut self, at: Duration, action: Action) {
        self.steps.push(Step { at, action });
    }

    /// Adds the next fault, to one core machine, around this time. Returns when it has ended.
    fn fault(&mut self, around: Duration) -> Duration {
        let fault = CORE_FAULTS[self.next_fault % CORE_FAULTS.len()];
        self.next_fault += 3;
        let offset = self.between((0, 2 * FAULT_OFFSET_MS));
        let at = (around + offset).saturating_sub(Duration::from_millis(FAULT_OFFSET_MS));
        // The first machine's store is mostly the one that registries ask first.
        let machine = [0, 0, self.random.below(self.size.cores)][self.random.below(3)];
        let duration = match fault {
            CoreFault::Suspend => self.between(SUSPENSION_MS),
            _ => self.between(DOWNTIME_MS),
        };
        let daemons = [Daemon::Registry(machine), Daemon::Store(machine)];
        for daemon in daemons {
            let link = |state| Action::SetLink(daemon, state);
            let (begin, end) = match fault {
                CoreFault::Kill => (vec![Action::Kill(daemon)], vec![Action::Start(daemon)]),
                CoreFault::PowerLoss => (
                    vec![link(LinkState::Partitioned), Action::Kill(daemon)],
                    vec![link(LinkState::Healthy), Action::Start(daemon)],
                ),
                CoreFault::Terminate => {
                    (vec![Action::Terminate(daemon)], vec![Action::Start(daemon)])
                }
                CoreFault::Suspend => (vec![Action::Suspend(daemon)], vec![Action::Resume(daemon)]),
                CoreFault::Partition => {
                    (vec![link(LinkState::Partitioned)], vec![link(LinkState::Healthy)])
                }
                CoreFault::OutboundBlocked => {
                    (vec![link(LinkState::OutboundBlocked)], vec![link(LinkState::Healthy)])
                }
                CoreFault::Reset => (vec![link(LinkState::Reset)], vec![link(LinkState::Reset)]),
                CoreFault::EmptyDisk => (
                    vec![Action::Kill(daemon), Action::WipeDisk(daemon)],
                    vec![Action::Start(daemon)],
                ),
            };
            begin.into_iter().for_each(|action| self.step(at, action));
            end.into_iter().for_each(|action| self.step(at + duration, action));
        }
        at + duration
    }

    /// Drains zones, restores them, and drains them anew, with faults. Returns when that has ended.
    fn round(&mut self, begin: Duration) -> Duration {
        let first = self.random.below(self.size.zones);
        // One zone at least stays in use.
        let has_two = self.size.zones > 2 && self.random.chance(0.5);
        let zones: Vec<usize> = (0..1 + usize::from(has_two))
            .map(|offset| (first + offset) % self.size.zones)
            .collect();
        let restore_at = begin + self.between(FIRST_HOLD_MS);
        let mut fault_ends = self.fault(restore_at);
        // Mostly at once, sometimes seconds later.
        let gap = if self.random.chance(0.7) { (20, 150) } else { (150, 10_000) };
        let again_at = restore_at + self.between(gap);
        if self.random.chance(0.4) {
            // Only one core machine has a fault at a time.
            let around = again_at.max(fault_ends + PROPAGATION_TIME);
            fault_ends = self.fault(around);
        }
        let watch_time = self.between(WATCH_TIME_MS);
        let end = fault_ends.max(again_at + ORDER_TIME) + PROPAGATION_TIME + watch_time;
        for zone in zones {
            self.step(begin, Action::DrainZone(zone));
            self.step(restore_at, Action::RestoreZone(zone));
            self.step(again_at, Action::DrainZone(zone));
            self.step(end, Action::RestoreZone(zone));
        }
        end
    }
}

/// Generates the script of a seed, ordered by time. Its rounds begin within `length`, and the last one is played to
/// its end.
pub fn generate(seed: u64, size: Size, length: Duration) -> Vec<Step> {
    let mut random = Random::new(seed);
    let next_fault = seed as usize;
    let mut builder = Builder { random: &mut random, size, steps: Vec::new(), next_fault };
    let mut at = Duration::from_millis(500);
    while at < length {
        at = builder.round(at) + Duration::from_secs(1);
    }
    let mut steps = builder.steps;
    steps.sort_by_key(|step| step.at);
    steps
}
