//! Judges of a soak, from outside the product and in its own terms. Pure.

use super::record::{End, Observed, Request, ServerLife, Trouble};
use std::time::Duration;

/// What clients give a request.
pub const DEADLINE: Duration = Duration::from_secs(4);
/// A server gets nothing any more so long after the list showed it as leaving.
const DRAIN_BOUND: Duration = Duration::from_secs(4);
/// Servers of a zone get nothing so long after it was emptied.
const EMPTY_BOUND: Duration = Duration::from_secs(5);
/// A request is answered so long after its time at the latest.
const ANSWER_SLACK: Duration = Duration::from_secs(1);
/// Trouble shows for so long after it is over.
const AFTERMATH: Duration = Duration::from_secs(4);
/// All is calm and ready so long after the last trouble.
pub const CALM_BOUND: Duration = Duration::from_secs(20);
/// What a process may take more in the calm after the troubles than in the calm before.
const MORE_MEMORY_KB: u64 = 48 << 10;
const MORE_FILES: u64 = 120;
const MORE_THREADS: u64 = 8;
/// Faults that are told of each judge.
const TOLD_MOST: usize = 5;

/// Every fault that the judges find, a line each.
pub fn judge(observed: &Observed) -> Vec<String> {
    let judges: [fn(&Observed) -> Vec<String>; 10] = [
        late_at_leaving_servers,
        sent_to_emptied_zones,
        wrong_services,
        run_twice_or_told_wrongly,
        wrong_answers,
        work_in_hand_lost,
        late_answers,
        older_configurations,
        not_calm,
        grown_processes,
    ];
    judges.iter().flat_map(|judge| told(judge(observed))).collect()
}

fn told(mut faults: Vec<String>) -> Vec<String> {
    let more = faults.len().saturating_sub(TOLD_MOST);
    faults.truncate(TOLD_MOST);
    if more > 0 {
        faults.push(format!("... and {more} more of these"));
    }
    faults
}

/// The time in which something could be known at all proxies, from a moment on: troubles that hide it stop the
/// clock, and for a while after.
fn known_after(
    observed: &Observed,
    from: Duration,
    bound: Duration,
    is_hiding: impl Fn(&Trouble) -> bool,
) -> Duration {
    let mut due = from + bound;
    loop {
        let spans = observed.spans.iter().filter(|span| is_hiding(&span.what));
        let hiding = spans.filter(|span| span.from <= due && span.to + bound > due);
        let Some(later) = hiding.map(|span| span.to + bound).max() else { return due };
        due = later;
    }
}

fn late_at_leaving_servers(observed: &Observed) -> Vec<String> {
    let mut faults = Vec::new();
    for server in &observed.servers {
        let Some(leaving_at) = server.leaving_at else { continue };
        let due = known_after(observed, leaving_at, DRAIN_BOUND, |one| *one == Trouble::Platform);
        for arrival in server.arrivals.iter().filter(|arrival| arrival.at > due) {
            if is_from_cut_proxy(observed, &arrival.number, leaving_at) {
                continue;
            }
            let after_ms = (arrival.at - leaving_at).as_millis();
            faults.push(format!(
                "request {} reached {} {after_ms} ms after the list showed it as leaving",
                arrival.number, server.id
            ));
        }
    }
    faults
}

/// Its proxy could not hear of anything: its link was in trouble. One that only stood still does not count.
fn is_from_cut_proxy(observed: &Observed, number: &str, since: Duration) -> bool {
    let Some(request) = observed.requests.iter().find(|one| one.number == number) else {
        return false;
    };
    let of_it = |trouble: &Trouble| *trouble == Trouble::ProxyLink(request.proxy);
    observed.is_troubled(since, request.ended_at, of_it)
}

fn sent_to_emptied_zones(observed: &Observed) -> Vec<String> {
    let mut faults = Vec::new();
    for emptied in &observed.emptied {
        let due = known_after(observed, emptied.from, EMPTY_BOUND, |one| *one == Trouble::Core);
        let servers = observed.servers.iter().filter(|server| server.zone == emptied.zone);
        for server in servers {
            let is_late = |at: Duration| at > due && at < emptied.to;
            for arrival in server.arrivals.iter().filter(|arrival| is_late(arrival.at)) {
                if !is_from_cut_proxy(observed, &arrival.number, emptied.from) {
                    let after_ms = (arrival.at - emptied.from).as_millis();
                    faults.push(format!(
                        "request {} reached {} in {} {after_ms} ms after that was emptied",
                        arrival.number, server.id, emptied.zone
                    ));
                }
            }
        }
    }
    faults
}

/// Downloads may go to the service of the other requests as well; nothing else may go elsewhere.
fn wrong_services(observed: &Observed) -> Vec<String> {
    let is_wrong = |server: &ServerLife, path: &str| {
        server.app == "documents" && !path.starts_with("/documents")
    };
    let mut faults = Vec::new();
    for server in &observed.servers {
        for arrival in server.arrivals.iter().filter(|arrival| is_wrong(server, &arrival.path)) {
            faults.push(format!(
                "request {} for {} reached {} of {}",
                arrival.number, arrival.path, server.id, server.app
            ));
        }
    }
    faults
}

