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
    let mut open = view(r#"{"name": "r", "class": "c", "service": "s"}"#);
    assert!(ranked_zones(&open, 3).starts_with("a2 a1 "), "{}", ranked_zones(&open, 3));
    assert_eq!(ranked_zones(&open, 3).split(' ').count(), 5);
    let committed =
        CommittedConfig { drained_zones: ["a2".to_string()].into(), ..CommittedConfig::default() };
    open.committed = Arc::new(committed);
    assert!(ranked_zones(&open, 3).starts_with("a1 "));
    let bound = view(r#"{"name": "r", "class": "c", "service": "s", "regions": ["a", "c"]}"#);
    assert_eq!(ranked_zones(&bound, 3), "a2 a1 c1");
    let mut none = bound.clone();
    for (_, status) in &mut none.live {
        status.draining = true;
    }
    assert_eq!(ranked_zones(&none, 3), "", "nothing within bounds is left: nothing else either");
    // Unreachable pathways come last, and never outside of the regions.
    let mut unreachable = bound.clone();
    unreachable.unreachable =
        unreachable.live.extract_if(.., |(info, _)| info.zone != "c1").collect();
    assert_eq!(ranked_zones(&unreachable, 3), "c1 a2 a1");
}

/// The shares hold over many clients, and a change of shares moves hardly more clients than it must.
#[test]
fn shares_hold_and_a_change_of_shares_moves_as_few_clients_as_possible() {
    let with = |low: u32| {
        view(&format!(
            r#"{{"name": "r", "class": "c", "service": "s", "prefer": [[
                {{"places": "zone = @zone", "share": {}}},
                {{"places": "cost = low", "share": {low}}}]]}}"#,
            100 - low
        ))
    };
    let (before, after) = (with(20), with(30));
    let mut counts = [0, 0, 0];
    for bucket in 0..4000 {
        let first = |view: &ClusterView| ranked_zones(view, bucket).starts_with("a1");
        let (old, new) = (first(&before), first(&after));
        counts[0] += i32::from(old);
        counts[1] += i32::from(new);
        counts[2] += i32::from(old != new);
    }
    assert!((counts[0] - 800).abs() < 80, "{counts:?}");
    assert!((counts[1] - 1200).abs() < 80, "{counts:?}");
    assert_eq!(counts[2], counts[1] - counts[0], "nobody moves the other way");
}

/// A partitioned registry answers only clients that have no answer yet.
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
fn state_tokens_are_parsed_and_forged_ones_are_not() {
    let client = Client { zone: "a2".into(), region: "a".into(), bucket: 77 };
    let token = SteeringState { revision: 12, client: client.clone() }.encode();
    assert_eq!(SteeringState::parse(&token), Some(SteeringState { revision: 12, client }));
    for forged in ["", "x", "12.77.a2.a", &token.replace("12.", "13."), &token[1..]] {
        assert_eq!(SteeringState::parse(forged), None, "{forged}");
    }
}

const ANY: &str = r#"{"name": "r", "class": "c", "service": "s"}"#;

fn shown_addresses(view: &ClusterView, is_ready: bool, query: &str) -> String {
    match addresses(view, is_ready, ("a1", "a"), query, 0) {
        Ok(answer) => {
            let answer = answer.json();
            let ports = answer["addresses"].members().filter_map(|one| one.as_str());
            let ports: Vec<&str> = ports.map(|one| one.rsplit(':').next().unwrap()).collect();
            format!("{} for {} s", ports.join(" "), answer["ttlS"])
        }
        Err(error) => error.to_string(),
    }
}

