//! Traffic in the simulator: clients, the requests in proxies, and servers. The decisions about
//! request lifecycles, admission, retry budgets, endpoints and steering are made by the cores of
//! the proxy and of the client library.

mod attempts;
mod clients;
mod proxies;
mod requests;
mod servers;
mod tenants;

use super::network::{Body, HostId, Purpose, Timer};
use super::state::{RequestKind, Sim};
use std::time::Duration;

/// The longest time that a client waits for a proxy's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The HTTP method of a kind of request.
fn method(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Lookup | RequestKind::Bulk => "GET",
        RequestKind::Filing | RequestKind::BoundFiling => "POST",
    }
}

impl Sim {
    /// Handles a timer of a client, a proxy or a server.
    pub fn traffic_timer(&mut self, host: HostId, timer: Timer) {
        match timer {
            Timer::SteeringPoll(client) => self.poll_steering(client),
            Timer::NextRequest(client) => self.next_request(client),
            Timer::SwitchProxy { request, target, call } if self.net.find_call(call).is_some() => {
                self.consider_switching(host, request, target, call);
            }
            Timer::ProbeConnected { request, target, call, is_reachable }
                if self.net.find_call(call).is_some() =>
            {
                self.probe_connected(host, request, target, call, is_reachable);
            }
            Timer::StaleConnection { request, target } => {
                self.proxy_replied(request, target, None, true);
            }
            Timer::ServerDone { call, .. } => self.server_done(host, call),
            Timer::AdmitRequest(_)
            | Timer::SelectServer(_)
            | Timer::QueueTimeout(_)
            | Timer::HedgeRequest { .. }
            | Timer::CloseListeners => {
                if let Some(index) = self.node_by_host.get(&host).copied() {
                    self.proxy_timer(index, timer);
                }
            }
            _ => {}
        }
    }

    /// Handles a reply that reaches a client or a proxy; `None` for a reset or a timeout.
    pub fn traffic_replied(
        &mut self,
        source: HostId,
        target: HostId,
        purpose: Purpose,
        body: Option<Body>,
        is_reset: bool,
    ) {
        let index = self.node_by_host.get(&source).copied();
        match (purpose, index) {
            (Purpose::SteeringPoll { client }, _) => self.steering_replied(client, body),
            (Purpose::Forward { request }, _) => {
                self.proxy_replied(request, target, body, is_reset);
            }
            (Purpose::Connect { progress_id, attempt }, Some(index)) => {
                self.connected(index, progress_id, attempt, body, is_reset);
            }
            (Purpose::Probe { slot, index: endpoint }, Some(index)) => {
                self.probe_replied(index, slot, endpoint, body, is_reset);
            }
            (Purpose::UpstreamRequest { progress_id, attempt }, Some(index)) => {
                self.upstream_replied(index, progress_id, attempt, body, is_reset);
            }
            _ => {}
        }
    }
}
