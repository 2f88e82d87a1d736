//! What happens during a soak: series of troubles and of planned work that overlap, drawn from a seed.

use crate::sim::Random;
use std::time::Duration;

/// One thing done to the fleet. Daemons are named by their place among those of their role, servers by theirs
/// among all, and both wrap round.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Terminate(Daemon),
    /// A second SIGTERM while it stops.
    TerminateAgain(Daemon),
    Kill(Daemon),
    Start(Daemon),
    Freeze(Daemon),
    Wake(Daemon),
    HangUp(Daemon),
    Link(Daemon, LinkState),
    /// The list shows the server as leaving.
    Leave(usize),
    /// It ends, and the list does not show it any more.
    End(usize),
    /// A new server at the address, listed at once; of the other service if so said.
    Reuse {
        server: usize,
        is_other_service: bool,
    },
    Crash(usize),
    Restart(usize),
    Behave(usize, Manner),
    /// The operator sends the next configuration.
    Configure,
    Empty(usize),
    Return(usize),
    Platform(PlatformState),
}

/// A daemon by its role and its place among those of the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Daemon {
    Proxy(usize),
    Registry(usize),
    Store(usize),
}

/// How the links towards a daemon are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    Whole,
    Cut,
    Mute,
    Slow,
    Reset,
}

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    Good,
    Stuck,
    RunAndLose,
    Truncate,
    Busy,
    Surplus,
}

/// How the platform answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformState {
    Good,
    Malformed,
    Empty,
}

/// An action and when it is due, from the start of the soak.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at: Duration,
    pub action: Action,
}

/// The size of the fleet that the script is for.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub proxies: usize,
    pub cores: usize,
    pub servers: usize,
    pub zones: usize,
}

/// The series that are drawn from.
const SERIES: [fn(&mut Draw<'_>); 14] = [
    rolling_restart,
    herd_of_kills,
    freezes,
    hang_ups,
    stops_during_start,
    double_terminations,
    leaving_in_series,
    spot_notices,
    crashes,
    misbehaviour,
    proxy_links,
    core_machine,
    storm_of_changes,
    evacuation,
];
const PLATFORM_TROUBLE_PART: f64 = 0.4;
/// From the notice to the end of a server that leaves: the bound and a little more.
const NOTICE: Duration = Duration::from_millis(5500);
const SPOT_NOTICE: Duration = Duration::from_millis(1500);

struct Draw<'d> {
    random: &'d mut Random,
    size: Size,
    begins: Duration,
    ends: Duration,
    steps: Vec<Step>,
    /// Servers that were used already: each leaves or crashes once.
    used: Vec<usize>,
    /// When the last trouble of a core machine is over: one at a time.
    core_free_at: Duration,
}

impl Draw<'_> {
    fn step(&mut self, at: Duration, action: Action) {
        self.steps.push(Step { at, action });
    }

    fn moment(&mut self) -> Duration {
        let (begins, ends) = (self.begins, self.ends);
        self.random.between(begins, ends)
    }

    fn pause(&mut self, low_ms: u64, high_ms: u64) -> Duration {
        self.random.between(Duration::from_millis(low_ms), Duration::from_millis(high_ms))
    }

    fn proxy(&mut self) -> Daemon {
        Daemon::Proxy(self.random.below(self.size.proxies))
    }

    /// A server that nothing was done to yet.
    fn server(&mut self) -> Option<usize> {
        let free: Vec<usize> =
            (0..self.size.servers).filter(|server| !self.used.contains(server)).collect();
        if free.len() <= self.size.servers / 3 {
            return None;
        }
        let server = free[self.random.below(free.len())];
        self.used.push(server);
        Some(server)
    }

    fn some_proxies(&mut self, part: f64) -> Vec<Daemon> {
        let count = ((self.size.proxies as f64 * part) as usize).max(1);
        let first = self.random.below(self.size.proxies);
        (0..count).map(|offset| Daemon::Proxy((first + offset) % self.size.proxies)).collect()
    }
}

