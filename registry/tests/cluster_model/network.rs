//! The simulated network: messages in flight, delays, message loss and pull time-outs.

use super::{ClusterModel, address_of_node};
use std::time::Duration;
use vanepath_cluster::gossip::Event;
use vanepath_cluster::wire::{PullRequest, PullResponse};

pub(super) enum Message {
    Request { from: usize, pull: Box<PullRequest> },
    Response { responder: usize, response: Box<PullResponse> },
}

/// A pull in flight and its time-out.
#[derive(Clone, Copy)]
pub(super) struct PendingPull {
    pub(super) number: u64,
    pub(super) deadline: Duration,
}

impl ClusterModel {
    pub(super) fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let ((_, number), (to, message)) = entry.remove_entry();
            if let Some(resumes_at) = self.resumes_at(to) {
                self.messages.insert((resumes_at, number), (to, message));
                continue;
            }
            if self.is_stopped(to) {
                continue;
            }
            match message {
                Message::Request { from, pull } => {
                    self.tickets.insert((to, number), from);
                    self.step(to, Event::PullReceived { ticket: number, request: *pull });
                }
                Message::Response { responder, response } => {
                    if self.pending_pulls.remove(&(to, responder)).is_some() {
                        self.connected.insert((to, responder));
                        let address = address_of_node(responder);
                        self.step(to, Event::PullCompleted { address, response: Some(response) });
                    }
                }
            }
        }
    }

    /// Ends pulls whose time-out has expired, and closes their connections.
    pub(super) fn time_out_pulls(&mut self) {
        let now = self.now;
        let expired = self.pending_pulls.iter().filter(|(_, pull)| pull.deadline <= now);
        let expired: Vec<(usize, usize)> = expired.map(|(pair, _)| *pair).collect();
        for (requester, responder) in expired {
            if self.is_stopped(requester) {
                continue;
            }
            self.pending_pulls.remove(&(requester, responder));
            self.connected.remove(&(requester, responder));
            let address = address_of_node(responder);
            self.step(requester, Event::PullCompleted { address, response: None });
        }
    }

    /// Whether messages from one node currently reach the other.
    fn is_reachable(&self, from: usize, to: usize) -> bool {
        let is_partitioned =
            self.one_way_partition.as_ref().is_some_and(|time| time.contains(&self.now));
        !(is_partitioned && to == 0 && from < self.registries)
    }

    pub(super) fn send(&mut self, from: usize, to: usize, message: Message) {
        self.message_count += 1;
        if !self.is_reachable(from, to) {
            return;
        }
        let delay = self.nodes[from].one_way_delay + self.nodes[to].one_way_delay;
        let jitter = Duration::from_micros((self.random_fraction() * 3000.0) as u64);
        self.messages.insert((self.now + delay + jitter, self.message_count), (to, message));
    }

    pub(super) fn pull(&mut self, from: usize, to: usize, pull: PullRequest) {
        let wait = Duration::from_millis(u64::from(pull.wait_ms) + 1000);
        let number = self.message_count + 1;
        self.pending_pulls.insert((from, to), PendingPull { number, deadline: self.now + wait });
        // Opening a connection requires both directions.
        if self.connected.contains(&(from, to)) || self.is_reachable(to, from) {
            self.send(from, to, Message::Request { from, pull: Box::new(pull) });
        }
    }
}
