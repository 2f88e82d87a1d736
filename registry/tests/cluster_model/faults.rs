//! Faults of the registry that reads the list.

use super::{ClusterModel, Scenario};
use std::ops::Range;
use std::time::Duration;

/// What happens to the reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// It loses power for good.
    Killed,
    /// It stands still and goes on afterwards.
    Paused,
    /// The platform does not answer it; the other nodes do.
    CutFromPlatform,
    /// Each page takes it ten times as long.
    SlowPath,
}

/// A fault of the registry whose read completed last when the fault begins.
#[derive(Clone, Debug)]
pub struct ReaderFault {
    pub kind: FaultKind,
    pub during: Range<Duration>,
}

/// The state of the fault of a run.
#[derive(Debug, Default)]
pub(super) struct FaultState {
    /// The registry whose read completed last.
    pub(super) last_reader: usize,
    /// The fault in effect and the registry that has it.
    current: Option<(FaultKind, usize, Range<Duration>)>,
}

/// A paused registry may know less than the others for this long after it goes on.
const RESUME_GRACE: Duration = Duration::from_secs(3);
/// How much longer a page takes on a slow path.
const SLOW_PATH_FACTOR: u32 = 10;

impl ClusterModel {
    pub(super) fn update_fault(&mut self, scenario: &Scenario) {
        let Some(fault) = &scenario.reader_fault else { return };
        if self.reader_fault.current.is_none() && self.now >= fault.during.start {
            let reader = self.reader_fault.last_reader;
            self.reader_fault.current = Some((fault.kind, reader, fault.during.clone()));
        }
    }

    /// Whether this node is dead or paused.
    pub(super) fn is_stopped(&self, index: usize) -> bool {
        let is_during = |during: &Range<Duration>| during.contains(&self.now);
        match &self.reader_fault.current {
            Some((FaultKind::Killed, reader, _)) => *reader == index,
            Some((FaultKind::Paused, reader, during)) => *reader == index && is_during(during),
            _ => false,
        }
    }

    /// Whether this node must know the current list: it runs, and it has not just been paused.
    pub(super) fn must_be_current(&self, index: usize) -> bool {
        match &self.reader_fault.current {
            Some((FaultKind::Killed, reader, _)) => *reader != index,
            Some((FaultKind::Paused, reader, during)) => {
                *reader != index || self.now > during.end + RESUME_GRACE
            }
            _ => true,
        }
    }

    /// When the messages to a paused node are handled; `None`: it is not paused.
    pub(super) fn resumes_at(&self, index: usize) -> Option<Duration> {
        match &self.reader_fault.current {
            Some((FaultKind::Paused, reader, during)) if *reader == index => {
                Some(during.end).filter(|end| self.now < *end)
            }
            _ => None,
        }
    }

    /// How long a page takes a registry that the platform would answer in `delay`; `None`: there is no
    /// answer.
    pub(super) fn page_delay(&self, index: usize, delay: Duration) -> Option<Duration> {
        match &self.reader_fault.current {
            Some((kind, reader, during)) if *reader == index && during.contains(&self.now) => {
                match kind {
                    FaultKind::CutFromPlatform => None,
                    FaultKind::SlowPath => Some(delay * SLOW_PATH_FACTOR),
                    FaultKind::Killed | FaultKind::Paused => Some(delay),
                }
            }
            _ => Some(delay),
        }
    }
}
