//! The steering state and its clock, shared by the tasks of a client.

use crate::steering::Steering;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Steering state behind a lock. The lock is never held across an `await`.
pub(super) struct SharedSteering {
    start: Instant,
    steering: Mutex<Steering>,
}

impl SharedSteering {
    pub fn new(steering: Steering) -> SharedSteering {
        SharedSteering { start: Instant::now(), steering: Mutex::new(steering) }
    }

    /// Time since the client was created, which is the time base of its [`Steering`].
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn lock(&self) -> MutexGuard<'_, Steering> {
        self.steering.lock().expect("no panic under this lock")
    }
}

/// Guard of a request that is outstanding at an address until the guard is dropped. The request counts as
/// unanswered unless [`OutstandingRequest::answered`] was called; so does a cancelled request.
pub(super) struct OutstandingRequest<'s> {
    steering: &'s SharedSteering,
    address: SocketAddr,
    was_answered: bool,
}

impl<'s> OutstandingRequest<'s> {
    pub fn start(steering: &'s SharedSteering, address: SocketAddr) -> OutstandingRequest<'s> {
        let now = steering.now();
        steering.lock().request_started(now, address);
        OutstandingRequest { steering, address, was_answered: false }
    }

    pub fn answered(mut self) {
        self.was_answered = true;
    }
}

impl Drop for OutstandingRequest<'_> {
    fn drop(&mut self) {
        let now = self.steering.now();
        self.steering.lock().request_finished(now, self.address, self.was_answered);
    }
}
