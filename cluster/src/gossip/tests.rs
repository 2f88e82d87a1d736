use super::{Effect, Event, Gossip};
use crate::wire;
use std::time::Duration;

fn node_info(name: &str, role: wire::Role, port: u16) -> wire::NodeInfo {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
    wire::NodeInfo {
        name: name.to_string(),
        role,
        region: "a".to_string(),
        zone: "a1".to_string(),
        address,
        cluster_address: address,
    }
}

fn delta(
    counter: u64,
    observations_version: u64,
    in_flight_requests: Option<u32>,
) -> wire::NodeDelta {
    wire::NodeDelta {
        name: "p".to_string(),
        version: wire::NodeVersion {
            incarnation: 7,
            counter,
            status_version: 1,
            observations_version,
        },
        age_ms: 0,
        info: Some(node_info("p", wire::Role::Proxy, 2)),
        status: Some(wire::NodeStatus::default()),
        observations: in_flight_requests.map(|count| wire::ProxyObservations {
            in_flight: vec![count],
            ..wire::ProxyObservations::default()
        }),
    }
}

fn receive(gossip: &mut Gossip, now: Duration, delta: wire::NodeDelta) {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 3));
    let response = wire::PullResponse { nodes: vec![delta], ..wire::PullResponse::default() };
    gossip.step(now, Event::PullCompleted { address, response: Some(Box::new(response)) });
}

/// Runs one tick: first completes the pulls of the previous tick, with a response from each port for which
/// `port_replies` returns true, then collects the new pulls into `pulled_addresses`.
fn tick_with(
    gossip: &mut Gossip,
    pulled_addresses: &mut Vec<std::net::SocketAddr>,
    now: Duration,
    port_replies: impl Fn(u16) -> bool,
) {
    let mut effects = Vec::new();
    for address in std::mem::take(pulled_addresses) {
        let response = port_replies(address.port()).then(Box::default);
        effects.extend(gossip.step(now, Event::PullCompleted { address, response }));
    }
    effects.extend(gossip.step(now, Event::Tick));
    pulled_addresses.extend(effects.into_iter().filter_map(|effect| match effect {
        Effect::Pull { address, .. } => Some(address),
        _ => None,
    }));
}

/// Observations that arrive on a slower path than heartbeats are still merged, and are never replaced by
/// older ones.
#[test]
fn late_observations_are_merged_and_older_ones_are_not() {
    let now = Duration::from_secs(100);
    let mut gossip = Gossip::new(node_info("r", wire::Role::Registry, 1), Vec::new(), 1, now);
    let merged_state =
        |gossip: &Gossip| (gossip.peers[0].version, gossip.peers[0].observations.in_flight.clone());
    receive(&mut gossip, now, delta(9, 1, Some(1)));
    receive(&mut gossip, now, delta(20, 3, None));
    assert_eq!(
        merged_state(&gossip).0.observations_version,
        1,
        "observations that were not sent are not known"
    );
    receive(&mut gossip, now, delta(15, 3, Some(3)));
    assert_eq!(
        merged_state(&gossip),
        (
            wire::NodeVersion {
                incarnation: 7,
                counter: 20,
                status_version: 1,
                observations_version: 3
            },
            vec![3]
        )
    );
    receive(&mut gossip, now, delta(21, 2, Some(2)));
    assert_eq!(merged_state(&gossip).1, [3]);
    // Conversely, a requester that already has a later heartbeat still gets newer observations.
    let mut pull = wire::PullRequest {
        known_versions: Some(vec![(
            wire::name_hash("p"),
            wire::NodeVersion {
                incarnation: 7,
                counter: 99,
                status_version: 1,
                observations_version: 2,
            },
        )]),
        config_revision: 0,
        endpoint_list_revision: 0,
        plan_version: wire::PlanVersion::default(),
        sender: delta(1, 0, None),
        wait_ms: 0,
        wants_observations: true,
        is_leaf: false,
        unreachable_digest: 0,
        list_read_age_ms: None,
    };
    pull.sender.name = "s".to_string();
    let effects = gossip.step(now, Event::PullReceived { ticket: 1, request: pull });
    let response = effects.into_iter().find_map(|effect| match effect {
        Effect::Respond { response, .. } => Some(response),
        _ => None,
    });
    let entry = response.unwrap().nodes.into_iter().find(|delta| delta.name == "p").unwrap();
    assert_eq!(entry.observations.unwrap().in_flight, [3]);
}

