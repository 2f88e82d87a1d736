//! Configuration of vanepath: the model, parser and validation of configuration documents, label selectors,
//! the settings of the programs, the endpoint list, and the external wire formats (design 3).

#![warn(missing_docs)]

pub mod endpoint_list;
pub mod execution_status;
mod hash;
pub mod json_reader;
pub mod load_report;
pub mod model;
pub mod rule_index;
pub mod selector;
pub mod settings;
pub mod wire_format;

pub use execution_status::ExecutionStatus;
pub use hash::{digest, stable_hash};
pub use json_reader::ValidationError;
