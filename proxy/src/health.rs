//! One server as one proxy sees it: a state machine with hysteresis (design 8.6). Pure.

use std::time::Duration;

pub use vanepath_cluster::wire::ServerPhase;

/// How a server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nobody listens at the address, or somebody else does: proof that it is away.
    Refused,
    /// A connection broke in the middle.
    Broken,
    /// No reply in time.
    Silent,
    /// It replied that it is not well, or replied nonsense.
    Unwell,
}

/// Good probes in a row before a suspect gets work again.
const GOOD_NEEDED: u32 = 2;
/// A suspect that this proxy does not probe rests so long.
const RETRY_AFTER: Duration = Duration::from_millis(1500);
/// Silent for so long, it counts as having been away and comes back cold.
const AWAY_AFTER: Duration = Duration::from_secs(3);
/// Longer without a sign, and it may have been away meanwhile.
const GAP: Duration = Duration::from_millis(2500);
/// While ramping the rate doubles so many times within one more cold period.
const DOUBLINGS: u32 = 4;

/// A server that is well by its probes and yet loses its work limps: each miss counts so much, each
/// good receipt one less, so that from a quarter of misses on the sum grows.
const STRIKE: u32 = 3;
const LIMPS_FROM: u32 = 7;
const STRIKES_MOST: u32 = 12;
/// It rests so long after a miss; then it is tried with one lookup at a time.
const REST: Duration = Duration::from_secs(3);
/// Nothing was tried for so long: it is taken for well again.
const FORGIVEN_AFTER: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
pub struct ServerHealth {
    pub phase: ServerPhase,
    /// When the phase began.
    pub since: Duration,
    good: u32,
    bad: u32,
    bad_since: Option<Duration>,
    was_away: bool,
    /// Since when it is bound to its modest rate: while cold and ramping, and while it is a suspect that was
    /// so when it failed.
    cold_since: Option<Duration>,
    /// Its machine itself said that it is not there: no cut can feign that.
    refused: bool,
    last_good_at: Option<Duration>,
    /// Since when it was heard of again and again without a gap.
    steady_since: Option<Duration>,
    is_doubted: bool,
    /// When the next request may go under the cold rate.
    next_cold_at: Duration,
    cold: SlowStartRate,
    /// Judged by the traffic that it gets; a probe only settles a doubt.
    pub by_traffic: bool,
    strikes: u32,
    limps: bool,
    rests_until: Duration,
}

/// A part in a cold server's rate passes from one proxy to another in so long.
const HANDOVER: Duration = Duration::from_secs(1);
/// Two requests sent a second apart may arrive that much closer.
const JITTER: Duration = Duration::from_millis(60);

/// This proxy's part in a cold server's modest rate. The rate is divided among a few proxies by whole
/// requests a second, so that no second, wherever it begins, holds more than the rate; the others
/// send it nothing while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRate {
    /// One request each so long; `None`: no part.
    pub every: Option<Duration>,
    /// When the first may go.
    pub turn: Duration,
    pub period: Duration,
}

impl SlowStartRate {
    /// Of so many proxies this one is at this rank for that server.
    pub fn of(per_second: f64, period: Duration, rank: usize, proxies: usize) -> SlowStartRate {
        let whole = per_second.floor() as usize;
        if whole == 0 {
            // Less than one a second: one proxy alone has it all.
            let every = (per_second > 0.0).then(|| Duration::from_secs_f64(1.0 / per_second));
            let every = every.filter(|_| rank == 0);
            return SlowStartRate { every, turn: every.unwrap_or_default(), period };
        }
        // As many as lose the least of it to whole numbers, and of equal ones the most.
        let parts = 1..=proxies.clamp(1, whole);
        let parts = parts.max_by_key(|parts| (whole / parts * parts, *parts)).unwrap_or(1);
        let every = (Duration::from_secs(1) + JITTER) / (whole / parts) as u32;
        let turn = every.mul_f64((rank + 1) as f64 / parts as f64);
        SlowStartRate { every: (rank < parts).then_some(every), turn, period }
    }
}

impl Default for SlowStartRate {
    fn default() -> SlowStartRate {
        SlowStartRate::of(1.0, Duration::from_secs(10), 0, 1)
    }
}

impl ServerHealth {
    pub fn new(now: Duration) -> ServerHealth {
        ServerHealth {
            phase: ServerPhase::Unknown,
            since: now,
            good: 0,
            bad: 0,
            bad_since: None,
            was_away: false,
            cold_since: None,
            refused: false,
            last_good_at: None,
            steady_since: None,
            is_doubted: false,
            next_cold_at: now,
            cold: SlowStartRate::default(),
            by_traffic: false,
            strikes: 0,
            limps: false,
            rests_until: now,
        }
    }

