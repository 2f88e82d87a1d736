//! News: soft state, pulled by a vector of versions, one for each source (design 5.3). A pure
//! state machine: what it hears and the time go in, what to send comes out.

use crate::wire;
use std::sync::Arc;
use std::time::Duration;

/// How often a daemon raises its own counter.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);
/// Not heard of for so long: not live.
pub const NODE_TIMEOUT: Duration = Duration::from_millis(3000);
pub const REGISTRY_TIMEOUT: Duration = Duration::from_millis(2200);
/// Not heard of for so long: forgotten.
pub const FORGET_TIMEOUT: Duration = Duration::from_secs(600);
/// Between registries a read of the platform list that began so much later than the last one that was told
/// is told at once.
const LIST_READ_STEP: Duration = Duration::from_millis(200);
/// A daemon that registries serve pulls from so many of them.
const LIGHT_LINES: usize = 2;
/// A pull that is out for so long is slow: another registry is asked too.
const SLOW_AFTER: Duration = Duration::from_millis(1100);
/// A pull that finds nothing loud waits so long for it.
pub const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(700);
/// After a failed pull.
pub const PULL_BACKOFF: Duration = Duration::from_millis(300);
/// A pulse that comes so late means that this daemon was frozen.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1500);
/// A daemon that no registry reaches goes by what other siblings told it after so long.
pub const PEER_FRESHNESS_TIMEOUT: Duration = Duration::from_secs(2);
/// And by what it has where nobody at all replied for so long: it is cut off.
pub const ISOLATED_FRESHNESS_TIMEOUT: Duration = Duration::from_millis(2500);
/// A daemon that is not fresh holds new work for so long: until it would go by what it has.
pub const READINESS_TIMEOUT: Duration = Duration::from_secs(3);
const _: () = assert!(PEER_FRESHNESS_TIMEOUT.as_millis() < ISOLATED_FRESHNESS_TIMEOUT.as_millis());
const _: () = assert!(ISOLATED_FRESHNESS_TIMEOUT.as_millis() + 200 < READINESS_TIMEOUT.as_millis());
/// No pull came back for so long: what is known here may be old.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_millis(2500);
/// Those who are not heard of, and the seeds, are tried so often, one at a time.
const SEED_EVERY: Duration = Duration::from_secs(1);
/// So many registries hear details: the one that has the duty and the one that would take it over.
const HEAR_DETAILS: usize = 2;
/// A registry that began to hear them has heard all after so long: each other one was asked, and answered.
const DETAILS_HEARD_AFTER: Duration = Duration::from_millis(1500);
/// An operator who asks for what proxies see keeps a registry hearing it for so long.
const DETAILS_ASKED_FOR: Duration = Duration::from_secs(30);
/// Sources remembered at the most; a sibling that makes up names cannot fill the memory. Six times the
/// design size (docs/CAPACITY.md).
pub const MAX_PEERS: usize = 4096;

/// One source as this daemon knows it.
#[derive(Clone, Debug)]
pub struct Peer {
    pub info: wire::NodeInfo,
    pub version: wire::NodeVersion,
    pub status: wire::NodeStatus,
    pub observations: wire::ProxyObservations,
    /// It told its detail itself, and not by way of a third.
    is_direct: bool,
    /// Of its name, for vectors.
    short: u32,
    heard_at: Duration,
    /// Since when this daemon knows of it, or since it woke.
    known_since: Duration,
    /// When it last replied to a pull of this daemon's.
    replied_at: Option<Duration>,
    /// Nobody listened at its address then: it is dead until it is heard of anew (design 5.7).
    refused_at: Option<Duration>,
    /// All registries that speak to this light daemon say that it is not live.
    is_silent: bool,
    /// At the last pulse.
    was_live: bool,
}

impl Peer {
    /// As seen by a daemon of the role `own`: registries pull straight from each other and know of
    /// each other's death sooner. The others go by what registries say, and judge nobody but
    /// registries while none speaks: `judged_at` is when one last did (design 5.3).
    fn is_live(&self, now: Duration, own: wire::Role, judged_at: Option<Duration>) -> bool {
        let is_both_registry = own == wire::Role::Registry && self.info.role == own;
        let after = if is_both_registry { REGISTRY_TIMEOUT } else { NODE_TIMEOUT };
        let now = match judged_at {
            Some(judged_at) if own != wire::Role::Registry => {
                if self.is_silent {
                    return false;
                }
                if self.info.role == wire::Role::Registry { now } else { judged_at.min(now) }
            }
            _ => now,
        };
        let is_refuted = self.refused_at.is_some_and(|at| self.heard_at <= at);
        !is_refuted && now.saturating_sub(self.heard_at) < after
    }
}

/// An outstanding or planned pull.
#[derive(Clone, Debug)]
struct Line {
    busy: bool,
    /// When the pull that is out was sent: what it brings is no fresher than that.
    sent_at: Duration,
    next_at: Duration,
    /// Not wanted any more once its pull is done.
    wanted: bool,
    /// The detail that went out with the last pull to this registry.
    detail_told: u64,
    /// It has this daemon's card and vector, unless it was started anew, and then the connection
    /// ends.
    is_known: bool,
    /// What it said last of who is silent, and when.
    silent: Option<(Duration, Vec<u32>)>,
    /// Its last pull failed.
    failed: bool,
}

struct Parked {
    ticket: u64,
    vector: std::collections::HashMap<u32, wire::NodeVersion>,
    word: u64,
    platform: u64,
    plan: wire::PlanVersion,
    wants_detail: bool,
    until: Duration,
    asker: String,
    /// The asker's own life.
    life: u64,
    light: bool,
    silent: u64,
    resend: bool,
    /// It does not wait: just started or awake, it wants all that there is.
    is_first: bool,
    /// It goes by no word yet and wants the floor (design 5.8).
    seeks_floor: bool,
    /// The count of loud changes at which nothing was loud for it.
    looked: u64,
    /// When the newest read of the platform list that the asker knows of began, on this daemon's clock.
    list_read_at: Option<Duration>,
}

impl Parked {
    /// Whether a detail goes with the answer. Registries pull from all others of their kind, so each hears
    /// details from the one to which the source told them; by way of a third only what it missed for a
    /// whole round of telling, since the direct way may be cut.
    fn has_new_detail(
        &self,
        mark: &wire::NodeVersion,
        seen: &wire::NodeVersion,
        is_direct: bool,
    ) -> bool {
        let behind = mark.observations_version.saturating_sub(seen.observations_version);
        let is_for_all = is_direct || self.is_first;
        self.wants_detail
            && (mark.incarnation != seen.incarnation || behind > 1 || (behind == 1 && is_for_all))
    }
}

