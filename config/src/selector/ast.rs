//! The syntax tree of a selector, stored in one vector.

/// A node; operands are indices into the tree's vector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Node {
    /// The label has this value.
    Equal(String, String),
    /// The label has one of these values.
    In(String, Vec<String>),
    /// The label exists.
    Has(String),
    Not(usize),
    And(usize, usize),
    Or(usize, usize),
    All,
}

/// A parsed selector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Selector {
    /// Operands come before their operators; the root is last.
    pub(super) nodes: Vec<Node>,
    /// The source text.
    pub text: String,
}

impl Selector {
    /// A selector that matches everything.
    pub fn all() -> Selector {
        Selector { nodes: vec![Node::All], text: "all".to_string() }
    }

    /// A selector that matches one value of a label; the value may contain any characters.
    pub fn equals(key: &str, value: &str) -> Selector {
        let nodes = vec![Node::Equal(key.to_string(), value.to_string())];
        Selector { nodes, text: format!("{key} = {value}") }
    }

    /// Whether the selector refers to the client's zone or region.
    pub fn is_relative(&self) -> bool {
        self.nodes.iter().any(|node| match node {
            Node::Equal(_, value) => value.starts_with('@'),
            Node::In(_, values) => values.iter().any(|value| value.starts_with('@')),
            _ => false,
        })
    }
}
