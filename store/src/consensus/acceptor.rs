//! The acceptor (Paxos Made Simple, section 2.5; design 6.2): promises and acceptances, and the dispatch of
//! requests. Invariant: whatever a reply says rests on what was persisted before it, because effects are
//! carried out in order.

use super::event::{DiskWrite, Effect};
use super::quorum::{is_member, slot_of};
use super::replica::Replica;
use super::round::{Operation, PendingChange};
use super::transitions::cloned_values;
use crate::protocol::{MembershipSnapshot, Rejection, Request, Response};
use crate::value::{AcceptedProposal, BOOTSTRAP_BALLOT, Ballot, Digest, Value, digest_of};
use std::sync::Arc;
use std::time::Duration;

impl Replica {
    /// Dispatches a request of another store or of a registry.
    pub(super) fn on_request(
        &mut self,
        now: Duration,
        ticket: u64,
        request: Request,
        effects: &mut Vec<Effect>,
    ) {
        let response = match request {
            Request::Prepare { from, ballot, known_digest } => {
                self.on_prepare(now, from, ballot, known_digest, effects)
            }
            Request::Accept { from, ballot, value, batch } => {
                self.on_accept(from, ballot, value, batch, effects)
            }
            Request::QueryStatus => Ok(Response::Status {
                from: self.own_incarnation(),
                is_empty: self.is_empty() && !self.has_lost_disk(),
                bootstrap_size: self.identity.bootstrap_size,
                is_voting: !self.has_lost_disk() && self.accepted_value().is_some(),
                accepted: self.state.accepted,
            }),
            Request::Ping => Ok(Response::Pong {
                from: self.own_incarnation(),
                is_healthy: !self.has_lost_disk(),
            }),
            Request::Membership { from, wants_value } => self.on_membership(from, wants_value),
            Request::Acknowledge { content_hash, revision } => {
                if let Some(value) = &self.value {
                    self.retransmissions.acknowledge(value, content_hash, revision, now);
                }
                self.recheck_undecided(effects);
                Ok(Response::Acknowledged)
            }
            Request::Fetch { revision, digest } => {
                return self.on_fetch(ticket, revision, digest, effects);
            }
            Request::Change { key, change, keyless_for } => {
                let keyless_since = keyless_for.map(|elapsed| now.saturating_sub(elapsed));
                let change = PendingChange { ticket, key, change, keyless_since };
                return self.on_change(Operation::Change(change), effects);
            }
            Request::Read => {
                return self.enqueue_shared(Operation::Read { tickets: vec![ticket] }, effects);
            }
            Request::ReadIndex => {
                let operation = Operation::ReadIndex { tickets: vec![ticket] };
                return self.enqueue_shared(operation, effects);
            }
            Request::History { revision } => {
                return self.enqueue(Operation::History { ticket, revision }, effects);
            }
        };
        let promised = self.state.promised;
        let response = response.unwrap_or_else(|reason| Response::Rejected { reason, promised });
        effects.push(Effect::Reply { ticket, response });
    }

    /// Phase 1: promises a ballot, unless a higher one was promised.
    fn on_prepare(
        &mut self,
        now: Duration,
        from: u64,
        ballot: Ballot,
        known_digest: Option<Digest>,
        effects: &mut Vec<Effect>,
    ) -> Result<Response, Rejection> {
        let (Some((accepted, value)), false) = (self.accepted_value(), self.has_lost_disk()) else {
            return Err(Rejection::NotVoting);
        };
        let accepted = *accepted;
        if !is_member(&value.members, from) {
            return Err(Rejection::NotAMember);
        }
        if ballot < self.state.promised {
            return Err(Rejection::Preempted);
        }
        if ballot > self.state.promised {
            self.state.promised = ballot;
            effects.push(Effect::Persist(vec![DiskWrite::State(self.state.clone())]));
        }
        let unacknowledged =
            self.value.as_ref().map(|value| self.retransmissions.unacknowledged(value, now));
        let value = self.value.as_ref().filter(|_| known_digest != Some(accepted.digest));
        let batch = if value.is_some() { cloned_values(&self.batch) } else { Vec::new() };
        let value = value.map(|value| (**value).clone());
        let from = self.own_incarnation();
        Ok(Response::Promise { from, accepted, value, batch, unacknowledged })
    }

