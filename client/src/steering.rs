//! The steering routine as a pure state machine: it polls a registry for the steering response,
//! orders the proxies to try for each request, and puts those that failed or stopped answering last.
//! While no registry replies, the last response stays in use.

mod address_health;
mod response;
mod retry_budget;

pub use address_health::{PENALTY_DURATION, SUSPICION_TIMEOUT};
pub use response::{
    MAX_TTL, Pathway, SteeringResponse, SteeringResponseError, SteeringRule, parse_response,
};

use address_health::AddressHealth;
use retry_budget::RetryBudget;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use vanepath_config::ExecutionStatus;

/// Delay between a failed poll and the poll of the next registry.
pub const POLL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Steering state of one client. All times are durations since a common origin that the caller chooses.
pub struct Steering {
    /// Registries to poll: first those of the last response, then the initial ones.
    registries: Vec<SocketAddr>,
    initial_registries: Vec<SocketAddr>,
    /// Position in `registries` (modulo its length) of the registry to poll.
    registry_index: usize,
    initial_uri: String,
    response: Option<SteeringResponse>,
    next_poll_at: Duration,
    is_polling: bool,
    health: AddressHealth,
    retry_budget: RetryBudget,
    spread: u64,
    /// Polls started.
    pub polls: u64,
    /// Polls that gave no usable response.
    pub polls_failed: u64,
    /// Changes from one pathway to another, over all rules.
    pub switches: u64,
    /// The pathway in use by name of the rule; requests that match no rule have the empty name.
    current_pathways: HashMap<String, String>,
}

impl Steering {
    /// State of a client without a steering response. `initial_uri` is the path and query of the first poll;
    /// `spread` is a number that differs between clients, so that they start at different addresses.
    pub fn new(registries: Vec<SocketAddr>, initial_uri: String, spread: u64) -> Steering {
        Steering {
            registry_index: spread as usize,
            initial_registries: registries.clone(),
            registries,
            initial_uri,
            response: None,
            next_poll_at: Duration::ZERO,
            is_polling: false,
            health: AddressHealth::default(),
            retry_budget: RetryBudget::default(),
            spread,
            polls: 0,
            polls_failed: 0,
            switches: 0,
            current_pathways: HashMap::new(),
        }
    }

    /// The steering response in use, if any was received.
    pub fn response(&self) -> Option<&SteeringResponse> {
        self.response.as_ref()
    }

    /// When the next poll is due.
    pub fn next_poll_at(&self) -> Duration {
        self.next_poll_at
    }

    /// Starts a poll if one is due; returns the registry to poll, and the path and query to request.
    pub fn start_poll(&mut self, now: Duration) -> Option<(SocketAddr, String)> {
        if self.is_polling || now < self.next_poll_at || self.registries.is_empty() {
            return None;
        }
        self.is_polling = true;
        self.polls += 1;
        let uri = self.response.as_ref().map_or(&self.initial_uri, |response| &response.reload_uri);
        Some((self.polled_registry(), uri.clone()))
    }

    /// Ends the poll begun by [`Steering::start_poll`]; `response` is `None` if it gave no usable response.
    /// A response of an older revision than the one in use counts as a failed poll.
    pub fn finish_poll(&mut self, now: Duration, response: Option<SteeringResponse>) {
        self.is_polling = false;
        let is_older = |response: &SteeringResponse| {
            self.response.as_ref().is_some_and(|last| response.revision < last.revision)
        };
        match response {
            Some(response) if !is_older(&response) => {
                self.next_poll_at = now + response.ttl;
                self.update_registries(&response);
                self.response = Some(response);
            }
            _ => {
                self.polls_failed += 1;
                self.registry_index = self.registry_index.wrapping_add(1);
                self.next_poll_at = now + POLL_RETRY_DELAY;
            }
        }
    }

    fn polled_registry(&self) -> SocketAddr {
        self.registries[self.registry_index % self.registries.len()]
    }

    /// Adopts the registries that the response names, since registries may be replaced by others at new
    /// addresses. The initial ones follow them as a fallback.
    fn update_registries(&mut self, response: &SteeringResponse) {
        let polled = self.polled_registry();
        let mut registries = response.registries.clone();
        registries.extend(self.initial_registries.iter().copied());
        let mut seen = HashSet::new();
        registries.retain(|address| seen.insert(*address));
        self.registry_index = registries.iter().position(|address| *address == polled).unwrap_or(0);
        self.registries = registries;
    }

    /// Records a network error at an address: it is tried last for [`PENALTY_DURATION`]. A poll is due
    /// within [`POLL_RETRY_DELAY`], because a newer response may no longer list that address.
    pub fn penalize(&mut self, now: Duration, address: SocketAddr) {
        self.health.penalize(now, address);
        self.next_poll_at = self.next_poll_at.min(now + POLL_RETRY_DELAY);
    }

    /// Records that a request was sent to an address; [`Steering::request_finished`] must follow.
    pub fn request_started(&mut self, now: Duration, address: SocketAddr) {
        self.health.request_started(now, address);
    }

    /// Records the end of a request to an address. `was_answered`: a response was received, which shows that
    /// the address is alive.
    pub fn request_finished(&mut self, now: Duration, address: SocketAddr, was_answered: bool) {
        self.health.request_finished(now, address, was_answered);
    }

