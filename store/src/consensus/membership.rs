//! Seats: the beginning of a word, empty disks that wait for a seat, holders that are lost, and admission
//! (design 6.4, 6.5). Invariant: a disk votes only once a majority of the other holders has shown it one
//! chosen value with its incarnation in it.

use super::{Aside, Copy, Effect, Job, LiveStore, Op, Phase, Replica, Vacancy, genesis};
use super::{BEHIND_AFTER, MEMBERSHIP_EVERY, PING_EVERY, PING_SELDOM, SILENT_AFTER};
use crate::protocol::{
    BOOTSTRAP_BALLOT, Ballot, Member, MembershipSnapshot, Request, member_incarnations,
    quorum_size, slot_of,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

impl Replica {
    /// The first live seated store in the order of the table proposes; the others leave it to it
    /// (design 6.3).
    pub(super) fn is_first(&self, now: Duration) -> bool {
        let is_there = |holder: &&Member| {
            self.live.iter().any(|claim| {
                claim.incarnation == holder.incarnation && !(claim.is_empty && holder.joined_later)
            }) && !self.is_lost(now, holder.incarnation)
        };
        let own = self.own();
        let seats = self.value.as_ref().map(|value| value.members.as_slice()).unwrap_or_default();
        let before = seats.iter().flatten().take_while(|holder| holder.incarnation != own);
        !before.into_iter().any(|holder| is_there(&holder))
    }

    /// An empty disk begins a word only where exactly as many empty ones as the settings say are heard
    /// of, nobody holds anything, and no daemon has heard of a word; the first of them by name does it
    /// (design 6.4).
    pub(super) fn blank_pulse(&mut self) {
        let is_known = self.heard_revision > 0 || self.live.iter().any(|claim| !claim.is_empty);
        if self.identity.bootstrap_size == 0 || is_known {
            return;
        }
        let founders = self.live.iter().filter(|claim| claim.may_bootstrap);
        let by_name: BTreeMap<&str, u64> =
            founders.clone().map(|claim| (claim.name.as_str(), claim.incarnation)).collect();
        let is_exact = founders.count() == self.identity.bootstrap_size
            && by_name.len() == self.identity.bootstrap_size
            && by_name.values().next() == Some(&self.own());
        if !is_exact {
            return;
        }
        let seat = |(name, incarnation): (&&str, &u64)| {
            Some(Member { name: name.to_string(), incarnation: *incarnation, joined_later: false })
        };
        let seats = by_name.iter().map(seat).collect();
        self.queue.push_back(Op::Genesis { seats });
    }

    /// An empty disk, and one that may have lost its seat, asks all who hold something for the table.
    pub(super) fn membership_pulse(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let accepted = self.state.accepted.map_or(0, |meta| meta.revision);
        if self.is_blank() || self.heard_revision <= accepted {
            self.behind_since = None;
        } else {
            self.behind_since.get_or_insert(now);
        }
        let is_behind = self.behind_since.is_some_and(|since| now >= since + BEHIND_AFTER);
        if !(self.is_blank() || self.unseated || is_behind) {
            self.members.clear();
            return;
        }
        let is_asked = self.aside.values().any(|aside| matches!(aside, Aside::Membership));
        if now < self.members_at || is_asked {
            return;
        }
        self.members_at = now + MEMBERSHIP_EVERY;
        let from = self.own();
        let held = self.live.iter().filter(|claim| !claim.is_empty && claim.incarnation != from);
        let held: Vec<u64> = held.map(|claim| claim.incarnation).collect();
        self.members.retain(|incarnation, _| held.contains(incarnation));
        for incarnation in held {
            let ask = Request::Membership { from, wants_value: self.is_blank() };
            let call = self.call(incarnation, ask, effects);
            self.aside.insert(call, Aside::Membership);
        }
    }

    /// Empty disks that have no seat, in the order of their names.
    pub(super) fn waiting(&self) -> Vec<&LiveStore> {
        let Some(value) = &self.value else { return Vec::new() };
        let blank = self.live.iter().filter(|claim| claim.is_empty);
        let mut waiting: Vec<&LiveStore> =
            blank.filter(|claim| slot_of(&value.members, claim.incarnation).is_none()).collect();
        waiting.sort_by(|left, right| left.name.cmp(&right.name));
        waiting
    }

    /// Not heard of in the news and silent when asked; or silent for long, whatever the news say.
    pub(super) fn is_lost(&self, now: Duration, incarnation: u64) -> bool {
        let watched = self.watched.get(&incarnation);
        let Some(since) = watched.and_then(|watched| watched.silent_since) else { return false };
        let is_live = self.live.iter().any(|claim| claim.incarnation == incarnation);
        !is_live || now >= since + SILENT_AFTER
    }

    pub(super) fn forget_silence(&mut self) {
        self.pings.clear();
        self.watched.values_mut().for_each(|watched| watched.silent_since = None);
    }

    /// While an empty disk waits, the first store asks every holder of a seat directly, and each other
    /// one those that come before it.
    pub(super) fn ping_pulse(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if !self.votes() {
            self.watched.clear();
            self.pings.clear();
            return;
        }
        let others = self.others();
        self.watched.retain(|incarnation, _| others.contains(incarnation));
        for claim in &self.live {
            if others.contains(&claim.incarnation) {
                self.watched.entry(claim.incarnation).or_default().heard_at = now;
            }
        }
        if self.waiting().is_empty() {
            self.forget_silence();
            return;
        }
        if now < self.ping_at {
            return;
        }
        let is_calm = others.iter().all(|incarnation| {
            self.live.iter().any(|claim| claim.incarnation == *incarnation)
                && self.watched.get(incarnation).is_some_and(|one| one.silent_since.is_none())
        });
        self.ping_at = now + if is_calm { PING_SELDOM } else { PING_EVERY };
        let is_first = self.is_first(now);
        let seats = self.seats();
        let own = self.own_seat().unwrap_or_default();
        for incarnation in others {
            let is_open = self.pings.values().any(|(one, _)| *one == incarnation);
            let is_before = slot_of(&seats, incarnation).is_some_and(|seat| seat < own);
            if !is_open && (is_first || is_before) {
                let call = self.call(incarnation, Request::Ping, effects);
                self.pings.insert(call, (incarnation, now));
            }
        }
    }

    /// Seats whose disks are gone or that are vacant, and the empty disks that are to have them: the
    /// one of the same store, or else the one that is lost the longest (design 6.5).
    pub(super) fn vacancies(&self, now: Duration) -> Vec<Vacancy> {
        let Some(value) = &self.value else { return Vec::new() };
        let mut waiting = self.waiting();
        let mut lost: Vec<(Duration, usize)> = Vec::new();
        for (seat, holder) in value.members.iter().enumerate() {
            match holder {
                None => lost.push((Duration::ZERO, seat)),
                Some(holder) if self.is_lost(now, holder.incarnation) => {
                    let watched = self.watched.get(&holder.incarnation);
                    lost.push((watched.map_or(Duration::ZERO, |one| one.heard_at), seat));
                }
                Some(_) => {}
            }
        }
        lost.sort();
        // The disk of a store that holds a seat takes that one: another one's holder may be back before
        // this store's own old disk is found to be gone, and would have to leave (incident 0013).
        let holds_seat = |name: &str| {
            let mut holders = value.members.iter().flatten();
            holders.any(|holder| holder.name == name)
        };
        let mut found = Vec::new();
        for is_same in [true, false] {
            lost.retain(|(_, seat)| {
                let old = value.members[*seat].as_ref();
                let fits = |claim: &&LiveStore| match is_same {
                    true => old.is_some_and(|holder| holder.name == claim.name),
                    false => !holds_seat(&claim.name),
                };
                let Some(at) = waiting.iter().position(fits) else { return true };
                let claim = waiting.remove(at);
                found.push(Vacancy {
                    seat: *seat,
                    old: old.map(|holder| holder.incarnation),
                    name: claim.name.clone(),
                    incarnation: claim.incarnation,
                });
                false
            });
        }
        found
    }

    pub(super) fn seat_pulse(&mut self, now: Duration) -> bool {
        let vacancies = self.vacancies(now);
        let is_seat = |op: &Op| matches!(op, Op::Seat(_));
        let is_under_way = self.job.as_ref().is_some_and(|job| is_seat(&job.op));
        if !is_under_way && !self.queue.iter().any(is_seat) {
            // Before the operators' changes: with a seat empty the next loss would be one too many.
            for vacancy in vacancies.iter().rev() {
                self.queue.push_front(Op::Seat(vacancy.clone()));
            }
        }
        !vacancies.is_empty()
    }

    /// What others showed under one ballot, where that proves a value as chosen: the table of seats in
    /// it holds. With a seat in it an empty disk is admitted; without one a disk that had a seat has
    /// lost it for good (design 6.5).
    pub(super) fn judge_membership(&mut self, effects: &mut Vec<Effect>) {
        let own = self.own();
        let ballots: BTreeSet<Ballot> =
            self.members.values().map(|shown| shown.accepted.ballot).collect();
        for ballot in ballots {
            for is_seated in [true, false] {
                let shown: Vec<(&u64, &MembershipSnapshot)> = self
                    .members
                    .iter()
                    .filter(|(_, shown)| shown.accepted.ballot == ballot)
                    .filter(|(_, shown)| slot_of(&shown.members, own).is_some() == is_seated)
                    .collect();
                let Some((_, best)) = shown.iter().max_by_key(|(_, one)| one.accepted.revision)
                else {
                    continue;
                };
                let seats = &best.members;
                let others = member_incarnations(seats).filter(|one| *one != own).count();
                let is_own = self.state.accepted.is_some_and(|meta| meta.ballot == ballot);
                let needed = match (is_seated, is_own) {
                    // With its own copy they are a majority of all.
                    (true, true) => quorum_size(seats) - 1,
                    (true, false) => others / 2 + 1,
                    (false, _) => quorum_size(seats),
                };
                let counted = shown.iter().filter(|(who, _)| slot_of(seats, **who).is_some());
                let least = shown.iter().map(|(_, one)| one.accepted.rank()).min();
                let own_rank = self.state.accepted.map(|meta| meta.rank());
                let is_old = least < own_rank || (least == own_rank && !is_seated);
                if counted.count() < needed || is_old {
                    continue;
                }
                match (is_seated, self.is_blank()) {
                    (true, true) => {
                        if best.value.as_ref().is_none_or(|value| {
                            crate::protocol::digest_of(&value.encode()) != best.accepted.digest
                        }) {
                            continue;
                        }
                        let best = (**best).clone();
                        return self.admit(best, effects);
                    }
                    (true, false) => {
                        // Its copy is old, and the seat is still its own.
                        self.unseated = false;
                        self.members.clear();
                        return;
                    }
                    (false, false) => return self.reset(effects),
                    (false, true) => {}
                }
            }
        }
    }

    /// From here on it votes.
    pub(super) fn admit(&mut self, best: MembershipSnapshot, effects: &mut Vec<Effect>) {
        let Some(value) = best.value else { return };
        let promised = self.members.values().map(|shown| shown.promised).max();
        self.state.promised = self.state.promised.max(promised.unwrap_or_default());
        let before = best.batch.into_iter().map(Arc::new).collect();
        self.accept(best.accepted.ballot, Arc::new(value), before, effects);
        self.members.clear();
        self.sweep_at = Duration::ZERO;
        self.aside_at = Duration::ZERO;
        effects.push(Effect::Log("admitted to its seat; this store votes".to_string()));
    }

    /// Never a vote under this incarnation again.
    pub(super) fn reset(&mut self, effects: &mut Vec<Effect>) {
        let why = "its seat went to another disk";
        self.resetting = true;
        self.drop_all(why, effects);
        let text = format!("{why}: it goes on as an empty one");
        effects.push(Effect::Log(text));
        effects.push(Effect::Reset);
    }

    /// Makes the beginning of a word, or brings it to all seats, and finds out whether they hold it:
    /// only when all of them replied, and all are empty or hold this one (design 6.4).
    pub(super) fn begin(
        &mut self,
        mut job: Job,
        states: &BTreeMap<u64, Copy>,
        effects: &mut Vec<Effect>,
    ) {
        let Op::Genesis { seats } = &job.op else { return };
        if !member_incarnations(seats).all(|one| states.contains_key(&one)) {
            return;
        }
        if self.is_blank() {
            if self.heard_revision > 0 {
                return;
            }
            let is_one = |copy: &Copy| copy.blank && copy.founders == seats.len();
            if !states.values().all(is_one) || self.identity.bootstrap_size != seats.len() {
                return;
            }
            let text = format!("{} empty stores: the word begins", seats.len());
            effects.push(Effect::Log(text));
            self.accept(BOOTSTRAP_BALLOT, Arc::new(genesis(seats.clone())), Vec::new(), effects);
        }
        let (Some((own, value)), true) = (self.whole(), self.is_young()) else { return };
        let (own, value) = (*own, value.clone());
        let from = self.own();
        let mut held = BTreeSet::from([from]);
        for (who, copy) in states.iter().filter(|(who, _)| **who != from) {
            if copy.accepted == Some(own) {
                held.insert(*who);
            } else if copy.blank {
                let (value, before) = ((*value).clone(), Vec::new());
                let ask = Request::Accept { from, ballot: BOOTSTRAP_BALLOT, value, batch: before };
                let call = self.call(*who, ask, effects);
                job.open.insert(call, *who);
            } else {
                // It holds more already, or another one.
                return;
            }
        }
        job.phase = Phase::Founding { held };
        self.job = Some(job);
    }
}
