//! The idempotency key of a write: the stores apply a write once under its key (design 6.10).

use super::errors::ApiError;
use hyper::HeaderMap;
use vanepath_cluster::node;

const MAX_KEY_BYTES: usize = 128;

/// The idempotency key of a write.
pub struct IdempotencyKey {
    /// The key itself.
    pub text: String,
    /// It was generated here, since the client gave none.
    pub is_generated: bool,
}

impl IdempotencyKey {
    /// The key in the header `Idempotency-Key`, or a generated one.
    ///
    /// # Errors
    /// Where the header has other characters than letters, digits, `-` and `_`, or too many.
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
