//! The proposer: rounds of promises and acceptances, and the changes that go into them (design 6.2).
//! Invariant: a version is made only on a value that its round showed as chosen, and nothing is told but on
//! a round that began after it was asked for, or once a version made beside it is chosen.

use super::{Aside, BATCH_BYTES_MOST, BATCH_MOST, DiskWrite, QUEUE_MOST, TRIES_MOST, Watched};
use super::{Copy, Effect, Job, Op, Phase, Replica, Vacancy, changed, owned, seated};
use crate::protocol::{
    AcceptedProposal, BOOTSTRAP_BALLOT, Ballot, Change, Outcome, Rejection, Request, Response,
    Value, member_incarnations, quorum_size, slot_of,
};
use crate::retransmission::Judgement;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

impl Replica {
    pub(super) fn start_next(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        while self.job.is_none() && !self.failed {
            let Some(op) = self.queue.pop_front() else {
                return;
            };
            let mut job = Job {
                op,
                phase: Phase::Resting { until: now },
                open: BTreeMap::new(),
                tries: 0,
                outbid: Ballot::default(),
                promised: BTreeSet::new(),
            };
            match &job.op {
                Op::History { ticket, revision } => {
                    let (ticket, revision) = (*ticket, *revision);
                    if self.chosen.is_some_and(|meta| meta.revision >= revision) {
                        self.answer_history(ticket, revision, effects);
                        continue;
                    }
                    self.query(&mut job, effects);
                }
                Op::Read { .. } | Op::Floor { .. } | Op::Sweep | Op::Genesis { .. } => {
                    self.query(&mut job, effects)
                }
                // It may be back since, or another empty disk wants the seat.
                Op::Seat(vacancy) if !self.vacancies(now).contains(vacancy) => continue,
                Op::Change { .. } | Op::Batch { .. } | Op::Seat(_) => {
                    self.prepare(&mut job, effects);
                }
            }
            self.job = Some(job);
            self.settle(now, effects);
        }
    }

    pub(super) fn prepare(&mut self, job: &mut Job, effects: &mut Vec<Effect>) {
        job.open.clear();
        job.tries += 1;
        let number = self.state.promised.max(job.outbid).number + 1;
        let ballot = Ballot { number, incarnation: self.own() };
        let Some((accepted, value)) = self.whole() else {
            return;
        };
        let best = (*accepted, value.clone(), self.before.clone());
        let promises = BTreeMap::from([(self.own(), best.0)]);
        // Its own disk first: so the ballot is never used twice.
        self.state.promised = ballot;
        effects.push(Effect::Persist(vec![DiskWrite::State(self.state.clone())]));
        job.phase = Phase::Preparing { ballot, asked: BTreeSet::new(), promises, best };
        self.ask_promises(job, effects);
    }

    /// Asks those who hold seats by the best value so far, and were not asked yet.
    pub(super) fn ask_promises(&mut self, job: &mut Job, effects: &mut Vec<Effect>) {
        let own = self.own();
        let Phase::Preparing { ballot, asked, best, .. } = &mut job.phase else { return };
        let (ballot, has) = (*ballot, Some(best.0.digest));
        let seated =
            member_incarnations(&best.1.members).filter(|one| *one != own && asked.insert(*one));
        for incarnation in seated.collect::<Vec<u64>>() {
            let call = self.call(
                incarnation,
                Request::Prepare { from: own, ballot, known_digest: has },
                effects,
            );
            job.open.insert(call, incarnation);
        }
    }

