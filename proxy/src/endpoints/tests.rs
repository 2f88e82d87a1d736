use super::{Endpoints, HedgeDecision, PendingAttempt, Selection, SelectionContext, TableRevision};
use crate::health::{Failure, SlowStartRate};
use crate::retry_budget::RetryReason;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use vanepath_config::endpoint_list::{EndpointList, Server};
use vanepath_config::model::{Config, parse};

const CONFIG: &str = r#"{"classes": [{"name": "c", "urgency": 1, "kind": "repeatable"}],
          "services": [
            {"name": "s", "selector": "app = s", "livenessPath": "/", "serverRoom": 2},
            {"name": "t", "selector": "app = t", "livenessPath": "/"}],
          "rules": [
            {"name": "bound", "match": {"pathPrefix": "/b"}, "class": "c", "service": "s",
             "regions": ["b"]},
            {"name": "r", "class": "c", "service": "s", "spill": ["t"]}]}"#;

fn config() -> Arc<Config> {
    Arc::new(parse(CONFIG.as_bytes()).unwrap())
}

fn endpoint_list() -> EndpointList {
    let mut servers = Vec::new();
    for (index, (zone, app)) in
        [("a1", "s"), ("a2", "s"), ("b1", "s"), ("a1", "t"), ("b1", "t")].iter().enumerate()
    {
        servers.push(Server {
            id: format!("{app}-{zone}"),
            address: format!("127.0.0.1:{}", 9000 + index).parse().unwrap(),
            region: zone[..1].to_string(),
            zone: zone.to_string(),
            labels: [("app".to_string(), app.to_string())].into(),
            draining: false,
            warming_up: false,
            concurrency: 0,
        });
    }
    EndpointList { revision: 1, servers }
}

struct Fixture {
    endpoints: Endpoints<()>,
    config: Arc<Config>,
    drained_zones: BTreeSet<String>,
}

fn fixture() -> Fixture {
    let endpoints: Endpoints<()> = Endpoints::default();
    let config = config();
    endpoints.update(
        Duration::ZERO,
        TableRevision::new(1, 1),
        &config,
        &endpoint_list(),
        |_, _| SlowStartRate::default(),
    );
    for endpoint in &endpoints.table.load().endpoints {
        endpoints.record_success(Duration::ZERO, endpoint.slot);
    }
    Fixture { endpoints, config, drained_zones: Default::default() }
}

impl Fixture {
    fn select(&self, rule: usize, now_s: u64) -> String {
        self.select_alternative(rule, now_s, None)
    }

    fn select_alternative(&self, rule: usize, now_s: u64, reason: Option<RetryReason>) -> String {
        let table = self.endpoints.table.load_full();
        let service = table.config.rules[rule].service;
        let context = SelectionContext {
            tenant: None,
            rule,
            service,
            drained_zones: &self.drained_zones,
            zone: "a1",
            region: "a",
            tried: &[],
            only_alternative_for: reason,
            is_past_target: false,
        };
        match self.endpoints.select(Duration::from_secs(now_s), &table, &context, 5) {
            Selection::Server { endpoint: index, .. } => table.endpoints[index].server.id.clone(),
            Selection::Wait(at) => format!("wait until {:.1} s", at.as_secs_f64()),
            Selection::Congested => "congested".to_string(),
            Selection::None => "none".to_string(),
        }
    }

    /// The hedging decisions for an idempotent request of the second rule that was sent to these
    /// servers, in this order, at `sent_s`: with a retry within the budget, without one, and without one
    /// at a proxy that is draining.
    fn hedges(&self, ids: &[&str], sent_s: u64) -> [HedgeDecision; 3] {
        let table = self.endpoints.table.load_full();
        let sent_at = Duration::from_secs(sent_s);
        let tried: Vec<usize> = ids.iter().map(|id| self.slot(id)).collect();
        let pending: Vec<PendingAttempt> =
            tried.iter().map(|slot| PendingAttempt { slot: *slot, sent_at }).collect();
        let context = SelectionContext {
            tenant: None,
            rule: 1,
            service: table.config.rules[1].service,
            drained_zones: &self.drained_zones,
            zone: "a1",
            region: "a",
            tried: &tried,
            only_alternative_for: None,
            is_past_target: false,
        };
        [(true, false), (false, false), (false, true)].map(|(is_within_budget, is_draining)| {
            let budget = |_| is_within_budget;
            self.endpoints.decide_hedge(sent_at, &table, &context, &pending, is_draining, budget)
        })
    }

