//! An index of the rules by host and then by whole path segments, built once with the configuration:
//! finding a request's rule costs the depth of its path, however many rules there are (design 3.2).

use std::collections::HashMap;

/// What the index needs to know of a rule: the requests that it may match.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostAndPrefix<'r> {
    /// `None`: any host.
    pub host: Option<&'r str>,
    /// A path that begins with `/`.
    pub path_prefix: &'r str,
}

/// A trie node: rules that can match a path lie on the way that its segments take from the root.
#[derive(Clone, Debug, Default, PartialEq)]
struct TrieNode {
    children: HashMap<Box<str>, TrieNode>,
    /// Indices of the rules whose prefix ends here, in the order of the document.
    rules: Vec<usize>,
}

/// Finds rules by host and path. It has the rules' indices only; the rules stay with the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuleIndex {
    any_host: TrieNode,
    /// By the host's name in lower case.
    hosts: HashMap<String, TrieNode>,
}

impl RuleIndex {
    /// Indexes the rules, which are numbered in the order of the iterator.
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

    /// The first rule in the document's order that `matches`, among those of this host, or of any, whose
    /// prefix may be one of the path. The index only leaves out rules that cannot match: `matches`
    /// decides.
    pub fn first(
        &self,
        host: Option<&str>,
        path: &str,
        matches: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        // A query is no part of any prefix.
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

    /// The rules of one host alone. Most hosts come in lower case, which is looked up without a copy.
    fn host_root(&self, host: &str) -> Option<&TrieNode> {
        if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            self.hosts.get(&host.to_ascii_lowercase())
        } else {
            self.hosts.get(host)
        }
    }
}

/// A prefix's segments; one with and one without a slash at its end have the same.
fn prefix_segments(prefix: &str) -> impl Iterator<Item = &str> {
    path_segments(prefix.strip_suffix('/').unwrap_or(prefix))
}

fn path_segments(path: &str) -> impl Iterator<Item = &str> {
    path.strip_prefix('/').into_iter().flat_map(|rest| rest.split('/'))
}
