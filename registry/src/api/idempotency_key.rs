//! The idempotency key of a write, under which the stores apply the write at most once (design 6.10).

use super::errors::ApiError;
use hyper::HeaderMap;
use vanepath_cluster::node;

const MAX_KEY_BYTES: usize = 128;

/// The idempotency key of a write.
pub struct IdempotencyKey {
    /// The key itself.
    pub text: String,
    /// Whether this registry generated the key, because the client sent none.
    pub is_generated: bool,
}

impl IdempotencyKey {
    /// The key in the header `Idempotency-Key`, or a generated one.
    ///
    /// # Errors
    /// Returns an error if the header is empty or longer than 128 bytes, or contains characters other than
    /// ASCII letters, digits, `-` and `_`.
    pub fn from_headers(headers: &HeaderMap) -> Result<IdempotencyKey, ApiError> {
        let Some(value) = headers.get("idempotency-key") else {
            let text = format!("{:016x}{:016x}", node::random(), node::random());
            return Ok(IdempotencyKey { text, is_generated: true });
        };
        match value.to_str() {
            Ok(text) if is_valid_key(text) => {
                Ok(IdempotencyKey { text: text.to_string(), is_generated: false })
            }
            _ => Err(ApiError::InvalidIdempotencyKey),
        }
    }
}

fn is_valid_key(text: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&text.len())
        && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(&byte))
}
