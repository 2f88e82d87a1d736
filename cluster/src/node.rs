//! What the three programs share: logs, the clock, the news actor, HTTP and the way to stop
//! (design 2). Thin shells; whatever decides is in the pure cores.

use crate::{gossip, transport, wire};
use http_body_util::BodyExt;
use std::sync::Arc;
use std::time::Duration;

pub type Body = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, BodyError>;
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Monotonic time since the start; wall clocks may jump and are never asked.
#[derive(Clone, Copy)]
pub struct Clock(std::time::Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(std::time::Instant::now())
    }

    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }
}

pub fn random() -> u64 {
    getrandom::u64().expect("the system gives random numbers")
}

/// Lines go to standard error, for changes of state only; counters tell the rest (design 9.3).
pub fn init_logging() {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(
                    logforth::filter::rustlog::RustLogFilterBuilder::from_default_env_or("info")
                        .build(),
                )
                .append(
                    logforth::append::Stderr::default()
                        .with_layout(logforth::layout::TextLayout::default().no_color()),
                )
        })
        .apply();
}

/// What the daemon goes by, read-copy-update: each reader loads one whole and consistent view.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    pub committed: Arc<wire::CommittedConfig>,
    /// The parsed setup of the word in force.
    pub config: Arc<vanepath_config::model::Config>,
    pub endpoints: Arc<vanepath_config::endpoint_list::EndpointList>,
    /// When the newest read that found this list in force began.
    pub list_read_at: Option<Duration>,
    /// The highest revision of a list that anyone told of.
    pub highest_list_revision: u64,
    pub plan: Arc<wire::TrafficShiftPlan>,
    /// All live daemons, this one first.
    pub live: Vec<(wire::NodeInfo, wire::NodeStatus)>,
    /// Not live any more, as last heard of: dead, or cut off from here.
    pub unreachable: Vec<(wire::NodeInfo, wire::NodeStatus)>,
    pub is_fresh: bool,
    /// How this life came to go by a word (design 5.8); `None`: it goes by none yet.
    pub read_index: Option<crate::read_index::EstablishedReadIndex>,
    /// What it has to reach before that, as far as it is known.
    pub required_revision: Option<u64>,
    /// It has waited for that in vain: what comes is turned away at once (design 5.8).
    pub is_stalled: bool,
    /// The highest revision that each name told as in force there, over all its lives.
    pub highest_active_revisions: Arc<std::collections::HashMap<String, u64>>,
    /// No sibling has replied for a while: others may know more.
    pub is_isolated: bool,
    /// Most registries may know more (`News::is_cut_off`).
    pub is_partitioned: bool,
    /// A registry that has what all proxies tell of servers (design 5.3).
    pub has_observations: bool,
    /// How the operator's documents read here.
    pub wire_format: vanepath_config::wire_format::SelectedFormat,
}

impl ClusterView {
    /// Whether what time alone changes is still as it was when this view was made.
    pub fn is_up_to_date(&self, core: &gossip::Gossip, now: Duration) -> bool {
        self.is_fresh == is_fresh(core, now)
            && self.list_read_at == core.endpoints.read_at()
            && self.highest_list_revision == core.endpoints.highest()
            && self.is_isolated == core.is_isolated(now)
            && self.is_partitioned == core.is_partitioned(now)
            && self.required_revision == core.read_index().wanted()
            && self.is_stalled == core.is_stalled(now)
            && self.has_observations == core.has_observations(now)
    }

    /// The revision in force here; 0: none in this life so far (design 5.8).
    pub fn active_revision(&self) -> u64 {
        self.read_index.as_ref().map_or(0, |_| self.committed.revision)
    }

    /// What this life began with, for a daemon's status.
    pub fn read_index_json(&self) -> jzon::JsonValue {
        match &self.read_index {
            Some(met) => jzon::object! {
                "met": true,
                "floor": met.revision,
                "by": met.source.to_string(),
                "from": met.from.as_str(),
                "waitedMs": met.waited.as_millis() as u64,
            },
            None => jzon::object! {
                "met": false,
                "stuck": self.is_stalled,
                "floor": self.required_revision,
                "has": self.committed.revision,
            },
        }
    }

