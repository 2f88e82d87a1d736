//! A log of the faults of a soak test and of the period in which each lasted.

use crate::soak::record::{Fault, FaultInterval};
use std::time::{Duration, Instant};

/// A fault that has not ended yet.
struct OngoingFault {
    /// Identifies the fault when it ends.
    key: String,
    fault: Fault,
    from: Duration,
}

/// Records when faults begin and end. Times are relative to the start of the soak test.
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

    /// Records that a fault begins.
    pub fn begin(&mut self, key: String, fault: Fault) {
        let now = self.start.elapsed();
        self.last_change_at = now;
        self.ongoing.push(OngoingFault { key, fault, from: now });
    }

    /// Records that all faults with this key end.
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

    /// Records a fault that begins now and lasts for a known time.
    pub fn record(&mut self, fault: Fault, duration: Duration) {
        let now = self.start.elapsed();
        self.last_change_at = now;
        self.intervals.push(FaultInterval { fault, from: now, to: now + duration });
    }

    pub fn is_ongoing(&self, key: &str) -> bool {
        self.ongoing.iter().any(|fault| fault.key == key)
    }

    /// Records that all faults end.
    pub fn end_all(&mut self) {
        let keys: Vec<String> = self.ongoing.iter().map(|fault| fault.key.clone()).collect();
        keys.iter().for_each(|key| self.end(key));
        self.last_change_at = self.start.elapsed();
    }

    /// When a fault last began or ended.
    pub fn last_change_at(&self) -> Duration {
        self.last_change_at
    }

    /// Removes and returns all faults that have ended.
    pub fn take_intervals(&mut self) -> Vec<FaultInterval> {
        std::mem::take(&mut self.intervals)
    }
}
