//! Waits for a condition.

use std::time::{Duration, Instant};

const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until the condition holds and returns how long that took.
///
/// # Panics
/// If it does not hold within the time-out. The message contains `description`.
pub async fn wait_until(
    description: &str,
    timeout: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> Duration {
    let start = Instant::now();
    loop {
        if condition().await {
            return start.elapsed();
        }
        assert!(
            start.elapsed() < timeout,
            "condition does not hold after {timeout:?}: {description}"
        );
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
