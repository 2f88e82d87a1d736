//! The invariants of a soak test, checked against what was observed from the outside.

use super::api_keys::ApiKey;
use super::record::{
    Fault, Observations, Request, RequestEnd, RequestKind, ServerIncarnation, UsageComparison,
};
use std::collections::HashMap;
use std::time::Duration;

/// The proxies' lease on the configuration: their default setting.
const CONFIG_LEASE: Duration = Duration::from_secs(5);
/// Deadline that clients set for a request.
pub const DEADLINE: Duration = Duration::from_secs(4);
/// A server must receive no new requests once this time has passed since the endpoint list showed it as
/// draining.
const SERVER_DRAIN_TIMEOUT: Duration = Duration::from_secs(4);
/// The servers of a zone must receive no requests once this time has passed since the zone was drained.
const ZONE_DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// A failure response may arrive this long after the deadline of its request.
const RESPONSE_TOLERANCE: Duration = Duration::from_secs(1);
/// How long after its end a fault may still affect requests.
const FAULT_AFTERMATH: Duration = Duration::from_secs(4);
/// The fleet must be stable within this time after the last fault.
pub const STABILIZATION_TIMEOUT: Duration = Duration::from_secs(20);
/// Permitted growth in memory, open files and threads of a process over the whole script.
const MAX_MEMORY_GROWTH_KB: u64 = 48 << 10;
const MAX_OPEN_FILE_GROWTH: u64 = 120;
const MAX_THREAD_GROWTH: u64 = 8;
/// How many violations of each invariant are listed.
const MAX_LISTED_VIOLATIONS: usize = 5;

/// Checks all invariants and returns their violations, one line each.
pub fn check(observations: &Observations) -> Vec<String> {
    let invariants: [fn(&Observations) -> Vec<String>; 16] = [
        sent_to_draining_servers,
        sent_to_drained_zones,
        left_drained,
        sent_to_wrong_services,
        wrong_tenants,
        sent_with_removed_keys,
        valid_keys_rejected,
        executed_twice_or_misreported,
        mismatched_responses,
        in_flight_requests_lost,
        rejections_lost,
        abandoned_during_execution,
        late_responses,
        revision_regressions,
        unstable_after_faults,
        resource_leaks,
    ];
    invariants.iter().flat_map(|invariant| truncate_list(invariant(observations))).collect()
}

/// Keeps the first violations and replaces the others by their number.
fn truncate_list(mut violations: Vec<String>) -> Vec<String> {
    let omitted = violations.len().saturating_sub(MAX_LISTED_VIOLATIONS);
    violations.truncate(MAX_LISTED_VIOLATIONS);
    if omitted > 0 {
        violations.push(format!("... and {omitted} more violations of this invariant"));
    }
    violations
}

/// The time by which all proxies must know of a change made at `from`: `bound` later, extended by every fault
/// that overlaps this period and for which `is_relevant` holds, since it may delay the change.
fn propagation_deadline(
    observations: &Observations,
    from: Duration,
    bound: Duration,
    is_relevant: impl Fn(&Fault) -> bool,
) -> Duration {
    let mut due = from + bound;
    loop {
        let intervals = observations.fault_intervals.iter();
        let intervals = intervals.filter(|interval| is_relevant(&interval.fault));
        let extending =
            intervals.filter(|interval| interval.from <= due && interval.to + bound > due);
        let Some(later) = extending.map(|interval| interval.to + bound).max() else { return due };
        due = later;
    }
}

/// Servers that are draining must receive no new requests.
fn sent_to_draining_servers(observations: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    for server in &observations.servers {
        let Some(draining_since) = server.draining_since else { continue };
        let due =
            propagation_deadline(observations, draining_since, SERVER_DRAIN_TIMEOUT, |fault| {
                *fault == Fault::Platform
            });
        for arrival in server.arrivals.iter().filter(|arrival| arrival.at > due) {
            if is_from_isolated_proxy(observations, &arrival.request_id, draining_since) {
                continue;
            }
            let after_ms = (arrival.at - draining_since).as_millis();
            violations.push(format!(
                "request {} reached {} {after_ms} ms after the endpoint list showed it as draining",
                arrival.request_id, server.id
            ));
        }
    }
    violations
}

