//! The store: the operator's word on a few disks, without a leader and without a log (design 6).

pub mod consensus;
pub mod disk;
pub mod hints;
pub mod idempotency;
pub mod protocol;
pub mod retransmission;
pub mod shell;
