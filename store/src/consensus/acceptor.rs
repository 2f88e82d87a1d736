//! The acceptor (Paxos Made Simple, section 2.5; design 6.2): promises and acceptances, and the dispatch of
//! requests. Invariant: the state on which a reply is based is durable before the reply is sent, because
//! effects are carried out in order.

use super::event::{DiskWrite, Effect};
use super::quorum::{is_member, slot_of};
use super::replica::Replica;
use super::round::{Operation, PendingChange};
use super::transitions::cloned_values;
use crate::protocol::{MembershipSnapshot, Rejection, Request, Response};
use crate::value::{AcceptedProposal, BOOTSTRAP_BALLOT, Ballot, Digest, Value, digest_of};
use std::sync::Arc;

impl Replica {
    /// Dispatches a request from another store or from a registry.
    pub(super) fn on_request(&mut self, ticket: u64, request: Request, effects: &mut Vec<Effect>) {
        let response = match request {
            Request::Prepare { from, ballot, known_digest } => {
                self.on_prepare(from, ballot, known_digest, effects)
            }
            Request::Accept { from, ballot, value, batch } => {
                self.on_accept(from, ballot, value, batch, effects)
            }
            Request::QueryStatus => Ok(Response::Status {
                from: self.own_incarnation(),
                is_empty: self.is_empty() && !self.is_disk_unusable(),
                bootstrap_size: self.identity.bootstrap_size,
                is_voting: !self.is_disk_unusable() && self.accepted_value().is_some(),
                accepted: self.state.accepted,
            }),
            Request::Ping => Ok(Response::Pong {
                from: self.own_incarnation(),
                is_healthy: !self.is_disk_unusable(),
            }),
            Request::Membership { from, wants_value } => self.on_membership(from, wants_value),
            Request::Acknowledge { .. } => Ok(Response::Acknowledged),
            Request::Fetch { revision, digest } => {
                return self.on_fetch(ticket, revision, digest, effects);
            }
            Request::Change { key, change, keyless_for, known_revision } => {
                let has_generated_key = keyless_for.is_some();
                let change =
                    PendingChange { ticket, key, change, has_generated_key, known_revision };
                return self.enqueue(Operation::Change(change), effects);
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

    /// Phase 1: promises a ballot, unless this replica has promised a higher one.
    fn on_prepare(
        &mut self,
        from: u64,
        ballot: Ballot,
        known_digest: Option<Digest>,
        effects: &mut Vec<Effect>,
    ) -> Result<Response, Rejection> {
        let (Some((accepted, value)), false) = (self.accepted_value(), self.is_disk_unusable())
        else {
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
        let value = self.value.as_ref().filter(|_| known_digest != Some(accepted.digest));
        let batch = if value.is_some() { cloned_values(&self.batch) } else { Vec::new() };
        let value = value.map(|value| (**value).clone());
        let from = self.own_incarnation();
        Ok(Response::Promise { from, accepted, value, batch, unacknowledged: None })
    }

    /// Phase 2: accepts a proposal, unless this replica has promised a higher ballot.
    fn on_accept(
        &mut self,
        from: u64,
        ballot: Ballot,
        value: Value,
        batch: Vec<Value>,
        effects: &mut Vec<Effect>,
    ) -> Result<Response, Rejection> {
        if self.is_disk_unusable() || !self.may_accept(ballot, &value) {
            return Err(Rejection::NotVoting);
        }
        let known_members = self.value.as_ref().map_or(&value.members, |own| &own.members);
        if !is_member(known_members, from) && !is_member(&value.members, from) {
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

    /// Whether this disk is a member according to the proposed value, and may vote on that value.
    fn may_accept(&self, ballot: Ballot, value: &Value) -> bool {
        let slot = slot_of(&value.members, self.own_incarnation());
        let Some(member) = slot.and_then(|slot| value.members[slot].as_ref()) else {
            return false;
        };
        if ballot == BOOTSTRAP_BALLOT {
            // An empty disk has made no promises. A disk that holds a bootstrap value accepts no other one.
            let may_bootstrap = value.revision == 0
                && !member.joined_later
                && self.identity.bootstrap_size == value.members.len();
            let digest = digest_of(&value.encode());
            let holds_value = self.state.accepted.is_some_and(|accepted| accepted.digest == digest);
            holds_value || (self.is_empty() && may_bootstrap)
        } else {
            // An empty disk that joins after the bootstrap must catch up first (design 6.5).
            !self.is_empty()
        }
    }

    /// Responds with the membership snapshot. A replica that was told that it is no longer a member responds
    /// as well: a new disk may need its accepted value, and counts the response only if the responder is in
    /// the member table that the snapshots show (incident 0013).
    fn on_membership(&self, from: u64, wants_value: bool) -> Result<Response, Rejection> {
        let may_respond = !self.is_disk_unusable() && !self.is_bootstrapping();
        let Some((accepted, value)) = self.accepted_value().filter(|_| may_respond) else {
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

    /// Accepts a value with its batch; returns false if a higher proposal was accepted before.
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
                effects.push(Effect::log(
                    "two different values proposed under one ballot: this must never happen",
                ));
                return false;
            }
        }
        self.state.promised = self.state.promised.max(ballot);
        self.state.accepted = Some(proposal);
        let mut writes = Vec::new();
        self.store_version(&value, digest, bytes, &mut writes);
        self.store_batch(&value, batch, &mut writes);
        self.value = Some(value);
        writes.push(DiskWrite::State(self.state.clone()));
        self.prune_versions(&mut writes);
        effects.push(Effect::Persist(writes));
        true
    }

    /// Stores the batch of an accepted value, from the latest version backwards, up to the first one that is
    /// not the parent of the version stored before it.
    fn store_batch(&mut self, value: &Value, batch: Vec<Arc<Value>>, writes: &mut Vec<DiskWrite>) {
        let mut expected = value.parent_id();
        self.batch.clear();
        for ancestor in batch.into_iter().rev().take(value.batched_before as usize) {
            let bytes = ancestor.encode();
            if ancestor.revision != expected.revision || digest_of(&bytes) != expected.digest {
                break;
            }
            self.store_version(&ancestor, expected.digest, bytes, writes);
            expected = ancestor.parent_id();
            self.batch.insert(0, ancestor);
        }
    }
}