    pub(super) fn told(
        &mut self,
        now: Duration,
        call: u64,
        tell: Option<Response>,
        effects: &mut Vec<Effect>,
    ) {
        if let Some((incarnation, asked_at)) = self.pings.remove(&call) {
            let watched = self.watched.entry(incarnation).or_default();
            match tell {
                Some(Response::Pong { from, is_healthy: true }) if from == incarnation => {
                    *watched = Watched { heard_at: now, silent_since: None };
                }
                _ => {
                    watched.silent_since.get_or_insert(asked_at);
                }
            }
            return;
        }
        if let Some(aside) = self.aside.remove(&call) {
            self.told_aside(aside, tell, effects);
            return;
        }
        let Some(mut job) = self.job.take() else {
            return;
        };
        let Some(asked) = job.open.remove(&call) else {
            self.job = Some(job);
            return;
        };
        match (&mut job.phase, tell) {
            (
                Phase::Querying { states },
                Some(Response::Status {
                    from,
                    is_empty: blank,
                    bootstrap_size: founders,
                    accepted,
                    is_voting: votes,
                }),
            ) if from == asked && (votes || blank) => {
                states.insert(from, Copy { accepted, blank, founders });
            }
            (Phase::Founding { held }, Some(Response::Accepted { from })) if from == asked => {
                held.insert(from);
            }
            (
                Phase::Preparing { ballot, promises, best, .. },
                Some(Response::Promise {
                    from,
                    accepted,
                    value,
                    batch: before,
                    unacknowledged: open,
                }),
            ) => {
                // Where this very copy has promised another proposer since, the ballot is lost.
                let is_own = self.state.promised == *ballot && from == asked;
                let has_it = self.state.accepted.is_some_and(|meta| meta.digest == accepted.digest);
                let told = match value {
                    Some(value) => {
                        let is_whole =
                            crate::protocol::digest_of(&value.encode()) == accepted.digest;
                        let before = before.into_iter().map(Arc::new).collect();
                        is_whole.then(|| (Arc::new(value), before))
                    }
                    // It was told that this copy has the bytes.
                    None => {
                        let own = self.value.clone().filter(|_| has_it);
                        own.map(|value| (value, self.before.clone()))
                    }
                };
                if let (Some((value, _)), Some(open)) = (&told, &open) {
                    self.orders.merge(value, open, now);
                }
                if is_own && accepted.rank() <= best.0.rank() {
                    promises.insert(from, accepted);
                } else if is_own && let Some((value, before)) = told {
                    // Not accepted here under its old ballot: a copy that promised a higher one
                    // must not, or a later read would count a majority that never was.
                    *best = (accepted, value, before);
                    promises.insert(from, accepted);
                    self.ask_promises(&mut job, effects);
                }
            }
            (
                Phase::Mending { accepts, .. } | Phase::Writing { accepts, .. },
                Some(Response::Accepted { from }),
            ) if from == asked => {
                accepts.insert(from);
            }
            (_, Some(Response::Rejected { reason: why, promised })) => {
                job.outbid = job.outbid.max(promised);
                if why == Rejection::NotAMember && !self.unseated {
                    self.unseated = true;
                    let text = "it is told that its seat went to another disk";
                    effects.push(Effect::Log(text.to_string()));
                }
            }
            _ => {}
        }
        self.job = Some(job);
        self.settle(now, effects);
    }

