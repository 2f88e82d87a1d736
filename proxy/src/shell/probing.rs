//! Active health checks of servers (design 8.6).

use crate::connector::{self, HandshakeResponse, Sender};
use crate::endpoints::{Endpoint, IdleConnection, MAX_IDLE_TIME};
use crate::forward::{Counter, Proxy};
use crate::health::{Failure, ServerPhase};
use std::sync::Arc;
use std::time::Duration;
use vanepath_config::model::Service;

/// A health check that the server passed, and the connection over which it was made.
struct PassedProbe {
    connection: Sender,
    response: HandshakeResponse,
    keep_alive: Duration,
    /// Whether the connection has served requests.
    is_used: bool,
}

/// Checks the health of a server, over an idle connection if there is one, and records the outcome.
pub(super) async fn probe(proxy: Arc<Proxy>, endpoint: Endpoint, service: Service) {
    proxy.counters.increment(Counter::Probes);
    let now = proxy.node.clock.now();
    let is_usable = |idle: &IdleConnection<Sender>| idle.connection.is_ready();
    let idle = proxy.endpoints.take_idle(now, endpoint.slot, is_usable);
    // The time that the server stated last also applies to a new connection.
    let keep_alive = idle.as_ref().map_or(MAX_IDLE_TIME, |idle| idle.keep_alive);
    let outcome = match idle {
        Some(idle) => probe_idle_connection(&proxy, &endpoint, &service, idle).await,
        None => None,
    };
    let outcome = match outcome {
        Some(outcome) => outcome,
        None => probe_new_connection(&proxy, &endpoint, &service, keep_alive).await,
    };
    let now = proxy.node.clock.now();
    match outcome {
        Ok(passed) => record_passed(&proxy, &endpoint, now, passed),
        Err(failure) => {
            proxy.counters.increment(Counter::ProbesFailed);
            proxy.record_failure(endpoint.slot, &endpoint.server.id, failure);
        }
    }
    proxy.endpoints.with_state(endpoint.slot, |state| state.probing = false);
}

/// Checks the health of a server over an idle connection. Returns `None` if the connection was closed
/// while it was idle, which is no failure of the server.
async fn probe_idle_connection(
    proxy: &Proxy,
    endpoint: &Endpoint,
    service: &Service,
    idle: IdleConnection<Sender>,
) -> Option<Result<PassedProbe, Failure>> {
    let (is_used, keep_alive) = (idle.is_used, idle.keep_alive);
    let mut connection = idle.connection;
    let format = proxy.node.settings.wire_format;
    match connector::verify_identity(format, &mut connection, endpoint, service).await {
        Ok(response) => Some(Ok(PassedProbe { connection, response, keep_alive, is_used })),
        Err(Failure::ConnectionLost) => None,
        Err(failure) => Some(Err(failure)),
    }
}

async fn probe_new_connection(
    proxy: &Arc<Proxy>,
    endpoint: &Endpoint,
    service: &Service,
    keep_alive: Duration,
) -> Result<PassedProbe, Failure> {
    let on_surplus_bytes = proxy.on_surplus_bytes(endpoint.slot, &endpoint.server.id);
    let format = proxy.node.settings.wire_format;
    let (connection, response) =
        connector::connect(format, endpoint, service, on_surplus_bytes).await?;
    Ok(PassedProbe { connection, response, keep_alive, is_used: false })
}

fn record_passed(proxy: &Proxy, endpoint: &Endpoint, now: Duration, passed: PassedProbe) {
    proxy.record_success(endpoint.slot, &endpoint.server.id);
    let response = passed.response;
    if let Some(load_milli) = response.load_milli {
        proxy.endpoints.observe_load(now, endpoint.slot, load_milli);
    }
    let changed_phase = proxy.endpoints.update_health(endpoint.slot, |health| {
        if response.is_warming_up && health.phase == ServerPhase::Healthy {
            health.restart_slow_start(now, Duration::ZERO);
        }
    });
    if let Some(phase) = changed_phase {
        log::info!("server {} is {phase} by its own report", endpoint.server.id);
    }
    let idle = IdleConnection {
        connection: passed.connection,
        verified_at: now,
        idle_since: now,
        keep_alive: passed.keep_alive,
        is_used: passed.is_used,
    };
    proxy.endpoints.put_idle(endpoint.slot, idle);
}
