//! Histograms of durations, for the metrics and status pages (design 9.3).

use hdrhistogram::Histogram;
use jzon::JsonValue;
use std::sync::Mutex;
use std::time::Duration;

/// The longest duration that is told apart; a longer one counts as this.
const MAX_DURATION: Duration = Duration::from_secs(600);
/// The number of significant decimal digits of a recorded duration.
const SIGNIFICANT_DIGITS: u8 = 2;

/// A histogram of durations in milliseconds that several tasks record into (Tene, HdrHistogram).
pub struct DurationHistogram {
    histogram: Mutex<Histogram<u64>>,
}

/// What a histogram shows; all durations in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DurationSummary {
    /// The number of recorded durations.
    pub count: u64,
    /// Half of the durations are no longer than this.
    pub p50_ms: u64,
    /// 99 in 100 of the durations are no longer than this.
    pub p99_ms: u64,
    /// The longest duration.
    pub max_ms: u64,
}

impl Default for DurationHistogram {
    fn default() -> DurationHistogram {
        let max_ms = MAX_DURATION.as_millis() as u64;
        let histogram = Histogram::new_with_max(max_ms, SIGNIFICANT_DIGITS)
            .expect("the bounds of the histogram are valid");
        DurationHistogram { histogram: Mutex::new(histogram) }
    }
}

impl DurationHistogram {
    /// Records one duration.
    pub fn record(&self, duration: Duration) {
        let mut histogram = self.histogram.lock().expect("no panic under this lock");
        histogram.saturating_record(duration.as_millis() as u64);
    }

    /// The quantiles of all durations recorded so far.
    pub fn summary(&self) -> DurationSummary {
        let histogram = self.histogram.lock().expect("no panic under this lock");
        DurationSummary {
            count: histogram.len(),
            p50_ms: histogram.value_at_quantile(0.5),
            p99_ms: histogram.value_at_quantile(0.99),
            max_ms: histogram.max(),
        }
    }
}

impl DurationSummary {
    /// The summary for a status page.
    pub fn as_json(&self) -> JsonValue {
        jzon::object! {
            "count": self.count,
            "p50Ms": self.p50_ms,
            "p99Ms": self.p99_ms,
            "maxMs": self.max_ms,
        }
    }

    /// Writes the summary into the metrics, under names that begin with `prefix`.
    pub fn write_metrics(&self, prefix: &str, metrics: &mut JsonValue) {
        metrics[format!("{prefix}Count")] = self.count.into();
        metrics[format!("{prefix}P50Ms")] = self.p50_ms.into();
        metrics[format!("{prefix}P99Ms")] = self.p99_ms.into();
        metrics[format!("{prefix}MaxMs")] = self.max_ms.into();
    }
}

#[cfg(test)]
mod tests;
