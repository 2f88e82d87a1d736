//! The daemon around the replica: an actor that carries out the replica's effects in order, the node's
//! cluster membership and transport, and the HTTP pages (design 6.7).

mod actor;
mod change_log;
mod directory;
mod http;
mod rescue;
mod ticker;

pub use directory::StoreDirectory;

use crate::consensus::{Identity, Replica};
use crate::disk::Disk;
use crate::protocol::{Request, Response};
use actor::{IncomingRequest, StoreActor};
use arc_swap::ArcSwap;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use ticker::Ticker;
use tokio::sync::oneshot;
use vanepath_cluster::{gossip, node, wire};
use vanepath_config::settings::Settings;

/// Time allowed for gossip to announce that this store is leaving. Accepted proposals are already on disk.
const LEAVE_GRACE: Duration = Duration::from_millis(200);

vanepath_cluster::counters! {
    /// Counters of a store. The names of the metrics are derived from the names of the variants.
    #[allow(missing_docs)]
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
        StoreChangesAccepted,
        StoreChangesOvertaken,
    }
}

/// The counters of a store.
pub type Counters = vanepath_cluster::counters::Counters<Counter>;

/// The address of the actor. Set once the actor runs: the transport, which forwards requests to it, starts
/// first.
type ActorCell = Arc<OnceLock<xtra::Address<StoreActor>>>;

/// Runs a store until the node is stopped.
///
/// # Errors
/// The data folder or a port cannot be used.
pub async fn run(settings: Settings) -> Result<(), miette::Report> {
    let folder = settings.data_folder.clone().expect("the settings check requires a data folder");
    let bootstrap_size = if settings.may_bootstrap { settings.bootstrap_size } else { 0 };
    let identity = Identity { name: settings.name.clone(), bootstrap_size };
    let disk = Arc::new(Disk::open(&folder)?);
    let recovered = disk.load(node::random())?;
    if settings.rescue {
        return rescue::run(&disk, &recovered, &settings.name);
    }
    let listener = node::bind("listen", settings.listen).await?;
    let actor_cell = ActorCell::default();
    let hints = disk.hints();
    let mut node_settings = settings.clone();
    node_settings.seeds.extend(&hints.nodes);
    let node = node::Node::start(node_settings, Some(request_handler(actor_cell.clone()))).await?;
    let plan = Arc::new(hints.plan.clone());
    let _ = node.gossip.send(node::HandleEvent(gossip::Event::PlanReceived(plan))).await;

    let counters: Arc<Counters> = Arc::default();
    let replica = Replica::new(identity, recovered, node.clock.now());
    let summary = Arc::new(ArcSwap::from_pointee(replica.summary()));
    let directory = Arc::new(ArcSwap::from_pointee(StoreDirectory::default()));
    let actor = StoreActor::new(actor::Resources {
        replica,
        disk: disk.clone(),
        node: node.clone(),
        counters: counters.clone(),
        summary: summary.clone(),
        directory: directory.clone(),
    });
    let actor = xtra::spawn_tokio(actor, xtra::Mailbox::unbounded());
    let _ = actor_cell.set(actor.clone());
    let ticker = Ticker {
        actor,
        disk,
        node: node.clone(),
        counters: counters.clone(),
        summary: summary.clone(),
        directory,
    };
    tokio::spawn(ticker.run(hints));

    tokio::select! {
        () = serve_http(listener, &node, summary, counters) => {}
        () = node.grace_period_end() => {}
    }
    tokio::time::sleep(LEAVE_GRACE).await;
    log::info!("stopped");
    Ok(())
}

async fn serve_http(
    listener: tokio::net::TcpListener,
    node: &Arc<node::Node>,
    summary: Arc<ArcSwap<crate::consensus::Summary>>,
    counters: Arc<Counters>,
) {
    let http_node = node.clone();
    let handler = move |request: hyper::Request<hyper::body::Incoming>| {
        let response = http::respond(&http_node, &summary.load(), &counters, &request);
        async move { response }
    };
    let (stop, connections) = (node.stop.clone(), node.client_connections.clone());
    node::serve_http(listener, stop, connections, node::HttpSettings::default(), handler).await;
}

/// Forwards requests from the transport to the actor.
fn request_handler(actor_cell: ActorCell) -> node::StoreHandler {
    Arc::new(move |request: wire::Request| {
        let actor_cell = actor_cell.clone();
        Box::pin(async move { handle_request(&actor_cell, request).await })
    })
}

async fn handle_request(actor_cell: &ActorCell, request: wire::Request) -> wire::Reply {
    let request = match request {
        wire::Request::Store(bytes) => wire::decode::<Request>(&bytes).ok(),
        wire::Request::ReadIndex => Some(Request::ReadIndex),
        wire::Request::Pull(_) => None,
    };
    let (Some(request), Some(actor)) = (request, actor_cell.get()) else {
        return wire::Reply::Unsupported;
    };
    let (sender, receiver) = oneshot::channel();
    let _ = actor.send(IncomingRequest { request, reply: sender }).await;
    match receiver.await {
        Ok(Response::ReadIndex(revision)) => wire::Reply::ReadIndex(revision),
        Ok(response) => wire::Reply::Store(wire::encode(&response).into()),
        Err(_) => wire::Reply::Unsupported,
    }
}
