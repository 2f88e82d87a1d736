//! A call at the stores: one question asked of one store after the other until one can tell
//! (design 7.5). Pure; for writes it keeps in mind whether an earlier try may have got through.

use std::time::Duration;
use vanepath_cluster::wire;
use vanepath_store::protocol::{Change, Outcome, Request, Response};
use vanepath_store::retransmission;

/// A question is asked again for so long.
pub const TIMEOUT: Duration = Duration::from_millis(4000);
/// One store has so long to reply: four legs over a slow network. Two that died lately leave time for
/// the third.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);
const PAUSE: Duration = Duration::from_millis(100);

#[derive(Debug)]
pub enum NextAction {
    Send(Box<wire::NodeInfo>),
    Pause(Duration),
    End(Outcome),
}

pub struct StoreRequest {
    question: Request,
    begun_at: Duration,
    until: Duration,
    round: Vec<wire::NodeInfo>,
    /// Stores that were silent when this call asked them: asked again only after all others.
    silent: Vec<String>,
    asked: String,
    started: bool,
    is_doubtful: bool,
    why: String,
}

impl StoreRequest {
    pub fn new(question: Request, now: Duration) -> StoreRequest {
        StoreRequest {
            question,
            begun_at: now,
            until: now + TIMEOUT,
            round: Vec::new(),
            silent: Vec::new(),
            asked: String::new(),
            started: false,
            is_doubtful: false,
            why: "no store is in reach".to_string(),
        }
    }

    /// What to ask now: a store is told how long an order without a caller's key has waited.
    pub fn question(&self, now: Duration) -> Request {
        let mut question = self.question.clone();
        if let Request::Change { keyless_for: Some(waited), .. } = &mut question {
            *waited += now.saturating_sub(self.begun_at);
        }
        question
    }

    /// What to tell all stores once the caller of an order is answered, if it surely gets that in its
    /// time: it isn't sent again then, and the next one like it is another one (design 6.10).
    pub fn answered(&self, now: Duration, outcome: &Outcome) -> Option<Request> {
        let Request::Change { change, keyless_for: Some(waited), .. } = &self.question else {
            return None;
        };
        if matches!(change, Change::ReplaceConfig { .. }) {
            return None;
        }
        let Outcome::Accepted { revision, .. } = outcome else { return None };
        let is_in_time =
            *waited + now.saturating_sub(self.begun_at) < retransmission::OVERTAKEN_AFTER;
        let (matter, revision) = (change.content_hash(), *revision);
        is_in_time.then_some(Request::Acknowledge { content_hash: matter, revision })
    }

    fn is_write(&self) -> bool {
        matches!(self.question, Request::Change { .. })
    }

    /// `stores`: those that are live and vote, in the agreed order.
    pub fn next(&mut self, now: Duration, stores: Vec<wire::NodeInfo>) -> NextAction {
        self.round.retain(|card| stores.iter().any(|one| one.name == card.name));
        if let Some(card) = self.round.pop() {
            if now < self.until {
                self.asked = card.name.clone();
                return NextAction::Send(Box::new(card));
            }
            self.round.clear();
        }
        if now >= self.until {
            return NextAction::End(if self.is_doubtful {
                Outcome::Unknown
            } else {
                Outcome::NotApplied { reason: self.why.clone() }
            });
        }
        self.round = stores.clone();
        self.round.sort_by_key(|card| self.silent.contains(&card.name));
        self.round.reverse();
        if std::mem::replace(&mut self.started, true) || self.round.is_empty() {
            return NextAction::Pause(PAUSE);
        }
        self.next(now, stores)
    }

    /// `None`: no reply. Once one try of a write may have got through, only a store's own word
    /// ends the doubt.
    pub fn told(&mut self, tell: Option<Response>) -> Option<Outcome> {
        if tell.is_none() {
            self.silent.push(self.asked.clone());
        }
        match tell {
            Some(Response::Outcome(Outcome::NotApplied { reason: why })) => self.why = why,
            Some(Response::Outcome(Outcome::Unknown)) | None => self.is_doubtful |= self.is_write(),
            Some(Response::Outcome(outcome)) => return Some(outcome),
            Some(_) => {}
        }
        None
    }
}

/// Live stores that vote, in the order of the table of seats: the first of them proposes.
pub fn stores(view: &vanepath_cluster::node::ClusterView) -> Vec<wire::NodeInfo> {
    let is_there = |report: &wire::NodeStatus| report.ready && !report.draining;
    let mut stores: Vec<(Option<u8>, &wire::NodeInfo)> = view
        .live
        .iter()
        .filter(|(card, report)| card.role == wire::Role::Store && is_there(report))
        .map(|(card, report)| (report.disk.and_then(|disk| disk.slot), card))
        .collect();
    stores.sort_by_key(|(seat, _)| *seat);
    stores.into_iter().map(|(_, card)| card.clone()).collect()
}

#[cfg(test)]
mod tests;
