//! The invariants of a soak, checked on what was observed from outside.

use super::record::{Fault, Observations, Request, RequestEnd, ServerIncarnation};
use std::collections::HashMap;
use std::time::Duration;

/// Deadline that clients give a request.
pub const DEADLINE: Duration = Duration::from_secs(4);
/// A server receives no new requests from this long after the endpoint list showed it as draining.
const SERVER_DRAIN_TIMEOUT: Duration = Duration::from_secs(4);
/// The servers of a zone receive no requests from this long after it was drained.
const ZONE_DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// A response may come this long after the deadline of its request.
const RESPONSE_TOLERANCE: Duration = Duration::from_secs(1);
/// How long a fault affects requests after its end.
const FAULT_AFTERMATH: Duration = Duration::from_secs(4);
/// The fleet is stable within this time after the last fault.
pub const STABILIZATION_TIMEOUT: Duration = Duration::from_secs(20);
/// Growth of a process that is allowed from before the first fault until after the last one.
const MAX_MEMORY_GROWTH_KB: u64 = 48 << 10;
const MAX_OPEN_FILE_GROWTH: u64 = 120;
const MAX_THREAD_GROWTH: u64 = 8;
/// Violations of each invariant that are listed.
const MAX_LISTED_VIOLATIONS: usize = 5;

/// All violations of the invariants, a line each.
pub fn check(observations: &Observations) -> Vec<String> {
    let invariants: [fn(&Observations) -> Vec<String>; 11] = [
        sent_to_draining_servers,
        sent_to_drained_zones,
        sent_to_wrong_services,
        executed_twice_or_misreported,
        mismatched_responses,
        in_flight_requests_lost,
        given_up_at_servers_at_work,
        late_responses,
        revision_regressions,
        not_stable,
        grown_processes,
    ];
    invariants.iter().flat_map(|invariant| limited(invariant(observations))).collect()
}

/// Lists the first violations and counts the others.
fn limited(mut violations: Vec<String>) -> Vec<String> {
    let more = violations.len().saturating_sub(MAX_LISTED_VIOLATIONS);
    violations.truncate(MAX_LISTED_VIOLATIONS);
    if more > 0 {
        violations.push(format!("... and {more} more of these"));
    }
    violations
}

/// When all proxies must know of a change made at `from`: `bound` later, extended by every fault that may keep
/// it from them and that overlaps that time.
fn deadline(
    observations: &Observations,
    from: Duration,
    bound: Duration,
    is_excuse: impl Fn(&Fault) -> bool,
) -> Duration {
    let mut due = from + bound;
    loop {
        let intervals = observations.fault_intervals.iter();
        let intervals = intervals.filter(|interval| is_excuse(&interval.fault));
        let excuses =
            intervals.filter(|interval| interval.from <= due && interval.to + bound > due);
        let Some(later) = excuses.map(|interval| interval.to + bound).max() else { return due };
        due = later;
    }
}

/// Servers that are draining receive no new requests.
fn sent_to_draining_servers(observations: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    for server in &observations.servers {
        let Some(draining_since) = server.draining_since else { continue };
        let due = deadline(observations, draining_since, SERVER_DRAIN_TIMEOUT, |one| {
            *one == Fault::Platform
        });
        for arrival in server.arrivals.iter().filter(|arrival| arrival.at > due) {
            if is_from_isolated_proxy(observations, &arrival.request_id, draining_since) {
                continue;
            }
            let after_ms = (arrival.at - draining_since).as_millis();
            violations.push(format!(
                "request {} reached {} {after_ms} ms after the list showed it as leaving",
                arrival.request_id, server.id
            ));
        }
    }
    violations
}

/// Whether the proxy of a request may have got no updates, because its link was at fault. A suspended proxy
/// does not count.
fn is_from_isolated_proxy(observations: &Observations, request_id: &str, since: Duration) -> bool {
    let Some(request) = observations.requests.iter().find(|one| one.request_id == request_id)
    else {
        return false;
    };
    let is_of_link = |fault: &Fault| *fault == Fault::ProxyLink(request.proxy);
    observations.had_fault(since, request.ended_at, is_of_link)
}

