//! Sends several lookups at once on one connection, by HTTP pipelining (RFC 9112, 9.3.2).

use super::http_requests::is_correct;
use super::plain_requests::request_text;
use super::shared::{PendingRequest, SharedState};
use super::{RESPONSE_TIMEOUT, UsagePattern};
use crate::sim::Random;
use crate::soak::record::{RequestEnd, RequestKind};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use vanepath_config::execution_status;

/// Number of lookups that are sent at once.
const PIPELINE_DEPTH: usize = 4;
const MAX_HEADERS: usize = 32;
const READ_BUFFER_BYTES: usize = 16 << 10;

/// How a pipelined request ended.
struct PipelinedEnd {
    end: RequestEnd,
    /// Whether no further response will be read from the connection.
    is_last: bool,
}

/// Repeatedly sends several lookups at once and reads their responses in order, until the connection closes.
pub(super) async fn send_pipelined(
    shared: &SharedState,
    mut stream: TcpStream,
    proxy: usize,
    random: &mut Random,
) {
    let mut received = Vec::new();
    while !shared.is_over() {
        let requests: Vec<PendingRequest> = (0..PIPELINE_DEPTH)
            .map(|_| PendingRequest::new(shared, RequestKind::Lookup, proxy))
            .collect();
        let text: String = requests.iter().map(request_text).collect();
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        let mut requests = requests.into_iter();
        while let Some(request) = requests.next() {
            let timeout = RESPONSE_TIMEOUT * PIPELINE_DEPTH as u32;
            let reading = read_response(&mut stream, &mut received, &request);
            let ended = tokio::time::timeout(timeout, reading).await;
            let PipelinedEnd { end, is_last } =
                ended.unwrap_or(PipelinedEnd { end: RequestEnd::Timeout, is_last: true });
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

/// Reads the next response. `received` holds bytes that were already read from the connection.
async fn read_response(
    stream: &mut TcpStream,
    received: &mut Vec<u8>,
    request: &PendingRequest,
) -> PipelinedEnd {
    loop {
        if let Some(response) = parse_response(received, request) {
            return response;
        }
        let mut buffer = [0; READ_BUFFER_BYTES];
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => received.extend_from_slice(&buffer[..count]),
            Ok(_) => return PipelinedEnd { end: RequestEnd::ConnectionClosed, is_last: true },
            Err(_) => return PipelinedEnd { end: RequestEnd::ConnectionReset, is_last: true },
        }
    }
}

/// Parses the first response in `received` and removes it. `None` if it is not complete yet.
fn parse_response(received: &mut Vec<u8>, request: &PendingRequest) -> Option<PipelinedEnd> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let body_start = match head.parse(received) {
        Ok(httparse::Status::Complete(body_start)) => body_start,
        Ok(httparse::Status::Partial) => return None,
        Err(_) => {
            let end =
                RequestEnd::Response { status: 200, execution: String::new(), is_correct: false };
            return Some(PipelinedEnd { end, is_last: true });
        }
    };
    let header = |name: &str| {
        let matching = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        matching.and_then(|header| std::str::from_utf8(header.value).ok()).unwrap_or("").to_string()
    };
    let body_bytes: usize = header("content-length").parse().unwrap_or(0);
    let status = head.code.unwrap_or(0);
    let execution = header(execution_status::HEADER);
    let is_last = header("connection").eq_ignore_ascii_case("close");
    let body = received.get(body_start..body_start + body_bytes)?.to_vec();
    received.drain(..body_start + body_bytes);
    let is_correct = is_correct(request, &body);
    Some(PipelinedEnd { end: RequestEnd::Response { status, execution, is_correct }, is_last })
}
