//! A proxy's share of a server's slow-start rate is computed without sorting all proxies. It must equal
//! the share that follows from its position in the sorted list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire;
use vanepath_config::endpoint_list::Server;
use vanepath_config::stable_hash;
use vanepath_proxy::endpoints::slow_start_rate;
use vanepath_proxy::health::SlowStartRate;

const ZONES: [&str; 5] = ["a1", "a2", "b1", "b2", "c1"];

fn node(index: usize) -> wire::NodeInfo {
    let zone = ZONES[index * 7 % 5];
    let address = SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16));
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
fn the_share_equals_that_of_the_sorted_list() {
    let config = br#"{"classes": [{"name": "c", "urgency": 1, "kind": "repeatable"}],
        "services": [{"name": "s", "selector": "all", "livenessPath": "/",
                      "cold": {"ratePerSecond": 3, "periodMs": 5000}}],
        "rules": [{"name": "r", "class": "c", "service": "s"}]}"#;
    let config = Arc::new(vanepath_config::model::parse(config).unwrap());
    let mut share_count = 0;
    for nodes in [1, 2, 6, 30, 90] {
        let live = (0..nodes).map(|index| (node(index), wire::NodeStatus::default())).collect();
        let view = ClusterView { config: config.clone(), live, ..ClusterView::default() };
        for server_index in 0..40 {
            let zone = ZONES[server_index % 5];
            let server = Server {
                id: format!("s{server_index}"),
                address: SocketAddr::from(([127, 0, 0, 2], 1000 + server_index as u16)),
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
                .filter(|(node, _)| node.role == wire::Role::Proxy)
                .map(|(node, _)| {
                    let hash = stable_hash(&["cold", &node.name, &server.id]);
                    let is_in_other_region = node.region != server.region;
                    (is_in_other_region, node.zone != server.zone, hash, node.name.as_str())
                })
                .collect();
            sorted.sort_unstable();
            // A proxy that is not in the list ranks after all others.
            for own_index in 0..=nodes {
                let own_name = format!("p{own_index}");
                let rank =
                    sorted.iter().position(|entry| entry.3 == own_name).unwrap_or(sorted.len());
                let expected =
                    SlowStartRate::new(3.0, Duration::from_millis(5000), rank, sorted.len());
                let found = slow_start_rate(&view, &own_name, &server, &[0]);
                assert_eq!(found, expected, "{own_name} of {nodes} for {}", server.id);
                share_count += usize::from(found.interval.is_some());
            }
        }
    }
    assert!(share_count > 400, "{share_count}");
}
