//! The program round the replica: an actor that carries out its effects in order, the node's membership and
//! transport, and the HTTP pages (design 6.7).

mod actor;
mod directory;
mod http;
mod rescue;
mod ticker;

pub use directory::StoreDirectory;

use crate::consensus::{Identity, Replica};
use crate::disk::Disk;
use crate::protocol::{Request, Response};
use actor::{Incoming, StoreActor};
use arc_swap::ArcSwap;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use ticker::Ticker;
use tokio::sync::oneshot;
use vanepath_cluster::{gossip, node, wire};
use vanepath_config::settings::Settings;

/// Time for the announcement that this store leaves; what was accepted is on disk already.
const LEAVE_GRACE: Duration = Duration::from_millis(200);

vanepath_cluster::counters! {
    /// What a store counts. The variants' names are the names of the metrics.
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
    }
}

/// The counters of a store.
pub type Counters = vanepath_cluster::counters::Counters<Counter>;

/// The address of the actor, known once it runs: the transport starts first.
type ActorSlot = Arc<OnceLock<xtra::Address<StoreActor>>>;

/// Runs a store until the node is stopped.
///
/// # Errors
/// The data folder or a port cannot be used.
pub async fn run(settings: Settings) -> Result<(), miette::Report> {
    let folder = settings.data_folder.clone().expect("checked with the settings");
    let bootstrap_size = if settings.may_bootstrap { settings.bootstrap_size } else { 0 };
    let identity = Identity { name: settings.name.clone(), bootstrap_size };
    let disk = Arc::new(Disk::open(&folder)?);
    let recovered = disk.load(node::random())?;
    if settings.rescue {
        return rescue::run(&disk, &recovered, &settings.name);
    }
    let listener = node::bind("listen", settings.listen).await?;
    let slot = ActorSlot::default();
    let hints = disk.hints();
    let mut started = settings.clone();
    started.seeds.extend(&hints.nodes);
    let node = node::Node::start(started, Some(request_handler(slot.clone()))).await?;
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
    let _ = slot.set(actor.clone());
    let ticker = Ticker {
        actor,
        disk,
        node: node.clone(),
        counters: counters.clone(),
        summary: summary.clone(),
        directory,
    };
    tokio::spawn(ticker.run(hints));

    serve_http(listener, &node, summary, counters).await;
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
    node::serve_http(listener, node.stop.clone(), node::HttpSettings::default(), handler).await;
}

/// Passes requests of the transport to the actor.
fn request_handler(slot: ActorSlot) -> node::StoreHandler {
    Arc::new(move |request: wire::Request| {
        let slot = slot.clone();
        Box::pin(async move { handle_request(&slot, request).await })
    })
}

async fn handle_request(slot: &ActorSlot, request: wire::Request) -> wire::Reply {
    let request = match request {
        wire::Request::Store(bytes) => wire::decode::<Request>(&bytes).ok(),
        wire::Request::ReadIndex => Some(Request::ReadIndex),
        wire::Request::Pull(_) => None,
    };
    let (Some(request), Some(actor)) = (request, slot.get()) else {
        return wire::Reply::Unsupported;
    };
    let (sender, receiver) = oneshot::channel();
    let _ = actor.send(Incoming { request, reply: sender }).await;
    match receiver.await {
        Ok(Response::ReadIndex(revision)) => wire::Reply::ReadIndex(revision),
        Ok(response) => wire::Reply::Store(wire::encode(&response).into()),
        Err(_) => wire::Reply::Unsupported,
    }
}
