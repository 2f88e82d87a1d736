//! The simulator: runs the programs' own cores on a simulated network with simulated clocks and
//! disks. All randomness comes from one seed, so a run with the same seed repeats exactly (design
//! 10.2).
//!
//! Dependencies between the modules point one way: [`network`], [`mutations`] and [`crash_points`]
//! do not depend on the fleet; [`state`] holds the state of the fleet; [`control`], [`traffic`] and
//! [`reachability`] implement its behaviour; [`scenario`] schedules faults and operators' calls;
//! `event_loop` dispatches all events; [`invariants`] checks the finished run.

pub mod control;
pub mod crash_points;
mod event_loop;
pub mod invariants;
pub mod mutations;
pub mod network;
mod random;
pub mod reachability;
pub mod scenario;
pub mod startup;
pub mod state;
mod threads;
pub mod traffic;

pub use random::Random;
pub use threads::{cores, on_threads};
