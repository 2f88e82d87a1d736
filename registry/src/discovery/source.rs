//! Reads the platform's endpoint list over HTTP, with conditional requests (RFC 9110 section 13), over
//! persistent connections. Which pages are fetched is decided in [`super::paged_read`].

use crate::discovery::call_pacer::CallPacer;
use crate::discovery::paged_read::{ListLayout, PageRequest, PagedRead, TooManyPages};
use crate::discovery::sequencer::READ_TIMEOUT;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{self, HeaderValue};
use hyper_util::rt::TokioIo;
use std::collections::{BTreeMap, VecDeque};
use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;
use vanepath_cluster::node::{self, Body};
use vanepath_config::endpoint_list::{self, EndpointList, Server};
use vanepath_config::settings::Settings;
use vanepath_config::wire_format::{EndpointListPage, SelectedFormat};

/// The maximum number of calls in progress at a time, and of connections that are kept.
const MAX_CONCURRENT_CALLS: usize = 32;

/// Why a read of the list failed.
#[derive(Debug)]
pub enum FetchError {
    /// The read was not complete within its time-out.
    Timeout,
    /// The connection to the platform could not be established.
    Connect(std::io::Error),
    /// The path of a page is not a valid request path.
    Request(hyper::http::Error),
    /// The HTTP exchange failed or was aborted.
    Exchange(hyper::Error),
    /// The body was truncated, or is larger than the maximum for a list.
    Body(Box<dyn Error + Send + Sync>),
    /// The calls of all registries together are over the platform's rate limit (status 429).
    RateLimited,
    /// The status is none of 200, 304 and 429.
    Status(StatusCode),
    /// A page is not valid; the number of validation errors.
    InvalidPage(usize),
    /// The list has too many pages.
    TooManyPages(TooManyPages),
}

impl fmt::Display for FetchError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FetchError::Timeout => formatter.write_str("timed out before the list was complete"),
            FetchError::Connect(error) => write!(formatter, "connection failed: {error}"),
            FetchError::Request(error) => write!(formatter, "invalid request path: {error}"),
            FetchError::Exchange(error) => write!(formatter, "HTTP exchange failed: {error}"),
            FetchError::Body(error) => write!(formatter, "reading the body failed: {error}"),
            FetchError::RateLimited => formatter.write_str("over the platform's rate limit"),
            FetchError::Status(status) => write!(formatter, "unexpected status {status}"),
            FetchError::InvalidPage(errors) => write!(formatter, "invalid page: {errors} errors"),
            FetchError::TooManyPages(error) => error.fmt(formatter),
        }
    }
}

impl Error for FetchError {}

/// The result of a read of the list.
pub enum ListRead {
    /// The list has not changed since the one with the given entity tag.
    NotModified,
    /// A list with a revision of the platform.
    Numbered {
        /// The complete list.
        list: EndpointList,
        /// The entity tag of its first page.
        etag: Option<HeaderValue>,
    },
    /// The servers of a list without a revision.
    Unnumbered(Vec<Server>),
}

/// The end of a read.
pub struct ReadOutcome {
    /// The list, or why it could not be read.
    pub result: Result<ListRead, FetchError>,
    /// For how long calls of the read waited, so as to keep within the platform's rate limit.
    pub paced: Duration,
}

/// The platform's list at one address, and the connections that it is read over.
pub struct EndpointListSource<'s> {
    settings: &'s Settings,
    address: SocketAddr,
    layout: ListLayout,
    pacer: CallPacer,
    /// The origin of the times that the pacer is given.
    started_at: Instant,
    /// Connections without a call in progress.
    idle: Vec<PlatformConnection>,
}

