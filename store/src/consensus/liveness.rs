//! Liveness of members, by gossip and, while an empty disk waits for a slot, by pings (design 6.3, 6.5).

use super::event::Effect;
use super::quorum::slot_of;
use super::replica::Replica;
use crate::protocol::Request;
use crate::value::Member;
use std::time::Duration;

/// Interval of pings while an empty disk waits for a slot and some member is not known to be alive.
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of pings while an empty disk waits for a slot and all members are known to be alive.
const ALL_ALIVE_PING_INTERVAL: Duration = Duration::from_secs(1);
/// A member that has not answered pings for this long counts as lost even if gossip still reports it as live.
const PING_TIMEOUT: Duration = Duration::from_millis(1500);

/// What is known about a member's liveness.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MemberLiveness {
    /// When gossip or a response to a ping last showed that the member is alive.
    pub last_heard_at: Duration,
    /// When the first ping was sent that has been left unanswered since.
    pub unanswered_since: Option<Duration>,
}

/// A ping in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingPing {
    pub incarnation: u64,
    pub sent_at: Duration,
}

impl Replica {
    /// Whether no member before this one in the member table is alive: the first live member proposes, and
    /// the others leave proposals to it (design 6.3). Safety does not depend on this.
    pub(super) fn is_preferred_proposer(&self, now: Duration) -> bool {
        let is_alive = |member: &Member| {
            self.live_stores.iter().any(|store| {
                store.incarnation == member.incarnation && !(store.is_empty && member.joined_later)
            }) && !self.is_lost(now, member.incarnation)
        };
        let own = self.own_incarnation();
        let members = self.value.as_ref().map(|value| value.members.as_slice()).unwrap_or_default();
        let mut preceding = members.iter().flatten().take_while(|member| member.incarnation != own);
        !preceding.any(is_alive)
    }

    /// Whether a member is lost: it left a ping unanswered and is not live according to gossip, or it has
    /// left pings unanswered for `PING_TIMEOUT`, whatever gossip reports.
    pub(super) fn is_lost(&self, now: Duration, incarnation: u64) -> bool {
        let liveness = self.liveness.get(&incarnation);
        let Some(since) = liveness.and_then(|liveness| liveness.unanswered_since) else {
            return false;
        };
        !self.is_live_by_gossip(incarnation) || now >= since + PING_TIMEOUT
    }

    fn is_live_by_gossip(&self, incarnation: u64) -> bool {
        self.live_stores.iter().any(|store| store.incarnation == incarnation)
    }

    pub(super) fn forget_unanswered_pings(&mut self) {
        self.pending_pings.clear();
        self.liveness.values_mut().for_each(|liveness| liveness.unanswered_since = None);
    }

    /// While an empty disk waits for a slot, the preferred proposer pings all other members, and each other
    /// store pings the members that precede it in the member table.
    pub(super) fn ping_members(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if !self.is_voting() {
            self.liveness.clear();
            self.pending_pings.clear();
            return;
        }
        let others = self.other_members();
        self.record_gossip_liveness(now, &others);
        if self.waiting_stores().is_empty() {
            self.forget_unanswered_pings();
            return;
        }
        if now < self.ping_at {
            return;
        }
        let are_all_alive = others.iter().all(|incarnation| {
            self.is_live_by_gossip(*incarnation)
                && self
                    .liveness
                    .get(incarnation)
                    .is_some_and(|liveness| liveness.unanswered_since.is_none())
        });
        self.ping_at = now + if are_all_alive { ALL_ALIVE_PING_INTERVAL } else { PING_INTERVAL };
        let is_preferred = self.is_preferred_proposer(now);
        let members = self.members();
        let own_slot = self.own_slot().unwrap_or_default();
        for incarnation in others {
            let is_pinged = self.pending_pings.values().any(|ping| ping.incarnation == incarnation);
            let precedes_own = slot_of(&members, incarnation).is_some_and(|slot| slot < own_slot);
            if !is_pinged && (is_preferred || precedes_own) {
                let call = self.send(incarnation, Request::Ping, effects);
                self.pending_pings.insert(call, PendingPing { incarnation, sent_at: now });
            }
        }
    }

    fn record_gossip_liveness(&mut self, now: Duration, others: &[u64]) {
        self.liveness.retain(|incarnation, _| others.contains(incarnation));
        for store in &self.live_stores {
            if others.contains(&store.incarnation) {
                self.liveness.entry(store.incarnation).or_default().last_heard_at = now;
            }
        }
    }
}
