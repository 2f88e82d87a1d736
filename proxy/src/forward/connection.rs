//! The connection of an attempt: an idle one, or else a new one (design 8.6).

use super::Counter;
use super::attempt::Attempt;
use crate::connector::{self, HandshakeResponse, Sender};
use crate::endpoints::{IdleConnection, SETTLE_TIME};
use crate::health::{Failure, ServerPhase};
use crate::lifecycle::AttemptError;
use std::time::Duration;
use vanepath_config::model::Idempotency;

/// A non-idempotent request uses only connections whose server was verified within this time.
const MAX_VERIFICATION_AGE: Duration = Duration::from_secs(1);

/// A connection that leads to the server that was meant.
pub(super) struct VerifiedConnection {
    pub sender: Sender,
    /// When the server last proved its identity, on the clock of the node.
    pub verified_at: Duration,
}

impl Attempt {
    /// A connection on which the server named itself, where the wire format does not name the target
    /// in each request; for a non-idempotent request it did so moments ago.
    pub(super) async fn connection(
        &self,
        idempotency: Idempotency,
    ) -> Result<VerifiedConnection, AttemptError> {
        let now = self.proxy.now();
        match self.reuse_connection(now, idempotency).await? {
            Some(connection) => Ok(connection),
            None => self.open_connection(now).await,
        }
    }

    /// Whether servers name themselves at the start of a connection.
    fn verifies_identity(&self) -> bool {
        self.proxy.node.settings.wire_format.headers().target.is_none()
    }

    /// An idle connection that fits, if there is one.
    async fn reuse_connection(
        &self,
        now: Duration,
        idempotency: Idempotency,
    ) -> Result<Option<VerifiedConnection>, AttemptError> {
        let (proxy, slot) = (&self.proxy, self.endpoint().slot);
        let is_usable = |idle: &IdleConnection<Sender>| idle.connection.is_ready();
        let verifies_identity = self.verifies_identity();
        let runs_once = idempotency == Idempotency::NonIdempotent;
        // A late response may be pending on an idle connection of a desynchronized server.
        let may_be_stale =
            runs_once && !verifies_identity && proxy.endpoints.is_desynchronized(slot);
        while let Some(mut idle) = proxy.endpoints.take_idle(now, slot, is_usable) {
            if may_be_stale {
                proxy.endpoints.put_idle(slot, idle);
                break;
            }
            if runs_once && !verifies_identity && !idle.is_safe_for_at_most_once(now) {
                continue;
            }
            let verification_age = now.saturating_sub(idle.verified_at);
            if verifies_identity && runs_once && verification_age > MAX_VERIFICATION_AGE {
                match self.verify_again(&mut idle.connection).await {
                    Ok(_) => idle.verified_at = proxy.now(),
                    // Closed while it was idle: no sign against the server.
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

    /// A new connection; `now` is when the attempt began to look for one.
    async fn open_connection(&self, now: Duration) -> Result<VerifiedConnection, AttemptError> {
        let (proxy, slot) = (&self.proxy, self.endpoint().slot);
        proxy.counters.increment(Counter::ConnectionsOpened);
        let (sender, handshake) = self.establish().await.map_err(|failure| {
            proxy.counters.increment(Counter::ConnectionsFailed);
            self.record_failure(failure);
            AttemptError::NotConnected
        })?;
        if self.verifies_identity() && proxy.endpoints.is_desynchronized(slot) {
            // Surplus bytes after the health check show first.
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
