//! The floor, rule by rule (design 5.8): what a daemon that started must have before it goes by a word.

mod common;

use common::card;
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

fn delta(name: &str, role: Role, port: u16, report: wire::NodeStatus) -> wire::NodeDelta {
    wire::NodeDelta {
        name: name.to_string(),
        version: wire::NodeVersion {
            incarnation: 5,
            counter: report.revision + 1,
            status_version: 1,
            observations_version: 0,
        },
        age_ms: 0,
        info: Some(card(name, role, port)),
        status: Some(report),
        observations: None,
    }
}

fn word(revision: u64) -> wire::CommittedConfig {
    wire::CommittedConfig { revision, ..wire::CommittedConfig::default() }
}

fn ready(revision: u64) -> wire::NodeStatus {
    wire::NodeStatus { ready: true, revision, ..wire::NodeStatus::default() }
}

fn proxy(seeds: Vec<std::net::SocketAddr>) -> Gossip {
    Gossip::new(card("p", Role::Proxy, 1), seeds, 1, START)
}

fn view(news: &Gossip, now: Duration) -> ClusterView {
    ClusterView::from_gossip(news, &ClusterView::default(), now).0
}

/// A registry at port 2 replies with a word and with the highest revision that it knows as in force.
fn reply(news: &mut Gossip, now: Duration, revision: u64, floor: u64) -> Vec<Effect> {
    news.step(now, Event::Tick);
    let told = wire::PullResponse {
        nodes: vec![delta("r", Role::Registry, 2, ready(revision))],
        config: Some(word(revision)),
        read_index: Some(floor),
        ..wire::PullResponse::default()
    };
    news.step(now, Event::PullCompleted { address: address(2), response: Some(Box::new(told)) })
}

/// The report that it tells others, by the answer to a sibling's pull.
fn told_by(news: &mut Gossip, now: Duration, asker_revision: u64) -> wire::PullResponse {
    let pull = wire::PullRequest {
        known_versions: Some(Vec::new()),
        config_revision: 0,
        endpoint_list_revision: 0,
        plan_version: wire::PlanVersion::default(),
        sender: delta("q", Role::Proxy, 9, ready(asker_revision)),
        wait_ms: 0,
        wants_observations: false,
        is_leaf: false,
        unreachable_digest: 0,
        list_read_age_ms: None,
    };
    let effects = news.step(now, Event::PullReceived { ticket: 1, request: pull });
    let answer = effects.into_iter().find_map(|effect| match effect {
        Effect::Respond { response: news, .. } => Some(news),
        _ => None,
    });
    answer.expect("it does not wait")
}

/// A ready registry that lags makes nobody go by its word: that takes what a majority of stores holds.
#[test]
fn a_lagging_registry_is_not_enough() {
    let mut news = proxy(vec![address(2)]);
    reply(&mut news, ms(10), 3, 3);
    assert!(news.is_fresh(ms(10)), "the news are of now");
    assert!(!view(&news, ms(10)).is_fresh, "and the word may be old");
    assert_eq!(view(&news, ms(10)).active_revision(), 0);
    news.step(ms(20), Event::ReadIndexReceived { address: address(3), revision: Some(5) });
    assert!(!view(&news, ms(20)).is_fresh, "it has 3 of 5");
    reply(&mut news, ms(30), 5, 5);
    let view = view(&news, ms(30));
    assert!(view.is_fresh);
    assert_eq!(view.active_revision(), 5);
    let met = view.read_index.unwrap();
    assert_eq!(
        (met.revision, met.source, met.waited),
        (5, ReadIndexSource::Quorum, Duration::from_millis(30))
    );
}

/// What is held back is neither offered nor told as in force; later it is both.
#[test]
fn nothing_is_offered_or_told_before_the_floor_is_met() {
    let mut news = proxy(vec![address(2)]);
    reply(&mut news, ms(10), 3, 3);
    news.step(ms(10), Event::StatusChanged(ready(3)));
    let told = told_by(&mut news, ms(20), 0);
    assert!(told.config.is_none());
    let own = |told: &wire::PullResponse| {
        let own = told.nodes.iter().find(|delta| delta.name == "p").unwrap();
        own.status.as_ref().unwrap().revision
    };
    assert_eq!(own(&told), 0);
    news.step(ms(30), Event::ReadIndexReceived { address: address(3), revision: Some(3) });
    news.step(ms(30), Event::StatusChanged(ready(3)));
    let told = told_by(&mut news, ms(40), 0);
    assert_eq!((told.config.unwrap().revision, told.read_index), (3, Some(3)));
}

