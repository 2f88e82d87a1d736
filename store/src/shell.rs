//! The shell round the register: an actor that carries out its effects in order (design 6.7).

use crate::consensus::{Effect, Event, Replica};
use crate::protocol::{Request, Response};
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::{gossip, node, wire};

vanepath_cluster::counters! {
    /// What a store counts.
    pub enum Counter {
        StoreAsks,
        StoreSaves,
        StoreSyncs,
        StoreSavesFailed,
        StoreDisksRecovered,
        StoreCalls,
        StoreCallsFailed,
        StoreVersionsChosen,
        StoreFilesDamaged,
        StoreHintsSaved,
    }
}

pub type Counters = vanepath_cluster::counters::Counters<Counter>;

#[derive(xtra::Actor)]
struct StoreActor {
    core: Replica,
    disk: Arc<crate::disk::Disk>,
    daemon: Arc<node::Node>,
    tally: Arc<Counters>,
    summary: Arc<arc_swap::ArcSwap<crate::consensus::Summary>>,
    waiting: std::collections::HashMap<u64, tokio::sync::oneshot::Sender<Response>>,
    next_ticket: u64,
    claims: Arc<arc_swap::ArcSwap<StoreDirectory>>,
    /// The disk refused something and is tried again a little later.
    awaits_disk: bool,
}

/// A disk that refused something is tried again so often.
const DISK_RETRY: Duration = Duration::from_millis(500);

struct Happened(Event);
struct TryDisk;
struct Asked(Request, tokio::sync::oneshot::Sender<Response>);

impl StoreActor {
    async fn step(&mut self, event: Event, own: &xtra::Address<StoreActor>) {
        let mut events = std::collections::VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            if matches!(event, Event::DiskFailed) {
                self.try_disk_later(own);
            }
            let effects = self.core.step(self.daemon.clock.now(), event);
            for effect in effects {
                if !self.perform(effect, own, &mut events).await {
                    // What stands behind a save that failed must not happen.
                    break;
                }
            }
        }
        self.summary.store(Arc::new(self.core.summary()));
    }

    async fn perform(
        &mut self,
        effect: Effect,
        own: &xtra::Address<StoreActor>,
        events: &mut std::collections::VecDeque<Event>,
    ) -> bool {
        match effect {
            Effect::Persist(writes) => {
                self.tally.increment(Counter::StoreSaves);
                let disk = self.disk.clone();
                let saved = tokio::task::spawn_blocking(move || disk.save(&writes)).await;
                let problem = match saved {
                    Ok(Ok(syncs)) => {
                        self.tally.add(Counter::StoreSyncs, syncs);
                        return true;
                    }
                    Ok(Err(error)) => error.to_string(),
                    Err(error) => error.to_string(),
                };
                self.tally.increment(Counter::StoreSavesFailed);
                log::error!("cannot save to the data folder: {problem}");
                events.push_back(Event::DiskFailed);
                return false;
            }
            Effect::Reset => {
                let disk = self.disk.clone();
                let reset = tokio::task::spawn_blocking(move || disk.reset(node::random())).await;
                match reset {
                    Ok(Ok(found)) => events.push_back(Event::Reset(found)),
                    Ok(Err(error)) => {
                        self.tally.increment(Counter::StoreSavesFailed);
                        log::error!("cannot save to the data folder: {error}");
                        events.push_back(Event::DiskFailed);
                        return false;
                    }
                    Err(_) => events.push_back(Event::DiskFailed),
                }
            }
            Effect::Send { call, incarnation, request: ask } => {
                self.tally.increment(Counter::StoreCalls);
                let address = self.claims.load().address_of(incarnation, &ask);
                let own = own.clone();
                let links = self.daemon.transport.clone();
                let tally = self.tally.clone();
                let body = wire::Request::Store(wire::encode(&ask).into());
                tokio::spawn(async move {
                    let mut tell = None;
                    if let Some(address) = address {
                        let limit = Duration::from_millis(800);
                        let reply = links.call(address, &body, limit, true).await;
                        if let Ok(wire::Reply::Store(bytes)) = reply {
                            tell = wire::decode(&bytes).ok();
                        }
                    }
                    if tell.is_none() {
                        tally.increment(Counter::StoreCallsFailed);
                    }
                    let _ =
                        own.send(Happened(Event::ResponseReceived { call, response: tell })).await;
                });
            }
            Effect::Reply { ticket, response: tell } => self.answer(ticket, tell),
            Effect::ReplyFromDisk { ticket, versions, as_outcome } => {
                let disk = self.disk.clone();
                let read = tokio::task::spawn_blocking(move || {
                    crate::consensus::response_from_disk(
                        &versions,
                        as_outcome,
                        |(revision, digest)| disk.version(*revision, digest),
                    )
                });
                let Ok((tell, damaged)) = read.await else { return true };
                if let Some((revision, digest)) = damaged {
                    self.tally.increment(Counter::StoreFilesDamaged);
                    events.push_back(Event::VersionDamaged { revision, digest });
                }
                self.answer(ticket, tell);
            }
            Effect::Committed(value) => {
                self.tally.increment(Counter::StoreVersionsChosen);
                let word = Arc::new(value.committed_config());
                let _ = self
                    .daemon
                    .gossip
                    .send(node::HandleEvent(gossip::Event::ConfigCommitted(word)))
                    .await;
            }
            Effect::Log(text) => log::info!("store: {text}"),
        }
        true
    }

    fn try_disk_later(&mut self, own: &xtra::Address<StoreActor>) {
        if std::mem::replace(&mut self.awaits_disk, true) {
            return;
        }
        let own = own.clone();
        tokio::spawn(async move {
            tokio::time::sleep(DISK_RETRY).await;
            let _ = own.send(TryDisk).await;
        });
    }

    fn answer(&mut self, ticket: u64, tell: Response) {
        if let Some(waiting) = self.waiting.remove(&ticket) {
            let _ = waiting.send(tell);
        }
    }
}

