//! An index of the rules by host and path segments, built once for each configuration. The cost of finding a
//! request's rule depends on the depth of its path, not on the number of rules (design 3.2).

use std::collections::HashMap;

/// The part of a rule that the index uses: the host and path prefix of the requests that it may match.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostAndPrefix<'r> {
    /// `None`: any host.
    pub host: Option<&'r str>,
    /// A path that begins with `/`.
    pub path_prefix: &'r str,
}

/// A trie node. The rules that can match a path are in the nodes that its segments lead through.
#[derive(Clone, Debug, Default, PartialEq)]
struct TrieNode {
    children: HashMap<Box<str>, TrieNode>,
    /// Indices of the rules whose prefix ends at this node, in the document's order.
    rules: Vec<usize>,
}

/// Finds rules by host and path. Holds only the indices of the rules in the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuleIndex {
    any_host: TrieNode,
    /// By host name in lower case.
    hosts: HashMap<String, TrieNode>,
}

impl RuleIndex {
    /// Builds the index; the rules are numbered in the order of the iterator.
    pub fn new<'r>(rules: impl Iterator<Item = HostAndPrefix<'r>>) -> RuleIndex {
        let mut rule_index = RuleIndex::default();
        for (index, rule) in rules.enumerate() {
            let mut node = match rule.host {
                None => &mut rule_index.any_host,
                Some(host) => rule_index.hosts.entry(host.to_ascii_lowercase()).or_default(),
            };
            for segment in prefix_segments(rule.path_prefix) {
                node = node.children.entry(segment.into()).or_default();
            }
            node.rules.push(index);
        }
        rule_index
    }

    /// The first rule, in the document's order, for which `matches` returns true. Calls `matches` only for
    /// rules for this host or any host whose prefix can be a prefix of the path: the index only excludes
    /// rules that cannot match.
    pub fn first(
        &self,
        host: Option<&str>,
        path: &str,
        matches: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        // Prefixes contain no query.
        let path = path.split('?').next().unwrap_or_default();
        let mut first: Option<usize> = None;
        let host_root = host.and_then(|host| self.host_root(host));
        for root in std::iter::once(&self.any_host).chain(host_root) {
            let mut visit = |node: &TrieNode| {
                let earlier = node
                    .rules
                    .iter()
                    .take_while(|index| first.is_none_or(|first_index| **index < first_index));
                if let Some(found) = earlier.copied().find(|index| matches(*index)) {
                    first = Some(found);
                }
            };
            visit(root);
            let mut node = root;
            for segment in path_segments(path) {
                let Some(child) = node.children.get(segment) else { break };
                visit(child);
                node = child;
            }
        }
        first
    }

    /// The trie of the rules for this host only. Most hosts are in lower case, and are looked up without a
    /// copy.
    fn host_root(&self, host: &str) -> Option<&TrieNode> {
        if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            self.hosts.get(&host.to_ascii_lowercase())
        } else {
            self.hosts.get(host)
        }
    }
}

/// The segments of a prefix; a trailing slash makes no difference.
fn prefix_segments(prefix: &str) -> impl Iterator<Item = &str> {
    path_segments(prefix.strip_suffix('/').unwrap_or(prefix))
}

fn path_segments(path: &str) -> impl Iterator<Item = &str> {
    path.strip_prefix('/').into_iter().flat_map(|rest| rest.split('/'))
}