pub enum Event {
    Tick,
    /// A sibling asks; answer under the ticket.
    PullReceived {
        ticket: u64,
        request: wire::PullRequest,
    },
    /// The asker of a parked ticket is gone.
    PullAbandoned {
        ticket: u64,
    },
    /// Nobody listens at a sibling's address.
    ConnectionRefused {
        address: std::net::SocketAddr,
    },
    /// A pull of ours came back.
    PullCompleted {
        address: std::net::SocketAddr,
        response: Option<Box<wire::PullResponse>>,
    },
    /// This daemon's own state changed: loud, passed on at once.
    StatusChanged(wire::NodeStatus),
    ObservationsChanged(wire::ProxyObservations),
    ConfigCommitted(Arc<wire::CommittedConfig>),
    EndpointListReceived(Arc<vanepath_config::endpoint_list::EndpointList>),
    /// This daemon has read the platform list: what is in force by that, and when the read began.
    EndpointListRead {
        list: Arc<vanepath_config::endpoint_list::EndpointList>,
        began_at: Duration,
    },
    PlanReceived(Arc<wire::TrafficShiftPlan>),
    /// Somebody asks this registry for what proxies see.
    ObservationsWanted,
    /// The settings name other seeds from now on.
    SeedsChanged(Vec<std::net::SocketAddr>),
    /// A store that was asked for the floor replied, or did not (design 5.8).
    ReadIndexReceived {
        address: std::net::SocketAddr,
        revision: Option<u64>,
    },
}

#[derive(Debug)]
pub enum Effect {
    Pull {
        address: std::net::SocketAddr,
        request: wire::PullRequest,
    },
    Respond {
        ticket: u64,
        response: wire::PullResponse,
    },
    /// Asks a store for the floor.
    RequestReadIndex {
        address: std::net::SocketAddr,
    },
    /// Something that readers of the table care about is new.
    ViewChanged,
    /// Counted and logged by the shell.
    Log(&'static str),
}

pub struct Gossip {
    own: wire::NodeInfo,
    mark: wire::NodeVersion,
    report: wire::NodeStatus,
    detail: wire::ProxyObservations,
    short: u32,
    seeds: Vec<std::net::SocketAddr>,
    pub peers: Vec<Peer>,
    /// Where each name's source lies.
    by_name: std::collections::HashMap<String, usize>,
    /// Loud changes so far: what was not loud for somebody is not until there is another one.
    loud: u64,
    pub committed: Arc<wire::CommittedConfig>,
    pub endpoints: crate::endpoint_cache::EndpointCache,
    pub plan: Arc<wire::TrafficShiftPlan>,
    lines: std::collections::BTreeMap<std::net::SocketAddr, Line>,
    parked: Vec<Parked>,
    /// What each light asker has, by name.
    askers: std::collections::HashMap<String, std::collections::HashMap<u32, wire::NodeVersion>>,
    /// Who is not live, by short names in order; and all names.
    silent: Vec<u32>,
    names: std::collections::HashSet<u32>,
    /// Raised with everything that askers are told of at once, and as it was when they last were.
    told_loud: u64,
    /// When a registry last said who is live.
    judged_at: Option<Duration>,
    /// A registry is live as far as is known: lines are chosen by that.
    is_served: bool,
    /// Whose connections ended lately: asked themselves with the next pulse.
    doubted: Vec<std::net::SocketAddr>,
    /// Since when details are heard here, and until when for somebody who asked.
    details_since: Option<Duration>,
    details_until: Duration,
    beat_at: Duration,
    seed_at: Duration,
    pulsed_at: Duration,
    turn: usize,
    /// Since the start or the last freeze: when a pull first came back, and from whom.
    fresh_since: Option<Duration>,
    fresh_registry: bool,
    awake_since: Duration,
    /// When a pull last came back.
    good_at: Duration,
    /// What this life has to have before it goes by a word, or tells of one (design 5.8).
    floor: crate::read_index::ReadIndex,
    /// The highest revision that each name ever told as in force there, over all its lives.
    floors: std::collections::HashMap<String, u64>,
    /// The highest of them, and of what others said of it.
    highest: u64,
}

impl Gossip {
    pub fn new(
        own: wire::NodeInfo,
        seeds: Vec<std::net::SocketAddr>,
        life: u64,
        now: Duration,
    ) -> Gossip {
        let seeds = seeds.into_iter().filter(|seed| *seed != own.cluster_address).collect();
        // Each begins its turn of the lost elsewhere: between them all are tried soon.
        let turn = vanepath_config::stable_hash(&["turn", &own.name]) as usize;
        let short = wire::name_hash(&own.name);
        Gossip {
            own,
            mark: wire::NodeVersion {
                incarnation: life,
                counter: 1,
                status_version: 1,
                observations_version: 0,
            },
            report: wire::NodeStatus::default(),
            detail: wire::ProxyObservations::default(),
            short,
            seeds,
            peers: Vec::new(),
            by_name: std::collections::HashMap::new(),
            loud: 1,
            committed: Arc::default(),
            endpoints: crate::endpoint_cache::EndpointCache::default(),
            plan: Arc::default(),
            lines: std::collections::BTreeMap::new(),
            parked: Vec::new(),
            askers: std::collections::HashMap::new(),
            silent: Vec::new(),
            names: [short].into(),
            told_loud: 0,
            judged_at: None,
            is_served: false,
            doubted: Vec::new(),
            details_since: None,
            details_until: now,
            beat_at: now,
            seed_at: now,
            pulsed_at: now,
            turn,
            fresh_since: None,
            fresh_registry: false,
            awake_since: now,
            good_at: now,
            floor: crate::read_index::ReadIndex::new(now),
            floors: std::collections::HashMap::new(),
            highest: 0,
        }
    }

    pub fn node_info(&self) -> &wire::NodeInfo {
        &self.own
    }

    pub fn node_status(&self) -> &wire::NodeStatus {
        &self.report
    }

    pub fn node_version(&self) -> wire::NodeVersion {
        self.mark
    }

