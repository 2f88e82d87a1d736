//! The replica of one store: its state and the dispatch of events.

use super::confirmation::PendingConfirmation;
use super::event::{Effect, Event, HardState, Identity, LiveStore, RecoveredState, StoredVersion};
use super::liveness::{MemberLiveness, PendingPing};
use super::quorum::{member_incarnations, slot_of};
use super::round::{Operation, ReplicaStatus, Round};
use crate::protocol::{MembershipSnapshot, Outcome, Request};
use crate::value::{AcceptedProposal, BOOTSTRAP_BALLOT, MemberTable, Value, VersionId};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::wire::DiskStatus;

/// A store's replica of the register: a pure state machine.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(super) identity: Identity,
    /// The hard state, which is on disk or in an `Effect::Persist` that precedes the next reply.
    pub(super) state: HardState,
    /// The accepted value; `None` if there is none or its file is damaged.
    pub(super) value: Option<Arc<Value>>,
    /// The earlier versions that were proposed with the accepted value in the same round, oldest first.
    pub(super) batch: Vec<Arc<Value>>,
    /// The version files, by revision.
    pub(super) stored_versions: BTreeMap<u64, Vec<StoredVersion>>,
    /// The highest proposal that is known to be committed and whose value this replica holds.
    pub(super) committed: Option<AcceptedProposal>,
    /// The highest committed revision known from gossip.
    pub(super) heard_revision: u64,
    pub(super) live_stores: Vec<LiveStore>,
    pub(super) round: Option<Round>,
    pub(super) queue: VecDeque<Operation>,
    next_call: u64,
    /// Calls outside the round, by call number.
    pub(super) background_calls: BTreeMap<u64, BackgroundCall>,
    /// Whether nodes rely on a lease on the configuration.
    pub(super) is_lease_wanted: bool,
    pub(super) pending_confirmation: Option<PendingConfirmation>,
    /// When the last quorum read or proposal began that confirmed the committed revision.
    pub(super) confirmed_at: Option<Duration>,
    /// The last membership snapshots of other stores, by incarnation.
    pub(super) snapshots: BTreeMap<u64, MembershipSnapshot>,
    pub(super) pending_pings: BTreeMap<u64, PendingPing>,
    pub(super) liveness: BTreeMap<u64, MemberLiveness>,
    /// Times at which the timers are due.
    pub(super) repair_at: Duration,
    pub(super) fetch_at: Duration,
    pub(super) membership_query_at: Duration,
    pub(super) ping_at: Duration,
    pub(super) replacement_check_at: Duration,
    pub(super) last_tick_at: Duration,
    /// The time of the current step.
    pub(super) now: Duration,
    /// Since when a higher revision than the accepted one is known to be committed.
    pub(super) behind_since: Option<Duration>,
    /// Counter by which members are asked in turn for missing versions.
    pub(super) fetch_turn: usize,
    pub(super) disk_failed: bool,
    /// Another replica has reported that this disk is not, or no longer, a member.
    pub(super) is_removed: bool,
    /// A quorum has shown that this disk is not a member; it is being reset.
    pub(super) is_resetting: bool,
}

/// A call outside the round.
#[derive(Clone, Copy, Debug)]
pub(super) enum BackgroundCall {
    Fetch(VersionId),
    Membership,
    Repair,
}

/// Summary of a replica's state for status pages and gossip.
#[derive(Clone, Debug)]
pub struct Summary {
    /// The member slot that this disk holds.
    pub slot: Option<usize>,
    /// Incarnation of the disk.
    pub incarnation: u64,
    /// Whether the settings allow the store to take part in a bootstrap.
    pub may_bootstrap: bool,
    /// Whether the replica votes and takes requests.
    pub is_voting: bool,
    /// Whether the disk holds no value.
    pub is_empty: bool,
    /// Why the replica votes or does not vote, for the operator.
    pub reason: &'static str,
    /// Number of the highest promised ballot.
    pub promised: u64,
    /// Revision of the accepted value; 0: none.
    pub accepted: u64,
    /// Highest revision known to be committed; 0: none.
    pub committed: u64,
    /// Whether a quorum has been asked since the start, so that a committed revision is known.
    pub synced: bool,
    /// Number of version files.
    pub versions: usize,
    /// The member table of the accepted value.
    pub members: MemberTable,
}

