//! Leaves, the nodes that pull from registries (design 5.3): which peers they consider live, and what makes
//! them fresh.

mod common;

use common::node_info;
use std::net::SocketAddr;
use std::time::Duration;
use vanepath_cluster::gossip::{Effect, Event, Gossip};
use vanepath_cluster::wire;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn delta(name: &str, role: wire::Role, port: u16, status: wire::NodeStatus) -> wire::NodeDelta {
    wire::NodeDelta {
        name: name.to_string(),
        version: wire::NodeVersion {
            incarnation: 5,
            counter: 1,
            status_version: 1,
            observations_version: 0,
        },
        age_ms: 0,
        info: Some(node_info(name, role, port)),
        status: Some(status),
        observations: None,
    }
}

fn receive(
    gossip: &mut Gossip,
    now: Duration,
    port: u16,
    deltas: Vec<wire::NodeDelta>,
    unreachable: Option<&[&str]>,
) {
    let names = |names: &[&str]| {
        let mut names: Vec<u32> = names.iter().map(|name| wire::name_hash(name)).collect();
        names.sort_unstable();
        names
    };
    let response = wire::PullResponse {
        nodes: deltas,
        unreachable: unreachable.map(names),
        ..wire::PullResponse::default()
    };
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    gossip.step(now, Event::PullCompleted { address, response: Some(Box::new(response)) });
}

fn pulled_ports(effects: Vec<Effect>) -> Vec<u16> {
    let mut ports: Vec<u16> = effects
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Pull { address, .. } => Some(address.port()),
            _ => None,
        })
        .collect();
    ports.sort_unstable();
    ports
}

/// After a restart of all processes no registry is ready yet. A reply of a store that has queried a majority
/// since it started makes a node fresh at once; a reply of a store that has not does not.
#[test]
fn a_synced_store_makes_fresh_at_once() {
    for is_synced in [false, true] {
        let seeds = vec![SocketAddr::from(([127, 0, 0, 1], 7))];
        let mut gossip = Gossip::new(node_info("p", wire::Role::Proxy, 1), seeds, 9, ms(0));
        gossip.step(ms(10), Event::Tick);
        let status =
            wire::NodeStatus { ready: true, synced: is_synced, ..wire::NodeStatus::default() };
        receive(&mut gossip, ms(50), 7, vec![delta("s", wire::Role::Store, 7, status)], None);
        assert_eq!(gossip.is_fresh(ms(60)), is_synced);
    }
}

/// A leaf relies on the reports of registries: a peer is not live if all of them list it as unreachable, and
/// live if any does not. While no registry reports, no peer but the registries becomes unreachable.
#[test]
fn a_leaf_determines_live_peers_from_the_reports_of_registries() {
    let mut gossip = Gossip::new(node_info("p0", wire::Role::Proxy, 1), Vec::new(), 9, ms(0));
    let majority_status =
        wire::NodeStatus { ready: true, hears_majority: true, ..wire::NodeStatus::default() };
    let deltas = vec![
        delta("r1", wire::Role::Registry, 11, majority_status.clone()),
        delta("r2", wire::Role::Registry, 12, majority_status),
        delta("p1", wire::Role::Proxy, 2, wire::NodeStatus::default()),
        delta("p2", wire::Role::Proxy, 3, wire::NodeStatus::default()),
    ];
    receive(&mut gossip, ms(100), 11, deltas, Some(&[]));
    gossip.step(ms(150), Event::Tick);
    let live = |gossip: &Gossip, now: Duration| {
        let mut names: Vec<String> = gossip.live(now).map(|node| node.0.name.clone()).collect();
        names.sort_unstable();
        names.join(" ")
    };
    for now in (200..8000).step_by(50) {
        gossip.step(ms(now), Event::Tick);
        if now % 500 == 0 {
            receive(&mut gossip, ms(now), 11, Vec::new(), Some(&["p1"]));
            receive(
                &mut gossip,
                ms(now),
                12,
                Vec::new(),
                Some(if now < 4000 { &[] } else { &["p1"] }),
            );
        }
        if now == 3900 {
            assert_eq!(live(&gossip, ms(now)), "p0 p1 p2 r1 r2", "one registry has its heartbeats");
        }
    }
    assert_eq!(live(&gossip, ms(8000)), "p0 p2 r1 r2");
    // Both registries stop replying: they are no longer live, and no other peer becomes unreachable.
    for now in (8000..14_000).step_by(50) {
        gossip.step(ms(now), Event::Tick);
    }
    assert_eq!(live(&gossip, ms(14_000)), "p0 p2");
}

/// A proxy pulls from two registries, and from any registry that does not hear from a majority; a store also
/// pulls from all other stores.
#[test]
fn leaves_pull_from_two_registries_and_from_those_without_a_majority() {
    for (role, has_minority, expected) in [
        (wire::Role::Proxy, false, "two of 11 12 13"),
        (wire::Role::Proxy, true, "11 12 13"),
        (wire::Role::Store, false, "two of 11 12 13, 21 22"),
    ] {
        let seeds = vec![SocketAddr::from(([127, 0, 0, 1], 11))];
        let mut gossip = Gossip::new(node_info("x", role, 1), seeds, 9, ms(0));
        gossip.step(ms(10), Event::Tick);
        let status = |hears_majority| wire::NodeStatus {
            ready: true,
            hears_majority,
            ..wire::NodeStatus::default()
        };
        let mut deltas: Vec<wire::NodeDelta> = (0..4)
            .map(|index| delta(&format!("p{index}"), wire::Role::Proxy, 30 + index, status(false)))
            .collect();
        for (port, hears_majority) in [(11, true), (12, true), (13, !has_minority)] {
            deltas.push(delta(
                &format!("r{port}"),
                wire::Role::Registry,
                port,
                status(hears_majority),
            ));
        }
        for port in [21, 22] {
            deltas.push(delta(&format!("s{port}"), wire::Role::Store, port, status(false)));
        }
        // The seed replies; from then on the node pulls from addresses selected among known peers.
        receive(&mut gossip, ms(100), 11, deltas, Some(&[]));
        let mut ports = vec![11];
        for now in [150, 200, 250] {
            ports.extend(pulled_ports(gossip.step(ms(now), Event::Tick)));
        }
        ports.sort_unstable();
        ports.dedup();
        let registries = ports.iter().filter(|port| **port < 20).count();
        let stores = ports.iter().filter(|port| (20..30).contains(*port)).count();
        let proxies = ports.iter().filter(|port| **port >= 30).count();
        let selected = match (registries, stores, proxies) {
            (2, 0, 0) => "two of 11 12 13",
            (3, 0, 0) => "11 12 13",
            (2, 2, 0) => "two of 11 12 13, 21 22",
            _ => "others",
        };
        assert_eq!(selected, expected, "{ports:?}");
    }
}
