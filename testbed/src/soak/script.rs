//! The script of a soak: overlapping series of faults and planned work, generated from a seed.

use crate::sim::Random;
use crate::stub::Behavior;
use std::time::Duration;

/// One action on the fleet. Daemons are given by their index among those of their role, servers and zones by
/// their index among all.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send SIGTERM.
    Terminate(Daemon),
    /// Send a second SIGTERM during the shutdown.
    TerminateAgain(Daemon),
    /// Send SIGKILL.
    Kill(Daemon),
    /// Start the daemon again once it has ended.
    Start(Daemon),
    /// Send SIGSTOP.
    Suspend(Daemon),
    /// Send SIGCONT.
    Resume(Daemon),
    /// Send SIGHUP.
    HangUp(Daemon),
    /// Set the state of the links towards the daemon.
    SetLink(Daemon, LinkState),
    /// The endpoint list shows the server as draining.
    DrainServer(usize),
    /// The server ends, and the endpoint list does not contain it any more.
    RemoveServer(usize),
    /// A new server starts at the address of an ended one, and is listed at once.
    ReuseAddress {
        /// The ended server.
        server: usize,
        /// Whether the new one belongs to the other service.
        is_other_service: bool,
    },
    /// The server ends without notice.
    CrashServer(usize),
    /// A crashed server starts again.
    RestartServer(usize),
    /// Set how a server responds.
    SetBehavior(usize, Behavior),
    /// The operator sends the next configuration.
    Configure,
    /// The operator drains a zone.
    DrainZone(usize),
    /// The operator ends the draining of a zone.
    RestoreZone(usize),
    /// Set how the platform responds.
    Platform(PlatformState),
}

/// A daemon by its role and its index among those of the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Daemon {
    /// A proxy.
    Proxy(usize),
    /// A registry.
    Registry(usize),
    /// A store.
    Store(usize),
}

/// State of the links towards a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Everything passes.
    Healthy,
    /// Nothing passes.
    Partitioned,
    /// Nothing passes from the daemon.
    OutboundBlocked,
    /// Everything passes with a delay.
    Slow,
    /// All connections are closed once.
    Reset,
}

/// How the platform responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformState {
    /// With the endpoint list.
    Normal,
    /// With a text that is no endpoint list.
    Malformed,
    /// With an empty list.
    Empty,
}

/// An action and when it is due.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When it is due, from the start of the script.
    pub at: Duration,
    /// The action.
    pub action: Action,
}

/// The size of the fleet that a script is for.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of proxies.
    pub proxies: usize,
    /// Number of core machines, with a registry and a store each.
    pub cores: usize,
    /// Number of servers.
    pub servers: usize,
    /// Number of zones.
    pub zones: usize,
}

/// The series that scripts consist of.
const SERIES: [fn(&mut ScriptBuilder<'_>); 15] = [
    rolling_restart,
    restart_beside_slow_servers,
    simultaneous_kills,
    suspensions,
    hang_ups,
    stops_during_startup,
    double_terminations,
    drains_in_series,
    spot_notices,
    server_crashes,
    server_misbehavior,
    link_faults,
    core_faults,
    burst_of_configurations,
    zone_drain,
];
const PLATFORM_FAULT_PROBABILITY: f64 = 0.4;
/// Time from the draining of a server to its removal: a little more than its drain time-out.
const DRAIN_NOTICE: Duration = Duration::from_millis(5500);
/// The same for a server whose machine is reclaimed by its provider.
const SPOT_NOTICE: Duration = Duration::from_millis(1500);

/// A script under construction. The order of its random draws determines the script of a seed.
struct ScriptBuilder<'r> {
    random: &'r mut Random,
    size: Size,
    /// Series begin between these times.
    earliest: Duration,
    latest: Duration,
    steps: Vec<Step>,
    /// Servers that were used already: each is drained, crashes or misbehaves once.
    used_servers: Vec<usize>,
    /// When the last fault of a core machine is over: one has a fault at a time.
    core_available_at: Duration,
}

impl ScriptBuilder<'_> {
    fn step(&mut self, at: Duration, action: Action) {
        self.steps.push(Step { at, action });
    }

    /// When a series begins.
    fn start_time(&mut self) -> Duration {
        self.random.between(self.earliest, self.latest)
    }

    fn pause(&mut self, low_ms: u64, high_ms: u64) -> Duration {
        self.random.between(Duration::from_millis(low_ms), Duration::from_millis(high_ms))
    }

    fn proxy(&mut self) -> Daemon {
        Daemon::Proxy(self.random.below(self.size.proxies))
    }

    /// A server that was not used yet; `None` if a third or fewer of them are left.
    fn server(&mut self) -> Option<usize> {
        let free: Vec<usize> =
            (0..self.size.servers).filter(|server| !self.used_servers.contains(server)).collect();
        if free.len() <= self.size.servers / 3 {
            return None;
        }
        let server = free[self.random.below(free.len())];
        self.used_servers.push(server);
        Some(server)
    }

    /// Neighbouring proxies, as many as this share of all.
    fn some_proxies(&mut self, share: f64) -> Vec<Daemon> {
        let count = ((self.size.proxies as f64 * share) as usize).max(1);
        let first = self.random.below(self.size.proxies);
        (0..count).map(|offset| Daemon::Proxy((first + offset) % self.size.proxies)).collect()
    }
}