    /// Whether what is known was refreshed since the start or the last freeze (design 5.5): by a
    /// registry, or else by whoever replied while a registry had its time to.
    pub fn is_fresh(&self, now: Duration) -> bool {
        let awake = now.saturating_sub(self.awake_since);
        self.fresh_registry
            || (self.fresh_since.is_some() && awake > PEER_FRESHNESS_TIMEOUT)
            || awake > ISOLATED_FRESHNESS_TIMEOUT
    }

    /// How this life came to go by a word; `None`: it does not yet.
    pub fn read_index(&self) -> &crate::read_index::ReadIndex {
        &self.floor
    }

    /// It has waited for its floor in vain, and others take work: what comes does better there.
    pub fn is_stalled(&self, now: Duration) -> bool {
        let is_other = |card: &wire::NodeInfo| card.name != self.own.name;
        self.floor.is_stalled(now)
            && self.live(now).any(|(card, report)| {
                card.role == wire::Role::Proxy && report.ready && is_other(card)
            })
    }

    /// The highest revision that each name told as in force there, over all its lives.
    pub fn highest_active_revisions(&self) -> &std::collections::HashMap<String, u64> {
        &self.floors
    }

    /// The revision that is in force here; 0: none in this life so far.
    fn in_force(&self) -> u64 {
        self.floor.established().map_or(0, |_| self.committed.revision)
    }

    /// Whether this registry has what proxies tell of servers, all of it (design 5.3).
    pub fn has_observations(&self, now: Duration) -> bool {
        let since = self.details_since;
        since.is_some_and(|since| now.saturating_sub(since) >= DETAILS_HEARD_AFTER)
    }

    /// Details are for the plan, and so for the first registries in the order of names.
    fn note_details(&mut self, now: Duration) {
        let is_before = |one: &(&wire::NodeInfo, &wire::NodeStatus)| {
            one.0.role == wire::Role::Registry && !one.1.draining && one.0.name < self.own.name
        };
        let wants = self.own.role == wire::Role::Registry
            && (now < self.details_until
                || self.live(now).filter(is_before).count() < HEAR_DETAILS
                || self.leader(wire::Role::Registry, now).is_some_and(|one| *one == self.own));
        self.details_since = wants.then(|| self.details_since.unwrap_or(now));
    }

    /// No pull has come back for so long that others may know more by now.
    pub fn is_isolated(&self, now: Duration) -> bool {
        now.saturating_sub(self.good_at) > ISOLATION_TIMEOUT
    }

    /// Whether what is known here may be older than what others know: no pull came back, or, at a registry,
    /// none of those from other registries did. What asks from here says nothing of it, for that comes
    /// through a cut in one direction; nor does a store beside it, which may be cut off with it.
    /// Registries at whose addresses nobody listens are gone and do not count.
    pub fn is_partitioned(&self, now: Duration) -> bool {
        let others = || {
            let registries = self.peers.iter().filter(|one| one.info.role == wire::Role::Registry);
            registries.filter(|one| one.refused_at.is_none_or(|at| one.heard_at > at))
        };
        if self.own.role != wire::Role::Registry || others().next().is_none() {
            return self.is_isolated(now);
        }
        let is_lately = |at: Duration| now.saturating_sub(at) <= ISOLATION_TIMEOUT;
        // One that was heard of only now was not asked for long.
        let is_in_touch =
            |one: &Peer| is_lately(one.known_since) || one.replied_at.is_some_and(is_lately);
        !others().any(is_in_touch)
    }

    /// All that is live, this daemon included.
    pub fn live(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&wire::NodeInfo, &wire::NodeStatus)> {
        std::iter::once((&self.own, &self.report)).chain(
            self.peers
                .iter()
                .filter(move |source| source.is_live(now, self.own.role, self.judged_at))
                .map(|source| (&source.info, &source.status)),
        )
    }

    /// What is not live any more and not yet forgotten, as it was when last heard of.
    pub fn unreachable(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&wire::NodeInfo, &wire::NodeStatus)> {
        self.peers
            .iter()
            .filter(move |source| !source.is_live(now, self.own.role, self.judged_at))
            .map(|source| (&source.info, &source.status))
    }

    /// The first live and settled daemon of a role, in the order of names, has the duty (design 5.6).
    pub fn leader(&self, role: wire::Role, now: Duration) -> Option<&wire::NodeInfo> {
        self.live(now)
            .filter(|(card, report)| card.role == role && !report.draining && report.synced)
            .map(|(card, _)| card)
            .min_by(|left, right| left.name.cmp(&right.name))
    }

    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.notice(now, &mut effects);
        let is_pulse = matches!(event, Event::Tick);
        match event {
            Event::Tick => self.pulse(now, &mut effects),
            Event::PullReceived { ticket, request: pull } => {
                self.asked(now, ticket, pull, &mut effects)
            }
            Event::PullAbandoned { ticket } => self.left(ticket),
            Event::ConnectionRefused { address } => self.refused(now, address, &mut effects),
            Event::PullCompleted { address, response: news } => {
                self.told(now, address, news, &mut effects)
            }
            Event::StatusChanged(mut report) => {
                // Nothing is in force here before the floor is met.
                report.revision = report.revision.min(self.in_force());
                if report != self.report {
                    self.report = report;
                    self.mark.status_version += 1;
                    self.mark.counter += 1;
                    self.loud += 1;
                    effects.push(Effect::ViewChanged);
                }
            }
            Event::ObservationsChanged(detail) => {
                if detail != self.detail {
                    self.detail = detail;
                    self.mark.observations_version += 1;
                }
            }
            Event::ConfigCommitted(word) => {
                // A store's own, seen with a majority since it started (design 6.2).
                if self.own.role == wire::Role::Store {
                    self.floor.on_store_reply(now, &self.own.name, Some(word.revision));
                }
                self.hear_word(word, &mut effects);
            }
            Event::EndpointListReceived(list) => {
                let is_new = self.endpoints.apply(list);
                self.note_list(is_new, &mut effects);
            }
            Event::EndpointListRead { list, began_at } => {
                let revision = list.revision;
                let is_new = self.endpoints.apply(list);
                self.note_list(is_new, &mut effects);
                self.note_list_read(revision, began_at);
            }
            Event::PlanReceived(plan) => self.hear_plan(plan, &mut effects),
            Event::ObservationsWanted => {
                self.details_until = now + DETAILS_ASKED_FOR;
                self.note_details(now);
            }
            Event::SeedsChanged(mut seeds) => {
                seeds.retain(|seed| *seed != self.own.cluster_address);
                self.seeds = seeds;
            }
            Event::ReadIndexReceived { address, revision } => {
                let teller = self.name_at(address);
                self.floor.on_store_reply(now, &teller, revision);
            }
        }
        self.look_at_floor(now, &mut effects);
        if self.floor.established().is_none() {
            self.seek_floor(now, &mut effects);
        }
        // Nothing loud and no time passed: nobody is waiting for this.
        if is_pulse || self.loud != self.told_loud {
            self.told_loud = self.loud;
            self.answer_parked(now, &mut effects);
        }
        effects
    }