    /// What the news amount to now, and the changes worth a line.
    pub fn of(
        core: &gossip::Gossip,
        before: &ClusterView,
        now: Duration,
    ) -> (ClusterView, Vec<String>) {
        let mut notes = Vec::new();
        let word = core.committed.clone();
        let mut setup = before.config.clone();
        if word.config_revision != before.committed.config_revision {
            match before.wire_format.parse_config(&word.document) {
                Ok(parsed) => {
                    setup = Arc::new(parsed);
                    notes.push(format!("setup of revision {} is in force", word.config_revision));
                }
                // An older program and a newer setup: it goes on with what it can read.
                Err(faults) => notes.push(format!(
                    "setup of revision {} cannot be read by this version: {}",
                    word.config_revision, faults[0]
                )),
            }
        }
        let live: Vec<(wire::NodeInfo, wire::NodeStatus)> =
            core.live(now).map(|(card, report)| (card.clone(), report.clone())).collect();
        let names =
            |list: &'_ [(wire::NodeInfo, wire::NodeStatus)]| -> std::collections::HashSet<String> {
                list.iter().map(|(card, _)| card.name.clone()).collect()
            };
        let (were, are) = (names(&before.live), names(&live));
        for (card, _) in live.iter().filter(|(card, _)| !were.contains(&card.name)) {
            notes.push(format!("{} {} in zone {} is live", card.role, card.name, card.zone));
        }
        for (old, _) in before.live.iter().filter(|(old, _)| !are.contains(&old.name)) {
            notes.push(format!("{} {} in zone {} is not live", old.role, old.name, old.zone));
        }
        if let (None, Some(met)) = (&before.read_index, core.read_index().met()) {
            notes.push(format!(
                "goes by revision {}: the floor is {} by {} ({}), after {} ms",
                word.revision,
                met.revision,
                met.source,
                met.from,
                met.waited.as_millis()
            ));
        }
        if core.is_stalled(now) && !before.is_stalled {
            let wanted =
                core.read_index().wanted().map_or("not known".into(), |one| one.to_string());
            notes.push(format!(
                "below its floor: it has revision {}, the floor is {wanted}; it takes no work",
                word.revision
            ));
        }
        let view = ClusterView {
            committed: word,
            config: setup,
            endpoints: core.endpoints.current().clone(),
            list_read_at: core.endpoints.read_at(),
            highest_list_revision: core.endpoints.highest(),
            plan: core.plan.clone(),
            live,
            unreachable: core
                .unreachable(now)
                .map(|(card, report)| (card.clone(), report.clone()))
                .collect(),
            is_fresh: is_fresh(core, now),
            read_index: core.read_index().met().cloned(),
            required_revision: core.read_index().wanted(),
            is_stalled: core.is_stalled(now),
            highest_active_revisions: if *before.highest_active_revisions
                == *core.highest_active_revisions()
            {
                before.highest_active_revisions.clone()
            } else {
                Arc::new(core.highest_active_revisions().clone())
            },
            is_isolated: core.is_isolated(now),
            is_partitioned: core.is_partitioned(now),
            has_observations: core.has_observations(now),
            wire_format: before.wire_format,
        };
        (view, notes)
    }

    /// The first live and settled daemon of a role has the duty (design 5.6).
    pub fn leader(&self, role: wire::Role) -> Option<&wire::NodeInfo> {
        self.live
            .iter()
            .filter(|(card, report)| card.role == role && !report.draining && report.synced)
            .map(|(card, _)| card)
            .min_by(|left, right| left.name.cmp(&right.name))
    }
}

/// What is known is of now, and not below what an earlier life went by.
fn is_fresh(core: &gossip::Gossip, now: Duration) -> bool {
    core.is_fresh(now) && core.read_index().met().is_some()
}

#[derive(xtra::Actor)]
pub struct GossipActor {
    core: gossip::Gossip,
    clock: Clock,
    links: Arc<transport::Client>,
    tally: Arc<transport::Counters>,
    view: tokio::sync::watch::Sender<Arc<ClusterView>>,
    table: Arc<arc_swap::ArcSwap<ClusterView>>,
    waiting: std::collections::HashMap<u64, tokio::sync::oneshot::Sender<wire::PullResponse>>,
    pulsed_at_ms: Arc<std::sync::atomic::AtomicU64>,
}

/// An event for the core.
pub struct Deliver(pub gossip::Event);
/// A sibling's pull; the reply comes through the channel.
struct Asked(u64, wire::PullRequest, tokio::sync::oneshot::Sender<wire::PullResponse>);
/// All sources with their details.
pub struct ListPeers;

