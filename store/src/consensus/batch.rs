//! Continuation from a committed value: applies the round's operation and the queued changes, which are
//! proposed in one batch under the same ballot (design 6.2).

use super::event::Effect;
use super::queue::MAX_QUEUED_OPERATIONS;
use super::quorum::is_member;
use super::replica::{BackgroundCall, Replica};
use super::round::{
    Operation, PendingChange, Phase, PlannedReply, Replacement, ReplicaStatus, Round,
};
use super::transitions::{KeyedChange, apply_change, apply_replacement, cloned_values};
use crate::protocol::{Change, Outcome, Request, Response};
use crate::value::{AcceptedProposal, Ballot, Value, digest_of};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of changes in one batch.
const MAX_BATCH_CHANGES: usize = 64;
/// Maximum encoded size of one batch, in bytes.
const MAX_BATCH_BYTES: usize = vanepath_cluster::wire::MAX_FRAME_BYTES / 2;

/// Versions to propose in one round, oldest first, and the replies to send once they are committed.
struct Batch {
    versions: Vec<Arc<Value>>,
    replies: Vec<PlannedReply>,
}

/// A batch under construction, and the latest version, from which the next one is derived.
struct BatchBuilder {
    latest: Arc<Value>,
    latest_accepted: AcceptedProposal,
    versions: Vec<Arc<Value>>,
    replies: Vec<PlannedReply>,
    bytes: usize,
    /// Changes that make no version and may be answered only once the batch is committed.
    unconfirmed: Vec<Operation>,
}

impl BatchBuilder {
    fn push(&mut self, pending: &PendingChange, mut version: Value) {
        version.batched_before = self.versions.len() as u32;
        let encoded = version.encode();
        self.bytes += encoded.len();
        self.latest_accepted.revision = version.revision;
        self.latest_accepted.digest = digest_of(&encoded);
        let (revision, config_revision) = (version.revision, version.config_revision);
        let is_repeat = match pending.change {
            // A superseded configuration version is only recorded; the configuration in force stays.
            Change::ReplaceConfig { .. } => config_revision != revision,
            Change::DrainZone { .. } | Change::RestoreZone { .. } => {
                version.drained_zones == self.latest.drained_zones
            }
        };
        let outcome = Outcome::Accepted { revision, config_revision, is_repeat };
        self.replies.push(PlannedReply { ticket: pending.ticket, outcome });
        self.latest = Arc::new(version);
        self.versions.push(self.latest.clone());
    }

    /// Whether another change fits, if its version is as large as the average so far.
    fn has_room(&self) -> bool {
        let mean = self.bytes / self.versions.len().max(1);
        self.unconfirmed.len() < MAX_QUEUED_OPERATIONS
            && self.versions.len() < MAX_BATCH_CHANGES
            && self.bytes + mean <= MAX_BATCH_BYTES
    }
}

impl Replica {
    /// Called when the accepted value is known to be committed. Applies the round's operation to it, and then
    /// the queued operations that may be carried out under `ballot`. `None`: no ballot is held.
    pub(super) fn continue_from_committed(
        &mut self,
        now: Duration,
        ballot: Option<Ballot>,
        effects: &mut Vec<Effect>,
    ) {
        // Whether the round began after its operation was requested.
        let mut began_after_request = true;
        loop {
            let round = self.round.take().or_else(|| {
                began_after_request = false;
                self.next_round_under(ballot, now)
            });
            let Some(mut round) = round else { return };
            let Some((accepted, value)) = self.accepted_value() else {
                return;
            };
            let (accepted, value) = (*accepted, value.clone());
            let mut versions = match round.operation {
                Operation::Change(pending) if ballot.is_some() => {
                    let batch =
                        self.build_batch(pending, &value, &accepted, began_after_request, effects);
                    if batch.versions.is_empty() {
                        // The operations left in the queue need a round of their own.
                        return;
                    }
                    round.operation = Operation::Batch { replies: batch.replies };
                    batch.versions
                }
                // The round was a query; a write still needs a ballot.
                Operation::Change(_) => Vec::new(),
                Operation::Replace(ref replacement) => {
                    replacement_version(&round, replacement, &value, &accepted)
                }
                _ => {
                    self.finish_read(round, effects);
                    continue;
                }
            };
            let Some(ballot) = ballot else {
                self.prepare(&mut round, effects);
                self.round = Some(round);
                return;
            };
            if let Some(latest) = versions.pop() {
                let proposal = self.propose(&mut round, ballot, latest, versions, effects);
                round.phase = Phase::Proposing(proposal);
                self.round = Some(round);
                return self.advance(now, effects);
            }
        }
    }

