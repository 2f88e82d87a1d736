//! Sends single requests with hyper and checks their responses.

use super::shared::PendingRequest;
use crate::soak::invariants::DEADLINE;
use crate::soak::record::{RequestEnd, RequestKind};
use crate::stub::pattern;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Frame;
use hyper::client::conn::http1::SendRequest;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use vanepath_config::execution_status;

pub(super) const DOWNLOAD_BYTES: usize = 150_000;
/// Pause after each frame of a download, to read it slowly.
const DOWNLOAD_FRAME_DELAY: Duration = Duration::from_millis(30);
const UPLOAD_PIECES: usize = 12;
const UPLOAD_PIECE_BYTES: usize = 16 << 10;
/// Interval between the pieces of an upload. An upload takes about a second.
const UPLOAD_PIECE_INTERVAL: Duration = Duration::from_millis(80);

pub(super) type Body = BoxBody<Bytes, Infallible>;

/// Sends a request and reads its response.
pub(super) async fn send(sender: &mut SendRequest<Body>, request: &PendingRequest) -> RequestEnd {
    let Ok(response) = sender.send_request(http_request(request)).await else {
        return RequestEnd::ConnectionClosed;
    };
    let (head, mut body) = response.into_parts();
    let execution = head.headers.get(execution_status::HEADER);
    let execution = execution.and_then(|value| value.to_str().ok()).unwrap_or("").to_string();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return RequestEnd::ConnectionClosed };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        if request.kind == RequestKind::Download {
            tokio::time::sleep(DOWNLOAD_FRAME_DELAY).await;
        }
    }
    let status = head.status.as_u16();
    RequestEnd::Response { status, execution, is_correct: is_correct(request, &bytes) }
}

fn http_request(request: &PendingRequest) -> hyper::Request<Body> {
    let request_id = &request.request_id;
    let (method, target, body) = match request.kind {
        RequestKind::Lookup => ("GET", format!("/stock/{request_id}"), full(Bytes::new())),
        RequestKind::Filing => ("POST", "/orders".to_string(), full(request_id.clone())),
        RequestKind::Upload | RequestKind::RejectedUpload => {
            ("POST", "/orders".to_string(), upload())
        }
        RequestKind::Download => {
            let target = format!("/documents/{request_id}?size={DOWNLOAD_BYTES}");
            ("GET", target, full(Bytes::new()))
        }
    };
    hyper::Request::builder()
        .method(method)
        .uri(target)
        .header("host", "shop.example")
        .header("x-request", request_id)
        .header("vanepath-deadline-ms", DEADLINE.as_millis().to_string())
        .header("vanepath-api-key", request.key.text())
        .body(body)
        .expect("the request is valid")
}

/// Whether a body is the complete body of the successful response to this request.
pub(super) fn is_correct(request: &PendingRequest, bytes: &[u8]) -> bool {
    if request.kind == RequestKind::Download {
        return bytes == pattern(&request.request_id, DOWNLOAD_BYTES);
    }
    let Ok(value) = jzon::parse(&String::from_utf8_lossy(bytes)) else { return false };
    let body_bytes = match request.kind {
        RequestKind::Upload | RequestKind::RejectedUpload => UPLOAD_PIECES * UPLOAD_PIECE_BYTES,
        RequestKind::Filing => request.request_id.len(),
        RequestKind::Lookup | RequestKind::Download => 0,
    };
    value["request"].as_str() == Some(&request.request_id)
        && value["bodyBytes"].as_usize() == Some(body_bytes)
}

fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

fn upload() -> Body {
    let interval = tokio::time::interval(UPLOAD_PIECE_INTERVAL);
    UploadBody { remaining_pieces: UPLOAD_PIECES, interval }.boxed()
}

/// A body that is sent in pieces, one per interval.
struct UploadBody {
    remaining_pieces: usize,
    interval: tokio::time::Interval,
}

impl hyper::body::Body for UploadBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.remaining_pieces == 0 {
            return Poll::Ready(None);
        }
        ready!(self.interval.poll_tick(context));
        self.remaining_pieces -= 1;
        let piece = Bytes::from(vec![b'x'; UPLOAD_PIECE_BYTES]);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }
}
