//! Scripts of soak tests: overlapping series of faults and planned operations, generated from a seed.

pub mod evacuations;

use crate::sim::Random;
use crate::stub::Behavior;
use std::time::Duration;

/// One action on the fleet. Daemons are identified by their index among those of the same role, servers and
/// zones by their index among all.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send SIGTERM.
    Terminate(Daemon),
    /// Send a second SIGTERM during the shutdown.
    TerminateAgain(Daemon),
    /// Send SIGKILL.
    Kill(Daemon),
    /// Start the daemon again as soon as it has ended.
    Start(Daemon),
    /// Send SIGSTOP.
    Suspend(Daemon),
    /// Send SIGCONT.
    Resume(Daemon),
    /// Send SIGHUP.
    HangUp(Daemon),
    /// Set the state of the links to the daemon.
    SetLink(Daemon, LinkState),
    /// Mark the server as draining in the endpoint list.
    DrainServer(usize),
    /// Stop the server and remove it from the endpoint list.
    RemoveServer(usize),
    /// Start a new server at the address of a removed one and list it at once.
    ReuseAddress {
        /// The removed server.
        server: usize,
        /// Whether the new server belongs to the other service.
        is_other_service: bool,
    },
    /// Stop the server without notice; it stays in the endpoint list.
    CrashServer(usize),
    /// Restart a crashed server.
    RestartServer(usize),
    /// Set the behavior of a server.
    SetBehavior(usize, Behavior),
    /// Remove the data of a daemon that is down. Only stores have any.
    WipeDisk(Daemon),
    /// Have the operator send the next configuration.
    Configure,
    /// Have the operator drain a zone.
    DrainZone(usize),
    /// Have the operator restore a drained zone.
    RestoreZone(usize),
    /// Set the response of the platform.
    Platform(PlatformState),
}

/// A daemon, identified by its role and its index within the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Daemon {
    /// A proxy.
    Proxy(usize),
    /// A registry.
    Registry(usize),
    /// A store.
    Store(usize),
}

/// State of the links to a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// All data passes.
    Healthy,
    /// No data passes in either direction.
    Partitioned,
    /// No data passes from the daemon to its peers.
    OutboundBlocked,
    /// All data passes with a delay.
    Slow,
    /// All connections are closed once.
    Reset,
}

/// Response of the platform to requests for the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformState {
    /// The endpoint list.
    Normal,
    /// A text that is no endpoint list.
    Malformed,
    /// An empty endpoint list.
    Empty,
}

/// An action and the time at which it is due.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When it is due, relative to the start of the script.
    pub at: Duration,
    /// The action.
    pub action: Action,
}

/// The size of the fleet for which a script is generated.
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

/// The series from which scripts are composed.
const SERIES: [fn(&mut ScriptBuilder<'_>); 15] = [
    rolling_restart,
    restart_beside_slow_servers,
    simultaneous_kills,
    suspensions,
    hang_ups,
    stops_during_startup,
    double_terminations,
    drains_in_series,
    spot_terminations,
    server_crashes,
    server_misbehavior,
    link_faults,
    core_faults,
    burst_of_configurations,
    zone_drain,
];
const PLATFORM_FAULT_PROBABILITY: f64 = 0.4;
/// Time from the start of a server's drain to its removal: slightly longer than the drain time-out.
const DRAIN_NOTICE: Duration = Duration::from_millis(5500);
/// Time from the start of a server's drain to its removal if the cloud provider reclaims its machine.
const SPOT_NOTICE: Duration = Duration::from_millis(1500);

/// Builds a script. The order of the random draws determines the script of a seed, so it must not change.
struct ScriptBuilder<'r> {
    random: &'r mut Random,
    size: Size,
    /// Series begin between `earliest` and `latest`.
    earliest: Duration,
    latest: Duration,
    steps: Vec<Step>,
    /// Servers that already have a fault: each server is drained, crashes or misbehaves at most once.
    used_servers: Vec<usize>,
    /// When the next fault of a core machine may begin: only one core machine has a fault at a time.
    core_available_at: Duration,
}

impl ScriptBuilder<'_> {
    fn step(&mut self, at: Duration, action: Action) {
        self.steps.push(Step { at, action });
    }

    /// Draws the start time of a series.
    fn start_time(&mut self) -> Duration {
        self.random.between(self.earliest, self.latest)
    }

    fn pause(&mut self, low_ms: u64, high_ms: u64) -> Duration {
        self.random.between(Duration::from_millis(low_ms), Duration::from_millis(high_ms))
    }

    fn random_proxy(&mut self) -> Daemon {
        Daemon::Proxy(self.random.below(self.size.proxies))
    }

    /// Draws a server that was not used yet; `None` if a third or fewer of all servers are unused.
    fn unused_server(&mut self) -> Option<usize> {
        let unused: Vec<usize> =
            (0..self.size.servers).filter(|server| !self.used_servers.contains(server)).collect();
        if unused.len() <= self.size.servers / 3 {
            return None;
        }
        let server = unused[self.random.below(unused.len())];
        self.used_servers.push(server);
        Some(server)
    }

    /// Draws proxies with consecutive indices, as many as this share of all.
    fn consecutive_proxies(&mut self, share: f64) -> Vec<Daemon> {
        let count = ((self.size.proxies as f64 * share) as usize).max(1);
        let first = self.random.below(self.size.proxies);
        (0..count).map(|offset| Daemon::Proxy((first + offset) % self.size.proxies)).collect()
    }
}

