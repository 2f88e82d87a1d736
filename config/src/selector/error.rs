//! Syntax errors of selectors.

use super::parser::MAX_TEXT_BYTES;
use std::fmt;

/// What the grammar expects where another token was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// This token.
    Token(&'static str),
    /// The key of a label.
    LabelKey,
    /// The value of a label.
    LabelValue,
}

impl fmt::Display for Expected {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Expected::Token(token) => write!(out, "'{token}'"),
            Expected::LabelKey => out.write_str("a label's key"),
            Expected::LabelValue => out.write_str("a value"),
        }
    }
}

/// Why a text is not a valid selector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SelectorError {
    /// The text has too many bytes.
    TooLong,
    /// Parentheses or negations are nested too deeply.
    NestedTooDeeply,
    /// A character that occurs in no token.
    UnexpectedCharacter(char),
    /// A `!` without the `=` that makes it an operator.
    IncompleteOperator,
    /// A token after the end of the selector.
    UnexpectedToken(String),
    /// Something else was expected where a token or the end of the text was found.
    Expected {
        /// What the grammar expects here.
        expected: Expected,
        /// The token that was found; `None` at the end of the text.
        found: Option<String>,
    },
}

impl fmt::Display for SelectorError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SelectorError::TooLong => write!(out, "a selector has at most {MAX_TEXT_BYTES} bytes"),
            SelectorError::NestedTooDeeply => out.write_str("nested too deeply"),
            SelectorError::UnexpectedCharacter(character) => {
                write!(out, "unexpected character '{}'", character.escape_default())
            }
            SelectorError::IncompleteOperator => out.write_str("'!' must be followed by '='"),
            SelectorError::UnexpectedToken(token) => write!(out, "unexpected '{token}'"),
            SelectorError::Expected { expected, found: Some(token) } => {
                write!(out, "expected {expected} where '{token}' stands")
            }
            SelectorError::Expected { expected, found: None } => {
                write!(out, "expected {expected} at the end")
            }
        }
    }
}

impl std::error::Error for SelectorError {}
