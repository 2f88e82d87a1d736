//! A proxy's part of a cold server's rate, reckoned without sorting all proxies, is what the sorted list says.

use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire;
use vanepath_proxy::health::SlowStartRate;

const ZONES: [&str; 5] = ["a1", "a2", "b1", "b2", "c1"];

fn card(index: usize) -> wire::NodeInfo {
    let zone = ZONES[index * 7 % 5];
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16));
    wire::NodeInfo {
        name: format!("p{index}"),
        role: if index % 6 == 5 { wire::Role::Registry } else { wire::Role::Proxy },
        region: zone[..1].to_string(),
        zone: zone.to_string(),
        address,
        cluster_address: address,
    }
}

#[test]
fn the_part_is_that_of_the_sorted_list() {
    let setup = br#"{"classes": [{"name": "c", "urgency": 1, "kind": "repeatable"}],
        "services": [{"name": "s", "selector": "all", "livenessPath": "/",
                      "cold": {"ratePerSecond": 3, "periodMs": 5000}}],
        "rules": [{"name": "r", "class": "c", "service": "s"}]}"#;
    let setup = std::sync::Arc::new(vanepath_config::model::parse(setup).unwrap());
    let mut parts = 0;
    for daemons in [1, 2, 6, 30, 90] {
        let live = (0..daemons).map(|index| (card(index), wire::NodeStatus::default())).collect();
        let view = ClusterView { config: setup.clone(), live, ..ClusterView::default() };
        for number in 0..40 {
            let zone = ZONES[number % 5];
            let server = vanepath_config::endpoint_list::Server {
                id: format!("s{number}"),
                address: std::net::SocketAddr::from(([127, 0, 0, 2], 1000 + number as u16)),
                region: zone[..1].to_string(),
                zone: zone.to_string(),
                labels: Default::default(),
                draining: false,
                warming_up: false,
                concurrency: 0,
            };
            let mut sorted: Vec<(bool, bool, u64, &str)> = view
                .live
                .iter()
                .filter(|(card, _)| card.role == wire::Role::Proxy)
                .map(|(card, _)| {
                    let rank = vanepath_config::stable_hash(&["cold", &card.name, &server.id]);
                    let is_far = card.region != server.region;
                    (is_far, card.zone != server.zone, rank, card.name.as_str())
                })
                .collect();
            sorted.sort_unstable();
            // One that is no proxy of the list comes after all.
            for own in 0..=daemons {
                let own = format!("p{own}");
                let rank = sorted.iter().position(|one| one.3 == own).unwrap_or(sorted.len());
                let wanted =
                    SlowStartRate::new(3.0, Duration::from_millis(5000), rank, sorted.len());
                let found = vanepath_proxy::endpoints::slow_start_rate(&view, &own, &server, &[0]);
                assert_eq!(found, wanted, "{own} of {daemons} for {}", server.id);
                parts += usize::from(found.interval.is_some());
            }
        }
    }
    assert!(parts > 400, "{parts}");
}
