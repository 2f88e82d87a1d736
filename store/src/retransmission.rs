//! Recognizes drain orders that a client without idempotency keys retransmits (design 6.10). This is soft
//! state: each replica records, by its own clock, when it first saw a write, and whether the client has
//! received the response. No promise or acceptance depends on it.

use crate::protocol::{Change, UnacknowledgedWrite};
use crate::value::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time after its receipt in which an order may be retransmitted: a client without keys retransmits for at
/// most 8 s after first sending the order (docs/platform.md); half a second is added for transit.
const RETRANSMISSION_WINDOW: Duration = Duration::from_millis(8500);
/// Longest gap between two retransmissions that reach a store. A client abandons each attempt after 1 s and
/// may send the next one to any registry, so that up to three attempts in a row may reach no store.
const MAX_RETRANSMISSION_GAP: Duration = Duration::from_secs(4);
/// Time, counted from the receipt of an order by a registry, within which the response has to leave the
/// registry. The client waits 1 s for a response (docs/platform.md), so that a response sent within this time
/// arrives before the client retransmits the order.
pub const RESPONSE_DEADLINE: Duration = Duration::from_millis(800);
/// Time after the receipt of an order by which its registry has acknowledged it, unless the registry died or
/// was slow.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(450);

/// Number of entries, beyond twice the number of the value's recent writes, above which the entries of older
/// writes are removed.
const PRUNE_SLACK: usize = 512;

/// What this replica has observed of one recent write.
#[derive(Clone, Copy, Debug)]
struct ObservedWrite {
    /// When the write was first received, as far as this replica knows.
    received_at: Duration,
    /// When the write was last received or acknowledged.
    last_heard_at: Duration,
    /// Whether the client gave a key or has received the response, so that it will not retransmit the write
    /// without a key.
    is_acknowledged: bool,
}

impl ObservedWrite {
    /// Whether the client may still retransmit the write at this time.
    fn may_be_retransmitted(&self, at: Duration) -> bool {
        !self.is_acknowledged
            && at <= self.received_at + RETRANSMISSION_WINDOW
            && at <= self.last_heard_at + MAX_RETRANSMISSION_GAP
    }
}

/// How a change relates to the recent writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Classification {
    /// A new change.
    New,
    /// A retransmission of the change that made this revision.
    Retransmission {
        /// The revision.
        revision: u64,
        /// The configuration revision at that revision.
        config_revision: u64,
    },
    /// An earlier order with the same content may still be acknowledged; the change is to be classified again
    /// shortly.
    Undecided,
}

/// The recent writes as observed by one replica.
#[derive(Clone, Debug, Default)]
pub struct RetransmissionFilter {
    /// Observed writes by idempotency key.
    writes: BTreeMap<String, ObservedWrite>,
}

impl RetransmissionFilter {
    /// Registers the recent writes of a value that this replica has just loaded or accepted. Those that it
    /// did not observe before count as received just now and unacknowledged.
    pub fn observe(&mut self, value: &Value, now: Duration) {
        for record in &value.recent_writes {
            if !self.writes.contains_key(&record.key) {
                let write =
                    ObservedWrite { received_at: now, last_heard_at: now, is_acknowledged: false };
                self.writes.insert(record.key.clone(), write);
            }
        }
        if self.writes.len() > 2 * value.recent_writes.len() + PRUNE_SLACK {
            let keys: BTreeSet<&str> =
                value.recent_writes.iter().map(|record| record.key.as_str()).collect();
            self.writes.retain(|key, _| keys.contains(key.as_str()));
        }
    }

