//! The registry process (design 7.5): starts the tasks and listeners, and shuts down gracefully.

use crate::control_loop;
use crate::discovery::{PollOutcome, poller};
use crate::state::{Counters, Registry};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use vanepath_cluster::node::{self, HttpSettings, Node};
use vanepath_config::settings::Settings;

/// Time between the end of request handling and the end of the process, in which the peers learn by gossip
/// that this registry is draining.
const LEAVE_DELAY: Duration = Duration::from_millis(200);

/// Runs a registry until it is asked to shut down.
///
/// # Errors
/// Returns an error if a listener cannot be bound or the node cannot start.
pub async fn run(settings: Settings) -> Result<(), miette::Report> {
    let listener = node::bind("listen", settings.listen).await?;
    let node = Node::start(settings, None).await?;
    let counters: Arc<Counters> = Arc::default();
    let poll_outcome = Arc::new(Mutex::new(PollOutcome::NotYetRead));
    let registry = Arc::new(Registry {
        node: node.clone(),
        counters: counters.clone(),
        poll_outcome: poll_outcome.clone(),
        is_ready: AtomicBool::new(false),
        request_fence: Mutex::default(),
    });
    tokio::spawn(poller::run(node.clone(), counters, poll_outcome));
    control_loop::spawn(registry.clone());
    let handler = move |request: hyper::Request<hyper::body::Incoming>| {
        crate::api::handle(registry.clone(), request)
    };
    let http_settings = HttpSettings::default();
    let (stop, connections) = (node.stop.clone(), node.client_connections.clone());
    let serve = |listener| {
        let (stop, connections) = (stop.clone(), connections.clone());
        tokio::spawn(node::serve_http(listener, stop, connections, http_settings, handler.clone()))
    };
    let mut serving = vec![serve(listener)];
    if let Some(address) = node.settings.steering_listen {
        serving.push(serve(node::bind("directoryListen", address).await?));
    }
    let all_served = async {
        for listener in serving {
            let _ = listener.await;
        }
    };
    tokio::select! {
        () = all_served => {}
        () = node.grace_period_end() => {}
    }
    tokio::time::sleep(LEAVE_DELAY).await;
    log::info!("stopped");
    Ok(())
}
