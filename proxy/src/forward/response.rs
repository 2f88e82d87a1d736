//! Relays the responses of servers to clients. Small ones are buffered first, so that one that is cut
//! short can still be fetched from another server; larger ones are relayed as they arrive.

use super::admission::AdmissionPermit;
use super::guards::InFlightGuard;
use super::headers::strip_hop_by_hop;
use super::{Counter, Proxy};
use crate::bandwidth_limiter::{BandwidthLimiter, Throttled};
use crate::connector::Sender;
use crate::endpoints::IdleConnection;
use crate::lifecycle::AttemptError;
use crate::throttled_body::{BandwidthPermit, ThrottledBody};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::http::response;
use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use vanepath_cluster::node::{Body, BodyError};
use vanepath_config::ExecutionStatus;

/// Responses up to this size, in bytes, are buffered completely before they are relayed.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// The response of a server whose head has been received.
pub(super) struct UpstreamResponse {
    pub head: response::Parts,
    pub body: UpstreamBody,
}

/// The body of a response, received in part or completely, and the connection on which it arrives.
pub(super) struct UpstreamBody {
    pub buffered: VecDeque<Frame<Bytes>>,
    /// The part not received yet; `None` once the body is complete or was cut short.
    pub rest: Option<Incoming>,
    /// Becomes idle again after the body; closed if the body is cut short.
    pub connection: Option<Sender>,
    /// See [`VerifiedConnection::verified_at`](super::connection::VerifiedConnection::verified_at).
    pub verified_at: Duration,
    /// How long the server keeps the connection while it is idle.
    pub keep_alive: Duration,
    /// The slot of the server.
    pub slot: usize,
    /// Whether the server is in another zone than this proxy.
    pub is_other_zone: bool,
}

impl UpstreamBody {
    /// Returns the connection to the idle ones if the body has been received.
    pub fn release_connection(&mut self, proxy: &Proxy) {
        if self.rest.is_some() {
            return;
        }
        if let Some(connection) = self.connection.take() {
            let idle = IdleConnection {
                connection,
                verified_at: self.verified_at,
                idle_since: proxy.now(),
                keep_alive: self.keep_alive,
                is_used: true,
            };
            proxy.endpoints.put_idle(self.slot, idle);
        }
    }
}

/// Reads frames until the body is complete or too large to buffer; for a bulk class only as fast as
/// the bandwidth allows. Can be cancelled between frames without loss.
///
/// # Errors
/// [`AttemptError::Truncated`] if the body is cut short.
pub(super) async fn buffer_response(
    proxy: &Proxy,
    body: &mut UpstreamBody,
    is_bulk: bool,
) -> Result<(), AttemptError> {
    let mut buffered_bytes = 0;
    while let Some(rest) = &mut body.rest {
        match rest.frame().await {
            None => body.rest = None,
            Some(Err(_)) => return Err(AttemptError::Truncated),
            Some(Ok(frame)) => {
                let length = data_length(&frame);
                buffered_bytes += length;
                body.buffered.push_back(frame);
                if buffered_bytes > MAX_BUFFERED_BYTES {
                    return Ok(());
                }
                if is_bulk {
                    wait_for_bandwidth(proxy, &proxy.upstream_limiter, length).await;
                }
            }
        }
    }
    Ok(())
}

/// Waits until the limiter, if there is one, lets this many bytes pass.
async fn wait_for_bandwidth(
    proxy: &Proxy,
    limiter: &Option<Mutex<BandwidthLimiter>>,
    bytes: usize,
) {
    let Some(limiter) = limiter else { return };
    loop {
        let now = proxy.now();
        let passed = limiter.lock().expect("no panic under this lock").try_pass(now, bytes);
        match passed {
            Ok(()) => return,
            Err(Throttled { retry_at }) => {
                tokio::time::sleep(retry_at.saturating_sub(now)).await;
            }
        }
    }
}

fn data_length(frame: &Frame<Bytes>) -> usize {
    frame.data_ref().map_or(0, Bytes::len)
}

/// Builds the response for the client. Its body holds the guards until it has been received completely
/// or is dropped.
pub(super) fn relay(
    proxy: &Arc<Proxy>,
    response: UpstreamResponse,
    guards: (InFlightGuard, AdmissionPermit),
    is_throttled: bool,
) -> Response<Body> {
    let mut head = response.head;
    strip_hop_by_hop(&mut head.headers);
    if let Some(name) = proxy.node.settings.wire_format.headers().execution_status {
        head.headers.insert(name, HeaderValue::from_static(ExecutionStatus::Ran.into()));
    }
    let content_length = head
        .headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let mut body = RelayedBody {
        proxy: proxy.clone(),
        upstream: response.body,
        content_length,
        guards: Some(guards),
    };
    if body.upstream.rest.is_none() {
        // The body has been received: the server and the slot of the class are released at once, however
        // slowly the client reads.
        body.complete();
    }
    Response::from_parts(
        head,
        if is_throttled { throttle(proxy, body) } else { body.boxed_unsync() },
    )
}

/// Limits the rate at which the body is written to the client to the available bandwidth.
fn throttle(proxy: &Arc<Proxy>, body: RelayedBody) -> Body {
    let proxy = proxy.clone();
    let request_permit = move |bytes| -> BandwidthPermit {
        let proxy = proxy.clone();
        Box::pin(async move { wait_for_bandwidth(&proxy, &proxy.downstream_limiter, bytes).await })
    };
    ThrottledBody::new(body, request_permit).boxed_unsync()
}

/// The body of a response that is being relayed to the client.
struct RelayedBody {
    proxy: Arc<Proxy>,
    upstream: UpstreamBody,
    content_length: Option<u64>,
    /// The guards of the server and of the class; `None` once the body is received.
    guards: Option<(InFlightGuard, AdmissionPermit)>,
}

impl RelayedBody {
    /// To be called when the body is received: releases its connection and the guards.
    fn complete(&mut self) {
        self.upstream.rest = None;
        self.upstream.release_connection(&self.proxy);
        self.guards = None;
    }

    /// To be called when the body is cut short. The error that is passed on then also breaks the client's
    /// connection, by which the client notices it.
    fn abort(&mut self) {
        self.upstream.rest = None;
        self.upstream.connection = None;
        self.proxy.counters.increment(Counter::ResponsesAborted);
    }

    fn poll_next(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(frame) = self.upstream.buffered.pop_front() {
            return Poll::Ready(Some(Ok(frame)));
        }
        let Some(rest) = &mut self.upstream.rest else { return Poll::Ready(None) };
        Poll::Ready(match ready!(Pin::new(rest).poll_frame(context)) {
            Some(Ok(frame)) => Some(Ok(frame)),
            Some(Err(error)) => {
                self.abort();
                Some(Err(BodyError::from(error)))
            }
            None => {
                self.complete();
                None
            }
        })
    }
}

impl HttpBody for RelayedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(self.poll_next(context));
        if let Some(Ok(frame)) = &frame
            && self.upstream.is_other_zone
        {
            self.proxy.counters.add(Counter::BytesOtherZone, data_length(frame) as u64);
        }
        Poll::Ready(frame)
    }

    fn size_hint(&self) -> SizeHint {
        if self.upstream.rest.is_none() {
            let buffered = self.upstream.buffered.iter().filter_map(|frame| frame.data_ref());
            return SizeHint::with_exact(buffered.map(|data| data.len() as u64).sum());
        }
        match self.content_length {
            Some(length) => SizeHint::with_exact(length),
            None => SizeHint::default(),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.upstream.rest.is_none() && self.upstream.buffered.is_empty()
    }
}
