//! Clients: poll the steering service, send requests and retry them as the client library does.

use super::{CALL_TIMEOUT, method};
use crate::sim::mutations::Mutation;
use crate::sim::network::{Body, CallId, HostId, Network, Purpose, Timer};
use crate::sim::state::{Client, Request, RequestKind, Sim, SteeringPoll};
use std::collections::HashSet;
use std::time::Duration;
use vanepath_client::client::{
    CONNECT_TIMEOUT, MAX_ATTEMPTS, MAX_REJECTIONS, POLL_TIMEOUT, SUSPICION_CHECK_INTERVAL,
};
use vanepath_client::steering::{Steering, parse_response};
use vanepath_config::ExecutionStatus;

impl Sim {
    /// Adds a client, which is inactive until it is started.
    pub fn add_client(&mut self, name: &str, zone: &str, region: &str) -> usize {
        // The host is outside all zones, so that the delay for clients applies to it.
        let host = self.net.add_host(name, "", "");
        self.net.hosts[host].up = true;
        self.net.hosts[host].incarnation = 1;
        let query = format!("/v1/steer?caller={name}&zone={zone}&region={region}");
        let poll_offset = self.net.random.draw() % 1000;
        let steering = Steering::new(self.world.steering_addresses.clone(), query, poll_offset);
        self.world.clients.push(Client {
            host,
            steering,
            name: name.to_string(),
            zone: zone.to_string(),
            weight: 1.0,
            open_connections: HashSet::new(),
            steering_revisions: Vec::new(),
        });
        self.world.clients.len() - 1
    }

    /// Starts a client: it polls the steering service and sends requests from now on.
    pub fn start_client(&mut self, client: usize) {
        let host = self.world.clients[client].host;
        let start_delay = Duration::from_millis(self.net.random.draw() % 1000);
        self.net.set_timer(host, start_delay, Timer::SteeringPoll(client));
        self.net.set_timer(host, start_delay + Duration::from_secs(1), Timer::NextRequest(client));
    }

    /// Lets a client poll the steering service, if a poll is due.
    pub(super) fn poll_steering(&mut self, client: usize) {
        let now = self.net.now;
        let polling = &mut self.world.clients[client];
        let host = polling.host;
        if let Some((address, uri)) = polling.steering.start_poll(now) {
            let target = Network::host_at(address);
            let timeout = POLL_TIMEOUT;
            self.net.send(
                host,
                target,
                timeout,
                Body::SteeringRequest(uri),
                Purpose::SteeringPoll { client },
            );
        }
        let pause = self.world.clients[client].steering.next_poll_at().saturating_sub(now);
        let pause = pause.clamp(Duration::from_millis(20), Duration::from_millis(200));
        self.net.set_timer(host, pause, Timer::SteeringPoll(client));
    }

    /// Begins a request of a client.
    pub(super) fn next_request(&mut self, client: usize) {
        if self.world.stopped {
            return;
        }
        let host = self.world.clients[client].host;
        let weight = self.world.clients[client].weight;
        let mean = self.world.clients.len() as f64 / self.world.request_rate / weight;
        let pause = -(1.0 - self.net.random.fraction()).ln() * mean;
        self.net.set_timer(host, Duration::from_secs_f64(pause), Timer::NextRequest(client));
        if self.world.clients[client].steering.response().is_none() {
            return;
        }
        let sum: u32 = self.world.request_mix.iter().sum();
        let mut remainder = (self.net.random.draw() % u64::from(sum)) as u32;
        let mut kind = RequestKind::Lookup;
        for (share, candidate) in self.world.request_mix.iter().zip([
            RequestKind::Lookup,
            RequestKind::Filing,
            RequestKind::BoundFiling,
            RequestKind::Bulk,
        ]) {
            kind = candidate;
            if remainder < *share {
                break;
            }
            remainder -= share;
        }
        let now = self.net.now;
        let path = self.world.paths[kind as usize];
        let steering = &mut self.world.clients[client].steering;
        let candidates = steering.attempt_order(now, method(kind), "h", path);
        let is_at_most_once = steering.is_at_most_once(method(kind), "h", path);
        self.world.requests.push(Request {
            kind,
            client,
            started_at: now,
            ended_at: None,
            execution: ExecutionStatus::NotRun,
            status: 0,
            attempts: 0,
            rejections: 0,
            candidates,
            next_candidate: 0,
            may_have_run: false,
            is_at_most_once,
            is_connecting: false,
            is_stale: false,
            forwarded_by: Vec::new(),
            proxies_tried: Vec::new(),
            sent_to: Vec::new(),
            reasons: String::new(),
        });
        let request = self.world.requests.len() - 1;
        self.try_next_proxy(request);
    }

