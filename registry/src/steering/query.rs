//! Reading of query strings. Values are names and numbers only, so that nothing is percent-encoded.

/// The first value of a key.
pub fn value<'q>(query: &'q str, key: &str) -> Option<&'q str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(name, _)| *name == key).map(|(_, value)| value).next()
}