impl GossipActor {
    fn perform(&mut self, effects: Vec<gossip::Effect>, own: &xtra::Address<GossipActor>) {
        let mut changed = false;
        for effect in effects {
            match effect {
                gossip::Effect::Pull { address, pull } => {
                    let links = self.links.clone();
                    let own = own.clone();
                    let other_zone = self.core.peers.iter().any(|source| {
                        source.info.cluster_address == address
                            && source.info.zone != self.core.node_info().zone
                    });
                    tokio::spawn(async move {
                        let limit = Duration::from_millis(u64::from(pull.wait_ms) + 1000);
                        let request = wire::Request::Pull(pull);
                        let told = match links.call(address, &request, limit, other_zone).await {
                            Ok(wire::Reply::News(news)) => Some(Box::new(news)),
                            Err(transport::TransportError::Refused) => {
                                let refused = gossip::Event::ConnectionRefused { address };
                                let _ = own.send(Deliver(refused)).await;
                                None
                            }
                            _ => None,
                        };
                        let _ = own
                            .send(Deliver(gossip::Event::PullCompleted { address, news: told }))
                            .await;
                    });
                }
                gossip::Effect::Answer { ticket, news } => {
                    if let Some(waiting) = self.waiting.remove(&ticket) {
                        let _ = waiting.send(news);
                    }
                }
                gossip::Effect::RequestReadIndex { address } => {
                    self.tally.increment(transport::Counter::FloorAsks);
                    let links = self.links.clone();
                    let own = own.clone();
                    tokio::spawn(async move {
                        let limit = crate::read_index::LIMIT;
                        let asked = links.call(address, &wire::Request::Floor, limit, true).await;
                        let revision = match asked {
                            Ok(wire::Reply::Floor(revision)) => revision,
                            _ => None,
                        };
                        let told = gossip::Event::Floor { address, revision };
                        let _ = own.send(Deliver(told)).await;
                    });
                }
                gossip::Effect::ViewChanged => changed = true,
                gossip::Effect::Log(what) => {
                    if what.contains("freeze") {
                        self.tally.increment(transport::Counter::Freezes);
                    }
                    log::info!("news: {what}");
                }
            }
        }
        if changed {
            self.publish();
        }
    }

    fn publish(&mut self) {
        let before = self.table.load_full();
        if let (None, Some(met)) = (&before.read_index, self.core.read_index().met()) {
            self.tally.increment(match met.source {
                crate::read_index::ReadIndexSource::Quorum => transport::Counter::FloorsByMajority,
                crate::read_index::ReadIndexSource::Peers => transport::Counter::FloorsByWitnesses,
            });
        }
        let (view, notes) = ClusterView::of(&self.core, &before, self.clock.now());
        for note in notes {
            log::info!("{note}");
        }
        let view = Arc::new(view);
        self.table.store(view.clone());
        self.view.send_replace(view);
    }
}

impl xtra::Handler<Deliver> for GossipActor {
    type Return = ();

    async fn handle(&mut self, Deliver(event): Deliver, context: &mut xtra::Context<Self>) {
        let own = context.mailbox().address().try_upgrade();
        let Some(own) = own else { return };
        let is_pulse = matches!(event, gossip::Event::Tick);
        let now = self.clock.now();
        let effects = self.core.step(now, event);
        self.perform(effects, &own);
        if is_pulse {
            let now_ms = now.as_millis() as u64;
            self.pulsed_at_ms.store(now_ms, std::sync::atomic::Ordering::Relaxed);
        }
        if is_pulse && !self.table.load().is_up_to_date(&self.core, now) {
            self.publish();
        }
    }
}

impl xtra::Handler<Asked> for GossipActor {
    type Return = ();

    async fn handle(
        &mut self,
        Asked(ticket, pull, reply): Asked,
        context: &mut xtra::Context<Self>,
    ) {
        let Some(own) = context.mailbox().address().try_upgrade() else {
            return;
        };
        self.waiting.retain(|_, waiting| !waiting.is_closed());
        self.waiting.insert(ticket, reply);
        let effects =
            self.core.step(self.clock.now(), gossip::Event::PullReceived { ticket, pull });
        self.perform(effects, &own);
    }
}

