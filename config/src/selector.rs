//! Selectors over labels (design 3.3): `app = orders and not (zone in (a1, a2) or has spare)`.
//! The words `@zone` and `@region` stand for the asking caller's own zone and region.

#[derive(Clone, Debug, PartialEq, Eq)]
enum Node {
    Equal(String, String),
    In(String, Vec<String>),
    Has(String),
    Not(usize),
    And(usize, usize),
    Or(usize, usize),
    All,
}

/// A parsed selector: an arena of nodes, the root last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Selector {
    nodes: Vec<Node>,
    pub text: String,
}

/// What a selector is read against.
pub trait Labelled {
    fn label(&self, key: &str) -> Option<&str>;
}

impl Labelled for std::collections::BTreeMap<String, String> {
    fn label(&self, key: &str) -> Option<&str> {
        self.get(key).map(String::as_str)
    }
}

/// Where the asking caller is.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientLocation<'v> {
    pub zone: &'v str,
    pub region: &'v str,
}

const DEPTH_MOST: usize = 32;
const TEXT_MOST: usize = 1024;

impl Selector {
    pub fn all() -> Selector {
        Selector { nodes: vec![Node::All], text: "all".to_string() }
    }

    /// One label has this value, whatever signs it is made of.
    pub fn equals(key: &str, value: &str) -> Selector {
        let nodes = vec![Node::Equal(key.to_string(), value.to_string())];
        Selector { nodes, text: format!("{key} = {value}") }
    }

    pub fn parse(text: &str) -> Result<Selector, String> {
        if text.len() > TEXT_MOST {
            return Err(format!("a selector has at most {TEXT_MOST} bytes"));
        }
        let words = words(text)?;
        let mut parser = Parser { words, at: 0, nodes: Vec::new(), depth: 0 };
        parser.either()?;
        if parser.at != parser.words.len() {
            return Err(format!("unexpected '{}'", parser.words[parser.at]));
        }
        Ok(Selector { nodes: parser.nodes, text: text.to_string() })
    }

    pub fn matches(&self, labelled: &dyn Labelled, view: ClientLocation<'_>) -> bool {
        self.node(self.nodes.len() - 1, labelled, view)
    }

    fn node(&self, index: usize, labelled: &dyn Labelled, view: ClientLocation<'_>) -> bool {
        let same = |label: &str, value: &str| match value {
            "@zone" => label == view.zone,
            "@region" => label == view.region,
            value => label == value,
        };
        match &self.nodes[index] {
            Node::All => true,
            Node::Has(key) => labelled.label(key).is_some(),
            Node::Equal(key, value) => labelled.label(key).is_some_and(|label| same(label, value)),
            Node::In(key, values) => labelled
                .label(key)
                .is_some_and(|label| values.iter().any(|value| same(label, value))),
            Node::Not(inner) => !self.node(*inner, labelled, view),
            Node::And(left, right) => {
                self.node(*left, labelled, view) && self.node(*right, labelled, view)
            }
            Node::Or(left, right) => {
                self.node(*left, labelled, view) || self.node(*right, labelled, view)
            }
        }
    }

    /// Whether the selector speaks of the caller's own place.
    pub fn is_relative(&self) -> bool {
        self.nodes.iter().any(|node| match node {
            Node::Equal(_, value) => value.starts_with('@'),
            Node::In(_, values) => values.iter().any(|value| value.starts_with('@')),
            _ => false,
        })
    }
}

fn words(text: &str) -> Result<Vec<String>, String> {
    let mut words = Vec::new();
    let mut chars = text.chars().peekable();
    while let Some(&next) = chars.peek() {
        if next == ' ' {
            chars.next();
        } else if "(),=!".contains(next) {
            chars.next();
            let mut word = next.to_string();
            if next == '!' {
                if chars.next() != Some('=') {
                    return Err("'!' must be followed by '='".to_string());
                }
                word.push('=');
            }
            words.push(word);
        } else if is_label_char(next) || next == '@' {
            let mut word = String::new();
            while let Some(&more) = chars.peek() {
                if is_label_char(more) || more == '@' {
                    word.push(more);
                    chars.next();
                } else {
                    break;
                }
            }
            words.push(word);
        } else {
            return Err(format!("unexpected character '{}'", next.escape_default()));
        }
    }
    Ok(words)
}