/// The live proxies of the client's own region; another region's as well where these are too few to
/// bear the loss of one; and none that is unreachable, not ready, draining, or in a drained zone.
#[test]
fn plain_addresses_are_those_of_the_own_region() {
    // By zone: 8000 and 8001 in a1, 8002 in a2, 8003 in b1, 8004 in b2, 8005 in c1.
    let all = view(ANY);
    let mut shown = String::new();
    let mut show = |what: &str, answer: String| shown += &format!("{what}: {answer}\n");
    show("from a", shown_addresses(&all, true, "name=x&region=a&zone=a2"));
    show("from b", shown_addresses(&all, true, "name=x&region=b&zone=b1"));
    show("from c", shown_addresses(&all, true, "name=x&region=c&zone=c1"));
    show("from nowhere", shown_addresses(&all, true, "name=x"));
    show("from an unknown place", shown_addresses(&all, true, "region=z&zone=z9"));
    let mut fewer = all.clone();
    fewer.live[0].1.draining = true;
    fewer.live[1].1.ready = false;
    show("two of a gone", shown_addresses(&fewer, true, "region=a&zone=a1"));
    let mut drained = all.clone();
    let committed =
        CommittedConfig { drained_zones: ["a1".to_string()].into(), ..CommittedConfig::default() };
    drained.committed = Arc::new(committed);
    show("a1 emptied", shown_addresses(&drained, true, "region=a&zone=a1"));
    let mut unreachable = all.clone();
    unreachable.unreachable =
        unreachable.live.extract_if(.., |(info, _)| info.region == "a").collect();
    show("a lost", shown_addresses(&unreachable, true, "region=a&zone=a1"));
    unreachable.unreachable.append(&mut unreachable.live);
    show("all lost", shown_addresses(&unreachable, true, "region=a&zone=a1"));
    show("not ready", shown_addresses(&all, false, "region=a&zone=a1"));
    let mut isolated = all.clone();
    isolated.is_isolated = true;
    show("cut off", shown_addresses(&isolated, true, "region=a&zone=a1"));
    show("nobody known", shown_addresses(&ClusterView::default(), true, "region=a&zone=a1"));
    expect_test::expect![[r#"
        from a: 8000 8001 8002 for 2 s
        from b: 8003 8004 for 2 s
        from c: 8005 8002 for 2 s
        from nowhere: 8000 8001 8002 for 2 s
        from an unknown place: 8000 8001 for 2 s
        two of a gone: 8002 8004 for 2 s
        a1 emptied: 8002 8004 for 2 s
        a lost: 8004 8003 for 2 s
        all lost: this directory knows no setup or no place yet
        not ready: this directory knows no setup or no place yet
        cut off: this directory is cut off, and what you have may be newer
        nobody known: this directory knows no setup or no place yet
    "#]]
    .assert_eq(&shown);
}

/// Incident 0016: where any rule is bound to regions, no other region's proxies are named beside the own
/// one's, however few these are: what they name is taken for all rules alike.
#[test]
fn plain_addresses_stay_in_the_region_where_rules_are_bound() {
    let mut bound = view(r#"{"name": "r", "class": "c", "service": "s", "regions": ["a", "c"]}"#);
    assert_eq!(shown_addresses(&bound, true, "region=c&zone=c1"), "8005 for 2 s");
    assert_eq!(shown_addresses(&bound, true, "region=a&zone=a1"), "8000 8001 8002 for 2 s");
    // With no live proxy of its own left, a region's clients still get addresses.
    bound.unreachable = bound.live.extract_if(.., |(info, _)| info.region == "c").collect();
    assert_ne!(shown_addresses(&bound, true, "region=c&zone=c1"), "");
    assert!(shown_addresses(&bound, true, "region=c&zone=c1").ends_with("for 2 s"));
}

/// Incident 0020: during rolling restarts all proxies of a region may drain or start at one time. Clients were
/// then named proxies of whatever region, as after the loss of theirs; where a rule of their host is bound to
/// regions they get those of its other regions, or else the restarting ones, which serve or soon will.
#[test]
fn bound_rules_keep_clients_within_their_regions_while_proxies_restart() {
    let rules = r#"{"name": "b", "match": {"host": "bound"}, "class": "c", "service": "s", "regions": ["c", "a"]},
        {"name": "o", "match": {"host": "only"}, "class": "c", "service": "s", "regions": ["c"]},
        {"name": "f", "match": {"host": "free"}, "class": "c", "service": "s"}"#;
    let shown = |view: &ClusterView| {
        let answer = |host| shown_addresses(view, true, &format!("name={host}&region=c&zone=c1"));
        ["bound", "only", "free"].map(answer).join(", ")
    };
    let mut text = String::new();
    let mut show = |what: &str, view: &ClusterView| text += &format!("{what}: {}\n", shown(view));
    let mut one = view(rules);
    show("all ready", &one);
    one.live[5].1.draining = true;
    show("it drains", &one);
    one.live[5].1.ready = false;
    show("it drains and accepts no more", &one);
    one.live[5].1.draining = false;
    show("starting", &one);
    let committed =
        CommittedConfig { drained_zones: ["c1".to_string()].into(), ..CommittedConfig::default() };
    one.committed = Arc::new(committed);
    show("starting in a drained zone", &one);
    one.committed = Arc::default();
    one.unreachable.push(one.live.remove(5));
    show("lost", &one);
    for (_, status) in &mut one.live {
        status.draining = true;
    }
    show("lost, and all others drain", &one);
    expect_test::expect![[r#"
        all ready: 8005 for 2 s, 8005 for 2 s, 8005 8002 for 2 s
        it drains: 8002 8000 8001 for 2 s, 8005 for 0.5 s, 8002 8004 for 2 s
        it drains and accepts no more: 8002 8000 8001 for 2 s, 8002 for 2 s, 8002 8004 for 2 s
        starting: 8002 8000 8001 for 2 s, 8005 for 0.5 s, 8002 8004 for 2 s
        starting in a drained zone: 8002 8000 8001 for 2 s, 8002 for 2 s, 8002 8004 for 2 s
        lost: 8002 8000 8001 for 2 s, 8002 for 2 s, 8002 8004 for 2 s
        lost, and all others drain: 8000 8001 8002 for 0.5 s, this directory knows no setup or no place yet, this directory knows no setup or no place yet
    "#]]
    .assert_eq(&text);
}

/// With very many proxies each answer has the maximum of addresses, each another part of them, and all
/// proxies are named equally often.
#[test]
fn answers_rotate_over_very_many_proxies() {
    let mut many = view(ANY);
    let node = many.live[0].clone();
    many.live = (0..200_u16)
        .map(|index| {
            let mut one = node.clone();
            one.0.name = format!("p{index}");
            one.0.address.set_port(9000 + index);
            one
        })
        .collect();
    let mut counts = std::collections::BTreeMap::<String, u32>::new();
    for random in 0..200 {
        let answer = addresses(&many, true, ("a1", "a"), "region=a", random).unwrap().json();
        assert_eq!(answer["addresses"].members().len(), MAX_ADDRESSES);
        for one in answer["addresses"].members() {
            *counts.entry(one.as_str().unwrap().to_string()).or_default() += 1;
        }
    }
    assert_eq!(counts.len(), 200);
    assert!(counts.values().all(|count| *count == MAX_ADDRESSES as u32), "{counts:?}");
}
