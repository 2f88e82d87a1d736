use super::{LeadershipReadiness, next_plan};
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::gossip::{Event, Gossip};
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire;

fn card(name: &str, role: wire::Role, zone: &str, port: u16) -> wire::NodeInfo {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
    wire::NodeInfo {
        name: name.to_string(),
        role,
        region: zone[..1].to_string(),
        zone: zone.to_string(),
        address,
        cluster_address: address,
    }
}

fn sight(
    server: &str,
    phase: wire::ServerPhase,
    steady_ms: u32,
    demand_milli: u32,
    refused: bool,
) -> wire::ServerObservation {
    let server = server.to_string();
    wire::ServerObservation {
        server,
        phase,
        age_ms: 500,
        in_contact_ms: steady_ms,
        load_milli: demand_milli,
        connection_refused: refused,
    }
}

/// A registry that heard these sights from its proxies.
fn heard(sights: &[(&str, &str, Vec<wire::ServerObservation>)]) -> (Gossip, ClusterView) {
    let now = Duration::from_secs(100);
    let mut news = Gossip::new(card("r0", wire::Role::Registry, "a1", 1), vec![], 1, now);
    news.step(now, Event::StatusChanged(wire::NodeStatus { synced: true, ..Default::default() }));
    let mut deltas = Vec::new();
    for (index, (name, zone, sights)) in sights.iter().enumerate() {
        deltas.push(wire::NodeDelta {
            name: name.to_string(),
            version: wire::NodeVersion {
                incarnation: 5,
                counter: 1,
                status_version: 1,
                observations_version: 1,
            },
            age_ms: 0,
            info: Some(card(name, wire::Role::Proxy, zone, 10 + index as u16)),
            status: Some(wire::NodeStatus { ready: true, ..wire::NodeStatus::default() }),
            observations: Some(wire::ProxyObservations {
                servers: sights.clone(),
                ..wire::ProxyObservations::default()
            }),
        });
    }
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let told = wire::PullResponse { nodes: deltas, ..wire::PullResponse::default() };
    news.step(now, Event::PullCompleted { address, response: Some(Box::new(told)) });
    let setup = vanepath_config::model::parse(
        br#"{"classes": [{"name": "c", "urgency": 1, "kind": "repeatable"}],
          "services": [{"name": "s", "selector": "all", "livenessPath": "/"}],
          "rules": [{"name": "r", "class": "c", "service": "s"}]}"#,
    );
    let list = br#"{"revision": 1, "servers": [
        {"id": "s1", "address": "127.0.0.1:1001", "region": "a", "zone": "a1", "state": "ready"},
        {"id": "s2", "address": "127.0.0.1:1002", "region": "b", "zone": "b1", "state": "ready"}]}"#;
    let (mut view, _) = ClusterView::from_gossip(&news, &ClusterView::default(), now);
    view.config = Arc::new(setup.unwrap());
    view.endpoints = Arc::new(vanepath_config::endpoint_list::parse(list).unwrap());
    view.is_fresh = true;
    view.has_observations = true;
    (news, view)
}

fn plan(
    sights: &[(&str, &str, Vec<wire::ServerObservation>)],
    before: wire::TrafficShiftPlan,
) -> Option<wire::TrafficShiftPlan> {
    let (news, mut view) = heard(sights);
    view.plan = Arc::new(before);
    next_plan(&view, "r0", &news.peers, true)
}

#[test]
fn refusals_are_proof_and_silence_needs_two_and_nobody_in_touch() {
    let away = |sights: &[(&str, &str, Vec<wire::ServerObservation>)]| -> (bool, bool) {
        let plan = plan(sights, wire::TrafficShiftPlan::default()).unwrap();
        (plan.unreachable.contains("s1"), plan.warming_up.contains_key("s1"))
    };
    let suspect = || vec![sight("s1", wire::ServerPhase::Suspect, 0, 0, false)];
    let cold = || vec![sight("s1", wire::ServerPhase::WarmingUp, 300, 0, false)];
    let in_touch = || vec![sight("s1", wire::ServerPhase::Healthy, 60_000, 0, false)];
    assert_eq!(away(&[("p0", "a1", suspect()), ("p1", "b1", vec![])]), (false, false));
    assert_eq!(away(&[("p0", "a1", suspect()), ("p1", "b1", suspect())]), (true, false));
    let cut = [("p0", "a1", suspect()), ("p1", "a1", suspect()), ("p2", "b1", in_touch())];
    assert_eq!(away(&cut), (false, false), "a part that is cut off does not speak for all");
    assert_eq!(away(&[("p0", "a1", cold()), ("p1", "b1", cold())]), (false, true));
    let healed = [("p0", "a1", cold()), ("p1", "a1", cold()), ("p2", "b1", in_touch())];
    assert_eq!(away(&healed), (false, false), "it was there all the time");
    let refused = [
        ("p0", "a1", vec![sight("s1", wire::ServerPhase::WarmingUp, 0, 0, true)]),
        ("p2", "b1", in_touch()),
    ];
    assert_eq!(away(&refused), (false, true));
}

