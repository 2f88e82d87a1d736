//! The actor that owns the replica and carries out its effects strictly in order: no message is sent before
//! the state that it depends on is durable.

use super::change_log::ChangeLog;
use super::{Counter, Counters, StoreDirectory};
use crate::consensus::{
    DiskResponse, DiskWrite, Effect, Event, Replica, Summary, response_from_disk,
};
use crate::disk::Disk;
use crate::protocol::{Request, Response};
use crate::value::VersionId;
use arc_swap::ArcSwap;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_blocking;
use vanepath_cluster::{gossip, node, wire};

/// Delay before the next attempt to recover a failed disk.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a call to another store.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The replica, and what the actor needs to carry out its effects.
pub(super) struct Resources {
    pub replica: Replica,
    pub disk: Arc<Disk>,
    pub node: Arc<node::Node>,
    pub counters: Arc<Counters>,
    pub summary: Arc<ArcSwap<Summary>>,
    pub directory: Arc<ArcSwap<StoreDirectory>>,
}

#[derive(xtra::Actor)]
pub(super) struct StoreActor {
    resources: Resources,
    /// Reply channels of pending requests, by ticket.
    pending: HashMap<u64, oneshot::Sender<Response>>,
    next_ticket: u64,
    change_log: ChangeLog,
    /// Whether a `RetryDisk` message is scheduled.
    is_disk_retry_scheduled: bool,
}

/// Passes an event to the replica.
pub(super) struct Deliver(pub Event);
/// Attempts to recover the failed disk.
struct RetryDisk;
/// A request from another store or from a registry.
pub(super) struct IncomingRequest {
    pub request: Request,
    pub reply: oneshot::Sender<Response>,
}

/// Whether the effects that follow an effect may be carried out.
#[derive(PartialEq, Eq)]
enum Continuation {
    Proceed,
    /// A write failed; the effects that follow depend on it and must not be carried out.
    Abort,
}

impl StoreActor {
    pub(super) fn new(resources: Resources) -> StoreActor {
        StoreActor {
            resources,
            pending: HashMap::new(),
            next_ticket: 0,
            change_log: ChangeLog::default(),
            is_disk_retry_scheduled: false,
        }
    }

