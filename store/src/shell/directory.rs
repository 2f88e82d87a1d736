//! The live stores by gossip, and the addresses of their disks.

use crate::consensus::LiveStore;
use crate::protocol::Request;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use vanepath_cluster::node::ClusterView;

/// Live stores and where each disk, by its incarnation, is reached.
#[derive(Clone, Debug, Default)]
pub struct StoreDirectory {
    /// The live stores, in the order of the cluster view.
    pub live: Vec<LiveStore>,
    addresses: BTreeMap<u64, SocketAddr>,
    /// The last addresses of stores that are not heard of any more.
    unreachable: BTreeMap<u64, SocketAddr>,
}

impl StoreDirectory {
    /// The stores of a cluster view.
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

    /// Where to send a request; a store that is not heard of gets nothing but pings.
    pub fn address_of(&self, incarnation: u64, request: &Request) -> Option<SocketAddr> {
        let is_ping = matches!(request, Request::Ping);
        let unreachable = self.unreachable.get(&incarnation).filter(|_| is_ping);
        self.addresses.get(&incarnation).or(unreachable).copied()
    }
}
