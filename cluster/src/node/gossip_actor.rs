//! The actor that runs the gossip state machine, carries out its effects and publishes the cluster view.

use super::{Clock, ClusterView, ListAges, ListStage};
use crate::config_lease::ConfigLeaseView;
use crate::gossip::{Effect, Event, Gossip, LogEvent, Peer};
use crate::read_index::{READ_INDEX_TIMEOUT, ReadIndexSource};
use crate::transport::{Client, Counter, Counters, TransportError};
use crate::wire::{PullRequest, PullResponse, Reply, Request};
use arc_swap::ArcSwap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::MissedTickBehavior;
use xtra::{Address, Context, Handler, Mailbox};

/// The interval at which the core receives ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The timeout of a pull is the time for which it waits at the peer plus this margin.
const PULL_TIMEOUT_MARGIN: Duration = Duration::from_millis(1000);

/// Runs the gossip state machine.
#[derive(xtra::Actor)]
pub struct GossipActor {
    core: Gossip,
    clock: Clock,
    transport: Arc<Client>,
    counters: Arc<Counters>,
    view_sender: watch::Sender<Arc<ClusterView>>,
    current_view: Arc<ArcSwap<ClusterView>>,
    /// The channels for the responses to peers' pulls, by ticket.
    responders: HashMap<u64, oneshot::Sender<PullResponse>>,
    last_tick_ms: Arc<AtomicU64>,
    config_lease: Arc<ArcSwap<ConfigLeaseView>>,
    list_ages: Arc<ListAges>,
}

/// Message: an event for the core.
pub struct HandleEvent(pub Event);

/// Message: a pull from a peer; the response is sent through the channel.
pub(super) struct HandlePull {
    pub(super) ticket: u64,
    pub(super) request: PullRequest,
    pub(super) responder: oneshot::Sender<PullResponse>,
}

/// Message: returns all known peers with their observations.
pub struct ListPeers;

/// A handle to the running actor and its published state.
pub(super) struct GossipHandle {
    pub(super) address: Address<GossipActor>,
    pub(super) current_view: Arc<ArcSwap<ClusterView>>,
    pub(super) view_updates: watch::Receiver<Arc<ClusterView>>,
    /// When the core last handled a tick, in milliseconds on the node's clock.
    pub(super) last_tick_ms: Arc<AtomicU64>,
    /// The lease on the configuration of the core, which is never older than that of the current view.
    pub(super) config_lease: Arc<ArcSwap<ConfigLeaseView>>,
    /// How old the endpoint list was when this node learned of it.
    pub(super) list_ages: Arc<ListAges>,
}

impl GossipActor {
    /// Starts the actor; [`send_ticks`] then sends it ticks.
    pub(super) fn start(
        core: Gossip,
        clock: Clock,
        transport: Arc<Client>,
        counters: Arc<Counters>,
        initial_view: ClusterView,
    ) -> GossipHandle {
        let current_view = Arc::new(ArcSwap::from_pointee(initial_view));
        let (view_sender, view_updates) = watch::channel(current_view.load_full());
        let last_tick_ms: Arc<AtomicU64> = Arc::default();
        let config_lease: Arc<ArcSwap<ConfigLeaseView>> = Arc::default();
        let list_ages: Arc<ListAges> = Arc::default();
        let actor = GossipActor {
            core,
            clock,
            transport,
            counters,
            view_sender,
            current_view: current_view.clone(),
            responders: HashMap::new(),
            last_tick_ms: last_tick_ms.clone(),
            config_lease: config_lease.clone(),
            list_ages: list_ages.clone(),
        };
        let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
        GossipHandle { address, current_view, view_updates, last_tick_ms, config_lease, list_ages }
    }

    fn perform(&mut self, effects: Vec<Effect>, own_address: &Address<GossipActor>) {
        let mut has_view_changed = false;
        for effect in effects {
            match effect {
                Effect::Pull { address, request } => {
                    self.send_pull(address, request, own_address.clone())
                }
                Effect::Respond { ticket, response } => {
                    if let Some(responder) = self.responders.remove(&ticket) {
                        let _ = responder.send(response);
                    }
                }
                Effect::RequestReadIndex { address } => {
                    self.request_read_index(address, own_address.clone());
                }
                Effect::ViewChanged => has_view_changed = true,
                Effect::Log(event) => {
                    if event == LogEvent::ResumedAfterPause {
                        self.counters.increment(Counter::ProcessPauses);
                    }
                    log::info!("gossip: {event}");
                }
            }
        }
        if has_view_changed {
            self.publish();
        }
        let config_lease = self.core.config_lease();
        if **self.config_lease.load() != config_lease {
            self.config_lease.store(Arc::new(config_lease));
        }
    }

