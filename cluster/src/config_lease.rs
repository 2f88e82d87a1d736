//! The lease on the committed configuration: until when a node may rely on its configuration being the newest
//! one (design 5.9).
//!
//! A store reads the committed revision from a quorum, in a round that begins at a time T by its monotonic
//! clock. If the round shows revision R, nothing newer than R was committed before T. A node with that
//! configuration holds a lease from T on. The confirmation travels with the gossip, as the time that has
//! elapsed since T; each hop adds only durations that it measured itself, and assumes the longest transit that
//! is possible, so that no node takes the lease for younger than it is.
//!
//! This follows the leases of Gray and Cheriton ("Leases: An Efficient Fault-Tolerant Mechanism for Distributed
//! File Cache Consistency", 1989). It assumes that monotonic clocks run at about the same rate.

use crate::wire::RevisionConfirmation;
use std::time::Duration;

/// A quorum read: nothing newer than this revision was committed when the read began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Confirmation {
    revision: u64,
    /// When the read began, on this node's clock.
    began_at: Duration,
}

/// What a node knows of the quorum reads of the committed revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigLease {
    /// When the latest read began that showed nothing newer than this node's configuration.
    confirmed_at: Option<Duration>,
    /// The latest read that showed a newer configuration than this node's.
    ahead: Option<Confirmation>,
    /// The highest revision that is known to be committed.
    highest_revision: u64,
}

impl ConfigLease {
    /// Records a read that began at `began_at`. `own_revision` is that of this node's configuration.
    pub fn record_read(&mut self, own_revision: u64, revision: u64, began_at: Duration) {
        self.observe_revision(revision);
        if revision <= own_revision {
            self.confirmed_at = self.confirmed_at.max(Some(began_at));
        } else if self.ahead.is_none_or(|ahead| began_at > ahead.began_at) {
            self.ahead = Some(Confirmation { revision, began_at });
        }
    }

    /// Records that this revision is known to be committed.
    pub fn observe_revision(&mut self, revision: u64) {
        self.highest_revision = self.highest_revision.max(revision);
    }

    /// Takes over a read that showed a newer configuration than this node's, once the node has that one.
    pub fn on_config_applied(&mut self, own_revision: u64) {
        self.observe_revision(own_revision);
        if let Some(ahead) = self.ahead.take_if(|ahead| ahead.revision <= own_revision) {
            self.confirmed_at = self.confirmed_at.max(Some(ahead.began_at));
        }
    }

    /// When the latest read began that showed nothing newer than this node's configuration.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Whether a newer configuration than this node's is known to exist.
    pub fn is_behind(&self, own_revision: u64) -> bool {
        self.highest_revision > own_revision
    }

    /// The latest read, for a peer whose pull was received at `received_at`.
    pub fn confirmation_for(
        &self,
        own_revision: u64,
        received_at: Duration,
    ) -> Option<RevisionConfirmation> {
        let own =
            self.confirmed_at.map(|began_at| Confirmation { revision: own_revision, began_at });
        let latest = own.into_iter().chain(self.ahead).max_by_key(|read| read.began_at)?;
        Some(RevisionConfirmation {
            revision: latest.revision,
            age_ms: elapsed_ms(latest.began_at, received_at),
        })
    }
}

/// The time from `from` to `to` in milliseconds, rounded up; negative if `to` is earlier.
fn elapsed_ms(from: Duration, to: Duration) -> i64 {
    let nanoseconds = to.as_nanos() as i128 - from.as_nanos() as i128;
    -(-nanoseconds).div_euclid(1_000_000) as i64
}

impl RevisionConfirmation {
    /// When the read began, on the clock of the node that sent its pull at `sent_at`; the beginning of that
    /// clock if it was earlier. The peer received the pull at some time after `sent_at`, so the read began no
    /// earlier than this.
    pub fn began_at(&self, sent_at: Duration) -> Duration {
        let offset = Duration::from_millis(self.age_ms.unsigned_abs());
        if self.age_ms >= 0 { sent_at.saturating_sub(offset) } else { sent_at + offset }
    }
}

/// A snapshot of the lease, as it is published to the tasks of a program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigLeaseView {
    /// The revision of the configuration document to which the lease applies.
    pub config_revision: u64,
    /// When the latest read began that confirmed it, on this node's clock.
    pub confirmed_at: Option<Duration>,
    /// Whether a newer configuration is known to exist.
    pub is_behind: bool,
}

impl ConfigLeaseView {
    /// Whether the configuration with this document revision may be relied on at `now`, under a lease of this
    /// duration.
    pub fn is_valid(&self, config_revision: u64, now: Duration, lease: Duration) -> bool {
        self.config_revision == config_revision
            && self.confirmed_at.is_some_and(|at| now.saturating_sub(at) < lease)
    }
}

#[cfg(test)]
mod tests;
