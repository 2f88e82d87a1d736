//! Judges of a day, from outside: the histories of callers, servers and operators, and what is in
//! force where. Each fault found is one line.

use super::control::What as Operate;
use super::data::What;
use super::day::Run;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use vanepath_cluster::wire::Role;
use vanepath_config::ExecutionStatus;
use vanepath_store::protocol::{Change, Outcome};

#[derive(Debug, Default)]
pub struct Judgement {
    pub faults: Vec<String>,
    pub lookups: usize,
    pub lookups_lost: usize,
    pub filings: usize,
    pub filings_not_run: usize,
    pub filings_may_have_run: usize,
    pub further_goes_part: f64,
    /// What came to proxies' doors beyond the first of each request, as a part of all requests.
    pub doors_part: f64,
    /// The most repeats in any ten seconds, less a fifth of the requests.
    pub worst_repeats: f64,
    /// How often a caller changed its place, on the mean.
    pub switches: f64,
    /// The highest load of one server and the mean of all, of those that tell what they are under.
    pub worst_load: f64,
    /// The most requests that a cold server got in one second, in parts of its modest rate.
    pub worst_cold: f64,
    pub worst_setup: Duration,
    pub worst_drain: Duration,
    /// How long each accepted change took to be in force on each proxy.
    pub setups: Vec<Duration>,
    pub resumed_after: Option<Duration>,
    pub accepted: usize,
    pub unknown: usize,
    pub nothing_done: usize,
    /// Between siblings, a second, all daemons together.
    pub sibling_bytes: f64,
    pub sibling_bytes_other_zone: f64,
    pub probes: f64,
    /// Saves of all stores for each accepted change.
    pub saves_per_change: f64,
}

pub fn judge(run: &Run) -> Judgement {
    let mut judgement = Judgement { faults: run.sim.faults.clone(), ..Judgement::default() };
    filings(run, &mut judgement);
    unanswered(run, &mut judgement);
    bounds(run, &mut judgement);
    budget(run, &mut judgement);
    receipts(run, &mut judgement);
    cold(run, &mut judgement);
    revisions(run, &mut judgement);
    operators(run, &mut judgement);
    judgement.faults.extend(super::worst::versions(&run.sim));
    evacuations(run, &mut judgement);
    judgement.faults.extend(run.sim.reach.faults.iter().cloned());
    judgement.worst_setup = run.sim.reach.worst_setup;
    judgement.worst_drain = run.sim.reach.worst_drain;
    resumption(run, &mut judgement);
    let callers = &run.sim.world.callers;
    let switches: u64 = callers.iter().map(|caller| caller.steering.switches).sum();
    judgement.switches = switches as f64 / callers.len().max(1) as f64;
    judgement.worst_load = run.sim.world.worst_load;
    let seconds = run.sim.net.now.as_secs_f64();
    judgement.sibling_bytes = run.sim.net.sibling_bytes as f64 / seconds;
    judgement.sibling_bytes_other_zone = run.sim.net.sibling_bytes_other_zone as f64 / seconds;
    judgement.probes = run.sim.world.probes as f64 / seconds;
    let saves = run.sim.daemons.iter().map(|daemon| match &daemon.duty {
        super::control::Duty::Store(store) => store.disk.saves,
        _ => 0,
    });
    judgement.saves_per_change = saves.sum::<u64>() as f64 / judgement.accepted.max(1) as f64;
    judgement
}

fn second(time: Duration) -> String {
    format!("{:.3} s", time.as_secs_f64())
}

/// A filing runs at most once, and the verdict on it is the truth.
fn filings(run: &Run, judgement: &mut Judgement) {
    let mut runs: HashMap<usize, u32> = HashMap::new();
    for server in &run.sim.world.servers {
        for (request, count) in &server.runs {
            *runs.entry(*request).or_default() += count;
        }
    }
    for (number, request) in run.sim.world.requests.iter().enumerate() {
        if !matches!(request.what, What::Filing | What::BoundFiling) {
            continue;
        }
        judgement.filings += 1;
        let count = runs.get(&number).copied().unwrap_or_default();
        if request.ended_at.is_none() {
            if count > 1 {
                judgement.faults.push(format!("filing {number} ran {count} times"));
            }
            continue;
        }
        match request.verdict {
            ExecutionStatus::NotRun => judgement.filings_not_run += 1,
            ExecutionStatus::MayHaveRun => judgement.filings_may_have_run += 1,
            ExecutionStatus::Ran => {}
        }
        let is_true = match request.verdict {
            ExecutionStatus::Ran => count == 1,
            ExecutionStatus::NotRun => count == 0,
            ExecutionStatus::MayHaveRun => count <= 1,
        };
        if !is_true {
            judgement.faults.push(format!(
                "filing {number} at {} was told {} and ran {count} times: {}",
                second(request.started_at),
                request.verdict,
                request.why
            ));
        }
    }
}

