//! The monotonic clock.

use std::time::{Duration, Instant};

/// Monotonic time since the start of the process. The wall clock may jump, so no decision depends on it.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts at zero.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// The time since the start.
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }
}
