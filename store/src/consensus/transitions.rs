//! Transitions of the value, as pure functions: the bootstrap value, what follows from a change (the change
//! function of CASPaxos, Rystsov 2018) or a replacement, and the value by which a single replica is rescued
//! (design 6.2 to 6.6).

use super::event::HardState;
use super::quorum::slot_of;
use super::round::Replacement;
use crate::idempotency::IdempotencyRecord;
use crate::protocol::{Change, Outcome};
use crate::retransmission::Judgement;
use crate::value::{
    AcceptedProposal, Ballot, Digest, MAX_DRAIN_ORDERS, Member, MemberTable, Value, digest_of,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// How far a rescue raises the revision above the one held.
const RESCUE_REVISION_STEP: u64 = 1000;
/// How far a rescue raises the ballot above the one promised.
const RESCUE_BALLOT_STEP: u64 = 1_000_000;

/// The first value: the same whoever makes it, for the same members.
pub(super) fn bootstrap_value(members: MemberTable) -> Value {
    Value {
        revision: 0,
        parent_revision: 0,
        parent: Digest::default(),
        config_revision: 0,
        config_version: 0,
        document: Vec::new(),
        drained_zones: BTreeSet::new(),
        extra_drain_orders: BTreeMap::new(),
        members,
        batched_before: 0,
        recent_writes: VecDeque::new(),
        older_writes: Default::default(),
        version_hashes: BTreeMap::new(),
    }
}

pub(super) fn cloned_values(values: &[Arc<Value>]) -> Vec<Value> {
    values.iter().map(|value| (**value).clone()).collect()
}

/// A change with its idempotency key.
pub(super) struct KeyedChange<'a> {
    pub key: &'a str,
    /// The registry generated the key.
    pub is_generated: bool,
    pub change: &'a Change,
    pub judgement: Judgement,
}

/// The value after a change.
///
/// # Errors
/// The outcome to answer with where the change makes no new version.
pub(super) fn apply_change(
    value: &Value,
    accepted: &AcceptedProposal,
    request: &KeyedChange,
) -> Result<Value, Outcome> {
    let change = request.change;
    if let Some(outcome) = known_outcome(value, request) {
        return Err(outcome);
    }
    let mut next = child(value, accepted);
    let is_same = match change {
        Change::ReplaceConfig { version: Some(version), .. }
            if *version <= value.config_version =>
        {
            is_repeated_version(value, &mut next, *version, change.content_hash())?
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
                next.record_version_hash(*version, change.content_hash());
            }
            false
        }
        Change::DrainZone { zone } if value.drain_orders(zone) >= MAX_DRAIN_ORDERS => {
            let reason = "too many orders to empty this zone stand".to_string();
            return Err(Outcome::NotApplied { reason });
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
        return Err(repeated(value.revision, value.config_revision));
    }
    next.recent_writes.push_back(IdempotencyRecord {
        key: request.key.to_string(),
        content_hash: change.content_hash(),
        revision: next.revision,
        config_revision: next.config_revision,
        is_generated: request.is_generated,
    });
    next.compact_older_writes();
    Ok(next)
}

fn repeated(revision: u64, config_revision: u64) -> Outcome {
    Outcome::Accepted { revision, config_revision, is_repeat: true }
}

/// The outcome of a change that was made before, by its key or as a retransmission without one.
fn known_outcome(value: &Value, request: &KeyedChange) -> Option<Outcome> {
    if let Some(known) = value.known_write(request.key) {
        return Some(match known.has_content(request.change.content_hash()) {
            true => repeated(known.revision, known.config_revision),
            false => Outcome::KeyReused { revision: known.revision },
        });
    }
    match request.judgement {
        Judgement::Retransmission { revision, config_revision } => {
            Some(repeated(revision, config_revision))
        }
        _ => None,
    }
}

/// A configuration whose version is not above the highest one: its author knows what is newer, so it changes
/// nothing, whatever came in between and however often it is sent; but one version has one content
/// (incident 0012). Says whether it is a repeat; else the version's hash is recorded in `next`.
fn is_repeated_version(
    value: &Value,
    next: &mut Value,
    version: u64,
    content_hash: u64,
) -> Result<bool, Outcome> {
    match value.version_hashes.get(&version) {
        Some(recorded) if *recorded == content_hash => Ok(true),
        Some(_) => Err(Outcome::VersionTaken { version, highest: value.config_version }),
        // Its hash may have been dropped: it cannot be checked any more.
        None if value.is_version_hash_dropped(version) => Ok(true),
        // Superseded before anyone sent it: acknowledged, and from now on no other content may have it.
        None => {
            next.record_version_hash(version, content_hash);
            Ok(false)
        }
    }
}

/// The value after a replacement, if the slot is still held by the disk to be replaced.
pub(super) fn apply_replacement(
    value: &Value,
    accepted: &AcceptedProposal,
    replacement: &Replacement,
) -> Option<Arc<Value>> {
    let mut next = child(value, accepted);
    let slot = next.members.get_mut(replacement.slot)?;
    if slot.as_ref().map(|member| member.incarnation) != replacement.replaced {
        return None;
    }
    let (name, incarnation) = (replacement.name.clone(), replacement.incarnation);
    *slot = Some(Member { name, incarnation, joined_later: true });
    Some(Arc::new(next))
}

fn child(value: &Value, accepted: &AcceptedProposal) -> Value {
    let mut next = value.clone();
    next.revision += 1;
    next.parent_revision = accepted.revision;
    next.parent = accepted.digest;
    next.batched_before = 0;
    next
}

/// After a majority of the disks is lost for good: the value and state with which this replica goes on
/// alone. Its revision and ballot leap, so that nothing the lost disks may have accepted is ever taken for
/// newer (design 6.6). `None`: this disk has accepted nothing.
pub fn rescued(state: &HardState, value: &Value, name: &str) -> Option<(HardState, Value)> {
    let accepted = state.accepted?;
    let mut next = child(value, &accepted);
    next.revision = value.revision + RESCUE_REVISION_STEP;
    let incarnation = state.incarnation;
    let slot = slot_of(&value.members, incarnation).unwrap_or(0);
    next.members = vec![None; value.members.len()];
    next.members[slot] = Some(Member { name: name.to_string(), incarnation, joined_later: true });
    let ballot = Ballot { number: state.promised.number + RESCUE_BALLOT_STEP, incarnation };
    let digest = digest_of(&next.encode());
    let accepted = Some(AcceptedProposal { ballot, revision: next.revision, digest });
    Some((HardState { incarnation, promised: ballot, accepted }, next))
}
