//! Which observations and endpoint lists a registry's response contains (design 5.3).

mod common;

use common::node_info;
use std::time::Duration;
use vanepath_cluster::gossip::{Effect, Event, Gossip};
use vanepath_cluster::wire;

const NOW: Duration = Duration::from_secs(100);

fn observations(count: usize, server_load_milli: u32) -> wire::ProxyObservations {
    let server = |index: usize| wire::ServerObservation {
        server: format!("server-{index}"),
        phase: wire::ServerPhase::Healthy,
        age_ms: 1_000_000,
        in_contact_ms: 1_000_000,
        load_milli: server_load_milli,
        connection_refused: false,
    };
    wire::ProxyObservations {
        servers: (0..count).map(server).collect(),
        ..wire::ProxyObservations::default()
    }
}

fn delta(index: usize, version_number: u64, servers: usize) -> wire::NodeDelta {
    let name = format!("proxy-{index}");
    wire::NodeDelta {
        version: wire::NodeVersion {
            incarnation: 7,
            counter: version_number,
            status_version: 1,
            observations_version: version_number,
        },
        age_ms: 0,
        info: Some(node_info(&name, wire::Role::Proxy, 1000 + index as u16)),
        status: Some(wire::NodeStatus::default()),
        observations: Some(observations(servers, version_number as u32)),
        name,
    }
}

fn receive(gossip: &mut Gossip, deltas: Vec<wire::NodeDelta>) {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 3));
    let response = wire::PullResponse { nodes: deltas, ..wire::PullResponse::default() };
    gossip.step(NOW, Event::PullCompleted { address, response: Some(Box::new(response)) });
}

/// Sends a pull from `requester` to the registry `responder`, which responds at the deadline, and merges the
/// response into the requester.
fn pull(requester: &mut Gossip, responder: &mut Gossip, ticket: u64) -> wire::PullResponse {
    pull_with_wait(requester, responder, ticket, 700)
}

fn pull_with_wait(
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
                .map(|peer| (wire::name_hash(&peer.info.name), peer.version))
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
    let deadline = NOW + Duration::from_millis(u64::from(wait_ms));
    effects.extend(responder.step(deadline, Event::Tick));
    let response = effects.into_iter().find_map(|effect| match effect {
        Effect::Respond { ticket: responded_ticket, response } if responded_ticket == ticket => {
            Some(response)
        }
        _ => None,
    });
    let response = response.expect("the responder responds at the deadline");
    receive(requester, response.nodes.clone());
    response
}

fn registry(name: &str, port: u16) -> Gossip {
    Gossip::new(node_info(name, wire::Role::Registry, port), Vec::new(), 1, NOW)
}

/// Observations that exceed the limit of one response are sent over several, each within the limit, until all
/// have been sent once.
#[test]
fn observations_that_exceed_one_response_are_sent_over_several() {
    let (mut responder, mut requester) = (registry("r0", 1), registry("r1", 2));
    receive(&mut responder, (0..656).map(|index| delta(index, 3, 900)).collect());
    let bytes_each = observations(900, 1).estimated_bytes();
    assert!(656 * bytes_each > 4 * wire::MAX_OBSERVATION_BYTES, "{bytes_each}");
    let known_count = |requester: &Gossip| {
        requester.peers.iter().filter(|peer| peer.observations.servers.len() == 900).count()
    };
    let mut rounds = 0;
    while known_count(&requester) < 656 {
        let before = known_count(&requester);
        let bytes = wire::encode(&pull(&mut requester, &mut responder, rounds)).len();
        assert!(bytes < wire::MAX_OBSERVATION_BYTES + (1 << 20), "{bytes}");
        assert!(known_count(&requester) > before, "{before} after {rounds}");
        assert_eq!(requester.peers.len(), 657, "the first response names all peers");
        rounds += 1;
    }
    assert!(rounds < 16, "{rounds}");
    let last_response = pull(&mut requester, &mut responder, 99);
    let mut proxies = last_response.nodes.iter().filter(|peer| peer.name.starts_with("proxy-"));
    assert!(proxies.all(|peer| peer.observations.is_none()), "no observations are sent twice");
}

/// A registry that got observations from the proxy itself sends them on at once. Another registry sends them
/// on only to a requester that missed more than one version.
#[test]
fn a_third_registry_sends_observations_only_after_a_missed_version() {
    let (mut first, mut third) = (registry("r0", 1), registry("r1", 2));
    let mut requester = registry("r2", 4);
    let receive_from_proxy = |first: &mut Gossip, version_number: u64| {
        let pull = wire::PullRequest {
            known_versions: Some(Vec::new()),
            config_revision: 0,
            endpoint_list_revision: 0,
            plan_version: wire::PlanVersion::default(),
            sender: delta(0, version_number, 3),
            wait_ms: 700,
            wants_observations: false,
            is_leaf: false,
            unreachable_digest: 0,
            list_read_age_ms: None,
        };
        first.step(NOW, Event::PullReceived { ticket: version_number, request: pull });
    };
    let known_observations = |gossip: &Gossip| {
        let proxy = gossip.peers.iter().find(|proxy| proxy.info.name == "proxy-0").unwrap();
        (proxy.version.observations_version, proxy.observations.servers[0].load_milli)
    };
    receive_from_proxy(&mut first, 1);
    pull(&mut third, &mut first, 11);
    pull(&mut requester, &mut third, 1);
    assert_eq!(
        [known_observations(&third), known_observations(&requester)],
        [(1, 1); 2],
        "all state of a new node is sent"
    );
    receive_from_proxy(&mut first, 2);
    pull(&mut third, &mut first, 12);
    assert_eq!(known_observations(&third), (2, 2));
    pull(&mut requester, &mut third, 2);
    assert_eq!(known_observations(&requester), (1, 1), "left to the first registry");
    receive_from_proxy(&mut first, 3);
    pull(&mut third, &mut first, 13);
    pull(&mut requester, &mut third, 3);
    assert_eq!(known_observations(&requester), (3, 3), "the first registry did not send it");
    receive_from_proxy(&mut first, 4);
    pull(&mut requester, &mut first, 14);
    assert_eq!(known_observations(&requester), (4, 4));
    receive_from_proxy(&mut first, 5);
    pull(&mut third, &mut first, 15);
    pull_with_wait(&mut requester, &mut third, 16, 0);
    assert_eq!(
        known_observations(&requester),
        (5, 5),
        "a pull after a start or pause gets all state"
    );
}

