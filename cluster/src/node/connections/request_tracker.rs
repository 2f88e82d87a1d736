//! Which request is in progress on a connection.

use hyper::header::HeaderValue;
use hyper::{Method, Request, Uri};
use std::fmt::{self, Display, Formatter};
use std::sync::{Arc, Mutex, MutexGuard};

/// A request that was received and whose response is not complete yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestInProgress {
    /// Its method.
    pub method: Method,
    /// Its target.
    pub target: Uri,
    /// Its id, if the wire format has request ids and it has one.
    pub id: Option<HeaderValue>,
}

impl RequestInProgress {
    /// What is remembered of a request; `id_header` names the header with the request's id, if there is one.
    pub fn of<B>(request: &Request<B>, id_header: Option<&str>) -> RequestInProgress {
        RequestInProgress {
            method: request.method().clone(),
            target: request.uri().clone(),
            id: id_header.and_then(|name| request.headers().get(name).cloned()),
        }
    }
}

impl Display for RequestInProgress {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.method, self.target)?;
        match &self.id {
            Some(id) => write!(formatter, " (id {})", String::from_utf8_lossy(id.as_bytes())),
            None => Ok(()),
        }
    }
}

/// The request in progress on one connection, if there is one.
#[derive(Clone, Default)]
pub struct RequestTracker(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    current: Option<RequestInProgress>,
    has_begun: bool,
}

impl RequestTracker {
    /// Records that a request was received.
    pub fn begin(&self, request: RequestInProgress) {
        let mut state = self.state();
        state.current = Some(request);
        state.has_begun = true;
    }

    /// Records that the response was written or abandoned.
    pub fn end(&self) {
        self.state().current = None;
    }

    /// The request in progress.
    pub fn current(&self) -> Option<RequestInProgress> {
        self.state().current.clone()
    }

    /// Whether any request was received on the connection.
    pub fn has_begun(&self) -> bool {
        self.state().has_begun
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("no panic under this lock")
    }
}