impl xtra::Handler<Happened> for StoreActor {
    type Return = ();

    async fn handle(&mut self, Happened(event): Happened, context: &mut xtra::Context<Self>) {
        if let Some(own) = context.mailbox().address().try_upgrade() {
            self.step(event, &own).await;
        }
    }
}

impl xtra::Handler<TryDisk> for StoreActor {
    type Return = ();

    async fn handle(&mut self, _: TryDisk, context: &mut xtra::Context<Self>) {
        let Some(own) = context.mailbox().address().try_upgrade() else { return };
        self.awaits_disk = false;
        let disk = self.disk.clone();
        match tokio::task::spawn_blocking(move || disk.recover(node::random())).await {
            Ok(Ok(found)) => {
                self.tally.increment(Counter::StoreDisksRecovered);
                self.step(Event::DiskRecovered(found), &own).await;
            }
            _ => self.try_disk_later(&own),
        }
    }
}

impl xtra::Handler<Asked> for StoreActor {
    type Return = ();

    async fn handle(&mut self, Asked(ask, reply): Asked, context: &mut xtra::Context<Self>) {
        let Some(own) = context.mailbox().address().try_upgrade() else {
            return;
        };
        self.tally.increment(Counter::StoreAsks);
        self.next_ticket += 1;
        self.waiting.insert(self.next_ticket, reply);
        self.step(Event::RequestReceived { ticket: self.next_ticket, request: ask }, &own).await;
    }
}

