//! The read index at start-up, rule by rule (design 5.8): what a node that started must have before it
//! applies any configuration.

mod common;

use common::node_info;
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::gossip::{Effect, Event, Gossip};
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::read_index::{
    NEXT_STORE_DELAY, PEER_READ_INDEX_DELAY, ReadIndex, ReadIndexSource,
};
use vanepath_cluster::wire::{self, Role};

const START: Duration = Duration::from_secs(100);

fn ms(count: u64) -> Duration {
    START + Duration::from_millis(count)
}

fn address(port: u16) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], port))
}

fn delta(name: &str, role: Role, port: u16, status: wire::NodeStatus) -> wire::NodeDelta {
    wire::NodeDelta {
        name: name.to_string(),
        version: wire::NodeVersion {
            incarnation: 5,
            counter: status.revision + 1,
            status_version: 1,
            observations_version: 0,
        },
        age_ms: 0,
        info: Some(node_info(name, role, port)),
        status: Some(status),
        observations: None,
    }
}

fn config(revision: u64) -> wire::CommittedConfig {
    wire::CommittedConfig { revision, ..wire::CommittedConfig::default() }
}

fn ready(revision: u64) -> wire::NodeStatus {
    wire::NodeStatus { ready: true, revision, ..wire::NodeStatus::default() }
}

fn proxy(seeds: Vec<std::net::SocketAddr>) -> Gossip {
    Gossip::new(node_info("p", Role::Proxy, 1), seeds, 1, START)
}

fn view(gossip: &Gossip, now: Duration) -> ClusterView {
    ClusterView::from_gossip(gossip, &ClusterView::default(), now).0
}

/// A registry at port 2 replies with a configuration and with the highest revision that it knows as active.
fn reply(gossip: &mut Gossip, now: Duration, revision: u64, read_index: u64) -> Vec<Effect> {
    gossip.step(now, Event::Tick);
    let response = wire::PullResponse {
        nodes: vec![delta("r", Role::Registry, 2, ready(revision))],
        config: Some(config(revision)),
        read_index: Some(read_index),
        ..wire::PullResponse::default()
    };
    gossip
        .step(now, Event::PullCompleted { address: address(2), response: Some(Box::new(response)) })
}

/// What it sends to others, by its response to a peer's pull.
fn response_of(gossip: &mut Gossip, now: Duration, requester_revision: u64) -> wire::PullResponse {
    let pull = wire::PullRequest {
        known_versions: Some(Vec::new()),
        config_revision: 0,
        endpoint_list_revision: 0,
        plan_version: wire::PlanVersion::default(),
        sender: delta("q", Role::Proxy, 9, ready(requester_revision)),
        wait_ms: 0,
        wants_observations: false,
        is_leaf: false,
        unreachable_digest: 0,
        list_read_age_ms: None,
    };
    let effects = gossip.step(now, Event::PullReceived { ticket: 1, request: pull });
    let response = effects.into_iter().find_map(|effect| match effect {
        Effect::Respond { response, .. } => Some(response),
        _ => None,
    });
    response.expect("it does not wait")
}

/// A ready registry that lags makes nobody apply its configuration: that takes what a majority of stores
/// holds.
#[test]
fn a_lagging_registry_is_not_enough() {
    let mut gossip = proxy(vec![address(2)]);
    reply(&mut gossip, ms(10), 3, 3);
    assert!(gossip.is_fresh(ms(10)), "what is known is current");
    assert!(!view(&gossip, ms(10)).is_fresh, "and the configuration may be old");
    assert_eq!(view(&gossip, ms(10)).active_revision(), 0);
    gossip.step(ms(20), Event::ReadIndexReceived { address: address(3), revision: Some(5) });
    assert!(!view(&gossip, ms(20)).is_fresh, "it has 3 of 5");
    reply(&mut gossip, ms(30), 5, 5);
    let view = view(&gossip, ms(30));
    assert!(view.is_fresh);
    assert_eq!(view.active_revision(), 5);
    let established = view.read_index.unwrap();
    assert_eq!(
        (established.revision, established.source, established.waited),
        (5, ReadIndexSource::Quorum, Duration::from_millis(30))
    );
}

/// What is held back is neither offered nor reported as active; later it is both.
#[test]
fn nothing_is_offered_or_reported_before_the_read_index_is_established() {
    let mut gossip = proxy(vec![address(2)]);
    reply(&mut gossip, ms(10), 3, 3);
    gossip.step(ms(10), Event::StatusChanged(ready(3)));
    let response = response_of(&mut gossip, ms(20), 0);
    assert!(response.config.is_none());
    let own = |response: &wire::PullResponse| {
        let own = response.nodes.iter().find(|delta| delta.name == "p").unwrap();
        own.status.as_ref().unwrap().revision
    };
    assert_eq!(own(&response), 0);
    gossip.step(ms(30), Event::ReadIndexReceived { address: address(3), revision: Some(3) });
    gossip.step(ms(30), Event::StatusChanged(ready(3)));
    let response = response_of(&mut gossip, ms(40), 0);
    assert_eq!((response.config.unwrap().revision, response.read_index), (3, Some(3)));
}