/// A proxy that was well from a little before, since it needs the setup first; and a server of the
/// application that was well; both within the bounds, if there are any.
fn could_serve(
    run: &Run,
    app: &str,
    region: Option<&str>,
    caller: usize,
    (from, to): (Duration, Duration),
) -> bool {
    let sim = &run.sim;
    // Callers are only ever cut from the proxies of their own region.
    let caller = &sim.world.callers[caller];
    let is_cut = sim.net.was_ill(caller.host, from, to);
    let is_reached = |card: &vanepath_cluster::wire::NodeInfo| {
        !is_cut || caller.zone.split('-').next() != Some(card.region.as_str())
    };
    let is_within = |one: &str| region.is_none_or(|region| one == region);
    // By the operator's word an emptied zone serves nothing, from when that may have been heard of
    // until its return is due everywhere.
    let is_emptied = |zone: &str| {
        let soon = super::reach::SOON;
        sim.reach.emptyings.iter().any(|one| {
            one.zone == zone && one.from <= to + soon && one.to.is_none_or(|at| at + soon >= from)
        })
    };
    let before = from.saturating_sub(Duration::from_secs(3));
    let is_well = |host: usize, from: Duration| !sim.net.was_ill(host, from, to);
    let has_proxy = sim.daemons.iter().any(|daemon| {
        daemon.card.role == Role::Proxy
            && is_within(&daemon.card.region)
            && is_reached(&daemon.card)
            && !is_emptied(&daemon.card.zone)
            && is_well(daemon.host, before)
    });
    has_proxy
        && sim.world.servers.iter().any(|server| {
            server.app == app
                && is_within(&server.region)
                && !is_emptied(&server.zone)
                && is_well(server.host, from)
        })
}

/// Times in which no proxy ran, each with the 15 s after it in which service has to resume.
fn outages(run: &Run) -> Vec<(Duration, Duration)> {
    let sim = &run.sim;
    let proxies: Vec<_> =
        sim.daemons.iter().filter(|daemon| daemon.card.role == Role::Proxy).collect();
    let is_down = |daemon: &super::control::Daemon, at: Duration| {
        daemon.downs.iter().any(|(from, to)| *from <= at && to.is_none_or(|to| to > at))
    };
    let mut outages = Vec::new();
    for (from, to) in proxies.iter().flat_map(|daemon| &daemon.downs) {
        // Somebody was the last to go.
        if proxies.iter().all(|daemon| is_down(daemon, *from)) {
            let back = proxies
                .iter()
                .flat_map(|daemon| &daemon.downs)
                .filter_map(|(_, to)| *to)
                .filter(|to| to > from)
                .min();
            outages.push((*from, back.or(*to).unwrap_or(run.end) + Duration::from_secs(15)));
        }
    }
    outages
}

