//! A stub platform that serves the endpoint list over HTTP.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ETAG, IF_NONE_MATCH};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use vanepath_config::endpoint_list::labels_as_json;

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// Identifier of the server.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Region of its zone.
    pub region: String,
    /// Its zone.
    pub zone: String,
    /// Labels by which services select servers.
    pub labels: Vec<(String, String)>,
    /// Whether it is draining, that is, accepts no new requests.
    pub draining: bool,
}

#[derive(Default)]
struct EndpointList {
    revision: u64,
    servers: Vec<ListedServer>,
    /// Response body that is served in place of the list.
    override_text: Option<String>,
}

/// Serves the endpoint list until it is dropped. Each update increments the revision of the list.
pub struct StubPlatform {
    /// Where it listens.
    pub address: SocketAddr,
    list: Arc<Mutex<EndpointList>>,
    accept_task: tokio::task::JoinHandle<()>,
}

impl StubPlatform {
    /// Starts the platform with an empty list of revision 0.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<StubPlatform> {
        let listener = TcpListener::bind(address).await?;
        let list: Arc<Mutex<EndpointList>> = Arc::default();
        let accept_task = tokio::spawn(accept(listener, list.clone()));
        Ok(StubPlatform { address, list, accept_task })
    }

    /// Updates the list and increments its revision.
    pub fn update_list(&self, update: impl FnOnce(&mut Vec<ListedServer>)) {
        let mut list = self.list.lock().expect("no panic under this lock");
        update(&mut list.servers);
        list.revision += 1;
    }

    /// Serves this text in place of the list; `None` serves the list again.
    pub fn override_response(&self, text: Option<String>) {
        self.list.lock().expect("no panic under this lock").override_text = text;
    }
}

impl Drop for StubPlatform {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn accept(listener: TcpListener, list: Arc<Mutex<EndpointList>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let list = list.clone();
        let service = service_fn(move |request| {
            let response = respond(&list.lock().expect("no panic under this lock"), &request);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

fn respond(list: &EndpointList, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let builder = Response::builder();
    if let Some(text) = &list.override_text {
        return builder.body(text.clone().into()).expect("the response is valid");
    }
    let tag = format!("\"{}\"", list.revision);
    let known_tag = request.headers().get(IF_NONE_MATCH);
    if known_tag.is_some_and(|known_tag| known_tag.as_bytes() == tag.as_bytes()) {
        let builder = builder.status(StatusCode::NOT_MODIFIED);
        return builder.body(Full::default()).expect("the response is valid");
    }
    let body = Full::new(Bytes::from(list_as_json(list).dump()));
    builder.header(ETAG, tag).body(body).expect("the response is valid")
}

fn list_as_json(list: &EndpointList) -> jzon::JsonValue {
    let servers: Vec<jzon::JsonValue> = list.servers.iter().map(server_as_json).collect();
    jzon::object! { "revision": list.revision, "servers": servers }
}

fn server_as_json(server: &ListedServer) -> jzon::JsonValue {
    let labels = server.labels.iter().map(|(key, value)| (key, value));
    jzon::object! {
        "id": server.id.as_str(),
        "address": server.address.to_string(),
        "region": server.region.as_str(),
        "zone": server.zone.as_str(),
        "labels": labels_as_json(labels),
        "state": if server.draining { "leaving" } else { "ready" },
    }
}
