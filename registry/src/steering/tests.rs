use super::{Client, SteeringState, pathways, rank_pathways};
use std::sync::Arc;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire;

fn view(rules: &str) -> ClusterView {
    let setup = format!(
        r#"{{"places": [{{"zone": "a1", "region": "a", "labels": {{"cost": "low"}}}},
                      {{"zone": "c1", "region": "c"}}],
          "classes": [{{"name": "c", "urgency": 1, "kind": "repeatable"}}],
          "services": [{{"name": "s", "selector": "all", "livenessPath": "/"}}],
          "rules": [{rules}]}}"#
    );
    let mut live = Vec::new();
    for (index, zone) in ["a1", "a1", "a2", "b1", "b2", "c1"].iter().enumerate() {
        let address = format!("127.0.0.1:{}", 8000 + index).parse().unwrap();
        let card = wire::NodeInfo {
            name: format!("p{index}"),
            role: wire::Role::Proxy,
            region: zone[..1].to_string(),
            zone: zone.to_string(),
            address,
            cluster_address: address,
        };
        live.push((card, wire::NodeStatus { ready: true, ..wire::NodeStatus::default() }));
    }
    ClusterView {
        config: Arc::new(vanepath_config::model::parse(setup.as_bytes()).unwrap()),
        live,
        ..ClusterView::default()
    }
}

fn zones(view: &ClusterView, bucket: u64) -> String {
    let caller = Client { zone: "a2".to_string(), region: "a".to_string(), bucket };
    let places = pathways(view);
    let steps = rank_pathways(view, &places, 0, &caller);
    let zones: Vec<&str> = steps.iter().map(|step| places[step.place].zone.as_str()).collect();
    zones.join(" ")
}