fn is_label_char(next: char) -> bool {
    next.is_ascii_alphanumeric() || "-_./:".contains(next)
}

/// Whether a text can stand as a label's key or value.
pub fn is_label(text: &str) -> bool {
    (1..=63).contains(&text.len())
        && text.chars().all(is_label_char)
        && !["and", "or", "not", "in", "has", "all"].contains(&text)
}

struct Parser {
    words: Vec<String>,
    at: usize,
    nodes: Vec<Node>,
    depth: usize,
}

impl Parser {
    fn push(&mut self, node: Node) -> usize {
        self.nodes.push(node);
        self.nodes.len() - 1
    }

    fn take(&mut self, word: &str) -> bool {
        let found = self.words.get(self.at).is_some_and(|next| next == word);
        self.at += usize::from(found);
        found
    }

    fn expect(&mut self, word: &str) -> Result<(), String> {
        if self.take(word) { Ok(()) } else { Err(format!("expected '{word}'{}", self.found())) }
    }

    fn found(&self) -> String {
        match self.words.get(self.at) {
            Some(word) => format!(" where '{word}' stands"),
            None => " at the end".to_string(),
        }
    }

    fn either(&mut self) -> Result<usize, String> {
        self.depth += 1;
        if self.depth > DEPTH_MOST {
            return Err("nested too deeply".to_string());
        }
        let mut left = self.both()?;
        while self.take("or") {
            let right = self.both()?;
            left = self.push(Node::Or(left, right));
        }
        self.depth -= 1;
        Ok(left)
    }

    fn both(&mut self) -> Result<usize, String> {
        let mut left = self.single()?;
        while self.take("and") {
            let right = self.single()?;
            left = self.push(Node::And(left, right));
        }
        Ok(left)
    }

    fn single(&mut self) -> Result<usize, String> {
        if self.take("not") {
            self.depth += 1;
            if self.depth > DEPTH_MOST {
                return Err("nested too deeply".to_string());
            }
            let inner = self.single()?;
            self.depth -= 1;
            return Ok(self.push(Node::Not(inner)));
        }
        if self.take("(") {
            let inner = self.either()?;
            self.expect(")")?;
            return Ok(inner);
        }
        if self.take("all") {
            return Ok(self.push(Node::All));
        }
        if self.take("has") {
            let key = self.label("a label's key")?;
            return Ok(self.push(Node::Has(key)));
        }
        let key = self.label("a label's key")?;
        if self.take("=") {
            let value = self.value()?;
            return Ok(self.push(Node::Equal(key, value)));
        }
        if self.take("!=") {
            let value = self.value()?;
            let inner = self.push(Node::Equal(key, value));
            return Ok(self.push(Node::Not(inner)));
        }
        self.expect("in")?;
        self.expect("(")?;
        let mut values = vec![self.value()?];
        while self.take(",") {
            values.push(self.value()?);
        }
        self.expect(")")?;
        Ok(self.push(Node::In(key, values)))
    }

    fn label(&mut self, what: &str) -> Result<String, String> {
        match self.words.get(self.at) {
            Some(word) if is_label(word) => {
                self.at += 1;
                Ok(self.words[self.at - 1].clone())
            }
            _ => Err(format!("expected {what}{}", self.found())),
        }
    }

    fn value(&mut self) -> Result<String, String> {
        if self.take("@zone") {
            return Ok("@zone".to_string());
        }
        if self.take("@region") {
            return Ok("@region".to_string());
        }
        self.label("a value")
    }
}

#[cfg(test)]
mod tests;
