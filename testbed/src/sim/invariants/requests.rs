//! Requests: filings run at most once, and requests are answered wherever that was possible.

use super::recovery::RECOVERY_TIMEOUT;
use super::{Report, seconds};
use crate::sim::reachability::PROPAGATION_TIMEOUT;
use crate::sim::scenario::{Fault, Run};
use crate::sim::state::{Node, Request, RequestKind};
use std::collections::HashMap;
use std::time::Duration;
use vanepath_cluster::wire::{NodeInfo, Role};
use vanepath_config::ExecutionStatus;
use vanepath_proxy::lifecycle::Rejection;

/// Checks that a filing runs at most once, and that its client gets the correct execution status.
pub(super) fn check_at_most_once(run: &Run, report: &mut Report) {
    let mut runs: HashMap<usize, u32> = HashMap::new();
    for server in &run.sim.world.servers {
        for (request, count) in &server.runs {
            *runs.entry(*request).or_default() += count;
        }
    }
    for (number, request) in run.sim.world.requests.iter().enumerate() {
        if !matches!(request.kind, RequestKind::Filing | RequestKind::BoundFiling) {
            continue;
        }
        report.filings += 1;
        let count = runs.get(&number).copied().unwrap_or_default();
        if request.ended_at.is_none() {
            if count > 1 {
                report.violations.push(format!("filing {number} ran {count} times"));
            }
            continue;
        }
        match request.execution {
            ExecutionStatus::NotRun => report.filings_not_run += 1,
            ExecutionStatus::MayHaveRun => report.filings_may_have_run += 1,
            ExecutionStatus::Ran => {}
        }
        let is_correct = match request.execution {
            ExecutionStatus::Ran => count == 1,
            ExecutionStatus::NotRun => count == 0,
            ExecutionStatus::MayHaveRun => count <= 1,
        };
        if !is_correct {
            report.violations.push(format!(
                "filing {number} at {} was reported as {} and ran {count} times: {}",
                seconds(request.started_at),
                request.execution,
                request.reasons
            ));
        }
    }
}

/// Checks that no request is unanswered while some proxy and server could serve it, and that a filing is
/// reported as may-have-run only if a fault affected it.
pub(super) fn check_answered(run: &Run, report: &mut Report) {
    let apps = match run.sim.world.paths[0] {
        "/stock" => ["ordering", "documents"],
        _ => ["rolls", "extracts"],
    };
    let outages = outages(run);
    let mut reported = 0;
    for (number, request) in run.sim.world.requests.iter().enumerate() {
        let (app, region) = match request.kind {
            RequestKind::Lookup | RequestKind::Filing => (apps[0], None),
            RequestKind::BoundFiling => (apps[0], Some("north")),
            RequestKind::Bulk => (apps[1], None),
        };
        let is_filing = matches!(request.kind, RequestKind::Filing | RequestKind::BoundFiling);
        report.lookups += usize::from(!is_filing);
        let end = request.ended_at.unwrap_or(run.end);
        if request.ended_at.is_some() && request.execution == ExecutionStatus::Ran {
            continue;
        }
        report.lookups_lost += usize::from(!is_filing);
        if outages.iter().any(|(from, to)| request.started_at <= *to && end >= *from) {
            continue;
        }
        if is_rejected_by_key(request) {
            continue;
        }
        let may_have_run = is_filing && request.execution == ExecutionStatus::MayHaveRun;
        let is_violation = if may_have_run {
            !is_affected_by_fault(run, request, end)
        } else {
            could_have_been_served(run, request, (app, region), end)
        };
        if is_violation && reported < 5 {
            reported += 1;
            report.violations.push(format!(
                "{:?} {number} from {} at {} ended {} {}: {} {} after {} tries: {}",
                request.kind,
                run.sim.world.clients[request.client].name,
                seconds(request.started_at),
                request.ended_at.map_or("never".to_string(), seconds),
                if may_have_run { "may-have-run without a fault" } else { "unanswered" },
                request.execution,
                request.status,
                request.attempts,
                request.reasons
            ));
        }
    }
}

/// Whether a proxy rejected a request by its key, or because it could not judge the key.
fn is_rejected_by_key(request: &Request) -> bool {
    is_unauthorized(request) || request.reasons.contains(<&str>::from(Rejection::ConfigUnconfirmed))
}

