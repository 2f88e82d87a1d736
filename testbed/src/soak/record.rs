//! What a soak test observes from the outside: requests as seen by clients and by servers, and the faults and
//! changes applied to the fleet. All times are relative to the start of the soak test.

use super::api_keys::ApiKey;
use std::collections::{HashMap, HashSet};
use std::fmt::{Display, Formatter};
use std::time::Duration;

/// Kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestKind {
    /// A request with a small response, which may be executed repeatedly.
    Lookup,
    /// A request that must be executed at most once.
    Filing,
    /// A filing with a large body.
    Upload,
    /// A request with a large response, which may be executed repeatedly.
    Download,
    /// A filing whose declared length is over every limit, so that it is rejected while it is sent.
    RejectedUpload,
}

impl RequestKind {
    /// Whether the request must be executed at most once.
    pub fn is_at_most_once(self) -> bool {
        matches!(self, RequestKind::Filing | RequestKind::Upload | RequestKind::RejectedUpload)
    }
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A complete response.
    Response {
        /// HTTP status code.
        status: u16,
        /// Execution status that the proxy reported; empty if none.
        execution: String,
        /// Whether the body is the complete response to this request.
        is_correct: bool,
    },
    /// The connection closed before the response was complete.
    ConnectionClosed,
    /// The connection was reset before the response was complete.
    ConnectionReset,
    /// No complete response arrived after the client had closed its sending side, which a proxy may take for
    /// the end of the client.
    LeftByClient,
    /// No complete response arrived within a time-out that is much longer than the deadline of the request.
    Timeout,
}

impl Display for RequestEnd {
    /// The form shown in violations.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            RequestEnd::Response { status, execution, is_correct } => write!(
                formatter,
                "Response {{ status: {status}, execution: {execution:?}, is_correct: {is_correct} }}"
            ),
            RequestEnd::ConnectionClosed => formatter.write_str("ConnectionClosed"),
            RequestEnd::ConnectionReset => formatter.write_str("ConnectionReset"),
            RequestEnd::LeftByClient => formatter.write_str("LeftByClient"),
            RequestEnd::Timeout => formatter.write_str("Timeout"),
        }
    }
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its identifier, from the header `x-request`.
    pub request_id: String,
    /// Its kind.
    pub kind: RequestKind,
    /// The API key that it presented.
    pub key: ApiKey,
    /// Index of the proxy that it was sent to.
    pub proxy: usize,
    /// When it was sent.
    pub sent_at: Duration,
    /// When it ended.
    pub ended_at: Duration,
    /// How it ended.
    pub end: RequestEnd,
}

/// A request as it was received by a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it was received.
    pub at: Duration,
    /// Its identifier, from the header `x-request`.
    pub request_id: String,
    /// Its path, without the query.
    pub path: String,
    /// The tenant that the proxy named; empty if none.
    pub tenant: String,
    /// Whether an API key was passed on to the server.
    pub has_key: bool,
}

/// A server at one address, from its start to its end.
#[derive(Clone, Debug)]
pub struct ServerIncarnation {
    /// Its identifier.
    pub id: String,
    /// Its service: the value of its label `app`.
    pub app: String,
    /// Its zone.
    pub zone: String,
    /// When the endpoint list showed it as draining.
    pub draining_since: Option<Duration>,
    /// Requests that it received.
    pub arrivals: Vec<Arrival>,
}

/// A fault and the period in which it lasted.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultInterval {
    /// The fault.
    pub fault: Fault,
    /// When it began.
    pub from: Duration,
    /// When it ended.
    pub to: Duration,
}

/// The kind of a fault and the component that it affects.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The proxy with this index was killed or suspended. A planned restart is no fault.
    Proxy(usize),
    /// A fault of the link to the proxy with this index, which may keep updates from it.
    ProxyLink(usize),
    /// A fault of a core machine; planned restarts count too.
    Core,
    /// A fault of a server.
    Server,
    /// The endpoint list cannot be read from the platform.
    Platform,
}

/// A drained zone, from the acknowledgement of the drain to the first request to restore the zone.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainedZone {
    /// Name of the zone.
    pub zone: String,
    /// When the drain was acknowledged.
    pub from: Duration,
    /// When the restoration was first requested; [`Duration::MAX`] if it was not yet.
    pub to: Duration,
}

/// A configuration that a registry acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcknowledgedConfig {
    /// Its revision.
    pub revision: u64,
    /// Its version.
    pub version: u64,
    /// When it was acknowledged.
    pub at: Duration,
}

/// A revision that a daemon reported.
#[derive(Clone, Debug, PartialEq)]
pub struct RevisionReading {
    /// Name of the daemon.
    pub daemon: String,
    /// When the request was sent.
    pub requested_at: Duration,
    /// The revision; 0 if the daemon has none yet.
    pub revision: u64,
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Resident memory.
    pub memory_kb: u64,
    /// Open file descriptors.
    pub open_files: u64,
    /// Threads.
    pub threads: u64,
}

/// Resource usage of one process before the first fault and after the last one.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageComparison {
    /// Name of the daemon.
    pub daemon: String,
    /// Before the first fault.
    pub before: Usage,
    /// After the last fault.
    pub after: Usage,
}

/// Everything that one soak test observed.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Requests that have ended.
    pub requests: Vec<Request>,
    /// All servers.
    pub servers: Vec<ServerIncarnation>,
    /// How often each request was executed.
    pub execution_counts: HashMap<String, u32>,
    /// Requests whose connection was closed while a server was executing them.
    pub aborted_requests: HashSet<String>,
    /// All faults.
    pub fault_intervals: Vec<FaultInterval>,
    /// All drained zones.
    pub drained_zones: Vec<DrainedZone>,
    /// Zones that were still drained after an order to restore them was acknowledged.
    pub zones_left_drained: Vec<String>,
    /// All acknowledged configurations.
    pub acknowledged: Vec<AcknowledgedConfig>,
    /// The active revisions that proxies reported.
    pub proxy_revisions: Vec<RevisionReading>,
    /// The revisions of the configurations that registries returned.
    pub config_reads: Vec<RevisionReading>,
    /// Resource usage of the processes that were never restarted.
    pub usage: Vec<UsageComparison>,
    /// When the fleet was stable after the last fault; `None` if it was not within the time-out.
    pub stable_at: Option<Duration>,
    /// When the last fault ended.
    pub last_fault_at: Duration,
    /// Number of signals sent to daemons.
    pub signals: usize,
    /// Number of the operator's orders that were acknowledged.
    pub changes: usize,
    /// Number of processes in the fleet.
    pub processes: usize,
}

impl Observations {
    /// Whether any fault for which `is_relevant` holds overlaps the period from `from` to `to`.
    pub fn had_fault(
        &self,
        from: Duration,
        to: Duration,
        is_relevant: impl Fn(&Fault) -> bool,
    ) -> bool {
        self.fault_intervals.iter().any(|interval| {
            is_relevant(&interval.fault) && interval.from <= to && interval.to >= from
        })
    }
}
