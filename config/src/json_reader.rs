//! Reading of JSON by hand from `jzon` values; every fault is kept with its path (design 3.2).

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    pub path: String,
    pub message: String,
}

impl std::fmt::Display for ValidationError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}: {}", self.path, self.message)
    }
}

/// Collects faults while values are read.
#[derive(Default)]
pub struct JsonReader {
    pub errors: Vec<ValidationError>,
}

impl JsonReader {
    pub fn reject(&mut self, path: &str, message: impl Into<String>) {
        self.errors.push(ValidationError { path: path.to_string(), message: message.into() });
    }

    /// Parses bytes to a value; duplicate keys, which `jzon` silently folds, are faults (3.2).
    pub fn document(&mut self, bytes: &[u8]) -> Option<jzon::JsonValue> {
        let Ok(text) = std::str::from_utf8(bytes) else {
            self.reject("$", "not UTF-8");
            return None;
        };
        // The depth walked later is bounded here, before any recursion.
        match jzon::parse(text) {
            Ok(value) => {
                duplicate_keys(text, self);
                Some(value)
            }
            Err(error) => {
                self.reject("$", format!("not JSON: {error}"));
                None
            }
        }
    }

    pub fn object<'v>(
        &mut self,
        path: &str,
        value: &'v jzon::JsonValue,
        known: &[&str],
    ) -> Option<&'v jzon::object::Object> {
        let Some(object) = value.as_object() else {
            self.reject(path, "must be an object");
            return None;
        };
        for (key, _) in object.iter() {
            if !known.contains(&key) {
                self.reject(&format!("{path}.{key}"), "unknown key");
            }
        }
        Some(object)
    }

    pub fn array<'v>(
        &mut self,
        path: &str,
        value: Option<&'v jzon::JsonValue>,
        most: usize,
    ) -> &'v [jzon::JsonValue] {
        match value {
            None => &[],
            Some(value) => match value.as_array() {
                Some(array) if array.len() <= most => array,
                Some(_) => {
                    self.reject(path, format!("more than {most} entries"));
                    &[]
                }
                None => {
                    self.reject(path, "must be an array");
                    &[]
                }
            },
        }
    }

    pub fn string<'v>(
        &mut self,
        path: &str,
        value: Option<&'v jzon::JsonValue>,
        most: usize,
    ) -> Option<&'v str> {
        let text = value?.as_str();
        match text {
            Some(text) if text.len() <= most && !text.chars().any(char::is_control) => Some(text),
            Some(_) => {
                self.reject(path, format!("longer than {most} bytes or with control characters"));
                None
            }
            None => {
                self.reject(path, "must be a string");
                None
            }
        }
    }

    pub fn required_string<'v>(
        &mut self,
        path: &str,
        value: Option<&'v jzon::JsonValue>,
        most: usize,
    ) -> Option<&'v str> {
        if value.is_none() {
            self.reject(path, "missing");
        }
        self.string(path, value, most)
    }

    /// A name: lower case letters, digits, `-` and `_`, 1 to 63 of them.
    pub fn name(&mut self, path: &str, value: Option<&jzon::JsonValue>) -> Option<String> {
        let text = self.required_string(path, value, 63)?;
        if is_name(text) {
            Some(text.to_string())
        } else {
            self.reject(path, "must be 1 to 63 of a-z, 0-9, '-' and '_'");
            None
        }
    }

    pub fn boolean(&mut self, path: &str, value: Option<&jzon::JsonValue>) -> Option<bool> {
        let value = value?;
        let read = value.as_bool();
        if read.is_none() {
            self.reject(path, "must be true or false");
        }
        read
    }

    pub fn number(
        &mut self,
        path: &str,
        value: Option<&jzon::JsonValue>,
        low: f64,
        high: f64,
    ) -> Option<f64> {
        let value = value?;
        let Some(number) = value.as_f64() else {
            self.reject(path, "must be a number");
            return None;
        };
        if number.is_finite() && number >= low && number <= high {
            Some(number)
        } else {
            self.reject(path, format!("must be from {low} to {high}"));
            None
        }
    }

    pub fn integer(
        &mut self,
        path: &str,
        value: Option<&jzon::JsonValue>,
        low: u64,
        high: u64,
    ) -> Option<u64> {
        let number = self.number(path, value, low as f64, high as f64)?;
        if number.fract() == 0.0 {
            Some(number as u64)
        } else {
            self.reject(path, "must be a whole number");
            None
        }
    }
}

pub fn is_name(text: &str) -> bool {
    (1..=63).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_".contains(&byte))
}

/// Walks a text that `jzon` has already accepted and names each key that an object repeats.
fn duplicate_keys(text: &str, reader: &mut JsonReader) {
    enum Level {
        Object(std::collections::HashSet<String>, String, bool),
        Array(usize),
    }
    let bytes = text.as_bytes();
    let mut levels: Vec<Level> = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'{' => levels.push(Level::Object(Default::default(), String::new(), true)),
            b'[' => levels.push(Level::Array(0)),
            b'}' | b']' => {
                levels.pop();
            }
            b',' => match levels.last_mut() {
                Some(Level::Object(_, _, want_key)) => *want_key = true,
                Some(Level::Array(index)) => *index += 1,
                None => {}
            },
            b'"' => {
                let start = at;
                at += 1;
                while bytes[at] != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                let is_key = matches!(levels.last(), Some(Level::Object(_, _, true)));
                if is_key {
                    let key = jzon::parse(&text[start..=at])
                        .ok()
                        .and_then(|value| value.as_str().map(str::to_string))
                        .unwrap_or_default();
                    let mut is_new = true;
                    if let Some(Level::Object(seen, current, want_key)) = levels.last_mut() {
                        *want_key = false;
                        is_new = seen.insert(key.clone());
                        current.clone_from(&key);
                    }
                    if !is_new {
                        let mut path = String::from("$");
                        for level in &levels[..levels.len() - 1] {
                            match level {
                                Level::Object(_, current, _) => path += &format!(".{current}"),
                                Level::Array(index) => path += &format!("[{index}]"),
                            }
                        }
                        reader.reject(&format!("{path}.{key}"), "duplicate key");
                    }
                }
            }
            _ => {}
        }
        at += 1;
    }
}

/// Faults as the JSON list that every interface shows.
pub fn validation_errors_as_json(faults: &[ValidationError]) -> jzon::JsonValue {
    jzon::JsonValue::Array(
        faults
            .iter()
            .map(|fault| jzon::object! { "path": fault.path.as_str(), "message": fault.message.as_str() })
            .collect(),
    )
}
