//! What siblings say to each other: CBOR in bounded frames (design 5.1).

/// No frame is larger; one that claims to be closes the connection. Room for a setup and a platform list
/// as large as they may be, and for what a reply holds besides (docs/CAPACITY.md).
pub const MAX_FRAME_BYTES: usize = 32 << 20;
/// Of details, which may come with a later reply as well, one reply holds about so many bytes.
pub const MAX_OBSERVATION_BYTES: usize = 4 << 20;

#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    Proxy,
    Registry,
    Store,
}

impl From<vanepath_config::settings::Role> for Role {
    fn from(role: vanepath_config::settings::Role) -> Role {
        match role {
            vanepath_config::settings::Role::Proxy => Role::Proxy,
            vanepath_config::settings::Role::Registry => Role::Registry,
            vanepath_config::settings::Role::Store => Role::Store,
        }
    }
}

/// Types that are told often go without field names on the wire.
macro_rules! tuple_encoded {
    ($name:ident { $($field:ident: $kind:ty),* $(,)? }) => {
        impl From<($($kind,)*)> for $name {
            fn from(($($field,)*): ($($kind,)*)) -> $name {
                $name { $($field),* }
            }
        }
        impl From<$name> for ($($kind,)*) {
            fn from(value: $name) -> ($($kind,)*) {
                ($(value.$field,)*)
            }
        }
    };
}

/// Who a daemon is; fixed for one life of it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct NodeInfo {
    pub name: String,
    pub role: Role,
    pub region: String,
    pub zone: String,
    pub address: std::net::SocketAddr,
    #[serde(rename = "sibling_address")]
    pub cluster_address: std::net::SocketAddr,
}

impl vanepath_config::selector::Labelled for NodeInfo {
    fn label(&self, key: &str) -> Option<&str> {
        match key {
            "zone" => Some(&self.zone),
            "region" => Some(&self.region),
            _ => None,
        }
    }
}

/// What a daemon tells all others; small, and told again whenever it changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(
    from = "(bool, bool, u64, bool, bool, Option<DiskStatus>, bool)",
    into = "(bool, bool, u64, bool, bool, Option<DiskStatus>, bool)"
)]
pub struct NodeStatus {
    pub ready: bool,
    pub draining: bool,
    /// The revision of the word in force there.
    pub revision: u64,
    /// Store only: its disk holds nothing yet.
    pub empty_disk: bool,
    /// Registry only: it has heard enough to have the duty of shares.
    pub synced: bool,
    pub disk: Option<DiskStatus>,
    /// Registry only: it hears from more than half of all registries.
    pub hears_majority: bool,
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

/// What a store tells of its disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DiskStatus {
    pub incarnation: u64,
    /// Empty, it may take part in the beginning of a word.
    #[serde(rename = "founds")]
    pub may_bootstrap: bool,
    /// Its seat by the table that it holds.
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
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::IntoStaticStr,
    strum::FromRepr,
)]
#[serde(from = "u8", into = "u8")]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum ServerPhase {
    /// Not heard of yet; gets requests only where no better server is there.
    Unknown,
    /// Just back: gets no more than its slow-start rate.
    #[strum(serialize = "cold")]
    WarmingUp,
    /// The rate doubles step by step.
    #[strum(serialize = "ramping")]
    SlowStart,
    /// Gets requests without a bound of its own.
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

