//! The register: acceptor and proposer of one store as a pure state machine (design 6.2 to 6.6).
//! Effects are carried out strictly in order: an answer that stands behind a `Save` leaves only
//! once that save is on the disk.

use crate::orders::{Orders, Verdict};
use crate::talk::{Ask, Ballot, Change, Digest, Holder, Membership, Meta, Outcome, Refusal, Seats};
use crate::talk::{GENESIS, Tell, Value, holders, quorum, seat_of};
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
    pub bytes: usize,
}

/// What was read from the disk at the start.
pub struct Found {
    pub state: State,
    /// The accepted value, if its file is whole.
    pub value: Option<Arc<Value>>,
    /// The versions that were proposed together with it, as far as they are whole.
    pub before: Vec<Arc<Value>>,
    pub kept: Vec<(u64, Kept)>,
}

/// What a store is told by its settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    pub name: String,
    /// So many empty stores begin a word; 0: this one takes no part in that.
    pub founders: usize,
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
    /// Live stores, as the news has them, this one included.
    Live(Vec<Claim>),
    /// The highest revision that is known as chosen to anyone.
    Heard {
        revision: u64,
    },
    /// The disk refused a write or a sync: this copy must not vote any more.
    DiskFailed,
    /// The disk works again, and this is what lasts on it: the copy goes on as after a restart.
    DiskWorks(Found),
    /// The disk is an empty one under a new incarnation, as `Reset` asked.
    Reset(Found),
    /// A version file turned out damaged.
    Damaged {
        revision: u64,
        digest: Digest,
    },
}

/// What a live store says of its disk; its seat is found by the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    pub name: String,
    pub incarnation: u64,
    pub blank: bool,
    /// Empty, it may take part in the beginning of a word.
    pub founds: bool,
}

#[derive(Debug)]
pub enum Effect {
    Save(Vec<Write>),
    /// Ask the store whose disk has this incarnation.
    Call {
        call: u64,
        incarnation: u64,
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
    /// The seat went to another disk: take a new incarnation and remove the old files; `Event::Reset`
    /// tells when that lasts (design 6.5).
    Reset,
    Noted(String),
}

#[derive(Debug)]
pub enum Write {
    Version { revision: u64, digest: Digest, bytes: Vec<u8> },
    State(State),
    Remove { revision: u64, digest: Digest },
}

#[derive(Clone, Debug)]
enum Op {
    Change {
        ticket: u64,
        key: String,
        change: Change,
        /// For a change whose caller gave no key: when the registry got the call.
        unnamed_since: Option<Duration>,
    },
    /// What is chosen with its value, for all who asked before the round began.
    Read {
        tickets: Vec<u64>,
    },
    /// The revision that is chosen, likewise (design 5.8).
    Floor {
        tickets: Vec<u64>,
    },
    History {
        ticket: u64,
        revision: u64,
    },
    /// Find copies that are behind, settle what is half done.
    Sweep,
    /// Give a lost seat, or a vacant one, to an empty disk.
    Seat(Vacancy),
    /// Begin the word with these seats, or find out whether all of them hold its beginning.
    Genesis {
        seats: Seats,
    },
    /// Changes that were proposed, with what to tell once they are chosen.
    Batch {
        receipts: Vec<(u64, Outcome)>,
    },
}

/// A seat to give, whose it was and who gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Vacancy {
    seat: usize,
    old: Option<u64>,
    name: String,
    incarnation: u64,
}

/// What a copy told of itself.
#[derive(Clone, Copy, Debug)]
struct Copy {
    accepted: Option<Meta>,
    blank: bool,
    founders: usize,
}

#[derive(Clone, Debug)]
enum Phase {
    Querying {
        states: BTreeMap<u64, Copy>,
    },
    /// All seats must hold the beginning; these do.
    Founding {
        held: BTreeSet<u64>,
    },
    /// `best` is the highest accepted value among the promises: what has to be built on, with what was
    /// proposed together with it.
    Preparing {
        ballot: Ballot,
        asked: BTreeSet<u64>,
        promises: BTreeMap<u64, Meta>,
        best: (Meta, Arc<Value>, Vec<Arc<Value>>),
    },
    /// Accepting a value that was there already.
    Mending {
        ballot: Ballot,
        value: Arc<Value>,
        meta: Meta,
        accepts: BTreeSet<u64>,
    },
    /// Accepting the value that the operation makes.
    Writing {
        ballot: Ballot,
        value: Arc<Value>,
        meta: Meta,
        accepts: BTreeSet<u64>,
    },
    /// Outbid; goes on at this time.
    Resting {
        until: Duration,
    },
}

#[derive(Clone, Debug)]
struct Job {
    op: Op,
    phase: Phase,
    /// Calls of the phase that are out, by number.
    open: BTreeMap<u64, u64>,
    tries: u32,
    /// The highest ballot that outbid us.
    outbid: Ballot,
    /// Who promised the last ballot.
    promised: BTreeSet<u64>,
}

const TRIES_MOST: u32 = 5;
const SWEEP_UNTIL_KNOWN: Duration = Duration::from_millis(150);
const SWEEP_EVERY: Duration = Duration::from_secs(3);
const QUEUE_MOST: usize = 256;
/// Changes, and about so many bytes of them, that one round takes together.
const BATCH_MOST: usize = 64;
const BATCH_BYTES_MOST: usize = vanepath_sibling::wire::FRAME_MOST / 2;
/// How often an empty disk, or one that may have lost its seat, asks for the table.
const MEMBERSHIP_EVERY: Duration = Duration::from_millis(375);
/// Behind what others know for so long, a copy asks whether it still has its seat.
const BEHIND_AFTER: Duration = Duration::from_secs(1);
/// While an empty disk waits, holders of seats are asked so often whether they are there.
const PING_EVERY: Duration = Duration::from_millis(250);
/// With nobody missing, so often.
const PING_SELDOM: Duration = Duration::from_secs(1);
/// Silent for so long when asked directly, a holder is lost even if the news still have it.
const SILENT_AFTER: Duration = Duration::from_millis(1500);
/// What lies further back than so many bytes is not kept once the disk holds the most.
const CHAIN_BYTES_MOST: usize = crate::talk::HISTORY_BYTES_MOST / 4 * 3;
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

