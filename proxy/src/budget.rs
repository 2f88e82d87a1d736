//! The retry budget: further goes stay a small part of the traffic (design 8.5).

use std::time::Duration;

/// Of the requests that this proxy took within the window.
pub const PART: f64 = 0.15;
/// Fleet-wide, on top, within the window; divided among the live proxies.
pub const FLOOR: f64 = 24.0;
const WINDOW_S: u64 = 10;
const SLOTS: usize = WINDOW_S as usize + 1;

/// Counts by second. The window holds eleven of them, so that no ten seconds, wherever they
/// begin, hold more further goes than allowed.
#[derive(Default)]
pub struct Budget {
    slots: [(u64, u64, u64); SLOTS],
}

impl Budget {
    fn slot(&mut self, now: Duration) -> &mut (u64, u64, u64) {
        let second = now.as_secs();
        let slot = &mut self.slots[second as usize % SLOTS];
        if slot.0 != second {
            *slot = (second, 0, 0);
        }
        slot
    }

    pub fn took(&mut self, now: Duration) {
        self.slot(now).1 += 1;
    }

    /// Whether one more further go may be made; if so it is counted.
    pub fn take_go(&mut self, now: Duration, live_proxies: usize) -> bool {
        let may = self.may_go(now, live_proxies);
        self.slot(now).2 += u64::from(may);
        may
    }

    /// Whether one more would be within the budget.
    pub fn may_go(&mut self, now: Duration, live_proxies: usize) -> bool {
        self.slot(now);
        let second = now.as_secs();
        let within = self.slots.iter().filter(|slot| slot.0 + (WINDOW_S) >= second);
        let goes: u64 = within.clone().map(|slot| slot.2).sum();
        // The oldest of the eleven seconds may lie outside the ten that are judged.
        let taken: u64 = within.filter(|slot| slot.0 + WINDOW_S > second).map(|slot| slot.1).sum();
        let floor = (FLOOR / live_proxies.max(1) as f64).max(1.0);
        (goes as f64) + 1.0 <= PART * taken as f64 + floor
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    /// Whatever the load does, no ten seconds hold more further goes than a fifth of the
    /// requests and the floor.
    #[test]
    fn further_goes_stay_a_part_of_any_ten_seconds() {
        let mut budget = super::Budget::default();
        let mut seed = 7_u64;
        let mut history: Vec<(u64, u64, u64)> = Vec::new();
        for step in 0..2000_u64 {
            let now_ms = step * 50;
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let surge = if (step / 400) % 2 == 0 { 12 } else { 1 };
            let requests = (seed >> 33) % surge;
            let now = Duration::from_millis(now_ms);
            let mut goes = 0;
            for _ in 0..requests {
                budget.took(now);
                // Every request wants three more goes.
                goes += (0..3).filter(|_| budget.take_go(now, 8)).count() as u64;
            }
            history.push((now_ms, requests, goes));
        }
        let mut worst: f64 = 0.0;
        let mut total = 0;
        for (start_ms, ..) in &history {
            let window =
                history.iter().filter(|one| one.0 >= *start_ms && one.0 < start_ms + 10_000);
            let requests: u64 = window.clone().map(|one| one.1).sum();
            let goes: u64 = window.map(|one| one.2).sum();
            worst = worst.max(goes as f64 - 0.2 * requests as f64);
            total = total.max(goes);
        }
        assert!(worst <= super::FLOOR, "{worst} over a fifth of the traffic");
        assert!(total > 20, "the budget is there to be used");
    }
}