    /// Looks whether the phase of the job is done, and goes on.
    pub(super) fn settle(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        loop {
            let Some(job) = &self.job else { return };
            let is_over = job.open.is_empty();
            match &job.phase {
                Phase::Resting { .. } => return,
                Phase::Querying { states } => {
                    if matches!(job.op, Op::Genesis { .. }) {
                        if !is_over {
                            return;
                        }
                        let states = states.clone();
                        let job = self.job.take().expect("just seen");
                        self.begin(job, &states, effects);
                        continue;
                    }
                    let Some(value) = &self.value else {
                        let job = self.job.take().expect("just seen");
                        return self.fail(job, "no readable copy of the latest version", effects);
                    };
                    let seats = &value.members;
                    let best = states
                        .values()
                        .filter_map(|copy| copy.accepted)
                        .max_by_key(AcceptedProposal::rank);
                    let own = self.state.accepted;
                    let same = states
                        .iter()
                        .filter(|(from, copy)| {
                            slot_of(seats, **from).is_some() && copy.accepted == best
                        })
                        .count();
                    let majority = quorum_size(seats);
                    // Until all seats hold the beginning nothing is.
                    let best = best.filter(|meta| meta.ballot > BOOTSTRAP_BALLOT);
                    let is_sweep = matches!(job.op, Op::Sweep);
                    if best.is_some() && best == own && same >= majority {
                        if is_sweep && !is_over {
                            return;
                        }
                        let states = states.clone();
                        let job = self.job.take().expect("just seen");
                        let meta = own.expect("compared above");
                        self.choose(meta, effects);
                        if is_sweep {
                            self.mend_copies(meta, &states, effects);
                        }
                        self.finish_read(job, effects);
                        return self.under_ballot(now, None, effects);
                    }
                    if !is_over {
                        return;
                    }
                    let heard = states.len();
                    let mut job = self.job.take().expect("just seen");
                    if heard < majority {
                        return self.fail(job, "no majority of stores replies", effects);
                    }
                    if is_sweep && !self.is_first(now) {
                        // The first store mends; two would only outbid each other.
                        return;
                    }
                    if matches!(job.op, Op::Floor { .. }) && !self.is_first(now) {
                        // Likewise: whoever asks asks again, and the first store as well.
                        return self.fail(job, "the first store is settling it", effects);
                    }
                    self.prepare(&mut job, effects);
                    self.job = Some(job);
                }
                Phase::Founding { held } => {
                    let Op::Genesis { seats } = &job.op else { return };
                    let is_whole = member_incarnations(seats).all(|one| held.contains(&one));
                    if !is_whole && !is_over {
                        return;
                    }
                    let mut job = self.job.take().expect("just seen");
                    if !is_whole || !self.is_first(now) {
                        // Tried again, by the first that lives.
                        return;
                    }
                    // All hold it: it counts, and a ballot above its own says so on the disks.
                    job.op = Op::Sweep;
                    self.prepare(&mut job, effects);
                    self.job = Some(job);
                }
                Phase::Preparing { ballot, promises, best, .. } => {
                    let (ballot, (meta, value, before)) = (*ballot, best.clone());
                    let counted = promises
                        .iter()
                        .filter(|(from, _)| slot_of(&value.members, **from).is_some());
                    let majority = quorum_size(&value.members);
                    if counted.clone().count() >= majority && self.state.promised == ballot {
                        let promised = promises.keys().copied().collect();
                        let same = counted.filter(|(_, theirs)| **theirs == meta).count();
                        let is_own = self.state.accepted == Some(meta);
                        if let Some(job) = &mut self.job {
                            job.promised = promised;
                        }
                        if same >= majority && is_own && meta.ballot > BOOTSTRAP_BALLOT {
                            self.choose(meta, effects);
                            return self.under_ballot(now, Some(ballot), effects);
                        }
                        let mut job = self.job.take().expect("just seen");
                        self.propose(&mut job, ballot, value, before, true, effects);
                        self.job = Some(job);
                        continue;
                    }
                    if !is_over {
                        return;
                    }
                    let job = self.job.take().expect("just seen");
                    return self.rest(now, job, effects);
                }
                Phase::Mending { ballot, value, meta, accepts } => {
                    let is_done = self.is_enough(&job.op, value, accepts);
                    let (ballot, meta) = (*ballot, *meta);
                    // Where this very copy has gone on to another proposer's ballot meanwhile, what it
                    // holds now is not what was just chosen, and nothing may be made of it.
                    let is_own = self.state.promised == ballot && self.state.accepted == Some(meta);
                    if is_done {
                        self.choose(meta, effects);
                    }
                    if is_done && is_own {
                        return self.under_ballot(now, Some(ballot), effects);
                    }
                    if !is_over && !is_done {
                        return;
                    }
                    let mut job = self.job.take().expect("just seen");
                    job.outbid = job.outbid.max(self.state.promised);
                    return self.rest(now, job, effects);
                }
                Phase::Writing { ballot, value, meta, accepts } => {
                    let is_done = self.is_enough(&job.op, value, accepts);
                    let (ballot, meta) = (*ballot, *meta);
                    if is_done {
                        let job = self.job.take().expect("just seen");
                        self.choose(meta, effects);
                        if let Op::Seat(Vacancy { seat, name, .. }) = &job.op {
                            let text = format!("seat {seat} goes to the empty disk of {name}");
                            effects.push(Effect::Log(text));
                        }
                        if let Op::Batch { receipts } = job.op {
                            for (ticket, outcome) in receipts {
                                let tell = Response::Outcome(outcome);
                                effects.push(Effect::Reply { ticket, response: tell });
                            }
                        }
                        return self.under_ballot(now, Some(ballot), effects);
                    }
                    if !is_over {
                        return;
                    }
                    // Some copy may hold it and bring it back: nobody can tell from here.
                    let job = self.job.take().expect("just seen");
                    self.answer(&job.op, Outcome::Unknown, effects);
                    return;
                }
            }
        }
    }

    /// A majority of the holders; for a change of seats a majority of the others (design 6.5).
    pub(super) fn is_enough(&self, op: &Op, value: &Value, accepts: &BTreeSet<u64>) -> bool {
        let counted = member_incarnations(&value.members).filter(|one| accepts.contains(one));
        match op {
            Op::Seat(Vacancy { incarnation: given, .. }) => {
                let others = member_incarnations(&value.members).filter(|one| one != given).count();
                counted.filter(|one| one != given).count() > others / 2
            }
            _ => counted.count() >= quorum_size(&value.members),
        }
    }