#[test]
fn nearest_first_within_bounds_and_without_the_emptied() {
    let mut open = view(r#"{"name": "r", "class": "c", "service": "s"}"#);
    assert!(zones(&open, 3).starts_with("a2 a1 "), "{}", zones(&open, 3));
    assert_eq!(zones(&open, 3).split(' ').count(), 5);
    let word = wire::CommittedConfig {
        drained_zones: ["a2".to_string()].into(),
        ..wire::CommittedConfig::default()
    };
    open.committed = Arc::new(word);
    assert!(zones(&open, 3).starts_with("a1 "));
    let bound = view(r#"{"name": "r", "class": "c", "service": "s", "regions": ["a", "c"]}"#);
    assert_eq!(zones(&bound, 3), "a2 a1 c1");
    let mut none = bound.clone();
    for (_, report) in &mut none.live {
        report.draining = true;
    }
    assert_eq!(zones(&none, 3), "", "nothing within bounds is left: nothing else either");
    // What is not heard of any more comes last, and never out of bounds.
    let mut cut = bound.clone();
    cut.unreachable = cut.live.extract_if(.., |(card, _)| card.zone != "c1").collect();
    assert_eq!(zones(&cut, 3), "c1 a2 a1");
}

/// Shares hold over many callers, and a change moves hardly more than it must.
#[test]
fn shares_hold_and_a_change_moves_the_fewest() {
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
        let first = |view: &ClusterView| zones(view, bucket).starts_with("a1");
        let (old, new) = (first(&before), first(&after));
        counts[0] += i32::from(old);
        counts[1] += i32::from(new);
        counts[2] += i32::from(old != new);
    }
    assert!((counts[0] - 800).abs() < 80, "{counts:?}");
    assert!((counts[1] - 1200).abs() < 80, "{counts:?}");
    assert_eq!(counts[2], counts[1] - counts[0], "nobody moves the other way");
}

/// Who is cut off helps only those who have nothing yet.
#[test]
fn a_directory_that_is_cut_off_sends_its_callers_to_another() {
    let mut cut = view(r#"{"name": "r", "class": "c", "service": "s"}"#);
    let caller = Client { zone: "a2".into(), region: "a".into(), bucket: 77 };
    let echo = format!("state={}", SteeringState { revision: 0, caller }.show());
    let is_told = |view: &ClusterView, query: &str| {
        super::steer(view, true, ("a1", "a"), query, 1).receipt.is_ok()
    };
    assert!(is_told(&cut, &echo) && is_told(&cut, "zone=a2"));
    cut.is_isolated = true;
    assert!(!is_told(&cut, &echo) && is_told(&cut, "zone=a2"));
    cut.is_isolated = false;
    cut.is_partitioned = true;
    assert!(!is_told(&cut, &echo) && is_told(&cut, "zone=a2"));
}

#[test]
fn echoes_come_back_whole_and_forgeries_do_not() {
    let caller = Client { zone: "a2".into(), region: "a".into(), bucket: 77 };
    let shown = SteeringState { revision: 12, caller: caller.clone() }.show();
    assert_eq!(SteeringState::parse(&shown), Some(SteeringState { revision: 12, caller }));
    for forged in ["", "x", "12.77.a2.a", &shown.replace("12.", "13."), &shown[1..]] {
        assert_eq!(SteeringState::parse(forged), None, "{forged}");
    }
}

const ANY: &str = r#"{"name": "r", "class": "c", "service": "s"}"#;

fn told(view: &ClusterView, is_ready: bool, query: &str) -> String {
    match super::addresses(view, is_ready, ("a1", "a"), query, 0) {
        Ok(answer) => {
            let ports = answer["addresses"].members().filter_map(|one| one.as_str());
            let ports: Vec<&str> = ports.map(|one| one.rsplit(':').next().unwrap()).collect();
            format!("{} for {} s", ports.join(" "), answer["ttlS"])
        }
        Err(why) => why.to_string(),
    }
}

/// The live proxies of the client's own region; another region's as well where these are too few to
/// bear the loss of one; and none that is lost, not ready, leaving, or in an emptied zone.
#[test]
fn plain_addresses_are_those_of_the_own_region() {
    // By place: 8000 and 8001 in a1, 8002 in a2, 8003 in b1, 8004 in b2, 8005 in c1.
    let all = view(ANY);
    let mut shown = String::new();
    let mut show = |what: &str, told: String| shown += &format!("{what}: {told}\n");
    show("from a", told(&all, true, "name=x&region=a&zone=a2"));
    show("from b", told(&all, true, "name=x&region=b&zone=b1"));
    show("from c", told(&all, true, "name=x&region=c&zone=c1"));
    show("from nowhere", told(&all, true, "name=x"));
    show("from an unknown place", told(&all, true, "region=z&zone=z9"));
    let mut fewer = all.clone();
    fewer.live[0].1.draining = true;
    fewer.live[1].1.ready = false;
    show("two of a gone", told(&fewer, true, "region=a&zone=a1"));
    let mut emptied = all.clone();
    let word = wire::CommittedConfig {
        drained_zones: ["a1".to_string()].into(),
        ..wire::CommittedConfig::default()
    };
    emptied.committed = Arc::new(word);
    show("a1 emptied", told(&emptied, true, "region=a&zone=a1"));
    let mut lost = all.clone();
    lost.unreachable = lost.live.extract_if(.., |(card, _)| card.region == "a").collect();
    show("a lost", told(&lost, true, "region=a&zone=a1"));
    lost.unreachable.append(&mut lost.live);
    show("all lost", told(&lost, true, "region=a&zone=a1"));
    show("not ready", told(&all, false, "region=a&zone=a1"));
    let mut alone = all.clone();
    alone.is_isolated = true;
    show("cut off", told(&alone, true, "region=a&zone=a1"));
    show("nobody known", told(&ClusterView::default(), true, "region=a&zone=a1"));
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
    assert_eq!(told(&bound, true, "region=c&zone=c1"), "8005 for 2 s");
    assert_eq!(told(&bound, true, "region=a&zone=a1"), "8000 8001 8002 for 2 s");
    // With none of its own left a region's clients are helped all the same.
    bound.unreachable = bound.live.extract_if(.., |(card, _)| card.region == "c").collect();
    assert_ne!(told(&bound, true, "region=c&zone=c1"), "");
    assert!(told(&bound, true, "region=c&zone=c1").ends_with("for 2 s"));
}

/// Of very many each answer has as many as may be, each another part of them, and all have their turn.
#[test]
fn of_very_many_each_answer_has_a_part() {
    let mut many = view(ANY);
    let card = many.live[0].clone();
    many.live = (0..200_u16)
        .map(|index| {
            let mut one = card.clone();
            one.0.name = format!("p{index}");
            one.0.address.set_port(9000 + index);
            one
        })
        .collect();
    let mut counts = std::collections::BTreeMap::<String, u32>::new();
    for random in 0..200 {
        let answer = super::addresses(&many, true, ("a1", "a"), "region=a", random).unwrap();
        assert_eq!(answer["addresses"].members().len(), super::ADDRESSES_MOST);
        for one in answer["addresses"].members() {
            *counts.entry(one.as_str().unwrap().to_string()).or_default() += 1;
        }
    }
    assert_eq!(counts.len(), 200);
    assert!(counts.values().all(|count| *count == super::ADDRESSES_MOST as u32), "{counts:?}");
}
