//! The retry budget of the whole fleet.

use super::{Report, seconds};
use crate::sim::scenario::Run;
use std::collections::HashSet;
use std::time::Duration;

/// The window in which retries are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Checks the retries of any ten seconds: at most a fifth of the traffic and three dozen. They are
/// counted from outside and over the whole fleet: the requests that came to a server, and those that
/// came to a proxy, beyond the first arrival of each request of a client; clients' further attempts are
/// among them. The retries of proxies are counted by themselves as well, since an attempt whose
/// connection fails comes to no server.
pub(super) fn check(run: &Run, report: &mut Report) {
    let world = &run.sim.world;
    report.proxy_retry_ratio = world.retries.len() as f64 / world.admitted_at.len().max(1) as f64;
    let arrived = world.servers.iter().flat_map(|server| &server.arrivals);
    let at_servers = beyond_first(arrived.map(|one| (one.at, one.request)).collect());
    let at_proxies =
        beyond_first(world.proxy_arrivals.iter().map(|one| (one.at, one.request)).collect());
    report.client_retry_ratio = at_proxies.len() as f64 / world.requests.len().max(1) as f64;
    let started: Vec<Duration> = world.requests.iter().map(|request| request.started_at).collect();
    for (what, repeats, traffic) in [
        ("further goes", &world.retries, &world.admitted_at),
        ("repeats at servers", &at_servers, &started),
        ("repeats at proxies' doors", &at_proxies, &started),
    ] {
        for from in repeats {
            let count = within(repeats, *from);
            let requests = within(traffic, *from);
            report.worst_retry_excess =
                report.worst_retry_excess.max(count as f64 - 0.2 * requests as f64);
            if count as f64 > 0.2 * requests as f64 + 36.0 {
                report.violations.push(format!(
                    "{count} {what} on {requests} requests in the 10 s from {}",
                    seconds(*from)
                ));
                break;
            }
        }
    }
}

/// The times of arrivals beyond the first of each request, in order.
fn beyond_first(mut arrivals: Vec<(Duration, usize)>) -> Vec<Duration> {
    arrivals.sort_unstable();
    let mut seen = HashSet::new();
    arrivals.retain(|(_, request)| !seen.insert(*request));
    arrivals.into_iter().map(|(at, _)| at).collect()
}

/// How many of these times, which are in order, lie in the window that begins at `from`.
fn within(times: &[Duration], from: Duration) -> usize {
    let low = times.partition_point(|time| *time < from);
    let high = times.partition_point(|time| *time < from + WINDOW);
    high - low
}