/// What one proxy sees of one server; without field names on the wire, for there are many.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(
    from = "(String, ServerPhase, u32, u32, u32, bool)",
    into = "(String, ServerPhase, u32, u32, u32, bool)"
)]
pub struct ServerObservation {
    pub server: String,
    pub phase: ServerPhase,
    /// How long it has been in that phase.
    pub age_ms: u32,
    /// For how long the proxy has been in touch with it without a gap; 0: it is not.
    pub in_contact_ms: u32,
    /// Thousandths of the server's own capacity in use, as its receipts say.
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

/// What a proxy tells registries alone: the ground for orders and shares (design 7.2).
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ProxyObservations {
    #[serde(rename = "sights")]
    pub servers: Vec<ServerObservation>,
    /// Requests in hand and waiting, by class in the order of the setup.
    #[serde(rename = "in_hand")]
    pub in_flight: Vec<u32>,
    #[serde(rename = "waiting")]
    pub queued: Vec<u32>,
    /// Requests taken in a thousand seconds at the pace of the last few, by service.
    #[serde(rename = "taken")]
    pub request_rates: std::collections::BTreeMap<String, u32>,
}

impl ProxyObservations {
    /// About as many bytes as it takes between siblings, rather more.
    pub fn estimated_bytes(&self) -> usize {
        let sights = self.servers.iter().map(|sight| sight.server.len() + 24).sum::<usize>();
        let taken = self.request_rates.keys().map(|name| name.len() + 8).sum::<usize>();
        sights + taken + 5 * (self.in_flight.len() + self.queued.len()) + 64
    }
}

/// The operator's word: the setup and the emptied zones, as the store accepted them.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CommittedConfig {
    pub revision: u64,
    /// The revision at which the setup's bytes were last changed; 0: there is none yet.
    #[serde(rename = "setup_revision")]
    pub config_revision: u64,
    /// The highest version that a setup was taken under; 0: none.
    #[serde(rename = "setup_version")]
    pub config_version: u64,
    #[serde(with = "serde_bytes")]
    #[serde(rename = "setup")]
    pub document: Vec<u8>,
    #[serde(rename = "emptied")]
    pub drained_zones: std::collections::BTreeSet<String>,
    /// Orders to empty a zone that stand beside its first one (design 6.10).
    #[serde(default, skip_serializing_if = "std::collections::BTreeMap::is_empty")]
    #[serde(rename = "further_orders")]
    pub extra_drain_orders: std::collections::BTreeMap<String, u32>,
}

/// From where to where, in thousandths.
pub type ZoneShares = std::collections::BTreeMap<String, std::collections::BTreeMap<String, u32>>;

/// A server that came back lately, as the fleet's proxies saw it come back; a tuple on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(from = "(u32, bool)", into = "(u32, bool)")]
pub struct WarmUp {
    /// For how long it has been back, in milliseconds.
    pub age_ms: u32,
    /// Its machine refused connections before: it surely was away.
    pub connection_refused: bool,
}

tuple_encoded!(WarmUp { age_ms: u32, connection_refused: bool });

/// The version of a traffic-shift plan: a new leader takes the next epoch and counts from 1 within it. A
/// tuple on the wire.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct PlanVersion {
    pub epoch: u64,
    pub counter: u64,
}

tuple_encoded!(PlanVersion { epoch: u64, counter: u64 });

/// Shares as the one duty holder set them (design 7.4).
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct TrafficShiftPlan {
    pub epoch: u64,
    pub counter: u64,
    #[serde(rename = "holder")]
    pub leader: String,
    /// The word's revision that it was made for.
    pub revision: u64,
    /// For each service, for each zone: where else its callers are asked to go at first, in
    /// thousandths of them. By names, so that it holds through changes of the setup.
    #[serde(rename = "moved")]
    pub shifted: std::collections::BTreeMap<String, ZoneShares>,
    /// Servers that came back lately: for how long (ms) they have been back, and whether their
    /// machines refused connections before. For proxies that were not there to see it.
    #[serde(rename = "cold")]
    pub warming_up: std::collections::BTreeMap<String, WarmUp>,
    /// Servers that nobody can reach: whoever sees one come back knows that it was away.
    #[serde(rename = "away")]
    pub unreachable: std::collections::BTreeSet<String>,
}

impl TrafficShiftPlan {
    pub fn version(&self) -> PlanVersion {
        PlanVersion { epoch: self.epoch, counter: self.counter }
    }
}

