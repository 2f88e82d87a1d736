//! Reads the response of a server that closes its connection while the request is still being sent, for
//! example because it rejects an upload by its head (RFC 9112, section 9.5).

use crate::upload::UploadProgress;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection to a server. Once writing has failed because the server has closed or reset the connection,
/// what is written is discarded, so that the HTTP library goes on to read the response that may have arrived
/// before.
///
/// A response may end with its connection, and is complete only if the connection was not reset. So the end of
/// the stream is withheld while a request is still being sent, and is reported as a reset if writing fails:
/// - A server that closes with a part of the request unread resets the connection, but if that part was still on
///   its way, the end of the stream arrives first.
/// - The kernel reports the error of a socket once (`SO_ERROR`, socket(7)): after a write has failed, reading ends
///   like a connection that was closed in order (incident 0027).
pub struct EarlyResponseStream<S> {
    stream: S,
    upload: UploadProgress,
    is_write_broken: bool,
    /// Whether the end of the stream was read.
    has_ended: bool,
}

impl<S> EarlyResponseStream<S> {
    /// A connection that is open. `upload`: the progress of the requests that are sent on it.
    pub fn new(stream: S, upload: UploadProgress) -> EarlyResponseStream<S> {
        EarlyResponseStream { stream, upload, is_write_broken: false, has_ended: false }
    }

    /// The outcome of a write of `length` bytes.
    fn written(
        &mut self,
        outcome: Poll<io::Result<usize>>,
        length: usize,
    ) -> Poll<io::Result<usize>> {
        match outcome {
            Poll::Ready(Err(error)) if is_closed_by_server(&error) => {
                self.is_write_broken = true;
                self.upload.on_broken();
                Poll::Ready(Ok(length))
            }
            outcome => outcome,
        }
    }

    /// The end of the stream, as it is reported to the HTTP library.
    fn poll_end(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_write_broken {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        self.upload.poll_idle(context).map(Ok)
    }
}

fn is_closed_by_server(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::BrokenPipe | ErrorKind::ConnectionReset)
}

impl<S: AsyncRead + Unpin> AsyncRead for EarlyResponseStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.has_ended {
            return self.poll_end(context);
        }
        let (filled_before, has_room) = (buffer.filled().len(), buffer.remaining() > 0);
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.has_ended = has_room && buffer.filled().len() == filled_before;
        if self.has_ended { self.poll_end(context) } else { Poll::Ready(Ok(())) }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for EarlyResponseStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_write_broken {
            return Poll::Ready(Ok(bytes.len()));
        }
        let outcome = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.written(outcome, bytes.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let length = parts.iter().map(|part| part.len()).sum();
        if self.is_write_broken {
            return Poll::Ready(Ok(length));
        }
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.written(outcome, length)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_write_broken {
            return Poll::Ready(Ok(()));
        }
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.upload.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_write_broken {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
