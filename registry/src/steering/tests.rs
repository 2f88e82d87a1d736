use super::{Client, MAX_ADDRESSES, SteeringState, addresses, pathways, rank_pathways, steer};
use std::sync::Arc;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::{CommittedConfig, NodeInfo, NodeStatus, Role};
use vanepath_config::model;

fn view(rules: &str) -> ClusterView {
    let config = format!(
        r#"{{"places": [{{"zone": "a1", "region": "a", "labels": {{"cost": "low"}}}},
                      {{"zone": "c1", "region": "c"}}],
          "classes": [{{"name": "c", "urgency": 1, "kind": "repeatable"}}],
          "services": [{{"name": "s", "selector": "all", "livenessPath": "/"}}],
          "rules": [{rules}]}}"#
    );
    let mut live = Vec::new();
    for (index, zone) in ["a1", "a1", "a2", "b1", "b2", "c1"].iter().enumerate() {
        let address = format!("127.0.0.1:{}", 8000 + index).parse().unwrap();
        let info = NodeInfo {
            name: format!("p{index}"),
            role: Role::Proxy,
            region: zone[..1].to_string(),
            zone: zone.to_string(),
            address,
            cluster_address: address,
        };
        live.push((info, NodeStatus { ready: true, ..NodeStatus::default() }));
    }
    ClusterView {
        config: Arc::new(model::parse(config.as_bytes()).unwrap()),
        live,
        ..ClusterView::default()
    }
}

fn ranked_zones(view: &ClusterView, bucket: u64) -> String {
    let client = Client { zone: "a2".to_string(), region: "a".to_string(), bucket };
    let pathways = pathways(view);
    let ranked = rank_pathways(view, &pathways, 0, &client);
    let zones: Vec<&str> =
        ranked.iter().map(|entry| pathways[entry.pathway].zone.as_str()).collect();
    zones.join(" ")
}

#[test]
fn pathways_rank_by_proximity_within_the_regions_of_the_rule_and_without_drained_zones() {
    let mut unbound = view(r#"{"name": "r", "class": "c", "service": "s"}"#);
    assert!(ranked_zones(&unbound, 3).starts_with("a2 a1 "), "{}", ranked_zones(&unbound, 3));
    assert_eq!(ranked_zones(&unbound, 3).split(' ').count(), 5);
    let committed =
        CommittedConfig { drained_zones: ["a2".to_string()].into(), ..CommittedConfig::default() };
    unbound.committed = Arc::new(committed);
    assert!(ranked_zones(&unbound, 3).starts_with("a1 "));
    let bound = view(r#"{"name": "r", "class": "c", "service": "s", "regions": ["a", "c"]}"#);
    assert_eq!(ranked_zones(&bound, 3), "a2 a1 c1");
    let mut all_draining = bound.clone();
    for (_, status) in &mut all_draining.live {
        status.draining = true;
    }
    assert_eq!(
        ranked_zones(&all_draining, 3),
        "",
        "no fallback to pathways outside the rule's regions"
    );
    // Unreachable pathways come last, and only those within the rule's regions.
    let mut unreachable = bound.clone();
    unreachable.unreachable =
        unreachable.live.extract_if(.., |(info, _)| info.zone != "c1").collect();
    assert_eq!(ranked_zones(&unreachable, 3), "c1 a2 a1");
}

/// Over many clients each pathway gets its share, and a change of the shares moves no client to a pathway
/// whose share shrinks.
#[test]
fn clients_are_divided_by_shares_and_a_change_of_shares_moves_as_few_as_possible() {
    let view_with_share = |low_cost: u32| {
        view(&format!(
            r#"{{"name": "r", "class": "c", "service": "s", "prefer": [[
                {{"places": "zone = @zone", "share": {}}},
                {{"places": "cost = low", "share": {low_cost}}}]]}}"#,
            100 - low_cost
        ))
    };
    let (view_before, view_after) = (view_with_share(20), view_with_share(30));
    let mut counts = [0, 0, 0];
    for bucket in 0..4000 {
        let is_low_cost_first = |view: &ClusterView| ranked_zones(view, bucket).starts_with("a1");
        let (before, after) = (is_low_cost_first(&view_before), is_low_cost_first(&view_after));
        counts[0] += i32::from(before);
        counts[1] += i32::from(after);
        counts[2] += i32::from(before != after);
    }
    assert!((counts[0] - 800).abs() < 80, "{counts:?}");
    assert!((counts[1] - 1200).abs() < 80, "{counts:?}");
    assert_eq!(counts[2], counts[1] - counts[0], "no client moves in the other direction");
}

