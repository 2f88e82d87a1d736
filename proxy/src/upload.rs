//! How far the body of a request has been sent on a connection to a server.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker, ready};
use vanepath_cluster::node::{Body, BodyError};

/// The phase of sending the body of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// No request is being sent, or it has been handed to the kernel completely.
    #[default]
    Idle,
    /// The body has not ended.
    Sending,
    /// The body has ended, and a part of it may be in the buffer of the HTTP library.
    Flushing,
}

#[derive(Debug, Default)]
struct State {
    phase: Phase,
    /// The task that waits for the end of the upload.
    waiting: Option<Waker>,
}

/// Whether the body of a request is being sent on a connection. Shared by the connection and the body.
#[derive(Clone, Debug, Default)]
pub struct UploadProgress(Arc<Mutex<State>>);

impl UploadProgress {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no panic under this lock")
    }

    fn set(&self, phase: Phase) {
        let mut state = self.state();
        state.phase = phase;
        if phase == Phase::Idle
            && let Some(waker) = state.waiting.take()
        {
            waker.wake();
        }
    }

    /// The body of a request that is sent on the connection from now on.
    pub fn track(&self, body: Body) -> Body {
        if body.is_end_stream() {
            return body;
        }
        self.set(Phase::Sending);
        TrackedBody { body, progress: self.clone() }.boxed_unsync()
    }

    /// To be called when everything that was written has been handed to the kernel.
    pub fn on_flushed(&self) {
        let phase = self.state().phase;
        if phase == Phase::Flushing {
            self.set(Phase::Idle);
        }
    }

    /// To be called when writing has failed, so that no more of the request will be sent.
    pub fn on_broken(&self) {
        self.set(Phase::Idle);
    }

    /// Waits until no body is being sent.
    pub fn poll_idle(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state();
        if state.phase == Phase::Idle {
            return Poll::Ready(());
        }
        state.waiting = Some(context.waker().clone());
        Poll::Pending
    }
}

/// The body of a request, which records when it ends.
struct TrackedBody {
    body: Body,
    progress: UploadProgress,
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if frame.is_none() || self.body.is_end_stream() {
            self.progress.set(Phase::Flushing);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        let phase = self.progress.state().phase;
        if phase == Phase::Sending {
            // The request was cancelled.
            self.progress.set(Phase::Idle);
        }
    }
}
