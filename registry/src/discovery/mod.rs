//! Endpoint discovery (design 4): the registries read the platform's endpoint list and distribute it by
//! gossip.
//!
//! Lists that carry a revision of the platform (numbered lists) are polled by every registry with
//! conditional requests. Lists without a revision (unnumbered lists) are read by one registry at a time,
//! which assigns the revision.

mod outcome;
pub mod poller;
pub mod sequencer;
mod source;

pub use outcome::PollOutcome;
