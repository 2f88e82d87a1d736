//! The replica step by step: state machines, their disks, and messages that a test may drop.

mod batches;
mod bootstrap;
mod config_versions;
mod disk;
mod drain_orders;
mod fleet;
mod reads;
mod replacement;
mod rounds;
