//! Reads of the platform's endpoint list over HTTP: conditional requests (RFC 9110 section 13), page by
//! page, over one connection that is kept open.

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

/// A list of more pages is not believed: its links may form a cycle.
const MAX_PAGES: usize = 1024;

/// Why a read of the list failed.
#[derive(Debug)]
pub enum FetchError {
    /// The whole read took too long.
    Timeout,
    /// No connection to the platform.
    Connect(std::io::Error),
    /// The path of the next page makes no request.
    Request(hyper::http::Error),
    /// The exchange broke off.
    Exchange(hyper::Error),
    /// The body broke off, or is larger than a list may be.
    Body(Box<dyn Error + Send + Sync>),
    /// Neither 200 nor 304.
    Status(StatusCode),
    /// So many faults were found in a page.
    InvalidPage(usize),
    /// The list has more than [`MAX_PAGES`] pages.
    TooManyPages,
}

impl fmt::Display for FetchError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FetchError::Timeout => formatter.write_str("no complete list in time"),
            FetchError::Connect(error) => write!(formatter, "cannot connect: {error}"),
            FetchError::Request(error) => write!(formatter, "invalid path: {error}"),
            FetchError::Exchange(error) => write!(formatter, "exchange failed: {error}"),
            FetchError::Body(error) => write!(formatter, "body not read: {error}"),
            FetchError::Status(status) => write!(formatter, "status {status}"),
            FetchError::InvalidPage(faults) => write!(formatter, "{faults} faults in a page"),
            FetchError::TooManyPages => write!(formatter, "more than {MAX_PAGES} pages"),
        }
    }
}

impl Error for FetchError {}

/// What a read of the list gave.
pub enum ListRead {
    /// Nothing changed since the list with the given entity tag.
    NotModified,
    /// A list with the platform's own revision.
    Numbered {
        /// The complete list.
        list: EndpointList,
        /// The entity tag of its first page.
        etag: Option<HeaderValue>,
    },
    /// The servers of a list that has no revision.
    Unnumbered(Vec<Server>),
}

/// The platform's list at one address, with the connection to it.
pub struct EndpointListSource<'s> {
    address: SocketAddr,
    path: &'s str,
    format: SelectedFormat,
    zone_regions: &'s BTreeMap<String, String>,
    connection: Option<SendRequest<Body>>,
}

impl<'s> EndpointListSource<'s> {
    /// The list at `path` of `address`; `zone_regions` gives the regions of zones where the list
    /// itself does not.
    pub fn new(
        address: SocketAddr,
        path: &'s str,
        format: SelectedFormat,
        zone_regions: &'s BTreeMap<String, String>,
    ) -> EndpointListSource<'s> {
        EndpointListSource { address, path, format, zone_regions, connection: None }
    }

    /// Drops the connection; the next read opens another one.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// The complete list, page by page. The first request is conditional on `etag`.
    ///
    /// # Errors
    /// Where any page cannot be fetched or is not valid: part of a list is none.
    pub async fn read(&mut self, etag: Option<&HeaderValue>) -> Result<ListRead, FetchError> {
        let mut servers = Vec::new();
        let mut revision = None;
        let mut list_etag = None;
        let mut next = Some(self.path.to_string());
        let mut pages = 0;
        while let Some(path) = next {
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
            next = page.next;
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
        let page = self.format.page(bytes, self.path, self.zone_regions);
        page.map_err(|faults| FetchError::InvalidPage(faults.len()))
    }

    /// A conditional GET: `None` where the platform answers 304 (Not Modified).
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

    /// The open connection, or a new one where that cannot take a request.
    async fn connect(&mut self) -> Result<&mut SendRequest<Body>, FetchError> {
        let open = self.connection.take().filter(SendRequest::is_ready);
        let sender = match open {
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