/// Generates the script of a seed, ordered by time.
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
        // The step (4) and the number of series (15) have no common factor, so no series occurs twice in a
        // script, whatever the seed.
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
    for proxy in builder.consecutive_proxies(0.5) {
        builder.step(at, Action::Terminate(proxy));
        let downtime = builder.pause(300, 4000);
        builder.step(at + downtime, Action::Start(proxy));
        at += gap;
    }
}

/// Proxies are restarted while some servers respond slowly and another one rejects the requests that
/// proxies send to it instead.
fn restart_beside_slow_servers(builder: &mut ScriptBuilder<'_>) {
    let at = builder.start_time();
    let duration = builder.pause(3000, 5000);
    for behavior in [Behavior::Slow, Behavior::Slow, Behavior::Slow, Behavior::Overloaded] {
        let Some(server) = builder.unused_server() else { break };
        builder.step(at, Action::SetBehavior(server, behavior));
        builder.step(at + duration, Action::SetBehavior(server, Behavior::Normal));
    }
    let mut stop_at = at + Duration::from_millis(600);
    for proxy in builder.consecutive_proxies(0.6) {
        builder.step(stop_at, Action::Terminate(proxy));
        let downtime = builder.pause(300, 2000);
        builder.step(stop_at + downtime, Action::Start(proxy));
        stop_at += Duration::from_millis(300);
    }
}

fn simultaneous_kills(builder: &mut ScriptBuilder<'_>) {
    let at = builder.start_time();
    for proxy in builder.consecutive_proxies(0.4) {
        builder.step(at, Action::Kill(proxy));
        let downtime = builder.pause(100, 2500);
        builder.step(at + downtime, Action::Start(proxy));
    }
}

fn suspensions(builder: &mut ScriptBuilder<'_>) {
    let count = 1 + builder.random.below(3);
    for _ in 0..count {
        let (at, proxy, duration) =
            (builder.start_time(), builder.random_proxy(), builder.pause(300, 5500));
        builder.step(at, Action::Suspend(proxy));
        builder.step(at + duration, Action::Resume(proxy));
    }
}

fn hang_ups(builder: &mut ScriptBuilder<'_>) {
    let mut at = builder.start_time();
    for proxy in builder.consecutive_proxies(0.7) {
        builder.step(at, Action::HangUp(proxy));
        at += Duration::from_millis(120);
    }
}

fn stops_during_startup(builder: &mut ScriptBuilder<'_>) {
    let (at, proxy) = (builder.start_time(), builder.random_proxy());
    builder.step(at, Action::Kill(proxy));
    let mut start_at = at + Duration::from_millis(200);
    for index in 0..3 {
        builder.step(start_at, Action::Start(proxy));
        let stop_delay = builder.pause(5, 400);
        let stop = if index == 1 { Action::Kill(proxy) } else { Action::Terminate(proxy) };
        builder.step(start_at + stop_delay, stop);
        start_at += stop_delay + Duration::from_millis(700);
    }
    builder.step(start_at + Duration::from_secs(3), Action::Start(proxy));
}

fn double_terminations(builder: &mut ScriptBuilder<'_>) {
    let (at, proxy) = (builder.start_time(), builder.random_proxy());
    let second_delay = builder.pause(50, 2500);
    builder.step(at, Action::Terminate(proxy));
    builder.step(at + second_delay, Action::TerminateAgain(proxy));
    builder.step(at + Duration::from_secs(5), Action::Start(proxy));
}

fn drains_in_series(builder: &mut ScriptBuilder<'_>) {
    let mut at = builder.start_time();
    let gap = builder.pause(100, 900);
    let count = 3 + builder.random.below(4);
    for _ in 0..count {
        let Some(server) = builder.unused_server() else { return };
        let is_other_service = builder.random.chance(0.5);
        builder.step(at, Action::DrainServer(server));
        builder.step(at + DRAIN_NOTICE, Action::RemoveServer(server));
        let later = at + DRAIN_NOTICE + Duration::from_millis(600);
        builder.step(later, Action::ReuseAddress { server, is_other_service });
        at += gap;
    }
}

fn spot_terminations(builder: &mut ScriptBuilder<'_>) {
    let at = builder.start_time();
    for _ in 0..2 {
        let Some(server) = builder.unused_server() else { return };
        builder.step(at, Action::DrainServer(server));
        builder.step(at + SPOT_NOTICE, Action::RemoveServer(server));
    }
}

fn server_crashes(builder: &mut ScriptBuilder<'_>) {
    let at = builder.start_time();
    for _ in 0..2 {
        let Some(server) = builder.unused_server() else { return };
        builder.step(at, Action::CrashServer(server));
        let downtime = builder.pause(300, 5000);
        builder.step(at + downtime, Action::RestartServer(server));
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
        let Some(server) = builder.unused_server() else { return };
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
            (builder.start_time(), builder.random_proxy(), builder.pause(300, 4000));
        builder.step(at, Action::SetLink(proxy, state));
        builder.step(at + duration, Action::SetLink(proxy, LinkState::Healthy));
    }
}

/// Faults of core machines, one after the other; each affects the registry, the store, or both.
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
    // The zone is drained anew at once.
    let again_at = at + duration + builder.pause(50, 300);
    let again_duration = builder.pause(500, 7000);
    builder.step(again_at, Action::DrainZone(zone));
    builder.step(again_at + again_duration, Action::RestoreZone(zone));
}

fn platform_fault(builder: &mut ScriptBuilder<'_>) {
    let states = [PlatformState::Malformed, PlatformState::Empty];
    let state = states[builder.random.below(states.len())];
    let (at, duration) = (builder.start_time(), builder.pause(300, 2500));
    builder.step(at, Action::Platform(state));
    builder.step(at + duration, Action::Platform(PlatformState::Normal));
}