    /// Makes the next attempt of a request, as the client library does.
    fn try_next_proxy(&mut self, number: usize) {
        let request = &mut self.world.requests[number];
        let Some(address) = request
            .candidates
            .get(request.next_candidate)
            .copied()
            .filter(|_| request.next_candidate < MAX_ATTEMPTS)
        else {
            return self.end_request(number);
        };
        request.next_candidate += 1;
        if !self.world.clients[request.client].steering.is_listed(&address) {
            return self.try_next_proxy(number);
        }
        request.attempts += 1;
        let target = Network::host_at(address);
        let client = request.client;
        let host = self.world.clients[client].host;
        let incarnation = self.net.hosts[target].incarnation;
        let now = self.net.now;
        let is_at_most_once = self.world.requests[number].is_at_most_once;
        let may_use_open = self.world.clients[client].steering.may_reuse_connection(
            now,
            &address,
            is_at_most_once,
        );
        let open_connections = &mut self.world.clients[client].open_connections;
        let is_open = may_use_open && open_connections.contains(&(target, incarnation));
        // A connection that the proxy's machine no longer knows after it lost power, while this
        // side got no notice. A write to it is answered by a reset.
        let unclean_incarnations = &self.net.hosts[target].unclean_incarnations;
        let stale = unclean_incarnations
            .iter()
            .map(|incarnation| (target, *incarnation))
            .find(|connection| open_connections.contains(connection));
        let is_stale = may_use_open && !is_open && stale.is_some();
        if let Some(stale) = stale {
            open_connections.remove(&stale);
        }
        let is_reachable = self.net.hosts[target].powered && !self.net.is_cut(host, target);
        let request = &mut self.world.requests[number];
        request.is_stale = is_stale;
        request.is_connecting = !is_open && !is_reachable && !is_stale;
        let is_last = request.next_candidate >= request.candidates.len().min(MAX_ATTEMPTS);
        let timeout = if request.is_connecting { Duration::from_secs(1) } else { CALL_TIMEOUT };
        let may_switch = !request.is_at_most_once && !is_last && !request.is_connecting;
        self.world.clients[client].steering.request_started(now, address);
        self.world.requests[number].proxies_tried.push(target);
        if is_stale && is_reachable {
            let delay = 2 * self.net.delays.client;
            let timer = Timer::StaleConnection { request: number, target };
            self.net.set_timer(host, delay, timer);
            return;
        }
        let purpose = Purpose::Forward { request: number };
        let call = self.net.send(host, target, timeout, Body::Forward(number), purpose);
        self.record_client_send(call);
        if may_switch {
            let timer = Timer::SwitchProxy { request: number, target, call };
            self.net.set_timer(host, SUSPICION_CHECK_INTERVAL, timer);
        }
    }

    /// Ends a request, with success or failure.
    fn end_request(&mut self, number: usize) {
        let now = self.net.now;
        let request = &mut self.world.requests[number];
        request.ended_at = Some(now);
        if request.may_have_run && request.execution == ExecutionStatus::NotRun {
            request.execution = ExecutionStatus::MayHaveRun;
        }
    }

