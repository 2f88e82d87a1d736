//! The external wire formats of documents and headers (design 2.3): the product's own format, or that of the
//! platform on which it runs. A format only translates; it makes no decisions.

use crate::endpoint_list::{self, Server};
use crate::model::{self, Config};
use crate::{ValidationError, execution_status, load_report};
use std::collections::BTreeMap;
use std::time::Duration;

/// The names of headers, in lower case. `None`: the format has no such header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identifies a request; the server echoes it, so that its response is not taken for that of another one.
    pub request_id: Option<&'static str>,
    /// The number of milliseconds for which the client still waits.
    pub deadline: &'static str,
    /// Whether servers are sent the time left until the deadline under the same name.
    pub forwards_deadline: bool,
    /// Names the server for which a request is meant; any other server rejects the request. In a format
    /// without this header, a connection begins with a health check in which the server gives its id.
    pub target: Option<&'static str>,
    /// Present in the response of a server that has not executed the request, and never will.
    pub not_run: Option<&'static str>,
    /// Present in every successful response of a server; a successful response without it is not forwarded.
    pub response_seal: Option<&'static str>,
    /// Reports a server's load.
    pub load: &'static str,
    /// In the response to a health check: the milliseconds left of the server's warm-up.
    pub warm_up_left: Option<&'static str>,
    /// Tells clients the execution status.
    pub execution_status: Option<&'static str>,
    /// The client's API key, where the configuration has tenants. It is never forwarded.
    pub api_key: &'static str,
    /// Names the tenant of a request to the server; set by the proxy only.
    pub tenant: &'static str,
    /// Whether a response without a length may end with the close of its connection; a truncated response
    /// then ends with a reset. If false, a response whose end cannot be determined is not forwarded.
    pub close_ends_response: bool,
}

/// One page of an endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointListPage {
    /// The revision, if the platform numbers its lists; `None`: the reader numbers them.
    pub revision: Option<u64>,
    /// The servers on this page.
    pub servers: Vec<Server>,
    /// The path of the next page; `None`: this is the last page.
    pub next: Option<String>,
}

/// An external format of documents and headers.
pub trait WireFormat: Send + Sync {
    /// The names of its headers.
    fn headers(&self) -> &HeaderNames;

    /// Parses and validates an operator's configuration.
    ///
    /// # Errors
    /// All validation errors; no part of an invalid document may be used.
    fn parse_config(&self, bytes: &[u8]) -> Result<Config, Vec<ValidationError>>;

    /// The path of the part of the endpoint list with the servers of one zone; `path` is the path of the
    /// whole list. `None`: the platform serves the list as a whole only.
    fn zone_path(&self, _path: &str, _zone: &str) -> Option<String> {
        None
    }

    /// Parses one page of the endpoint list; `path` is the path of the list, or of the part that the page
    /// belongs to, and `zones` maps zones to their regions.
    ///
    /// # Errors
    /// All validation errors; no part of an invalid list may be used.
    fn parse_page(
        &self,
        bytes: &[u8],
        path: &str,
        zones: &BTreeMap<String, String>,
    ) -> Result<EndpointListPage, Vec<ValidationError>>;

    /// Parses the load header into thousandths of the server's capacity in use; `None` if it is invalid.
    fn parse_load(&self, text: &str) -> Option<u32>;

    /// The value of a `Retry-After` header (RFC 9110, 10.2.3) for this delay.
    fn retry_after(&self, delay: Duration) -> String;
}

/// The product's own format.
pub struct NativeFormat;

/// The instance of [`NativeFormat`].
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
    api_key: "vanepath-api-key",
    tenant: "vanepath-tenant",
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

    /// Whole seconds, at least one, as the published protocol requires.
    fn retry_after(&self, delay: Duration) -> String {
        (delay.as_millis().div_ceil(1000).max(1)).to_string()
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
