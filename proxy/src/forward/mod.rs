//! Forwards requests to servers and relays their responses (design 8.1). The pure modules
//! ([`crate::lifecycle`], [`crate::admission`], [`crate::endpoints`], [`crate::retry_budget`]) make
//! the decisions; this module does the input and output.

mod admission;
mod attempt;
mod authentication;
mod connection;
mod guards;
mod headers;
mod hedging;
mod pending;
mod rejection;
mod request_body;
mod response;
mod retry;
mod routing;
mod state;
mod upstream_request;
mod validation;

pub use state::{Counter, Counters, Proxy};

use crate::lifecycle::{Rejection, RequestLifecycle, RequestState};
use crate::pipelining::{self, RequestHead};
use admission::{admit, before_shutdown, wait_until_ready};
use guards::ClientDisconnectGuard;
use hyper::{Request, Response};
use rejection::RejectionDetails;
use request_body::read_body_before;
use retry::AttemptLoop;
use routing::{RequestTarget, RequestTiming, Route};
use std::sync::Arc;
use tokio::task::JoinHandle;
use upstream_request::UpstreamRequest;
use validation::{check_declared_length, validate_head};
use vanepath_cluster::node::Body;
use vanepath_config::model::Idempotency;

/// The prefix of the paths of the proxy's admin pages.
pub const ADMIN_PREFIX: &str = "/vanepath/";

/// Forwards a request. Always returns a response: that of a server, or a rejection.
pub async fn forward(proxy: Arc<Proxy>, request: Request<Body>) -> Response<Body> {
    proxy.counters.increment(Counter::Requests);
    let mut disconnect_guard = ClientDisconnectGuard::new(&proxy);
    let mut lifecycle = RequestLifecycle::new();
    let mut details = RejectionDetails::default();
    let outcome = handle(&proxy, request, &mut lifecycle, &mut details).await;
    disconnect_guard.disarm();
    outcome.unwrap_or_else(|rejection| {
        rejection::respond(&proxy, rejection, lifecycle.execution_status(), &details)
    })
}

/// Takes a request through all its phases, from the validation of its head to the response that is
/// relayed. On an error, `lifecycle` and `details` hold what else the rejection states.
async fn handle(
    proxy: &Arc<Proxy>,
    request: Request<Body>,
    lifecycle: &mut RequestLifecycle,
    details: &mut RejectionDetails,
) -> Result<Response<Body>, Rejection> {
    let received_at = proxy.now();
    let (mut head, incoming) = request.into_parts();
    let host = validate_head(&mut head).inspect_err(|_| details.closes_connection = true)?;
    before_shutdown(proxy, wait_until_ready(proxy, received_at)).await?;

    let route = Route::find(proxy, RequestTarget::new(proxy, &head, host), details)?;
    let class = route.class().clone();
    record_match(proxy, &route, lifecycle);
    let timing = RequestTiming::new(proxy, &route, &head.headers, received_at);
    details.time_limit = timing.limit;
    check_declared_length(&incoming, &class).inspect_err(|_| details.closes_connection = true)?;

    lifecycle.state = RequestState::Queued;
    let permit = admit(proxy, &class.name, route.tenant(), timing.deadline);
    let permit = before_shutdown(proxy, permit).await?;
    let service_name = route.pick_service(proxy);
    let body =
        read_body_before(proxy, timing.deadline, incoming, class.max_body_bytes, details).await?;
    lifecycle.is_replayable = body.is_replayable();
    let mut upstream_request = UpstreamRequest::new(proxy, head, body);

    let attempts = AttemptLoop::new(proxy, route, class, timing, service_name, permit);
    attempts.run(lifecycle, details, &mut upstream_request).await
}

/// Sets the lifecycle according to the matched rule, and counts the request in the request rates.
fn record_match(proxy: &Proxy, route: &Route, lifecycle: &mut RequestLifecycle) {
    lifecycle.state = RequestState::Matched;
    lifecycle.idempotency = route.class().idempotency;
    lifecycle.max_sends = route.rule().max_attempts;
    let mut request_rates = proxy.request_rates.lock().expect("no panic under this lock");
    request_rates.record_request(route.rule().service);
}

/// Starts a pipelined request before its turn, while an earlier one on its connection is in flight
/// (design 8.9). Only `GET` and `HEAD` requests of idempotent classes are started, and none while the
/// proxy drains; `None` for all others, which wait for their turn.
pub fn start_pipelined(
    proxy: &Arc<Proxy>,
    head: &RequestHead,
) -> Option<JoinHandle<pipelining::Response>> {
    if proxy.is_draining() || (head.method != "GET" && head.method != "HEAD") {
        return None;
    }
    let host = head.headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("host"))?;
    let host = std::str::from_utf8(&host.1).ok()?;
    let host = host.split(':').next().unwrap_or(host);
    let table = proxy.endpoints.table.load();
    let rule = table.config.rule_for(&head.method, host, &head.target)?;
    let class = &table.config.classes[table.config.rules[rule].class];
    if class.idempotency != Idempotency::Idempotent {
        return None;
    }
    let request = head.to_request()?;
    Some(tokio::spawn(forward(proxy.clone(), request)))
}
