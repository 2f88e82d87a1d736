//! The proxy: carries requests, keeps nothing on disk (design 8).

pub mod ahead;
pub mod budget;
pub mod carry;
pub mod chart;
pub mod choice;
pub mod classes;
pub mod gate;
pub mod liveness;
pub mod longest;
pub mod paced;
pub mod pool;
pub mod request_counts;
pub mod servers;
pub mod shell;
pub mod usual;