#[derive(Clone, Debug)]
pub struct Register {
    identity: Identity,
    state: State,
    value: Option<Arc<Value>>,
    /// What was proposed together with the accepted value.
    before: Vec<Arc<Value>>,
    kept: BTreeMap<u64, Vec<Kept>>,
    /// Known as chosen, with its digest where this copy has it.
    chosen: Option<Meta>,
    heard_revision: u64,
    live: Vec<Claim>,
    job: Option<Job>,
    queue: VecDeque<Op>,
    next_call: u64,
    /// Fetches and the like, apart from the job.
    aside: BTreeMap<u64, Aside>,
    /// What others last showed of the table.
    members: BTreeMap<u64, Membership>,
    /// Holders of seats that were asked whether they are there, while an empty disk waits.
    pings: BTreeMap<u64, (u64, Duration)>,
    watched: BTreeMap<u64, Watched>,
    sweep_at: Duration,
    aside_at: Duration,
    members_at: Duration,
    ping_at: Duration,
    seat_at: Duration,
    pulsed_at: Duration,
    /// The time of the step under way.
    now: Duration,
    orders: Orders,
    /// Changes that cannot be told yet from the ones before them (design 6.10).
    held: VecDeque<Op>,
    behind_since: Option<Duration>,
    fetch_turn: usize,
    failed: bool,
    unseated: bool,
    resetting: bool,
}

#[derive(Clone, Copy, Debug)]
enum Aside {
    Fetch { revision: u64, digest: Digest },
    Membership,
    Mend,
}

/// A holder of a seat, by direct question and by the news.
#[derive(Clone, Copy, Debug, Default)]
struct Watched {
    heard_at: Duration,
    /// When the first of the questions was asked that it has left without an answer.
    silent_since: Option<Duration>,
}

/// For status: what this copy holds and whether it votes.
#[derive(Clone, Debug)]
pub struct Summary {
    pub name: String,
    pub seat: Option<usize>,
    pub incarnation: u64,
    pub founds: bool,
    pub votes: bool,
    pub blank: bool,
    pub why: &'static str,
    pub promised: u64,
    pub accepted: u64,
    pub chosen: u64,
    /// It has asked a majority since it was started, and knows what is chosen.
    pub settled: bool,
    pub versions: usize,
    pub seats: Seats,
}

impl Summary {
    /// As the news tell it.
    pub fn disk(&self) -> vanepath_sibling::wire::Disk {
        vanepath_sibling::wire::Disk {
            incarnation: self.incarnation,
            founds: self.founds,
            seat: self.seat.map(|seat| seat as u8),
        }
    }
}

impl Register {
    pub fn new(identity: Identity, found: Found, now: Duration) -> Register {
        let mut kept: BTreeMap<u64, Vec<Kept>> = BTreeMap::new();
        for (revision, one) in found.kept {
            kept.entry(revision).or_default().push(one);
        }
        let mut orders = Orders::default();
        if let Some(value) = &found.value {
            orders.see(value, now);
        }
        Register {
            identity,
            state: found.state,
            value: found.value,
            before: found.before,
            kept,
            chosen: None,
            heard_revision: 0,
            live: Vec::new(),
            job: None,
            queue: VecDeque::new(),
            next_call: 0,
            aside: BTreeMap::new(),
            members: BTreeMap::new(),
            pings: BTreeMap::new(),
            watched: BTreeMap::new(),
            sweep_at: now,
            aside_at: now,
            members_at: now,
            ping_at: now,
            seat_at: now,
            pulsed_at: now,
            now,
            orders,
            held: VecDeque::new(),
            behind_since: None,
            fetch_turn: 0,
            failed: false,
            unseated: false,
            resetting: false,
        }
    }

    pub fn is_blank(&self) -> bool {
        self.state.accepted.is_none()
    }

    /// It holds the beginning of a word and does not know yet whether all seats do: whoever finds
    /// out that they do asks for a higher ballot (design 6.4).
    fn is_young(&self) -> bool {
        let is_beginning = self.state.accepted.is_some_and(|meta| meta.ballot == GENESIS);
        is_beginning && self.state.promised <= GENESIS
    }

    fn seats(&self) -> Seats {
        self.value.as_ref().map(|value| value.seats.clone()).unwrap_or_default()
    }

    fn own_seat(&self) -> Option<usize> {
        seat_of(&self.value.as_ref()?.seats, self.state.incarnation)
    }

    pub fn summary(&self) -> Summary {
        let why = if self.failed {
            "its disk failed"
        } else if self.unseated || self.resetting {
            "its seat went to another disk"
        } else if self.is_blank() {
            "its disk is empty and waits for a seat"
        } else if self.is_young() {
            "not all stores hold the beginning of the word yet"
        } else if self.value.is_none() {
            "the file of its latest version is damaged and being fetched"
        } else {
            "it holds its seat"
        };
        Summary {
            name: self.identity.name.clone(),
            seat: self.own_seat(),
            incarnation: self.state.incarnation,
            founds: self.identity.founders > 0,
            votes: self.votes(),
            blank: self.is_blank(),
            why,
            promised: self.state.promised.number,
            accepted: self.state.accepted.map_or(0, |meta| meta.revision),
            chosen: self.chosen.map_or(0, |meta| meta.revision),
            settled: self.chosen.is_some(),
            versions: self.kept.values().map(Vec::len).sum(),
            seats: self.seats(),
        }
    }

    fn own(&self) -> u64 {
        self.state.incarnation
    }

    /// No vote leaves this disk any more, or none until it is an empty one.
    fn is_off(&self) -> bool {
        self.failed || self.resetting
    }

    /// Whether it takes operators' questions, and is known to have its seat.
    fn votes(&self) -> bool {
        !self.is_off() && !self.unseated && !self.is_young() && self.whole().is_some()
    }

    /// What this copy accepted, where it has the bytes of it too.
    fn whole(&self) -> Option<(&Meta, &Arc<Value>)> {
        self.state.accepted.as_ref().zip(self.value.as_ref())
    }