/// The script of a seed, in the order of time.
pub fn draw(seed: u64, size: Size, length: Duration) -> Vec<Step> {
    let mut random = Random::new(seed);
    let begins = Duration::from_millis(500);
    let ends = length.mul_f64(0.75).max(begins + Duration::from_secs(1));
    let mut draw = Draw {
        random: &mut random,
        size,
        begins,
        ends,
        steps: Vec::new(),
        used: Vec::new(),
        core_free_at: begins,
    };
    let count = 5 + draw.random.below(5);
    let first = draw.random.below(SERIES.len());
    for turn in 0..count {
        // Every series comes up before any does again, whatever the seed.
        SERIES[(first + seed as usize + 5 * turn) % SERIES.len()](&mut draw);
    }
    if draw.random.chance(PLATFORM_TROUBLE_PART) {
        platform_trouble(&mut draw);
    }
    let mut steps = draw.steps;
    steps.retain(|step| step.at < length);
    steps.sort_by_key(|step| step.at);
    steps
}

fn rolling_restart(draw: &mut Draw<'_>) {
    let mut at = draw.moment();
    let gap = draw.pause(100, 900);
    for proxy in draw.some_proxies(0.5) {
        draw.step(at, Action::Terminate(proxy));
        let down = draw.pause(300, 4000);
        draw.step(at + down, Action::Start(proxy));
        at += gap;
    }
}

fn herd_of_kills(draw: &mut Draw<'_>) {
    let at = draw.moment();
    for proxy in draw.some_proxies(0.4) {
        draw.step(at, Action::Kill(proxy));
        let down = draw.pause(100, 2500);
        draw.step(at + down, Action::Start(proxy));
    }
}

fn freezes(draw: &mut Draw<'_>) {
    let count = 1 + draw.random.below(3);
    for _ in 0..count {
        let (at, proxy, stands) = (draw.moment(), draw.proxy(), draw.pause(300, 5500));
        draw.step(at, Action::Freeze(proxy));
        draw.step(at + stands, Action::Wake(proxy));
    }
}

fn hang_ups(draw: &mut Draw<'_>) {
    let mut at = draw.moment();
    for proxy in draw.some_proxies(0.7) {
        draw.step(at, Action::HangUp(proxy));
        at += Duration::from_millis(120);
    }
}

fn stops_during_start(draw: &mut Draw<'_>) {
    let (at, proxy) = (draw.moment(), draw.proxy());
    draw.step(at, Action::Kill(proxy));
    let mut next = at + Duration::from_millis(200);
    for turn in 0..3 {
        draw.step(next, Action::Start(proxy));
        let soon = draw.pause(5, 400);
        let stop = if turn == 1 { Action::Kill(proxy) } else { Action::Terminate(proxy) };
        draw.step(next + soon, stop);
        next += soon + Duration::from_millis(700);
    }
    draw.step(next + Duration::from_secs(3), Action::Start(proxy));
}

fn double_terminations(draw: &mut Draw<'_>) {
    let (at, proxy) = (draw.moment(), draw.proxy());
    let again = draw.pause(50, 2500);
    draw.step(at, Action::Terminate(proxy));
    draw.step(at + again, Action::TerminateAgain(proxy));
    draw.step(at + Duration::from_secs(5), Action::Start(proxy));
}

fn leaving_in_series(draw: &mut Draw<'_>) {
    let mut at = draw.moment();
    let gap = draw.pause(100, 900);
    let count = 3 + draw.random.below(4);
    for _ in 0..count {
        let Some(server) = draw.server() else { return };
        let is_other_service = draw.random.chance(0.5);
        draw.step(at, Action::Leave(server));
        draw.step(at + NOTICE, Action::End(server));
        let later = at + NOTICE + Duration::from_millis(600);
        draw.step(later, Action::Reuse { server, is_other_service });
        at += gap;
    }
}