/// Servers in drained zones receive no requests.
fn sent_to_drained_zones(observations: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    for drain in &observations.drained_zones {
        let due = deadline(observations, drain.from, ZONE_DRAIN_TIMEOUT, |one| *one == Fault::Core);
        let servers = observations.servers.iter().filter(|server| server.zone == drain.zone);
        for server in servers {
            let is_late = |at: Duration| at > due && at < drain.to;
            for arrival in server.arrivals.iter().filter(|arrival| is_late(arrival.at)) {
                if !is_from_isolated_proxy(observations, &arrival.request_id, drain.from) {
                    let after_ms = (arrival.at - drain.from).as_millis();
                    violations.push(format!(
                        "request {} reached {} in {} {after_ms} ms after that was emptied",
                        arrival.request_id, server.id, drain.zone
                    ));
                }
            }
        }
    }
    violations
}

/// Requests go to servers of their service, downloads also to those of the spillover service.
fn sent_to_wrong_services(observations: &Observations) -> Vec<String> {
    let is_wrong = |server: &ServerIncarnation, path: &str| {
        server.app == "documents" && !path.starts_with("/documents")
    };
    let mut violations = Vec::new();
    for server in &observations.servers {
        for arrival in server.arrivals.iter().filter(|arrival| is_wrong(server, &arrival.path)) {
            violations.push(format!(
                "request {} for {} reached {} of {}",
                arrival.request_id, arrival.path, server.id, server.app
            ));
        }
    }
    violations
}

/// At-most-once requests are executed at most once, and as their execution status says.
fn executed_twice_or_misreported(observations: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    for request in observations.requests.iter().filter(|request| request.kind.is_at_most_once()) {
        let count =
            observations.execution_counts.get(&request.request_id).copied().unwrap_or_default();
        let is_true = match &request.end {
            // With another status the server may have rejected the request.
            RequestEnd::Response { status: 200, execution, .. } if execution == "ran" => count == 1,
            RequestEnd::Response { execution, .. } if execution == "not-run" => count == 0,
            _ => count <= 1,
        };
        if !is_true {
            violations.push(format!(
                "{} {} ended as {} and ran {count} times",
                request.kind, request.request_id, request.end
            ));
        }
    }
    violations
}

/// Every successful response belongs to its request.
fn mismatched_responses(observations: &Observations) -> Vec<String> {
    let is_wrong = |request: &&Request| {
        matches!(&request.end, RequestEnd::Response { status: 200, is_correct: false, .. })
    };
    let wrong = observations.requests.iter().filter(is_wrong);
    wrong.map(|one| format!("{} {} got what is not its own", one.kind, one.request_id)).collect()
}

/// Whether a fault, rather than planned work, may have ended this request.
fn is_excused(observations: &Observations, request: &Request) -> bool {
    let from = request.sent_at.saturating_sub(FAULT_AFTERMATH);
    observations.had_fault(from, request.ended_at, |fault| match fault {
        Fault::Proxy(proxy) | Fault::ProxyLink(proxy) => *proxy == request.proxy,
        Fault::Server => true,
        Fault::Core | Fault::Platform => false,
    })
}

/// The response to an executed request reaches its client whatever planned work is done meanwhile.
fn in_flight_requests_lost(observations: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    for request in
        observations.requests.iter().filter(|one| matches!(one.end, RequestEnd::ConnectionClosed))
    {
        let has_run = observations.execution_counts.contains_key(&request.request_id);
        if has_run && !is_excused(observations, request) {
            violations.push(format!(
                "{} {} of proxy {} ran, and its connection ended {} ms after it was sent, without trouble",
                request.kind,
                request.request_id,
                request.proxy,
                (request.ended_at - request.sent_at).as_millis()
            ));
        }
    }
    violations
}

