//! The acceptor: promises and acceptances, and the versions that it keeps (design 6.2). Invariant: what it
//! tells rests on what was saved before, for effects are carried out in order.

use super::{Aside, At, DiskWrite, Effect, Op, Replica, StoredVersion, owned};
use super::{CHAIN_BYTES_MOST, FETCH_MOST, QUEUE_MOST};
use crate::protocol::{
    AcceptedProposal, BOOTSTRAP_BALLOT, Ballot, Digest, MembershipSnapshot, Outcome, Rejection,
    Request, Response, Value, slot_of,
};
use crate::retransmission::Judgement;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

impl Replica {
    pub(super) fn refuse(&self, ticket: u64, why: Rejection, effects: &mut Vec<Effect>) {
        let tell = Response::Rejected { reason: why, promised: self.state.promised };
        effects.push(Effect::Reply { ticket, response: tell });
    }

    pub(super) fn asked(
        &mut self,
        now: Duration,
        ticket: u64,
        ask: Request,
        effects: &mut Vec<Effect>,
    ) {
        match ask {
            Request::Prepare { from, ballot, known_digest: has } => {
                let (Some((accepted, value)), false) = (self.whole(), self.is_off()) else {
                    return self.refuse(ticket, Rejection::NotVoting, effects);
                };
                let accepted = *accepted;
                if slot_of(&value.members, from).is_none() {
                    return self.refuse(ticket, Rejection::NotAMember, effects);
                }
                if ballot < self.state.promised {
                    return self.refuse(ticket, Rejection::Preempted, effects);
                }
                if ballot > self.state.promised {
                    self.state.promised = ballot;
                    effects.push(Effect::Persist(vec![DiskWrite::State(self.state.clone())]));
                }
                let open = self.value.as_ref().map(|value| self.orders.unacknowledged(value, now));
                let value = self.value.as_ref().filter(|_| has != Some(accepted.digest));
                let before = if value.is_some() { owned(&self.before) } else { Vec::new() };
                let value = value.map(|value| (**value).clone());
                let tell = Response::Promise {
                    from: self.own(),
                    accepted,
                    value,
                    batch: before,
                    unacknowledged: open,
                };
                effects.push(Effect::Reply { ticket, response: tell });
            }
            Request::Accept { from, ballot, value, batch: before } => {
                if self.is_off() {
                    return self.refuse(ticket, Rejection::NotVoting, effects);
                }
                let seat = slot_of(&value.members, self.own());
                let Some(holder) = seat.and_then(|seat| value.members[seat].as_ref()) else {
                    return self.refuse(ticket, Rejection::NotVoting, effects);
                };
                if ballot == BOOTSTRAP_BALLOT {
                    // An empty disk has promised nothing to anyone; one that holds a beginning takes no
                    // other.
                    let may_begin = value.revision == 0
                        && !holder.joined_later
                        && self.identity.bootstrap_size == value.members.len();
                    let digest = crate::protocol::digest_of(&value.encode());
                    let has_it = self.state.accepted.is_some_and(|meta| meta.digest == digest);
                    if !(has_it || (self.is_blank() && may_begin)) {
                        return self.refuse(ticket, Rejection::NotVoting, effects);
                    }
                } else if self.is_blank() {
                    // One that came later must catch up first (design 6.5).
                    return self.refuse(ticket, Rejection::NotVoting, effects);
                }
                let known = self.value.as_ref().map_or(&value.members, |own| &own.members);
                if slot_of(known, from).is_none() && slot_of(&value.members, from).is_none() {
                    return self.refuse(ticket, Rejection::NotAMember, effects);
                }
                if ballot < self.state.promised {
                    return self.refuse(ticket, Rejection::Preempted, effects);
                }
                let before = before.into_iter().map(Arc::new).collect();
                match self.accept(ballot, Arc::new(value), before, effects) {
                    true => {
                        let tell = Response::Accepted { from: self.own() };
                        effects.push(Effect::Reply { ticket, response: tell });
                    }
                    false => self.refuse(ticket, Rejection::Preempted, effects),
                }
            }
            Request::QueryStatus => {
                let tell = Response::Status {
                    from: self.own(),
                    is_empty: self.is_blank() && !self.is_off(),
                    bootstrap_size: self.identity.bootstrap_size,
                    is_voting: !self.is_off() && self.whole().is_some(),
                    accepted: self.state.accepted,
                };
                effects.push(Effect::Reply { ticket, response: tell });
            }
            Request::Ping => {
                let tell = Response::Pong { from: self.own(), is_healthy: !self.is_off() };
                effects.push(Effect::Reply { ticket, response: tell });
            }
            Request::Fetch { revision, digest } => {
                // That one and what comes before it, as far as it is here and fits.
                let (mut versions, _) = self.chain_from((revision, digest));
                versions.truncate(FETCH_MOST);
                effects.push(Effect::ReplyFromDisk { ticket, versions, as_outcome: false });
            }
            Request::Membership { from, wants_value } => {
                // One that was told that its seat is gone shows what it accepted all the same: a new
                // disk may need it, and it counts by the table that all show (incident 0013).
                let may_show = !self.is_off() && !self.is_young();
                let Some((accepted, value)) = self.whole().filter(|_| may_show) else {
                    return self.refuse(ticket, Rejection::NotVoting, effects);
                };
                let is_told = wants_value && slot_of(&value.members, from).is_some();
                let shown = Box::new(MembershipSnapshot {
                    promised: self.state.promised,
                    accepted: *accepted,
                    members: value.members.clone(),
                    value: is_told.then(|| (**value).clone()),
                    batch: if is_told { owned(&self.before) } else { Vec::new() },
                });
                let tell = Response::Membership { from: self.own(), shown };
                effects.push(Effect::Reply { ticket, response: tell });
            }
            Request::Change { key, change, keyless_for: unnamed_for } => {
                let unnamed_since = unnamed_for.map(|waited| now.saturating_sub(waited));
                let op = Op::Change { ticket, key, change, unnamed_since };
                match self.verdict(&op) {
                    Judgement::Undecided if self.held.len() < QUEUE_MOST => self.held.push_back(op),
                    _ => self.enqueue(op, effects),
                }
            }
            Request::Acknowledge { content_hash: matter, revision } => {
                if let Some(value) = &self.value {
                    self.orders.acknowledge(value, matter, revision, now);
                }
                self.release(effects);
                effects.push(Effect::Reply { ticket, response: Response::Acknowledged });
            }
            Request::Read => self.enqueue_shared(Op::Read { tickets: vec![ticket] }, effects),
            Request::ReadIndex => self.enqueue_shared(Op::Floor { tickets: vec![ticket] }, effects),
            Request::History { revision } => {
                self.enqueue(Op::History { ticket, revision }, effects)
            }
        }
    }

