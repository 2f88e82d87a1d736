//! Operators' calls, checked against a register with a total order: each accepted change has a revision of
//! its own, later changes have higher revisions, and reads return the content of their revision.

use super::Report;
use crate::sim::scenario::Run;
use crate::sim::state::{Operation, OperatorCall};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use vanepath_store::protocol::{Change, Outcome};

/// The maximum number of violations of operators' calls in a report.
const MAX_REPORTED: usize = 8;

/// A configuration document with the revision at which it took effect.
struct Content {
    config_revision: u64,
    document: Vec<u8>,
}

/// The contents of all revisions, as reads returned them.
#[derive(Default)]
struct Contents {
    by_revision: BTreeMap<u64, Content>,
    violations: Vec<String>,
}

impl Contents {
    fn record(&mut self, revision: u64, config_revision: u64, document: &[u8], seen_by: &str) {
        match self.by_revision.get(&revision) {
            None => {
                let content = Content { config_revision, document: document.to_vec() };
                self.by_revision.insert(revision, content);
            }
            Some(content)
                if content.config_revision == config_revision && content.document == document => {}
            Some(_) => {
                let text = format!("revision {revision} has two contents, according to {seen_by}");
                self.violations.push(text);
            }
        }
    }
}

/// A call that returned a revision.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Observation {
    started_at: Duration,
    ended_at: Duration,
    revision: u64,
    /// Whether the call made the revision and is not a repeat of an earlier one.
    is_change: bool,
    operation: usize,
}

/// The revisions at which each document took effect.
type EffectiveRevisions = HashMap<Vec<u8>, Vec<u64>>;

/// Checks the history of operators' calls.
pub(super) fn check(run: &Run, report: &mut Report) {
    let contents = collect_contents(run, report);
    let mut violations = contents.violations;
    let effects = effects_of(&contents.by_revision);
    check_single_effect(run, &effects, &mut violations);
    let mut observations =
        check_outcomes(run, &contents.by_revision, &effects, report, &mut violations);
    observations.sort();
    check_order(run, &observations, &mut violations);
    violations.truncate(MAX_REPORTED);
    report.violations.extend(violations);
}

/// Collects the content of each revision from the reads at the end of the run and from operators' reads.
fn collect_contents(run: &Run, report: &mut Report) -> Contents {
    let sim = &run.sim;
    let mut contents = Contents::default();
    for (revision, outcome) in &sim.world.history {
        match outcome {
            Some(Outcome::Value { value }) => {
                let (config_revision, document) = (value.config_revision, &value.document);
                contents.record(
                    value.revision,
                    config_revision,
                    document,
                    "the reads at the end of the run",
                );
                if value.revision != *revision {
                    let seen_by = "the response for another revision";
                    contents.record(*revision, config_revision, document, seen_by);
                }
            }
            // Every revision can be read: revisions that a rescue skipped and changes of members have no
            // configuration of their own that could be missing.
            other => report
                .violations
                .push(format!("revision {revision} cannot be read at the end: {other:?}")),
        }
    }
    for operation in &sim.operations {
        if let Some(Outcome::Value { value }) = &operation.outcome {
            contents.record(
                value.revision,
                value.config_revision,
                &value.document,
                "an operator's read",
            );
        }
    }
    contents
}

fn effects_of(contents: &BTreeMap<u64, Content>) -> EffectiveRevisions {
    let mut effects = EffectiveRevisions::new();
    for (revision, content) in contents {
        if *revision == content.config_revision && *revision > 0 {
            effects.entry(content.document.clone()).or_default().push(*revision);
        }
    }
    effects
}

/// Checks that a submission takes effect at most once for each idempotency key with which it was sent.
fn check_single_effect(run: &Run, effects: &EffectiveRevisions, violations: &mut Vec<String>) {
    for (document, revisions) in effects {
        let keys: BTreeSet<&str> = run
            .sim
            .operations
            .iter()
            .filter_map(|operation| match &operation.call {
                OperatorCall::Change { key, change: Change::ReplaceConfig { bytes, .. } }
                    if bytes == document =>
                {
                    Some(key.as_str())
                }
                _ => None,
            })
            .collect();
        if revisions.len() > keys.len() {
            violations.push(format!("one submission took effect more than once: {revisions:?}"));
        }
    }
}

/// Checks the outcome of each call, and returns the revisions that the calls returned.
fn check_outcomes(
    run: &Run,
    contents: &BTreeMap<u64, Content>,
    effects: &EffectiveRevisions,
    report: &mut Report,
    violations: &mut Vec<String>,
) -> Vec<Observation> {
    let mut observations = Vec::new();
    for (number, operation) in run.sim.operations.iter().enumerate() {
        let observation = |revision: u64, is_change: bool| Observation {
            started_at: operation.started_at,
            ended_at: operation.ended_at.unwrap_or(Duration::MAX),
            revision,
            is_change,
            operation: number,
        };
        match (&operation.call, &operation.outcome) {
            (
                OperatorCall::Change { change, .. },
                Some(Outcome::Accepted { revision, config_revision, is_repeat }),
            ) => {
                report.accepted += usize::from(!is_repeat);
                if operation.call.is_invalid() {
                    violations
                        .push(format!("operation {number}: an invalid configuration was accepted"));
                }
                observations.push(observation(*revision, !is_repeat));
                // A superseded version changes nothing; the module `config_versions` checks its outcome.
                if let Change::ReplaceConfig { bytes, version, .. } = change
                    && !(version.is_some() && *is_repeat)
                    && contents
                        .get(config_revision)
                        .is_some_and(|content| content.document != *bytes)
                {
                    violations.push(format!(
                        "operation {number} was accepted as revision {revision}, which has \
                         another content"
                    ));
                }
            }
            (
                OperatorCall::Change { change: Change::ReplaceConfig { bytes, .. }, key },
                Some(outcome),
            ) => {
                let is_rejected = matches!(
                    outcome,
                    Outcome::NotApplied { .. }
                        | Outcome::Conflict { .. }
                        | Outcome::VersionTaken { .. }
                );
                report.not_applied += usize::from(is_rejected);
                report.unknown += usize::from(*outcome == Outcome::Unknown);
                // With several calls under one key, another one of them may have been applied.
                let is_only = is_only_call_with_key(&run.sim.operations, key);
                if is_rejected && is_only && effects.contains_key(bytes) {
                    violations.push(format!(
                        "operation {number} was reported as not applied, but took effect"
                    ));
                }
            }
            (OperatorCall::Read, Some(Outcome::Value { value })) => {
                observations.push(observation(value.revision, false));
            }
            _ => {}
        }
    }
    observations
}

fn is_only_call_with_key(operations: &[Operation], key: &str) -> bool {
    let with_key = operations.iter().filter(
        |other| matches!(&other.call, OperatorCall::Change { key: other, .. } if other == key),
    );
    with_key.count() == 1
}

/// Checks that a call that began after another one had ended returns no older revision.
fn check_order(run: &Run, observations: &[Observation], violations: &mut Vec<String>) {
    for (index, later) in observations.iter().enumerate() {
        for earlier in &observations[..index] {
            if earlier.ended_at >= later.started_at {
                continue;
            }
            let is_older = later.revision < earlier.revision
                || (later.is_change && later.revision <= earlier.revision);
            let is_repeat = matches!(
                run.sim.operations[later.operation].outcome,
                Some(Outcome::Accepted { is_repeat: true, .. })
            );
            if is_older && !is_repeat {
                violations.push(format!(
                    "operation {} saw revision {} after operation {} had seen {}",
                    later.operation, later.revision, earlier.operation, earlier.revision
                ));
            }
        }
    }
}