impl xtra::Handler<ListPeers> for GossipActor {
    type Return = Vec<gossip::Peer>;

    async fn handle(&mut self, _: ListPeers, _: &mut xtra::Context<Self>) -> Vec<gossip::Peer> {
        self.core.peers.clone()
    }
}

/// A running daemon's shared parts.
pub struct Node {
    pub settings: vanepath_config::settings::Settings,
    pub clock: Clock,
    pub transport: Arc<transport::Client>,
    pub transport_counters: Arc<transport::Counters>,
    pub gossip: xtra::Address<GossipActor>,
    pub table: Arc<arc_swap::ArcSwap<ClusterView>>,
    pub view: tokio::sync::watch::Receiver<Arc<ClusterView>>,
    /// Turns true when the daemon was told to stop.
    pub stop: tokio::sync::watch::Receiver<bool>,
    pub info: wire::NodeInfo,
    pulsed_at_ms: Arc<std::sync::atomic::AtomicU64>,
}

/// Answers the requests that belong to a daemon's own slice.
pub type StoreHandler = Arc<
    dyn Fn(wire::Request) -> std::pin::Pin<Box<dyn Future<Output = wire::Reply> + Send>>
        + Send
        + Sync,
>;

impl Node {
    pub async fn start(
        settings: vanepath_config::settings::Settings,
        store_handler: Option<StoreHandler>,
    ) -> Result<Arc<Node>, miette::Report> {
        let clock = Clock::start();
        let card = wire::NodeInfo {
            name: settings.name.clone(),
            role: settings.role.into(),
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            address: settings.advertise,
            cluster_address: settings.cluster_advertise,
        };
        let link_tally: Arc<transport::Counters> = Arc::default();
        let greeting = wire::Handshake {
            system: wire::SYSTEM.to_string(),
            fleet: settings.fleet.clone(),
            name: settings.name.clone(),
        };
        let links = Arc::new(transport::Client::new(greeting.clone(), link_tally.clone()));
        let listener = bind("siblingListen", settings.cluster_listen).await?;
        // Rises with each start in ordinary running; where the wall clock went back, the news
        // core outlives the earlier life (design 5.3).
        let life = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        let life = (life << 12) | (random() & 0xfff);
        let core = gossip::Gossip::new(card.clone(), settings.seeds.clone(), life, clock.now());
        let first = ClusterView { wire_format: settings.wire_format, ..ClusterView::default() };
        let table = Arc::new(arc_swap::ArcSwap::from_pointee(first));
        let (sender, view) = tokio::sync::watch::channel(table.load_full());
        let actor = GossipActor {
            core,
            clock,
            links: links.clone(),
            tally: link_tally.clone(),
            view: sender,
            table: table.clone(),
            waiting: std::collections::HashMap::new(),
            pulsed_at_ms: Arc::default(),
        };
        let pulsed_at_ms = actor.pulsed_at_ms.clone();
        let news = xtra::spawn_tokio(actor, xtra::Mailbox::unbounded());
        let (stop_sender, stop) = tokio::sync::watch::channel(false);
        let mut terminate =
            tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
                .map_err(|error| miette::miette!("cannot watch for signals: {error}"))?;
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = tokio::signal::ctrl_c() => {}
            }
            log::info!("told to stop");
            stop_sender.send_replace(true);
            // Kept, so that receivers never see a closed channel.
            std::future::pending::<()>().await;
        });
        tokio::spawn(serve_siblings(
            listener,
            greeting,
            link_tally.clone(),
            news.clone(),
            store_handler,
        ));
        let pulsed = news.clone();
        tokio::spawn(async move {
            let mut pulse = tokio::time::interval(Duration::from_millis(50));
            pulse.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                pulse.tick().await;
                if pulsed.send(Deliver(gossip::Event::Tick)).await.is_err() {
                    return;
                }
            }
        });
        tokio::spawn(follow_settings(settings.clone(), news.clone()));
        log::info!(
            "{} {} in zone {} started; HTTP at {}, siblings at {}",
            settings.role,
            settings.name,
            settings.zone,
            settings.listen,
            settings.cluster_listen
        );
        Ok(Arc::new(Node {
            settings,
            clock,
            transport: links,
            transport_counters: link_tally,
            gossip: news,
            table,
            view,
            stop,
            info: card,
            pulsed_at_ms,
        }))
    }

    pub async fn publish_status(&self, report: wire::NodeStatus) {
        let _ = self.gossip.send(Deliver(gossip::Event::StatusChanged(report))).await;
    }

    /// False right after a freeze, before the pulse that will find it out (design 5.5).
    pub fn is_awake(&self) -> bool {
        let pulsed_at_ms = self.pulsed_at_ms.load(std::sync::atomic::Ordering::Relaxed);
        self.clock.now().saturating_sub(Duration::from_millis(pulsed_at_ms))
            < gossip::PAUSE_THRESHOLD
    }

    pub fn is_shutting_down(&self) -> bool {
        *self.stop.borrow()
    }
}

