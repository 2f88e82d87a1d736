//! Exhaustive search of a model of the read index at start-up (design 5.8): three stores, a node that
//! restarts, peers that may lag, and messages that are lost, delayed or reordered. The broken variants of the
//! rule show that the search detects the failure that each part of the rule prevents.

use std::collections::{HashSet, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// The implemented rule: a round at a majority of stores that begins after the start.
    Quorum,
    /// Broken: the configuration of any ready peer is applied.
    NoReadIndex,
    /// Broken: no store is asked, and the read index is the revision that a peer has from the node's own
    /// reports, which the node sends only after it has routed by that revision.
    ReportedLate,
    /// Broken: the reply of one store is enough.
    Minority,
    /// Broken: a round that began before this incarnation is accepted.
    OldRound,
}

const STORES: usize = 3;
const REVISIONS: u8 = 2;

/// A round at the stores, with their replies so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Round {
    is_open: bool,
    /// Whether it began in the current incarnation.
    is_current: bool,
    replies: [Option<u8>; STORES],
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct State {
    /// The revision that each store's disk holds.
    disks: [u8; STORES],
    /// The committed revision, which a majority of disks holds.
    committed: u8,
    /// The revisions of the configurations of two peers, either of which may lag.
    peers: [u8; 2],
    /// The highest revision that each peer knows the node to have reported as active, across its
    /// incarnations.
    reported: [u8; 2],
    /// Whether the node is up; the fields that follow are its state.
    is_up: bool,
    config: u8,
    routed_revision: u8,
    read_index: Option<u8>,
    /// The highest revision by which any incarnation of the node has routed.
    highest_routed: u8,
    incarnations: u8,
    round: Round,
}

fn is_on_majority(disks: &[u8; STORES], revision: u8) -> bool {
    disks.iter().filter(|held| **held >= revision).count() * 2 > STORES
}

fn next_states(state: &State, rule: Rule) -> Vec<State> {
    let mut successors = Vec::new();
    let mut add_successor = |change: &dyn Fn(&mut State)| {
        let mut next = state.clone();
        change(&mut next);
        if next != *state {
            successors.push(next);
        }
    };
    // A proposal reaches one disk after another, or never. Revisions are proposed one at a time.
    for store in 0..STORES {
        let revision = state.committed + 1;
        if revision <= REVISIONS {
            add_successor(&|next| next.disks[store] = next.disks[store].max(revision));
        }
        // A store that lags catches up.
        add_successor(&|next| next.disks[store] = next.disks[store].max(next.committed));
    }
    if state.committed < REVISIONS && is_on_majority(&state.disks, state.committed + 1) {
        add_successor(&|next| next.committed += 1);
    }
    // A committed configuration reaches a peer late or never. Peers may exchange the node's reports.
    for peer in 0..2 {
        add_successor(&|next| next.peers[peer] = next.committed);
        add_successor(&|next| next.reported[peer] = next.reported[0].max(next.reported[1]));
    }
    if !state.is_up {
        if state.incarnations < 3 {
            add_successor(&|next| {
                next.is_up = true;
                next.incarnations += 1;
                // A round in flight continues after the incarnation that started it has ended.
                next.round.is_current = false;
            });
        }
        return successors;
    }
    // The node may crash at any time; messages in flight stay in flight.
    add_successor(&|next| {
        next.is_up = false;
        (next.config, next.routed_revision, next.read_index) = (0, 0, None);
    });
    for peer in 0..2 {
        // A peer's configuration arrives, possibly a delayed older one.
        for config in 1..=state.peers[peer] {
            add_successor(&|next| next.config = next.config.max(config));
        }
        if rule == Rule::ReportedLate {
            add_successor(&|next| next.read_index = next.read_index.max(Some(next.reported[peer])));
        }
    }
    if rule == Rule::NoReadIndex {
        add_successor(&|next| next.read_index = Some(0));
    }
    if matches!(rule, Rule::Quorum | Rule::Minority | Rule::OldRound) && state.read_index.is_none()
    {
        let may_begin_round = !state.round.is_open || !state.round.is_current;
        if may_begin_round {
            add_successor(&|next| {
                next.round = Round { is_open: true, is_current: true, replies: [None; STORES] };
            });
        }
        for store in 0..STORES {
            if state.round.is_open && state.round.replies[store].is_none() {
                add_successor(&|next| next.round.replies[store] = Some(next.disks[store]));
            }
        }
        let replies = state.round.replies.iter().flatten().count();
        let required_replies = if rule == Rule::Minority { 1 } else { STORES / 2 + 1 };
        let is_accepted = state.round.is_current || rule == Rule::OldRound;
        if state.round.is_open && is_accepted && replies >= required_replies {
            // The highest reply of a majority is at least any revision committed before the round began.
            let highest = state.round.replies.iter().flatten().max().copied();
            add_successor(&|next| {
                next.read_index = highest;
                next.round = Round::default();
            });
            // The same reply may arrive again, late.
            add_successor(&|next| next.read_index = highest);
        }
    }
    // The node routes by its configuration once that has reached the read index, and reports so later or
    // never.
    if state.read_index.is_some_and(|read_index| state.config >= read_index) && state.config > 0 {
        add_successor(&|next| {
            next.routed_revision = next.config;
            next.highest_routed = next.highest_routed.max(next.config);
        });
        if state.routed_revision > 0 {
            for peer in 0..2 {
                add_successor(&|next| {
                    next.reported[peer] = next.reported[peer].max(next.routed_revision)
                });
            }
        }
    }
    successors
}

