//! The stream that the HTTP library reads and writes.

use super::{Pipeline, StartRequest};
use bytes::Buf;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The client's connection as a stream for the HTTP library, which reads the bytes that were read
/// ahead, then those that arrive.
pub struct PipelinedStream {
    /// The client's connection.
    pub pipeline: Pipeline,
    /// Starts the requests that are found in the bytes that the library reads.
    pub start: Box<StartRequest>,
}

impl AsyncRead for PipelinedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.pipeline.state();
        if !state.unread.is_empty() {
            let length = state.unread.len().min(buffer.remaining());
            buffer.put_slice(&state.unread[..length]);
            state.unread.advance(length);
            return Poll::Ready(Ok(()));
        }
        if state.is_closed {
            return Poll::Ready(state.error.take().map_or(Ok(()), Err));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut state.stream).poll_read(context, buffer))?;
        let heads = state.scanner.scan(&buffer.filled()[before..]);
        state.start_requests(&heads, &*self.start);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for PipelinedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.pipeline.state().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.pipeline.state().stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.pipeline.state().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.pipeline.state().stream).poll_shutdown(context)
    }
}
