//! A recursive-descent parser of selectors. In order of increasing precedence: `or`, `and`, `not` and
//! comparisons.

use super::ast::{Node, Selector};
use super::error::{Expected, SelectorError};
use super::lexer::{is_label, tokens};

const MAX_DEPTH: usize = 32;
pub(super) const MAX_TEXT_BYTES: usize = 1024;

impl Selector {
    /// Parses a selector.
    ///
    /// # Errors
    /// The first syntax error in the text.
    pub fn parse(text: &str) -> Result<Selector, SelectorError> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(SelectorError::TooLong);
        }
        let tokens = tokens(text)?;
        let mut parser = Parser { tokens, position: 0, nodes: Vec::new(), depth: 0 };
        parser.disjunction()?;
        if let Some(token) = parser.next_token() {
            return Err(SelectorError::UnexpectedToken(token.clone()));
        }
        Ok(Selector { nodes: parser.nodes, text: text.to_string() })
    }
}

/// The parser state. The methods for the rules of the grammar return the index of the node that they add.
struct Parser {
    tokens: Vec<String>,
    position: usize,
    nodes: Vec<Node>,
    depth: usize,
}

impl Parser {
    fn push(&mut self, node: Node) -> usize {
        self.nodes.push(node);
        self.nodes.len() - 1
    }

    fn next_token(&self) -> Option<&String> {
        self.tokens.get(self.position)
    }

    /// Consumes the next token if it is this one.
    fn accept(&mut self, token: &str) -> bool {
        let found = self.next_token().is_some_and(|next| next == token);
        self.position += usize::from(found);
        found
    }

    fn expect(&mut self, token: &'static str) -> Result<(), SelectorError> {
        if self.accept(token) { Ok(()) } else { Err(self.unexpected(Expected::Token(token))) }
    }

    fn unexpected(&self, expected: Expected) -> SelectorError {
        SelectorError::Expected { expected, found: self.next_token().cloned() }
    }

    /// Limits the recursion depth, since the text is untrusted.
    fn descend(&mut self) -> Result<(), SelectorError> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            return Err(SelectorError::NestedTooDeeply);
        }
        Ok(())
    }

    fn disjunction(&mut self) -> Result<usize, SelectorError> {
        self.descend()?;
        let mut left = self.conjunction()?;
        while self.accept("or") {
            let right = self.conjunction()?;
            left = self.push(Node::Or(left, right));
        }
        self.depth -= 1;
        Ok(left)
    }

    fn conjunction(&mut self) -> Result<usize, SelectorError> {
        let mut left = self.term()?;
        while self.accept("and") {
            let right = self.term()?;
            left = self.push(Node::And(left, right));
        }
        Ok(left)
    }

    fn term(&mut self) -> Result<usize, SelectorError> {
        if self.accept("not") {
            self.descend()?;
            let inner = self.term()?;
            self.depth -= 1;
            return Ok(self.push(Node::Not(inner)));
        }
        if self.accept("(") {
            let inner = self.disjunction()?;
            self.expect(")")?;
            return Ok(inner);
        }
        if self.accept("all") {
            return Ok(self.push(Node::All));
        }
        if self.accept("has") {
            let key = self.label(Expected::LabelKey)?;
            return Ok(self.push(Node::Has(key)));
        }
        self.comparison()
    }

    fn comparison(&mut self) -> Result<usize, SelectorError> {
        let key = self.label(Expected::LabelKey)?;
        if self.accept("=") {
            let value = self.value()?;
            return Ok(self.push(Node::Equal(key, value)));
        }
        if self.accept("!=") {
            let value = self.value()?;
            let inner = self.push(Node::Equal(key, value));
            return Ok(self.push(Node::Not(inner)));
        }
        self.expect("in")?;
        self.expect("(")?;
        let mut values = vec![self.value()?];
        while self.accept(",") {
            values.push(self.value()?);
        }
        self.expect(")")?;
        Ok(self.push(Node::In(key, values)))
    }

    fn label(&mut self, expected: Expected) -> Result<String, SelectorError> {
        match self.next_token() {
            Some(token) if is_label(token) => {
                let label = token.clone();
                self.position += 1;
                Ok(label)
            }
            _ => Err(self.unexpected(expected)),
        }
    }

    fn value(&mut self) -> Result<String, SelectorError> {
        for relative in ["@zone", "@region"] {
            if self.accept(relative) {
                return Ok(relative.to_string());
            }
        }
        self.label(Expected::LabelValue)
    }
}