#[test]
fn a_partitioned_registry_answers_only_first_time_clients() {
    let mut partitioned = view(r#"{"name": "r", "class": "c", "service": "s"}"#);
    let client = Client { zone: "a2".into(), region: "a".into(), bucket: 77 };
    let state = format!("state={}", SteeringState { revision: 0, client }.encode());
    let is_answered =
        |view: &ClusterView, query: &str| steer(view, true, ("a1", "a"), query, 1).response.is_ok();
    assert!(is_answered(&partitioned, &state) && is_answered(&partitioned, "zone=a2"));
    partitioned.is_isolated = true;
    assert!(!is_answered(&partitioned, &state) && is_answered(&partitioned, "zone=a2"));
    partitioned.is_isolated = false;
    partitioned.is_partitioned = true;
    assert!(!is_answered(&partitioned, &state) && is_answered(&partitioned, "zone=a2"));
}

#[test]
fn valid_state_tokens_are_parsed_and_forged_ones_are_not() {
    let client = Client { zone: "a2".into(), region: "a".into(), bucket: 77 };
    let token = SteeringState { revision: 12, client: client.clone() }.encode();
    assert_eq!(SteeringState::parse(&token), Some(SteeringState { revision: 12, client }));
    for forged in ["", "x", "12.77.a2.a", &token.replace("12.", "13."), &token[1..]] {
        assert_eq!(SteeringState::parse(forged), None, "{forged}");
    }
}

const UNBOUND_RULE: &str = r#"{"name": "r", "class": "c", "service": "s"}"#;

fn format_addresses(view: &ClusterView, is_ready: bool, query: &str) -> String {
    match addresses(view, is_ready, ("a1", "a"), query, 0) {
        Ok(answer) => {
            let answer = answer.json();
            let ports = answer["addresses"].members().filter_map(|address| address.as_str());
            let ports: Vec<&str> =
                ports.map(|address| address.rsplit(':').next().unwrap()).collect();
            format!("{} for {} s", ports.join(" "), answer["ttlS"])
        }
        Err(error) => error.to_string(),
    }
}

/// The answer contains the live proxies of the client's own region, those of another region if one proxy
/// alone is left there, and none that is unreachable, not ready, draining, or in a drained zone.
#[test]
fn plain_addresses_are_those_of_the_clients_region() {
    // Ports by zone: 8000 and 8001 in a1, 8002 in a2, 8003 in b1, 8004 in b2, 8005 in c1.
    let full_view = view(UNBOUND_RULE);
    let mut transcript = String::new();
    let mut show = |case: &str, answer: String| transcript += &format!("{case}: {answer}\n");
    show("from a", format_addresses(&full_view, true, "name=x&region=a&zone=a2"));
    show("from b", format_addresses(&full_view, true, "name=x&region=b&zone=b1"));
    show("from c", format_addresses(&full_view, true, "name=x&region=c&zone=c1"));
    show("without a location", format_addresses(&full_view, true, "name=x"));
    show("from an unknown region", format_addresses(&full_view, true, "region=z&zone=z9"));
    let mut partly_ready = full_view.clone();
    partly_ready.live[0].1.draining = true;
    partly_ready.live[1].1.ready = false;
    show(
        "a1 with one proxy draining and one not ready",
        format_addresses(&partly_ready, true, "region=a&zone=a1"),
    );
    let mut drained = full_view.clone();
    let committed =
        CommittedConfig { drained_zones: ["a1".to_string()].into(), ..CommittedConfig::default() };
    drained.committed = Arc::new(committed);
    show("a1 drained", format_addresses(&drained, true, "region=a&zone=a1"));
    let mut unreachable = full_view.clone();
    unreachable.unreachable =
        unreachable.live.extract_if(.., |(info, _)| info.region == "a").collect();
    show("region a unreachable", format_addresses(&unreachable, true, "region=a&zone=a1"));
    unreachable.unreachable.append(&mut unreachable.live);
    show("all unreachable", format_addresses(&unreachable, true, "region=a&zone=a1"));
    show("not ready", format_addresses(&full_view, false, "region=a&zone=a1"));
    let mut isolated = full_view.clone();
    isolated.is_isolated = true;
    show("isolated registry", format_addresses(&isolated, true, "region=a&zone=a1"));
    show("no node known", format_addresses(&ClusterView::default(), true, "region=a&zone=a1"));
    expect_test::expect![[r#"
        from a: 8000 8001 8002 for 2 s
        from b: 8003 8004 for 2 s
        from c: 8005 8002 for 2 s
        without a location: 8000 8001 8002 for 2 s
        from an unknown region: 8000 8001 for 2 s
        a1 with one proxy draining and one not ready: 8002 8004 for 2 s
        a1 drained: 8002 8004 for 2 s
        region a unreachable: 8004 8003 for 2 s
        all unreachable: this directory knows no setup or no place yet
        not ready: this directory knows no setup or no place yet
        isolated registry: this directory is cut off, and what you have may be newer
        no node known: this directory knows no setup or no place yet
    "#]]
    .assert_eq(&transcript);
}

/// Incident 0016: clients use the addresses for all rules. If any rule is bound to regions, the proxies of
/// the client's own region must not be supplemented with those of other regions, however few they are.
#[test]
fn plain_addresses_stay_in_the_region_where_rules_are_bound() {
    let mut bound = view(r#"{"name": "r", "class": "c", "service": "s", "regions": ["a", "c"]}"#);
    assert_eq!(format_addresses(&bound, true, "region=c&zone=c1"), "8005 for 2 s");
    assert_eq!(format_addresses(&bound, true, "region=a&zone=a1"), "8000 8001 8002 for 2 s");
    // Clients of a region without live proxies still get addresses.
    bound.unreachable = bound.live.extract_if(.., |(info, _)| info.region == "c").collect();
    assert_ne!(format_addresses(&bound, true, "region=c&zone=c1"), "");
    assert!(format_addresses(&bound, true, "region=c&zone=c1").ends_with("for 2 s"));
}

/// Incident 0020: during rolling restarts all proxies of a region may drain or start at the same time.
/// Clients then got proxies of any other region, as after the loss of their own. If a rule of their host is
/// bound to regions, they must get proxies of the rule's other regions, or else the restarting ones, which
/// serve requests or will soon.
#[test]
fn bound_rules_keep_clients_within_their_regions_while_proxies_restart() {
    let rules = r#"{"name": "b", "match": {"host": "bound"}, "class": "c", "service": "s", "regions": ["c", "a"]},
        {"name": "o", "match": {"host": "only"}, "class": "c", "service": "s", "regions": ["c"]},
        {"name": "f", "match": {"host": "free"}, "class": "c", "service": "s"}"#;
    let answers = |view: &ClusterView| {
        let answer = |host| format_addresses(view, true, &format!("name={host}&region=c&zone=c1"));
        ["bound", "only", "free"].map(answer).join(", ")
    };
    let mut transcript = String::new();
    let mut show =
        |case: &str, view: &ClusterView| transcript += &format!("{case}: {}\n", answers(view));
    let mut state = view(rules);
    show("all ready", &state);
    state.live[5].1.draining = true;
    show("c1 draining", &state);
    state.live[5].1.ready = false;
    show("c1 draining and closed to requests", &state);
    state.live[5].1.draining = false;
    show("c1 starting", &state);
    let committed =
        CommittedConfig { drained_zones: ["c1".to_string()].into(), ..CommittedConfig::default() };
    state.committed = Arc::new(committed);
    show("c1 starting and drained", &state);
    state.committed = Arc::default();
    state.unreachable.push(state.live.remove(5));
    show("c1 unreachable", &state);
    for (_, status) in &mut state.live {
        status.draining = true;
    }
    show("c1 unreachable and all others draining", &state);
    expect_test::expect![[r#"
        all ready: 8005 for 2 s, 8005 for 2 s, 8005 8002 for 2 s
        c1 draining: 8002 8000 8001 for 2 s, 8005 for 0.5 s, 8002 8004 for 2 s
        c1 draining and closed to requests: 8002 8000 8001 for 2 s, 8002 for 2 s, 8002 8004 for 2 s
        c1 starting: 8002 8000 8001 for 2 s, 8005 for 0.5 s, 8002 8004 for 2 s
        c1 starting and drained: 8002 8000 8001 for 2 s, 8002 for 2 s, 8002 8004 for 2 s
        c1 unreachable: 8002 8000 8001 for 2 s, 8002 for 2 s, 8002 8004 for 2 s
        c1 unreachable and all others draining: 8000 8001 8002 for 0.5 s, this directory knows no setup or no place yet, this directory knows no setup or no place yet
    "#]]
    .assert_eq(&transcript);
}

/// With more proxies than an answer may contain, each answer has the maximum number of addresses, and over
/// many answers all proxies are contained equally often.
#[test]
fn answers_rotate_over_very_many_proxies() {
    let mut view_of_many = view(UNBOUND_RULE);
    let node = view_of_many.live[0].clone();
    view_of_many.live = (0..200_u16)
        .map(|index| {
            let mut proxy = node.clone();
            proxy.0.name = format!("p{index}");
            proxy.0.address.set_port(9000 + index);
            proxy
        })
        .collect();
    let mut counts = std::collections::BTreeMap::<String, u32>::new();
    for random in 0..200 {
        let answer =
            addresses(&view_of_many, true, ("a1", "a"), "region=a", random).unwrap().json();
        assert_eq!(answer["addresses"].members().len(), MAX_ADDRESSES);
        for address in answer["addresses"].members() {
            *counts.entry(address.as_str().unwrap().to_string()).or_default() += 1;
        }
    }
    assert_eq!(counts.len(), 200);
    assert!(counts.values().all(|count| *count == MAX_ADDRESSES as u32), "{counts:?}");
}