/// After a pause only the reply to a pull that was sent since makes the node fresh. A registry's reply to an
/// earlier pull, which may be read first after the pause, does not.
#[test]
fn a_reply_to_a_pull_sent_before_a_pause_does_not_make_a_node_fresh() {
    let seconds = Duration::from_secs_f64;
    let registry = node_info("r", wire::Role::Registry, 2);
    let address = registry.cluster_address;
    let seeds = vec![address];
    let mut gossip = Gossip::new(node_info("p", wire::Role::Proxy, 1), seeds, 1, seconds(100.0));
    let reply = || {
        let status = wire::NodeStatus { ready: true, ..wire::NodeStatus::default() };
        let delta = wire::NodeDelta {
            name: "r".to_string(),
            version: wire::NodeVersion {
                incarnation: 5,
                counter: 1,
                status_version: 1,
                observations_version: 0,
            },
            age_ms: 0,
            info: Some(node_info("r", wire::Role::Registry, 2)),
            status: Some(status),
            observations: None,
        };
        let response = wire::PullResponse { nodes: vec![delta], ..wire::PullResponse::default() };
        Event::PullCompleted { address, response: Some(Box::new(response)) }
    };
    gossip.step(seconds(100.0), Event::Tick);
    gossip.step(seconds(100.1), reply());
    assert!(gossip.is_fresh(seconds(100.1)));
    gossip.step(seconds(100.15), Event::Tick);
    // The process is paused for about six seconds with a pull in flight, whose reply is read first.
    gossip.step(seconds(106.0), reply());
    gossip.step(seconds(106.0), Event::Tick);
    assert!(!gossip.is_fresh(seconds(106.0)), "the pull was sent before the pause");
    gossip.step(seconds(106.1), reply());
    assert!(gossip.is_fresh(seconds(106.1)));
}

/// A peer whose connection ended is pulled from directly. If its address refuses the connection, it is dead
/// at once, even if other nodes still send older entries of it, and live again with a newer heartbeat.
#[test]
fn a_peer_that_refuses_connections_is_dead_until_a_newer_heartbeat() {
    let ms = Duration::from_millis;
    let mut gossip = Gossip::new(node_info("r", wire::Role::Registry, 1), Vec::new(), 1, ms(0));
    receive(&mut gossip, ms(10_000), delta(9, 0, None));
    let is_live = |gossip: &Gossip, now| gossip.live(now).any(|(info, _)| info.name == "p");
    assert!(is_live(&gossip, ms(10_000)));
    // Its pull is pending at this node; then its connection ends.
    let pull = wire::PullRequest {
        known_versions: Some(Vec::new()),
        config_revision: 0,
        endpoint_list_revision: 0,
        plan_version: wire::PlanVersion::default(),
        sender: delta(10, 0, None),
        wait_ms: 700,
        wants_observations: false,
        is_leaf: false,
        unreachable_digest: 0,
        list_read_age_ms: None,
    };
    gossip.step(ms(10_100), Event::PullReceived { ticket: 7, request: pull.clone() });
    let address = node_info("p", wire::Role::Proxy, 2).cluster_address;
    for effect in gossip.step(ms(10_101), Event::Tick) {
        if let Effect::Pull { address, .. } = effect {
            gossip
                .step(ms(10_102), Event::PullCompleted { address, response: Some(Box::default()) });
        }
    }
    let mut pull = pull;
    pull.sender = delta(11, 0, None);
    pull.known_versions = Some(vec![(
        wire::name_hash("r"),
        wire::NodeVersion { incarnation: 1, ..gossip.node_version() },
    )]);
    gossip.step(ms(10_200), Event::PullReceived { ticket: 8, request: pull });
    gossip.step(ms(10_300), Event::PullAbandoned { ticket: 8 });
    gossip.step(ms(10_350), Event::Tick);
    gossip.step(ms(10_351), Event::ConnectionRefused { address });
    assert!(!is_live(&gossip, ms(10_352)), "its address refused a connection");
    // A third node sends an entry from before the refusal.
    let older = wire::NodeDelta { age_ms: 200, ..delta(12, 0, None) };
    receive(&mut gossip, ms(10_400), older);
    assert!(!is_live(&gossip, ms(10_400)), "the heartbeat is from before the refusal");
    let newer = wire::NodeDelta {
        version: wire::NodeVersion { incarnation: 8, ..delta(1, 0, None).version },
        ..delta(1, 0, None)
    };
    receive(&mut gossip, ms(11_500), newer);
    assert!(is_live(&gossip, ms(11_500)));
}

