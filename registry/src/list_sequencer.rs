//! Who reads a platform list that has no numbers, when, and which number it gets (design 4). Pure.
//!
//! Invariants:
//! - A list gets a number above every one that this registry had heard of when its read began, and is told
//!   only if it heard of no higher one meanwhile: whatever was known before a read began is older than it.
//! - No two registries, and no two lives of one, give the same number.
//! - Whoever reads does so because no newer read is known of, and not because of who is taken for live.

use std::sync::Arc;
use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::Role;
use vanepath_config::endpoint_list::{EndpointList, Server};

/// The first live registry reads again so long after its last read began.
const FIRST_EVERY: Duration = Duration::from_millis(600);
/// The next one reads once the newest read that it knows of began so long ago,
const TAKEOVER_AFTER: Duration = Duration::from_millis(1200);
/// and each further one so much later.
const TAKEOVER_STEP: Duration = Duration::from_millis(300);
/// A registry that is not the first rests between its own tries so many times as long as it waits for others:
/// where the platform does not answer at all, they do not press it.
const REST_TIMES: u32 = 2;
/// A read that took longer shows what may be long past: the daemon may have stood still meanwhile.
pub const READ_MOST: Duration = Duration::from_millis(1500);
/// The bits of a number that tell readers apart.
const READER_BITS: u32 = 16;

/// What is to be done now.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Read the whole list and tell the outcome with `ListReader::read`.
    Read,
    /// This is the list in force, by a read that began then.
    Publish { list: Arc<EndpointList>, began_at: Duration },
    /// What was read may be older than a list that others know by now; the first registry reads again at once.
    Superseded,
}

/// A read that is under way.
#[derive(Debug)]
struct Reading {
    began_at: Duration,
    /// The highest number heard of when it began.
    seen: u64,
}

/// The reading of the platform's list by one registry.
#[derive(Debug)]
pub struct ListSequencer {
    name: String,
    /// Tells this life's numbers from those of all other readers.
    reader: u16,
    reading: Option<Reading>,
    tried_at: Option<Duration>,
    /// The last read was overtaken.
    is_overtaken: bool,
}

impl ListSequencer {
    /// `draw` is random: no two lives have the same reader's number but by chance.
    pub fn new(name: &str, draw: u64) -> ListSequencer {
        ListSequencer {
            name: name.to_string(),
            reader: (draw >> (u64::BITS - READER_BITS)) as u16,
            reading: None,
            tried_at: None,
            is_overtaken: false,
        }
    }

    /// Time goes by.
    pub fn pulse(&mut self, now: Duration, view: &ClusterView) -> Option<Effect> {
        if self.reading.is_some() || !self.is_due(now, view) {
            return None;
        }
        self.tried_at = Some(now);
        self.is_overtaken = false;
        self.reading = Some(Reading { began_at: now, seen: highest(view) });
        Some(Effect::Read)
    }

    /// The read that is under way has ended; `None`: without a list that can be believed.
    pub fn read(
        &mut self,
        now: Duration,
        view: &ClusterView,
        servers: Option<Vec<Server>>,
    ) -> Option<Effect> {
        let Reading { began_at, seen } = self.reading.take()?;
        let servers = in_order(servers?);
        if highest(view) > seen || now.saturating_sub(began_at) > READ_MOST {
            self.is_overtaken = true;
            return Some(Effect::Superseded);
        }
        let is_known = servers == view.endpoints.servers && view.endpoints.revision == seen;
        let list = match is_known {
            true => view.endpoints.clone(),
            false => Arc::new(EndpointList { revision: self.number_after(seen), servers }),
        };
        Some(Effect::Publish { list, began_at })
    }

    fn number_after(&self, seen: u64) -> u64 {
        ((seen >> READER_BITS) + 1) << READER_BITS | u64::from(self.reader)
    }

    fn is_due(&self, now: Duration, view: &ClusterView) -> bool {
        let Some(tried_at) = self.tried_at else { return true };
        let is_after = |at: Duration, pause: Duration| now >= at + pause;
        match self.rank(view) {
            0 if !view.is_isolated => self.is_overtaken || is_after(tried_at, FIRST_EVERY),
            rank => {
                let wait = TAKEOVER_AFTER + TAKEOVER_STEP * rank.saturating_sub(1) as u32;
                view.endpoint_list_read_at.is_none_or(|at| is_after(at, wait))
                    && is_after(tried_at, wait * REST_TIMES)
            }
        }
    }

    /// The place among the live registries, in the order of their names.
    fn rank(&self, view: &ClusterView) -> usize {
        let registries = view.live.iter().filter(|(card, report)| {
            card.role == Role::Registry && !report.draining && card.name < self.name
        });
        registries.count()
    }
}

/// The highest number that this registry has heard of.
fn highest(view: &ClusterView) -> u64 {
    view.highest_endpoint_list_revision.max(view.endpoints.revision)
}

/// In the order of ids. A server that moved from one page to the next while they were read stands on both:
/// the later page says what is newer.
fn in_order(mut servers: Vec<Server>) -> Vec<Server> {
    servers.sort_by(|left, right| left.id.cmp(&right.id));
    servers.dedup_by(|later, kept| {
        let is_same = later.id == kept.id;
        if is_same {
            std::mem::swap(later, kept);
        }
        is_same
    });
    servers
}

#[cfg(test)]
mod tests;
