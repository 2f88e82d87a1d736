//! Validates the heads of requests beyond the checks of the HTTP library: rejects those that could be
//! interpreted in two ways (design 8.3; RFC 9110, section 7.2; RFC 9112, sections 3.2 and 6).

use crate::lifecycle::Rejection;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::request;
use hyper::{Method, Version};
use vanepath_cluster::node::Body;
use vanepath_config::model::Class;

/// The largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// What each header field adds to its name and value, in bytes: separator and end of line.
const HEADER_OVERHEAD_BYTES: usize = 4;

/// Checks the head and converts its target to origin form. Returns the name of the target host without
/// a port.
///
/// # Errors
/// [`Rejection::HeadTooLarge`] if the head is over the limit, and [`Rejection::Malformed`] if it is
/// invalid or ambiguous.
pub(super) fn validate_head(head: &mut request::Parts) -> Result<String, Rejection> {
    if head.method == Method::CONNECT {
        return Err(Rejection::Malformed);
    }
    check_head_size(head)?;
    check_host_count(head)?;
    check_framing(&head.headers)?;
    convert_to_origin_form(head)?;
    host_name(&head.headers)
}

fn check_head_size(head: &request::Parts) -> Result<(), Rejection> {
    let header_bytes = head
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES);
    if header_bytes.sum::<usize>() + head.uri.path().len() > MAX_HEAD_BYTES {
        return Err(Rejection::HeadTooLarge);
    }
    Ok(())
}

/// Requires exactly one `Host` field in HTTP/1.1, and at most one in earlier versions.
fn check_host_count(head: &request::Parts) -> Result<(), Rejection> {
    let hosts = head.headers.get_all(header::HOST).iter().count();
    if hosts > 1 || (hosts == 0 && head.version == Version::HTTP_11) {
        return Err(Rejection::Malformed);
    }
    Ok(())
}

/// Requires that the length of the body is given at most once: either by `Content-Length` or by the
/// chunked transfer coding.
fn check_framing(headers: &HeaderMap) -> Result<(), Rejection> {
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let codings = headers.get_all(header::TRANSFER_ENCODING).iter().count();
    if lengths > 1 || codings > 1 || (lengths > 0 && codings > 0) {
        return Err(Rejection::Malformed);
    }
    if let Some(coding) = headers.get(header::TRANSFER_ENCODING)
        && !coding.as_bytes().eq_ignore_ascii_case(b"chunked")
    {
        return Err(Rejection::Malformed);
    }
    Ok(())
}

/// Converts a target in absolute form to origin form. Its authority replaces `Host` (RFC 9112,
/// section 3.2.2).
fn convert_to_origin_form(head: &mut request::Parts) -> Result<(), Rejection> {
    if let Some(authority) = head.uri.authority() {
        let host = HeaderValue::from_str(authority.as_str()).map_err(|_| Rejection::Malformed)?;
        head.headers.insert(header::HOST, host);
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_string();
        head.uri = path.parse().map_err(|_| Rejection::Malformed)?;
    }
    Ok(())
}

/// The value of `Host` without its port; empty if there is no such field.
fn host_name(headers: &HeaderMap) -> Result<String, Rejection> {
    let host = headers.get(header::HOST).map_or(Ok(""), |host| host.to_str());
    let host = host.map_err(|_| Rejection::Malformed)?;
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    Ok(name.to_string())
}

/// Checks the declared length of the body, if there is one, before any of it is read.
///
/// # Errors
/// [`Rejection::TooLarge`] above the limit of the class.
pub(super) fn check_declared_length(body: &Body, class: &Class) -> Result<(), Rejection> {
    let length = hyper::body::Body::size_hint(body).exact();
    if length.is_some_and(|length| length > class.max_body_bytes) {
        return Err(Rejection::TooLarge);
    }
    Ok(())
}
