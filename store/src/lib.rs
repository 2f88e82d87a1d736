//! The store: the operator's word on a few disks, without a leader and without a log (design 6).

pub mod disk;
pub mod hints;
pub mod keys;
pub mod orders;
pub mod register;
pub mod shell;
pub mod talk;
