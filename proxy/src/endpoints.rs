//! The servers as this proxy knows them: a table by read-copy-update, what changes quickly in
//! shards under their own locks, and the choice among them (design 8.6, 8.7).

use crate::health::{Failure, ServerHealth, ServerPhase, SlowStartRate};
use crate::latency_model::{RelativeLatency, RequestProfiles, ZonePools};
use crate::load_balancing::{Candidate, Distance, RequestCost};
use crate::retry_budget::RetryReason;
use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire;

/// What the platform list and the setup say of a server; changes rarely.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub server: vanepath_config::endpoint_list::Server,
    /// Indices into the setup's services whose selectors match.
    pub services: Vec<usize>,
    /// Where its quick state lies; a new slot for each life of a server.
    pub slot: usize,
}

/// What a routing table was made from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableRevision {
    /// The revision of the configuration's document.
    pub config: u64,
    pub endpoint_list: u64,
}

impl TableRevision {
    pub fn new(config: u64, endpoint_list: u64) -> TableRevision {
        TableRevision { config, endpoint_list }
    }
}

/// One consistent whole: the setup in force here and the servers as it sorts them.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// The revisions of the setup and of the platform list that it was made from.
    pub revision: TableRevision,
    pub config: Arc<vanepath_config::model::Config>,
    pub endpoints: Vec<Endpoint>,
    pub by_service: Vec<Vec<usize>>,
    /// Each of its servers was looked at once. That stays so, and is asked with every request.
    has_looked: std::sync::atomic::AtomicBool,
}

/// A connection that rests, greeted by the server it belongs to for life.
pub struct IdleConnection<C> {
    pub connection: C,
    pub verified_at: Duration,
    /// When its last receipt was whole; it rests a little after that, so that surplus bytes show
    /// before it is used again.
    pub idle_since: Duration,
    /// The server keeps it so long at rest.
    pub keep_alive: Duration,
    /// It carried a request, and not greetings alone.
    pub is_used: bool,
}

impl<C> IdleConnection<C> {
    fn rested(&self, now: Duration) -> Duration {
        now.saturating_sub(self.idle_since)
    }

    /// Whether its server surely keeps it still.
    fn is_kept(&self, now: Duration) -> bool {
        let rested = self.rested(now);
        rested < MAX_IDLE_TIME && rested + KEPT_MARGIN < self.keep_alive
    }

    /// Likewise by what runs at most once, which takes none that its server may be about to close.
    pub fn is_kept_for_once(&self, now: Duration) -> bool {
        self.rested(now) <= self.keep_alive / 2
    }
}

/// What changes with every request.
pub struct EndpointState<C> {
    pub health: ServerHealth,
    pub in_flight: u64,
    pub load_milli: u32,
    demand_at: Duration,
    /// Requests that it works on at one time, as the platform says; 0: not told.
    slots: u32,
    /// Requests of other proxies that are with it, by what it told lately.
    others: f64,
    pub relative_latency: RelativeLatency,
    /// Since when it owes answers and sent none.
    owes_since: Duration,
    /// When the last answer of it was whole.
    answered_at: Duration,
    /// Which of `pools` it belongs to.
    pool: usize,
    /// In this proxy's part of its zone.
    is_own: bool,
    /// Connections that may rest here, so that all proxies together stay below what it takes.
    idle_most: usize,
    pub idle: Vec<IdleConnection<C>>,
    pub probing: bool,
    /// It sent bytes that nobody had asked for: each connection carries one request at most.
    is_untidy: bool,
    probed_at: Option<Duration>,
    was_steady: bool,
}

/// How often a server without traffic is probed: in the own zone, by its watchers in its region
/// and outside, in the rest of the region, and from elsewhere; and one in doubt.
const PROBE_ZONE: Duration = Duration::from_millis(1000);
const PROBE_WATCHED_NEAR: Duration = Duration::from_millis(1000);
const PROBE_WATCHED_FAR: Duration = Duration::from_millis(2000);
const PROBE_REGION: Duration = Duration::from_millis(3000);
const PROBE_FAR: Duration = Duration::from_millis(10_000);
const PROBE_DOUBT: Duration = Duration::from_millis(400);
const PROBE_DOUBT_SELDOM: Duration = Duration::from_millis(500);

/// Whether this proxy is one of the few that watch a server for the whole fleet: by rendezvous
/// hashing one of the server's own region and two of outside, who are there when the region isn't.
fn is_watcher(
    view: &ClusterView,
    own: &str,
    server: &vanepath_config::endpoint_list::Server,
) -> bool {
    let is_near = |card: &wire::NodeInfo| card.region == server.region;
    let rank =
        |card: &wire::NodeInfo| vanepath_config::stable_hash(&["watch", &card.name, &server.id]);
    let all = || view.live.iter().map(|one| &one.0).filter(|card| card.role == wire::Role::Proxy);
    let Some(me) = all().find(|card| card.name == own) else { return false };
    let mine = (rank(me), own);
    let before = all()
        .filter(|card| is_near(card) == is_near(me) && (rank(card), card.name.as_str()) < mine);
    // Two are enough to know, wherever they stand in the list.
    before.take(2).count() < if is_near(me) { 1 } else { 2 }
}

/// What is reckoned for each server of the table from who is live: now and then, for it is much.
#[derive(Debug, Default)]
pub struct ProbeSchedule {
    pauses: Vec<Duration>,
    colds: Vec<SlowStartRate>,
    at: Duration,
    /// Those that it was reckoned from.
    proxies: Option<Vec<wire::NodeInfo>>,
}

const PACES_EVERY: Duration = Duration::from_millis(1000);

impl ProbeSchedule {
    /// The table or the setup is another one.
    pub fn invalidate(&mut self) {
        self.at = Duration::ZERO;
        self.proxies = None;
    }

    pub fn tick(
        &mut self,
        now: Duration,
        view: &ClusterView,
        own: &wire::NodeInfo,
        table: &RoutingTable,
    ) {
        if now >= self.at {
            self.at = now + PACES_EVERY;
            let proxies = || {
                let all = view.live.iter().map(|one| &one.0);
                all.filter(|card| card.role == wire::Role::Proxy)
            };
            if self.proxies.as_ref().is_some_and(|before| before.iter().eq(proxies())) {
                return;
            }
            self.proxies = Some(proxies().cloned().collect());
            self.pauses = probe_pauses(view, own, table);
            self.colds = cold_rates(view, &own.name, table);
        }
    }
}

