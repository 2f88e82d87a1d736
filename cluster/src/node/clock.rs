//! Monotonic time.

use std::time::{Duration, Instant};

/// Monotonic time since the start of the process. Wall clocks may jump and decide nothing.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that begins at zero.
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// The time since the start.
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }
}
