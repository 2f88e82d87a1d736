//! Bodies of requests. Small ones are buffered, so that they can be sent again; larger ones are
//! streamed.

use super::Proxy;
use super::rejection::RejectionDetails;
use crate::lifecycle::{AttemptError, Rejection};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use vanepath_cluster::node::{self, Body, BodyError};

/// Bodies up to this size, in bytes, are buffered and can be sent again.
const MAX_REPLAYABLE_BYTES: usize = 64 << 10;

/// The body of a request for one or more attempts.
pub(super) enum ReplayableBody {
    /// The whole body, for any number of attempts.
    Buffered(Bytes),
    /// The body for a single attempt; `None` once an attempt has taken it.
    Streaming(Option<StreamingBody>),
}

impl ReplayableBody {
    /// Whether the body can be sent more than once.
    pub fn is_replayable(&self) -> bool {
        matches!(self, ReplayableBody::Buffered(_))
    }

    /// The body for the next attempt.
    ///
    /// # Errors
    /// [`AttemptError::NotSent`] if the body is streamed and an attempt has taken it already.
    pub fn next(&mut self) -> Result<Body, AttemptError> {
        match self {
            ReplayableBody::Buffered(bytes) => Ok(node::body(bytes.clone())),
            ReplayableBody::Streaming(body) => {
                Ok(body.take().ok_or(AttemptError::NotSent)?.boxed_unsync())
            }
        }
    }
}

/// Reads the body until it is complete or too large to buffer, at most until the deadline.
///
/// # Errors
/// [`Rejection::DeadlineExceeded`] after the deadline, [`Rejection::TooLarge`] above `max_bytes`, and
/// [`Rejection::Malformed`] if the body is cut short or invalid. After the latter two the client's
/// connection has to be closed, which `details` then states.
pub(super) async fn read_body_before(
    proxy: &Proxy,
    deadline: Duration,
    incoming: Body,
    max_bytes: u64,
    details: &mut RejectionDetails,
) -> Result<ReplayableBody, Rejection> {
    let reading = read_body(incoming, max_bytes);
    tokio::time::timeout_at(proxy.timer_instant(deadline), reading)
        .await
        .map_err(|_| Rejection::DeadlineExceeded)?
        .inspect_err(|_| details.closes_connection = true)
}

async fn read_body(mut incoming: Body, max_bytes: u64) -> Result<ReplayableBody, Rejection> {
    if hyper::body::Body::is_end_stream(&incoming) {
        return Ok(ReplayableBody::Buffered(Bytes::new()));
    }
    let mut buffered = BytesMut::new();
    loop {
        match incoming.frame().await {
            None => return Ok(ReplayableBody::Buffered(buffered.freeze())),
            // The client disconnected, or its chunks are invalid. No server has received the request.
            Some(Err(_)) => return Err(Rejection::Malformed),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    buffered.extend_from_slice(&data);
                }
            }
        }
        if buffered.len() as u64 > max_bytes {
            return Err(Rejection::TooLarge);
        }
        if buffered.len() > MAX_REPLAYABLE_BYTES {
            let body = StreamingBody::new(buffered.freeze(), incoming, max_bytes);
            return Ok(ReplayableBody::Streaming(Some(body)));
        }
    }
}

/// A body that yields the part that was read already, then the rest as it arrives, without trailers.
pub(super) struct StreamingBody {
    buffered: Option<Bytes>,
    rest: Body,
    /// How many more bytes `rest` may yield.
    rest_limit: u64,
}

impl StreamingBody {
    fn new(buffered: Bytes, rest: Body, max_bytes: u64) -> StreamingBody {
        let rest_limit = max_bytes.saturating_sub(buffered.len() as u64);
        StreamingBody { buffered: Some(buffered), rest, rest_limit }
    }
}

impl hyper::body::Body for StreamingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let frame = ready!(Pin::new(&mut self.rest).poll_frame(context));
        if let Some(Ok(frame)) = &frame {
            if frame.is_trailers() {
                // Trailers are the last frame of a body; they are not forwarded.
                return Poll::Ready(None);
            }
            let length = frame.data_ref().map_or(0, |data| data.len()) as u64;
            if length > self.rest_limit {
                return Poll::Ready(Some(Err("body too large".into())));
            }
            self.rest_limit -= length;
        }
        Poll::Ready(frame)
    }

    fn size_hint(&self) -> SizeHint {
        let mut hint = hyper::body::Body::size_hint(&self.rest);
        let buffered = self.buffered.as_ref().map_or(0, |buffered| buffered.len()) as u64;
        match hint.exact() {
            Some(exact) => SizeHint::with_exact(exact + buffered),
            None => {
                hint.set_lower(hint.lower() + buffered);
                hint
            }
        }
    }
}
