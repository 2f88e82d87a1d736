//! The faults of a soak and how long each lasted.

use crate::soak::record::{Fault, FaultInterval};
use std::time::{Duration, Instant};

/// A fault that lasts.
struct OngoingFault {
    /// What is at fault, to find it when the fault ends.
    key: String,
    fault: Fault,
    from: Duration,
}

/// Records when faults begin and end. Times are from the start of the soak.
pub(super) struct FaultLog {
    start: Instant,
    ongoing: Vec<OngoingFault>,
    intervals: Vec<FaultInterval>,
    last_change_at: Duration,
}

impl FaultLog {
    pub fn new(start: Instant) -> FaultLog {
        FaultLog {
            start,
            ongoing: Vec::new(),
            intervals: Vec::new(),
            last_change_at: Duration::ZERO,
        }
    }

    /// A fault begins.
    pub fn begin(&mut self, key: String, fault: Fault) {
        let now = self.start.elapsed();
        self.last_change_at = now;
        self.ongoing.push(OngoingFault { key, fault, from: now });
    }

    /// All faults with that key end.
    pub fn end(&mut self, key: &str) {
        let now = self.start.elapsed();
        self.last_change_at = now;
        let (ended, ongoing) = self.ongoing.drain(..).partition(|fault| fault.key == key);
        self.ongoing = ongoing;
        let ended: Vec<OngoingFault> = ended;
        let intervals = ended.into_iter();
        self.intervals.extend(intervals.map(|ended| FaultInterval {
            fault: ended.fault,
            from: ended.from,
            to: now,
        }));
    }

    /// A fault that lasts for a known time.
    pub fn record(&mut self, fault: Fault, duration: Duration) {
        let now = self.start.elapsed();
        self.last_change_at = now;
        self.intervals.push(FaultInterval { fault, from: now, to: now + duration });
    }

    pub fn is_ongoing(&self, key: &str) -> bool {
        self.ongoing.iter().any(|fault| fault.key == key)
    }

    /// All faults end.
    pub fn end_all(&mut self) {
        let keys: Vec<String> = self.ongoing.iter().map(|fault| fault.key.clone()).collect();
        keys.iter().for_each(|key| self.end(key));
        self.last_change_at = self.start.elapsed();
    }

    /// When a fault last began or ended.
    pub fn last_change_at(&self) -> Duration {
        self.last_change_at
    }

    /// All faults that have ended.
    pub fn take_intervals(&mut self) -> Vec<FaultInterval> {
        std::mem::take(&mut self.intervals)
    }
}
