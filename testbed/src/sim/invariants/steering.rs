//! Steering: the TTL of answers is limited, and their revisions do not decrease.

use super::Report;
use crate::sim::scenario::Run;

/// The longest TTL that a steering answer may have, in seconds.
const MAX_TTL_SECONDS: f64 = 5.0;

/// Checks that no steering answer is valid for longer than 5 s, and that a client never gets an answer of an
/// older revision than the answer before.
pub(super) fn check(run: &Run, report: &mut Report) {
    let longest = run.sim.world.longest_steering_ttl;
    if longest > MAX_TTL_SECONDS {
        report.violations.push(format!("a steering answer is valid for {longest} s"));
    }
    for client in &run.sim.world.clients {
        for pair in client.steering_revisions.windows(2) {
            if pair[1] < pair[0] {
                report.violations.push(format!(
                    "{} got a steering answer of revision {} after one of revision {}",
                    client.name, pair[1], pair[0]
                ));
            }
        }
    }
}
