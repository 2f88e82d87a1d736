use super::{Failure, ServerHealth, ServerPhase, SlowStartRate};
use std::time::Duration;

fn second(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn a_refused_server_comes_back_warming_up_and_a_paused_one_does_not() {
    let mut server = ServerHealth::new(second(0.0));
    server.record_success(second(0.0));
    assert_eq!(server.phase, ServerPhase::Healthy);
    server.record_failure(second(1.0), Failure::NoResponse);
    assert_eq!(server.phase, ServerPhase::Healthy, "one slow reply is no proof");
    server.record_failure(second(1.5), Failure::NoResponse);
    assert_eq!(server.phase, ServerPhase::Suspect);
    server.record_success(second(2.0));
    assert_eq!(server.phase, ServerPhase::Suspect, "one good reply is no proof");
    server.record_success(second(2.5));
    assert_eq!(server.phase, ServerPhase::Healthy);
    server.record_failure(second(3.0), Failure::Refused);
    assert_eq!(server.phase, ServerPhase::Suspect);
    server.record_success(second(3.5));
    server.record_success(second(4.0));
    assert_eq!(server.phase, ServerPhase::WarmingUp);
    // Fails again while it is warming up.
    server.record_failure(second(4.5), Failure::NoResponse);
    server.record_failure(second(5.0), Failure::NoResponse);
    server.record_success(second(5.5));
    server.record_success(second(6.0));
    assert_eq!(server.phase, ServerPhase::WarmingUp);
}

/// One failed request in three makes a server degraded and one in ten does not; after its ejection
/// it is tried, and successful requests restore it.
#[test]
fn a_server_that_loses_requests_is_degraded_though_its_probes_succeed() {
    let mut degraded_turns = [0, 0];
    for (index, every) in [3, 10].into_iter().enumerate() {
        let mut server = ServerHealth::new(second(0.0));
        for turn in 1..=200 {
            let now = second(f64::from(turn) * 0.01);
            server.record_success(now);
            server.record_request_result(now, turn % every != 0);
            degraded_turns[index] += u32::from(server.is_degraded(now, false));
        }
    }
    assert!(degraded_turns[0] > 150 && degraded_turns[1] == 0, "{degraded_turns:?}");
    let mut server = ServerHealth::new(second(0.0));
    for _ in 0..3 {
        server.record_request_result(second(1.0), false);
    }
    assert!(server.is_degraded(second(3.9), true));
    assert!(!server.is_degraded(second(4.0), true) && server.is_degraded(second(4.0), false));
    for _ in 0..8 {
        server.record_request_result(second(5.0), true);
    }
    assert!(server.is_degraded(second(5.0), false), "not at the first good ones");
    for _ in 0..4 {
        server.record_request_result(second(5.0), true);
    }
    assert!(!server.is_degraded(second(5.0), false));
    for _ in 0..3 {
        server.record_request_result(second(6.0), false);
    }
    server.tick(second(39.0), SlowStartRate::default());
    assert!(!server.is_degraded(second(39.0), false), "nobody tried it: taken for well");
}

/// All proxies together never exceed the slow-start rate while the server is warming up, in any second
/// and wherever each one's share begins, and hardly any of it is lost to whole numbers.
#[test]
fn slow_start_rate_holds_for_all_proxies_together() {
    let mut shown = String::new();
    for (per_second, proxies) in [(10.0, 8), (10.0, 12), (5.0, 8), (2.5, 8), (0.5, 8), (40.0, 3)] {
        let period = second(8.0);
        let mut all: Vec<ServerHealth> =
            (0..proxies).map(|_| ServerHealth::new(second(0.0))).collect();
        for (rank, proxy) in all.iter_mut().enumerate() {
            let rate = SlowStartRate::new(per_second, period, rank, proxies);
            // Each proxy saw it come back at another time.
            let seen_at = second(0.37 * rank as f64);
            proxy.tick(seen_at, rate);
            proxy.restart_slow_start(seen_at, seen_at);
        }
        let mut taken: Vec<f64> = Vec::new();
        for tick in 0..3200 {
            let now = second(f64::from(tick) * 0.005);
            for (rank, proxy) in all.iter_mut().enumerate() {
                proxy.tick(now, SlowStartRate::new(per_second, period, rank, proxies));
                if proxy.accepts_request(now) {
                    proxy.record_request(now);
                    taken.push(now.as_secs_f64());
                }
            }
        }
        let within =
            |low: f64, high: f64| taken.iter().filter(|at| **at >= low && **at < high).count();
        let most =
            (0..140).map(|turn| within(f64::from(turn) / 20.0, f64::from(turn) / 20.0 + 1.0));
        let most = most.max().unwrap_or(0);
        assert!(most as f64 <= per_second.max(1.0), "{per_second}: {most} in a second");
        shown += &format!(
            "{per_second} a second among {proxies}: {} in the 4 s when all have begun, then {}\n",
            within(4.0, 8.0),
            within(8.0, 12.0)
        );
    }
    expect_test::expect![[r#"
        10 a second among 8: 39 in the 4 s when all have begun, then 106
        10 a second among 12: 37 in the 4 s when all have begun, then 102
        5 a second among 8: 19 in the 4 s when all have begun, then 51
        2.5 a second among 8: 8 in the 4 s when all have begun, then 20
        0.5 a second among 8: 2 in the 4 s when all have begun, then 6
        40 a second among 3: 145 in the 4 s when all have begun, then 399
    "#]]
    .assert_eq(&shown);
}

/// Judged by its traffic a server is healthy again with the first success; judged by probes it takes
/// two.
#[test]
fn judged_by_traffic_one_success_ends_suspicion() {
    for by_traffic in [false, true] {
        let mut server = ServerHealth::new(second(0.0));
        server.is_judged_by_traffic = by_traffic;
        server.mark_healthy(second(0.0));
        assert_eq!(server.phase, ServerPhase::Healthy);
        assert!(!server.needs_probe());
        server.record_failure(second(1.0), Failure::ConnectionLost);
        assert!(server.needs_probe(), "a probe is due");
        assert_eq!(server.phase, ServerPhase::Healthy);
        server.record_failure(second(1.1), Failure::ConnectionLost);
        assert_eq!(server.phase, ServerPhase::Suspect);
        server.record_success(second(1.5));
        let phase = if by_traffic { ServerPhase::Healthy } else { ServerPhase::Suspect };
        assert_eq!(server.phase, phase);
        server.record_success(second(1.6));
        assert_eq!(server.phase, ServerPhase::Healthy);
        assert!(!server.needs_probe());
    }
}

/// One that was unreachable comes back warming up all the same, also with the first success.
#[test]
fn judged_by_traffic_an_unreachable_server_comes_back_warming_up() {
    let mut server = ServerHealth::new(second(0.0));
    server.is_judged_by_traffic = true;
    server.mark_healthy(second(0.0));
    server.record_failure(second(1.0), Failure::Refused);
    assert_eq!(server.phase, ServerPhase::Suspect);
    server.record_success(second(1.2));
    assert_eq!(server.phase, ServerPhase::WarmingUp);
    // The endpoint list says that it is warm: that counts, and earlier failures are forgotten.
    server.mark_healthy(second(1.3));
    assert_eq!(server.phase, ServerPhase::Healthy);
    assert!(!server.needs_probe() && !server.was_refused());
    server.record_failure(second(1.4), Failure::ConnectionLost);
    assert_eq!(
        server.phase,
        ServerPhase::Healthy,
        "one failure is no proof, as if it were the first"
    );
}

/// A time-out alone only asks for a probe, and the next success ends that.
#[test]
fn a_time_out_requests_a_probe_and_takes_no_requests_away() {
    let mut server = ServerHealth::new(second(0.0));
    server.is_judged_by_traffic = true;
    server.mark_healthy(second(0.0));
    server.request_probe();
    assert!(server.needs_probe() && server.accepts_request(second(0.1)));
    assert_eq!(server.next_probe_at(second(10.0)), second(0.0));
    server.record_success(second(0.2));
    assert!(!server.needs_probe());
}

/// A suspect server that this proxy does not probe is tried again after a delay, and is suspect again
/// if it is still not there.
#[test]
fn a_suspect_that_others_probe_is_retried_after_a_delay() {
    let ms = Duration::from_millis;
    let mut server = ServerHealth::new(ms(0));
    server.mark_healthy(ms(0));
    server.record_failure(ms(1000), Failure::Refused);
    assert_eq!(server.phase, ServerPhase::Suspect);
    server.retry_suspect(ms(2499));
    assert_eq!(server.phase, ServerPhase::Suspect);
    server.retry_suspect(ms(2500));
    assert_eq!(server.phase, ServerPhase::Healthy);
    server.record_failure(ms(2600), Failure::Refused);
    assert_eq!(server.phase, ServerPhase::Suspect);
}

/// Incident 0018: a server that was warming up when it failed was taken for healthy after a delay, by
/// every proxy that does not probe it, and got all requests; as a last resort it got them at once.
#[test]
fn a_warming_up_server_that_failed_is_retried_at_its_slow_start_rate() {
    let rate = SlowStartRate::new(5.1, second(3.0), 0, 72);
    let interval = rate.interval.expect("the first has a part");
    for fails in [true, false] {
        let mut server = ServerHealth::new(second(0.0));
        server.is_judged_by_traffic = true;
        server.tick(second(0.0), rate);
        server.restart_slow_start(second(0.0), Duration::ZERO);
        if fails {
            server.record_failure(second(0.5), Failure::Refused);
        } else {
            // The other proxies report it.
            server.apply_cluster_view(second(0.5), true, None);
        }
        assert_eq!(server.phase, ServerPhase::Suspect);
        let mut sent = 0;
        for now_ms in 500..2900 {
            let now = Duration::from_millis(now_ms);
            server.retry_suspect(now);
            server.tick(now, rate);
            if server.next_slow_start_request_at().is_none_or(|at| now >= at) {
                server.record_request(now);
                sent += 1;
            }
        }
        let most = (2400.0 / interval.as_millis() as f64).ceil() as u32;
        assert!(sent <= most, "{sent} in 2.4 s, and {most} are its rate");
        assert_eq!(server.phase, ServerPhase::WarmingUp);
        server.tick(second(3.0), rate);
        assert_eq!(server.phase, ServerPhase::SlowStart, "by the time at which it became cold");
        server.tick(second(6.0), rate);
        assert_eq!(
            (server.phase, server.next_slow_start_request_at()),
            (ServerPhase::Healthy, None)
        );
    }
    // Without a share it gets nothing from this proxy.
    let mut server = ServerHealth::new(second(0.0));
    server.is_judged_by_traffic = true;
    let none = SlowStartRate::new(5.1, second(3.0), 30, 72);
    server.tick(second(0.0), none);
    server.restart_slow_start(second(0.0), Duration::ZERO);
    server.apply_cluster_view(second(0.5), true, None);
    server.retry_suspect(second(2.1));
    server.tick(second(2.1), none);
    assert_eq!(server.next_slow_start_request_at(), Some(Duration::MAX));
}

/// One that is suspect for longer than its slow start would have taken is an ordinary suspect.
#[test]
fn a_suspect_is_bound_to_its_slow_start_rate_no_longer_than_the_slow_start() {
    let rate = SlowStartRate::new(5.1, second(3.0), 0, 72);
    let mut server = ServerHealth::new(second(0.0));
    server.tick(second(0.0), rate);
    server.restart_slow_start(second(0.0), Duration::ZERO);
    server.record_failure(second(0.5), Failure::Refused);
    server.tick(second(5.9), rate);
    assert!(server.next_slow_start_request_at().is_some());
    server.tick(second(6.0), rate);
    assert_eq!((server.phase, server.next_slow_start_request_at()), (ServerPhase::Suspect, None));
}
