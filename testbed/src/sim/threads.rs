//! Independent simulations on several threads.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Calls `work` with each number below `count`, on so many threads. Simulations share no state.
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

/// The number of processor cores; 1 if it is unknown.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, |cores| cores.get())
}
