//! Configuration versions: one content for each.

use super::Report;
use crate::sim::scenario::Run;
use crate::sim::state::OperatorCall;
use vanepath_store::protocol::{Change, Outcome};

/// The most violations of versions in a report.
const MAX_REPORTED: usize = 4;

/// Checks that of the configurations under one version one is acknowledged, and in effect once; what
/// was acknowledged is not rejected when it is sent again.
pub(super) fn check(run: &Run, report: &mut Report) {
    let sim = &run.sim;
    let mut violations = Vec::new();
    let named: Vec<(usize, u64, &[u8])> = (0..sim.operations.len())
        .filter_map(|number| {
            let OperatorCall::Change {
                change: Change::ReplaceConfig { bytes, version, .. }, ..
            } = &sim.operations[number].call
            else {
                return None;
            };
            Some((number, (*version)?, bytes.as_slice()))
        })
        .collect();
    let is_accepted =
        |number: usize| matches!(sim.operations[number].outcome, Some(Outcome::Accepted { .. }));
    for (at, (number, version, bytes)) in named.iter().enumerate() {
        for (other, other_version, other_bytes) in &named[..at] {
            if other_version != version || !is_accepted(*other) {
                continue;
            }
            if other_bytes != bytes && is_accepted(*number) {
                violations.push(format!(
                    "operations {other} and {number} were both accepted under version {version}"
                ));
            }
            let (first, later) = (&sim.operations[*other], &sim.operations[*number]);
            let is_rejected = matches!(
                later.outcome,
                Some(Outcome::VersionTaken { .. } | Outcome::Conflict { .. })
            );
            let is_after = first.ended_at.is_some_and(|ended_at| ended_at < later.started_at);
            if other_bytes == bytes && is_after && is_rejected {
                violations.push(format!(
                    "operation {number} was refused, and the same had been accepted as {other}"
                ));
            }
        }
    }
    violations.truncate(MAX_REPORTED);
    report.violations.extend(violations);
}