/// The settings file may change while the daemon runs, with a SIGHUP or without: seeds are taken
/// over then, everything else with the next start (design 2.2).
async fn follow_settings(
    mut known: vanepath_config::settings::Settings,
    news: xtra::Address<GossipActor>,
) {
    use vanepath_config::settings::{Invocation, start};
    let Some(file) = known.file.clone() else { return };
    let hangup = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::hangup());
    let Ok(mut hangup) = hangup else { return };
    let mark = || std::fs::metadata(&file).ok().map(|meta| (meta.modified().ok(), meta.len()));
    let mut last = mark();
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(SETTINGS_EVERY) => {
                if mark() == last {
                    continue;
                }
            }
        }
        last = mark();
        match start(known.role, &known.arguments) {
            Ok(Invocation::Run(settings)) => {
                if settings.seeds != known.seeds {
                    log::info!("other seeds: {:?}", settings.seeds);
                    known.seeds = settings.seeds.clone();
                    let _ = news.send(Deliver(gossip::Event::SeedsChanged(settings.seeds))).await;
                }
            }
            Ok(Invocation::Print(_)) => {}
            Err(report) => log::warn!("changed settings are not taken: {report}"),
        }
    }
}

const SETTINGS_EVERY: Duration = Duration::from_secs(3);

/// A sibling's pull that waits for news. Dropped before that came: the asker is gone.
struct Waits {
    news: xtra::Address<GossipActor>,
    ticket: u64,
    is_over: bool,
}

impl Drop for Waits {
    fn drop(&mut self) {
        if !self.is_over {
            let (news, ticket) = (self.news.clone(), self.ticket);
            tokio::spawn(async move {
                let _ = news.send(Deliver(gossip::Event::PullAbandoned { ticket })).await;
            });
        }
    }
}

async fn serve_siblings(
    listener: tokio::net::TcpListener,
    greeting: wire::Handshake,
    tally: Arc<transport::Counters>,
    news: xtra::Address<GossipActor>,
    store_handler: Option<StoreHandler>,
) {
    let tickets = Arc::new(std::sync::atomic::AtomicU64::new(0));
    let handler = move |request: wire::Request| {
        let news = news.clone();
        let tickets = tickets.clone();
        let store_handler = store_handler.clone();
        async move {
            match request {
                wire::Request::Pull(pull) => {
                    let ticket = tickets.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let (sender, receiver) = tokio::sync::oneshot::channel();
                    let mut waits = Waits { news: news.clone(), ticket, is_over: false };
                    let _ = news.send(Asked(ticket, pull, sender)).await;
                    let told = receiver.await;
                    waits.is_over = true;
                    match told {
                        Ok(news) => wire::Reply::News(news),
                        Err(_) => wire::Reply::NoDuty,
                    }
                }
                request => match store_handler {
                    Some(handler) => handler(request).await,
                    None => wire::Reply::NoDuty,
                },
            }
        }
    };
    transport::serve(listener, greeting, tally, handler).await;
}

pub async fn bind(
    key: &str,
    address: std::net::SocketAddr,
) -> Result<tokio::net::TcpListener, miette::Report> {
    tokio::net::TcpListener::bind(address)
        .await
        .map_err(|error| miette::miette!("$.{key}: cannot listen at {address}: {error}"))
}

