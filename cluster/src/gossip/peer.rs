//! What this node knows of one other node, and when that node counts as live.

use crate::wire::{NodeInfo, NodeStatus, NodeVersion, ProxyObservations, Role};
use std::time::Duration;

/// How often a node raises its own heartbeat counter.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);
/// A node without a newer heartbeat for this long is not live.
pub const NODE_TIMEOUT: Duration = Duration::from_millis(3000);
/// The same between registries, which pull straight from each other and so know sooner.
pub const REGISTRY_TIMEOUT: Duration = Duration::from_millis(2200);
/// A node without a newer heartbeat for this long is forgotten.
pub const FORGET_TIMEOUT: Duration = Duration::from_secs(600);

/// One other node as this one knows it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Who it is, as of its newest known incarnation.
    pub info: NodeInfo,
    /// The version of everything known of it.
    pub version: NodeVersion,
    /// Its newest known status.
    pub status: NodeStatus,
    /// Proxies only, and only at registries that collect them: what it observed of servers.
    pub observations: ProxyObservations,
    /// The observations came from the node itself, not by way of a third one.
    pub(super) has_direct_observations: bool,
    /// The hash of its name, for version vectors.
    pub(super) name_hash: u32,
    /// When its newest known heartbeat was raised, on this node's clock.
    pub(super) last_heartbeat_at: Duration,
    /// Since when this node knows of it, or since this process resumed after a pause.
    pub(super) known_since: Duration,
    /// When it last replied to a pull of this node's.
    pub(super) last_reply_at: Option<Duration>,
    /// When its address refused a connection: it is dead until a newer heartbeat (design 5.7).
    pub(super) refused_at: Option<Duration>,
    /// At a leaf: every registry that reported lately says that it is unreachable.
    pub(super) is_reported_unreachable: bool,
    /// Whether it was live at the last tick.
    pub(super) was_live: bool,
}

impl Peer {
    /// Whether the peer is live for a node of role `own_role`. Registries rely on heartbeats alone. All other
    /// nodes rely on what registries report; `registry_report_at` is when one last did. They judge only
    /// registries by heartbeats then: while no registry reports, nobody else becomes unreachable
    /// (design 5.3).
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

    /// Its address refused a connection, and no newer heartbeat is known since.
    pub(super) fn is_refused(&self) -> bool {
        self.refused_at.is_some_and(|refused_at| self.last_heartbeat_at <= refused_at)
    }
}