    fn send_pull(
        &self,
        address: SocketAddr,
        request: PullRequest,
        own_address: Address<GossipActor>,
    ) {
        let transport = self.transport.clone();
        let is_cross_zone = self.core.peers.iter().any(|peer| {
            peer.info.cluster_address == address && peer.info.zone != self.core.node_info().zone
        });
        tokio::spawn(async move {
            let call_timeout =
                Duration::from_millis(u64::from(request.wait_ms)) + PULL_TIMEOUT_MARGIN;
            let request = Request::Pull(request);
            let response =
                match transport.call(address, &request, call_timeout, is_cross_zone).await {
                    Ok(Reply::Pull(response)) => Some(Box::new(response)),
                    Err(TransportError::Refused) => {
                        let _ = own_address
                            .send(HandleEvent(Event::ConnectionRefused { address }))
                            .await;
                        None
                    }
                    _ => None,
                };
            let _ = own_address.send(HandleEvent(Event::PullCompleted { address, response })).await;
        });
    }

    fn request_read_index(&self, address: SocketAddr, own_address: Address<GossipActor>) {
        self.counters.increment(Counter::ReadIndexRequests);
        let transport = self.transport.clone();
        let requested_at = self.clock.now();
        tokio::spawn(async move {
            let request = Request::ReadIndex;
            let reply = transport.call(address, &request, READ_INDEX_TIMEOUT, true).await;
            let revision = match reply {
                Ok(Reply::ReadIndex(revision)) => revision,
                _ => None,
            };
            let event = Event::ReadIndexReceived { address, requested_at, revision };
            let _ = own_address.send(HandleEvent(event)).await;
        });
    }

    fn publish(&mut self) {
        let previous = self.current_view.load_full();
        let established = self.core.read_index().established();
        if let (None, Some(read_index)) = (&previous.read_index, established) {
            self.counters.increment(match read_index.source {
                ReadIndexSource::Quorum => Counter::ReadIndexesByQuorum,
                ReadIndexSource::Peers => Counter::ReadIndexesByPeers,
            });
        }
        let now = self.clock.now();
        let (view, log_lines) = ClusterView::from_gossip(&self.core, &previous, now);
        if view.endpoints.revision != previous.endpoints.revision
            && let Some(age) = view.endpoint_list_age(now)
        {
            self.list_ages.record(ListStage::Learned, age);
        }
        if view.committed.drained_zones != previous.committed.drained_zones {
            self.counters.increment(Counter::DrainedZoneChanges);
        }
        for line in log_lines {
            log::info!("{line}");
        }
        let view = Arc::new(view);
        self.current_view.store(view.clone());
        self.view_sender.send_replace(view);
    }
}

impl Handler<HandleEvent> for GossipActor {
    type Return = ();

    async fn handle(&mut self, HandleEvent(event): HandleEvent, context: &mut Context<Self>) {
        let Some(own_address) = context.mailbox().address().try_upgrade() else { return };
        let is_tick = matches!(event, Event::Tick);
        let now = self.clock.now();
        let effects = self.core.step(now, event);
        self.perform(effects, &own_address);
        if is_tick {
            self.last_tick_ms.store(now.as_millis() as u64, Ordering::Relaxed);
        }
        if is_tick && !self.current_view.load().is_up_to_date(&self.core, now) {
            self.publish();
        }
    }
}

impl Handler<HandlePull> for GossipActor {
    type Return = ();

    async fn handle(&mut self, message: HandlePull, context: &mut Context<Self>) {
        let Some(own_address) = context.mailbox().address().try_upgrade() else { return };
        let HandlePull { ticket, request, responder } = message;
        self.responders.retain(|_, responder| !responder.is_closed());
        self.responders.insert(ticket, responder);
        let effects = self.core.step(self.clock.now(), Event::PullReceived { ticket, request });
        self.perform(effects, &own_address);
    }
}

impl Handler<ListPeers> for GossipActor {
    type Return = Vec<Peer>;

    async fn handle(&mut self, _: ListPeers, _: &mut Context<Self>) -> Vec<Peer> {
        self.core.peers.clone()
    }
}

/// Sends ticks until the actor has stopped.
pub(super) async fn send_ticks(gossip: Address<GossipActor>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if gossip.send(HandleEvent(Event::Tick)).await.is_err() {
            return;
        }
    }
}
