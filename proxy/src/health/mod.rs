//! The health of one server as one proxy sees it: a state machine with hysteresis, slow start and
//! outlier detection, as in other load balancers (design 8.6). Does no I/O and reads no clock.

mod outlier_detection;
mod slow_start_rate;

pub use slow_start_rate::SlowStartRate;
pub use vanepath_cluster::wire::ServerPhase;

use outlier_detection::OutlierDetection;
use std::time::Duration;
use vanepath_cluster::wire::WarmUp;

/// How a probe or request at a server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing listens at the address, or another server does: proof that the server is not running
    /// there.
    Refused,
    /// An open connection was lost.
    ConnectionLost,
    /// Connecting timed out: the connection was neither accepted nor refused.
    Unreachable,
    /// No response arrived in time on an open connection.
    NoResponse,
    /// The server responded that it is unhealthy, or its response was invalid.
    Unhealthy,
}

/// Consecutive successful probes after which a suspect server gets requests again.
const HEALTHY_THRESHOLD: u32 = 2;
/// Consecutive failures after which a server is suspect. A refused connection suffices alone.
const UNHEALTHY_THRESHOLD: u32 = 2;
/// How long a suspect server that this proxy does not probe gets no requests before it is tried again.
const SUSPECT_RETRY_DELAY: Duration = Duration::from_millis(1500);
/// How long a server must keep failing to count as having been unreachable. It then recovers with a
/// slow start.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time between two successes that count as uninterrupted contact. In a longer gap the server
/// may have been down.
const MAX_CONTACT_GAP: Duration = Duration::from_millis(2500);
/// Number of times that the rate doubles within the period that follows the warm-up.
const RATE_DOUBLINGS: u32 = 4;
/// Time allowed for the handover of a share of a slow-start rate from one proxy to another.
const HANDOVER_TIME: Duration = Duration::from_secs(1);
/// Maximum difference between two proxies in the time at which they see a server recover, due to their
/// clocks and probe times.
const RECOVERY_TOLERANCE: Duration = Duration::from_secs(1);

/// The health of one server.
#[derive(Clone, Debug)]
pub struct ServerHealth {
    /// The current phase of the server.
    pub phase: ServerPhase,
    /// When the current phase began.
    pub since: Duration,
    consecutive_successes: u32,
    consecutive_failures: u32,
    failing_since: Option<Duration>,
    was_unreachable: bool,
    /// Since when it has been limited to its slow-start rate. The limit applies while it warms up,
    /// while the rate rises, and while it is suspect if it failed in one of these phases.
    slow_start_since: Option<Duration>,
    /// Whether its host refused a connection. Unlike a time-out, this cannot be due to a network
    /// partition.
    connection_refused: bool,
    /// When connecting last timed out; `None` after a success.
    unreachable_at: Option<Duration>,
    last_success_at: Option<Duration>,
    /// Since when this proxy has been in contact with it without a gap.
    contact_since: Option<Duration>,
    is_probe_requested: bool,
    /// When the slow-start rate allows the next request.
    next_request_at: Duration,
    slow_start_rate: SlowStartRate,
    /// Whether its health is determined by the traffic that it gets (passive health checks). It is then
    /// probed only while its health is uncertain.
    pub is_passively_checked: bool,
    /// Whether the endpoint list says that it is warming up. Its warm-up then lasts at least as long.
    is_listed_as_warming_up: bool,
    outliers: OutlierDetection,
}

