use super::DurationHistogram;
use std::time::Duration;

/// The quantiles are exact to two significant digits, and a duration beyond the range counts as the longest.
#[test]
fn quantiles_of_recorded_durations() {
    let histogram = DurationHistogram::default();
    assert_eq!(histogram.summary().count, 0);
    for ms in 1..=100 {
        histogram.record(Duration::from_millis(ms));
    }
    let summary = histogram.summary();
    assert_eq!((summary.count, summary.p50_ms, summary.p99_ms, summary.max_ms), (100, 50, 99, 100));
    histogram.record(Duration::from_secs(3600));
    let max_ms = histogram.summary().max_ms;
    assert!((590_000..=610_000).contains(&max_ms), "{max_ms}");
}
