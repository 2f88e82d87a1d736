//! The HTTP endpoints that every program serves: liveness, readiness and metrics.

use super::http::{Body, json_response};
use super::{ClusterView, Node};
use hyper::{Response, StatusCode};

/// The response to a request for one of the endpoints that every program serves; `None`: the path is not one
/// of them. `metrics` adds the program's own counters.
pub fn common_pages(
    node: &Node,
    path: &str,
    ready: bool,
    metrics: impl FnOnce(&mut jzon::JsonValue),
) -> Option<Response<Body>> {
    match path {
        "/v1/live" => Some(json_response(StatusCode::OK, &jzon::object! { "live": true })),
        "/v1/ready" => Some(readiness(&node.current_view.load(), ready)),
        "/v1/metrics" => {
            let mut counters = jzon::JsonValue::new_object();
            node.transport_counters.write_json(&mut counters);
            node.client_connections.counters.write_json(&mut counters);
            metrics(&mut counters);
            Some(json_response(StatusCode::OK, &counters))
        }
        _ => None,
    }
}

fn readiness(view: &ClusterView, ready: bool) -> Response<Body> {
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    json_response(status, &jzon::object! { "ready": ready, "revision": view.active_revision() })
}
