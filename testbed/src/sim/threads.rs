//! Runs independent simulations in parallel.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Calls `work` once with each index below `count`, on the given number of threads. The simulations
/// share no state.
pub fn on_threads(threads: usize, count: usize, work: impl Fn(usize) + Sync) {
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    if index >= count {
                        return;
                    }
                    work(index);
                }
            });
        }
    });
}

/// The number of available processor cores; 1 if it is unknown.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, |cores| cores.get())
}
