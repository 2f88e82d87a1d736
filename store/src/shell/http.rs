//! The HTTP pages of a store (design 9.1, 9.2). The JSON keys are part of the operators' interface and must
//! stay.

use super::Counters;
use crate::consensus::Summary;
use crate::value::Member;
use vanepath_cluster::node;

/// Responds to an HTTP request.
pub(super) fn respond(
    node: &node::Node,
    summary: &Summary,
    counters: &Counters,
    request: &hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<node::Body> {
    let path = request.uri().path();
    let is_ready = summary.is_voting && !node.is_shutting_down();
    let write_counters = |json: &mut _| counters.write_json(json);
    if let Some(response) = node::common_pages(node, path, is_ready, write_counters) {
        return response;
    }
    if path != "/v1/status" {
        let error = jzon::object! { "error": "no such path" };
        return node::json_response(hyper::StatusCode::NOT_FOUND, &error);
    }
    node::json_response(hyper::StatusCode::OK, &status_page(node, summary))
}

fn status_page(node: &node::Node, summary: &Summary) -> jzon::JsonValue {
    let members: Vec<jzon::JsonValue> =
        summary.members.iter().map(|slot| member_json(slot.as_ref())).collect();
    let view = node.current_view.load();
    jzon::object! {
        "name": node.settings.name.as_str(),
        "revision": view.active_revision(),
        "floor": view.read_index_json(),
        "seat": summary.slot,
        "incarnation": hex(summary.incarnation),
        "votes": summary.is_voting,
        "why": summary.reason,
        "promised": summary.promised,
        "acceptedRevision": summary.accepted,
        "chosenRevision": summary.committed,
        "versions": summary.versions,
        "seats": members,
    }
}

fn member_json(member: Option<&Member>) -> jzon::JsonValue {
    match member {
        Some(member) => jzon::object! {
            "name": member.name.as_str(),
            "incarnation": hex(member.incarnation),
        },
        None => jzon::JsonValue::Null,
    }
}

fn hex(incarnation: u64) -> String {
    format!("{incarnation:016x}")
}
