//! A server that responds and closes while the request is still being sent.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use vanepath_proxy::early_response::EarlyResponseStream;

/// A connection whose server has closed it: writing fails, and what arrived before is there to be read only
/// after that.
struct ClosedByServer {
    received: &'static [u8],
    write_error: ErrorKind,
    has_failed: bool,
    reader: Option<Waker>,
}

impl AsyncRead for ClosedByServer {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.has_failed {
            self.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        buffer.put_slice(std::mem::take(&mut self.received));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClosedByServer {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.has_failed = true;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
        Poll::Ready(Err(self.write_error.into()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Sends an upload over such a connection; returns the status and body of the response, if there is one.
async fn upload(received: &'static [u8], write_error: ErrorKind) -> Option<(u16, Bytes)> {
    let stream = ClosedByServer { received, write_error, has_failed: false, reader: None };
    let stream = EarlyResponseStream::new(stream);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    let connection = tokio::spawn(connection);
    let body = Full::new(Bytes::from(vec![b'x'; 300_000]));
    let request = hyper::Request::post("/orders").header("host", "a").body(body).unwrap();
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    drop(sender);
    let _ = connection.await;
    Some((status, body))
}

/// The response that arrived before the write failed is used.
#[tokio::test]
async fn a_response_that_arrived_before_a_failed_write_is_read() {
    let received = b"HTTP/1.1 413 Too Large\r\ncontent-length: 5\r\n\r\nlarge";
    for write_error in [ErrorKind::BrokenPipe, ErrorKind::ConnectionReset] {
        let response = upload(received, write_error).await;
        assert_eq!(response, Some((413, Bytes::from_static(b"large"))), "{write_error}");
    }
}

/// Without a response, or with a part of one, the request fails and does not hang.
#[tokio::test]
async fn a_failed_write_without_a_response_fails_the_request() {
    for received in
        [&b""[..], b"HTTP/1.1 413 Too", b"HTTP/1.1 413 Too Large\r\ncontent-length: 5\r\n\r\nla"]
    {
        assert_eq!(upload(received, ErrorKind::BrokenPipe).await, None);
    }
}
