//! How the documents and headers of the world outside read (design 2.3): the product's own way, or
//! that of a platform which it runs on. A dialect translates and decides nothing.

use std::collections::BTreeMap;

/// The names of headers, in lower case. `None`: the dialect has no such header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Names a request; a server gives it back, which tells its answer from another's.
    pub request_id: Option<&'static str>,
    /// The milliseconds that the client still waits.
    pub deadline: &'static str,
    /// Servers are told what is left of the deadline under the same name.
    pub forwards_deadline: bool,
    /// Names the server that a request is meant for; every other one turns it away. Without it a
    /// connection begins with a liveness check in which the server names itself.
    pub target: Option<&'static str>,
    /// Stands in an answer of a server that did not run the request, and never will.
    pub not_run: Option<&'static str>,
    /// Stands in every success of a server; one without it is not passed on.
    pub response_seal: Option<&'static str>,
    /// Tells a server's load.
    pub load: &'static str,
    /// In the answer to a liveness check: how many milliseconds the server stays cold.
    pub warm_up_left: Option<&'static str>,
    /// The verdict, told to clients.
    pub execution_status: Option<&'static str>,
    /// An answer without a length may end with its connection, and one that was cut short ends with a
    /// reset. Otherwise an answer whose end cannot be told is not passed on.
    pub close_ends_response: bool,
}

/// One page of a platform list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointListPage {
    /// Where the platform numbers its lists; else the reader does.
    pub revision: Option<u64>,
    pub servers: Vec<crate::endpoint_list::Server>,
    /// The path of the next page.
    pub next: Option<String>,
}

pub trait WireFormat: Send + Sync {
    fn headers(&self) -> &HeaderNames;

    /// Reads and checks an operator's configuration.
    ///
    /// # Errors
    /// Every fault with its path; then nothing of the document is taken.
    fn parse_config(
        &self,
        bytes: &[u8],
    ) -> Result<crate::model::Config, Vec<crate::ValidationError>>;

    /// Reads one page of the platform list; `path` is that of the list as the settings have it,
    /// `zones` the region of each zone.
    ///
    /// # Errors
    /// Every fault with its path; then nothing of the list is believed.
    fn page(
        &self,
        bytes: &[u8],
        path: &str,
        zones: &BTreeMap<String, String>,
    ) -> Result<EndpointListPage, Vec<crate::ValidationError>>;

    /// Thousandths of a server's capacity in use, from the load header's text.
    fn load(&self, text: &str) -> Option<u32>;

    /// A `Retry-After` for so long a pause.
    fn retry_after(&self, pause: std::time::Duration) -> String;
}

/// The product's own dialect.
pub struct NativeFormat;

pub static NATIVE_FORMAT: NativeFormat = NativeFormat;

const HEADERS: HeaderNames = HeaderNames {
    request_id: None,
    deadline: "vanepath-deadline-ms",
    forwards_deadline: false,
    target: None,
    not_run: None,
    response_seal: None,
    load: crate::load_report::HEADER,
    warm_up_left: None,
    execution_status: Some(crate::execution_status::HEADER),
    close_ends_response: false,
};

impl WireFormat for NativeFormat {
    fn headers(&self) -> &HeaderNames {
        &HEADERS
    }

    fn parse_config(
        &self,
        bytes: &[u8],
    ) -> Result<crate::model::Config, Vec<crate::ValidationError>> {
        crate::model::parse(bytes)
    }

    fn page(
        &self,
        bytes: &[u8],
        _path: &str,
        _zones: &BTreeMap<String, String>,
    ) -> Result<EndpointListPage, Vec<crate::ValidationError>> {
        let list = crate::endpoint_list::parse(bytes)?;
        Ok(EndpointListPage { revision: Some(list.revision), servers: list.servers, next: None })
    }

    fn load(&self, text: &str) -> Option<u32> {
        crate::load_report::parse(text)
    }

    /// Whole seconds, as the published protocol has it.
    fn retry_after(&self, pause: std::time::Duration) -> String {
        (pause.as_millis().div_ceil(1000).max(1)).to_string()
    }
}

/// A dialect that a program was started with.
#[derive(Clone, Copy)]
pub struct SelectedFormat(pub &'static dyn WireFormat);

impl Default for SelectedFormat {
    fn default() -> SelectedFormat {
        SelectedFormat(&NATIVE_FORMAT)
    }
}

impl std::fmt::Debug for SelectedFormat {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "Spoken({:?})", self.0.headers())
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