impl<'s> EndpointListSource<'s> {
    /// The list at `path` of `address`; the settings state its format, the zones and the platform's rate
    /// limit.
    pub fn new(address: SocketAddr, path: &str, settings: &'s Settings) -> EndpointListSource<'s> {
        let zones = settings.zone_regions.keys().cloned();
        EndpointListSource {
            settings,
            address,
            layout: ListLayout::new(settings.wire_format, path, zones),
            pacer: CallPacer::new(settings.endpoint_list_rate),
            started_at: Instant::now(),
            idle: Vec::new(),
        }
    }

    /// Reads the complete list. The request for the first page of an undivided list is conditional on `etag`.
    /// The read ends [`READ_TIMEOUT`] after its start, or after the last call that had to wait for the
    /// platform's rate limit.
    ///
    /// # Errors
    /// The outcome is an error if any page cannot be fetched or is not valid; an incomplete list is discarded.
    pub async fn read(&mut self, etag: Option<&HeaderValue>) -> ReadOutcome {
        let mut calls = PlatformCalls::new(self, etag.cloned());
        let result = calls.read_list().await;
        let paced = calls.paced;
        // Connections with a call in progress are closed with it.
        drop(calls);
        if result.is_err() {
            self.idle.clear();
        }
        ReadOutcome { result, paced }
    }
}

/// The calls of one read.
struct PlatformCalls<'r, 's> {
    source: &'r mut EndpointListSource<'s>,
    etag: Option<HeaderValue>,
    began_at: Instant,
    deadline: Instant,
    paced: Duration,
    /// Requests that wait until a call in progress ends.
    waiting: VecDeque<PageRequest>,
    in_progress: JoinSet<CallOutcome>,
}

/// The end of a call; the connection can take another one.
struct CallOutcome {
    request: PageRequest,
    connection: PlatformConnection,
    page: Result<Option<FetchedPage>, FetchError>,
}

impl<'r, 's> PlatformCalls<'r, 's> {
    fn new(
        source: &'r mut EndpointListSource<'s>,
        etag: Option<HeaderValue>,
    ) -> PlatformCalls<'r, 's> {
        let began_at = Instant::now();
        PlatformCalls {
            source,
            etag,
            began_at,
            deadline: began_at + READ_TIMEOUT,
            paced: Duration::ZERO,
            waiting: VecDeque::new(),
            in_progress: JoinSet::new(),
        }
    }

    async fn read_list(&mut self) -> Result<ListRead, FetchError> {
        let (mut read, requests) = PagedRead::begin(&self.source.layout);
        let mut list_etag = None;
        self.waiting.extend(requests);
        while !read.is_complete() {
            self.start_calls();
            let outcome = tokio::time::timeout_at(self.deadline, self.in_progress.join_next());
            let outcome = outcome.await.map_err(|_| FetchError::Timeout)?;
            let Some(Ok(CallOutcome { request, connection, page })) = outcome else {
                return Err(FetchError::Timeout);
            };
            self.source.idle.push(connection);
            let page = match page.and_then(|page| self.parse(&request, page)) {
                Ok(Some(page)) => page,
                Ok(None) => return Ok(ListRead::NotModified),
                Err(error) if read.on_page_failed(&mut self.source.layout, &request.part) => {
                    return Err(error);
                }
                Err(_) => continue,
            };
            list_etag = list_etag.or(page.etag);
            let next = read.on_page(&mut self.source.layout, &request, page.content);
            self.waiting.extend(next.map_err(FetchError::TooManyPages)?);
        }
        let list = read.finish(&mut self.source.layout);
        Ok(match list.revision {
            Some(revision) => ListRead::Numbered {
                list: EndpointList { revision, servers: list.servers },
                etag: list_etag,
            },
            None => ListRead::Unnumbered(list.servers),
        })
    }

    /// Starts the calls that wait, as many as may be in progress at a time.
    fn start_calls(&mut self) {
        while self.in_progress.len() < MAX_CONCURRENT_CALLS
            && let Some(request) = self.waiting.pop_front()
        {
            let call_at = self.reserve_call();
            let etag = self.etag.take();
            let address = self.source.address;
            let mut connection = self.source.idle.pop().unwrap_or_default();
            self.in_progress.spawn(async move {
                tokio::time::sleep_until(call_at).await;
                let page = connection.fetch(address, &request.path, etag).await;
                CallOutcome { request, connection, page }
            });
        }
    }