    /// Whether the response in use still lists this address. A request keeps its attempt order during its
    /// retries, and a zone may have been drained since that order was made.
    pub fn is_listed(&self, address: &SocketAddr) -> bool {
        self.response.as_ref().is_some_and(|response| response.lists(address))
    }

    /// Handles a rejection as misdirected (421), in which a proxy named the proxies that may forward the
    /// request. Those of them that are listed and untried replace the untried part of `order`, since all
    /// others would reject the request too; if there are none, `order` stays. The steering response that led
    /// to the rejection is outdated, so a poll is due at once. The first `tried` addresses of `order` were
    /// tried already.
    pub fn redirect(
        &mut self,
        now: Duration,
        order: &mut Vec<SocketAddr>,
        tried: usize,
        named: &[SocketAddr],
    ) {
        self.next_poll_at = self.next_poll_at.min(now);
        let tried = tried.min(order.len());
        let is_new =
            |address: &&SocketAddr| self.is_listed(address) && !order[..tried].contains(address);
        let mut next: Vec<SocketAddr> = named.iter().filter(is_new).copied().collect();
        if !next.is_empty() {
            let start = self.spread as usize % next.len();
            next.rotate_left(start);
            order.truncate(tried);
            order.extend(next);
        }
    }

    /// Whether a request is sent to the next address after this response. A response that every proxy would
    /// give is final and takes no token from the retry budget; a redirection (421) takes none either.
    pub fn should_retry(&mut self, now: Duration, status: u16, execution: ExecutionStatus) -> bool {
        let may_help = execution != ExecutionStatus::Ran && [421, 502, 503, 504].contains(&status);
        may_help && (status == 421 || self.retry_budget.take(now))
    }

    /// Whether an idempotent request may abandon a suspect address after a connection test there.
    /// `accepts_connections` is the result of that test. An address that accepts none is abandoned at once.
    /// One that does may only be slow, and after abandoning it the same work is done twice; this takes a
    /// token from the retry budget.
    pub fn may_abandon(
        &mut self,
        now: Duration,
        address: &SocketAddr,
        accepts_connections: bool,
    ) -> bool {
        self.is_suspect(now, address) && (!accepts_connections || self.retry_budget.take(now))
    }

    /// Whether a request may use a connection that is already open. A power loss or a network partition
    /// does not close a connection at this end; a request written to it then has an unknown execution
    /// status. An at-most-once request therefore needs an address that answered lately, or a new connection,
    /// whose handshake shows that the other end is alive.
    pub fn may_reuse_connection(
        &self,
        now: Duration,
        address: &SocketAddr,
        is_at_most_once: bool,
    ) -> bool {
        !is_at_most_once || self.health.answered_lately(now, address)
    }

    /// Whether the address has requests outstanding and has answered none for [`SUSPICION_TIMEOUT`]. An
    /// address that is slow but answers other requests is not suspect: after abandoning it the same work
    /// would be done twice.
    pub fn is_suspect(&self, now: Duration, address: &SocketAddr) -> bool {
        self.health.is_suspect(now, address)
    }

    /// Whether a request may be executed at most once; a request that matches no rule counts as such.
    pub fn is_at_most_once(&self, method: &str, host: &str, path: &str) -> bool {
        self.matching_rule(method, host, path).is_none_or(|rule| rule.is_at_most_once)
    }

    fn matching_rule(&self, method: &str, host: &str, path: &str) -> Option<&SteeringRule> {
        self.response.as_ref()?.rules.iter().find(|rule| rule.matches(method, host, path))
    }

    /// The addresses to try for a new request, in order: the pathways of the matching rule one after the
    /// other, each rotated by this client's spread. Penalized and suspect addresses come last; they are not
    /// left out, since all addresses may be penalized or suspect. Adds the request's share to the retry
    /// budget.
    pub fn attempt_order(
        &mut self,
        now: Duration,
        method: &str,
        host: &str,
        path: &str,
    ) -> Vec<SocketAddr> {
        self.retry_budget.deposit();
        self.health.expire_penalties(now);
        let Some(response) = &self.response else {
            return Vec::new();
        };
        let rule = self.matching_rule(method, host, path);
        let priority = rule.map_or(&response.priority, |rule| &rule.priority);
        let rule_name = rule.map_or(String::new(), |rule| rule.name.clone());
        let mut order = Vec::new();
        let mut last_resort = Vec::new();
        let mut chosen = None;
        for id in priority {
            let Some(pathway) = response.pathways.iter().find(|pathway| pathway.id == *id) else {
                continue;
            };
            for address in rotated(&pathway.addresses, self.spread as usize) {
                if self.health.is_penalized(&address) || self.health.is_suspect(now, &address) {
                    last_resort.push(address);
                } else {
                    chosen = chosen.or(Some(id.clone()));
                    order.push(address);
                }
            }
        }
        if let Some(chosen) = chosen {
            self.record_pathway(rule_name, chosen);
        }
        order.extend(last_resort);
        order
    }

    fn record_pathway(&mut self, rule_name: String, chosen: String) {
        let previous = self.current_pathways.insert(rule_name, chosen.clone());
        self.switches += u64::from(previous.is_some_and(|previous| previous != chosen));
    }
}

fn rotated(addresses: &[SocketAddr], start: usize) -> impl Iterator<Item = SocketAddr> {
    (0..addresses.len()).map(move |index| addresses[start.wrapping_add(index) % addresses.len()])
}

#[cfg(test)]
mod tests;
