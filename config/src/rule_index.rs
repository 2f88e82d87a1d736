//! An index of the rules by host and then by whole path segments, built once with the setup: finding a
//! request's rule costs the depth of its path, however many rules there are (design 3.2).

use crate::model::Rule;
use std::collections::HashMap;

/// Rules that can match a path lie on the way that its segments take from the root.
#[derive(Clone, Debug, Default, PartialEq)]
struct Node {
    next: HashMap<Box<str>, Node>,
    /// Indices of the rules whose prefix ends here, in the order of the document.
    rules: Vec<usize>,
}

/// Of the rules alone: the rules themselves stay with the setup.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RuleIndex {
    any_host: Node,
    /// By the host's name in lower case.
    hosts: HashMap<String, Node>,
}

impl RuleIndex {
    pub fn of(rules: &[Rule]) -> RuleIndex {
        let mut routes = RuleIndex::default();
        for (index, rule) in rules.iter().enumerate() {
            let mut node = match &rule.host {
                None => &mut routes.any_host,
                Some(host) => routes.hosts.entry(host.to_ascii_lowercase()).or_default(),
            };
            for segment in segments(&rule.path_prefix) {
                node = node.next.entry(segment.into()).or_default();
            }
            node.rules.push(index);
        }
        routes
    }

    /// The first rule in the document's order that `fits`, among those of this host, or of any, whose
    /// prefix may be one of the path. `fits` has the last word: the index only leaves out what cannot.
    pub fn first(
        &self,
        host: Option<&str>,
        path: &str,
        fits: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        // A query is no part of any prefix.
        let path = path.split('?').next().unwrap_or_default();
        let mut first: Option<usize> = None;
        let own = host.and_then(|host| {
            if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
                self.hosts.get(&host.to_ascii_lowercase())
            } else {
                self.hosts.get(host)
            }
        });
        for root in std::iter::once(&self.any_host).chain(own) {
            let mut look = |node: &Node| {
                let earlier =
                    node.rules.iter().take_while(|index| first.is_none_or(|at| **index < at));
                if let Some(found) = earlier.copied().find(|index| fits(*index)) {
                    first = Some(found);
                }
            };
            look(root);
            let mut node = root;
            for segment in path.strip_prefix('/').into_iter().flat_map(|rest| rest.split('/')) {
                let Some(next) = node.next.get(segment) else { break };
                look(next);
                node = next;
            }
        }
        first
    }
}

/// A prefix's segments; one with and one without a slash at its end have the same.
fn segments(prefix: &str) -> impl Iterator<Item = &str> {
    let bare = prefix.strip_suffix('/').unwrap_or(prefix);
    bare.strip_prefix('/').into_iter().flat_map(|rest| rest.split('/'))
}