    /// The writes that their clients may retransmit. A promise carries them along with the value, so that a
    /// proposer learns what any replica of a majority knows.
    pub fn unacknowledged(&self, value: &Value, now: Duration) -> Vec<UnacknowledgedWrite> {
        // `last_heard_at` is not considered: another replica may have heard of the write later.
        let may_be_retransmitted = |write: &&ObservedWrite| {
            !write.is_acknowledged && now <= write.received_at + RETRANSMISSION_WINDOW
        };
        let unacknowledged_write = |key: &String| self.writes.get(key).filter(may_be_retransmitted);
        let age_ms =
            |write: &ObservedWrite| now.saturating_sub(write.received_at).as_millis() as u32;
        let records = value.recent_writes.iter();
        let unacknowledged =
            records.filter_map(|record| Some((&record.key, unacknowledged_write(&record.key)?)));
        unacknowledged
            .map(|(key, write)| UnacknowledgedWrite { key: key.clone(), age_ms: age_ms(write) })
            .collect()
    }

    /// Merges the unacknowledged writes reported by another replica that holds this value. The value's other
    /// writes count as acknowledged.
    pub fn merge(&mut self, value: &Value, unacknowledged: &[UnacknowledgedWrite], now: Duration) {
        for record in &value.recent_writes {
            let entry = unacknowledged.iter().find(|write| write.key == record.key);
            let age = entry.map(|write| Duration::from_millis(u64::from(write.age_ms)));
            let received_at = now.saturating_sub(age.unwrap_or(RETRANSMISSION_WINDOW));
            let initial = ObservedWrite { received_at, last_heard_at: now, is_acknowledged: false };
            let write = self.writes.entry(record.key.clone()).or_insert(initial);
            write.received_at = write.received_at.min(received_at);
            write.is_acknowledged |= age.is_none();
        }
    }

    /// Records a write for which this replica has created a version. `keyless_since`: when the registry
    /// received the change, if its client gave no key.
    pub fn record(&mut self, key: &str, keyless_since: Option<Duration>, now: Duration) {
        let write = ObservedWrite {
            received_at: keyless_since.unwrap_or(now),
            last_heard_at: now,
            is_acknowledged: keyless_since.is_none(),
        };
        self.writes.insert(key.to_string(), write);
    }

    /// Records that the client of a write has received its response.
    pub fn acknowledge(&mut self, value: &Value, content_hash: u64, revision: u64, now: Duration) {
        let mut records = value.recent_writes.iter();
        let record = records
            .find(|record| record.content_hash == content_hash && record.revision == revision);
        if let Some(write) = record.and_then(|record| self.writes.get_mut(&record.key)) {
            (write.is_acknowledged, write.last_heard_at) = (true, now);
        }
    }

    /// Determines whether a change without a client-given key is a retransmission of one of the recent
    /// writes. `keyless_since`: when its registry received it; `None`: the client gave a key.
    pub fn classify(
        &mut self,
        value: &Value,
        change: &Change,
        keyless_since: Option<Duration>,
        now: Duration,
    ) -> Classification {
        let Some(registry_received_at) = keyless_since else { return Classification::New };
        let is_in_force = match change {
            Change::ReplaceConfig { .. } => return Classification::New,
            Change::DrainZone { zone } => value.drain_orders(zone) > 0,
            // Needs no check: without a drain order in force, a repeated withdrawal changes nothing.
            Change::RestoreZone { .. } => true,
        };
        let content_hash = change.content_hash();
        let same_content =
            value.recent_writes.iter().rev().filter(|record| record.content_hash == content_hash);
        for record in same_content {
            let Some(write) = self.writes.get_mut(&record.key) else { continue };
            // The change was delayed for so long that its client may have retransmitted it, and the
            // retransmission arrived first.
            let is_overtaken = now.saturating_sub(registry_received_at) >= RESPONSE_DEADLINE
                && write.last_heard_at >= registry_received_at;
            let is_retransmittable =
                is_in_force && write.may_be_retransmitted(registry_received_at);
            let may_be_acknowledged = now < write.received_at + ACKNOWLEDGEMENT_TIMEOUT;
            if !is_overtaken && is_retransmittable && may_be_acknowledged {
                return Classification::Undecided;
            }
            if is_overtaken || is_retransmittable {
                write.last_heard_at = now;
                let (revision, config_revision) = (record.revision, record.config_revision);
                return Classification::Retransmission { revision, config_revision };
            }
        }
        Classification::New
    }
}
