//! Serves the connections of clients, and reads them ahead of the HTTP library to find pipelined
//! requests (design 8.9).

use super::status;
use crate::forward::{self, ADMIN_PREFIX, Proxy};
use crate::pipelining::{Pipeline, PipelinedStream, RequestHead, Response, TrackedBody};
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
use vanepath_cluster::node::{BodyError, HttpSettings};

/// Serves a client's connection until it closes. Once `stop` turns true, the connection is closed after
/// the responses to the request in flight and to the pipelined ones that have been started.
pub(super) async fn serve_connection(
    proxy: Arc<Proxy>,
    stream: TcpStream,
    stop: watch::Receiver<bool>,
    http: HttpSettings,
    has_admin_listener: bool,
) {
    let pipeline = Pipeline::new(stream);
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
            let track = |body| TrackedBody { body, pipeline }.boxed_unsync();
            Ok::<_, Infallible>(response.map(track))
        }
    });
    let connection = http.builder().serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut stopped = stop.clone();
    let stopping = async move { stopped.wait_for(|stop| *stop).await.is_ok() };
    tokio::pin!(stopping);
    let mut is_stopped = false;
    let mut is_closing = false;
    poll_fn(|context| {
        let start = |head: &RequestHead| forward::start_pipelined(&proxy, head);
        pipeline.poll(context, &start);
        let mut polled = connection.as_mut().poll(context).map(|_| ());
        is_stopped = is_stopped || stopping.as_mut().poll(context).is_ready();
        // The service has received all requests that the client has sent so far, and responds to them
        // before the connection closes.
        if polled.is_pending() && is_stopped && !is_closing && !pipeline.has_started() {
            is_closing = true;
            connection.as_mut().graceful_shutdown();
            polled = connection.as_mut().poll(context).map(|_| ());
        }
        if polled.is_pending() {
            // The library may just have passed on a request: read ahead what follows it.
            pipeline.poll(context, &start);
        }
        polled
    })
    .await;
}

/// Responds to a request that the HTTP library has read. While the proxy drains, the response closes
/// the connection, unless pipelined requests behind this one have been started.
async fn respond(
    proxy: &Arc<Proxy>,
    pipeline: &Pipeline,
    request: Request<Incoming>,
    has_admin_listener: bool,
) -> Response {
    let mut response = handle_request(proxy, pipeline, request, has_admin_listener).await;
    if proxy.is_draining() && !pipeline.has_started() {
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
    let target = request.uri().path_and_query().map_or("", |target| target.as_str());
    let started_task = pipeline.receive(request.method().as_str(), target);
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
