use super::{CurrentAttempt, Endpoints, Selection, SelectionContext, TableRevision};
use crate::health::{Failure, SlowStartRate};
use crate::retry_budget::RetryReason;
use std::time::Duration;

const SETUP: &str = r#"{"classes": [{"name": "c", "urgency": 1, "kind": "repeatable"}],
          "services": [
            {"name": "s", "selector": "app = s", "livenessPath": "/", "serverRoom": 2},
            {"name": "t", "selector": "app = t", "livenessPath": "/"}],
          "rules": [
            {"name": "bound", "match": {"pathPrefix": "/b"}, "class": "c", "service": "s",
             "regions": ["b"]},
            {"name": "r", "class": "c", "service": "s", "spill": ["t"]}]}"#;

fn setup() -> std::sync::Arc<vanepath_config::model::Config> {
    std::sync::Arc::new(vanepath_config::model::parse(SETUP.as_bytes()).unwrap())
}

fn list() -> vanepath_config::endpoint_list::EndpointList {
    let mut servers = Vec::new();
    for (index, (zone, app)) in
        [("a1", "s"), ("a2", "s"), ("b1", "s"), ("a1", "t"), ("b1", "t")].iter().enumerate()
    {
        servers.push(vanepath_config::endpoint_list::Server {
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
    vanepath_config::endpoint_list::EndpointList { revision: 1, servers }
}

struct Case {
    servers: Endpoints<()>,
    setup: std::sync::Arc<vanepath_config::model::Config>,
    emptied: std::collections::BTreeSet<String>,
}

fn case() -> Case {
    let servers: Endpoints<()> = Endpoints::default();
    let setup = setup();
    servers.update(Duration::ZERO, TableRevision::new(1, 1), &setup, &list(), |_, _| {
        SlowStartRate::default()
    });
    for entry in &servers.table.load().endpoints {
        servers.record_success(Duration::ZERO, entry.slot);
    }
    Case { servers, setup, emptied: Default::default() }
}

impl Case {
    fn pick(&self, rule: usize, now_s: u64) -> String {
        self.look(rule, now_s, None)
    }

    fn look(&self, rule: usize, now_s: u64, looks: Option<RetryReason>) -> String {
        let table = self.servers.table.load_full();
        let service = table.config.rules[rule].service;
        let want = SelectionContext {
            rule,
            service,
            drained_zones: &self.emptied,
            zone: "a1",
            region: "a",
            tried: &[],
            only_alternative_for: looks,
            is_past_target: false,
        };
        match self.servers.select(Duration::from_secs(now_s), &table, &want, 5) {
            Selection::Server { endpoint: index, .. } => table.endpoints[index].server.id.clone(),
            Selection::Wait(at) => format!("wait until {:.1} s", at.as_secs_f64()),
            Selection::Crowded => "crowded".to_string(),
            Selection::None => "none".to_string(),
        }
    }

    /// Whether a lookup of the second rule leaves that server, to which it was sent then: with further goes
    /// within the budget, and without.
    fn leaves(&self, id: &str, sent_s: u64) -> (bool, bool) {
        let table = self.servers.table.load_full();
        let slot = self.slot(id);
        let want = SelectionContext {
            rule: 1,
            service: table.config.rules[1].service,
            drained_zones: &self.emptied,
            zone: "a1",
            region: "a",
            tried: &[slot],
            only_alternative_for: None,
            is_past_target: false,
        };
        let sent_at = Duration::from_secs(sent_s);
        let leaves = |may| {
            self.servers.should_switch(
                sent_at,
                &table,
                &want,
                CurrentAttempt { slot, sent_at },
                |_| may,
            )
        };
        (leaves(true), leaves(false))
    }

    fn slot(&self, id: &str) -> usize {
        let table = self.servers.table.load();
        table.endpoints.iter().find(|entry| entry.server.id == id).unwrap().slot
    }
}

#[test]
fn near_first_then_spill_then_far_and_never_out_of_bounds() {
    let case = case();
    let order: Vec<String> = (0..8).map(|_| case.pick(1, 0)).collect();
    assert_eq!(
        order,
        ["s-a1", "s-a1", "s-a2", "s-a2", "t-a1", "t-a1", "t-a1", "t-a1"].map(String::from)
    );
    assert_eq!(case.pick(0, 0), "s-b1");
}

#[test]
fn emptied_and_leaving_get_nothing_and_dead_ones_only_as_a_resort() {
    let mut case = case();
    case.emptied.insert("a1".to_string());
    assert_eq!(case.pick(1, 0), "s-a2");
    case.emptied.insert("b1".to_string());
    assert_eq!(case.pick(0, 0), "none");
    case.emptied.clear();
    for id in ["s-a1", "s-a2", "s-b1", "t-a1", "t-b1"] {
        case.servers.record_failure(Duration::ZERO, case.slot(id), Failure::Refused);
    }
    assert_eq!(case.pick(1, 0), "s-a1", "a lookup tries one rather than drop");
    let mut leaving = list();
    for server in &mut leaving.servers {
        server.draining = true;
    }
    let now = Duration::ZERO;
    case.servers.update(now, TableRevision::new(1, 2), &case.setup, &leaving, |_, _| {
        SlowStartRate::default()
    });
    assert_eq!(case.pick(1, 0), "none");
}

/// Where every server told that it is full, the one with the fewest requests of ours gets the next
/// one, wherever it is; and what told so a while ago is tried with one request.
#[test]
fn when_all_are_full_the_queue_is_spread_and_old_news_is_tried() {
    let case = case();
    for id in ["s-a1", "s-a2", "s-b1", "t-a1", "t-b1"] {
        case.servers.observe_load(Duration::from_secs(10), case.slot(id), 1500);
    }
    let order: Vec<String> = (0..5).map(|_| case.pick(1, 10)).collect();
    let mut sorted = order.clone();
    sorted.sort();
    assert_eq!(sorted, ["s-a1", "s-a2", "s-b1", "t-a1", "t-b1"].map(String::from));
    assert_eq!(order[0], "s-a1", "the nearest of equal ones");
    case.servers.release(case.slot("s-b1"));
    assert_eq!(case.pick(0, 12), "s-b1", "it told two seconds ago, and nothing is there");
    assert_eq!(case.pick(1, 12), "s-a1", "what is in hand there shows that it is full still");
}

/// A flood is not piled up on the own zone's servers until they tell that they are full: from
/// sixteen in one's hands on, those with far less come before it, wherever they are.
#[test]
fn a_flood_goes_further_before_it_piles_up() {
    let mut case = case();
    let text = SETUP.replace(r#""serverRoom": 2"#, r#""serverRoom": 100"#);
    let setup = std::sync::Arc::new(vanepath_config::model::parse(text.as_bytes()).unwrap());
    case.servers.update(Duration::ZERO, TableRevision::new(1, 1), &setup, &list(), |_, _| {
        SlowStartRate::default()
    });
    case.setup = setup;
    let mut counts = std::collections::BTreeMap::<String, u32>::new();
    for _ in 0..16 {
        assert_eq!(case.pick(1, 0), "s-a1");
    }
    for _ in 0..84 {
        *counts.entry(case.pick(1, 0)).or_default() += 1;
    }
    let shown: Vec<String> = counts.iter().map(|(id, count)| format!("{id} {count}")).collect();
    expect_test::expect!["s-a1 36, s-a2 12, s-b1 12, t-a1 12, t-b1 12"]
        .assert_eq(&shown.join(", "));
}

/// A proxy that starts takes no work until it has looked round, and what has not replied by then
/// comes after all that has, wherever it is.
#[test]
fn what_was_not_heard_of_yet_comes_after_what_is_there() {
    let servers: Endpoints<()> = Endpoints::default();
    let ms = Duration::from_millis;
    let case = Case { servers, setup: setup(), emptied: Default::default() };
    case.servers.update(ms(1000), TableRevision::new(1, 1), &case.setup, &list(), |_, _| {
        SlowStartRate::default()
    });
    assert!(!case.servers.is_ready(ms(1000), true, TableRevision::new(1, 1)));
    for id in ["s-b1", "t-a1", "t-b1"] {
        case.servers.record_success(ms(1010), case.slot(id));
    }
    assert!(
        !case.servers.is_ready(ms(1299), true, TableRevision::new(1, 1)),
        "two may still reply"
    );
    let is_fit = |is_fresh, revision| case.servers.is_ready(ms(1300), is_fresh, revision);
    assert!(is_fit(true, TableRevision::new(1, 1)));
    assert!(
        !is_fit(false, TableRevision::new(1, 1))
            && !is_fit(true, TableRevision::new(1, 2))
            && !is_fit(true, TableRevision::new(2, 1))
    );
    assert_eq!([case.pick(1, 2), case.pick(0, 2)], ["t-a1", "s-b1"].map(String::from));
    for id in ["s-b1", "t-a1", "t-b1"] {
        case.servers.record_failure(Duration::from_secs(2), case.slot(id), Failure::Refused);
    }
    assert_eq!(case.pick(1, 2), "s-a1", "better than what is dead");
}

/// A cold server in whose rate this proxy has no part is not waited for, and hides no last resort.
#[test]
fn a_cold_server_of_others_hides_no_resort() {
    let servers: Endpoints<()> = Endpoints::default();
    let case = Case { servers, setup: setup(), emptied: Default::default() };
    let no_part = |_: &vanepath_config::endpoint_list::Server, _: &[usize]| {
        SlowStartRate::new(1.0, Duration::from_secs(10), 1, 2)
    };
    case.servers.update(Duration::ZERO, TableRevision::new(1, 1), &case.setup, &list(), no_part);
    for entry in &case.servers.table.load().endpoints {
        case.servers.record_success(Duration::ZERO, entry.slot);
    }
    case.servers.update_health(case.slot("s-a1"), |live| {
        live.restart_slow_start(Duration::ZERO, Duration::ZERO)
    });
    for id in ["s-a2", "s-b1", "t-a1", "t-b1"] {
        case.servers.record_failure(Duration::ZERO, case.slot(id), Failure::Refused);
    }
    assert_eq!(case.pick(1, 0), "s-a2");
    assert_eq!(case.pick(0, 0), "s-b1");
}

#[test]
fn a_server_at_a_new_address_is_cold_and_carries_nothing_over() {
    let case = case();
    let mut moved = list();
    moved.servers.retain(|server| server.id == "s-b1");
    moved.servers[0].address = "127.0.0.1:9999".parse().unwrap();
    let before = case.slot("s-b1");
    let rate = |_: &vanepath_config::endpoint_list::Server, _: &[usize]| {
        SlowStartRate::new(2.0, Duration::from_secs(10), 0, 1)
    };
    case.servers.update(
        Duration::from_secs(1),
        TableRevision::new(1, 2),
        &case.setup,
        &moved,
        rate,
    );
    assert_ne!(case.slot("s-b1"), before);
    assert_eq!(case.pick(0, 1), "wait until 1.5 s");
    assert_eq!(case.pick(0, 2), "s-b1");
    assert_eq!(case.pick(0, 2), "wait until 2.5 s");
}

/// A request at a server that answers others is slow, and looks for one with room. Where nothing comes
/// from its server, one that is full will do, but none that looks dead; and if its own looks dead too it
/// waits there in vain, and goes back to its caller where that is not within the budget. With nowhere else
/// to go it waits.
#[test]
fn who_waits_at_a_silent_server_takes_a_full_one() {
    let case = case();
    let now = Duration::from_secs;
    let own = case.slot("s-b1");
    for id in ["s-a1", "s-a2", "t-a1", "t-b1", "s-b1"] {
        case.servers.observe_load(now(10), case.slot(id), 1500);
    }
    assert_eq!(case.servers.retry_reason(own, now(10)), RetryReason::Lost);
    case.servers.record_outcome(now(9), own, Ok(()));
    assert_eq!(case.servers.retry_reason(own, now(10)), RetryReason::Lost, "that was before");
    assert_eq!(case.look(1, 10, Some(RetryReason::Slow)), "none");
    assert_eq!(case.look(1, 10, Some(RetryReason::Lost)), "s-a1");
    assert_eq!(case.leaves("s-b1", 10), (true, false), "it may still answer");
    for id in ["s-a1", "s-a2", "t-a1", "t-b1", "s-b1"] {
        case.servers.record_failure(now(10), case.slot(id), Failure::Refused);
    }
    assert_eq!(case.look(1, 10, Some(RetryReason::Lost)), "none");
    assert_eq!(case.leaves("s-b1", 10), (false, false), "nowhere else is better");
    case.servers.update_health(case.slot("s-a1"), |live| live.mark_healthy(now(10)));
    assert_eq!(case.leaves("s-b1", 10), (true, true), "in vain");
    case.servers.record_outcome(now(11), own, Ok(()));
    assert_eq!(case.servers.retry_reason(own, now(10)), RetryReason::Slow);
    assert!(!case.leaves("s-b1", 10).1);
}

/// Incident 0017: a connection may take long to come up, and the server may be marked as leaving, go or have its
/// zone emptied meanwhile: nothing is sent to it then.
#[test]
fn a_server_that_is_withdrawn_while_its_connection_comes_up_gets_nothing() {
    let case = case();
    let chosen_from = case.servers.table.load_full();
    let entry = chosen_from.endpoints[1].clone();
    let is_withdrawn = |emptied: &std::collections::BTreeSet<String>| {
        case.servers.is_withdrawn(&chosen_from, &entry, emptied)
    };
    assert!(!is_withdrawn(&case.emptied));
    assert!(is_withdrawn(&["a2".to_string()].into()), "its zone is emptied");
    let adopt =
        |revision: u64, change: &dyn Fn(&mut vanepath_config::endpoint_list::EndpointList)| {
            let mut list = list();
            change(&mut list);
            let now = Duration::from_secs(1);
            case.servers.update(
                now,
                TableRevision::new(1, revision),
                &case.setup,
                &list,
                |_, _| SlowStartRate::default(),
            );
        };
    adopt(2, &|list| list.servers[0].draining = true);
    assert!(!is_withdrawn(&case.emptied), "it is another one that leaves");
    adopt(3, &|list| list.servers[1].draining = true);
    assert!(is_withdrawn(&case.emptied), "it leaves");
    adopt(4, &|list| {
        list.servers.remove(1);
    });
    assert!(is_withdrawn(&case.emptied), "it is gone");
    // Another server with its name and another address is another one.
    adopt(5, &|list| list.servers[1].address = "127.0.0.1:9099".parse().unwrap());
    assert!(is_withdrawn(&case.emptied), "its life is over");
}
