//! Requests that a client sends before the answer to an earlier one (design 8.9). The HTTP library
//! takes one request of a connection after the other; so what comes behind is looked at while it
//! waits, and lookups among it are begun at once. The library still reads every request itself, in
//! order, and finds the answer of one that was begun here under way.

use bytes::{Buf, BytesMut};
use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes read ahead of the library at the most.
const BYTES_MOST: usize = 64 << 10;
/// Requests of one connection that are begun before their turn.
const BEGUN_MOST: u64 = 16;
const FIELDS_MOST: usize = 64;

/// The head of a request without a body, found behind an earlier one.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// The how manieth request of its connection, from 1.
    pub number: u64,
    pub method: String,
    pub target: String,
    pub fields: Vec<(String, Vec<u8>)>,
}

/// Follows the requests of one connection through its bytes. Pure.
#[derive(Debug, Default)]
pub struct Follower {
    /// The head that is not whole yet.
    head: BytesMut,
    /// What is left of a body.
    skips: u64,
    count: u64,
    /// It cannot be told where the next request begins.
    is_lost: bool,
}

impl Follower {
    /// Takes the next bytes; gives the heads without bodies that became whole, and keeps count of
    /// all others.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Vec<Head> {
        let mut found = Vec::new();
        while !bytes.is_empty() && !self.is_lost {
            if self.skips > 0 {
                let skipped = (bytes.len() as u64).min(self.skips);
                self.skips -= skipped;
                bytes = &bytes[skipped as usize..];
                continue;
            }
            self.head.extend_from_slice(bytes);
            bytes = &[];
            while !self.is_lost && self.skips == 0 && !self.head.is_empty() {
                let Some(length) = self.next(&mut found) else { break };
                self.head.advance(length);
                let skipped = (self.head.len() as u64).min(self.skips);
                self.skips -= skipped;
                self.head.advance(skipped as usize);
            }
        }
        if self.is_lost || self.head.len() > BYTES_MOST {
            self.is_lost = true;
            self.head.clear();
        }
        found
    }

    /// The length of the first head, if it is whole.
    fn next(&mut self, found: &mut Vec<Head>) -> Option<usize> {
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MOST];
        let mut request = httparse::Request::new(&mut fields);
        let length = match request.parse(&self.head) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return None,
            Err(_) => {
                self.is_lost = true;
                return None;
            }
        };
        self.count += 1;
        let mut has_body = false;
        for field in request.headers.iter() {
            let is = |name: &str| field.name.eq_ignore_ascii_case(name);
            if is("content-length") {
                has_body = true;
                let text = std::str::from_utf8(field.value).unwrap_or_default();
                match text.trim().parse::<u64>() {
                    Ok(size) => self.skips = size,
                    Err(_) => self.is_lost = true,
                }
            }
            // Whether more requests follow, and where, only the library can tell.
            let is_last = is("connection") && field.value.eq_ignore_ascii_case(b"close");
            if is("transfer-encoding") || is("upgrade") || is("expect") || is_last {
                has_body = true;
                self.is_lost = true;
            }
        }
        if !has_body && request.version == Some(1) {
            let fields = request.headers.iter();
            found.push(Head {
                number: self.count,
                method: request.method.unwrap_or_default().to_string(),
                target: request.path.unwrap_or_default().to_string(),
                fields: fields.map(|one| (one.name.to_string(), one.value.to_vec())).collect(),
            });
        }
        Some(length)
    }
}

impl Head {
    /// As the library would give it; `None` where it would not.
    pub fn request(&self) -> Option<hyper::Request<vanepath_cluster::node::Body>> {
        let mut request =
            hyper::Request::builder().method(self.method.as_str()).uri(self.target.as_str());
        for (name, value) in &self.fields {
            request = request.header(name.as_str(), value.as_slice());
        }
        request.body(vanepath_cluster::node::body(bytes::Bytes::new())).ok()
    }
}

pub type Answer = hyper::Response<vanepath_cluster::node::Body>;

/// A request that was begun before its turn; nobody wants it any more once this is dropped.
struct Begun {
    method: String,
    target: String,
    task: Option<tokio::task::JoinHandle<Answer>>,
}