/// Whether a link fault may have kept updates from the proxy of this request. The suspension
/// of a proxy does not count.
fn is_from_isolated_proxy(observations: &Observations, request_id: &str, since: Duration) -> bool {
    let Some(request) =
        observations.requests.iter().find(|request| request.request_id == request_id)
    else {
        return false;
    };
    let is_of_link = |fault: &Fault| *fault == Fault::ProxyLink(request.proxy);
    observations.had_fault(since, request.ended_at, is_of_link)
}

/// A zone must not be drained any more once its restoration was acknowledged.
fn left_drained(observations: &Observations) -> Vec<String> {
    let zones = observations.zones_left_drained.iter();
    zones.map(|zone| format!("zone {zone} is still drained after it was restored")).collect()
}

/// Servers in drained zones must receive no requests.
fn sent_to_drained_zones(observations: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    for drain in &observations.drained_zones {
        let due = propagation_deadline(observations, drain.from, ZONE_DRAIN_TIMEOUT, |fault| {
            *fault == Fault::Core
        });
        let servers = observations.servers.iter().filter(|server| server.zone == drain.zone);
        for server in servers {
            let is_late = |at: Duration| at > due && at < drain.to;
            for arrival in server.arrivals.iter().filter(|arrival| is_late(arrival.at)) {
                if !is_from_isolated_proxy(observations, &arrival.request_id, drain.from) {
                    let after_ms = (arrival.at - drain.from).as_millis();
                    violations.push(format!(
                        "request {} reached {} in zone {} {after_ms} ms after the zone was drained",
                        arrival.request_id, server.id, drain.zone
                    ));
                }
            }
        }
    }
    violations
}

/// Requests must go to servers of their service; downloads may also go to servers of the spillover service.
fn sent_to_wrong_services(observations: &Observations) -> Vec<String> {
    let is_wrong = |server: &ServerIncarnation, path: &str| {
        server.app == "documents" && !path.starts_with("/documents")
    };
    let mut violations = Vec::new();
    for server in &observations.servers {
        for arrival in server.arrivals.iter().filter(|arrival| is_wrong(server, &arrival.path)) {
            violations.push(format!(
                "request {} for {} reached server {} of service {}",
                arrival.request_id, arrival.path, server.id, server.app
            ));
        }
    }
    violations
}

/// Servers must be told the tenant that has the key of a request, and never the key.
fn wrong_tenants(observations: &Observations) -> Vec<String> {
    let keys = keys_by_request(observations);
    let mut violations = Vec::new();
    for arrival in observations.servers.iter().flat_map(|server| &server.arrivals) {
        if arrival.has_key {
            let text = format!("the server of request {} got its API key", arrival.request_id);
            violations.push(text);
        }
        let Some((key, _)) = keys.get(arrival.request_id.as_str()) else { continue };
        if arrival.tenant != key.tenant() {
            violations.push(format!(
                "request {} of tenant {} was sent for tenant '{}'",
                arrival.request_id,
                key.tenant(),
                arrival.tenant
            ));
        }
    }
    violations
}

/// No request may reach a server that was sent more than the lease after its key had been taken away. No
/// fault excuses a proxy.
fn sent_with_removed_keys(observations: &Observations) -> Vec<String> {
    let keys = keys_by_request(observations);
    let mut violations = Vec::new();
    for arrival in observations.servers.iter().flat_map(|server| &server.arrivals) {
        let Some((ApiKey::OfVersion(version), sent_at)) = keys.get(arrival.request_id.as_str())
        else {
            continue;
        };
        let removal = observations
            .acknowledged
            .iter()
            .filter(|config| config.version > *version)
            .map(|config| config.at)
            .min();
        let Some(removed_at) = removal.filter(|at| *sent_at > *at + CONFIG_LEASE) else { continue };
        violations.push(format!(
            "request {} was sent {} ms after its key had been taken away, and reached a server",
            arrival.request_id,
            (*sent_at - removed_at).as_millis()
        ));
    }
    violations
}

/// The API key of each request, and when the request was sent, by the identifier of the request.
fn keys_by_request(observations: &Observations) -> HashMap<&str, (ApiKey, Duration)> {
    let requests = observations.requests.iter();
    requests.map(|request| (request.request_id.as_str(), (request.key, request.sent_at))).collect()
}