/// Runs a store until it is told to stop.
pub async fn run(settings: vanepath_config::settings::Settings) -> Result<(), miette::Report> {
    let folder = settings.data_folder.clone().expect("checked with the settings");
    let founders = if settings.may_bootstrap { settings.bootstrap_size } else { 0 };
    let identity =
        crate::consensus::Identity { name: settings.name.clone(), bootstrap_size: founders };
    let disk = Arc::new(crate::disk::Disk::open(&folder)?);
    let found = disk.load(node::random())?;
    if settings.rescue {
        return rescue(&disk, &found, &settings.name);
    }
    let listener = node::bind("listen", settings.listen).await?;

    // The handler is there before the actor is: the daemon's links start first.
    let slot: Arc<std::sync::OnceLock<xtra::Address<StoreActor>>> = Arc::default();
    let handler_slot = slot.clone();
    let handler: node::StoreHandler = Arc::new(move |request: wire::Request| {
        let slot = handler_slot.clone();
        Box::pin(async move {
            let ask = match request {
                wire::Request::Store(bytes) => wire::decode::<Request>(&bytes).ok(),
                wire::Request::ReadIndex => Some(Request::ReadIndex),
                wire::Request::Pull(_) => None,
            };
            let Some(ask) = ask else {
                return wire::Reply::Unsupported;
            };
            let Some(actor) = slot.get() else {
                return wire::Reply::Unsupported;
            };
            let (sender, receiver) = tokio::sync::oneshot::channel();
            let _ = actor.send(Asked(ask, sender)).await;
            match receiver.await {
                Ok(Response::ReadIndex(revision)) => wire::Reply::ReadIndex(revision),
                Ok(tell) => wire::Reply::Store(wire::encode(&tell).into()),
                Err(_) => wire::Reply::Unsupported,
            }
        })
    });
    // Where siblings were when this store last ran, beside the seeds of the settings.
    let hints = disk.hints();
    let mut started = settings.clone();
    started.seeds.extend(&hints.nodes);
    let daemon = node::Node::start(started, Some(handler)).await?;
    let plan = Arc::new(hints.plan.clone());
    let _ = daemon.gossip.send(node::HandleEvent(gossip::Event::PlanReceived(plan))).await;
    let tally: Arc<Counters> = Arc::default();
    let core = Replica::new(identity, found, daemon.clock.now());
    let summary = Arc::new(arc_swap::ArcSwap::from_pointee(core.summary()));
    let claims = Arc::new(arc_swap::ArcSwap::from_pointee(StoreDirectory::default()));
    let actor = StoreActor {
        core,
        disk: disk.clone(),
        daemon: daemon.clone(),
        tally: tally.clone(),
        summary: summary.clone(),
        waiting: std::collections::HashMap::new(),
        next_ticket: 0,
        claims: claims.clone(),
        awaits_disk: false,
    };
    let actor = xtra::spawn_tokio(actor, xtra::Mailbox::unbounded());
    let _ = slot.set(actor.clone());

    let hints_disk = disk.clone();
    let hints_tally = tally.clone();
    let mut keeper = crate::hints::HintWriter::new(hints);
    let pulsed = actor.clone();
    let pulse_daemon = daemon.clone();
    let pulse_summary = summary.clone();
    tokio::spawn(async move {
        let mut pulse = tokio::time::interval(Duration::from_millis(50));
        pulse.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            pulse.tick().await;
            let view = pulse_daemon.table.load_full();
            if let Some(hints) = keeper.step(pulse_daemon.clock.now(), &view) {
                let disk = hints_disk.clone();
                let tally = hints_tally.clone();
                // Beside the votes, which wait for no hint.
                tokio::task::spawn_blocking(move || match disk.save_hints(&hints) {
                    Ok(()) => tally.increment(Counter::StoreHintsSaved),
                    Err(error) => log::warn!("cannot save hints to the data folder: {error}"),
                });
            }
            let found = StoreDirectory::of(&view);
            let live = found.live.clone();
            claims.store(Arc::new(found));
            let revision = view.committed.revision;
            for event in [Event::LiveStores(live), Event::RevisionHeard { revision }, Event::Tick] {
                if pulsed.send(Happened(event)).await.is_err() {
                    return;
                }
            }
            let summary = pulse_summary.load();
            let report = wire::NodeStatus {
                ready: summary.is_voting,
                draining: pulse_daemon.is_shutting_down(),
                revision: view.committed.revision,
                empty_disk: summary.is_empty,
                synced: summary.synced,
                disk: Some(summary.disk()),
                ..wire::NodeStatus::default()
            };
            pulse_daemon.publish_status(report).await;
        }
    });

    let http_daemon = daemon.clone();
    let http_summary = summary.clone();
    let handler = move |request: hyper::Request<hyper::body::Incoming>| {
        let receipt = answer_http(&http_daemon, &http_summary.load(), &tally, &request);
        async move { receipt }
    };
    let stop = daemon.stop.clone();
    node::serve_http(listener, stop, node::HttpSettings::default(), handler).await;
    // A moment for the news that it leaves; what was accepted is on the disk already.
    tokio::time::sleep(Duration::from_millis(200)).await;
    log::info!("stopped");
    Ok(())
}

