//! Region bounds: requests bound to a region stay there.

use super::{Report, seconds};
use crate::sim::scenario::{MOVED_BOUNDS, Run};
use crate::sim::state::{RequestKind, ServerArrival};
use std::collections::BTreeSet;
use std::time::Duration;
use vanepath_proxy::connector;
use vanepath_store::protocol::Outcome;

/// Checks that filings bound to a region are neither forwarded nor served elsewhere.
pub(super) fn check(run: &Run, report: &mut Report) {
    // The revisions that bind them to the middle, as they were read back at the end.
    let moved: BTreeSet<u64> = run
        .sim
        .world
        .history
        .iter()
        .filter_map(|(revision, outcome)| match outcome {
            Some(Outcome::Value { value }) => Some((*revision, value)),
            _ => None,
        })
        .filter(|(_, value)| String::from_utf8_lossy(&value.document).contains(MOVED_BOUNDS))
        .map(|(revision, _)| revision)
        .collect();
    // A proxy uses the configuration that it had when it selected the server: before it connected and
    // checked the connection.
    let may_forward = |proxy: usize, at: Duration| {
        let Some(node) = run.sim.nodes.iter().find(|node| node.host == proxy) else {
            return false;
        };
        let from = at.saturating_sub(2 * connector::TIMEOUT);
        let before = node.revisions.iter().rev().find(|one| one.at <= from);
        let since = node.revisions.iter().filter(|one| one.at > from && one.at <= at);
        let region = node.info.region.as_str();
        since
            .chain(before)
            .any(|one| region == if moved.contains(&one.revision) { "middle" } else { "north" })
    };
    for server in &run.sim.world.servers {
        for ServerArrival { at, request, proxy } in &server.arrivals {
            let is_bound = run.sim.world.requests[*request].kind == RequestKind::BoundFiling;
            let proxy_region = &run.sim.net.hosts[*proxy].region;
            if is_bound && (server.region != *proxy_region || !may_forward(*proxy, *at)) {
                report.violations.push(format!(
                    "bound filing {request} was carried in {proxy_region} and served in {} at {}",
                    server.region,
                    seconds(*at)
                ));
            }
        }
    }
}
