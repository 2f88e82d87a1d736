//! The syntax tree of a selector, which lies flat in one vector.

/// A node; operands are indices into the tree's vector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Node {
    /// The label has this value.
    Equal(String, String),
    /// The label has one of these values.
    In(String, Vec<String>),
    /// There is such a label.
    Has(String),
    Not(usize),
    And(usize, usize),
    Or(usize, usize),
    All,
}

/// A parsed selector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Selector {
    /// Operands before operators, the root last.
    pub(super) nodes: Vec<Node>,
    /// As it was written.
    pub text: String,
}

impl Selector {
    /// Matches everything.
    pub fn all() -> Selector {
        Selector { nodes: vec![Node::All], text: "all".to_string() }
    }

    /// Matches where a label has this value, whatever characters it is made of.
    pub fn equals(key: &str, value: &str) -> Selector {
        let nodes = vec![Node::Equal(key.to_string(), value.to_string())];
        Selector { nodes, text: format!("{key} = {value}") }
    }

    /// Whether the selector names the client's own zone or region.
    pub fn is_relative(&self) -> bool {
        self.nodes.iter().any(|node| match node {
            Node::Equal(_, value) => value.starts_with('@'),
            Node::In(_, values) => values.iter().any(|value| value.starts_with('@')),
            _ => false,
        })
    }
}