    /// The first live seated store in the order of the table proposes; the others leave it to it
    /// (design 6.3).
    fn is_first(&self, now: Duration) -> bool {
        let is_there = |holder: &&Holder| {
            self.live.iter().any(|claim| {
                claim.incarnation == holder.incarnation && !(claim.blank && holder.admitted)
            }) && !self.is_lost(now, holder.incarnation)
        };
        let own = self.own();
        let seats = self.value.as_ref().map(|value| value.seats.as_slice()).unwrap_or_default();
        let before = seats.iter().flatten().take_while(|holder| holder.incarnation != own);
        !before.into_iter().any(|holder| is_there(&holder))
    }

    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.now = now;
        match event {
            Event::Pulse => self.pulse(now, &mut effects),
            Event::Asked { ticket, ask } => self.asked(now, ticket, ask, &mut effects),
            Event::Told { call, tell } => self.told(now, call, tell, &mut effects),
            Event::Live(live) => self.live = live,
            Event::Heard { revision } => self.heard_revision = self.heard_revision.max(revision),
            Event::Reset(found) => self.begin_anew(found, now),
            Event::DiskFailed => {
                if !self.failed {
                    self.failed = true;
                    effects.push(Effect::Noted("the disk failed; this store stops voting".into()));
                    self.drop_all("the disk failed", &mut effects);
                }
            }
            Event::DiskWorks(found) => {
                if self.failed {
                    self.begin_anew(found, now);
                    effects.push(Effect::Noted("the disk works again".into()));
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

    /// Nothing counts but what lasts on the disk; replies to earlier calls reach nobody.
    fn begin_anew(&mut self, found: Found, now: Duration) {
        let mut next = Register::new(self.identity.clone(), found, now);
        next.next_call = self.next_call;
        next.heard_revision = self.heard_revision;
        next.live = std::mem::take(&mut self.live);
        *self = next;
    }

    /// Whoever waits for something is told why nothing comes of it.
    fn drop_all(&mut self, why: &str, effects: &mut Vec<Effect>) {
        if let Some(job) = self.job.take() {
            self.fail(job, why, effects);
        }
        let held = std::mem::take(&mut self.held);
        for op in std::mem::take(&mut self.queue).into_iter().chain(held) {
            self.answer(&op, Outcome::NothingDone { why: why.to_string() }, effects);
        }
    }

    // ---- acceptor ----------------------------------------------------------------------------

    fn refuse(&self, ticket: u64, why: Refusal, effects: &mut Vec<Effect>) {
        let tell = Tell::Refused { why, promised: self.state.promised };
        effects.push(Effect::Answer { ticket, tell });
    }

    fn asked(&mut self, now: Duration, ticket: u64, ask: Ask, effects: &mut Vec<Effect>) {
        match ask {
            Ask::Prepare { from, ballot, has } => {
                let (Some((accepted, value)), false) = (self.whole(), self.is_off()) else {
                    return self.refuse(ticket, Refusal::NoVote, effects);
                };
                let accepted = *accepted;
                if seat_of(&value.seats, from).is_none() {
                    return self.refuse(ticket, Refusal::Unseated, effects);
                }
                if ballot < self.state.promised {
                    return self.refuse(ticket, Refusal::Outbid, effects);
                }
                if ballot > self.state.promised {
                    self.state.promised = ballot;
                    effects.push(Effect::Save(vec![Write::State(self.state.clone())]));
                }
                let open = self.value.as_ref().map(|value| self.orders.open(value, now));
                let value = self.value.as_ref().filter(|_| has != Some(accepted.digest));
                let before = if value.is_some() { owned(&self.before) } else { Vec::new() };
                let value = value.map(|value| (**value).clone());
                let tell = Tell::Promise { from: self.own(), accepted, value, before, open };
                effects.push(Effect::Answer { ticket, tell });
            }
            Ask::Accept { from, ballot, value, before } => {
                if self.is_off() {
                    return self.refuse(ticket, Refusal::NoVote, effects);
                }
                let seat = seat_of(&value.seats, self.own());
                let Some(holder) = seat.and_then(|seat| value.seats[seat].as_ref()) else {
                    return self.refuse(ticket, Refusal::NoVote, effects);
                };
                if ballot == GENESIS {
                    // An empty disk has promised nothing to anyone; one that holds a beginning takes no
                    // other.
                    let may_begin = value.revision == 0
                        && !holder.admitted
                        && self.identity.founders == value.seats.len();
                    let digest = crate::talk::digest_of(&value.encode());
                    let has_it = self.state.accepted.is_some_and(|meta| meta.digest == digest);
                    if !(has_it || (self.is_blank() && may_begin)) {
                        return self.refuse(ticket, Refusal::NoVote, effects);
                    }
                } else if self.is_blank() {
                    // One that came later must catch up first (design 6.5).
                    return self.refuse(ticket, Refusal::NoVote, effects);
                }
                let known = self.value.as_ref().map_or(&value.seats, |own| &own.seats);
                if seat_of(known, from).is_none() && seat_of(&value.seats, from).is_none() {
                    return self.refuse(ticket, Refusal::Unseated, effects);
                }
                if ballot < self.state.promised {
                    return self.refuse(ticket, Refusal::Outbid, effects);
                }
                let before = before.into_iter().map(Arc::new).collect();
                match self.accept(ballot, Arc::new(value), before, effects) {
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
                    blank: self.is_blank() && !self.is_off(),
                    founders: self.identity.founders,
                    votes: !self.is_off() && self.whole().is_some(),
                    accepted: self.state.accepted,
                };
                effects.push(Effect::Answer { ticket, tell });
            }
            Ask::Alive => {
                let tell = Tell::Alive { from: self.own(), is_sound: !self.is_off() };
                effects.push(Effect::Answer { ticket, tell });
            }
            Ask::Fetch { revision, digest } => {
                // That one and what comes before it, as far as it is here and fits.
                let (mut versions, _) = self.chain_from((revision, digest));
                versions.truncate(FETCH_MOST);
                effects.push(Effect::AnswerFromFile { ticket, versions, as_outcome: false });
            }
            Ask::Membership { from, wants_value } => {
                // One that was told that its seat is gone shows what it accepted all the same: a new
                // disk may need it, and it counts by the table that all show (incident 0013).
                let may_show = !self.is_off() && !self.is_young();
                let Some((accepted, value)) = self.whole().filter(|_| may_show) else {
                    return self.refuse(ticket, Refusal::NoVote, effects);
                };
                let is_told = wants_value && seat_of(&value.seats, from).is_some();
                let shown = Box::new(Membership {
                    promised: self.state.promised,
                    accepted: *accepted,
                    seats: value.seats.clone(),
                    value: is_told.then(|| (**value).clone()),
                    before: if is_told { owned(&self.before) } else { Vec::new() },
                });
                let tell = Tell::Membership { from: self.own(), shown };
                effects.push(Effect::Answer { ticket, tell });
            }
            Ask::Change { key, change, unnamed_for } => {
                let unnamed_since = unnamed_for.map(|waited| now.saturating_sub(waited));
                let op = Op::Change { ticket, key, change, unnamed_since };
                match self.verdict(&op) {
                    Verdict::TooSoon if self.held.len() < QUEUE_MOST => self.held.push_back(op),
                    _ => self.enqueue(op, effects),
                }
            }
            Ask::Answered { matter, revision } => {
                if let Some(value) = &self.value {
                    self.orders.answered(value, matter, revision, now);
                }
                self.release(effects);
                effects.push(Effect::Answer { ticket, tell: Tell::Noted });
            }
            // One round tells all that wait for one.
            Ask::Read => {
                let waiting = self.queue.iter_mut().find_map(|op| match op {
                    Op::Read { tickets } => Some(tickets),
                    _ => None,
                });
                match waiting {
                    Some(tickets) => tickets.push(ticket),
                    None => self.enqueue(Op::Read { tickets: vec![ticket] }, effects),
                }
            }
            Ask::Floor => {
                let waiting = self.queue.iter_mut().find_map(|op| match op {
                    Op::Floor { tickets } => Some(tickets),
                    _ => None,
                });
                match waiting {
                    Some(tickets) => tickets.push(ticket),
                    None => self.enqueue(Op::Floor { tickets: vec![ticket] }, effects),
                }
            }
            Ask::History { revision } => self.enqueue(Op::History { ticket, revision }, effects),
        }
    }

    fn verdict(&mut self, op: &Op) -> Verdict {
        match (op, &self.value) {
            (Op::Change { change, unnamed_since, .. }, Some(value)) if self.votes() => {
                self.orders.judge(value, change, *unnamed_since, self.now)
            }
            _ => Verdict::Another,
        }
    }

    /// Looks again at orders that could not be told from the ones before them. One that turns out to be
    /// another order is asked for anew: where its registry died, the caller has sent it again, and that
    /// may have been the one before.
    fn release(&mut self, effects: &mut Vec<Effect>) {
        for op in std::mem::take(&mut self.held) {
            match self.verdict(&op) {
                Verdict::TooSoon => self.held.push_back(op),
                Verdict::SentAgain { .. } => self.enqueue(op, effects),
                Verdict::Another => {
                    let why = "it waited for the answer to one like it".to_string();
                    self.answer(&op, Outcome::NothingDone { why }, effects);
                }
            }
        }
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

    /// Takes a value into this copy, with what was proposed together with it; false where a higher one
    /// is there.
    fn accept(
        &mut self,
        ballot: Ballot,
        value: Arc<Value>,
        before: Vec<Arc<Value>>,
        effects: &mut Vec<Effect>,
    ) -> bool {
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
        let mut writes = Vec::new();
        let (mut revision, mut wanted) = (value.parent_revision, value.parent);
        self.keep(&value, digest, bytes, &mut writes);
        // As far as they are what it names as its parents.
        self.before.clear();
        for one in before.into_iter().rev().take(value.together as usize) {
            let bytes = one.encode();
            if one.revision != revision || crate::talk::digest_of(&bytes) != wanted {
                break;
            }
            self.keep(&one, wanted, bytes, &mut writes);
            (revision, wanted) = (one.parent_revision, one.parent);
            self.before.insert(0, one);
        }
        self.orders.see(&value, self.now);
        self.value = Some(value);
        writes.push(Write::State(self.state.clone()));
        self.prune(&mut writes);
        effects.push(Effect::Save(writes));
        true
    }

    /// A version's file, unless it is there.
    fn keep(&mut self, value: &Value, digest: Digest, bytes: Vec<u8>, writes: &mut Vec<Write>) {
        let (parent_revision, parent) = (value.parent_revision, value.parent);
        let one = Kept { digest, parent_revision, parent, bytes: bytes.len() };
        let list = self.kept.entry(value.revision).or_default();
        if !list.iter().any(|kept| kept.digest == digest) {
            list.push(one);
            writes.push(Write::Version { revision: value.revision, digest, bytes });
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
        let mut bytes = 0;
        loop {
            let kept = self.kept.get(&at.0);
            let Some(one) = kept.and_then(|list| list.iter().find(|one| one.digest == at.1)) else {
                return (chain, Some(at));
            };
            chain.push(at);
            bytes += one.bytes;
            let is_full = chain.len() >= crate::talk::HISTORY || bytes >= CHAIN_BYTES_MOST;
            if at.0 == 0 || is_full {
                return (chain, None);
            }
            at = (one.parent_revision, one.parent);
        }
    }

    /// Removes what lies off the chain below the chosen version, and what is too old; where the disk
    /// holds too many bytes, whatever is not on this copy's own chain as far as that may go.
    fn prune(&mut self, writes: &mut Vec<Write>) {
        let total: usize = self.kept.values().map(Vec::len).sum();
        let bytes: usize = self.kept.values().flatten().map(|one| one.bytes).sum();
        let is_heavy = bytes > crate::talk::HISTORY_BYTES_MOST;
        if total <= crate::talk::HISTORY + 64 && !is_heavy {
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
                    writes.push(Write::Remove { revision: *revision, digest: one.digest });
                }
                stays
            });
        }
        self.kept.retain(|_, list| !list.is_empty());
    }

    // ---- proposer ----------------------------------------------------------------------------

    fn pulse(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if now.saturating_sub(std::mem::replace(&mut self.pulsed_at, now)) > Duration::from_secs(1)
        {
            // It stood still itself: nobody was silent for that.
            self.forget_silence();
        }
        self.release(effects);
        if self.is_off() {
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
                self.blank_pulse();
                self.sweep_at = now + Duration::from_millis(100);
            } else if self.is_young() {
                if self.is_first(now) {
                    self.queue.push_back(Op::Genesis { seats: self.seats() });
                }
                self.sweep_at = now + SWEEP_EVERY / 8;
            } else if self.votes() {
                let behind = self.chosen.map_or(0, |meta| meta.revision) < self.heard_revision;
                let is_first = self.is_first(now);
                if is_first || self.chosen.is_none() || behind {
                    self.queue.push_back(Op::Sweep);
                    let first = if is_first { 1 } else { 2 };
                    // Until it knows what is chosen, nobody goes by what it has.
                    self.sweep_at = now
                        + match self.chosen {
                            Some(_) => SWEEP_EVERY * first,
                            None => SWEEP_UNTIL_KNOWN,
                        };
                }
            }
        }
        self.membership_pulse(now, effects);
        self.ping_pulse(now, effects);
        if now >= self.seat_at && self.votes() && self.is_first(now) {
            let is_found = self.seat_pulse(now);
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
                let others = self.others();
                if let Some(incarnation) = others.get(self.fetch_turn % others.len().max(1)) {
                    let call = self.call(*incarnation, Ask::Fetch { revision, digest }, effects);
                    self.aside.insert(call, Aside::Fetch { revision, digest });
                }
            }
        }
    }

