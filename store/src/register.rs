//! The register: acceptor and proposer of one store as a pure state machine (design 6.2 to 6.6).
//! Effects are carried out strictly in order: an answer that stands behind a `Save` leaves only
//! once that save is on the disk.

use crate::talk::{Ask, Ballot, Change, Digest, From, Holder, Meta, Outcome, Refusal, Seats};
use crate::talk::{Tell, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// What the state file holds.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct State {
    pub incarnation: u64,
    pub promised: Ballot,
    pub accepted: Option<Meta>,
}

/// One readable version file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kept {
    pub digest: Digest,
    pub parent_revision: u64,
    pub parent: Digest,
}

/// What was read from the disk at the start.
pub struct Found {
    pub state: State,
    /// The accepted value, if its file is whole.
    pub value: Option<Arc<Value>>,
    pub kept: Vec<(u64, Kept)>,
}

pub enum Event {
    Pulse,
    Asked {
        ticket: u64,
        ask: Ask,
    },
    Told {
        call: u64,
        tell: Option<Tell>,
    },
    /// Live stores that claim a seat, as the news has them.
    Live(Vec<Claim>),
    /// The highest revision that is known as chosen to anyone.
    Heard {
        revision: u64,
    },
    /// The disk refused a write or a sync: this copy must not vote any more.
    DiskFailed,
    /// A version file turned out damaged.
    Damaged {
        revision: u64,
        digest: Digest,
    },
}

/// A live store's claim to a seat; two may claim the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    pub seat: u8,
    pub incarnation: u64,
    pub blank: bool,
}

#[derive(Debug)]
pub enum Effect {
    Save(Vec<Write>),
    /// Ask the store at a seat: the one with this incarnation, or whichever holds something.
    Call {
        call: u64,
        seat: u8,
        incarnation: Option<u64>,
        ask: Ask,
    },
    Answer {
        ticket: u64,
        tell: Tell,
    },
    /// Answer with `Fetched` or, for an operator, with an outcome, from the version's file.
    AnswerFromFile {
        ticket: u64,
        versions: Vec<At>,
        as_outcome: bool,
    },
    /// This version is chosen: tell all.
    Chosen(Arc<Value>),
    Noted(String),
}

#[derive(Debug)]
pub enum Write {
    Version { revision: u64, digest: Digest, bytes: Vec<u8> },
    State(State),
    Remove { revision: u64, digest: Digest },
}

#[derive(Debug)]
enum Op {
    Change {
        ticket: u64,
        key: String,
        change: Change,
    },
    Read {
        ticket: u64,
    },
    History {
        ticket: u64,
        revision: u64,
    },
    /// Find copies that are behind, settle what is half done.
    Sweep,
    /// Give a lost seat to an empty disk.
    Seat {
        seat: u8,
        incarnation: u64,
    },
    Genesis,
}

#[derive(Debug)]
enum Phase {
    /// Whether the old holder of a seat is really gone.
    Checking,
    Querying {
        states: BTreeMap<u8, (From, Option<Meta>, bool)>,
    },
    /// `best` is the highest accepted value among the promises: what has to be built on.
    Preparing {
        ballot: Ballot,
        promises: BTreeMap<u8, (From, Meta)>,
        best: (Meta, Arc<Value>),
    },
    /// Accepting a value that was there already.
    Mending {
        ballot: Ballot,
        value: Arc<Value>,
        meta: Meta,
        accepts: BTreeMap<u8, From>,
    },
    /// Accepting the value that the operation makes.
    Writing {
        ballot: Ballot,
        value: Arc<Value>,
        meta: Meta,
        accepts: BTreeMap<u8, From>,
    },
    /// Outbid; goes on at this time.
    Resting {
        until: Duration,
    },
}

#[derive(Debug)]
struct Job {
    op: Op,
    phase: Phase,
    /// Calls of the phase that are out, by number.
    open: BTreeMap<u64, u8>,
    tries: u32,
    /// The highest ballot that outbid us.
    outbid: Ballot,
}

const TRIES_MOST: u32 = 5;
const SWEEP_EVERY: Duration = Duration::from_secs(3);
const QUEUE_MOST: usize = 256;
/// Versions, and bytes of them, that one reply to a copy that lacks them holds.
const FETCH_MOST: usize = 64;
const FETCH_BYTES_MOST: usize = 1 << 20;

/// A version by revision and digest.
pub type At = (u64, Digest);

/// The answer to `AnswerFromFile`, given how a file is read, and the version whose file turned out
/// damaged. For the shells.
pub fn from_files(
    versions: &[At],
    as_outcome: bool,
    load: impl Fn(&At) -> Option<Value>,
) -> (Tell, Option<At>) {
    let mut read = Vec::new();
    let mut bytes = 0;
    let mut damaged = None;
    for at in versions {
        let Some(value) = load(at) else {
            damaged = Some(*at);
            break;
        };
        bytes += value.setup.len() + 20 * value.keys.len();
        read.push(value);
        if bytes > FETCH_BYTES_MOST {
            break;
        }
    }
    let tell = match (as_outcome, read.pop()) {
        (false, last) => {
            read.extend(last);
            Tell::Fetched(read)
        }
        (true, Some(value)) => Tell::Outcome(Outcome::Value { value }),
        (true, None) => Tell::Outcome(Outcome::NothingDone {
            why: "this copy's file is damaged and being mended".to_string(),
        }),
    };
    (tell, damaged)
}

