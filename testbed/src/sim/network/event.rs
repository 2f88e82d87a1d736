//! Events of the simulation and their queue.

use super::host::HostId;
use super::message::{Body, CallId};
use std::time::Duration;

/// Something that happens at a point in simulated time.
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
    /// A request reaches its target after the call has timed out. The connection behind it is closed.
    AbandonedRequestArrived {
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
    /// The timeout of a call has expired.
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
        /// What the timer is for.
        timer: Timer,
    },
    /// An action of the scenario, by its number in the script.
    Script(usize),
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The last page of a registry's read of the endpoint list has arrived, or the read has timed out.
    ListReadEnded,
    /// A registry's next step of a call to the stores.
    StoreCall(usize),
    /// A client's next poll of the steering service.
    SteeringPoll(usize),
    /// A client's next request.
    NextRequest(usize),
    /// A client learns that the connection to which it wrote a request is unknown to the proxy's
    /// machine, which lost power meanwhile.
    StaleConnection {
        /// The request.
        request: usize,
        /// The proxy's host.
        target: HostId,
    },
    /// A client decides whether to give up on a proxy that has its request and has not answered.
    SwitchProxy {
        /// The request.
        request: usize,
        /// The proxy's host.
        target: HostId,
        /// The call that carries the request.
        call: CallId,
    },
    /// A client's new connection to a proxy that has not answered was opened, or timed out.
    ProbeConnected {
        /// The request.
        request: usize,
        /// The proxy's host.
        target: HostId,
        /// The call that carries the request.
        call: CallId,
        /// Whether the connection was opened.
        is_reachable: bool,
    },
    /// An operator's next call.
    NextOperatorCall,
    /// A proxy tries to admit a request, which it does only once it is ready.
    AdmitRequest(usize),
    /// A proxy selects a server for a request.
    SelectServer(usize),
    /// The deadline of a request that waits for admission.
    QueueTimeout(usize),
    /// A proxy considers another server for a request that waits for its response.
    HedgeRequest {
        /// The request in progress.
        progress_id: usize,
        /// The number of the timer: only the latest timer of a request takes effect.
        timer: u32,
    },
    /// A server has finished a request.
    ServerDone {
        /// The call that carries the request.
        call: CallId,
        /// The request.
        request: usize,
    },
    /// A draining proxy closes its listeners; a draining node of another role stops.
    CloseListeners,
}

/// An event in the queue. Events with the same time are handled in the order in which they were
/// scheduled.
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
    // Reversed, because the heap returns the greatest entry first and that must be the earliest
    // event.
    fn cmp(&self, other: &Queued) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
