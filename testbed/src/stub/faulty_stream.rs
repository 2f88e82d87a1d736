//! A TCP stream that injects faults into the data written to it.

use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A fault that is injected into the data that hyper writes to a connection.
#[derive(Default)]
pub(super) struct WriteFault {
    /// After this many more bytes, writes fail as if the connection had been reset.
    pub bytes_until_reset: Option<usize>,
    /// Data that is written right after the next write.
    pub extra: Vec<u8>,
    /// Data that replaces the next write.
    pub replacement: Vec<u8>,
    /// Data that is written a delay after the next write.
    pub delayed_extra: Option<(Duration, &'static [u8])>,
}

/// A stream that applies a [`WriteFault`] to its writes.
pub(super) struct FaultyStream {
    stream: TcpStream,
    fault: Arc<Mutex<WriteFault>>,
    /// Data that must be written to the socket before anything else.
    pending: Vec<u8>,
    /// A second handle of the same socket, for delayed writes that bypass hyper.
    second_handle: Arc<TcpStream>,
}

impl FaultyStream {
    /// # Errors
    /// If the socket cannot be duplicated.
    pub fn new(stream: TcpStream, fault: Arc<Mutex<WriteFault>>) -> std::io::Result<FaultyStream> {
        let stream = stream.into_std()?;
        let second_handle = Arc::new(TcpStream::from_std(stream.try_clone()?)?);
        let stream = TcpStream::from_std(stream)?;
        Ok(FaultyStream { stream, fault, pending: Vec::new(), second_handle })
    }

    fn write_later(&self, delay: Duration, bytes: &'static [u8]) {
        let stream = self.second_handle.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            // The connection may have been closed by then.
            let _ = stream.try_write(bytes);
        });
    }
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        ready!(self.as_mut().poll_flush(context))?;
        let fault = self.fault.clone();
        let mut fault = fault.lock().expect("no panic under this lock");
        if !fault.replacement.is_empty() {
            self.pending = std::mem::take(&mut fault.replacement);
            return Poll::Ready(Ok(buffer.len()));
        }
        if let Some((delay, bytes)) = fault.delayed_extra.take() {
            self.write_later(delay, bytes);
        }
        if !fault.extra.is_empty() {
            self.pending = [buffer, &std::mem::take(&mut fault.extra)].concat();
            return Poll::Ready(Ok(buffer.len()));
        }
        match fault.bytes_until_reset {
            None => Pin::new(&mut self.stream).poll_write(context, buffer),
            Some(0) => Poll::Ready(Err(Error::from(ErrorKind::ConnectionReset))),
            Some(remaining) => {
                let part = &buffer[..buffer.len().min(remaining)];
                let written = ready!(Pin::new(&mut self.stream).poll_write(context, part))?;
                fault.bytes_until_reset = Some(remaining - written);
                Poll::Ready(Ok(written))
            }
        }
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        while !self.pending.is_empty() {
            let this = &mut *self;
            let written = Pin::new(&mut this.stream).poll_write(context, &this.pending);
            let written = ready!(written)?;
            self.pending.drain(..written);
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