    /// The name of the daemon at an address, or else the address.
    fn name_at(&self, address: std::net::SocketAddr) -> String {
        let source = self.peers.iter().find(|one| one.info.cluster_address == address);
        source.map_or_else(|| address.to_string(), |source| source.info.name.clone())
    }

    fn look_at_floor(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if self.floor.established().is_some() {
            return;
        }
        if self.floor.check(now, self.committed.revision, self.has_witnesses(now)) {
            // What was held back is told from here on.
            self.loud += 1;
            effects.push(Effect::ViewChanged);
        }
    }

    /// Who hears of few of those that it knows of may be cut off with them, and they may lag. More than
    /// half of all daemons are enough, or of those of its own region, which told each other what they
    /// went by before the region was cut off.
    fn has_witnesses(&self, now: Duration) -> bool {
        let live = self.live(now).count();
        if live > self.unreachable(now).count() {
            return true;
        }
        let is_near = |card: &wire::NodeInfo| card.region == self.own.region;
        let near = self.live(now).filter(|(card, _)| is_near(card)).count();
        near > 1 && near > self.unreachable(now).filter(|(card, _)| is_near(card)).count()
    }

    /// Asks for the floor: stores that vote, in the order in which they propose, and the nearest. A store
    /// finds it by itself, as it asks the others what is chosen; one that has no seat asks a little
    /// later.
    fn seek_floor(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let finds_itself = self.own.role == wire::Role::Store && self.floor.has_just_started(now);
        if finds_itself {
            return;
        }
        let mut stores: Vec<(Option<u8>, &wire::NodeInfo)> = self
            .live(now)
            .filter(|(card, report)| {
                let is_other = card.name != self.own.name;
                is_other && card.role == wire::Role::Store && report.ready && !report.draining
            })
            .map(|(card, report)| (report.disk.and_then(|one| one.slot), card))
            .collect();
        stores.sort_unstable_by_key(|(seat, card)| (*seat, card.cluster_address));
        let others: Vec<crate::peer_selection::Candidate<'_>> =
            stores.iter().map(|one| known(one.1)).collect();
        let nearest = crate::peer_selection::nearest_store(&known(&self.own), &others);
        let nearest = nearest.map(|index| stores[index].1.cluster_address);
        let stores: Vec<std::net::SocketAddr> =
            stores.iter().map(|one| one.1.cluster_address).collect();
        let due = self.floor.next_stores(now, &stores, nearest);
        effects.extend(due.into_iter().map(|address| Effect::RequestReadIndex { address }));
    }

    /// Its connection ended while it waited: it may be dead, so it is asked itself at once.
    fn left(&mut self, ticket: u64) {
        if let Some(parked) = self.parked.iter().find(|parked| parked.ticket == ticket) {
            let asker = &parked.asker;
            let source = self.peers.iter().find(|source| source.info.name == *asker);
            self.doubted.extend(source.map(|source| source.info.cluster_address));
        }
        self.parked.retain(|parked| parked.ticket != ticket);
    }

    fn refused(&mut self, now: Duration, address: std::net::SocketAddr, effects: &mut Vec<Effect>) {
        let judged_at = self.judged_at;
        for source in &mut self.peers {
            if source.info.cluster_address == address
                && source.is_live(now, self.own.role, judged_at)
            {
                source.refused_at = Some(now);
                source.was_live = false;
                effects.push(Effect::ViewChanged);
            }
        }
    }

    fn hear_word(&mut self, word: Arc<wire::CommittedConfig>, effects: &mut Vec<Effect>) {
        // Never backwards (design 5.4).
        if word.revision > self.committed.revision {
            self.committed = word;
            self.loud += 1;
            effects.push(Effect::ViewChanged);
        }
    }

    /// Another platform list may be in force from now on.
    fn note_list(&mut self, is_new: bool, effects: &mut Vec<Effect>) {
        if is_new {
            self.loud += 1;
            effects.push(Effect::ViewChanged);
        }
    }

    /// A read of the platform list found this revision in force.
    fn note_list_read(&mut self, revision: u64, began_at: Duration) {
        let is_news = self.endpoints.record_read(revision, began_at);
        if is_news && self.own.role == wire::Role::Registry {
            self.loud += 1;
        }
    }

    fn hear_plan(&mut self, plan: Arc<wire::TrafficShiftPlan>, effects: &mut Vec<Effect>) {
        // Under a lower epoch nothing is taken (design 5.6).
        if plan.version() > self.plan.version() {
            self.plan = plan;
            self.loud += 1;
            effects.push(Effect::ViewChanged);
        }
    }

    /// A freeze is noticed by whatever comes first after it, before that is taken for anything.
    fn notice(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let gap = now.saturating_sub(self.pulsed_at);
        if gap > PAUSE_THRESHOLD {
            self.pulsed_at = now;
            // Frozen: nobody is dead for not being heard meanwhile, nothing is known as fresh.
            for source in &mut self.peers {
                source.heard_at += gap;
                source.known_since = now;
            }
            self.fresh_since = None;
            self.fresh_registry = false;
            self.awake_since = now;
            self.floor.restart_wait(now);
            effects.push(Effect::Log("woke from a freeze"));
            effects.push(Effect::ViewChanged);
        }
    }

