//! The bootstrap: a configured number of empty stores agree on the first value (design 6.4). That value
//! counts as committed only once all of them hold it, so that a store that lost its disk can never start a
//! second history.

use super::event::Effect;
use super::quorum::member_incarnations;
use super::replica::Replica;
use super::round::{Operation, Phase, ReplicaStatus, Round};
use super::transitions::bootstrap_value;
use crate::protocol::Request;
use crate::value::{BOOTSTRAP_BALLOT, Member};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Interval at which an empty store checks whether it may bootstrap.
pub(super) const BOOTSTRAP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Replica {
    /// Queues a bootstrap if exactly the configured number of empty stores is live, no live store holds a
    /// value, and no committed revision is known from gossip. Only the first of the empty stores by name
    /// starts it.
    pub(super) fn enqueue_bootstrap(&mut self) {
        let is_value_known =
            self.heard_revision > 0 || self.live_stores.iter().any(|store| !store.is_empty);
        if self.identity.bootstrap_size == 0 || is_value_known {
            return;
        }
        let candidates = self.live_stores.iter().filter(|store| store.may_bootstrap);
        let by_name: BTreeMap<&str, u64> =
            candidates.clone().map(|store| (store.name.as_str(), store.incarnation)).collect();
        let may_start = candidates.count() == self.identity.bootstrap_size
            && by_name.len() == self.identity.bootstrap_size
            && by_name.values().next() == Some(&self.own_incarnation());
        if !may_start {
            return;
        }
        let member = |(name, incarnation): (&&str, &u64)| {
            Some(Member { name: name.to_string(), incarnation: *incarnation, joined_later: false })
        };
        let members = by_name.iter().map(member).collect();
        self.queue.push_back(Operation::Bootstrap { members });
    }

    /// Creates the bootstrap value, or sends it to the members that do not hold it yet. Does so only once all
    /// members replied and each of them is empty or holds this same value.
    pub(super) fn bootstrap(
        &mut self,
        mut round: Round,
        statuses: &BTreeMap<u64, ReplicaStatus>,
        effects: &mut Vec<Effect>,
    ) {
        let Operation::Bootstrap { members } = &round.operation else { return };
        if !member_incarnations(members).all(|incarnation| statuses.contains_key(&incarnation)) {
            return;
        }
        if self.is_empty() {
            if self.heard_revision > 0 {
                return;
            }
            let can_join =
                |status: &ReplicaStatus| status.is_empty && status.bootstrap_size == members.len();
            if !statuses.values().all(can_join) || self.identity.bootstrap_size != members.len() {
                return;
            }
            effects.push(Effect::Log(format!("bootstrap with {} empty stores", members.len())));
            let value = Arc::new(bootstrap_value(members.clone()));
            self.accept(BOOTSTRAP_BALLOT, value, Vec::new(), effects);
        }
        let (Some((own_accepted, value)), true) = (self.accepted_value(), self.is_bootstrapping())
        else {
            return;
        };
        let (own_accepted, value) = (*own_accepted, value.clone());
        let from = self.own_incarnation();
        let mut accepts = BTreeSet::from([from]);
        for (incarnation, status) in
            statuses.iter().filter(|(incarnation, _)| **incarnation != from)
        {
            if status.accepted == Some(own_accepted) {
                accepts.insert(*incarnation);
            } else if status.is_empty {
                let (value, batch) = ((*value).clone(), Vec::new());
                let request = Request::Accept { from, ballot: BOOTSTRAP_BALLOT, value, batch };
                let call = self.send(*incarnation, request, effects);
                round.in_flight.insert(call, *incarnation);
            } else {
                // The member already holds a later value, or a different one.
                return;
            }
        }
        round.phase = Phase::Bootstrapping { accepts };
        self.round = Some(round);
    }
}
