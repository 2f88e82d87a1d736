//! Label selectors (design 3.3), such as `app = orders and not (zone in (a1, a2) or has spare)`.
//! The values `@zone` and `@region` stand for the client's zone and region.

mod ast;
mod error;
mod evaluation;
mod lexer;
mod parser;

pub use ast::Selector;
pub use error::{Expected, SelectorError};
pub use evaluation::{ClientLocation, Labelled};
pub use lexer::is_label;

#[cfg(test)]
mod tests;