    fn pulse(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.pulsed_at = now;
        if now >= self.beat_at {
            self.beat_at = now + HEARTBEAT_INTERVAL;
            self.mark.counter += 1;
        }
        let before = self.peers.len();
        self.peers.retain(|source| now.saturating_sub(source.heard_at) < FORGET_TIMEOUT);
        if self.peers.len() < before {
            let names = self.peers.iter().map(|source| source.info.name.clone());
            self.by_name = names.zip(0..).collect();
            let shorts = self.peers.iter().map(|source| source.short);
            self.names = shorts.chain([self.short]).collect();
        }
        let mut just_lost = std::mem::take(&mut self.doubted);
        let (role, judged_at) = (self.own.role, self.judged_at);
        for source in &mut self.peers {
            let is_live = source.is_live(now, role, judged_at);
            if std::mem::replace(&mut source.was_live, is_live) != is_live {
                effects.push(Effect::ViewChanged);
                if !is_live {
                    just_lost.push(source.info.cluster_address);
                }
            }
        }
        self.note_silent(now);
        self.note_details(now);
        self.choose(now, just_lost);
        let due: Vec<std::net::SocketAddr> = self
            .lines
            .iter()
            .filter(|(_, line)| !line.busy && line.next_at <= now)
            .map(|(address, _)| *address)
            .collect();
        for address in due {
            self.start_pull(now, address, effects);
        }
    }

    /// Who is not live, for those who go by what registries say.
    fn note_silent(&mut self, now: Duration) {
        if self.own.role != wire::Role::Registry {
            return;
        }
        let silent = self.peers.iter().filter(|one| !one.is_live(now, self.own.role, None));
        let mut silent: Vec<u32> = silent.map(|source| source.short).collect();
        silent.sort_unstable();
        if silent != self.silent {
            self.silent = silent;
            self.loud += 1;
        }
        self.askers.retain(|name, _| self.by_name.contains_key(name));
    }