    /// The other holders of seats, or, where the table is not at hand, all live stores that hold
    /// something.
    fn others(&self) -> Vec<u64> {
        let own = self.own();
        match &self.value {
            Some(value) => holders(&value.seats).filter(|one| *one != own).collect(),
            None => {
                let held = self.live.iter().filter(|claim| !claim.blank);
                held.map(|claim| claim.incarnation).filter(|one| *one != own).collect()
            }
        }
    }

    fn call(&mut self, incarnation: u64, ask: Ask, effects: &mut Vec<Effect>) -> u64 {
        self.next_call += 1;
        effects.push(Effect::Call { call: self.next_call, incarnation, ask });
        self.next_call
    }

    /// An empty disk begins a word only where exactly as many empty ones as the settings say are heard
    /// of, nobody holds anything, and no daemon has heard of a word; the first of them by name does it
    /// (design 6.4).
    fn blank_pulse(&mut self) {
        let is_known = self.heard_revision > 0 || self.live.iter().any(|claim| !claim.blank);
        if self.identity.founders == 0 || is_known {
            return;
        }
        let founders = self.live.iter().filter(|claim| claim.founds);
        let by_name: BTreeMap<&str, u64> =
            founders.clone().map(|claim| (claim.name.as_str(), claim.incarnation)).collect();
        let is_exact = founders.count() == self.identity.founders
            && by_name.len() == self.identity.founders
            && by_name.values().next() == Some(&self.own());
        if !is_exact {
            return;
        }
        let seat = |(name, incarnation): (&&str, &u64)| {
            Some(Holder { name: name.to_string(), incarnation: *incarnation, admitted: false })
        };
        let seats = by_name.iter().map(seat).collect();
        self.queue.push_back(Op::Genesis { seats });
    }

