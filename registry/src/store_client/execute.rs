//! Executes a request to the stores over the transport.

use crate::state::{Counter, Registry};
use crate::store_client::request::{ATTEMPT_TIMEOUT, NextAction, StoreRequest, stores};
use std::collections::BTreeSet;
use vanepath_cluster::wire::{self, NodeInfo};
use vanepath_store::protocol::{Outcome, Request, Response};

/// Sends a request to one store after the other until its outcome is known or its time-out expires.
pub async fn execute(registry: &Registry, request: Request) -> Outcome {
    let now = || registry.node.clock.now();
    let mut store_request = StoreRequest::new(request, now());
    let mut logged_stores = BTreeSet::new();
    loop {
        let stores = stores(&registry.node.current_view.load());
        match store_request.next(now(), stores) {
            NextAction::Pause(pause) => tokio::time::sleep(pause).await,
            NextAction::End(outcome) => return outcome,
            NextAction::Send(store) => {
                registry.counters.increment(Counter::StoreTries);
                let request = store_request.request_at(now());
                log_first_attempt(&request, &store, &mut logged_stores);
                let response = send(registry, &store, &request).await;
                if let Some(outcome) = store_request.on_response(response) {
                    return outcome;
                }
            }
        }
    }
}

/// Logs the first attempt of a change at each store.
fn log_first_attempt(request: &Request, store: &NodeInfo, logged_stores: &mut BTreeSet<String>) {
    if let Request::Change { key, .. } = request
        && logged_stores.insert(store.name.clone())
    {
        log::info!("change {key} passed on to {}", store.name);
    }
}

/// One attempt at one store; `None` if there was no response or it could not be decoded.
async fn send(registry: &Registry, store: &NodeInfo, request: &Request) -> Option<Response> {
    let request = wire::Request::Store(wire::encode(request).into());
    let is_other_zone = store.zone != registry.node.settings.zone;
    let transport = &registry.node.transport;
    let reply = transport.call(store.cluster_address, &request, ATTEMPT_TIMEOUT, is_other_zone);
    match reply.await {
        Ok(wire::Reply::Store(bytes)) => wire::decode(&bytes).ok(),
        _ => None,
    }
}