    pub(super) fn propose(
        &mut self,
        job: &mut Job,
        ballot: Ballot,
        value: Arc<Value>,
        before: Vec<Arc<Value>>,
        is_mend: bool,
        effects: &mut Vec<Effect>,
    ) {
        job.open.clear();
        let from = self.own();
        for incarnation in member_incarnations(&value.members).filter(|one| *one != from) {
            let (value, before) = ((*value).clone(), owned(&before));
            let ask = Request::Accept { from, ballot, value, batch: before };
            let call = self.call(incarnation, ask, effects);
            job.open.insert(call, incarnation);
        }
        let mut accepts = BTreeSet::new();
        if self.state.promised == ballot
            && slot_of(&value.members, from).is_some()
            && self.accept(ballot, value.clone(), before, effects)
        {
            accepts.insert(from);
        }
        let digest = crate::protocol::digest_of(&value.encode());
        let meta = AcceptedProposal { ballot, revision: value.revision, digest };
        job.phase = if is_mend {
            Phase::Mending { ballot, value, meta, accepts }
        } else {
            Phase::Writing { ballot, value, meta, accepts }
        };
    }

    pub(super) fn choose(&mut self, meta: AcceptedProposal, effects: &mut Vec<Effect>) {
        let is_new = self.chosen.is_none_or(|old| old.revision < meta.revision);
        let is_held = self.state.accepted.is_some_and(|own| own.digest == meta.digest);
        if is_new && is_held {
            self.chosen = Some(meta);
            if let Some(value) = &self.value {
                effects.push(Effect::Committed(value.clone()));
            }
        }
    }

    /// The current value was just seen as chosen. What the job wants to do to it is done now,
    /// under the ballot; and so is what queued up behind it.
    pub(super) fn under_ballot(
        &mut self,
        now: Duration,
        ballot: Option<Ballot>,
        effects: &mut Vec<Effect>,
    ) {
        // Whether the round began after the job was asked for.
        let mut is_own_round = true;
        loop {
            let mut job = match self.job.take() {
                Some(job) => job,
                None => {
                    is_own_round = false;
                    let Some(ballot) = ballot else { return };
                    // The ballot may have been outbid here since.
                    if self.state.promised != ballot {
                        return;
                    }
                    match self.queue.pop_front() {
                        Some(
                            op @ (Op::Seat(_)
                            | Op::Floor { .. }
                            | Op::Read { .. }
                            | Op::History { .. }),
                        ) => {
                            // Whoever has to accept it is asked for a promise first: a table that
                            // too few can accept would stand in the way of all that comes after it.
                            // What is read takes a round that began after it was asked for: under
                            // this ballot another store may have chosen more by then (incident 0011).
                            self.queue.push_front(op);
                            return;
                        }
                        Some(op) => Job {
                            op,
                            phase: Phase::Resting { until: now },
                            open: BTreeMap::new(),
                            tries: 1,
                            outbid: Ballot::default(),
                            promised: BTreeSet::new(),
                        },
                        None => return,
                    }
                }
            };
            let Some((own, value)) = self.whole() else {
                return;
            };
            let (own, value) = (*own, value.clone());
            let made = match &job.op {
                Op::Change { .. } => {
                    let Some(_) = ballot else {
                        // Came here by a query: it takes a ballot to write.
                        self.prepare(&mut job, effects);
                        self.job = Some(job);
                        return;
                    };
                    let (receipts, made) =
                        self.together(job.op, &value, &own, is_own_round, effects);
                    if made.is_empty() {
                        // What is left in the queue takes a round of its own.
                        return;
                    }
                    job.op = Op::Batch { receipts };
                    made
                }
                // Its holder is back: nobody takes its seat while it replies.
                Op::Seat(Vacancy { old: Some(old), .. }) if job.promised.contains(old) => {
                    Vec::new()
                }
                Op::Seat(vacancy) => seated(&value, &own, vacancy).into_iter().collect(),
                Op::Read { .. }
                | Op::Floor { .. }
                | Op::History { .. }
                | Op::Sweep
                | Op::Genesis { .. }
                | Op::Batch { .. } => {
                    self.finish_read(job, effects);
                    continue;
                }
            };
            let (Some(ballot), mut before) = (ballot, made) else {
                self.prepare(&mut job, effects);
                self.job = Some(job);
                return;
            };
            if let Some(next) = before.pop() {
                self.propose(&mut job, ballot, next, before, false, effects);
                self.job = Some(job);
                return self.settle(now, effects);
            }
        }
    }

