//! Which resting connections are used again: by the public face of the table of servers.

use std::time::Duration;
use vanepath_proxy::endpoints::{
    Endpoints, IdleConnection, MAX_IDLE_TIME, SETTLE_TIME, TableRevision,
};
use vanepath_proxy::health::SlowStartRate;

const SETUP: &str = r#"{"classes": [{"name": "c", "urgency": 1, "kind": "repeatable"}],
    "services": [{"name": "s", "selector": "all", "livenessPath": "/"}],
    "rules": [{"name": "r", "class": "c", "service": "s"}]}"#;

/// One server; a connection is its name.
fn servers() -> (Endpoints<&'static str>, usize) {
    let setup = vanepath_config::model::parse(SETUP.as_bytes()).unwrap();
    let list = vanepath_config::endpoint_list::parse(
        br#"{"revision": 1, "servers": [{"id": "i", "address": "127.0.0.1:9", "region": "a",
             "zone": "a1", "state": "ready"}]}"#,
    );
    let servers = Endpoints::default();
    let list = list.unwrap();
    let rate = |_: &vanepath_config::endpoint_list::Server, _: &[usize]| SlowStartRate::default();
    servers.update(
        Duration::ZERO,
        TableRevision::new(1, 1),
        &std::sync::Arc::new(setup),
        &list,
        rate,
    );
    let slot = servers.table.load().endpoints[0].slot;
    (servers, slot)
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn idle(
    connection: &'static str,
    kept_for: Duration,
    is_used: bool,
) -> IdleConnection<&'static str> {
    IdleConnection {
        connection,
        verified_at: ms(0),
        idle_since: ms(1000),
        keep_alive: kept_for,
        is_used,
    }
}

fn taken(servers: &Endpoints<&'static str>, slot: usize, now: Duration) -> Option<&'static str> {
    servers.take_idle(now, slot, |_| true).map(|idle| idle.connection)
}

/// Well before its server closes it, a connection is not used any more: a request that is written at
/// that moment would be lost.
#[test]
fn none_is_used_that_its_server_may_be_about_to_close() {
    for (kept_ms, rested_ms, is_used) in [
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
        let (servers, slot) = servers();
        servers.put_idle(slot, idle("one", ms(kept_ms), true));
        let found = taken(&servers, slot, ms(1000 + rested_ms));
        assert_eq!(found.is_some(), is_used, "kept for {kept_ms} ms, rested {rested_ms}");
        // What was not used is closed, and not there later either.
        assert_eq!(taken(&servers, slot, ms(1050)), None);
    }
}

/// Right after an answer a connection rests a little, so that bytes that nobody asked for show.
#[test]
fn none_is_used_before_it_was_quiet() {
    let (servers, slot) = servers();
    servers.put_idle(slot, idle("one", ms(5000), true));
    assert_eq!(taken(&servers, slot, ms(1000) + SETTLE_TIME - ms(1)), None);
    assert_eq!(taken(&servers, slot, ms(1000) + SETTLE_TIME), Some("one"));
    assert_eq!(taken(&servers, slot, ms(1000) + SETTLE_TIME), None, "it is used by one at a time");
}

/// A server that sent bytes that nobody asked for gets one request to a connection: what carried one
/// does not rest, and what rests is closed.
#[test]
fn an_untidy_servers_connections_carry_one_request() {
    let (servers, slot) = servers();
    servers.put_idle(slot, idle("before", ms(5000), true));
    assert!(servers.mark_desynchronized(slot), "that is new");
    assert!(!servers.mark_desynchronized(slot) && servers.is_desynchronized(slot));
    assert_eq!(taken(&servers, slot, ms(1100)), None);
    servers.put_idle(slot, idle("used", ms(5000), true));
    assert_eq!(taken(&servers, slot, ms(1100)), None);
    servers.put_idle(slot, idle("greeted only", ms(5000), false));
    assert_eq!(taken(&servers, slot, ms(1100)), Some("greeted only"));
}

/// A refusal says that nobody is there: connections from before it are not trusted any more.
#[test]
fn a_refusal_closes_what_rests() {
    let (servers, slot) = servers();
    servers.put_idle(slot, idle("one", ms(5000), true));
    servers.record_failure(ms(1050), slot, vanepath_proxy::health::Failure::Broken);
    servers.put_idle(slot, idle("two", ms(5000), true));
    servers.record_failure(ms(1060), slot, vanepath_proxy::health::Failure::Refused);
    assert_eq!(taken(&servers, slot, ms(1100)), None);
}

/// However many proxies there are, what rests with all of them is no more than half of what a server
/// takes, as long as each may keep one at all.
#[test]
fn what_rests_stays_below_what_a_server_takes() {
    for proxies in 1..700 {
        let all = vanepath_proxy::endpoints::max_idle_connections(490, proxies) * proxies;
        assert!(all <= 245 || all == proxies, "{proxies}: {all}");
    }
}
