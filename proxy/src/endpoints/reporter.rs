//! Observations that a proxy reports to registries about its servers, and when it reports them.

use super::Endpoints;
use crate::health::ServerPhase;
use std::time::Duration;
use vanepath_cluster::wire;

/// Interval at which a proxy reports its observations.
const REPORT_INTERVAL: Duration = Duration::from_millis(2000);
/// Minimum interval between two reports when something has changed.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Decides when the next report of observations is due.
#[derive(Debug, Default)]
pub struct ObservationReporter {
    next_report_at: Duration,
}

impl ObservationReporter {
    /// Whether a report must be sent now. If so, it counts as sent.
    pub fn is_due(&mut self, now: Duration, has_changes: bool) -> bool {
        let is_due = now >= self.next_report_at
            || (has_changes && now + REPORT_INTERVAL >= self.next_report_at + MIN_REPORT_INTERVAL);
        if is_due {
            self.next_report_at = now + REPORT_INTERVAL;
        }
        is_due
    }
}

impl<C> Endpoints<C> {
    /// Observations of the servers that this proxy is in contact with, or whose phase is neither
    /// healthy nor unknown. About the others there is nothing to report.
    pub fn observations(&self, now: Duration) -> Vec<wire::ServerObservation> {
        let table = self.table.load();
        let observations = table.endpoints.iter().filter_map(|endpoint| {
            let is_reported = self.with_state(endpoint.slot, |state| {
                // Other proxies need no reports about a healthy server whose health is known from traffic.
                let is_in_contact = state.health.contact_duration(now) > Duration::ZERO;
                !matches!(state.health.phase, ServerPhase::Healthy | ServerPhase::Unknown)
                    || (is_in_contact && !state.health.is_passively_checked)
            });
            is_reported.filter(|is_reported| *is_reported)?;
            self.with_state(endpoint.slot, |state| wire::ServerObservation {
                server: endpoint.server.id.clone(),
                phase: state.health.phase,
                age_ms: now.saturating_sub(state.health.since).as_millis() as u32,
                in_contact_ms: state.health.contact_duration(now).as_millis() as u32,
                load_milli: state.reported_load_milli(now),
                connection_refused: state.health.was_refused(),
            })
        });
        observations.collect()
    }
}
