//! The gossip pull (design 5.3).

use super::{
    CommittedConfig, NodeDelta, NodeVersion, PlanVersion, TrafficShiftPlan, tuple_encoded,
};
use serde::{Deserialize, Serialize};
use vanepath_config::endpoint_list::{EndpointList, EndpointListDelta};

/// A pull: what the requester has, and its own entry. Fields are named on the wire as in earlier versions.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PullRequest {
    /// The version vector, by [`super::name_hash`]; `None`: as after the last response to this requester.
    #[serde(rename = "vector")]
    pub known_versions: Option<Vec<(u32, NodeVersion)>>,
    /// The revision of the committed configuration that it has.
    #[serde(rename = "word")]
    pub config_revision: u64,
    /// The revision of the endpoint list that it has; 0: it needs the full list.
    #[serde(rename = "platform")]
    pub endpoint_list_revision: u64,
    /// The version of the traffic-shift plan that it has.
    #[serde(rename = "plan")]
    pub plan_version: PlanVersion,
    /// The requester's own entry.
    #[serde(rename = "own")]
    pub sender: NodeDelta,
    /// How long the request may wait for something urgent, in milliseconds (long polling).
    pub wait_ms: u32,
    /// The requester collects the observations of proxies.
    #[serde(rename = "wants_detail")]
    pub wants_observations: bool,
    /// The requester is a leaf: it relies on registries for who is unreachable, and needs no
    /// heartbeats (design 5.3).
    #[serde(rename = "light")]
    pub is_leaf: bool,
    /// The digest of the unreachable nodes that were reported to the requester last.
    #[serde(rename = "silent")]
    pub unreachable_digest: u64,
    /// Between registries: how long ago the newest read began that the requester knows of and that found
    /// its endpoint list to be current, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "list_age_ms")]
    pub list_read_age_ms: Option<u32>,
}

/// A read of the endpoint list that found this revision to be current; a tuple on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u32)", into = "(u64, u32)")]
pub struct EndpointListRead {
    /// The revision of the list.
    pub revision: u64,
    /// How long ago the read began, in milliseconds.
    pub age_ms: u32,
}

tuple_encoded!(EndpointListRead { revision: u64, age_ms: u32 });

/// What the requester of a pull lacks. Fields are named on the wire as in earlier versions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PullResponse {
    /// The entries of nodes.
    #[serde(rename = "deltas")]
    pub nodes: Vec<NodeDelta>,
    /// A newer committed configuration.
    #[serde(rename = "word")]
    pub config: Option<CommittedConfig>,
    /// A newer endpoint list.
    #[serde(rename = "platform")]
    pub endpoint_list: Option<EndpointList>,
    /// Instead of the full list, where the sender knows the one that the requester has.
    #[serde(rename = "platform_delta")]
    pub endpoint_list_delta: Option<EndpointListDelta>,
    /// The newest read of the endpoint list that the sender knows of.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub list_read: Option<EndpointListRead>,
    /// A newer traffic-shift plan.
    pub plan: Option<TrafficShiftPlan>,
    /// For a leaf: the unreachable nodes in the eyes of the sender, by sorted [`super::name_hash`].
    #[serde(rename = "silent")]
    pub unreachable: Option<Vec<u32>>,
    /// The sender does not know which versions the requester has: it has to send its version vector.
    #[serde(rename = "resend")]
    pub resend_versions: bool,
    /// For a requester without a read index: the highest revision that the sender knows as active
    /// anywhere (design 5.8).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "floor")]
    pub read_index: Option<u64>,
}