/// Takes connections until `stop` turns true, and then waits until those that are open have ended;
/// the program's own grace bounds that.
pub async fn accept<F>(
    listener: tokio::net::TcpListener,
    mut stop: tokio::sync::watch::Receiver<bool>,
    serve: impl Fn(tokio::net::TcpStream, tokio::sync::watch::Receiver<bool>) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let open = Arc::new(());
    let stopped = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = async { stop.wait_for(|stop| *stop).await.is_ok() } => break,
        };
        let Ok((stream, _)) = accepted else {
            // Out of file handles: let some close first.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let served = serve(stream, stopped.clone());
        let open = open.clone();
        tokio::spawn(async move {
            let _open = open;
            served.await;
        });
    }
    drop(listener);
    // Whatever is in hand is finished.
    while Arc::strong_count(&open) > 1 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Serves HTTP until `stop` turns true; then no new connections, and those open end after the
/// request in hand.
pub async fn serve_http<H, F>(
    listener: tokio::net::TcpListener,
    stop: tokio::sync::watch::Receiver<bool>,
    settings: HttpSettings,
    handler: H,
) where
    H: Fn(hyper::Request<hyper::body::Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = hyper::Response<Body>> + Send + 'static,
{
    accept(listener, stop, |stream, mut stop| {
        let handler = handler.clone();
        async move {
            let service = hyper::service::service_fn(move |request| {
                let answered = handler(request);
                async move { Ok::<_, std::convert::Infallible>(answered.await) }
            });
            let io = hyper_util::rt::TokioIo::new(stream);
            let connection = settings.builder().serve_connection(io, service);
            tokio::pin!(connection);
            let ended = tokio::select! {
                _ = &mut connection => true,
                _ = async { stop.wait_for(|stop| *stop).await.is_ok() } => false,
            };
            if !ended {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        }
    })
    .await;
}

#[derive(Clone, Copy)]
pub struct HttpSettings {
    pub header_limit: Duration,
    pub preserve_header_case: bool,
    pub buffer_most: usize,
}

impl HttpSettings {
    pub fn builder(&self) -> hyper::server::conn::http1::Builder {
        let mut builder = hyper::server::conn::http1::Builder::new();
        builder
            .timer(hyper_util::rt::TokioTimer::new())
            .header_read_timeout(self.header_limit)
            .preserve_header_case(self.preserve_header_case)
            .max_buf_size(self.buffer_most)
            .half_close(false);
        builder
    }
}

impl Default for HttpSettings {
    fn default() -> HttpSettings {
        HttpSettings {
            header_limit: Duration::from_secs(30),
            preserve_header_case: false,
            buffer_most: 64 << 10,
        }
    }
}

pub fn body(bytes: impl Into<bytes::Bytes>) -> Body {
    http_body_util::Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

pub fn json_response(status: hyper::StatusCode, value: &jzon::JsonValue) -> hyper::Response<Body> {
    let mut text = value.dump();
    text.push('\n');
    let mut receipt = hyper::Response::new(body(text));
    *receipt.status_mut() = status;
    let headers = receipt.headers_mut();
    headers.insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    headers
        .insert(hyper::header::CACHE_CONTROL, hyper::header::HeaderValue::from_static("no-store"));
    receipt
}

/// The paths that every daemon has: liveness, readiness and counters.
pub fn common_pages(
    daemon: &Node,
    path: &str,
    ready: bool,
    metrics: impl FnOnce(&mut jzon::JsonValue),
) -> Option<hyper::Response<Body>> {
    match path {
        "/v1/live" => Some(json_response(hyper::StatusCode::OK, &jzon::object! { "live": true })),
        "/v1/ready" => {
            let status =
                if ready { hyper::StatusCode::OK } else { hyper::StatusCode::SERVICE_UNAVAILABLE };
            let view = daemon.table.load();
            Some(json_response(
                status,
                &jzon::object! { "ready": ready, "revision": view.active_revision() },
            ))
        }
        "/v1/metrics" => {
            let mut all = jzon::JsonValue::new_object();
            daemon.transport_counters.write_json(&mut all);
            metrics(&mut all);
            Some(json_response(hyper::StatusCode::OK, &all))
        }
        _ => None,
    }
}

/// Runs a daemon's main future on several threads; what is left at its end is cut off.
pub fn run_on_runtime(
    grace: Duration,
    main: impl Future<Output = Result<(), miette::Report>>,
) -> Result<(), miette::Report> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(std::thread::available_parallelism().map_or(2, |cores| cores.get().min(4)))
        .enable_all()
        .build()
        .map_err(|error| miette::miette!("cannot start threads: {error}"))?;
    let outcome = runtime.block_on(main);
    runtime.shutdown_timeout(grace.min(Duration::from_millis(100)));
    outcome
}
