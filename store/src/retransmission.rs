//! What a copy remembers of operators' orders, to tell one that is sent again from another one where
//! callers give no key (design 6.10). Soft: each copy notes by its own clock when it first saw a write,
//! and whether its caller surely has the receipt; no promise and no acceptance rests on it.

use crate::protocol::{Change, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A caller without a key sends an order again for at most 8 s after its first sending (docs/platform.md), and
/// half a second for the way.
pub const RETRANSMISSION_WINDOW: Duration = Duration::from_millis(8500);
/// Of these sendings none is heard of for so long at the most: each is given up after a second, and with
/// any registry to choose from three in a row reach no store.
const SILENT_WITHIN: Duration = Duration::from_secs(4);
/// Such a caller waits a second for the answer to one sending (docs/platform.md). An answer that leaves
/// the registry by then surely comes within it, so it isn't sent again.
pub const OVERTAKEN_AFTER: Duration = Duration::from_millis(800);
/// By then its registry has told that it answered, unless it died or was slow.
const TOLD_WITHIN: Duration = Duration::from_millis(450);

/// What is remembered of writes beyond those of the value goes once it is more than that.
const SEEN_LEAST: usize = 512;

/// One write among the last ones.
#[derive(Clone, Copy, Debug)]
struct Seen {
    /// When its first sending came, as far as this copy knows.
    came: Duration,
    /// When something was last heard of it.
    heard: Duration,
    /// Its caller gave a key, or has the receipt: it isn't sent again without one.
    is_sure: bool,
}

impl Seen {
    /// Its caller may send it again.
    fn is_open(&self, at: Duration) -> bool {
        !self.is_sure && at <= self.came + RETRANSMISSION_WINDOW && at <= self.heard + SILENT_WITHIN
    }
}

/// What an order is beside the ones before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    New,
    /// The one that made this revision.
    Retransmission {
        revision: u64,
        setup_revision: u64,
    },
    /// The one before may yet turn out to be answered: to be looked at again a little later.
    Undecided,
}

#[derive(Clone, Debug, Default)]
pub struct RetransmissionFilter {
    /// By the keys of the last writes.
    seen: BTreeMap<String, Seen>,
}

impl RetransmissionFilter {
    /// A value that this copy holds from now on. Of what it did not see come it knows nothing: it takes it
    /// as just come and unanswered.
    pub fn observe(&mut self, value: &Value, now: Duration) {
        for known in &value.recent_writes {
            if !self.seen.contains_key(&known.key) {
                let seen = Seen { came: now, heard: now, is_sure: false };
                self.seen.insert(known.key.clone(), seen);
            }
        }
        if self.seen.len() > 2 * value.recent_writes.len() + SEEN_LEAST {
            let keys: BTreeSet<&str> =
                value.recent_writes.iter().map(|known| known.key.as_str()).collect();
            self.seen.retain(|key, _| keys.contains(key.as_str()));
        }
    }

    /// The writes whose callers may send them again, each with its age in ms: what a promise tells beside
    /// the value, so that a proposer knows what any of a majority knows.
    pub fn unacknowledged(&self, value: &Value, now: Duration) -> Vec<(String, u32)> {
        // Not by when it was last heard of: that may have been elsewhere.
        let is_open = |seen: &&Seen| !seen.is_sure && now <= seen.came + RETRANSMISSION_WINDOW;
        let seen = |key: &String| self.seen.get(key).filter(is_open);
        let open =
            value.recent_writes.iter().filter_map(|known| Some((&known.key, seen(&known.key)?)));
        let age = |seen: &Seen| now.saturating_sub(seen.came).as_millis() as u32;
        open.map(|(key, seen)| (key.clone(), age(seen))).collect()
    }

    /// Another copy holds this value, and has only these for open.
    pub fn merge(&mut self, value: &Value, open: &[(String, u32)], now: Duration) {
        for known in &value.recent_writes {
            let age = open.iter().find(|(key, _)| *key == known.key).map(|(_, age)| *age);
            let age = age.map(|age| Duration::from_millis(u64::from(age)));
            let came = now.saturating_sub(age.unwrap_or(RETRANSMISSION_WINDOW));
            let fresh = Seen { came, heard: now, is_sure: false };
            let seen = self.seen.entry(known.key.clone()).or_insert(fresh);
            seen.came = seen.came.min(came);
            seen.is_sure |= age.is_none();
        }
    }

    /// This copy makes a value of a write.
    pub fn take(&mut self, key: &str, unnamed_since: Option<Duration>, now: Duration) {
        let came = unnamed_since.unwrap_or(now);
        let seen = Seen { came, heard: now, is_sure: unnamed_since.is_none() };
        self.seen.insert(key.to_string(), seen);
    }

    pub fn acknowledge(&mut self, value: &Value, matter: u64, revision: u64, now: Duration) {
        let is_it = |one: &&crate::protocol::IdempotencyRecord| {
            (one.content_hash, one.revision) == (matter, revision)
        };
        let known = value.recent_writes.iter().find(is_it);
        if let Some(seen) = known.and_then(|known| self.seen.get_mut(&known.key)) {
            (seen.is_sure, seen.heard) = (true, now);
        }
    }

    /// Whether a change without a caller's key is one of the last writes sent again; `since`: when its
    /// registry got it.
    pub fn judge(
        &mut self,
        value: &Value,
        change: &Change,
        unnamed_since: Option<Duration>,
        now: Duration,
    ) -> Judgement {
        let Some(since) = unnamed_since else { return Judgement::New };
        let is_in_force = match change {
            Change::ReplaceConfig { .. } => return Judgement::New,
            Change::DrainZone { zone } => value.drain_orders(zone) > 0,
            // Where none stands there is nothing to withdraw twice.
            Change::RestoreZone { .. } => true,
        };
        let matter = change.content_hash();
        for known in value.recent_writes.iter().rev().filter(|known| known.content_hash == matter) {
            let Some(seen) = self.seen.get_mut(&known.key) else { continue };
            // It was held up for so long that its caller may have sent it again, and that came first.
            let is_overtaken = now.saturating_sub(since) >= OVERTAKEN_AFTER && seen.heard >= since;
            let is_open = is_in_force && seen.is_open(since);
            if !is_overtaken && is_open && now < seen.came + TOLD_WITHIN {
                return Judgement::Undecided;
            }
            if is_overtaken || is_open {
                seen.heard = now;
                let (revision, setup_revision) = (known.revision, known.config_revision);
                return Judgement::Retransmission { revision, setup_revision };
            }
        }
        Judgement::New
    }
}
