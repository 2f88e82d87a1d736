//! The process: starts the maintenance actor, serves clients and the admin pages, and shuts down
//! gracefully (design 8.8).

mod connections;
mod maintenance;
mod probing;
mod status;

use crate::forward::Proxy;
use connections::serve_connection;
use hyper::Request;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use vanepath_cluster::node::{self, HttpSettings, Node};
use vanepath_config::settings::Settings;

/// How long connections are still accepted after the signal to stop: as long as clients may cache a
/// steering response, but at most half of the grace period.
const DRAIN_DELAY: Duration = Duration::from_millis(3500);
/// How long before the end of the grace period the requests that no server has received are rejected.
const REJECT_WAITING_MARGIN: Duration = Duration::from_millis(400);
/// How long a client may take to send the head of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);
/// The buffer of the HTTP library for one client, in bytes.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Runs a proxy until it is signalled to stop.
///
/// # Errors
/// If an address cannot be bound or the node cannot start.
pub async fn run(settings: Settings) -> Result<(), miette::Report> {
    let listener = node::bind("listen", settings.listen).await?;
    let node = Node::start(settings, None).await?;
    let drain = DrainSchedule::spawn(&node);
    let proxy = Arc::new(Proxy::new(node.clone(), drain.clone()));
    maintenance::spawn(proxy.clone());
    let http = HttpSettings {
        header_timeout: HEADER_READ_TIMEOUT,
        preserve_header_case: true,
        max_buffer_bytes: MAX_BUFFER_BYTES,
    };
    let has_admin_listener = serve_admin_pages(&proxy).await?;
    let serve = move |stream, requests, stop| {
        serve_connection(proxy.clone(), stream, requests, stop, http, has_admin_listener)
    };
    let connections = node.client_connections.clone();
    tokio::select! {
        () = node::accept(listener, drain.stop_accepting, connections.clone(), serve) => log::info!("stopped"),
        () = node.grace_period_end() => {
            let (open, serving) = (connections.open(), connections.serving());
            if serving > 0 {
                log::warn!("stopped at the end of the grace period with requests in flight");
            }
            log::info!("stopped with {open} connections open, requests in flight on {serving}");
        }
    }
    Ok(())
}

/// The steps of a graceful shutdown. Each channel turns true some time after the signal to stop.
#[derive(Clone)]
pub struct DrainSchedule {
    /// Connections are no longer accepted. Those that arrive before are served, with responses that
    /// close them.
    pub stop_accepting: watch::Receiver<bool>,
    /// Requests that no server has received are rejected.
    pub reject_waiting: watch::Receiver<bool>,
}

impl DrainSchedule {
    fn spawn(node: &Node) -> DrainSchedule {
        let grace = node.settings.shutdown_grace;
        DrainSchedule {
            stop_accepting: delayed_stop_signal(node, DRAIN_DELAY.min(grace / 2)),
            reject_waiting: delayed_stop_signal(node, grace.saturating_sub(REJECT_WAITING_MARGIN)),
        }
    }
}

/// Returns a channel that turns true `delay` after the signal to stop.
fn delayed_stop_signal(node: &Node, delay: Duration) -> watch::Receiver<bool> {
    let (sender, receiver) = watch::channel(false);
    let mut stop = node.stop.clone();
    tokio::spawn(async move {
        let _ = stop.wait_for(|stop| *stop).await;
        tokio::time::sleep(delay).await;
        sender.send_replace(true);
        // Keeps the sender, so that receivers never see a closed channel.
        std::future::pending::<()>().await;
    });
    receiver
}

/// Serves the admin pages on a separate address, if the settings name one. Returns whether they do.
async fn serve_admin_pages(proxy: &Arc<Proxy>) -> Result<bool, miette::Report> {
    let Some(address) = proxy.node.settings.admin_listen else { return Ok(false) };
    let listener = node::bind("pagesListen", address).await?;
    let page_proxy = proxy.clone();
    let pages = move |request: Request<Incoming>| {
        let response = status::admin_page(&page_proxy, request.uri().path());
        async move { response }
    };
    // Served until the process ends, so that readiness can be queried during the whole shutdown.
    let (sender, never_stop) = watch::channel(false);
    let http = HttpSettings::default();
    let connections = proxy.node.admin_connections.clone();
    tokio::spawn(async move {
        let _sender = sender;
        node::serve_http(listener, never_stop, connections, http, pages).await;
    });
    Ok(true)
}
