//! The consistent view of the gossip state that a program acts on, replaced as a whole when it changes.

use crate::gossip::Gossip;
use crate::read_index::EstablishedReadIndex;
use crate::wire::{CommittedConfig, NodeInfo, NodeStatus, Role, TrafficShiftPlan};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use vanepath_config::endpoint_list::EndpointList;
use vanepath_config::model::Config;
use vanepath_config::wire_format::SelectedFormat;

/// The cluster as this node sees it. Readers load it whole (read-copy-update).
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// The committed configuration as it is stored.
    pub committed: Arc<CommittedConfig>,
    /// The parsed configuration in force.
    pub config: Arc<Config>,
    /// The endpoint list in force.
    pub endpoints: Arc<EndpointList>,
    /// When the newest read began that found this list to be current.
    pub endpoint_list_read_at: Option<Duration>,
    /// The highest revision of an endpoint list that anyone reported.
    pub highest_endpoint_list_revision: u64,
    /// The newest traffic-shift plan.
    pub plan: Arc<TrafficShiftPlan>,
    /// All live nodes, this one first.
    pub live: Vec<(NodeInfo, NodeStatus)>,
    /// Nodes that are not live any more, as they were last known: dead, or cut off from here.
    pub unreachable: Vec<(NodeInfo, NodeStatus)>,
    /// What is known is current, and not older than what an earlier incarnation applied.
    pub is_fresh: bool,
    /// The read index of this incarnation (design 5.8); `None`: it applies no configuration yet.
    pub read_index: Option<EstablishedReadIndex>,
    /// The revision that it has to reach before that, as far as it is known.
    pub required_revision: Option<u64>,
    /// It has waited for its read index in vain: requests are rejected at once (design 5.8).
    pub is_stalled: bool,
    /// The highest revision that each name reported as active there, over all its incarnations.
    pub highest_active_revisions: Arc<HashMap<String, u64>>,
    /// No pull has been answered for a while: others may know more.
    pub is_isolated: bool,
    /// Others may know more ([`Gossip::is_partitioned`]).
    pub is_partitioned: bool,
    /// This registry has the observations of all proxies (design 5.3).
    pub has_observations: bool,
    /// The format of the operator's documents.
    pub wire_format: SelectedFormat,
}

impl ClusterView {
    /// The view of the gossip state as it is now, and the changes since `previous` that are worth a line in
    /// the log.
    pub fn from_gossip(
        gossip: &Gossip,
        previous: &ClusterView,
        now: Duration,
    ) -> (ClusterView, Vec<String>) {
        let mut log_lines = Vec::new();
        let config = previous.updated_config(&gossip.committed, &mut log_lines);
        let live = cloned(gossip.live(now));
        log_membership_changes(&previous.live, &live, &mut log_lines);
        previous.log_read_index_changes(gossip, now, &mut log_lines);
        let highest_active_revisions =
            if *previous.highest_active_revisions == *gossip.highest_active_revisions() {
                previous.highest_active_revisions.clone()
            } else {
                Arc::new(gossip.highest_active_revisions().clone())
            };
        let view = ClusterView {
            committed: gossip.committed.clone(),
            config,
            endpoints: gossip.endpoints.current().clone(),
            endpoint_list_read_at: gossip.endpoints.read_at(),
            highest_endpoint_list_revision: gossip.endpoints.highest_revision(),
            plan: gossip.plan.clone(),
            live,
            unreachable: cloned(gossip.unreachable(now)),
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

    /// Whether whatever changes with the time alone is still as it was when this view was made.
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

    /// The revision in force here; 0: none in this incarnation so far (design 5.8).
    pub fn active_revision(&self) -> u64 {
        self.read_index.as_ref().map_or(0, |_| self.committed.revision)
    }

    /// The read index for a program's status page.
    pub fn read_index_json(&self) -> jzon::JsonValue {
        match &self.read_index {
            Some(read_index) => jzon::object! {
                "met": true,
                "floor": read_index.revision,
                "by": read_index.source.to_string(),
                "from": read_index.from.as_str(),
                "waitedMs": read_index.waited.as_millis() as u64,
            },
            None => jzon::object! {
                "met": false,
                "stuck": self.is_stalled,
                "floor": self.required_revision,
                "has": self.committed.revision,
            },
        }
    }

    /// The leader of a role: the first live and synced node of the role in the order of names
    /// (design 5.6).
    pub fn leader(&self, role: Role) -> Option<&NodeInfo> {
        self.live
            .iter()
            .filter(|(info, status)| info.role == role && !status.draining && status.synced)
            .map(|(info, _)| info)
            .min_by(|left, right| left.name.cmp(&right.name))
    }

    /// The parsed configuration once this one is committed. One that this version of the program cannot read
    /// leaves the previous one in force.
    fn updated_config(
        &self,
        committed: &CommittedConfig,
        log_lines: &mut Vec<String>,
    ) -> Arc<Config> {
        let revision = committed.config_revision;
        if revision == self.committed.config_revision {
            return self.config.clone();
        }
        match self.wire_format.parse_config(&committed.document) {
            Ok(config) => {
                log_lines.push(format!("configuration of revision {revision} is active"));
                Arc::new(config)
            }
            Err(faults) => {
                log_lines.push(format!(
                    "configuration of revision {revision} cannot be read by this version: {}",
                    faults[0]
                ));
                self.config.clone()
            }
        }
    }

    fn log_read_index_changes(&self, gossip: &Gossip, now: Duration, log_lines: &mut Vec<String>) {
        let active_revision = gossip.committed.revision;
        if let (None, Some(read_index)) = (&self.read_index, gossip.read_index().established()) {
            log_lines.push(format!(
                "revision {active_revision} is active: the read index is {} by {} ({}), after {} ms",
                read_index.revision,
                read_index.source,
                read_index.from,
                read_index.waited.as_millis()
            ));
        }
        if gossip.is_stalled(now) && !self.is_stalled {
            let required = gossip.read_index().required();
            let required = required.map_or("not known".into(), |revision| revision.to_string());
            log_lines.push(format!(
                "stalled below the read index: has revision {active_revision}, the read index is \
                 {required}; takes no work"
            ));
        }
    }
}

fn cloned<'n>(
    nodes: impl Iterator<Item = (&'n NodeInfo, &'n NodeStatus)>,
) -> Vec<(NodeInfo, NodeStatus)> {
    nodes.map(|(info, status)| (info.clone(), status.clone())).collect()
}

/// What is known is current, and not older than what an earlier incarnation applied.
fn is_fresh(gossip: &Gossip, now: Duration) -> bool {
    gossip.is_fresh(now) && gossip.read_index().established().is_some()
}

fn log_membership_changes(
    previous: &[(NodeInfo, NodeStatus)],
    live: &[(NodeInfo, NodeStatus)],
    log_lines: &mut Vec<String>,
) {
    let previous_names = names(previous);
    let live_names = names(live);
    for (info, _) in live.iter().filter(|(info, _)| !previous_names.contains(info.name.as_str())) {
        log_lines.push(format!("{} {} in zone {} is live", info.role, info.name, info.zone));
    }
    for (info, _) in previous.iter().filter(|(info, _)| !live_names.contains(info.name.as_str())) {
        log_lines.push(format!("{} {} in zone {} is not live", info.role, info.name, info.zone));
    }
}

fn names(nodes: &[(NodeInfo, NodeStatus)]) -> HashSet<&str> {
    nodes.iter().map(|(info, _)| info.name.as_str()).collect()
}