    /// Phase 2: accepts a proposal, unless a higher ballot was promised.
    fn on_accept(
        &mut self,
        from: u64,
        ballot: Ballot,
        value: Value,
        batch: Vec<Value>,
        effects: &mut Vec<Effect>,
    ) -> Result<Response, Rejection> {
        if self.has_lost_disk() || !self.may_accept(ballot, &value) {
            return Err(Rejection::NotVoting);
        }
        let known = self.value.as_ref().map_or(&value.members, |own| &own.members);
        if !is_member(known, from) && !is_member(&value.members, from) {
            return Err(Rejection::NotAMember);
        }
        if ballot < self.state.promised {
            return Err(Rejection::Preempted);
        }
        let batch = batch.into_iter().map(Arc::new).collect();
        match self.accept(ballot, Arc::new(value), batch, effects) {
            true => Ok(Response::Accepted { from: self.own_incarnation() }),
            false => Err(Rejection::Preempted),
        }
    }

    /// Whether this disk is a member by the proposed value, and may vote on it.
    fn may_accept(&self, ballot: Ballot, value: &Value) -> bool {
        let slot = slot_of(&value.members, self.own_incarnation());
        let Some(member) = slot.and_then(|slot| value.members[slot].as_ref()) else {
            return false;
        };
        if ballot == BOOTSTRAP_BALLOT {
            // An empty disk has promised nothing to anyone; one that holds a bootstrap value takes no other.
            let may_bootstrap = value.revision == 0
                && !member.joined_later
                && self.identity.bootstrap_size == value.members.len();
            let digest = digest_of(&value.encode());
            let has_it = self.state.accepted.is_some_and(|accepted| accepted.digest == digest);
            has_it || (self.is_empty() && may_bootstrap)
        } else {
            // An empty disk that joins later must catch up first (design 6.5).
            !self.is_empty()
        }
    }

    /// A replica that was told that it is not a member any more answers all the same: a new disk may need
    /// what it accepted, and counts by the table that all show (incident 0013).
    fn on_membership(&self, from: u64, wants_value: bool) -> Result<Response, Rejection> {
        let may_show = !self.has_lost_disk() && !self.is_bootstrapping();
        let Some((accepted, value)) = self.accepted_value().filter(|_| may_show) else {
            return Err(Rejection::NotVoting);
        };
        let includes_value = wants_value && is_member(&value.members, from);
        let snapshot = Box::new(MembershipSnapshot {
            promised: self.state.promised,
            accepted: *accepted,
            members: value.members.clone(),
            value: includes_value.then(|| (**value).clone()),
            batch: if includes_value { cloned_values(&self.batch) } else { Vec::new() },
        });
        Ok(Response::Membership { from: self.own_incarnation(), snapshot })
    }

    /// Accepts a value with its batch; false where a higher proposal was accepted.
    pub(super) fn accept(
        &mut self,
        ballot: Ballot,
        value: Arc<Value>,
        batch: Vec<Arc<Value>>,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let bytes = value.encode();
        let digest = digest_of(&bytes);
        let proposal = AcceptedProposal { ballot, revision: value.revision, digest };
        if let Some(accepted) = self.state.accepted {
            if accepted.rank() > proposal.rank() {
                return false;
            }
            if accepted == proposal && self.value.is_some() {
                // A duplicate request.
                return true;
            }
            if accepted.rank() == proposal.rank() && accepted.digest != digest {
                effects.push(Effect::log("two values under one ballot: this must never happen"));
                return false;
            }
        }
        self.state.promised = self.state.promised.max(ballot);
        self.state.accepted = Some(proposal);
        let mut writes = Vec::new();
        self.store_version(&value, digest, bytes, &mut writes);
        self.store_batch(&value, batch, &mut writes);
        self.retransmissions.observe(&value, self.now);
        self.value = Some(value);
        writes.push(DiskWrite::State(self.state.clone()));
        self.prune_versions(&mut writes);
        effects.push(Effect::Persist(writes));
        true
    }

    /// Stores the batch of an accepted value, from the latest version back, as far as each one is the parent
    /// of the next.
    fn store_batch(&mut self, value: &Value, batch: Vec<Arc<Value>>, writes: &mut Vec<DiskWrite>) {
        let mut wanted = value.parent_id();
        self.batch.clear();
        for ancestor in batch.into_iter().rev().take(value.batched_before as usize) {
            let bytes = ancestor.encode();
            if ancestor.revision != wanted.revision || digest_of(&bytes) != wanted.digest {
                break;
            }
            self.store_version(&ancestor, wanted.digest, bytes, writes);
            wanted = ancestor.parent_id();
            self.batch.insert(0, ancestor);
        }
    }
}
