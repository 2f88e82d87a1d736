//! Reading of the keys of one object; errors are reported under the key's path in the document.

use super::JsonReader;
use jzon::JsonValue;
use jzon::object::Object;

/// Reads the keys of one object. The methods correspond to those of [`JsonReader`], with a key in place of
/// the path and the value.
pub struct ObjectReader<'r, 'v> {
    /// Collects the validation errors.
    pub reader: &'r mut JsonReader,
    path: String,
    object: Option<&'v Object>,
}

impl<'r, 'v> ObjectReader<'r, 'v> {
    /// Creates a reader for the object at this path.
    pub fn new(reader: &'r mut JsonReader, path: &str, object: &'v Object) -> ObjectReader<'r, 'v> {
        ObjectReader { reader, path: path.to_string(), object: Some(object) }
    }

    /// Creates a reader for a value that must be an object, and rejects its unknown keys; `None` if it is not
    /// an object.
    pub fn of_value(
        reader: &'r mut JsonReader,
        path: &str,
        value: &'v JsonValue,
        known_keys: &[&str],
    ) -> Option<ObjectReader<'r, 'v>> {
        let object = reader.object(path, value, known_keys)?;
        Some(ObjectReader::new(reader, path, object))
    }

    /// Like [`ObjectReader::of_value`], but a value that is not an object is read as an object without keys,
    /// so that missing keys are reported as well.
    pub fn of_value_or_empty(
        reader: &'r mut JsonReader,
        path: &str,
        value: &'v JsonValue,
        known_keys: &[&str],
    ) -> ObjectReader<'r, 'v> {
        let object = reader.object(path, value, known_keys);
        ObjectReader { reader, path: path.to_string(), object }
    }

    /// The path of a key's value in the document.
    pub fn path_of(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }

    /// The unchecked value of a key.
    pub fn get(&self, key: &str) -> Option<&'v JsonValue> {
        self.object?.get(key)
    }

    /// Records a validation error for a key.
    pub fn reject(&mut self, key: &str, message: impl Into<String>) {
        let path = self.path_of(key);
        self.reader.reject(&path, message);
    }

    /// Rejects an absent key.
    pub fn require(&mut self, key: &str) {
        if self.get(key).is_none() {
            self.reject(key, "missing");
        }
    }

    /// Creates a reader for the object under this key; `None` if it is absent or invalid.
    pub fn object(&mut self, key: &str, known_keys: &[&str]) -> Option<ObjectReader<'_, 'v>> {
        let (path, value) = (self.path_of(key), self.get(key)?);
        ObjectReader::of_value(self.reader, &path, value, known_keys)
    }

    /// See [`JsonReader::array`].
    pub fn array(&mut self, key: &str, max_entries: usize) -> &'v [JsonValue] {
        let (path, value) = (self.path_of(key), self.get(key));
        self.reader.array(&path, value, max_entries)
    }

    /// See [`JsonReader::string`].
    pub fn string(&mut self, key: &str, max_bytes: usize) -> Option<&'v str> {
        let (path, value) = (self.path_of(key), self.get(key));
        self.reader.string(&path, value, max_bytes)
    }

    /// See [`JsonReader::required_string`].
    pub fn required_string(&mut self, key: &str, max_bytes: usize) -> Option<&'v str> {
        self.require(key);
        self.string(key, max_bytes)
    }

    /// See [`JsonReader::name`].
    pub fn name(&mut self, key: &str) -> Option<String> {
        let (path, value) = (self.path_of(key), self.get(key));
        self.reader.name(&path, value)
    }

    /// See [`JsonReader::boolean`].
    pub fn boolean(&mut self, key: &str) -> Option<bool> {
        let (path, value) = (self.path_of(key), self.get(key));
        self.reader.boolean(&path, value)
    }

    /// See [`JsonReader::number`].
    pub fn number(&mut self, key: &str, min: f64, max: f64) -> Option<f64> {
        let (path, value) = (self.path_of(key), self.get(key));
        self.reader.number(&path, value, min, max)
    }

    /// Like [`ObjectReader::number`], but rejects an absent key.
    pub fn required_number(&mut self, key: &str, min: f64, max: f64) -> Option<f64> {
        self.require(key);
        self.number(key, min, max)
    }

    /// See [`JsonReader::integer`].
    pub fn integer(&mut self, key: &str, min: u64, max: u64) -> Option<u64> {
        let (path, value) = (self.path_of(key), self.get(key));
        self.reader.integer(&path, value, min, max)
    }

    /// Like [`ObjectReader::integer`], but rejects an absent key.
    pub fn required_integer(&mut self, key: &str, min: u64, max: u64) -> Option<u64> {
        self.require(key);
        self.integer(key, min, max)
    }
}
