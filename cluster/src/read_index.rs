//! The floor: what a daemon that started must have before it goes by any word, so that no life of it
//! goes by an older one than an earlier life did (design 5.8). A pure state machine for one life.

use std::net::SocketAddr;
use std::time::Duration;

/// A store that has not replied for so long is not waited for alone: the next one is asked too.
pub const NEXT_STORE_DELAY: Duration = Duration::from_millis(300);
/// After a store that could not tell.
const AGAIN_AFTER: Duration = Duration::from_millis(100);
/// A reply is waited for so long.
pub const READ_INDEX_TIMEOUT: Duration = Duration::from_millis(1500);
/// Where no majority of stores could be asked for so long, siblings are believed.
pub const PEER_READ_INDEX_DELAY: Duration = Duration::from_secs(2);

/// Who waits longer cannot help itself and sends its callers elsewhere, if anyone else takes work. Sooner
/// would be dearer than to wait: a caller that is turned away comes here first with its next request
/// as well, until its directory knows.
const STUCK_AFTER: Duration = Duration::from_millis(2300);
const _: () = assert!(STUCK_AFTER.as_millis() > PEER_READ_INDEX_DELAY.as_millis());
const _: () = assert!(STUCK_AFTER.as_millis() < crate::gossip::READINESS_TIMEOUT.as_millis());

#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ReadIndexSource {
    /// A store asked a majority of them after this life began.
    #[strum(serialize = "majority")]
    Quorum,
    /// Siblings, while no majority of stores could be asked.
    #[strum(serialize = "witnesses")]
    Peers,
}

/// What this life began with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EstablishedReadIndex {
    pub revision: u64,
    pub source: ReadIndexSource,
    /// Who told the floor.
    pub from: String,
    pub waited: Duration,
}

pub struct ReadIndex {
    began_at: Duration,
    /// Witnesses count from here: the start, or the last freeze before the floor was met.
    awake_since: Duration,
    /// By a majority of stores, and which store said so.
    majority: Option<(u64, String)>,
    /// The highest that siblings told as in force anywhere, and who did.
    told: Option<(u64, String)>,
    met: Option<EstablishedReadIndex>,
    next_at: Duration,
    turn: usize,
    /// Stores are known of and were asked, since the start or the last freeze.
    has_asked: bool,
}

impl ReadIndex {
    pub fn new(now: Duration) -> ReadIndex {
        ReadIndex {
            began_at: now,
            awake_since: now,
            majority: None,
            told: None,
            met: None,
            next_at: now,
            turn: 0,
            has_asked: false,
        }
    }

    pub fn established(&self) -> Option<&EstablishedReadIndex> {
        self.met.as_ref()
    }

    /// What has to be reached before this life goes by a word, as far as it is known.
    pub fn required(&self) -> Option<u64> {
        let told = self.majority.as_ref().or(self.told.as_ref());
        told.map(|(revision, _)| *revision)
    }

    /// Neither stores nor witnesses helped in their time.
    pub fn is_stalled(&self, now: Duration) -> bool {
        self.met.is_none() && now.saturating_sub(self.awake_since) > STUCK_AFTER
    }

    /// A store that has a seat needs no longer to find the floor by itself.
    pub fn has_just_started(&self, now: Duration) -> bool {
        now.saturating_sub(self.began_at) < PEER_READ_INDEX_DELAY / 2
    }

    /// Which stores to ask now, of those that may be asked, in the order in which they propose. As soon as
    /// any is known of, the one that proposes and the nearest: one can settle what is half done, the other
    /// is the sooner to reply.
    pub fn next_stores(
        &mut self,
        now: Duration,
        stores: &[SocketAddr],
        nearest: Option<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let is_first = !self.has_asked;
        let waits = !is_first && now < self.next_at;
        if self.met.is_some() || self.majority.is_some() || waits || stores.is_empty() {
            return Vec::new();
        }
        self.has_asked = true;
        self.next_at = now + NEXT_STORE_DELAY;
        self.turn += 1;
        let next = stores[(self.turn - 1) % stores.len()];
        let beside = nearest.filter(|nearest| is_first && *nearest != next);
        std::iter::once(next).chain(beside).collect()
    }

    /// A store replied to what was asked in this life; `None`: it could not tell.
    pub fn on_store_reply(&mut self, now: Duration, from: &str, revision: Option<u64>) {
        match revision {
            // The first one holds: whatever was in force before this life is in it.
            Some(revision) if self.majority.is_none() => {
                self.majority = Some((revision, from.to_string()));
            }
            Some(_) => {}
            None => self.next_at = self.next_at.min(now + AGAIN_AFTER),
        }
    }

    /// A sibling replied in this life; `revision`: the highest that it knows as in force with anyone.
    pub fn on_peer_reply(&mut self, from: &str, revision: u64) {
        if self.told.as_ref().is_none_or(|(told, _)| revision > *told) {
            self.told = Some((revision, from.to_string()));
        }
    }

    /// It stood still: who was heard before that is no witness of now.
    pub fn restart_wait(&mut self, now: Duration) {
        self.awake_since = now;
        self.has_asked = false;
    }

    /// True when the floor is met just now. `is_whole`: enough daemons are heard of to be witnesses.
    pub fn check(&mut self, now: Duration, revision: u64, is_whole: bool) -> bool {
        if self.met.is_some() {
            return false;
        }
        let has_waited = now.saturating_sub(self.awake_since) > PEER_READ_INDEX_DELAY;
        let (by, told) = match (&self.majority, &self.told) {
            (Some(told), _) => (ReadIndexSource::Quorum, told),
            (None, Some(told)) if has_waited && is_whole => (ReadIndexSource::Peers, told),
            _ => return false,
        };
        if revision < told.0 {
            return false;
        }
        let waited = now.saturating_sub(self.began_at);
        self.met = Some(EstablishedReadIndex {
            revision: told.0,
            source: by,
            from: told.1.clone(),
            waited,
        });
        true
    }
}
