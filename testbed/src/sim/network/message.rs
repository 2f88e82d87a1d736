//! Messages between hosts, and the calls that they belong to.

use super::host::HostId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::wire;
use vanepath_config::ExecutionStatus;
use vanepath_config::endpoint_list::EndpointList;
use vanepath_store::protocol::{Outcome, Request, Response};

/// The number of a call.
pub type CallId = u64;

/// The content of a message.
#[derive(Clone, Debug)]
pub enum Body {
    /// A gossip pull request.
    Pull(wire::PullRequest),
    /// The response to a gossip pull request.
    PullResponse(wire::PullResponse),
    /// A request to a store.
    StoreRequest(Request),
    /// A store's response.
    StoreResponse(Response),
    /// An operator's call, by its number in the history.
    OperatorCall(usize),
    /// The answer to an operator's call.
    OperatorResponse(Outcome),
    /// A registry reads the platform's endpoint list.
    ReadEndpointList,
    /// The platform's endpoint list.
    EndpointList(Arc<EndpointList>),
    /// Text that the platform sends in place of its endpoint list.
    EndpointListText(String),
    /// A client's poll of the steering service, with its query.
    SteeringRequest(String),
    /// The steering service's answer, as JSON; empty if it gives none.
    SteeringResponse(String),
    /// A client's request to a proxy, by its number.
    Forward(usize),
    /// A proxy's answer to a client's request.
    Forwarded {
        /// Whether the request ran on a server.
        execution: ExecutionStatus,
        /// The HTTP status.
        status: u16,
        /// With status 421: the proxies that may forward the request.
        eligible: Vec<SocketAddr>,
    },
    /// The first exchange on a new connection to a server, or a health check on an open one.
    HealthCheck,
    /// A server's answer to a health check.
    HealthCheckResult {
        /// The server's id.
        server: String,
        /// The number of the connection.
        connection: u64,
        /// Whether the server reports that it is warming up.
        is_warming_up: bool,
        /// The server's load, in thousandths of its capacity.
        load_milli: u32,
    },
    /// A request that a proxy sends to a server.
    UpstreamRequest {
        /// The number of the client's request.
        request: usize,
        /// The number of the connection.
        connection: u64,
        /// When the proxy sent it.
        sent_at: std::time::Duration,
        /// In scenarios with tenants: the tenant that the proxy names, and when the client sent the request.
        sender: Option<(Option<String>, std::time::Duration)>,
    },
    /// A server's response.
    UpstreamResponse {
        /// The server's load, in thousandths of its capacity.
        load_milli: u32,
        /// Whether the response is truncated.
        is_truncated: bool,
    },
    /// Nothing listens at the target, or the connection was reset.
    Reset,
}

/// What a call is for, as the calling host records it.
#[derive(Clone, Debug)]
pub enum Purpose {
    /// A gossip pull from this address.
    Pull {
        /// The peer's address.
        address: SocketAddr,
    },
    /// A store's request to another store.
    Store {
        /// The number that the consensus core gave to the request.
        call: u64,
    },
    /// The read index of the store at this address.
    ReadIndex {
        /// The store's address.
        address: SocketAddr,
        /// When the request was sent, on the requester's clock.
        requested_at: Duration,
    },
    /// An attempt of a registry's call to the stores.
    StoreCall {
        /// The number of the registry's call.
        store_call: usize,
    },
    /// A read of the platform's endpoint list.
    EndpointList,
    /// An operator's call.
    OperatorCall {
        /// Its number in the history.
        operation: usize,
    },
    /// A client's poll of the steering service.
    SteeringPoll {
        /// The client.
        client: usize,
    },
    /// A client's request to a proxy.
    Forward {
        /// The request.
        request: usize,
    },
    /// A new connection for a request in progress.
    Connect {
        /// The request in progress.
        progress_id: usize,
        /// The number of the attempt.
        attempt: u32,
    },
    /// A health check of a server.
    Probe {
        /// The endpoint's slot.
        slot: usize,
        /// The endpoint's index in the routing table.
        index: usize,
    },
    /// An attempt of a request in progress.
    UpstreamRequest {
        /// The request in progress.
        progress_id: usize,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Nothing waits for the reply.
    None,
}

/// A request from one host to another that has neither been answered nor timed out.
#[derive(Clone, Debug)]
pub struct Call {
    /// The host that sent the request.
    pub source: HostId,
    pub(super) source_incarnation: u32,
    /// The host that it was sent to.
    pub target: HostId,
    /// The incarnation that received the request; `None` until it arrives.
    pub(super) target_incarnation: Option<u32>,
    /// What the call is for.
    pub purpose: Purpose,
}
