//! The store: the operator's configuration, drained zones and member table, replicated on a few disks without
//! a leader and without a log (design 6).
//!
//! - `consensus`: the replica of one store, a pure state machine (Paxos over one register, as CASPaxos).
//! - `value`, `protocol`: what is agreed on, and the messages.
//! - `idempotency`, `retransmission`: recognition of writes that are sent again.
//! - `disk`: the data folder. `hints`: soft state for a restart of all nodes.
//! - `shell`: the program round the state machine.

#![warn(missing_docs)]

pub mod consensus;
pub mod disk;
pub mod hints;
pub mod idempotency;
pub mod protocol;
pub mod retransmission;
pub mod shell;
pub mod value;
