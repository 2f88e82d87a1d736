//! Helpers shared by several tests.

use vanepath_cluster::wire;

/// A node in zone a1 of region a.
pub fn node_info(name: &str, role: wire::Role, port: u16) -> wire::NodeInfo {
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
