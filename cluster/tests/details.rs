//! Which details a registry's answer holds (design 5.3).

mod common;

use common::card;
use std::time::Duration;
use vanepath_cluster::gossip::{Effect, Event, Gossip};
use vanepath_cluster::wire;

const NOW: Duration = Duration::from_secs(100);

fn detail(sights: usize, demand_milli: u32) -> wire::ProxyObservations {
    let sight = |index: usize| wire::ServerObservation {
        server: format!("server-{index}"),
        phase: wire::ServerPhase::Healthy,
        age_ms: 1_000_000,
        in_contact_ms: 1_000_000,
        load_milli: demand_milli,
        connection_refused: false,
    };
    wire::ProxyObservations {
        servers: (0..sights).map(sight).collect(),
        ..wire::ProxyObservations::default()
    }
}

fn delta(index: usize, number: u64, sights: usize) -> wire::NodeDelta {
    let name = format!("proxy-{index}");
    wire::NodeDelta {
        version: wire::NodeVersion {
            incarnation: 7,
            counter: number,
            status_version: 1,
            observations_version: number,
        },
        age_ms: 0,
        info: Some(card(&name, wire::Role::Proxy, 1000 + index as u16)),
        status: Some(wire::NodeStatus::default()),
        observations: Some(detail(sights, number as u32)),
        name,
    }
}

fn tell(news: &mut Gossip, deltas: Vec<wire::NodeDelta>) {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 3));
    let told = wire::PullResponse { nodes: deltas, ..wire::PullResponse::default() };
    news.step(NOW, Event::PullCompleted { address, response: Some(Box::new(told)) });
}

/// The registry `asked` answers `asker`'s pull when its time is up; the answer is told to the asker.
fn pull(asker: &mut Gossip, asked: &mut Gossip, ticket: u64) -> wire::PullResponse {
    pull_after(asker, asked, ticket, 700)
}

fn pull_after(
    asker: &mut Gossip,
    asked: &mut Gossip,
    ticket: u64,
    wait_ms: u32,
) -> wire::PullResponse {
    let pull = wire::PullRequest {
        known_versions: Some(
            asker.peers.iter().map(|one| (wire::name_hash(&one.info.name), one.version)).collect(),
        ),
        config_revision: 0,
        endpoint_list_revision: asker.endpoints.known_revision(),
        plan_version: wire::PlanVersion::default(),
        sender: wire::NodeDelta {
            name: asker.node_info().name.clone(),
            version: asker.node_version(),
            age_ms: 0,
            info: Some(asker.node_info().clone()),
            status: Some(asker.node_status().clone()),
            observations: None,
        },
        wait_ms,
        wants_observations: true,
        is_leaf: false,
        unreachable_digest: 0,
        list_read_age_ms: None,
    };
    let mut effects = asked.step(NOW, Event::PullReceived { ticket, request: pull });
    let until = NOW + Duration::from_millis(u64::from(wait_ms));
    effects.extend(asked.step(until, Event::Tick));
    let answer = effects.into_iter().find_map(|effect| match effect {
        Effect::Respond { ticket: of, response: news } if of == ticket => Some(news),
        _ => None,
    });
    let news = answer.expect("its time is up");
    tell(asker, news.nodes.clone());
    news
}

fn registry(name: &str, port: u16) -> Gossip {
    Gossip::new(card(name, wire::Role::Registry, port), Vec::new(), 1, NOW)
}

/// More than a reply holds comes with several, each within its bounds, and nothing is left out for good.
#[test]
fn details_that_one_reply_cannot_hold_come_with_the_next() {
    let (mut asked, mut asker) = (registry("r0", 1), registry("r1", 2));
    tell(&mut asked, (0..656).map(|index| delta(index, 3, 900)).collect());
    let weight = detail(900, 1).estimated_bytes();
    assert!(656 * weight > 4 * wire::MAX_OBSERVATION_BYTES, "{weight}");
    let known = |asker: &Gossip| {
        asker.peers.iter().filter(|one| one.observations.servers.len() == 900).count()
    };
    let mut rounds = 0;
    while known(&asker) < 656 {
        let before = known(&asker);
        let bytes = wire::encode(&pull(&mut asker, &mut asked, rounds)).len();
        assert!(bytes < wire::MAX_OBSERVATION_BYTES + (1 << 20), "{bytes}");
        assert!(known(&asker) > before, "{before} after {rounds}");
        assert_eq!(asker.peers.len(), 657, "all were heard of with the first reply");
        rounds += 1;
    }
    assert!(rounds < 16, "{rounds}");
    let rest = pull(&mut asker, &mut asked, 99);
    let mut proxies = rest.nodes.iter().filter(|one| one.name.starts_with("proxy-"));
    assert!(proxies.all(|one| one.observations.is_none()), "nothing twice");
}

