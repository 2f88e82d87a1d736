use super::{BandwidthLimiter, MAX_CHUNK_BYTES, Throttled};
use std::time::Duration;

/// Under constant demand, large responses use their share of the link and no more, and the backlog
/// never exceeds its bound by more than one chunk.
#[test]
fn large_responses_use_their_share_of_the_link() {
    let mut limiter = BandwidthLimiter::new(5.2);
    let rate = 5.2e6 / 8.0;
    let mut now = Duration::ZERO;
    let mut bytes = 0;
    while now < Duration::from_secs(10) {
        match limiter.try_pass(now, MAX_CHUNK_BYTES) {
            Ok(()) => bytes += MAX_CHUNK_BYTES,
            Err(Throttled { retry_at: until }) => {
                assert!(until > now, "the time to retry is in the future");
                now = until;
            }
        }
        let ahead = bytes as f64 - rate * 0.8 * now.as_secs_f64();
        assert!(
            ahead <= rate * 0.8 * 0.010 + MAX_CHUNK_BYTES as f64 + 1.0,
            "{ahead} bytes ahead at {now:?}"
        );
    }
    let share = bytes as f64 / (rate * 10.0);
    assert!((0.79..=0.81).contains(&share), "{share} of the link");
    // Unused bandwidth from an idle period is not made up for by a burst.
    let later = now + Duration::from_secs(5);
    let burst = (0..1000).take_while(|_| limiter.try_pass(later, MAX_CHUNK_BYTES).is_ok()).count();
    assert!(burst <= 2, "{burst} chunks at once");
}