    pub(super) fn verdict(&mut self, op: &Op) -> Judgement {
        match (op, &self.value) {
            (Op::Change { change, unnamed_since, .. }, Some(value)) if self.votes() => {
                self.orders.judge(value, change, *unnamed_since, self.now)
            }
            _ => Judgement::New,
        }
    }

    /// Looks again at orders that could not be told from the ones before them. One that turns out to be
    /// another order is asked for anew: where its registry died, the caller has sent it again, and that
    /// may have been the one before.
    pub(super) fn release(&mut self, effects: &mut Vec<Effect>) {
        for op in std::mem::take(&mut self.held) {
            match self.verdict(&op) {
                Judgement::Undecided => self.held.push_back(op),
                Judgement::Retransmission { .. } => self.enqueue(op, effects),
                Judgement::New => {
                    let why = "it waited for the answer to one like it".to_string();
                    self.answer(&op, Outcome::NotApplied { reason: why }, effects);
                }
            }
        }
    }

    pub(super) fn enqueue(&mut self, op: Op, effects: &mut Vec<Effect>) {
        if !self.votes() {
            self.answer(&op, Outcome::NotApplied { reason: self.summary().reason.into() }, effects);
        } else if self.queue.len() >= QUEUE_MOST {
            let why = "too many changes wait".to_string();
            self.answer(&op, Outcome::NotApplied { reason: why }, effects);
        } else {
            self.queue.push_back(op);
        }
    }

    /// One round tells all that wait for the same: who asks joins those whose round has not begun.
    fn enqueue_shared(&mut self, op: Op, effects: &mut Vec<Effect>) {
        for waiting in &mut self.queue {
            match (waiting, &op) {
                (Op::Read { tickets }, Op::Read { tickets: more })
                | (Op::Floor { tickets }, Op::Floor { tickets: more }) => {
                    return tickets.extend(more);
                }
                _ => {}
            }
        }
        self.enqueue(op, effects);
    }

    /// Takes a value into this copy, with what was proposed together with it; false where a higher one
    /// is there.
    pub(super) fn accept(
        &mut self,
        ballot: Ballot,
        value: Arc<Value>,
        before: Vec<Arc<Value>>,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let bytes = value.encode();
        let digest = crate::protocol::digest_of(&bytes);
        let meta = AcceptedProposal { ballot, revision: value.revision, digest };
        if let Some(accepted) = self.state.accepted {
            if accepted.rank() > meta.rank() {
                return false;
            }
            if accepted == meta && self.value.is_some() {
                // Told twice.
                return true;
            }
            if accepted.rank() == meta.rank() && accepted.digest != digest {
                let text = "two values under one ballot: this must never happen";
                effects.push(Effect::Log(text.to_string()));
                return false;
            }
        }
        self.state.promised = self.state.promised.max(ballot);
        self.state.accepted = Some(meta);
        let mut writes = Vec::new();
        let (mut revision, mut wanted) = (value.parent_revision, value.parent);
        self.keep(&value, digest, bytes, &mut writes);
        // As far as they are what it names as its parents.
        self.before.clear();
        for one in before.into_iter().rev().take(value.batched_before as usize) {
            let bytes = one.encode();
            if one.revision != revision || crate::protocol::digest_of(&bytes) != wanted {
                break;
            }
            self.keep(&one, wanted, bytes, &mut writes);
            (revision, wanted) = (one.parent_revision, one.parent);
            self.before.insert(0, one);
        }
        self.orders.observe(&value, self.now);
        self.value = Some(value);
        writes.push(DiskWrite::State(self.state.clone()));
        self.prune(&mut writes);
        effects.push(Effect::Persist(writes));
        true
    }

