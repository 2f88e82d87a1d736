//! Values: the first one, what follows from a change or a seat that is given, and the one by which a single
//! copy goes on (design 6.2 to 6.6). Pure functions of a value.

use super::{State, Vacancy};
use crate::protocol::{Ballot, Change, Digest, Holder, Meta, Outcome, Seats, Value, seat_of};
use crate::retransmission::Verdict;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// The value that a word begins with: the same whoever makes it.
pub(super) fn genesis(seats: Seats) -> Value {
    Value {
        revision: 0,
        parent_revision: 0,
        parent: Digest::default(),
        setup_revision: 0,
        setup_version: 0,
        setup: Vec::new(),
        emptied: BTreeSet::new(),
        further_orders: BTreeMap::new(),
        seats,
        together: 0,
        keys: VecDeque::new(),
        older_keys: Default::default(),
        versions: BTreeMap::new(),
    }
}

pub(super) fn owned(values: &[Arc<Value>]) -> Vec<Value> {
    values.iter().map(|value| (**value).clone()).collect()
}

/// The value after a change, or what to tell instead of changing anything.
pub(super) fn changed(
    value: &Value,
    own: &Meta,
    key: &str,
    is_made: bool,
    change: &Change,
    verdict: Verdict,
) -> Result<Value, Outcome> {
    if let Some(known) = value.submission(key) {
        let (revision, setup_revision) = (known.revision, known.setup_revision);
        return Err(if known.is_of(change.matter()) {
            Outcome::Accepted { revision, setup_revision, repeat: true }
        } else {
            Outcome::KeyReused { revision }
        });
    }
    if let Verdict::SentAgain { revision, setup_revision } = verdict {
        return Err(Outcome::Accepted { revision, setup_revision, repeat: true });
    }
    let mut next = child(value, own);
    let is_same = match change {
        // Its author knows what is newer, whatever came in between and however often it is sent; but
        // one version has one content (incident 0012).
        Change::Setup { version: Some(version), .. } if *version <= value.setup_version => {
            let matter = change.matter();
            match value.versions.get(version) {
                Some(taken) if *taken == matter => true,
                Some(_) => {
                    let held = value.setup_version;
                    return Err(Outcome::VersionTaken { version: *version, held });
                }
                // Too long ago to tell.
                None if value.knows_no_version_below(*version) => true,
                // Overtaken before anybody took it: acknowledged, and nobody else's from then on.
                None => {
                    next.take_version(*version, matter);
                    false
                }
            }
        }
        Change::Setup { bytes, if_revision, version } => {
            if if_revision.is_some_and(|wanted| wanted != value.setup_revision) {
                return Err(Outcome::Conflict {
                    revision: value.revision,
                    setup_revision: value.setup_revision,
                });
            }
            next.setup = bytes.clone();
            next.setup_revision = next.revision;
            if let Some(version) = version {
                next.setup_version = *version;
                next.take_version(*version, change.matter());
            }
            false
        }
        Change::Empty { zone } if value.orders(zone) >= crate::protocol::ORDERS_MOST => {
            let why = "too many orders to empty this zone stand".to_string();
            return Err(Outcome::NothingDone { why });
        }
        Change::Empty { zone } => {
            next.set_orders(zone, value.orders(zone) + 1);
            false
        }
        Change::Return { zone } => {
            next.set_orders(zone, value.orders(zone).saturating_sub(1));
            value.orders(zone) == 0
        }
    };
    if is_same {
        let (revision, setup_revision) = (value.revision, value.setup_revision);
        return Err(Outcome::Accepted { revision, setup_revision, repeat: true });
    }
    next.keys.push_back(crate::protocol::Submission {
        key: key.to_string(),
        matter: change.matter(),
        revision: next.revision,
        setup_revision: next.setup_revision,
        is_made,
    });
    next.shorten_old_keys();
    Ok(next)
}

/// The value after a seat was given, if it still is whose it was.
pub(super) fn seated(value: &Value, own: &Meta, vacancy: &Vacancy) -> Option<Arc<Value>> {
    let mut next = child(value, own);
    let seat = next.seats.get_mut(vacancy.seat)?;
    if seat.as_ref().map(|holder| holder.incarnation) != vacancy.old {
        return None;
    }
    let (name, incarnation) = (vacancy.name.clone(), vacancy.incarnation);
    *seat = Some(Holder { name, incarnation, admitted: true });
    Some(Arc::new(next))
}

fn child(value: &Value, own: &Meta) -> Value {
    let mut next = value.clone();
    next.revision += 1;
    next.parent_revision = own.revision;
    next.parent = own.digest;
    next.together = 0;
    next
}

/// A majority of the disks is lost for good: the value that lets this copy go on alone. Its revision
/// leaps, so that nothing the lost disks may have accepted is ever taken for newer (design 6.6).
pub fn rescued(state: &State, value: &Value, name: &str) -> (State, Value) {
    let meta = state.accepted.expect("only a store that holds the word can go on from it");
    let mut next = child(value, &meta);
    next.revision = value.revision + 1000;
    let incarnation = state.incarnation;
    let seat = seat_of(&value.seats, incarnation).unwrap_or(0);
    next.seats = vec![None; value.seats.len()];
    next.seats[seat] = Some(Holder { name: name.to_string(), incarnation, admitted: true });
    let ballot = Ballot { number: state.promised.number + 1_000_000, incarnation };
    let digest = crate::protocol::digest_of(&next.encode());
    let accepted = Some(Meta { ballot, revision: next.revision, digest });
    (State { incarnation: state.incarnation, promised: ballot, accepted }, next)
}
