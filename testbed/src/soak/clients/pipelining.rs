//! Sends several lookups at once on one connection, by HTTP pipelining (RFC 9112, 9.3.2).

use super::never_pausing::response_end;
use super::plain_requests::request_text;
use super::shared::{PendingRequest, SharedState};
use super::{RESPONSE_TIMEOUT, UsagePattern};
use crate::raw_client::{Pace, RawClient, RawResponse, StreamEnd};
use crate::sim::Random;
use crate::soak::record::{RequestEnd, RequestKind};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of lookups that are sent at once.
const PIPELINE_DEPTH: usize = 4;
/// Time-out of a response, which may wait for those before it.
const PIPELINED_RESPONSE_TIMEOUT: Duration =
    Duration::from_secs(RESPONSE_TIMEOUT.as_secs() * PIPELINE_DEPTH as u64);

/// Repeatedly sends several lookups at once and reads their responses in order, until the connection closes.
pub(super) async fn send_pipelined(
    shared: &SharedState,
    address: SocketAddr,
    proxy: usize,
    random: &mut Random,
) {
    let Ok(mut client) = RawClient::connect(address, Pace::FAST).await else { return };
    while !shared.is_over() {
        let requests: Vec<PendingRequest> = (0..PIPELINE_DEPTH)
            .map(|_| PendingRequest::new(shared, RequestKind::Lookup, proxy))
            .collect();
        let text: String = requests.iter().map(request_text).collect();
        if client.send_all([text.into_bytes()]).await.is_err() {
            return;
        }
        let mut requests = requests.into_iter();
        while let Some(request) = requests.next() {
            let reading = client.next_response();
            let read = tokio::time::timeout(PIPELINED_RESPONSE_TIMEOUT, reading).await;
            let is_last = !matches!(&read, Ok(Ok(response)) if keeps_connection(response));
            let end = match read {
                Ok(Ok(response)) => response_end(&request, &response),
                Ok(Err(StreamEnd::EndOfStream)) => RequestEnd::ConnectionClosed,
                Ok(Err(_)) => RequestEnd::ConnectionReset,
                Err(_) => RequestEnd::Timeout,
            };
            shared.record(request, end);
            if is_last {
                // The requests behind it on the connection get no response either, even if servers executed
                // them.
                requests.for_each(|request| shared.record(request, RequestEnd::ConnectionClosed));
                return;
            }
        }
        tokio::time::sleep(UsagePattern::Pipelined.pause(random)).await;
    }
}

/// Whether further responses may follow on the connection.
fn keeps_connection(response: &RawResponse) -> bool {
    let announces_close =
        response.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    response.status > 0 && !announces_close
}
