//! Which observations a registry's response holds (design 5.3).

mod common;

use common::node_info;
use std::time::Duration;
use vanepath_cluster::gossip::{Effect, Event, Gossip};
use vanepath_cluster::wire;

const NOW: Duration = Duration::from_secs(100);

fn observations(count: usize, demand_milli: u32) -> wire::ProxyObservations {
    let server = |index: usize| wire::ServerObservation {
        server: format!("server-{index}"),
        phase: wire::ServerPhase::Healthy,
        age_ms: 1_000_000,
        in_contact_ms: 1_000_000,
        load_milli: demand_milli,
        connection_refused: false,
    };
    wire::ProxyObservations {
        servers: (0..count).map(server).collect(),
        ..wire::ProxyObservations::default()
    }
}

fn delta(index: usize, number: u64, servers: usize) -> wire::NodeDelta {
    let name = format!("proxy-{index}");
    wire::NodeDelta {
        version: wire::NodeVersion {
            incarnation: 7,
            counter: number,
            status_version: 1,
            observations_version: number,
        },
        age_ms: 0,
        info: Some(node_info(&name, wire::Role::Proxy, 1000 + index as u16)),
        status: Some(wire::NodeStatus::default()),
        observations: Some(observations(servers, number as u32)),
        name,
    }
}

fn receive(gossip: &mut Gossip, deltas: Vec<wire::NodeDelta>) {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 3));
    let response = wire::PullResponse { nodes: deltas, ..wire::PullResponse::default() };
    gossip.step(NOW, Event::PullCompleted { address, response: Some(Box::new(response)) });
}

/// The registry `responder` answers the pull of `requester` at its deadline; the requester takes it in.
fn pull(requester: &mut Gossip, responder: &mut Gossip, ticket: u64) -> wire::PullResponse {
    pull_after(requester, responder, ticket, 700)
}

fn pull_after(
    requester: &mut Gossip,
    responder: &mut Gossip,
    ticket: u64,
    wait_ms: u32,
) -> wire::PullResponse {
    let pull = wire::PullRequest {
        known_versions: Some(
            requester
                .peers
                .iter()
                .map(|one| (wire::name_hash(&one.info.name), one.version))
                .collect(),
        ),
        config_revision: 0,
        endpoint_list_revision: requester.endpoints.known_revision(),
        plan_version: wire::PlanVersion::default(),
        sender: wire::NodeDelta {
            name: requester.node_info().name.clone(),
            version: requester.node_version(),
            age_ms: 0,
            info: Some(requester.node_info().clone()),
            status: Some(requester.node_status().clone()),
            observations: None,
        },
        wait_ms,
        wants_observations: true,
        is_leaf: false,
        unreachable_digest: 0,
        list_read_age_ms: None,
    };
    let mut effects = responder.step(NOW, Event::PullReceived { ticket, request: pull });
    let until = NOW + Duration::from_millis(u64::from(wait_ms));
    effects.extend(responder.step(until, Event::Tick));
    let response = effects.into_iter().find_map(|effect| match effect {
        Effect::Respond { ticket: of, response } if of == ticket => Some(response),
        _ => None,
    });
    let response = response.expect("its deadline has come");
    receive(requester, response.nodes.clone());
    response
}

fn registry(name: &str, port: u16) -> Gossip {
    Gossip::new(node_info(name, wire::Role::Registry, port), Vec::new(), 1, NOW)
}

