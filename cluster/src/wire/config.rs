//! The committed configuration.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The operator's configuration and the drained zones, as a majority of stores accepted them. Fields are
/// named on the wire as in earlier versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedConfig {
    /// Rises with each accepted change; 0: there is none yet.
    pub revision: u64,
    /// The revision at which the document last changed; 0: there is none yet.
    #[serde(rename = "setup_revision")]
    pub config_revision: u64,
    /// The highest version that a document was accepted under (design 6.9); 0: none.
    #[serde(rename = "setup_version")]
    pub config_version: u64,
    /// The configuration document, in the operator's format.
    #[serde(with = "serde_bytes")]
    #[serde(rename = "setup")]
    pub document: Vec<u8>,
    /// Zones that get no new requests.
    #[serde(rename = "emptied")]
    pub drained_zones: BTreeSet<String>,
    /// For each drained zone the number of drain orders beside its first one (design 6.10).
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[serde(rename = "further_orders")]
    pub extra_drain_orders: BTreeMap<String, u32>,
}
