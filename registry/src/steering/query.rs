//! Parsing of query strings. Values are not percent-decoded, since they are names and numbers only.

/// The first value of a key, or `None` if the key is absent.
pub fn value<'q>(query: &'q str, key: &str) -> Option<&'q str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(name, _)| *name == key).map(|(_, value)| value).next()
}
