//! Log lines and counters of the changes that registries send: what came, and what became of it (design 9.3).

use super::{Counter, Counters};
use crate::protocol::{Outcome, Request, Response};
use std::collections::HashMap;

/// A change that has not been answered yet.
struct PendingChange {
    /// The idempotency key and the change in words.
    text: String,
    known_revision: Option<u64>,
}

/// The changes that have not been answered yet, by ticket.
#[derive(Default)]
pub(super) struct ChangeLog {
    pending: HashMap<u64, PendingChange>,
}

impl ChangeLog {
    /// Remembers a request if it is a change.
    pub(super) fn on_request(&mut self, ticket: u64, request: &Request) {
        if let Request::Change { key, change, known_revision, .. } = request {
            let text = format!("change {key} ({change})");
            self.pending.insert(ticket, PendingChange { text, known_revision: *known_revision });
        }
    }

    /// Logs and counts the outcome if the request was a change.
    pub(super) fn on_response(&mut self, ticket: u64, response: &Response, counters: &Counters) {
        let Some(PendingChange { text, known_revision }) = self.pending.remove(&ticket) else {
            return;
        };
        let known = match known_revision {
            Some(revision) => format!("known revision {revision}"),
            None => "known revision not stated".to_string(),
        };
        let Response::Outcome(outcome) = response else { return };
        match outcome {
            Outcome::Accepted { revision, is_repeat, .. } => {
                counters.increment(Counter::StoreChangesAccepted);
                let repeat = if *is_repeat { ", changes nothing" } else { "" };
                log::info!("{text} committed as of revision {revision}{repeat}; {known}");
            }
            Outcome::Overtaken { revision } => {
                counters.increment(Counter::StoreChangesOvertaken);
                log::info!(
                    "{text} overtaken by a newer one, not made; at revision {revision}, {known}"
                );
            }
            Outcome::Unknown => log::warn!("{text} may be committed later; {known}"),
            Outcome::NotApplied { reason } => log::info!("{text} not made: {reason}; {known}"),
            other => log::info!("{text} not made: {other:?}; {known}"),
        }
    }
}