/// A key that is never taken away must never be rejected for good.
fn valid_keys_rejected(observations: &Observations) -> Vec<String> {
    let is_rejected = |request: &&Request| {
        request.key == ApiKey::Permanent
            && matches!(request.end, RequestEnd::Response { status: 401, .. })
    };
    let rejected = observations.requests.iter().filter(is_rejected);
    rejected
        .map(|request| {
            format!("request {} with a valid key was rejected with 401", request.request_id)
        })
        .collect()
}

/// At-most-once requests must be executed at most once, and their execution status must be true.
fn executed_twice_or_misreported(observations: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    for request in observations.requests.iter().filter(|request| request.kind.is_at_most_once()) {
        let count =
            observations.execution_counts.get(&request.request_id).copied().unwrap_or_default();
        let is_true = match &request.end {
            // With another HTTP status the server may have rejected the request without executing it.
            RequestEnd::Response { status: 200, execution, .. } if execution == "ran" => count == 1,
            RequestEnd::Response { execution, .. } if execution == "not-run" => count == 0,
            _ => count <= 1,
        };
        if !is_true {
            violations.push(format!(
                "{} {} ended as {} and was executed {count} times",
                request.kind, request.request_id, request.end
            ));
        }
    }
    violations
}

/// Every successful response must belong to its request.
fn mismatched_responses(observations: &Observations) -> Vec<String> {
    let is_mismatched = |request: &&Request| {
        matches!(&request.end, RequestEnd::Response { status: 200, is_correct: false, .. })
    };
    let mismatched = observations.requests.iter().filter(is_mismatched);
    mismatched
        .map(|request| {
            format!("{} {} got a response that is not its own", request.kind, request.request_id)
        })
        .collect()
}

/// Whether a fault, as opposed to a planned operation, may have made this request fail.
fn may_be_affected_by_fault(observations: &Observations, request: &Request) -> bool {
    let from = request.sent_at.saturating_sub(FAULT_AFTERMATH);
    observations.had_fault(from, request.ended_at, |fault| match fault {
        Fault::Proxy(proxy) | Fault::ProxyLink(proxy) => *proxy == request.proxy,
        Fault::Server => true,
        Fault::Core | Fault::Platform => false,
    })
}

