//! What a soak saw from outside: requests as their clients saw them, what came to servers, and what was done
//! to the fleet when. Times are from the start of the soak.

use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    Lookup,
    Filing,
    Upload,
    Download,
}

impl Kind {
    /// What may run at most once.
    pub fn is_once(self) -> bool {
        matches!(self, Kind::Filing | Kind::Upload)
    }
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer; `verdict` is what the proxy says of it.
    Answered { status: u16, verdict: String, is_right: bool },
    /// The connection ended first.
    Cut,
    /// Nothing came for much longer than the client had given.
    Silence,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub number: String,
    pub kind: Kind,
    /// The proxy that it was sent to.
    pub proxy: usize,
    pub sent_at: Duration,
    pub ended_at: Duration,
    pub end: End,
}

/// A request as it came to a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub number: String,
    pub path: String,
}

/// One life of a server.
#[derive(Clone, Debug)]
pub struct ServerLife {
    pub id: String,
    pub app: String,
    pub zone: String,
    /// When the list showed it as leaving.
    pub leaving_at: Option<Duration>,
    pub arrivals: Vec<Arrival>,
}

/// A span in which something was not as it should be.
#[derive(Clone, Debug, PartialEq)]
pub struct Span {
    pub what: Trouble,
    pub from: Duration,
    pub to: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// Unplanned, at a proxy: killed or standing still.
    Proxy(usize),
    /// The link towards a proxy is in trouble: it may hear of nothing.
    ProxyLink(usize),
    /// At a core machine, planned or not.
    Core,
    /// At a server.
    Server,
    /// The platform's list is not to be had.
    Platform,
}

/// A zone that was ordered to be empty: from the acknowledgement to the moment at which its return was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Emptied {
    pub zone: String,
    pub from: Duration,
    pub to: Duration,
}

/// A configuration that was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledged {
    pub revision: u64,
    pub at: Duration,
}

/// What a daemon told of its revision, asked then.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub daemon: String,
    pub asked_at: Duration,
    pub revision: u64,
}

/// What a process takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    pub memory_kb: u64,
    pub open_files: u64,
    pub threads: u64,
}

/// The same process in the calm before the troubles and after them.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageOf {
    pub daemon: String,
    pub before: Usage,
    pub after: Usage,
}

/// All that one soak saw.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    pub requests: Vec<Request>,
    pub servers: Vec<ServerLife>,
    /// How often each request ran.
    pub runs: std::collections::HashMap<String, u32>,
    pub spans: Vec<Span>,
    pub emptied: Vec<Emptied>,
    pub acknowledged: Vec<Acknowledged>,
    /// By proxies, of what is in force there.
    pub told: Vec<Told>,
    /// By registries, of the configuration that they read out.
    pub reads: Vec<Told>,
    pub usage: Vec<UsageOf>,
    /// When all was calm and ready again after the last trouble; `None`: not within the bound.
    pub calm_at: Option<Duration>,
    pub last_trouble_at: Duration,
    pub signals: usize,
    pub changes: usize,
    pub processes: usize,
}

impl Observed {
    /// Whether something of that sort was wrong at any moment of a span.
    pub fn is_troubled(
        &self,
        from: Duration,
        to: Duration,
        is_meant: impl Fn(&Trouble) -> bool,
    ) -> bool {
        self.spans.iter().any(|span| is_meant(&span.what) && span.from <= to && span.to >= from)
    }
}
