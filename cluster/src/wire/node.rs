//! What a node reports about itself: its versioned identity, status and observations.

use super::tuple_encoded;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use vanepath_config::selector::Labelled;
use vanepath_config::{settings, stable_hash};

/// The role of a node, which is the program that it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Forwards requests.
    Proxy,
    /// Serves the operators' API, discovers endpoints and steers clients.
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

/// The identity of a node, constant during one incarnation. Serialized field names are those of earlier
/// versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// The node's name, unique in the fleet.
    pub name: String,
    /// The node's role.
    pub role: Role,
    /// The region of its zone.
    pub region: String,
    /// The zone that the node runs in.
    pub zone: String,
    /// The address at which it serves HTTP.
    pub address: SocketAddr,
    /// The address at which it serves other nodes.
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

/// The part of a node's state that is sent to all other nodes, without delay when it changes. Serialized as
/// a tuple.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "(bool, bool, u64, bool, bool, Option<DiskStatus>, bool)",
    into = "(bool, bool, u64, bool, bool, Option<DiskStatus>, bool)"
)]
pub struct NodeStatus {
    /// It accepts work. A draining proxy stays ready for as long as it accepts clients.
    pub ready: bool,
    /// It is shutting down gracefully: new work should go to other nodes.
    pub draining: bool,
    /// The revision of its active configuration; 0: none.
    pub revision: u64,
    /// Stores only: its disk holds no data yet.
    pub empty_disk: bool,
    /// It may be the leader of its role: it has received the state of enough nodes since it started.
    pub synced: bool,
    /// Stores only: the state of its disk.
    pub disk: Option<DiskStatus>,
    /// Registries only: it receives replies from more than half of all registries.
    pub hears_majority: bool,
}

impl NodeStatus {
    /// Whether it accepts new work and is not shutting down.
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

/// The state of a store's disk. Serialized field names are those of earlier versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskStatus {
    /// A random number drawn when the disk was initialized.
    pub incarnation: u64,
    /// The disk is empty, and the store may take part in the bootstrap of the fleet.
    #[serde(rename = "founds")]
    pub may_bootstrap: bool,
    /// The store's slot in the member table that it holds; `None`: it is not a member.
    #[serde(rename = "seat")]
    pub slot: Option<u8>,
}

/// The health of a server as observed by one proxy; serialized as a number (design 8.6).
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
    /// Not known yet; selected only if no server in a better phase is available.
    Unknown,
    /// Just returned; receives requests at its slow-start rate at most.
    #[strum(serialize = "cold")]
    WarmingUp,
    /// Its permitted request rate doubles step by step.
    #[strum(serialize = "ramping")]
    SlowStart,
    /// Receives requests without a rate limit of its own.
    #[strum(serialize = "live")]
    Healthy,
    /// Failed recently; receives no new requests while other servers are available.
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

/// One proxy's observation of one server. Serialized as a tuple, because many are sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(
    from = "(String, ServerPhase, u32, u32, u32, bool)",
    into = "(String, ServerPhase, u32, u32, u32, bool)"
)]
pub struct ServerObservation {
    /// The server's id in the endpoint list.
    pub server: String,
    /// The server's health.
    pub phase: ServerPhase,
    /// The time for which it has been in this phase, in milliseconds.
    pub age_ms: u32,
    /// The time for which the proxy has been in contact with it without interruption, in milliseconds; 0: it
    /// is not in contact.
    pub in_contact_ms: u32,
    /// The utilization from the server's load reports, in thousandths of its capacity.
    pub load_milli: u32,
    /// The server's address refused connections while it was unreachable.
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

/// What a proxy reports to registries only, as the input of the traffic-shift plan (design 7.2). Serialized
/// field names are those of earlier versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProxyObservations {
    /// One observation for each server that the proxy has something to report about.
    #[serde(rename = "sights")]
    pub servers: Vec<ServerObservation>,
    /// The number of requests in flight for each class, in the order of the configuration.
    #[serde(rename = "in_hand")]
    pub in_flight: Vec<u32>,
    /// The number of queued requests for each class, in the order of the configuration.
    #[serde(rename = "waiting")]
    pub queued: Vec<u32>,
    /// By service: the rate of accepted requests over the last few seconds, in requests per 1000 seconds.
    #[serde(rename = "taken")]
    pub request_rates: BTreeMap<String, u32>,
}

impl ProxyObservations {
    /// A conservative (high) estimate of the serialized size in bytes.
    pub fn estimated_bytes(&self) -> usize {
        let servers = self.servers.iter().map(|server| server.server.len() + 24).sum::<usize>();
        let rates = self.request_rates.keys().map(|name| name.len() + 8).sum::<usize>();
        servers + rates + 5 * (self.in_flight.len() + self.queued.len()) + 64
    }
}

/// The version of one node's entry; serialized as a tuple. `counter` is the node's heartbeat; it and the two
/// other versions increase within an incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64, u64)", into = "(u64, u64, u64, u64)")]
pub struct NodeVersion {
    /// Identifies one start of the node: its wall-clock time and random bits, so that no two starts under a
    /// name have the same incarnation.
    pub incarnation: u64,
    /// The heartbeat counter.
    pub counter: u64,
    /// The version of the status.
    pub status_version: u64,
    /// The version of the observations.
    pub observations_version: u64,
}

tuple_encoded!(NodeVersion {
    incarnation: u64,
    counter: u64,
    status_version: u64,
    observations_version: u64
});

impl NodeVersion {
    /// Whether this version's heartbeat is later than the other's.
    pub fn is_newer_than(&self, other: &NodeVersion) -> bool {
        (self.incarnation, self.counter) > (other.incarnation, other.counter)
    }
}

type NodeDeltaTuple =
    (String, NodeVersion, u32, Option<NodeInfo>, Option<NodeStatus>, Option<ProxyObservations>);

/// One node's entry without the parts that the receiver already has. Serialized as a tuple.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "NodeDeltaTuple", into = "NodeDeltaTuple")]
pub struct NodeDelta {
    /// The node's name.
    pub name: String,
    /// The version of the entry.
    pub version: NodeVersion,
    /// The time since the node raised its heartbeat, in milliseconds.
    pub age_ms: u32,
    /// The identity; `None`: the receiver already has it.
    pub info: Option<NodeInfo>,
    /// The status; `None`: the receiver already has it.
    pub status: Option<NodeStatus>,
    /// The observations; `None`: the receiver already has them, or is not sent any.
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

/// The hash that identifies a node's name in version vectors. Two names with the same hash would hide one of
/// the nodes from some others: among fleets of a hundred nodes, one in a million has such a collision.
pub fn name_hash(name: &str) -> u32 {
    stable_hash(&["name", name]) as u32
}