/// Who heard a detail from its source tells it at once; a third only what the asker missed a round of.
#[test]
fn a_third_tells_details_only_after_a_round_was_missed() {
    let (mut first, mut third) = (registry("r0", 1), registry("r1", 2));
    let mut asker = registry("r2", 4);
    let own = |first: &mut Gossip, number: u64| {
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
    let seen = |news: &Gossip| {
        let one = news.peers.iter().find(|one| one.info.name == "proxy-0").unwrap();
        (one.version.observations_version, one.observations.servers[0].load_milli)
    };
    own(&mut first, 1);
    pull(&mut third, &mut first, 11);
    pull(&mut asker, &mut third, 1);
    assert_eq!([seen(&third), seen(&asker)], [(1, 1); 2], "of a new source everything is told");
    own(&mut first, 2);
    pull(&mut third, &mut first, 12);
    assert_eq!(seen(&third), (2, 2));
    pull(&mut asker, &mut third, 2);
    assert_eq!(seen(&asker), (1, 1), "the first will tell");
    own(&mut first, 3);
    pull(&mut third, &mut first, 13);
    pull(&mut asker, &mut third, 3);
    assert_eq!(seen(&asker), (3, 3), "the first did not");
    own(&mut first, 4);
    pull(&mut asker, &mut first, 14);
    assert_eq!(seen(&asker), (4, 4));
    own(&mut first, 5);
    pull(&mut third, &mut first, 15);
    pull_after(&mut asker, &mut third, 16, 0);
    assert_eq!(seen(&asker), (5, 5), "who just started or woke gets all there is");
}

fn list(
    revision: u64,
    leaving: &[u64],
) -> std::sync::Arc<vanepath_config::endpoint_list::EndpointList> {
    let one = |number: u64| vanepath_config::endpoint_list::Server {
        id: format!("s{number}"),
        address: ([127, 0, 0, 1], 9000 + number as u16).into(),
        region: "a".to_string(),
        zone: "a1".to_string(),
        labels: Default::default(),
        draining: leaving.contains(&number),
        warming_up: false,
        concurrency: 2,
    };
    let servers = (0..50).map(one).collect();
    std::sync::Arc::new(vanepath_config::endpoint_list::EndpointList { revision, servers })
}

/// Who has a list that the teller knows is told what changed; who has another one under the same
/// revision finds that out, asks for the whole list and has it.
#[test]
fn a_list_is_told_by_what_changed_and_whole_where_that_leads_astray() {
    let (mut teller, mut asker, mut astray) =
        (registry("r0", 1), registry("r1", 2), registry("r2", 4));
    let hear = |news: &mut Gossip, list| {
        news.step(NOW, Event::EndpointListReceived(list));
    };
    hear(&mut teller, list(1, &[]));
    hear(&mut asker, list(1, &[]));
    hear(&mut astray, list(1, &[7]));
    hear(&mut teller, list(2, &[3]));
    let pulled = |asker: &mut Gossip, teller: &mut Gossip, ticket: u64| {
        let told = pull(asker, teller, ticket);
        let news = Some(Box::new(told.clone()));
        asker.step(
            NOW,
            Event::PullCompleted { address: teller.node_info().cluster_address, response: news },
        );
        told
    };
    let told = pulled(&mut asker, &mut teller, 1);
    assert!(told.endpoint_list.is_none() && told.endpoint_list_delta.unwrap().changed.len() == 1);
    assert_eq!(asker.endpoints.current(), teller.endpoints.current());
    pulled(&mut astray, &mut teller, 2);
    assert_eq!(astray.endpoints.current().revision, 1, "it does not lead there");
    let told = pulled(&mut astray, &mut teller, 3);
    assert!(told.endpoint_list.is_some());
    assert_eq!(astray.endpoints.current(), teller.endpoints.current());
}

/// What a registry hears of others of its kind, and whether its next pulls ask for details.
fn asks_for_details(news: &mut Gossip, now: Duration) -> bool {
    let effects = news.step(now, Event::Tick);
    let pulls = effects.iter().filter_map(|effect| match effect {
        Effect::Pull { request: pull, .. } => Some(pull.wants_observations),
        _ => None,
    });
    let asked: Vec<bool> = pulls.collect();
    assert!(!asked.is_empty() && asked.iter().all(|one| *one == asked[0]));
    asked[0]
}

fn others(names: &[&str], leaving: bool) -> Vec<wire::NodeDelta> {
    let other = |name: &&str| wire::NodeDelta {
        name: name.to_string(),
        version: wire::NodeVersion {
            incarnation: 7,
            counter: 1,
            status_version: 1,
            observations_version: 0,
        },
        age_ms: 0,
        info: Some(card(name, wire::Role::Registry, 100 + u16::from(name.as_bytes()[1]))),
        status: Some(wire::NodeStatus { draining: leaving, ..wire::NodeStatus::default() }),
        observations: None,
    };
    names.iter().map(other).collect()
}

/// The registry that has the duty and the one that would take it over hear details, no other: they would
/// be told to all, and are most of what registries tell each other.
#[test]
fn the_first_two_registries_hear_details() {
    for (name, is_heard) in [("r0", true), ("r1", true), ("r2", false), ("r4", false)] {
        let mut news = registry(name, 1);
        let names: Vec<&str> =
            ["r0", "r1", "r2", "r3", "r4"].into_iter().filter(|one| *one != name).collect();
        tell(&mut news, others(&names, false));
        assert_eq!(asks_for_details(&mut news, NOW), is_heard, "{name}");
    }
    // Those that leave do not count.
    let mut news = registry("r2", 1);
    tell(&mut news, others(&["r0"], true));
    tell(&mut news, others(&["r1", "r3"], false));
    assert!(asks_for_details(&mut news, NOW));
}

/// A registry that is asked for what proxies see begins to hear it, and knows when it has all.
#[test]
fn a_registry_that_is_asked_hears_details() {
    let mut news = registry("r2", 1);
    tell(&mut news, others(&["r0", "r1"], false));
    let second = |count: u64| NOW + Duration::from_secs(count);
    news.step(NOW, Event::Tick);
    assert!(!news.has_observations(second(100)), "it hears none");
    news.step(second(1), Event::ObservationsWanted);
    assert!(!news.has_observations(second(2)) && news.has_observations(second(3)));
}
