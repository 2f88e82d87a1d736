use super::{LeadershipReadiness, next_plan};
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::gossip::{Event, Gossip};
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::{
    NodeDelta, NodeInfo, NodeStatus, NodeVersion, ProxyObservations, PullResponse, Role,
    ServerObservation, ServerPhase, TrafficShiftPlan,
};
use vanepath_config::{endpoint_list, model};

fn node_info(name: &str, role: Role, zone: &str, port: u16) -> NodeInfo {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
    NodeInfo {
        name: name.to_string(),
        role,
        region: zone[..1].to_string(),
        zone: zone.to_string(),
        address,
        cluster_address: address,
    }
}

fn observation(
    server: &str,
    phase: ServerPhase,
    in_contact_ms: u32,
    load_milli: u32,
    connection_refused: bool,
) -> ServerObservation {
    let server = server.to_string();
    ServerObservation { server, phase, age_ms: 500, in_contact_ms, load_milli, connection_refused }
}

/// The name, zone and observations of one proxy.
type ProxyReport<'r> = (&'r str, &'r str, Vec<ServerObservation>);

/// A registry that has received these observations from its proxies.
fn registry_with(reports: &[ProxyReport<'_>]) -> (Gossip, ClusterView) {
    let now = Duration::from_secs(100);
    let mut gossip = Gossip::new(node_info("r0", Role::Registry, "a1", 1), vec![], 1, now);
    gossip.step(now, Event::StatusChanged(NodeStatus { synced: true, ..Default::default() }));
    let mut deltas = Vec::new();
    for (index, (name, zone, observations)) in reports.iter().enumerate() {
        deltas.push(NodeDelta {
            name: name.to_string(),
            version: NodeVersion {
                incarnation: 5,
                counter: 1,
                status_version: 1,
                observations_version: 1,
            },
            age_ms: 0,
            info: Some(node_info(name, Role::Proxy, zone, 10 + index as u16)),
            status: Some(NodeStatus { ready: true, ..NodeStatus::default() }),
            observations: Some(ProxyObservations {
                servers: observations.clone(),
                ..ProxyObservations::default()
            }),
        });
    }
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let response = PullResponse { nodes: deltas, ..PullResponse::default() };
    gossip.step(now, Event::PullCompleted { address, response: Some(Box::new(response)) });
    let config = model::parse(
        br#"{"classes": [{"name": "c", "urgency": 1, "kind": "repeatable"}],
          "services": [{"name": "s", "selector": "all", "livenessPath": "/"}],
          "rules": [{"name": "r", "class": "c", "service": "s"}]}"#,
    );
    let list = br#"{"revision": 1, "servers": [
        {"id": "s1", "address": "127.0.0.1:1001", "region": "a", "zone": "a1", "state": "ready"},
        {"id": "s2", "address": "127.0.0.1:1002", "region": "b", "zone": "b1", "state": "ready"}]}"#;
    let (mut view, _) = ClusterView::from_gossip(&gossip, &ClusterView::default(), now);
    view.config = Arc::new(config.unwrap());
    view.endpoints = Arc::new(endpoint_list::parse(list).unwrap());
    view.is_fresh = true;
    view.has_observations = true;
    (gossip, view)
}

