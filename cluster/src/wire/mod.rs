//! The messages between nodes: CBOR in frames of bounded size (design 5.1).
//!
//! Nodes of two versions talk to each other while they are replaced one by one. So the serialized form
//! stays: where a Rust name has changed, `#[serde(rename)]` preserves the name that earlier versions use on
//! the wire, and types that are sent often are tuples without field names there.

mod config;
mod node;
mod plan;
mod pull;

pub use config::CommittedConfig;
pub use node::{
    DiskStatus, NodeDelta, NodeInfo, NodeStatus, NodeVersion, ProxyObservations, Role,
    ServerObservation, ServerPhase, name_hash,
};
pub use plan::{PlanVersion, TrafficShiftPlan, WarmUp, ZoneShares};
pub use pull::{EndpointListRead, PullRequest, PullResponse};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::fmt;

/// No frame is larger, in bytes; one that claims to be closes the connection. It has room for a
/// configuration and an endpoint list as large as they may be, and for what a response holds besides
/// (docs/CAPACITY.md).
pub const MAX_FRAME_BYTES: usize = 32 << 20;
/// About as many bytes of observations go into one response; the rest comes with later ones.
pub const MAX_OBSERVATION_BYTES: usize = 4 << 20;
/// The name and version of the protocol, for [`Handshake::system`].
pub const SYSTEM: &str = "vanepath/1";

/// The first frame each way. A node of another system or fleet is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    /// [`SYSTEM`].
    pub system: String,
    /// The fleet's name by the settings.
    pub fleet: String,
    /// The node's name.
    pub name: String,
}

/// One request; the variants are named on the wire as in earlier versions.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// A gossip pull.
    Pull(PullRequest),
    /// For the store, which decodes it.
    Store(ByteBuf),
    /// Asks a store for the read index: the highest revision that a majority of stores holds, in a round
    /// that begins after this request (design 5.8).
    #[serde(rename = "Floor")]
    ReadIndex,
}

/// The reply to a request; the variants are named on the wire as in earlier versions.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Request::Pull`].
    #[serde(rename = "News")]
    Pull(PullResponse),
    /// To [`Request::Store`].
    Store(ByteBuf),
    /// This node does not serve such requests, or not now.
    #[serde(rename = "NoDuty")]
    Unsupported,
    /// To [`Request::ReadIndex`]; `None`: the store could not determine it.
    #[serde(rename = "Floor")]
    ReadIndex(Option<u64>),
}

/// Why bytes are not one message of the expected type.
#[derive(Debug)]
pub enum DecodeError {
    /// Not CBOR, cut short, or a value of another type.
    Malformed(ciborium::de::Error<std::io::Error>),
    /// A value, and this many bytes after it.
    TrailingBytes(usize),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
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

/// Writes a value as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to memory does not fail");
    bytes
}

/// Reads exactly one value.
///
/// # Errors
/// [`DecodeError`] where the bytes are not one CBOR value of this type, or more bytes follow it.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let mut rest = bytes;
    let value = ciborium::from_reader(&mut rest).map_err(DecodeError::Malformed)?;
    if rest.is_empty() { Ok(value) } else { Err(DecodeError::TrailingBytes(rest.len())) }
}

/// Converts a struct from and to the tuple of its fields, for types without field names on the wire.
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
use tuple_encoded;