    /// The lines of a daemon that registries serve: the nearest registry and one of another region;
    /// where one does not reply, the next. `None` where no registry is live.
    fn registry_lines(
        &self,
        now: Duration,
        live: &[&Peer],
        others: &[crate::peer_selection::Candidate<'_>],
    ) -> Option<Vec<std::net::SocketAddr>> {
        let is_whole = |index: usize| live[index].status.hears_majority;
        let ranked = crate::peer_selection::rank_registries(&known(&self.own), others, is_whole);
        if ranked.is_empty() {
            return None;
        }
        // Those that do not hear from most others may be cut off with what nobody else knows.
        let apart = ranked.iter().filter(|index| !is_whole(**index));
        let mut wanted: Vec<std::net::SocketAddr> =
            apart.map(|index| live[*index].info.cluster_address).collect();
        if self.own.role == wire::Role::Registry {
            wanted.extend(ranked.iter().map(|index| live[*index].info.cluster_address));
            let store = crate::peer_selection::nearest_store(&known(&self.own), others);
            wanted.extend(store.map(|index| live[index].info.cluster_address));
            return Some(wanted);
        }
        if self.own.role == wire::Role::Store {
            // What one of them knows as chosen the others know at once, whichever registry is gone.
            let stores = live.iter().filter(|one| one.info.role == wire::Role::Store);
            wanted.extend(stores.map(|one| one.info.cluster_address));
        }
        let mut good = 0;
        for index in ranked {
            let address = live[index].info.cluster_address;
            wanted.push(address);
            let is_bad = self.lines.get(&address).is_some_and(|line| {
                line.failed || (line.busy && now.saturating_sub(line.sent_at) > SLOW_AFTER)
            });
            good += usize::from(!is_bad);
            if good >= LIGHT_LINES {
                break;
            }
        }
        Some(wanted)
    }

    /// The wanted lines: siblings by rendezvous, and in turn a seed or a lost source.
    fn choose(&mut self, now: Duration, just_lost: Vec<std::net::SocketAddr>) {
        let live: Vec<&Peer> = self
            .peers
            .iter()
            .filter(|one| one.is_live(now, self.own.role, self.judged_at))
            .collect();
        let others: Vec<crate::peer_selection::Candidate<'_>> =
            live.iter().map(|source| known(&source.info)).collect();
        let by_registries = self.registry_lines(now, &live, &others);
        let is_served = by_registries.is_some();
        let mut wanted: std::collections::BTreeSet<std::net::SocketAddr> = match by_registries {
            Some(addresses) => addresses.into_iter().collect(),
            None => crate::peer_selection::select_peers(&known(&self.own), &others)
                .into_iter()
                .map(|index| live[index].info.cluster_address)
                .collect(),
        };
        let alone = wanted.is_empty();
        if alone {
            wanted.extend(&self.seeds);
        }
        let was_served = std::mem::replace(&mut self.is_served, is_served);
        if was_served != is_served {
            // Beats count again, or do not any more: everyone is told anew what is known here.
            self.lines.values_mut().for_each(|line| line.is_known = false);
        }
        if self.own.role == wire::Role::Registry {
            // A store that nobody pulls from may be the one that chose it.
            let later = live.iter().filter(|one| {
                one.info.role == wire::Role::Store && one.status.revision > self.committed.revision
            });
            wanted.extend(later.map(|source| source.info.cluster_address));
        }
        let is_below = self.floor.required().is_some_and(|floor| floor > self.committed.revision);
        if self.floor.established().is_none() && is_below {
            // Whoever has the word that the floor is of: the registries may all be behind.
            let core = live.iter().filter(|one| one.info.role != wire::Role::Proxy);
            wanted.extend(core.map(|source| source.info.cluster_address));
        }
        if self.fresh_since.is_none() {
            // Just awake: its few siblings may all be gone by now, so everyone is asked once.
            let asked = live.iter().filter(|one| !is_served || one.info.role != wire::Role::Proxy);
            wanted.extend(asked.map(|source| source.info.cluster_address));
        }
        // Who is not heard of any more is asked itself, once: it may be there and cut off from all but
        // this daemon, which it does not know of.
        wanted.extend(just_lost);
        if now >= self.seed_at {
            self.seed_at = now + SEED_EVERY;
            let lost: Vec<std::net::SocketAddr> = self
                .peers
                .iter()
                .filter(|source| !source.is_live(now, self.own.role, self.judged_at))
                .map(|source| source.info.cluster_address)
                .chain(self.seeds.iter().copied())
                .filter(|address| {
                    !live.iter().any(|source| source.info.cluster_address == *address)
                })
                .collect();
            if !lost.is_empty() {
                self.turn = self.turn.wrapping_add(1);
                wanted.insert(lost[self.turn % lost.len()]);
            }
        }
        wanted.remove(&self.own.cluster_address);
        for (address, line) in &mut self.lines {
            line.wanted = wanted.contains(address);
        }
        self.lines.retain(|_, line| line.busy || line.wanted);
        for address in wanted {
            let line = Line {
                busy: false,
                sent_at: now,
                next_at: now,
                wanted: true,
                detail_told: 0,
                is_known: false,
                silent: None,
                failed: false,
            };
            self.lines.entry(address).or_insert(line);
        }
    }

    fn start_pull(
        &mut self,
        now: Duration,
        address: std::net::SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        let is_registry = self.peers.iter().any(|source| {
            source.info.cluster_address == address && source.info.role == wire::Role::Registry
        });
        let Some(line) = self.lines.get_mut(&address) else {
            return;
        };
        line.busy = true;
        line.sent_at = now;
        let tells_card = !line.is_known;
        let light = self.own.role != wire::Role::Registry;
        let light = light && self.is_served;
        let has_vector = light && line.is_known;
        let silent = line.silent.as_ref().map_or(0, |(_, silent)| digest_of(silent));
        let tells_detail = is_registry && line.detail_told < self.mark.observations_version;
        if tells_detail {
            line.detail_told = self.mark.observations_version;
        }
        // The first pull of a life does not wait: it is how the daemon learns of the rest.
        let wait_ms =
            if self.fresh_since.is_none() { 0 } else { LONG_POLL_TIMEOUT.as_millis() as u32 };
        let pull = wire::PullRequest {
            known_versions: (!has_vector)
                .then(|| self.peers.iter().map(|one| (one.short, one.version)).collect()),
            config_revision: self.committed.revision,
            endpoint_list_revision: self.endpoints.known_revision(),
            plan_version: self.plan.version(),
            sender: self.own_delta(tells_card, tells_detail),
            wait_ms,
            wants_observations: self.details_since.is_some(),
            is_leaf: light,
            unreachable_digest: silent,
            list_read_age_ms: (self.own.role == wire::Role::Registry)
                .then(|| self.endpoints.latest_read(now).map(|read| read.age_ms))
                .flatten(),
        };
        effects.push(Effect::Pull { address, request: pull });
    }

    fn own_delta(&self, tells_card: bool, tells_detail: bool) -> wire::NodeDelta {
        wire::NodeDelta {
            name: self.own.name.clone(),
            version: self.mark,
            age_ms: 0,
            info: tells_card.then(|| self.own.clone()),
            status: Some(self.report.clone()),
            observations: tells_detail.then(|| self.detail.clone()),
        }
    }

    fn told(
        &mut self,
        now: Duration,
        address: std::net::SocketAddr,
        news: Option<Box<wire::PullResponse>>,
        effects: &mut Vec<Effect>,
    ) {
        let resend = news.as_ref().is_some_and(|news| news.resend_versions);
        let good = news.is_some();
        if good {
            self.good_at = now;
        }
        // Asked before a freeze and told after it: that is from before the freeze.
        let is_of_now =
            self.lines.get(&address).is_some_and(|line| line.sent_at >= self.awake_since);
        if let Some(news) = news {
            for delta in news.nodes {
                self.hear(now, delta, false, effects);
            }
            if let Some(silent) = news.unreachable {
                self.judge(now, address, silent);
            }
            if let Some(word) = news.config {
                self.hear_word(Arc::new(word), effects);
            }
            if !resend {
                // One that says nothing of it is of an earlier version, and told what it has.
                let floor = news.read_index.unwrap_or(self.committed.revision);
                if self.floor.established().is_none() {
                    let teller = self.name_at(address);
                    self.floor.on_peer_reply(&teller, floor);
                }
                self.highest = self.highest.max(news.read_index.unwrap_or(0));
            }
            if let Some(list) = news.endpoint_list {
                let is_new = self.endpoints.apply_full(list);
                self.note_list(is_new, effects);
            }
            if let Some(delta) = news.endpoint_list_delta {
                let is_new = self.endpoints.apply_delta(&delta);
                self.note_list(is_new, effects);
            }
            if let Some(read) = news.list_read {
                let age = Duration::from_millis(u64::from(read.age_ms));
                self.endpoints.observe_revision(read.revision);
                self.note_list_read(read.revision, now.saturating_sub(age));
            }
            if let Some(plan) = news.plan {
                self.hear_plan(Arc::new(plan), effects);
            }
            if is_of_now && self.fresh_since.is_none() {
                self.fresh_since = Some(now);
                effects.push(Effect::ViewChanged);
            }
            // A store that has asked a majority since it runs knows the word as well as a registry.
            let vouches = self.peers.iter().any(|source| {
                source.info.cluster_address == address
                    && source.status.ready
                    && (source.info.role == wire::Role::Registry
                        || (source.info.role == wire::Role::Store && source.status.synced))
            });
            if is_of_now && vouches && !self.fresh_registry {
                self.fresh_registry = true;
                effects.push(Effect::ViewChanged);
            }
        }
        if good {
            let mut teller = self.peers.iter_mut();
            if let Some(teller) = teller.find(|source| source.info.cluster_address == address) {
                teller.replied_at = Some(now);
            }
        }
        if let Some(line) = self.lines.get_mut(&address) {
            line.busy = false;
            line.next_at = if good { now } else { now + PULL_BACKOFF };
            line.is_known = good && !resend;
            line.failed = !good;
            if !good {
                line.detail_told = 0;
            }
            if !line.wanted {
                self.lines.remove(&address);
            } else if good {
                self.start_pull(now, address, effects);
            }
        }
    }

    /// A registry said who is not live. Whom any that speaks holds for live is live.
    fn judge(&mut self, now: Duration, address: std::net::SocketAddr, silent: Vec<u32>) {
        self.judged_at = Some(now);
        if let Some(line) = self.lines.get_mut(&address) {
            line.silent = Some((now, silent));
        }
        let lines = self.lines.values().filter_map(|line| line.silent.as_ref());
        let spoken: Vec<&Vec<u32>> = lines
            .filter(|(at, _)| now.saturating_sub(*at) < ISOLATION_TIMEOUT)
            .map(|one| &one.1)
            .collect();
        for source in &mut self.peers {
            let name = source.short;
            let says_dead = |silent: &&Vec<u32>| silent.binary_search(&name).is_ok();
            source.is_silent = !spoken.is_empty() && spoken.iter().all(says_dead);
            let is_refuted =
                source.refused_at.is_some_and(|at| now.saturating_sub(at) < NODE_TIMEOUT);
            let is_teller = source.info.cluster_address == address;
            if is_teller || (!source.is_silent && !is_refuted) {
                source.heard_at = now;
                source.is_silent &= !is_teller;
            }
        }
    }

    /// `is_direct`: the source itself said so in its pull.
    fn hear(
        &mut self,
        now: Duration,
        delta: wire::NodeDelta,
        is_direct: bool,
        effects: &mut Vec<Effect>,
    ) {
        if delta.name == self.own.name {
            // Told of a life of ours that is not this one: outlive it (design 5.3).
            if delta.version.incarnation > self.mark.incarnation {
                self.mark.incarnation = delta.version.incarnation + 1;
                self.mark.counter += 1;
                self.loud += 1;
                effects.push(Effect::Log("outlived an earlier life of this name"));
            }
            return;
        }
        if let Some(report) = &delta.status
            && report.revision > 0
        {
            self.highest = self.highest.max(report.revision);
            if let Some(floor) = self.floors.get_mut(&delta.name) {
                *floor = report.revision.max(*floor);
            } else if self.floors.len() < MAX_PEERS {
                self.floors.insert(delta.name.clone(), report.revision);
            }
        }
        let age = Duration::from_millis(u64::from(delta.age_ms));
        if age >= FORGET_TIMEOUT {
            return;
        }
        let heard_at = now.saturating_sub(age);
        let found = self.by_name.get(&delta.name).copied();
        let Some(index) = found else {
            let (Some(card), Some(report)) = (delta.info, delta.status) else {
                return;
            };
            if self.peers.len() >= MAX_PEERS {
                effects.push(Effect::Log("too many sources"));
                return;
            }
            // What was not told is not known.
            let mut mark = delta.version;
            if delta.observations.is_none() {
                mark.observations_version = 0;
            }
            let detail = delta.observations.unwrap_or_default();
            let short = wire::name_hash(&delta.name);
            self.by_name.insert(delta.name, self.peers.len());
            self.loud += 1;
            self.names.insert(short);
            self.peers.push(Peer {
                info: card,
                version: mark,
                status: report,
                is_direct: is_direct && mark.observations_version > 0,
                observations: detail,
                short,
                heard_at,
                known_since: now,
                replied_at: None,
                refused_at: None,
                is_silent: false,
                was_live: false,
            });
            effects.push(Effect::ViewChanged);
            return;
        };
        let source = &mut self.peers[index];
        let rank = |mark: &wire::NodeVersion| (mark.incarnation, mark.counter);
        // A detail may come by a slower way than the beats: it has a number of its own.
        let is_same_life = delta.version.incarnation == source.version.incarnation;
        if is_same_life
            && delta.version.observations_version > source.version.observations_version
            && let Some(detail) = &delta.observations
        {
            source.observations = detail.clone();
            source.version.observations_version = delta.version.observations_version;
            source.is_direct = is_direct;
        }
        if rank(&delta.version) < rank(&source.version) {
            return;
        }
        let new_life = delta.version.incarnation != source.version.incarnation;
        if new_life && delta.info.is_none() {
            return;
        }
        if rank(&delta.version) > rank(&source.version) {
            source.heard_at = source.heard_at.max(heard_at);
        }
        self.loud +=
            u64::from(new_life || delta.version.status_version > source.version.status_version);
        let old_detail = source.version.observations_version;
        if let Some(card) = delta.info
            && card != source.info
        {
            source.info = card;
            effects.push(Effect::ViewChanged);
        }
        if let Some(report) = delta.status
            && report != source.status
        {
            source.status = report;
            effects.push(Effect::ViewChanged);
        }
        if (source.version.incarnation, source.version.status_version)
            != (delta.version.incarnation, delta.version.status_version)
        {
            self.loud += 1;
        }
        source.version = delta.version;
        match delta.observations {
            Some(detail) if new_life => {
                source.observations = detail;
                source.is_direct = is_direct;
            }
            None if new_life => {
                source.observations = wire::ProxyObservations::default();
                source.version.observations_version = 0;
                source.is_direct = false;
            }
            _ => source.version.observations_version = old_detail,
        }
    }

    fn asked(
        &mut self,
        now: Duration,
        ticket: u64,
        pull: wire::PullRequest,
        effects: &mut Vec<Effect>,
    ) {
        let asker = pull.sender.name.clone();
        let life = pull.sender.version.incarnation;
        let seeks_floor = pull.sender.status.as_ref().is_some_and(|report| report.revision == 0);
        self.hear(now, pull.sender, true, effects);
        let wait = Duration::from_millis(u64::from(pull.wait_ms)).min(LONG_POLL_TIMEOUT * 4);
        self.endpoints.observe_revision(pull.endpoint_list_revision);
        let list_age = pull.list_read_age_ms.map(|age_ms| Duration::from_millis(u64::from(age_ms)));
        self.parked.retain(|parked| parked.asker != asker || parked.ticket == ticket);
        let known = self.askers.remove(&asker);
        let resend = pull.known_versions.is_none() && known.is_none();
        let vector = match pull.known_versions {
            Some(vector) => vector.into_iter().collect(),
            None => known.unwrap_or_default(),
        };
        let parked = Parked {
            ticket,
            vector,
            word: pull.config_revision,
            platform: pull.endpoint_list_revision,
            plan: pull.plan_version,
            wants_detail: pull.wants_observations,
            until: now + wait,
            asker,
            life,
            light: pull.is_leaf,
            silent: pull.unreachable_digest,
            resend,
            is_first: pull.wait_ms == 0,
            seeks_floor,
            looked: 0,
            list_read_at: list_age.map(|age| now.saturating_sub(age)),
        };
        if resend || now >= parked.until || self.is_loud(&parked) {
            self.answer(now, parked, effects);
        } else {
            self.parked.push(parked);
        }
    }

    fn answer(&mut self, now: Duration, mut parked: Parked, effects: &mut Vec<Effect>) {
        let news = self.news_for(now, &parked);
        if parked.light && !parked.resend {
            for delta in &news.nodes {
                parked.vector.insert(wire::name_hash(&delta.name), delta.version);
            }
            self.askers.insert(parked.asker, parked.vector);
        }
        effects.push(Effect::Respond { ticket: parked.ticket, response: news });
    }

    /// A parked pull is answered when something loud is there for it, or when its time is up.
    fn answer_parked(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let mut index = 0;
        while index < self.parked.len() {
            let parked = &self.parked[index];
            if now >= parked.until || (parked.looked != self.loud && self.is_loud(parked)) {
                let parked = self.parked.swap_remove(index);
                self.answer(now, parked, effects);
            } else {
                self.parked[index].looked = self.loud;
                index += 1;
            }
        }
    }

    fn is_loud(&self, parked: &Parked) -> bool {
        let louder =
            |name: &str, short: u32, mark: &wire::NodeVersion| match parked.vector.get(&short) {
                None => name != parked.asker,
                Some(seen) => {
                    mark.incarnation > seen.incarnation
                        || (mark.incarnation == seen.incarnation
                            && mark.status_version > seen.status_version)
                }
            };
        let judges = self.own.role == wire::Role::Registry;
        let is_silent_new =
            parked.light && judges && parked.silent != digest_of(&self.silent_for(parked));
        is_silent_new
            || self.has_later_list_read(parked)
            || self.in_force() > parked.word
            || self.endpoints.current().revision > parked.platform
            || self.plan.version() > parked.plan
            || louder(&self.own.name, self.short, &self.mark)
            || self.peers.iter().any(|one| louder(&one.info.name, one.short, &one.version))
    }

    /// Registries tell each other at once that the platform list was read, for who reads it next goes by that.
    fn has_later_list_read(&self, parked: &Parked) -> bool {
        let is_registry = self.own.role == wire::Role::Registry;
        let Some(read_at) = self.endpoints.read_at().filter(|_| is_registry && !parked.light)
        else {
            return false;
        };
        parked.list_read_at.is_none_or(|known_at| read_at >= known_at + LIST_READ_STEP)
    }

    /// The sources whose details a reply has room for; `None`: all. What is left out stays unknown to the
    /// asker and comes with its next pulls, which begin elsewhere.
    fn told_details(&self, parked: &Parked) -> Option<std::collections::HashSet<usize>> {
        if !parked.wants_detail {
            return None;
        }
        let mut weights: Vec<(usize, usize)> = Vec::new();
        for (index, source) in self.peers.iter().enumerate() {
            let seen = parked.vector.get(&source.short).copied().unwrap_or_default();
            if parked.has_new_detail(&source.version, &seen, source.is_direct) {
                weights.push((index, source.observations.estimated_bytes()));
            }
        }
        let sum: usize = weights.iter().map(|one| one.1).sum();
        if sum <= wire::MAX_OBSERVATION_BYTES {
            return None;
        }
        let start = parked.ticket as usize % weights.len();
        weights.rotate_left(start);
        let mut room = wire::MAX_OBSERVATION_BYTES;
        let fits = weights.iter().take_while(|one| {
            let fits = one.1 <= room;
            room = room.saturating_sub(one.1);
            fits
        });
        Some(fits.map(|one| one.0).collect())
    }

    /// Who is not live, for one asker: also whom it knows and nobody has told this registry of, once
    /// it has heard of enough.
    fn silent_for(&self, parked: &Parked) -> Vec<u32> {
        let mut silent = self.silent.clone();
        if self.report.synced {
            let known = parked.vector.keys().copied();
            silent.extend(known.filter(|name| !self.names.contains(name)));
            silent.sort_unstable();
        }
        silent
    }

    fn news_for(&self, now: Duration, parked: &Parked) -> wire::PullResponse {
        if parked.resend {
            return wire::PullResponse { resend_versions: true, ..wire::PullResponse::default() };
        }
        let mut deltas = Vec::new();
        let own = (&self.own, self.short, &self.mark, &self.report, (&self.detail, true), now);
        let others = self.peers.iter().map(|one| {
            let detail = (&one.observations, one.is_direct);
            (&one.info, one.short, &one.version, &one.status, detail, one.heard_at)
        });
        let told = self.told_details(parked);
        let is_told = |index: usize| {
            index == 0 || told.as_ref().is_none_or(|told| told.contains(&(index - 1)))
        };
        let all = std::iter::once(own).chain(others).enumerate();
        for (index, (card, short, mark, report, (detail, is_direct), heard_at)) in all {
            let age = now.saturating_sub(heard_at);
            let seen = parked.vector.get(&short).copied().unwrap_or_default();
            let new_life = mark.incarnation != seen.incarnation;
            let rank = |mark: &wire::NodeVersion| (mark.incarnation, mark.counter);
            let new_detail = parked.has_new_detail(mark, &seen, is_direct) && is_told(index);
            if (rank(mark) <= rank(&seen) && !new_detail) || age >= FORGET_TIMEOUT {
                continue;
            }
            if mark.incarnation < seen.incarnation {
                continue;
            }
            let is_own = card.name == parked.asker;
            let is_beat = !new_life && mark.status_version <= seen.status_version;
            if parked.light && (is_beat || (is_own && mark.incarnation <= parked.life)) {
                continue;
            }
            deltas.push(wire::NodeDelta {
                name: card.name.clone(),
                version: *mark,
                age_ms: age.as_millis() as u32,
                info: new_life.then(|| card.clone()),
                status: (new_life || mark.status_version > seen.status_version)
                    .then(|| report.clone()),
                observations: new_detail.then(|| detail.clone()),
            });
        }
        let parcel = self.endpoints.update_for(parked.platform);
        let tells_read = !parked.light || parcel.full.is_some() || parcel.delta.is_some();
        wire::PullResponse {
            nodes: deltas,
            config: (self.in_force() > parked.word).then(|| (*self.committed).clone()),
            endpoint_list: parcel.full,
            endpoint_list_delta: parcel.delta,
            list_read: self.endpoints.latest_read(now).filter(|_| tells_read),
            plan: (self.plan.version() > parked.plan).then(|| (*self.plan).clone()),
            unreachable: (parked.light && self.own.role == wire::Role::Registry)
                .then(|| self.silent_for(parked)),
            resend_versions: false,
            read_index: parked.seeks_floor.then(|| self.highest.max(self.in_force())),
        }
    }
}

fn digest_of(silent: &[u32]) -> u64 {
    let text: Vec<String> = silent.iter().map(u32::to_string).collect();
    let parts: Vec<&str> = text.iter().map(String::as_str).collect();
    if parts.is_empty() { 0 } else { vanepath_config::stable_hash(&parts) }
}

fn known(card: &wire::NodeInfo) -> crate::peer_selection::Candidate<'_> {
    crate::peer_selection::Candidate {
        name: &card.name,
        role: card.role,
        region: &card.region,
        zone: &card.zone,
    }
}

#[cfg(test)]
mod tests;