/// No request goes unanswered while some place could serve it, and a filing is told may-have-run
/// only where something happened to it.
fn unanswered(run: &Run, judgement: &mut Judgement) {
    let apps = match run.sim.world.paths[0] {
        "/stock" => ["ordering", "documents"],
        _ => ["rolls", "extracts"],
    };
    let outages = outages(run);
    let mut shown = 0;
    for (number, request) in run.sim.world.requests.iter().enumerate() {
        let (app, region) = match request.what {
            What::Lookup | What::Filing => (apps[0], None),
            What::BoundFiling => (apps[0], Some("north")),
            What::Bulk => (apps[1], None),
        };
        let is_filing = matches!(request.what, What::Filing | What::BoundFiling);
        judgement.lookups += usize::from(!is_filing);
        let end = request.ended_at.unwrap_or(run.end);
        if request.ended_at.is_some() && request.verdict == ExecutionStatus::Ran {
            continue;
        }
        judgement.lookups_lost += usize::from(!is_filing);
        if outages.iter().any(|(from, to)| request.started_at <= *to && end >= *from) {
            continue;
        }
        let may_have_run = is_filing && request.verdict == ExecutionStatus::MayHaveRun;
        let is_fault = if may_have_run {
            // Greeted a second ago it may have died since.
            let before = request.started_at.saturating_sub(Duration::from_secs(1));
            let hosts = request.asked.iter().chain(&request.carriers).chain(&request.sent_to);
            let caller = &run.sim.world.callers[request.caller].host;
            !hosts.chain([caller]).any(|host| run.sim.net.was_ill(*host, before, end))
        } else {
            // Where bounds moved, both regions must have been well.
            let moves = run.faults.contains(&super::day::Fault::BoundsMove);
            let other = region.filter(|_| moves).map(|_| "middle");
            [region, other.or(region)].into_iter().all(|region| {
                could_serve(run, app, region, request.caller, (request.started_at, end))
            })
        };
        if is_fault && shown < 5 {
            shown += 1;
            judgement.faults.push(format!(
                "{:?} {number} from {} at {} ended {} {}: {} {} after {} tries: {}",
                request.what,
                run.sim.world.callers[request.caller].name,
                second(request.started_at),
                request.ended_at.map_or("never".to_string(), second),
                if may_have_run { "in doubt for nothing" } else { "unanswered" },
                request.verdict,
                request.status,
                request.tries,
                request.why
            ));
        }
    }
}

/// Work bound to regions is neither served nor carried elsewhere.
fn bounds(run: &Run, judgement: &mut Judgement) {
    // Which region each revision binds them to, by what was read back of it at the end.
    let moved: std::collections::BTreeSet<u64> = run
        .sim
        .world
        .history
        .iter()
        .filter_map(|(revision, outcome)| match outcome {
            Some(Outcome::Value { value }) => Some((*revision, value)),
            _ => None,
        })
        .filter(|(_, value)| String::from_utf8_lossy(&value.document).contains(super::day::MOVED))
        .map(|(revision, _)| revision)
        .collect();
    // A proxy goes by what was in force on it when it chose: up to a connection and a greeting ago.
    let may_carry = |proxy: usize, at: Duration| {
        let Some(daemon) = run.sim.daemons.iter().find(|daemon| daemon.host == proxy) else {
            return false;
        };
        let from = at.saturating_sub(2 * vanepath_proxy::connector::TIMEOUT);
        let before = daemon.revisions.iter().rev().find(|one| one.0 <= from);
        let since = daemon.revisions.iter().filter(|one| one.0 > from && one.0 <= at);
        let region = daemon.card.region.as_str();
        since
            .chain(before)
            .any(|one| region == if moved.contains(&one.2) { "middle" } else { "north" })
    };
    for server in &run.sim.world.servers {
        for (at, request, proxy) in &server.arrivals {
            let is_bound = run.sim.world.requests[*request].what == What::BoundFiling;
            let proxy_region = &run.sim.net.hosts[*proxy].region;
            if is_bound && (server.region != *proxy_region || !may_carry(*proxy, *at)) {
                judgement.faults.push(format!(
                    "bound filing {request} was carried in {proxy_region} and served in {} at {}",
                    server.region,
                    second(*at)
                ));
            }
        }
    }
}

/// Repeats in any ten seconds: at most a fifth of the traffic and three dozen. Counted from outside
/// and over the whole fleet: what came to a server, and what came to a proxy's door, beyond the first
/// of each request that a caller made; callers' further tries are among them. Proxies' further goes
/// are counted by themselves as well, since a connection that fails comes to no server.
fn budget(run: &Run, judgement: &mut Judgement) {
    let world = &run.sim.world;
    judgement.further_goes_part = world.further_goes.len() as f64 / world.took.len().max(1) as f64;
    let beyond_first = |mut arrivals: Vec<(Duration, usize)>| {
        arrivals.sort_unstable();
        let mut seen = std::collections::HashSet::new();
        arrivals.retain(|(_, request)| !seen.insert(*request));
        arrivals.into_iter().map(|(at, _)| at).collect::<Vec<Duration>>()
    };
    let arrived = world.servers.iter().flat_map(|server| &server.arrivals);
    let at_servers = beyond_first(arrived.map(|(at, request, _)| (*at, *request)).collect());
    let at_doors = beyond_first(world.doors.clone());
    judgement.doors_part = at_doors.len() as f64 / world.requests.len().max(1) as f64;
    let asked: Vec<Duration> = world.requests.iter().map(|request| request.started_at).collect();
    let window = Duration::from_secs(10);
    let within = |times: &[Duration], from: Duration| {
        let low = times.partition_point(|time| *time < from);
        let high = times.partition_point(|time| *time < from + window);
        high - low
    };
    for (what, repeats, traffic) in [
        ("further goes", &world.further_goes, &world.took),
        ("repeats at servers", &at_servers, &asked),
        ("repeats at proxies' doors", &at_doors, &asked),
    ] {
        for from in repeats {
            let count = within(repeats, *from);
            let requests = within(traffic, *from);
            judgement.worst_repeats =
                judgement.worst_repeats.max(count as f64 - 0.2 * requests as f64);
            if count as f64 > 0.2 * requests as f64 + 36.0 {
                judgement.faults.push(format!(
                    "{count} {what} on {requests} requests in the 10 s from {}",
                    second(*from)
                ));
                break;
            }
        }
    }
}

