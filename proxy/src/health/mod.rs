//! The health of one server as one proxy sees it: a state machine with hysteresis, slow start and
//! outlier detection as in common proxies (design 8.6). Pure.

mod outlier_detection;
mod slow_start_rate;

pub use slow_start_rate::SlowStartRate;
pub use vanepath_cluster::wire::ServerPhase;

use outlier_detection::OutlierDetection;
use std::time::Duration;
use vanepath_cluster::wire::WarmUp;

/// How a server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nobody listens at the address, or another server does: proof that the server is not there.
    Refused,
    /// A connection broke in the middle.
    ConnectionLost,
    /// A connection was neither accepted nor refused in time.
    Unreachable,
    /// No response in time on an open connection.
    NoResponse,
    /// It responded that it is not well, or its response was invalid.
    Unhealthy,
}

/// Successful probes in a row after which a suspect server gets requests again.
const HEALTHY_THRESHOLD: u32 = 2;
/// Failures in a row, other than a refused connection, after which a server is suspect.
const UNHEALTHY_THRESHOLD: u32 = 2;
/// How long a suspect server that this proxy does not probe gets no requests.
const SUSPECT_RETRY_DELAY: Duration = Duration::from_millis(1500);
/// How long a server must fail to count as having been unreachable; it then comes back with a slow
/// start.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long contact may pause; after a longer pause the server may have been away meanwhile.
const MAX_CONTACT_GAP: Duration = Duration::from_millis(2500);
/// How often the rate doubles within the period that follows the warm-up.
const RATE_DOUBLINGS: u32 = 4;
/// How long the handover of a share in a slow-start rate takes from one proxy to another.
const HANDOVER_TIME: Duration = Duration::from_secs(1);
/// By how much the clocks and probes of two proxies may differ about a server's return.
const RECOVERY_TOLERANCE: Duration = Duration::from_secs(1);

/// The health of one server.
#[derive(Clone, Debug)]
pub struct ServerHealth {
    /// The phase that the server is in.
    pub phase: ServerPhase,
    /// When the phase began.
    pub since: Duration,
    consecutive_successes: u32,
    consecutive_failures: u32,
    failing_since: Option<Duration>,
    was_unreachable: bool,
    /// Since when it is bound to its slow-start rate: while it warms up and while the rate rises,
    /// and while it is suspect if it failed during these.
    slow_start_since: Option<Duration>,
    /// Its machine itself refused a connection, which no network partition can feign.
    connection_refused: bool,
    /// When a connection was last neither accepted nor refused; `None` after a success.
    unreachable_at: Option<Duration>,
    last_success_at: Option<Duration>,
    /// Since when this proxy is in contact with it without a gap.
    contact_since: Option<Duration>,
    is_probe_requested: bool,
    /// When the slow-start rate allows the next request.
    next_request_at: Duration,
    slow_start_rate: SlowStartRate,
    /// Judged by the traffic that it gets; it is probed only while its health is uncertain.
    pub is_judged_by_traffic: bool,
    outliers: OutlierDetection,
}

impl ServerHealth {
    /// A server of which nothing is known yet.
    pub fn new(now: Duration) -> ServerHealth {
        ServerHealth {
            phase: ServerPhase::Unknown,
            since: now,
            consecutive_successes: 0,
            consecutive_failures: 0,
            failing_since: None,
            was_unreachable: false,
            slow_start_since: None,
            connection_refused: false,
            unreachable_at: None,
            last_success_at: None,
            contact_since: None,
            is_probe_requested: false,
            next_request_at: now,
            slow_start_rate: SlowStartRate::default(),
            is_judged_by_traffic: false,
            outliers: OutlierDetection::new(now),
        }
    }

    fn enter(&mut self, now: Duration, phase: ServerPhase) {
        self.phase = phase;
        self.since = now;
        match phase {
            ServerPhase::WarmingUp => {
                self.outliers.reset();
                self.next_request_at = now + self.slow_start_rate.initial_delay;
                self.slow_start_since = Some(now);
            }
            ServerPhase::Healthy => self.slow_start_since = None,
            ServerPhase::Unknown | ServerPhase::SlowStart | ServerPhase::Suspect => {}
        }
    }

    /// Starts the warm-up now and counts its time from an earlier moment.
    fn start_warm_up(&mut self, now: Duration, since: Duration) {
        self.enter(now, ServerPhase::WarmingUp);
        self.since = since;
        self.slow_start_since = Some(since);
    }

    /// Starts over with a slow start: the server was added while this proxy ran, it said so itself,
    /// or another proxy saw it come back `age` ago.
    pub fn restart_slow_start(&mut self, now: Duration, age: Duration) {
        self.start_warm_up(now, now.saturating_sub(age));
        if age > Duration::ZERO {
            // Other proxies have divided its rate among them already, and hear of this one only now.
            self.next_request_at += HANDOVER_TIME;
        }
    }