fn list(
    revision: u64,
    draining: &[u64],
) -> std::sync::Arc<vanepath_config::endpoint_list::EndpointList> {
    let server = |number: u64| vanepath_config::endpoint_list::Server {
        id: format!("s{number}"),
        address: ([127, 0, 0, 1], 9000 + number as u16).into(),
        region: "a".to_string(),
        zone: "a1".to_string(),
        labels: Default::default(),
        draining: draining.contains(&number),
        warming_up: false,
        concurrency: 2,
    };
    let servers = (0..50).map(server).collect();
    std::sync::Arc::new(vanepath_config::endpoint_list::EndpointList { revision, servers })
}

/// A requester whose list the responder knows gets a delta. A requester with a different list under the same
/// revision detects the mismatch, requests the full list and gets it.
#[test]
fn a_list_is_sent_as_a_delta_and_in_full_after_a_mismatch() {
    let (mut responder, mut requester, mut mismatched) =
        (registry("r0", 1), registry("r1", 2), registry("r2", 4));
    let set_list = |gossip: &mut Gossip, list| {
        gossip.step(NOW, Event::EndpointListReceived(list));
    };
    set_list(&mut responder, list(1, &[]));
    set_list(&mut requester, list(1, &[]));
    set_list(&mut mismatched, list(1, &[7]));
    set_list(&mut responder, list(2, &[3]));
    let pull_and_complete = |requester: &mut Gossip, responder: &mut Gossip, ticket: u64| {
        let response = pull(requester, responder, ticket);
        let completed = Event::PullCompleted {
            address: responder.node_info().cluster_address,
            response: Some(Box::new(response.clone())),
        };
        requester.step(NOW, completed);
        response
    };
    let response = pull_and_complete(&mut requester, &mut responder, 1);
    assert!(
        response.endpoint_list.is_none()
            && response.endpoint_list_delta.unwrap().changed.len() == 1
    );
    assert_eq!(requester.endpoints.current(), responder.endpoints.current());
    pull_and_complete(&mut mismatched, &mut responder, 2);
    assert_eq!(mismatched.endpoints.current().revision, 1, "the delta does not fit");
    let response = pull_and_complete(&mut mismatched, &mut responder, 3);
    assert!(response.endpoint_list.is_some());
    assert_eq!(mismatched.endpoints.current(), responder.endpoints.current());
}

/// Whether the next pulls of a registry request observations.
fn requests_observations(gossip: &mut Gossip, now: Duration) -> bool {
    let effects = gossip.step(now, Event::Tick);
    let pulls = effects.iter().filter_map(|effect| match effect {
        Effect::Pull { request, .. } => Some(request.wants_observations),
        _ => None,
    });
    let requested: Vec<bool> = pulls.collect();
    assert!(!requested.is_empty() && requested.iter().all(|wanted| *wanted == requested[0]));
    requested[0]
}

fn registry_deltas(names: &[&str], draining: bool) -> Vec<wire::NodeDelta> {
    let registry_delta = |name: &&str| wire::NodeDelta {
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
    names.iter().map(registry_delta).collect()
}

/// Only the leader and its successor collect observations: they are most of the traffic between registries
/// and would otherwise be sent to all of them.
#[test]
fn the_first_two_registries_collect_observations() {
    for (name, collects) in [("r0", true), ("r1", true), ("r2", false), ("r4", false)] {
        let mut gossip = registry(name, 1);
        let names: Vec<&str> =
            ["r0", "r1", "r2", "r3", "r4"].into_iter().filter(|other| *other != name).collect();
        receive(&mut gossip, registry_deltas(&names, false));
        assert_eq!(requests_observations(&mut gossip, NOW), collects, "{name}");
    }
    // Draining registries do not count.
    let mut gossip = registry("r2", 1);
    receive(&mut gossip, registry_deltas(&["r0"], true));
    receive(&mut gossip, registry_deltas(&["r1", "r3"], false));
    assert!(requests_observations(&mut gossip, NOW));
}

/// A registry that an operator asks for observations starts to collect them, and has them all after a delay.
#[test]
fn a_registry_collects_observations_on_request() {
    let mut gossip = registry("r2", 1);
    receive(&mut gossip, registry_deltas(&["r0", "r1"], false));
    let seconds = |count: u64| NOW + Duration::from_secs(count);
    gossip.step(NOW, Event::Tick);
    assert!(!gossip.has_observations(seconds(100)), "it does not collect observations");
    gossip.step(seconds(1), Event::ObservationsWanted);
    assert!(!gossip.has_observations(seconds(2)) && gossip.has_observations(seconds(3)));
}
