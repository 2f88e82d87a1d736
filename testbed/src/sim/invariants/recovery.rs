//! Recovery: each kind of service resumes after the end of the last fault.

use super::requests::is_unauthorized;
use super::{Report, seconds};
use crate::sim::scenario::Run;
use crate::sim::state::{OperatorCall, RequestKind};
use std::time::Duration;
use vanepath_config::ExecutionStatus;
use vanepath_store::protocol::Outcome;

/// The time after the end of the last fault within which service has to resume.
pub(super) const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// A call to a service: when it began, and whether it was served.
struct ServiceCall {
    at: Duration,
    is_served: bool,
}

/// Checks that each kind of service resumes within 15 s after the last fault: later calls are all served.
pub(super) fn check(run: &Run, report: &mut Report) {
    let fault_end = run.last_fault_end;
    let kinds = [
        ("lookups", requests(run, &[RequestKind::Lookup, RequestKind::Bulk])),
        ("filings", requests(run, &[RequestKind::Filing, RequestKind::BoundFiling])),
        ("steering polls", steering_polls(run)),
        ("operators' writes", operations(run, true)),
        ("operators' reads", operations(run, false)),
    ];
    for (kind, calls) in kinds {
        let after = || calls.iter().filter(|call| call.at >= fault_end);
        let served = after().filter(|call| call.is_served).count();
        let last_lost =
            after().filter(|call| !call.is_served).map(|call| call.at - fault_end).max();
        let last_lost = last_lost.unwrap_or_default();
        if kind == "lookups" {
            report.resumed_after = (served > 0).then_some(last_lost);
        }
        let may_have_no_calls = kind.starts_with("operators")
            && run.sim.world.operator_interval > Duration::from_secs(1);
        if (served == 0 && !may_have_no_calls) || last_lost > RECOVERY_TIMEOUT {
            report.violations.push(format!(
                "{served} {kind} served after the last fault; the last one lost {} after it",
                seconds(last_lost)
            ));
        }
    }
}

fn requests(run: &Run, kinds: &[RequestKind]) -> Vec<ServiceCall> {
    let of_kind = run
        .sim
        .world
        .requests
        .iter()
        .filter(|request| kinds.contains(&request.kind) && !is_unauthorized(request));
    let calls = of_kind.map(|request| ServiceCall {
        at: request.started_at,
        is_served: request.ended_at.is_some() && request.execution == ExecutionStatus::Ran,
    });
    calls.collect()
}

fn steering_polls(run: &Run) -> Vec<ServiceCall> {
    let polls = run.sim.world.steering_polls.iter();
    polls.map(|poll| ServiceCall { at: poll.at, is_served: poll.is_answered }).collect()
}

fn operations(run: &Run, is_write: bool) -> Vec<ServiceCall> {
    let of_kind = run
        .sim
        .operations
        .iter()
        .filter(|operation| !operation.call.is_invalid() && operation.call.evacuation().is_none())
        .filter(|operation| matches!(operation.call, OperatorCall::Change { .. }) == is_write);
    let calls = of_kind.map(|operation| ServiceCall {
        at: operation.started_at,
        is_served: match &operation.outcome {
            Some(Outcome::NotApplied { .. } | Outcome::Unknown) | None => false,
            Some(_) => true,
        },
    });
    calls.collect()
}
