//! Days in the simulator: a fleet of a deployment's size, its traffic and operators, and the
//! faults of the brief by seed.

use super::control::{Duty, Evacuation, Sim, What as Operate};
use super::data::Manner;
use super::net::{Delays, Event, Timer};
use std::sync::Arc;
use std::time::Duration;
use vanepath_sibling::wire::Role;
use vanepath_store::talk::{Change, Outcome};

#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    None,
    KillProxy,
    KillRegistry,
    KillStore,
    KillManyProxies,
    KillControl,
    KillAll,
    ZonePower,
    RegionPower,
    FreezeProxy,
    FreezeRegistry,
    FreezeStore,
    IsolateProxy,
    IsolateCore,
    SplitControl,
    ControlCutOff,
    OneWayCut,
    SlowNetwork,
    LoseDisk,
    ReplaceCore,
    SwapAllCore,
    DiskFull,
    ClockJump,
    RollingRestart,
    ServerKilled,
    ServerColdTwice,
    ServersOneByOne,
    /// All servers of the lookups and filings at one time: they come back cold together.
    AllServersCold,
    ServerLeaves,
    AddressPassed,
    ServersMisbehave,
    EmptyZone,
    /// Two or three evacuations of one zone that overlap, by orders without keys; registries die with some
    /// of them in hand.
    OverlappingEvacuations,
    Storm,
    /// Registry and store of one core machine together.
    CoreMachineDies,
    CoreMachineFreezes,
    CoreMachineCutOff,
    /// A server's machine stands still and goes on.
    ServerFreezes,
    /// Some proxies reach a server, others do not.
    ServerHalfCut,
    /// What a server sends is lost, what is sent to it comes.
    ServerMute,
    /// A server's machine loses power for less than five seconds.
    ServerShortPower,
    /// All daemons and servers of a zone, or a region, from all others; callers reach them all.
    ZoneCut,
    RegionCut,
    /// The callers of one region do not reach its proxies.
    CallersCut,
    FreezeProxyLong,
    /// All core machines at new addresses, and then every process killed: proxies start with the
    /// seeds of the first day, of which none is left.
    SwapAllCoreThenKillAll,
    /// Downloads that take seconds come in a flood, more than their class has room for, and the room
    /// of all classes is small on that day.
    Downloads,
    /// The platform says what is no list, an empty or an older one, and a server leaves meanwhile.
    PlatformLies,
    /// Setups bind filings to another region, again and again.
    BoundsMove,
    /// The callers of one zone send three times as much, for 40 s. Servers work on one request at a
    /// time then and tell the demand that they are under.
    Surge,
    /// Daemons of every role start anew, singly, in turn and all at once, amid a storm of setups, while a
    /// registry lags behind, one stands still, and a proxy starts where only the one that lags is heard.
    RestartsInStorm,
    /// The five points of `docs/control.md` (`worst.rs`).
    #[strum(serialize = "control-cut-20s")]
    ControlCut20s,
    OperatorsRaceLostAnswers,
    SecondLossAfterRepair,
    HundredsOfChangesThenRestart,
    WrongAnswersAndResends,
}

impl Fault {
    /// Several at one time by itself: no part of what seeds draw from all kinds.
    pub fn is_several(self) -> bool {
        matches!(
            self,
            Fault::RestartsInStorm
                | Fault::ControlCut20s
                | Fault::OperatorsRaceLostAnswers
                | Fault::SecondLossAfterRepair
                | Fault::HundredsOfChangesThenRestart
                | Fault::WrongAnswersAndResends
        )
    }
}