/// A peer that knows which revision a name applied, or anyone did, reports it to nodes without a read index.
#[test]
fn a_peer_reports_what_was_active() {
    let mut peer = Gossip::new(node_info("r", Role::Registry, 2), Vec::new(), 1, START);
    response_of(&mut peer, ms(10), 7);
    let response = response_of(&mut peer, ms(20), 7);
    assert_eq!(response.read_index, None, "it has a read index already");
    // The next incarnation of that name.
    let response = response_of(&mut peer, ms(30), 0);
    assert_eq!(response.read_index, Some(7), "a lower status does not take it back");
    assert_eq!(peer.highest_active_revisions().get("q"), Some(&7));
}

/// Without a majority of stores a node waits two seconds and applies no less than any peer reported.
#[test]
fn without_a_quorum_the_highest_report_of_peers_counts() {
    let mut gossip = proxy(vec![address(2)]);
    reply(&mut gossip, ms(10), 3, 7);
    let late = PEER_READ_INDEX_DELAY.as_millis() as u64 + 50;
    for at in (50..late).step_by(50) {
        gossip.step(ms(at), Event::Tick);
    }
    reply(&mut gossip, ms(late), 3, 3);
    assert!(!view(&gossip, ms(late)).is_fresh, "one peer knows of 7");
    assert_eq!(view(&gossip, ms(late)).required_revision, Some(7));
    reply(&mut gossip, ms(late + 50), 7, 7);
    let established = view(&gossip, ms(late + 50)).read_index.unwrap();
    assert_eq!(
        (established.revision, established.source, established.from.as_str()),
        (7, ReadIndexSource::Peers, "r")
    );
}

/// A node in contact with no more than half of those it knows may be cut off together with them: it waits.
#[test]
fn a_minority_of_peers_is_not_enough() {
    let mut gossip = proxy(vec![address(2)]);
    gossip.step(START, Event::Tick);
    let mut deltas: Vec<wire::NodeDelta> = (0..3_u16)
        .map(|index| {
            let lost = delta(&format!("q{index}"), Role::Proxy, 20 + index, ready(3));
            wire::NodeDelta { age_ms: 60_000, ..lost }
        })
        .collect();
    deltas.push(delta("r", Role::Registry, 2, ready(3)));
    let response = wire::PullResponse {
        nodes: deltas,
        config: Some(config(3)),
        read_index: Some(3),
        ..Default::default()
    };
    gossip.step(
        ms(10),
        Event::PullCompleted { address: address(2), response: Some(Box::new(response)) },
    );
    for at in (50..2950).step_by(50) {
        gossip.step(ms(at), Event::Tick);
    }
    assert!(view(&gossip, ms(2900)).read_index.is_none(), "two of five");
}

/// A store's own configuration was confirmed by a majority since it started; what peers sent it was not.
#[test]
fn a_store_establishes_the_read_index_by_itself() {
    let mut gossip = Gossip::new(node_info("s", Role::Store, 1), vec![address(2)], 1, START);
    let effects = reply(&mut gossip, ms(10), 3, 3);
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::RequestReadIndex { .. })));
    assert!(response_of(&mut gossip, ms(20), 0).config.is_none());
    gossip.step(ms(30), Event::ConfigCommitted(Arc::new(config(4))));
    assert_eq!(response_of(&mut gossip, ms(40), 0).config.unwrap().revision, 4);
}

