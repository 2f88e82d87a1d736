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

struct Case {
    endpoints: Endpoints<()>,
    config: Arc<Config>,
    drained_zones: BTreeSet<String>,
}

fn case() -> Case {
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
    Case { endpoints, config, drained_zones: Default::default() }
}

impl Case {
    fn select(&self, rule: usize, now_s: u64) -> String {
        self.select_alternative(rule, now_s, None)
    }

    fn select_alternative(&self, rule: usize, now_s: u64, reason: Option<RetryReason>) -> String {
        let table = self.endpoints.table.load_full();
        let service = table.config.rules[rule].service;
        let context = SelectionContext {
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
            Selection::Congested => "crowded".to_string(),
            Selection::None => "none".to_string(),
        }
    }

    /// What becomes of an idempotent request of the second rule that was sent to these servers at
    /// `sent_s`, the last one latest: with a retry within the budget, without one, and without one at a
    /// proxy that drains.
    fn hedges(&self, ids: &[&str], sent_s: u64) -> [HedgeDecision; 3] {
        let table = self.endpoints.table.load_full();
        let sent_at = Duration::from_secs(sent_s);
        let tried: Vec<usize> = ids.iter().map(|id| self.slot(id)).collect();
        let pending: Vec<PendingAttempt> =
            tried.iter().map(|slot| PendingAttempt { slot: *slot, sent_at }).collect();
        let context = SelectionContext {
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
fn near_servers_come_first_then_spillover_then_far_ones_and_never_outside_the_allowed_regions() {
    let case = case();
    let order: Vec<String> = (0..8).map(|_| case.select(1, 0)).collect();
    assert_eq!(
        order,
        ["s-a1", "s-a1", "s-a2", "s-a2", "t-a1", "t-a1", "t-a1", "t-a1"].map(String::from)
    );
    assert_eq!(case.select(0, 0), "s-b1");
}

#[test]
fn drained_zones_and_draining_servers_get_nothing_and_suspects_only_as_a_last_resort() {
    let mut case = case();
    case.drained_zones.insert("a1".to_string());
    assert_eq!(case.select(1, 0), "s-a2");
    case.drained_zones.insert("b1".to_string());
    assert_eq!(case.select(0, 0), "none");
    case.drained_zones.clear();
    for id in ["s-a1", "s-a2", "s-b1", "t-a1", "t-b1"] {
        case.endpoints.record_failure(Duration::ZERO, case.slot(id), Failure::Refused);
    }
    assert_eq!(case.select(1, 0), "s-a1", "a lookup tries one rather than drop");
    let mut draining = endpoint_list();
    for server in &mut draining.servers {
        server.draining = true;
    }
    let now = Duration::ZERO;
    case.endpoints.update(now, TableRevision::new(1, 2), &case.config, &draining, |_, _| {
        SlowStartRate::default()
    });
    assert_eq!(case.select(1, 0), "none");
}

/// Where every server reports that it is full, the one with the fewest requests in flight gets the
/// next one, wherever it is; and one whose report is old is tried with a single request.
#[test]
fn when_all_are_full_requests_are_spread_and_stale_load_reports_are_tried() {
    let case = case();
    for id in ["s-a1", "s-a2", "s-b1", "t-a1", "t-b1"] {
        case.endpoints.observe_load(Duration::from_secs(10), case.slot(id), 1500);
    }
    let order: Vec<String> = (0..5).map(|_| case.select(1, 10)).collect();
    let mut sorted = order.clone();
    sorted.sort();
    assert_eq!(sorted, ["s-a1", "s-a2", "s-b1", "t-a1", "t-b1"].map(String::from));
    assert_eq!(order[0], "s-a1", "the nearest of equal ones");
    case.endpoints.release(case.slot("s-b1"));
    assert_eq!(case.select(0, 12), "s-b1", "it told two seconds ago, and nothing is there");
    assert_eq!(case.select(1, 12), "s-a1", "what is in hand there shows that it is full still");
}

/// A surge does not pile up on the own zone's servers until they report that they are full: from
/// sixteen requests in flight at one server on, those with far fewer come before it, wherever they are.
#[test]
fn a_surge_spreads_to_later_tiers_before_it_piles_up() {
    let mut case = case();
    let text = CONFIG.replace(r#""serverRoom": 2"#, r#""serverRoom": 100"#);
    let config = Arc::new(parse(text.as_bytes()).unwrap());
    case.endpoints.update(
        Duration::ZERO,
        TableRevision::new(1, 1),
        &config,
        &endpoint_list(),
        |_, _| SlowStartRate::default(),
    );
    case.config = config;
    let mut counts = BTreeMap::<String, u32>::new();
    for _ in 0..16 {
        assert_eq!(case.select(1, 0), "s-a1");
    }
    for _ in 0..84 {
        *counts.entry(case.select(1, 0)).or_default() += 1;
    }
    let shown: Vec<String> = counts.iter().map(|(id, count)| format!("{id} {count}")).collect();
    expect_test::expect!["s-a1 36, s-a2 12, s-b1 12, t-a1 12, t-b1 12"]
        .assert_eq(&shown.join(", "));
}

/// A proxy that starts is not ready until its servers were probed, and one that has not responded by
/// then comes after all that have, wherever it is.
#[test]
fn servers_not_probed_yet_come_after_healthy_ones() {
    let endpoints: Endpoints<()> = Endpoints::default();
    let ms = Duration::from_millis;
    let case = Case { endpoints, config: config(), drained_zones: Default::default() };
    case.endpoints.update(
        ms(1000),
        TableRevision::new(1, 1),
        &case.config,
        &endpoint_list(),
        |_, _| SlowStartRate::default(),
    );
    assert!(!case.endpoints.is_ready(ms(1000), true, TableRevision::new(1, 1)));
    for id in ["s-b1", "t-a1", "t-b1"] {
        case.endpoints.record_success(ms(1010), case.slot(id));
    }
    assert!(
        !case.endpoints.is_ready(ms(1299), true, TableRevision::new(1, 1)),
        "two may still reply"
    );
    let is_ready = |is_fresh, revision| case.endpoints.is_ready(ms(1300), is_fresh, revision);
    assert!(is_ready(true, TableRevision::new(1, 1)));
    assert!(
        !is_ready(false, TableRevision::new(1, 1))
            && !is_ready(true, TableRevision::new(1, 2))
            && !is_ready(true, TableRevision::new(2, 1))
    );
    assert_eq!([case.select(1, 2), case.select(0, 2)], ["t-a1", "s-b1"].map(String::from));
    for id in ["s-b1", "t-a1", "t-b1"] {
        case.endpoints.record_failure(Duration::from_secs(2), case.slot(id), Failure::Refused);
    }
    assert_eq!(case.select(1, 2), "s-a1", "better than what is dead");
}

/// A server that is warming up, in whose rate this proxy has no share, is not waited for and hides no
/// last resort.
#[test]
fn a_warming_up_server_without_a_share_hides_no_last_resort() {
    let endpoints: Endpoints<()> = Endpoints::default();
    let case = Case { endpoints, config: config(), drained_zones: Default::default() };
    let no_share = |_: &Server, _: &[usize]| SlowStartRate::new(1.0, Duration::from_secs(10), 1, 2);
    case.endpoints.update(
        Duration::ZERO,
        TableRevision::new(1, 1),
        &case.config,
        &endpoint_list(),
        no_share,
    );
    for endpoint in &case.endpoints.table.load().endpoints {
        case.endpoints.record_success(Duration::ZERO, endpoint.slot);
    }
    case.endpoints.update_health(case.slot("s-a1"), |health| {
        health.restart_slow_start(Duration::ZERO, Duration::ZERO)
    });
    for id in ["s-a2", "s-b1", "t-a1", "t-b1"] {
        case.endpoints.record_failure(Duration::ZERO, case.slot(id), Failure::Refused);
    }
    assert_eq!(case.select(1, 0), "s-a2");
    assert_eq!(case.select(0, 0), "s-b1");
}

#[test]
fn a_server_at_a_new_address_is_warming_up_and_keeps_no_state() {
    let case = case();
    let mut moved = endpoint_list();
    moved.servers.retain(|server| server.id == "s-b1");
    moved.servers[0].address = "127.0.0.1:9999".parse().unwrap();
    let previous_slot = case.slot("s-b1");
    let rate = |_: &Server, _: &[usize]| SlowStartRate::new(2.0, Duration::from_secs(10), 0, 1);
    case.endpoints.update(
        Duration::from_secs(1),
        TableRevision::new(1, 2),
        &case.config,
        &moved,
        rate,
    );
    assert_ne!(case.slot("s-b1"), previous_slot);
    assert_eq!(case.select(0, 1), "wait until 1.5 s");
    assert_eq!(case.select(0, 2), "s-b1");
    assert_eq!(case.select(0, 2), "wait until 2.5 s");
}

/// A request at a server that answers others is slow, and its alternative must have free capacity.
/// Where its server answers nobody, a full one will do, but no suspect one. Without an alternative it
/// waits.
#[test]
fn a_request_at_a_silent_server_accepts_a_full_alternative() {
    let case = case();
    let now = Duration::from_secs;
    let slot = case.slot("s-b1");
    for id in ["s-a1", "s-a2", "t-a1", "t-b1", "s-b1"] {
        case.endpoints.observe_load(now(10), case.slot(id), 1500);
    }
    assert_eq!(case.endpoints.retry_reason(slot, now(10)), RetryReason::Lost);
    case.endpoints.record_outcome(now(9), slot, Ok(()));
    assert_eq!(case.endpoints.retry_reason(slot, now(10)), RetryReason::Lost, "that was before");
    assert_eq!(case.select_alternative(1, 10, Some(RetryReason::Slow)), "none");
    assert_eq!(case.select_alternative(1, 10, Some(RetryReason::Lost)), "s-a1");
    assert_eq!(case.hedges(&["s-b1"], 10), [HEDGE_LOST, WAIT, WAIT], "it may still answer");
    for id in ["s-a1", "s-a2", "t-a1", "t-b1", "s-b1"] {
        case.endpoints.record_failure(now(10), case.slot(id), Failure::Refused);
    }
    assert_eq!(case.select_alternative(1, 10, Some(RetryReason::Lost)), "none");
    assert_eq!(case.hedges(&["s-b1"], 10), [WAIT; 3], "nowhere else is better");
    case.endpoints.update_health(case.slot("s-a1"), |health| health.mark_healthy(now(10)));
    assert_eq!(case.hedges(&["s-b1"], 10), [HEDGE_LOST, WAIT, WAIT], "it refuses others only");
    case.endpoints.record_outcome(now(11), slot, Ok(()));
    assert_eq!(case.endpoints.retry_reason(slot, now(10)), RetryReason::Slow);
    assert_eq!(case.hedges(&["s-b1"], 10)[1], WAIT);
}

const WAIT: HedgeDecision = HedgeDecision::Wait;
const GIVE_UP: HedgeDecision = HedgeDecision::GiveUp;
const HEDGE_LOST: HedgeDecision = HedgeDecision::Hedge(RetryReason::Lost);

/// Incident 0019: a request waits in vain at a server that no connection comes about with since, and
/// that nobody had a response of. It goes back to its client where another server is there and the
/// budget is used up: not from a proxy that drains, and not while one of its servers may be at work.
#[test]
fn a_request_goes_back_to_its_client_only_from_unreachable_servers_and_never_while_draining() {
    let case = case();
    let now = Duration::from_secs;
    let fail = |id, at, failure| case.endpoints.record_failure(now(at), case.slot(id), failure);
    fail("s-b1", 9, Failure::Unreachable);
    assert_eq!(case.hedges(&["s-b1"], 10), [HEDGE_LOST, WAIT, WAIT], "that was before");
    for failure in
        [Failure::NoResponse, Failure::ConnectionLost, Failure::Unhealthy, Failure::Refused]
    {
        fail("s-b1", 11, failure);
        fail("s-b1", 11, failure);
        assert_eq!(case.hedges(&["s-b1"], 10), [HEDGE_LOST, WAIT, WAIT], "{failure:?}");
    }
    fail("s-b1", 11, Failure::Unreachable);
    assert_eq!(case.hedges(&["s-b1"], 10), [HEDGE_LOST, GIVE_UP, WAIT]);
    assert_eq!(case.hedges(&["s-a2", "s-b1"], 10), [HEDGE_LOST, WAIT, WAIT], "s-a2 has it too");
    fail("s-a2", 11, Failure::Unreachable);
    assert_eq!(case.hedges(&["s-a2", "s-b1"], 10), [HEDGE_LOST, GIVE_UP, WAIT]);
    case.endpoints.record_late_response(now(12), case.slot("s-b1"));
    assert_eq!(case.hedges(&["s-b1"], 10)[1], WAIT, "it answers again");
}

/// Incident 0017: a connection may take long to open, and meanwhile the server may start draining, be
/// removed or have its zone drained: nothing is sent to it then.
#[test]
fn a_server_that_is_withdrawn_while_its_connection_opens_gets_nothing() {
    let case = case();
    let selected_from = case.endpoints.table.load_full();
    let endpoint = selected_from.endpoints[1].clone();
    let is_withdrawn = |drained_zones: &BTreeSet<String>| {
        case.endpoints.is_withdrawn(&selected_from, &endpoint, drained_zones)
    };
    assert!(!is_withdrawn(&case.drained_zones));
    assert!(is_withdrawn(&["a2".to_string()].into()), "its zone is emptied");
    let adopt = |revision: u64, change: &dyn Fn(&mut EndpointList)| {
        let mut list = endpoint_list();
        change(&mut list);
        let now = Duration::from_secs(1);
        case.endpoints.update(now, TableRevision::new(1, revision), &case.config, &list, |_, _| {
            SlowStartRate::default()
        });
    };
    adopt(2, &|list| list.servers[0].draining = true);
    assert!(!is_withdrawn(&case.drained_zones), "it is another one that leaves");
    adopt(3, &|list| list.servers[1].draining = true);
    assert!(is_withdrawn(&case.drained_zones), "it leaves");
    adopt(4, &|list| {
        list.servers.remove(1);
    });
    assert!(is_withdrawn(&case.drained_zones), "it is gone");
    // A server with the same id at another address is another one.
    adopt(5, &|list| list.servers[1].address = "127.0.0.1:9099".parse().unwrap());
    assert!(is_withdrawn(&case.drained_zones), "its life is over");
}
