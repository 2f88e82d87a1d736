//! What a node reports of itself: its identity, status and observations, under a version.

use super::tuple_encoded;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use vanepath_config::selector::Labelled;
use vanepath_config::{settings, stable_hash};

/// What a node runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Forwards requests.
    Proxy,
    /// Takes operators' calls, discovers endpoints and steers clients.
    Registry,
    /// Stores the committed configuration.
    Store,
}

impl From<settings::Role> for Role {
    fn from(role: settings::Role) -> Role {
        match role {
            settings::Role::Proxy => Role::Proxy,
            settings::Role::Registry => Role::Registry,
            settings::Role::Store => Role::Store,
        }
    }
}

/// Who a node is; fixed for one incarnation of it. Fields are named on the wire as in earlier versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Unique in the fleet.
    pub name: String,
    /// What it runs.
    pub role: Role,
    /// The region of its zone.
    pub region: String,
    /// Where it runs.
    pub zone: String,
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// Where it serves other nodes.
    #[serde(rename = "sibling_address")]
    pub cluster_address: SocketAddr,
}

impl Labelled for NodeInfo {
    fn label(&self, key: &str) -> Option<&str> {
        match key {
            "zone" => Some(&self.zone),
            "region" => Some(&self.region),
            _ => None,
        }
    }
}

/// What all others have to know of a node, and at once when it changes; a tuple on the wire.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "(bool, bool, u64, bool, bool, Option<DiskStatus>, bool)",
    into = "(bool, bool, u64, bool, bool, Option<DiskStatus>, bool)"
)]
pub struct NodeStatus {
    /// It takes work. A proxy that drains does so for as long as it accepts clients.
    pub ready: bool,
    /// It shuts down gracefully: new work is better given to others.
    pub draining: bool,
    /// The revision of the configuration in force there; 0: none.
    pub revision: u64,
    /// Store only: its disk holds nothing yet.
    pub empty_disk: bool,
    /// It may be the leader of its role: it has heard from enough nodes since it started.
    pub synced: bool,
    /// Store only.
    pub disk: Option<DiskStatus>,
    /// Registry only: it hears from more than half of all registries.
    pub hears_majority: bool,
}

impl NodeStatus {
    /// Whether it takes new work and is not about to stop.
    pub fn is_available(&self) -> bool {
        self.ready && !self.draining
    }
}

tuple_encoded!(NodeStatus {
    ready: bool,
    draining: bool,
    revision: u64,
    empty_disk: bool,
    synced: bool,
    disk: Option<DiskStatus>,
    hears_majority: bool,
});

/// A store's disk. Fields are named on the wire as in earlier versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskStatus {
    /// Drawn when the disk was empty.
    pub incarnation: u64,
    /// It is empty and may take part in the bootstrap of the fleet.
    #[serde(rename = "founds")]
    pub may_bootstrap: bool,
    /// Its slot in the member table that it holds; `None`: it is not a member.
    #[serde(rename = "seat")]
    pub slot: Option<u8>,
}

/// The health of a server as one proxy sees it; a number on the wire (design 8.6).
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::IntoStaticStr,
    strum::FromRepr,
)]
#[serde(from = "u8", into = "u8")]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum ServerPhase {
    /// Not known yet; gets requests only where no better server is there.
    Unknown,
    /// Just back: gets no more than its slow-start rate.
    #[strum(serialize = "cold")]
    WarmingUp,
    /// Its rate doubles step by step.
    #[strum(serialize = "ramping")]
    SlowStart,
    /// Gets requests without a limit of its own.
    #[strum(serialize = "live")]
    Healthy,
    /// Failed lately; gets no new requests while others are there.
    Suspect,
}

impl From<u8> for ServerPhase {
    fn from(number: u8) -> ServerPhase {
        ServerPhase::from_repr(number).unwrap_or(ServerPhase::Unknown)
    }
}

impl From<ServerPhase> for u8 {
    fn from(phase: ServerPhase) -> u8 {
        phase as u8
    }
}