    fn slot(&self, id: &str) -> usize {
        let table = self.endpoints.table.load();
        table.endpoints.iter().find(|endpoint| endpoint.server.id == id).unwrap().slot
    }
}

#[test]
fn selection_prefers_near_servers_then_spillover_then_other_regions_within_the_allowed_regions() {
    let fixture = fixture();
    let order: Vec<String> = (0..8).map(|_| fixture.select(1, 0)).collect();
    assert_eq!(
        order,
        ["s-a1", "s-a1", "s-a2", "s-a2", "t-a1", "t-a1", "t-a1", "t-a1"].map(String::from)
    );
    assert_eq!(fixture.select(0, 0), "s-b1");
}

#[test]
fn drained_zones_and_draining_servers_get_no_requests_and_suspect_ones_only_as_a_last_resort() {
    let mut fixture = fixture();
    fixture.drained_zones.insert("a1".to_string());
    assert_eq!(fixture.select(1, 0), "s-a2");
    fixture.drained_zones.insert("b1".to_string());
    assert_eq!(fixture.select(0, 0), "none");
    fixture.drained_zones.clear();
    for id in ["s-a1", "s-a2", "s-b1", "t-a1", "t-b1"] {
        fixture.endpoints.record_failure(Duration::ZERO, fixture.slot(id), Failure::Refused);
    }
    assert_eq!(fixture.select(1, 0), "s-a1", "a suspect server is tried if there is no other");
    let mut draining = endpoint_list();
    for server in &mut draining.servers {
        server.draining = true;
    }
    let now = Duration::ZERO;
    fixture.endpoints.update(now, TableRevision::new(1, 2), &fixture.config, &draining, |_, _| {
        SlowStartRate::default()
    });
    assert_eq!(fixture.select(1, 0), "none");
}

/// If every server reports that it is full, the one with the fewest requests in flight gets the next
/// request, regardless of distance. A server whose report is old is tried with a single request.
#[test]
fn requests_are_spread_if_all_servers_are_full_and_servers_with_stale_load_reports_are_tried() {
    let fixture = fixture();
    for id in ["s-a1", "s-a2", "s-b1", "t-a1", "t-b1"] {
        fixture.endpoints.observe_load(Duration::from_secs(10), fixture.slot(id), 1500);
    }
    let order: Vec<String> = (0..5).map(|_| fixture.select(1, 10)).collect();
    let mut sorted = order.clone();
    sorted.sort();
    assert_eq!(sorted, ["s-a1", "s-a2", "s-b1", "t-a1", "t-b1"].map(String::from));
    assert_eq!(order[0], "s-a1", "the nearest of equally loaded servers");
    fixture.endpoints.release(fixture.slot("s-b1"));
    assert_eq!(
        fixture.select(0, 12),
        "s-b1",
        "its report is two seconds old and it has no request in flight"
    );
    assert_eq!(
        fixture.select(1, 12),
        "s-a1",
        "its request in flight keeps its report of being full valid"
    );
}

