//! Transitions of the value, as pure functions: the bootstrap value, the value after a change (the change
//! function of CASPaxos, Rystsov 2018) or a replacement, and the value with which a single replica is rescued
//! (design 6.2 to 6.6).

use super::event::HardState;
use super::quorum::slot_of;
use super::round::Replacement;
use crate::idempotency::IdempotencyRecord;
use crate::protocol::{Change, Outcome};
use crate::value::{
    AcceptedProposal, Ballot, Digest, LatestDrainOrder, Member, MemberTable, Value, digest_of,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Amount by which a rescue raises the revision above that of the stored value.
const RESCUE_REVISION_STEP: u64 = 1000;
/// Amount by which a rescue raises the ballot number above that of the promised ballot.
const RESCUE_BALLOT_STEP: u64 = 1_000_000;

/// The first value. It is the same whichever of the members creates it.
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
    /// Whether the registry generated the key.
    pub is_generated: bool,
    pub change: &'a Change,
    /// See [`Request::Change`](crate::protocol::Request::Change).
    pub known_revision: Option<u64>,
}

/// The value after a change.
///
/// # Errors
/// The outcome to reply with if the change makes no new version.
pub(super) fn apply_change(
    value: &Value,
    accepted: &AcceptedProposal,
    request: &KeyedChange,
) -> Result<Value, Outcome> {
    let change = request.change;
    if let Some(outcome) = recorded_outcome(value, request) {
        return Err(outcome);
    }
    if let Some(outcome) = overtaken_outcome(value, request) {
        return Err(outcome);
    }
    // A drain order that changes nothing is recorded as well: it overtakes opposite ones that are still on
    // their way.
    let is_recorded = request.known_revision.is_some();
    let mut next = derived_version(value, accepted);
    let is_no_op = match change {
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
        Change::DrainZone { zone } => {
            next.drain(zone);
            value.is_drained(zone) && !is_recorded
        }
        Change::RestoreZone { zone } => {
            next.restore(zone);
            !value.is_drained(zone) && !is_recorded
        }
    };
    if is_no_op {
        return Err(repeat_outcome(value.revision, value.config_revision));
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

fn repeat_outcome(revision: u64, config_revision: u64) -> Outcome {
    Outcome::Accepted { revision, config_revision, is_repeat: true }
}

/// The outcome of a change that was already made, found by its key.
fn recorded_outcome(value: &Value, request: &KeyedChange) -> Option<Outcome> {
    let known = value.known_write(request.key)?;
    Some(match known.has_content(request.change.content_hash()) {
        true => repeat_outcome(known.revision, known.config_revision),
        false => Outcome::KeyReused { revision: known.revision },
    })
}

/// The outcome of a change that was overtaken: another one of the same zone, or of the configuration, was committed
/// after the revision that the registry knew when this one may have been sent, and it cannot be told whether the
/// client still wants this change (design 6.10). After an equal one this change is made, and recorded, all the
/// same: it overtakes different ones that came between the two and are still on their way.
fn overtaken_outcome(value: &Value, request: &KeyedChange) -> Option<Outcome> {
    let known_revision = request.known_revision?;
    match request.change {
        Change::DrainZone { zone } | Change::RestoreZone { zone } => {
            overtaken_drain_order(value, request.change, zone, known_revision)
        }
        // Without a version, a condition or a key by which a late one is recognized.
        Change::ReplaceConfig { bytes, if_revision: None, version: None }
            if request.is_generated =>
        {
            let is_overtaken = value.config_revision > known_revision && value.document != *bytes;
            is_overtaken.then_some(Outcome::Overtaken { revision: value.revision })
        }
        Change::ReplaceConfig { .. } => None,
    }
}

fn overtaken_drain_order(
    value: &Value,
    change: &Change,
    zone: &str,
    known_revision: u64,
) -> Option<Outcome> {
    let is_overtaken = match value.latest_drain_order(zone) {
        LatestDrainOrder::Recorded(record) => {
            record.revision > known_revision && record.content_hash != change.content_hash()
        }
        LatestDrainOrder::NoneSince(revision) => revision > known_revision,
    };
    is_overtaken.then_some(Outcome::Overtaken { revision: value.revision })
}

/// Handles a configuration whose version is not above the highest one. Its author knows of a newer version,
/// so it changes nothing, whatever was accepted in between and however often it is sent; but a version must
/// have only one content (incident 0012). Returns whether it is a repeat; if not, the version's hash is
/// recorded in `next`.
fn is_repeated_version(
    value: &Value,
    next: &mut Value,
    version: u64,
    content_hash: u64,
) -> Result<bool, Outcome> {
    match value.version_hashes.get(&version) {
        Some(recorded) if *recorded == content_hash => Ok(true),
        Some(_) => Err(Outcome::VersionTaken { version, highest: value.config_version }),
        // Its hash may have been dropped, so that the content can no longer be checked.
        None if value.is_version_hash_dropped(version) => Ok(true),
        // Superseded before it was first sent: acknowledged, and from now on no other content may have this
        // version.
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
    let mut next = derived_version(value, accepted);
    let slot = next.members.get_mut(replacement.slot)?;
    if slot.as_ref().map(|member| member.incarnation) != replacement.replaced {
        return None;
    }
    let (name, incarnation) = (replacement.name.clone(), replacement.incarnation);
    *slot = Some(Member { name, incarnation, joined_later: true });
    Some(Arc::new(next))
}

/// A copy of a value as the next version, with the accepted proposal of that value as its parent.
fn derived_version(value: &Value, accepted: &AcceptedProposal) -> Value {
    let mut next = value.clone();
    next.revision += 1;
    next.parent_revision = accepted.revision;
    next.parent = accepted.digest;
    next.batched_before = 0;
    next
}

/// The state and value with which this replica continues as the only member after a majority of the disks is
/// permanently lost. The revision and the ballot are raised by large steps, so that no proposal that the lost
/// disks may have accepted is ever considered newer (design 6.6). `None`: this disk has accepted no proposal.
pub fn rescued(state: &HardState, value: &Value, name: &str) -> Option<(HardState, Value)> {
    let accepted = state.accepted?;
    let mut next = derived_version(value, &accepted);
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
