//! Rejections as HTTP responses: status, body and headers (design 8.3).

use super::{Counter, Proxy};
use crate::lifecycle::Rejection;
use hyper::Response;
use hyper::header::{self, HeaderValue};
use jzon::JsonValue;
use std::time::Duration;
use vanepath_cluster::node::{self, Body};
use vanepath_config::ExecutionStatus;

/// An attempt whose server may be processing a request that is rejected.
#[derive(Clone, Debug)]
pub(super) struct UnansweredAttempt {
    /// The id of the server.
    pub server: String,
    /// How long ago the request was sent to the server.
    pub waited: Duration,
}

/// What a rejection states besides its reason, and what is logged about it.
#[derive(Default)]
pub(super) struct RejectionDetails {
    /// Proxies that may forward the request instead.
    pub places: Vec<JsonValue>,
    /// A description of what happened, for human readers.
    pub detail: String,
    /// Whether the client's connection is closed after the response.
    pub closes_connection: bool,
    /// The time limit of the request; zero until its rule is known.
    pub time_limit: Duration,
    /// The attempt that the rejection gives up, if any; for the log only.
    pub unanswered: Option<UnansweredAttempt>,
}

/// Counts the rejection and builds the response for it.
pub(super) fn respond(
    proxy: &Proxy,
    rejection: Rejection,
    execution_status: ExecutionStatus,
    details: &RejectionDetails,
) -> Response<Body> {
    count(proxy, rejection, execution_status);
    report_unanswered(proxy, rejection, details);
    let format = proxy.node.settings.wire_format;
    let status_name: &'static str = execution_status.into();
    let body = json_body(rejection, status_name, details);
    let mut response = node::json_response(rejection.status(execution_status), &body);
    let headers = response.headers_mut();
    if let Some(name) = format.headers().execution_status {
        headers.insert(name, HeaderValue::from_static(status_name));
    }
    if execution_status == ExecutionStatus::NotRun
        && let Some(delay) = rejection.retry_after(details.time_limit, proxy.random())
        && let Ok(delay) = HeaderValue::from_str(&format.retry_after(delay))
    {
        headers.insert(header::RETRY_AFTER, delay);
    }
    if rejection == Rejection::Unauthorized {
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("ApiKey"));
    }
    if details.closes_connection || rejection == Rejection::Malformed {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Counts a request that was rejected although a server had received it, and logs it while this proxy
/// drains. Such a request should end with the response of that server, above all during planned
/// maintenance (incident 0019).
fn report_unanswered(proxy: &Proxy, rejection: Rejection, details: &RejectionDetails) {
    let Some(UnansweredAttempt { server, waited }) = &details.unanswered else { return };
    proxy.counters.increment(Counter::RejectedWhilePending);
    if proxy.is_draining() {
        let waited_ms = waited.as_millis();
        log::warn!(
            "request rejected while draining ({rejection}): \
             server {server} had not responded for {waited_ms} ms"
        );
    }
}

fn json_body(
    rejection: Rejection,
    status_name: &'static str,
    details: &RejectionDetails,
) -> JsonValue {
    let reason: &'static str = rejection.into();
    let mut body = jzon::object! { "error": reason, "verdict": status_name };
    if !details.places.is_empty() {
        body["places"] = JsonValue::Array(details.places.clone());
    }
    if !details.detail.is_empty() {
        body["detail"] = details.detail.as_str().into();
    }
    body
}

fn count(proxy: &Proxy, rejection: Rejection, execution_status: ExecutionStatus) {
    proxy.counters.increment(match rejection {
        Rejection::Malformed => Counter::RejectedMalformed,
        Rejection::Unmatched => Counter::RejectedUnmatched,
        Rejection::Unauthorized => Counter::RejectedUnauthorized,
        Rejection::ConfigUnconfirmed => Counter::RejectedConfigUnconfirmed,
        Rejection::NoCommonRegion => Counter::RejectedNoCommonRegion,
        Rejection::HeadTooLarge => Counter::RejectedHeadTooLarge,
        Rejection::TooLarge => Counter::RejectedTooLarge,
        Rejection::WrongRegion => Counter::RejectedWrongRegion,
        Rejection::NotReady => Counter::RejectedNotReady,
        Rejection::BelowReadIndex => Counter::RejectedBelowReadIndex,
        Rejection::QueueFull => Counter::RejectedQueueFull,
        Rejection::NoServer => Counter::RejectedNoServer,
        Rejection::Congested => Counter::RejectedCongested,
        Rejection::NoBudget => Counter::RejectedNoBudget,
        Rejection::DeadlineExceeded => Counter::RejectedDeadlineExceeded,
        Rejection::ResponseLost => Counter::RejectedResponseLost,
    });
    proxy.counters.increment(match execution_status {
        ExecutionStatus::MayHaveRun => Counter::StatusMayHaveRun,
        _ => Counter::StatusNotRun,
    });
}
