use super::{BandwidthLimiter, PIECE};
use std::time::Duration;

/// However many large answers there are, they take their part of the link and no more, and what was
/// let through ahead is never more than a small answer may wait for.
#[test]
fn large_answers_take_their_part_of_the_link() {
    let mut gate = BandwidthLimiter::new(5.2);
    let rate = 5.2e6 / 8.0;
    let mut now = Duration::ZERO;
    let mut bytes = 0;
    while now < Duration::from_secs(10) {
        match gate.pass(now, PIECE) {
            Ok(()) => bytes += PIECE,
            Err(until) => {
                assert!(until > now, "it says when to come back");
                now = until;
            }
        }
        let ahead = bytes as f64 - rate * 0.8 * now.as_secs_f64();
        assert!(ahead <= rate * 0.8 * 0.010 + PIECE as f64 + 1.0, "{ahead} bytes ahead at {now:?}");
    }
    let part = bytes as f64 / (rate * 10.0);
    assert!((0.79..=0.81).contains(&part), "{part} of the link");
    // After a rest it does not make up for it.
    let later = now + Duration::from_secs(5);
    let burst = (0..1000).take_while(|_| gate.pass(later, PIECE).is_ok()).count();
    assert!(burst <= 2, "{burst} pieces at once");
}
