//! The registry: takes the outside control calls, reads the platform list, and is the directory
//! that callers poll (design 7). It keeps nothing on disk.

pub mod api;
pub mod directory;
pub mod duty;
pub mod list_reader;
pub mod platform;
pub mod shares;
pub mod shell;
pub mod store_call;