/// One proxy's observation of one server; a tuple on the wire, for there are many.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(
    from = "(String, ServerPhase, u32, u32, u32, bool)",
    into = "(String, ServerPhase, u32, u32, u32, bool)"
)]
pub struct ServerObservation {
    /// The server's id in the endpoint list.
    pub server: String,
    /// Its health.
    pub phase: ServerPhase,
    /// How long it has been in that phase, in milliseconds.
    pub age_ms: u32,
    /// For how long the proxy has been in contact with it without a gap, in milliseconds; 0: it is not.
    pub in_contact_ms: u32,
    /// Thousandths of the server's own capacity in use, by its load reports.
    pub load_milli: u32,
    /// The server's machine refused connections while it was away.
    pub connection_refused: bool,
}

tuple_encoded!(ServerObservation {
    server: String,
    phase: ServerPhase,
    age_ms: u32,
    in_contact_ms: u32,
    load_milli: u32,
    connection_refused: bool,
});

/// What a proxy reports to registries alone, as the basis of the traffic-shift plan (design 7.2). Fields are
/// named on the wire as in earlier versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProxyObservations {
    /// One for each server that it has something to report of.
    #[serde(rename = "sights")]
    pub servers: Vec<ServerObservation>,
    /// Requests in flight, by class in the order of the configuration.
    #[serde(rename = "in_hand")]
    pub in_flight: Vec<u32>,
    /// Requests in queues, likewise.
    #[serde(rename = "waiting")]
    pub queued: Vec<u32>,
    /// Requests accepted per thousand seconds, at the rate of the last few seconds, by service.
    #[serde(rename = "taken")]
    pub request_rates: BTreeMap<String, u32>,
}

impl ProxyObservations {
    /// Its size on the wire in bytes, estimated rather too high.
    pub fn estimated_bytes(&self) -> usize {
        let servers = self.servers.iter().map(|server| server.server.len() + 24).sum::<usize>();
        let rates = self.request_rates.keys().map(|name| name.len() + 8).sum::<usize>();
        servers + rates + 5 * (self.in_flight.len() + self.queued.len()) + 64
    }
}

/// The version of everything that is known of one node; a tuple on the wire. `counter` rises within an
/// incarnation and is the node's heartbeat; the other two rise within the incarnation as well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64, u64)", into = "(u64, u64, u64, u64)")]
pub struct NodeVersion {
    /// One for each start: its wall-clock time and a random part, so that no two starts of a name have
    /// the same.
    pub incarnation: u64,
    /// The heartbeat.
    pub counter: u64,
    /// Of the status.
    pub status_version: u64,
    /// Of the observations.
    pub observations_version: u64,
}

tuple_encoded!(NodeVersion {
    incarnation: u64,
    counter: u64,
    status_version: u64,
    observations_version: u64
});

impl NodeVersion {
    /// Whether this version's heartbeat was raised later than the other's.
    pub fn is_newer_than(&self, other: &NodeVersion) -> bool {
        (self.incarnation, self.counter) > (other.incarnation, other.counter)
    }
}

type NodeDeltaTuple =
    (String, NodeVersion, u32, Option<NodeInfo>, Option<NodeStatus>, Option<ProxyObservations>);

/// One node's entry without the parts that the receiver has; a tuple on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "NodeDeltaTuple", into = "NodeDeltaTuple")]
pub struct NodeDelta {
    /// The node's name.
    pub name: String,
    /// The version of all that follows.
    pub version: NodeVersion,
    /// How long ago the node raised its heartbeat, in milliseconds.
    pub age_ms: u32,
    /// `None`: the receiver has it.
    pub info: Option<NodeInfo>,
    /// `None`: the receiver has it.
    pub status: Option<NodeStatus>,
    /// `None`: the receiver has them, or does not get them.
    pub observations: Option<ProxyObservations>,
}

tuple_encoded!(NodeDelta {
    name: String,
    version: NodeVersion,
    age_ms: u32,
    info: Option<NodeInfo>,
    status: Option<NodeStatus>,
    observations: Option<ProxyObservations>,
});

/// The hash that stands for a node's name in version vectors. Two names with one hash would hide one node
/// from some others: with a hundred nodes one fleet in a million has such a pair.
pub fn name_hash(name: &str) -> u32 {
    stable_hash(&["name", name]) as u32
}
