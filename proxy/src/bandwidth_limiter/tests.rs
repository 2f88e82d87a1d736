use super::{BandwidthLimiter, MAX_CHUNK_BYTES, Throttled};
use std::time::Duration;

/// However many large responses there are, they use their share of the link and no more, and the
/// backlog is never more than a small response may wait for.
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
                assert!(until > now, "it says when to come back");
                now = until;
            }
        }
        let ahead = bytes as f64 - rate * 0.8 * now.as_secs_f64();
        assert!(
            ahead <= rate * 0.8 * 0.010 + MAX_CHUNK_BYTES as f64 + 1.0,
            "{ahead} bytes ahead at {now:?}"
        );
    }
    let part = bytes as f64 / (rate * 10.0);
    assert!((0.79..=0.81).contains(&part), "{part} of the link");
    // Idle time is not made up for.
    let later = now + Duration::from_secs(5);
    let burst = (0..1000).take_while(|_| limiter.try_pass(later, MAX_CHUNK_BYTES).is_ok()).count();
    assert!(burst <= 2, "{burst} pieces at once");
}
