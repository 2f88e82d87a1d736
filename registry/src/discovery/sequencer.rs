//! Sequencing of endpoint lists that the platform does not number: decides which registry reads the list
//! and when, and assigns the revision (design 4). A pure state machine: it takes the time and a cluster
//! view, and returns effects.
//!
//! Invariants:
//! - A list gets a revision above every revision that this registry knew when its read began, and is
//!   published only if no higher one has become known by the end of the read: every list known before a
//!   read began is older than what was read.
//! - No two registries, and no two incarnations of one registry, assign the same revision.
//! - A registry takes over the reading because it knows of no recent read, whichever peers it considers
//!   live.
//! - Which registry reads first follows from how long the registries' own reads took and whether they ended,
//!   and only among equals from their names.

use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::{ListReading, NodeInfo, Role};
use vanepath_config::endpoint_list::{EndpointList, Server};

/// The first registry in the order of reading begins a read this long after the beginning of its last one.
const FIRST_READ_INTERVAL: Duration = Duration::from_millis(600);
/// The second registry reads once the newest read that it knows of began this long ago, if it does not know
/// how long the reads of the first one take.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1200);
/// Otherwise the takeover delay is the first one's interval, the time of a read, and this: the time on the way
/// between two registries, twice, and a tick of each.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(350);
/// The additional takeover delay of each further registry.
const TAKEOVER_STEP: Duration = Duration::from_millis(300);
/// The minimum interval between the reads of a registry that is not the first, as a multiple of its takeover
/// delay. It keeps the registries together from overloading a platform that does not answer.
const TAKEOVER_PAUSE_FACTOR: u32 = 2;
/// A registry that others go before measures its own reads this long after its last one.
const TRIAL_INTERVAL: Duration = Duration::from_secs(60);
/// The same after a failed read; it doubles with each further failure, up to [`TRIAL_INTERVAL`].
const FAILED_TRIAL_INTERVAL: Duration = Duration::from_secs(10);
/// After this many complete reads a registry's earlier failures count as over.
const READS_TO_RECOVER: u32 = 20;
/// The pause after the platform has rejected a call because of its rate limit: its window.
const RATE_LIMIT_PAUSE: Duration = Duration::from_secs(1);
/// A registry reports another time of its reads once it differs by this factor.
const REPORT_FACTOR: u32 = 2;
/// A read that took longer is discarded: its contents may be far out of date, since the process may have
/// been suspended during the read.
pub const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// The number of low bits of a revision that hold the reader number.
const READER_BITS: u32 = 16;

/// An action for the caller to perform.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Read the complete list and report its end with [`ListSequencer::on_read_completed`].
    Read,
    /// Publish the list that was read.
    Publish {
        /// The list with its revision.
        list: Arc<EndpointList>,
        /// Start of the read: the list is at least as new as that.
        began_at: Duration,
    },
    /// The list that was read is dropped, since other nodes may know a newer one by now. The first registry
    /// reads again at once.
    Superseded,
}

/// A read that is in progress.
#[derive(Debug)]
struct PendingRead {
    began_at: Duration,
    /// The highest revision that was known when the read began.
    known_revision: u64,
    /// For how long calls of the read waited for the platform's rate limit.
    paced: Duration,
}

/// Schedules one registry's reads of the list and assigns revisions to the lists that it reads.
#[derive(Debug)]
pub struct ListSequencer {
    name: String,
    /// Distinguishes the revisions of this incarnation from those of all other readers.
    reader_number: u16,
    pending: Option<PendingRead>,
    last_began_at: Option<Duration>,
    /// The last read was dropped as superseded.
    is_superseded: bool,
    /// How well this registry reads the list, as the others are told.
    reading: Option<ListReading>,
    /// Failed reads since the earlier ones count as over.
    failures: u32,
    /// Complete reads since the last failed one.
    successes: u32,
    /// No read begins before this time.
    paused_until: Duration,
}

