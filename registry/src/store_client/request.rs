//! One request to the stores, with its attempts: which store is next, and what the outcome is.

use std::time::Duration;
use vanepath_cluster::node::ClusterView;
use vanepath_cluster::wire::{NodeInfo, Role};
use vanepath_store::protocol::{Change, Outcome, Request, Response};
use vanepath_store::retransmission;

/// A request is repeated for this long.
pub const TIMEOUT: Duration = Duration::from_millis(4000);
/// One store has this long to answer: four one-way delays of a slow network. Two stores that have just
/// failed leave time for the third.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);
/// The pause between two rounds over all stores.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// What the caller of [`StoreRequest::next`] has to do.
#[derive(Debug)]
pub enum NextAction {
    /// Send the request to this store and report its response.
    Send(Box<NodeInfo>),
    /// Wait this long, and then call [`StoreRequest::next`] again.
    Pause(Duration),
    /// The request has ended.
    End(Outcome),
}

/// One request to the stores, with its attempts. For a write it keeps track of whether an earlier attempt
/// may have been applied.
pub struct StoreRequest {
    request: Request,
    started_at: Duration,
    deadline: Duration,
    /// Stores still to be tried in this round, the next one last.
    round: Vec<NodeInfo>,
    /// Names of stores that did not answer an earlier attempt: they are tried after all others.
    unresponsive: Vec<String>,
    /// The store of the attempt in flight.
    current: String,
    has_started: bool,
    /// An attempt of a write had no definite outcome: it may have been applied.
    may_be_applied: bool,
    /// Why the last definite attempt was not applied.
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
            current: String::new(),
            has_started: false,
            may_be_applied: false,
            reason: "no store is in reach".to_string(),
        }
    }

    /// The request as it is to be sent at `now`: it tells a store how long a drain order without the
    /// client's idempotency key has been waiting (design 6.10).
    pub fn request_at(&self, now: Duration) -> Request {
        let mut request = self.request.clone();
        if let Request::Change { keyless_for: Some(waited), .. } = &mut request {
            *waited += now.saturating_sub(self.started_at);
        }
        request
    }

    /// The acknowledgement for all stores once the client of a drain order is answered, if the response
    /// surely reaches it in time: the client does not retransmit the order then, and the next one like
    /// it is another order (design 6.10).
    pub fn acknowledgement(&self, now: Duration, outcome: &Outcome) -> Option<Request> {
        let Request::Change { change, keyless_for: Some(waited), .. } = &self.request else {
            return None;
        };
        if matches!(change, Change::ReplaceConfig { .. }) {
            return None;
        }
        let Outcome::Accepted { revision, .. } = outcome else { return None };
        let is_in_time =
            *waited + now.saturating_sub(self.started_at) < retransmission::RESPONSE_DEADLINE;
        let (content_hash, revision) = (change.content_hash(), *revision);
        is_in_time.then_some(Request::Acknowledge { content_hash, revision })
    }

    fn is_write(&self) -> bool {
        matches!(self.request, Request::Change { .. })
    }

    /// What to do at `now`; `stores` are the live members in the order of the member table.
    pub fn next(&mut self, now: Duration, stores: Vec<NodeInfo>) -> NextAction {
        self.round.retain(|info| stores.iter().any(|store| store.name == info.name));
        if let Some(info) = self.round.pop() {
            if now < self.deadline {
                self.current = info.name.clone();
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

    /// Takes the response of the attempt in flight, `None` where there was none, and gives the outcome if
    /// it is final. Once an attempt of a write may have been applied, only a store's own definite outcome
    /// ends the doubt.
    pub fn on_response(&mut self, response: Option<Response>) -> Option<Outcome> {
        if response.is_none() {
            self.unresponsive.push(self.current.clone());
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

/// The live stores that are members, in the order of the member table: the first of them proposes.
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
