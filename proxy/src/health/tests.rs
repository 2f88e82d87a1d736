use super::{Failure, ServerHealth, ServerPhase, SlowStartRate};
use std::time::Duration;

fn second(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn a_server_that_refused_connections_recovers_warming_up_and_one_that_timed_out_does_not() {
    let mut server = ServerHealth::new(second(0.0));
    server.record_success(second(0.0));
    assert_eq!(server.phase, ServerPhase::Healthy);
    server.record_failure(second(1.0), Failure::NoResponse);
    assert_eq!(server.phase, ServerPhase::Healthy, "one slow response does not prove a failure");
    server.record_failure(second(1.5), Failure::NoResponse);
    assert_eq!(server.phase, ServerPhase::Suspect);
    server.record_success(second(2.0));
    assert_eq!(server.phase, ServerPhase::Suspect, "one success does not prove recovery");
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

/// One failed request in three makes a server degraded, and one in ten does not. After its ejection
/// it is tried again, and successful requests end the degraded state.
#[test]
fn a_server_that_loses_requests_is_degraded_although_its_probes_succeed() {
    let mut degraded_counts = [0, 0];
    for (index, failure_interval) in [3, 10].into_iter().enumerate() {
        let mut server = ServerHealth::new(second(0.0));
        for request in 1..=200 {
            let now = second(f64::from(request) * 0.01);
            server.record_success(now);
            server.record_request_result(now, request % failure_interval != 0);
            degraded_counts[index] += u32::from(server.is_degraded(now, false));
        }
    }
    assert!(degraded_counts[0] > 150 && degraded_counts[1] == 0, "{degraded_counts:?}");
    let mut server = ServerHealth::new(second(0.0));
    for _ in 0..3 {
        server.record_request_result(second(1.0), false);
    }
    assert!(server.is_degraded(second(3.9), true));
    assert!(!server.is_degraded(second(4.0), true) && server.is_degraded(second(4.0), false));
    for _ in 0..8 {
        server.record_request_result(second(5.0), true);
    }
    assert!(server.is_degraded(second(5.0), false), "the first successful requests do not suffice");
    for _ in 0..4 {
        server.record_request_result(second(5.0), true);
    }
    assert!(!server.is_degraded(second(5.0), false));
    for _ in 0..3 {
        server.record_request_result(second(6.0), false);
    }
    server.tick(second(39.0), SlowStartRate::default());
    assert!(
        !server.is_degraded(second(39.0), false),
        "a server without requests stops counting as degraded after a while"
    );
}

/// All proxies together never exceed the slow-start rate in any interval of one second while the server
/// is warming up, whenever each proxy starts, and little of the rate is lost to rounding.
#[test]
fn slow_start_rate_limits_all_proxies_together() {
    let mut summary = String::new();
    for (per_second, proxies) in [(10.0, 8), (10.0, 12), (5.0, 8), (2.5, 8), (0.5, 8), (40.0, 3)] {
        let period = second(8.0);
        let mut proxy_views: Vec<ServerHealth> =
            (0..proxies).map(|_| ServerHealth::new(second(0.0))).collect();
        for (rank, proxy) in proxy_views.iter_mut().enumerate() {
            let rate = SlowStartRate::new(per_second, period, rank, proxies);
            // Each proxy saw the server recover at another time.
            let seen_at = second(0.37 * rank as f64);
            proxy.tick(seen_at, rate);
            proxy.restart_slow_start(seen_at, seen_at);
        }
        let mut sent_at_s: Vec<f64> = Vec::new();
        for tick in 0..3200 {
            let now = second(f64::from(tick) * 0.005);
            for (rank, proxy) in proxy_views.iter_mut().enumerate() {
                proxy.tick(now, SlowStartRate::new(per_second, period, rank, proxies));
                if proxy.accepts_request(now) {
                    proxy.record_request(now);
                    sent_at_s.push(now.as_secs_f64());
                }
            }
        }
        let sent_between =
            |low: f64, high: f64| sent_at_s.iter().filter(|at| **at >= low && **at < high).count();
        let counts =
            (0..140).map(|step| sent_between(f64::from(step) / 20.0, f64::from(step) / 20.0 + 1.0));
        let max_count = counts.max().unwrap_or(0);
        assert!(
            max_count as f64 <= per_second.max(1.0),
            "{per_second} per second: {max_count} in one second"
        );
        summary += &format!(
            "{per_second}/s among {proxies} proxies: {} requests in 4 s once all have started, then {}\n",
            sent_between(4.0, 8.0),
            sent_between(8.0, 12.0)
        );
    }
    expect_test::expect![[r#"
        10/s among 8 proxies: 39 requests in 4 s once all have started, then 106
        10/s among 12 proxies: 37 requests in 4 s once all have started, then 102
        5/s among 8 proxies: 19 requests in 4 s once all have started, then 51
        2.5/s among 8 proxies: 8 requests in 4 s once all have started, then 20
        0.5/s among 8 proxies: 2 requests in 4 s once all have started, then 6
        40/s among 3 proxies: 145 requests in 4 s once all have started, then 399
    "#]]
    .assert_eq(&summary);
}

/// With passive health checks a suspect server is healthy again after the first success; with probes
/// it takes two.
#[test]
fn with_passive_checks_one_success_makes_a_suspect_server_healthy() {
    for is_passively_checked in [false, true] {
        let mut server = ServerHealth::new(second(0.0));
        server.is_passively_checked = is_passively_checked;
        server.mark_healthy(second(0.0));
        assert_eq!(server.phase, ServerPhase::Healthy);
        assert!(!server.needs_probe());
        server.record_failure(second(1.0), Failure::ConnectionLost);
        assert!(server.needs_probe(), "a probe is due");
        assert_eq!(server.phase, ServerPhase::Healthy);
        server.record_failure(second(1.1), Failure::ConnectionLost);
        assert_eq!(server.phase, ServerPhase::Suspect);
        server.record_success(second(1.5));
        let phase = if is_passively_checked { ServerPhase::Healthy } else { ServerPhase::Suspect };
        assert_eq!(server.phase, phase);
        server.record_success(second(1.6));
        assert_eq!(server.phase, ServerPhase::Healthy);
        assert!(!server.needs_probe());
    }
}

/// A server that was unreachable recovers warming up also with passive health checks, after the first
/// success.
#[test]
fn with_passive_checks_an_unreachable_server_recovers_warming_up() {
    let mut server = ServerHealth::new(second(0.0));
    server.is_passively_checked = true;
    server.mark_healthy(second(0.0));
    server.record_failure(second(1.0), Failure::Refused);
    assert_eq!(server.phase, ServerPhase::Suspect);
    server.record_success(second(1.2));
    assert_eq!(server.phase, ServerPhase::WarmingUp);
    // If the endpoint list says that it is not warming up, it is healthy and earlier failures
    // no longer count.
    server.mark_healthy(second(1.3));
    assert_eq!(server.phase, ServerPhase::Healthy);
    assert!(!server.needs_probe() && !server.was_refused());
    server.record_failure(second(1.4), Failure::ConnectionLost);
    assert_eq!(
        server.phase,
        ServerPhase::Healthy,
        "one failure after that is not enough, like a first one"
    );
}

/// A time-out alone only requests a probe, and the next success cancels the request.
#[test]
fn a_time_out_requests_a_probe_and_requests_are_still_accepted() {
    let mut server = ServerHealth::new(second(0.0));
    server.is_passively_checked = true;
    server.mark_healthy(second(0.0));
    server.request_probe();
    assert!(server.needs_probe() && server.accepts_request(second(0.1)));
    assert_eq!(server.next_probe_at(second(10.0)), second(0.0));
    server.record_success(second(0.2));
    assert!(!server.needs_probe());
}

/// A suspect server that this proxy does not probe is tried again after a delay, and is suspect again
/// if it still fails.
#[test]
fn a_suspect_server_that_others_probe_is_tried_again_after_a_delay() {
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

/// Incident 0018: a server that failed while warming up was marked as healthy after a delay by every
/// proxy that did not probe it, and got requests without a limit; as a last resort it got them at once.
#[test]
fn a_server_that_failed_while_warming_up_is_tried_again_at_its_slow_start_rate() {
    let rate = SlowStartRate::new(5.1, second(3.0), 0, 72);
    let interval = rate.interval.expect("the first proxy has a share");
    for fails in [true, false] {
        let mut server = ServerHealth::new(second(0.0));
        server.is_passively_checked = true;
        server.tick(second(0.0), rate);
        server.restart_slow_start(second(0.0), Duration::ZERO);
        if fails {
            server.record_failure(second(0.5), Failure::Refused);
        } else {
            // Other proxies report it as unreachable.
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
        let max_sent = (2400.0 / interval.as_millis() as f64).ceil() as u32;
        assert!(sent <= max_sent, "{sent} requests in 2.4 s, but its rate allows {max_sent}");
        assert_eq!(server.phase, ServerPhase::WarmingUp);
        server.tick(second(3.0), rate);
        assert_eq!(server.phase, ServerPhase::SlowStart, "the warm-up counts from when it began");
        server.tick(second(6.0), rate);
        assert_eq!(
            (server.phase, server.next_slow_start_request_at()),
            (ServerPhase::Healthy, None)
        );
    }
    // It gets no requests from a proxy without a share of its rate.
    let mut server = ServerHealth::new(second(0.0));
    server.is_passively_checked = true;
    let rate_without_share = SlowStartRate::new(5.1, second(3.0), 30, 72);
    server.tick(second(0.0), rate_without_share);
    server.restart_slow_start(second(0.0), Duration::ZERO);
    server.apply_cluster_view(second(0.5), true, None);
    server.retry_suspect(second(2.1));
    server.tick(second(2.1), rate_without_share);
    assert_eq!(server.next_slow_start_request_at(), Some(Duration::MAX));
}

/// A server that is suspect for longer than its slow start would have taken is no longer limited to its
/// slow-start rate.
#[test]
fn a_suspect_server_is_limited_to_its_slow_start_rate_no_longer_than_its_slow_start() {
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
