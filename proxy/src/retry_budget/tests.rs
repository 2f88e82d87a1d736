use super::RetryReason;
use std::time::Duration;

/// Whatever the load does, no ten seconds hold more further goes than a fifth of the
/// requests and the floor.
#[test]
fn further_goes_stay_a_part_of_any_ten_seconds() {
    let mut budget = super::RetryBudget::default();
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
            goes += (0..3).filter(|_| budget.try_take(now, 8, RetryReason::Lost)).count() as u64;
        }
        history.push((now_ms, requests, goes));
    }
    let mut worst: f64 = 0.0;
    let mut total = 0;
    for (start_ms, ..) in &history {
        let window = history.iter().filter(|one| one.0 >= *start_ms && one.0 < start_ms + 10_000);
        let requests: u64 = window.clone().map(|one| one.1).sum();
        let goes: u64 = window.map(|one| one.2).sum();
        worst = worst.max(goes as f64 - 0.2 * requests as f64);
        total = total.max(goes);
    }
    assert!(worst <= 24.0, "{worst} over a fifth of the traffic");
    assert!(total > 20, "the budget is there to be used");
}

const SETTINGS: vanepath_config::settings::RetryBudgetSettings =
    vanepath_config::settings::RetryBudgetSettings {
        ratio: 0.4,
        window: Duration::from_secs(4),
        extra: 40.0,
    };

/// Another window and another part, as settings have them: no span of that length holds more, and not
/// much less either.
#[test]
fn any_window_of_the_settings_holds() {
    let mut budget = super::RetryBudget::new(SETTINGS);
    let mut events: Vec<(u64, bool)> = Vec::new();
    let mut seed = 3_u64;
    for step in 0..4000_u64 {
        let now_ms = step * 10;
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let surge = if (step / 300) % 3 == 0 { 6 } else { 2 };
        for _ in 0..(seed >> 33) % surge {
            budget.took(Duration::from_millis(now_ms));
            events.push((now_ms, false));
            while budget.try_take(Duration::from_millis(now_ms), 4, RetryReason::Lost) {
                events.push((now_ms, true));
            }
        }
    }
    let mut most: f64 = f64::MIN;
    let mut total = 0;
    for start_ms in (0..36_000).step_by(50) {
        let within = events.iter().filter(|one| one.0 >= start_ms && one.0 < start_ms + 4000);
        let goes = within.clone().filter(|one| one.1).count() as f64;
        let taken = within.filter(|one| !one.1).count() as f64;
        most = most.max(goes - 0.4 * taken - 40.0 / 4.0);
        total += goes as u64;
    }
    assert!(most <= 0.0, "{most} over the bound");
    assert!(total > 1000, "{total}: the budget is there to be used");
}

/// Each service has a budget of its own, and it outlives a change of the setup in which it stands.
#[test]
fn services_have_budgets_of_their_own() {
    let mut budgets = super::RetryBudgets::new(SETTINGS);
    let now = Duration::from_secs(100);
    let spend = |budgets: &mut super::RetryBudgets, service: &str, now| {
        (0..1000).take_while(|_| budgets.try_take(now, service, 1, RetryReason::Lost)).count()
    };
    assert_eq!(spend(&mut budgets, "a", now), 30);
    assert!(
        !budgets.would_allow(now, "a", 1, RetryReason::Lost)
            && budgets.would_allow(now, "b", 1, RetryReason::Lost)
    );
    for _ in 0..100 {
        budgets.took(now, "b");
    }
    assert_eq!(spend(&mut budgets, "a", now), 0, "what was asked of others is no help");
    assert_eq!(spend(&mut budgets, "b", now), 60);
    let later = now + Duration::from_secs(6);
    assert_eq!(spend(&mut budgets, "a", later), 30, "all of it is outside the window by then");
}

/// What is allowed on top is divided among the proxies that are live.
#[test]
fn proxies_divide_the_floor() {
    let mut shown = Vec::new();
    for live in [0, 1, 3, 10, 1000] {
        let mut budgets = super::RetryBudgets::new(SETTINGS);
        let now = Duration::from_secs(7);
        shown.push(
            (0..1000).take_while(|_| budgets.try_take(now, "a", live, RetryReason::Lost)).count(),
        );
    }
    assert_eq!(shown, [30, 30, 10, 3, 1]);
}

/// Asking whether one may go takes nothing.
#[test]
fn asking_costs_nothing() {
    let mut budgets = super::RetryBudgets::new(SETTINGS);
    let now = Duration::from_secs(7);
    assert!((0..500).all(|_| budgets.would_allow(now, "a", 10, RetryReason::Lost)));
    assert_eq!((0..500).filter(|_| budgets.try_take(now, "a", 10, RetryReason::Lost)).count(), 3);
}

/// Requests whose servers are only slow leave a part of the budget to those whose servers are gone; what
/// those took counts for all.
#[test]
fn slow_servers_leave_a_part_to_those_that_are_gone() {
    let now = Duration::from_secs(3);
    let mut budget = super::RetryBudget::new(SETTINGS);
    (0..100).for_each(|_| budget.took(now));
    let mut all = |need| (0..500).filter(|_| budget.try_take(now, 1, need)).count();
    assert_eq!(
        (all(RetryReason::Slow), all(RetryReason::Lost), all(RetryReason::Slow)),
        (30, 30, 0)
    );
    // One that is due to a small proxy is not taken for slowness.
    let mut budget = super::RetryBudget::new(SETTINGS);
    assert!(
        !budget.try_take(now, 100, RetryReason::Slow)
            && budget.try_take(now, 100, RetryReason::Lost)
    );
}
