//! The simulator: the programs' own cores on simulated time, network, disks and clocks, from one
//! seed (design 10.2). A seed replays exactly.

pub mod breaks;
pub mod control;
pub mod data;
pub mod day;
pub mod judge;
pub mod net;
pub mod reach;
pub mod starts;
pub mod worst;

/// Does `count` pieces of work by their numbers on so many threads; days know nothing of each other.
pub fn on_threads(threads: usize, count: usize, work: impl Fn(usize) + Sync) {
    let next = std::sync::atomic::AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    if index >= count {
                        return;
                    }
                    work(index);
                }
            });
        }
    });
}

pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, |cores| cores.get())
}

/// The one source of chance.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x1234_5678_9abc_def0);
        random.draw();
        random
    }

    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, end: usize) -> usize {
        (self.draw() % end.max(1) as u64) as usize
    }

    pub fn part(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn chance(&mut self, part: f64) -> bool {
        self.part() < part
    }

    pub fn between(
        &mut self,
        low: std::time::Duration,
        high: std::time::Duration,
    ) -> std::time::Duration {
        low + (high - low).mul_f64(self.part())
    }
}
