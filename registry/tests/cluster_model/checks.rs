//! What must hold of every node's endpoint list.

use super::ClusterModel;
use std::sync::Arc;
use std::time::Duration;

impl ClusterModel {
    pub(super) fn check(&mut self, bound: Duration) {
        let now = self.now;
        for node in &mut self.nodes {
            let list = node.gossip.endpoints.current().clone();
            if Arc::ptr_eq(&node.checked, &list) {
                continue;
            }
            node.checked = list.clone();
            let name = &node.gossip.node_info().name;
            for server in &list.servers {
                if server.draining {
                    node.known_draining.entry(server.id.clone()).or_insert(now);
                } else if let Some(at) = node.known_draining.remove(&server.id) {
                    self.violations.push(format!(
                        "{now:?}: {name} knew from {at:?} on that {} leaves, and takes it for one that stays",
                        server.id
                    ));
                }
            }
        }
        let due = self.draining_since.iter().filter(|(_, since)| **since + bound <= now);
        let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.draining_since.remove(&id);
            for node in &self.nodes {
                let servers = &node.gossip.endpoints.current().servers;
                if servers.iter().any(|one| one.id == id && !one.draining) {
                    let name = &node.gossip.node_info().name;
                    self.violations.push(format!("{now:?}: {name} does not know that {id} leaves"));
                }
            }
        }
    }

    pub(super) fn check_end(&mut self) {
        let mut expected = self.platform_list.clone();
        expected.sort_by(|left, right| left.id.cmp(&right.id));
        for node in &self.nodes {
            let mut known = node.gossip.endpoints.current().servers.clone();
            known.sort_by(|left, right| left.id.cmp(&right.id));
            if known != expected {
                let name = &node.gossip.node_info().name;
                let revision = node.gossip.endpoints.current().revision;
                self.violations.push(format!("at the end {name} has another list, {revision}"));
            }
        }
    }
}
