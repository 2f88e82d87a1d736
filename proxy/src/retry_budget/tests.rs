use super::{RetryBudget, RetryBudgets, RetryReason};
use std::time::Duration;
use vanepath_config::settings::RetryBudgetSettings;

/// Under any load, an interval of ten seconds contains no more retries than a fifth of its requests plus
/// the extra ones.
#[test]
fn retries_stay_within_their_share_in_any_ten_seconds() {
    let mut budget = RetryBudget::default();
    let mut seed = 7_u64;
    let mut history: Vec<(u64, u64, u64)> = Vec::new();
    for step in 0..2000_u64 {
        let now_ms = step * 50;
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let request_bound = if (step / 400) % 2 == 0 { 12 } else { 1 };
        let requests = (seed >> 33) % request_bound;
        let now = Duration::from_millis(now_ms);
        let mut retries = 0;
        for _ in 0..requests {
            budget.record_request(now);
            // Every request tries to make three retries.
            retries += (0..3).filter(|_| budget.try_take(now, 8, RetryReason::Lost)).count() as u64;
        }
        history.push((now_ms, requests, retries));
    }
    let mut max_excess: f64 = 0.0;
    let mut max_retries = 0;
    for (start_ms, ..) in &history {
        let window =
            history.iter().filter(|step| step.0 >= *start_ms && step.0 < start_ms + 10_000);
        let requests: u64 = window.clone().map(|step| step.1).sum();
        let retries: u64 = window.map(|step| step.2).sum();
        max_excess = max_excess.max(retries as f64 - 0.2 * requests as f64);
        max_retries = max_retries.max(retries);
    }
    assert!(max_excess <= 24.0, "{max_excess} retries more than a fifth of the requests");
    assert!(max_retries > 20, "too little of the budget was used");
}

const SETTINGS: RetryBudgetSettings =
    RetryBudgetSettings { ratio: 0.4, window: Duration::from_secs(4), extra: 40.0 };

/// The limit also holds for other settings: no interval of the length of the window contains more
/// retries than allowed, and most of the allowed retries are made.
#[test]
fn retries_stay_within_any_configured_window() {
    let mut budget = RetryBudget::new(SETTINGS);
    let mut events: Vec<(u64, bool)> = Vec::new();
    let mut seed = 3_u64;
    for step in 0..4000_u64 {
        let now_ms = step * 10;
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let request_bound = if (step / 300) % 3 == 0 { 6 } else { 2 };
        for _ in 0..(seed >> 33) % request_bound {
            budget.record_request(Duration::from_millis(now_ms));
            events.push((now_ms, false));
            while budget.try_take(Duration::from_millis(now_ms), 4, RetryReason::Lost) {
                events.push((now_ms, true));
            }
        }
    }
    let mut max_excess: f64 = f64::MIN;
    let mut total_retries = 0;
    for start_ms in (0..36_000).step_by(50) {
        let window = events.iter().filter(|event| event.0 >= start_ms && event.0 < start_ms + 4000);
        let retries = window.clone().filter(|event| event.1).count() as f64;
        let requests = window.filter(|event| !event.1).count() as f64;
        max_excess = max_excess.max(retries - 0.4 * requests - 40.0 / 4.0);
        total_retries += retries as u64;
    }
    assert!(max_excess <= 0.0, "{max_excess} retries over the limit");
    assert!(total_retries > 1000, "{total_retries}: too little of the budget was used");
}

/// Each service has its own budget, found by name.
#[test]
fn each_service_has_its_own_budget() {
    let mut budgets = RetryBudgets::new(SETTINGS);
    let now = Duration::from_secs(100);
    let take_all = |budgets: &mut RetryBudgets, service: &str, now| {
        (0..1000).take_while(|_| budgets.try_take(now, service, 1, RetryReason::Lost)).count()
    };
    assert_eq!(take_all(&mut budgets, "a", now), 30);
    assert!(
        !budgets.would_allow(now, "a", 1, RetryReason::Lost)
            && budgets.would_allow(now, "b", 1, RetryReason::Lost)
    );
    for _ in 0..100 {
        budgets.record_request(now, "b");
    }
    assert_eq!(
        take_all(&mut budgets, "a", now),
        0,
        "requests of other services do not add to the budget"
    );
    assert_eq!(take_all(&mut budgets, "b", now), 60);
    let later = now + Duration::from_secs(6);
    assert_eq!(
        take_all(&mut budgets, "a", later),
        30,
        "the earlier retries are outside the window"
    );
}

/// The extra retries are divided among the live proxies.
#[test]
fn live_proxies_divide_the_extra_retries() {
    let mut counts = Vec::new();
    for live in [0, 1, 3, 10, 1000] {
        let mut budgets = RetryBudgets::new(SETTINGS);
        let now = Duration::from_secs(7);
        counts.push(
            (0..1000).take_while(|_| budgets.try_take(now, "a", live, RetryReason::Lost)).count(),
        );
    }
    assert_eq!(counts, [30, 30, 10, 3, 1]);
}

/// Querying the budget uses none of it.
#[test]
fn would_allow_uses_no_budget() {
    let mut budgets = RetryBudgets::new(SETTINGS);
    let now = Duration::from_secs(7);
    assert!((0..500).all(|_| budgets.would_allow(now, "a", 10, RetryReason::Lost)));
    assert_eq!((0..500).filter(|_| budgets.try_take(now, "a", 10, RetryReason::Lost)).count(), 3);
}

/// Requests at slow servers leave a share of the budget to requests whose servers have failed. The
/// retries of the latter count against both limits.
#[test]
fn retries_for_slow_servers_leave_a_share_for_lost_requests() {
    let now = Duration::from_secs(3);
    let mut budget = RetryBudget::new(SETTINGS);
    (0..100).for_each(|_| budget.record_request(now));
    let mut take_all = |reason| (0..500).filter(|_| budget.try_take(now, 1, reason)).count();
    assert_eq!(
        (take_all(RetryReason::Slow), take_all(RetryReason::Lost), take_all(RetryReason::Slow)),
        (30, 30, 0)
    );
    // The one retry that each proxy has at least is not available for slow servers.
    let mut budget = RetryBudget::new(SETTINGS);
    assert!(
        !budget.try_take(now, 100, RetryReason::Slow)
            && budget.try_take(now, 100, RetryReason::Lost)
    );
}