/// Explores all reachable states. Returns their number, the path to the first state in which the node routes
/// by a lower revision than an earlier incarnation did, and whether a restarted node can route by the highest
/// revision.
fn search(rule: Rule) -> (usize, Option<Vec<State>>, bool) {
    let start = State::default();
    let mut visited: HashSet<State> = HashSet::from([start.clone()]);
    let mut queue: VecDeque<usize> = VecDeque::from([0]);
    let mut states = vec![(start, 0)];
    let mut serves_after_restart = false;
    while let Some(index) = queue.pop_front() {
        let state = states[index].0.clone();
        serves_after_restart |= state.incarnations > 1 && state.routed_revision == REVISIONS;
        if state.routed_revision > 0 && state.routed_revision < state.highest_routed {
            let mut path = vec![state];
            let mut ancestor = index;
            while ancestor != 0 {
                ancestor = states[ancestor].1;
                path.insert(0, states[ancestor].0.clone());
            }
            return (visited.len(), Some(path), serves_after_restart);
        }
        for next in next_states(&state, rule) {
            if visited.insert(next.clone()) {
                states.push((next, index));
                queue.push_back(states.len() - 1);
            }
        }
    }
    (visited.len(), None, serves_after_restart)
}

/// No order of messages, losses and restarts makes an incarnation route by a lower revision than an earlier
/// one, and a restarted node can reach the highest revision.
#[test]
fn a_quorum_round_after_the_start_prevents_a_rollback() {
    let (states, violation, serves_after_restart) = search(Rule::Quorum);
    assert!(violation.is_none(), "{violation:#?}");
    assert!(serves_after_restart);
    assert!(states > 10_000, "{states} states");
    println!("{states} states");
}

#[test]
fn without_a_read_index_a_lagging_peer_causes_a_rollback() {
    assert!(search(Rule::NoReadIndex).1.is_some());
}

#[test]
fn a_read_index_from_late_reports_does_not_prevent_a_rollback() {
    assert!(search(Rule::ReportedLate).1.is_some());
}

#[test]
fn a_minority_of_stores_does_not_prevent_a_rollback() {
    assert!(search(Rule::Minority).1.is_some());
}

#[test]
fn a_round_from_before_the_start_does_not_prevent_a_rollback() {
    assert!(search(Rule::OldRound).1.is_some());
}