impl ServerHealth {
    /// A server about which nothing is known yet.
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
            is_passively_checked: false,
            is_listed_as_warming_up: false,
            outliers: OutlierDetection::new(now),
        }
    }

    fn enter_phase(&mut self, now: Duration, phase: ServerPhase) {
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

    /// Starts the warm-up now, with its time counted from the earlier moment `since`.
    fn start_warm_up(&mut self, now: Duration, since: Duration) {
        self.enter_phase(now, ServerPhase::WarmingUp);
        self.since = since;
        self.slow_start_since = Some(since);
    }

    /// Restarts with a slow start: the server was added while this proxy was running, reported that
    /// it is warming up, or was seen by another proxy to recover `age` ago.
    pub fn restart_slow_start(&mut self, now: Duration, age: Duration) {
        self.start_warm_up(now, now.saturating_sub(age));
        if age > Duration::ZERO {
            // Other proxies have already divided its rate among themselves, and learn of this proxy
            // only now.
            self.next_request_at += HANDOVER_TIME;
        }
    }

    /// Applies what the endpoint list says of it, which is believed before its own timers: a server may turn
    /// cold again before its warm-up is over. `was_warming_up` is what the previous list said.
    pub fn apply_listed_phase(&mut self, now: Duration, is_warming_up: bool, was_warming_up: bool) {
        self.is_listed_as_warming_up = is_warming_up;
        let is_unknown = self.phase == ServerPhase::Unknown;
        let has_begun =
            was_warming_up && matches!(self.phase, ServerPhase::WarmingUp | ServerPhase::Suspect);
        if is_warming_up && !has_begun {
            self.restart_slow_start(now, Duration::ZERO);
        } else if !is_warming_up && (was_warming_up || is_unknown) {
            self.mark_healthy(now);
        }
    }

    /// Marks it as healthy without a success, because the endpoint list says so or a suspect server is
    /// tried again. Its traffic then shows whether that is right.
    pub fn mark_healthy(&mut self, now: Duration) {
        self.enter_phase(now, ServerPhase::Healthy);
        self.consecutive_successes = 0;
        self.consecutive_failures = 0;
        self.failing_since = None;
        self.was_unreachable = false;
        self.connection_refused = false;
        self.unreachable_at = None;
    }

    /// Lets a suspect server that only other proxies probe get requests again after
    /// `SUSPECT_RETRY_DELAY`, at its slow-start rate if it was limited to that when it failed.
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

    /// Whether its health is uncertain, so that a probe is needed.
    pub fn needs_probe(&self) -> bool {
        self.phase == ServerPhase::Suspect
            || self.is_probe_requested
            || self.consecutive_failures > 0
    }

    /// Whether it is suspect or warming up after it refused a connection.
    pub fn was_refused(&self) -> bool {
        self.connection_refused
            && matches!(self.phase, ServerPhase::Suspect | ServerPhase::WarmingUp)
    }

    /// Whether connecting to it timed out after `since` and nothing has succeeded after that. This
    /// distinguishes a server that is gone from a busy one, which still accepts or refuses connections.
    pub fn is_unreachable_since(&self, since: Duration) -> bool {
        self.unreachable_at.is_some_and(|at| at > since)
    }

    fn is_in_contact(&self, now: Duration) -> bool {
        self.last_success_at.is_some_and(|at| now.saturating_sub(at) < MAX_CONTACT_GAP)
    }

    /// How long this proxy had been in contact with it at the last success; zero after a gap.
    pub fn contact_duration(&self, now: Duration) -> Duration {
        match (self.contact_since, self.last_success_at) {
            (Some(since), Some(last_success_at)) if self.is_in_contact(now) => {
                last_success_at.saturating_sub(since)
            }
            _ => Duration::ZERO,
        }
    }

    /// Applies the cluster's common knowledge: the server is unreachable, or it recently recovered.
    /// This proxy's own observations take precedence if they have no gap.
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
                self.enter_phase(now, ServerPhase::Suspect);
            }
        }
        let Some(recovery) = recovery else { return };
        let age = Duration::from_millis(u64::from(recovery.age_ms));
        // A refused connection proves that the server was down, even if this proxy saw no gap: its
        // probes may lie before and after a short downtime.
        let was_down =
            recovery.connection_refused || self.contact_duration(now) <= age + RECOVERY_TOLERANCE;
        if matches!(self.phase, ServerPhase::Healthy | ServerPhase::Unknown)
            && was_down
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
            ServerPhase::Unknown => self.enter_phase(now, ServerPhase::Healthy),
            ServerPhase::Suspect => self.record_suspect_success(now),
            ServerPhase::WarmingUp | ServerPhase::SlowStart | ServerPhase::Healthy => {}
        }
    }

    fn record_suspect_success(&mut self, now: Duration) {
        self.consecutive_successes += 1;
        if !self.is_passively_checked && self.consecutive_successes < HEALTHY_THRESHOLD {
            return;
        }
        let phase =
            if self.was_unreachable { ServerPhase::WarmingUp } else { ServerPhase::Healthy };
        self.connection_refused &= self.was_unreachable;
        self.was_unreachable = false;
        self.enter_phase(now, phase);
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
        // A single slow response does not prove a failure; a refused connection does.
        let is_proof =
            failure == Failure::Refused || self.consecutive_failures >= UNHEALTHY_THRESHOLD;
        if is_proof {
            self.contact_since = None;
        }
        if is_proof && self.phase != ServerPhase::Suspect {
            // A server that was in slow start recovers with a slow start.
            self.was_unreachable |=
                matches!(self.phase, ServerPhase::WarmingUp | ServerPhase::SlowStart);
            self.enter_phase(now, ServerPhase::Suspect);
        }
    }

    /// Requests a probe, after a request had no response in time. That alone does not prove a failure.
    pub fn request_probe(&mut self) {
        self.is_probe_requested = true;
    }

    /// Records for outlier detection whether a request that the server received was served or lost.
    pub fn record_request_result(&mut self, now: Duration, is_success: bool) {
        self.outliers.record(now, is_success);
    }

    /// Resets the failure count of outlier detection.
    pub fn reset_outlier_detection(&mut self) {
        self.outliers.reset();
    }

    /// Whether it loses requests so often that it gets requests only if no other server is available.
    /// With `allows_trial`, false once its ejection is over.
    pub fn is_degraded(&self, now: Duration, allows_trial: bool) -> bool {
        self.outliers.is_degraded(now, allows_trial)
    }

    /// Ends the phases whose time is over. `slow_start_rate` is this proxy's current share.
    pub fn tick(&mut self, now: Duration, slow_start_rate: SlowStartRate) {
        if self.slow_start_rate.interval.is_none() && slow_start_rate.interval.is_some() {
            // The share belonged to another proxy, which may not know yet that it no longer has it.
            let handed_over_at = now + HANDOVER_TIME + slow_start_rate.initial_delay;
            self.next_request_at = self.next_request_at.max(handed_over_at);
        }
        self.slow_start_rate = slow_start_rate;
        self.outliers.tick(now);
        let period = slow_start_rate.period;
        let age = now.saturating_sub(self.since);
        match self.phase {
            ServerPhase::WarmingUp if age >= period && !self.is_listed_as_warming_up => {
                self.enter_phase(now, ServerPhase::SlowStart)
            }
            ServerPhase::SlowStart if age >= period => {
                self.connection_refused = false;
                self.enter_phase(now, ServerPhase::Healthy);
            }
            ServerPhase::Suspect
                if !self.is_listed_as_warming_up
                    && self.slow_start_since.is_some_and(|since| now >= since + 2 * period) =>
            {
                self.slow_start_since = None;
            }
            _ => {}
        }
    }

    /// Whether its phase allows a request now.
    pub fn accepts_request(&self, now: Duration) -> bool {
        match self.phase {
            ServerPhase::WarmingUp | ServerPhase::SlowStart => {
                self.slow_start_rate.interval.is_some() && now >= self.next_request_at
            }
            ServerPhase::Healthy | ServerPhase::Unknown => true,
            ServerPhase::Suspect => false,
        }
    }

    /// When a server that is limited to its slow-start rate may get its next request from this proxy;
    /// `Duration::MAX` if this proxy has no share of the rate, `None` if the server is not limited.
    pub fn next_slow_start_request_at(&self) -> Option<Duration> {
        self.slow_start_since?;
        let has_share = self.slow_start_rate.interval.is_some();
        Some(if has_share { self.next_request_at } else { Duration::MAX })
    }

    /// Counts a request against this proxy's share of the slow-start rate. After the warm-up the share
    /// doubles `RATE_DOUBLINGS` times.
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

    /// When the next probe is due: at once (zero) if its health is uncertain, otherwise `interval` after
    /// the last success.
    pub fn next_probe_at(&self, interval: Duration) -> Duration {
        match self.last_success_at {
            Some(last_success_at) if !self.needs_probe() => last_success_at + interval,
            _ => Duration::ZERO,
        }
    }
}

#[cfg(test)]
mod tests;
