//! Requests in the form in which they are sent to servers.

use super::Proxy;
use super::headers::strip_hop_by_hop;
use super::request_body::ReplayableBody;
use crate::lifecycle::AttemptError;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::request;
use hyper::{Method, Request, Uri};
use vanepath_cluster::node::Body;

/// A request in the form in which it is sent to servers, in one or more attempts.
pub(super) struct UpstreamRequest {
    pub method: Method,
    uri: Uri,
    /// The headers that are the same in each attempt: without those that state the target server and
    /// the time left.
    pub headers: HeaderMap,
    body: ReplayableBody,
}

impl UpstreamRequest {
    /// Prepares the head of a client's request: removes the hop-by-hop fields, the client's deadline and API
    /// key, and what it sent in the place of the tenant, and states the length of a buffered body.
    pub fn new(proxy: &Proxy, head: request::Parts, body: ReplayableBody) -> UpstreamRequest {
        let mut headers = head.headers;
        strip_hop_by_hop(&mut headers);
        let header_names = proxy.node.settings.wire_format.headers();
        for name in [header_names.deadline, header_names.api_key, header_names.tenant] {
            headers.remove(name);
        }
        if let ReplayableBody::Buffered(bytes) = &body {
            // The length of the body that was read replaces the declared one.
            let had_length = headers.remove(header::CONTENT_LENGTH).is_some();
            if had_length || !bytes.is_empty() {
                headers.insert(header::CONTENT_LENGTH, HeaderValue::from(bytes.len()));
            }
        }
        UpstreamRequest { method: head.method, uri: head.uri, headers, body }
    }

    /// The request for the next attempt.
    ///
    /// # Errors
    /// [`AttemptError::NotSent`] if its body cannot be sent again.
    pub fn next(&mut self) -> Result<Request<Body>, AttemptError> {
        let mut request = Request::new(self.body.next()?);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        Ok(request)
    }
}
