//! The state machine of one request to the stores: selects the store of each attempt and determines the
//! outcome.

use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::{NodeInfo, Role};
use vanepath_store::protocol::{Outcome, Request, Response};

/// The time-out of a request with all its attempts.
pub const TIMEOUT: Duration = Duration::from_millis(4000);
/// The time-out of one attempt: four one-way delays of a slow network. After two attempts at stores that
/// have just failed there is time left for a third one.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);
/// The pause between two rounds over all stores.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// An action for the caller of [`StoreRequest::next`] to perform.
#[derive(Debug)]
pub enum NextAction {
    /// Send the request to this store and report its response.
    Send(Box<NodeInfo>),
    /// Wait this long, and then call [`StoreRequest::next`] again.
    Pause(Duration),
    /// End the request with this outcome.
    End(Outcome),
}

/// One request to the stores, with its attempts. For a write it tracks whether an earlier attempt may have
/// been applied.
pub struct StoreRequest {
    request: Request,
    started_at: Duration,
    deadline: Duration,
    /// Stores that have yet to be tried in this round, in reverse order.
    round: Vec<NodeInfo>,
    /// Names of stores that did not answer an earlier attempt; they are tried after all others.
    unresponsive: Vec<String>,
    /// The store of the attempt in flight.
    current_store: Option<NodeInfo>,
    has_started: bool,
    /// Whether an attempt of a write ended without a definite outcome, so that it may have been applied.
    may_be_applied: bool,
    /// The reason that the last store gave for not applying the request.
    reason: String,
}

impl StoreRequest {
    /// A request that starts at `now`.
    pub fn new(request: Request, now: Duration) -> StoreRequest {
        StoreRequest {
            request,
            started_at: now,
            deadline: now + TIMEOUT,
            round: Vec::new(),
            unresponsive: Vec::new(),
            current_store: None,
            has_started: false,
            may_be_applied: false,
            reason: "no store is in reach".to_string(),
        }
    }

    /// The request as sent at `now`. For a change without an idempotency key of the client it states how
    /// long the change has been waiting, for stores of earlier versions.
    pub fn request_at(&self, now: Duration) -> Request {
        let mut request = self.request.clone();
        if let Request::Change { keyless_for: Some(waiting_time), .. } = &mut request {
            *waiting_time += now.saturating_sub(self.started_at);
        }
        request
    }

    fn is_write(&self) -> bool {
        matches!(self.request, Request::Change { .. })
    }

    /// The next action at `now`; `stores` are the live members in the order of the member table.
    pub fn next(&mut self, now: Duration, stores: Vec<NodeInfo>) -> NextAction {
        self.round.retain(|info| stores.iter().any(|store| store.name == info.name));
        if let Some(info) = self.round.pop() {
            if now < self.deadline {
                self.current_store = Some(info.clone());
                return NextAction::Send(Box::new(info));
            }
            self.round.clear();
        }
        if now >= self.deadline {
            return NextAction::End(self.outcome_at_deadline());
        }
        self.round = stores.clone();
        self.round.sort_by_key(|info| self.unresponsive.contains(&info.name));
        self.round.reverse();
        if std::mem::replace(&mut self.has_started, true) || self.round.is_empty() {
            return NextAction::Pause(ROUND_PAUSE);
        }
        self.next(now, stores)
    }

    fn outcome_at_deadline(&self) -> Outcome {
        if self.may_be_applied {
            Outcome::Unknown
        } else {
            Outcome::NotApplied { reason: self.reason.clone() }
        }
    }

    /// Processes the response to the attempt in flight, or `None` if there was none, and returns the outcome
    /// if it is final. Once an attempt of a write may have been applied, only a definite outcome from a
    /// store resolves that uncertainty. `Overtaken` is one: no attempt of the write is applied after the newer
    /// one, since all have the same known revision.
    pub fn on_response(&mut self, response: Option<Response>) -> Option<Outcome> {
        if response.is_none() {
            self.unresponsive.extend(self.current_store.as_ref().map(|store| store.name.clone()));
        }
        match response {
            Some(Response::Outcome(Outcome::NotApplied { reason })) => self.reason = reason,
            Some(Response::Outcome(Outcome::Unknown)) | None => {
                self.may_be_applied |= self.is_write();
            }
            Some(Response::Outcome(outcome)) => return Some(outcome),
            Some(_) => {}
        }
        None
    }
}

/// The live stores that are available members, in the order of the member table; the first one is the
/// proposer.
pub fn stores(view: &ClusterView) -> Vec<NodeInfo> {
    let mut stores: Vec<(Option<u8>, &NodeInfo)> = view
        .live
        .iter()
        .filter(|(info, status)| info.role == Role::Store && status.is_available())
        .map(|(info, status)| (status.disk.and_then(|disk| disk.slot), info))
        .collect();
    stores.sort_by_key(|(slot, _)| *slot);
    stores.into_iter().map(|(_, info)| info.clone()).collect()
}