    fn enter(&mut self, now: Duration, phase: ServerPhase) {
        self.phase = phase;
        self.since = now;
        match phase {
            ServerPhase::WarmingUp => {
                self.reset_outlier_detection();
                self.next_cold_at = now + self.cold.turn;
                self.cold_since = Some(now);
            }
            ServerPhase::Healthy => self.cold_since = None,
            ServerPhase::Unknown | ServerPhase::SlowStart | ServerPhase::Suspect => {}
        }
    }

    /// Cold from now on, reckoned from an earlier moment.
    fn cool(&mut self, now: Duration, since: Duration) {
        self.enter(now, ServerPhase::WarmingUp);
        self.since = since;
        self.cold_since = Some(since);
    }

    /// Starts over as cold: it came into the fleet while this proxy watched, it said so itself,
    /// or another proxy saw it come back `age` ago.
    pub fn restart_slow_start(&mut self, now: Duration, age: Duration) {
        self.cool(now, now.saturating_sub(age));
        if age > Duration::ZERO {
            // Others have divided its rate among them already, and hear of this one only now.
            self.next_cold_at += HANDOVER;
        }
    }

    /// Taken for well on the platform's word; traffic will tell.
    pub fn trust(&mut self, now: Duration) {
        self.enter(now, ServerPhase::Healthy);
        self.good = 0;
        self.bad = 0;
        self.bad_since = None;
        self.was_away = false;
        self.refused = false;
    }

    /// A suspect that others probe is tried again after a rest; if it was cold when it failed, as a cold one.
    pub fn retry(&mut self, now: Duration) {
        if self.phase != ServerPhase::Suspect || now.saturating_sub(self.since) < RETRY_AFTER {
            return;
        }
        let Some(cold_since) = self.cold_since else { return self.trust(now) };
        self.cool(now, cold_since);
    }

    /// Something speaks against it that only a probe can settle.
    pub fn is_in_doubt(&self) -> bool {
        self.phase == ServerPhase::Suspect || self.is_doubted || self.bad > 0
    }

    pub fn was_refused(&self) -> bool {
        self.refused && matches!(self.phase, ServerPhase::Suspect | ServerPhase::WarmingUp)
    }

    /// How long this proxy has been in touch with it, from sign to sign; zero after a gap.
    pub fn steady(&self, now: Duration) -> Duration {
        let last_good_at = self.last_good_at.filter(|at| now.saturating_sub(*at) < GAP);
        match (self.steady_since, last_good_at) {
            (Some(since), Some(last_good_at)) => last_good_at.saturating_sub(since),
            _ => Duration::ZERO,
        }
    }

    /// The fleet cannot reach it, or saw it come back so long ago. What this proxy saw itself, all
    /// the time since before, stands above that.
    pub fn hear(&mut self, now: Duration, is_away: bool, back_for: Option<(Duration, bool)>) {
        if is_away && self.steady(now) == Duration::ZERO {
            self.was_away = true;
            if self.phase != ServerPhase::Suspect {
                self.good = 0;
                self.enter(now, ServerPhase::Suspect);
            }
        }
        // A refusal is proof; this proxy's own probes may lie to both sides of a short absence.
        if let Some((age, refused)) = back_for
            && matches!(self.phase, ServerPhase::Healthy | ServerPhase::Unknown)
            && (refused || self.steady(now) <= age + Duration::from_secs(1))
            && age < self.cold.period
        {
            self.restart_slow_start(now, age);
        }
    }

    pub fn good(&mut self, now: Duration) {
        let is_in_touch = self.last_good_at.is_some_and(|at| now.saturating_sub(at) < GAP);
        if !is_in_touch || self.steady_since.is_none() {
            self.steady_since = Some(now);
        }
        self.last_good_at = Some(now);
        self.is_doubted = false;
        self.bad = 0;
        self.bad_since = None;
        match self.phase {
            ServerPhase::Unknown => self.enter(now, ServerPhase::Healthy),
            ServerPhase::Suspect => {
                self.good += 1;
                if self.by_traffic || self.good >= GOOD_NEEDED {
                    let phase =
                        if self.was_away { ServerPhase::WarmingUp } else { ServerPhase::Healthy };
                    self.refused &= self.was_away;
                    self.was_away = false;
                    self.enter(now, phase);
                }
            }
            _ => {}
        }
    }

