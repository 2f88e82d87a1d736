//! How the documents and headers of the world outside read (design 2.3): the product's own way, or
//! that of a platform which it runs on. A dialect translates and decides nothing.

use std::collections::BTreeMap;

/// The names of headers, in lower case. `None`: the dialect has no such header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Headers {
    /// Names a request; a server gives it back, which tells its answer from another's.
    pub request_id: Option<&'static str>,
    /// The milliseconds that the client still waits.
    pub deadline: &'static str,
    /// Servers are told what is left of the deadline under the same name.
    pub tells_deadline: bool,
    /// Names the server that a request is meant for; every other one turns it away. Without it a
    /// connection begins with a liveness check in which the server names itself.
    pub target: Option<&'static str>,
    /// Stands in an answer of a server that did not run the request, and never will.
    pub not_run: Option<&'static str>,
    /// Stands in every success of a server; one without it is not passed on.
    pub seal: Option<&'static str>,
    /// Tells a server's load.
    pub load: &'static str,
    /// In the answer to a liveness check: how many milliseconds the server stays cold.
    pub cold_left: Option<&'static str>,
    /// The verdict, told to clients.
    pub verdict: Option<&'static str>,
    /// An answer without a length may end with its connection, and one that was cut short ends with a
    /// reset. Otherwise an answer whose end cannot be told is not passed on.
    pub close_ends_answer: bool,
}

/// One page of a platform list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// Where the platform numbers its lists; else the reader does.
    pub revision: Option<u64>,
    pub servers: Vec<crate::endpoint_list::Server>,
    /// The path of the next page.
    pub next: Option<String>,
}

pub trait Dialect: Send + Sync {
    fn headers(&self) -> &Headers;

    /// Reads and checks an operator's configuration.
    ///
    /// # Errors
    /// Every fault with its path; then nothing of the document is taken.
    fn setup(&self, bytes: &[u8]) -> Result<crate::model::Setup, Vec<crate::Fault>>;

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
    ) -> Result<Page, Vec<crate::Fault>>;

    /// Thousandths of a server's capacity in use, from the load header's text.
    fn load(&self, text: &str) -> Option<u32>;

    /// A `Retry-After` for so long a pause.
    fn retry_after(&self, pause: std::time::Duration) -> String;
}

/// The product's own dialect.
pub struct Own;

pub static OWN: Own = Own;

const HEADERS: Headers = Headers {
    request_id: None,
    deadline: "vanepath-deadline-ms",
    tells_deadline: false,
    target: None,
    not_run: None,
    seal: None,
    load: crate::load_report::HEADER,
    cold_left: None,
    verdict: Some(crate::execution_status::HEADER),
    close_ends_answer: false,
};

impl Dialect for Own {
    fn headers(&self) -> &Headers {
        &HEADERS
    }

    fn setup(&self, bytes: &[u8]) -> Result<crate::model::Setup, Vec<crate::Fault>> {
        crate::model::parse(bytes)
    }

    fn page(
        &self,
        bytes: &[u8],
        _path: &str,
        _zones: &BTreeMap<String, String>,
    ) -> Result<Page, Vec<crate::Fault>> {
        let list = crate::endpoint_list::parse(bytes)?;
        Ok(Page { revision: Some(list.revision), servers: list.servers, next: None })
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
pub struct Spoken(pub &'static dyn Dialect);

impl Default for Spoken {
    fn default() -> Spoken {
        Spoken(&OWN)
    }
}

impl std::fmt::Debug for Spoken {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "Spoken({:?})", self.0.headers())
    }
}

impl PartialEq for Spoken {
    fn eq(&self, other: &Spoken) -> bool {
        self.0.headers() == other.0.headers()
    }
}

impl std::ops::Deref for Spoken {
    type Target = dyn Dialect;

    fn deref(&self) -> &Self::Target {
        self.0
    }
}

#[cfg(test)]
mod tests;