/// Whoever heard what a name went by, or what anyone did, tells it to those who go by nothing yet.
#[test]
fn a_witness_tells_what_was_in_force() {
    let mut witness = Gossip::new(card("r", Role::Registry, 2), Vec::new(), 1, START);
    told_by(&mut witness, ms(10), 7);
    let told = told_by(&mut witness, ms(20), 7);
    assert_eq!(told.read_index, None, "it goes by a word already");
    // The next life of that name.
    let told = told_by(&mut witness, ms(30), 0);
    assert_eq!(told.read_index, Some(7), "a lower report does not take it back");
    assert_eq!(witness.highest_active_revisions().get("q"), Some(&7));
}

/// Without a majority of stores a daemon waits two seconds and goes by no less than any witness told.
#[test]
fn without_a_majority_the_highest_witness_counts() {
    let mut news = proxy(vec![address(2)]);
    reply(&mut news, ms(10), 3, 7);
    let late = PEER_READ_INDEX_DELAY.as_millis() as u64 + 50;
    for at in (50..late).step_by(50) {
        news.step(ms(at), Event::Tick);
    }
    reply(&mut news, ms(late), 3, 3);
    assert!(!view(&news, ms(late)).is_fresh, "one witness knows of 7");
    assert_eq!(view(&news, ms(late)).required_revision, Some(7));
    reply(&mut news, ms(late + 50), 7, 7);
    let met = view(&news, ms(late + 50)).read_index.unwrap();
    assert_eq!((met.revision, met.source, met.from.as_str()), (7, ReadIndexSource::Peers, "r"));
}

/// Who hears of no more than half of those it knows of may be cut off together with them: it waits.
#[test]
fn a_cut_off_part_is_no_witness() {
    let mut news = proxy(vec![address(2)]);
    news.step(START, Event::Tick);
    let mut deltas: Vec<wire::NodeDelta> = (0..3_u16)
        .map(|index| {
            let lost = delta(&format!("q{index}"), Role::Proxy, 20 + index, ready(3));
            wire::NodeDelta { age_ms: 60_000, ..lost }
        })
        .collect();
    deltas.push(delta("r", Role::Registry, 2, ready(3)));
    let told = wire::PullResponse {
        nodes: deltas,
        config: Some(word(3)),
        read_index: Some(3),
        ..Default::default()
    };
    news.step(ms(10), Event::PullCompleted { address: address(2), response: Some(Box::new(told)) });
    for at in (50..2950).step_by(50) {
        news.step(ms(at), Event::Tick);
    }
    assert!(view(&news, ms(2900)).read_index.is_none(), "two of five");
}

/// A store's own word was seen with a majority since it started; what siblings told it was not.
#[test]
fn a_store_finds_the_floor_by_itself() {
    let mut news = Gossip::new(card("s", Role::Store, 1), vec![address(2)], 1, START);
    let effects = reply(&mut news, ms(10), 3, 3);
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::RequestReadIndex { .. })));
    assert!(told_by(&mut news, ms(20), 0).config.is_none());
    news.step(ms(30), Event::ConfigCommitted(Arc::new(word(4))));
    assert_eq!(told_by(&mut news, ms(40), 0).config.unwrap().revision, 4);
}

