//! Requests: at most one execution of filings, and an answer where one was possible.

use super::recovery::RECOVERY_TIMEOUT;
use super::{Report, seconds};
use crate::sim::reachability::PROPAGATION_TIMEOUT;
use crate::sim::scenario::{Fault, Run};
use crate::sim::state::{Node, Request, RequestKind};
use std::collections::HashMap;
use std::time::Duration;
use vanepath_cluster::wire::{NodeInfo, Role};
use vanepath_config::ExecutionStatus;

/// A filing runs at most once, and what its client is told of its execution is true.
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
        let is_true = match request.execution {
            ExecutionStatus::Ran => count == 1,
            ExecutionStatus::NotRun => count == 0,
            ExecutionStatus::MayHaveRun => count <= 1,
        };
        if !is_true {
            report.violations.push(format!(
                "filing {number} at {} was told {} and ran {count} times: {}",
                seconds(request.started_at),
                request.execution,
                request.reasons
            ));
        }
    }
}

/// No request goes unanswered while some proxy and server could serve it, and a filing is reported as
/// may-have-run only where a fault touched it.
pub(super) fn check_answered(run: &Run, report: &mut Report) {
    let apps = match run.sim.world.paths[0] {
        "/stock" => ["ordering", "documents"],
        _ => ["rolls", "extracts"],
    };
    let outages = outages(run);
    let mut shown = 0;
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
        let may_have_run = is_filing && request.execution == ExecutionStatus::MayHaveRun;
        let is_violation = if may_have_run {
            !had_a_reason(run, request, end)
        } else {
            should_have_been_served(run, request, (app, region), end)
        };
        if is_violation && shown < 5 {
            shown += 1;
            report.violations.push(format!(
                "{:?} {number} from {} at {} ended {} {}: {} {} after {} tries: {}",
                request.kind,
                run.sim.world.clients[request.client].name,
                seconds(request.started_at),
                request.ended_at.map_or("never".to_string(), seconds),
                if may_have_run { "in doubt for nothing" } else { "unanswered" },
                request.execution,
                request.status,
                request.attempts,
                request.reasons
            ));
        }
    }
}

/// Whether a fault touched a filing that is reported as may-have-run: its client, or a host that it
/// was sent to.
fn had_a_reason(run: &Run, request: &Request, end: Duration) -> bool {
    // A connection that was checked a second ago may have failed since.
    let from = request.started_at.saturating_sub(Duration::from_secs(1));
    let hosts = request.proxies_tried.iter().chain(&request.forwarded_by).chain(&request.sent_to);
    let client = &run.sim.world.clients[request.client].host;
    hosts.chain([client]).any(|host| run.sim.net.had_fault(*host, from, end))
}

/// Whether proxies and servers without a fault could have served an unanswered request.
fn should_have_been_served(
    run: &Run,
    request: &Request,
    (app, region): (&str, Option<&str>),
    end: Duration,
) -> bool {
    // Where region bounds moved, both regions must have been without a fault.
    let moves = run.faults.contains(&Fault::RegionBoundsMove);
    let other = region.filter(|_| moves).map(|_| "middle");
    [region, other.or(region)]
        .into_iter()
        .all(|region| could_serve(run, app, region, request.client, (request.started_at, end)))
}

/// Whether there was a proxy without a fault from a little before, since it needs the configuration
/// first, and a server of the application without a fault, both in the region if one is given.
fn could_serve(
    run: &Run,
    app: &str,
    region: Option<&str>,
    client: usize,
    (from, to): (Duration, Duration),
) -> bool {
    let sim = &run.sim;
    // Clients are only ever cut off from the proxies of their own region.
    let client = &sim.world.clients[client];
    let is_cut = sim.net.had_fault(client.host, from, to);
    let is_reached =
        |info: &NodeInfo| !is_cut || client.zone.split('-').next() != Some(info.region.as_str());
    let is_within = |one: &str| region.is_none_or(|region| one == region);
    // A drained zone serves nothing, from when proxies may know of the drain until its end is due
    // everywhere.
    let is_drained = |zone: &str| {
        let soon = PROPAGATION_TIMEOUT;
        sim.reachability.zone_drains.iter().any(|one| {
            one.zone == zone && one.from <= to + soon && one.to.is_none_or(|at| at + soon >= from)
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

/// The periods in which no proxy ran, each with the 15 s after it in which service has to resume.
fn outages(run: &Run) -> Vec<(Duration, Duration)> {
    let sim = &run.sim;
    let proxies: Vec<_> = sim.nodes.iter().filter(|node| node.info.role == Role::Proxy).collect();
    let is_down = |node: &Node, at: Duration| {
        node.down_periods.iter().any(|down| down.from <= at && down.to.is_none_or(|to| to > at))
    };
    let mut outages = Vec::new();
    for down in proxies.iter().flat_map(|node| &node.down_periods) {
        // The last proxy to go down begins an outage.
        if proxies.iter().all(|node| is_down(node, down.from)) {
            let back = proxies
                .iter()
                .flat_map(|node| &node.down_periods)
                .filter_map(|other| other.to)
                .filter(|to| *to > down.from)
                .min();
            outages.push((down.from, back.or(down.to).unwrap_or(run.end) + RECOVERY_TIMEOUT));
        }
    }
    outages
}
