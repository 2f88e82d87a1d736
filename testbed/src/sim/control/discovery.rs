//! Discovery: how registries read the platform's endpoint list.

use crate::sim::mutations::Mutation;
use crate::sim::network::{Body, Purpose, Timer};
use crate::sim::state::{RoleState, Sim};
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::gossip;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::Role;
use vanepath_config::endpoint_list::EndpointList;
use vanepath_registry::discovery::sequencer::{Effect as ListEffect, ListSequencer, READ_TIMEOUT};
use vanepath_registry::discovery::{PollOutcome, poller};

/// How long each page takes a registry in the platform's region, and one in another region.
const NEAR_PAGE_TIME: Duration = Duration::from_millis(2);
const FAR_PAGE_TIME: Duration = Duration::from_millis(110);

impl Sim {
    /// Lets a registry read the platform's endpoint list, if a read is due.
    pub(super) fn poll_endpoint_list(&mut self, index: usize, now: Duration, view: &ClusterView) {
        let host = self.nodes[index].host;
        let name = self.nodes[index].info.name.clone();
        let view_by_name = self
            .has_mutation(Mutation::ReadsListsByName)
            .then(|| ClusterView { list_readings: Default::default(), ..view.clone() });
        let view = view_by_name.as_ref().unwrap_or(view);
        let RoleState::Registry(registry) = &mut self.nodes[index].role_state else { return };
        let is_read_due = match self.has_unversioned_lists {
            true => {
                let draw = self.net.random.draw();
                let sequencer =
                    registry.list_sequencer.get_or_insert_with(|| ListSequencer::new(&name, draw));
                sequencer.on_tick(now, view) == Some(ListEffect::Read)
            }
            false => registry.last_poll_at.is_none_or(|at| now >= at + poller::POLL_INTERVAL),
        };
        if is_read_due {
            registry.last_poll_at = Some(now);
            let target = self.platform_host;
            self.net.send(
                host,
                target,
                READ_TIMEOUT,
                Body::ReadEndpointList,
                Purpose::EndpointList,
            );
        }
    }

    /// Handles the end of a registry's read of the endpoint list; `None` if the read failed.
    pub(in crate::sim) fn endpoint_list_received(
        &mut self,
        index: usize,
        list: Option<Arc<EndpointList>>,
    ) {
        if self.has_unversioned_lists {
            return self.unversioned_list_received(index, list);
        }
        let last = self.nodes[index].view.endpoints.clone();
        let Some(list) = list else { return };
        let outcome = poller::evaluate(&last, &list);
        if outcome == PollOutcome::Good && list.revision > last.revision {
            self.step_gossip(index, gossip::Event::EndpointListReceived(list));
        }
    }

    /// Handles the platform's first response to a read of a list that it does not number; `None` if the read
    /// failed. The other pages arrive later.
    fn unversioned_list_received(&mut self, index: usize, list: Option<Arc<EndpointList>>) {
        let read_time = self.remaining_read_time(index);
        if list.is_none() || read_time == Duration::ZERO {
            return self.complete_unversioned_read(index, list);
        }
        let host = self.nodes[index].host;
        let RoleState::Registry(registry) = &mut self.nodes[index].role_state else { return };
        registry.arriving_list = list.filter(|_| read_time <= READ_TIMEOUT);
        self.net.set_timer(host, read_time.min(READ_TIMEOUT), Timer::ListReadEnded);
    }

    /// Handles the end of a read whose pages arrived one after the other.
    pub(in crate::sim) fn list_read_ended(&mut self, index: usize) {
        let RoleState::Registry(registry) = &mut self.nodes[index].role_state else { return };
        let list = registry.arriving_list.take();
        self.complete_unversioned_read(index, list);
    }

    /// The time that the pages after the first one take. The platform is in the region of the registry whose
    /// name sorts last.
    fn remaining_read_time(&self, index: usize) -> Duration {
        let registries = self.nodes.iter().filter(|node| node.info.role == Role::Registry);
        let last = registries.max_by(|left, right| left.info.name.cmp(&right.info.name));
        let is_near = last.is_some_and(|last| last.info.region == self.nodes[index].info.region);
        let page_time = if is_near { NEAR_PAGE_TIME } else { FAR_PAGE_TIME };
        page_time * self.list_pages.saturating_sub(1)
    }

    /// Handles the end of a registry's read from a platform that does not number its lists; `None`
    /// if the read failed.
    fn complete_unversioned_read(&mut self, index: usize, list: Option<Arc<EndpointList>>) {
        let now = self.net.local_time(self.nodes[index].host);
        let view = self.nodes[index].view.clone();
        let RoleState::Registry(registry) = &mut self.nodes[index].role_state else { return };
        let Some(sequencer) = &mut registry.list_sequencer else { return };
        let source_revision = list.as_ref().map(|list| list.revision);
        let servers = list.map(|list| list.servers.clone());
        let reading = sequencer.reading();
        let reply = sequencer.on_read_completed(now, &view, servers);
        let new_reading = sequencer.reading().filter(|new_reading| Some(*new_reading) != reading);
        if let (Some(ListEffect::Publish { list, began_at }), Some(source_revision)) =
            (reply, source_revision)
        {
            let known_revision = self.source_list_revisions.entry(list.revision).or_default();
            *known_revision = source_revision.max(*known_revision);
            self.step_gossip(index, gossip::Event::EndpointListRead { list, began_at });
        }
        if let Some(new_reading) = new_reading {
            self.step_gossip(index, gossip::Event::ListReadingChanged(new_reading));
        }
    }

    /// Returns the platform's own revision of the list that has this revision within the fleet.
    pub fn source_list_revision(&self, revision: u64) -> u64 {
        match self.has_unversioned_lists {
            true => self.source_list_revisions.get(&revision).copied().unwrap_or_default(),
            false => revision,
        }
    }

    /// Returns the platform's response to a read: its list or, while it is faulty, something else
    /// in half of the responses. `None` is no response.
    pub(in crate::sim) fn endpoint_list_reply(&mut self) -> Option<Body> {
        if !self.endpoint_lists_faulty {
            return Some(Body::EndpointList(self.platform_list.clone()));
        }
        let revision = self.platform_list.revision;
        let mut list = (*self.platform_list).clone();
        match self.net.random.below(12) {
            0 => Some(Body::EndpointListText("{\"revision\": ".to_string())),
            1 => Some(Body::EndpointListText(format!(
                r#"{{"revision": {}, "servers": [{{"id": "x", "address": "nowhere", "zone": "z"}}]}}"#,
                revision + 5
            ))),
            2 => Some(Body::EndpointListText(format!(
                r#"{{"revision": {}, "servers": []}}"#,
                revision + 5
            ))),
            3 => Some(Body::EndpointListText("<html>503</html>".to_string())),
            4 => {
                // An older list, in which no server is draining.
                list.revision = revision.saturating_sub(1);
                list.servers.iter_mut().for_each(|server| server.draining = false);
                Some(Body::EndpointList(Arc::new(list)))
            }
            5 => None,
            _ => Some(Body::EndpointList(self.platform_list.clone())),
        }
    }

    /// Handles text that a registry received in place of an endpoint list.
    pub(in crate::sim) fn endpoint_list_text_received(&mut self, index: usize, text: &str) {
        let last = self.nodes[index].view.endpoints.clone();
        let (_, list) = poller::parse_response(&last, text.as_bytes());
        if let Some(list) = list {
            self.step_gossip(index, gossip::Event::EndpointListReceived(Arc::new(list)));
        }
    }
}
