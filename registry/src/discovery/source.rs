//! Reads the platform's endpoint list over HTTP, page by page and with conditional requests (RFC 9110
//! section 13), over one persistent connection.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{self, HeaderValue};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use vanepath_cluster::node::{self, Body};
use vanepath_config::endpoint_list::{self, EndpointList, Server};
use vanepath_config::wire_format::{EndpointListPage, SelectedFormat};

/// A list of more pages is rejected, since its links may form a cycle.
const MAX_PAGES: usize = 1024;

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
    /// The status is neither 200 nor 304.
    Status(StatusCode),
    /// A page is not valid; the number of validation errors.
    InvalidPage(usize),
    /// The list has more than [`MAX_PAGES`] pages.
    TooManyPages,
}

impl fmt::Display for FetchError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FetchError::Timeout => formatter.write_str("timed out before the list was complete"),
            FetchError::Connect(error) => write!(formatter, "connection failed: {error}"),
            FetchError::Request(error) => write!(formatter, "invalid request path: {error}"),
            FetchError::Exchange(error) => write!(formatter, "HTTP exchange failed: {error}"),
            FetchError::Body(error) => write!(formatter, "reading the body failed: {error}"),
            FetchError::Status(status) => write!(formatter, "unexpected status {status}"),
            FetchError::InvalidPage(errors) => write!(formatter, "invalid page: {errors} errors"),
            FetchError::TooManyPages => write!(formatter, "more than {MAX_PAGES} pages"),
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

/// The platform's list at one address, and the connection that it is read over.
pub struct EndpointListSource<'s> {
    address: SocketAddr,
    path: &'s str,
    format: SelectedFormat,
    zone_regions: &'s BTreeMap<String, String>,
    connection: Option<SendRequest<Body>>,
}

impl<'s> EndpointListSource<'s> {
    /// The list at `path` of `address`. `zone_regions` maps zones to regions, for lists that do not state
    /// the regions themselves.
    pub fn new(
        address: SocketAddr,
        path: &'s str,
        format: SelectedFormat,
        zone_regions: &'s BTreeMap<String, String>,
    ) -> EndpointListSource<'s> {
        EndpointListSource { address, path, format, zone_regions, connection: None }
    }

    /// Drops the connection; the next read opens a new one.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Reads the complete list, page by page. The first request is conditional on `etag`.
    ///
    /// # Errors
    /// Returns an error if any page cannot be fetched or is not valid; an incomplete list is discarded.
    pub async fn read(&mut self, etag: Option<&HeaderValue>) -> Result<ListRead, FetchError> {
        let mut servers = Vec::new();
        let mut revision = None;
        let mut list_etag = None;
        let mut next_path = Some(self.path.to_string());
        let mut pages = 0;
        while let Some(path) = next_path {
            pages += 1;
            if pages > MAX_PAGES {
                return Err(FetchError::TooManyPages);
            }
            let is_first = pages == 1;
            let fetched = self.fetch(&path, etag.filter(|_| is_first)).await?;
            let Some(FetchedPage { bytes, etag: page_etag }) = fetched else {
                return Ok(ListRead::NotModified);
            };
            let page = self.parse(&bytes)?;
            revision = page.revision;
            servers.extend(page.servers);
            next_path = page.next;
            if is_first {
                list_etag = page_etag;
            }
        }
        Ok(match revision {
            Some(revision) => {
                ListRead::Numbered { list: EndpointList { revision, servers }, etag: list_etag }
            }
            None => ListRead::Unnumbered(servers),
        })
    }

    fn parse(&self, bytes: &[u8]) -> Result<EndpointListPage, FetchError> {
        let page = self.format.parse_page(bytes, self.path, self.zone_regions);
        page.map_err(|errors| FetchError::InvalidPage(errors.len()))
    }

    /// Fetches one page with a conditional GET; `None` if the platform answers 304 (Not Modified).
    async fn fetch(
        &mut self,
        path: &str,
        etag: Option<&HeaderValue>,
    ) -> Result<Option<FetchedPage>, FetchError> {
        let address = self.address;
        let connection = self.connect().await?;
        let mut request = hyper::Request::get(path)
            .header(header::HOST, address.to_string())
            .header(header::ACCEPT, "application/json");
        if let Some(etag) = etag {
            request = request.header(header::IF_NONE_MATCH, etag);
        }
        let request = request.body(node::body(Bytes::new())).map_err(FetchError::Request)?;
        let response = connection.send_request(request).await.map_err(FetchError::Exchange)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, endpoint_list::MAX_BYTES);
        let bytes = body.collect().await.map_err(FetchError::Body)?.to_bytes();
        match head.status {
            StatusCode::NOT_MODIFIED => Ok(None),
            StatusCode::OK => {
                Ok(Some(FetchedPage { bytes, etag: head.headers.get(header::ETAG).cloned() }))
            }
            status => Err(FetchError::Status(status)),
        }
    }

    /// Returns the open connection, or a new one if there is none that can take a request.
    async fn connect(&mut self) -> Result<&mut SendRequest<Body>, FetchError> {
        let open_connection = self.connection.take().filter(SendRequest::is_ready);
        let sender = match open_connection {
            Some(sender) => sender,
            None => {
                let stream = TcpStream::connect(self.address).await.map_err(FetchError::Connect)?;
                let (sender, connection) =
                    http1::handshake(TokioIo::new(stream)).await.map_err(FetchError::Exchange)?;
                tokio::spawn(async move {
                    let _ = connection.await;
                });
                sender
            }
        };
        Ok(self.connection.insert(sender))
    }
}

struct FetchedPage {
    bytes: Bytes,
    etag: Option<HeaderValue>,
}
