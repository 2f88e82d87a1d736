use super::{BandwidthPermit, ThrottledBody};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

/// A body with frames of these lengths. Before each frame and the end, `pending_polls` polls are pending.
struct SlowBody {
    lengths: Vec<usize>,
    pending_polls: usize,
    pending_polls_done: usize,
}

impl Body for SlowBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.pending_polls_done < self.pending_polls {
            self.pending_polls_done += 1;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.pending_polls_done = 0;
        if self.lengths.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.lengths.remove(0);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![7; length])))))
    }
}

/// Returns the lengths for which permits were requested, and those of the chunks that were passed on.
fn throttled(lengths: &[usize], pending_polls: usize) -> (Vec<usize>, Vec<usize>) {
    let requested = Arc::new(Mutex::new(Vec::new()));
    let record = requested.clone();
    let request_permit = move |bytes: usize| -> BandwidthPermit {
        record.lock().unwrap().push(bytes);
        // The permit is not granted at once.
        Box::pin(tokio::task::yield_now())
    };
    let body = SlowBody { lengths: lengths.to_vec(), pending_polls, pending_polls_done: 0 };
    let mut body = ThrottledBody::new(body, request_permit);
    let mut received = Vec::new();
    tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
        while let Some(frame) = body.frame().await {
            received.push(frame.unwrap().into_data().unwrap().len());
        }
    });
    let requested = requested.lock().unwrap().clone();
    (requested, received)
}

/// A slow body is charged only for its bytes, however many polls are pending.
#[test]
fn each_byte_is_charged_once() {
    for pending_polls in [0, 1, 5] {
        let (requested, received) = throttled(&[1000, 20_000, 0, 8192, 8193], pending_polls);
        assert_eq!(
            requested,
            [1000, 8192, 8192, 3616, 0, 8192, 8192, 1],
            "after {pending_polls} pending polls"
        );
        assert_eq!(received, requested);
    }
}