fn spot_notices(draw: &mut Draw<'_>) {
    let at = draw.moment();
    for _ in 0..2 {
        let Some(server) = draw.server() else { return };
        draw.step(at, Action::Leave(server));
        draw.step(at + SPOT_NOTICE, Action::End(server));
    }
}

fn crashes(draw: &mut Draw<'_>) {
    let at = draw.moment();
    for _ in 0..2 {
        let Some(server) = draw.server() else { return };
        draw.step(at, Action::Crash(server));
        let down = draw.pause(300, 5000);
        draw.step(at + down, Action::Restart(server));
    }
}

fn misbehaviour(draw: &mut Draw<'_>) {
    let manners =
        [Manner::Stuck, Manner::RunAndLose, Manner::Truncate, Manner::Busy, Manner::Surplus];
    for _ in 0..2 {
        let Some(server) = draw.server() else { return };
        let manner = manners[draw.random.below(manners.len())];
        let (at, lasts) = (draw.moment(), draw.pause(500, 4000));
        draw.step(at, Action::Behave(server, manner));
        draw.step(at + lasts, Action::Behave(server, Manner::Good));
    }
}

fn proxy_links(draw: &mut Draw<'_>) {
    let states = [LinkState::Cut, LinkState::Mute, LinkState::Slow, LinkState::Reset];
    for _ in 0..2 {
        let state = states[draw.random.below(states.len())];
        let (at, proxy, lasts) = (draw.moment(), draw.proxy(), draw.pause(300, 4000));
        draw.step(at, Action::Link(proxy, state));
        draw.step(at + lasts, Action::Link(proxy, LinkState::Whole));
    }
}

/// One core machine after the other: its registry, its store, or both.
fn core_machine(draw: &mut Draw<'_>) {
    let count = 1 + draw.random.below(2);
    for _ in 0..count {
        let at = draw.moment().max(draw.core_free_at);
        let seat = draw.random.below(draw.size.cores);
        let lasts = draw.pause(300, 4500);
        let daemons = match draw.random.below(3) {
            0 => vec![Daemon::Registry(seat)],
            1 => vec![Daemon::Store(seat)],
            _ => vec![Daemon::Registry(seat), Daemon::Store(seat)],
        };
        let what = draw.random.below(5);
        for daemon in daemons {
            let (begin, end) = match what {
                0 => (Action::Kill(daemon), Action::Start(daemon)),
                1 => (Action::Terminate(daemon), Action::Start(daemon)),
                2 => (Action::Freeze(daemon), Action::Wake(daemon)),
                3 => (Action::Link(daemon, LinkState::Cut), Action::Link(daemon, LinkState::Whole)),
                _ => {
                    (Action::Link(daemon, LinkState::Mute), Action::Link(daemon, LinkState::Whole))
                }
            };
            draw.step(at, begin);
            draw.step(at + lasts, end);
        }
        draw.core_free_at = at + lasts + Duration::from_secs(4);
    }
}

fn storm_of_changes(draw: &mut Draw<'_>) {
    let mut at = draw.moment();
    let gap = draw.pause(20, 300);
    for _ in 0..8 {
        draw.step(at, Action::Configure);
        at += gap;
    }
}

fn evacuation(draw: &mut Draw<'_>) {
    let (at, lasts) = (draw.moment(), draw.pause(500, 7000));
    let zone = draw.random.below(draw.size.zones);
    draw.step(at, Action::Empty(zone));
    draw.step(at + lasts, Action::Return(zone));
}

fn platform_trouble(draw: &mut Draw<'_>) {
    let states = [PlatformState::Malformed, PlatformState::Empty];
    let state = states[draw.random.below(states.len())];
    let (at, lasts) = (draw.moment(), draw.pause(300, 2500));
    draw.step(at, Action::Platform(state));
    draw.step(at + lasts, Action::Platform(PlatformState::Good));
}