    /// A version's file, unless it is there.
    pub(super) fn keep(
        &mut self,
        value: &Value,
        digest: Digest,
        bytes: Vec<u8>,
        writes: &mut Vec<DiskWrite>,
    ) {
        let (parent_revision, parent) = (value.parent_revision, value.parent);
        let one = StoredVersion { digest, parent_revision, parent, bytes: bytes.len() };
        let list = self.kept.entry(value.revision).or_default();
        if !list.iter().any(|kept| kept.digest == digest) {
            list.push(one);
            writes.push(DiskWrite::Version { revision: value.revision, digest, bytes });
        }
    }

    /// The chain of versions from the chosen one back, as far as it is here; the last entry is
    /// the first one missing.
    pub(super) fn chain(&self) -> (Vec<At>, Option<At>) {
        match self.chosen {
            Some(meta) => self.chain_from((meta.revision, meta.digest)),
            None => (Vec::new(), None),
        }
    }

    pub(super) fn chain_from(&self, mut at: At) -> (Vec<At>, Option<At>) {
        let mut chain = Vec::new();
        let mut bytes = 0;
        loop {
            let kept = self.kept.get(&at.0);
            let Some(one) = kept.and_then(|list| list.iter().find(|one| one.digest == at.1)) else {
                return (chain, Some(at));
            };
            chain.push(at);
            bytes += one.bytes;
            let is_full =
                chain.len() >= crate::protocol::HISTORY_LENGTH || bytes >= CHAIN_BYTES_MOST;
            if at.0 == 0 || is_full {
                return (chain, None);
            }
            at = (one.parent_revision, one.parent);
        }
    }

    /// Removes what lies off the chain below the chosen version, and what is too old; where the disk
    /// holds too many bytes, whatever is not on this copy's own chain as far as that may go.
    pub(super) fn prune(&mut self, writes: &mut Vec<DiskWrite>) {
        let total: usize = self.kept.values().map(Vec::len).sum();
        let bytes: usize = self.kept.values().flatten().map(|one| one.bytes).sum();
        let is_heavy = bytes > crate::protocol::MAX_HISTORY_BYTES;
        if total <= crate::protocol::HISTORY_LENGTH + 64 && !is_heavy {
            return;
        }
        let accepted = self.state.accepted.map(|meta| (meta.revision, meta.digest));
        let (chain, missing) = match accepted {
            Some(at) if is_heavy => self.chain_from(at),
            _ => self.chain(),
        };
        let Some(lowest) = chain.last().map(|(revision, _)| *revision) else {
            return;
        };
        if missing.is_some() && !is_heavy {
            return;
        }
        let chosen = self.chosen.map_or(0, |meta| meta.revision);
        let chain: BTreeSet<(u64, Digest)> = chain.into_iter().collect();
        let together: Vec<u64> = self.before.iter().map(|value| value.revision).collect();
        for (revision, list) in &mut self.kept {
            list.retain(|one| {
                let at = (*revision, one.digest);
                let stays = chain.contains(&at)
                    || accepted == Some(at)
                    || together.contains(revision)
                    || (!is_heavy && *revision > chosen)
                    || (!is_heavy && *revision >= lowest && *revision == chosen);
                if !stays {
                    writes.push(DiskWrite::Remove { revision: *revision, digest: one.digest });
                }
                stays
            });
        }
        self.kept.retain(|_, list| !list.is_empty());
    }

    pub(super) fn told_aside(
        &mut self,
        aside: Aside,
        tell: Option<Response>,
        effects: &mut Vec<Effect>,
    ) {
        match (aside, tell) {
            (Aside::Fetch { revision, digest }, Some(Response::Fetched(values))) => {
                let mut wanted = (revision, digest);
                let mut writes = Vec::new();
                for value in values {
                    let bytes = value.encode();
                    if crate::protocol::digest_of(&bytes) != wanted.1 {
                        break;
                    }
                    let digest = wanted.1;
                    wanted = (value.parent_revision, value.parent);
                    self.keep(&value, digest, bytes, &mut writes);
                    if self.value.is_none()
                        && self.state.accepted.is_some_and(|meta| meta.digest == digest)
                    {
                        self.value = Some(Arc::new(value));
                    }
                }
                if !writes.is_empty() {
                    effects.push(Effect::Persist(writes));
                    // The chain goes on at once.
                    self.aside_at = Duration::ZERO;
                }
            }
            (Aside::Membership, Some(Response::Membership { from, shown })) => {
                self.members.insert(from, *shown);
                self.judge_membership(effects);
            }
            _ => {}
        }
    }
}