/// Load reports arrive too late to keep a surge from overloading the servers of the proxy's own zone.
/// From sixteen requests in flight at one server on, servers with far fewer are preferred,
/// regardless of distance.
#[test]
fn a_surge_spreads_to_later_tiers_before_a_backlog_builds_up() {
    let mut fixture = fixture();
    let text = CONFIG.replace(r#""serverRoom": 2"#, r#""serverRoom": 100"#);
    let config = Arc::new(parse(text.as_bytes()).unwrap());
    fixture.endpoints.update(
        Duration::ZERO,
        TableRevision::new(1, 1),
        &config,
        &endpoint_list(),
        |_, _| SlowStartRate::default(),
    );
    fixture.config = config;
    let mut counts = BTreeMap::<String, u32>::new();
    for _ in 0..16 {
        assert_eq!(fixture.select(1, 0), "s-a1");
    }
    for _ in 0..84 {
        *counts.entry(fixture.select(1, 0)).or_default() += 1;
    }
    let summary: Vec<String> = counts.iter().map(|(id, count)| format!("{id} {count}")).collect();
    expect_test::expect!["s-a1 36, s-a2 12, s-b1 12, t-a1 12, t-b1 12"]
        .assert_eq(&summary.join(", "));
}

/// A starting proxy is not ready until its servers were probed or the time limit has passed. A server
/// that has not responded by then comes after all that have, regardless of distance.
#[test]
fn servers_that_have_not_been_probed_come_after_healthy_ones() {
    let endpoints: Endpoints<()> = Endpoints::default();
    let ms = Duration::from_millis;
    let fixture = Fixture { endpoints, config: config(), drained_zones: Default::default() };
    fixture.endpoints.update(
        ms(1000),
        TableRevision::new(1, 1),
        &fixture.config,
        &endpoint_list(),
        |_, _| SlowStartRate::default(),
    );
    assert!(!fixture.endpoints.is_ready(ms(1000), true, TableRevision::new(1, 1)));
    for id in ["s-b1", "t-a1", "t-b1"] {
        fixture.endpoints.record_success(ms(1010), fixture.slot(id));
    }
    assert!(
        !fixture.endpoints.is_ready(ms(1299), true, TableRevision::new(1, 1)),
        "two servers may still respond"
    );
    let is_ready = |is_fresh, revision| fixture.endpoints.is_ready(ms(1300), is_fresh, revision);
    assert!(is_ready(true, TableRevision::new(1, 1)));
    assert!(
        !is_ready(false, TableRevision::new(1, 1))
            && !is_ready(true, TableRevision::new(1, 2))
            && !is_ready(true, TableRevision::new(2, 1))
    );
    assert_eq!([fixture.select(1, 2), fixture.select(0, 2)], ["t-a1", "s-b1"].map(String::from));
    for id in ["s-b1", "t-a1", "t-b1"] {
        fixture.endpoints.record_failure(
            Duration::from_secs(2),
            fixture.slot(id),
            Failure::Refused,
        );
    }
    assert_eq!(fixture.select(1, 2), "s-a1", "an unprobed server is better than a dead one");
}

/// No request waits for a server that is warming up if this proxy has no share of its rate; the last
/// resort is used instead.
#[test]
fn a_warming_up_server_without_a_share_does_not_prevent_the_last_resort() {
    let endpoints: Endpoints<()> = Endpoints::default();
    let fixture = Fixture { endpoints, config: config(), drained_zones: Default::default() };
    let rate_without_share =
        |_: &Server, _: &[usize]| SlowStartRate::new(1.0, Duration::from_secs(10), 1, 2);
    fixture.endpoints.update(
        Duration::ZERO,
        TableRevision::new(1, 1),
        &fixture.config,
        &endpoint_list(),
        rate_without_share,
    );
    for endpoint in &fixture.endpoints.table.load().endpoints {
        fixture.endpoints.record_success(Duration::ZERO, endpoint.slot);
    }
    fixture.endpoints.update_health(fixture.slot("s-a1"), |health| {
        health.restart_slow_start(Duration::ZERO, Duration::ZERO)
    });
    for id in ["s-a2", "s-b1", "t-a1", "t-b1"] {
        fixture.endpoints.record_failure(Duration::ZERO, fixture.slot(id), Failure::Refused);
    }
    assert_eq!(fixture.select(1, 0), "s-a2");
    assert_eq!(fixture.select(0, 0), "s-b1");
}

#[test]
fn a_server_at_a_new_address_warms_up_and_keeps_no_state() {
    let fixture = fixture();
    let mut moved = endpoint_list();
    moved.servers.retain(|server| server.id == "s-b1");
    moved.servers[0].address = "127.0.0.1:9999".parse().unwrap();
    let previous_slot = fixture.slot("s-b1");
    let slow_start_rate =
        |_: &Server, _: &[usize]| SlowStartRate::new(2.0, Duration::from_secs(10), 0, 1);
    fixture.endpoints.update(
        Duration::from_secs(1),
        TableRevision::new(1, 2),
        &fixture.config,
        &moved,
        slow_start_rate,
    );
    assert_ne!(fixture.slot("s-b1"), previous_slot);
    assert_eq!(fixture.select(0, 1), "wait until 1.5 s");
    assert_eq!(fixture.select(0, 2), "s-b1");
    assert_eq!(fixture.select(0, 2), "wait until 2.5 s");
}

/// A request at a server that responds to other requests counts as slow, and its alternative must have
/// free capacity. If the server responds to none, a full alternative is accepted, but not a suspect
/// one. Without an alternative the request waits.
#[test]
fn a_request_at_an_unresponsive_server_accepts_a_full_alternative() {
    let fixture = fixture();
    let now = Duration::from_secs;
    let slot = fixture.slot("s-b1");
    for id in ["s-a1", "s-a2", "t-a1", "t-b1", "s-b1"] {
        fixture.endpoints.observe_load(now(10), fixture.slot(id), 1500);
    }
    assert_eq!(fixture.endpoints.retry_reason(slot, now(10)), RetryReason::Lost);
    fixture.endpoints.record_outcome(now(9), slot, Ok(()));
    assert_eq!(
        fixture.endpoints.retry_reason(slot, now(10)),
        RetryReason::Lost,
        "that response was earlier"
    );
    assert_eq!(fixture.select_alternative(1, 10, Some(RetryReason::Slow)), "none");
    assert_eq!(fixture.select_alternative(1, 10, Some(RetryReason::Lost)), "s-a1");
    assert_eq!(
        fixture.hedges(&["s-b1"], 10),
        [HEDGE_LOST, WAIT, WAIT],
        "the server may still respond"
    );
    for id in ["s-a1", "s-a2", "t-a1", "t-b1", "s-b1"] {
        fixture.endpoints.record_failure(now(10), fixture.slot(id), Failure::Refused);
    }
    assert_eq!(fixture.select_alternative(1, 10, Some(RetryReason::Lost)), "none");
    assert_eq!(fixture.hedges(&["s-b1"], 10), [WAIT; 3], "no other server is better");
    fixture.endpoints.update_health(fixture.slot("s-a1"), |health| health.mark_healthy(now(10)));
    assert_eq!(
        fixture.hedges(&["s-b1"], 10),
        [HEDGE_LOST, WAIT, WAIT],
        "a refused connection does not show that it lost the request"
    );
    fixture.endpoints.record_outcome(now(11), slot, Ok(()));
    assert_eq!(fixture.endpoints.retry_reason(slot, now(10)), RetryReason::Slow);
    assert_eq!(fixture.hedges(&["s-b1"], 10)[1], WAIT);
}

const WAIT: HedgeDecision = HedgeDecision::Wait;
const GIVE_UP: HedgeDecision = HedgeDecision::GiveUp;
const HEDGE_LOST: HedgeDecision = HedgeDecision::Hedge(RetryReason::Lost);

/// Incident 0019: a request is presumed lost at a server that, since it was sent, has accepted no
/// connection and sent no response. With the retry budget exhausted, the request is given up if there is
/// another server; not by a proxy that is draining, and not while one of its servers may still be
/// processing it.
#[test]
fn a_request_is_given_up_only_at_unreachable_servers_and_never_while_draining() {
    let fixture = fixture();
    let now = Duration::from_secs;
    let fail =
        |id, at, failure| fixture.endpoints.record_failure(now(at), fixture.slot(id), failure);
    fail("s-b1", 9, Failure::Unreachable);
    assert_eq!(fixture.hedges(&["s-b1"], 10), [HEDGE_LOST, WAIT, WAIT], "that failure was earlier");
    for failure in
        [Failure::NoResponse, Failure::ConnectionLost, Failure::Unhealthy, Failure::Refused]
    {
        fail("s-b1", 11, failure);
        fail("s-b1", 11, failure);
        assert_eq!(fixture.hedges(&["s-b1"], 10), [HEDGE_LOST, WAIT, WAIT], "{failure:?}");
    }
    fail("s-b1", 11, Failure::Unreachable);
    assert_eq!(fixture.hedges(&["s-b1"], 10), [HEDGE_LOST, GIVE_UP, WAIT]);
    assert_eq!(
        fixture.hedges(&["s-a2", "s-b1"], 10),
        [HEDGE_LOST, WAIT, WAIT],
        "s-a2 has the request too"
    );
    fail("s-a2", 11, Failure::Unreachable);
    assert_eq!(fixture.hedges(&["s-a2", "s-b1"], 10), [HEDGE_LOST, GIVE_UP, WAIT]);
    fixture.endpoints.record_late_response(now(12), fixture.slot("s-b1"));
    assert_eq!(fixture.hedges(&["s-b1"], 10)[1], WAIT, "the server responds again");
}

/// Incident 0017: while a connection is being opened, its server may start draining, be removed or have
/// its zone drained. No request may then be sent to it.
#[test]
fn a_server_that_is_withdrawn_while_its_connection_opens_gets_no_request() {
    let fixture = fixture();
    let selected_from = fixture.endpoints.table.load_full();
    let endpoint = selected_from.endpoints[1].clone();
    let is_withdrawn = |drained_zones: &BTreeSet<String>| {
        fixture.endpoints.is_withdrawn(&selected_from, &endpoint, drained_zones)
    };
    assert!(!is_withdrawn(&fixture.drained_zones));
    assert!(is_withdrawn(&["a2".to_string()].into()), "its zone is drained");
    let update = |revision: u64, change: &dyn Fn(&mut EndpointList)| {
        let mut list = endpoint_list();
        change(&mut list);
        let now = Duration::from_secs(1);
        fixture.endpoints.update(
            now,
            TableRevision::new(1, revision),
            &fixture.config,
            &list,
            |_, _| SlowStartRate::default(),
        );
    };
    update(2, &|list| list.servers[0].draining = true);
    assert!(!is_withdrawn(&fixture.drained_zones), "another server is draining");
    update(3, &|list| list.servers[1].draining = true);
    assert!(is_withdrawn(&fixture.drained_zones), "it is draining");
    update(4, &|list| {
        list.servers.remove(1);
    });
    assert!(is_withdrawn(&fixture.drained_zones), "it was removed");
    // A server with the same id at another address counts as another server.
    update(5, &|list| list.servers[1].address = "127.0.0.1:9099".parse().unwrap());
    assert!(is_withdrawn(&fixture.drained_zones), "it was replaced");
}

/// While the list is older than it may be, a server that has announced the end of a connection since then is
/// used only if there is no other; a current list is believed.
#[test]
fn a_server_that_closes_connections_is_avoided_while_the_list_is_stale() {
    let fixture = fixture();
    let (near, read_at) = (fixture.slot("s-a1"), Some(Duration::from_secs(10)));
    assert!(!fixture.endpoints.observe_list_age(Duration::from_secs(11), read_at));
    fixture.endpoints.record_closing(Duration::from_secs(11), near);
    assert_eq!(fixture.select(1, 11), "s-a1", "the list is current");
    assert!(fixture.endpoints.observe_list_age(Duration::from_secs(13), read_at));
    assert!(fixture.endpoints.has_stale_list());
    assert_eq!(fixture.select(1, 13), "s-a2");
    for id in ["s-a2", "s-b1", "t-a1", "t-b1"] {
        fixture.endpoints.record_closing(Duration::from_secs(13), fixture.slot(id));
    }
    assert_eq!(fixture.select(1, 13), "s-a1", "there is no other");
    // A later read shows no mark.
    let later = Some(Duration::from_secs(14));
    assert!(fixture.endpoints.observe_list_age(Duration::from_secs(14), later));
    assert!(!fixture.endpoints.has_stale_list());
    assert_eq!(fixture.select(1, 14), "s-a2", "s-a1 has two requests in flight");
}

/// Guards against a server that turns cold again while the list still calls it cold, and gets the rising rate
/// of one that has warmed up (incident 0023).
#[test]
fn a_server_that_the_list_still_calls_cold_keeps_its_slow_start_rate() {
    let ms = Duration::from_millis;
    let text = CONFIG.replace(r#""app = s","#, r#""app = s", "probes": "in-doubt","#);
    let config = Arc::new(parse(text.as_bytes()).unwrap());
    let fixture =
        Fixture { endpoints: Endpoints::default(), config, drained_zones: Default::default() };
    let rate = |_: &Server, _: &[usize]| SlowStartRate::new(1.0, ms(3000), 0, 1);
    let update = |at: Duration, revision: u64, list: &EndpointList| {
        fixture.endpoints.update(at, TableRevision::new(1, revision), &fixture.config, list, rate);
    };
    let mut list = endpoint_list();
    list.servers.retain(|server| server.id == "t-b1");
    update(ms(0), 1, &list);
    list.servers.extend(endpoint_list().servers.into_iter().filter(|server| server.id == "s-b1"));
    list.servers[1].warming_up = true;
    update(ms(1000), 2, &list);
    let table = fixture.endpoints.table.load_full();
    let drained_zones = BTreeSet::new();
    let context = SelectionContext {
        tenant: None,
        rule: 0,
        service: table.config.rules[0].service,
        drained_zones: &drained_zones,
        zone: "b1",
        region: "b",
        tried: &[],
        only_alternative_for: None,
        is_past_target: false,
    };
    let server = list.servers[1].clone();
    let requests_between = |from_ms: u64, to_ms: u64| {
        let selected = (from_ms..to_ms).step_by(10).filter(|at| {
            fixture.endpoints.update_health(fixture.slot("s-b1"), |health| {
                health.tick(ms(*at), rate(&server, &[]))
            });
            let selection = fixture.endpoints.select(ms(*at), &table, &context, 5);
            let is_selected = matches!(selection, Selection::Server { .. });
            if is_selected {
                fixture.endpoints.release(fixture.slot("s-b1"));
            }
            is_selected
        });
        selected.count()
    };
    // One request a second, for as long as the list calls it cold, which is longer than its period.
    for second in 1..8 {
        assert!(requests_between(second * 1000, (second + 1) * 1000) <= 1, "second {second}");
    }
    // The list's word ends it.
    list.servers[1].warming_up = false;
    update(ms(8000), 3, &list);
    assert!(requests_between(8000, 9000) > 10);
}