pub struct Register {
    seat: u8,
    state: State,
    value: Option<Arc<Value>>,
    kept: BTreeMap<u64, Vec<Kept>>,
    /// Known as chosen, with its digest where this copy has it.
    chosen: Option<Meta>,
    heard_revision: u64,
    live: Vec<Claim>,
    job: Option<Job>,
    queue: VecDeque<Op>,
    next_call: u64,
    /// Fetches and admission asks, apart from the job.
    aside: BTreeMap<u64, Aside>,
    admissions: BTreeMap<u8, (Ballot, Meta, Value)>,
    /// Seats that were asked to admit this disk and have not replied.
    sweep_at: Duration,
    aside_at: Duration,
    fetch_turn: usize,
    seat_at: Duration,
    failed: bool,
    unseated: bool,
}

#[derive(Clone, Copy, Debug)]
enum Aside {
    Fetch { revision: u64, digest: Digest },
    Admit { seat: u8 },
    Mend,
}

/// For status: what this copy holds and whether it votes.
#[derive(Clone, Debug)]
pub struct Summary {
    pub seat: u8,
    pub incarnation: u64,
    pub votes: bool,
    pub blank: bool,
    pub why: &'static str,
    pub promised: u64,
    pub accepted: u64,
    pub chosen: u64,
    pub versions: usize,
    pub seats: Seats,
}

impl Register {
    pub fn new(seat: u8, found: Found, now: Duration) -> Register {
        let mut kept: BTreeMap<u64, Vec<Kept>> = BTreeMap::new();
        for (revision, one) in found.kept {
            kept.entry(revision).or_default().push(one);
        }
        Register {
            seat,
            state: found.state,
            value: found.value,
            kept,
            chosen: None,
            heard_revision: 0,
            live: Vec::new(),
            job: None,
            queue: VecDeque::new(),
            next_call: 0,
            aside: BTreeMap::new(),
            admissions: BTreeMap::new(),
            sweep_at: now,
            aside_at: now,
            fetch_turn: 0,
            seat_at: now,
            failed: false,
            unseated: false,
        }
    }

    pub fn is_blank(&self) -> bool {
        self.state.accepted.is_none()
    }

    pub fn summary(&self) -> Summary {
        let why = if self.failed {
            "its disk failed"
        } else if self.unseated {
            "its seat went to another disk"
        } else if self.is_blank() {
            "its disk is empty and waits for admission"
        } else if self.value.is_none() {
            "the file of its latest version is damaged and being fetched"
        } else {
            "it holds its seat"
        };
        Summary {
            seat: self.seat,
            incarnation: self.state.incarnation,
            votes: self.votes(),
            blank: self.is_blank(),
            why,
            promised: self.state.promised.number,
            accepted: self.state.accepted.map_or(0, |meta| meta.revision),
            chosen: self.chosen.map_or(0, |meta| meta.revision),
            versions: self.kept.values().map(Vec::len).sum(),
            seats: self.value.as_ref().map(|value| value.seats).unwrap_or_default(),
        }
    }

    fn own(&self) -> From {
        From { seat: self.seat, incarnation: self.state.incarnation }
    }

    fn votes(&self) -> bool {
        !self.failed && !self.unseated && self.whole().is_some()
    }

    /// What this copy accepted, where it has the bytes of it too.
    fn whole(&self) -> Option<(&Meta, &Arc<Value>)> {
        self.state.accepted.as_ref().zip(self.value.as_ref())
    }

