//! What a soak observed from outside: requests as their clients saw them, what servers received, and what was
//! done to the fleet when. Times are from the start of the soak.

use std::collections::{HashMap, HashSet};
use std::fmt::{Display, Formatter};
use std::time::Duration;

/// Kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestKind {
    /// A small response; repeatable.
    Lookup,
    /// Executed at most once.
    Filing,
    /// A filing with a large body.
    Upload,
    /// A large response; repeatable.
    Download,
}

impl RequestKind {
    /// Whether the request may be executed at most once.
    pub fn is_at_most_once(self) -> bool {
        matches!(self, RequestKind::Filing | RequestKind::Upload)
    }
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A complete response.
    Response {
        /// HTTP status code.
        status: u16,
        /// Execution status that the proxy stated; empty if none.
        execution: String,
        /// Whether the body is the response to this request, and complete.
        is_correct: bool,
    },
    /// The connection closed first.
    ConnectionClosed,
    /// Nothing was received for much longer than the deadline of the request.
    Timeout,
}

impl Display for RequestEnd {
    /// The form in which violations show it.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            RequestEnd::Response { status, execution, is_correct } => write!(
                formatter,
                "Answered {{ status: {status}, verdict: {execution:?}, is_right: {is_correct} }}"
            ),
            RequestEnd::ConnectionClosed => formatter.write_str("Cut"),
            RequestEnd::Timeout => formatter.write_str("Silence"),
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
}

/// A server from its start at an address to its end there.
#[derive(Clone, Debug)]
pub struct ServerIncarnation {
    /// Its identifier.
    pub id: String,
    /// Its service, by the label `app`.
    pub app: String,
    /// Its zone.
    pub zone: String,
    /// When the endpoint list showed it as draining.
    pub draining_since: Option<Duration>,
    /// Requests that it received.
    pub arrivals: Vec<Arrival>,
}

/// How long a fault lasted.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultInterval {
    /// The fault.
    pub fault: Fault,
    /// When it began.
    pub from: Duration,
    /// When it ended.
    pub to: Duration,
}

/// Where a fault is.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// An unplanned fault of the proxy with this index: killed or suspended.
    Proxy(usize),
    /// A fault of the link towards the proxy with this index, which may get no updates.
    ProxyLink(usize),
    /// A fault of a core machine, planned or not.
    Core,
    /// A fault of a server.
    Server,
    /// The endpoint list cannot be read from the platform.
    Platform,
}

/// A drained zone: from the acknowledgement of the order to the first request to restore the zone.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainedZone {
    /// Name of the zone.
    pub zone: String,
    /// When the order was acknowledged.
    pub from: Duration,
    /// When the restoration was requested; [`Duration::MAX`] before.
    pub to: Duration,
}

/// A configuration that was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcknowledgedConfig {
    /// Its revision.
    pub revision: u64,
    /// When it was acknowledged.
    pub at: Duration,
}

/// A revision that a daemon stated.
#[derive(Clone, Debug, PartialEq)]
pub struct RevisionReading {
    /// Name of the daemon.
    pub daemon: String,
    /// When the request was sent.
    pub requested_at: Duration,
    /// The revision; 0 if the daemon has none yet.
    pub revision: u64,
}

/// Resources of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Resident memory.
    pub memory_kb: u64,
    /// Open file descriptors.
    pub open_files: u64,
    /// Threads.
    pub threads: u64,
}

/// Resources of the same process before the first fault and after the last one.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageComparison {
    /// Name of the daemon.
    pub daemon: String,
    /// Before the first fault.
    pub before: Usage,
    /// After the last fault.
    pub after: Usage,
}

/// All that one soak observed.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Requests that have ended.
    pub requests: Vec<Request>,
    /// All servers.
    pub servers: Vec<ServerIncarnation>,
    /// How often each request was executed.
    pub execution_counts: HashMap<String, u32>,
    /// Requests that were cut off at a server that worked on them.
    pub aborted_requests: HashSet<String>,
    /// All faults.
    pub fault_intervals: Vec<FaultInterval>,
    /// All drained zones.
    pub drained_zones: Vec<DrainedZone>,
    /// All acknowledged configurations.
    pub acknowledged: Vec<AcknowledgedConfig>,
    /// The active revisions that proxies stated.
    pub proxy_revisions: Vec<RevisionReading>,
    /// The revisions of the configurations that registries returned.
    pub config_reads: Vec<RevisionReading>,
    /// Resources of the processes that ran all the time.
    pub usage: Vec<UsageComparison>,
    /// When the fleet was stable again after the last fault; `None` if it was not in time.
    pub stable_at: Option<Duration>,
    /// When the last fault ended.
    pub last_fault_at: Duration,
    /// Signals sent to daemons.
    pub signals: usize,
    /// Orders of the operator that were acknowledged.
    pub changes: usize,
    /// Processes of the fleet.
    pub processes: usize,
}

impl Observations {
    /// Whether any fault for which `is_relevant` holds lasted at any moment from `from` to `to`.
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
