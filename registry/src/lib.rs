//! The registry: takes the outside control calls, reads the platform list, and is the directory
//! that callers poll (design 7). It keeps nothing on disk.

pub mod api;
pub mod leader;
pub mod list_poller;
pub mod list_sequencer;
pub mod shell;
pub mod steering;
pub mod store_client;
pub mod traffic_shift;