/// Whether a proxy rejected a request because no tenant has its key.
pub(super) fn is_unauthorized(request: &Request) -> bool {
    request.reasons.contains(<&str>::from(Rejection::Unauthorized))
}

/// Whether a fault affected a request: its client, or a host to which it was sent.
fn is_affected_by_fault(run: &Run, request: &Request, end: Duration) -> bool {
    // The fault may have come up to a second before the request: a connection checked then may have failed
    // since.
    let from = request.started_at.saturating_sub(Duration::from_secs(1));
    let hosts = request.proxies_tried.iter().chain(&request.forwarded_by).chain(&request.sent_to);
    let client = &run.sim.world.clients[request.client].host;
    hosts.chain([client]).any(|host| run.sim.net.had_fault(*host, from, end))
}

/// Whether a proxy and a server without a fault could have served an unanswered request.
fn could_have_been_served(
    run: &Run,
    request: &Request,
    (app, region): (&str, Option<&str>),
    end: Duration,
) -> bool {
    // If region bounds moved, a proxy and a server without a fault must have existed in both regions.
    let bounds_move = run.faults.contains(&Fault::RegionBoundsMove);
    let other = region.filter(|_| bounds_move).map(|_| "middle");
    [region, other.or(region)]
        .into_iter()
        .all(|region| could_serve(run, app, region, request.client, (request.started_at, end)))
}

/// Whether there were a proxy and a server of the application without a fault in this period, both in the
/// region if one is given. The proxy must have had no fault for 3 s before, since it needs the configuration
/// first.
fn could_serve(
    run: &Run,
    app: &str,
    region: Option<&str>,
    client: usize,
    (from, to): (Duration, Duration),
) -> bool {
    let sim = &run.sim;
    // The only partition of clients separates them from the proxies of their own region.
    let client = &sim.world.clients[client];
    let is_cut = sim.net.had_fault(client.host, from, to);
    let is_reached =
        |info: &NodeInfo| !is_cut || client.zone.split('-').next() != Some(info.region.as_str());
    let is_within = |location: &str| region.is_none_or(|region| location == region);
    // A drained zone serves no requests, from the earliest time at which proxies may know of the drain until
    // all of them must know of its end.
    let is_drained = |zone: &str| {
        let delay = PROPAGATION_TIMEOUT;
        sim.reachability.zone_drains.iter().any(|drain| {
            drain.zone == zone
                && drain.from <= to + delay
                && drain.to.is_none_or(|at| at + delay >= from)
        })
    };
    let before = from.saturating_sub(Duration::from_secs(3));
    let has_no_fault = |host: usize, from: Duration| !sim.net.had_fault(host, from, to);
    let has_proxy = sim.nodes.iter().any(|node| {
        node.info.role == Role::Proxy
            && is_within(&node.info.region)
            && is_reached(&node.info)
            && !is_drained(&node.info.zone)
            && has_no_fault(node.host, before)
    });
    has_proxy
        && sim.world.servers.iter().any(|server| {
            server.app == app
                && is_within(&server.region)
                && !is_drained(&server.zone)
                && has_no_fault(server.host, from)
        })
}

/// The periods in which no proxy ran, each extended by the 15 s within which service has to resume.
fn outages(run: &Run) -> Vec<(Duration, Duration)> {
    let sim = &run.sim;
    let proxies: Vec<_> = sim.nodes.iter().filter(|node| node.info.role == Role::Proxy).collect();
    let is_down = |node: &Node, at: Duration| {
        node.down_periods.iter().any(|down| down.from <= at && down.to.is_none_or(|to| to > at))
    };
    let mut outages = Vec::new();
    for down in proxies.iter().flat_map(|node| &node.down_periods) {
        // An outage begins when the last running proxy goes down.
        if proxies.iter().all(|node| is_down(node, down.from)) {
            let restored_at = proxies
                .iter()
                .flat_map(|node| &node.down_periods)
                .filter_map(|other| other.to)
                .filter(|to| *to > down.from)
                .min();
            outages
                .push((down.from, restored_at.or(down.to).unwrap_or(run.end) + RECOVERY_TIMEOUT));
        }
    }
    outages
}
