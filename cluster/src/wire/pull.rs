//! The messages of a gossip pull (design 5.3).

use super::{
    CommittedConfig, NodeDelta, NodeVersion, PlanVersion, TrafficShiftPlan, tuple_encoded,
};
use serde::{Deserialize, Serialize};
use vanepath_config::endpoint_list::{EndpointList, EndpointListDelta};

/// A pull: the versions that the requester has, and its own entry. Serialized field names are those of
/// earlier versions.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullRequest {
    /// The version vector, keyed by [`super::name_hash`]; `None`: unchanged since the last response to this
    /// requester.
    #[serde(rename = "vector")]
    pub known_versions: Option<Vec<(u32, NodeVersion)>>,
    /// The revision of the requester's committed configuration.
    #[serde(rename = "word")]
    pub config_revision: u64,
    /// The revision of the requester's endpoint list; 0: it needs the full list.
    #[serde(rename = "platform")]
    pub endpoint_list_revision: u64,
    /// The version of the requester's traffic-shift plan.
    #[serde(rename = "plan")]
    pub plan_version: PlanVersion,
    /// The requester's own entry.
    #[serde(rename = "own")]
    pub sender: NodeDelta,
    /// The time for which the request may wait for an urgent change, in milliseconds (long polling).
    pub wait_ms: u32,
    /// Whether the requester collects the observations of proxies.
    #[serde(rename = "wants_detail")]
    pub wants_observations: bool,
    /// Whether the requester is a leaf: it learns from registries which nodes are unreachable, and needs no
    /// heartbeats (design 5.3).
    #[serde(rename = "light")]
    pub is_leaf: bool,
    /// The digest of the list of unreachable nodes that the requester was last sent.
    #[serde(rename = "silent")]
    pub unreachable_digest: u64,
    /// Between registries: the time since the start of the latest read known to the requester that returned
    /// its current endpoint list, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "list_age_ms")]
    pub list_read_age_ms: Option<u32>,
}

/// How well a registry reads the platform's endpoint list, as it tells the other registries. The better one
/// is the lesser one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ListReading {
    /// Its last read succeeded; about how long its reads take, in milliseconds.
    #[serde(rename = "ms")]
    Able(u32),
    /// Its last read failed.
    #[serde(rename = "failed")]
    Unable,
}

impl std::fmt::Display for ListReading {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ListReading::Able(ms) => write!(formatter, "able to read in {ms} ms"),
            ListReading::Unable => formatter.write_str("unable to read"),
        }
    }
}

/// A read of the platform that returned the endpoint list of this revision. Serialized as a tuple.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u32)", into = "(u64, u32)")]
pub struct EndpointListRead {
    /// The revision of the list.
    pub revision: u64,
    /// The time since the read began, in milliseconds.
    pub age_ms: u32,
}

tuple_encoded!(EndpointListRead { revision: u64, age_ms: u32 });

/// A read of the committed revision from a quorum of stores (design 5.9). Serialized as a tuple.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, i64)", into = "(u64, i64)")]
pub struct RevisionConfirmation {
    /// The revision that the read showed: nothing newer was committed before the read began.
    pub revision: u64,
    /// The time from the start of the read until the sender received the pull, in milliseconds; negative if
    /// the read began afterwards.
    pub age_ms: i64,
}

tuple_encoded!(RevisionConfirmation { revision: u64, age_ms: i64 });

/// The response to a pull: the state that the requester does not have. Serialized field names are those of
/// earlier versions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PullResponse {
    /// Entries of nodes that are newer than the requester's.
    #[serde(rename = "deltas")]
    pub nodes: Vec<NodeDelta>,
    /// A newer committed configuration.
    #[serde(rename = "word")]
    pub config: Option<CommittedConfig>,
    /// A newer endpoint list.
    #[serde(rename = "platform")]
    pub endpoint_list: Option<EndpointList>,
    /// Sent instead of the full list if the sender still has the requester's list as a base.
    #[serde(rename = "platform_delta")]
    pub endpoint_list_delta: Option<EndpointListDelta>,
    /// The latest read of the sender's current endpoint list that the sender knows of.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub list_read: Option<EndpointListRead>,
    /// From a registry to a registry: how well the sender reads the endpoint list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub list_reading: Option<ListReading>,
    /// A newer traffic-shift plan.
    pub plan: Option<TrafficShiftPlan>,
    /// For a leaf: the nodes that the sender considers unreachable, as sorted [`super::name_hash`] values.
    #[serde(rename = "silent")]
    pub unreachable: Option<Vec<u32>>,
    /// The sender does not know which versions the requester has: the requester must send its version vector.
    #[serde(rename = "resend")]
    pub resend_versions: bool,
    /// For a requester without a read index: the highest revision that the sender knows to be active on any
    /// node (design 5.8).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "floor")]
    pub read_index: Option<u64>,
    /// The latest quorum read of the committed revision that the sender knows of.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub confirmation: Option<RevisionConfirmation>,
}