    /// An empty disk, and one that may have lost its seat, asks all who hold something for the table.
    fn membership_pulse(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let accepted = self.state.accepted.map_or(0, |meta| meta.revision);
        if self.is_blank() || self.heard_revision <= accepted {
            self.behind_since = None;
        } else {
            self.behind_since.get_or_insert(now);
        }
        let is_behind = self.behind_since.is_some_and(|since| now >= since + BEHIND_AFTER);
        if !(self.is_blank() || self.unseated || is_behind) {
            self.members.clear();
            return;
        }
        let is_asked = self.aside.values().any(|aside| matches!(aside, Aside::Membership));
        if now < self.members_at || is_asked {
            return;
        }
        self.members_at = now + MEMBERSHIP_EVERY;
        let from = self.own();
        let held = self.live.iter().filter(|claim| !claim.blank && claim.incarnation != from);
        let held: Vec<u64> = held.map(|claim| claim.incarnation).collect();
        self.members.retain(|incarnation, _| held.contains(incarnation));
        for incarnation in held {
            let ask = Ask::Membership { from, wants_value: self.is_blank() };
            let call = self.call(incarnation, ask, effects);
            self.aside.insert(call, Aside::Membership);
        }
    }

    /// Empty disks that have no seat, in the order of their names.
    fn waiting(&self) -> Vec<&Claim> {
        let Some(value) = &self.value else { return Vec::new() };
        let blank = self.live.iter().filter(|claim| claim.blank);
        let mut waiting: Vec<&Claim> =
            blank.filter(|claim| seat_of(&value.seats, claim.incarnation).is_none()).collect();
        waiting.sort_by(|left, right| left.name.cmp(&right.name));
        waiting
    }

    /// Not heard of in the news and silent when asked; or silent for long, whatever the news say.
    fn is_lost(&self, now: Duration, incarnation: u64) -> bool {
        let watched = self.watched.get(&incarnation);
        let Some(since) = watched.and_then(|watched| watched.silent_since) else { return false };
        let is_live = self.live.iter().any(|claim| claim.incarnation == incarnation);
        !is_live || now >= since + SILENT_AFTER
    }

    fn forget_silence(&mut self) {
        self.pings.clear();
        self.watched.values_mut().for_each(|watched| watched.silent_since = None);
    }

    /// While an empty disk waits, the first store asks every holder of a seat directly, and each other
    /// one those that come before it.
    fn ping_pulse(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if !self.votes() {
            self.watched.clear();
            self.pings.clear();
            return;
        }
        let others = self.others();
        self.watched.retain(|incarnation, _| others.contains(incarnation));
        for claim in &self.live {
            if others.contains(&claim.incarnation) {
                self.watched.entry(claim.incarnation).or_default().heard_at = now;
            }
        }
        if self.waiting().is_empty() {
            self.forget_silence();
            return;
        }
        if now < self.ping_at {
            return;
        }
        let is_calm = others.iter().all(|incarnation| {
            self.live.iter().any(|claim| claim.incarnation == *incarnation)
                && self.watched.get(incarnation).is_some_and(|one| one.silent_since.is_none())
        });
        self.ping_at = now + if is_calm { PING_SELDOM } else { PING_EVERY };
        let is_first = self.is_first(now);
        let seats = self.seats();
        let own = self.own_seat().unwrap_or_default();
        for incarnation in others {
            let is_open = self.pings.values().any(|(one, _)| *one == incarnation);
            let is_before = seat_of(&seats, incarnation).is_some_and(|seat| seat < own);
            if !is_open && (is_first || is_before) {
                let call = self.call(incarnation, Ask::Alive, effects);
                self.pings.insert(call, (incarnation, now));
            }
        }
    }

    /// Seats whose disks are gone or that are vacant, and the empty disks that are to have them: the
    /// one of the same store, or else the one that is lost the longest (design 6.5).
    fn vacancies(&self, now: Duration) -> Vec<Vacancy> {
        let Some(value) = &self.value else { return Vec::new() };
        let mut waiting = self.waiting();
        let mut lost: Vec<(Duration, usize)> = Vec::new();
        for (seat, holder) in value.seats.iter().enumerate() {
            match holder {
                None => lost.push((Duration::ZERO, seat)),
                Some(holder) if self.is_lost(now, holder.incarnation) => {
                    let watched = self.watched.get(&holder.incarnation);
                    lost.push((watched.map_or(Duration::ZERO, |one| one.heard_at), seat));
                }
                Some(_) => {}
            }
        }
        lost.sort();
        // The disk of a store that holds a seat takes that one: another one's holder may be back before
        // this store's own old disk is found to be gone, and would have to leave (incident 0013).
        let holds_seat = |name: &str| {
            let mut holders = value.seats.iter().flatten();
            holders.any(|holder| holder.name == name)
        };
        let mut found = Vec::new();
        for is_same in [true, false] {
            lost.retain(|(_, seat)| {
                let old = value.seats[*seat].as_ref();
                let fits = |claim: &&Claim| match is_same {
                    true => old.is_some_and(|holder| holder.name == claim.name),
                    false => !holds_seat(&claim.name),
                };
                let Some(at) = waiting.iter().position(fits) else { return true };
                let claim = waiting.remove(at);
                found.push(Vacancy {
                    seat: *seat,
                    old: old.map(|holder| holder.incarnation),
                    name: claim.name.clone(),
                    incarnation: claim.incarnation,
                });
                false
            });
        }
        found
    }

    fn seat_pulse(&mut self, now: Duration) -> bool {
        let vacancies = self.vacancies(now);
        let is_seat = |op: &Op| matches!(op, Op::Seat(_));
        let is_under_way = self.job.as_ref().is_some_and(|job| is_seat(&job.op));
        if !is_under_way && !self.queue.iter().any(is_seat) {
            // Before the operators' changes: with a seat empty the next loss would be one too many.
            for vacancy in vacancies.iter().rev() {
                self.queue.push_front(Op::Seat(vacancy.clone()));
            }
        }
        !vacancies.is_empty()
    }

