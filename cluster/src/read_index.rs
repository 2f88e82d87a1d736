//! The read index at start-up: the revision that a node must reach before it applies any configuration, so
//! that after a restart it never applies an older configuration than before (design 5.8).
//!
//! This follows the read index of Raft (Ongaro, "Consensus: Bridging Theory and Practice", section 6.4):
//! before a node serves reads, it learns the highest committed revision from a quorum, in a round that
//! begins after the request, and waits until its own state has reached that revision. If no quorum can be
//! reached within [`PEER_READ_INDEX_DELAY`], the highest revision that peers report is used instead.
//!
//! [`ReadIndex`] is a state machine without I/O, for one incarnation of a node.

use crate::gossip::READINESS_TIMEOUT;
use std::net::SocketAddr;
use std::time::Duration;

/// A store that has not replied within this time: the next one is asked as well.
pub const NEXT_STORE_DELAY: Duration = Duration::from_millis(300);
/// The delay before the next request after a store could not determine the read index.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The timeout of a request for the read index.
pub const READ_INDEX_TIMEOUT: Duration = Duration::from_millis(1500);
/// After this long without an answer from a quorum of stores, the reports of peers are used.
pub const PEER_READ_INDEX_DELAY: Duration = Duration::from_secs(2);
/// A proxy without a read index for this long rejects requests so that clients use another proxy, if any
/// other proxy accepts requests. A shorter timeout costs more than waiting: a rejected client returns to
/// this proxy with each further request until its steering reply is renewed.
const STALL_TIMEOUT: Duration = Duration::from_millis(2300);
const _: () = assert!(STALL_TIMEOUT.as_millis() > PEER_READ_INDEX_DELAY.as_millis());
const _: () = assert!(STALL_TIMEOUT.as_millis() < READINESS_TIMEOUT.as_millis());

/// Where the revision of an established read index came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ReadIndexSource {
    /// A store that queried a majority of the stores after this incarnation started.
    #[strum(serialize = "majority")]
    Quorum,
    /// The reports of peers, while no majority of stores could be reached.
    #[strum(serialize = "witnesses")]
    Peers,
}

/// The read index of an incarnation whose configuration has reached it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EstablishedReadIndex {
    /// The read index: the revision that had to be reached.
    pub revision: u64,
    /// Where the revision came from.
    pub source: ReadIndexSource,
    /// The name of the node that reported the revision.
    pub reporter: String,
    /// The time from the start until the configuration reached the read index.
    pub wait_time: Duration,
}

/// A revision and the name of the node that reported it.
struct ReportedRevision {
    revision: u64,
    reporter: String,
}

/// The read index of one incarnation. Once established, it stays so until the process ends.
pub struct ReadIndex {
    started_at: Duration,
    /// The start of the wait after which peers' reports are used: the start of the process, or the end of the
    /// last pause before the read index was established.
    waiting_since: Duration,
    /// The highest revision that a majority of stores held, from the first store that could determine it.
    from_quorum: Option<ReportedRevision>,
    /// The highest revision that peers reported as active anywhere.
    from_peers: Option<ReportedRevision>,
    established: Option<EstablishedReadIndex>,
    next_request_at: Duration,
    request_count: usize,
    /// Whether any store was asked since the start or the last pause.
    has_requested: bool,
}

impl ReadIndex {
    /// The read index of an incarnation that starts at `now`.
    pub fn new(now: Duration) -> ReadIndex {
        ReadIndex {
            started_at: now,
            waiting_since: now,
            from_quorum: None,
            from_peers: None,
            established: None,
            next_request_at: now,
            request_count: 0,
            has_requested: false,
        }
    }

    /// The read index if the configuration has reached it; `None`: this incarnation applies no configuration
    /// yet.
    pub fn established(&self) -> Option<&EstablishedReadIndex> {
        self.established.as_ref()
    }

    /// The revision to be reached by what was reported so far; `None`: nothing was reported yet.
    pub fn required(&self) -> Option<u64> {
        let reported = self.from_quorum.as_ref().or(self.from_peers.as_ref());
        reported.map(|reported| reported.revision)
    }

    /// Whether the read index was established neither by stores nor by peers within `STALL_TIMEOUT`.
    pub fn is_stalled(&self, now: Duration) -> bool {
        self.established.is_none() && now.saturating_sub(self.waiting_since) > STALL_TIMEOUT
    }

    /// Whether the incarnation started so recently that a store may still establish its read index by
    /// querying the other stores itself.
    pub fn has_just_started(&self, now: Duration) -> bool {
        now.saturating_sub(self.started_at) < PEER_READ_INDEX_DELAY / 2
    }

    /// The stores to ask now. `stores` is in the order of precedence as proposers. The first request goes to
    /// two stores: the current proposer, which can complete a partially accepted proposal, and the nearest
    /// one, which replies sooner.
    pub fn next_stores(
        &mut self,
        now: Duration,
        stores: &[SocketAddr],
        nearest: Option<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let is_first = !self.has_requested;
        let is_waiting = !is_first && now < self.next_request_at;
        let is_determined = self.established.is_some() || self.from_quorum.is_some();
        if is_determined || is_waiting || stores.is_empty() {
            return Vec::new();
        }
        self.has_requested = true;
        self.next_request_at = now + NEXT_STORE_DELAY;
        self.request_count += 1;
        let next_store = stores[(self.request_count - 1) % stores.len()];
        let nearest_store = nearest.filter(|nearest| is_first && *nearest != next_store);
        std::iter::once(next_store).chain(nearest_store).collect()
    }

    /// Handles a store's reply to a request of this incarnation. `revision` is the highest revision that a
    /// majority of stores holds; `None`: the store could not determine it.
    pub fn on_store_reply(&mut self, now: Duration, store: &str, revision: Option<u64>) {
        match revision {
            // The first reply suffices: it is at least any revision that was active before this incarnation.
            Some(revision) if self.from_quorum.is_none() => {
                self.from_quorum = Some(ReportedRevision { revision, reporter: store.to_string() });
            }
            Some(_) => {}
            None => self.next_request_at = self.next_request_at.min(now + RETRY_DELAY),
        }
    }

    /// Handles a peer's reply to a pull of this incarnation. `revision` is the highest revision that the
    /// peer knows to be active on any node.
    pub fn on_peer_reply(&mut self, peer: &str, revision: u64) {
        if self.from_peers.as_ref().is_none_or(|highest| revision > highest.revision) {
            self.from_peers = Some(ReportedRevision { revision, reporter: peer.to_string() });
        }
    }

    /// Handles a pause of the process: the wait for peers' reports restarts, and stores are asked again.
    pub fn restart_wait(&mut self, now: Duration) {
        self.waiting_since = now;
        self.has_requested = false;
    }

    /// Establishes the read index if the known configuration, of `revision`, has reached it. Returns whether
    /// this call established it. `has_enough_peers`: enough peers are reachable for their reports to be used.
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
            reporter: required.reporter.clone(),
            wait_time: now.saturating_sub(self.started_at),
        });
        true
    }
}
