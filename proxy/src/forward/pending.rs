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

/// How far an attempt has come.
pub(super) enum AttemptEvent {
    /// There is a connection to its server, or none came about.
    Connected { attempt: Attempt, outcome: Result<VerifiedConnection, AttemptError> },
    /// Its server has responded, or no response can come any more.
    Ended { attempt: Attempt, sent: SentAttempt, outcome: Result<UpstreamResponse, AttemptError> },
}

/// An attempt that was sent.
pub(super) struct SentAttempt {
    pub pending: PendingAttempt,
    /// It counts as silent at its server already: another server was looked for.
    pub is_overdue: bool,
    table: Arc<RoutingTable>,
    /// The index of the server in the table.
    index: usize,
}

impl SentAttempt {
    /// The id of the server.
    pub fn server_id(&self) -> &str {
        &self.table.endpoints[self.index].server.id
    }

    /// For how long the server has had the request.
    pub fn waited(&self, now: Duration) -> Duration {
        now.saturating_sub(self.pending.sent_at)
    }
}

/// What the future of an attempt yields.
enum Progress {
    Connected(Attempt, Result<VerifiedConnection, AttemptError>),
    Ended(Attempt, Result<UpstreamResponse, AttemptError>),
}

type AttemptFuture = Pin<Box<dyn Future<Output = Progress> + Send>>;

/// The attempts of one request that are in progress. Those that are left when it is dropped are
/// cut off: their connections close.
#[derive(Default)]
pub(super) struct PendingAttempts {
    in_progress: FuturesUnordered<AttemptFuture>,
    /// Those that were sent, the latest last.
    sent: Vec<SentAttempt>,
}

impl PendingAttempts {
    /// Begins to connect to the server of an attempt.
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

    /// The next event of any attempt; `None` if `until` comes first, or nothing is in progress.
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
                let position = self.sent.iter().position(|one| one.pending.slot == slot)?;
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

    /// The attempts whose servers may be at work, the latest last.
    pub fn sent(&self) -> &[SentAttempt] {
        &self.sent
    }

    /// The attempt that was sent last.
    pub fn latest_mut(&mut self) -> Option<&mut SentAttempt> {
        self.sent.last_mut()
    }
}
