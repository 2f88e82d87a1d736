//! The shell that the three programs share (design 2): clock, log, gossip actor, connections to other nodes,
//! HTTP and shutdown. It does what the pure cores decide.

mod clock;
mod cluster_view;
mod gossip_actor;
mod http;
mod logging;
mod pages;
mod peer_server;
mod runtime;
mod settings_reload;

pub use clock::Clock;
pub use cluster_view::ClusterView;
pub use gossip_actor::{GossipActor, HandleEvent, ListPeers};
pub use http::{Body, BodyError, HttpSettings, accept, bind, body, json_response, serve_http};
pub use logging::init_logging;
pub use pages::common_pages;
pub use peer_server::StoreHandler;
pub use runtime::{random, run_on_runtime};

use crate::gossip::{Event, Gossip, PAUSE_THRESHOLD};
use crate::transport::{Client, Counters};
use crate::wire::{Handshake, NodeInfo, NodeStatus, SYSTEM};
use arc_swap::ArcSwap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use vanepath_config::settings::Settings;
use xtra::Address;

/// The shared parts of a running program.
pub struct Node {
    /// As read at the start; seeds may have changed since.
    pub settings: Settings,
    /// The clock of all times in events and views.
    pub clock: Clock,
    /// For calls to other nodes.
    pub transport: Arc<Client>,
    /// The counters of the cluster layer.
    pub transport_counters: Arc<Counters>,
    /// The gossip actor.
    pub gossip: Address<GossipActor>,
    /// The cluster view as it is now.
    pub table: Arc<ArcSwap<ClusterView>>,
    /// The same, to wait for changes.
    pub view: watch::Receiver<Arc<ClusterView>>,
    /// Turns true when the program is to shut down.
    pub stop: watch::Receiver<bool>,
    /// Who this node is.
    pub info: NodeInfo,
    is_signalled: Arc<AtomicBool>,
    last_tick_ms: Arc<AtomicU64>,
}

impl Node {
    /// Starts gossip and the service for other nodes. `store_handler` answers requests for the store, at a
    /// store.
    ///
    /// # Errors
    /// That the cluster address cannot be listened at, or signals cannot be watched.
    pub async fn start(
        settings: Settings,
        store_handler: Option<StoreHandler>,
    ) -> Result<Arc<Node>, miette::Report> {
        let clock = Clock::start();
        let info = node_info(&settings);
        let counters: Arc<Counters> = Arc::default();
        let handshake = Handshake {
            system: SYSTEM.to_string(),
            fleet: settings.fleet.clone(),
            name: settings.name.clone(),
        };
        let transport = Arc::new(Client::new(handshake.clone(), counters.clone()));
        let listener = bind("siblingListen", settings.cluster_listen).await?;
        let core =
            Gossip::new(info.clone(), settings.seeds.clone(), new_incarnation(), clock.now());
        let first_view =
            ClusterView { wire_format: settings.wire_format, ..ClusterView::default() };
        let gossip =
            GossipActor::start(core, clock, transport.clone(), counters.clone(), first_view);
        let signals = runtime::watch_shutdown_signals()?;
        tokio::spawn(peer_server::serve_peers(
            listener,
            handshake,
            counters.clone(),
            gossip.address.clone(),
            store_handler,
        ));
        tokio::spawn(gossip_actor::send_ticks(gossip.address.clone()));
        tokio::spawn(settings_reload::follow_settings(settings.clone(), gossip.address.clone()));
        log::info!(
            "{} {} in zone {} started; HTTP at {}, cluster at {}",
            settings.role,
            settings.name,
            settings.zone,
            settings.listen,
            settings.cluster_listen
        );
        Ok(Arc::new(Node {
            settings,
            clock,
            transport,
            transport_counters: counters,
            gossip: gossip.address,
            table: gossip.table,
            view: gossip.view,
            stop: signals.stop,
            info,
            is_signalled: signals.is_signalled,
            last_tick_ms: gossip.last_tick_ms,
        }))
    }

    /// Makes this the node's status, for all other nodes.
    pub async fn publish_status(&self, status: NodeStatus) {
        let _ = self.gossip.send(HandleEvent(Event::StatusChanged(status))).await;
    }

    /// False right after a pause of the process, before the tick that will detect it (design 5.5).
    pub fn is_awake(&self) -> bool {
        let last_tick_at = Duration::from_millis(self.last_tick_ms.load(Ordering::Relaxed));
        self.clock.now().saturating_sub(last_tick_at) < PAUSE_THRESHOLD
    }

    /// The program is to shut down: true from the signal on, before [`Node::stop`] turns.
    pub fn is_shutting_down(&self) -> bool {
        self.is_signalled.load(Ordering::Relaxed)
    }
}

fn node_info(settings: &Settings) -> NodeInfo {
    NodeInfo {
        name: settings.name.clone(),
        role: settings.role.into(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        address: settings.advertise,
        cluster_address: settings.cluster_advertise,
    }
}

/// Milliseconds since the epoch and twelve random bits. It rises with each start in ordinary running; where
/// the wall clock went back, gossip raises it above the earlier one (design 5.3).
fn new_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let since_epoch_ms = since_epoch.map_or(0, |since| since.as_millis() as u64);
    (since_epoch_ms << 12) | (random() & 0xfff)
}
