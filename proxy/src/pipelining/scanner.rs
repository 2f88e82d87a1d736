//! Finds the heads of requests in the bytes that arrive on a connection. Pure.

use super::MAX_READ_AHEAD_BYTES;
use bytes::{Buf, Bytes, BytesMut};
use vanepath_cluster::node::{self, Body};

/// The maximum number of header fields in a head.
const MAX_HEADERS: usize = 64;

/// The head of a request without a body.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// The number of the request on its connection, from 1.
    pub number: u64,
    /// The method, as in the request line.
    pub method: String,
    /// The request target, as in the request line.
    pub target: String,
    /// The names and values of the header fields, in their order in the request.
    pub headers: Vec<(String, Vec<u8>)>,
}

/// Follows the boundaries of requests in the bytes of one connection.
#[derive(Debug, Default)]
pub struct RequestScanner {
    /// The bytes of a head that is not complete yet.
    partial_head: BytesMut,
    /// The number of bytes that are still to come of the current body.
    body_left: u64,
    /// The number of requests found so far.
    count: u64,
    /// The number of requests that are known to have been read whole, with their bodies.
    whole: u64,
    /// Whether it is unknown where the next request begins. Nothing more is scanned then.
    is_framing_lost: bool,
}

impl RequestScanner {
    /// Scans the next bytes of the connection. Returns the heads that became complete, of requests
    /// without a body in HTTP/1.1; other requests are only counted.
    pub fn scan(&mut self, mut bytes: &[u8]) -> Vec<RequestHead> {
        let mut heads = Vec::new();
        while !bytes.is_empty() && !self.is_framing_lost {
            if self.body_left > 0 {
                let skipped = self.skip_body(bytes.len());
                bytes = &bytes[skipped..];
                continue;
            }
            self.partial_head.extend_from_slice(bytes);
            bytes = &[];
            self.scan_heads(&mut heads);
        }
        if self.is_framing_lost || self.partial_head.len() > MAX_READ_AHEAD_BYTES {
            self.is_framing_lost = true;
            self.partial_head.clear();
        }
        heads
    }

    /// Consumes the complete heads that were read, and the parts of their bodies that were read.
    fn scan_heads(&mut self, heads: &mut Vec<RequestHead>) {
        while !self.is_framing_lost && self.body_left == 0 && !self.partial_head.is_empty() {
            let Some(length) = self.parse_head(heads) else { break };
            self.partial_head.advance(length);
            let skipped = self.skip_body(self.partial_head.len());
            self.partial_head.advance(skipped);
        }
    }

    /// Skips what is left of the current body, as far as it is within the next `available` bytes. Returns the
    /// number of bytes skipped.
    fn skip_body(&mut self, available: usize) -> usize {
        let skipped = (available as u64).min(self.body_left);
        self.body_left -= skipped;
        if skipped > 0 && self.body_left == 0 {
            self.whole += 1;
        }
        skipped as usize
    }

    /// The number of requests that are known to have been read whole. Those whose length only the HTTP
    /// library can tell do not count.
    pub fn whole_requests(&self) -> u64 {
        self.whole
    }

    /// Parses the first head. Returns its length, or `None` if it is incomplete or invalid.
    fn parse_head(&mut self, heads: &mut Vec<RequestHead>) -> Option<usize> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(&self.partial_head) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return None,
            Err(_) => {
                self.is_framing_lost = true;
                return None;
            }
        };
        self.count += 1;
        let mut has_body = false;
        let mut has_unknown_length = false;
        for header in request.headers.iter() {
            let is_named = |name: &str| header.name.eq_ignore_ascii_case(name);
            if is_named("content-length") {
                has_body = true;
                let text = std::str::from_utf8(header.value).unwrap_or_default();
                match text.trim().parse::<u64>() {
                    Ok(size) => self.body_left = size,
                    Err(_) => {
                        self.is_framing_lost = true;
                        has_unknown_length = true;
                    }
                }
            }
            // Only the HTTP library can tell whether and where more requests follow.
            let closes_connection =
                is_named("connection") && header.value.eq_ignore_ascii_case(b"close");
            has_unknown_length = has_unknown_length || is_named("transfer-encoding");
            if is_named("transfer-encoding")
                || is_named("upgrade")
                || is_named("expect")
                || closes_connection
            {
                has_body = true;
                self.is_framing_lost = true;
            }
        }
        if self.body_left == 0 && !has_unknown_length {
            self.whole += 1;
        }
        if !has_body && request.version == Some(1) {
            let headers = request.headers.iter();
            heads.push(RequestHead {
                number: self.count,
                method: request.method.unwrap_or_default().to_string(),
                target: request.path.unwrap_or_default().to_string(),
                headers: headers
                    .map(|header| (header.name.to_string(), header.value.to_vec()))
                    .collect(),
            });
        }
        Some(length)
    }
}

impl RequestHead {
    /// Builds the request as the HTTP library would pass it on; `None` if the library would reject it.
    pub fn to_request(&self) -> Option<hyper::Request<Body>> {
        let mut request =
            hyper::Request::builder().method(self.method.as_str()).uri(self.target.as_str());
        for (name, value) in &self.headers {
            request = request.header(name.as_str(), value.as_slice());
        }
        request.body(node::body(Bytes::new())).ok()
    }
}
