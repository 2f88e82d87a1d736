//! Reading of JSON from `jzon` values, with checks; every validation error is collected with its path
//! (design 3.2).

mod duplicate_keys;
mod object_reader;

pub use object_reader::ObjectReader;

use jzon::JsonValue;
use jzon::object::Object;

/// What is wrong with one value of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Where the value stands, as in `$.rules[2].class`.
    pub path: String,
    /// What is wrong, for the document's author.
    pub message: String,
}

impl std::fmt::Display for ValidationError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}: {}", self.path, self.message)
    }
}

impl std::error::Error for ValidationError {}

/// Reads values and collects the validation errors that come up. The reading methods return `None` for a
/// value that is absent or invalid; an invalid one has been rejected then.
#[derive(Default)]
pub struct JsonReader {
    /// In the order in which the values were read.
    pub errors: Vec<ValidationError>,
}

impl JsonReader {
    /// Records a validation error.
    pub fn reject(&mut self, path: &str, message: impl Into<String>) {
        self.errors.push(ValidationError { path: path.to_string(), message: message.into() });
    }

    /// What was read, if there is nothing wrong with it.
    ///
    /// # Errors
    /// All validation errors; then no part of the document may be used.
    pub fn into_result<T>(self, value: T) -> Result<T, Vec<ValidationError>> {
        if self.errors.is_empty() { Ok(value) } else { Err(self.errors) }
    }

    /// Parses bytes to a value; duplicate keys, which `jzon` silently folds, are rejected (design 3.2).
    pub fn document(&mut self, bytes: &[u8]) -> Option<JsonValue> {
        let Ok(text) = std::str::from_utf8(bytes) else {
            self.reject("$", "not UTF-8");
            return None;
        };
        // `jzon` bounds the depth, and with it every recursion over the value.
        match jzon::parse(text) {
            Ok(value) => {
                duplicate_keys::reject_duplicate_keys(text, self);
                Some(value)
            }
            Err(error) => {
                self.reject("$", format!("not JSON: {error}"));
                None
            }
        }
    }

    /// An object that has no other keys than the known ones.
    pub fn object<'v>(
        &mut self,
        path: &str,
        value: &'v JsonValue,
        known_keys: &[&str],
    ) -> Option<&'v Object> {
        let Some(object) = value.as_object() else {
            self.reject(path, "must be an object");
            return None;
        };
        for (key, _) in object.iter() {
            if !known_keys.contains(&key) {
                self.reject(&format!("{path}.{key}"), "unknown key");
            }
        }
        Some(object)
    }

    /// The entries of an array; none where it is absent or invalid.
    pub fn array<'v>(
        &mut self,
        path: &str,
        value: Option<&'v JsonValue>,
        max_entries: usize,
    ) -> &'v [JsonValue] {
        let Some(value) = value else { return &[] };
        match value.as_array() {
            Some(array) if array.len() <= max_entries => array,
            Some(_) => {
                self.reject(path, format!("more than {max_entries} entries"));
                &[]
            }
            None => {
                self.reject(path, "must be an array");
                &[]
            }
        }
    }

    /// A string without control characters.
    pub fn string<'v>(
        &mut self,
        path: &str,
        value: Option<&'v JsonValue>,
        max_bytes: usize,
    ) -> Option<&'v str> {
        match value?.as_str() {
            Some(text) if text.len() <= max_bytes && !text.chars().any(char::is_control) => {
                Some(text)
            }
            Some(_) => {
                self.reject(
                    path,
                    format!("longer than {max_bytes} bytes or with control characters"),
                );
                None
            }
            None => {
                self.reject(path, "must be a string");
                None
            }
        }
    }

    /// As [`JsonReader::string`]; its absence is rejected.
    pub fn required_string<'v>(
        &mut self,
        path: &str,
        value: Option<&'v JsonValue>,
        max_bytes: usize,
    ) -> Option<&'v str> {
        self.require(path, value);
        self.string(path, value, max_bytes)
    }

    /// A name, which is required: lower case letters, digits, `-` and `_`, 1 to 63 of them.
    pub fn name(&mut self, path: &str, value: Option<&JsonValue>) -> Option<String> {
        let text = self.required_string(path, value, MAX_NAME_BYTES)?;
        if is_name(text) {
            Some(text.to_string())
        } else {
            self.reject(path, "must be 1 to 63 of a-z, 0-9, '-' and '_'");
            None
        }
    }

    /// `true` or `false`.
    pub fn boolean(&mut self, path: &str, value: Option<&JsonValue>) -> Option<bool> {
        let boolean = value?.as_bool();
        if boolean.is_none() {
            self.reject(path, "must be true or false");
        }
        boolean
    }

    /// A finite number within these bounds, both included.
    pub fn number(
        &mut self,
        path: &str,
        value: Option<&JsonValue>,
        min: f64,
        max: f64,
    ) -> Option<f64> {
        let Some(number) = value?.as_f64() else {
            self.reject(path, "must be a number");
            return None;
        };
        if number.is_finite() && number >= min && number <= max {
            Some(number)
        } else {
            self.reject(path, format!("must be from {min} to {max}"));
            None
        }
    }

    /// An integer within these bounds, both included.
    pub fn integer(
        &mut self,
        path: &str,
        value: Option<&JsonValue>,
        min: u64,
        max: u64,
    ) -> Option<u64> {
        let number = self.number(path, value, min as f64, max as f64)?;
        if number.fract() == 0.0 {
            Some(number as u64)
        } else {
            self.reject(path, "must be a whole number");
            None
        }
    }

    /// Rejects the absence of a value.
    pub fn require(&mut self, path: &str, value: Option<&JsonValue>) {
        if value.is_none() {
            self.reject(path, "missing");
        }
    }
}

const MAX_NAME_BYTES: usize = 63;

/// Whether a text can be a name: 1 to 63 of lower case letters, digits, `-` and `_`.
pub fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_".contains(&byte))
}

/// Validation errors as the JSON list that every interface shows.
pub fn validation_errors_as_json(errors: &[ValidationError]) -> JsonValue {
    let entry = |error: &ValidationError| {
        jzon::object! { "path": error.path.as_str(), "message": error.message.as_str() }
    };
    JsonValue::Array(errors.iter().map(entry).collect())
}
