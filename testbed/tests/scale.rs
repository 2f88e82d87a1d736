//! What the design size (docs/CAPACITY.md) needs is within all bounds, and twice of it too.

use std::time::Duration;
use vanepath_cluster::wire;
use vanepath_testbed::scale;
use vanepath_testbed::scale::Judged::{ByProbes, ByTraffic};

#[test]
fn a_setup_and_a_list_of_twice_the_design_size_are_taken() {
    for (times, judged) in [(1, ByProbes), (2, ByProbes), (1, ByTraffic), (2, ByTraffic)] {
        let text = scale::setup_text(times * scale::ROUTES, times * scale::SERVICES, judged);
        let setup = vanepath_config::model::parse(text.as_bytes()).unwrap();
        assert_eq!(setup.rules.len(), times * scale::ROUTES);
        assert_eq!(setup.services.len(), times * scale::SERVICES);
        // Tenants are of later setups: a hundred bytes for each.
        let room = vanepath_config::model::MAX_BYTES;
        assert!(text.len() + times * scale::TENANTS * 100 < room, "{} of {room}", text.len());
        let list = scale::platform(times * scale::SERVERS, times * scale::SERVICES, judged);
        let text = scale::platform_text(&list);
        let read = vanepath_config::endpoint_list::parse(text.as_bytes()).unwrap();
        assert!(read == list);
        assert!(text.len() < vanepath_config::endpoint_list::MAX_BYTES / 2, "{}", text.len());
    }
}

/// The first reply that a registry gets, with everything in it, fits into a frame at twice the size.
#[test]
fn the_news_of_twice_the_design_size_are_within_a_frame() {
    let (daemons, servers) = (2 * scale::DAEMONS, 2 * scale::SERVERS);
    let mut asked = scale::cores::informed(daemons, servers, 2 * scale::SERVICES, true, ByProbes);
    let mut setup =
        scale::setup_text(2 * scale::ROUTES, 2 * scale::SERVICES, ByProbes).into_bytes();
    setup.resize(vanepath_config::model::MAX_BYTES, b' ');
    let word = wire::CommittedConfig {
        revision: 9,
        config_revision: 9,
        document: setup,
        ..wire::CommittedConfig::default()
    };
    let now = Duration::from_secs(101);
    asked.step(now, vanepath_cluster::gossip::Event::ConfigCommitted(std::sync::Arc::new(word)));
    assert_eq!(asked.peers.len(), daemons - 1);
    let card = scale::cards(daemons).swap_remove(1);
    let pull = wire::PullRequest {
        known_versions: Some(Vec::new()),
        config_revision: 0,
        endpoint_list_revision: 0,
        plan_version: wire::PlanVersion::default(),
        sender: wire::NodeDelta {
            name: card.name.clone(),
            version: wire::NodeVersion {
                incarnation: 6,
                counter: 1,
                status_version: 1,
                observations_version: 0,
            },
            age_ms: 0,
            info: Some(card),
            status: Some(wire::NodeStatus::default()),
            observations: None,
        },
        wait_ms: 0,
        wants_observations: true,
        is_leaf: false,
        unreachable_digest: 0,
        list_read_age_ms: None,
    };
    let effects =
        asked.step(now, vanepath_cluster::gossip::Event::PullReceived { ticket: 1, request: pull });
    let answer = effects.into_iter().find_map(|effect| match effect {
        vanepath_cluster::gossip::Effect::Respond { response: news, .. } => Some(news),
        _ => None,
    });
    let reply = wire::Reply::Pull(answer.unwrap());
    let bytes = wire::encode(&reply);
    assert!(bytes.len() < wire::MAX_FRAME_BYTES / 2, "{}", bytes.len());
    let read: wire::Reply = wire::decode(&bytes).unwrap();
    let wire::Reply::Pull(news) = read else { panic!("another reply") };
    assert_eq!(news.nodes.len(), daemons, "its own entry too, by which it would know a later life");
    assert_eq!(news.endpoint_list.unwrap().servers.len(), servers);
}

/// The measure itself: hollow daemons hear of each other, of a new setup, of one that starts anew and of
/// one that falls silent.
#[test]
fn hollow_daemons_know_all_and_a_setup_gets_everywhere() {
    for (joins, judged) in [(false, ByTraffic), (true, ByTraffic), (false, ByProbes)] {
        let plan = scale::hollow::Plan {
            daemons: 30,
            servers: 200,
            services: 12,
            routes: 50,
            judged,
            details: true,
            joins,
            settle: Duration::from_secs(4),
            measure: Duration::from_secs(1),
            limit: Duration::from_secs(60),
        };
        let rows = scale::hollow::run(&plan);
        let all = rows.last().unwrap();
        let figure = |name: &str| all.figures.iter().find(|one| one.0 == name).unwrap().1;
        assert_eq!(figure("live as the least knowing has it"), 30.0);
        assert_eq!(figure("live at the most"), 30.0);
        assert!(figure("s until all see a silenced one as gone") < 6.0, "{all}");
        assert_eq!(figure("live then at the least"), 29.0);
        assert_eq!(figure("live then at the most"), 29.0);
        assert!(figure("s until a new setup is everywhere") < 2.0, "{all}");
        assert!(joins || figure("s until it knows all") < 2.0, "{all}");
        assert_eq!(rows.len(), 4);
    }
}
