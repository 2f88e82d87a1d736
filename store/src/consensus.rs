//! The replicated register: one value on which a few stores agree, without a leader and without a log, as in
//! CASPaxos (Rystsov 2018), which runs single-decree Paxos (Lamport, Paxos Made Simple, 2001) repeatedly over
//! one register. Each store is an acceptor, a proposer and a reader (design 6.2 to 6.6).
//!
//! The core performs no I/O: `Replica::step` takes the time and one event and returns effects, which the
//! shell carries out strictly in order. A reply that follows an `Effect::Persist` is sent only once that
//! write is durable.
//!
//! Terms: a value is *accepted* by a replica, and *committed* (chosen, in Paxos' terms) once a majority of
//! the members has accepted it under one ballot.

mod acceptor;
mod batch;
mod bootstrap;
mod confirmation;
mod event;
mod history;
mod liveness;
mod membership;
mod progress;
mod proposer;
mod queue;
pub mod quorum;
mod reader;
mod replacement;
mod replica;
mod round;
mod timers;
mod transitions;

pub use event::{
    DiskWrite, Effect, Event, HardState, Identity, LiveStore, RecoveredState, StoredVersion,
};
pub use history::{DiskResponse, response_from_disk};
pub use replica::{Replica, Summary};
pub use transitions::rescued;
