//! The event loop: takes events from the queue and dispatches them to the nodes, servers and
//! clients that they concern.

use super::mutations::Mutation;
use super::network::{Body, Call, CallId, Event, HostId, Purpose, Timer};
use super::scenario::{apply_action, operators};
use super::state::Sim;
use std::time::Duration;
use vanepath_cluster::{gossip, wire};
use vanepath_store::consensus;
use vanepath_store::protocol::{Request, Response};

/// The interval of a node's regular tick.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

impl Sim {
    /// Runs the simulation until this time.
    pub fn run_until(&mut self, until: Duration) {
        self.net.schedule(until, Event::Script(usize::MAX));
        while let Some((event, call)) = self.net.next_event() {
            if let Event::Script(usize::MAX) = event {
                if self.net.now >= until {
                    return;
                }
                continue;
            }
            self.sample_reachability();
            self.handle_event(event, call);
        }
    }

    fn handle_event(&mut self, event: Event, call: Option<Call>) {
        match event {
            Event::Script(number) => apply_action(self, number),
            Event::Tick { host, incarnation } => {
                self.net.schedule(self.net.now + TICK_INTERVAL, Event::Tick { host, incarnation });
                if let Some(index) = self.node_by_host.get(&host).copied() {
                    self.tick(index);
                }
            }
            Event::DiskWriteDone { host, .. } => {
                if let Some(index) = self.node_by_host.get(&host).copied() {
                    self.disk_write_done(index);
                }
            }
            Event::Timer { host, timer, .. } => self.timer_fired(host, timer),
            Event::RequestArrived { call: number, body } => {
                let call_entry = call.expect("an arriving request belongs to a call");
                self.deliver_request(call_entry.target, call_entry.source, number, body);
            }
            Event::AbandonedRequestArrived { call: number, body } => {
                let call_entry = call.expect("an arriving request belongs to a call");
                self.deliver_abandoned_request(&call_entry, number, body);
            }
            Event::ReplyArrived { body, .. } => {
                let call_entry = call.expect("an arriving reply belongs to a call");
                let body = if matches!(body, Body::Reset) { None } else { Some(body) };
                let is_reset = body.is_none();
                self.deliver_reply(
                    call_entry.source,
                    call_entry.target,
                    call_entry.purpose,
                    body,
                    is_reset,
                );
            }
            Event::CallTimedOut { call: number } => {
                let call_entry = call.expect("an expired timeout belongs to a call");
                if let Purpose::OperatorCall { operation } = call_entry.purpose
                    && !self.leaves_connection_open(operation)
                {
                    self.drop_store_call(call_entry.target, number);
                }
                self.deliver_reply(
                    call_entry.source,
                    call_entry.target,
                    call_entry.purpose,
                    None,
                    false,
                );
            }
        }
    }

    fn timer_fired(&mut self, host: HostId, timer: Timer) {
        match timer {
            Timer::StoreCall(store_call) => {
                if let Some(index) = self.node_by_host.get(&host).copied() {
                    self.step_store_call(index, store_call);
                }
            }
            Timer::ListReadEnded => {
                if let Some(index) = self.node_by_host.get(&host).copied() {
                    self.list_read_ended(index);
                }
            }
            Timer::NextOperatorCall => operators::next_call(self),
            other => self.traffic_timer(host, other),
        }
    }