/// How often this proxy probes each server of its table.
fn probe_pauses(view: &ClusterView, own: &wire::NodeInfo, table: &RoutingTable) -> Vec<Duration> {
    let pause = |entry: &Endpoint| {
        let server = &entry.server;
        let is_near = server.region == own.region;
        if server.zone == own.zone {
            PROBE_ZONE
        } else if is_watcher(view, &own.name, server) {
            if is_near { PROBE_WATCHED_NEAR } else { PROBE_WATCHED_FAR }
        } else if is_near {
            PROBE_REGION
        } else {
            PROBE_FAR
        }
    };
    table.endpoints.iter().map(pause).collect()
}

/// A proxy tells registries what it sees so often, and sooner after a change, though not at the
/// heels of the last time.
const TELL_EVERY: Duration = Duration::from_millis(2000);
const TELL_PAUSE: Duration = Duration::from_millis(200);

/// When to tell it.
#[derive(Debug, Default)]
pub struct ObservationReporter {
    at: Duration,
}

impl ObservationReporter {
    pub fn is_due(&mut self, now: Duration, is_news: bool) -> bool {
        let is_due = now >= self.at || (is_news && now + TELL_EVERY >= self.at + TELL_PAUSE);
        if is_due {
            self.at = now + TELL_EVERY;
        }
        is_due
    }
}

/// What a pulse found to do and to tell.
#[derive(Debug, Default)]
pub struct TickOutcome {
    /// Entries of the table that want a probe now; each is marked as being probed.
    pub probes: Vec<usize>,
    pub log_lines: Vec<String>,
    /// Registries should hear of it soon.
    pub has_changes: bool,
}

/// The proxies that may carry requests of this rule.
pub fn eligible_proxies<'v>(
    view: &'v ClusterView,
    rule: &'v vanepath_config::model::Rule,
) -> impl Iterator<Item = &'v wire::NodeInfo> {
    let all = view.live.iter().filter(|(card, report)| {
        card.role == wire::Role::Proxy
            && report.ready
            && !report.draining
            && rule.allows_region(&card.region)
            && !view.committed.drained_zones.contains(&card.zone)
    });
    all.map(|(card, _)| card)
}

/// What a table made from this view stems from.
pub fn revision_of(view: &ClusterView) -> TableRevision {
    TableRevision::new(view.committed.config_revision, view.endpoints.revision)
}

pub fn live_proxies(view: &ClusterView) -> usize {
    let proxies = view.live.iter().filter(|(card, _)| card.role == wire::Role::Proxy);
    proxies.count().max(1)
}

/// This proxy's part of a cold server's modest rate: it goes to the nearest proxies first, who would
/// choose it first, and among equals by rendezvous hashing.
pub fn slow_start_rate(
    view: &ClusterView,
    own: &str,
    server: &vanepath_config::endpoint_list::Server,
    services: &[usize],
) -> SlowStartRate {
    let place = |card: &wire::NodeInfo| (card.region != server.region, card.zone != server.zone);
    let draw =
        |card: &wire::NodeInfo| vanepath_config::stable_hash(&["cold", &card.name, &server.id]);
    let all = || view.live.iter().map(|one| &one.0).filter(|card| card.role == wire::Role::Proxy);
    let proxies = all().count();
    let rank = all().find(|card| card.name == own).map_or(proxies, |me| {
        let mine = (place(me), draw(me), own);
        // Nobody's draw is asked whose place decides.
        let is_before = |card: &&wire::NodeInfo| match place(card).cmp(&mine.0) {
            std::cmp::Ordering::Equal => (draw(card), card.name.as_str()) < (mine.1, own),
            order => order.is_lt(),
        };
        all().filter(is_before).count()
    });
    // Of several services the most modest one counts.
    let service = services
        .iter()
        .filter_map(|index| view.config.services.get(*index))
        .min_by(|left, right| left.slow_start_rate.total_cmp(&right.slow_start_rate));
    let per_second = service.map_or(1.0, |service| service.slow_start_rate);
    let period = service.map_or(Duration::from_secs(10), |service| service.slow_start_period);
    SlowStartRate::of(per_second, period, rank, proxies)
}

/// Of each server of the table.
fn cold_rates(view: &ClusterView, own: &str, table: &RoutingTable) -> Vec<SlowStartRate> {
    let rate = |entry: &Endpoint| slow_start_rate(view, own, &entry.server, &entry.services);
    table.endpoints.iter().map(rate).collect()
}

pub const SETTLE_TIME: Duration = Duration::from_millis(20);
/// A resting connection older than that is closed.
pub const MAX_IDLE_TIME: Duration = Duration::from_secs(20);
/// Before its server closes it, a resting connection is not used any more.
const KEPT_MARGIN: Duration = Duration::from_millis(700);
const IDLE_COUNT_MOST: usize = 64;
/// A part of the connections that a server takes from all proxies may rest; the others are in use.
const RESTING_PART: f64 = 0.5;

/// Connections to one server that may rest at one of so many proxies.
pub fn idle_most(connections_most: u64, proxies: usize) -> usize {
    let part = connections_most as f64 * RESTING_PART / proxies.max(1) as f64;
    (part as usize).clamp(1, IDLE_COUNT_MOST)
}

/// What a server told of its demand is believed for so long.
const DEMAND_HOLDS: Duration = Duration::from_secs(5);
/// What a server told of others' requests fades in so long, and a new telling counts so much.
const OTHERS_HOLD_S: f64 = 1.5;
const OTHERS_PART: f64 = 0.5;
/// That it is full, for less: what queued there may be done by now.
const FULL_HOLDS: Duration = Duration::from_millis(700);
/// So many requests of this proxy in one server's hands are a pile: further ones go to a later step,
/// where a server has less than that part of it.
const PILED: u64 = 16;
const PILED_TIMES: u64 = 4;
/// A server that told so much demand may be slow for that alone.
const BUSY: u32 = 900;
const SHARDS: usize = 16;

/// A proxy that starts waits so long for word from the servers, and no longer for those that are dead.
const FIRST_LOOK: Duration = Duration::from_millis(300);