    /// The next queued operation, if it may be carried out under this ballot. A replacement needs a prepare
    /// phase of its own, which shows that enough members can accept it: a member table that too few members
    /// can accept would block all later operations. A read needs a round that began after the read was
    /// requested: since this ballot was promised, another store may have committed later versions
    /// (incident 0011).
    fn next_round_under(&mut self, ballot: Option<Ballot>, now: Duration) -> Option<Round> {
        let ballot = ballot?;
        // This replica may have promised a higher ballot in the meantime.
        if self.state.promised != ballot {
            return None;
        }
        match self.queue.pop_front()? {
            operation @ (Operation::Replace(_)
            | Operation::ReadIndex { .. }
            | Operation::Read { .. }
            | Operation::History { .. }) => {
                self.queue.push_front(operation);
                None
            }
            operation => Some(Round { attempts: 1, ..Round::new(operation, now) }),
        }
    }

    /// Applies a change and the other queued changes, each deriving a version from the one before, to be
    /// proposed in one round.
    ///
    /// The answer to a change that makes no version depends on the value known as committed. The change is
    /// answered at once if it is the first one and the round began after it was requested
    /// (`began_after_request`), else once a version of the batch is committed. If the batch has no version,
    /// the change goes back to the queue for a round of its own: another store may have committed later
    /// versions since this round began (incident 0011).
    fn build_batch(
        &mut self,
        first: PendingChange,
        value: &Arc<Value>,
        accepted: &AcceptedProposal,
        began_after_request: bool,
        effects: &mut Vec<Effect>,
    ) -> Batch {
        let mut builder = BatchBuilder {
            latest: value.clone(),
            latest_accepted: *accepted,
            versions: Vec::new(),
            replies: Vec::new(),
            bytes: 0,
            unconfirmed: Vec::new(),
        };
        let mut is_confirmed = began_after_request;
        let mut next = Some(first);
        while let Some(pending) = next.take() {
            let request = KeyedChange {
                key: &pending.key,
                is_generated: pending.has_generated_key,
                change: &pending.change,
                known_revision: pending.known_revision,
            };
            match apply_change(&builder.latest, &builder.latest_accepted, &request) {
                Err(outcome) if is_confirmed => {
                    let response = Response::Outcome(outcome);
                    effects.push(Effect::Reply { ticket: pending.ticket, response });
                }
                Err(outcome) => {
                    builder.replies.push(PlannedReply { ticket: pending.ticket, outcome });
                    builder.unconfirmed.push(Operation::Change(pending));
                }
                Ok(version) => builder.push(&pending, version),
            }
            is_confirmed = false;
            if builder.has_room() {
                next = self.next_queued_change();
            }
        }
        let BatchBuilder { versions, mut replies, unconfirmed, .. } = builder;
        if versions.is_empty() {
            replies.clear();
            for operation in unconfirmed.into_iter().rev() {
                self.queue.push_front(operation);
            }
        }
        Batch { versions, replies }
    }

    fn next_queued_change(&mut self) -> Option<PendingChange> {
        let is_change = |operation: &Operation| matches!(operation, Operation::Change(_));
        let index = self.queue.iter().position(is_change)?;
        match self.queue.remove(index) {
            Some(Operation::Change(pending)) => Some(pending),
            _ => None,
        }
    }

    /// Sends the committed version, under the ballot of its proposal, to the replicas that a repair found
    /// behind.
    pub(super) fn repair_replicas(
        &mut self,
        committed: AcceptedProposal,
        statuses: &BTreeMap<u64, ReplicaStatus>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(value) = self.value.clone() else {
            return;
        };
        let from = self.own_incarnation();
        for (incarnation, status) in statuses {
            if *incarnation != from
                && is_member(&value.members, *incarnation)
                && status.accepted.is_none_or(|accepted| accepted.rank() < committed.rank())
            {
                let (value, batch) = ((*value).clone(), cloned_values(&self.batch));
                let request = Request::Accept { from, ballot: committed.ballot, value, batch };
                let call = self.send(*incarnation, request, effects);
                self.background_calls.insert(call, BackgroundCall::Repair);
            }
        }
    }
}

/// The version that a replacement makes. None if the member to be replaced has promised this round's ballot,
/// which shows that it is back.
fn replacement_version(
    round: &Round,
    replacement: &Replacement,
    value: &Value,
    accepted: &AcceptedProposal,
) -> Vec<Arc<Value>> {
    match replacement.replaced {
        Some(replaced) if round.promised_by.contains(&replaced) => Vec::new(),
        _ => apply_replacement(value, accepted, replacement).into_iter().collect(),
    }
}
