//! A client on a plain socket with a small receive buffer that reads slowly and sends requests without waiting
//! for responses, until the connection is gone.

use super::http_requests::is_correct;
use super::plain_requests::request_text;
use super::shared::{PendingRequest, SharedState};
use super::{FILING_PROBABILITY, RESPONSE_TIMEOUT};
use crate::raw_client::{Pace, RawClient, RawResponse, StreamEnd, Tick};
use crate::sim::Random;
use crate::soak::record::{RequestEnd, RequestKind};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use vanepath_config::execution_status;

const PACE: Pace = Pace { send_interval: Duration::from_millis(25), ..Pace::SLOW };
/// Share of downloads among the requests.
const DOWNLOAD_PROBABILITY: f64 = 0.12;
/// The maximum number of requests that wait for their responses.
const MAX_PENDING_REQUESTS: usize = 48;

/// Uses one connection until it is gone, or until the soak test is over and all responses are there.
pub(super) async fn send_without_pause(
    shared: &SharedState,
    address: SocketAddr,
    proxy: usize,
    random: &mut Random,
) {
    let Ok(client) = RawClient::connect(address, PACE).await else { return };
    let mut session = Session { shared, client, proxy, pending: VecDeque::new() };
    let end = session.run(random).await;
    session.record_pending(&end);
}

struct Session<'s> {
    shared: &'s SharedState,
    client: RawClient,
    proxy: usize,
    /// The requests that wait for their responses, in the order in which they were sent.
    pending: VecDeque<PendingRequest>,
}

impl Session<'_> {
    /// Returns how the requests end that have no response.
    async fn run(&mut self, random: &mut Random) -> RequestEnd {
        loop {
            let end = match self.client.tick().await {
                Tick::Read => self.read(),
                Tick::Send => self.send(random),
            };
            match end {
                Some(StreamEnd::EndOfStream) => return RequestEnd::ConnectionClosed,
                Some(_) => return RequestEnd::ConnectionReset,
                None => {}
            }
            let oldest = self.pending.front();
            if oldest.is_some_and(|request| self.shared.age(request) > RESPONSE_TIMEOUT) {
                return RequestEnd::Timeout;
            }
            if self.shared.is_over() && oldest.is_none() {
                return RequestEnd::ConnectionClosed;
            }
        }
    }

    fn read(&mut self) -> Option<StreamEnd> {
        let end = self.client.read_once();
        for response in self.client.take_responses() {
            let Some(request) = self.pending.pop_front() else { break };
            let end = response_end(&request, &response);
            self.shared.record(request, end);
        }
        end
    }

    fn send(&mut self, random: &mut Random) -> Option<StreamEnd> {
        let may_send = !self.shared.is_over() && self.pending.len() < MAX_PENDING_REQUESTS;
        let sent = if may_send && !self.client.has_unsent() {
            let request = PendingRequest::new(self.shared, request_kind(random), self.proxy);
            let text = request_text(&request);
            self.pending.push_back(request);
            self.client.send(text.as_bytes())
        } else {
            self.client.send_unsent()
        };
        sent.err().map(|error| StreamEnd::Failed(error.kind()))
    }

    fn record_pending(&mut self, end: &RequestEnd) {
        for request in std::mem::take(&mut self.pending) {
            self.shared.record(request, end.clone());
        }
    }
}

fn request_kind(random: &mut Random) -> RequestKind {
    if random.chance(DOWNLOAD_PROBABILITY) {
        RequestKind::Download
    } else if random.chance(FILING_PROBABILITY) {
        RequestKind::Filing
    } else {
        RequestKind::Lookup
    }
}

/// How a request ended that got this complete response. Bytes that are no response count as a success with a
/// wrong body, as they do for the other clients.
pub(super) fn response_end(request: &PendingRequest, response: &RawResponse) -> RequestEnd {
    let is_valid = response.status > 0;
    RequestEnd::Response {
        status: if is_valid { response.status } else { 200 },
        execution: response.header(execution_status::HEADER).unwrap_or_default().to_string(),
        is_correct: is_valid && is_correct(request, &response.body),
    }
}
