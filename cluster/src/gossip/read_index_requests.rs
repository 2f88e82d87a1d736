//! How a node that started establishes its read index (design 5.8): it asks stores, and takes what peers
//! report while no majority of stores can be asked. The rules themselves are in [`crate::read_index`].

use super::{Effect, Gossip, candidate};
use crate::peer_selection::{Candidate, nearest_store};
use crate::wire::{NodeInfo, Role};
use std::net::SocketAddr;
use std::time::Duration;

impl Gossip {
    /// The revision in force here; 0: none in this incarnation so far.
    pub(super) fn active_revision(&self) -> u64 {
        self.read_index.established().map_or(0, |_| self.committed.revision)
    }

    /// Whether this node has waited for its read index in vain while other proxies take work, so that
    /// requests are better off there.
    pub fn is_stalled(&self, now: Duration) -> bool {
        self.read_index.is_stalled(now)
            && self.live(now).any(|(info, status)| {
                info.role == Role::Proxy && status.is_available() && info.name != self.own_info.name
            })
    }

    pub(super) fn on_read_index_received(
        &mut self,
        now: Duration,
        store: SocketAddr,
        revision: Option<u64>,
    ) {
        let name = self.name_at(store);
        self.read_index.on_store_reply(now, &name, revision);
    }

    /// Establishes the read index once what is known here has reached it.
    pub(super) fn check_read_index(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if self.read_index.established().is_some() {
            return;
        }
        if self.read_index.check(now, self.committed.revision, self.has_enough_peers(now)) {
            // What was held back is offered from here on.
            self.urgent_changes += 1;
            effects.push(Effect::ViewChanged);
        }
    }

    /// A node that is in contact with few of those it knows may be cut off together with them, and they may
    /// lag. More than half of all nodes are enough, or more than half of its own region, whose nodes
    /// exchanged their revisions before the region was cut off.
    fn has_enough_peers(&self, now: Duration) -> bool {
        let live = self.live(now).count();
        if live > self.unreachable(now).count() {
            return true;
        }
        let is_near = |info: &NodeInfo| info.region == self.own_info.region;
        let near = self.live(now).filter(|(info, _)| is_near(info)).count();
        near > 1 && near > self.unreachable(now).filter(|(info, _)| is_near(info)).count()
    }

    /// Asks stores that vote for the read index, in the order in which they propose, and the nearest one. A
    /// store establishes its own as it asks the others for the committed version; one that is not a
    /// member asks like any other node, a little later.
    pub(super) fn request_read_index(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if self.read_index.established().is_some()
            || (self.own_info.role == Role::Store && self.read_index.has_just_started(now))
        {
            return;
        }
        let mut stores: Vec<(Option<u8>, &NodeInfo)> = self
            .live(now)
            .filter(|(info, status)| {
                let is_other = info.name != self.own_info.name;
                is_other && info.role == Role::Store && status.is_available()
            })
            .map(|(info, status)| (status.disk.and_then(|disk| disk.slot), info))
            .collect();
        stores.sort_unstable_by_key(|(slot, info)| (*slot, info.cluster_address));
        let candidates: Vec<Candidate<'_>> =
            stores.iter().map(|(_, info)| candidate(info)).collect();
        let nearest = nearest_store(&candidate(&self.own_info), &candidates);
        let nearest = nearest.map(|index| stores[index].1.cluster_address);
        let addresses: Vec<SocketAddr> =
            stores.iter().map(|(_, info)| info.cluster_address).collect();
        let next = self.read_index.next_stores(now, &addresses, nearest);
        effects.extend(next.into_iter().map(|address| Effect::RequestReadIndex { address }));
    }
}