/// The response to an executed request must reach its client, whatever planned operations take place
/// meanwhile.
fn in_flight_requests_lost(observations: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    for request in observations.requests.iter().filter(|request| is_connection_lost(&request.end)) {
        let has_run = observations.execution_counts.contains_key(&request.request_id);
        if has_run && !may_be_affected_by_fault(observations, request) {
            violations.push(format!(
                "{} {} of proxy {} was executed, but ended as {} {} ms after it was sent, without a fault",
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

fn is_connection_lost(end: &RequestEnd) -> bool {
    matches!(end, RequestEnd::ConnectionClosed | RequestEnd::ConnectionReset)
}

/// The rejection of an upload must reach its client, although the client is still sending (incident 0024).
fn rejections_lost(observations: &Observations) -> Vec<String> {
    let is_lost = |request: &&Request| {
        let from = request.sent_at.saturating_sub(FAULT_AFTERMATH);
        let is_of_proxy = |fault: &Fault| matches!(fault, Fault::Proxy(proxy) | Fault::ProxyLink(proxy) if *proxy == request.proxy);
        request.kind == RequestKind::RejectedUpload
            && is_connection_lost(&request.end)
            && !observations.had_fault(from, request.ended_at, is_of_proxy)
    };
    let lost = observations.requests.iter().filter(is_lost);
    lost.map(|request| {
        format!(
            "{} {} of proxy {} ended as {} {} ms after it was sent, without a fault",
            request.kind,
            request.request_id,
            request.proxy,
            request.end,
            (request.ended_at - request.sent_at).as_millis()
        )
    })
    .collect()
}

/// No proxy may abandon a request before its deadline while a server is executing it (incident 0019),
/// unless the proxy is killed, suspended or isolated.
fn abandoned_during_execution(observations: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    let is_aborted =
        |request: &&Request| observations.aborted_requests.contains(&request.request_id);
    for request in observations.requests.iter().filter(is_aborted) {
        let is_served = matches!(
            request.end,
            RequestEnd::Response { status: 200, .. } | RequestEnd::LeftByClient
        );
        let is_late = request.ended_at - request.sent_at >= DEADLINE;
        let from = request.sent_at.saturating_sub(FAULT_AFTERMATH);
        let is_of_proxy = |fault: &Fault| matches!(fault, Fault::Proxy(proxy) | Fault::ProxyLink(proxy) if *proxy == request.proxy);
        let is_proxy_fault = observations.had_fault(from, request.ended_at, is_of_proxy);
        if !is_served && !is_late && !is_proxy_fault {
            violations.push(format!(
                "{} {} of proxy {} was abandoned while a server was executing it: {} after {} ms",
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

/// Every request must get a response, and those that fail must get it soon after their deadline.
fn late_responses(observations: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    for request in &observations.requests {
        let duration = request.ended_at - request.sent_at;
        let is_late = match &request.end {
            RequestEnd::Response { status, .. } => {
                *status >= 500 && duration > DEADLINE + RESPONSE_TOLERANCE
            }
            RequestEnd::Timeout => true,
            RequestEnd::ConnectionClosed
            | RequestEnd::ConnectionReset
            | RequestEnd::LeftByClient => false,
        };
        if is_late && !may_be_affected_by_fault(observations, request) {
            let (kind, request_id, proxy) = (request.kind, &request.request_id, request.proxy);
            let duration_ms = duration.as_millis();
            violations.push(format!(
                "{kind} {request_id} of proxy {proxy}: {} only after {duration_ms} ms",
                request.end
            ));
        }
    }
    violations
}

/// No proxy may go back to an older revision, and no registry may return a configuration that is older than
/// one that was acknowledged before the request.
fn revision_regressions(observations: &Observations) -> Vec<String> {
    let mut violations = Vec::new();
    let mut highest: HashMap<&str, u64> = HashMap::new();
    for reading in &observations.proxy_revisions {
        let before = highest.entry(&reading.daemon).or_default();
        if reading.revision > 0 && reading.revision < *before {
            let (daemon, revision) = (&reading.daemon, reading.revision);
            violations.push(format!("{daemon} went back from revision {before} to {revision}"));
        }
        *before = reading.revision.max(*before);
    }
    for read in &observations.config_reads {
        let acknowledged =
            observations.acknowledged.iter().filter(|config| config.at < read.requested_at);
        let newest = acknowledged.map(|config| config.revision).max().unwrap_or_default();
        if read.revision < newest {
            let (daemon, revision) = (&read.daemon, read.revision);
            violations.push(format!(
                "{daemon} returned revision {revision} after {newest} was acknowledged"
            ));
        }
    }
    violations
}

/// The fleet must become stable after the last fault, and must serve every request from then on.
fn unstable_after_faults(observations: &Observations) -> Vec<String> {
    let Some(stable_at) = observations.stable_at else {
        return vec![format!("fleet is not stable {STABILIZATION_TIMEOUT:?} after the last fault")];
    };
    // A rotating key may have been taken away.
    let is_failed = |request: &&Request| {
        request.sent_at >= stable_at
            && request.key == ApiKey::Permanent
            && request.kind != RequestKind::RejectedUpload
            && !matches!(
                request.end,
                RequestEnd::Response { status: 200, .. } | RequestEnd::LeftByClient
            )
    };
    let failed = observations.requests.iter().filter(is_failed);
    failed
        .map(|request| {
            format!(
                "{} {} failed after the fleet was stable: {}",
                request.kind, request.request_id, request.end
            )
        })
        .collect()
}

/// No process may leak memory, open files or threads.
fn resource_leaks(observations: &Observations) -> Vec<String> {
    let grown = observations.usage.iter().filter(|usage| has_grown(usage));
    grown
        .map(|usage| format!("{} grew from {:?} to {:?}", usage.daemon, usage.before, usage.after))
        .collect()
}

/// Whether a process uses more than the permitted growth allows.
pub(super) fn has_grown(usage: &UsageComparison) -> bool {
    let (before, after) = (usage.before, usage.after);
    after.memory_kb > before.memory_kb + MAX_MEMORY_GROWTH_KB
        || after.open_files > before.open_files + MAX_OPEN_FILE_GROWTH
        || after.threads > before.threads + MAX_THREAD_GROWTH
}

#[cfg(test)]
mod tests;
