//! Tenants: no request runs with a key that no configuration held, for another tenant, or with a key that was
//! taken away too long ago.

use super::{Report, seconds};
use crate::sim::scenario::Run;
use crate::sim::state::{CONFIG_LEASE, OperatorCall, Tenancy, TenantRun};
use std::collections::HashSet;
use std::time::Duration;
use vanepath_config::model::{Tenants, parse};
use vanepath_store::protocol::{Change, Outcome};

/// A committed revision whose configuration has tenants.
struct TenantRevision {
    revision: u64,
    tenants: Tenants,
    /// When its change was first sent.
    sent_at: Duration,
    /// When it was first acknowledged.
    acknowledged_at: Option<Duration>,
}

impl TenantRevision {
    /// The tenant that holds the key with this number.
    fn holder(&self, key: usize) -> Option<&str> {
        let index = self.tenants.find(&Tenancy::digest(key))?;
        Some(&self.tenants.get(index).name)
    }

    fn gives(&self, run: &TenantRun) -> bool {
        self.holder(run.key).is_some_and(|holder| run.tenant.as_deref() == Some(holder))
    }
}

pub(super) fn check(run: &Run, report: &mut Report) {
    let Some(tenancy) = &run.sim.world.tenancy else { return };
    let revisions = revisions(run);
    let held: HashSet<usize> = (0..)
        .take_while(|key| *key <= tenancy.runs.iter().map(|run| run.key).max().unwrap_or(0))
        .filter(|key| revisions.iter().any(|revision| revision.holder(*key).is_some()))
        .collect();
    for tenant_run in &tenancy.runs {
        let TenantRun { request, key, tenant, client_sent_at, at } = tenant_run;
        let at = seconds(*at);
        if !held.contains(key) {
            let text = format!("request {request} ran at {at} with a key that was never held");
            report.violations.push(text);
        } else if !revisions.iter().any(|revision| revision.gives(tenant_run)) {
            let text =
                format!("request {request} ran at {at} for {tenant:?}, which never had its key");
            report.violations.push(text);
        } else if let Some(removed) = removal_before(&revisions, tenant_run) {
            report.violations.push(format!(
                "request {request}, sent at {}, ran at {at} with a key that revision {} had taken away",
                seconds(*client_sent_at),
                removed.revision
            ));
        }
    }
}

/// The acknowledged revision that took the key of a run away longer than the lease before the run's request
/// was sent, if no later one gave it back before the run.
fn removal_before<'r>(
    revisions: &'r [TenantRevision],
    run: &TenantRun,
) -> Option<&'r TenantRevision> {
    revisions.iter().find(|removal| {
        let is_late =
            removal.acknowledged_at.is_some_and(|at| run.client_sent_at > at + CONFIG_LEASE);
        is_late
            && !removal.gives(run)
            && !revisions.iter().any(|later| {
                later.revision > removal.revision && later.sent_at <= run.at && later.gives(run)
            })
    })
}

/// The committed revisions, by the reads at the end of the run.
fn revisions(run: &Run) -> Vec<TenantRevision> {
    let values = run.sim.world.history.iter().filter_map(|(revision, outcome)| match outcome {
        Some(Outcome::Value { value }) if value.config_revision == *revision => Some(value),
        _ => None,
    });
    values
        .filter_map(|value| {
            let tenants = parse(&value.document).ok()?.tenants?;
            let operations: Vec<_> = run
                .sim
                .operations
                .iter()
                .filter(|operation| {
                    matches!(&operation.call,
                        OperatorCall::Change { change: Change::ReplaceConfig { bytes, .. }, .. }
                            if *bytes == value.document)
                })
                .collect();
            let acknowledged = operations
                .iter()
                .filter(|operation| matches!(operation.outcome, Some(Outcome::Accepted { .. })));
            Some(TenantRevision {
                revision: value.revision,
                tenants,
                sent_at: operations.iter().map(|operation| operation.started_at).min()?,
                acknowledged_at: acknowledged.filter_map(|operation| operation.ended_at).min(),
            })
        })
        .collect()
}
