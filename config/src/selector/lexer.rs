//! The tokens of a selector's text.

use super::error::SelectorError;

/// Tokens with a meaning of their own, which therefore cannot be labels.
const KEYWORDS: [&str; 6] = ["and", "or", "not", "in", "has", "all"];

const MAX_LABEL_BYTES: usize = 63;

/// Splits a text into its tokens.
pub(super) fn tokens(text: &str) -> Result<Vec<String>, SelectorError> {
    let mut tokens = Vec::new();
    let mut chars = text.chars().peekable();
    while let Some(&next) = chars.peek() {
        if next == ' ' {
            chars.next();
        } else if next == '!' {
            chars.next();
            if chars.next() != Some('=') {
                return Err(SelectorError::IncompleteOperator);
            }
            tokens.push("!=".to_string());
        } else if "(),=".contains(next) {
            chars.next();
            tokens.push(next.to_string());
        } else if is_word_char(next) {
            let mut word = String::new();
            while let Some(more) = chars.next_if(|more| is_word_char(*more)) {
                word.push(more);
            }
            tokens.push(word);
        } else {
            return Err(SelectorError::UnexpectedCharacter(next));
        }
    }
    Ok(tokens)
}

fn is_word_char(next: char) -> bool {
    is_label_char(next) || next == '@'
}

fn is_label_char(next: char) -> bool {
    next.is_ascii_alphanumeric() || "-_./:".contains(next)
}

/// Whether a text can be a label's key or value: 1 to 63 of the characters that selectors can name, and no
/// keyword.
pub fn is_label(text: &str) -> bool {
    (1..=MAX_LABEL_BYTES).contains(&text.len())
        && text.chars().all(is_label_char)
        && !KEYWORDS.contains(&text)
}