/// Once any store that votes is known of, the first in the order of seats is asked, and the nearest beside
/// it; then the next one while none can tell.
#[test]
fn stores_are_asked_in_the_order_of_their_seats() {
    let asked = |effects: &[Effect]| -> Vec<u16> {
        let asks = effects.iter().filter_map(|effect| match effect {
            Effect::RequestReadIndex { address } => Some(address.port()),
            _ => None,
        });
        asks.collect()
    };
    let mut news = proxy(vec![address(2)]);
    assert_eq!(asked(&news.step(START, Event::Tick)), [0_u16; 0], "none is known of");
    let store = |name: &str, port: u16, seat: u8, votes: bool, zone: &str| {
        let disk = Some(wire::DiskStatus { slot: Some(seat), ..wire::DiskStatus::default() });
        let report = wire::NodeStatus { disk, ..wire::NodeStatus { ready: votes, ..ready(0) } };
        let told = delta(name, Role::Store, port, report);
        let card = wire::NodeInfo { zone: zone.to_string(), ..told.info.clone().unwrap() };
        wire::NodeDelta { info: Some(card), ..told }
    };
    let deltas = vec![
        store("s1", 11, 1, true, "a1"),
        store("s0", 10, 0, true, "b1"),
        store("s2", 12, 2, false, "a1"),
    ];
    let told = wire::PullResponse { nodes: deltas, ..wire::PullResponse::default() };
    let told = Event::PullCompleted { address: address(2), response: Some(Box::new(told)) };
    assert_eq!(asked(&news.step(ms(10), told)), [10, 11], "with the reply that tells of them");
    let mut ports = Vec::new();
    for at in (50..1000).step_by(50) {
        ports.extend(asked(&news.step(ms(at), Event::Tick)));
    }
    assert_eq!(ports, [11, 10, 11], "one each {NEXT_STORE_DELAY:?}");
    // One that cannot tell holds up the next by a little only.
    news.step(ms(1000), Event::ReadIndexReceived { address: address(11), revision: None });
    let soon: Vec<u16> =
        (1050..1150).step_by(50).flat_map(|at| asked(&news.step(ms(at), Event::Tick))).collect();
    assert_eq!(soon, [10]);
    news.step(ms(1150), Event::ReadIndexReceived { address: address(10), revision: Some(0) });
    let after: Vec<u16> =
        (1200..3000).step_by(50).flat_map(|at| asked(&news.step(ms(at), Event::Tick))).collect();
    assert!(after.is_empty(), "it has what it asked for: {after:?}");
}

/// A region that is cut off as a whole remembers what its daemons went by: more than half of it are
/// witnesses enough, though most of the fleet is out of reach.
#[test]
fn more_than_half_of_its_own_region_are_witnesses() {
    let far = |index: u16| {
        let lost = delta(&format!("q{index}"), Role::Proxy, 20 + index, ready(3));
        let card = wire::NodeInfo { region: "b".to_string(), ..lost.info.clone().unwrap() };
        wire::NodeDelta { age_ms: 60_000, info: Some(card), ..lost }
    };
    let near_lost = |index: u16| {
        let lost = delta(&format!("n{index}"), Role::Proxy, 40 + index, ready(3));
        wire::NodeDelta { age_ms: 60_000, ..lost }
    };
    for (lost_near, waits_on) in [(1, false), (2, true)] {
        let mut news = proxy(vec![address(2)]);
        news.step(START, Event::Tick);
        let mut deltas: Vec<wire::NodeDelta> = (0..6).map(far).collect();
        deltas.extend((0..lost_near).map(near_lost));
        deltas.push(delta("r", Role::Registry, 2, ready(3)));
        let told = wire::PullResponse {
            nodes: deltas,
            config: Some(word(3)),
            read_index: Some(3),
            ..Default::default()
        };
        news.step(
            ms(10),
            Event::PullCompleted { address: address(2), response: Some(Box::new(told)) },
        );
        for at in (50..2150).step_by(50) {
            assert!(at > 2000 || view(&news, ms(at)).read_index.is_none(), "two seconds first");
            news.step(ms(at), Event::Tick);
        }
        let met = view(&news, ms(2150)).read_index;
        assert_eq!(met.is_none(), waits_on, "{lost_near} of the region lost: {met:?}");
    }
}

/// A freeze takes away no word, and who slept before it had a floor counts its witnesses anew.
#[test]
fn a_freeze_before_the_floor_begins_the_wait_anew() {
    let mut floor = ReadIndex::new(START);
    floor.on_peer_reply("r", 3);
    floor.restart_wait(ms(9000));
    assert!(!floor.check(ms(9100), 3, true));
    assert!(floor.check(ms(11_050), 3, true));
    floor.restart_wait(ms(20_000));
    assert!(floor.established().is_some());
}

/// The first majority's word is the floor: what is accepted meanwhile does not push it up for good.
#[test]
fn a_storm_of_changes_does_not_move_the_floor() {
    let mut floor = ReadIndex::new(START);
    floor.on_store_reply(ms(10), "s0", Some(5));
    floor.on_store_reply(ms(20), "s1", Some(9));
    floor.on_peer_reply("r", 12);
    assert_eq!(floor.required(), Some(5));
    assert!(!floor.check(ms(30), 4, true));
    assert!(floor.check(ms(40), 5, true));
    assert!(!floor.check(ms(50), 6, true), "said once");
}
