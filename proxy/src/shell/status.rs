//! The admin pages of the proxy. Their keys and texts are part of the interface for operators and are
//! those of earlier versions.

use crate::connector::Sender;
use crate::endpoints::{Endpoint, EndpointState};
use crate::forward::Proxy;
use crate::health::{ServerHealth, ServerPhase};
use hyper::{Response, StatusCode};
use jzon::JsonValue;
use std::sync::atomic::Ordering;
use std::time::Duration;
use vanepath_cluster::node::{self, Body, ClusterView, ListStage};

/// The stages of the endpoint list's way at a proxy.
const LIST_STAGES: [ListStage; 2] = [ListStage::Learned, ListStage::Used];

/// Returns one of the pages that all programs have in common, or `/v1/status`; 404 for any other path.
pub(super) fn admin_page(proxy: &Proxy, path: &str) -> Response<Body> {
    let ready = proxy.is_ready.load(Ordering::Relaxed);
    let write_metrics = |metrics: &mut JsonValue| {
        proxy.counters.write_json(metrics);
        proxy.node.list_ages.write_metrics(&LIST_STAGES, metrics);
    };
    if let Some(page) = node::common_pages(&proxy.node, path, ready, write_metrics) {
        return page;
    }
    if path != "/v1/status" {
        let error = jzon::object! { "error": "no such path" };
        return node::json_response(StatusCode::NOT_FOUND, &error);
    }
    node::json_response(StatusCode::OK, &status(proxy, ready))
}

fn status(proxy: &Proxy, ready: bool) -> JsonValue {
    let view = proxy.node.current_view.load();
    let servers = servers(proxy, &view);
    let classes = classes(proxy);
    let drained_zones: Vec<JsonValue> =
        view.committed.drained_zones.iter().map(|zone| zone.as_str().into()).collect();
    jzon::object! {
        "name": proxy.node.settings.name.as_str(),
        "ready": ready,
        "fresh": view.is_fresh,
        "floor": view.read_index_json(),
        "leaving": proxy.is_draining(),
        "revision": view.committed.revision,
        "setupRevision": view.committed.config_revision,
        "configLease": config_lease(proxy),
        "platformRevision": view.endpoints.revision,
        "listStale": proxy.endpoints.has_stale_list(),
        "listAge": proxy.node.list_ages.as_json(&LIST_STAGES),
        "emptied": drained_zones,
        "epoch": view.plan.epoch,
        "holder": view.plan.leader.as_str(),
        "classes": classes,
        "clientConnections": proxy.node.client_connections.as_json(),
        "servers": servers,
    }
}

/// When the configuration was last confirmed to be the newest one; `confirmedMsAgo` is null if it never was.
fn config_lease(proxy: &Proxy) -> JsonValue {
    let lease = proxy.node.config_lease();
    let now = proxy.node.clock.now();
    let age_ms = lease.confirmed_at.map(|at| now.saturating_sub(at).as_millis() as u64);
    jzon::object! {
        "confirmedMsAgo": age_ms,
        "leaseMs": proxy.node.settings.config_lease.as_millis() as u64,
        "behind": lease.is_behind,
    }
}

fn servers(proxy: &Proxy, view: &ClusterView) -> Vec<JsonValue> {
    let now = proxy.node.clock.now();
    let table = proxy.endpoints.table.load();
    let server = |endpoint: &Endpoint| {
        proxy.endpoints.with_state(endpoint.slot, |state| server(view, endpoint, state, now))
    };
    table.endpoints.iter().filter_map(server).collect()
}

fn server(
    view: &ClusterView,
    endpoint: &Endpoint,
    state: &EndpointState<Sender>,
    now: Duration,
) -> JsonValue {
    let phase: &'static str = state.health.phase.into();
    jzon::object! {
        "id": endpoint.server.id.as_str(),
        "zone": endpoint.server.zone.as_str(),
        "phase": phase,
        "why": explanation(view, endpoint, &state.health, now),
        "inHand": state.in_flight,
        "demand": f64::from(state.reported_load_milli(now)) / 1000.0,
    }
}

/// Why the server gets requests or does not get any.
fn explanation(
    view: &ClusterView,
    endpoint: &Endpoint,
    health: &ServerHealth,
    now: Duration,
) -> &'static str {
    if endpoint.server.draining {
        return "no work: the platform says that it is leaving";
    }
    if view.committed.drained_zones.contains(&endpoint.server.zone) {
        return "no work: its zone is emptied";
    }
    if endpoint.services.is_empty() {
        return "no work: no service selects it";
    }
    match health.phase {
        ServerPhase::Unknown => "not yet heard of",
        ServerPhase::WarmingUp => "just back: at most its modest rate",
        ServerPhase::SlowStart => "back for a while: its rate is rising",
        ServerPhase::Healthy if health.is_degraded(now, false) => {
            "no work while others are there: it lost some that it had in hand"
        }
        ServerPhase::Healthy => "given work",
        ServerPhase::Suspect => "no work while others are there: it failed lately",
    }
}

fn classes(proxy: &Proxy) -> Vec<JsonValue> {
    let usage = proxy.admission.lock().expect("no panic under this lock").usage();
    usage
        .into_iter()
        .map(|class| {
            jzon::object! {
                "name": class.name,
                "room": class.max_in_flight,
                "used": class.in_flight,
                "waiting": class.queued,
            }
        })
        .collect()
}