/// The script of a seed, ordered by time.
pub fn generate(seed: u64, size: Size, length: Duration) -> Vec<Step> {
    let mut random = Random::new(seed);
    let earliest = Duration::from_millis(500);
    let latest = length.mul_f64(0.75).max(earliest + Duration::from_secs(1));
    let mut builder = ScriptBuilder {
        random: &mut random,
        size,
        earliest,
        latest,
        steps: Vec::new(),
        used_servers: Vec::new(),
        core_available_at: earliest,
    };
    let count = 5 + builder.random.below(5);
    let first = builder.random.below(SERIES.len());
    for index in 0..count {
        // Every series is used before any is used again, whatever the seed: the step and the number of
        // series have no common factor.
        SERIES[(first + seed as usize + 4 * index) % SERIES.len()](&mut builder);
    }
    if builder.random.chance(PLATFORM_FAULT_PROBABILITY) {
        platform_fault(&mut builder);
    }
    let mut steps = builder.steps;
    steps.retain(|step| step.at < length);
    steps.sort_by_key(|step| step.at);
    steps
}

fn rolling_restart(builder: &mut ScriptBuilder<'_>) {
    let mut at = builder.start_time();
    let gap = builder.pause(100, 900);
    for proxy in builder.some_proxies(0.5) {
        builder.step(at, Action::Terminate(proxy));
        let down = builder.pause(300, 4000);
        builder.step(at + down, Action::Start(proxy));
        at += gap;
    }
}

/// Proxies are stopped while servers work long on requests, and others reject what is sent to them instead.
fn restart_beside_slow_servers(builder: &mut ScriptBuilder<'_>) {
    let at = builder.start_time();
    let duration = builder.pause(3000, 5000);
    for behavior in [Behavior::Slow, Behavior::Slow, Behavior::Slow, Behavior::Overloaded] {
        let Some(server) = builder.server() else { break };
        builder.step(at, Action::SetBehavior(server, behavior));
        builder.step(at + duration, Action::SetBehavior(server, Behavior::Normal));
    }
    let mut stop_at = at + Duration::from_millis(600);
    for proxy in builder.some_proxies(0.6) {
        builder.step(stop_at, Action::Terminate(proxy));
        let down = builder.pause(300, 2000);
        builder.step(stop_at + down, Action::Start(proxy));
        stop_at += Duration::from_millis(300);
    }
}

fn simultaneous_kills(builder: &mut ScriptBuilder<'_>) {
    let at = builder.start_time();
    for proxy in builder.some_proxies(0.4) {
        builder.step(at, Action::Kill(proxy));
        let down = builder.pause(100, 2500);
        builder.step(at + down, Action::Start(proxy));
    }
}

fn suspensions(builder: &mut ScriptBuilder<'_>) {
    let count = 1 + builder.random.below(3);
    for _ in 0..count {
        let (at, proxy, duration) =
            (builder.start_time(), builder.proxy(), builder.pause(300, 5500));
        builder.step(at, Action::Suspend(proxy));
        builder.step(at + duration, Action::Resume(proxy));
    }
}

fn hang_ups(builder: &mut ScriptBuilder<'_>) {
    let mut at = builder.start_time();
    for proxy in builder.some_proxies(0.7) {
        builder.step(at, Action::HangUp(proxy));
        at += Duration::from_millis(120);
    }
}

fn stops_during_startup(builder: &mut ScriptBuilder<'_>) {
    let (at, proxy) = (builder.start_time(), builder.proxy());
    builder.step(at, Action::Kill(proxy));
    let mut next = at + Duration::from_millis(200);
    for index in 0..3 {
        builder.step(next, Action::Start(proxy));
        let soon = builder.pause(5, 400);
        let stop = if index == 1 { Action::Kill(proxy) } else { Action::Terminate(proxy) };
        builder.step(next + soon, stop);
        next += soon + Duration::from_millis(700);
    }
    builder.step(next + Duration::from_secs(3), Action::Start(proxy));
}

fn double_terminations(builder: &mut ScriptBuilder<'_>) {
    let (at, proxy) = (builder.start_time(), builder.proxy());
    let again = builder.pause(50, 2500);
    builder.step(at, Action::Terminate(proxy));
    builder.step(at + again, Action::TerminateAgain(proxy));
    builder.step(at + Duration::from_secs(5), Action::Start(proxy));
}

