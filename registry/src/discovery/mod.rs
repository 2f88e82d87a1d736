//! Endpoint discovery (design 4): the registry reads the platform's endpoint list and spreads it by
//! gossip.
//!
//! A platform may number its lists, or not. Numbered lists are polled by conditional requests; lists
//! without a number are read by one registry at a time, which numbers them.

mod outcome;
pub mod poller;
pub mod sequencer;
mod source;

pub use outcome::PollOutcome;