/// After a pause a node pulls from all peers it knew, because the few that it pulled from before may be down
/// by then. It is not fresh until a peer replies or the isolation timeout has passed.
#[test]
fn after_a_pause_all_peers_are_pulled_from_and_a_node_without_replies_is_not_fresh() {
    let seconds = Duration::from_secs_f64;
    let mut gossip =
        Gossip::new(node_info("p", wire::Role::Proxy, 1), Vec::new(), 1, seconds(100.0));
    for index in 0..9_u16 {
        let entry = wire::NodeDelta {
            name: format!("q{index}"),
            info: Some(node_info(&format!("q{index}"), wire::Role::Proxy, 10 + index)),
            ..delta(9, 0, None)
        };
        receive(&mut gossip, seconds(100.0), entry);
    }
    gossip.step(seconds(100.0), Event::Tick);
    for _ in 0..2 {
        for index in 0..9_u16 {
            let address = node_info("", wire::Role::Proxy, 10 + index).cluster_address;
            gossip.step(
                seconds(100.1),
                Event::PullCompleted { address, response: Some(Box::default()) },
            );
        }
        // From here on it pulls only from a few selected peers.
        gossip.step(seconds(100.1), Event::Tick);
    }
    let mut pull_count = 0;
    for effect in gossip.step(seconds(130.0), Event::Tick) {
        pull_count += usize::from(matches!(effect, Effect::Pull { .. }));
    }
    assert!(pull_count >= 6, "{pull_count} pulled");
    gossip.step(seconds(131.0), Event::Tick);
    gossip.step(seconds(132.0), Event::Tick);
    gossip.step(seconds(132.4), Event::Tick);
    assert!(!gossip.is_fresh(seconds(132.4)), "no peer has replied");
    assert!(gossip.is_isolated(seconds(132.4)));
    // Work that arrived as the process resumed is not rejected: once isolated, the node acts on the state
    // that it has, before the readiness timeout.
    assert!(gossip.is_fresh(seconds(130.0) + super::READINESS_TIMEOUT - seconds(0.2)));
    for index in 0..9_u16 {
        let address = node_info("", wire::Role::Proxy, 10 + index).cluster_address;
        gossip
            .step(seconds(132.4), Event::PullCompleted { address, response: Some(Box::default()) });
    }
    assert!(gossip.is_fresh(seconds(132.4)) && !gossip.is_isolated(seconds(132.4)));
}

/// A peer that becomes unreachable is pulled from directly, once and at once; after that it is only tried in
/// turn with the other unreachable peers.
#[test]
fn a_peer_that_becomes_unreachable_is_pulled_from_at_once() {
    let ms = Duration::from_millis;
    let mut gossip = Gossip::new(node_info("p", wire::Role::Proxy, 1), Vec::new(), 1, ms(0));
    for index in 0..9_u16 {
        let entry = wire::NodeDelta {
            name: format!("q{index}"),
            info: Some(node_info(&format!("q{index}"), wire::Role::Proxy, 10 + index)),
            ..delta(9, 0, None)
        };
        receive(&mut gossip, ms(0), entry);
    }
    let mut pull_times = Vec::new();
    for tick in 0..80 {
        let now = ms(50 * tick);
        if tick % 10 == 0 {
            // All peers except the first raise their heartbeats.
            for index in 1..9_u16 {
                let entry =
                    wire::NodeDelta { name: format!("q{index}"), ..delta(10 + tick, 0, None) };
                receive(&mut gossip, now, wire::NodeDelta { info: None, status: None, ..entry });
            }
        }
        for effect in gossip.step(now, Event::Tick) {
            let Effect::Pull { address, .. } = effect else { continue };
            let is_live_at = address.port() != 10;
            if now >= super::NODE_TIMEOUT && !is_live_at {
                pull_times.push(now);
            }
            gossip.step(
                now,
                Event::PullCompleted { address, response: is_live_at.then(Box::default) },
            );
        }
    }
    assert_eq!(pull_times.first(), Some(&super::NODE_TIMEOUT));
    assert!(
        pull_times.len() <= 2,
        "afterwards only in turn with other unreachable peers: {pull_times:?}"
    );
}

