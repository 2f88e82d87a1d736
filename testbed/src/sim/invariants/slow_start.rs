//! Slow start: the request rate to a restarted server is limited at first.

use super::{Report, seconds};
use crate::sim::scenario::Run;
use std::time::Duration;

/// Checks that a restarted server gets no more than its slow-start rate, which is 10 requests per second for
/// 4 s in these scenarios. The limit holds in any second and without tolerance, since proxies divide the rate
/// and none of them exceeds its share.
pub(super) fn check(run: &Run, report: &mut Report) {
    const RATE: usize = 10;
    let period = Duration::from_secs(4);
    for server in &run.sim.world.servers {
        for restart in &server.restarts {
            if !restart.is_noticeable {
                continue;
            }
            let times: Vec<Duration> = server
                .arrivals
                .iter()
                .map(|arrival| arrival.at)
                .filter(|at| *at >= restart.at && *at < restart.at + period)
                .collect();
            for (index, from) in times.iter().enumerate() {
                let within =
                    times[index..].iter().filter(|at| **at < *from + Duration::from_secs(1));
                let count = within.count();
                report.worst_slow_start = report.worst_slow_start.max(count as f64 / RATE as f64);
                if count > RATE {
                    report.violations.push(format!(
                        "server {} in slow start (restarted at {} after {} down) got {count} requests in the \
                         second from {}",
                        server.id,
                        seconds(restart.at),
                        seconds(restart.down_time),
                        seconds(*from)
                    ));
                    break;
                }
            }
        }
    }
}
