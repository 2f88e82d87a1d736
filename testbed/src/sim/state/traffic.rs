//! Servers, clients and their requests.

use super::Tenancy;
use crate::sim::network::{CallId, HostId};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use vanepath_client::steering::Steering;
use vanepath_config::ExecutionStatus;
use vanepath_store::protocol::Outcome;

/// How a misbehaving server handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureMode {
    /// The request runs, and the response is complete.
    Healthy,
    /// The request does not run, and there is no response.
    NoResponse,
    /// The request runs, and the connection is reset.
    RunAndReset,
    /// The request runs, and the response is truncated.
    Truncate,
}

/// The arrival of a request at a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerArrival {
    /// When it arrived.
    pub at: Duration,
    /// Which request.
    pub request: usize,
    /// The host of the proxy that sent it.
    pub proxy: HostId,
}

/// A restart of a server's process.
#[derive(Clone, Copy, Debug)]
pub struct ServerRestart {
    /// When it was up again.
    pub at: Duration,
    /// How long it had been down.
    pub down_time: Duration,
    /// Whether proxies could notice the restart: one was up and ready when the server stopped or
    /// restarted, and the server was down long enough.
    pub is_noticeable: bool,
}

/// A server.
pub struct Server {
    /// Its host.
    pub host: HostId,
    /// Its id in the endpoint list.
    pub id: String,
    /// The value of its label `app`.
    pub app: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// How the failing fraction of its requests fails.
    pub failure_mode: FailureMode,
    /// The fraction of its requests that fails in this way, from 0 to 1.
    pub failure_rate: f64,
    /// The mean service time of a request.
    pub service_time: Duration,
    /// The load that it reports, in thousandths of its capacity.
    pub load_milli: u32,
    /// The number of requests that it processes at the same time, while others wait in its queue. 0
    /// means no limit; the reported load is then constant.
    pub workers: u32,
    pub(in crate::sim) busy_workers: u32,
    pub(in crate::sim) queue: VecDeque<(CallId, usize)>,
    /// The requests in service and in the queue per worker, smoothed exponentially over a second.
    pub(in crate::sim) load: f64,
    /// When `load` was last updated.
    pub(in crate::sim) load_at: Duration,
    /// Its restarts.
    pub restarts: Vec<ServerRestart>,
    /// Whether its machine lost power when the server last went down.
    pub(in crate::sim) lost_power: bool,
    /// Whether a proxy was up and ready when the server last went down.
    pub(in crate::sim) was_observed: bool,
    /// Since when it has been down; `None` while it is up.
    pub down_at: Option<Duration>,
    /// The requests that arrived at it.
    pub arrivals: Vec<ServerArrival>,
    /// How often each request ran.
    pub runs: HashMap<usize, u32>,
    /// Whether it reports in health checks that it is warming up.
    pub reports_warming_up: bool,
}

/// A connection between a proxy and a server.
pub(in crate::sim) struct Connection {
    pub(in crate::sim) server: usize,
    pub(in crate::sim) server_incarnation: u32,
    /// When the proxy learns that the connection is closed.
    pub(in crate::sim) closed_at: Option<Duration>,
}

/// A client of the fleet.
pub struct Client {
    /// Its host.
    pub host: HostId,
    /// The client library's core.
    pub steering: Steering,
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The traffic that it sends, in multiples of its ordinary share.
    pub weight: f64,
    /// Open connections, by the proxy's host and its incarnation.
    pub(in crate::sim) open_connections: HashSet<(HostId, u32)>,
    /// The revisions of the steering answers that it received.
    pub steering_revisions: Vec<u64>,
}

