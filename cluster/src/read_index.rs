//! The read index at start-up: the revision that a node has to reach before it applies any configuration,
//! so that no incarnation of it applies an older one than an earlier incarnation did (design 5.8).
//!
//! The idea is the read index of Raft (Ongaro, "Consensus: Bridging Theory and Practice", section 6.4):
//! before it serves reads a node learns the highest committed revision from a quorum, in a round that
//! begins after the question, and waits until its own state has reached it. Where no quorum can be asked,
//! the highest revision that peers report stands in for it after a while.
//!
//! [`ReadIndex`] is a pure state machine for one incarnation of a node.

use crate::gossip::READINESS_TIMEOUT;
use std::net::SocketAddr;
use std::time::Duration;

/// When a store has not replied for this long, the next one is asked as well.
pub const NEXT_STORE_DELAY: Duration = Duration::from_millis(300);
/// The pause after a store that could not determine the read index.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long the shell waits for a store's reply.
pub const READ_INDEX_TIMEOUT: Duration = Duration::from_millis(1500);
/// When no quorum of stores could be asked for this long, the reports of peers count.
pub const PEER_READ_INDEX_DELAY: Duration = Duration::from_secs(2);
/// A proxy without a read index for this long sends its clients elsewhere, if any other proxy takes work.
/// To do so sooner would cost more than to wait: a client that is rejected comes back here with its next
/// request, until its steering reply is renewed.
const STALL_TIMEOUT: Duration = Duration::from_millis(2300);
const _: () = assert!(STALL_TIMEOUT.as_millis() > PEER_READ_INDEX_DELAY.as_millis());
const _: () = assert!(STALL_TIMEOUT.as_millis() < READINESS_TIMEOUT.as_millis());

/// Who reported the revision of an established read index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ReadIndexSource {
    /// A store that asked a majority of the stores after this incarnation began.
    #[strum(serialize = "majority")]
    Quorum,
    /// Peers, while no majority of stores could be asked.
    #[strum(serialize = "witnesses")]
    Peers,
}

/// The read index of an incarnation, once its configuration has reached it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EstablishedReadIndex {
    /// The revision that had to be reached.
    pub revision: u64,
    /// Who reported it.
    pub source: ReadIndexSource,
    /// The name of the node that reported the revision.
    pub from: String,
    /// How long it took since the start.
    pub waited: Duration,
}

/// A revision and the name of the node that reported it.
struct ReportedRevision {
    revision: u64,
    from: String,
}

/// The read index of one incarnation: required, and then established for good.
pub struct ReadIndex {
    started_at: Duration,
    /// Peers' reports count from here: the start, or the last pause before the read index was established.
    waiting_since: Duration,
    /// What a majority of stores held, by the first store that could determine it.
    from_quorum: Option<ReportedRevision>,
    /// The highest revision that peers reported as active anywhere.
    from_peers: Option<ReportedRevision>,
    established: Option<EstablishedReadIndex>,
    next_request_at: Duration,
    request_turn: usize,
    /// Any store was asked since the start or the last pause.
    has_requested: bool,
}

impl ReadIndex {
    /// For an incarnation that starts now.
    pub fn new(now: Duration) -> ReadIndex {
        ReadIndex {
            started_at: now,
            waiting_since: now,
            from_quorum: None,
            from_peers: None,
            established: None,
            next_request_at: now,
            request_turn: 0,
            has_requested: false,
        }
    }

    /// `None`: this incarnation applies no configuration yet.
    pub fn established(&self) -> Option<&EstablishedReadIndex> {
        self.established.as_ref()
    }

    /// The revision that has to be reached, as far as it is known.
    pub fn required(&self) -> Option<u64> {
        let reported = self.from_quorum.as_ref().or(self.from_peers.as_ref());
        reported.map(|reported| reported.revision)
    }

    /// Neither stores nor peers helped in time.
    pub fn is_stalled(&self, now: Duration) -> bool {
        self.established.is_none() && now.saturating_sub(self.waiting_since) > STALL_TIMEOUT
    }

    /// The incarnation is so young that a store may still establish the read index by itself.
    pub fn has_just_started(&self, now: Duration) -> bool {
        now.saturating_sub(self.started_at) < PEER_READ_INDEX_DELAY / 2
    }

    /// The stores to ask now, out of `stores` in the order in which they propose. The first request goes to
    /// two of them, the one that proposes and the nearest: one can complete what is half accepted, the
    /// other replies sooner.
    pub fn next_stores(
        &mut self,
        now: Duration,
        stores: &[SocketAddr],
        nearest: Option<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let is_first = !self.has_requested;
        let is_waiting = !is_first && now < self.next_request_at;
        let is_known = self.established.is_some() || self.from_quorum.is_some();
        if is_known || is_waiting || stores.is_empty() {
            return Vec::new();
        }
        self.has_requested = true;
        self.next_request_at = now + NEXT_STORE_DELAY;
        self.request_turn += 1;
        let next = stores[(self.request_turn - 1) % stores.len()];
        let second = nearest.filter(|nearest| is_first && *nearest != next);
        std::iter::once(next).chain(second).collect()
    }

    /// A store replied to a request of this incarnation; `revision`: the highest that a majority of stores
    /// holds, `None` where it could not determine that.
    pub fn on_store_reply(&mut self, now: Duration, from: &str, revision: Option<u64>) {
        match revision {
            // The first one is enough: it covers whatever was active before this incarnation.
            Some(revision) if self.from_quorum.is_none() => {
                self.from_quorum = Some(ReportedRevision { revision, from: from.to_string() });
            }
            Some(_) => {}
            None => self.next_request_at = self.next_request_at.min(now + RETRY_DELAY),
        }
    }

    /// A peer replied in this incarnation; `revision`: the highest that it knows as active anywhere.
    pub fn on_peer_reply(&mut self, from: &str, revision: u64) {
        if self.from_peers.as_ref().is_none_or(|highest| revision > highest.revision) {
            self.from_peers = Some(ReportedRevision { revision, from: from.to_string() });
        }
    }

    /// The process was paused: the time that peers' reports have to wait begins again.
    pub fn restart_wait(&mut self, now: Duration) {
        self.waiting_since = now;
        self.has_requested = false;
    }

    /// Establishes the read index if the configuration known here, of `revision`, has reached it; true if
    /// that happened now. `has_enough_peers`: so many peers are in contact that their reports count.
    pub fn check(&mut self, now: Duration, revision: u64, has_enough_peers: bool) -> bool {
        if self.established.is_some() {
            return false;
        }
        let has_waited = now.saturating_sub(self.waiting_since) > PEER_READ_INDEX_DELAY;
        let (source, required) = match (&self.from_quorum, &self.from_peers) {
            (Some(reported), _) => (ReadIndexSource::Quorum, reported),
            (None, Some(reported)) if has_waited && has_enough_peers => {
                (ReadIndexSource::Peers, reported)
            }
            _ => return false,
        };
        if revision < required.revision {
            return false;
        }
        self.established = Some(EstablishedReadIndex {
            revision: required.revision,
            source,
            from: required.from.clone(),
            waited: now.saturating_sub(self.started_at),
        });
        true
    }
}