    /// Takes it for healthy, as the endpoint list says; traffic will show.
    pub fn mark_healthy(&mut self, now: Duration) {
        self.enter(now, ServerPhase::Healthy);
        self.consecutive_successes = 0;
        self.consecutive_failures = 0;
        self.failing_since = None;
        self.was_unreachable = false;
        self.connection_refused = false;
        self.unreachable_at = None;
    }

    /// Gives a suspect server that other proxies probe requests again after a while; at its
    /// slow-start rate if it was bound to that when it failed.
    pub fn retry_suspect(&mut self, now: Duration) {
        let is_too_early = now.saturating_sub(self.since) < SUSPECT_RETRY_DELAY;
        if self.phase != ServerPhase::Suspect || is_too_early {
            return;
        }
        match self.slow_start_since {
            Some(since) => self.start_warm_up(now, since),
            None => self.mark_healthy(now),
        }
    }

    /// Whether its health is uncertain, which only a probe can settle.
    pub fn needs_probe(&self) -> bool {
        self.phase == ServerPhase::Suspect
            || self.is_probe_requested
            || self.consecutive_failures > 0
    }

    /// Whether it refused a connection before it became suspect or came back.
    pub fn was_refused(&self) -> bool {
        self.connection_refused
            && matches!(self.phase, ServerPhase::Suspect | ServerPhase::WarmingUp)
    }

    /// Whether no connection to it came about after `since`, and nothing has succeeded from then on. A
    /// busy server still accepts or refuses connections: what tells it from one that is gone.
    pub fn is_unreachable_since(&self, since: Duration) -> bool {
        self.unreachable_at.is_some_and(|at| at > since)
    }

    fn is_in_contact(&self, now: Duration) -> bool {
        self.last_success_at.is_some_and(|at| now.saturating_sub(at) < MAX_CONTACT_GAP)
    }

    /// How long this proxy has been in contact with it, up to the last success; zero after a gap.
    pub fn contact_duration(&self, now: Duration) -> Duration {
        match (self.contact_since, self.last_success_at) {
            (Some(since), Some(last_success_at)) if self.is_in_contact(now) => {
                last_success_at.saturating_sub(since)
            }
            _ => Duration::ZERO,
        }
    }

    /// Takes in what the whole cluster knows: the server is unreachable, or it came back lately. What
    /// this proxy saw itself without a gap counts more.
    pub fn apply_cluster_view(
        &mut self,
        now: Duration,
        is_unreachable: bool,
        recovery: Option<&WarmUp>,
    ) {
        if is_unreachable && self.contact_duration(now) == Duration::ZERO {
            self.was_unreachable = true;
            if self.phase != ServerPhase::Suspect {
                self.consecutive_successes = 0;
                self.enter(now, ServerPhase::Suspect);
            }
        }
        let Some(recovery) = recovery else { return };
        let age = Duration::from_millis(u64::from(recovery.age_ms));
        // A refused connection is proof; this proxy's own probes may lie before and after a short
        // absence.
        let was_away =
            recovery.connection_refused || self.contact_duration(now) <= age + RECOVERY_TOLERANCE;
        if matches!(self.phase, ServerPhase::Healthy | ServerPhase::Unknown)
            && was_away
            && age < self.slow_start_rate.period
        {
            self.restart_slow_start(now, age);
        }
    }

    /// Records a probe or request that succeeded.
    pub fn record_success(&mut self, now: Duration) {
        if !self.is_in_contact(now) || self.contact_since.is_none() {
            self.contact_since = Some(now);
        }
        self.last_success_at = Some(now);
        self.unreachable_at = None;
        self.is_probe_requested = false;
        self.consecutive_failures = 0;
        self.failing_since = None;
        match self.phase {
            ServerPhase::Unknown => self.enter(now, ServerPhase::Healthy),
            ServerPhase::Suspect => self.record_suspect_success(now),
            ServerPhase::WarmingUp | ServerPhase::SlowStart | ServerPhase::Healthy => {}
        }
    }

    fn record_suspect_success(&mut self, now: Duration) {
        self.consecutive_successes += 1;
        if !self.is_judged_by_traffic && self.consecutive_successes < HEALTHY_THRESHOLD {
            return;
        }
        let phase =
            if self.was_unreachable { ServerPhase::WarmingUp } else { ServerPhase::Healthy };
        self.connection_refused &= self.was_unreachable;
        self.was_unreachable = false;
        self.enter(now, phase);
    }