fn plan(reports: &[ProxyReport<'_>], before: TrafficShiftPlan) -> Option<TrafficShiftPlan> {
    let (gossip, mut view) = registry_with(reports);
    view.plan = Arc::new(before);
    next_plan(&view, "r0", &gossip.peers, true)
}

#[test]
fn one_refused_connection_suffices_and_timeouts_need_two_proxies_and_none_in_contact() {
    let summary = |reports: &[ProxyReport<'_>]| -> (bool, bool) {
        let plan = plan(reports, TrafficShiftPlan::default()).unwrap();
        (plan.unreachable.contains("s1"), plan.warming_up.contains_key("s1"))
    };
    let suspect = || vec![observation("s1", ServerPhase::Suspect, 0, 0, false)];
    let warming_up = || vec![observation("s1", ServerPhase::WarmingUp, 300, 0, false)];
    let in_contact = || vec![observation("s1", ServerPhase::Healthy, 60_000, 0, false)];
    assert_eq!(summary(&[("p0", "a1", suspect()), ("p1", "b1", vec![])]), (false, false));
    assert_eq!(summary(&[("p0", "a1", suspect()), ("p1", "b1", suspect())]), (true, false));
    let partitioned =
        [("p0", "a1", suspect()), ("p1", "a1", suspect()), ("p2", "b1", in_contact())];
    assert_eq!(
        summary(&partitioned),
        (false, false),
        "partitioned proxies do not outvote one that is in contact"
    );
    assert_eq!(summary(&[("p0", "a1", warming_up()), ("p1", "b1", warming_up())]), (false, true));
    let healed =
        [("p0", "a1", warming_up()), ("p1", "a1", warming_up()), ("p2", "b1", in_contact())];
    assert_eq!(summary(&healed), (false, false), "the server was never unreachable");
    let refused = [
        ("p0", "a1", vec![observation("s1", ServerPhase::WarmingUp, 0, 0, true)]),
        ("p2", "b1", in_contact()),
    ];
    assert_eq!(summary(&refused), (false, true));
}

/// Clients are shifted from an overloaded zone to one with spare capacity, and return once the load has
/// dropped. Without load reports, or with an implausibly high one, few or no clients are shifted.
#[test]
fn clients_are_shifted_from_an_overloaded_zone_and_return() {
    let mut last = TrafficShiftPlan::default();
    let mut transcript = String::new();
    // The request rates of the two zones' proxies, and the loads that the zones' servers report.
    for (rates, loads) in [
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
        let observed = |index: usize, id: &str| {
            vec![observation(id, ServerPhase::Healthy, 9000, loads[index], false)]
        };
        let reports = [("p0", "a1", observed(0, "s1")), ("p1", "b1", observed(1, "s2"))];
        let (mut gossip, mut view) = registry_with(&reports);
        for (peer, rate) in gossip.peers.iter_mut().zip(rates) {
            peer.observations.request_rates = [("s".to_string(), rate * 1000)].into();
        }
        view.plan = Arc::new(last.clone());
        if let Some(plan) = next_plan(&view, "r0", &gossip.peers, true) {
            last = plan;
        }
        transcript += &format!("{rates:?} {loads:?}: {:?}\n", last.shifted.get("s"));
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
    .assert_eq(&transcript);
}

#[test]
fn leadership_starts_a_new_epoch_and_only_after_the_settling_time() {
    let reports = [("p0", "a1", vec![])];
    // A registry that is first in order, but has not settled yet, does not become the leader.
    let (gossip, mut view) = registry_with(&reports);
    let mut unsettled = (node_info("a0", Role::Registry, "a1", 77), NodeStatus::default());
    view.live.push(unsettled.clone());
    assert!(next_plan(&view, "r0", &gossip.peers, true).is_some());
    unsettled.1.synced = true;
    *view.live.last_mut().unwrap() = unsettled;
    assert!(next_plan(&view, "r0", &gossip.peers, true).is_none());
    let previous =
        TrafficShiftPlan { epoch: 7, counter: 3, leader: "r9".into(), ..Default::default() };
    let taken_over = plan(&reports, previous).unwrap();
    assert_eq!((taken_over.epoch, taken_over.counter, taken_over.leader.as_str()), (8, 1, "r0"));
    assert_eq!(plan(&reports, taken_over), None, "an unchanged plan is not published again");
    let mut readiness = LeadershipReadiness::default();
    let second = Duration::from_secs;
    assert!(!readiness.may_lead(second(1), true));
    assert!(readiness.may_lead(second(5), true));
    assert!(!readiness.may_lead(second(6), false), "after a pause of the process");
    assert!(!readiness.may_lead(second(7), true));
}