    pub fn bad(&mut self, now: Duration, failure: Failure) {
        self.good = 0;
        self.bad += 1;
        self.refused |= failure == Failure::Refused;
        let bad_since = *self.bad_since.get_or_insert(now);
        if failure == Failure::Refused || now.saturating_sub(bad_since) >= AWAY_AFTER {
            self.was_away = true;
        }
        // One slow reply is no proof; nobody at the address is.
        let is_proof = failure == Failure::Refused || self.bad >= 2;
        if is_proof {
            self.steady_since = None;
        }
        if is_proof && self.phase != ServerPhase::Suspect {
            // Whoever was cold already comes back cold.
            self.was_away |= matches!(self.phase, ServerPhase::WarmingUp | ServerPhase::SlowStart);
            self.enter(now, ServerPhase::Suspect);
        }
    }

    /// Its misses are forgotten.
    pub fn reset_outlier_detection(&mut self) {
        self.strikes = 0;
        self.limps = false;
    }

    /// A request that it had in hand was lost, or came back whole.
    pub fn worked(&mut self, now: Duration, is_good: bool) {
        if is_good {
            self.strikes = self.strikes.saturating_sub(1);
            self.limps &= self.strikes > 0;
        } else {
            self.strikes = (self.strikes + STRIKE).min(STRIKES_MOST);
            self.limps |= self.strikes >= LIMPS_FROM;
            self.rests_until = now + REST;
        }
    }

    /// Loses its work too often to be given any while others are there; with `may_try`, not if it has
    /// rested.
    pub fn is_degraded(&self, now: Duration, may_try: bool) -> bool {
        self.limps && !(may_try && now >= self.rests_until)
    }

    /// A request was not replied to in its time: no proof of anything, but a probe is due.
    pub fn doubt(&mut self) {
        self.is_doubted = true;
    }

    pub fn pulse(&mut self, now: Duration, cold: SlowStartRate) {
        if self.cold.every.is_none() && cold.every.is_some() {
            // A part that was another's: whoever had it may not know yet.
            self.next_cold_at = self.next_cold_at.max(now + HANDOVER + cold.turn);
        }
        self.cold = cold;
        if self.limps && now >= self.rests_until + FORGIVEN_AFTER {
            self.reset_outlier_detection();
        }
        let age = now.saturating_sub(self.since);
        match self.phase {
            ServerPhase::WarmingUp if age >= cold.period => self.enter(now, ServerPhase::SlowStart),
            ServerPhase::SlowStart if age >= cold.period => {
                self.refused = false;
                self.enter(now, ServerPhase::Healthy);
            }
            ServerPhase::Suspect
                if self.cold_since.is_some_and(|since| now >= since + 2 * cold.period) =>
            {
                self.cold_since = None;
            }
            _ => {}
        }
    }

    pub fn may_take(&self, now: Duration) -> bool {
        match self.phase {
            ServerPhase::WarmingUp | ServerPhase::SlowStart => {
                self.cold.every.is_some() && now >= self.next_cold_at
            }
            ServerPhase::Healthy | ServerPhase::Unknown => true,
            ServerPhase::Suspect => false,
        }
    }

    /// When a server that is bound to its modest rate may get its next request from here; never where this
    /// proxy has no part.
    pub fn next_at(&self) -> Option<Duration> {
        self.cold_since.is_some().then_some(if self.cold.every.is_some() {
            self.next_cold_at
        } else {
            Duration::MAX
        })
    }

    /// Counts a request against the cold rate, of which this proxy has its part. While ramping the
    /// part doubles step by step.
    pub fn take(&mut self, now: Duration) {
        let Some(every) = self.cold.every else { return };
        let doublings = match self.phase {
            ServerPhase::WarmingUp | ServerPhase::Suspect if self.cold_since.is_some() => 0,
            ServerPhase::SlowStart => {
                let age = now.saturating_sub(self.since).as_secs_f64();
                let part = age / self.cold.period.as_secs_f64().max(1e-3);
                (part * f64::from(DOUBLINGS)) as u32 + 1
            }
            _ => return,
        };
        self.next_cold_at = now + every / 2_u32.pow(doublings.min(16));
    }

    /// When it wants a probe: soon if it is in doubt, seldom if traffic just proved it well.
    pub fn probe_at(&self, every: Duration) -> Duration {
        match (self.phase, self.last_good_at) {
            (ServerPhase::Suspect, _) => Duration::ZERO,
            _ if self.is_doubted || self.bad > 0 => Duration::ZERO,
            (_, Some(last_good_at)) => last_good_at + every,
            (_, None) => Duration::ZERO,
        }
    }
}

#[cfg(test)]
mod tests;
