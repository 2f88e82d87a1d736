//! Configuration revisions: no node returns to an older revision.

use super::{Report, seconds};
use crate::sim::scenario::Run;
use vanepath_cluster::wire::Role;
use vanepath_store::protocol::Outcome;

/// Checks that the revision of a node never decreases, within an incarnation and across incarnations, and
/// measures how long changes took to become active.
pub(super) fn check(run: &Run, report: &mut Report) {
    check_within_incarnations(run, report);
    check_across_incarnations(run, report);
    measure_delays(run, report);
}

fn check_within_incarnations(run: &Run, report: &mut Report) {
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

/// No incarnation of a node may use a revision older than one that an earlier incarnation routed by or
/// offered to other nodes (design 5.8).
fn check_across_incarnations(run: &Run, report: &mut Report) {
    for node in &run.sim.nodes {
        let (mut highest_incarnation, mut highest) = (0, 0);
        for change in &node.effective_revisions {
            let (incarnation, revision) = (change.incarnation, change.revision);
            if revision < highest && incarnation != highest_incarnation {
                report.violations.push(format!(
                    "{} uses revision {revision} in incarnation {incarnation} at {}, after revision \
                     {highest} in incarnation {highest_incarnation}",
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

/// Records how long accepted changes took to become active. The module `reachability` checks the limit.
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
                let reached = node.revisions.iter().find(|change| change.revision >= *revision);
                report
                    .config_delays
                    .extend(reached.map(|change| change.at.saturating_sub(ended_at)));
            }
        }
    }
}
