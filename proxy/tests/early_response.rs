//! A server that responds and closes while the request is still being sent.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use vanepath_cluster::node;
use vanepath_proxy::early_response::EarlyResponseStream;
use vanepath_proxy::upload::UploadProgress;

/// Which direction of a connection learns first that the server has closed or reset it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LearnsFirst {
    /// Writing fails before anything is read. The error of the socket is used up then, so that reading gets
    /// what arrived before, and the end of the stream.
    Writer,
    /// What arrived is read, with its end, while the first part of the request is on its way.
    Reader,
}

/// How much of a request is written before the other side is found to be closed, if the reader learns first.
const FIRST_PART_BYTES: usize = 1000;

/// A connection whose server has sent `received` and has then closed or reset it.
struct ClosedByServer {
    received: &'static [u8],
    learns_first: LearnsFirst,
    write_error: ErrorKind,
    /// Whether the server has closed only its sending side, so that writing goes on.
    reads_on: bool,
    /// How reading ends if the reader learns first; `None`: with the end of the stream.
    read_error: Option<ErrorKind>,
    has_begun: bool,
    has_failed: bool,
    has_ended: bool,
    waiting_reader: Option<Waker>,
    waiting_writer: Option<Waker>,
}

fn wake(waiting: &mut Option<Waker>) {
    if let Some(waker) = waiting.take() {
        waker.wake();
    }
}

impl AsyncRead for ClosedByServer {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let is_readable = match self.learns_first {
            LearnsFirst::Writer => self.has_failed,
            LearnsFirst::Reader => self.has_begun,
        };
        if !is_readable {
            self.waiting_reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        let received = std::mem::take(&mut self.received);
        buffer.put_slice(received);
        if !received.is_empty() {
            return Poll::Ready(Ok(()));
        }
        self.has_ended = true;
        wake(&mut self.waiting_writer);
        match self.read_error {
            Some(error) => Poll::Ready(Err(error.into())),
            None => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for ClosedByServer {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.learns_first == LearnsFirst::Reader && !self.has_ended {
            wake(&mut self.waiting_reader);
            if !std::mem::replace(&mut self.has_begun, true) {
                return Poll::Ready(Ok(bytes.len().min(FIRST_PART_BYTES)));
            }
            self.waiting_writer = Some(context.waker().clone());
            return Poll::Pending;
        }
        if self.reads_on {
            return Poll::Ready(Ok(bytes.len().min(FIRST_PART_BYTES)));
        }
        self.has_failed = true;
        wake(&mut self.waiting_reader);
        Poll::Ready(Err(self.write_error.into()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Sends an upload over such a connection; returns the status and body of the response, if it is complete.
async fn upload(stream: ClosedByServer) -> Option<(u16, Bytes)> {
    let progress = UploadProgress::default();
    let stream = EarlyResponseStream::new(stream, progress.clone());
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    let connection = tokio::spawn(connection);
    let body = progress.track(node::body(Bytes::from(vec![b'x'; 300_000])));
    let request = hyper::Request::post("/orders").header("host", "a").body(body).unwrap();
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    drop(sender);
    let _ = connection.await;
    Some((status, body))
}

/// A connection on which writing fails before anything is read.
fn writer_learns_first(received: &'static [u8], write_error: ErrorKind) -> ClosedByServer {
    ClosedByServer {
        received,
        learns_first: LearnsFirst::Writer,
        write_error,
        reads_on: false,
        read_error: None,
        has_begun: false,
        has_failed: false,
        has_ended: false,
        waiting_reader: None,
        waiting_writer: None,
    }
}

/// A connection on which everything is read before writing fails.
fn reader_learns_first(received: &'static [u8], read_error: Option<ErrorKind>) -> ClosedByServer {
    ClosedByServer {
        learns_first: LearnsFirst::Reader,
        read_error,
        ..writer_learns_first(received, ErrorKind::BrokenPipe)
    }
}

/// A response with a length that arrived whole is used, whichever direction learns first of the close.
#[tokio::test]
async fn a_response_with_a_length_that_arrived_whole_is_used() {
    let received = b"HTTP/1.1 413 Too Large\r\ncontent-length: 5\r\n\r\nlarge";
    let whole = Some((413, Bytes::from_static(b"large")));
    for error in [ErrorKind::BrokenPipe, ErrorKind::ConnectionReset] {
        assert_eq!(upload(writer_learns_first(received, error)).await, whole, "{error}");
        assert_eq!(upload(reader_learns_first(received, Some(error))).await, whole, "{error}");
    }
    assert_eq!(upload(reader_learns_first(received, None)).await, whole);
}

/// Without a response, or with a part of one, the request fails and does not hang.
#[tokio::test]
async fn a_failed_write_without_a_response_fails_the_request() {
    for received in [
        &b""[..],
        b"HTTP/1.1 413 Too",
        b"HTTP/1.1 413 Too Large\r\ncontent-length: 5\r\n\r\nla",
        b"HTTP/1.1 413 Too Large\r\ntransfer-encoding: chunked\r\n\r\n5\r\nlarge\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\n\r\n",
    ] {
        let text = String::from_utf8_lossy(received);
        for error in [ErrorKind::BrokenPipe, ErrorKind::ConnectionReset] {
            assert_eq!(upload(writer_learns_first(received, error)).await, None, "{text} {error}");
        }
        let reset = Some(ErrorKind::ConnectionReset);
        assert_eq!(upload(reader_learns_first(received, reset)).await, None, "{text}");
        assert_eq!(upload(reader_learns_first(received, None)).await, None, "{text}");
    }
}

/// Guards against a cut response that looks complete (incident 0027): it has no length, so that it ends with its
/// connection, which is reset while the upload goes on. It fails whichever direction learns first of the reset,
/// and also if the end of the stream comes first, since the server closed with a part of the upload on its way.
#[tokio::test]
async fn a_response_without_a_length_on_a_reset_connection_is_not_complete() {
    let received = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart";
    for error in [ErrorKind::BrokenPipe, ErrorKind::ConnectionReset] {
        assert_eq!(upload(writer_learns_first(received, error)).await, None, "{error}");
    }
    for read_error in [Some(ErrorKind::ConnectionReset), None] {
        let response = upload(reader_learns_first(received, read_error)).await;
        assert_eq!(response, None, "{read_error:?}");
    }
}

/// A response without a length whose server closes its sending side in order, and reads the rest of the upload,
/// is complete once the upload has been sent.
#[tokio::test]
async fn a_response_without_a_length_that_ends_in_order_is_complete() {
    let received = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole";
    let stream = ClosedByServer { reads_on: true, ..reader_learns_first(received, None) };
    assert_eq!(upload(stream).await, Some((200, Bytes::from_static(b"whole"))));
}
