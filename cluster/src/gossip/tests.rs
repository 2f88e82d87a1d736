use super::{Effect, Event, Gossip};
use crate::wire;
use std::time::Duration;

fn card(name: &str, role: wire::Role, port: u16) -> wire::NodeInfo {
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

fn delta(counter: u64, detail: u64, in_hand: Option<u32>) -> wire::NodeDelta {
    wire::NodeDelta {
        name: "p".to_string(),
        version: wire::NodeVersion {
            incarnation: 7,
            counter,
            status_version: 1,
            observations_version: detail,
        },
        age_ms: 0,
        info: Some(card("p", wire::Role::Proxy, 2)),
        status: Some(wire::NodeStatus::default()),
        observations: in_hand.map(|one| wire::ProxyObservations {
            in_flight: vec![one],
            ..wire::ProxyObservations::default()
        }),
    }
}

fn tell(news: &mut Gossip, now: Duration, delta: wire::NodeDelta) {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 3));
    let told = wire::PullResponse { nodes: vec![delta], ..wire::PullResponse::default() };
    news.step(now, Event::PullCompleted { address, response: Some(Box::new(told)) });
}

/// A pulse: the pulls of the one before come back, with a reply from the ports that have one, and new ones
/// go out.
fn beat_with(
    news: &mut Gossip,
    asked: &mut Vec<std::net::SocketAddr>,
    now: Duration,
    replies: impl Fn(u16) -> bool,
) {
    let mut effects = Vec::new();
    for address in std::mem::take(asked) {
        let told = replies(address.port()).then(Box::default);
        effects.extend(news.step(now, Event::PullCompleted { address, response: told }));
    }
    effects.extend(news.step(now, Event::Tick));
    asked.extend(effects.into_iter().filter_map(|effect| match effect {
        Effect::Pull { address, .. } => Some(address),
        _ => None,
    }));
}

