//! Checked reading of JSON from `jzon` values; all validation errors are collected, each with its path
//! (design 3.2).

mod duplicate_keys;
mod object_reader;

pub use object_reader::ObjectReader;

use jzon::JsonValue;
use jzon::object::Object;

/// A validation error of one value in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Path of the value, such as `$.rules[2].class`.
    pub path: String,
    /// Description of the error, for the document's author.
    pub message: String,
}

impl std::fmt::Display for ValidationError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}: {}", self.path, self.message)
    }
}

impl std::error::Error for ValidationError {}

/// Reads values and collects validation errors. The reading methods return `None` for a value that is absent
/// or invalid; for an invalid one they have recorded a validation error.
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

    /// Returns `value`, if there were no validation errors.
    ///
    /// # Errors
    /// All validation errors; no part of an invalid document may be used.
    pub fn into_result<T>(self, value: T) -> Result<T, Vec<ValidationError>> {
        if self.errors.is_empty() { Ok(value) } else { Err(self.errors) }
    }

    /// Parses a document. Rejects duplicate keys, which `jzon` silently merges (design 3.2).
    pub fn document(&mut self, bytes: &[u8]) -> Option<JsonValue> {
        let Ok(text) = std::str::from_utf8(bytes) else {
            self.reject("$", "not UTF-8");
            return None;
        };
        // `jzon` limits the nesting depth, which bounds every recursion over the value as well.
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

    /// Reads an object, and rejects its unknown keys.
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

    /// Reads the entries of an array; an empty slice if it is absent or invalid.
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

    /// Reads a string without control characters.
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

    /// Like [`JsonReader::string`], but rejects an absent value.
    pub fn required_string<'v>(
        &mut self,
        path: &str,
        value: Option<&'v JsonValue>,
        max_bytes: usize,
    ) -> Option<&'v str> {
        self.require(path, value);
        self.string(path, value, max_bytes)
    }

    /// Reads a required name, see [`is_name`].
    pub fn name(&mut self, path: &str, value: Option<&JsonValue>) -> Option<String> {
        let text = self.required_string(path, value, MAX_NAME_BYTES)?;
        if is_name(text) {
            Some(text.to_string())
        } else {
            self.reject(path, "must be 1 to 63 of a-z, 0-9, '-' and '_'");
            None
        }
    }

    /// Reads a boolean.
    pub fn boolean(&mut self, path: &str, value: Option<&JsonValue>) -> Option<bool> {
        let boolean = value?.as_bool();
        if boolean.is_none() {
            self.reject(path, "must be true or false");
        }
        boolean
    }

    /// Reads a finite number between `min` and `max`, both inclusive.
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

    /// Reads an integer between `min` and `max`, both inclusive.
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

    /// Rejects an absent value.
    pub fn require(&mut self, path: &str, value: Option<&JsonValue>) {
        if value.is_none() {
            self.reject(path, "missing");
        }
    }
}

const MAX_NAME_BYTES: usize = 63;

/// Whether a text is a valid name: 1 to 63 lower-case letters, digits, `-` and `_`.
pub fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_".contains(&byte))
}

/// Validation errors as a JSON list, in the form that all interfaces use.
pub fn validation_errors_as_json(errors: &[ValidationError]) -> JsonValue {
    let entry = |error: &ValidationError| {
        jzon::object! { "path": error.path.as_str(), "message": error.message.as_str() }
    };
    JsonValue::Array(errors.iter().map(entry).collect())
}