impl ListSequencer {
    /// A sequencer for the registry `name`. The high bits of `random` become the reader number, so that two
    /// incarnations have the same one only by chance.
    pub fn new(name: &str, random: u64) -> ListSequencer {
        ListSequencer {
            name: name.to_string(),
            reader_number: (random >> (u64::BITS - READER_BITS)) as u16,
            pending: None,
            last_began_at: None,
            is_superseded: false,
            reading: None,
            failures: 0,
            successes: 0,
            paused_until: Duration::ZERO,
        }
    }

    /// How well this registry reads the list, for the other registries; `None`: it has not read yet.
    pub fn reading(&self) -> Option<ListReading> {
        self.reading
    }

    /// Begins a read and returns [`Effect::Read`] if one is due; otherwise returns `None`.
    pub fn on_tick(&mut self, now: Duration, view: &ClusterView) -> Option<Effect> {
        if self.pending.is_some() || !self.is_due(now, view) {
            return None;
        }
        self.last_began_at = Some(now);
        self.is_superseded = false;
        self.pending = Some(PendingRead {
            began_at: now,
            known_revision: highest_known_revision(view),
            paced: Duration::ZERO,
        });
        Some(Effect::Read)
    }

    /// Records that calls of the read in progress waited this long for the platform's rate limit.
    pub fn extend_read(&mut self, paced: Duration) {
        if let Some(pending) = &mut self.pending {
            pending.paced = paced;
        }
    }

    /// Ends the read in progress, which the platform rejected because of its rate limit. That says nothing of
    /// how well this registry reads.
    pub fn on_rate_limited(&mut self, now: Duration) {
        self.pending = None;
        self.paused_until = now + RATE_LIMIT_PAUSE;
    }

    /// Ends the read in progress; `servers` is `None` if the read failed or its list is not valid. An empty
    /// list is not published.
    pub fn on_read_completed(
        &mut self,
        now: Duration,
        view: &ClusterView,
        servers: Option<Vec<Server>>,
    ) -> Option<Effect> {
        let PendingRead { began_at, known_revision, paced } = self.pending.take()?;
        let elapsed = now.saturating_sub(began_at);
        let is_late = elapsed > READ_TIMEOUT + paced;
        match servers.is_some() && !is_late {
            true => self.record_success(elapsed),
            false => self.record_failure(),
        }
        let servers = sorted_by_id(servers?);
        if servers.is_empty() {
            return None;
        }
        if highest_known_revision(view) > known_revision || is_late {
            self.is_superseded = true;
            return Some(Effect::Superseded);
        }
        let is_unchanged =
            servers == view.endpoints.servers && view.endpoints.revision == known_revision;
        let list = match is_unchanged {
            true => view.endpoints.clone(),
            false => {
                Arc::new(EndpointList { revision: self.revision_after(known_revision), servers })
            }
        };
        Some(Effect::Publish { list, began_at })
    }

    /// Records the time of a complete read. It is reported anew only if it has changed much, so that
    /// registries whose reads take about the same time do not take turns.
    fn record_success(&mut self, elapsed: Duration) {
        let elapsed_ms = elapsed.as_millis() as u32;
        let is_similar = |reported_ms: u32| {
            elapsed_ms <= reported_ms.saturating_mul(REPORT_FACTOR)
                && reported_ms <= elapsed_ms.saturating_mul(REPORT_FACTOR)
        };
        if !matches!(self.reading, Some(ListReading::Able(reported)) if is_similar(reported)) {
            self.reading = Some(ListReading::Able(elapsed_ms));
        }
        self.successes += 1;
        if self.successes >= READS_TO_RECOVER {
            self.failures = 0;
        }
    }

    /// Records a failed read: the others go before this registry until a read succeeds.
    fn record_failure(&mut self) {
        self.reading = Some(ListReading::Unable);
        self.failures += 1;
        self.successes = 0;
    }