/// No receipt holds longer than 5 s.
fn receipts(run: &Run, judgement: &mut Judgement) {
    let longest = run.sim.world.longest_receipt;
    if longest > 5.0 {
        judgement.faults.push(format!("a receipt holds {longest} s"));
    }
    for caller in &run.sim.world.callers {
        for pair in caller.receipts.windows(2) {
            if pair[1].2 < pair[0].2 {
                judgement.faults.push(format!(
                    "{} got an order of revision {} after one of {}",
                    caller.name, pair[1].2, pair[0].2
                ));
            }
        }
    }
}

/// A server just back from cold gets no more than its modest rate: 10 a second for 4 s here, in any
/// second and without tolerance, for the proxies divide it and none of them takes another's part.
fn cold(run: &Run, judgement: &mut Judgement) {
    const RATE: usize = 10;
    let period = Duration::from_secs(4);
    for server in &run.sim.world.servers {
        for (back, away, is_noticeable) in &server.back {
            if !is_noticeable {
                continue;
            }
            let times: Vec<Duration> = server
                .arrivals
                .iter()
                .map(|(at, ..)| *at)
                .filter(|at| *at >= *back && *at < *back + period)
                .collect();
            for (index, from) in times.iter().enumerate() {
                let within =
                    times[index..].iter().filter(|at| **at < *from + Duration::from_secs(1));
                let count = within.count();
                judgement.worst_cold = judgement.worst_cold.max(count as f64 / RATE as f64);
                if count > RATE {
                    judgement.faults.push(format!(
                        "cold server {} (back at {}, away {}) got {count} requests in the second \
                         from {}",
                        server.id,
                        second(*back),
                        second(*away),
                        second(*from)
                    ));
                    break;
                }
            }
        }
    }
}

/// What is in force in a daemon never goes back within one life, and an accepted word is in force
/// on all proxies soon.
fn revisions(run: &Run, judgement: &mut Judgement) {
    let sim = &run.sim;
    for daemon in &sim.daemons {
        for pair in daemon.revisions.windows(2) {
            if pair[0].1 == pair[1].1 && pair[1].2 < pair[0].2 {
                judgement.faults.push(format!(
                    "{} went back from revision {} to {} at {}",
                    daemon.card.name,
                    pair[0].2,
                    pair[1].2,
                    second(pair[1].0)
                ));
            }
        }
    }
    // What any life of a name went by or offered binds all later ones (design 5.8).
    for daemon in &sim.daemons {
        let mut highest = (0, 0);
        for (at, life, revision) in &daemon.in_force {
            if *revision < highest.1 && *life != highest.0 {
                judgement.faults.push(format!(
                    "{} goes by revision {revision} in life {life} at {}, and went by {} in life {}",
                    daemon.card.name,
                    second(*at),
                    highest.1,
                    highest.0
                ));
            }
            if *revision >= highest.1 {
                highest = (*life, *revision);
            }
        }
    }
    // How long setups took, for the record; whether too long, `reach` judges.
    for operation in &sim.operations {
        let (Some(Outcome::Accepted { revision, is_repeat: false, .. }), Some(ended_at)) =
            (&operation.outcome, operation.ended_at)
        else {
            continue;
        };
        for daemon in sim.daemons.iter().filter(|daemon| daemon.card.role == Role::Proxy) {
            if sim.net.hosts[daemon.host].life == 1 {
                let reached = daemon.revisions.iter().find(|one| one.2 >= *revision);
                judgement.setups.extend(reached.map(|one| one.0.saturating_sub(ended_at)));
            }
        }
    }
}

