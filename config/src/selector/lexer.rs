//! Splits the text of a selector into tokens.

use super::error::SelectorError;

/// Reserved words, which cannot be keys or values of labels.
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
            while let Some(character) = chars.next_if(|following| is_word_char(*following)) {
                word.push(character);
            }
            tokens.push(word);
        } else {
            return Err(SelectorError::UnexpectedCharacter(next));
        }
    }
    Ok(tokens)
}

fn is_word_char(character: char) -> bool {
    is_label_char(character) || character == '@'
}

fn is_label_char(character: char) -> bool {
    character.is_ascii_alphanumeric() || "-_./:".contains(character)
}

/// Whether a text is valid as a label's key or value: 1 to 63 characters that selectors allow in labels, and
/// not a keyword.
pub fn is_label(text: &str) -> bool {
    (1..=MAX_LABEL_BYTES).contains(&text.len())
        && text.chars().all(is_label_char)
        && !KEYWORDS.contains(&text)
}
