//! Polls the active revisions of all proxies.

use crate::http::call;
use crate::soak::operator::NamedAddress;
use crate::soak::record::RevisionReading;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

const WATCH_INTERVAL: Duration = Duration::from_millis(200);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the active revision of every proxy at intervals until the task is aborted.
pub(super) async fn watch(
    start: Instant,
    proxies: Vec<NamedAddress>,
    proxy_revisions: Arc<Mutex<Vec<RevisionReading>>>,
) {
    let mut tasks = JoinSet::new();
    for NamedAddress { name: daemon, address } in proxies {
        let proxy_revisions = proxy_revisions.clone();
        tasks.spawn(async move {
            loop {
                tokio::time::sleep(WATCH_INTERVAL).await;
                let requested_at = start.elapsed();
                let request = call(address, "GET", "/vanepath/v1/ready", &[], b"");
                let Ok(Some(response)) = tokio::time::timeout(REQUEST_TIMEOUT, request).await
                else {
                    continue;
                };
                let revision = response.json()["revision"].as_u64().unwrap_or_default();
                let reading = RevisionReading { daemon: daemon.clone(), requested_at, revision };
                proxy_revisions.lock().expect("no panic under this lock").push(reading);
            }
        });
    }
    while tasks.join_next().await.is_some() {}
}
