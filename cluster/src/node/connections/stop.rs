//! When a connection may be closed because its listener stops.

use super::RequestTracker;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Sleep;

/// How long a connection is kept for its first request from its acceptance on, although the listener stops:
/// the client has just connected to send one.
const FIRST_REQUEST_WAIT: Duration = Duration::from_secs(1);

/// Tells when a connection may be closed because its listener stops.
pub struct ConnectionStop {
    stopping: Pin<Box<dyn Future<Output = ()> + Send>>,
    is_stopping: bool,
    first_request_wait: Pin<Box<Sleep>>,
    requests: RequestTracker,
}

impl ConnectionStop {
    /// For a connection that was accepted just now and whose requests are reported to `requests`. `stop` turns
    /// true when the listener stops.
    pub fn new(mut stop: watch::Receiver<bool>, requests: RequestTracker) -> ConnectionStop {
        let stopping = async move {
            let _ = stop.wait_for(|stop| *stop).await;
        };
        ConnectionStop {
            stopping: Box::pin(stopping),
            is_stopping: false,
            first_request_wait: Box::pin(tokio::time::sleep(FIRST_REQUEST_WAIT)),
            requests,
        }
    }

    /// Whether the connection may be closed after the requests that it has. To be polled by the task that
    /// polls the connection, which is notified when this becomes true.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if !self.is_stopping {
            self.is_stopping = self.stopping.as_mut().poll(context).is_ready();
        }
        if !self.is_stopping {
            return Poll::Pending;
        }
        if self.requests.has_begun() {
            return Poll::Ready(());
        }
        self.first_request_wait.as_mut().poll(context)
    }
}
