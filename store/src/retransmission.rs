//! Recognizes drain orders that a client without idempotency keys sends again (design 6.10). Soft state: each
//! replica notes by its own clock when it first saw a write, and whether its client surely has the response;
//! no promise and no acceptance rests on it.

use crate::protocol::{Change, UnacknowledgedWrite};
use crate::value::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A client without keys retransmits an order for at most 8 s after first sending it (docs/platform.md), and
/// half a second for the way.
const RETRANSMISSION_WINDOW: Duration = Duration::from_millis(8500);
/// Longest time between two retransmissions that reach a store: each is given up after a second, and with any
/// registry to choose from three in a row reach no store.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Such a client waits a second for a response (docs/platform.md). A response that leaves the registry by then
/// surely arrives, so that the order is not retransmitted.
pub const OVERTAKEN_AFTER: Duration = Duration::from_millis(800);
/// By then the registry of an order has acknowledged it, unless it died or was slow.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(450);

/// Entries beyond twice the value's recent writes that may be there before old ones are dropped.
const PRUNE_SLACK: usize = 512;

/// What is remembered of one recent write.
#[derive(Clone, Copy, Debug)]
struct ObservedWrite {
    /// When it was first sent, as far as this replica knows.
    received_at: Duration,
    /// When it was last sent or acknowledged.
    last_heard_at: Duration,
    /// Its client gave a key, or has the response: it is not retransmitted without a key.
    is_acknowledged: bool,
}

impl ObservedWrite {
    /// Whether its client may send it again at this time.
    fn may_be_retransmitted(&self, at: Duration) -> bool {
        !self.is_acknowledged
            && at <= self.received_at + RETRANSMISSION_WINDOW
            && at <= self.last_heard_at + SILENCE_TIMEOUT
    }
}

/// What an order is, compared with the recent writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// Another order.
    New,
    /// A retransmission of the order that made this revision.
    Retransmission {
        /// The revision.
        revision: u64,
        /// The configuration revision at that revision.
        config_revision: u64,
    },
    /// The order before it may still be acknowledged: to be judged again a little later.
    Undecided,
}

/// The recent writes as one replica saw them.
#[derive(Clone, Debug, Default)]
pub struct RetransmissionFilter {
    /// By idempotency key.
    writes: BTreeMap<String, ObservedWrite>,
}

impl RetransmissionFilter {
    /// Notes the recent writes of a value that this replica holds from now on. Those that it did not receive
    /// itself count as just received and unacknowledged.
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

    /// The writes whose clients may retransmit them. A promise carries them beside the value, so that a
    /// proposer knows what any of a majority knows.
    pub fn unacknowledged(&self, value: &Value, now: Duration) -> Vec<UnacknowledgedWrite> {
        // Not by when it was last heard of: that may have been at another replica.
        let is_open = |write: &&ObservedWrite| {
            !write.is_acknowledged && now <= write.received_at + RETRANSMISSION_WINDOW
        };
        let open_write = |key: &String| self.writes.get(key).filter(is_open);
        let age_ms =
            |write: &ObservedWrite| now.saturating_sub(write.received_at).as_millis() as u32;
        let records = value.recent_writes.iter();
        let open = records.filter_map(|record| Some((&record.key, open_write(&record.key)?)));
        open.map(|(key, write)| UnacknowledgedWrite { key: key.clone(), age_ms: age_ms(write) })
            .collect()
    }

    /// Merges what another replica that holds this value knows: all its other writes are acknowledged.
    pub fn merge(&mut self, value: &Value, unacknowledged: &[UnacknowledgedWrite], now: Duration) {
        for record in &value.recent_writes {
            let entry = unacknowledged.iter().find(|write| write.key == record.key);
            let age = entry.map(|write| Duration::from_millis(u64::from(write.age_ms)));
            let received_at = now.saturating_sub(age.unwrap_or(RETRANSMISSION_WINDOW));
            let new = ObservedWrite { received_at, last_heard_at: now, is_acknowledged: false };
            let write = self.writes.entry(record.key.clone()).or_insert(new);
            write.received_at = write.received_at.min(received_at);
            write.is_acknowledged |= age.is_none();
        }
    }

    /// Notes a write that this replica makes a version of. `keyless_since`: for a change whose client gave no
    /// key, when its registry got it.
    pub fn record(&mut self, key: &str, keyless_since: Option<Duration>, now: Duration) {
        let write = ObservedWrite {
            received_at: keyless_since.unwrap_or(now),
            last_heard_at: now,
            is_acknowledged: keyless_since.is_none(),
        };
        self.writes.insert(key.to_string(), write);
    }

    /// Notes that the client of a write has its response.
    pub fn acknowledge(&mut self, value: &Value, content_hash: u64, revision: u64, now: Duration) {
        let mut records = value.recent_writes.iter();
        let record = records
            .find(|record| record.content_hash == content_hash && record.revision == revision);
        if let Some(write) = record.and_then(|record| self.writes.get_mut(&record.key)) {
            (write.is_acknowledged, write.last_heard_at) = (true, now);
        }
    }

    /// Judges whether a change without a client's key is one of the recent writes sent again.
    /// `keyless_since`: when its registry got it; `None`: the client gave a key.
    pub fn judge(
        &mut self,
        value: &Value,
        change: &Change,
        keyless_since: Option<Duration>,
        now: Duration,
    ) -> Judgement {
        let Some(since) = keyless_since else { return Judgement::New };
        let is_in_force = match change {
            Change::ReplaceConfig { .. } => return Judgement::New,
            Change::DrainZone { zone } => value.drain_orders(zone) > 0,
            // Where no drain order is in force there is none to withdraw twice.
            Change::RestoreZone { .. } => true,
        };
        let content_hash = change.content_hash();
        let same_content =
            value.recent_writes.iter().rev().filter(|record| record.content_hash == content_hash);
        for record in same_content {
            let Some(write) = self.writes.get_mut(&record.key) else { continue };
            // It was delayed for so long that its client may have sent it again, and that came first.
            let is_overtaken =
                now.saturating_sub(since) >= OVERTAKEN_AFTER && write.last_heard_at >= since;
            let is_open = is_in_force && write.may_be_retransmitted(since);
            let may_be_acknowledged = now < write.received_at + ACKNOWLEDGEMENT_TIMEOUT;
            if !is_overtaken && is_open && may_be_acknowledged {
                return Judgement::Undecided;
            }
            if is_overtaken || is_open {
                write.last_heard_at = now;
                let (revision, config_revision) = (record.revision, record.config_revision);
                return Judgement::Retransmission { revision, config_revision };
            }
        }
        Judgement::New
    }
}
