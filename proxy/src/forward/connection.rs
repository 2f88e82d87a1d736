//! Obtains the connection for an attempt: an idle one, or else a new one (design 8.6).

use super::Counter;
use super::attempt::Attempt;
use crate::connector::{self, HandshakeResponse, Sender};
use crate::endpoints::{IdleConnection, SETTLE_TIME};
use crate::health::{Failure, ServerPhase};
use crate::lifecycle::AttemptError;
use std::time::Duration;
use vanepath_config::model::Idempotency;

/// A non-idempotent request uses only connections on which the server proved its identity within
/// this time, where servers do so at all.
const MAX_VERIFICATION_AGE: Duration = Duration::from_secs(1);

/// A connection to the selected server. The server has proved its identity on it, unless the wire
/// format names the target server in each request.
pub(super) struct VerifiedConnection {
    pub sender: Sender,
    /// When the server last proved its identity, or else when the connection was opened, on the clock
    /// of the node.
    pub verified_at: Duration,
}

impl Attempt {
    /// Returns an idle connection or opens a new one. Unless the wire format names the target server in
    /// each request, the server has proved its identity on the connection, for a non-idempotent request
    /// within `MAX_VERIFICATION_AGE`.
    pub(super) async fn obtain_connection(
        &self,
        idempotency: Idempotency,
    ) -> Result<VerifiedConnection, AttemptError> {
        let now = self.proxy.now();
        match self.reuse_connection(now, idempotency).await? {
            Some(connection) => Ok(connection),
            None => self.open_connection(now).await,
        }
    }

    /// Whether servers prove their identity at the start of each connection.
    fn verifies_identity(&self) -> bool {
        self.proxy.node.settings.wire_format.headers().target.is_none()
    }

    /// Takes an idle connection that the request may use, if there is one.
    async fn reuse_connection(
        &self,
        now: Duration,
        idempotency: Idempotency,
    ) -> Result<Option<VerifiedConnection>, AttemptError> {
        let (proxy, slot) = (&self.proxy, self.endpoint().slot);
        let is_usable = |idle: &IdleConnection<Sender>| idle.connection.is_ready();
        let verifies_identity = self.verifies_identity();
        let is_non_idempotent = idempotency == Idempotency::NonIdempotent;
        // A desynchronized server may still send a late response on an idle connection.
        let may_get_late_response =
            is_non_idempotent && !verifies_identity && proxy.endpoints.is_desynchronized(slot);
        while let Some(mut idle) = proxy.endpoints.take_idle(now, slot, is_usable) {
            if may_get_late_response {
                proxy.endpoints.put_idle(slot, idle);
                break;
            }
            if is_non_idempotent && !verifies_identity && !idle.is_safe_for_at_most_once(now) {
                continue;
            }
            let verification_age = now.saturating_sub(idle.verified_at);
            if verifies_identity && is_non_idempotent && verification_age > MAX_VERIFICATION_AGE {
                match self.verify_again(&mut idle.connection).await {
                    Ok(_) => idle.verified_at = proxy.now(),
                    // The connection was closed while it was idle, which is no failure of the server.
                    Err(Failure::ConnectionLost) => continue,
                    Err(failure) => {
                        self.record_failure(failure);
                        return Err(AttemptError::NotConnected);
                    }
                }
            }
            proxy.counters.increment(Counter::ConnectionsReused);
            let verified_at = idle.verified_at;
            return Ok(Some(VerifiedConnection { sender: idle.connection, verified_at }));
        }
        Ok(None)
    }

    async fn verify_again(&self, sender: &mut Sender) -> Result<HandshakeResponse, Failure> {
        let format = self.proxy.node.settings.wire_format;
        connector::verify_identity(format, sender, self.endpoint(), self.service()).await
    }

    /// Opens a new connection. `now` is the time at which the attempt began to look for one.
    async fn open_connection(&self, now: Duration) -> Result<VerifiedConnection, AttemptError> {
        let (proxy, slot) = (&self.proxy, self.endpoint().slot);
        proxy.counters.increment(Counter::ConnectionsOpened);
        let (sender, handshake) = self.establish().await.map_err(|failure| {
            proxy.counters.increment(Counter::ConnectionsFailed);
            self.record_failure(failure);
            AttemptError::NotConnected
        })?;
        if self.verifies_identity() && proxy.endpoints.is_desynchronized(slot) {
            // If the server sends surplus bytes after the health check, they close the connection within
            // this time.
            tokio::time::sleep(SETTLE_TIME).await;
            if !sender.is_ready() {
                return Err(AttemptError::NotConnected);
            }
        }
        if handshake.is_warming_up {
            proxy.endpoints.update_health(slot, |health| {
                if health.phase == ServerPhase::Healthy {
                    health.restart_slow_start(now, Duration::ZERO);
                }
            });
        }
        Ok(VerifiedConnection { sender, verified_at: proxy.now() })
    }

    async fn establish(&self) -> Result<(Sender, HandshakeResponse), Failure> {
        let (proxy, slot) = (&self.proxy, self.endpoint().slot);
        let on_surplus_bytes = proxy.on_surplus_bytes(slot, &self.endpoint().server.id);
        if self.verifies_identity() {
            let format = proxy.node.settings.wire_format;
            return connector::connect(format, self.endpoint(), self.service(), on_surplus_bytes)
                .await;
        }
        let is_far = self.endpoint().server.region != proxy.node.settings.region;
        let is_narrow = proxy.downstream_limiter.is_some();
        let opened_at = proxy.now();
        let sender = connector::open(self.endpoint(), is_far, is_narrow, on_surplus_bytes).await?;
        proxy.endpoints.record_connection(slot, proxy.now().saturating_sub(opened_at));
        Ok((sender, HandshakeResponse::default()))
    }
}
