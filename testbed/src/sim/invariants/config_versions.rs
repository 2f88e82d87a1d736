//! Configuration versions: each version has a single content.

use super::Report;
use crate::sim::scenario::Run;
use crate::sim::state::OperatorCall;
use vanepath_store::protocol::{Change, Outcome};

/// The maximum number of violations of versions in a report.
const MAX_REPORTED: usize = 4;

/// Checks that of several configurations under one version only one is accepted, and that an accepted
/// configuration is not rejected when it is submitted again.
pub(super) fn check(run: &Run, report: &mut Report) {
    let sim = &run.sim;
    let mut violations = Vec::new();
    let versioned: Vec<(usize, u64, &[u8])> = (0..sim.operations.len())
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
    for (at, (number, version, bytes)) in versioned.iter().enumerate() {
        for (other, other_version, other_bytes) in &versioned[..at] {
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
                    "operation {number} was rejected, although operation {other} with the same content \
                     had been accepted"
                ));
            }
        }
    }
    violations.truncate(MAX_REPORTED);
    report.violations.extend(violations);
}