/// Once any store that votes is known, the first in the order of slots is asked, and the nearest one as
/// well; then the next one while none can tell.
#[test]
fn stores_are_asked_in_the_order_of_their_slots() {
    let requested_ports = |effects: &[Effect]| -> Vec<u16> {
        let ports = effects.iter().filter_map(|effect| match effect {
            Effect::RequestReadIndex { address } => Some(address.port()),
            _ => None,
        });
        ports.collect()
    };
    let mut gossip = proxy(vec![address(2)]);
    assert_eq!(requested_ports(&gossip.step(START, Event::Tick)), [0_u16; 0], "none is known");
    let store = |name: &str, port: u16, slot: u8, votes: bool, zone: &str| {
        let disk = Some(wire::DiskStatus { slot: Some(slot), ..wire::DiskStatus::default() });
        let status = wire::NodeStatus { disk, ..wire::NodeStatus { ready: votes, ..ready(0) } };
        let node = delta(name, Role::Store, port, status);
        let info = wire::NodeInfo { zone: zone.to_string(), ..node.info.clone().unwrap() };
        wire::NodeDelta { info: Some(info), ..node }
    };
    let deltas = vec![
        store("s1", 11, 1, true, "a1"),
        store("s0", 10, 0, true, "b1"),
        store("s2", 12, 2, false, "a1"),
    ];
    let response = wire::PullResponse { nodes: deltas, ..wire::PullResponse::default() };
    let completed =
        Event::PullCompleted { address: address(2), response: Some(Box::new(response)) };
    assert_eq!(
        requested_ports(&gossip.step(ms(10), completed)),
        [10, 11],
        "with the response that names them"
    );
    let mut ports = Vec::new();
    for at in (50..1000).step_by(50) {
        ports.extend(requested_ports(&gossip.step(ms(at), Event::Tick)));
    }
    assert_eq!(ports, [11, 10, 11], "one each {NEXT_STORE_DELAY:?}");
    // One that cannot tell delays the next by a little only.
    gossip.step(ms(1000), Event::ReadIndexReceived { address: address(11), revision: None });
    let soon: Vec<u16> = (1050..1150)
        .step_by(50)
        .flat_map(|at| requested_ports(&gossip.step(ms(at), Event::Tick)))
        .collect();
    assert_eq!(soon, [10]);
    gossip.step(ms(1150), Event::ReadIndexReceived { address: address(10), revision: Some(0) });
    let after: Vec<u16> = (1200..3000)
        .step_by(50)
        .flat_map(|at| requested_ports(&gossip.step(ms(at), Event::Tick)))
        .collect();
    assert!(after.is_empty(), "it has what it asked for: {after:?}");
}

/// A region that is cut off as a whole remembers what its nodes applied: more than half of it is enough,
/// though most of the fleet is unreachable.
#[test]
fn more_than_half_of_the_own_region_is_enough() {
    let far = |index: u16| {
        let lost = delta(&format!("q{index}"), Role::Proxy, 20 + index, ready(3));
        let info = wire::NodeInfo { region: "b".to_string(), ..lost.info.clone().unwrap() };
        wire::NodeDelta { age_ms: 60_000, info: Some(info), ..lost }
    };
    let near_lost = |index: u16| {
        let lost = delta(&format!("n{index}"), Role::Proxy, 40 + index, ready(3));
        wire::NodeDelta { age_ms: 60_000, ..lost }
    };
    for (lost_near, keeps_waiting) in [(1, false), (2, true)] {
        let mut gossip = proxy(vec![address(2)]);
        gossip.step(START, Event::Tick);
        let mut deltas: Vec<wire::NodeDelta> = (0..6).map(far).collect();
        deltas.extend((0..lost_near).map(near_lost));
        deltas.push(delta("r", Role::Registry, 2, ready(3)));
        let response = wire::PullResponse {
            nodes: deltas,
            config: Some(config(3)),
            read_index: Some(3),
            ..Default::default()
        };
        gossip.step(
            ms(10),
            Event::PullCompleted { address: address(2), response: Some(Box::new(response)) },
        );
        for at in (50..2150).step_by(50) {
            assert!(at > 2000 || view(&gossip, ms(at)).read_index.is_none(), "two seconds first");
            gossip.step(ms(at), Event::Tick);
        }
        let established = view(&gossip, ms(2150)).read_index;
        assert_eq!(
            established.is_none(),
            keeps_waiting,
            "{lost_near} of the region lost: {established:?}"
        );
    }
}

/// A pause takes no configuration away; before the read index is established it restarts the wait for peers.
#[test]
fn a_pause_before_the_read_index_restarts_the_wait() {
    let mut read_index = ReadIndex::new(START);
    read_index.on_peer_reply("r", 3);
    read_index.restart_wait(ms(9000));
    assert!(!read_index.check(ms(9100), 3, true));
    assert!(read_index.check(ms(11_050), 3, true));
    read_index.restart_wait(ms(20_000));
    assert!(read_index.established().is_some());
}

/// The first quorum's revision is the read index: what is accepted meanwhile does not raise it again and
/// again.
#[test]
fn a_storm_of_changes_does_not_move_the_read_index() {
    let mut read_index = ReadIndex::new(START);
    read_index.on_store_reply(ms(10), "s0", Some(5));
    read_index.on_store_reply(ms(20), "s1", Some(9));
    read_index.on_peer_reply("r", 12);
    assert_eq!(read_index.required(), Some(5));
    assert!(!read_index.check(ms(30), 4, true));
    assert!(read_index.check(ms(40), 5, true));
    assert!(!read_index.check(ms(50), 6, true), "reported once");
}
