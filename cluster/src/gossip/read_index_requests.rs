//! How a node establishes its read index after a start (design 5.8): it asks stores, and uses the reports of
//! peers if no majority of stores can be reached. The rules are in [`crate::read_index`].

use super::{Effect, Gossip, candidate};
use crate::peer_selection::{Candidate, nearest_store};
use crate::wire::{NodeInfo, Role};
use std::net::SocketAddr;
use std::time::Duration;

impl Gossip {
    /// The active revision; 0: this incarnation has no active configuration yet.
    pub(super) fn active_revision(&self) -> u64 {
        self.read_index.established().map_or(0, |_| self.committed.revision)
    }

    /// Whether this node could not establish its read index in time while another proxy accepts work, to
    /// which clients should turn instead.
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
        requested_at: Duration,
        revision: Option<u64>,
    ) {
        if let Some(revision) = revision {
            // The store's round began after the request, so it is a quorum read for the lease as well.
            self.record_config_read(revision, requested_at);
        }
        let name = self.peer_name_at(store);
        self.read_index.on_store_reply(now, &name, revision);
    }

    /// Establishes the read index once what is known here has reached it.
    pub(super) fn check_read_index(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if self.read_index.established().is_some() {
            return;
        }
        if self.read_index.check(now, self.committed.revision, self.has_enough_peers(now)) {
            // From here on, the configuration that was withheld is offered to other nodes.
            self.urgent_changes += 1;
            effects.push(Effect::ViewChanged);
        }
    }

    /// Whether enough peers are live for their reports to be used. A minority of the known nodes may be cut
    /// off together with this one, and lag. More than half of all known nodes are enough, or more than half
    /// of this node's region, whose nodes had exchanged their revisions before the region was cut off.
    fn has_enough_peers(&self, now: Duration) -> bool {
        let live = self.live(now).count();
        if live > self.unreachable(now).count() {
            return true;
        }
        let is_in_own_region = |info: &NodeInfo| info.region == self.own_info.region;
        let live_in_region = self.live(now).filter(|(info, _)| is_in_own_region(info)).count();
        live_in_region > 1
            && live_in_region
                > self.unreachable(now).filter(|(info, _)| is_in_own_region(info)).count()
    }

    /// Requests the read index from voting stores, in their order of precedence as proposers, and from the
    /// nearest one. A store that is a member establishes its own read index when it queries the other stores
    /// for the committed version; a store that is not a member asks like any other node, after a delay.
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
        let next_stores_to_ask = self.read_index.next_stores(now, &addresses, nearest);
        effects.extend(
            next_stores_to_ask.into_iter().map(|address| Effect::RequestReadIndex { address }),
        );
    }
}
