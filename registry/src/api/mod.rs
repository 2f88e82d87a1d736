//! The HTTP API with JSON bodies for operators and clients (design 7.5): routes requests to handlers.
//!
//! Each handler returns `Result<ApiResponse, ApiError>`; only [`errors`] converts errors to responses.

mod change_log;
mod config;
mod errors;
mod idempotency_key;
mod response;
mod status;
mod steering;
mod stores;
mod submissions;
mod zones;

use self::errors::ApiError;
use self::response::ApiResponse;
use crate::state::Registry;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use std::sync::Arc;
use vanepath_cluster::node::{self, ListStage};
use vanepath_cluster::request_fence::UNNOTICED_DELAY;
use vanepath_store::protocol::Change;

/// The stages of the endpoint list's way at a registry.
const LIST_STAGES: [ListStage; 2] = [ListStage::Read, ListStage::Learned];

/// Answers one request.
pub async fn handle(registry: Arc<Registry>, request: Request<Incoming>) -> ApiResponse {
    let path = request.uri().path().to_string();
    // All vanepath programs also serve their paths under this prefix.
    let path = path.strip_prefix("/vanepath").unwrap_or(&path).to_string();
    let counters = &registry.counters;
    let common_page = node::common_pages(&registry.node, &path, registry.is_ready(), |metrics| {
        counters.write_json(metrics);
        registry.node.list_ages.write_metrics(&LIST_STAGES, metrics);
    });
    if let Some(response) = common_page {
        return response;
    }
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let started_at = registry.node.clock.now();
    let routed = route(&registry, request, &segments).await;
    let mut response = routed.unwrap_or_else(ApiError::into_response);
    if registry.node.clock.now().saturating_sub(started_at) > UNNOTICED_DELAY {
        // Requests behind this one waited as long, and would be taken for new ones.
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn route(
    registry: &Registry,
    request: Request<Incoming>,
    segments: &[&str],
) -> Result<ApiResponse, ApiError> {
    let query = request.uri().query().unwrap_or_default();
    match (request.method().as_str(), segments) {
        ("GET", ["v1", "steer"]) => steering::steer(registry, query),
        ("GET", ["v1", "addresses"]) => steering::addresses(registry, query),
        ("GET", ["v1", "status"]) => Ok(status::read(registry).await),
        ("GET", ["v1", "setup"]) => config::read(registry).await,
        ("GET", ["v1", "setup", revision]) => config::read_revision(registry, revision).await,
        ("PUT", ["v1", "setup"]) => config::write(registry, request).await,
        ("GET", ["v1", "zones"]) => zones::read(registry).await,
        ("PUT", ["v1", "zones", zone, "emptied"]) => {
            let change = Change::DrainZone { zone: zone.to_string() };
            zones::write(registry, zone, change, request.headers()).await
        }
        ("DELETE", ["v1", "zones", zone, "emptied"]) => {
            let change = Change::RestoreZone { zone: zone.to_string() };
            zones::write(registry, zone, change, request.headers()).await
        }
        ("GET", ["v1", "submissions", key]) => submissions::read(registry, key).await,
        (
            _,
            ["v1", "steer" | "addresses" | "status" | "setup" | "zones", ..]
            | ["v1", "submissions", _],
        ) => Err(ApiError::MethodNotAllowed),
        _ => Err(ApiError::NoSuchPath),
    }
}