/// More than one response holds comes with several, each within its bounds, and nothing is left out for good.
#[test]
fn observations_that_one_response_cannot_hold_come_with_the_next() {
    let (mut responder, mut requester) = (registry("r0", 1), registry("r1", 2));
    receive(&mut responder, (0..656).map(|index| delta(index, 3, 900)).collect());
    let bytes_each = observations(900, 1).estimated_bytes();
    assert!(656 * bytes_each > 4 * wire::MAX_OBSERVATION_BYTES, "{bytes_each}");
    let known = |requester: &Gossip| {
        requester.peers.iter().filter(|one| one.observations.servers.len() == 900).count()
    };
    let mut rounds = 0;
    while known(&requester) < 656 {
        let before = known(&requester);
        let bytes = wire::encode(&pull(&mut requester, &mut responder, rounds)).len();
        assert!(bytes < wire::MAX_OBSERVATION_BYTES + (1 << 20), "{bytes}");
        assert!(known(&requester) > before, "{before} after {rounds}");
        assert_eq!(requester.peers.len(), 657, "all are known with the first response");
        rounds += 1;
    }
    assert!(rounds < 16, "{rounds}");
    let rest = pull(&mut requester, &mut responder, 99);
    let mut proxies = rest.nodes.iter().filter(|one| one.name.starts_with("proxy-"));
    assert!(proxies.all(|one| one.observations.is_none()), "nothing twice");
}

/// A registry that got observations from their proxy passes them on at once; a third one passes on only what
/// the requester missed more than one version of.
#[test]
fn a_third_registry_sends_observations_only_after_a_missed_version() {
    let (mut first, mut third) = (registry("r0", 1), registry("r1", 2));
    let mut requester = registry("r2", 4);
    let receive_own = |first: &mut Gossip, number: u64| {
        let pull = wire::PullRequest {
            known_versions: Some(Vec::new()),
            config_revision: 0,
            endpoint_list_revision: 0,
            plan_version: wire::PlanVersion::default(),
            sender: delta(0, number, 3),
            wait_ms: 700,
            wants_observations: false,
            is_leaf: false,
            unreachable_digest: 0,
            list_read_age_ms: None,
        };
        first.step(NOW, Event::PullReceived { ticket: number, request: pull });
    };
    let seen = |gossip: &Gossip| {
        let one = gossip.peers.iter().find(|one| one.info.name == "proxy-0").unwrap();
        (one.version.observations_version, one.observations.servers[0].load_milli)
    };
    receive_own(&mut first, 1);
    pull(&mut third, &mut first, 11);
    pull(&mut requester, &mut third, 1);
    assert_eq!([seen(&third), seen(&requester)], [(1, 1); 2], "of a new node everything is sent");
    receive_own(&mut first, 2);
    pull(&mut third, &mut first, 12);
    assert_eq!(seen(&third), (2, 2));
    pull(&mut requester, &mut third, 2);
    assert_eq!(seen(&requester), (1, 1), "the first will send it");
    receive_own(&mut first, 3);
    pull(&mut third, &mut first, 13);
    pull(&mut requester, &mut third, 3);
    assert_eq!(seen(&requester), (3, 3), "the first did not");
    receive_own(&mut first, 4);
    pull(&mut requester, &mut first, 14);
    assert_eq!(seen(&requester), (4, 4));
    receive_own(&mut first, 5);
    pull(&mut third, &mut first, 15);
    pull_after(&mut requester, &mut third, 16, 0);
    assert_eq!(seen(&requester), (5, 5), "a node that just started or resumed gets all there is");
}

fn list(
    revision: u64,
    draining: &[u64],
) -> std::sync::Arc<vanepath_config::endpoint_list::EndpointList> {
    let one = |number: u64| vanepath_config::endpoint_list::Server {
        id: format!("s{number}"),
        address: ([127, 0, 0, 1], 9000 + number as u16).into(),
        region: "a".to_string(),
        zone: "a1".to_string(),
        labels: Default::default(),
        draining: draining.contains(&number),
        warming_up: false,
        concurrency: 2,
    };
    let servers = (0..50).map(one).collect();
    std::sync::Arc::new(vanepath_config::endpoint_list::EndpointList { revision, servers })
}

