//! The simulator: the programs' own cores on simulated time, network, disks and clocks, from one
//! seed (design 10.2). A seed replays exactly.
//!
//! Imports go one way: [`network`], [`mutations`] and [`crash_points`] know nothing of the fleet;
//! [`state`] holds its state; [`control`], [`traffic`] and [`reachability`] are its behaviour;
//! [`scenario`] scripts faults and operators; `event_loop` runs it all; [`invariants`] checks what
//! happened.

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