/// The kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestKind {
    /// An idempotent request.
    Lookup,
    /// A non-idempotent request, which must not run twice.
    Filing,
    /// A filing that must be served in one region.
    BoundFiling,
    /// An idempotent request of the class for bulk transfers.
    Bulk,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its kind.
    pub kind: RequestKind,
    /// The client.
    pub client: usize,
    /// When the client began the request.
    pub started_at: Duration,
    /// When the request ended for the client, with success or failure.
    pub ended_at: Option<Duration>,
    /// Whether the request ran, as far as the client knows.
    pub execution: ExecutionStatus,
    /// The last HTTP status; 0 if there was no answer.
    pub status: u16,
    /// The client's attempts.
    pub attempts: u32,
    /// Answers with status 503.
    pub(in crate::sim) rejections: u32,
    /// The proxies in the order in which the client tries them.
    pub(in crate::sim) candidates: Vec<SocketAddr>,
    pub(in crate::sim) next_candidate: usize,
    pub(in crate::sim) may_have_run: bool,
    /// Whether it must run at most once.
    pub(in crate::sim) is_at_most_once: bool,
    /// Whether the latest attempt is opening a connection to a proxy that is not reachable.
    pub(in crate::sim) is_connecting: bool,
    /// Whether it was written to a connection that the proxy's machine no longer knows.
    pub(in crate::sim) is_stale: bool,
    /// The hosts of the proxies that received it.
    pub forwarded_by: Vec<HostId>,
    /// The hosts of the proxies that the client tried.
    pub proxies_tried: Vec<HostId>,
    /// The hosts of the servers that it was sent to.
    pub sent_to: Vec<HostId>,
    /// Why attempts failed, for reports.
    pub reasons: String,
}

/// The arrival of a request at a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyArrival {
    /// When it arrived.
    pub at: Duration,
    /// Which request.
    pub request: usize,
}

/// A server that the platform marked as draining.
#[derive(Clone, Copy, Debug)]
pub struct ServerDrain {
    /// When it was marked.
    pub at: Duration,
    /// The server.
    pub server: usize,
    /// The revision of the endpoint list that says so.
    pub list_revision: u64,
}

/// A client's poll of the steering service.
#[derive(Clone, Copy, Debug)]
pub struct SteeringPoll {
    /// When the answer came or the poll failed.
    pub at: Duration,
    /// Whether there was an answer.
    pub is_answered: bool,
}

/// Servers, clients, their requests and the measurements of them.
#[derive(Default)]
pub struct World {
    /// All servers.
    pub servers: Vec<Server>,
    /// The server on a host.
    pub server_by_host: HashMap<HostId, usize>,
    pub(in crate::sim) connections: HashMap<u64, Connection>,
    pub(in crate::sim) next_connection: u64,
    /// All clients.
    pub clients: Vec<Client>,
    /// All requests.
    pub requests: Vec<Request>,
    /// The addresses of the steering service.
    pub steering_addresses: Vec<SocketAddr>,
    /// The rate of requests of all clients together, per second.
    pub request_rate: f64,
    /// The shares of the kinds of requests, in the order of [`RequestKind`].
    pub request_mix: [u32; 4],
    /// The request rate and mix of the ordinary traffic, while additional downloads replace them.
    pub ordinary_traffic: Option<(f64, [u32; 4])>,
    /// The paths of the kinds of requests, in the order of [`RequestKind`].
    pub paths: [&'static str; 4],
    /// When requests reached the admission control of a proxy.
    pub admitted_at: Vec<Duration>,
    /// When proxies made attempts beyond the first.
    pub retries: Vec<Duration>,
    /// The requests that arrived at proxies.
    pub proxy_arrivals: Vec<ProxyArrival>,
    /// The number of attempts that proxies made.
    pub attempts: u64,
    /// The number of attempts that proxies made at servers of other zones.
    pub cross_zone_attempts: u64,
    /// The highest load of any server, in multiples of its capacity.
    pub worst_load: f64,
    /// The number of health checks so far.
    pub probes: u64,
    /// Whether clients and operators have stopped starting requests and calls.
    pub stopped: bool,
    /// The longest TTL of a steering answer, in seconds.
    pub longest_steering_ttl: f64,
    /// The tenants and their keys, in scenarios with tenants.
    pub tenancy: Option<Tenancy>,
    /// The configuration document that operators vary.
    pub config_text: String,
    /// The mean time between an operator's calls.
    pub operator_interval: Duration,
    /// Nodes whose machines were replaced permanently.
    pub retired: HashSet<usize>,
    /// The servers that the platform marked as draining.
    pub server_drains: Vec<ServerDrain>,
    /// The polls of the steering service.
    pub steering_polls: Vec<SteeringPoll>,
    /// What an operator's read of each revision returned at the end of the run.
    pub history: Vec<(u64, Option<Outcome>)>,
}
