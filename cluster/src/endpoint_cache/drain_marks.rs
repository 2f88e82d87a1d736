//! Draining marks that outlive an older list (design 4). Where two registries read a list that the platform
//! does not number at about the same time, the one that read earlier may give its list the higher revision. A
//! server that the other one has seen draining must not get requests again because of that.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use vanepath_config::endpoint_list::EndpointList;

/// A server that is shown as not draining again is believed once the read that shows it began this much later
/// than the last read that showed it as draining. The start of another node's read is known only as exactly as
/// messages travel.
const MARK_HOLD: Duration = Duration::from_secs(2);
/// The mark of a server that is not listed any more is kept this long.
const UNLISTED_MARK_HOLD: Duration = Duration::from_secs(10);

/// The servers that were shown as draining.
#[derive(Debug, Default)]
pub(super) struct DrainMarks {
    /// The start of the latest read that showed the server as draining, by the id of the server.
    shown_at: HashMap<String, Duration>,
}

impl DrainMarks {
    /// Learns from a list that a read begun at `read_at` returned; returns the list with the marks that are
    /// retained. Without a read time the platform itself orders its lists, and none is retained.
    pub(super) fn apply(
        &mut self,
        list: &Arc<EndpointList>,
        read_at: Option<Duration>,
    ) -> Arc<EndpointList> {
        let Some(read_at) = read_at else {
            self.shown_at.clear();
            return list.clone();
        };
        self.shown_at.retain(|_, shown_at| read_at < *shown_at + UNLISTED_MARK_HOLD);
        for server in list.servers.iter().filter(|server| server.draining) {
            let shown_at = self.shown_at.entry(server.id.clone()).or_default();
            *shown_at = read_at.max(*shown_at);
        }
        let is_retained = |id: &str| {
            self.shown_at.get(id).is_some_and(|shown_at| read_at < *shown_at + MARK_HOLD)
        };
        if !list.servers.iter().any(|server| !server.draining && is_retained(&server.id)) {
            return list.clone();
        }
        let mut servers = list.servers.clone();
        for server in &mut servers {
            server.draining |= is_retained(&server.id);
        }
        Arc::new(EndpointList { revision: list.revision, servers })
    }
}

#[cfg(test)]
mod tests;