impl Summary {
    /// The part of the summary that is announced by gossip.
    pub fn disk(&self) -> DiskStatus {
        DiskStatus {
            incarnation: self.incarnation,
            may_bootstrap: self.may_bootstrap,
            slot: self.slot.map(|slot| slot as u8),
        }
    }
}

impl Replica {
    /// Creates a replica that starts from the state of its disk.
    pub fn new(identity: Identity, recovered: RecoveredState, now: Duration) -> Replica {
        let mut stored_versions: BTreeMap<u64, Vec<StoredVersion>> = BTreeMap::new();
        for version in recovered.versions {
            stored_versions.entry(version.id.revision).or_default().push(version);
        }
        Replica {
            identity,
            state: recovered.state,
            value: recovered.value,
            batch: recovered.batch,
            stored_versions,
            committed: None,
            heard_revision: 0,
            live_stores: Vec::new(),
            round: None,
            queue: VecDeque::new(),
            next_call: 0,
            background_calls: BTreeMap::new(),
            is_lease_wanted: false,
            pending_confirmation: None,
            confirmed_at: None,
            snapshots: BTreeMap::new(),
            pending_pings: BTreeMap::new(),
            liveness: BTreeMap::new(),
            repair_at: now,
            fetch_at: now,
            membership_query_at: now,
            ping_at: now,
            replacement_check_at: now,
            last_tick_at: now,
            now,
            behind_since: None,
            fetch_turn: 0,
            disk_failed: false,
            is_removed: false,
            is_resetting: false,
        }
    }

    /// Whether the disk holds no value.
    pub fn is_empty(&self) -> bool {
        self.state.accepted.is_none()
    }

    /// Whether this replica holds the bootstrap value and has not yet promised a higher ballot. Such a ballot
    /// is proposed by whichever store finds that all members hold the bootstrap value (design 6.4).
    pub(super) fn is_bootstrapping(&self) -> bool {
        let has_bootstrap_value =
            self.state.accepted.is_some_and(|accepted| accepted.ballot == BOOTSTRAP_BALLOT);
        has_bootstrap_value && self.state.promised <= BOOTSTRAP_BALLOT
    }

    pub(super) fn members(&self) -> MemberTable {
        self.value.as_ref().map(|value| value.members.clone()).unwrap_or_default()
    }

    pub(super) fn own_slot(&self) -> Option<usize> {
        slot_of(&self.value.as_ref()?.members, self.state.incarnation)
    }

    pub(super) fn own_incarnation(&self) -> u64 {
        self.state.incarnation
    }

    pub(super) fn accepted_revision(&self) -> u64 {
        self.state.accepted.map_or(0, |accepted| accepted.revision)
    }

    pub(super) fn committed_revision(&self) -> u64 {
        self.committed.map_or(0, |committed| committed.revision)
    }

    /// Whether this disk must not vote until it is recovered or reset.
    pub(super) fn is_disk_unusable(&self) -> bool {
        self.disk_failed || self.is_resetting
    }

    /// Whether this replica takes operators' requests: its disk is usable and its value readable, the
    /// bootstrap is complete, and no other store has reported that this disk lost its slot.
    pub(super) fn is_voting(&self) -> bool {
        !self.is_disk_unusable()
            && !self.is_removed
            && !self.is_bootstrapping()
            && self.accepted_value().is_some()
    }

    /// The accepted proposal and its value, if the value is readable.
    pub(super) fn accepted_value(&self) -> Option<(&AcceptedProposal, &Arc<Value>)> {
        self.state.accepted.as_ref().zip(self.value.as_ref())
    }

    /// This replica's own response to a query.
    pub(super) fn own_status(&self) -> ReplicaStatus {
        ReplicaStatus {
            accepted: self.state.accepted,
            is_empty: self.is_empty(),
            bootstrap_size: self.identity.bootstrap_size,
        }
    }