/// Callers move away from a zone that takes more than its server can do, to the one with room, and
/// come back. Demand that is not told, or not to be believed, moves nobody or few.
#[test]
fn callers_move_away_from_a_busy_zone_and_come_back() {
    let mut last = wire::TrafficShiftPlan::default();
    let mut shown = String::new();
    // What the zones' proxies take a second, and what their servers tell.
    for (taken, told) in [
        ([10, 10], [500, 500]),
        ([24, 4], [1200, 200]),
        ([22, 6], [1100, 300]),
        ([19, 9], [950, 450]),
        ([17, 11], [850, 550]),
        ([12, 10], [600, 500]),
        ([10, 10], [500, 500]),
        ([10, 10], [500, 500]),
        ([10, 10], [500, 500]),
        ([24, 4], [0, 0]),
        ([10, 10], [60_000, 500]),
    ] {
        let sight = |index: usize, id: &str| {
            vec![sight(id, wire::ServerPhase::Healthy, 9000, told[index], false)]
        };
        let sights = [("p0", "a1", sight(0, "s1")), ("p1", "b1", sight(1, "s2"))];
        let (mut news, mut view) = heard(&sights);
        for (source, count) in news.peers.iter_mut().zip(taken) {
            source.observations.request_rates = [("s".to_string(), count * 1000)].into();
        }
        view.plan = Arc::new(last.clone());
        if let Some(plan) = next_plan(&view, "r0", &news.peers, true) {
            last = plan;
        }
        shown += &format!("{taken:?} {told:?}: {:?}\n", last.shifted.get("s"));
    }
    expect_test::expect![[r#"
        [10, 10] [500, 500]: None
        [24, 4] [1200, 200]: Some({"a1": {"b1": 63}})
        [22, 6] [1100, 300]: Some({"a1": {"b1": 119}})
        [19, 9] [950, 450]: Some({"a1": {"b1": 142}})
        [17, 11] [850, 550]: Some({"a1": {"b1": 117}})
        [12, 10] [600, 500]: Some({"a1": {"b1": 59}})
        [10, 10] [500, 500]: Some({"a1": {"b1": 30}})
        [10, 10] [500, 500]: Some({"a1": {"b1": 15}})
        [10, 10] [500, 500]: Some({"a1": {"b1": 8}})
        [24, 4] [0, 0]: None
        [10, 10] [60000, 500]: None
    "#]]
    .assert_eq(&shown);
}

#[test]
fn the_duty_is_taken_under_the_next_epoch_and_not_at_once() {
    let sights = [("p0", "a1", vec![])];
    // One that would come first and has not settled yet leaves the duty where it is.
    let (news, mut view) = heard(&sights);
    let mut early = (card("a0", wire::Role::Registry, "a1", 77), wire::NodeStatus::default());
    view.live.push(early.clone());
    assert!(next_plan(&view, "r0", &news.peers, true).is_some());
    early.1.synced = true;
    *view.live.last_mut().unwrap() = early;
    assert!(next_plan(&view, "r0", &news.peers, true).is_none());
    let other =
        wire::TrafficShiftPlan { epoch: 7, counter: 3, leader: "r9".into(), ..Default::default() };
    let taken = plan(&sights, other).unwrap();
    assert_eq!((taken.epoch, taken.counter, taken.leader.as_str()), (8, 1, "r0"));
    assert_eq!(plan(&sights, taken), None, "nothing new, nothing told");
    let mut tenure = LeadershipReadiness::default();
    let second = Duration::from_secs;
    assert!(!tenure.may_lead(second(1), true));
    assert!(tenure.may_lead(second(5), true));
    assert!(!tenure.may_lead(second(6), false), "it froze");
    assert!(!tenure.may_lead(second(7), true));
}
