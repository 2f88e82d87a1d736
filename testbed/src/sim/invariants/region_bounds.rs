//! Region bounds: requests that are bound to a region are processed only there.

use super::{Report, seconds};
use crate::sim::scenario::{MOVED_BOUNDS, Run};
use crate::sim::state::{RequestKind, ServerArrival};
use std::collections::BTreeSet;
use std::time::Duration;
use vanepath_proxy::connector;
use vanepath_store::protocol::Outcome;

/// Checks that filings bound to a region are neither forwarded nor served in another region.
pub(super) fn check(run: &Run, report: &mut Report) {
    // The revisions whose configurations bind filings to `middle`, according to the reads at the end of the
    // run.
    let moved_revisions: BTreeSet<u64> = run
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
    // A proxy uses the configuration that was active when it selected the server, which is before it
    // connected and checked the connection.
    let may_forward = |proxy: usize, at: Duration| {
        let Some(node) = run.sim.nodes.iter().find(|node| node.host == proxy) else {
            return false;
        };
        let from = at.saturating_sub(2 * connector::TIMEOUT);
        let before = node.revisions.iter().rev().find(|change| change.at <= from);
        let since = node.revisions.iter().filter(|change| change.at > from && change.at <= at);
        let region = node.info.region.as_str();
        since.chain(before).any(|change| {
            region == if moved_revisions.contains(&change.revision) { "middle" } else { "north" }
        })
    };
    for server in &run.sim.world.servers {
        for ServerArrival { at, request, proxy } in &server.arrivals {
            let is_bound = run.sim.world.requests[*request].kind == RequestKind::BoundFiling;
            let proxy_region = &run.sim.net.hosts[*proxy].region;
            if is_bound && (server.region != *proxy_region || !may_forward(*proxy, *at)) {
                report.violations.push(format!(
                    "bound filing {request} was forwarded in {proxy_region} and served in {} at {}",
                    server.region,
                    seconds(*at)
                ));
            }
        }
    }
}