    /// When a registry that others go before reads again to measure its reads, after its last one.
    fn trial_interval(&self) -> Duration {
        match self.failures.checked_sub(1) {
            Some(doublings) => {
                let factor = 2_u32.saturating_pow(doublings);
                FAILED_TRIAL_INTERVAL.saturating_mul(factor).min(TRIAL_INTERVAL)
            }
            None => TRIAL_INTERVAL,
        }
    }

    fn revision_after(&self, known_revision: u64) -> u64 {
        ((known_revision >> READER_BITS) + 1) << READER_BITS | u64::from(self.reader_number)
    }

    fn is_due(&self, now: Duration, view: &ClusterView) -> bool {
        let Some(last_began_at) = self.last_began_at else { return true };
        if now < self.paused_until {
            return false;
        }
        let has_elapsed = |since: Duration, delay: Duration| now >= since + delay;
        match self.rank(view) {
            0 if !view.is_isolated => {
                self.is_superseded || has_elapsed(last_began_at, FIRST_READ_INTERVAL)
            }
            rank => {
                let delay = self.takeover_delay(view, rank);
                let is_takeover_due =
                    view.endpoint_list_read_at.is_none_or(|at| has_elapsed(at, delay))
                        && has_elapsed(last_began_at, delay * TAKEOVER_PAUSE_FACTOR);
                is_takeover_due || has_elapsed(last_began_at, self.trial_interval())
            }
        }
    }

    /// How long after the beginning of the newest known read this registry takes over.
    fn takeover_delay(&self, view: &ClusterView, rank: usize) -> Duration {
        let readings = other_registries(view, &self.name).map(|(_, reading)| reading);
        let first = readings.flatten().min();
        let base = match first {
            Some(ListReading::Able(ms)) => {
                let read_time = Duration::from_millis(u64::from(ms));
                TAKEOVER_DELAY.max(FIRST_READ_INTERVAL + read_time + TAKEOVER_MARGIN)
            }
            Some(ListReading::Unable) | None => TAKEOVER_DELAY,
        };
        base + TAKEOVER_STEP * rank.saturating_sub(1) as u32
    }

    /// The position of this registry in the order of reading: the number of registries that go before it.
    fn rank(&self, view: &ClusterView) -> usize {
        let peers = other_registries(view, &self.name);
        peers.filter(|(info, reading)| self.goes_after(info, *reading)).count()
    }

    /// Whether another registry goes before this one: its reads take less time, or end at all; among equals,
    /// and where one of the two is not known, the name decides.
    fn goes_after(&self, peer: &NodeInfo, peer_reading: Option<ListReading>) -> bool {
        let by_name = peer.name < self.name;
        match (peer_reading, self.reading) {
            (Some(peer_reading), Some(reading)) if peer_reading != reading => {
                peer_reading < reading
            }
            _ => by_name,
        }
    }
}

/// The other live registries that are not draining, and how well they read the list, if that is known.
fn other_registries<'v>(
    view: &'v ClusterView,
    own_name: &'v str,
) -> impl Iterator<Item = (&'v NodeInfo, Option<ListReading>)> {
    let live = view.live.iter().filter(move |(info, status)| {
        info.role == Role::Registry && !status.draining && info.name != own_name
    });
    live.map(|(info, _)| (info, view.list_readings.get(&info.name).copied()))
}

/// The highest list revision that this registry knows of.
fn highest_known_revision(view: &ClusterView) -> u64 {
    view.highest_endpoint_list_revision.max(view.endpoints.revision)
}

/// Sorts the servers by id and removes duplicates. A server that moved from one page to the next during the
/// read is on both pages; the entry of the later page is newer and is kept.
fn sorted_by_id(mut servers: Vec<Server>) -> Vec<Server> {
    // The sort is stable: of two entries with the same id, that of the later page comes second.
    servers.sort_by(|left, right| left.id.cmp(&right.id));
    servers.dedup_by(|later, earlier| {
        let is_duplicate = later.id == earlier.id;
        if is_duplicate {
            std::mem::swap(later, earlier);
        }
        is_duplicate
    });
    servers
}

#[cfg(test)]
mod tests;
