//! How documents and headers of the outside world are written (design 2.3): in the product's own format,
//! or in that of a platform that it runs on. A format translates and decides nothing.

use crate::endpoint_list::{self, Server};
use crate::model::{self, Config};
use crate::{ValidationError, execution_status, load_report};
use std::collections::BTreeMap;
use std::time::Duration;

/// The names of headers, in lower case. `None`: the format has no such header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identifies a request; a server repeats it, which tells its response from another's.
    pub request_id: Option<&'static str>,
    /// The milliseconds that the client still waits.
    pub deadline: &'static str,
    /// Servers get what is left of the deadline under the same name.
    pub forwards_deadline: bool,
    /// Names the server that a request is meant for; every other one rejects it. Without it a connection
    /// begins with a health check in which the server names itself.
    pub target: Option<&'static str>,
    /// Stands in a response of a server that did not run the request, and never will.
    pub not_run: Option<&'static str>,
    /// Stands in every success of a server; one without it is not passed on.
    pub response_seal: Option<&'static str>,
    /// A server's load.
    pub load: &'static str,
    /// In the response to a health check: how many milliseconds the server keeps warming up.
    pub warm_up_left: Option<&'static str>,
    /// The execution status, for clients.
    pub execution_status: Option<&'static str>,
    /// A response without a length may end with its connection, and one that was cut short ends with a
    /// reset. Otherwise a response whose end cannot be known is not passed on.
    pub close_ends_response: bool,
}

/// One page of an endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointListPage {
    /// Where the platform numbers its lists; otherwise the reader does.
    pub revision: Option<u64>,
    /// The page's part of the servers.
    pub servers: Vec<Server>,
    /// The path of the next page; `None`: this is the last one.
    pub next: Option<String>,
}

/// A format of documents and headers.
pub trait WireFormat: Send + Sync {
    /// The names of its headers.
    fn headers(&self) -> &HeaderNames;

    /// Reads and checks an operator's configuration.
    ///
    /// # Errors
    /// All validation errors; then no part of the document may be used.
    fn parse_config(&self, bytes: &[u8]) -> Result<Config, Vec<ValidationError>>;

    /// Reads one page of the endpoint list; `path` is that of the list as the settings have it, `zones`
    /// the region of each zone.
    ///
    /// # Errors
    /// All validation errors; then no part of the list may be used.
    fn parse_page(
        &self,
        bytes: &[u8],
        path: &str,
        zones: &BTreeMap<String, String>,
    ) -> Result<EndpointListPage, Vec<ValidationError>>;

    /// Thousandths of a server's capacity in use, from the load header's text; `None` if that is invalid.
    fn parse_load(&self, text: &str) -> Option<u32>;

    /// The value of a `Retry-After` header (RFC 9110, 10.2.3) for a pause.
    fn retry_after(&self, pause: Duration) -> String;
}

/// The product's own format.
pub struct NativeFormat;

/// The one value of [`NativeFormat`].
pub static NATIVE_FORMAT: NativeFormat = NativeFormat;

const HEADERS: HeaderNames = HeaderNames {
    request_id: None,
    deadline: "vanepath-deadline-ms",
    forwards_deadline: false,
    target: None,
    not_run: None,
    response_seal: None,
    load: load_report::HEADER,
    warm_up_left: None,
    execution_status: Some(execution_status::HEADER),
    close_ends_response: false,
};

impl WireFormat for NativeFormat {
    fn headers(&self) -> &HeaderNames {
        &HEADERS
    }

    fn parse_config(&self, bytes: &[u8]) -> Result<Config, Vec<ValidationError>> {
        model::parse(bytes)
    }

    fn parse_page(
        &self,
        bytes: &[u8],
        _path: &str,
        _zones: &BTreeMap<String, String>,
    ) -> Result<EndpointListPage, Vec<ValidationError>> {
        let list = endpoint_list::parse(bytes)?;
        Ok(EndpointListPage { revision: Some(list.revision), servers: list.servers, next: None })
    }

    fn parse_load(&self, text: &str) -> Option<u32> {
        load_report::parse(text)
    }

    /// Whole seconds, as the published protocol has it.
    fn retry_after(&self, pause: Duration) -> String {
        (pause.as_millis().div_ceil(1000).max(1)).to_string()
    }
}

/// The format that a program was started with.
#[derive(Clone, Copy)]
pub struct SelectedFormat(pub &'static dyn WireFormat);

impl Default for SelectedFormat {
    fn default() -> SelectedFormat {
        SelectedFormat(&NATIVE_FORMAT)
    }
}

impl std::fmt::Debug for SelectedFormat {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "SelectedFormat({:?})", self.0.headers())
    }
}

impl PartialEq for SelectedFormat {
    fn eq(&self, other: &SelectedFormat) -> bool {
        self.0.headers() == other.0.headers()
    }
}

impl std::ops::Deref for SelectedFormat {
    type Target = dyn WireFormat;

    fn deref(&self) -> &Self::Target {
        self.0
    }
}

#[cfg(test)]
mod tests;
