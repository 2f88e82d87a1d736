//! Requests of clients that use plain sockets.

use super::http_requests::DOWNLOAD_BYTES;
use super::shared::PendingRequest;
use crate::soak::invariants::DEADLINE;
use crate::soak::record::RequestKind;

/// Declared length of an upload that every proxy rejects by its head, in bytes.
const REJECTED_UPLOAD_BYTES: u64 = 1 << 41;

/// The head of a request and, for a filing, its body.
pub(super) fn request_text(request: &PendingRequest) -> String {
    let request_id = &request.request_id;
    let (line, body) = match request.kind {
        RequestKind::Lookup => (format!("GET /stock/{request_id}"), None),
        RequestKind::Download => {
            (format!("GET /documents/{request_id}?size={DOWNLOAD_BYTES}"), None)
        }
        RequestKind::Filing => ("POST /orders".to_string(), Some(request_id.as_str())),
        RequestKind::Upload | RequestKind::RejectedUpload => ("POST /orders".to_string(), Some("")),
    };
    let length = match (request.kind, body) {
        (RequestKind::RejectedUpload, _) => format!("content-length: {REJECTED_UPLOAD_BYTES}\r\n"),
        (_, Some(body)) => format!("content-length: {}\r\n", body.len()),
        (_, None) => String::new(),
    };
    format!(
        "{line} HTTP/1.1\r\nhost: shop.example\r\nx-request: {request_id}\r\n\
         vanepath-deadline-ms: {}\r\nvanepath-api-key: {}\r\n{length}\r\n{}",
        DEADLINE.as_millis(),
        request.key.text(),
        body.unwrap_or_default()
    )
}
