//! The cluster view: a consistent snapshot of the gossip state that a program acts on, replaced as a whole
//! when it changes.

use crate::gossip::Gossip;
use crate::read_index::EstablishedReadIndex;
use crate::wire::{CommittedConfig, ListReading, NodeInfo, NodeStatus, Role, TrafficShiftPlan};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use vanepath_config::endpoint_list::EndpointList;
use vanepath_config::model::Config;
use vanepath_config::wire_format::SelectedFormat;

/// The state of the cluster as known to this node. Readers load a whole snapshot (read-copy-update).
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// The newest known committed configuration, as it is stored.
    pub committed: Arc<CommittedConfig>,
    /// The parsed configuration.
    pub config: Arc<Config>,
    /// The revision of the document that `config` was parsed from. It stays behind that of `committed` if this
    /// version of the program cannot parse the committed document.
    pub parsed_config_revision: u64,
    /// The current endpoint list.
    pub endpoints: Arc<EndpointList>,
    /// When the latest read that returned this list began.
    pub endpoint_list_read_at: Option<Duration>,
    /// The highest revision of an endpoint list that any node reported.
    pub highest_endpoint_list_revision: u64,
    /// At a registry: how well the other registries read the endpoint list, by name.
    pub list_readings: BTreeMap<String, ListReading>,
    /// The newest traffic-shift plan.
    pub plan: Arc<TrafficShiftPlan>,
    /// All live nodes, this one first.
    pub live: Vec<(NodeInfo, NodeStatus)>,
    /// Nodes that are no longer live, in their last known state: dead, or cut off from this node.
    pub unreachable: Vec<(NodeInfo, NodeStatus)>,
    /// Whether the state is current and not older than what an earlier incarnation applied.
    pub is_fresh: bool,
    /// The read index of this incarnation (design 5.8); `None`: it is not established, and no configuration
    /// is active yet.
    pub read_index: Option<EstablishedReadIndex>,
    /// The revision that must be reached to establish the read index, by what was reported so far.
    pub required_revision: Option<u64>,
    /// Whether the read index was not established in time: requests are rejected at once (design 5.8).
    pub is_stalled: bool,
    /// The highest revision that each name reported as active, across its incarnations.
    pub highest_active_revisions: Arc<HashMap<String, u64>>,
    /// Whether no pull was answered recently ([`Gossip::is_isolated`]).
    pub is_isolated: bool,
    /// Whether others may have newer state ([`Gossip::is_partitioned`]).
    pub is_partitioned: bool,
    /// Whether this registry has the observations of all proxies (design 5.3).
    pub has_observations: bool,
    /// The format of the operator's configuration documents.
    pub wire_format: SelectedFormat,
}

impl ClusterView {
    /// The view of the current gossip state, and the log lines for the changes since `previous`.
    pub fn from_gossip(
        gossip: &Gossip,
        previous: &ClusterView,
        now: Duration,
    ) -> (ClusterView, Vec<String>) {
        let mut log_lines = Vec::new();
        let (config, parsed_config_revision) =
            previous.updated_config(&gossip.committed, &mut log_lines);
        let live = clone_nodes(gossip.live(now));
        log_membership_changes(&previous.live, &live, &mut log_lines);
        previous.log_read_index_changes(gossip, now, &mut log_lines);
        previous.log_drained_zone_changes(gossip, &mut log_lines);
        let highest_active_revisions =
            if *previous.highest_active_revisions == *gossip.highest_active_revisions() {
                previous.highest_active_revisions.clone()
            } else {
                Arc::new(gossip.highest_active_revisions().clone())
            };
        let view = ClusterView {
            committed: gossip.committed.clone(),
            config,
            parsed_config_revision,
            endpoints: gossip.endpoints.current().clone(),
            endpoint_list_read_at: gossip.endpoints.read_at(),
            highest_endpoint_list_revision: gossip.endpoints.highest_revision(),
            list_readings: gossip.list_readings(),
            plan: gossip.plan.clone(),
            live,
            unreachable: clone_nodes(gossip.unreachable(now)),
            is_fresh: is_fresh(gossip, now),
            read_index: gossip.read_index().established().cloned(),
            required_revision: gossip.read_index().required(),
            is_stalled: gossip.is_stalled(now),
            highest_active_revisions,
            is_isolated: gossip.is_isolated(now),
            is_partitioned: gossip.is_partitioned(now),
            has_observations: gossip.has_observations(now),
            wire_format: previous.wire_format,
        };
        (view, log_lines)
    }

    /// Whether the state that changes without an [`Effect::ViewChanged`](crate::gossip::Effect::ViewChanged),
    /// such as by time alone, is the same as in this view.
    pub fn is_up_to_date(&self, gossip: &Gossip, now: Duration) -> bool {
        self.is_fresh == is_fresh(gossip, now)
            && self.endpoint_list_read_at == gossip.endpoints.read_at()
            && self.highest_endpoint_list_revision == gossip.endpoints.highest_revision()
            && self.is_isolated == gossip.is_isolated(now)
            && self.is_partitioned == gossip.is_partitioned(now)
            && self.required_revision == gossip.read_index().required()
            && self.is_stalled == gossip.is_stalled(now)
            && self.has_observations == gossip.has_observations(now)
    }

