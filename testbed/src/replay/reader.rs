//! Reads the requests of HAR files.

use super::RecordedRequest;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Uri};
use std::error::Error;
use std::time::Duration;

/// Headers that are not replayed, since they belong to the recorded connection or are generated again.
const CONNECTION_HEADERS: [&str; 9] = [
    "host",
    "connection",
    "content-length",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "keep-alive",
    "proxy-connection",
];

/// Why a file cannot be replayed.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ReadError {
    /// The file is not in the HAR format.
    #[error("this is no HAR file: {0}")]
    Format(String),
    /// Some entries cannot be sent as requests; the text has one line for each of them.
    #[error("these entries cannot be sent:\n{0}")]
    Entries(String),
}

/// Why an entry cannot be sent as a request.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The start time is not a valid timestamp.
    #[error("startedDateTime '{0}' is no time")]
    Time(String),
    /// The method is not a valid HTTP method.
    #[error("method '{0}' is none")]
    Method(String),
    /// The URL is not valid.
    #[error("url '{0}' is none")]
    Url(String),
    /// The scheme of the URL is neither `http` nor `https`.
    #[error("url '{0}' is neither http nor https")]
    Scheme(String),
    /// The name or the value of a header is not valid HTTP.
    #[error("header '{0}' cannot be sent")]
    Header(String),
}

/// The fields of an entry that are used; both versions of the format have them.
struct Entry {
    started_at: String,
    method: String,
    url: String,
    headers: Vec<(String, String)>,
    body: Option<String>,
}

/// Returns the requests of a file, ordered by their start times.
///
/// # Errors
/// If the file is not in the HAR format, or if any of its entries cannot be sent as a request.
pub fn read(bytes: &[u8]) -> Result<Vec<RecordedRequest>, ReadError> {
    let mut requests = Vec::new();
    let mut errors = Vec::new();
    for (index, entry) in entries(bytes)?.into_iter().enumerate() {
        match request(entry) {
            Ok(request) => requests.push(request),
            Err(error) => errors.push(format!("$.log.entries[{index}]: {error}")),
        }
    }
    if !errors.is_empty() {
        return Err(ReadError::Entries(errors.join("\n")));
    }
    requests.sort_by_key(|(started_at_ms, _)| *started_at_ms);
    let first_ms = requests.first().map_or(0, |(started_at_ms, _)| *started_at_ms);
    let since_first =
        |started_at_ms: i64| Duration::from_millis(started_at_ms.saturating_sub(first_ms) as u64);
    let requests = requests.into_iter();
    Ok(requests
        .map(|(started_at_ms, request)| RecordedRequest {
            at: since_first(started_at_ms),
            ..request
        })
        .collect())
}

fn entries(bytes: &[u8]) -> Result<Vec<Entry>, ReadError> {
    let har = har::from_slice(bytes).map_err(|error| {
        let cause = error.source().map(|cause| format!(": {cause}"));
        ReadError::Format(format!("{error}{}", cause.unwrap_or_default()))
    })?;
    // The types of the two versions of the format have the same fields but different names.
    macro_rules! entries {
        ($log:expr) => {
            $log.entries
                .iter()
                .map(|entry| {
                    let request = &entry.request;
                    let headers = request.headers.iter();
                    Entry {
                        started_at: entry.started_date_time.clone(),
                        method: request.method.clone(),
                        url: request.url.clone(),
                        headers: headers
                            .map(|header| (header.name.clone(), header.value.clone()))
                            .collect(),
                        body: request.post_data.as_ref().and_then(|data| data.text.clone()),
                    }
                })
                .collect()
        };
    }
    Ok(match &har.log {
        har::Spec::V1_2(log) => entries!(log),
        har::Spec::V1_3(log) => entries!(log),
    })
}

/// Converts an entry to a request, and returns it with its start time in milliseconds since the epoch.
fn request(entry: Entry) -> Result<(i64, RecordedRequest), EntryError> {
    let Entry { started_at, method, url, headers, body } = entry;
    let started_at: jiff::Timestamp =
        started_at.parse().map_err(|_| EntryError::Time(started_at))?;
    if Method::from_bytes(method.as_bytes()).is_err() {
        return Err(EntryError::Method(method));
    }
    let uri: Uri = url.parse().map_err(|_| EntryError::Url(url.clone()))?;
    if uri.scheme_str().is_none_or(|scheme| !["http", "https"].contains(&scheme)) {
        return Err(EntryError::Scheme(url));
    }
    let host = uri.host().unwrap_or_default().to_string();
    let target = uri.path_and_query().map_or("/", |target| target.as_str()).to_string();
    let headers: Vec<(String, String)> =
        headers.into_iter().filter(|(name, _)| !is_connection_header(name)).collect();
    if let Some((name, _)) = headers.iter().find(|(name, value)| !is_valid_header(name, value)) {
        return Err(EntryError::Header(name.clone()));
    }
    let body = body.unwrap_or_default().into();
    let request = RecordedRequest { at: Duration::ZERO, method, host, target, headers, body };
    Ok((started_at.as_millisecond(), request))
}

fn is_connection_header(name: &str) -> bool {
    name.starts_with(':')
        || CONNECTION_HEADERS.iter().any(|header| header.eq_ignore_ascii_case(name))
}

fn is_valid_header(name: &str, value: &str) -> bool {
    HeaderName::from_bytes(name.as_bytes()).is_ok() && HeaderValue::from_str(value).is_ok()
}
