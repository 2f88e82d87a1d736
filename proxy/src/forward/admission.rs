//! Lets requests wait for the readiness of this proxy and for a slot of their class (design 5.5, 8.4).

use super::{Counter, Proxy};
use crate::admission::{Admission, AdmissionSlot};
use crate::endpoints::revision_of;
use crate::lifecycle::Rejection;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use vanepath_cluster::gossip::READINESS_TIMEOUT;
use vanepath_config::model::Tenant;

/// The interval between two checks of readiness.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A slot of a class that a request holds. Dropping it releases the slot, however the request ends.
pub(super) struct AdmissionPermit {
    proxy: Arc<Proxy>,
    slot: AdmissionSlot,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.proxy.release_slot(self.slot);
    }
}

/// A request in the queue of its class. Dropping it removes the request from the queue.
struct QueueEntry {
    proxy: Arc<Proxy>,
    ticket: u64,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut queued = self.proxy.queued.lock().expect("no panic under this lock");
        let was_queued = queued.remove(&self.ticket).is_some();
        drop(queued);
        if was_queued {
            let mut admission = self.proxy.admission.lock().expect("no panic under this lock");
            admission.remove_queued(self.ticket);
        }
    }
}

/// Waits until this node knows the committed config and, after a pause of the process, has heard from
/// its peers again (design 5.5).
///
/// # Errors
/// [`Rejection::BelowReadIndex`] while the node is stalled, [`Rejection::NotReady`] after
/// [`READINESS_TIMEOUT`] since `received_at`.
pub(super) async fn wait_until_ready(
    proxy: &Proxy,
    received_at: Duration,
) -> Result<(), Rejection> {
    while !is_ready(proxy) {
        if proxy.node.current_view.load().is_stalled {
            return Err(Rejection::BelowReadIndex);
        }
        if proxy.now().saturating_sub(received_at) >= READINESS_TIMEOUT {
            return Err(Rejection::NotReady);
        }
        tokio::time::sleep(READINESS_CHECK_INTERVAL).await;
    }
    Ok(())
}

/// Whether this node knows the committed config; false right after a pause of the process.
pub(super) fn is_ready(proxy: &Proxy) -> bool {
    let view = proxy.node.current_view.load();
    proxy.node.has_recent_tick()
        && proxy.endpoints.is_ready(proxy.now(), view.is_fresh, revision_of(&view))
}

/// Awaits `wait` for a request that no server has received. During a shutdown it gives up shortly
/// before the end of the grace period, so that there is time left to reject the request.
///
/// # Errors
/// Those of `wait`, and [`Rejection::NotReady`] if the shutdown ends the wait.
pub(super) async fn before_shutdown<T>(
    proxy: &Proxy,
    wait: impl Future<Output = Result<T, Rejection>>,
) -> Result<T, Rejection> {
    let shutdown = async {
        let mut reject_waiting = proxy.drain.reject_waiting.clone();
        let _ = reject_waiting.wait_for(|is_due| *is_due).await;
    };
    tokio::select! {
        biased;
        outcome = wait => outcome,
        () = shutdown => Err(Rejection::NotReady),
    }
}

/// Takes a slot of the class. If none is free, waits in the queue of the class until the deadline.
///
/// # Errors
/// [`Rejection::NotReady`] if admission control does not know the class yet,
/// [`Rejection::QueueFull`] if a slot would have to be waited for and the queue is full, and
/// [`Rejection::DeadlineExceeded`] if the deadline passes first.
pub(super) async fn admit(
    proxy: &Arc<Proxy>,
    class: &str,
    tenant: Option<&Tenant>,
    deadline: Duration,
) -> Result<AdmissionPermit, Rejection> {
    let (sender, mut receiver) = oneshot::channel();
    let ticket = {
        let mut admission = proxy.admission.lock().expect("no panic under this lock");
        let Some(index) = admission.index(class) else {
            return Err(Rejection::NotReady);
        };
        match admission.request_slot(index, tenant, deadline) {
            Admission::Admitted(slot) => {
                if slot.class != slot.lender {
                    proxy.counters.increment(Counter::Borrowed);
                }
                return Ok(AdmissionPermit { proxy: proxy.clone(), slot });
            }
            Admission::QueueFull => return Err(Rejection::QueueFull),
            Admission::Queued(ticket) => {
                // Still under the lock of admission control: the request cannot be admitted from the
                // queue before its sender is registered.
                let mut queued = proxy.queued.lock().expect("no panic under this lock");
                queued.insert(ticket, sender);
                ticket
            }
        }
    };
    proxy.counters.increment(Counter::Queued);
    let entry = QueueEntry { proxy: proxy.clone(), ticket };
    let time_left = deadline.saturating_sub(proxy.now());
    let received_slot = tokio::time::timeout(time_left, &mut receiver).await;
    // Removes the request from the queue. A slot that was granted just before is in the channel.
    drop(entry);
    let slot = match received_slot {
        Ok(Ok(slot)) => Some(slot),
        _ => receiver.try_recv().ok(),
    };
    slot.map(|slot| AdmissionPermit { proxy: proxy.clone(), slot })
        .ok_or(Rejection::DeadlineExceeded)
}