    /// The first live seated store proposes; the others leave it to it (design 6.3).
    fn is_first(&self) -> bool {
        let seats = self.value.as_ref().map(|value| value.seats).unwrap_or_default();
        !self.live.iter().any(|claim| {
            claim.seat < self.seat
                && !claim.blank
                && seats[usize::from(claim.seat)]
                    .is_some_and(|holder| holder.incarnation == claim.incarnation)
        })
    }

    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Pulse => self.pulse(now, &mut effects),
            Event::Asked { ticket, ask } => self.asked(now, ticket, ask, &mut effects),
            Event::Told { call, tell } => self.told(now, call, tell, &mut effects),
            Event::Live(live) => self.live = live,
            Event::Heard { revision } => self.heard_revision = self.heard_revision.max(revision),
            Event::DiskFailed => {
                if !self.failed {
                    self.failed = true;
                    effects.push(Effect::Noted("the disk failed; this store stops voting".into()));
                    if let Some(job) = self.job.take() {
                        self.fail(job, "the disk failed", &mut effects);
                    }
                }
            }
            Event::Damaged { revision, digest } => {
                if let Some(list) = self.kept.get_mut(&revision) {
                    list.retain(|one| one.digest != digest);
                }
                effects.push(Effect::Noted(format!("the file of revision {revision} is damaged")));
            }
        }
        self.start_next(now, &mut effects);
        effects
    }

    // ---- acceptor ----------------------------------------------------------------------------

    fn refuse(&self, ticket: u64, why: Refusal, effects: &mut Vec<Effect>) {
        let tell = Tell::Refused { why, promised: self.state.promised };
        effects.push(Effect::Answer { ticket, tell });
    }

    /// Whether the asker's disk holds its seat as far as this copy knows.
    fn holds(&self, from: From, seats: &Seats) -> bool {
        seats
            .get(usize::from(from.seat))
            .copied()
            .flatten()
            .is_some_and(|holder| holder.incarnation == from.incarnation)
    }

    fn asked(&mut self, now: Duration, ticket: u64, ask: Ask, effects: &mut Vec<Effect>) {
        match ask {
            Ask::Prepare { from, ballot, has } => {
                let (Some((accepted, value)), true) = (self.whole(), self.votes()) else {
                    return self.refuse(ticket, Refusal::NoVote, effects);
                };
                let accepted = *accepted;
                if !self.holds(from, &value.seats) {
                    return self.refuse(ticket, Refusal::Unseated, effects);
                }
                if ballot < self.state.promised {
                    return self.refuse(ticket, Refusal::Outbid, effects);
                }
                if ballot > self.state.promised {
                    self.state.promised = ballot;
                    effects.push(Effect::Save(vec![Write::State(self.state.clone())]));
                }
                let value = self.value.as_ref().filter(|_| has != Some(accepted.digest));
                let value = value.map(|value| (**value).clone());
                let tell = Tell::Promise { from: self.own(), accepted, value };
                effects.push(Effect::Answer { ticket, tell });
            }
            Ask::Accept { from, ballot, value } => {
                if self.failed || self.unseated {
                    return self.refuse(ticket, Refusal::NoVote, effects);
                }
                match value.seats[usize::from(self.seat)] {
                    Some(holder) if holder.incarnation == self.state.incarnation => {
                        // An empty disk of genesis has promised nothing to anyone; one that came
                        // later must catch up first (design 6.5).
                        if self.is_blank() && holder.admitted {
                            return self.refuse(ticket, Refusal::NoVote, effects);
                        }
                    }
                    _ => return self.refuse(ticket, Refusal::NoVote, effects),
                }
                let known = self.value.as_ref().map_or(&value.seats, |own| &own.seats);
                if !self.holds(from, known) && !self.holds(from, &value.seats) {
                    return self.refuse(ticket, Refusal::Unseated, effects);
                }
                if ballot < self.state.promised {
                    return self.refuse(ticket, Refusal::Outbid, effects);
                }
                match self.accept(ballot, Arc::new(value), effects) {
                    true => {
                        let tell = Tell::Accepted { from: self.own() };
                        effects.push(Effect::Answer { ticket, tell });
                    }
                    false => self.refuse(ticket, Refusal::Outbid, effects),
                }
            }
            Ask::Query => {
                let tell = Tell::State {
                    from: self.own(),
                    blank: self.is_blank(),
                    votes: self.votes(),
                    promised: self.state.promised,
                    accepted: self.state.accepted,
                };
                effects.push(Effect::Answer { ticket, tell });
            }
            Ask::Fetch { revision, digest } => {
                // That one and what comes before it, as far as it is here and fits.
                let (mut versions, _) = self.chain_from((revision, digest));
                versions.truncate(FETCH_MOST);
                effects.push(Effect::AnswerFromFile { ticket, versions, as_outcome: false });
            }
            Ask::Admit { from } => {
                let tell = match self.whole() {
                    Some((meta, value)) if self.votes() && self.holds(from, &value.seats) => {
                        Tell::Admitted {
                            promised: self.state.promised,
                            accepted: *meta,
                            value: (**value).clone(),
                        }
                    }
                    _ => Tell::NotAdmitted,
                };
                effects.push(Effect::Answer { ticket, tell });
            }
            Ask::Change { key, change } => {
                self.enqueue(Op::Change { ticket, key, change }, effects);
            }
            Ask::Read => self.enqueue(Op::Read { ticket }, effects),
            Ask::History { revision } => self.enqueue(Op::History { ticket, revision }, effects),
        }
        let _ = now;
    }

    fn enqueue(&mut self, op: Op, effects: &mut Vec<Effect>) {
        if !self.votes() {
            self.answer(&op, Outcome::NothingDone { why: self.summary().why.into() }, effects);
        } else if self.queue.len() >= QUEUE_MOST {
            let why = "too many changes wait".to_string();
            self.answer(&op, Outcome::NothingDone { why }, effects);
        } else {
            self.queue.push_back(op);
        }
    }

    /// Takes a value into this copy; false where a higher one is there.
    fn accept(&mut self, ballot: Ballot, value: Arc<Value>, effects: &mut Vec<Effect>) -> bool {
        let bytes = value.encode();
        let digest = crate::talk::digest_of(&bytes);
        let meta = Meta { ballot, revision: value.revision, digest };
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
                effects.push(Effect::Noted(text.to_string()));
                return false;
            }
        }
        self.state.promised = self.state.promised.max(ballot);
        self.state.accepted = Some(meta);
        self.keep(&value, digest);
        let revision = value.revision;
        self.value = Some(value);
        let mut writes =
            vec![Write::Version { revision, digest, bytes }, Write::State(self.state.clone())];
        self.prune(&mut writes);
        effects.push(Effect::Save(writes));
        true
    }

    fn keep(&mut self, value: &Value, digest: Digest) {
        let one = Kept { digest, parent_revision: value.parent_revision, parent: value.parent };
        let list = self.kept.entry(value.revision).or_default();
        if !list.iter().any(|kept| kept.digest == digest) {
            list.push(one);
        }
    }

    /// The chain of versions from the chosen one back, as far as it is here; the last entry is
    /// the first one missing.
    fn chain(&self) -> (Vec<At>, Option<At>) {
        match self.chosen {
            Some(meta) => self.chain_from((meta.revision, meta.digest)),
            None => (Vec::new(), None),
        }
    }

    fn chain_from(&self, mut at: At) -> (Vec<At>, Option<At>) {
        let mut chain = Vec::new();
        loop {
            let kept = self.kept.get(&at.0);
            let Some(one) = kept.and_then(|list| list.iter().find(|one| one.digest == at.1)) else {
                return (chain, Some(at));
            };
            chain.push(at);
            if at.0 == 0 || chain.len() >= crate::talk::HISTORY {
                return (chain, None);
            }
            at = (one.parent_revision, one.parent);
        }
    }

    /// Removes what lies off the chain below the chosen version, and what is too old.
    fn prune(&mut self, writes: &mut Vec<Write>) {
        let total: usize = self.kept.values().map(Vec::len).sum();
        if total <= crate::talk::HISTORY + 64 {
            return;
        }
        let (chain, missing) = self.chain();
        let Some(lowest) = chain.last().map(|(revision, _)| *revision) else {
            return;
        };
        if missing.is_some() {
            return;
        }
        let chosen = self.chosen.map_or(0, |meta| meta.revision);
        let chain: BTreeSet<(u64, Digest)> = chain.into_iter().collect();
        let accepted = self.state.accepted.map(|meta| (meta.revision, meta.digest));
        for (revision, list) in &mut self.kept {
            list.retain(|one| {
                let at = (*revision, one.digest);
                let stays = chain.contains(&at)
                    || *revision > chosen
                    || accepted == Some(at)
                    || (*revision >= lowest && *revision == chosen);
                if !stays {
                    writes.push(Write::Remove { revision: *revision, digest: one.digest });
                }
                stays
            });
        }
        self.kept.retain(|_, list| !list.is_empty());
    }

    // ---- proposer ----------------------------------------------------------------------------

    fn pulse(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if self.failed {
            return;
        }
        if let Some(job) = &self.job
            && let Phase::Resting { until } = job.phase
            && now >= until
        {
            let mut job = self.job.take().expect("just seen");
            self.prepare(&mut job, effects);
            self.job = Some(job);
            self.settle(now, effects);
        }
        if now >= self.sweep_at && self.job.is_none() && self.queue.is_empty() {
            if self.is_blank() {
                self.blank_pulse(effects);
                self.sweep_at = now + SWEEP_EVERY / 8;
            } else if self.votes() {
                let behind = self.chosen.map_or(0, |meta| meta.revision) < self.heard_revision;
                if self.is_first() || self.chosen.is_none() || behind {
                    self.queue.push_back(Op::Sweep);
                    let first = if self.is_first() { 1 } else { 2 };
                    self.sweep_at = now + SWEEP_EVERY * first;
                }
            }
        }
        if now >= self.seat_at && self.votes() && self.is_first() {
            let is_found = self.seat_pulse();
            self.seat_at = now + Duration::from_millis(if is_found { 1000 } else { 200 });
        }
        if now >= self.aside_at && !self.is_blank() {
            self.aside_at = now + Duration::from_millis(200);
            let missing = match (&self.value, self.state.accepted) {
                (None, Some(meta)) => Some((meta.revision, meta.digest)),
                (_, Some(meta)) => self.chain_from((meta.revision, meta.digest)).1,
                _ => None,
            };
            if self.aside.is_empty()
                && let Some((revision, digest)) = missing
            {
                // One of the others, in turn.
                self.fetch_turn = self.fetch_turn.wrapping_add(1);
                let seat = self.others()[self.fetch_turn % 2];
                let call = self.call(seat, Ask::Fetch { revision, digest }, effects);
                self.aside.insert(call, Aside::Fetch { revision, digest });
            }
        }
    }

    fn others(&self) -> Vec<u8> {
        (0..3).filter(|seat| *seat != self.seat).collect()
    }

    /// Asks the holder of a seat by the table of the value that this is about, or by one's own.
    fn call(&mut self, seat: u8, ask: Ask, effects: &mut Vec<Effect>) -> u64 {
        self.next_call += 1;
        let seats = match &ask {
            Ask::Accept { value, .. } => Some(value.seats),
            _ => self.value.as_ref().map(|value| value.seats),
        };
        let holder = seats.and_then(|seats| seats[usize::from(seat)]);
        let incarnation = holder.map(|holder| holder.incarnation);
        effects.push(Effect::Call { call: self.next_call, seat, incarnation, ask });
        self.next_call
    }

    /// An empty disk: genesis if all three are empty (the first of them makes it), else it asks
    /// the others whether it is admitted.
    fn blank_pulse(&mut self, effects: &mut Vec<Effect>) {
        let blank = |seat: u8| {
            let mut claims = self.live.iter().filter(|claim| claim.seat == seat);
            claims.clone().count() == 1 && claims.all(|claim| claim.blank)
        };
        let all = (0..3).all(blank);
        if all && self.seat == 0 {
            self.queue.push_back(Op::Genesis);
        }
        if !all && self.aside.is_empty() {
            self.admissions.clear();
            let from = self.own();
            for seat in self.others() {
                let call = self.call(seat, Ask::Admit { from }, effects);
                self.aside.insert(call, Aside::Admit { seat });
            }
        }
    }

    /// A seat whose disk is gone, and an empty one that stands in for it.
    fn seat_pulse(&mut self) -> bool {
        let Some(value) = &self.value else { return false };
        let claim = self.live.iter().find(|claim| {
            let holder = value.seats[usize::from(claim.seat)];
            claim.blank
                && claim.seat != self.seat
                && holder.is_none_or(|holder| holder.incarnation != claim.incarnation)
        });
        let Some(Claim { seat, incarnation, .. }) = claim.copied() else { return false };
        let is_seat = |op: &Op| matches!(op, Op::Seat { .. });
        let is_under_way = self.job.as_ref().is_some_and(|job| is_seat(&job.op));
        if !is_under_way && !self.queue.iter().any(is_seat) {
            // Before the operators' changes: with a seat empty the next loss would be one too many.
            self.queue.push_front(Op::Seat { seat, incarnation });
        }
        true
    }

    fn start_next(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        while self.job.is_none() {
            let Some(op) = self.queue.pop_front() else {
                return;
            };
            let mut job = Job {
                op,
                phase: Phase::Resting { until: now },
                open: BTreeMap::new(),
                tries: 0,
                outbid: Ballot::default(),
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
                Op::Read { .. } | Op::Sweep | Op::Genesis => self.query(&mut job, effects),
                Op::Change { .. } => self.prepare(&mut job, effects),
                Op::Seat { seat, .. } => {
                    let seat = *seat;
                    let call = self.call(seat, Ask::Query, effects);
                    job.open.insert(call, seat);
                    job.phase = Phase::Checking;
                }
            }
            self.job = Some(job);
            self.settle(now, effects);
        }
    }

    fn query(&mut self, job: &mut Job, effects: &mut Vec<Effect>) {
        job.open.clear();
        let mut states = BTreeMap::new();
        states.insert(self.seat, (self.own(), self.state.accepted, self.is_blank()));
        for seat in self.others() {
            let call = self.call(seat, Ask::Query, effects);
            job.open.insert(call, seat);
        }
        job.phase = Phase::Querying { states };
    }

    fn prepare(&mut self, job: &mut Job, effects: &mut Vec<Effect>) {
        job.open.clear();
        job.tries += 1;
        let number = self.state.promised.max(job.outbid).number + 1;
        let ballot = Ballot { number, seat: self.seat, incarnation: self.state.incarnation };
        let Some((accepted, value)) = self.whole() else {
            return;
        };
        let best = (*accepted, value.clone());
        let from = self.own();
        let promises = BTreeMap::from([(self.seat, (from, best.0))]);
        let has = Some(best.0.digest);
        // Its own disk first: so the ballot is never used twice.
        self.state.promised = ballot;
        effects.push(Effect::Save(vec![Write::State(self.state.clone())]));
        for seat in self.others() {
            let call = self.call(seat, Ask::Prepare { from, ballot, has }, effects);
            job.open.insert(call, seat);
        }
        job.phase = Phase::Preparing { ballot, promises, best };
    }

    fn told(&mut self, now: Duration, call: u64, tell: Option<Tell>, effects: &mut Vec<Effect>) {
        if let Some(aside) = self.aside.remove(&call) {
            self.told_aside(aside, tell, effects);
            return;
        }
        let Some(mut job) = self.job.take() else {
            return;
        };
        let Some(seat) = job.open.remove(&call) else {
            self.job = Some(job);
            return;
        };
        match (&mut job.phase, tell) {
            (Phase::Checking, Some(Tell::State { from, votes: true, .. })) => {
                let seats = self.value.as_ref().map(|value| value.seats).unwrap_or_default();
                if self.holds(from, &seats) {
                    // It may come and go as it likes: nobody takes its seat while it replies.
                    let text =
                        format!("seat {seat} is claimed by an empty disk, but its holder lives");
                    effects.push(Effect::Noted(text));
                    return;
                }
            }
            (
                Phase::Querying { states },
                Some(Tell::State { from, blank, accepted, votes, .. }),
            ) if votes || blank => {
                states.insert(seat, (from, accepted, blank));
            }
            (
                Phase::Preparing { ballot, promises, best },
                Some(Tell::Promise { from, accepted, value }),
            ) => {
                // Where this very copy has promised another proposer since, the ballot is lost.
                let is_own = self.state.promised == *ballot && from.seat == seat;
                if is_own && accepted.rank() <= best.0.rank() {
                    promises.insert(seat, (from, accepted));
                } else if is_own
                    && let Some(value) = value
                    && crate::talk::digest_of(&value.encode()) == accepted.digest
                {
                    // Not accepted here under its old ballot: a copy that promised a higher one
                    // must not, or a later read would count a majority that never was.
                    *best = (accepted, Arc::new(value));
                    promises.insert(seat, (from, accepted));
                }
            }
            (
                Phase::Mending { accepts, .. } | Phase::Writing { accepts, .. },
                Some(Tell::Accepted { from }),
            ) => {
                accepts.insert(seat, from);
            }
            (_, Some(Tell::Refused { why, promised })) => {
                job.outbid = job.outbid.max(promised);
                if why == Refusal::Unseated && !self.unseated {
                    self.unseated = true;
                    let text = "its seat went to another disk; this store stops voting";
                    effects.push(Effect::Noted(text.to_string()));
                }
            }
            _ => {}
        }
        self.job = Some(job);
        self.settle(now, effects);
    }

    fn told_aside(&mut self, aside: Aside, tell: Option<Tell>, effects: &mut Vec<Effect>) {
        match (aside, tell) {
            (Aside::Fetch { revision, digest }, Some(Tell::Fetched(values))) => {
                let mut wanted = (revision, digest);
                let mut writes = Vec::new();
                for value in values {
                    let bytes = value.encode();
                    if crate::talk::digest_of(&bytes) != wanted.1 {
                        break;
                    }
                    let (revision, digest) = wanted;
                    wanted = (value.parent_revision, value.parent);
                    self.keep(&value, digest);
                    writes.push(Write::Version { revision, digest, bytes });
                    if self.value.is_none()
                        && self.state.accepted.is_some_and(|meta| meta.digest == digest)
                    {
                        self.value = Some(Arc::new(value));
                    }
                }
                if !writes.is_empty() {
                    effects.push(Effect::Save(writes));
                    // The chain goes on at once.
                    self.aside_at = Duration::ZERO;
                }
            }
            (Aside::Admit { seat }, Some(Tell::Admitted { promised, accepted, value })) => {
                if !self.is_blank() || crate::talk::digest_of(&value.encode()) != accepted.digest {
                    return;
                }
                self.admissions.insert(seat, (promised, accepted, value));
                self.try_admission(effects);
            }
            _ => {}
        }
    }

    /// Votes only when every other holder has shown that it refuses the old disk (design 6.5).
    fn try_admission(&mut self, effects: &mut Vec<Effect>) {
        let Some((_, best, value)) =
            self.admissions.values().max_by_key(|(_, accepted, _)| accepted.rank())
        else {
            return;
        };
        let others = self.others();
        let holders = others.iter().filter(|seat| value.seats[usize::from(**seat)].is_some());
        if !holders.into_iter().all(|seat| self.admissions.contains_key(seat)) {
            return;
        }
        let (best, value) = (*best, Arc::new(value.clone()));
        let promised = self.admissions.values().map(|(promised, ..)| *promised).max();
        self.state.promised = self.state.promised.max(promised.unwrap_or_default());
        self.accept(best.ballot, value, effects);
        self.admissions.clear();
        self.sweep_at = Duration::ZERO;
        self.aside_at = Duration::ZERO;
        effects.push(Effect::Noted("admitted to its seat; this store votes".to_string()));
    }

    fn quorum(&self, seats: &Seats) -> usize {
        seats.iter().flatten().count() / 2 + 1
    }

    /// Looks whether the phase of the job is done, and goes on.
    fn settle(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        loop {
            let Some(job) = &self.job else { return };
            let is_over = job.open.is_empty();
            match &job.phase {
                Phase::Resting { .. } => return,
                Phase::Checking => {
                    if !is_over {
                        return;
                    }
                    let mut job = self.job.take().expect("just seen");
                    self.prepare(&mut job, effects);
                    self.job = Some(job);
                }
                Phase::Querying { states } => {
                    if matches!(job.op, Op::Genesis) {
                        if !is_over {
                            return;
                        }
                        let states = states.clone();
                        let job = self.job.take().expect("just seen");
                        return self.genesis(job, &states, effects);
                    }
                    let Some(value) = &self.value else {
                        let job = self.job.take().expect("just seen");
                        return self.fail(job, "no readable copy of the latest version", effects);
                    };
                    let seats = value.seats;
                    let best =
                        states.values().filter_map(|(_, meta, _)| *meta).max_by_key(Meta::rank);
                    let own = self.state.accepted;
                    let same = states
                        .values()
                        .filter(|(from, meta, _)| self.holds(*from, &seats) && *meta == best)
                        .count();
                    let is_sweep = matches!(job.op, Op::Sweep);
                    if best.is_some() && best == own && same >= self.quorum(&seats) {
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
                    if heard < self.quorum(&seats) {
                        return self.fail(job, "no majority of stores replies", effects);
                    }
                    if is_sweep && !self.is_first() {
                        // The first store mends; two would only outbid each other.
                        return;
                    }
                    self.prepare(&mut job, effects);
                    self.job = Some(job);
                }
                Phase::Preparing { ballot, promises, best } => {
                    let (ballot, (meta, value)) = (*ballot, best.clone());
                    let counted =
                        promises.values().filter(|(from, _)| self.holds(*from, &value.seats));
                    let quorum = self.quorum(&value.seats);
                    if counted.clone().count() >= quorum && self.state.promised == ballot {
                        let same = counted.filter(|(_, theirs)| *theirs == meta).count();
                        if same >= quorum && self.state.accepted == Some(meta) {
                            self.choose(meta, effects);
                            return self.under_ballot(now, Some(ballot), effects);
                        }
                        let mut job = self.job.take().expect("just seen");
                        self.propose(&mut job, ballot, value, true, effects);
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
                    if is_done {
                        self.choose(meta, effects);
                        return self.under_ballot(now, Some(ballot), effects);
                    }
                    if !is_over {
                        return;
                    }
                    let job = self.job.take().expect("just seen");
                    return self.rest(now, job, effects);
                }
                Phase::Writing { ballot, value, meta, accepts } => {
                    let is_done = self.is_enough(&job.op, value, accepts);
                    let (ballot, meta, value) = (*ballot, *meta, value.clone());
                    if is_done {
                        let job = self.job.take().expect("just seen");
                        self.choose(meta, effects);
                        let outcome = Outcome::Accepted {
                            revision: value.revision,
                            setup_revision: value.setup_revision,
                            repeat: false,
                        };
                        if let Op::Seat { seat, .. } = job.op {
                            let text = format!("seat {seat} goes to the empty disk there");
                            effects.push(Effect::Noted(text));
                        }
                        self.answer(&job.op, outcome, effects);
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

    /// A majority of the holders; for a change of seats all other holders (design 6.5).
    fn is_enough(&self, op: &Op, value: &Value, accepts: &BTreeMap<u8, From>) -> bool {
        let counted =
            |seat: &u8| accepts.get(seat).is_some_and(|from| self.holds(*from, &value.seats));
        match op {
            Op::Seat { seat: given, .. } => (0..3u8)
                .filter(|seat| seat != given && value.seats[usize::from(*seat)].is_some())
                .all(|seat| counted(&seat)),
            _ => (0..3u8).filter(counted).count() >= self.quorum(&value.seats),
        }
    }

    fn propose(
        &mut self,
        job: &mut Job,
        ballot: Ballot,
        value: Arc<Value>,
        is_mend: bool,
        effects: &mut Vec<Effect>,
    ) {
        job.open.clear();
        let from = self.own();
        for seat in self.others() {
            let ask = Ask::Accept { from, ballot, value: (*value).clone() };
            let call = self.call(seat, ask, effects);
            job.open.insert(call, seat);
        }
        let mut accepts = BTreeMap::new();
        if self.state.promised == ballot && self.accept(ballot, value.clone(), effects) {
            accepts.insert(self.seat, from);
        }
        let digest = crate::talk::digest_of(&value.encode());
        let meta = Meta { ballot, revision: value.revision, digest };
        job.phase = if is_mend {
            Phase::Mending { ballot, value, meta, accepts }
        } else {
            Phase::Writing { ballot, value, meta, accepts }
        };
    }

    fn choose(&mut self, meta: Meta, effects: &mut Vec<Effect>) {
        let is_new = self.chosen.is_none_or(|old| old.revision < meta.revision);
        if is_new {
            self.chosen = Some(meta);
            if let Some(value) = &self.value {
                effects.push(Effect::Chosen(value.clone()));
            }
        }
    }

    /// The current value was just seen as chosen. What the job wants to do to it is done now,
    /// under the ballot; and so is what queued up behind it.
    fn under_ballot(&mut self, now: Duration, ballot: Option<Ballot>, effects: &mut Vec<Effect>) {
        loop {
            let mut job = match self.job.take() {
                Some(job) => job,
                None => {
                    let Some(ballot) = ballot else { return };
                    // The ballot may have been outbid here since.
                    if self.state.promised != ballot {
                        return;
                    }
                    match self.queue.pop_front() {
                        Some(op @ Op::Seat { .. }) => {
                            // Its holder has to be asked first.
                            self.queue.push_front(op);
                            return;
                        }
                        Some(op) => Job {
                            op,
                            phase: Phase::Resting { until: now },
                            open: BTreeMap::new(),
                            tries: 1,
                            outbid: Ballot::default(),
                        },
                        None => return,
                    }
                }
            };
            let Some((own, value)) = self.whole() else {
                return;
            };
            let (own, value) = (*own, value.clone());
            let next = match &job.op {
                Op::Change { key, change, .. } => changed(&value, &own, key, change),
                Op::Seat { seat, incarnation } => Ok(seated(&value, &own, *seat, *incarnation)),
                Op::Read { .. } | Op::History { .. } | Op::Sweep | Op::Genesis => {
                    self.finish_read(job, effects);
                    continue;
                }
            };
            match next {
                Err(outcome) => self.answer(&job.op, outcome, effects),
                Ok(next) => {
                    let Some(ballot) = ballot else {
                        // Came here by a query: it takes a ballot to write.
                        self.prepare(&mut job, effects);
                        self.job = Some(job);
                        return;
                    };
                    self.propose(&mut job, ballot, Arc::new(next), false, effects);
                    self.job = Some(job);
                    return self.settle(now, effects);
                }
            }
        }
    }

    /// Copies that a sweep found behind get the chosen version, under its own ballot.
    fn mend_copies(
        &mut self,
        meta: Meta,
        states: &BTreeMap<u8, (From, Option<Meta>, bool)>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(value) = self.value.clone() else {
            return;
        };
        let from = self.own();
        for (seat, (who, theirs, _)) in states {
            if *seat != self.seat
                && self.holds(*who, &value.seats)
                && theirs.is_none_or(|theirs| theirs.rank() < meta.rank())
            {
                let ask = Ask::Accept { from, ballot: meta.ballot, value: (*value).clone() };
                let call = self.call(*seat, ask, effects);
                self.aside.insert(call, Aside::Mend);
            }
        }
    }

    fn finish_read(&mut self, job: Job, effects: &mut Vec<Effect>) {
        match job.op {
            Op::Read { ticket } => {
                if let Some(value) = &self.value {
                    let outcome = Outcome::Value { value: (**value).clone() };
                    effects.push(Effect::Answer { ticket, tell: Tell::Outcome(outcome) });
                }
            }
            Op::History { ticket, revision } => self.answer_history(ticket, revision, effects),
            _ => {}
        }
    }

    fn answer_history(&mut self, ticket: u64, revision: u64, effects: &mut Vec<Effect>) {
        let (chain, missing) = self.chain();
        let latest = self.chosen.map_or(0, |meta| meta.revision);
        if let Some((revision, digest)) = chain.iter().find(|(one, _)| *one == revision) {
            let versions = vec![(*revision, *digest)];
            effects.push(Effect::AnswerFromFile { ticket, versions, as_outcome: true });
            return;
        }
        let outcome = match missing {
            Some((at, _)) if revision <= at => {
                Outcome::NothingDone { why: "this copy is still catching up".to_string() }
            }
            _ => Outcome::NoSuchRevision { latest },
        };
        effects.push(Effect::Answer { ticket, tell: Tell::Outcome(outcome) });
    }

    fn answer(&self, op: &Op, outcome: Outcome, effects: &mut Vec<Effect>) {
        match op {
            Op::Change { ticket, .. } | Op::Read { ticket } | Op::History { ticket, .. } => {
                let tell = Tell::Outcome(outcome);
                effects.push(Effect::Answer { ticket: *ticket, tell });
            }
            Op::Sweep | Op::Seat { .. } | Op::Genesis => {}
        }
    }

    /// Nothing of the operation was proposed to anyone.
    fn fail(&mut self, job: Job, why: &str, effects: &mut Vec<Effect>) {
        let is_writing = matches!(job.phase, Phase::Writing { .. });
        let outcome = if is_writing {
            Outcome::Unknown
        } else {
            Outcome::NothingDone { why: why.to_string() }
        };
        self.answer(&job.op, outcome, effects);
    }

    /// After a lost round: again a little later, the higher seats later, or give up.
    fn rest(&mut self, now: Duration, mut job: Job, effects: &mut Vec<Effect>) {
        let is_outbid = job.outbid >= self.state.promised;
        if job.tries >= TRIES_MOST || !is_outbid || self.unseated {
            return self.fail(job, "no majority of stores replies", effects);
        }
        let step = Duration::from_millis(20 + 60 * u64::from(self.seat));
        job.phase = Phase::Resting { until: now + step * job.tries };
        self.job = Some(job);
    }

    fn genesis(
        &mut self,
        job: Job,
        states: &BTreeMap<u8, (From, Option<Meta>, bool)>,
        effects: &mut Vec<Effect>,
    ) {
        drop(job);
        // Only when all three seats replied and all are empty: never from one side of a split,
        // never over a word that any disk still has (design 6.4).
        if states.len() != 3 || !self.is_blank() || !states.values().all(|(_, _, blank)| *blank) {
            return;
        }
        let mut seats = Seats::default();
        for (seat, (from, _, _)) in states {
            if from.seat != *seat {
                return;
            }
            seats[usize::from(*seat)] =
                Some(Holder { incarnation: from.incarnation, admitted: false });
        }
        let value = Value {
            revision: 0,
            parent_revision: 0,
            parent: Digest::default(),
            setup_revision: 0,
            setup: Vec::new(),
            emptied: BTreeSet::new(),
            seats,
            keys: VecDeque::new(),
        };
        let ballot = Ballot { number: 1, seat: self.seat, incarnation: self.state.incarnation };
        let from = self.own();
        effects.push(Effect::Noted("three empty seats: the word begins".to_string()));
        self.accept(ballot, Arc::new(value.clone()), effects);
        for seat in self.others() {
            let call = self.call(seat, Ask::Accept { from, ballot, value: value.clone() }, effects);
            self.aside.insert(call, Aside::Mend);
        }
        self.sweep_at = Duration::ZERO;
    }
}

/// The value after a change, or what to tell instead of changing anything.
fn changed(value: &Value, own: &Meta, key: &str, change: &Change) -> Result<Value, Outcome> {
    if let Some(known) = value.keys.iter().find(|known| known.key == key) {
        let (revision, setup_revision) = (known.revision, known.setup_revision);
        return Err(if known.matter == change.matter() {
            Outcome::Accepted { revision, setup_revision, repeat: true }
        } else {
            Outcome::KeyReused { revision }
        });
    }
    let mut next = child(value, own);
    let is_same = match change {
        Change::Setup { bytes, if_revision } => {
            if if_revision.is_some_and(|wanted| wanted != value.setup_revision) {
                return Err(Outcome::Conflict {
                    revision: value.revision,
                    setup_revision: value.setup_revision,
                });
            }
            next.setup = bytes.clone();
            next.setup_revision = next.revision;
            false
        }
        Change::Empty { zone } => !next.emptied.insert(zone.clone()),
        Change::Return { zone } => !next.emptied.remove(zone),
    };
    if is_same {
        let (revision, setup_revision) = (value.revision, value.setup_revision);
        return Err(Outcome::Accepted { revision, setup_revision, repeat: true });
    }
    next.keys.push_back(crate::talk::Submission {
        key: key.to_string(),
        matter: change.matter(),
        revision: next.revision,
        setup_revision: next.setup_revision,
    });
    while next.keys.len() > crate::talk::KEYS_MOST {
        next.keys.pop_front();
    }
    Ok(next)
}

fn seated(value: &Value, own: &Meta, seat: u8, incarnation: u64) -> Value {
    let mut next = child(value, own);
    next.seats[usize::from(seat)] = Some(Holder { incarnation, admitted: true });
    next
}

fn child(value: &Value, own: &Meta) -> Value {
    let mut next = value.clone();
    next.revision += 1;
    next.parent_revision = own.revision;
    next.parent = own.digest;
    next
}

/// Two of three disks are lost for good: the value that lets this copy go on alone. Its revision
/// leaps, so that nothing the lost disks may have accepted is ever taken for newer (design 6.6).
pub fn rescued(state: &State, value: &Value, seat: u8) -> (State, Value) {
    let meta = state.accepted.expect("only a store that holds the word can go on from it");
    let mut next = child(value, &meta);
    next.revision = value.revision + 1000;
    next.seats = Seats::default();
    next.seats[usize::from(seat)] = Some(Holder { incarnation: state.incarnation, admitted: true });
    let ballot =
        Ballot { number: state.promised.number + 1_000_000, seat, incarnation: state.incarnation };
    let digest = crate::talk::digest_of(&next.encode());
    let accepted = Some(Meta { ballot, revision: next.revision, digest });
    (State { incarnation: state.incarnation, promised: ballot, accepted }, next)
}
