//! Endpoint discovery (design 4): the registries read the platform's endpoint list and distribute it by
//! gossip.
//!
//! Lists that carry a revision of the platform (numbered lists) are polled by every registry with
//! conditional requests. Lists without a revision (unnumbered lists) are read by one registry at a time,
//! which assigns the revision.
//!
//! - `paged_read`: which pages make up a read (no I/O)
//! - `sequencer`: which registry reads when, and the revisions of lists (no I/O)
//! - `call_pacer`: the platform's rate limit (no I/O)
//! - `source`: HTTP calls to the platform
//! - `poller`: the task that reads

mod call_pacer;
mod outcome;
pub mod paged_read;
pub mod poller;
pub mod sequencer;
mod source;

pub use outcome::PollOutcome;