/// What is known of one source: (life, counter) rise, `edition` and `detail` likewise within.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(from = "(u64, u64, u64, u64)", into = "(u64, u64, u64, u64)")]
pub struct NodeVersion {
    /// The start's wall clock and a random part: no two lives of a name have the same.
    pub incarnation: u64,
    pub counter: u64,
    pub status_version: u64,
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

type DeltaBare =
    (String, NodeVersion, u32, Option<NodeInfo>, Option<NodeStatus>, Option<ProxyObservations>);

#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "DeltaBare", into = "DeltaBare")]
pub struct NodeDelta {
    pub name: String,
    pub version: NodeVersion,
    pub age_ms: u32,
    /// Absent where the asker's mark shows that it has them.
    pub info: Option<NodeInfo>,
    pub status: Option<NodeStatus>,
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

#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct PullRequest {
    /// Sources by the short hash of their names; `None`: as after the last reply to this asker.
    #[serde(rename = "vector")]
    pub known_versions: Option<Vec<(u32, NodeVersion)>>,
    #[serde(rename = "word")]
    pub config_revision: u64,
    #[serde(rename = "platform")]
    pub endpoint_list_revision: u64,
    #[serde(rename = "plan")]
    pub plan_version: PlanVersion,
    #[serde(rename = "own")]
    pub sender: NodeDelta,
    pub wait_ms: u32,
    #[serde(rename = "wants_detail")]
    pub wants_observations: bool,
    /// The asker goes by what registries say of who is live, and wants no beats (design 5.3).
    #[serde(rename = "light")]
    pub is_leaf: bool,
    /// The digest of the silent ones that it was told of last.
    #[serde(rename = "silent")]
    pub unreachable_digest: u64,
    /// Between registries: how long ago the newest read began that the asker knows of and that found its
    /// list in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "list_age_ms")]
    pub list_read_age_ms: Option<u32>,
}

/// A read of the platform list that found the list of this revision in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(from = "(u64, u32)", into = "(u64, u32)")]
pub struct EndpointListRead {
    pub revision: u64,
    /// How long ago it began.
    pub age_ms: u32,
}

tuple_encoded!(EndpointListRead { revision: u64, age_ms: u32 });

#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct PullResponse {
    #[serde(rename = "deltas")]
    pub nodes: Vec<NodeDelta>,
    #[serde(rename = "word")]
    pub config: Option<CommittedConfig>,
    #[serde(rename = "platform")]
    pub endpoint_list: Option<vanepath_config::endpoint_list::EndpointList>,
    /// Instead of the whole list, where the asker has one that the teller knows.
    #[serde(rename = "platform_delta")]
    pub endpoint_list_delta: Option<vanepath_config::endpoint_list::EndpointListDelta>,
    /// The newest read of the platform list that the teller knows of.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub list_read: Option<EndpointListRead>,
    pub plan: Option<TrafficShiftPlan>,
    /// For a light asker: who is not live as the teller sees it, by short names.
    #[serde(rename = "silent")]
    pub unreachable: Option<Vec<u32>>,
    /// The teller does not know what this asker has: it is to send its vector.
    #[serde(rename = "resend")]
    pub resend_versions: bool,
    /// For an asker that goes by no word yet: the highest revision that the teller knows as in force
    /// with anyone (design 5.8).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "floor")]
    pub read_index: Option<u64>,
}

#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Request {
    Pull(PullRequest),
    /// For the store's own slice, which reads it.
    Store(serde_bytes::ByteBuf),
    /// The highest revision that a majority of stores holds, asked of them from now on (design 5.8).
    #[serde(rename = "Floor")]
    ReadIndex,
}

#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Reply {
    #[serde(rename = "News")]
    Pull(PullResponse),
    Store(serde_bytes::ByteBuf),
    /// This daemon has no such duty.
    #[serde(rename = "NoDuty")]
    Unsupported,
    /// `None`: this store cannot tell.
    #[serde(rename = "Floor")]
    ReadIndex(Option<u64>),
}

/// The first frame each way: a sibling of another fleet, or of another name, is turned away.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Handshake {
    pub system: String,
    pub fleet: String,
    pub name: String,
}

pub const SYSTEM: &str = "vanepath/1";

/// The name of a source in a pull's vector. Two names with one hash would hide one source from
/// some daemons: with a hundred daemons one fleet in a million has such a pair.
pub fn name_hash(name: &str) -> u32 {
    vanepath_config::stable_hash(&["name", name]) as u32
}

pub fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to memory does not fail");
    bytes
}

/// Why bytes are not one message of the expected type.
#[derive(Debug)]
pub enum DecodeError {
    /// Not CBOR, cut short, or a value of another type.
    Malformed(ciborium::de::Error<std::io::Error>),
    /// A value, and this many bytes after it.
    TrailingBytes(usize),
}

impl std::fmt::Display for DecodeError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DecodeError::Malformed(error) => write!(formatter, "malformed message: {error}"),
            DecodeError::TrailingBytes(count) => {
                write!(formatter, "{count} bytes follow the message")
            }
        }
    }
}

impl std::error::Error for DecodeError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            DecodeError::Malformed(error) => Some(error),
            DecodeError::TrailingBytes(_) => None,
        }
    }
}

/// Reads exactly one value.
///
/// # Errors
/// [`DecodeError`] where the bytes are not one CBOR value of this type, or more bytes follow it.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let mut rest = bytes;
    let value = ciborium::from_reader(&mut rest).map_err(DecodeError::Malformed)?;
    if rest.is_empty() { Ok(value) } else { Err(DecodeError::TrailingBytes(rest.len())) }
}
