//! The attempts of one request that are in progress at the same time.

use super::attempt::{Attempt, OutgoingRequest, SendRecord};
use super::connection::VerifiedConnection;
use super::response::UpstreamResponse;
use crate::endpoints::{PendingAttempt, RoutingTable};
use crate::lifecycle::AttemptError;
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use vanepath_config::model::Idempotency;

/// A step that an attempt has completed.
pub(super) enum AttemptEvent {
    /// A connection to its server was obtained, or that failed.
    Connected { attempt: Attempt, outcome: Result<VerifiedConnection, AttemptError> },
    /// Its server has responded, or the attempt failed after it was sent.
    Ended { attempt: Attempt, sent: SentAttempt, outcome: Result<UpstreamResponse, AttemptError> },
}

/// An attempt in which the request was sent.
pub(super) struct SentAttempt {
    pub pending: PendingAttempt,
    /// Whether it was recorded at its server as overdue, because another server was tried in addition.
    pub is_overdue: bool,
    table: Arc<RoutingTable>,
    /// The index of the server in `table`.
    index: usize,
}

impl SentAttempt {
    /// The id of the server.
    pub fn server_id(&self) -> &str {
        &self.table.endpoints[self.index].server.id
    }

    /// How long ago the request was sent to the server.
    pub fn waited(&self, now: Duration) -> Duration {
        now.saturating_sub(self.pending.sent_at)
    }
}

/// The output of the future of an attempt.
enum Progress {
    Connected(Attempt, Result<VerifiedConnection, AttemptError>),
    Ended(Attempt, Result<UpstreamResponse, AttemptError>),
}

type AttemptFuture = Pin<Box<dyn Future<Output = Progress> + Send>>;

/// The attempts of one request that are in progress. Dropping this cancels them and closes their
/// connections.
#[derive(Default)]
pub(super) struct PendingAttempts {
    in_progress: FuturesUnordered<AttemptFuture>,
    /// The attempts that were sent, the latest last.
    sent: Vec<SentAttempt>,
}

impl PendingAttempts {
    /// Starts to connect to the server of an attempt.
    pub fn connect(&mut self, attempt: Attempt, idempotency: Idempotency) {
        self.in_progress.push(Box::pin(async move {
            let outcome = attempt.connect(idempotency).await;
            Progress::Connected(attempt, outcome)
        }));
    }

    /// Sends the request to the server of an attempt.
    pub fn send(
        &mut self,
        attempt: Attempt,
        connection: VerifiedConnection,
        request: OutgoingRequest,
        record: SendRecord,
    ) {
        self.sent.push(SentAttempt {
            pending: PendingAttempt { slot: attempt.endpoint().slot, sent_at: record.sent_at },
            is_overdue: false,
            table: attempt.route.table.clone(),
            index: attempt.selected.index,
        });
        self.in_progress.push(Box::pin(async move {
            let outcome = attempt.exchange(connection, request, record).await;
            Progress::Ended(attempt, outcome)
        }));
    }

    /// Waits for the next event of any attempt. Returns `None` at the time `until`, or if nothing is in
    /// progress.
    pub async fn next(&mut self, until: Option<Instant>) -> Option<AttemptEvent> {
        let progress = match until {
            Some(until) => tokio::time::timeout_at(until, self.in_progress.next()).await.ok()?,
            None => self.in_progress.next().await,
        };
        match progress? {
            Progress::Connected(attempt, outcome) => {
                Some(AttemptEvent::Connected { attempt, outcome })
            }
            Progress::Ended(attempt, outcome) => {
                let slot = attempt.endpoint().slot;
                let position = self.sent.iter().position(|sent| sent.pending.slot == slot)?;
                let sent = self.sent.remove(position);
                Some(AttemptEvent::Ended { attempt, sent, outcome })
            }
        }
    }

    /// Whether nothing is in progress.
    pub fn is_empty(&self) -> bool {
        self.in_progress.is_empty()
    }

    /// Whether a connection to a server is being made.
    pub fn is_connecting(&self) -> bool {
        self.in_progress.len() > self.sent.len()
    }

    /// The attempts whose servers may be processing the request, the latest last.
    pub fn sent(&self) -> &[SentAttempt] {
        &self.sent
    }

    /// The attempt that was sent last.
    pub fn latest_mut(&mut self) -> Option<&mut SentAttempt> {
        self.sent.last_mut()
    }
}
