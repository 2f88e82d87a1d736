//! The messages between nodes: CBOR in frames of bounded size (design 5.1).
//!
//! Nodes of two versions communicate during a rolling upgrade, so the serialized form is stable: where a Rust
//! name has changed, `#[serde(rename)]` preserves the name that earlier versions use on the wire. Types that
//! are sent often are serialized as tuples, without field names.

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
pub use pull::{EndpointListRead, ListReading, PullRequest, PullResponse, RevisionConfirmation};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::fmt;

/// The maximum size of a frame in bytes; a longer length prefix closes the connection. A frame can hold a
/// configuration and an endpoint list of maximum size, and the rest of a response (docs/CAPACITY.md).
pub const MAX_FRAME_BYTES: usize = 32 << 20;
/// The approximate limit on the bytes of observations in one response; the rest is sent in later responses.
pub const MAX_OBSERVATION_BYTES: usize = 4 << 20;
/// The protocol's name and version, the value of [`Handshake::system`].
pub const SYSTEM: &str = "vanepath/1";

/// The first frame in each direction. A node of another system or fleet is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handshake {
    /// [`SYSTEM`].
    pub system: String,
    /// The fleet's name, from the settings.
    pub fleet: String,
    /// The node's name.
    pub name: String,
}

/// A request to another node. Serialized variant names are those of earlier versions.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// A gossip pull.
    Pull(PullRequest),
    /// A request to the store, which decodes it.
    Store(ByteBuf),
    /// Asks a store for the read index: the highest revision that a majority of stores holds, determined in
    /// a round that begins after this request (design 5.8).
    #[serde(rename = "Floor")]
    ReadIndex,
}

/// The reply to a request. Serialized variant names are those of earlier versions.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The reply to [`Request::Pull`].
    #[serde(rename = "News")]
    Pull(PullResponse),
    /// The reply to [`Request::Store`].
    Store(ByteBuf),
    /// This node does not serve this type of request, or cannot serve it now.
    #[serde(rename = "NoDuty")]
    Unsupported,
    /// The reply to [`Request::ReadIndex`]; `None`: the store could not determine the read index.
    #[serde(rename = "Floor")]
    ReadIndex(Option<u64>),
}

/// Why bytes could not be decoded as exactly one message of the expected type.
#[derive(Debug)]
pub enum DecodeError {
    /// The bytes are not CBOR, are truncated, or encode a value of another type.
    Malformed(ciborium::de::Error<std::io::Error>),
    /// This many bytes follow the value.
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

/// Encodes a value as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("CBOR encoding into memory cannot fail");
    bytes
}

/// Decodes exactly one value.
///
/// # Errors
/// [`DecodeError`] if the bytes are not a CBOR value of this type, or if more bytes follow it.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let mut rest = bytes;
    let value = ciborium::from_reader(&mut rest).map_err(DecodeError::Malformed)?;
    if rest.is_empty() { Ok(value) } else { Err(DecodeError::TrailingBytes(rest.len())) }
}

/// Implements conversions between a struct and the tuple of its fields, for types that are serialized
/// without field names.
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
