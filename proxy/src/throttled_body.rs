//! A body whose data passes a gate, piece by piece (design 8.10): each piece by its own length, and only
//! once it is there to be written.

use crate::bandwidth_limiter::PIECE;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Done when so many bytes may go through.
pub type Passing = Pin<Box<dyn Future<Output = ()> + Send>>;

pub struct ThrottledBody<B, P> {
    body: B,
    /// Asks the gate for so many bytes.
    pass: P,
    /// What was read and is not written yet.
    next: Option<Frame<Bytes>>,
    passing: Option<Passing>,
}

impl<B, P: Fn(usize) -> Passing> ThrottledBody<B, P> {
    pub fn new(body: B, pass: P) -> ThrottledBody<B, P> {
        ThrottledBody { body, pass, next: None, passing: None }
    }
}

fn length(frame: &Frame<Bytes>) -> usize {
    frame.data_ref().map_or(0, Bytes::len)
}

impl<B, P> Body for ThrottledBody<B, P>
where
    B: Body<Data = Bytes> + Unpin,
    P: Fn(usize) -> Passing + Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let this = &mut *self;
        let next = match this.next.take() {
            Some(next) => next,
            None => match ready!(Pin::new(&mut this.body).poll_frame(context)) {
                Some(Ok(next)) => next,
                end => return Poll::Ready(end),
            },
        };
        let bytes = length(&next).min(PIECE);
        let passing = this.passing.get_or_insert_with(|| (this.pass)(bytes));
        if passing.as_mut().poll(context).is_pending() {
            this.next = Some(next);
            return Poll::Pending;
        }
        this.passing = None;
        Poll::Ready(Some(Ok(match next.into_data() {
            Ok(mut data) => {
                if data.len() > PIECE {
                    this.next = Some(Frame::data(data.split_off(PIECE)));
                }
                Frame::data(data)
            }
            Err(frame) => frame,
        })))
    }

    fn size_hint(&self) -> SizeHint {
        let ahead = self.next.as_ref().map_or(0, length) as u64;
        let mut hint = self.body.size_hint();
        match hint.exact() {
            Some(exact) => SizeHint::with_exact(exact + ahead),
            None => {
                hint.set_lower(hint.lower() + ahead);
                hint
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.next.is_none() && self.body.is_end_stream()
    }
}

#[cfg(test)]
mod tests;