    /// A change and all others that wait, one version after the other, to be proposed in one round.
    /// What makes no version rests on what was seen as chosen: it is told at once if it is the first
    /// and the round began after it was asked for (`is_own_round`), else when a version that was made
    /// beside it is chosen. If none is made, it goes back to the queue, for a round of its own: another
    /// store may have chosen more since this one began (incident 0011).
    pub(super) fn together(
        &mut self,
        first: Op,
        value: &Value,
        own: &AcceptedProposal,
        is_own_round: bool,
        effects: &mut Vec<Effect>,
    ) -> (Vec<(u64, Outcome)>, Vec<Arc<Value>>) {
        let mut is_proven = is_own_round;
        let mut unproven = Vec::new();
        let mut receipts = Vec::new();
        let mut made: Vec<Arc<Value>> = Vec::new();
        let (mut last, mut meta) = (Arc::new(value.clone()), *own);
        let mut bytes = 0;
        let mut next = Some(first);
        while let Some(Op::Change { ticket, key, change, unnamed_since }) = next.take() {
            let verdict = self.orders.judge(&last, &change, unnamed_since, self.now);
            let is_known = last.known_write(&key).is_some();
            if verdict == Judgement::Undecided && !is_known {
                // The one before it waits in the same round.
                self.held.push_back(Op::Change { ticket, key, change, unnamed_since });
                next = self.next_change();
                continue;
            }
            let is_made = unnamed_since.is_some();
            match changed(&last, &meta, &key, is_made, &change, verdict) {
                Err(outcome) if is_proven => {
                    effects.push(Effect::Reply { ticket, response: Response::Outcome(outcome) });
                }
                Err(outcome) => {
                    receipts.push((ticket, outcome));
                    unproven.push(Op::Change { ticket, key, change, unnamed_since });
                }
                Ok(mut one) => {
                    self.orders.take(&key, unnamed_since, self.now);
                    one.batched_before = made.len() as u32;
                    let encoded = one.encode();
                    bytes += encoded.len();
                    meta.revision = one.revision;
                    meta.digest = crate::protocol::digest_of(&encoded);
                    let (revision, setup_revision) = (one.revision, one.config_revision);
                    // A setup that was overtaken is noted; the one in force stays.
                    let repeat = matches!(change, Change::ReplaceConfig { .. })
                        && setup_revision != revision;
                    let outcome = Outcome::Accepted {
                        revision,
                        config_revision: setup_revision,
                        is_repeat: repeat,
                    };
                    receipts.push((ticket, outcome));
                    last = Arc::new(one);
                    made.push(last.clone());
                }
            }
            is_proven = false;
            // As large as the largest so far, the next one must still fit.
            let mean = bytes / made.len().max(1);
            let is_small = unproven.len() < QUEUE_MOST;
            if is_small && made.len() < BATCH_MOST && bytes + mean <= BATCH_BYTES_MOST {
                next = self.next_change();
            }
        }
        if made.is_empty() {
            receipts.clear();
            for op in unproven.into_iter().rev() {
                self.queue.push_front(op);
            }
        }
        (receipts, made)
    }

    pub(super) fn next_change(&mut self) -> Option<Op> {
        let waits = self.queue.iter().position(|op| matches!(op, Op::Change { .. }));
        waits.and_then(|at| self.queue.remove(at))
    }

    /// Copies that a sweep found behind get the chosen version, under its own ballot.
    pub(super) fn mend_copies(
        &mut self,
        meta: AcceptedProposal,
        states: &BTreeMap<u64, Copy>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(value) = self.value.clone() else {
            return;
        };
        let from = self.own();
        for (who, copy) in states {
            if *who != from
                && slot_of(&value.members, *who).is_some()
                && copy.accepted.is_none_or(|theirs| theirs.rank() < meta.rank())
            {
                let (value, before) = ((*value).clone(), owned(&self.before));
                let ask = Request::Accept { from, ballot: meta.ballot, value, batch: before };
                let call = self.call(*who, ask, effects);
                self.aside.insert(call, Aside::Mend);
            }
        }
    }

    /// Nothing of the operation was proposed to anyone.
    pub(super) fn fail(&mut self, job: Job, why: &str, effects: &mut Vec<Effect>) {
        let is_writing = matches!(job.phase, Phase::Writing { .. });
        let outcome = if is_writing {
            Outcome::Unknown
        } else {
            Outcome::NotApplied { reason: why.to_string() }
        };
        self.answer(&job.op, outcome, effects);
    }

    /// After a lost round: again a little later, those further down the table later, or give up.
    pub(super) fn rest(&mut self, now: Duration, mut job: Job, effects: &mut Vec<Effect>) {
        let is_outbid = job.outbid >= self.state.promised;
        if job.tries >= TRIES_MOST || !is_outbid || self.unseated {
            return self.fail(job, "no majority of stores replies", effects);
        }
        let step = Duration::from_millis(20 + 60 * self.own_seat().unwrap_or(0) as u64);
        job.phase = Phase::Resting { until: now + step * job.tries };
        self.job = Some(job);
    }
}