fn drains_in_series(builder: &mut ScriptBuilder<'_>) {
    let mut at = builder.start_time();
    let gap = builder.pause(100, 900);
    let count = 3 + builder.random.below(4);
    for _ in 0..count {
        let Some(server) = builder.server() else { return };
        let is_other_service = builder.random.chance(0.5);
        builder.step(at, Action::DrainServer(server));
        builder.step(at + DRAIN_NOTICE, Action::RemoveServer(server));
        let later = at + DRAIN_NOTICE + Duration::from_millis(600);
        builder.step(later, Action::ReuseAddress { server, is_other_service });
        at += gap;
    }
}

fn spot_notices(builder: &mut ScriptBuilder<'_>) {
    let at = builder.start_time();
    for _ in 0..2 {
        let Some(server) = builder.server() else { return };
        builder.step(at, Action::DrainServer(server));
        builder.step(at + SPOT_NOTICE, Action::RemoveServer(server));
    }
}

fn server_crashes(builder: &mut ScriptBuilder<'_>) {
    let at = builder.start_time();
    for _ in 0..2 {
        let Some(server) = builder.server() else { return };
        builder.step(at, Action::CrashServer(server));
        let down = builder.pause(300, 5000);
        builder.step(at + down, Action::RestartServer(server));
    }
}

fn server_misbehavior(builder: &mut ScriptBuilder<'_>) {
    let behaviors = [
        Behavior::Stalled,
        Behavior::DisconnectAfterExecution,
        Behavior::TruncatedResponse,
        Behavior::Overloaded,
        Behavior::ExtraResponse,
    ];
    for _ in 0..2 {
        let Some(server) = builder.server() else { return };
        let behavior = behaviors[builder.random.below(behaviors.len())];
        let (at, duration) = (builder.start_time(), builder.pause(500, 4000));
        builder.step(at, Action::SetBehavior(server, behavior));
        builder.step(at + duration, Action::SetBehavior(server, Behavior::Normal));
    }
}

fn link_faults(builder: &mut ScriptBuilder<'_>) {
    let states =
        [LinkState::Partitioned, LinkState::OutboundBlocked, LinkState::Slow, LinkState::Reset];
    for _ in 0..2 {
        let state = states[builder.random.below(states.len())];
        let (at, proxy, duration) =
            (builder.start_time(), builder.proxy(), builder.pause(300, 4000));
        builder.step(at, Action::SetLink(proxy, state));
        builder.step(at + duration, Action::SetLink(proxy, LinkState::Healthy));
    }
}

/// Faults of one core machine after the other: of its registry, its store, or both.
fn core_faults(builder: &mut ScriptBuilder<'_>) {
    let count = 1 + builder.random.below(2);
    for _ in 0..count {
        let at = builder.start_time().max(builder.core_available_at);
        let machine = builder.random.below(builder.size.cores);
        let duration = builder.pause(300, 4500);
        let daemons = match builder.random.below(3) {
            0 => vec![Daemon::Registry(machine)],
            1 => vec![Daemon::Store(machine)],
            _ => vec![Daemon::Registry(machine), Daemon::Store(machine)],
        };
        let fault = builder.random.below(5);
        for daemon in daemons {
            let (begin, end) = match fault {
                0 => (Action::Kill(daemon), Action::Start(daemon)),
                1 => (Action::Terminate(daemon), Action::Start(daemon)),
                2 => (Action::Suspend(daemon), Action::Resume(daemon)),
                3 => (
                    Action::SetLink(daemon, LinkState::Partitioned),
                    Action::SetLink(daemon, LinkState::Healthy),
                ),
                _ => (
                    Action::SetLink(daemon, LinkState::OutboundBlocked),
                    Action::SetLink(daemon, LinkState::Healthy),
                ),
            };
            builder.step(at, begin);
            builder.step(at + duration, end);
        }
        builder.core_available_at = at + duration + Duration::from_secs(4);
    }
}

fn burst_of_configurations(builder: &mut ScriptBuilder<'_>) {
    let mut at = builder.start_time();
    let gap = builder.pause(20, 300);
    for _ in 0..8 {
        builder.step(at, Action::Configure);
        at += gap;
    }
}

fn zone_drain(builder: &mut ScriptBuilder<'_>) {
    let (at, duration) = (builder.start_time(), builder.pause(500, 7000));
    let zone = builder.random.below(builder.size.zones);
    builder.step(at, Action::DrainZone(zone));
    builder.step(at + duration, Action::RestoreZone(zone));
}

fn platform_fault(builder: &mut ScriptBuilder<'_>) {
    let states = [PlatformState::Malformed, PlatformState::Empty];
    let state = states[builder.random.below(states.len())];
    let (at, duration) = (builder.start_time(), builder.pause(300, 2500));
    builder.step(at, Action::Platform(state));
    builder.step(at + duration, Action::Platform(PlatformState::Normal));
}
