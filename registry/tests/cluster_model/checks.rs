//! The checks on every node's endpoint list.

use super::ClusterModel;
use std::sync::Arc;
use std::time::Duration;

impl ClusterModel {
    pub(super) fn check_lists(&mut self, propagation_limit: Duration) {
        let now = self.now;
        for node in &mut self.nodes {
            let list = node.gossip.endpoints.current().clone();
            if Arc::ptr_eq(&node.last_checked, &list) {
                continue;
            }
            node.last_checked = list.clone();
            let name = &node.gossip.node_info().name;
            for server in &list.servers {
                if server.draining {
                    node.known_draining.entry(server.id.clone()).or_insert(now);
                } else if let Some(at) = node.known_draining.remove(&server.id) {
                    self.violations.push(format!(
                        "{now:?}: {name} knew since {at:?} that {} is draining, and its list now shows it as not draining",
                        server.id
                    ));
                }
            }
        }
        let due =
            self.draining_since.iter().filter(|(_, since)| **since + propagation_limit <= now);
        let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.draining_since.remove(&id);
            for (index, node) in self.nodes.iter().enumerate() {
                if !self.must_be_current(index) {
                    continue;
                }
                let servers = &node.gossip.endpoints.current().servers;
                if servers.iter().any(|server| server.id == id && !server.draining) {
                    let name = &node.gossip.node_info().name;
                    self.violations
                        .push(format!("{now:?}: {name} does not know that {id} is draining"));
                }
            }
        }
    }

    pub(super) fn check_final_lists(&mut self) {
        let mut expected = self.platform.list.clone();
        expected.sort_by(|left, right| left.id.cmp(&right.id));
        for (index, node) in self.nodes.iter().enumerate() {
            if !self.must_be_current(index) {
                continue;
            }
            let mut known_servers = node.gossip.endpoints.current().servers.clone();
            known_servers.sort_by(|left, right| left.id.cmp(&right.id));
            if known_servers != expected {
                let name = &node.gossip.node_info().name;
                let revision = node.gossip.endpoints.current().revision;
                self.violations.push(format!("at the end {name} has a list that differs from the platform's, revision {revision}"));
            }
        }
    }
}
