//! Adds, starts and crashes nodes, and erases their disks.

use crate::sim::crash_points::CrashPoint;
use crate::sim::mutations::Mutation;
use crate::sim::network::Network;
use crate::sim::state::{Action, Disk, DownPeriod, Node, Proxy, Registry, RoleState, Sim, Store};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::gossip::{self, Gossip};
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire;
use vanepath_store::consensus::{self, Replica};
use vanepath_store::hints::{HintWriter, Hints};
use vanepath_store::shell::StoreDirectory;

impl Sim {
    /// Records that a node visits a crash point. Returns whether the node is killed there, in which
    /// case it is started again one second later.
    pub fn reaches_crash_point(&mut self, index: usize, point: CrashPoint) -> bool {
        let Some(planned) = self.planned_crash else { return false };
        if planned.point != point || self.crashed_at.is_some() || self.net.now < planned.from {
            return false;
        }
        self.point_visits += 1;
        if self.point_visits < planned.visit {
            return false;
        }
        self.crashed_at = Some(self.net.now);
        self.crash(index, false);
        self.schedule(self.net.now + Duration::from_secs(1), Action::Start(index));
        true
    }

    /// Adds a node on a machine of its own. `bootstrap_size` is used only for stores: the number of
    /// empty stores that form the first member table.
    pub fn add_node(
        &mut self,
        role: wire::Role,
        name: &str,
        zone: &str,
        region: &str,
        bootstrap_size: usize,
    ) -> usize {
        let host = self.net.add_host(name, zone, region);
        let address = Network::address_of(host);
        let info = wire::NodeInfo {
            name: name.to_string(),
            role,
            region: region.to_string(),
            zone: zone.to_string(),
            address,
            cluster_address: address,
        };
        let role_state = match role {
            wire::Role::Store => {
                let mut disk = Disk::default();
                let recovered = disk.recover(self.net.random.draw());
                let identity = consensus::Identity { name: name.to_string(), bootstrap_size };
                RoleState::Store(Box::new(Store {
                    core: Replica::new(identity.clone(), recovered, Duration::ZERO),
                    identity,
                    disk,
                    inbox: VecDeque::new(),
                    pending_effects: VecDeque::new(),
                    is_writing: false,
                    disk_failed: false,
                    directory: StoreDirectory::default(),
                    hint_writer: HintWriter::default(),
                }))
            }
            wire::Role::Registry => RoleState::Registry(Box::default()),
            wire::Role::Proxy => RoleState::Proxy(Box::default()),
        };
        let gossip = Gossip::new(info.clone(), Vec::new(), 0, Duration::ZERO);
        self.nodes.push(Node {
            host,
            info,
            gossip,
            view: Arc::default(),
            role_state,
            is_draining: false,
            seeds: Vec::new(),
            revisions: Vec::new(),
            effective_revisions: Vec::new(),
            is_ready: false,
            down_periods: Vec::new(),
        });
        let index = self.nodes.len() - 1;
        self.node_by_host.insert(host, index);
        index
    }

    /// Starts a node's process with empty memory. A store keeps its disk.
    pub fn start_node(&mut self, index: usize) {
        let host = self.nodes[index].host;
        self.net.hosts[host].powered = true;
        self.net.start(host);
        let now = self.net.local_time(host);
        let wall_ms = self.net.hosts[host].wall_ms + self.net.now.as_millis() as i64;
        let incarnation = ((wall_ms.max(0) as u64) << 12) | (self.net.random.draw() & 0xfff);
        let random = self.net.random.draw();
        let node = &mut self.nodes[index];
        node.is_draining = false;
        let mut hints = Hints::default();
        if let Some(DownPeriod { to: to @ None, .. }) = node.down_periods.last_mut() {
            *to = Some(self.net.now);
        }
        node.is_ready = false;
        match &mut node.role_state {
            RoleState::Store(store) => {
                let recovered = store.disk.recover(random);
                store.core = Replica::new(store.identity.clone(), recovered, now);
                store.inbox.clear();
                store.pending_effects.clear();
                store.is_writing = false;
                store.disk_failed = false;
                hints = store.disk.hints.clone();
                store.hint_writer = HintWriter::new(hints.clone());
            }
            RoleState::Registry(registry) => **registry = Registry::default(),
            RoleState::Proxy(proxy) => **proxy = Proxy::default(),
        }
        let mut seeds = node.seeds.clone();
        seeds.extend(&hints.nodes);
        node.gossip = Gossip::new(node.info.clone(), seeds, incarnation, now);
        node.gossip.step(now, gossip::Event::PlanReceived(Arc::new(hints.plan)));
        node.view = Arc::default();
        if self.mutation == Some(Mutation::SkipsReadIndex) {
            let address = node.info.cluster_address;
            let event =
                gossip::Event::ReadIndexReceived { address, requested_at: now, revision: Some(0) };
            node.gossip.step(now, event);
        }
        if self.mutation == Some(Mutation::StartsFromStaleConfig)
            && let Some(first) = &self.first_config
            && node.info.role == wire::Role::Proxy
        {
            node.gossip.committed = first.clone();
            node.view = Arc::new(ClusterView::from_gossip(&node.gossip, &node.view, now).0);
        }
        let name = node.info.name.clone();
        self.trace_event(|| format!("{name} started"));
        self.observe_reachability();
    }

    /// Kills a node's process. With `loses_power`, its machine loses power too.
    pub fn crash(&mut self, index: usize, loses_power: bool) {
        let host = self.nodes[index].host;
        if loses_power {
            self.net.hosts[host].powered = false;
        }
        if self.net.hosts[host].up {
            self.net.stop(host);
        }
        let now = self.net.now;
        let node = &mut self.nodes[index];
        if node.down_periods.last().is_none_or(|period| period.to.is_some()) {
            node.down_periods.push(DownPeriod { from: now, to: None });
        }
        if let RoleState::Store(store) = &mut node.role_state {
            // A random prefix of the writes in flight has reached the disk.
            let in_flight_writes = std::mem::take(&mut store.disk.in_flight_writes);
            let written = self.net.random.below(in_flight_writes.len() + 1);
            for write in in_flight_writes.into_iter().take(written) {
                store.disk.apply(write);
            }
            store.disk.unsynced.clear();
        }
        let name = self.nodes[index].info.name.clone();
        self.trace_event(|| {
            format!("{name} stopped{}", if loses_power { ", machine lost power" } else { "" })
        });
    }

    /// Erases a store's disk. The store must be down.
    pub fn wipe(&mut self, index: usize) {
        if let RoleState::Store(store) = &mut self.nodes[index].role_state {
            let is_full = store.disk.is_full;
            store.disk = Disk { is_full, ..Disk::default() };
        }
        let name = self.nodes[index].info.name.clone();
        self.trace_event(|| format!("{name}: disk erased"));
    }
}
