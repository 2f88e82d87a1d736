//! Serves the connections of clients, and reads them ahead of the HTTP library to find pipelined
//! requests (design 8.9).

use super::status;
use crate::forward::{self, ADMIN_PREFIX, Proxy};
use crate::pipelining::{FinishGuard, Pipeline, PipelinedStream, RequestHead, Response};
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{JoinError, JoinHandle};
use vanepath_cluster::node::{
    BodyError, ConnectionStop, GuardedBody, HttpSettings, RequestInProgress, RequestTracker,
    ServedConnection,
};

/// Serves a client's connection until nothing more is to be served on it. Once `stop` turns true, these are
/// only the requests that have been read whole.
pub(super) async fn serve_connection(
    proxy: Arc<Proxy>,
    stream: TcpStream,
    requests: RequestTracker,
    stop: watch::Receiver<bool>,
    http: HttpSettings,
    has_admin_listener: bool,
) -> ServedConnection {
    let mut stop = ConnectionStop::new(stop, requests.clone());
    let pipeline = Pipeline::new(stream, requests);
    let (pipeline_proxy, service_pipeline) = (proxy.clone(), pipeline.clone());
    let stream = PipelinedStream {
        pipeline: pipeline.clone(),
        start: Box::new(move |head| forward::start_pipelined(&pipeline_proxy, head)),
    };
    let service_proxy = proxy.clone();
    let service = service_fn(move |request| {
        let (proxy, pipeline) = (service_proxy.clone(), service_pipeline.clone());
        async move {
            let response = respond(&proxy, &pipeline, request, has_admin_listener).await;
            let guard = FinishGuard { pipeline };
            Ok::<_, Infallible>(response.map(|body| GuardedBody { body, guard }))
        }
    });
    let mut connection = http.builder().serve_connection(TokioIo::new(stream), service);
    let mut is_closing = false;
    let result = poll_fn(|context| {
        let start = |head: &RequestHead| forward::start_pipelined(&proxy, head);
        pipeline.poll(context, &start);
        let mut polled = Pin::new(&mut connection).poll(context);
        let is_stopped = stop.poll(context).is_ready();
        // The service responds to all requests that have been read whole before the connection closes.
        if polled.is_pending() && is_stopped && !is_closing && pipeline.has_received_last() {
            is_closing = true;
            Pin::new(&mut connection).graceful_shutdown();
            polled = Pin::new(&mut connection).poll(context);
        }
        if polled.is_pending() {
            // The library may just have passed on a request: read ahead what follows it.
            pipeline.poll(context, &start);
        }
        polled
    })
    .await;
    let unprocessed_bytes = connection.into_parts().read_buf.len() + pipeline.unread_bytes();
    ServedConnection::new(pipeline.into_stream(), unprocessed_bytes, result)
}

/// Responds to a request that the HTTP library has read. While the proxy drains, the response closes
/// the connection, unless requests behind this one have been read whole.
async fn respond(
    proxy: &Arc<Proxy>,
    pipeline: &Pipeline,
    request: Request<Incoming>,
    has_admin_listener: bool,
) -> Response {
    let mut response = handle_request(proxy, pipeline, request, has_admin_listener).await;
    if proxy.is_draining() && pipeline.has_received_last() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn handle_request(
    proxy: &Arc<Proxy>,
    pipeline: &Pipeline,
    request: Request<Incoming>,
    has_admin_listener: bool,
) -> Response {
    let id_header = proxy.node.settings.wire_format.headers().request_id;
    let started_task = pipeline.receive(RequestInProgress::of(&request, id_header));
    let admin_path = request.uri().path().strip_prefix(ADMIN_PREFIX);
    if let Some(path) = admin_path.filter(|_| !has_admin_listener) {
        return status::admin_page(proxy, &format!("/{path}"));
    }
    if let Some(task) = started_task
        && let Ok(response) = (AbortOnDrop { task }).await
    {
        return response;
    }
    let request = request.map(|body| body.map_err(BodyError::from).boxed_unsync());
    forward::forward(proxy.clone(), request).await
}

/// The task of a request that was started before its turn. Dropping it cancels the request.
struct AbortOnDrop {
    task: JoinHandle<Response>,
}

impl Future for AbortOnDrop {
    type Output = Result<Response, JoinError>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.task).poll(context)
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.task.abort();
    }
}
