//! A body whose data waits for bandwidth chunk by chunk (design 8.10). Each chunk is charged once, by
//! its length, when it is available to be written.

use crate::bandwidth_limiter::MAX_CHUNK_BYTES;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// A future that completes when the bytes for which it was requested may be written.
pub type BandwidthPermit = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A body that waits for a permit before each chunk of at most [`MAX_CHUNK_BYTES`].
pub struct ThrottledBody<B, P> {
    body: B,
    /// Requests a permit for this many bytes.
    request_permit: P,
    /// The part of the last frame that was read and not yet passed on.
    unsent: Option<Frame<Bytes>>,
    /// The permit for which the first chunk of `unsent` waits.
    permit: Option<BandwidthPermit>,
}

impl<B, P: Fn(usize) -> BandwidthPermit> ThrottledBody<B, P> {
    /// Throttles `body`; `request_permit` is called once for each chunk, with its length in bytes.
    pub fn new(body: B, request_permit: P) -> ThrottledBody<B, P> {
        ThrottledBody { body, request_permit, unsent: None, permit: None }
    }
}

fn data_length(frame: &Frame<Bytes>) -> usize {
    frame.data_ref().map_or(0, Bytes::len)
}

impl<B, P> Body for ThrottledBody<B, P>
where
    B: Body<Data = Bytes> + Unpin,
    P: Fn(usize) -> BandwidthPermit + Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let this = &mut *self;
        let frame = match this.unsent.take() {
            Some(frame) => frame,
            None => match ready!(Pin::new(&mut this.body).poll_frame(context)) {
                Some(Ok(frame)) => frame,
                end => return Poll::Ready(end),
            },
        };
        let bytes = data_length(&frame).min(MAX_CHUNK_BYTES);
        let permit = this.permit.get_or_insert_with(|| (this.request_permit)(bytes));
        if permit.as_mut().poll(context).is_pending() {
            this.unsent = Some(frame);
            return Poll::Pending;
        }
        this.permit = None;
        Poll::Ready(Some(Ok(match frame.into_data() {
            Ok(mut data) => {
                if data.len() > MAX_CHUNK_BYTES {
                    this.unsent = Some(Frame::data(data.split_off(MAX_CHUNK_BYTES)));
                }
                Frame::data(data)
            }
            Err(frame) => frame,
        })))
    }

    fn size_hint(&self) -> SizeHint {
        let unsent = self.unsent.as_ref().map_or(0, data_length) as u64;
        let mut hint = self.body.size_hint();
        match hint.exact() {
            Some(exact) => SizeHint::with_exact(exact + unsent),
            None => {
                hint.set_lower(hint.lower() + unsent);
                hint
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.unsent.is_none() && self.body.is_end_stream()
    }
}

#[cfg(test)]
mod tests;
