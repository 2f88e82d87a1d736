//! The pseudo-random number generator of a simulation.

use std::time::Duration;

/// A SplitMix64 generator. All randomness of a simulation comes from the seed of one generator.
pub struct Random(u64);

impl Random {
    /// Creates the generator for a seed.
    pub fn new(seed: u64) -> Random {
        let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x1234_5678_9abc_def0);
        random.draw();
        random
    }

    /// Returns the next number.
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number from 0 up to, but not including, `end`; 0 if `end` is 0.
    pub fn below(&mut self, end: usize) -> usize {
        (self.draw() % end.max(1) as u64) as usize
    }

    /// A fraction from 0 up to, but not including, 1.
    pub fn fraction(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns true with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.fraction() < probability
    }

    /// A duration from `low` up to `high`.
    pub fn between(&mut self, low: Duration, high: Duration) -> Duration {
        low + (high - low).mul_f64(self.fraction())
    }
}