pub struct Endpoints<C> {
    pub table: arc_swap::ArcSwap<RoutingTable>,
    shards: Vec<std::sync::Mutex<std::collections::HashMap<usize, EndpointState<C>>>>,
    next_slot: std::sync::atomic::AtomicUsize,
    /// An answer is told from another request's by its id, so that a server which sent surplus bytes
    /// may go on with the connections on which it did not.
    pub verifies_responses: bool,
    /// By service and zone.
    pools: std::sync::Mutex<ZonePools>,
    /// By class and service.
    usual: std::sync::Mutex<RequestProfiles>,
}

impl<C> Default for Endpoints<C> {
    fn default() -> Endpoints<C> {
        Endpoints {
            table: arc_swap::ArcSwap::default(),
            shards: (0..SHARDS).map(|_| Default::default()).collect(),
            next_slot: std::sync::atomic::AtomicUsize::new(0),
            verifies_responses: false,
            pools: Default::default(),
            usual: Default::default(),
        }
    }
}

/// Where to look for a server, and where not.
pub struct SelectionContext<'w> {
    pub rule: usize,
    /// The service that was drawn, of those that the rule has.
    pub service: usize,
    pub drained_zones: &'w std::collections::BTreeSet<String>,
    pub zone: &'w str,
    pub region: &'w str,
    /// Slots that this request has tried.
    pub tried: &'w [usize],
    /// Only look whether one is there: with room, if the one that has the request is only slow; one that
    /// does not look dead, if nothing comes from that one.
    pub only_alternative_for: Option<RetryReason>,
    /// It cannot be answered within its aim any more: earlier tries took that.
    pub is_past_target: bool,
}

/// The rounds of a choice.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Pass {
    Known,
    /// Nothing that is known to be well has room: what was not heard of yet, or limps.
    Later,
    /// All are full or dead.
    Resort,
}

/// A request that waits for its response.
#[derive(Clone, Copy, Debug)]
pub struct CurrentAttempt {
    /// Slot of the endpoint that has the request.
    pub slot: usize,
    /// When the request was sent to it.
    pub sent_at: Duration,
}

#[derive(Debug)]
pub enum Selection {
    /// An index into the table that was given, and the service it was chosen for.
    Server {
        endpoint: usize,
        service: usize,
    },
    /// Only cold servers have room, the first of them from then on.
    Wait(Duration),
    /// There are servers, and at each of them it would be late for the queue there.
    Crowded,
    None,
}

impl<C> Endpoints<C> {
    pub fn with<R>(&self, slot: usize, act: impl FnOnce(&mut EndpointState<C>) -> R) -> Option<R> {
        let mut shard = self.shards[slot % SHARDS].lock().expect("no panic under this lock");
        shard.get_mut(&slot).map(act)
    }

    /// Makes the table what the platform list and the setup want. Where nothing was known before,
    /// what is there has most likely been there for long; `hear_plan` says what has not.
    pub fn update(
        &self,
        now: Duration,
        revision: TableRevision,
        setup: &Arc<vanepath_config::model::Config>,
        list: &vanepath_config::endpoint_list::EndpointList,
        rate: impl Fn(&vanepath_config::endpoint_list::Server, &[usize]) -> SlowStartRate,
    ) -> Vec<String> {
        let mut notes = Vec::new();
        let before = self.table.load_full();
        let is_first = before.endpoints.is_empty();
        let mut table = RoutingTable { revision, config: setup.clone(), ..RoutingTable::default() };
        table.by_service.resize(setup.services.len(), Vec::new());
        let by_id: std::collections::HashMap<&str, &Endpoint> =
            before.endpoints.iter().map(|entry| (entry.server.id.as_str(), entry)).collect();
        let mut slots = std::collections::HashSet::new();
        for server in &list.servers {
            let view = vanepath_config::selector::ClientLocation::default();
            let services: Vec<usize> = (0..setup.services.len())
                .filter(|service| setup.services[*service].selector.matches(server, view))
                .collect();
            // A server that moved to another address is another one: its connections, its warmth
            // and its liveness stay behind.
            let known = by_id.get(server.id.as_str());
            let known = known.filter(|entry| entry.server.address == server.address);
            let slot = match known {
                Some(entry) => entry.slot,
                None => {
                    let slot = self.next_slot.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let mut liveness = ServerHealth::new(now);
                    liveness.pulse(now, rate(server, &services));
                    if !is_first {
                        liveness.restart_slow_start(now, Duration::ZERO);
                        notes.push(format!("server {} is new", server.id));
                    }
                    let quick = EndpointState {
                        health: liveness,
                        in_flight: 0,
                        load_milli: 0,
                        demand_at: Duration::ZERO,
                        slots: server.concurrency,
                        others: 0.0,
                        relative_latency: RelativeLatency::default(),
                        owes_since: now,
                        answered_at: Duration::ZERO,
                        pool: self.pool(setup, &services, &server.zone),
                        is_own: true,
                        idle_most: IDLE_COUNT_MOST,
                        idle: Vec::new(),
                        probing: false,
                        is_untidy: false,
                        probed_at: None,
                        was_steady: false,
                    };
                    self.shards[slot % SHARDS]
                        .lock()
                        .expect("no panic under this lock")
                        .insert(slot, quick);
                    slot
                }
            };
            // Servers that are not probed are what the platform says of them.
            let by_list = !services.is_empty()
                && services.iter().all(|one| setup.services[*one].probes_suspects_only);
            if by_list {
                let was_cold = known.is_some_and(|entry| entry.server.warming_up);
                self.update_health(slot, |liveness| {
                    liveness.by_traffic = true;
                    if server.warming_up && (!was_cold || liveness.phase == ServerPhase::Unknown) {
                        liveness.restart_slow_start(now, Duration::ZERO);
                    } else if !server.warming_up
                        && (was_cold || liveness.phase == ServerPhase::Unknown)
                    {
                        liveness.trust(now);
                    }
                });
            }
            if known.is_some_and(|entry| entry.server.draining != server.draining) {
                let what = if server.draining { "is leaving" } else { "stays after all" };
                notes.push(format!("server {} {what}", server.id));
            }
            slots.insert(slot);
            for service in &services {
                table.by_service[*service].push(table.endpoints.len());
            }
            table.endpoints.push(Endpoint { server: server.clone(), services, slot });
        }
        for old in &before.endpoints {
            if !slots.contains(&old.slot) {
                self.shards[old.slot % SHARDS]
                    .lock()
                    .expect("no panic under this lock")
                    .remove(&old.slot);
                notes.push(format!("server {} is gone", old.server.id));
            }
        }
        self.table.store(Arc::new(table));
        notes
    }

