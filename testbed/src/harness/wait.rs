//! Waiting for a condition.

use std::time::{Duration, Instant};

const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until the condition holds and returns how long that took.
///
/// # Panics
/// If it does not hold within the time-out; the message names what was awaited.
pub async fn wait_until(
    what: &str,
    timeout: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> Duration {
    let start = Instant::now();
    loop {
        if condition().await {
            return start.elapsed();
        }
        assert!(start.elapsed() < timeout, "not within {timeout:?}: {what}");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
