//! Changes of the platform's endpoint list.

use crate::sim::network::Network;
use crate::sim::state::Sim;
use std::sync::Arc;
use vanepath_config::endpoint_list::Server;

/// Applies a change to the endpoint list and publishes it as a new revision. The first revision lists all
/// servers.
pub(super) fn publish(sim: &mut Sim, change: impl FnOnce(&mut Vec<Server>)) {
    let mut list = (*sim.platform_list).clone();
    if list.revision == 0 {
        for server in &sim.world.servers {
            list.servers.push(Server {
                id: server.id.clone(),
                address: Network::address_of(server.host),
                region: server.region.clone(),
                zone: server.zone.clone(),
                labels: [("app".to_string(), server.app.clone())].into(),
                draining: false,
                warming_up: false,
                concurrency: 0,
            });
        }
    }
    change(&mut list.servers);
    list.revision += 1;
    sim.platform_list = Arc::new(list);
}