    /// When the next call may be made. The read may take that much longer.
    fn reserve_call(&mut self) -> Instant {
        let source = &mut *self.source;
        let call_at = source.started_at + source.pacer.reserve(source.started_at.elapsed());
        if call_at > Instant::now() {
            self.paced = self.paced.max(call_at - self.began_at);
            self.deadline = self.deadline.max(call_at + READ_TIMEOUT);
        }
        call_at
    }

    fn parse(
        &self,
        request: &PageRequest,
        page: Option<FetchedPage>,
    ) -> Result<Option<ParsedPage>, FetchError> {
        let Some(FetchedPage { bytes, etag }) = page else { return Ok(None) };
        let Settings { wire_format, zone_regions, .. } = self.source.settings;
        let content = parse_page(*wire_format, &bytes, &request.part_path, zone_regions)?;
        Ok(Some(ParsedPage { content, etag }))
    }
}

struct ParsedPage {
    content: EndpointListPage,
    etag: Option<HeaderValue>,
}

fn parse_page(
    format: SelectedFormat,
    bytes: &[u8],
    path: &str,
    zone_regions: &BTreeMap<String, String>,
) -> Result<EndpointListPage, FetchError> {
    let page = format.parse_page(bytes, path, zone_regions);
    page.map_err(|errors| FetchError::InvalidPage(errors.len()))
}

/// A connection to the platform, which is opened with the first call.
#[derive(Default)]
struct PlatformConnection {
    sender: Option<SendRequest<Body>>,
}

impl PlatformConnection {
    /// Fetches one page, with a conditional GET if there is an entity tag; `None` if the platform answers 304
    /// (Not Modified).
    async fn fetch(
        &mut self,
        address: SocketAddr,
        path: &str,
        etag: Option<HeaderValue>,
    ) -> Result<Option<FetchedPage>, FetchError> {
        let sender = self.connect(address).await?;
        let mut request = hyper::Request::get(path)
            .header(header::HOST, address.to_string())
            .header(header::ACCEPT, "application/json");
        if let Some(etag) = etag {
            request = request.header(header::IF_NONE_MATCH, etag);
        }
        let request = request.body(node::body(Bytes::new())).map_err(FetchError::Request)?;
        let response = sender.send_request(request).await.map_err(FetchError::Exchange)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, endpoint_list::MAX_BYTES);
        let bytes = body.collect().await.map_err(FetchError::Body)?.to_bytes();
        match head.status {
            StatusCode::NOT_MODIFIED => Ok(None),
            StatusCode::OK => {
                Ok(Some(FetchedPage { bytes, etag: head.headers.get(header::ETAG).cloned() }))
            }
            StatusCode::TOO_MANY_REQUESTS => Err(FetchError::RateLimited),
            status => Err(FetchError::Status(status)),
        }
    }

    /// Returns the open connection, or a new one if there is none that can take a request.
    async fn connect(&mut self, address: SocketAddr) -> Result<&mut SendRequest<Body>, FetchError> {
        let open_connection = match self.sender.take() {
            // Resolves once the previous response has been processed, or the connection is closed.
            Some(mut sender) => sender.ready().await.ok().map(|()| sender),
            None => None,
        };
        let sender = match open_connection {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(address).await.map_err(FetchError::Connect)?;
                let _ = stream.set_nodelay(true);
                let (sender, connection) =
                    http1::handshake(TokioIo::new(stream)).await.map_err(FetchError::Exchange)?;
                tokio::spawn(async move {
                    let _ = connection.await;
                });
                sender
            }
        };
        Ok(self.sender.insert(sender))
    }
}

struct FetchedPage {
    bytes: Bytes,
    etag: Option<HeaderValue>,
}