    /// Whether this proxy may be given work (design 5.5): what it knows is fresh, it goes by that and
    /// not by the table from before it, it has rules, and it has looked at its servers once. Right
    /// after a start it would send work to dead ones otherwise.
    pub fn is_ready(&self, now: Duration, is_fresh: bool, revision: TableRevision) -> bool {
        let table = self.table.load();
        let is_there = table.revision == revision && !table.config.rules.is_empty();
        is_fresh && is_there && self.has_looked(now, &table)
    }

    fn has_looked(&self, now: Duration, table: &RoutingTable) -> bool {
        let relaxed = std::sync::atomic::Ordering::Relaxed;
        if table.has_looked.load(relaxed) {
            return true;
        }
        let is_awaited = |slot| {
            self.with(slot, |quick| {
                let liveness = &quick.health;
                liveness.phase == ServerPhase::Unknown && now < liveness.since + FIRST_LOOK
            })
        };
        let mut used = table.endpoints.iter().filter(|entry| !entry.services.is_empty());
        let has = !used.any(|entry| !entry.server.draining && is_awaited(entry.slot) == Some(true));
        table.has_looked.store(has, relaxed);
        has
    }

    /// What the whole fleet knows of servers that are away or came back lately.
    pub fn apply_plan(&self, now: Duration, plan: &wire::TrafficShiftPlan) {
        if plan.unreachable.is_empty() && plan.warming_up.is_empty() {
            return;
        }
        for entry in &self.table.load().endpoints {
            let is_away = plan.unreachable.contains(&entry.server.id);
            let back_for = plan.warming_up.get(&entry.server.id);
            let back_for = back_for
                .map(|one| (Duration::from_millis(u64::from(one.age_ms)), one.connection_refused));
            if is_away || back_for.is_some() {
                self.with(entry.slot, |quick| quick.health.hear(now, is_away, back_for));
            }
        }
    }

    /// Which servers of its zone are this proxy's part (design 8.7), by who is live there.
    pub fn assign_subset(&self, view: &ClusterView, own: &wire::NodeInfo) {
        let table = self.table.load();
        let hash = |kind: &str, name: &str| vanepath_config::stable_hash(&["part", kind, name]);
        let mut proxies: Vec<(u64, &str)> = view
            .live
            .iter()
            .filter(|(card, report)| {
                card.role == wire::Role::Proxy && card.zone == own.zone && !report.draining
            })
            .map(|(card, _)| (hash("proxy", &card.name), card.name.as_str()))
            .collect();
        proxies.sort_unstable();
        let rank = proxies.iter().position(|one| one.1 == own.name).unwrap_or_default();
        let all = live_proxies(view);
        for (service, of_service) in table.by_service.iter().enumerate() {
            let connections = table.config.services[service].max_connections;
            for index in of_service {
                let entry = &table.endpoints[*index];
                self.with(entry.slot, |quick| {
                    quick.is_own &= entry.server.zone == own.zone;
                    if connections > 0 {
                        quick.idle_most = idle_most(connections, all);
                    }
                });
            }
            let near = of_service.iter().map(|index| &table.endpoints[*index]);
            let near = near.filter(|entry| entry.server.zone == own.zone && !entry.server.draining);
            let mut near: Vec<(u64, &Endpoint)> =
                near.map(|entry| (hash("server", &entry.server.id), entry)).collect();
            near.sort_unstable_by_key(|one| one.0);
            let count = near.len();
            for (place, (_, entry)) in near.into_iter().enumerate() {
                let is_own = crate::load_balancing::is_own(rank, proxies.len(), place, count);
                self.with(entry.slot, |quick| quick.is_own = is_own);
            }
        }
    }

    /// Moves each server's liveness on and finds those that want a probe.
    pub fn tick(&self, now: Duration, paces: &ProbeSchedule) -> TickOutcome {
        let table = self.table.load();
        let mut pulsed = TickOutcome::default();
        for (index, entry) in table.endpoints.iter().enumerate() {
            if entry.services.is_empty() {
                continue;
            }
            let cold = paces.colds.get(index).copied().unwrap_or_default();
            let every = paces.pauses.get(index).copied().unwrap_or(PROBE_FAR);
            let is_leaving = entry.server.draining;
            let in_doubt_only =
                entry.services.iter().all(|one| table.config.services[*one].probes_suspects_only);
            let moved = self.with(entry.slot, |quick| {
                let before = quick.health.phase;
                if in_doubt_only && !quick.is_own {
                    // Others probe it; here one request finds out.
                    quick.health.retry(now);
                }
                quick.health.pulse(now, cold);
                if is_leaving {
                    quick.idle.clear();
                }
                let phase = quick.health.phase;
                let is_steady = quick.health.steady(now) > Duration::ZERO;
                let is_lost = std::mem::replace(&mut quick.was_steady, is_steady) && !is_steady;
                let is_doubtful = quick.health.probe_at(every) == Duration::ZERO;
                let pause = match (is_doubtful, in_doubt_only) {
                    (true, false) => PROBE_DOUBT,
                    (true, true) => PROBE_DOUBT_SELDOM,
                    (false, _) => every,
                };
                let wants = !quick.probing
                    && !is_leaving
                    && (!in_doubt_only || (quick.is_own && quick.health.is_in_doubt()))
                    && now >= quick.health.probe_at(every)
                    && quick.probed_at.is_none_or(|last| now >= last + pause);
                if wants {
                    quick.probing = true;
                    quick.probed_at = Some(now);
                }
                (wants, is_lost, (phase != before).then_some(phase))
            });
            let Some((wants, is_lost, moved)) = moved else { continue };
            pulsed.has_changes |= is_lost || moved.is_some();
            if let Some(phase) = moved {
                pulsed.log_lines.push(format!("server {} is {phase}", entry.server.id));
            }
            if wants {
                pulsed.probes.push(index);
            }
        }
        pulsed
    }

