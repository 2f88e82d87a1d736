//! The body of a request: buffered while it is small, so that it can be sent again, and streamed
//! otherwise.

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

/// Bodies up to this size, in bytes, can be sent a second time.
const MAX_REPLAYABLE_BYTES: usize = 64 << 10;

/// The body of a request for one or more attempts.
pub(super) enum ReplayableBody {
    /// All of it, for any number of attempts.
    Buffered(Bytes),
    /// For one attempt; gone once an attempt has sent any of it.
    Streaming(Option<StreamingBody>),
}

impl ReplayableBody {
    /// Whether it can be sent more than once.
    pub fn is_replayable(&self) -> bool {
        matches!(self, ReplayableBody::Buffered(_))
    }

    /// The body for the next attempt.
    ///
    /// # Errors
    /// [`AttemptError::NotSent`] if it was streamed already.
    pub fn next(&mut self) -> Result<Body, AttemptError> {
        match self {
            ReplayableBody::Buffered(bytes) => Ok(node::body(bytes.clone())),
            ReplayableBody::Streaming(body) => {
                Ok(body.take().ok_or(AttemptError::NotSent)?.boxed_unsync())
            }
        }
    }
}

/// Reads the body until it is complete or too large to buffer, but not beyond the deadline.
///
/// # Errors
/// [`Rejection::DeadlineExceeded`]; [`Rejection::TooLarge`] above `max_bytes` and [`Rejection::Malformed`] if the
/// body breaks off, after which the connection is to be closed.
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
            // The client broke off, or its chunks are invalid: no server has seen the request.
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

/// What was read of a body, then the rest as it comes.
pub(super) struct StreamingBody {
    buffered: Option<Bytes>,
    rest: Body,
    /// How many bytes `rest` may still have.
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
