//! Configuration revisions: no node goes back to an older one.

use super::{Report, seconds};
use crate::sim::scenario::Run;
use vanepath_cluster::wire::Role;
use vanepath_store::protocol::Outcome;

/// Checks that the revision of a node never falls, within an incarnation or over several, and measures
/// how long changes took.
pub(super) fn check(run: &Run, report: &mut Report) {
    never_fall_within_incarnation(run, report);
    never_fall_across_incarnations(run, report);
    measure_delays(run, report);
}

fn never_fall_within_incarnation(run: &Run, report: &mut Report) {
    for node in &run.sim.nodes {
        for pair in node.revisions.windows(2) {
            let is_same = pair[0].incarnation == pair[1].incarnation;
            if is_same && pair[1].revision < pair[0].revision {
                report.violations.push(format!(
                    "{} went back from revision {} to {} at {}",
                    node.info.name,
                    pair[0].revision,
                    pair[1].revision,
                    seconds(pair[1].at)
                ));
            }
        }
    }
}

/// What any incarnation of a name routed by or offered binds all later ones (design 5.8).
fn never_fall_across_incarnations(run: &Run, report: &mut Report) {
    for node in &run.sim.nodes {
        let (mut highest_incarnation, mut highest) = (0, 0);
        for change in &node.effective_revisions {
            let (incarnation, revision) = (change.incarnation, change.revision);
            if revision < highest && incarnation != highest_incarnation {
                report.violations.push(format!(
                    "{} goes by revision {revision} in life {incarnation} at {}, and went by \
                     {highest} in life {highest_incarnation}",
                    node.info.name,
                    seconds(change.at)
                ));
            }
            if revision >= highest {
                (highest_incarnation, highest) = (incarnation, revision);
            }
        }
    }
}

/// How long changes took to be in effect, for the record; whether too long, `reachability` checks.
fn measure_delays(run: &Run, report: &mut Report) {
    let sim = &run.sim;
    for operation in &sim.operations {
        let (Some(Outcome::Accepted { revision, is_repeat: false, .. }), Some(ended_at)) =
            (&operation.outcome, operation.ended_at)
        else {
            continue;
        };
        for node in sim.nodes.iter().filter(|node| node.info.role == Role::Proxy) {
            if sim.net.hosts[node.host].incarnation == 1 {
                let reached = node.revisions.iter().find(|one| one.revision >= *revision);
                report.config_delays.extend(reached.map(|one| one.at.saturating_sub(ended_at)));
            }
        }
    }
}
