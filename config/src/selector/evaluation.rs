//! Evaluation of a selector against labels.

use super::ast::{Node, Selector};
use std::collections::BTreeMap;

/// Something that has labels: a server, a zone or a client.
pub trait Labelled {
    /// The value of a label; `None` if there is no such label.
    fn label(&self, key: &str) -> Option<&str>;
}

impl Labelled for BTreeMap<String, String> {
    fn label(&self, key: &str) -> Option<&str> {
        self.get(key).map(String::as_str)
    }
}

/// The client's location, to which `@zone` and `@region` refer.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientLocation<'v> {
    /// The name of the client's zone.
    pub zone: &'v str,
    /// The name of the client's region.
    pub region: &'v str,
}

impl ClientLocation<'_> {
    /// Whether a label's value equals a value in a selector.
    fn is_equal(&self, label: &str, value: &str) -> bool {
        match value {
            "@zone" => label == self.zone,
            "@region" => label == self.region,
            value => label == value,
        }
    }
}

impl Selector {
    /// Whether the selector matches these labels for a client at this location.
    pub fn matches(&self, labelled: &dyn Labelled, location: ClientLocation<'_>) -> bool {
        self.node_matches(self.nodes.len() - 1, labelled, location)
    }

    fn node_matches(
        &self,
        index: usize,
        labelled: &dyn Labelled,
        location: ClientLocation<'_>,
    ) -> bool {
        let matches = |index: usize| self.node_matches(index, labelled, location);
        match &self.nodes[index] {
            Node::All => true,
            Node::Has(key) => labelled.label(key).is_some(),
            Node::Equal(key, value) => {
                labelled.label(key).is_some_and(|label| location.is_equal(label, value))
            }
            Node::In(key, values) => labelled
                .label(key)
                .is_some_and(|label| values.iter().any(|value| location.is_equal(label, value))),
            Node::Not(inner) => !matches(*inner),
            Node::And(left, right) => matches(*left) && matches(*right),
            Node::Or(left, right) => matches(*left) || matches(*right),
        }
    }
}
