//! Checks of a request's head beyond those of the HTTP library: what could be read in two ways is
//! rejected (design 8.3; RFC 9110, section 7.2; RFC 9112, sections 3.2 and 6).

use crate::lifecycle::Rejection;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::request;
use hyper::{Method, Version};
use vanepath_cluster::node::Body;
use vanepath_config::model::Class;

/// The largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The separators and the line end of a header field, in bytes.
const HEADER_OVERHEAD_BYTES: usize = 4;

/// Checks the head and puts its target into origin form. Returns the name of the host that the
/// request is for, without a port.
///
/// # Errors
/// [`Rejection::HeadTooLarge`] and [`Rejection::Malformed`].
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

/// Exactly one `Host` in HTTP/1.1, at most one before.
fn check_host_count(head: &request::Parts) -> Result<(), Rejection> {
    let hosts = head.headers.get_all(header::HOST).iter().count();
    if hosts > 1 || (hosts == 0 && head.version == Version::HTTP_11) {
        return Err(Rejection::Malformed);
    }
    Ok(())
}

/// The length of the body is stated once, and as a length or by chunks.
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

/// The authority of a target in absolute form replaces `Host` (RFC 9112, section 3.2.2).
fn convert_to_origin_form(head: &mut request::Parts) -> Result<(), Rejection> {
    if let Some(authority) = head.uri.authority() {
        let host = HeaderValue::from_str(authority.as_str()).map_err(|_| Rejection::Malformed)?;
        head.headers.insert(header::HOST, host);
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_string();
        head.uri = path.parse().map_err(|_| Rejection::Malformed)?;
    }
    Ok(())
}

/// The value of `Host` without its port; empty if there is none.
fn host_name(headers: &HeaderMap) -> Result<String, Rejection> {
    let host = headers.get(header::HOST).map_or(Ok(""), |host| host.to_str());
    let host = host.map_err(|_| Rejection::Malformed)?;
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    Ok(name.to_string())
}

/// Checks the stated length of the body, if there is one, before any of it is read.
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
