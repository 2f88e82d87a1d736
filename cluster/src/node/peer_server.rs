//! The server for other nodes: pulls go to the gossip actor, all other requests to the program's handler.

use super::gossip_actor::{GossipActor, HandleEvent, HandlePull};
use crate::gossip::Event;
use crate::transport::{self, Counters};
use crate::wire::{Handshake, PullRequest, Reply, Request};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use xtra::Address;

/// Handles the requests that are for the store.
pub type StoreHandler =
    Arc<dyn Fn(Request) -> Pin<Box<dyn Future<Output = Reply> + Send>> + Send + Sync>;

/// Reports a pull as abandoned if it is dropped before the response is ready, because the requester has
/// disconnected.
struct AbandonGuard {
    gossip: Address<GossipActor>,
    ticket: u64,
    is_complete: bool,
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if !self.is_complete {
            let (gossip, ticket) = (self.gossip.clone(), self.ticket);
            tokio::spawn(async move {
                let _ = gossip.send(HandleEvent(Event::PullAbandoned { ticket })).await;
            });
        }
    }
}

/// Serves other nodes until the task is dropped.
pub(super) async fn serve_peers(
    listener: TcpListener,
    handshake: Handshake,
    counters: Arc<Counters>,
    gossip: Address<GossipActor>,
    store_handler: Option<StoreHandler>,
) {
    let next_ticket = Arc::new(AtomicU64::new(0));
    let handler = move |request: Request| {
        let gossip = gossip.clone();
        let next_ticket = next_ticket.clone();
        let store_handler = store_handler.clone();
        async move {
            match request {
                Request::Pull(request) => {
                    let ticket = next_ticket.fetch_add(1, Ordering::Relaxed);
                    serve_pull(gossip, ticket, request).await
                }
                request => match store_handler {
                    Some(handler) => handler(request).await,
                    None => Reply::Unsupported,
                },
            }
        }
    };
    transport::serve(listener, handshake, counters, handler).await;
}

async fn serve_pull(gossip: Address<GossipActor>, ticket: u64, request: PullRequest) -> Reply {
    let (responder, response) = oneshot::channel();
    let mut guard = AbandonGuard { gossip: gossip.clone(), ticket, is_complete: false };
    let _ = gossip.send(HandlePull { ticket, request, responder }).await;
    let response = response.await;
    guard.is_complete = true;
    match response {
        Ok(response) => Reply::Pull(response),
        Err(_) => Reply::Unsupported,
    }
}
