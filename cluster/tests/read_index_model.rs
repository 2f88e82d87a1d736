//! A model of the read index at start-up, searched exhaustively (design 5.8): three stores, a node that
//! restarts, peers that may lag, messages that are lost or come late in any order. The broken variants show
//! that the search finds what each rule is there for.

use std::collections::{HashSet, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// As built: a round at a majority of stores that begins after the start.
    Quorum,
    /// The configuration of a ready peer is enough.
    NoReadIndex,
    /// What peers remember of the node's reports, which it makes after it routes, and no store is asked.
    ReportedLate,
    /// One store's replica is enough.
    Minority,
    /// A round that had begun before this incarnation did.
    OldRound,
}

const STORES: usize = 3;
const REVISIONS: u8 = 2;

/// A round at the stores: what each replied, if it did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Round {
    is_open: bool,
    /// It began in this incarnation.
    is_current: bool,
    replies: [Option<u8>; STORES],
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct State {
    /// What each store's disk holds.
    disks: [u8; STORES],
    /// Committed, as far as anyone may know: on a majority of disks.
    committed: u8,
    /// Configurations of two peers; the second may lag.
    peers: [u8; 2],
    /// What each peer heard from the node as active there, over all its incarnations.
    reported: [u8; 2],
    /// The node.
    is_up: bool,
    config: u8,
    routes_by: u8,
    read_index: Option<u8>,
    /// The highest that any incarnation of it routed by.
    highest: u8,
    incarnations: u8,
    round: Round,
}

fn majority(disks: &[u8; STORES], revision: u8) -> bool {
    disks.iter().filter(|one| **one >= revision).count() * 2 > STORES
}

fn next(state: &State, rule: Rule) -> Vec<State> {
    let mut all = Vec::new();
    let mut add = |change: &dyn Fn(&mut State)| {
        let mut next = state.clone();
        change(&mut next);
        if next != *state {
            all.push(next);
        }
    };
    // A proposal reaches one disk after the other, or never: one revision at a time.
    for store in 0..STORES {
        let revision = state.committed + 1;
        if revision <= REVISIONS {
            add(&|next| next.disks[store] = next.disks[store].max(revision));
        }
        // A replica that was behind is repaired.
        add(&|next| next.disks[store] = next.disks[store].max(next.committed));
    }
    if state.committed < REVISIONS && majority(&state.disks, state.committed + 1) {
        add(&|next| next.committed += 1);
    }
    // It reaches a peer, late or never; peers exchange what was reported to them, or not.
    for peer in 0..2 {
        add(&|next| next.peers[peer] = next.committed);
        add(&|next| next.reported[peer] = next.reported[0].max(next.reported[1]));
    }
    if !state.is_up {
        if state.incarnations < 3 {
            add(&|next| {
                next.is_up = true;
                next.incarnations += 1;
                // A round in flight goes on without whoever asked.
                next.round.is_current = false;
            });
        }
        return all;
    }
    // It dies at any moment; what is in flight stays so.
    add(&|next| {
        next.is_up = false;
        (next.config, next.routes_by, next.read_index) = (0, 0, None);
    });
    for peer in 0..2 {
        // A peer's configuration arrives, or an older one of it that was late.
        for config in 1..=state.peers[peer] {
            add(&|next| next.config = next.config.max(config));
        }
        if rule == Rule::ReportedLate {
            add(&|next| next.read_index = next.read_index.max(Some(next.reported[peer])));
        }
    }
    if rule == Rule::NoReadIndex {
        add(&|next| next.read_index = Some(0));
    }
    if matches!(rule, Rule::Quorum | Rule::Minority | Rule::OldRound) && state.read_index.is_none()
    {
        let is_new = !state.round.is_open || !state.round.is_current;
        if is_new {
            add(&|next| {
                next.round = Round { is_open: true, is_current: true, replies: [None; STORES] };
            });
        }
        for store in 0..STORES {
            if state.round.is_open && state.round.replies[store].is_none() {
                add(&|next| next.round.replies[store] = Some(next.disks[store]));
            }
        }
        let replies = state.round.replies.iter().flatten().count();
        let enough = if rule == Rule::Minority { 1 } else { STORES / 2 + 1 };
        let is_accepted = state.round.is_current || rule == Rule::OldRound;
        if state.round.is_open && is_accepted && replies >= enough {
            // The highest of a majority: no lower than anything committed before the round.
            let highest = state.round.replies.iter().flatten().max().copied();
            add(&|next| {
                next.read_index = highest;
                next.round = Round::default();
            });
            // The same reply may come once more, late.
            add(&|next| next.read_index = highest);
        }
    }
    // It routes by what it has, once that is no less than the read index; and reports so later, or never.
    if state.read_index.is_some_and(|read_index| state.config >= read_index) && state.config > 0 {
        add(&|next| {
            next.routes_by = next.config;
            next.highest = next.highest.max(next.config);
        });
        if state.routes_by > 0 {
            for peer in 0..2 {
                add(&|next| next.reported[peer] = next.reported[peer].max(next.routes_by));
            }
        }
    }
    all
}

/// All states that can be reached; the first in which the node routes by less than an earlier incarnation
/// did, with the states that led there.
fn search(rule: Rule) -> (usize, Option<Vec<State>>, bool) {
    let start = State::default();
    let mut seen: HashSet<State> = HashSet::from([start.clone()]);
    let mut queue: VecDeque<usize> = VecDeque::from([0]);
    let mut states = vec![(start, 0)];
    let mut serves_again = false;
    while let Some(index) = queue.pop_front() {
        let state = states[index].0.clone();
        serves_again |= state.incarnations > 1 && state.routes_by == REVISIONS;
        if state.routes_by > 0 && state.routes_by < state.highest {
            let mut path = vec![state];
            let mut at = index;
            while at != 0 {
                at = states[at].1;
                path.insert(0, states[at].0.clone());
            }
            return (seen.len(), Some(path), serves_again);
        }
        for next in next(&state, rule) {
            if seen.insert(next.clone()) {
                states.push((next, index));
                queue.push_back(states.len() - 1);
            }
        }
    }
    (seen.len(), None, serves_again)
}

/// No order of messages, losses and restarts makes a later incarnation apply less, and it can serve again.
#[test]
fn a_quorum_asked_after_the_start_is_enough() {
    let (states, found, serves_again) = search(Rule::Quorum);
    assert!(found.is_none(), "{found:#?}");
    assert!(serves_again);
    assert!(states > 10_000, "{states} states");
    println!("{states} states");
}

#[test]
fn without_a_read_index_a_lagging_peer_takes_a_node_back() {
    assert!(search(Rule::NoReadIndex).1.is_some());
}

#[test]
fn a_read_index_that_is_reported_late_is_not_enough() {
    assert!(search(Rule::ReportedLate).1.is_some());
}

#[test]
fn a_minority_of_stores_is_not_enough() {
    assert!(search(Rule::Minority).1.is_some());
}

#[test]
fn a_round_from_before_the_start_is_not_enough() {
    assert!(search(Rule::OldRound).1.is_some());
}
