//! Events of the simulation and their queue.

use super::host::HostId;
use super::message::{Body, CallId};
use std::time::Duration;

/// What happens at a moment of simulated time.
#[derive(Clone, Debug)]
pub enum Event {
    /// A node's regular tick.
    Tick {
        /// The node's host.
        host: HostId,
        /// The incarnation whose tick it is.
        incarnation: u32,
    },
    /// A request reaches its target.
    RequestArrived {
        /// The call.
        call: CallId,
        /// The request.
        body: Body,
    },
    /// A reply reaches the host that sent the request.
    ReplyArrived {
        /// The call.
        call: CallId,
        /// The reply.
        body: Body,
    },
    /// The timeout of a call is over.
    CallTimedOut {
        /// The call.
        call: CallId,
    },
    /// A store's write to disk is complete.
    DiskWriteDone {
        /// The store's host.
        host: HostId,
        /// The incarnation that wrote.
        incarnation: u32,
    },
    /// A timer that a host set for itself.
    Timer {
        /// The host.
        host: HostId,
        /// The incarnation that set it.
        incarnation: u32,
        /// What it is for.
        timer: Timer,
    },
    /// An action of the scenario, by its number in the script.
    Script(usize),
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// A registry's next step of a call to the stores.
    StoreCall(usize),
    /// A client's next poll of the steering service.
    SteeringPoll(usize),
    /// A client's next request.
    NextRequest(usize),
    /// A request was written to a connection that its machine had forgotten.
    StaleConnection {
        /// The request.
        request: usize,
        /// The proxy's host.
        target: HostId,
    },
    /// A client considers whether to give up on a proxy that has its request and does not answer.
    SwitchProxy {
        /// The request.
        request: usize,
        /// The proxy's host.
        target: HostId,
        /// The call that carries the request.
        call: CallId,
    },
    /// A new connection to that proxy was opened, or the attempt timed out.
    ProbeConnected {
        /// The request.
        request: usize,
        /// The proxy's host.
        target: HostId,
        /// The call that carries the request.
        call: CallId,
        /// Whether the connection was opened.
        is_there: bool,
    },
    /// An operator's next call.
    NextOperatorCall,
    /// A proxy admits a request, or waits until it is ready itself.
    AdmitRequest(usize),
    /// A proxy selects a server for a request.
    SelectServer(usize),
    /// The deadline of a request that waits for admission.
    QueueTimeout(usize),
    /// A proxy considers another server for a request that waits for its response.
    HedgeRequest {
        /// The request in progress.
        progress_id: usize,
        /// Only the latest timer of a request counts.
        timer: u32,
    },
    /// A server has done a request.
    ServerDone {
        /// The call that carries the request.
        call: CallId,
        /// The request.
        request: usize,
    },
    /// A node that drains closes its listeners.
    Close,
}

/// An event in the queue. Events of one moment happen in the order in which they were scheduled.
pub(super) struct Queued {
    pub(super) at: Duration,
    pub(super) sequence: u64,
    pub(super) event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Queued) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Queued) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    // Reversed: the greatest of the heap is the earliest event.
    fn cmp(&self, other: &Queued) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