    /// What this proxy sees of the servers that it is in touch with, or that are not simply live,
    /// for registries. Of the others it has nothing to say.
    pub fn observations(&self, now: Duration) -> Vec<wire::ServerObservation> {
        let table = self.table.load();
        let sights = table.endpoints.iter().filter_map(|entry| {
            let is_telling = self.with(entry.slot, |quick| {
                // What the traffic shows of one that is well is nobody else's business.
                let is_steady = quick.health.steady(now) > Duration::ZERO;
                !matches!(quick.health.phase, ServerPhase::Healthy | ServerPhase::Unknown)
                    || (is_steady && !quick.health.by_traffic)
            });
            is_telling.filter(|is_telling| *is_telling)?;
            self.with(entry.slot, |quick| wire::ServerObservation {
                server: entry.server.id.clone(),
                phase: quick.health.phase,
                age_ms: now.saturating_sub(quick.health.since).as_millis() as u32,
                in_contact_ms: quick.health.steady(now).as_millis() as u32,
                load_milli: quick.demand(now),
                connection_refused: quick.health.was_refused(),
            })
        });
        sights.collect()
    }

    /// Own zone first, then the region, then other services that may take it, then elsewhere
    /// within bounds; within a step the better of two by demand and requests in hand. What looks
    /// dead is tried only when nothing else is there.
    pub fn select(
        &self,
        now: Duration,
        table: &RoutingTable,
        want: &SelectionContext<'_>,
        random: u64,
    ) -> Selection {
        let setup = &table.config;
        let rule = &setup.rules[want.rule];
        let own = &table.by_service[want.service];
        let tells_slots = |index: &usize| table.endpoints[*index].server.concurrency > 0;
        if rule.spillover.is_empty() && !own.is_empty() && own.iter().all(tells_slots) {
            return self.choose_by_slots(now, table, want, random);
        }
        let zone = |server: &vanepath_config::endpoint_list::Server| server.zone == want.zone;
        let region = |server: &vanepath_config::endpoint_list::Server| {
            server.region == want.region && server.zone != want.zone
        };
        let far = |server: &vanepath_config::endpoint_list::Server| server.region != want.region;
        type Where<'s> = &'s dyn Fn(&vanepath_config::endpoint_list::Server) -> bool;
        let near: [Where<'_>; 2] = [&zone, &region];
        let all: [Where<'_>; 1] = [&far];
        let mut steps: Vec<(usize, Where<'_>)> = Vec::new();
        for places in [&near[..], &all[..]] {
            for service in std::iter::once(&want.service).chain(&rule.spillover) {
                steps.extend(places.iter().map(|place| (*service, *place)));
            }
        }
        let is_lookup = setup.classes[rule.class].idempotency
            == vanepath_config::model::Idempotency::Idempotent;
        let mut cold_at: Option<Duration> = None;
        for pass in [Pass::Known, Pass::Later, Pass::Resort] {
            let is_resort = pass == Pass::Resort;
            // All are full or dead: the least so of all, and not the nearest with a queue that grows.
            let mut resorts: Vec<(u64, usize, usize)> = Vec::new();
            let mut piled: Option<(u64, usize, usize)> = None;
            for (service, is_there) in &steps {
                let mut best: Option<(u64, usize, u64)> = None;
                let mut able: Vec<(usize, u64, u64)> = Vec::new();
                for index in &table.by_service[*service] {
                    let entry = &table.endpoints[*index];
                    let may_serve = !entry.server.draining
                        && rule.allows_region(&entry.server.region)
                        && !want.drained_zones.contains(&entry.server.zone)
                        && is_there(&entry.server)
                        && !want.tried.contains(&entry.slot);
                    if !may_serve {
                        continue;
                    }
                    let most = setup.services[*service].max_in_flight_per_server;
                    let score = self.with(entry.slot, |quick| {
                        if let Some(next_at) = quick.health.next_at()
                            && now < next_at
                        {
                            // One that this proxy has no part in is no hope for it.
                            if next_at < Duration::MAX {
                                cold_at = Some(cold_at.map_or(next_at, |at| at.min(next_at)));
                            }
                            return None;
                        }
                        let is_suspect = quick.health.phase == ServerPhase::Suspect;
                        let demand_milli = quick.demand(now);
                        let is_full = quick.in_flight >= most
                            || (demand_milli >= 1000 && !quick.is_stale(now));
                        if is_resort {
                            if is_suspect && want.only_alternative_for.is_some() {
                                return None;
                            }
                            // Full ones before dead ones.
                            let dead = u64::from(is_suspect) << 40;
                            let score = dead + quick.in_flight;
                            return (quick.in_flight < most).then_some((score, quick.in_flight));
                        }
                        let may_try = is_lookup && quick.in_flight == 0;
                        let is_later = quick.health.phase == ServerPhase::Unknown
                            || quick.health.is_degraded(now, may_try);
                        let is_usable =
                            !is_suspect && !is_full && is_later == (pass == Pass::Later);
                        let score = (quick.in_flight + 1) * u64::from(100 + demand_milli);
                        is_usable.then_some((score, quick.in_flight))
                    });
                    if let Some(Some((score, in_hand))) = score {
                        able.push((*index, score, in_hand));
                    }
                }
                if is_resort {
                    resorts.extend(able.iter().map(|one| (one.1, one.0, *service)));
                } else if !able.is_empty() {
                    let first = random as usize % able.len();
                    let second = (random >> 32) as usize % able.len();
                    for pick in [first, second] {
                        let (index, score, in_hand) = able[pick];
                        if best.is_none_or(|(lowest, ..)| score < lowest) {
                            best = Some((score, index, in_hand));
                        }
                    }
                }
                let Some((_, index, in_hand)) = best else { continue };
                // Much is piled up here already, and what servers tell of that comes later: only if
                // it is not far less further on.
                let is_piled = in_hand >= PILED && want.only_alternative_for.is_none();
                if is_piled || piled.is_some_and(|(least, ..)| in_hand >= least / PILED_TIMES) {
                    if piled.is_none_or(|(least, ..)| in_hand < least / PILED_TIMES) {
                        piled = Some((in_hand, index, *service));
                    }
                    continue;
                }
                if want.only_alternative_for.is_some()
                    || self.take(now, table, index, *service, false)
                {
                    return Selection::Server { endpoint: index, service: *service };
                }
            }
            if let Some((_, index, service)) = piled
                && self.take(now, table, index, service, false)
            {
                return Selection::Server { endpoint: index, service };
            }
            // Of equal ones the first, which is the nearest.
            if let Some((_, index, service)) = resorts.into_iter().min_by_key(|one| one.0)
                && (want.only_alternative_for.is_some()
                    || self.take(now, table, index, service, true))
            {
                return Selection::Server { endpoint: index, service };
            }
            if want.only_alternative_for == Some(RetryReason::Slow) && pass == Pass::Later {
                return Selection::None;
            }
            if pass == Pass::Later
                && want.only_alternative_for.is_none()
                && let Some(cold_at) = cold_at
            {
                // A cold server that may be asked soon is better than a dead one.
                return Selection::Wait(cold_at);
            }
        }
        Selection::None
    }

    /// Among servers that say how many requests each works on at one time.
    fn choose_by_slots(
        &self,
        now: Duration,
        table: &RoutingTable,
        want: &SelectionContext<'_>,
        random: u64,
    ) -> Selection {
        let rule = &table.config.rules[want.rule];
        let class = &table.config.classes[rule.class];
        let is_lookup = class.idempotency == vanepath_config::model::Idempotency::Idempotent;
        let mut cold_at: Option<Duration> = None;
        // Well; not trusted with much; dead as far as is known.
        let mut tiers: [Vec<Candidate>; 3] = Default::default();
        let service = &table.config.services[want.service];
        let job = self.job(&class.name, &service.name, class.bulk);
        let pools = self.pools.lock().expect("no panic under this lock");
        let usual = pools.usual_fill(now, &service.name);
        let opens_anyway = crate::load_balancing::opens_anyway(random);
        for index in &table.by_service[want.service] {
            let entry = &table.endpoints[*index];
            let server = &entry.server;
            let may_serve = !server.draining
                && rule.allows_region(&server.region)
                && !want.drained_zones.contains(&server.zone)
                && !want.tried.contains(&entry.slot);
            if !may_serve {
                continue;
            }
            let distance = if server.zone == want.zone {
                Distance::Zone
            } else if server.region == want.region {
                Distance::Region
            } else {
                Distance::Far
            };
            let found = self.with(entry.slot, |quick| {
                if let Some(next_at) = quick.health.next_at()
                    && now < next_at
                {
                    if next_at < Duration::MAX {
                        cold_at = Some(cold_at.map_or(next_at, |at| at.min(next_at)));
                    }
                    return None;
                }
                let may_try = is_lookup && quick.in_flight == 0;
                let tier = match quick.health.phase {
                    ServerPhase::Suspect => 2,
                    ServerPhase::Unknown => 1,
                    _ if quick.health.is_degraded(now, may_try) => 1,
                    _ => 0,
                };
                let is_own = distance == Distance::Zone && quick.is_own;
                let distance = if is_own { Distance::Own } else { distance };
                let slots = f64::from(server.concurrency);
                let pool = pools.at(quick.pool);
                let load = quick.load(now, distance, pool.fill(now, usual) * slots);
                let way_ms = pool.way_ms(distance);
                let (index, pace) = (*index, quick.pace(now, load, job.work_ms, way_ms));
                let is_connected = opens_anyway || quick.is_connected(now, !is_lookup);
                let candidate =
                    Candidate { index, distance, load, slots, pace, way_ms, is_connected };
                Some((tier, candidate))
            });
            if let Some(Some((tier, candidate))) = found {
                tiers[tier].push(candidate);
            }
        }
        drop(pools);
        // A request that a server may have had goes on; one that is new can come back.
        let may_be_late = match want.only_alternative_for {
            Some(need) => need == RetryReason::Lost,
            None => !want.tried.is_empty(),
        };
        let limit_ms = rule.latency_target.filter(|_| !may_be_late);
        let limit_ms = limit_ms.map(|aim| {
            let patience_ms = |calm| crate::load_balancing::patience_ms(aim, !is_lookup, calm);
            let mut usual = self.usual.lock().expect("no panic under this lock");
            let usual = usual.of(&class.name, &service.name, class.bulk);
            if want.only_alternative_for.is_none() {
                let limit_ms = patience_ms(0.0);
                let mut all = tiers[0].iter().chain(&tiers[1]);
                usual.looked(all.all(|one| one.is_too_crowded(&job, limit_ms)));
            }
            // What is late already takes free slots only: it would make others late in a queue.
            if want.is_past_target { 0.0 } else { patience_ms(usual.calm()) }
        });
        let mut is_crowded = false;
        for (tier, candidates) in tiers.iter_mut().enumerate() {
            if tier == 2 && (want.only_alternative_for.is_some() || is_crowded) {
                break;
            }
            if let Some(limit_ms) = limit_ms {
                let before = candidates.len();
                candidates.retain(|one| !one.is_too_crowded(&job, limit_ms));
                is_crowded |= candidates.len() < before;
            }
            for _ in 0..3 {
                let Some(index) = crate::load_balancing::choose(candidates, &job, random) else {
                    break;
                };
                if want.only_alternative_for.is_some()
                    || self.take(now, table, index, want.service, tier == 2)
                {
                    return Selection::Server { endpoint: index, service: want.service };
                }
                candidates.retain(|one| one.index != index);
            }
            if tier == 1
                && let Some(cold_at) = cold_at
                && want.only_alternative_for.is_none()
                && !is_crowded
            {
                return Selection::Wait(cold_at);
            }
        }
        if is_crowded { Selection::Crowded } else { Selection::None }
    }

    /// Looked at without holding all locks: looks again while taking it.
    fn take(
        &self,
        now: Duration,
        table: &RoutingTable,
        index: usize,
        service: usize,
        is_resort: bool,
    ) -> bool {
        let most = table.config.services[service].max_in_flight_per_server;
        let taken = self.with(table.endpoints[index].slot, |quick| {
            let may = quick.in_flight < most && (quick.health.may_take(now) || is_resort);
            if may {
                quick.in_flight += 1;
                quick.health.take(now);
            }
            may
        });
        taken == Some(true)
    }

    /// The request goes out now, a connection and a greeting after it was counted: the next one of a
    /// cold server's follows that far behind.
    pub fn record_sent(&self, now: Duration, slot: usize) {
        self.with(slot, |quick| {
            quick.health.take(now);
            if quick.in_flight <= 1 {
                quick.owes_since = now;
            }
        });
    }

    /// What a request that was sent at that time, and has no answer yet, would need a further go for.
    pub fn retry_reason(&self, slot: usize, sent_at: Duration) -> RetryReason {
        let answers_others = self.with(slot, |quick| quick.answered_at > sent_at);
        if answers_others == Some(true) { RetryReason::Slow } else { RetryReason::Lost }
    }

    /// The same once it missed. Only silence may be slowness; of every other miss nothing comes any more.
    pub fn retry_reason_after(
        &self,
        miss: crate::lifecycle::AttemptError,
        slot: usize,
        sent_at: Duration,
    ) -> RetryReason {
        match miss {
            crate::lifecycle::AttemptError::Silent => self.retry_reason(slot, sent_at),
            _ => RetryReason::Lost,
        }
    }

    /// Whether there is another server for a request of this need.
    pub fn has_alternative(
        &self,
        now: Duration,
        table: &RoutingTable,
        want: &SelectionContext<'_>,
        need: RetryReason,
    ) -> bool {
        let want = SelectionContext { only_alternative_for: Some(need), ..*want };
        matches!(self.select(now, table, &want, 0), Selection::Server { .. })
    }

    /// Whether a lookup leaves a server that has had it for long, where there is another one: for that,
    /// if `may_go` says that it is within the budget, or back to its caller, if it waits in vain as far as is
    /// known, since nobody had an answer meanwhile and the server looks dead.
    pub fn should_switch(
        &self,
        now: Duration,
        table: &RoutingTable,
        want: &SelectionContext<'_>,
        CurrentAttempt { slot, sent_at }: CurrentAttempt,
        may_go: impl FnOnce(RetryReason) -> bool,
    ) -> bool {
        let need = self.retry_reason(slot, sent_at);
        let is_suspect = self.with(slot, |quick| quick.health.phase == ServerPhase::Suspect);
        let is_in_vain = is_suspect != Some(false) && need == RetryReason::Lost;
        self.has_alternative(now, table, want, need) && (is_in_vain || may_go(need))
    }

    /// Whether a server that was chosen from an earlier table is not to be used any more by the newest one:
    /// it is leaving, or gone, or its zone was emptied.
    pub fn is_withdrawn(
        &self,
        chosen_from: &RoutingTable,
        entry: &Endpoint,
        emptied: &std::collections::BTreeSet<String>,
    ) -> bool {
        if emptied.contains(&entry.server.zone) {
            return true;
        }
        let newest = self.table.load();
        if newest.revision == chosen_from.revision {
            return false;
        }
        let now = newest.endpoints.iter().find(|one| one.slot == entry.slot);
        now.is_none_or(|one| one.server.draining)
    }

    pub fn release(&self, slot: usize) {
        self.with(slot, |quick| quick.in_flight -= 1);
    }

    /// A resting connection that is fit for use, the last used first.
    pub fn take_idle(
        &self,
        now: Duration,
        slot: usize,
        is_usable: impl Fn(&IdleConnection<C>) -> bool,
    ) -> Option<IdleConnection<C>> {
        self.with(slot, |quick| {
            quick.idle.retain(|idle| idle.is_kept(now));
            let found = quick
                .idle
                .iter()
                .rposition(|idle| now >= idle.idle_since + SETTLE_TIME && is_usable(idle))?;
            Some(quick.idle.remove(found))
        })?
    }

    pub fn put_idle(&self, slot: usize, idle: IdleConnection<C>) {
        self.with(slot, |quick| {
            let may_rest = self.verifies_responses || !(quick.is_untidy && idle.is_used);
            if may_rest && quick.idle.len() < quick.idle_most {
                quick.idle.push(idle);
            }
        });
    }

    /// Bytes came that nobody had asked for. A second reply that comes later still, while the next
    /// request is under way on that connection, could not be told from that one's: there is no next
    /// one from now on. Whether that is new.
    pub fn mark_desynchronized(&self, slot: usize) -> bool {
        let is_new = self.with(slot, |quick| {
            quick.idle.retain(|idle| !idle.is_used);
            !std::mem::replace(&mut quick.is_untidy, true)
        });
        is_new == Some(true)
    }

    pub fn is_desynchronized(&self, slot: usize) -> bool {
        self.with(slot, |quick| quick.is_untidy) == Some(true)
    }

    pub fn record_success(&self, now: Duration, slot: usize) -> Option<ServerPhase> {
        self.update_health(slot, |liveness| liveness.good(now))
    }

    /// After a failure; connections that rest are not trusted any more if nobody is there.
    pub fn record_failure(
        &self,
        now: Duration,
        slot: usize,
        failure: Failure,
    ) -> Option<ServerPhase> {
        if failure == Failure::Refused {
            self.with(slot, |quick| quick.idle.clear());
        }
        self.update_health(slot, |liveness| liveness.bad(now, failure))
    }

    /// What became of a request that this server was given: what it says of the server.
    pub fn record_outcome(
        &self,
        now: Duration,
        slot: usize,
        outcome: Result<(), crate::lifecycle::AttemptError>,
    ) -> Option<ServerPhase> {
        use crate::lifecycle::AttemptError;
        let phase = match outcome {
            Ok(()) => self.record_success(now, slot),
            Err(AttemptError::Truncated) => self.record_failure(now, slot, Failure::Unwell),
            Err(
                AttemptError::NotSent | AttemptError::LostAfterSend | AttemptError::Misanswered,
            ) => self.record_failure(now, slot, Failure::Broken),
            // No proof against it: it may just have much to do. A probe will tell.
            Err(AttemptError::Silent) => self.update_health(slot, ServerHealth::doubt),
            Err(
                AttemptError::NotConnected | AttemptError::Withdrawn | AttemptError::TurnedAway,
            ) => None,
        };
        self.with(slot, |quick| {
            let is_busy = quick.demand(now) >= BUSY;
            match outcome {
                Ok(()) => {
                    quick.answered_at = now;
                    quick.health.worked(now, true);
                }
                Err(AttemptError::Silent) if is_busy => {}
                Err(
                    AttemptError::Silent
                    | AttemptError::Truncated
                    | AttemptError::LostAfterSend
                    | AttemptError::Misanswered,
                ) => {
                    quick.health.worked(now, false);
                }
                Err(
                    AttemptError::NotSent
                    | AttemptError::NotConnected
                    | AttemptError::Withdrawn
                    | AttemptError::TurnedAway,
                ) => {}
            }
        });
        phase
    }

    /// Acts on the liveness; tells the new phase where it changed.
    pub fn update_health(
        &self,
        slot: usize,
        act: impl FnOnce(&mut ServerHealth),
    ) -> Option<ServerPhase> {
        self.with(slot, |quick| {
            let before = quick.health.phase;
            act(&mut quick.health);
            (quick.health.phase != before).then_some(quick.health.phase)
        })?
    }

    pub fn observe_load(&self, now: Duration, slot: usize, demand_milli: u32) {
        let others = self.with(slot, |quick| {
            // It tells this while the answer's own request still counts as in hand here.
            let told = f64::from(demand_milli) * f64::from(quick.slots) / 1000.0;
            let own = quick.in_flight.saturating_sub(1) as f64;
            quick.others += OTHERS_PART * ((told - own).max(0.0) - quick.others);
            quick.load_milli = demand_milli;
            quick.demand_at = now;
            quick.owes_since = now;
            (quick.pool, (told - own).max(0.0) / f64::from(quick.slots.max(1)))
        });
        if let Some((pool, others)) = others {
            let mut pools = self.pools.lock().expect("no panic under this lock");
            pools.at_mut(pool).told(now, others);
        }
    }

    /// The pool of servers of these services in this zone; a new one if it is the first.
    fn pool(
        &self,
        setup: &vanepath_config::model::Config,
        services: &[usize],
        zone: &str,
    ) -> usize {
        let service = services.first().map_or("", |index| setup.services[*index].name.as_str());
        let mut pools = self.pools.lock().expect("no panic under this lock");
        pools.index(service, zone)
    }

    /// What requests of this class usually are at this service.
    fn job(&self, class: &str, service: &str, is_bulk: bool) -> RequestCost {
        self.usual.lock().expect("no panic under this lock").job(class, service, is_bulk)
    }

    /// A connection to this server came up in that time.
    pub fn record_connection(&self, slot: usize, took: Duration) {
        if let Some(pool) = self.with(slot, |quick| quick.pool) {
            let mut pools = self.pools.lock().expect("no panic under this lock");
            pools.at_mut(pool).connected(took);
        }
    }

    /// How much later a request is answered for what is with this server now, itself included.
    pub fn slowdown(&self, now: Duration, slot: usize) -> f64 {
        let pools = self.pools.lock().expect("no panic under this lock");
        let lateness = self.with(slot, |quick| {
            let slots = f64::from(quick.slots.max(1));
            let distance = if quick.is_own { Distance::Own } else { Distance::Zone };
            let load = quick.load(now, distance, pools.fill(now, quick.pool) * slots);
            crate::load_balancing::lateness(load.max(1.0), slots)
        });
        lateness.unwrap_or(1.0)
    }

    /// A request was served so long after it was sent, at a server with this `lateness`.
    pub fn record_response(&self, now: Duration, answered: ServedRequest<'_>) {
        let ServedRequest {
            slot,
            class,
            service,
            is_bulk,
            response_time: took,
            slowdown: lateness,
            kilobytes,
        } = answered;
        let Some(pool) = self.with(slot, |quick| quick.pool) else { return };
        let way_ms = {
            let pools = self.pools.lock().expect("no panic under this lock");
            pools.at(pool).way_ms(Distance::Own)
        };
        let took_ms = (took.as_secs_f64() * 1000.0 - way_ms).max(1.0) / lateness;
        let work_ms = {
            let mut usual = self.usual.lock().expect("no panic under this lock");
            let usual = usual.of(class, service, is_bulk);
            usual.answered(took_ms, kilobytes);
            usual.job().work_ms
        };
        self.with(slot, |quick| quick.relative_latency.answered(now, took_ms / work_ms));
    }
}

/// A request that was served, for what is usual.
pub struct ServedRequest<'a> {
    pub slot: usize,
    pub class: &'a str,
    pub service: &'a str,
    pub is_bulk: bool,
    pub response_time: Duration,
    pub slowdown: f64,
    /// Request and answer together, where the answer tells.
    pub kilobytes: Option<f64>,
}

impl<C> EndpointState<C> {
    /// What it told of its demand is old, and nothing of ours is there to tell more: one request
    /// will find out.
    fn is_stale(&self, now: Duration) -> bool {
        self.in_flight == 0 && now.saturating_sub(self.demand_at) > FULL_HOLDS
    }

    /// How slow it is: by its answers, or by those that it owes.
    fn pace(&self, now: Duration, load: f64, work_ms: f64, way_ms: f64) -> f64 {
        if self.in_flight == 0 {
            return self.relative_latency.times(now);
        }
        let owed_ms = now.saturating_sub(self.owes_since).as_secs_f64() * 1000.0 - way_ms;
        let usual_ms =
            work_ms * crate::load_balancing::lateness(load, f64::from(self.slots.max(1)));
        self.relative_latency.times_owing(now, owed_ms / usual_ms)
    }

    /// Whether a connection rests here that this request could use.
    fn is_connected(&self, now: Duration, is_once: bool) -> bool {
        self.idle.iter().any(|idle| {
            let is_kept = if is_once { idle.is_kept_for_once(now) } else { idle.is_kept(now) };
            idle.rested(now) >= SETTLE_TIME && is_kept
        })
    }

    /// The requests that are with it. Others' are as it told them; as that grows old, none where this
    /// proxy's part is, and `usual` elsewhere.
    fn load(&self, now: Duration, distance: Distance, usual: f64) -> f64 {
        let fresh = self.freshness(now);
        let unknown = if distance == Distance::Own { 0.0 } else { usual };
        self.in_flight as f64 + fresh * self.others + (1.0 - fresh) * unknown
    }

    /// How much what it told last counts still, from 1 to 0.
    fn freshness(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.demand_at).as_secs_f64();
        (1.0 - age / OTHERS_HOLD_S).max(0.0)
    }

    pub fn demand(&self, now: Duration) -> u32 {
        // A server that owes replies and sends none has not become idle.
        let holds = self.in_flight > 0 || now.saturating_sub(self.demand_at) < DEMAND_HOLDS;
        if holds { self.load_milli } else { 0 }
    }
}

#[cfg(test)]
mod tests;
