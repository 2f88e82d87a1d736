//! Values: the first one, what follows from a change or a seat that is given, and the one by which a single
//! copy goes on (design 6.2 to 6.6). Pure functions of a value.

use super::{HardState, Vacancy};
use crate::protocol::{
    AcceptedProposal, Ballot, Change, Digest, Member, MemberTable, Outcome, Value, slot_of,
};
use crate::retransmission::Judgement;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// The value that a word begins with: the same whoever makes it.
pub(super) fn genesis(seats: MemberTable) -> Value {
    Value {
        revision: 0,
        parent_revision: 0,
        parent: Digest::default(),
        config_revision: 0,
        config_version: 0,
        document: Vec::new(),
        drained_zones: BTreeSet::new(),
        extra_drain_orders: BTreeMap::new(),
        members: seats,
        batched_before: 0,
        recent_writes: VecDeque::new(),
        older_writes: Default::default(),
        version_hashes: BTreeMap::new(),
    }
}

pub(super) fn owned(values: &[Arc<Value>]) -> Vec<Value> {
    values.iter().map(|value| (**value).clone()).collect()
}

/// The value after a change, or what to tell instead of changing anything.
pub(super) fn changed(
    value: &Value,
    own: &AcceptedProposal,
    key: &str,
    is_made: bool,
    change: &Change,
    verdict: Judgement,
) -> Result<Value, Outcome> {
    if let Some(known) = value.known_write(key) {
        let (revision, setup_revision) = (known.revision, known.setup_revision);
        return Err(if known.has_content(change.content_hash()) {
            Outcome::Accepted { revision, config_revision: setup_revision, is_repeat: true }
        } else {
            Outcome::KeyReused { revision }
        });
    }
    if let Judgement::Retransmission { revision, setup_revision } = verdict {
        return Err(Outcome::Accepted {
            revision,
            config_revision: setup_revision,
            is_repeat: true,
        });
    }
    let mut next = child(value, own);
    let is_same = match change {
        // Its author knows what is newer, whatever came in between and however often it is sent; but
        // one version has one content (incident 0012).
        Change::ReplaceConfig { version: Some(version), .. }
            if *version <= value.config_version =>
        {
            let matter = change.content_hash();
            match value.version_hashes.get(version) {
                Some(taken) if *taken == matter => true,
                Some(_) => {
                    let held = value.config_version;
                    return Err(Outcome::VersionTaken { version: *version, highest: held });
                }
                // Too long ago to tell.
                None if value.knows_no_version_below(*version) => true,
                // Overtaken before anybody took it: acknowledged, and nobody else's from then on.
                None => {
                    next.note_version(*version, matter);
                    false
                }
            }
        }
        Change::ReplaceConfig { bytes, if_revision, version } => {
            if if_revision.is_some_and(|wanted| wanted != value.config_revision) {
                return Err(Outcome::Conflict {
                    revision: value.revision,
                    config_revision: value.config_revision,
                });
            }
            next.document = bytes.clone();
            next.config_revision = next.revision;
            if let Some(version) = version {
                next.config_version = *version;
                next.note_version(*version, change.content_hash());
            }
            false
        }
        Change::DrainZone { zone }
            if value.drain_orders(zone) >= crate::protocol::MAX_DRAIN_ORDERS =>
        {
            let why = "too many orders to empty this zone stand".to_string();
            return Err(Outcome::NotApplied { reason: why });
        }
        Change::DrainZone { zone } => {
            next.set_drain_orders(zone, value.drain_orders(zone) + 1);
            false
        }
        Change::RestoreZone { zone } => {
            next.set_drain_orders(zone, value.drain_orders(zone).saturating_sub(1));
            value.drain_orders(zone) == 0
        }
    };
    if is_same {
        let (revision, setup_revision) = (value.revision, value.config_revision);
        return Err(Outcome::Accepted {
            revision,
            config_revision: setup_revision,
            is_repeat: true,
        });
    }
    next.recent_writes.push_back(crate::protocol::IdempotencyRecord {
        key: key.to_string(),
        content_hash: change.content_hash(),
        revision: next.revision,
        config_revision: next.config_revision,
        is_generated: is_made,
    });
    next.compact_older_writes();
    Ok(next)
}

/// The value after a seat was given, if it still is whose it was.
pub(super) fn seated(
    value: &Value,
    own: &AcceptedProposal,
    vacancy: &Vacancy,
) -> Option<Arc<Value>> {
    let mut next = child(value, own);
    let seat = next.members.get_mut(vacancy.seat)?;
    if seat.as_ref().map(|holder| holder.incarnation) != vacancy.old {
        return None;
    }
    let (name, incarnation) = (vacancy.name.clone(), vacancy.incarnation);
    *seat = Some(Member { name, incarnation, joined_later: true });
    Some(Arc::new(next))
}

fn child(value: &Value, own: &AcceptedProposal) -> Value {
    let mut next = value.clone();
    next.revision += 1;
    next.parent_revision = own.revision;
    next.parent = own.digest;
    next.batched_before = 0;
    next
}

/// A majority of the disks is lost for good: the value that lets this copy go on alone. Its revision
/// leaps, so that nothing the lost disks may have accepted is ever taken for newer (design 6.6).
pub fn rescued(state: &HardState, value: &Value, name: &str) -> (HardState, Value) {
    let meta = state.accepted.expect("only a store that holds the word can go on from it");
    let mut next = child(value, &meta);
    next.revision = value.revision + 1000;
    let incarnation = state.incarnation;
    let seat = slot_of(&value.members, incarnation).unwrap_or(0);
    next.members = vec![None; value.members.len()];
    next.members[seat] = Some(Member { name: name.to_string(), incarnation, joined_later: true });
    let ballot = Ballot { number: state.promised.number + 1_000_000, incarnation };
    let digest = crate::protocol::digest_of(&next.encode());
    let accepted = Some(AcceptedProposal { ballot, revision: next.revision, digest });
    (HardState { incarnation: state.incarnation, promised: ballot, accepted }, next)
}
