//! Which idle connections are reused, tested through the public interface of the endpoints.

use std::time::Duration;
use vanepath_proxy::endpoints::{
    Endpoints, IdleConnection, MAX_IDLE_TIME, SETTLE_TIME, TableRevision, max_idle_connections,
};
use vanepath_proxy::health::{Failure, SlowStartRate};

const CONFIG: &str = r#"{"classes": [{"name": "c", "urgency": 1, "kind": "repeatable"}],
    "services": [{"name": "s", "selector": "all", "livenessPath": "/"}],
    "rules": [{"name": "r", "class": "c", "service": "s"}]}"#;

/// Endpoints with one server, and the slot of that server. The connections are strings that name them.
fn endpoints() -> (Endpoints<&'static str>, usize) {
    let config = vanepath_config::model::parse(CONFIG.as_bytes()).unwrap();
    let list = vanepath_config::endpoint_list::parse(
        br#"{"revision": 1, "servers": [{"id": "i", "address": "127.0.0.1:9", "region": "a",
             "zone": "a1", "state": "ready"}]}"#,
    );
    let endpoints = Endpoints::default();
    let list = list.unwrap();
    let rate = |_: &vanepath_config::endpoint_list::Server, _: &[usize]| SlowStartRate::default();
    endpoints.update(
        Duration::ZERO,
        TableRevision::new(1, 1),
        &std::sync::Arc::new(config),
        &list,
        rate,
    );
    let slot = endpoints.table.load().endpoints[0].slot;
    (endpoints, slot)
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn idle_connection(
    connection: &'static str,
    keep_alive: Duration,
    is_used: bool,
) -> IdleConnection<&'static str> {
    IdleConnection { connection, verified_at: ms(0), idle_since: ms(1000), keep_alive, is_used }
}

fn take_idle(
    endpoints: &Endpoints<&'static str>,
    slot: usize,
    now: Duration,
) -> Option<&'static str> {
    endpoints.take_idle(now, slot, |_| true).map(|idle| idle.connection)
}

/// A connection is no longer used some time before its server closes it: a request that is written as
/// the server closes the connection would be lost.
#[test]
fn no_connection_is_used_that_its_server_may_be_about_to_close() {
    for (keep_alive_ms, idle_ms, is_reused) in [
        (2000, 1299, true),
        (2000, 1300, false),
        (2000, 1999, false),
        (2000, 2500, false),
        (1000, 299, true),
        (1000, 300, false),
        (500, 30, false),
        (60_000, 19_999, true),
        (60_000, MAX_IDLE_TIME.as_millis() as u64, false),
    ] {
        let (endpoints, slot) = endpoints();
        endpoints.put_idle(slot, idle_connection("one", ms(keep_alive_ms), true));
        let found = take_idle(&endpoints, slot, ms(1000 + idle_ms));
        assert_eq!(
            found.is_some(),
            is_reused,
            "kept for {keep_alive_ms} ms, idle for {idle_ms} ms"
        );
        // A connection that is not used is closed and cannot be taken later.
        assert_eq!(take_idle(&endpoints, slot, ms(1050)), None);
    }
}

/// A connection is not used for a short time after a response, so that surplus bytes are noticed.
#[test]
fn no_connection_is_used_before_it_has_settled() {
    let (endpoints, slot) = endpoints();
    endpoints.put_idle(slot, idle_connection("one", ms(5000), true));
    assert_eq!(take_idle(&endpoints, slot, ms(1000) + SETTLE_TIME - ms(1)), None);
    assert_eq!(take_idle(&endpoints, slot, ms(1000) + SETTLE_TIME), Some("one"));
    assert_eq!(
        take_idle(&endpoints, slot, ms(1000) + SETTLE_TIME),
        None,
        "it is used by one request at a time"
    );
}

/// A server that sent bytes that belong to no request gets one request on each connection: used
/// connections are not kept, and idle ones are closed.
#[test]
fn a_desynchronized_servers_connections_carry_one_request() {
    let (endpoints, slot) = endpoints();
    endpoints.put_idle(slot, idle_connection("idle before", ms(5000), true));
    assert!(endpoints.mark_desynchronized(slot), "it was not marked before");
    assert!(!endpoints.mark_desynchronized(slot) && endpoints.is_desynchronized(slot));
    assert_eq!(take_idle(&endpoints, slot, ms(1100)), None);
    endpoints.put_idle(slot, idle_connection("used", ms(5000), true));
    assert_eq!(take_idle(&endpoints, slot, ms(1100)), None);
    endpoints.put_idle(slot, idle_connection("health check only", ms(5000), false));
    assert_eq!(take_idle(&endpoints, slot, ms(1100)), Some("health check only"));
}

/// A refused connection shows that no server is listening: earlier connections are no longer trusted.
#[test]
fn a_refused_connection_closes_idle_ones() {
    let (endpoints, slot) = endpoints();
    endpoints.put_idle(slot, idle_connection("one", ms(5000), true));
    endpoints.record_failure(ms(1050), slot, Failure::ConnectionLost);
    endpoints.put_idle(slot, idle_connection("two", ms(5000), true));
    endpoints.record_failure(ms(1060), slot, Failure::Refused);
    assert_eq!(take_idle(&endpoints, slot, ms(1100)), None);
}

/// For any number of proxies, all their idle connections to a server together are at most half of those
/// that it accepts, or one for each proxy.
#[test]
fn idle_connections_stay_below_the_servers_limit() {
    for proxies in 1..700 {
        let all = max_idle_connections(490, proxies) * proxies;
        assert!(all <= 245 || all == proxies, "{proxies}: {all}");
    }
}