    /// The time since the start of the latest read that is known to have returned this endpoint list.
    pub fn endpoint_list_age(&self, now: Duration) -> Option<Duration> {
        self.endpoint_list_read_at.map(|read_at| now.saturating_sub(read_at))
    }

    /// The active revision; 0: this incarnation has no active configuration yet (design 5.8).
    pub fn active_revision(&self) -> u64 {
        self.read_index.as_ref().map_or(0, |_| self.committed.revision)
    }

    /// The read index, for a program's status page.
    pub fn read_index_json(&self) -> jzon::JsonValue {
        match &self.read_index {
            Some(read_index) => jzon::object! {
                "met": true,
                "floor": read_index.revision,
                "by": read_index.source.to_string(),
                "from": read_index.reporter.as_str(),
                "waitedMs": read_index.wait_time.as_millis() as u64,
            },
            None => jzon::object! {
                "met": false,
                "stuck": self.is_stalled,
                "floor": self.required_revision,
                "has": self.committed.revision,
            },
        }
    }

    /// The leader of a role: of its live and synced nodes that are not draining, the one whose name sorts
    /// first (design 5.6).
    pub fn leader(&self, role: Role) -> Option<&NodeInfo> {
        self.live
            .iter()
            .filter(|(info, status)| info.role == role && !status.draining && status.synced)
            .map(|(info, _)| info)
            .min_by(|left, right| left.name.cmp(&right.name))
    }

    /// The parsed configuration for a committed one, and the revision of its document. If this version of the
    /// program cannot parse it, the previous configuration stays active.
    fn updated_config(
        &self,
        committed: &CommittedConfig,
        log_lines: &mut Vec<String>,
    ) -> (Arc<Config>, u64) {
        let revision = committed.config_revision;
        let previous = (self.config.clone(), self.parsed_config_revision);
        if revision == self.committed.config_revision {
            return previous;
        }
        match self.wire_format.parse_config(&committed.document) {
            Ok(config) => {
                log_lines.push(format!("parsed the configuration of revision {revision}"));
                (Arc::new(config), revision)
            }
            Err(faults) => {
                log_lines.push(format!(
                    "configuration of revision {revision} cannot be read by this version: {}",
                    faults[0]
                ));
                previous
            }
        }
    }

    fn log_drained_zone_changes(&self, gossip: &Gossip, log_lines: &mut Vec<String>) {
        let (previous, committed) = (&self.committed, &gossip.committed);
        if previous.drained_zones == committed.drained_zones {
            return;
        }
        log_lines.push(format!(
            "drained zones of revision {}: {:?}, before, of revision {}: {:?}; from {}",
            committed.revision,
            committed.drained_zones,
            previous.revision,
            previous.drained_zones,
            gossip.committed_from
        ));
    }

    fn log_read_index_changes(&self, gossip: &Gossip, now: Duration, log_lines: &mut Vec<String>) {
        let committed_revision = gossip.committed.revision;
        if let (None, Some(read_index)) = (&self.read_index, gossip.read_index().established()) {
            log_lines.push(format!(
                "revision {committed_revision} is active: the read index is {} by {} ({}), after {} ms",
                read_index.revision,
                read_index.source,
                read_index.reporter,
                read_index.wait_time.as_millis()
            ));
        }
        if gossip.is_stalled(now) && !self.is_stalled {
            let required = gossip.read_index().required();
            let required = required.map_or("not known".into(), |revision| revision.to_string());
            log_lines.push(format!(
                "stalled below the read index: has revision {committed_revision}, the read index is \
                 {required}; takes no work"
            ));
        }
    }
}

fn clone_nodes<'n>(
    nodes: impl Iterator<Item = (&'n NodeInfo, &'n NodeStatus)>,
) -> Vec<(NodeInfo, NodeStatus)> {
    nodes.map(|(info, status)| (info.clone(), status.clone())).collect()
}

/// Whether the state is current and not older than what an earlier incarnation applied.
fn is_fresh(gossip: &Gossip, now: Duration) -> bool {
    gossip.is_fresh(now) && gossip.read_index().established().is_some()
}

fn log_membership_changes(
    previous: &[(NodeInfo, NodeStatus)],
    live: &[(NodeInfo, NodeStatus)],
    log_lines: &mut Vec<String>,
) {
    let previous_names = node_names(previous);
    let live_names = node_names(live);
    for (info, _) in live.iter().filter(|(info, _)| !previous_names.contains(info.name.as_str())) {
        log_lines.push(format!("{} {} in zone {} is now live", info.role, info.name, info.zone));
    }
    for (info, _) in previous.iter().filter(|(info, _)| !live_names.contains(info.name.as_str())) {
        log_lines
            .push(format!("{} {} in zone {} is no longer live", info.role, info.name, info.zone));
    }
}

fn node_names(nodes: &[(NodeInfo, NodeStatus)]) -> HashSet<&str> {
    nodes.iter().map(|(info, _)| info.name.as_str()).collect()
}