    /// Records a probe or request that failed.
    pub fn record_failure(&mut self, now: Duration, failure: Failure) {
        self.consecutive_successes = 0;
        self.consecutive_failures += 1;
        self.connection_refused |= failure == Failure::Refused;
        if failure == Failure::Unreachable {
            self.unreachable_at = Some(now);
        }
        let failing_since = *self.failing_since.get_or_insert(now);
        let failing_for = now.saturating_sub(failing_since);
        if failure == Failure::Refused || failing_for >= UNREACHABLE_TIMEOUT {
            self.was_unreachable = true;
        }
        // A single slow response is no proof; a refused connection is.
        let is_proof =
            failure == Failure::Refused || self.consecutive_failures >= UNHEALTHY_THRESHOLD;
        if is_proof {
            self.contact_since = None;
        }
        if is_proof && self.phase != ServerPhase::Suspect {
            // A server that was in slow start comes back with a slow start.
            self.was_unreachable |=
                matches!(self.phase, ServerPhase::WarmingUp | ServerPhase::SlowStart);
            self.enter(now, ServerPhase::Suspect);
        }
    }

    /// A request had no response in time: no proof of anything, but a probe is due.
    pub fn request_probe(&mut self) {
        self.is_probe_requested = true;
    }

    /// Records for outlier detection whether a request that the server had was lost or served.
    pub fn record_request_result(&mut self, now: Duration, is_success: bool) {
        self.outliers.record(now, is_success);
    }

    /// Forgets the failed requests that outlier detection has counted.
    pub fn reset_outlier_detection(&mut self) {
        self.outliers.reset();
    }

    /// Whether it loses requests too often to be given any while others are there. `allows_trial`:
    /// not so once its ejection is over.
    pub fn is_degraded(&self, now: Duration, allows_trial: bool) -> bool {
        self.outliers.is_degraded(now, allows_trial)
    }

    /// Moves the phases on that end with time. `slow_start_rate` is this proxy's share by now.
    pub fn tick(&mut self, now: Duration, slow_start_rate: SlowStartRate) {
        if self.slow_start_rate.interval.is_none() && slow_start_rate.interval.is_some() {
            // The share was another proxy's, which may not know yet that it lost it.
            let handed_over_at = now + HANDOVER_TIME + slow_start_rate.initial_delay;
            self.next_request_at = self.next_request_at.max(handed_over_at);
        }
        self.slow_start_rate = slow_start_rate;
        self.outliers.tick(now);
        let period = slow_start_rate.period;
        let age = now.saturating_sub(self.since);
        match self.phase {
            ServerPhase::WarmingUp if age >= period => self.enter(now, ServerPhase::SlowStart),
            ServerPhase::SlowStart if age >= period => {
                self.connection_refused = false;
                self.enter(now, ServerPhase::Healthy);
            }
            ServerPhase::Suspect
                if self.slow_start_since.is_some_and(|since| now >= since + 2 * period) =>
            {
                self.slow_start_since = None;
            }
            _ => {}
        }
    }

    /// Whether it may be given a request, as far as its phase says.
    pub fn accepts_request(&self, now: Duration) -> bool {
        match self.phase {
            ServerPhase::WarmingUp | ServerPhase::SlowStart => {
                self.slow_start_rate.interval.is_some() && now >= self.next_request_at
            }
            ServerPhase::Healthy | ServerPhase::Unknown => true,
            ServerPhase::Suspect => false,
        }
    }

    /// When a server that is bound to its slow-start rate may get its next request from this proxy:
    /// `Duration::MAX` where this proxy has no share in the rate; `None` if it is not bound.
    pub fn next_slow_start_request_at(&self) -> Option<Duration> {
        self.slow_start_since?;
        let has_share = self.slow_start_rate.interval.is_some();
        Some(if has_share { self.next_request_at } else { Duration::MAX })
    }

    /// Counts a request against this proxy's share in the slow-start rate. After the warm-up the
    /// share doubles step by step.
    pub fn record_request(&mut self, now: Duration) {
        let Some(interval) = self.slow_start_rate.interval else { return };
        let doublings = match self.phase {
            ServerPhase::WarmingUp | ServerPhase::Suspect if self.slow_start_since.is_some() => 0,
            ServerPhase::SlowStart => {
                let age = now.saturating_sub(self.since).as_secs_f64();
                let progress = age / self.slow_start_rate.period.as_secs_f64().max(1e-3);
                (progress * f64::from(RATE_DOUBLINGS)) as u32 + 1
            }
            _ => return,
        };
        self.next_request_at = now + interval / 2_u32.pow(doublings.min(16));
    }

    /// When it wants a probe: at once (zero) if its health is uncertain, else `interval` after the
    /// last success.
    pub fn next_probe_at(&self, interval: Duration) -> Duration {
        match self.last_success_at {
            Some(last_success_at) if !self.needs_probe() => last_success_at + interval,
            _ => Duration::ZERO,
        }
    }
}

#[cfg(test)]
mod tests;