fn run_twice_or_told_wrongly(observed: &Observed) -> Vec<String> {
    let mut faults = Vec::new();
    for request in observed.requests.iter().filter(|request| request.kind.is_once()) {
        let runs = observed.runs.get(&request.number).copied().unwrap_or_default();
        let is_true = match &request.end {
            // A server may also say by its status that it did not run it.
            End::Answered { status: 200, verdict, .. } if verdict == "ran" => runs == 1,
            End::Answered { verdict, .. } if verdict == "not-run" => runs == 0,
            _ => runs <= 1,
        };
        if !is_true {
            faults.push(format!(
                "{} {} ended as {:?} and ran {runs} times",
                request.kind, request.number, request.end
            ));
        }
    }
    faults
}

fn wrong_answers(observed: &Observed) -> Vec<String> {
    let is_wrong = |request: &&Request| {
        matches!(&request.end, End::Answered { status: 200, is_right: false, .. })
    };
    let wrong = observed.requests.iter().filter(is_wrong);
    wrong.map(|one| format!("{} {} got what is not its own", one.kind, one.number)).collect()
}

/// Whether anything but planned work could have ended this request.
fn is_excused(observed: &Observed, request: &Request) -> bool {
    let from = request.sent_at.saturating_sub(AFTERMATH);
    observed.is_troubled(from, request.ended_at, |trouble| match trouble {
        Trouble::Proxy(proxy) | Trouble::ProxyLink(proxy) => *proxy == request.proxy,
        Trouble::Server => true,
        Trouble::Core | Trouble::Platform => false,
    })
}

/// What a server ran comes back, whatever is stopped, started or changed as planned.
fn work_in_hand_lost(observed: &Observed) -> Vec<String> {
    let mut faults = Vec::new();
    for request in observed.requests.iter().filter(|one| matches!(one.end, End::Cut)) {
        let has_run = observed.runs.contains_key(&request.number);
        if has_run && !is_excused(observed, request) {
            faults.push(format!(
                "{} {} of proxy {} ran, and its connection ended {} ms after it was sent, without trouble",
                request.kind,
                request.number,
                request.proxy,
                (request.ended_at - request.sent_at).as_millis()
            ));
        }
    }
    faults
}

/// A request that is given up on is answered at once, and every one in its time.
fn late_answers(observed: &Observed) -> Vec<String> {
    let mut faults = Vec::new();
    for request in &observed.requests {
        let took = request.ended_at - request.sent_at;
        let is_late = match &request.end {
            End::Answered { status, .. } => *status >= 500 && took > DEADLINE + ANSWER_SLACK,
            End::Silence => true,
            End::Cut => false,
        };
        if is_late && !is_excused(observed, request) {
            let (kind, number, proxy) = (request.kind, &request.number, request.proxy);
            let took_ms = took.as_millis();
            faults.push(format!(
                "{kind} {number} of proxy {proxy}: {:?} only after {took_ms} ms",
                request.end
            ));
        }
    }
    faults
}

/// No daemon goes by, and no registry reads out, an older configuration than before.
fn older_configurations(observed: &Observed) -> Vec<String> {
    let mut faults = Vec::new();
    let mut highest: std::collections::HashMap<&str, u64> = Default::default();
    for told in &observed.told {
        let before = highest.entry(&told.daemon).or_default();
        if told.revision > 0 && told.revision < *before {
            let (daemon, revision) = (&told.daemon, told.revision);
            faults.push(format!("{daemon} went from revision {before} back to {revision}"));
        }
        *before = told.revision.max(*before);
    }
    for read in &observed.reads {
        let acknowledged = observed.acknowledged.iter().filter(|one| one.at < read.asked_at);
        let newest = acknowledged.map(|one| one.revision).max().unwrap_or_default();
        if read.revision < newest {
            let (daemon, revision) = (&read.daemon, read.revision);
            faults.push(format!(
                "{daemon} read out revision {revision}, and {newest} was acknowledged before"
            ));
        }
    }
    faults
}

fn not_calm(observed: &Observed) -> Vec<String> {
    let Some(calm_at) = observed.calm_at else {
        return vec![format!("not ready and calm {CALM_BOUND:?} after the last trouble")];
    };
    let is_failed = |request: &&Request| {
        request.sent_at >= calm_at && !matches!(request.end, End::Answered { status: 200, .. })
    };
    let failed = observed.requests.iter().filter(is_failed);
    failed
        .map(|one| format!("{} {} in the calm at the end: {:?}", one.kind, one.number, one.end))
        .collect()
}

fn grown_processes(observed: &Observed) -> Vec<String> {
    let mut faults = Vec::new();
    for usage in &observed.usage {
        let (before, after) = (usage.before, usage.after);
        let is_grown = after.memory_kb > before.memory_kb + MORE_MEMORY_KB
            || after.open_files > before.open_files + MORE_FILES
            || after.threads > before.threads + MORE_THREADS;
        if is_grown {
            faults.push(format!("{} had {before:?} before and {after:?} after", usage.daemon));
        }
    }
    faults
}

#[cfg(test)]
mod tests;