    /// Steps the replica with an event and the events that follow from it, and carries out the effects.
    async fn step(&mut self, event: Event, own_address: &xtra::Address<StoreActor>) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            if matches!(event, Event::DiskFailed) {
                self.schedule_disk_retry(own_address);
            }
            let now = self.resources.node.clock.now();
            let effects = self.resources.replica.step(now, event);
            for effect in effects {
                if self.perform(effect, own_address, &mut events).await == Continuation::Abort {
                    break;
                }
            }
        }
        let summary = self.resources.replica.summary();
        self.resources.summary.store(Arc::new(summary));
    }

    /// Carries out one effect; appends the events that follow from it to `events`.
    async fn perform(
        &mut self,
        effect: Effect,
        own_address: &xtra::Address<StoreActor>,
        events: &mut VecDeque<Event>,
    ) -> Continuation {
        match effect {
            Effect::Persist(writes) => return self.persist(writes, events).await,
            Effect::Reset => return self.reset(events).await,
            Effect::Send { call, incarnation, request } => {
                self.send(call, incarnation, &request, own_address)
            }
            Effect::Reply { ticket, response } => self.reply(ticket, response),
            Effect::ReplyFromDisk { ticket, versions, as_outcome } => {
                self.reply_from_disk(ticket, versions, as_outcome, events).await;
            }
            Effect::Committed(value) => {
                self.resources.counters.increment(Counter::StoreVersionsChosen);
                let config = Arc::new(value.committed_config());
                let event = gossip::Event::ConfigCommitted(config);
                let _ = self.resources.node.gossip.send(node::HandleEvent(event)).await;
            }
            Effect::Confirmed { revision, began_at } => {
                let event = gossip::Event::RevisionConfirmed { revision, began_at };
                let _ = self.resources.node.gossip.send(node::HandleEvent(event)).await;
            }
            Effect::Log(text) => log::info!("store: {text}"),
        }
        Continuation::Proceed
    }

    async fn persist(
        &mut self,
        writes: Vec<DiskWrite>,
        events: &mut VecDeque<Event>,
    ) -> Continuation {
        self.resources.counters.increment(Counter::StoreSaves);
        let disk = self.resources.disk.clone();
        let problem = match spawn_blocking(move || disk.save(&writes)).await {
            Ok(Ok(syncs)) => {
                self.resources.counters.add(Counter::StoreSyncs, syncs);
                return Continuation::Proceed;
            }
            Ok(Err(error)) => error.to_string(),
            Err(error) => error.to_string(),
        };
        self.resources.counters.increment(Counter::StoreSavesFailed);
        log::error!("cannot save to the data folder: {problem}");
        events.push_back(Event::DiskFailed);
        Continuation::Abort
    }

    async fn reset(&mut self, events: &mut VecDeque<Event>) -> Continuation {
        let disk = self.resources.disk.clone();
        match spawn_blocking(move || disk.reset(node::random())).await {
            Ok(Ok(recovered)) => events.push_back(Event::Reset(recovered)),
            Ok(Err(error)) => {
                self.resources.counters.increment(Counter::StoreSavesFailed);
                log::error!("cannot save to the data folder: {error}");
                events.push_back(Event::DiskFailed);
                return Continuation::Abort;
            }
            Err(_) => events.push_back(Event::DiskFailed),
        }
        Continuation::Proceed
    }

    /// Sends a request without waiting for the response. `Event::ResponseReceived` follows in either case,
    /// with or without a response.
    fn send(
        &self,
        call: u64,
        incarnation: u64,
        request: &Request,
        own_address: &xtra::Address<StoreActor>,
    ) {
        self.resources.counters.increment(Counter::StoreCalls);
        let address = self.resources.directory.load().address_of(incarnation, request);
        let own_address = own_address.clone();
        let transport = self.resources.node.transport.clone();
        let counters = self.resources.counters.clone();
        let body = wire::Request::Store(wire::encode(request).into());
        tokio::spawn(async move {
            let mut response = None;
            if let Some(address) = address {
                let reply = transport.call(address, &body, CALL_TIMEOUT, true).await;
                if let Ok(wire::Reply::Store(bytes)) = reply {
                    response = wire::decode(&bytes).ok();
                }
            }
            if response.is_none() {
                counters.increment(Counter::StoreCallsFailed);
            }
            let _ = own_address.send(Deliver(Event::ResponseReceived { call, response })).await;
        });
    }

    fn reply(&mut self, ticket: u64, response: Response) {
        self.change_log.on_response(ticket, &response, &self.resources.counters);
        if let Some(reply) = self.pending.remove(&ticket) {
            let _ = reply.send(response);
        }
    }

    async fn reply_from_disk(
        &mut self,
        ticket: u64,
        versions: Vec<VersionId>,
        as_outcome: bool,
        events: &mut VecDeque<Event>,
    ) {
        let disk = self.resources.disk.clone();
        let read = spawn_blocking(move || {
            response_from_disk(&versions, as_outcome, |id| disk.version(id))
        });
        let Ok(DiskResponse { response, damaged }) = read.await else { return };
        if let Some(id) = damaged {
            self.resources.counters.increment(Counter::StoreFilesDamaged);
            events.push_back(Event::VersionDamaged(id));
        }
        self.reply(ticket, response);
    }

    fn schedule_disk_retry(&mut self, own_address: &xtra::Address<StoreActor>) {
        if std::mem::replace(&mut self.is_disk_retry_scheduled, true) {
            return;
        }
        let own_address = own_address.clone();
        tokio::spawn(async move {
            tokio::time::sleep(DISK_RETRY_INTERVAL).await;
            let _ = own_address.send(RetryDisk).await;
        });
    }
}

impl xtra::Handler<Deliver> for StoreActor {
    type Return = ();

    async fn handle(&mut self, Deliver(event): Deliver, context: &mut xtra::Context<Self>) {
        if let Some(own_address) = context.mailbox().address().try_upgrade() {
            self.step(event, &own_address).await;
        }
    }
}

impl xtra::Handler<RetryDisk> for StoreActor {
    type Return = ();

    async fn handle(&mut self, _: RetryDisk, context: &mut xtra::Context<Self>) {
        let Some(own_address) = context.mailbox().address().try_upgrade() else { return };
        self.is_disk_retry_scheduled = false;
        let disk = self.resources.disk.clone();
        match spawn_blocking(move || disk.recover(node::random())).await {
            Ok(Ok(recovered)) => {
                self.resources.counters.increment(Counter::StoreDisksRecovered);
                self.step(Event::DiskRecovered(recovered), &own_address).await;
            }
            _ => self.schedule_disk_retry(&own_address),
        }
    }
}

impl xtra::Handler<IncomingRequest> for StoreActor {
    type Return = ();

    async fn handle(&mut self, incoming: IncomingRequest, context: &mut xtra::Context<Self>) {
        let Some(own_address) = context.mailbox().address().try_upgrade() else {
            return;
        };
        self.resources.counters.increment(Counter::StoreAsks);
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.pending.insert(ticket, incoming.reply);
        self.change_log.on_request(ticket, &incoming.request);
        self.step(Event::RequestReceived { ticket, request: incoming.request }, &own_address).await;
    }
}