/// Live stores by what they claim, and where each disk is.
#[derive(Clone, Debug, Default)]
pub struct StoreDirectory {
    pub live: Vec<crate::consensus::LiveStore>,
    addresses: std::collections::BTreeMap<u64, std::net::SocketAddr>,
    /// Where those were that are not heard of any more.
    lost: std::collections::BTreeMap<u64, std::net::SocketAddr>,
}

impl StoreDirectory {
    pub fn of(view: &node::ClusterView) -> StoreDirectory {
        let mut claims = StoreDirectory::default();
        for (card, report) in &view.live {
            let Some(disk) = report.disk else { continue };
            claims.addresses.insert(disk.incarnation, card.cluster_address);
            claims.live.push(crate::consensus::LiveStore {
                name: card.name.clone(),
                incarnation: disk.incarnation,
                is_empty: report.empty_disk,
                may_bootstrap: report.empty_disk && disk.may_bootstrap,
            });
        }
        let lost = view.unreachable.iter().filter_map(|(card, report)| Some((card, report.disk?)));
        claims.lost = lost.map(|(card, disk)| (disk.incarnation, card.cluster_address)).collect();
        claims
    }

    /// Where to ask; one that is not heard of is asked for nothing but whether it is there.
    pub fn address_of(&self, incarnation: u64, ask: &Request) -> Option<std::net::SocketAddr> {
        let lost = self.lost.get(&incarnation).filter(|_| matches!(ask, Request::Ping));
        self.addresses.get(&incarnation).or(lost).copied()
    }
}

fn answer_http(
    daemon: &node::Node,
    summary: &crate::consensus::Summary,
    tally: &Counters,
    request: &hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<node::Body> {
    let path = request.uri().path();
    let ready = summary.is_voting && !daemon.is_shutting_down();
    if let Some(receipt) = node::common_pages(daemon, path, ready, |all| tally.write_json(all)) {
        return receipt;
    }
    if path != "/v1/status" {
        let error = jzon::object! { "error": "no such path" };
        return node::json_response(hyper::StatusCode::NOT_FOUND, &error);
    }
    let seats: Vec<jzon::JsonValue> = summary
        .members
        .iter()
        .map(|holder| match holder {
            Some(holder) => jzon::object! {
                "name": holder.name.as_str(),
                "incarnation": format!("{:016x}", holder.incarnation),
            },
            None => jzon::JsonValue::Null,
        })
        .collect();
    let view = daemon.table.load();
    let status = jzon::object! {
        "name": daemon.settings.name.as_str(),
        "revision": view.active_revision(),
        "floor": view.read_index_json(),
        "seat": summary.slot,
        "incarnation": format!("{:016x}", summary.incarnation),
        "votes": summary.is_voting,
        "why": summary.reason,
        "promised": summary.promised,
        "acceptedRevision": summary.accepted,
        "chosenRevision": summary.committed,
        "versions": summary.versions,
        "seats": seats,
    };
    node::json_response(hyper::StatusCode::OK, &status)
}

fn rescue(
    disk: &crate::disk::Disk,
    found: &crate::consensus::RecoveredState,
    name: &str,
) -> Result<(), miette::Report> {
    let Some(value) = found.value.as_ref().filter(|_| found.state.accepted.is_some()) else {
        miette::bail!(
            "this disk does not hold the operator's word: there is nothing to go on from"
        );
    };
    let (state, next) = crate::consensus::rescued(&found.state, value, name);
    let bytes = next.encode();
    let digest = crate::protocol::digest_of(&bytes);
    let revision = next.revision;
    let writes = [
        crate::consensus::DiskWrite::Version { revision, digest, bytes },
        crate::consensus::DiskWrite::State(state),
    ];
    disk.save(&writes).map_err(|error| miette::miette!("cannot save: {error}"))?;
    println!(
        "goes on alone from revision {} as revision {revision}; start it again without --rescue",
        value.revision
    );
    Ok(())
}