#[derive(Clone, Debug)]
pub enum Act {
    Start(usize),
    CrashAll,
    StartAll,
    Crash {
        daemon: usize,
        power: bool,
    },
    Terminate(usize),
    Freeze(usize),
    Wake(usize),
    Wipe(usize),
    Cut {
        left: Vec<usize>,
        right: Vec<usize>,
        one_way: bool,
    },
    Uncut {
        left: Vec<usize>,
        right: Vec<usize>,
        one_way: bool,
    },
    Slow(Duration),
    DiskFull(usize, bool),
    WallJump(usize, i64),
    StopServer {
        server: usize,
        power: bool,
    },
    StartServer(usize),
    /// Its machine stands still, or goes on.
    FreezeServer(usize, bool),
    /// So many times the ordinary traffic from the callers of this zone.
    Surge(&'static str, f64),
    Behave {
        server: usize,
        manner: Manner,
        part: f64,
    },
    Leave(usize),
    Remove(usize),
    /// The address of a server passes to another service's new server.
    Pass(usize),
    Replace {
        registry: usize,
        store: usize,
    },
    /// So many more downloads a second, of three seconds each; none: the ordinary ones again.
    Downloads(f64),
    PlatformLies(bool),
    /// Bound filings go to the middle, or to the north as ever.
    Bind(bool),
    Empty(&'static str),
    Return(&'static str),
    /// Order 0 of an evacuation empties its zone, order 1 returns it; a registry that `dies` does so with
    /// the call in hand.
    Order {
        evacuation: usize,
        order: usize,
        dies: bool,
    },
    Put,
    /// A setup whose classes stand in another order.
    PutTurned,
    Read,
    /// Two operators under one version.
    Race,
    /// What this operation asked for, by an operator who has no answer.
    SendAgain(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    Raiocerto,
    Guild,
}

#[derive(Clone)]
pub struct Plan {
    pub deployment: Deployment,
    pub faults: Vec<Fault>,
    /// Part of the deployment's rate of requests.
    pub rate: f64,
    pub operator_every: Duration,
    pub traces: bool,
    /// Core machines, with a store and a registry each; with five of them the faults of disks and of
    /// core machines come to two at one time.
    pub stores: usize,
    /// Stores beside them, with empty disks: whatever seat is lost goes to one of these.
    pub spares: usize,
    /// The faults run at one time, a little after each other, and not one after the other.
    pub overlap: bool,
    /// What is broken on purpose.
    pub breaks: Option<super::breaks::Break>,
    /// Where a daemon is killed in the middle of what it does.
    pub visit: Option<super::breaks::Visit>,
}

impl Plan {
    pub fn new(deployment: Deployment, faults: &[Fault]) -> Plan {
        Plan {
            deployment,
            faults: faults.to_vec(),
            rate: 0.5,
            operator_every: Duration::from_millis(900),
            traces: false,
            stores: 3,
            spares: 0,
            overlap: false,
            breaks: None,
            visit: None,
        }
    }
}

/// When the fleet is up and faults begin, and how long each has.
pub const BEGIN: Duration = Duration::from_secs(12);
pub const SLOT: Duration = Duration::from_secs(22);
/// After the last fault is over.
pub const REST: Duration = Duration::from_secs(30);

pub fn shape_of(deployment: Deployment) -> crate::shape::Shape {
    match deployment {
        Deployment::Raiocerto => crate::shape::raiocerto(),
        Deployment::Guild => crate::shape::guild(),
    }
}

/// What a setup says that binds the bound filings to the middle.
pub const MOVED: &str = r#""regions": ["middle"]"#;
const BOUND: &str = r#""regions": ["north"]"#;

/// A setup that nobody may take, in one of several ways.
fn spoilt(setup: &str, way: usize) -> Vec<u8> {
    let text = match way % 8 {
        0 => setup.replacen("\"once\"", "\"twice\"", 1),
        1 => setup.replacen("\"urgency\": 1", "\"urgency\": 1, \"urgency\": 2", 1),
        2 => setup[..setup.len() / 2].to_string(),
        3 => setup.replacen("\"service\": ", "\"service\": \"nobody\", \"was\": ", 1),
        4 => format!("{setup}}}"),
        5 => setup.replacen("\"selector\": \"app = ", "\"selector\": \"app == ", 1),
        6 => setup.replacen("\"livenessPath\": \"/live\"", "\"livenessPath\": \"live\"", 1),
        _ => setup.replacen("\"deadlineMs\": 5000", "\"deadlineMs\": -5000", 1),
    };
    text.into_bytes()
}

/// A setup that nobody else sends: its tag stands in a place's label.
pub fn tagged(setup: &str, tag: usize) -> Vec<u8> {
    let from = r#"{"zone": "north-1", "region": "north"}"#;
    let to = format!(r#"{{"zone": "north-1", "region": "north", "labels": {{"tag": "t{tag}"}}}}"#);
    setup.replace(from, &to).into_bytes()
}

pub struct Run {
    pub sim: Sim,
    pub seed: u64,
    pub last_fault_over: Duration,
    pub end: Duration,
    pub faults: Vec<Fault>,
}

/// The fleet of a plan, its callers and its operators, as the day begins.
pub fn open(seed: u64, plan: &Plan) -> Sim {
    let shape = shape_of(plan.deployment);
    let delays = match plan.deployment {
        Deployment::Raiocerto => Delays {
            zone: Duration::from_millis(1),
            region: Duration::from_millis(55),
            caller: Duration::from_millis(8),
        },
        Deployment::Guild => Delays {
            zone: Duration::from_micros(1500),
            region: Duration::from_millis(12),
            caller: Duration::from_millis(1),
        },
    };
    let mut sim = Sim::new(seed, delays);
    sim.traces = plan.traces;
    sim.breaks = plan.breaks;
    sim.visit = plan.visit;
    sim.stores = plan.stores;
    sim.world.setup_text = shape.setup.clone();
    if plan.faults.contains(&Fault::Downloads) {
        let text = &mut sim.world.setup_text;
        *text =
            text.replace("\"room\": 64", "\"room\": 16").replace("\"most\": 128", "\"most\": 16");
        *text =
            text.replacen("\"kind\": \"repeatable\"", "\"kind\": \"repeatable\", \"room\": 32", 1);
    }
    for (seat, (zone, region)) in shape.zones[..plan.stores].iter().enumerate() {
        sim.add_daemon(Role::Store, &format!("store-{seat}"), zone, region, plan.stores);
        sim.add_daemon(Role::Registry, &format!("registry-{seat}"), zone, region, 0);
    }
    for spare in 0..plan.spares {
        let (zone, region) = shape.zones[(plan.stores + spare) % shape.zones.len()];
        sim.add_daemon(Role::Store, &format!("spare-{spare}"), zone, region, 0);
    }
    for index in 0..shape.proxies {
        let (zone, region) = shape.zones[index % shape.zones.len()];
        sim.add_daemon(Role::Proxy, &format!("proxy-{index:02}"), zone, region, 0);
    }
    let seeds: Vec<std::net::SocketAddr> = sim
        .daemons
        .iter()
        .filter(|daemon| daemon.card.role == Role::Registry)
        .map(|daemon| daemon.card.sibling_address)
        .collect();
    sim.world.directories = seeds.clone();
    let seeds: Vec<std::net::SocketAddr> = seeds.into_iter().take(3).collect();
    for daemon in &mut sim.daemons {
        daemon.seeds = seeds.clone();
    }
    for (app, count) in &shape.servers {
        for index in 0..*count {
            let (zone, region) = shape.zones[index % shape.zones.len()];
            sim.add_server(&format!("{app}-{index}"), app, zone, region);
        }
    }
    publish(&mut sim, |_| {});
    sim.world.rate = shape.rate * plan.rate;
    if plan.faults.contains(&Fault::Surge) {
        // At the day's ordinary rate the servers are 45 % busy.
        let first = shape.servers[0];
        let per_second = sim.world.rate * 0.85 / f64::from(first.1 as u32);
        for server in sim.world.servers.iter_mut() {
            server.workers = 1;
            server.service = Duration::from_secs_f64(0.45 / per_second);
        }
    }
    match plan.deployment {
        Deployment::Raiocerto => {
            sim.world.mix = [60, 25, 0, 15];
            sim.world.paths = ["/stock", "/orders", "/orders", "/documents"];
        }
        Deployment::Guild => {
            sim.world.mix = [65, 15, 5, 15];
            sim.world.paths = ["/parcels", "/appeals", "/appeals/north", "/extracts"];
        }
    }
    // Shares move whole callers: a few would move in leaps.
    let callers = if plan.faults.contains(&Fault::Surge) { 20 } else { 3 };
    for (zone, region) in &shape.zones {
        for index in 0..callers {
            sim.add_caller(&format!("{zone}-c{index}"), zone, region);
        }
    }
    for index in 0..sim.daemons.len() {
        sim.start_daemon(index);
    }
    sim.run_until(Duration::from_secs(3));
    put(&mut sim, None);
    sim.run_until(Duration::from_secs(6));
    for caller in 0..sim.world.callers.len() {
        sim.start_caller(caller);
    }
    sim.world.operator_every = plan.operator_every;
    if plan.operator_every > Duration::ZERO {
        let operator = sim.operator;
        sim.net.timer(operator, plan.operator_every, Timer::NextOperation);
    }
    sim
}

/// One whole day from one seed.
pub fn run(seed: u64, plan: &Plan) -> Run {
    let mut sim = open(seed, plan);
    let mut over = BEGIN;
    for (index, fault) in plan.faults.iter().enumerate() {
        let start = if plan.overlap {
            BEGIN + Duration::from_millis(sim.net.random.draw() % 3000)
        } else {
            BEGIN + SLOT * index as u32
        };
        over = schedule(&mut sim, *fault, start).max(over);
    }
    sim.run_until(over);
    // The end of the day: whatever is still down or cut comes back.
    if plan.breaks != Some(super::breaks::Break::StaysDown) {
        calm(&mut sim);
    }
    let end = over + REST;
    sim.run_until(end - Duration::from_secs(6));
    sim.world.stopped = true;
    sim.run_until(end);
    // What the operator can read at the end: every revision.
    let last = read_all(&mut sim);
    sim.world.history = last;
    Run { sim, seed, last_fault_over: over, end, faults: plan.faults.clone() }
}

fn calm(sim: &mut Sim) {
    sim.net.heal();
    for index in 0..sim.daemons.len() {
        if sim.world.retired.contains(&index) {
            continue;
        }
        let host = sim.daemons[index].host;
        if sim.net.hosts[host].frozen {
            sim.net.wake(host);
        }
        let is_broken = match &mut sim.daemons[index].duty {
            Duty::Store(store) => std::mem::replace(&mut store.disk.is_full, false),
            _ => false,
        };
        if is_broken && sim.is_up(index) {
            sim.crash(index, false);
        }
        if !sim.net.hosts[host].up || !sim.net.hosts[host].powered {
            sim.start_daemon(index);
        }
    }
    for index in 0..sim.world.servers.len() {
        let host = sim.world.servers[index].host;
        sim.behave(index, Manner::Good, 0.0);
        if sim.net.hosts[host].frozen {
            sim.net.wake(host);
        }
        let is_gone = sim.world.servers[index].id.contains("gone");
        if !is_gone && (!sim.net.hosts[host].up || !sim.net.hosts[host].powered) {
            sim.start_server(index);
        }
    }
}

/// Asks for each revision in turn, at the end of the day.
fn read_all(sim: &mut Sim) -> Vec<(u64, Option<Outcome>)> {
    let registry = sim.index("registry-0");
    let registries: Vec<usize> = (0..sim.daemons.len())
        .filter(|index| sim.daemons[*index].card.role == Role::Registry && sim.is_up(*index))
        .collect();
    let registry = registries.first().copied().unwrap_or(registry);
    let ask = |sim: &mut Sim, what: Operate| {
        let operation = sim.operate(what, registry);
        for _ in 0..100 {
            let until = sim.net.now + Duration::from_millis(100);
            sim.run_until(until);
            if sim.operations[operation].ended_at.is_some() {
                break;
            }
        }
        sim.operations[operation].outcome.clone()
    };
    let latest = match ask(sim, Operate::Read) {
        Some(Outcome::Value { value }) => value.revision,
        other => return vec![(0, other)],
    };
    let mut all = Vec::new();
    for revision in 1..=latest {
        all.push((revision, ask(sim, Operate::History { revision })));
    }
    all
}

/// Changes the platform's list.
fn publish(sim: &mut Sim, change: impl FnOnce(&mut Vec<vanepath_setup::platform::Server>)) {
    let mut list = (*sim.platform).clone();
    if list.revision == 0 {
        for server in &sim.world.servers {
            list.servers.push(vanepath_setup::platform::Server {
                id: server.id.clone(),
                address: super::net::Net::address_of(server.host),
                region: server.region.clone(),
                zone: server.zone.clone(),
                labels: [("app".to_string(), server.app.clone())].into(),
                leaving: false,
                cold: false,
                slots: 0,
            });
        }
    }
    change(&mut list.servers);
    list.revision += 1;
    sim.platform_at.push((sim.net.now, list.revision));
    sim.platform = Arc::new(list);
}

pub(super) fn put(sim: &mut Sim, if_revision: Option<u64>) -> usize {
    let tag = sim.operations.len();
    let bytes = tagged(&sim.world.setup_text.clone(), tag);
    let key = format!("key-{tag}");
    let change = Change::Setup { bytes, if_revision, version: None };
    let registry = any_registry(sim);
    sim.operate(Operate::Change { key, change }, registry)
}

/// A registry that the operator would try: one that is up as far as anyone can see.
pub(super) fn any_registry(sim: &mut Sim) -> usize {
    let all: Vec<usize> = (0..sim.daemons.len())
        .filter(|index| sim.daemons[*index].card.role == Role::Registry)
        .filter(|index| !sim.world.retired.contains(index))
        .collect();
    let up: Vec<usize> = all.iter().copied().filter(|index| sim.is_up(*index)).collect();
    let from = if up.is_empty() { all } else { up };
    from[sim.net.random.below(from.len())]
}

/// What operators do of themselves all day.
pub fn operate(sim: &mut Sim) {
    if sim.world.stopped {
        return;
    }
    let pause = sim.world.operator_every.mul_f64(0.5 + sim.net.random.part());
    let operator = sim.operator;
    sim.net.timer(operator, pause, Timer::NextOperation);
    let turn = sim.net.random.below(100);
    let known: Vec<(u64, u64)> = sim
        .operations
        .iter()
        .filter_map(|operation| match operation.outcome {
            Some(Outcome::Accepted { revision, setup_revision, .. }) => {
                Some((revision, setup_revision))
            }
            _ => None,
        })
        .collect();
    let registry = any_registry(sim);
    match turn {
        0..35 => {
            put(sim, None);
        }
        35..50 => {
            // Two at once, both meant to follow what this operator saw last.
            let last = known.iter().map(|one| one.1).max();
            put(sim, last);
            put(sim, last);
        }
        50..60 => {
            // The same submission again, under its key, at another registry.
            let earlier: Vec<usize> = (0..sim.operations.len())
                .filter(|index| matches!(sim.operations[*index].what, Operate::Change { .. }))
                .filter(|index| !sim.operations[*index].what.is_invalid())
                .filter(|index| sim.operations[*index].what.order().is_none())
                .collect();
            if let Some(index) = earlier.last().copied() {
                let what = sim.operations[index].what.clone();
                sim.operate(what, registry);
            }
        }
        60..85 => {
            sim.operate(Operate::Read, registry);
            // Now and then one submits what is no setup.
            if turn >= 79 {
                let way = sim.operations.len();
                let bytes = spoilt(&sim.world.setup_text.clone(), way);
                let key = format!("invalid-{way}");
                let change = Change::Setup { bytes, if_revision: None, version: None };
                sim.operate(Operate::Change { key, change }, registry);
            }
        }
        _ => {
            if !known.is_empty() {
                let revision = known[sim.net.random.below(known.len())].0;
                sim.operate(Operate::History { revision }, registry);
            }
        }
    }
}

/// Two or three faults that run at one time: not more than one that takes a zone, a region or all
/// daemons of a kind, for that is what the users' worlds have to survive.
pub fn overlapping(seed: u64) -> Vec<Fault> {
    use strum::IntoEnumIterator;
    const WIDE: [Fault; 9] = [
        Fault::ZonePower,
        Fault::RegionPower,
        Fault::ZoneCut,
        Fault::RegionCut,
        Fault::KillControl,
        Fault::KillAll,
        Fault::KillManyProxies,
        Fault::ControlCutOff,
        Fault::SwapAllCore,
    ];
    // Losses of one core machine, or of a store's disk: one of them at a time.
    const CORE: [Fault; 13] = [
        Fault::KillStore,
        Fault::FreezeStore,
        Fault::IsolateCore,
        Fault::SplitControl,
        Fault::OneWayCut,
        Fault::LoseDisk,
        Fault::ReplaceCore,
        Fault::DiskFull,
        Fault::ClockJump,
        Fault::RollingRestart,
        Fault::CoreMachineDies,
        Fault::CoreMachineFreezes,
        Fault::CoreMachineCutOff,
    ];
    let mut random = super::Random::new(seed ^ 0x6f76_6572);
    let all: Vec<Fault> = Fault::iter()
        // (Overlapping evacuations have overlapping days of their own, so that what seeds draw here stays.)
        // Nothing, what is two wide faults of itself, and what leaves hardly enough of any kind: all
        // servers cold can do so much together and no more.
        .filter(|fault| {
            ![
                Fault::None,
                Fault::SwapAllCoreThenKillAll,
                Fault::AllServersCold,
                Fault::OverlappingEvacuations,
            ]
            .contains(fault)
                && !fault.is_several()
        })
        .collect();
    let mut chosen: Vec<Fault> = Vec::new();
    let count = 2 + random.below(2);
    while chosen.len() < count {
        let next = all[random.below(all.len())];
        let is_wide = |fault: &Fault| WIDE.contains(fault);
        let is_core = |fault: &Fault| CORE.contains(fault) || is_wide(fault);
        let is_too_much = chosen.contains(&next)
            || (is_wide(&next) && chosen.iter().any(is_wide))
            || (is_core(&next) && chosen.iter().any(is_core));
        if !is_too_much {
            chosen.push(next);
        }
    }
    chosen
}

pub(super) fn at(sim: &mut Sim, when: Duration, act: Act) {
    sim.script.push(act);
    let number = sim.script.len() - 1;
    sim.net.at(when, Event::Script(number));
}

pub(super) fn of_role(sim: &Sim, role: Role) -> Vec<usize> {
    (0..sim.daemons.len())
        .filter(|index| sim.daemons[*index].card.role == role)
        .filter(|index| !sim.world.retired.contains(index))
        .collect()
}

/// Puts a fault into the script; when it is over.
fn schedule(sim: &mut Sim, fault: Fault, start: Duration) -> Duration {
    let ms = Duration::from_millis;
    let pick = |sim: &mut Sim, from: &[usize]| from[sim.net.random.below(from.len())];
    let proxies = of_role(sim, Role::Proxy);
    let registries = of_role(sim, Role::Registry);
    let stores = of_role(sim, Role::Store);
    let core: Vec<usize> = registries.iter().chain(&stores).copied().collect();
    let all: Vec<usize> = core.iter().chain(&proxies).copied().collect();
    let hosts = |sim: &Sim, of: &[usize]| -> Vec<usize> {
        of.iter().map(|index| sim.daemons[*index].host).collect()
    };
    let long = ms(3000 + sim.net.random.draw() % 5000);
    let end = start + long;
    let zones: Vec<(&'static str, &'static str)> = crate::shape::raiocerto().zones.to_vec();
    let servers: Vec<usize> = (0..sim.world.servers.len())
        .filter(|index| !sim.world.servers[*index].app.contains("spare"))
        .collect();
    let kill = |sim: &mut Sim, who: usize, from: Duration, to: Duration, power: bool| {
        at(sim, from, Act::Crash { daemon: who, power });
        at(sim, to, Act::Start(who));
    };
    let cut = |sim: &mut Sim, left: Vec<usize>, right: Vec<usize>, one_way: bool| {
        let (first, second) = (left.clone(), right.clone());
        at(sim, start, Act::Cut { left, right, one_way });
        at(sim, end, Act::Uncut { left: first, right: second, one_way });
    };
    // The machine of a seat: its registry and its store.
    let seat = sim.net.random.below(registries.len());
    let machine = [registries[seat], stores[seat]];
    // Of five disks, or core machines, two may be lost at one time.
    let both = if registries.len() < 5 { vec![0] } else { vec![0, 1 + sim.net.random.below(4)] };
    let beside = |one: usize| both.iter().map(move |step| (one + step) % 5).collect::<Vec<usize>>();
    match fault {
        Fault::ControlCut20s
        | Fault::OperatorsRaceLostAnswers
        | Fault::SecondLossAfterRepair
        | Fault::HundredsOfChangesThenRestart
        | Fault::WrongAnswersAndResends => return super::worst::schedule(sim, fault, start),
        Fault::None => return start + long,
        Fault::KillProxy | Fault::KillRegistry | Fault::KillStore => {
            let from = match fault {
                Fault::KillProxy => &proxies,
                Fault::KillRegistry => &registries,
                _ => &stores,
            };
            let who = pick(sim, from);
            let power = sim.net.random.chance(0.5);
            kill(sim, who, start, end, power);
        }
        Fault::KillManyProxies => {
            for who in proxies.iter().copied() {
                if sim.net.random.chance(0.6) {
                    kill(sim, who, start, end, false);
                }
            }
        }
        Fault::KillControl => {
            for who in core {
                kill(sim, who, start, end, false);
            }
        }
        Fault::KillAll => {
            let power = sim.net.random.chance(0.5);
            for who in all {
                kill(sim, who, start, end, power);
            }
        }
        Fault::ZonePower | Fault::RegionPower => {
            let (zone, region) = zones[sim.net.random.below(zones.len())];
            let is_hit = |hit_zone: &str, hit_region: &str| match fault {
                Fault::ZonePower => hit_zone == zone,
                _ => hit_region == region,
            };
            for who in all {
                let card = sim.daemons[who].card.clone();
                if is_hit(&card.zone, &card.region) {
                    kill(sim, who, start, end, true);
                }
            }
            for server in servers {
                let (zone, region) = {
                    let server = &sim.world.servers[server];
                    (server.zone.clone(), server.region.clone())
                };
                if is_hit(&zone, &region) {
                    at(sim, start, Act::StopServer { server, power: true });
                    let later = ms(sim.net.random.draw() % 2000);
                    at(sim, end + later, Act::StartServer(server));
                }
            }
            return end + ms(2001);
        }
        Fault::FreezeProxy | Fault::FreezeRegistry | Fault::FreezeStore => {
            let from = match fault {
                Fault::FreezeProxy => &proxies,
                Fault::FreezeRegistry => &registries,
                _ => &stores,
            };
            let who = pick(sim, from);
            at(sim, start, Act::Freeze(who));
            at(sim, end, Act::Wake(who));
        }
        Fault::IsolateProxy | Fault::IsolateCore => {
            let who = pick(sim, if fault == Fault::IsolateProxy { &proxies } else { &core });
            let left = vec![sim.daemons[who].host];
            // From all our daemons; callers and servers still reach it.
            let right = hosts(sim, &all);
            cut(sim, left, right, false);
        }
        Fault::SplitControl => {
            let who = pick(sim, &registries);
            let region = sim.daemons[who].card.region.clone();
            let is_in = |sim: &Sim, who: &usize| sim.daemons[*who].card.region == region;
            let left: Vec<usize> = core.iter().copied().filter(|who| is_in(sim, who)).collect();
            let right: Vec<usize> = core.iter().copied().filter(|who| !is_in(sim, who)).collect();
            let (left, right) = (hosts(sim, &left), hosts(sim, &right));
            cut(sim, left, right, false);
        }
        Fault::ControlCutOff => {
            let (left, right) = (hosts(sim, &core), hosts(sim, &proxies));
            cut(sim, left, right, false);
        }
        Fault::OneWayCut => {
            let who = pick(sim, &all);
            let left = vec![sim.daemons[who].host];
            let right = hosts(sim, &all);
            cut(sim, left, right, true);
        }
        Fault::SlowNetwork => {
            at(sim, start, Act::Slow(ms(300)));
            at(sim, end, Act::Slow(ms(0)));
        }
        Fault::LoseDisk => {
            let one = sim.net.random.below(registries.len());
            for who in beside(one).into_iter().map(|seat| stores[seat]) {
                at(sim, start, Act::Crash { daemon: who, power: true });
                at(sim, start, Act::Wipe(who));
                at(sim, end, Act::Start(who));
            }
        }
        Fault::ReplaceCore => {
            for seat in beside(seat) {
                at(sim, start, Act::Replace { registry: registries[seat], store: stores[seat] });
            }
            return start + ms(8000);
        }
        Fault::SwapAllCore | Fault::SwapAllCoreThenKillAll => {
            for seat in 0..registries.len() {
                let when = start + ms(5000) * seat as u32;
                at(sim, when, Act::Replace { registry: registries[seat], store: stores[seat] });
            }
            let over = start + ms(5000) * registries.len() as u32 + ms(3000);
            if fault == Fault::SwapAllCoreThenKillAll {
                at(sim, over + ms(2000), Act::CrashAll);
                at(sim, over + ms(5000), Act::StartAll);
                return over + ms(5000);
            }
            return over;
        }
        Fault::DiskFull => {
            let who = pick(sim, &stores);
            at(sim, start, Act::DiskFull(who, true));
            at(sim, end, Act::DiskFull(who, false));
        }
        Fault::ClockJump => {
            let who = pick(sim, &all);
            let jump_ms = if sim.net.random.chance(0.5) { -86_400_000 } else { 3_600_000 };
            at(sim, start, Act::WallJump(who, jump_ms));
            kill(sim, who, start + ms(500), start + ms(1500), false);
            return start + ms(1500);
        }
        Fault::RollingRestart => {
            let mut when = start;
            for who in all {
                at(sim, when, Act::Terminate(who));
                let pause = if proxies.contains(&who) { ms(5500) } else { ms(700) };
                at(sim, when + pause, Act::Start(who));
                when += if proxies.contains(&who) { ms(1500) } else { ms(2500) };
                if proxies.contains(&who) {
                    when += ms(4500);
                }
            }
            return when + ms(6000);
        }
        Fault::ServerKilled | Fault::ServerColdTwice => {
            let server = pick(sim, &servers);
            let power = sim.net.random.chance(0.5);
            at(sim, start, Act::StopServer { server, power });
            at(sim, end, Act::StartServer(server));
            if fault == Fault::ServerColdTwice {
                at(sim, end + ms(2000), Act::StopServer { server, power: false });
                at(sim, end + ms(4500), Act::StartServer(server));
                return end + ms(9000);
            }
            return end + ms(5000);
        }
        Fault::ServersOneByOne => {
            let server = pick(sim, &servers);
            let app = sim.world.servers[server].app.clone();
            let mut when = start;
            for server in servers {
                if sim.world.servers[server].app == app {
                    at(sim, when, Act::StopServer { server, power: false });
                    at(sim, when + ms(1800), Act::StartServer(server));
                    when += ms(900);
                }
            }
            return when + ms(5000);
        }
        Fault::AllServersCold => {
            let app = sim.world.servers[0].app.clone();
            for server in servers {
                if sim.world.servers[server].app == app {
                    at(sim, start, Act::StopServer { server, power: false });
                    at(sim, start + ms(2500), Act::StartServer(server));
                }
            }
            return start + ms(11_000);
        }
        Fault::ServerLeaves => {
            let server = pick(sim, &servers);
            at(sim, start, Act::Leave(server));
            at(sim, start + ms(6000), Act::Remove(server));
            at(sim, start + ms(6000), Act::StopServer { server, power: true });
            return start + ms(7000);
        }
        Fault::AddressPassed => {
            let server = pick(sim, &servers);
            at(sim, start, Act::StopServer { server, power: false });
            at(sim, start + ms(300), Act::Pass(server));
            return start + ms(8000);
        }
        Fault::ServersMisbehave => {
            let manners = [Manner::RunAndLose, Manner::Truncate, Manner::Silent];
            let many = if sim.has(super::breaks::Break::UnboundRetries) { 30 } else { 1 };
            for manner in manners.repeat(many) {
                let server = pick(sim, &servers);
                let part = 0.3 + 0.7 * sim.net.random.part();
                at(sim, start, Act::Behave { server, manner, part });
                at(sim, end, Act::Behave { server, manner: Manner::Good, part: 0.0 });
            }
        }
        Fault::EmptyZone => {
            let zone = zones[sim.net.random.below(zones.len())].0;
            at(sim, start, Act::Empty(zone));
            at(sim, start + ms(9000), Act::Return(zone));
            return start + ms(10_000);
        }
        Fault::OverlappingEvacuations => {
            let zone = zones[sim.net.random.below(zones.len())].0;
            let count = 2 + sim.net.random.below(2);
            let mut when = [start, start + ms(8000)];
            for _ in 0..count {
                let (asked_at, acknowledged_at) = ([None; 2], [None; 2]);
                sim.evacuations.push(Evacuation { zone, asked_at, acknowledged_at });
                let evacuation = sim.evacuations.len() - 1;
                for (order, when) in when.iter_mut().enumerate() {
                    let dies = sim.net.random.chance(0.5);
                    at(sim, *when, Act::Order { evacuation, order, dies });
                    *when += ms(1200 + sim.net.random.draw() % 1500);
                }
            }
            return start + ms(19_000);
        }
        Fault::Storm => {
            for _ in 0..20 {
                let later = ms(sim.net.random.draw() % 2000);
                at(sim, start + later, Act::Put);
            }
            return start + ms(3000);
        }
        Fault::RestartsInStorm => {
            let storm = 20_000;
            for _ in 0..50 {
                let later = ms(sim.net.random.draw() % storm);
                at(sim, start + later, Act::Put);
            }
            let restart = |sim: &mut Sim, who: usize, when: Duration| {
                let power = sim.net.random.chance(0.5);
                kill(sim, who, when, when + ms(400), power);
            };
            // It hears of nothing new, and tells proxies what it has.
            let lags = registries[seat];
            let others: Vec<usize> = core.iter().copied().filter(|one| *one != lags).collect();
            let between = |sim: &mut Sim, who: usize, others: &[usize], from, to, one_way: bool| {
                let (left, right) = (vec![sim.daemons[who].host], hosts(sim, others));
                let (first, second) = (left.clone(), right.clone());
                at(sim, from, Act::Cut { left, right, one_way });
                at(sim, to, Act::Uncut { left: first, right: second, one_way });
            };
            let one_way = sim.net.random.chance(0.3);
            let part: Vec<usize> = others.iter().chain(&proxies).copied().collect();
            let (lag_from, lag_to) = (start + ms(2000), start + ms(11_000));
            // Proxies still ask it; it asks nobody and is told by nobody.
            between(sim, lags, &others, lag_from, lag_to, false);
            if one_way {
                between(sim, lags, &part, lag_from, lag_from + ms(2000), true);
            }
            let sleeps = registries[(seat + 1) % registries.len()];
            at(sim, start + ms(4000), Act::Freeze(sleeps));
            at(sim, start + ms(7000), Act::Wake(sleeps));
            // One proxy starts where it hears of that registry alone.
            let apart = proxies[0];
            let rest: Vec<usize> =
                all.iter().copied().filter(|one| *one != lags && *one != apart).collect();
            between(sim, apart, &rest, start + ms(5000), start + ms(10_000), false);
            restart(sim, apart, start + ms(6000));
            let mut when = start + ms(2500);
            for who in proxies.iter().skip(1) {
                restart(sim, *who, when);
                when += ms(700);
            }
            when = when.max(start + ms(12_000));
            for who in registries.iter().chain(&stores) {
                restart(sim, *who, when);
                when += ms(900);
            }
            at(sim, when + ms(1500), Act::CrashAll);
            at(sim, when + ms(2000), Act::StartAll);
            return when + ms(2000);
        }
        Fault::CoreMachineDies => {
            for who in machine {
                kill(sim, who, start, end, true);
            }
        }
        Fault::CoreMachineFreezes => {
            for who in machine {
                at(sim, start, Act::Freeze(who));
                at(sim, end, Act::Wake(who));
            }
        }
        Fault::CoreMachineCutOff => {
            let left = hosts(sim, &machine);
            let right = hosts(sim, &all).into_iter().filter(|host| !left.contains(host)).collect();
            cut(sim, left, right, false);
        }
        Fault::ServerFreezes => {
            let server = pick(sim, &servers);
            at(sim, start, Act::FreezeServer(server, true));
            at(sim, end, Act::FreezeServer(server, false));
            return end + ms(2000);
        }
        Fault::ServerHalfCut | Fault::ServerMute => {
            let server = pick(sim, &servers);
            let left = vec![sim.world.servers[server].host];
            let right: Vec<usize> = hosts(sim, &proxies)
                .into_iter()
                .filter(|_| fault == Fault::ServerMute || sim.net.random.chance(0.5))
                .collect();
            cut(sim, left, right, fault == Fault::ServerMute);
            return end + ms(2000);
        }
        Fault::ServerShortPower => {
            let server = pick(sim, &servers);
            let back = start + ms(1600 + sim.net.random.draw() % 3400);
            at(sim, start, Act::StopServer { server, power: true });
            at(sim, back, Act::StartServer(server));
            return back + ms(9000);
        }
        Fault::ZoneCut | Fault::RegionCut => {
            let (zone, region) = zones[sim.net.random.below(zones.len())];
            let is_hit = |host: &super::net::Host| match fault {
                Fault::ZoneCut => host.zone == zone,
                _ => host.region == region,
            };
            let inside = |sim: &Sim, is_in: bool| -> Vec<usize> {
                (0..sim.net.hosts.len())
                    .filter(|host| !sim.net.hosts[*host].zone.is_empty())
                    .filter(|host| is_hit(&sim.net.hosts[*host]) == is_in)
                    .collect()
            };
            let (left, right) = (inside(sim, true), inside(sim, false));
            cut(sim, left, right, false);
            return end + ms(2000);
        }
        Fault::CallersCut => {
            let region = zones[sim.net.random.below(zones.len())].1;
            let left: Vec<usize> = sim
                .world
                .callers
                .iter()
                .filter(|caller| zones.iter().any(|one| *one == (&caller.zone, region)))
                .map(|caller| caller.host)
                .collect();
            let right = proxies
                .iter()
                .filter(|who| sim.daemons[**who].card.region == region)
                .map(|who| sim.daemons[*who].host)
                .collect();
            cut(sim, left, right, false);
        }
        Fault::Downloads => {
            let extra = 37.0 * proxies.len() as f64;
            at(sim, start, Act::Downloads(extra));
            at(sim, start + ms(5000), Act::Downloads(0.0));
            return start + ms(20_000);
        }
        Fault::PlatformLies => {
            let server = pick(sim, &servers);
            at(sim, start, Act::PlatformLies(true));
            at(sim, start + ms(500), Act::Leave(server));
            at(sim, start + ms(8000), Act::PlatformLies(false));
            return start + ms(9000);
        }
        Fault::BoundsMove => {
            for turn in 0..6_u32 {
                at(sim, start + ms(1500) * turn, Act::Bind(turn % 2 == 0));
            }
            return start + ms(12_000);
        }
        Fault::Surge => {
            let zone = zones[sim.net.random.below(zones.len())].0;
            at(sim, start, Act::Surge(zone, 3.0));
            at(sim, start + ms(40_000), Act::Surge(zone, 1.0));
            return start + ms(46_000);
        }
        Fault::FreezeProxyLong => {
            let who = pick(sim, &proxies);
            at(sim, start, Act::Freeze(who));
            at(sim, start + ms(25_000), Act::Wake(who));
            return start + ms(25_000);
        }
    }
    end
}

pub fn act(sim: &mut Sim, number: usize) {
    let Some(act) = sim.script.get(number).cloned() else { return };
    sim.note(|| format!("script: {act:?}"));
    match act {
        Act::Start(_) if sim.has(super::breaks::Break::StaysDown) => {}
        Act::Start(daemon) if sim.world.retired.contains(&daemon) => {}
        Act::Start(daemon) => {
            let host = sim.daemons[daemon].host;
            if !sim.net.hosts[host].up || !sim.net.hosts[host].powered {
                sim.start_daemon(daemon);
            } else if sim.daemons[daemon].leaving {
                // Still finishing: it is started again once it has ended.
                sim.net.at(sim.net.now + Duration::from_millis(200), Event::Script(number));
            }
        }
        Act::Crash { daemon, power } => sim.crash(daemon, power),
        Act::CrashAll | Act::StartAll => {
            for daemon in 0..sim.daemons.len() {
                if sim.world.retired.contains(&daemon) {
                    continue;
                }
                match act {
                    Act::CrashAll => sim.crash(daemon, true),
                    _ => sim.start_daemon(daemon),
                }
            }
        }
        Act::Terminate(daemon) => sim.terminate(daemon),
        Act::Freeze(daemon) => {
            let host = sim.daemons[daemon].host;
            sim.net.freeze(host);
        }
        Act::Wake(daemon) => {
            let host = sim.daemons[daemon].host;
            sim.net.wake(host);
            sim.look();
        }
        Act::Wipe(daemon) => sim.wipe(daemon),
        Act::Cut { left, right, one_way } => sim.net.cut(&left, &right, one_way),
        Act::Uncut { left, right, one_way } => sim.net.uncut(&left, &right, one_way),
        Act::Slow(slowness) => sim.net.slowness = slowness,
        Act::DiskFull(daemon, is_full) => {
            if let Duty::Store(store) = &mut sim.daemons[daemon].duty {
                store.disk.is_full = is_full;
            }
        }
        Act::WallJump(daemon, ms) => {
            let host = sim.daemons[daemon].host;
            sim.net.hosts[host].wall_ms += ms;
        }
        Act::StopServer { server, power } => sim.stop_server(server, power),
        Act::StartServer(server) => {
            // Another fault may have had it started already.
            let host = &sim.net.hosts[sim.world.servers[server].host];
            if !host.up || !host.powered {
                sim.start_server(server);
            }
        }
        Act::FreezeServer(server, is_frozen) => {
            let host = sim.world.servers[server].host;
            if is_frozen {
                sim.net.freeze(host);
            } else {
                sim.net.wake(host);
            }
        }
        Act::Surge(zone, weight) => {
            for caller in sim.world.callers.iter_mut().filter(|caller| caller.zone == zone) {
                caller.weight = weight;
            }
        }
        Act::Behave { server, manner, part } => {
            sim.behave(server, manner, part);
        }
        Act::Leave(server) => {
            let id = sim.world.servers[server].id.clone();
            sim.world.leaves.push((sim.net.now, server, sim.platform.revision + 1));
            publish(sim, |list| {
                for one in list.iter_mut().filter(|one| one.id == id) {
                    one.leaving = true;
                }
            });
        }
        Act::Remove(server) => {
            let id = sim.world.servers[server].id.clone();
            publish(sim, |list| list.retain(|one| one.id != id));
            sim.world.servers[server].id += "-gone";
        }
        Act::Pass(server) => {
            // Another service's server starts at the address before the platform says so.
            let old = sim.world.servers[server].id.clone();
            sim.world.passed.push((sim.net.now, server));
            let id = format!("{old}-heir");
            sim.world.servers[server].id = id;
            sim.world.servers[server].app = "spare".to_string();
            sim.start_server(server);
            publish(sim, |list| list.retain(|one| one.id != old));
        }
        Act::Replace { registry, .. } if sim.world.retired.contains(&registry) => {}
        Act::Replace { registry, store } => {
            for old in [registry, store] {
                sim.crash(old, true);
                sim.wipe(old);
                sim.world.retired.insert(old);
                let card = sim.daemons[old].card.clone();
                let founders = match &sim.daemons[old].duty {
                    Duty::Store(store) => store.identity.founders,
                    _ => 0,
                };
                let name = format!("{}x", card.name);
                let new = sim.add_daemon(card.role, &name, &card.zone, &card.region, founders);
                // Whoever installs a machine names some that run; the others keep the first day's.
                sim.daemons[new].seeds = of_role(sim, Role::Registry)
                    .into_iter()
                    .map(|index| sim.daemons[index].card.sibling_address)
                    .take(3)
                    .collect();
                sim.start_daemon(new);
            }
        }
        Act::Downloads(extra) => {
            let world = &mut sim.world;
            let app = if world.paths[3] == "/documents" { "documents" } else { "extracts" };
            let is_flood = extra > 0.0;
            for server in world.servers.iter_mut().filter(|server| server.app == app) {
                server.service = Duration::from_millis(if is_flood { 3000 } else { 20 });
            }
            if is_flood {
                world.calm_mix = Some((world.rate, world.mix));
                let part = |part: u32| (f64::from(part) * world.rate) as u32;
                let more = (100.0 * extra) as u32;
                let [lookups, filings, bound, bulk] = world.mix.map(part);
                world.mix = [lookups, filings, bound, bulk + more];
                world.rate += extra;
            } else if let Some((rate, mix)) = world.calm_mix.take() {
                (world.rate, world.mix) = (rate, mix);
            }
        }
        Act::PlatformLies(lies) => sim.platform_lies = lies,
        Act::Bind(is_moved) => {
            let (from, to) = if is_moved { (BOUND, MOVED) } else { (MOVED, BOUND) };
            sim.world.setup_text = sim.world.setup_text.replace(from, to);
            put(sim, None);
        }
        Act::Empty(zone) | Act::Return(zone) => {
            let change = match act {
                Act::Empty(_) => Change::Empty { zone: zone.to_string() },
                _ => Change::Return { zone: zone.to_string() },
            };
            let key = format!("zone-{}", sim.operations.len());
            let registry = any_registry(sim);
            sim.operate(Operate::Change { key, change }, registry);
        }
        Act::Order { evacuation, order, dies } => {
            let now = sim.net.now;
            let one = &mut sim.evacuations[evacuation];
            let first = *one.asked_at[order].get_or_insert(now);
            // What was never acknowledged is not withdrawn, and nobody sends an order again for ever.
            let is_due = order == 0 || one.acknowledged_at[0].is_some();
            if !is_due || now > first + SENT_AGAIN_FOR {
                return;
            }
            let zone = one.zone.to_string();
            let change = if order == 0 { Change::Empty { zone } } else { Change::Return { zone } };
            let key = format!("order-{evacuation}-{order}-{}", sim.operations.len());
            let registry = any_registry(sim);
            sim.operate(Operate::Change { key, change }, registry);
            if dies {
                // Before the stores have it, while they do, or after.
                let most = [40, 150, 400][sim.net.random.below(3)];
                let when = now + Duration::from_millis(sim.net.random.draw() % most);
                at(sim, when, Act::Crash { daemon: registry, power: false });
                at(sim, when + Duration::from_secs(3), Act::Start(registry));
            }
        }
        Act::Put => {
            put(sim, None);
        }
        Act::PutTurned => super::worst::put_turned(sim),
        Act::Read => super::worst::read(sim),
        Act::Race => super::worst::race(sim),
        Act::SendAgain(operation) => super::worst::send_again(sim, operation),
    }
}

/// A sending of an order has ended: acknowledged, or to be sent again.
pub fn order_told(sim: &mut Sim, operation: usize) {
    let ended = &sim.operations[operation];
    let Some(evacuation) = ended.what.order() else { return };
    let Operate::Change { change, .. } = &ended.what else { return };
    let order = usize::from(matches!(change, Change::Return { .. }));
    let (outcome, from) = (ended.outcome.clone(), ended.started_at);
    sim.note(|| format!("order {order} of evacuation {evacuation} of {from:?}: {outcome:?}"));
    let ended = &sim.operations[operation];
    if matches!(ended.outcome, Some(Outcome::Accepted { .. })) {
        sim.evacuations[evacuation].acknowledged_at[order] = Some(sim.net.now);
        return;
    }
    let soon = sim.net.now + Duration::from_millis(50);
    at(sim, soon, Act::Order { evacuation, order, dies: false });
}

/// For so long an order is sent again (the platform's pages).
const SENT_AGAIN_FOR: Duration = Duration::from_secs(8);
