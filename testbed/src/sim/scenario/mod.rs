//! Scenarios: a simulated fleet of the size of a deployment, with traffic, operators and seeded faults.

mod action;
mod fault;
mod fleet;
pub mod operators;
mod plan;
mod platform;
mod run;
mod schedule;

pub use action::apply_action;
pub use fault::{Fault, overlapping_faults};
pub use fleet::start_fleet;
pub use operators::{MOVED_BOUNDS, tagged};
pub use plan::{Deployment, Plan};
pub use run::{Run, run};