/// The operators' history against a register with a total order: each accepted change has one
/// revision of its own, later ones higher ones, reads show what stands at their revision.
fn operators(run: &Run, judgement: &mut Judgement) {
    let sim = &run.sim;
    let mut faults = Vec::new();
    // What each revision holds, by whoever saw it.
    let mut held: BTreeMap<u64, (u64, Vec<u8>)> = BTreeMap::new();
    let mut see =
        |revision: u64, setup_revision: u64, setup: &[u8], who: &str| match held.get(&revision) {
            None => {
                held.insert(revision, (setup_revision, setup.to_vec()));
            }
            Some((other, bytes)) if *other == setup_revision && bytes == setup => {}
            Some(_) => faults.push(format!("revision {revision} has two contents, by {who}")),
        };
    for (revision, outcome) in &sim.world.history {
        match outcome {
            Some(Outcome::Value { value }) => {
                see(value.revision, value.config_revision, &value.document, "the end of the day");
                if value.revision != *revision {
                    see(
                        *revision,
                        value.config_revision,
                        &value.document,
                        "another revision's reply",
                    );
                }
            }
            // Leaps of a rescue and changes of seats have no setup of their own to miss.
            other => judgement
                .faults
                .push(format!("revision {revision} cannot be read at the end: {other:?}")),
        }
    }
    for operation in &sim.operations {
        if let Some(Outcome::Value { value }) = &operation.outcome {
            see(value.revision, value.config_revision, &value.document, "a read");
        }
    }
    // Tags and where they came into force at the end.
    let mut tags: HashMap<Vec<u8>, Vec<u64>> = HashMap::new();
    for (revision, (setup_revision, setup)) in &held {
        if revision == setup_revision && *revision > 0 {
            tags.entry(setup.clone()).or_default().push(*revision);
        }
    }
    for (setup, revisions) in &tags {
        let keys: std::collections::BTreeSet<&str> = sim
            .operations
            .iter()
            .filter_map(|operation| match &operation.what {
                Operate::Change { key, change: Change::ReplaceConfig { bytes, .. } }
                    if bytes == setup =>
                {
                    Some(key.as_str())
                }
                _ => None,
            })
            .collect();
        if revisions.len() > keys.len() {
            faults.push(format!("one submission came into force as {revisions:?}"));
        }
    }
    let mut done: Vec<(Duration, Duration, u64, bool, usize)> = Vec::new();
    for (number, operation) in sim.operations.iter().enumerate() {
        let ended_at = operation.ended_at.unwrap_or(Duration::MAX);
        match (&operation.what, &operation.outcome) {
            (
                Operate::Change { change, .. },
                Some(Outcome::Accepted {
                    revision,
                    config_revision: setup_revision,
                    is_repeat: repeat,
                }),
            ) => {
                judgement.accepted += usize::from(!repeat);
                if operation.what.is_invalid() {
                    faults.push(format!("operation {number}: an invalid setup was accepted"));
                }
                done.push((operation.started_at, ended_at, *revision, !repeat, number));
                // A version that was overtaken changes nothing; what it may be told `versions` judges.
                if let Change::ReplaceConfig { bytes, version, .. } = change
                    && !(version.is_some() && *repeat)
                    && held.get(setup_revision).is_some_and(|(_, setup)| setup != bytes)
                {
                    faults.push(format!(
                        "operation {number} was accepted as revision {revision}, which holds \
                         something else"
                    ));
                }
            }
            (
                Operate::Change { change: Change::ReplaceConfig { bytes, .. }, key },
                Some(outcome),
            ) => {
                let is_denied = matches!(
                    outcome,
                    Outcome::NotApplied { .. }
                        | Outcome::Conflict { .. }
                        | Outcome::VersionTaken { .. }
                );
                judgement.nothing_done += usize::from(is_denied);
                judgement.unknown += usize::from(*outcome == Outcome::Unknown);
                // Another submission under the same key may have got through.
                let is_only = sim
                    .operations
                    .iter()
                    .filter(|other| {
                        matches!(&other.what, Operate::Change { key: other, .. } if other == key)
                    })
                    .count()
                    == 1;
                if is_denied && is_only && tags.contains_key(bytes) {
                    faults.push(format!("operation {number} was told nothing done, and was done"));
                }
            }
            (Operate::Read, Some(Outcome::Value { value })) => {
                done.push((operation.started_at, ended_at, value.revision, false, number));
            }
            _ => {}
        }
    }
    done.sort();
    for (index, later) in done.iter().enumerate() {
        for earlier in &done[..index] {
            // `earlier` ended before `later` began.
            if earlier.1 < later.0 {
                let is_older = later.2 < earlier.2 || (later.3 && later.2 <= earlier.2);
                let is_repeat = matches!(
                    sim.operations[later.4].outcome,
                    Some(Outcome::Accepted { is_repeat: true, .. })
                );
                if is_older && !is_repeat {
                    faults.push(format!(
                        "operation {} saw revision {} after operation {} had seen {}",
                        later.4, later.2, earlier.4, earlier.2
                    ));
                }
            }
        }
    }
    faults.truncate(8);
    judgement.faults.extend(faults);
}

