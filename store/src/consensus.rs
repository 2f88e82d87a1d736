//! The register: acceptor and proposer of one store as a pure state machine (design 6.2 to 6.6).
//! Effects are carried out strictly in order: an answer that stands behind a `Save` leaves only
//! once that save is on the disk.

mod acceptor;
mod change;
mod membership;
mod proposer;
mod reader;

use crate::protocol::{
    AcceptedProposal, Ballot, Change, Digest, MemberTable, MembershipSnapshot, Outcome, Request,
};
use crate::protocol::{BOOTSTRAP_BALLOT, Response, Value, member_incarnations, slot_of};
use crate::retransmission::RetransmissionFilter;
pub use change::rescued;
use change::{changed, genesis, owned, seated};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// What the state file holds.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HardState {
    pub incarnation: u64,
    pub promised: Ballot,
    pub accepted: Option<AcceptedProposal>,
}

/// One readable version file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredVersion {
    pub digest: Digest,
    pub parent_revision: u64,
    pub parent: Digest,
    pub bytes: usize,
}

/// What was read from the disk at the start.
pub struct RecoveredState {
    pub state: HardState,
    /// The accepted value, if its file is whole.
    pub value: Option<Arc<Value>>,
    /// The versions that were proposed together with it, as far as they are whole.
    pub batch: Vec<Arc<Value>>,
    pub versions: Vec<(u64, StoredVersion)>,
}

/// What a store is told by its settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    pub name: String,
    /// So many empty stores begin a word; 0: this one takes no part in that.
    pub bootstrap_size: usize,
}

pub enum Event {
    Tick,
    RequestReceived {
        ticket: u64,
        request: Request,
    },
    ResponseReceived {
        call: u64,
        response: Option<Response>,
    },
    /// Live stores, as the news has them, this one included.
    LiveStores(Vec<LiveStore>),
    /// The highest revision that is known as chosen to anyone.
    RevisionHeard {
        revision: u64,
    },
    /// The disk refused a write or a sync: this copy must not vote any more.
    DiskFailed,
    /// The disk works again, and this is what lasts on it: the copy goes on as after a restart.
    DiskRecovered(RecoveredState),
    /// The disk is an empty one under a new incarnation, as `Reset` asked.
    Reset(RecoveredState),
    /// A version file turned out damaged.
    VersionDamaged {
        revision: u64,
        digest: Digest,
    },
}

/// What a live store says of its disk; its seat is found by the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveStore {
    pub name: String,
    pub incarnation: u64,
    pub is_empty: bool,
    /// Empty, it may take part in the beginning of a word.
    pub may_bootstrap: bool,
}

#[derive(Debug)]
pub enum Effect {
    Persist(Vec<DiskWrite>),
    /// Ask the store whose disk has this incarnation.
    Send {
        call: u64,
        incarnation: u64,
        request: Request,
    },
    Reply {
        ticket: u64,
        response: Response,
    },
    /// Answer with `Fetched` or, for an operator, with an outcome, from the version's file.
    ReplyFromDisk {
        ticket: u64,
        versions: Vec<At>,
        as_outcome: bool,
    },
    /// This version is chosen: tell all.
    Committed(Arc<Value>),
    /// The seat went to another disk: take a new incarnation and remove the old files; `Event::Reset`
    /// tells when that lasts (design 6.5).
    Reset,
    Log(String),
}

