//! The store: replicates the operator's configuration, the drained zones and the member table to the disks of
//! a few nodes, without a leader and without a log (design 6).
//!
//! - `consensus`: the replica of one store as a pure state machine: Paxos over a single register, as in
//!   CASPaxos.
//! - `value`, `protocol`: the values that are agreed on, and the messages.
//! - `idempotency`: recognition of writes that are sent more than once under one key.
//! - `disk`: the data folder. `hints`: soft state for a restart of all nodes.
//! - `shell`: the daemon around the state machine: I/O, timers and HTTP.

#![warn(missing_docs)]

pub mod consensus;
pub mod disk;
pub mod hints;
pub mod idempotency;
pub mod protocol;
pub mod shell;
pub mod value;
