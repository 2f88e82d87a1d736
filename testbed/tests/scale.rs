//! Checks that configurations, endpoint lists and messages of the design size (docs/CAPACITY.md), and of
//! twice that size, are within all size limits.

use std::time::Duration;
use vanepath_cluster::wire;
use vanepath_testbed::scale;
use vanepath_testbed::scale::Judged::{ByProbes, ByTraffic};

#[test]
fn a_configuration_and_an_endpoint_list_of_twice_the_design_size_are_accepted() {
    for (factor, judged) in [(1, ByProbes), (2, ByProbes), (1, ByTraffic), (2, ByTraffic)] {
        let text = scale::setup_text(factor * scale::ROUTES, factor * scale::SERVICES, judged);
        let config = vanepath_config::model::parse(text.as_bytes()).unwrap();
        assert_eq!(config.rules.len(), factor * scale::ROUTES);
        assert_eq!(config.services.len(), factor * scale::SERVICES);
        // Later versions of configurations will contain tenants, at about a hundred bytes for each.
        let max_bytes = vanepath_config::model::MAX_BYTES;
        assert!(
            text.len() + factor * scale::TENANTS * 100 < max_bytes,
            "{} of {max_bytes}",
            text.len()
        );
        let list = scale::platform(factor * scale::SERVERS, factor * scale::SERVICES, judged);
        let text = scale::platform_text(&list);
        let parsed = vanepath_config::endpoint_list::parse(text.as_bytes()).unwrap();
        assert!(parsed == list);
        assert!(text.len() < vanepath_config::endpoint_list::MAX_BYTES / 2, "{}", text.len());
    }
}

/// The reply to the first pull of a registry contains the complete state of the fleet. At twice the design
/// size it takes less than half of the largest frame.
#[test]
fn the_first_pull_reply_of_twice_the_design_size_fits_into_a_frame() {
    let (daemons, servers) = (2 * scale::DAEMONS, 2 * scale::SERVERS);
    let mut responder =
        scale::cores::informed(daemons, servers, 2 * scale::SERVICES, true, ByProbes);
    let mut config =
        scale::setup_text(2 * scale::ROUTES, 2 * scale::SERVICES, ByProbes).into_bytes();
    config.resize(vanepath_config::model::MAX_BYTES, b' ');
    let committed = wire::CommittedConfig {
        revision: 9,
        config_revision: 9,
        document: config,
        ..wire::CommittedConfig::default()
    };
    let now = Duration::from_secs(101);
    responder.step(
        now,
        vanepath_cluster::gossip::Event::ConfigCommitted(std::sync::Arc::new(committed)),
    );
    assert_eq!(responder.peers.len(), daemons - 1);
    let node_info = scale::cards(daemons).swap_remove(1);
    let pull = wire::PullRequest {
        known_versions: Some(Vec::new()),
        config_revision: 0,
        endpoint_list_revision: 0,
        plan_version: wire::PlanVersion::default(),
        sender: wire::NodeDelta {
            name: node_info.name.clone(),
            version: wire::NodeVersion {
                incarnation: 6,
                counter: 1,
                status_version: 1,
                observations_version: 0,
            },
            age_ms: 0,
            info: Some(node_info),
            status: Some(wire::NodeStatus::default()),
            observations: None,
        },
        wait_ms: 0,
        wants_observations: true,
        is_leaf: false,
        unreachable_digest: 0,
        list_read_age_ms: None,
    };
    let effects = responder
        .step(now, vanepath_cluster::gossip::Event::PullReceived { ticket: 1, request: pull });
    let response = effects.into_iter().find_map(|effect| match effect {
        vanepath_cluster::gossip::Effect::Respond { response: pull_response, .. } => {
            Some(pull_response)
        }
        _ => None,
    });
    let reply = wire::Reply::Pull(response.unwrap());
    let bytes = wire::encode(&reply);
    assert!(bytes.len() < wire::MAX_FRAME_BYTES / 2, "{}", bytes.len());
    let decoded: wire::Reply = wire::decode(&bytes).unwrap();
    let wire::Reply::Pull(pull_response) = decoded else {
        panic!("the reply is not a pull response")
    };
    assert_eq!(
        pull_response.nodes.len(),
        daemons,
        "includes the requester's own entry, from which it would learn of a later incarnation"
    );
    assert_eq!(pull_response.endpoint_list.unwrap().servers.len(), servers);
}

/// Checks the measurement itself: hollow daemons (which exchange cluster state only) learn of each other,
/// of a new configuration, of a daemon that restarts and of one that stops responding.
#[test]
fn hollow_daemons_learn_of_all_others_and_of_a_new_configuration() {
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
        let totals = rows.last().unwrap();
        let figure = |name: &str| totals.figures.iter().find(|figure| figure.0 == name).unwrap().1;
        assert_eq!(figure("live as the least knowing has it"), 30.0);
        assert_eq!(figure("live at the most"), 30.0);
        assert!(figure("s until all see a silenced one as gone") < 6.0, "{totals}");
        assert_eq!(figure("live then at the least"), 29.0);
        assert_eq!(figure("live then at the most"), 29.0);
        assert!(figure("s until a new setup is everywhere") < 2.0, "{totals}");
        assert!(joins || figure("s until it knows all") < 2.0, "{totals}");
        assert_eq!(rows.len(), 4);
    }
}