/// A detail that comes by a slower way than the beats is news all the same, and never goes back.
#[test]
fn a_late_detail_is_taken_and_an_older_one_is_not() {
    let now = Duration::from_secs(100);
    let mut news = Gossip::new(card("r", wire::Role::Registry, 1), Vec::new(), 1, now);
    let seen =
        |news: &Gossip| (news.peers[0].version, news.peers[0].observations.in_flight.clone());
    tell(&mut news, now, delta(9, 1, Some(1)));
    tell(&mut news, now, delta(20, 3, None));
    assert_eq!(seen(&news).0.observations_version, 1, "what was not told is not known");
    tell(&mut news, now, delta(15, 3, Some(3)));
    assert_eq!(
        seen(&news),
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
    tell(&mut news, now, delta(21, 2, Some(2)));
    assert_eq!(seen(&news).1, [3]);
    // The same from the other side: an asker that has later beats still gets the detail.
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
    let effects = news.step(now, Event::PullReceived { ticket: 1, request: pull });
    let answer = effects.into_iter().find_map(|effect| match effect {
        Effect::Respond { response: news, .. } => Some(news),
        _ => None,
    });
    let told = answer.unwrap().nodes.into_iter().find(|delta| delta.name == "p").unwrap();
    assert_eq!(told.observations.unwrap().in_flight, [3]);
}

/// What a registry told before a freeze, and what comes in first after it, makes nothing fresh:
/// only what was asked for afterwards does.
#[test]
fn a_reply_from_before_a_freeze_makes_nothing_fresh() {
    let second = Duration::from_secs_f64;
    let registry = card("r", wire::Role::Registry, 2);
    let address = registry.cluster_address;
    let seeds = vec![address];
    let mut news = Gossip::new(card("p", wire::Role::Proxy, 1), seeds, 1, second(100.0));
    let told = || {
        let report = wire::NodeStatus { ready: true, ..wire::NodeStatus::default() };
        let delta = wire::NodeDelta {
            name: "r".to_string(),
            version: wire::NodeVersion {
                incarnation: 5,
                counter: 1,
                status_version: 1,
                observations_version: 0,
            },
            age_ms: 0,
            info: Some(card("r", wire::Role::Registry, 2)),
            status: Some(report),
            observations: None,
        };
        let news = wire::PullResponse { nodes: vec![delta], ..wire::PullResponse::default() };
        Event::PullCompleted { address, response: Some(Box::new(news)) }
    };
    news.step(second(100.0), Event::Tick);
    news.step(second(100.1), told());
    assert!(news.is_fresh(second(100.1)));
    news.step(second(100.15), Event::Tick);
    // Frozen for six seconds with a pull out; its reply lay there and is the first to be read.
    news.step(second(106.0), told());
    news.step(second(106.0), Event::Tick);
    assert!(!news.is_fresh(second(106.0)), "that was told before the freeze");
    news.step(second(106.1), told());
    assert!(news.is_fresh(second(106.1)));
}

/// Whose connection ended is asked itself; where nobody listens it is dead at once, whatever older
/// news of it still goes round, and live again with the first newer word.
#[test]
fn who_is_refused_is_dead_at_once_until_heard_of_anew() {
    let ms = Duration::from_millis;
    let mut news = Gossip::new(card("r", wire::Role::Registry, 1), Vec::new(), 1, ms(0));
    tell(&mut news, ms(10_000), delta(9, 0, None));
    let is_live = |news: &Gossip, now| news.live(now).any(|(card, _)| card.name == "p");
    assert!(is_live(&news, ms(10_000)));
    // Its pull waits here; then its connection ends.
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
    news.step(ms(10_100), Event::PullReceived { ticket: 7, request: pull.clone() });
    let address = card("p", wire::Role::Proxy, 2).cluster_address;
    for effect in news.step(ms(10_101), Event::Tick) {
        if let Effect::Pull { address, .. } = effect {
            news.step(ms(10_102), Event::PullCompleted { address, response: Some(Box::default()) });
        }
    }
    let mut pull = pull;
    pull.sender = delta(11, 0, None);
    pull.known_versions = Some(vec![(
        wire::name_hash("r"),
        wire::NodeVersion { incarnation: 1, ..news.node_version() },
    )]);
    news.step(ms(10_200), Event::PullReceived { ticket: 8, request: pull });
    news.step(ms(10_300), Event::PullAbandoned { ticket: 8 });
    news.step(ms(10_350), Event::Tick);
    news.step(ms(10_351), Event::ConnectionRefused { address });
    assert!(!is_live(&news, ms(10_352)), "nobody listens there");
    // A third tells of it as it was before that.
    let older = wire::NodeDelta { age_ms: 200, ..delta(12, 0, None) };
    tell(&mut news, ms(10_400), older);
    assert!(!is_live(&news, ms(10_400)), "that is from before");
    let anew = wire::NodeDelta {
        version: wire::NodeVersion { incarnation: 8, ..delta(1, 0, None).version },
        ..delta(1, 0, None)
    };
    tell(&mut news, ms(11_500), anew);
    assert!(is_live(&news, ms(11_500)));
}

/// Awake again, it goes by what it had only once somebody replied, and asks everyone it knew:
/// its few siblings may be gone by then.
#[test]
fn who_wakes_asks_everyone_and_does_not_take_silence_for_no_news() {
    let second = Duration::from_secs_f64;
    let mut news = Gossip::new(card("p", wire::Role::Proxy, 1), Vec::new(), 1, second(100.0));
    for index in 0..9_u16 {
        let told = wire::NodeDelta {
            name: format!("q{index}"),
            info: Some(card(&format!("q{index}"), wire::Role::Proxy, 10 + index)),
            ..delta(9, 0, None)
        };
        tell(&mut news, second(100.0), told);
    }
    news.step(second(100.0), Event::Tick);
    for _ in 0..2 {
        for index in 0..9_u16 {
            let address = card("", wire::Role::Proxy, 10 + index).cluster_address;
            news.step(
                second(100.1),
                Event::PullCompleted { address, response: Some(Box::default()) },
            );
        }
        // From here on it pulls from its few siblings only.
        news.step(second(100.1), Event::Tick);
    }
    let mut asked = 0;
    for effect in news.step(second(130.0), Event::Tick) {
        asked += usize::from(matches!(effect, Effect::Pull { .. }));
    }
    assert!(asked >= 6, "{asked} asked");
    news.step(second(131.0), Event::Tick);
    news.step(second(132.0), Event::Tick);
    news.step(second(132.4), Event::Tick);
    assert!(!news.is_fresh(second(132.4)), "nobody has told it anything");
    assert!(news.is_isolated(second(132.4)));
    // Work that came as it woke is not dropped for that: alone, it goes by what it has.
    assert!(news.is_fresh(second(130.0) + super::READINESS_TIMEOUT - second(0.2)));
    for index in 0..9_u16 {
        let address = card("", wire::Role::Proxy, 10 + index).cluster_address;
        news.step(second(132.4), Event::PullCompleted { address, response: Some(Box::default()) });
    }
    assert!(news.is_fresh(second(132.4)) && !news.is_isolated(second(132.4)));
}

/// Who is not heard of any more is asked itself, at once and once.
#[test]
fn who_falls_silent_is_asked_itself_at_once() {
    let ms = Duration::from_millis;
    let mut news = Gossip::new(card("p", wire::Role::Proxy, 1), Vec::new(), 1, ms(0));
    for index in 0..9_u16 {
        let told = wire::NodeDelta {
            name: format!("q{index}"),
            info: Some(card(&format!("q{index}"), wire::Role::Proxy, 10 + index)),
            ..delta(9, 0, None)
        };
        tell(&mut news, ms(0), told);
    }
    let mut asked = Vec::new();
    for beat in 0..80 {
        let now = ms(50 * beat);
        if beat % 10 == 0 {
            // All but the first are heard of again and again.
            for index in 1..9_u16 {
                let told =
                    wire::NodeDelta { name: format!("q{index}"), ..delta(10 + beat, 0, None) };
                tell(&mut news, now, wire::NodeDelta { info: None, status: None, ..told });
            }
        }
        for effect in news.step(now, Event::Tick) {
            let Effect::Pull { address, .. } = effect else { continue };
            let is_there = address.port() != 10;
            if now >= super::NODE_TIMEOUT && !is_there {
                asked.push(now);
            }
            news.step(now, Event::PullCompleted { address, response: is_there.then(Box::default) });
        }
    }
    assert_eq!(asked.first(), Some(&super::NODE_TIMEOUT));
    assert!(asked.len() <= 2, "and then in its turn of the lost: {asked:?}");
}

/// Who hears of a later life of its own name outlives it, whatever the wall clock says.
#[test]
fn a_life_that_comes_after_is_outlived() {
    let now = Duration::from_secs(100);
    let mut news = Gossip::new(card("p", wire::Role::Proxy, 1), Vec::new(), 3, now);
    tell(&mut news, now, delta(9, 0, None));
    assert_eq!(news.node_version().incarnation, 8);
    tell(&mut news, now, delta(9, 0, None));
    assert_eq!(news.node_version().incarnation, 8);
}

/// Incident 0015: what asks from here, and a store beside it that replies, say nothing of a cut in one
/// direction. A registry whose pulls of other registries bring nothing knows that it is cut off.
#[test]
fn a_registry_that_is_only_asked_knows_that_it_is_cut_off() {
    let ms = Duration::from_millis;
    let mut news = Gossip::new(card("r0", wire::Role::Registry, 1), Vec::new(), 1, ms(0));
    let others = [("r1", wire::Role::Registry, 11), ("r2", wire::Role::Registry, 12)];
    let beside = ("s0", wire::Role::Store, 13);
    let told = |(name, role, port): (&str, wire::Role, u16), counter: u64| wire::NodeDelta {
        name: name.to_string(),
        info: Some(card(name, role, port)),
        ..delta(counter, 0, None)
    };
    let mut is_cut_off = Vec::new();
    let mut asked: Vec<std::net::SocketAddr> = Vec::new();
    for beat in 0..160_u64 {
        let now = ms(50 * beat);
        for other in others.iter().chain([&beside]) {
            // They go on asking, and so say that they are there.
            tell(&mut news, now, told(*other, beat));
        }
        let is_cut = (ms(2000)..ms(6000)).contains(&now);
        beat_with(&mut news, &mut asked, now, |port| port == beside.2 || !is_cut);
        is_cut_off.push((now, news.is_partitioned(now)));
    }
    let of = |from: Duration, to: Duration| -> Vec<bool> {
        is_cut_off.iter().filter(|(at, _)| (from..to).contains(at)).map(|one| one.1).collect()
    };
    assert!(of(ms(0), ms(4400)).iter().all(|cut| !cut), "not before it can know");
    assert!(of(ms(4800), ms(6000)).iter().all(|cut| *cut), "the store beside it is no help");
    assert!(of(ms(6500), ms(8000)).iter().all(|cut| !cut), "and it is over when they reply");
}

/// Registries that are replaced at other addresses, one after the other, do not count any more: with none of
/// the first ones left nobody is cut off. When all fall silent at once, it is.
#[test]
fn registries_that_were_replaced_do_not_count() {
    let ms = Duration::from_millis;
    let mut news = Gossip::new(card("r0", wire::Role::Registry, 1), Vec::new(), 1, ms(0));
    // Each is there from its first moment to its last one.
    let there = [
        ("r1", 11, 0..6000),
        ("r2", 12, 0..12_000),
        ("r3", 13, 6500..40_000),
        ("r4", 14, 12_500..40_000),
    ];
    let mut asked: Vec<std::net::SocketAddr> = Vec::new();
    let mut cut_off = Vec::new();
    for beat in 0..1000_u64 {
        let now = ms(50 * beat);
        let is_there = |port: u16| {
            there.iter().any(|one| one.1 == port && one.2.contains(&(50 * beat as i32)))
        };
        for (name, port, _) in there.iter().filter(|one| is_there(one.1)) {
            let card = Some(card(name, wire::Role::Registry, *port));
            tell(
                &mut news,
                now,
                wire::NodeDelta { name: name.to_string(), info: card, ..delta(beat, 0, None) },
            );
        }
        beat_with(&mut news, &mut asked, now, is_there);
        if news.is_partitioned(now) {
            cut_off.push(now);
        }
    }
    let first = cut_off.first().copied().expect("cut off once all are silent");
    assert!((ms(42_000)..ms(43_500)).contains(&first), "{first:?}");
    assert_eq!(cut_off.last(), Some(&ms(49_950)), "and for as long as they are");
}