    fn status_reason(&self) -> &'static str {
        if self.disk_failed {
            "its disk failed"
        } else if self.is_removed || self.is_resetting {
            "its seat went to another disk"
        } else if self.is_empty() {
            "its disk is empty and waits for a seat"
        } else if self.is_bootstrapping() {
            "not all stores hold the beginning of the word yet"
        } else if self.value.is_none() {
            "the file of its latest version is damaged and being fetched"
        } else {
            "it holds its seat"
        }
    }

    /// Summarizes the replica's state.
    pub fn summary(&self) -> Summary {
        Summary {
            slot: self.own_slot(),
            incarnation: self.state.incarnation,
            may_bootstrap: self.identity.bootstrap_size > 0,
            is_voting: self.is_voting(),
            is_empty: self.is_empty(),
            reason: self.status_reason(),
            promised: self.state.promised.number,
            accepted: self.accepted_revision(),
            committed: self.committed_revision(),
            synced: self.committed.is_some(),
            versions: self.stored_versions.values().map(Vec::len).sum(),
            members: self.members(),
        }
    }

    /// Handles one event. `now` is the time since an arbitrary fixed moment and must not decrease. The
    /// effects must be carried out in order.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.now = now;
        match event {
            Event::Tick => self.on_tick(now, &mut effects),
            Event::RequestReceived { ticket, request } => {
                self.on_request(ticket, request, &mut effects)
            }
            Event::ResponseReceived { call, response } => {
                self.on_response(now, call, response, &mut effects)
            }
            Event::LiveStores(live_stores) => self.live_stores = live_stores,
            Event::RevisionHeard { revision } => {
                self.heard_revision = self.heard_revision.max(revision)
            }
            Event::LeaseWanted(is_wanted) => self.is_lease_wanted = is_wanted,
            Event::Reset(recovered) => self.reinitialize(recovered, now),
            Event::DiskFailed => self.on_disk_failed(&mut effects),
            Event::DiskRecovered(recovered) => {
                if self.disk_failed {
                    self.reinitialize(recovered, now);
                    effects.push(Effect::log("the disk works again"));
                }
            }
            Event::VersionDamaged(id) => {
                if let Some(stored) = self.stored_versions.get_mut(&id.revision) {
                    stored.retain(|version| version.id.digest != id.digest);
                }
                let text = format!("the file of revision {} is damaged", id.revision);
                effects.push(Effect::Log(text));
            }
        }
        self.start_next_round(now, &mut effects);
        effects
    }

    fn on_disk_failed(&mut self, effects: &mut Vec<Effect>) {
        if !self.disk_failed {
            self.disk_failed = true;
            effects.push(Effect::log("the disk failed; this store stops voting"));
            self.fail_all_operations("the disk failed", effects);
        }
    }

    pub(super) fn may_start_round(&self) -> bool {
        self.round.is_none() && !self.disk_failed
    }

    /// Reinitializes the replica from the state of the disk, as after a restart. Call numbers continue, so
    /// that responses to earlier calls are ignored.
    fn reinitialize(&mut self, recovered: RecoveredState, now: Duration) {
        let mut next = Replica::new(self.identity.clone(), recovered, now);
        next.next_call = self.next_call;
        next.heard_revision = self.heard_revision;
        next.is_lease_wanted = self.is_lease_wanted;
        next.live_stores = std::mem::take(&mut self.live_stores);
        *self = next;
    }

    /// Fails the round and all waiting operations.
    pub(super) fn fail_all_operations(&mut self, reason: &str, effects: &mut Vec<Effect>) {
        if let Some(round) = self.round.take() {
            self.fail_round(round, reason, effects);
        }
        for operation in std::mem::take(&mut self.queue) {
            let outcome = Outcome::NotApplied { reason: reason.to_string() };
            self.reply_outcome(&operation, outcome, effects);
        }
    }

    /// The other members, or all other live stores that hold a value if the member table is not readable.
    pub(super) fn other_members(&self) -> Vec<u64> {
        let own = self.own_incarnation();
        match &self.value {
            Some(value) => member_incarnations(&value.members)
                .filter(|incarnation| *incarnation != own)
                .collect(),
            None => {
                let holders = self.live_stores.iter().filter(|store| !store.is_empty);
                holders
                    .map(|store| store.incarnation)
                    .filter(|incarnation| *incarnation != own)
                    .collect()
            }
        }
    }

    /// Sends a request; returns the number of the call.
    pub(super) fn send(
        &mut self,
        incarnation: u64,
        request: Request,
        effects: &mut Vec<Effect>,
    ) -> u64 {
        self.next_call += 1;
        effects.push(Effect::Send { call: self.next_call, incarnation, request });
        self.next_call
    }
}
