//! The retry budget: the number of retries in the whole fleet is limited.

use super::{Report, seconds};
use crate::sim::scenario::Run;
use std::collections::HashSet;
use std::time::Duration;

/// The length of the sliding window in which retries are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Checks that the retries in any ten seconds are at most a fifth of the requests plus 36. They are counted
/// over the whole fleet as the arrivals at servers, and at proxies, after the first arrival of each request;
/// this includes clients' own retries. The retries by proxies are counted separately as well, since an
/// attempt whose connection fails arrives at no server.
pub(super) fn check(run: &Run, report: &mut Report) {
    let world = &run.sim.world;
    report.proxy_retry_ratio = world.retries.len() as f64 / world.admitted_at.len().max(1) as f64;
    let arrived = world.servers.iter().flat_map(|server| &server.arrivals);
    let at_servers =
        repeated_arrivals(arrived.map(|arrival| (arrival.at, arrival.request)).collect());
    let at_proxies = repeated_arrivals(
        world.proxy_arrivals.iter().map(|arrival| (arrival.at, arrival.request)).collect(),
    );
    report.client_retry_ratio = at_proxies.len() as f64 / world.requests.len().max(1) as f64;
    let started: Vec<Duration> = world.requests.iter().map(|request| request.started_at).collect();
    for (description, repeats, traffic) in [
        ("retries by proxies", &world.retries, &world.admitted_at),
        ("repeated arrivals at servers", &at_servers, &started),
        ("repeated arrivals at proxies", &at_proxies, &started),
    ] {
        for from in repeats {
            let count = count_in_window(repeats, *from);
            let requests = count_in_window(traffic, *from);
            report.worst_retry_excess =
                report.worst_retry_excess.max(count as f64 - 0.2 * requests as f64);
            if count as f64 > 0.2 * requests as f64 + 36.0 {
                report.violations.push(format!(
                    "{count} {description} on {requests} requests in the 10 s from {}",
                    seconds(*from)
                ));
                break;
            }
        }
    }
}

/// The times of all arrivals after the first of each request, in ascending order.
fn repeated_arrivals(mut arrivals: Vec<(Duration, usize)>) -> Vec<Duration> {
    arrivals.sort_unstable();
    let mut seen = HashSet::new();
    arrivals.retain(|(_, request)| !seen.insert(*request));
    arrivals.into_iter().map(|(at, _)| at).collect()
}

/// The number of times in the window that begins at `from`; the times must be in ascending order.
fn count_in_window(times: &[Duration], from: Duration) -> usize {
    let low = times.partition_point(|time| *time < from);
    let high = times.partition_point(|time| *time < from + WINDOW);
    high - low
}
