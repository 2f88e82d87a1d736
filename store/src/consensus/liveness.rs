//! Liveness of members: gossip and, while an empty disk waits for a slot, pings (design 6.3, 6.5).

use super::event::Effect;
use super::quorum::slot_of;
use super::replica::Replica;
use crate::protocol::Request;
use crate::value::Member;
use std::time::Duration;

/// Interval of pings while an empty disk waits and some member is not known to be alive.
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of pings while an empty disk waits and all members are alive.
const CALM_PING_INTERVAL: Duration = Duration::from_secs(1);
/// A member that has left pings unanswered for so long is lost even if gossip still has it as live.
const PING_TIMEOUT: Duration = Duration::from_millis(1500);

/// What is known of a member's liveness.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MemberLiveness {
    /// When gossip or a ping last showed it alive.
    pub last_heard_at: Duration,
    /// When the first ping was sent that it has left unanswered.
    pub unanswered_since: Option<Duration>,
}

/// A ping in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenPing {
    pub incarnation: u64,
    pub sent_at: Duration,
}

impl Replica {
    /// Whether no store before this one in the member table is alive: the first live member proposes, the
    /// others leave it to that one (design 6.3). Safety does not rest on it.
    pub(super) fn is_preferred_proposer(&self, now: Duration) -> bool {
        let is_alive = |member: &Member| {
            self.live_stores.iter().any(|store| {
                store.incarnation == member.incarnation && !(store.is_empty && member.joined_later)
            }) && !self.is_lost(now, member.incarnation)
        };
        let own = self.own_incarnation();
        let members = self.value.as_ref().map(|value| value.members.as_slice()).unwrap_or_default();
        let mut before = members.iter().flatten().take_while(|member| member.incarnation != own);
        !before.any(is_alive)
    }

    /// Whether a member is lost: not live by gossip and silent when pinged, or silent for long whatever
    /// gossip says.
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
        self.open_pings.clear();
        self.liveness.values_mut().for_each(|liveness| liveness.unanswered_since = None);
    }

    /// While an empty disk waits, the preferred proposer pings all members, and each other store those that
    /// come before it in the member table.
    pub(super) fn ping_members(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if !self.is_voting() {
            self.liveness.clear();
            self.open_pings.clear();
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
        let is_calm = others.iter().all(|incarnation| {
            self.is_live_by_gossip(*incarnation)
                && self.liveness.get(incarnation).is_some_and(|one| one.unanswered_since.is_none())
        });
        self.ping_at = now + if is_calm { CALM_PING_INTERVAL } else { PING_INTERVAL };
        let is_preferred = self.is_preferred_proposer(now);
        let members = self.members();
        let own_slot = self.own_slot().unwrap_or_default();
        for incarnation in others {
            let is_open = self.open_pings.values().any(|ping| ping.incarnation == incarnation);
            let is_before = slot_of(&members, incarnation).is_some_and(|slot| slot < own_slot);
            if !is_open && (is_preferred || is_before) {
                let call = self.send(incarnation, Request::Ping, effects);
                self.open_pings.insert(call, OpenPing { incarnation, sent_at: now });
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