    fn start_next(&mut self, now: Duration, effects: &mut Vec<Effect>) {
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

    fn query(&mut self, job: &mut Job, effects: &mut Vec<Effect>) {
        job.open.clear();
        let (accepted, blank) = (self.state.accepted, self.is_blank());
        let own = Copy { accepted, blank, founders: self.identity.founders };
        let states = BTreeMap::from([(self.own(), own)]);
        let others = match &job.op {
            Op::Genesis { seats } => holders(seats).filter(|one| *one != self.own()).collect(),
            _ => self.others(),
        };
        for incarnation in others {
            let call = self.call(incarnation, Ask::Query, effects);
            job.open.insert(call, incarnation);
        }
        job.phase = Phase::Querying { states };
    }

    fn prepare(&mut self, job: &mut Job, effects: &mut Vec<Effect>) {
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
        effects.push(Effect::Save(vec![Write::State(self.state.clone())]));
        job.phase = Phase::Preparing { ballot, asked: BTreeSet::new(), promises, best };
        self.ask_promises(job, effects);
    }

    /// Asks those who hold seats by the best value so far, and were not asked yet.
    fn ask_promises(&mut self, job: &mut Job, effects: &mut Vec<Effect>) {
        let own = self.own();
        let Phase::Preparing { ballot, asked, best, .. } = &mut job.phase else { return };
        let (ballot, has) = (*ballot, Some(best.0.digest));
        let seated = holders(&best.1.seats).filter(|one| *one != own && asked.insert(*one));
        for incarnation in seated.collect::<Vec<u64>>() {
            let call = self.call(incarnation, Ask::Prepare { from: own, ballot, has }, effects);
            job.open.insert(call, incarnation);
        }
    }

    fn told(&mut self, now: Duration, call: u64, tell: Option<Tell>, effects: &mut Vec<Effect>) {
        if let Some((incarnation, asked_at)) = self.pings.remove(&call) {
            let watched = self.watched.entry(incarnation).or_default();
            match tell {
                Some(Tell::Alive { from, is_sound: true }) if from == incarnation => {
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
                Some(Tell::State { from, blank, founders, accepted, votes }),
            ) if from == asked && (votes || blank) => {
                states.insert(from, Copy { accepted, blank, founders });
            }
            (Phase::Founding { held }, Some(Tell::Accepted { from })) if from == asked => {
                held.insert(from);
            }
            (
                Phase::Preparing { ballot, promises, best, .. },
                Some(Tell::Promise { from, accepted, value, before, open }),
            ) => {
                // Where this very copy has promised another proposer since, the ballot is lost.
                let is_own = self.state.promised == *ballot && from == asked;
                let has_it = self.state.accepted.is_some_and(|meta| meta.digest == accepted.digest);
                let told = match value {
                    Some(value) => {
                        let is_whole = crate::talk::digest_of(&value.encode()) == accepted.digest;
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
                    self.orders.told(value, open, now);
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
                Some(Tell::Accepted { from }),
            ) if from == asked => {
                accepts.insert(from);
            }
            (_, Some(Tell::Refused { why, promised })) => {
                job.outbid = job.outbid.max(promised);
                if why == Refusal::Unseated && !self.unseated {
                    self.unseated = true;
                    let text = "it is told that its seat went to another disk";
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
                    effects.push(Effect::Save(writes));
                    // The chain goes on at once.
                    self.aside_at = Duration::ZERO;
                }
            }
            (Aside::Membership, Some(Tell::Membership { from, shown })) => {
                self.members.insert(from, *shown);
                self.judge_membership(effects);
            }
            _ => {}
        }
    }

    /// What others showed under one ballot, where that proves a value as chosen: the table of seats in
    /// it holds. With a seat in it an empty disk is admitted; without one a disk that had a seat has
    /// lost it for good (design 6.5).
    fn judge_membership(&mut self, effects: &mut Vec<Effect>) {
        let own = self.own();
        let ballots: BTreeSet<Ballot> =
            self.members.values().map(|shown| shown.accepted.ballot).collect();
        for ballot in ballots {
            for is_seated in [true, false] {
                let shown: Vec<(&u64, &Membership)> = self
                    .members
                    .iter()
                    .filter(|(_, shown)| shown.accepted.ballot == ballot)
                    .filter(|(_, shown)| seat_of(&shown.seats, own).is_some() == is_seated)
                    .collect();
                let Some((_, best)) = shown.iter().max_by_key(|(_, one)| one.accepted.revision)
                else {
                    continue;
                };
                let seats = &best.seats;
                let others = holders(seats).filter(|one| *one != own).count();
                let is_own = self.state.accepted.is_some_and(|meta| meta.ballot == ballot);
                let needed = match (is_seated, is_own) {
                    // With its own copy they are a majority of all.
                    (true, true) => quorum(seats) - 1,
                    (true, false) => others / 2 + 1,
                    (false, _) => quorum(seats),
                };
                let counted = shown.iter().filter(|(who, _)| seat_of(seats, **who).is_some());
                let least = shown.iter().map(|(_, one)| one.accepted.rank()).min();
                let own_rank = self.state.accepted.map(|meta| meta.rank());
                let is_old = least < own_rank || (least == own_rank && !is_seated);
                if counted.count() < needed || is_old {
                    continue;
                }
                match (is_seated, self.is_blank()) {
                    (true, true) => {
                        if best.value.as_ref().is_none_or(|value| {
                            crate::talk::digest_of(&value.encode()) != best.accepted.digest
                        }) {
                            continue;
                        }
                        let best = (**best).clone();
                        return self.admit(best, effects);
                    }
                    (true, false) => {
                        // Its copy is old, and the seat is still its own.
                        self.unseated = false;
                        self.members.clear();
                        return;
                    }
                    (false, false) => return self.reset(effects),
                    (false, true) => {}
                }
            }
        }
    }

    /// From here on it votes.
    fn admit(&mut self, best: Membership, effects: &mut Vec<Effect>) {
        let Some(value) = best.value else { return };
        let promised = self.members.values().map(|shown| shown.promised).max();
        self.state.promised = self.state.promised.max(promised.unwrap_or_default());
        let before = best.before.into_iter().map(Arc::new).collect();
        self.accept(best.accepted.ballot, Arc::new(value), before, effects);
        self.members.clear();
        self.sweep_at = Duration::ZERO;
        self.aside_at = Duration::ZERO;
        effects.push(Effect::Noted("admitted to its seat; this store votes".to_string()));
    }

    /// Never a vote under this incarnation again.
    fn reset(&mut self, effects: &mut Vec<Effect>) {
        let why = "its seat went to another disk";
        self.resetting = true;
        self.drop_all(why, effects);
        let text = format!("{why}: it goes on as an empty one");
        effects.push(Effect::Noted(text));
        effects.push(Effect::Reset);
    }

    /// Looks whether the phase of the job is done, and goes on.
    fn settle(&mut self, now: Duration, effects: &mut Vec<Effect>) {
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
                    let seats = &value.seats;
                    let best =
                        states.values().filter_map(|copy| copy.accepted).max_by_key(Meta::rank);
                    let own = self.state.accepted;
                    let same = states
                        .iter()
                        .filter(|(from, copy)| {
                            seat_of(seats, **from).is_some() && copy.accepted == best
                        })
                        .count();
                    let majority = quorum(seats);
                    // Until all seats hold the beginning nothing is.
                    let best = best.filter(|meta| meta.ballot > GENESIS);
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
                    let is_whole = holders(seats).all(|one| held.contains(&one));
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
                    let counted =
                        promises.iter().filter(|(from, _)| seat_of(&value.seats, **from).is_some());
                    let majority = quorum(&value.seats);
                    if counted.clone().count() >= majority && self.state.promised == ballot {
                        let promised = promises.keys().copied().collect();
                        let same = counted.filter(|(_, theirs)| **theirs == meta).count();
                        let is_own = self.state.accepted == Some(meta);
                        if let Some(job) = &mut self.job {
                            job.promised = promised;
                        }
                        if same >= majority && is_own && meta.ballot > GENESIS {
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
                            effects.push(Effect::Noted(text));
                        }
                        if let Op::Batch { receipts } = job.op {
                            for (ticket, outcome) in receipts {
                                let tell = Tell::Outcome(outcome);
                                effects.push(Effect::Answer { ticket, tell });
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
    fn is_enough(&self, op: &Op, value: &Value, accepts: &BTreeSet<u64>) -> bool {
        let counted = holders(&value.seats).filter(|one| accepts.contains(one));
        match op {
            Op::Seat(Vacancy { incarnation: given, .. }) => {
                let others = holders(&value.seats).filter(|one| one != given).count();
                counted.filter(|one| one != given).count() > others / 2
            }
            _ => counted.count() >= quorum(&value.seats),
        }
    }

    fn propose(
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
        for incarnation in holders(&value.seats).filter(|one| *one != from) {
            let (value, before) = ((*value).clone(), owned(&before));
            let ask = Ask::Accept { from, ballot, value, before };
            let call = self.call(incarnation, ask, effects);
            job.open.insert(call, incarnation);
        }
        let mut accepts = BTreeSet::new();
        if self.state.promised == ballot
            && seat_of(&value.seats, from).is_some()
            && self.accept(ballot, value.clone(), before, effects)
        {
            accepts.insert(from);
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
        let is_held = self.state.accepted.is_some_and(|own| own.digest == meta.digest);
        if is_new && is_held {
            self.chosen = Some(meta);
            if let Some(value) = &self.value {
                effects.push(Effect::Chosen(value.clone()));
            }
        }
    }

    /// The current value was just seen as chosen. What the job wants to do to it is done now,
    /// under the ballot; and so is what queued up behind it.
    fn under_ballot(&mut self, now: Duration, ballot: Option<Ballot>, effects: &mut Vec<Effect>) {
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
    fn together(
        &mut self,
        first: Op,
        value: &Value,
        own: &Meta,
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
            let is_known = last.submission(&key).is_some();
            if verdict == Verdict::TooSoon && !is_known {
                // The one before it waits in the same round.
                self.held.push_back(Op::Change { ticket, key, change, unnamed_since });
                next = self.next_change();
                continue;
            }
            let is_made = unnamed_since.is_some();
            match changed(&last, &meta, &key, is_made, &change, verdict) {
                Err(outcome) if is_proven => {
                    effects.push(Effect::Answer { ticket, tell: Tell::Outcome(outcome) });
                }
                Err(outcome) => {
                    receipts.push((ticket, outcome));
                    unproven.push(Op::Change { ticket, key, change, unnamed_since });
                }
                Ok(mut one) => {
                    self.orders.take(&key, unnamed_since, self.now);
                    one.together = made.len() as u32;
                    let encoded = one.encode();
                    bytes += encoded.len();
                    meta.revision = one.revision;
                    meta.digest = crate::talk::digest_of(&encoded);
                    let (revision, setup_revision) = (one.revision, one.setup_revision);
                    // A setup that was overtaken is noted; the one in force stays.
                    let repeat =
                        matches!(change, Change::Setup { .. }) && setup_revision != revision;
                    let outcome = Outcome::Accepted { revision, setup_revision, repeat };
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

    fn next_change(&mut self) -> Option<Op> {
        let waits = self.queue.iter().position(|op| matches!(op, Op::Change { .. }));
        waits.and_then(|at| self.queue.remove(at))
    }

    /// Copies that a sweep found behind get the chosen version, under its own ballot.
    fn mend_copies(&mut self, meta: Meta, states: &BTreeMap<u64, Copy>, effects: &mut Vec<Effect>) {
        let Some(value) = self.value.clone() else {
            return;
        };
        let from = self.own();
        for (who, copy) in states {
            if *who != from
                && seat_of(&value.seats, *who).is_some()
                && copy.accepted.is_none_or(|theirs| theirs.rank() < meta.rank())
            {
                let (value, before) = ((*value).clone(), owned(&self.before));
                let ask = Ask::Accept { from, ballot: meta.ballot, value, before };
                let call = self.call(*who, ask, effects);
                self.aside.insert(call, Aside::Mend);
            }
        }
    }

    fn finish_read(&mut self, job: Job, effects: &mut Vec<Effect>) {
        match job.op {
            Op::Read { tickets } => {
                if let Some(value) = &self.value {
                    for ticket in tickets {
                        let outcome = Outcome::Value { value: (**value).clone() };
                        effects.push(Effect::Answer { ticket, tell: Tell::Outcome(outcome) });
                    }
                }
            }
            Op::Floor { tickets } => {
                // What was just seen as chosen is what this copy holds.
                let revision = self.value.as_ref().map(|value| value.revision);
                for ticket in tickets {
                    effects.push(Effect::Answer { ticket, tell: Tell::Floor(revision) });
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
            Op::Change { ticket, .. } | Op::History { ticket, .. } => {
                let tell = Tell::Outcome(outcome);
                effects.push(Effect::Answer { ticket: *ticket, tell });
            }
            Op::Read { tickets } => {
                for ticket in tickets {
                    let tell = Tell::Outcome(outcome.clone());
                    effects.push(Effect::Answer { ticket: *ticket, tell });
                }
            }
            Op::Batch { receipts } => {
                // Of those that were proposed nobody can tell; the others made no change.
                for (ticket, planned) in receipts {
                    let is_refused = matches!(
                        planned,
                        Outcome::Conflict { .. }
                            | Outcome::KeyReused { .. }
                            | Outcome::VersionTaken { .. }
                            | Outcome::NothingDone { .. }
                    );
                    let why = "another change was in the way".to_string();
                    let outcome = match &outcome {
                        Outcome::Unknown if is_refused => Outcome::NothingDone { why },
                        other => other.clone(),
                    };
                    let tell = Tell::Outcome(outcome);
                    effects.push(Effect::Answer { ticket: *ticket, tell });
                }
            }
            Op::Floor { tickets } => {
                for ticket in tickets {
                    effects.push(Effect::Answer { ticket: *ticket, tell: Tell::Floor(None) });
                }
            }
            Op::Sweep | Op::Seat(_) | Op::Genesis { .. } => {}
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

    /// After a lost round: again a little later, those further down the table later, or give up.
    fn rest(&mut self, now: Duration, mut job: Job, effects: &mut Vec<Effect>) {
        let is_outbid = job.outbid >= self.state.promised;
        if job.tries >= TRIES_MOST || !is_outbid || self.unseated {
            return self.fail(job, "no majority of stores replies", effects);
        }
        let step = Duration::from_millis(20 + 60 * self.own_seat().unwrap_or(0) as u64);
        job.phase = Phase::Resting { until: now + step * job.tries };
        self.job = Some(job);
    }

    /// Makes the beginning of a word, or brings it to all seats, and finds out whether they hold it:
    /// only when all of them replied, and all are empty or hold this one (design 6.4).
    fn begin(&mut self, mut job: Job, states: &BTreeMap<u64, Copy>, effects: &mut Vec<Effect>) {
        let Op::Genesis { seats } = &job.op else { return };
        if !holders(seats).all(|one| states.contains_key(&one)) {
            return;
        }
        if self.is_blank() {
            if self.heard_revision > 0 {
                return;
            }
            let is_one = |copy: &Copy| copy.blank && copy.founders == seats.len();
            if !states.values().all(is_one) || self.identity.founders != seats.len() {
                return;
            }
            let text = format!("{} empty stores: the word begins", seats.len());
            effects.push(Effect::Noted(text));
            self.accept(GENESIS, Arc::new(genesis(seats.clone())), Vec::new(), effects);
        }
        let (Some((own, value)), true) = (self.whole(), self.is_young()) else { return };
        let (own, value) = (*own, value.clone());
        let from = self.own();
        let mut held = BTreeSet::from([from]);
        for (who, copy) in states.iter().filter(|(who, _)| **who != from) {
            if copy.accepted == Some(own) {
                held.insert(*who);
            } else if copy.blank {
                let (value, before) = ((*value).clone(), Vec::new());
                let ask = Ask::Accept { from, ballot: GENESIS, value, before };
                let call = self.call(*who, ask, effects);
                job.open.insert(call, *who);
            } else {
                // It holds more already, or another one.
                return;
            }
        }
        job.phase = Phase::Founding { held };
        self.job = Some(job);
    }
}

/// The value that a word begins with: the same whoever makes it.
fn genesis(seats: Seats) -> Value {
    Value {
        revision: 0,
        parent_revision: 0,
        parent: Digest::default(),
        setup_revision: 0,
        setup_version: 0,
        setup: Vec::new(),
        emptied: BTreeSet::new(),
        further_orders: BTreeMap::new(),
        seats,
        together: 0,
        keys: VecDeque::new(),
        older_keys: Default::default(),
        versions: BTreeMap::new(),
    }
}

fn owned(values: &[Arc<Value>]) -> Vec<Value> {
    values.iter().map(|value| (**value).clone()).collect()
}

/// The value after a change, or what to tell instead of changing anything.
fn changed(
    value: &Value,
    own: &Meta,
    key: &str,
    is_made: bool,
    change: &Change,
    verdict: Verdict,
) -> Result<Value, Outcome> {
    if let Some(known) = value.submission(key) {
        let (revision, setup_revision) = (known.revision, known.setup_revision);
        return Err(if known.is_of(change.matter()) {
            Outcome::Accepted { revision, setup_revision, repeat: true }
        } else {
            Outcome::KeyReused { revision }
        });
    }
    if let Verdict::SentAgain { revision, setup_revision } = verdict {
        return Err(Outcome::Accepted { revision, setup_revision, repeat: true });
    }
    let mut next = child(value, own);
    let is_same = match change {
        // Its author knows what is newer, whatever came in between and however often it is sent; but
        // one version has one content (incident 0012).
        Change::Setup { version: Some(version), .. } if *version <= value.setup_version => {
            let matter = change.matter();
            match value.versions.get(version) {
                Some(taken) if *taken == matter => true,
                Some(_) => {
                    let held = value.setup_version;
                    return Err(Outcome::VersionTaken { version: *version, held });
                }
                // Too long ago to tell.
                None if value.knows_no_version_below(*version) => true,
                // Overtaken before anybody took it: acknowledged, and nobody else's from then on.
                None => {
                    next.take_version(*version, matter);
                    false
                }
            }
        }
        Change::Setup { bytes, if_revision, version } => {
            if if_revision.is_some_and(|wanted| wanted != value.setup_revision) {
                return Err(Outcome::Conflict {
                    revision: value.revision,
                    setup_revision: value.setup_revision,
                });
            }
            next.setup = bytes.clone();
            next.setup_revision = next.revision;
            if let Some(version) = version {
                next.setup_version = *version;
                next.take_version(*version, change.matter());
            }
            false
        }
        Change::Empty { zone } if value.orders(zone) >= crate::talk::ORDERS_MOST => {
            let why = "too many orders to empty this zone stand".to_string();
            return Err(Outcome::NothingDone { why });
        }
        Change::Empty { zone } => {
            next.set_orders(zone, value.orders(zone) + 1);
            false
        }
        Change::Return { zone } => {
            next.set_orders(zone, value.orders(zone).saturating_sub(1));
            value.orders(zone) == 0
        }
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
        is_made,
    });
    next.shorten_old_keys();
    Ok(next)
}

/// The value after a seat was given, if it still is whose it was.
fn seated(value: &Value, own: &Meta, vacancy: &Vacancy) -> Option<Arc<Value>> {
    let mut next = child(value, own);
    let seat = next.seats.get_mut(vacancy.seat)?;
    if seat.as_ref().map(|holder| holder.incarnation) != vacancy.old {
        return None;
    }
    let (name, incarnation) = (vacancy.name.clone(), vacancy.incarnation);
    *seat = Some(Holder { name, incarnation, admitted: true });
    Some(Arc::new(next))
}

fn child(value: &Value, own: &Meta) -> Value {
    let mut next = value.clone();
    next.revision += 1;
    next.parent_revision = own.revision;
    next.parent = own.digest;
    next.together = 0;
    next
}

/// A majority of the disks is lost for good: the value that lets this copy go on alone. Its revision
/// leaps, so that nothing the lost disks may have accepted is ever taken for newer (design 6.6).
pub fn rescued(state: &State, value: &Value, name: &str) -> (State, Value) {
    let meta = state.accepted.expect("only a store that holds the word can go on from it");
    let mut next = child(value, &meta);
    next.revision = value.revision + 1000;
    let incarnation = state.incarnation;
    let seat = seat_of(&value.seats, incarnation).unwrap_or(0);
    next.seats = vec![None; value.seats.len()];
    next.seats[seat] = Some(Holder { name: name.to_string(), incarnation, admitted: true });
    let ballot = Ballot { number: state.promised.number + 1_000_000, incarnation };
    let digest = crate::talk::digest_of(&next.encode());
    let accepted = Some(Meta { ballot, revision: next.revision, digest });
    (State { incarnation: state.incarnation, promised: ballot, accepted }, next)
}
