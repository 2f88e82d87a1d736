//! Gossip: runs the cluster's membership core on the simulated network.

use crate::sim::mutations::Mutation;
use crate::sim::network::{Body, HostId, Network, Purpose};
use crate::sim::state::{RevisionChange, Sim};
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::{gossip, read_index, wire};
use vanepath_store::protocol::Request;

impl Sim {
    /// Gives an event to the gossip core and carries out its effects.
    pub fn step_gossip(&mut self, index: usize, event: gossip::Event) {
        let host = self.nodes[index].host;
        let now = self.net.local_time(host);
        let effects = self.nodes[index].gossip.step(now, event);
        let mut is_view_changed = false;
        for effect in effects {
            match effect {
                gossip::Effect::Pull { address, request } => {
                    let target = Network::host_at(address);
                    let timeout = Duration::from_millis(u64::from(request.wait_ms) + 1000);
                    let bytes = wire::encode(&request).len() as u64 + 4;
                    self.count_bytes(host, target, bytes);
                    let purpose = Purpose::Pull { address };
                    self.net.send(host, target, timeout, Body::Pull(request), purpose);
                }
                gossip::Effect::Respond { ticket, response } => {
                    if let Some(call) = self.net.find_call(ticket) {
                        let source = call.source;
                        let bytes = wire::encode(&response).len() as u64 + 4;
                        self.count_bytes(host, source, bytes);
                    }
                    self.net.reply(ticket, Body::PullResponse(response));
                }
                gossip::Effect::RequestReadIndex { address } => {
                    let timeout = read_index::READ_INDEX_TIMEOUT;
                    let purpose = Purpose::ReadIndex { address, requested_at: now };
                    let body = Body::StoreRequest(Request::ReadIndex);
                    self.net.send(host, Network::host_at(address), timeout, body, purpose);
                }
                gossip::Effect::ViewChanged => is_view_changed = true,
                gossip::Effect::Log(line) => {
                    let name = self.nodes[index].info.name.clone();
                    self.trace_event(|| format!("{name}: {line}"));
                }
            }
        }
        if is_view_changed || !self.nodes[index].view.is_up_to_date(&self.nodes[index].gossip, now)
        {
            self.update_view(index, now);
        }
    }

    /// Updates a node's view from the gossip core, with the changes of the mutations, and passes it
    /// to the role.
    fn update_view(&mut self, index: usize, now: Duration) {
        let node = &mut self.nodes[index];
        let (mut view, log_lines) = ClusterView::from_gossip(&node.gossip, &node.view, now);
        if self.first_config.is_none() && view.committed.revision > 0 {
            self.first_config = Some(view.committed.clone());
        }
        let hides_drained_zones = match self.mutation {
            Some(Mutation::IgnoresDrainedZones) => true,
            Some(Mutation::SteersToDrainedZones) => node.info.role == wire::Role::Registry,
            _ => false,
        };
        if self.mutation == Some(Mutation::ForgetsBounds) {
            let mut unrestricted = (*view.config).clone();
            unrestricted.rules.iter_mut().for_each(|rule| rule.regions.clear());
            view.config = Arc::new(unrestricted);
        }
        if hides_drained_zones {
            view.committed = Arc::new(wire::CommittedConfig {
                drained_zones: Default::default(),
                ..(*view.committed).clone()
            });
        }
        node.view = Arc::new(view);
        let revision = node.view.committed.revision;
        let change = RevisionChange {
            at: self.net.now,
            incarnation: self.net.hosts[node.host].incarnation,
            revision,
        };
        let is_new = |changes: &[RevisionChange]| {
            changes.last().is_none_or(|last| {
                (last.incarnation, last.revision) != (change.incarnation, change.revision)
            })
        };
        if is_new(&node.revisions) {
            node.revisions.push(change);
        }
        // A store routes no requests. There a revision is effective as soon as the store serves it
        // to others.
        let is_store = node.info.role == wire::Role::Store;
        let is_effective =
            node.view.read_index.is_some() && (is_store || node.view.is_fresh) && revision > 0;
        if is_effective && is_new(&node.effective_revisions) {
            node.effective_revisions.push(change);
        }
        let name = node.info.name.clone();
        for line in log_lines {
            self.trace_event(|| format!("{name}: {line}"));
        }
        self.apply_view(index);
    }

    fn count_bytes(&mut self, from: HostId, to: HostId, bytes: u64) {
        self.net.cluster_bytes += bytes;
        if self.net.hosts[from].zone != self.net.hosts[to].zone {
            self.net.cross_zone_cluster_bytes += bytes;
        }
    }

    /// A node's regular tick.
    pub(in crate::sim) fn tick(&mut self, index: usize) {
        if self.has_mutation(Mutation::RevertsConfig) && self.net.now.as_millis() % 5000 < 50 {
            self.revert_config(index);
        }
        self.step_gossip(index, gossip::Event::Tick);
        match self.nodes[index].info.role {
            wire::Role::Store => self.tick_store(index),
            wire::Role::Registry => self.tick_registry(index),
            wire::Role::Proxy => self.tick_proxy(index),
        }
    }

    /// Implements [`Mutation::RevertsConfig`].
    fn revert_config(&mut self, index: usize) {
        let committed = &mut self.nodes[index].gossip.committed;
        if committed.revision > 3 {
            *committed = Arc::new(wire::CommittedConfig {
                revision: committed.revision - 2,
                ..(**committed).clone()
            });
            let host = self.nodes[index].host;
            let now = self.net.local_time(host);
            let node = &mut self.nodes[index];
            let (view, _) = ClusterView::from_gossip(&node.gossip, &node.view, now);
            node.view = Arc::new(view);
            node.revisions.push(RevisionChange {
                at: self.net.now,
                incarnation: self.net.hosts[host].incarnation,
                revision: node.view.committed.revision,
            });
        }
    }
}
