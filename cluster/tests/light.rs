//! Daemons that registries serve (design 5.3): who is live for them, and what makes them fresh.

mod common;

use common::card;
use std::net::SocketAddr;
use std::time::Duration;
use vanepath_cluster::gossip::{Effect, Event, Gossip};
use vanepath_cluster::wire;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn delta(name: &str, role: wire::Role, port: u16, report: wire::NodeStatus) -> wire::NodeDelta {
    wire::NodeDelta {
        name: name.to_string(),
        version: wire::NodeVersion {
            incarnation: 5,
            counter: 1,
            status_version: 1,
            observations_version: 0,
        },
        age_ms: 0,
        info: Some(card(name, role, port)),
        status: Some(report),
        observations: None,
    }
}

fn told(
    news: &mut Gossip,
    now: Duration,
    port: u16,
    deltas: Vec<wire::NodeDelta>,
    silent: Option<&[&str]>,
) {
    let names = |names: &[&str]| {
        let mut names: Vec<u32> = names.iter().map(|name| wire::name_hash(name)).collect();
        names.sort_unstable();
        names
    };
    let told = wire::PullResponse {
        nodes: deltas,
        unreachable: silent.map(names),
        ..wire::PullResponse::default()
    };
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    news.step(now, Event::PullCompleted { address, response: Some(Box::new(told)) });
}

fn pulled(effects: Vec<Effect>) -> Vec<u16> {
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

/// After all processes were killed no registry is ready yet: a store that has asked a majority since it
/// runs vouches for the word at once, and one that has not does not.
#[test]
fn a_settled_store_makes_fresh_at_once() {
    for settled in [false, true] {
        let seeds = vec![SocketAddr::from(([127, 0, 0, 1], 7))];
        let mut news = Gossip::new(card("p", wire::Role::Proxy, 1), seeds, 9, ms(0));
        news.step(ms(10), Event::Tick);
        let report =
            wire::NodeStatus { ready: true, synced: settled, ..wire::NodeStatus::default() };
        told(&mut news, ms(50), 7, vec![delta("s", wire::Role::Store, 7, report)], None);
        assert_eq!(news.is_fresh(ms(60)), settled);
    }
}

/// It goes by what registries say: who is silent for all that speak is not live, whom one of them holds
/// for live is, and while none speaks nobody is judged.
#[test]
fn a_light_daemon_goes_by_what_registries_say() {
    let mut news = Gossip::new(card("p0", wire::Role::Proxy, 1), Vec::new(), 9, ms(0));
    let whole =
        wire::NodeStatus { ready: true, hears_majority: true, ..wire::NodeStatus::default() };
    let deltas = vec![
        delta("r1", wire::Role::Registry, 11, whole.clone()),
        delta("r2", wire::Role::Registry, 12, whole),
        delta("p1", wire::Role::Proxy, 2, wire::NodeStatus::default()),
        delta("p2", wire::Role::Proxy, 3, wire::NodeStatus::default()),
    ];
    told(&mut news, ms(100), 11, deltas, Some(&[]));
    news.step(ms(150), Event::Tick);
    let live = |news: &Gossip, now: Duration| {
        let mut names: Vec<String> = news.live(now).map(|one| one.0.name.clone()).collect();
        names.sort_unstable();
        names.join(" ")
    };
    for now in (200..8000).step_by(50) {
        news.step(ms(now), Event::Tick);
        if now % 500 == 0 {
            told(&mut news, ms(now), 11, Vec::new(), Some(&["p1"]));
            told(&mut news, ms(now), 12, Vec::new(), Some(if now < 4000 { &[] } else { &["p1"] }));
        }
        if now == 3900 {
            assert_eq!(live(&news, ms(now)), "p0 p1 p2 r1 r2", "one registry hears it");
        }
    }
    assert_eq!(live(&news, ms(8000)), "p0 p2 r1 r2");
    // Both fall silent: they are not live any more, and nobody else is judged by that.
    for now in (8000..14_000).step_by(50) {
        news.step(ms(now), Event::Tick);
    }
    assert_eq!(live(&news, ms(14_000)), "p0 p2");
}

/// A proxy pulls from two registries, and from any that does not hear from most others; a store from
/// all other stores too.
#[test]
fn whom_light_daemons_pull_from() {
    for (role, is_apart, wanted) in [
        (wire::Role::Proxy, false, "two of 11 12 13"),
        (wire::Role::Proxy, true, "11 12 13"),
        (wire::Role::Store, false, "two of 11 12 13, 21 22"),
    ] {
        let seeds = vec![SocketAddr::from(([127, 0, 0, 1], 11))];
        let mut news = Gossip::new(card("x", role, 1), seeds, 9, ms(0));
        news.step(ms(10), Event::Tick);
        let report = |whole| wire::NodeStatus {
            ready: true,
            hears_majority: whole,
            ..wire::NodeStatus::default()
        };
        let mut deltas: Vec<wire::NodeDelta> = (0..4)
            .map(|index| delta(&format!("p{index}"), wire::Role::Proxy, 30 + index, report(false)))
            .collect();
        for (port, whole) in [(11, true), (12, true), (13, !is_apart)] {
            deltas.push(delta(&format!("r{port}"), wire::Role::Registry, port, report(whole)));
        }
        for port in [21, 22] {
            deltas.push(delta(&format!("s{port}"), wire::Role::Store, port, report(false)));
        }
        // The seed replies, and again; from then on lines are chosen by what is known.
        told(&mut news, ms(100), 11, deltas, Some(&[]));
        let mut ports = vec![11];
        for now in [150, 200, 250] {
            ports.extend(pulled(news.step(ms(now), Event::Tick)));
        }
        ports.sort_unstable();
        ports.dedup();
        let registries = ports.iter().filter(|port| **port < 20).count();
        let stores = ports.iter().filter(|port| (20..30).contains(*port)).count();
        let proxies = ports.iter().filter(|port| **port >= 30).count();
        let counted = match (registries, stores, proxies) {
            (2, 0, 0) => "two of 11 12 13",
            (3, 0, 0) => "11 12 13",
            (2, 2, 0) => "two of 11 12 13, 21 22",
            _ => "others",
        };
        assert_eq!(counted, wanted, "{ports:?}");
    }
}
