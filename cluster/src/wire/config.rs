//! The committed configuration.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The operator's configuration and the drained zones, as accepted by a majority of stores. Serialized
/// field names are those of earlier versions.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedConfig {
    /// Increases with each accepted change; 0: nothing has been accepted yet.
    pub revision: u64,
    /// The revision at which the document last changed; 0: there is no document yet.
    #[serde(rename = "setup_revision")]
    pub config_revision: u64,
    /// The highest version under which a document was accepted (design 6.9); 0: none.
    #[serde(rename = "setup_version")]
    pub config_version: u64,
    /// The configuration document, in the operator's format.
    #[serde(with = "serde_bytes")]
    #[serde(rename = "setup")]
    pub document: Vec<u8>,
    /// Zones that receive no new requests.
    #[serde(rename = "emptied")]
    pub drained_zones: BTreeSet<String>,
    /// For each drained zone, the number of drain orders in addition to the first one (design 6.10).
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[serde(rename = "further_orders")]
    pub extra_drain_orders: BTreeMap<String, u32>,
}

/// Without the document, which contains API keys.
impl fmt::Debug for CommittedConfig {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("CommittedConfig")
            .field("revision", &self.revision)
            .field("config_revision", &self.config_revision)
            .field("config_version", &self.config_version)
            .field("document_bytes", &self.document.len())
            .field("drained_zones", &self.drained_zones)
            .field("extra_drain_orders", &self.extra_drain_orders)
            .finish()
    }
}
