use super::{Passing, ThrottledBody};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

/// Frames of these lengths; before each, so many times nothing is there yet.
struct Drip {
    lengths: Vec<usize>,
    pauses: usize,
    paused: usize,
}

impl Body for Drip {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.paused < self.pauses {
            self.paused += 1;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.paused = 0;
        if self.lengths.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.lengths.remove(0);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![7; length])))))
    }
}

/// What each piece was passed with, and each piece that came.
fn paced(lengths: &[usize], pauses: usize) -> (Vec<usize>, Vec<usize>) {
    let passed = Arc::new(Mutex::new(Vec::new()));
    let told = passed.clone();
    let pass = move |bytes: usize| -> Passing {
        told.lock().unwrap().push(bytes);
        // The gate is not open at once.
        Box::pin(tokio::task::yield_now())
    };
    let body = Drip { lengths: lengths.to_vec(), pauses, paused: 0 };
    let mut body = ThrottledBody::new(body, pass);
    let mut came = Vec::new();
    tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
        while let Some(frame) = body.frame().await {
            came.push(frame.unwrap().into_data().unwrap().len());
        }
    });
    let passed = passed.lock().unwrap().clone();
    (passed, came)
}

/// A body that comes by and by takes no more of the gate than its bytes, however often it is asked for in
/// vain.
#[test]
fn each_byte_passes_once() {
    for pauses in [0, 1, 5] {
        let (passed, came) = paced(&[1000, 20_000, 0, 8192, 8193], pauses);
        assert_eq!(passed, [1000, 8192, 8192, 3616, 0, 8192, 8192, 1], "after {pauses} pauses");
        assert_eq!(came, passed);
    }
}
