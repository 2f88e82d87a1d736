//! The live stores according to gossip, and the addresses at which their disks are reached.

use crate::consensus::LiveStore;
use crate::protocol::Request;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use vanepath_cluster::node::ClusterView;

/// The live stores, and the address of each store's disk by the disk's incarnation.
#[derive(Clone, Debug, Default)]
pub struct StoreDirectory {
    /// The live stores, in the order of the cluster view.
    pub live: Vec<LiveStore>,
    addresses: BTreeMap<u64, SocketAddr>,
    /// Last known addresses of unreachable stores.
    unreachable: BTreeMap<u64, SocketAddr>,
}

impl StoreDirectory {
    /// Builds the directory of the stores in a cluster view.
    pub fn of(view: &ClusterView) -> StoreDirectory {
        let mut directory = StoreDirectory::default();
        for (info, status) in &view.live {
            let Some(disk) = status.disk else { continue };
            directory.addresses.insert(disk.incarnation, info.cluster_address);
            directory.live.push(LiveStore {
                name: info.name.clone(),
                incarnation: disk.incarnation,
                is_empty: status.empty_disk,
                may_bootstrap: status.empty_disk && disk.may_bootstrap,
            });
        }
        for (info, status) in &view.unreachable {
            if let Some(disk) = status.disk {
                directory.unreachable.insert(disk.incarnation, info.cluster_address);
            }
        }
        directory
    }

    /// The address to which a request is sent. Unreachable stores are sent only pings.
    pub fn address_of(&self, incarnation: u64, request: &Request) -> Option<SocketAddr> {
        let is_ping = matches!(request, Request::Ping);
        let unreachable = self.unreachable.get(&incarnation).filter(|_| is_ping);
        self.addresses.get(&incarnation).or(unreachable).copied()
    }
}