    fn deliver_request(&mut self, host: HostId, source: HostId, call: CallId, body: Body) {
        if host == self.platform_host {
            if let Some(body) = self.endpoint_list_reply() {
                self.net.reply(call, body);
            }
            return;
        }
        let Some(index) = self.node_by_host.get(&host).copied() else {
            return self.handle_server_message(host, source, call, body);
        };
        match body {
            Body::Pull(mut request) => {
                if self.has_mutation(Mutation::DelaysConfig)
                    && !self.net.now.as_secs().is_multiple_of(7)
                {
                    // Makes the request claim that its sender has every revision, so that the
                    // response carries no newer one.
                    request.config_revision = u64::MAX;
                }
                self.step_gossip(index, gossip::Event::PullReceived { ticket: call, request });
            }
            Body::StoreRequest(Request::ReadIndex)
                if self.nodes[index].info.role != wire::Role::Store =>
            {
                self.net.reply(call, Body::Reset);
            }
            Body::StoreRequest(request) => {
                let event = consensus::Event::RequestReceived { ticket: call, request };
                self.step_store(index, event);
            }
            Body::OperatorCall(operation) => self.start_store_call(index, operation, call),
            Body::SteeringRequest(query) => self.steer(index, &query, call),
            Body::Forward(request) => self.accept_request(index, request, call),
            _ => {}
        }
    }

    /// Delivers a request whose caller has left. A registry looks at the connection before it passes an order on,
    /// and finds it closed, unless the operator left it open. A store may read the request before the close arrives,
    /// and carries it out.
    fn deliver_abandoned_request(&mut self, call: &Call, number: CallId, body: Body) {
        let Some(index) = self.node_by_host.get(&call.target).copied() else { return };
        match body {
            Body::StoreRequest(request) => {
                let event = consensus::Event::RequestReceived { ticket: number, request };
                self.step_store(index, event);
            }
            Body::OperatorCall(operation) if self.leaves_connection_open(operation) => {
                self.start_store_call(index, operation, number);
            }
            _ => {}
        }
    }

    /// Whether the operator of this call leaves its connection open when it gives the call up.
    fn leaves_connection_open(&self, operation: usize) -> bool {
        let evacuation = self.operations[operation].call.evacuation();
        let series = evacuation.and_then(|number| self.evacuations[number].series.as_ref());
        series.is_some_and(|series| series.leaves_connections_open)
    }

    fn deliver_reply(
        &mut self,
        source: HostId,
        target: HostId,
        purpose: Purpose,
        body: Option<Body>,
        is_reset: bool,
    ) {
        let index = self.node_by_host.get(&source).copied();
        match (purpose, index) {
            (Purpose::Pull { address }, Some(index)) => {
                let response = match body {
                    Some(Body::PullResponse(response)) => Some(Box::new(response)),
                    _ => None,
                };
                self.step_gossip(index, gossip::Event::PullCompleted { address, response });
            }
            (Purpose::Store { call }, Some(index)) => {
                let response = match body {
                    Some(Body::StoreResponse(response)) => Some(response),
                    _ => None,
                };
                self.step_store(index, consensus::Event::ResponseReceived { call, response });
            }
            (Purpose::ReadIndex { address, requested_at }, Some(index)) => {
                let revision = match body {
                    Some(Body::StoreResponse(Response::ReadIndex(revision))) => revision,
                    _ => None,
                };
                let event = gossip::Event::ReadIndexReceived { address, requested_at, revision };
                self.step_gossip(index, event);
            }
            (Purpose::StoreCall { store_call }, Some(index)) => {
                let response = match body {
                    Some(Body::StoreResponse(response)) => Some(response),
                    _ => None,
                };
                self.store_call_replied(index, store_call, response);
            }
            (Purpose::EndpointList, Some(index)) => {
                let list = match body {
                    Some(Body::EndpointListText(text)) => {
                        return self.endpoint_list_text_received(index, &text);
                    }
                    Some(Body::EndpointList(list)) => Some(list),
                    _ => None,
                };
                self.endpoint_list_received(index, list);
            }
            (Purpose::OperatorCall { operation }, _) => {
                let outcome = match body {
                    Some(Body::OperatorResponse(outcome)) => Some(outcome),
                    _ => None,
                };
                let is_lost = outcome.is_some() && operators::takes_lost_answer(self, operation);
                self.end_operation(operation, outcome.filter(|_| !is_lost));
                operators::keyless_call_ended(self, operation, is_lost);
            }
            (Purpose::None, _) => {}
            (purpose, _) => self.traffic_replied(source, target, purpose, body, is_reset),
        }
    }
}
