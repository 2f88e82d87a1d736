//! Response bodies of stub servers.

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

pub(super) type Body = BoxBody<Bytes, Infallible>;

/// Size of the chunks of a chunked body.
const CHUNK_BYTES: usize = 16 << 10;
/// Number of pieces of a throttled body.
const THROTTLED_PIECES: usize = 20;

/// A byte sequence that is unique to a request: its identifier, repeated up to this size.
pub fn pattern(request_id: &str, size: usize) -> Vec<u8> {
    let unit = format!("<{request_id}>").into_bytes();
    unit.iter().copied().cycle().take(size).collect()
}

/// A body of a known length that is sent at once.
pub(super) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed()
}

/// A body without a declared length, sent in chunks.
pub(super) fn chunked(bytes: &[u8]) -> Body {
    let chunks: Vec<Bytes> = bytes.chunks(CHUNK_BYTES).map(Bytes::copy_from_slice).collect();
    BodyExt::boxed(ChunkedBody { chunks: chunks.into_iter() })
}

/// A body of a known length that is sent in [`THROTTLED_PIECES`] pieces, one per interval. `guard` is dropped
/// together with the body.
pub(super) fn throttled<G: Send + Sync + Unpin + 'static>(
    bytes: Vec<u8>,
    interval: Duration,
    guard: G,
) -> Body {
    BodyExt::boxed(ThrottledBody {
        interval: tokio::time::interval(interval),
        piece_bytes: bytes.len().div_ceil(THROTTLED_PIECES),
        remaining: Bytes::from(bytes),
        _guard: guard,
    })
}

struct ChunkedBody {
    chunks: std::vec::IntoIter<Bytes>,
}

impl hyper::body::Body for ChunkedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.chunks.next().map(|chunk| Ok(Frame::data(chunk))))
    }
}

struct ThrottledBody<G> {
    interval: tokio::time::Interval,
    remaining: Bytes,
    piece_bytes: usize,
    _guard: G,
}

impl<G: Unpin> hyper::body::Body for ThrottledBody<G> {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.remaining.is_empty() {
            return Poll::Ready(None);
        }
        ready!(self.interval.poll_tick(context));
        let count = self.piece_bytes.min(self.remaining.len());
        let piece = self.remaining.split_to(count);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }
}