impl Drop for Begun {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

struct Inner {
    stream: tokio::net::TcpStream,
    unread: BytesMut,
    is_over: bool,
    error: Option<std::io::Error>,
    follower: Follower,
    /// Requests that the library has given to the service, and whether the last is still in hand.
    taken: u64,
    is_busy: bool,
    begun: BTreeMap<u64, Begun>,
}

/// One client's connection, read ahead of the library.
#[derive(Clone)]
pub struct Pipeline(Arc<Mutex<Inner>>);

impl Pipeline {
    pub fn new(stream: tokio::net::TcpStream) -> Pipeline {
        Pipeline(Arc::new(Mutex::new(Inner {
            stream,
            unread: BytesMut::new(),
            is_over: false,
            error: None,
            follower: Follower::default(),
            taken: 0,
            is_busy: false,
            begun: BTreeMap::new(),
        })))
    }

    fn inner(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.0.lock().expect("no panic under this lock")
    }

    /// Reads what is there, and begins with `begin` what need not wait for its turn. To be polled
    /// by the task that the library's connection is polled by.
    pub fn poll(
        &self,
        context: &mut Context<'_>,
        begin: &dyn Fn(&Head) -> Option<tokio::task::JoinHandle<Answer>>,
    ) {
        let mut inner = self.inner();
        while inner.is_busy && !inner.is_over && inner.unread.len() < BYTES_MOST {
            let mut chunk = [0; 4096];
            let mut buffer = ReadBuf::new(&mut chunk);
            match Pin::new(&mut inner.stream).poll_read(context, &mut buffer) {
                Poll::Pending => break,
                Poll::Ready(Ok(())) if buffer.filled().is_empty() => inner.is_over = true,
                Poll::Ready(Ok(())) => {
                    let heads = inner.follower.feed(buffer.filled());
                    inner.unread.extend_from_slice(buffer.filled());
                    inner.begin(&heads, begin);
                }
                Poll::Ready(Err(error)) => {
                    inner.is_over = true;
                    inner.error = Some(error);
                }
            }
        }
    }

    /// The library gives its next request to the service: its answer, if it was begun already.
    pub fn take(&self, method: &str, target: &str) -> Option<tokio::task::JoinHandle<Answer>> {
        let mut inner = self.inner();
        inner.taken += 1;
        inner.is_busy = true;
        let number = inner.taken;
        let mut begun = inner.begun.remove(&number)?;
        let is_same = begun.method == method && begun.target == target;
        if is_same { begun.task.take() } else { None }
    }

    /// The answer to the request in hand is written.
    pub fn done(&self) {
        self.inner().is_busy = false;
    }
}

impl Inner {
    fn begin(
        &mut self,
        heads: &[Head],
        begin: &dyn Fn(&Head) -> Option<tokio::task::JoinHandle<Answer>>,
    ) {
        for head in heads {
            // The library comes to the next one by itself where nothing is in hand.
            let is_next = !self.is_busy && head.number == self.taken + 1;
            let is_behind = head.number > self.taken && head.number <= self.taken + BEGUN_MOST;
            if is_next || !is_behind {
                continue;
            }
            if let Some(task) = begin(head) {
                let (method, target) = (head.method.clone(), head.target.clone());
                self.begun.insert(head.number, Begun { method, target, task: Some(task) });
            }
        }
    }
}

/// Begins a request that need not wait for its turn, if it is such a one.
pub type Begin = dyn Fn(&Head) -> Option<tokio::task::JoinHandle<Answer>> + Send + Sync;

/// The connection as the library reads and writes it.
pub struct Io {
    pub ahead: Pipeline,
    pub begin: Box<Begin>,
}

impl AsyncRead for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let mut inner = self.ahead.inner();
        if !inner.unread.is_empty() {
            let length = inner.unread.len().min(buffer.remaining());
            buffer.put_slice(&inner.unread[..length]);
            inner.unread.advance(length);
            return Poll::Ready(Ok(()));
        }
        if inner.is_over {
            return Poll::Ready(inner.error.take().map_or(Ok(()), Err));
        }
        let before = buffer.filled().len();
        std::task::ready!(Pin::new(&mut inner.stream).poll_read(context, buffer))?;
        let heads = inner.follower.feed(&buffer.filled()[before..]);
        inner.begin(&heads, &*self.begin);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Io {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.ahead.inner().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.ahead.inner().stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.ahead.inner().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.ahead.inner().stream).poll_shutdown(context)
    }
}

/// An answer's body that tells when it is written or given up.
pub struct Watched {
    pub body: vanepath_cluster::node::Body,
    pub ahead: Pipeline,
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.ahead.done();
    }
}

impl hyper::body::Body for Watched {
    type Data = bytes::Bytes;
    type Error = vanepath_cluster::node::BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<bytes::Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}
