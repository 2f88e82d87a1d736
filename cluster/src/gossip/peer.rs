//! The state of one peer, and the rule by which it is live.

use crate::wire::{ListReading, NodeInfo, NodeStatus, NodeVersion, ProxyObservations, Role};
use std::time::Duration;

/// The interval at which a node increments its heartbeat counter.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);
/// A peer without a newer heartbeat for this long is not live.
pub const NODE_TIMEOUT: Duration = Duration::from_millis(3000);
/// The value of [`NODE_TIMEOUT`] between registries. It is shorter because they pull directly from each
/// other, and so receive heartbeats sooner.
pub const REGISTRY_TIMEOUT: Duration = Duration::from_millis(2200);
/// A peer without a newer heartbeat for this long is forgotten.
pub const FORGET_TIMEOUT: Duration = Duration::from_secs(600);

/// One other node, as known to this one.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its identity in its newest known incarnation.
    pub info: NodeInfo,
    /// The version of its entry.
    pub version: NodeVersion,
    /// Its newest known status.
    pub status: NodeStatus,
    /// Proxies only, at registries that collect observations: its observations of servers.
    pub observations: ProxyObservations,
    /// Whether the observations came from the node itself and not through another node.
    pub(super) has_direct_observations: bool,
    /// The hash of its name, for version vectors.
    pub(super) name_hash: u32,
    /// When its latest known heartbeat was raised, on this node's clock.
    pub(super) last_heartbeat_at: Duration,
    /// When this node first learned of it, or when this process last resumed after a pause.
    pub(super) known_since: Duration,
    /// When it last replied to a pull of this node.
    pub(super) last_reply_at: Option<Duration>,
    /// Registries only, at a registry: how well it reads the endpoint list, as its last reply said.
    pub(super) list_reading: Option<ListReading>,
    /// When its address refused a connection: it counts as dead until a newer heartbeat (design 5.7).
    pub(super) refused_at: Option<Duration>,
    /// At a leaf: whether all registries that reported recently consider it unreachable.
    pub(super) is_reported_unreachable: bool,
    /// Whether it was live at the last tick.
    pub(super) was_live: bool,
}

impl Peer {
    /// Whether the peer is live from the perspective of a node of role `own_role`. Registries use heartbeats
    /// only. Other nodes use the reports of registries, the latest of which arrived at `registry_report_at`.
    /// Once they have received a report, they evaluate only the heartbeats of registries at `now`, and those
    /// of other peers at the time of the latest report: while no registry reports, no other peer becomes
    /// unreachable (design 5.3).
    pub(super) fn is_live(
        &self,
        now: Duration,
        own_role: Role,
        registry_report_at: Option<Duration>,
    ) -> bool {
        let are_both_registries = own_role == Role::Registry && self.info.role == own_role;
        let timeout = if are_both_registries { REGISTRY_TIMEOUT } else { NODE_TIMEOUT };
        let judged_at = match registry_report_at {
            Some(report_at) if own_role != Role::Registry => {
                if self.is_reported_unreachable {
                    return false;
                }
                if self.info.role == Role::Registry { now } else { report_at.min(now) }
            }
            _ => now,
        };
        !self.is_refused() && judged_at.saturating_sub(self.last_heartbeat_at) < timeout
    }

    /// Whether its address refused a connection and no newer heartbeat is known.
    pub(super) fn is_refused(&self) -> bool {
        self.refused_at.is_some_and(|refused_at| self.last_heartbeat_at <= refused_at)
    }
}