/// A zone is back once each order to empty it was withdrawn, however often orders were sent, and is not
/// before. (That nothing goes there meanwhile, `reach` judges.)
fn evacuations(run: &Run, judgement: &mut Judgement) {
    let sim = &run.sim;
    let Some((_, Some(Outcome::Value { value }))) = sim.world.history.last() else { return };
    let zones: std::collections::BTreeSet<&str> =
        sim.evacuations.iter().map(|one| one.zone).collect();
    for zone in zones {
        let of_zone = || sim.evacuations.iter().filter(|one| one.zone == zone);
        // Emptied by a key as well: that one's own business.
        let is_other = sim.operations.iter().any(|one| {
            matches!(&one.what, Operate::Change { change: Change::DrainZone { zone: other }, .. }
                if other == zone && one.what.order().is_none())
        });
        let stand = of_zone().filter(|one| {
            one.acknowledged_at[0].is_some() && one.asked_at[1].is_none_or(|at| at > run.end)
        });
        let is_emptied = value.drained_zones.contains(zone);
        let is_over = of_zone().all(|one| one.acknowledged_at[1].is_some());
        if is_over && is_emptied && !is_other {
            let text = format!("{zone} is emptied still, and every order was withdrawn");
            judgement.faults.push(text);
        }
        if stand.count() > 0 && !is_emptied {
            judgement.faults.push(format!("{zone} is back, and an order to empty it stands"));
        }
    }
}

/// After the last fault all is back within 15 s, each kind of service by itself: from some moment
/// within them on, each of its calls gets what it asked for.
fn resumption(run: &Run, judgement: &mut Judgement) {
    let over = run.last_fault_over;
    let world = &run.sim.world;
    let requests = |wanted: &'static [What]| {
        let of_kind = world.requests.iter().filter(move |request| wanted.contains(&request.what));
        let told = of_kind.map(|request| {
            (
                request.started_at,
                request.ended_at.is_some() && request.verdict == ExecutionStatus::Ran,
            )
        });
        told.collect::<Vec<(Duration, bool)>>()
    };
    let operations = |is_write: bool| {
        let of_kind = run
            .sim
            .operations
            .iter()
            .filter(|one| !one.what.is_invalid() && one.what.order().is_none())
            .filter(move |one| matches!(one.what, Operate::Change { .. }) == is_write);
        let told = of_kind.map(|one| {
            let is_good = match &one.outcome {
                Some(Outcome::NotApplied { .. } | Outcome::Unknown) | None => false,
                Some(_) => true,
            };
            (one.started_at, is_good)
        });
        told.collect::<Vec<(Duration, bool)>>()
    };
    let kinds = [
        ("lookups", requests(&[What::Lookup, What::Bulk])),
        ("filings", requests(&[What::Filing, What::BoundFiling])),
        ("directory polls", world.polls.clone()),
        ("operators' writes", operations(true)),
        ("operators' reads", operations(false)),
    ];
    for (kind, calls) in kinds {
        let after = calls.iter().filter(|(at, _)| *at >= over);
        let served = after.clone().filter(|(_, is_good)| *is_good).count();
        let lost = after.filter(|(_, is_good)| !is_good).map(|(at, _)| *at - over).max();
        let lost = lost.unwrap_or_default();
        if kind == "lookups" {
            judgement.resumed_after = (served > 0).then_some(lost);
        }
        let is_quiet =
            kind.starts_with("operators") && world.operator_every > Duration::from_secs(1);
        if (served == 0 && !is_quiet) || lost > Duration::from_secs(15) {
            judgement.faults.push(format!(
                "{served} {kind} served after the last fault; the last one lost {} after it",
                second(lost)
            ));
        }
    }
}