#[derive(Debug)]
pub enum DiskWrite {
    Version { revision: u64, digest: Digest, bytes: Vec<u8> },
    State(HardState),
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
        seats: MemberTable,
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
    accepted: Option<AcceptedProposal>,
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
        promises: BTreeMap<u64, AcceptedProposal>,
        best: (AcceptedProposal, Arc<Value>, Vec<Arc<Value>>),
    },
    /// Accepting a value that was there already.
    Mending {
        ballot: Ballot,
        value: Arc<Value>,
        meta: AcceptedProposal,
        accepts: BTreeSet<u64>,
    },
    /// Accepting the value that the operation makes.
    Writing {
        ballot: Ballot,
        value: Arc<Value>,
        meta: AcceptedProposal,
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
const BATCH_BYTES_MOST: usize = vanepath_cluster::wire::MAX_FRAME_BYTES / 2;
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
const CHAIN_BYTES_MOST: usize = crate::protocol::MAX_HISTORY_BYTES / 4 * 3;
/// Versions, and bytes of them, that one reply to a copy that lacks them holds.
const FETCH_MOST: usize = 64;
const FETCH_BYTES_MOST: usize = 1 << 20;

/// A version by revision and digest.
pub type At = (u64, Digest);

/// The answer to `AnswerFromFile`, given how a file is read, and the version whose file turned out
/// damaged. For the shells.
pub fn response_from_disk(
    versions: &[At],
    as_outcome: bool,
    load: impl Fn(&At) -> Option<Value>,
) -> (Response, Option<At>) {
    let mut read = Vec::new();
    let mut bytes = 0;
    let mut damaged = None;
    for at in versions {
        let Some(value) = load(at) else {
            damaged = Some(*at);
            break;
        };
        bytes += value.document.len() + 20 * value.recent_writes.len();
        read.push(value);
        if bytes > FETCH_BYTES_MOST {
            break;
        }
    }
    let tell = match (as_outcome, read.pop()) {
        (false, last) => {
            read.extend(last);
            Response::Fetched(read)
        }
        (true, Some(value)) => Response::Outcome(Outcome::Value { value }),
        (true, None) => Response::Outcome(Outcome::NotApplied {
            reason: "this copy's file is damaged and being mended".to_string(),
        }),
    };
    (tell, damaged)
}

#[derive(Clone, Debug)]
pub struct Replica {
    identity: Identity,
    state: HardState,
    value: Option<Arc<Value>>,
    /// What was proposed together with the accepted value.
    before: Vec<Arc<Value>>,
    kept: BTreeMap<u64, Vec<StoredVersion>>,
    /// Known as chosen, with its digest where this copy has it.
    chosen: Option<AcceptedProposal>,
    heard_revision: u64,
    live: Vec<LiveStore>,
    job: Option<Job>,
    queue: VecDeque<Op>,
    next_call: u64,
    /// Fetches and the like, apart from the job.
    aside: BTreeMap<u64, Aside>,
    /// What others last showed of the table.
    members: BTreeMap<u64, MembershipSnapshot>,
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
    orders: RetransmissionFilter,
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
    pub slot: Option<usize>,
    pub incarnation: u64,
    pub may_bootstrap: bool,
    pub is_voting: bool,
    pub is_empty: bool,
    pub reason: &'static str,
    pub promised: u64,
    pub accepted: u64,
    pub committed: u64,
    /// It has asked a majority since it was started, and knows what is chosen.
    pub synced: bool,
    pub versions: usize,
    pub members: MemberTable,
}

impl Summary {
    /// As the news tell it.
    pub fn disk(&self) -> vanepath_cluster::wire::DiskStatus {
        vanepath_cluster::wire::DiskStatus {
            incarnation: self.incarnation,
            may_bootstrap: self.may_bootstrap,
            slot: self.slot.map(|seat| seat as u8),
        }
    }
}

impl Replica {
    pub fn new(identity: Identity, found: RecoveredState, now: Duration) -> Replica {
        let mut kept: BTreeMap<u64, Vec<StoredVersion>> = BTreeMap::new();
        for (revision, one) in found.versions {
            kept.entry(revision).or_default().push(one);
        }
        let mut orders = RetransmissionFilter::default();
        if let Some(value) = &found.value {
            orders.observe(value, now);
        }
        Replica {
            identity,
            state: found.state,
            value: found.value,
            before: found.batch,
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
        let is_beginning = self.state.accepted.is_some_and(|meta| meta.ballot == BOOTSTRAP_BALLOT);
        is_beginning && self.state.promised <= BOOTSTRAP_BALLOT
    }

    fn seats(&self) -> MemberTable {
        self.value.as_ref().map(|value| value.members.clone()).unwrap_or_default()
    }

    fn own_seat(&self) -> Option<usize> {
        slot_of(&self.value.as_ref()?.members, self.state.incarnation)
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
            slot: self.own_seat(),
            incarnation: self.state.incarnation,
            may_bootstrap: self.identity.bootstrap_size > 0,
            is_voting: self.votes(),
            is_empty: self.is_blank(),
            reason: why,
            promised: self.state.promised.number,
            accepted: self.state.accepted.map_or(0, |meta| meta.revision),
            committed: self.chosen.map_or(0, |meta| meta.revision),
            synced: self.chosen.is_some(),
            versions: self.kept.values().map(Vec::len).sum(),
            members: self.seats(),
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
    fn whole(&self) -> Option<(&AcceptedProposal, &Arc<Value>)> {
        self.state.accepted.as_ref().zip(self.value.as_ref())
    }

    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.now = now;
        match event {
            Event::Tick => self.pulse(now, &mut effects),
            Event::RequestReceived { ticket, request: ask } => {
                self.asked(now, ticket, ask, &mut effects)
            }
            Event::ResponseReceived { call, response: tell } => {
                self.told(now, call, tell, &mut effects)
            }
            Event::LiveStores(live) => self.live = live,
            Event::RevisionHeard { revision } => {
                self.heard_revision = self.heard_revision.max(revision)
            }
            Event::Reset(found) => self.begin_anew(found, now),
            Event::DiskFailed => {
                if !self.failed {
                    self.failed = true;
                    effects.push(Effect::Log("the disk failed; this store stops voting".into()));
                    self.drop_all("the disk failed", &mut effects);
                }
            }
            Event::DiskRecovered(found) => {
                if self.failed {
                    self.begin_anew(found, now);
                    effects.push(Effect::Log("the disk works again".into()));
                }
            }
            Event::VersionDamaged { revision, digest } => {
                if let Some(list) = self.kept.get_mut(&revision) {
                    list.retain(|one| one.digest != digest);
                }
                effects.push(Effect::Log(format!("the file of revision {revision} is damaged")));
            }
        }
        self.start_next(now, &mut effects);
        effects
    }

    /// Nothing counts but what lasts on the disk; replies to earlier calls reach nobody.
    fn begin_anew(&mut self, found: RecoveredState, now: Duration) {
        let mut next = Replica::new(self.identity.clone(), found, now);
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
            self.answer(&op, Outcome::NotApplied { reason: why.to_string() }, effects);
        }
    }

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
                    let call =
                        self.call(*incarnation, Request::Fetch { revision, digest }, effects);
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
            Some(value) => member_incarnations(&value.members).filter(|one| *one != own).collect(),
            None => {
                let held = self.live.iter().filter(|claim| !claim.is_empty);
                held.map(|claim| claim.incarnation).filter(|one| *one != own).collect()
            }
        }
    }

    fn call(&mut self, incarnation: u64, request: Request, effects: &mut Vec<Effect>) -> u64 {
        self.next_call += 1;
        effects.push(Effect::Send { call: self.next_call, incarnation, request });
        self.next_call
    }
}
