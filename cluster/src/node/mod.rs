//! The runtime shell that the three programs share (design 2): clock, logging, gossip actor, connections to
//! other nodes, HTTP and shutdown. It performs the I/O that the state machines decide on.

mod clock;
mod cluster_view;
mod connections;
mod gossip_actor;
mod http;
mod list_ages;
mod logging;
mod pages;
mod peer_server;
mod runtime;
mod settings_reload;

pub use clock::Clock;
pub use cluster_view::ClusterView;
pub use connections::{
    ClientConnections, ConnectionStop, RequestInProgress, RequestTracker, ServedConnection,
};
pub use gossip_actor::{GossipActor, HandleEvent, ListPeers};
pub use http::{
    Body, BodyError, GuardedBody, HttpSettings, accept, bind, body, json_response, serve_http,
};
pub use list_ages::{ListAges, ListStage};
pub use logging::init_logging;
pub use pages::common_pages;
pub use peer_server::StoreHandler;
pub use runtime::{random, run_on_runtime};

use crate::config_lease::ConfigLeaseView;
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

/// The parts of a running program that all programs share.
pub struct Node {
    /// The settings as read at the start. The seeds may have changed since.
    pub settings: Settings,
    /// The clock for all times in events and views.
    pub clock: Clock,
    /// The client for calls to other nodes.
    pub transport: Arc<Client>,
    /// The counters of the cluster layer.
    pub transport_counters: Arc<Counters>,
    /// The connections of clients.
    pub client_connections: Arc<ClientConnections>,
    /// The connections to the admin pages, where these have a listener of their own.
    pub admin_connections: Arc<ClientConnections>,
    /// How old the endpoint list was at the stages of its way.
    pub list_ages: Arc<ListAges>,
    /// The gossip actor.
    pub gossip: Address<GossipActor>,
    /// The current cluster view.
    pub current_view: Arc<ArcSwap<ClusterView>>,
    /// Notifies of changes of the cluster view.
    pub view_updates: watch::Receiver<Arc<ClusterView>>,
    /// Becomes true when the program must shut down.
    pub stop: watch::Receiver<bool>,
    /// This node's identity.
    pub info: NodeInfo,
    is_signalled: Arc<AtomicBool>,
    last_tick_ms: Arc<AtomicU64>,
    config_lease: Arc<ArcSwap<ConfigLeaseView>>,
}

impl Node {
    /// Starts gossip and the server for other nodes. At a store, `store_handler` handles the requests that
    /// are for the store.
    ///
    /// # Errors
    /// If the cluster address cannot be bound, or the signal handlers cannot be installed.
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
        let initial_view =
            ClusterView { wire_format: settings.wire_format, ..ClusterView::default() };
        let gossip =
            GossipActor::start(core, clock, transport.clone(), counters.clone(), initial_view);
        let list_ages = gossip.list_ages;
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
        let new_connections = || Arc::new(ClientConnections::new(signals.is_signalled.clone()));
        let (client_connections, admin_connections) = (new_connections(), new_connections());
        Ok(Arc::new(Node {
            settings,
            clock,
            transport,
            transport_counters: counters,
            client_connections,
            admin_connections,
            list_ages,
            gossip: gossip.address,
            current_view: gossip.current_view,
            view_updates: gossip.view_updates,
            stop: signals.stop,
            info,
            is_signalled: signals.is_signalled,
            last_tick_ms: gossip.last_tick_ms,
            config_lease: gossip.config_lease,
        }))
    }

    /// Publishes this node's status to all other nodes.
    pub async fn publish_status(&self, status: NodeStatus) {
        let _ = self.gossip.send(HandleEvent(Event::StatusChanged(status))).await;
    }

    /// Whether the gossip core handled a tick recently. False right after a pause of the process, until the
    /// next tick detects the pause (design 5.5).
    pub fn has_recent_tick(&self) -> bool {
        let last_tick_at = Duration::from_millis(self.last_tick_ms.load(Ordering::Relaxed));
        self.clock.now().saturating_sub(last_tick_at) < PAUSE_THRESHOLD
    }

    /// The lease on the newest configuration that this node knows (design 5.9).
    pub fn config_lease(&self) -> ConfigLeaseView {
        **self.config_lease.load()
    }

    /// Waits for the signal to shut down and then for the end of the grace period.
    pub async fn grace_period_end(&self) {
        let mut stop = self.stop.clone();
        let _ = stop.wait_for(|stop| *stop).await;
        tokio::time::sleep(self.settings.shutdown_grace).await;
    }

    /// Whether a shutdown signal was received. True from the signal on, before [`Node::stop`] becomes true.
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

/// A new incarnation: milliseconds since the Unix epoch, followed by twelve random bits. It normally
/// increases with each start; if the wall clock went back, gossip raises it above the earlier one
/// (design 5.3).
fn new_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let since_epoch_ms = since_epoch.map_or(0, |since| since.as_millis() as u64);
    (since_epoch_ms << 12) | (random() & 0xfff)
}