/// A node that learns of a later incarnation of its own name raises its incarnation above it, whatever the
/// wall clock says.
#[test]
fn a_node_raises_its_incarnation_above_a_later_one_of_its_name() {
    let now = Duration::from_secs(100);
    let mut gossip = Gossip::new(node_info("p", wire::Role::Proxy, 1), Vec::new(), 3, now);
    receive(&mut gossip, now, delta(9, 0, None));
    assert_eq!(gossip.node_version().incarnation, 8);
    receive(&mut gossip, now, delta(9, 0, None));
    assert_eq!(gossip.node_version().incarnation, 8);
}

/// Incident 0015: in a one-way partition a registry still receives pulls from other nodes, and replies from
/// the store on its own machine. These must not hide the partition: a registry whose pulls from all other
/// registries fail is partitioned.
#[test]
fn a_registry_that_only_receives_pulls_knows_that_it_is_partitioned() {
    let ms = Duration::from_millis;
    let mut gossip = Gossip::new(node_info("r0", wire::Role::Registry, 1), Vec::new(), 1, ms(0));
    let others = [("r1", wire::Role::Registry, 11), ("r2", wire::Role::Registry, 12)];
    let local_store = ("s0", wire::Role::Store, 13);
    let entry = |(name, role, port): (&str, wire::Role, u16), counter: u64| wire::NodeDelta {
        name: name.to_string(),
        info: Some(node_info(name, role, port)),
        ..delta(counter, 0, None)
    };
    let mut is_partitioned = Vec::new();
    let mut pulled_addresses: Vec<std::net::SocketAddr> = Vec::new();
    for tick in 0..160_u64 {
        let now = ms(50 * tick);
        for other in others.iter().chain([&local_store]) {
            // They continue to pull, which delivers their heartbeats.
            receive(&mut gossip, now, entry(*other, tick));
        }
        let is_partition_active = (ms(2000)..ms(6000)).contains(&now);
        tick_with(&mut gossip, &mut pulled_addresses, now, |port| {
            port == local_store.2 || !is_partition_active
        });
        is_partitioned.push((now, gossip.is_partitioned(now)));
    }
    let partitioned_between = |from: Duration, to: Duration| -> Vec<bool> {
        is_partitioned
            .iter()
            .filter(|(at, _)| (from..to).contains(at))
            .map(|sample| sample.1)
            .collect()
    };
    assert!(partitioned_between(ms(0), ms(4400)).iter().all(|cut| !cut), "not before the timeout");
    assert!(
        partitioned_between(ms(4800), ms(6000)).iter().all(|cut| *cut),
        "replies of the store on the same machine do not count"
    );
    assert!(
        partitioned_between(ms(6500), ms(8000)).iter().all(|cut| !cut),
        "it ends when the registries reply again"
    );
}

/// Registries that were replaced by others at new addresses, one after another, no longer count: a registry
/// is not partitioned when none of the original ones is left. When all stop replying at once, it is.
#[test]
fn replaced_registries_do_not_count_as_a_partition() {
    let ms = Duration::from_millis;
    let mut gossip = Gossip::new(node_info("r0", wire::Role::Registry, 1), Vec::new(), 1, ms(0));
    // Name, port, and the time in milliseconds during which the registry is live.
    let registries = [
        ("r1", 11, 0..6000),
        ("r2", 12, 0..12_000),
        ("r3", 13, 6500..40_000),
        ("r4", 14, 12_500..40_000),
    ];
    let mut pulled_addresses: Vec<std::net::SocketAddr> = Vec::new();
    let mut partitioned_at = Vec::new();
    for tick in 0..1000_u64 {
        let now = ms(50 * tick);
        let is_live_at = |port: u16| {
            registries
                .iter()
                .any(|registry| registry.1 == port && registry.2.contains(&(50 * tick as i32)))
        };
        for (name, port, _) in registries.iter().filter(|registry| is_live_at(registry.1)) {
            let info = Some(node_info(name, wire::Role::Registry, *port));
            receive(
                &mut gossip,
                now,
                wire::NodeDelta { name: name.to_string(), info, ..delta(tick, 0, None) },
            );
        }
        tick_with(&mut gossip, &mut pulled_addresses, now, is_live_at);
        if gossip.is_partitioned(now) {
            partitioned_at.push(now);
        }
    }
    let first = partitioned_at.first().copied().expect("partitioned when no registry replies");
    assert!((ms(42_000)..ms(43_500)).contains(&first), "{first:?}");
    assert_eq!(partitioned_at.last(), Some(&ms(49_950)), "partitioned until the end");
}