/// No request is given up before its deadline while a server works on it (incident 0019): a proxy that is killed,
/// suspended or cut off is the only excuse.
fn given_up_at_servers_at_work(observations: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    let is_aborted = |one: &&Request| observations.aborted_requests.contains(&one.request_id);
    for request in observations.requests.iter().filter(is_aborted) {
        let is_served = matches!(request.end, RequestEnd::Response { status: 200, .. });
        let is_late = request.ended_at - request.sent_at >= DEADLINE;
        let from = request.sent_at.saturating_sub(FAULT_AFTERMATH);
        let is_of_proxy = |fault: &Fault| matches!(fault, Fault::Proxy(proxy) | Fault::ProxyLink(proxy) if *proxy == request.proxy);
        let is_excused = observations.had_fault(from, request.ended_at, is_of_proxy);
        if !is_served && !is_late && !is_excused {
            violations.push(format!(
                "{} {} of proxy {} was given up at a server at work on it: {} after {} ms",
                request.kind,
                request.request_id,
                request.proxy,
                request.end,
                (request.ended_at - request.sent_at).as_millis()
            ));
        }
    }
    violations
}

/// Every request gets a response, and those that fail get it soon after their deadline.
fn late_responses(observations: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    for request in &observations.requests {
        let took = request.ended_at - request.sent_at;
        let is_late = match &request.end {
            RequestEnd::Response { status, .. } => {
                *status >= 500 && took > DEADLINE + RESPONSE_TOLERANCE
            }
            RequestEnd::Timeout => true,
            RequestEnd::ConnectionClosed => false,
        };
        if is_late && !is_excused(observations, request) {
            let (kind, request_id, proxy) = (request.kind, &request.request_id, request.proxy);
            let took_ms = took.as_millis();
            violations.push(format!(
                "{kind} {request_id} of proxy {proxy}: {} only after {took_ms} ms",
                request.end
            ));
        }
    }
    violations
}

/// No proxy goes back to an older revision, and no registry returns one that is older than an acknowledged one.
fn revision_regressions(observations: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    let mut highest: HashMap<&str, u64> = HashMap::new();
    for reading in &observations.proxy_revisions {
        let before = highest.entry(&reading.daemon).or_default();
        if reading.revision > 0 && reading.revision < *before {
            let (daemon, revision) = (&reading.daemon, reading.revision);
            violations.push(format!("{daemon} went from revision {before} back to {revision}"));
        }
        *before = reading.revision.max(*before);
    }
    for read in &observations.config_reads {
        let acknowledged =
            observations.acknowledged.iter().filter(|one| one.at < read.requested_at);
        let newest = acknowledged.map(|one| one.revision).max().unwrap_or_default();
        if read.revision < newest {
            let (daemon, revision) = (&read.daemon, read.revision);
            violations.push(format!(
                "{daemon} read out revision {revision}, and {newest} was acknowledged before"
            ));
        }
    }
    violations
}

/// The fleet is stable after the last fault, and serves every request then.
fn not_stable(observations: &Observations) -> Vec<String> {
    let Some(stable_at) = observations.stable_at else {
        return vec![format!(
            "not ready and calm {STABILIZATION_TIMEOUT:?} after the last trouble"
        )];
    };
    let is_failed = |request: &&Request| {
        request.sent_at >= stable_at
            && !matches!(request.end, RequestEnd::Response { status: 200, .. })
    };
    let failed = observations.requests.iter().filter(is_failed);
    failed
        .map(|one| format!("{} {} in the calm at the end: {}", one.kind, one.request_id, one.end))
        .collect()
}

/// No process leaks resources.
fn grown_processes(observations: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    for usage in &observations.usage {
        let (before, after) = (usage.before, usage.after);
        let is_grown = after.memory_kb > before.memory_kb + MAX_MEMORY_GROWTH_KB
            || after.open_files > before.open_files + MAX_OPEN_FILE_GROWTH
            || after.threads > before.threads + MAX_THREAD_GROWTH;
        if is_grown {
            violations.push(format!("{} had {before:?} before and {after:?} after", usage.daemon));
        }
    }
    violations
}

#[cfg(test)]
mod tests;