/// A requester whose list the responder knows gets a delta; one that has another list under the same
/// revision finds that out, asks for the full list and gets it.
#[test]
fn a_list_is_sent_as_a_delta_and_in_full_where_the_delta_does_not_fit() {
    let (mut responder, mut requester, mut mismatched) =
        (registry("r0", 1), registry("r1", 2), registry("r2", 4));
    let set_list = |gossip: &mut Gossip, list| {
        gossip.step(NOW, Event::EndpointListReceived(list));
    };
    set_list(&mut responder, list(1, &[]));
    set_list(&mut requester, list(1, &[]));
    set_list(&mut mismatched, list(1, &[7]));
    set_list(&mut responder, list(2, &[3]));
    let pulled = |requester: &mut Gossip, responder: &mut Gossip, ticket: u64| {
        let response = pull(requester, responder, ticket);
        let completed = Event::PullCompleted {
            address: responder.node_info().cluster_address,
            response: Some(Box::new(response.clone())),
        };
        requester.step(NOW, completed);
        response
    };
    let response = pulled(&mut requester, &mut responder, 1);
    assert!(
        response.endpoint_list.is_none()
            && response.endpoint_list_delta.unwrap().changed.len() == 1
    );
    assert_eq!(requester.endpoints.current(), responder.endpoints.current());
    pulled(&mut mismatched, &mut responder, 2);
    assert_eq!(mismatched.endpoints.current().revision, 1, "it does not lead there");
    let response = pulled(&mut mismatched, &mut responder, 3);
    assert!(response.endpoint_list.is_some());
    assert_eq!(mismatched.endpoints.current(), responder.endpoints.current());
}

/// Whether the next pulls of a registry ask for observations.
fn asks_for_observations(gossip: &mut Gossip, now: Duration) -> bool {
    let effects = gossip.step(now, Event::Tick);
    let pulls = effects.iter().filter_map(|effect| match effect {
        Effect::Pull { request, .. } => Some(request.wants_observations),
        _ => None,
    });
    let asked: Vec<bool> = pulls.collect();
    assert!(!asked.is_empty() && asked.iter().all(|one| *one == asked[0]));
    asked[0]
}

fn others(names: &[&str], draining: bool) -> Vec<wire::NodeDelta> {
    let other = |name: &&str| wire::NodeDelta {
        name: name.to_string(),
        version: wire::NodeVersion {
            incarnation: 7,
            counter: 1,
            status_version: 1,
            observations_version: 0,
        },
        age_ms: 0,
        info: Some(node_info(name, wire::Role::Registry, 100 + u16::from(name.as_bytes()[1]))),
        status: Some(wire::NodeStatus { draining, ..wire::NodeStatus::default() }),
        observations: None,
    };
    names.iter().map(other).collect()
}

/// The leader and the registry that would succeed it collect observations, no other: they would be sent to
/// all, and are most of what registries send each other.
#[test]
fn the_first_two_registries_collect_observations() {
    for (name, collects) in [("r0", true), ("r1", true), ("r2", false), ("r4", false)] {
        let mut gossip = registry(name, 1);
        let names: Vec<&str> =
            ["r0", "r1", "r2", "r3", "r4"].into_iter().filter(|one| *one != name).collect();
        receive(&mut gossip, others(&names, false));
        assert_eq!(asks_for_observations(&mut gossip, NOW), collects, "{name}");
    }
    // Those that drain do not count.
    let mut gossip = registry("r2", 1);
    receive(&mut gossip, others(&["r0"], true));
    receive(&mut gossip, others(&["r1", "r3"], false));
    assert!(asks_for_observations(&mut gossip, NOW));
}

/// A registry that is asked for observations begins to collect them, and knows when it has all.
#[test]
fn a_registry_that_is_asked_collects_observations() {
    let mut gossip = registry("r2", 1);
    receive(&mut gossip, others(&["r0", "r1"], false));
    let second = |count: u64| NOW + Duration::from_secs(count);
    gossip.step(NOW, Event::Tick);
    assert!(!gossip.has_observations(second(100)), "it collects none");
    gossip.step(second(1), Event::ObservationsWanted);
    assert!(!gossip.has_observations(second(2)) && gossip.has_observations(second(3)));
}
