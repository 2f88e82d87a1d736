use super::CallPacer;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// No window of one second holds more than half of the platform's calls, and none is left unused.
#[test]
fn half_of_the_rate_is_used_and_no_more() {
    let mut pacer = CallPacer::new(Some(8.0));
    let calls: Vec<Duration> = (0..12).map(|_| pacer.reserve(ms(100))).collect();
    let expected = [100, 100, 100, 100, 1100, 1100, 1100, 1100, 2100, 2100, 2100, 2100].map(ms);
    assert_eq!(calls, expected);
    assert_eq!(pacer.reserve(ms(9000)), ms(9000));
}

#[test]
fn without_a_stated_rate_no_call_waits() {
    let mut pacer = CallPacer::new(None);
    assert!((0..10_000).all(|_| pacer.reserve(ms(5)) == ms(5)));
}

/// A rate below two calls a second still allows one.
#[test]
fn a_low_rate_allows_one_call_at_a_time() {
    let mut pacer = CallPacer::new(Some(0.5));
    assert_eq!([pacer.reserve(ms(0)), pacer.reserve(ms(1))], [ms(0), ms(1000)]);
}
