//! Clients on plain sockets that send one request on each connection: an upload that is rejected while it is
//! sent, or a request after which the client closes its sending side.

use super::RESPONSE_TIMEOUT;
use super::never_pausing::response_end;
use super::plain_requests::request_text;
use super::shared::{PendingRequest, SharedState};
use crate::raw_client::{Pace, RawClient, Received, StreamEnd};
use crate::soak::record::{RequestEnd, RequestKind};
use std::net::SocketAddr;
use std::time::Duration;

/// What is sent of an upload before and after its rejection has arrived, in bytes.
const UPLOAD_START_BYTES: usize = 64 << 10;
const UPLOAD_REST_BYTES: usize = 512 << 10;
const UPLOAD_PIECE_BYTES: usize = 32 << 10;

/// Sends the beginning of an upload that is too large, waits until its rejection has arrived, sends more, and only
/// then reads.
pub(super) async fn send_rejected_upload(shared: &SharedState, address: SocketAddr, proxy: usize) {
    let request = PendingRequest::new(shared, RequestKind::RejectedUpload, proxy);
    let Ok(client) = RawClient::connect(address, Pace::MODERATE).await else { return };
    let exchange = upload(client, request_text(&request).into_bytes());
    let received = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await;
    let end = match received {
        Ok(Some(received)) => end_of(&request, received),
        Ok(None) => RequestEnd::ConnectionReset,
        Err(_) => RequestEnd::Timeout,
    };
    shared.record(request, end);
}

/// Returns `None` if sending fails.
async fn upload(mut client: RawClient, head: Vec<u8>) -> Option<Received> {
    let start = [head, vec![b'x'; UPLOAD_START_BYTES]].concat();
    client.send_all([start]).await.ok()?;
    let _ = client.wait_until_readable(RESPONSE_TIMEOUT).await;
    let pieces = UPLOAD_REST_BYTES / UPLOAD_PIECE_BYTES;
    client.send_all((0..pieces).map(|_| vec![b'x'; UPLOAD_PIECE_BYTES])).await.ok()?;
    Some(client.read(1, RESPONSE_TIMEOUT).await)
}

/// Sends a request, closes the sending side, and reads. A proxy may take the client for one that has left.
pub(super) async fn send_and_half_close(
    shared: &SharedState,
    address: SocketAddr,
    proxy: usize,
    kind: RequestKind,
) {
    let request = PendingRequest::new(shared, kind, proxy);
    let Ok(mut client) = RawClient::connect(address, Pace::MODERATE).await else { return };
    let text = request_text(&request);
    let sent = client.send(text.as_bytes()).and_then(|()| client.finish_sending());
    let received = match sent {
        Ok(()) => Some(client.read(1, RESPONSE_TIMEOUT + Duration::from_secs(1)).await),
        Err(_) => None,
    };
    let response = received.and_then(|received| received.responses.into_iter().next());
    let end =
        response.map_or(RequestEnd::LeftByClient, |response| response_end(&request, &response));
    shared.record(request, end);
}

fn end_of(request: &PendingRequest, received: Received) -> RequestEnd {
    match (received.responses.first(), received.end) {
        (Some(response), _) => response_end(request, response),
        (None, StreamEnd::EndOfStream) => RequestEnd::ConnectionClosed,
        (None, StreamEnd::Failed(_)) => RequestEnd::ConnectionReset,
        (None, StreamEnd::Open) => RequestEnd::Timeout,
    }
}