    /// Handles a proxy's answer to a request; `None` if there was none.
    pub(super) fn proxy_replied(
        &mut self,
        number: usize,
        target: HostId,
        body: Option<Body>,
        is_reset: bool,
    ) {
        let now = self.net.now;
        let incarnation = self.net.hosts[target].incarnation;
        let request = &mut self.world.requests[number];
        let client = &mut self.world.clients[request.client];
        let address = Network::address_of(target);
        client.steering.request_finished(now, address, body.is_some());
        match body {
            Some(Body::Forwarded { execution, status, eligible }) => {
                client.open_connections.insert((target, incarnation));
                request.execution = execution;
                request.status = status;
                request.may_have_run |= execution != ExecutionStatus::NotRun;
                request.rejections += u32::from(status == 503);
                let may_retry = !(request.is_at_most_once && request.may_have_run)
                    && request.rejections < MAX_REJECTIONS
                    && self.mutation != Some(Mutation::NeverRetriesLookups);
                if !may_retry || !client.steering.should_retry(now, status, execution) {
                    return self.end_request(number);
                }
                if status == 421 {
                    client.steering.redirect(
                        now,
                        &mut request.candidates,
                        request.next_candidate,
                        &eligible,
                    );
                }
            }
            _ => {
                // A reset before anything was sent is a refused connection.
                let is_unsent = (request.is_connecting
                    || (is_reset && !client.open_connections.contains(&(target, incarnation)))
                    || (is_reset && !self.net.hosts[target].up))
                    && !request.is_stale;
                client.open_connections.remove(&(target, incarnation));
                // A client does not know what the proxy did with the request, so it may have run
                // once a byte of it was sent.
                let was_connected = !is_unsent || request.forwarded_by.contains(&target);
                request.execution = if was_connected {
                    ExecutionStatus::MayHaveRun
                } else {
                    ExecutionStatus::NotRun
                };
                request.may_have_run |= was_connected;
                request.status = 0;
                client.steering.penalize(now, address);
                if request.is_at_most_once && request.may_have_run {
                    return self.end_request(number);
                }
            }
        }
        self.try_next_proxy(number);
    }

    /// Lets a client decide whether to give up on a proxy that does not answer. If it suspects the
    /// proxy, it first tests it by opening a new connection.
    pub(super) fn consider_switching(
        &mut self,
        host: HostId,
        request: usize,
        target: HostId,
        call: CallId,
    ) {
        let client = self.world.requests[request].client;
        let (now, address) = (self.net.now, Network::address_of(target));
        if self.world.clients[client].steering.is_suspect(now, &address) {
            let is_reachable = self.net.hosts[target].powered && !self.net.is_cut(host, target);
            let pause = match is_reachable {
                true => 2 * self.net.delays.client,
                false => CONNECT_TIMEOUT,
            };
            let timer = Timer::ProbeConnected { request, target, call, is_reachable };
            self.net.set_timer(host, pause, timer);
        } else {
            let timer = Timer::SwitchProxy { request, target, call };
            self.net.set_timer(host, SUSPICION_CHECK_INTERVAL, timer);
        }
    }

    /// Handles the end of the test connection, which was opened or timed out.
    pub(super) fn probe_connected(
        &mut self,
        host: HostId,
        request: usize,
        target: HostId,
        call: CallId,
        is_reachable: bool,
    ) {
        let client = self.world.requests[request].client;
        let (now, address) = (self.net.now, Network::address_of(target));
        if self.world.clients[client].steering.may_abandon(now, &address, is_reachable) {
            self.net.cancel(call);
            self.proxy_replied(request, target, None, false);
        } else {
            let timer = Timer::SwitchProxy { request, target, call };
            self.net.set_timer(host, SUSPICION_CHECK_INTERVAL, timer);
        }
    }

    /// Handles the steering service's answer to a client; `None` if there was none.
    pub(super) fn steering_replied(&mut self, client: usize, body: Option<Body>) {
        let response = match body {
            Some(Body::SteeringResponse(text)) => {
                // The invariant checks use the TTL in the answer itself, not the one that the
                // client library parsed.
                let ttl = jzon::parse(&text).ok().and_then(|answer| answer["TTL"].as_f64());
                if let Some(ttl) = ttl {
                    self.world.longest_steering_ttl = self.world.longest_steering_ttl.max(ttl);
                }
                parse_response(&text).ok()
            }
            _ => None,
        };
        let now = self.net.now;
        self.world.steering_polls.push(SteeringPoll { at: now, is_answered: response.is_some() });
        let client = &mut self.world.clients[client];
        if let Some(response) = &response {
            client.steering_revisions.push(response.revision);
        }
        client.steering.finish_poll(now, response);
    }
}
